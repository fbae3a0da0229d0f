//! What a replica asks of its driver, and why it refuses a call.

use shaletrail_protocol::NodeId;
use snafu::Snafu;

use crate::entry::{Entry, Index, Term};
use crate::message::Message;
use crate::record::{Record, Snapshot};

/// Something for the driver to do. Effects are carried out in their order; syncing may go on in the background.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message. It may get lost, come twice or late.
    Send(NodeId, Message),
    /// Write and sync these records, in the order of tickets, then call `persisted` with the ticket.
    Persist {
        /// Rises by one each time.
        ticket: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// A committed entry, to be applied to the state machine.
    Apply(Entry),
    /// Replace the state machine by this state.
    InstallSnapshot(Snapshot),
    /// A read may be answered from the state machine as it is after the effects before this one.
    ReadReady {
        /// As given to `read`.
        token: u64,
        /// The commit index; all up to it has been handed out by `Apply` or `Install`.
        index: Index,
    },
    /// A read cannot be confirmed, since this replica no longer leads.
    ReadFailed {
        /// As given to `read`.
        token: u64,
    },
    /// This replica leads from now on. What former leaders have committed is applied once an entry of this term is.
    Elected {
        /// The term in which it leads.
        term: Term,
    },
    /// This replica leads no more. Proposals not applied yet may still be committed by others, or not.
    Deposed {
        /// The term in which it led.
        term: Term,
    },
}

/// Why a call was refused. Nothing has been done then.
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
    /// The command is over the limit.
    #[snafu(display("a command of {size} bytes is over the limit"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// A change of voters is under way, or the leader is too new to start one.
    #[snafu(display("another change of voters is under way"))]
    ChangePending,
    /// A group needs voters.
    #[snafu(display("the new set of voters is empty or too large"))]
    InvalidVoters,
}
