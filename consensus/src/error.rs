//! The errors of calls to a replica.

use shaletrail_protocol::NodeId;
use snafu::Snafu;

/// The reason why a call was rejected. A rejected call has no effect.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another replica is the leader, or there is none.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// The current leader, or `None` if unknown.
        leader: Option<NodeId>,
    },
    /// Too many proposals, reads or learners are in progress.
    #[snafu(display("too many proposals, reads or learners are in progress"))]
    Busy,
    /// The command exceeds [`Options::max_command_bytes`](crate::Options::max_command_bytes).
    #[snafu(display("a command of {size} bytes exceeds the size limit"))]
    TooLarge {
        /// Size of the command in bytes.
        size: usize,
    },
    /// Another change of voters is in progress, or the leader has not committed an entry of its own term yet.
    #[snafu(display("a change of voters is in progress, or no entry of this term is committed yet"))]
    ChangePending,
    /// The new voter set is empty, or larger than [`Options::max_peers`](crate::Options::max_peers).
    #[snafu(display("the new voter set is empty or too large"))]
    InvalidVoters,
}
