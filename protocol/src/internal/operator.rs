//! Calls of the operator's API, as coordinators forward them to the leader of the configuration's shard.

use bitcode::{Decode, Encode};

/// A call of the operator's API.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum OperatorCall {
    /// `POST /Config.Replace` or `POST /Config.Update`.
    Change {
        /// Whether the body replaces the whole configuration (`Config.Replace`), instead of only the items that it
        /// contains.
        replace: bool,
        /// The version that the operator expects to be current (header `Base-Version`); 0 if the header is absent.
        base_version: u64,
        /// The unmodified body of the request.
        body: Vec<u8>,
    },
    /// `GET /Config.Read`.
    Read,
}

/// The result of a call of the operator's API.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OperatorResponse {
    /// The change has been committed, or the configuration has been read.
    Done {
        /// The configuration as JSON for a read, an empty JSON object for a change.
        body: Vec<u8>,
    },
    /// The change was rejected because its base version is not the current version.
    Conflict {
        /// The current version of the configuration.
        current_version: u64,
    },
    /// The change was rejected because the configuration is invalid.
    Invalid {
        /// Names the invalid item and field and says what is wrong with them.
        reason: String,
    },
    /// The result is unknown, or the call was not executed. The caller may retry it, also on another node.
    Unavailable,
}
