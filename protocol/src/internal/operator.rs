//! Calls of the operator, as coordinators forward them to each other.

use bitcode::{Decode, Encode};

/// A call of the operator's API.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum OperatorCall {
    /// `POST /Config.Replace` or `/Config.Update`.
    Change {
        /// Whether the body replaces the whole configuration, or only the items that it names.
        replace: bool,
        /// The version that the operator expects to be current (header `Base-Version`); 0 if absent.
        base_version: u64,
        /// The body as it was received.
        body: Vec<u8>,
    },
    /// `GET /Config.Read`.
    Read,
}

/// The result of a call of the operator's API.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OperatorResponse {
    /// The change is committed, or the configuration was read.
    Done {
        /// JSON: the configuration for a read, an empty object for a change.
        body: Vec<u8>,
    },
    /// The change was rejected, as its base version is not the current one.
    Conflict {
        /// The current version of the configuration.
        current_version: u64,
    },
    /// The change was rejected, as the configuration is not valid.
    Invalid {
        /// The item and field that are wrong, and what is wrong with them.
        reason: String,
    },
    /// The result is unknown, or nothing was done: the caller may retry, perhaps at another node.
    Unavailable,
}
