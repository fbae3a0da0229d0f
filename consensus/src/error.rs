//! Why a replica rejects a call.

use shaletrail_protocol::NodeId;
use snafu::Snafu;

/// Why a call was rejected. Nothing has been done then.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another replica leads, or none.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The leader, where known.
        leader: Option<NodeId>,
    },
    /// Too many proposals, reads or learners at once.
    #[snafu(display("too much is under way already"))]
    Busy,
    /// The command is over [`Options::max_command_bytes`](crate::Options::max_command_bytes).
    #[snafu(display("a command of {size} bytes is over the limit"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// A change of voters is in progress, or no entry of the leader's term is committed yet.
    #[snafu(display("another change of voters is under way"))]
    ChangePending,
    /// The new set of voters is empty, or larger than [`Options::max_peers`](crate::Options::max_peers).
    #[snafu(display("the new set of voters is empty or too large"))]
    InvalidVoters,
}
