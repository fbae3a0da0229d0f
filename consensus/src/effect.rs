//! What a replica asks of its driver.

use shaletrail_protocol::NodeId;

use crate::entry::{Entry, Index, Term};
use crate::message::Message;
use crate::record::{Record, Snapshot};

/// Something for the driver to do. Effects are carried out in their order; syncing may go on in the background.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a node. It may get lost, be duplicated or delayed.
    Send(NodeId, Message),
    /// Write and sync these records, in the order of tickets, then call
    /// [`Replica::persisted`](crate::Replica::persisted)
    /// with the ticket.
    Persist {
        /// Rises by one each time, from 1.
        ticket: u64,
        /// The records, in the order in which they have to be restored.
        records: Vec<Record>,
    },
    /// A committed entry, to be applied to the state machine.
    Apply(Entry),
    /// Replace the state machine by this state.
    InstallSnapshot(Snapshot),
    /// A read may be answered from the state machine as it is after the effects before this one.
    ReadReady {
        /// As given to [`Replica::read`](crate::Replica::read).
        token: u64,
        /// The commit index; all up to it has been handed out by `Apply` or `InstallSnapshot`.
        index: Index,
    },
    /// A read cannot be confirmed, since this replica no longer leads.
    ReadFailed {
        /// As given to [`Replica::read`](crate::Replica::read).
        token: u64,
    },
    /// This replica leads from now on. What former leaders have committed is applied once an entry of this term is.
    BecameLeader {
        /// The term in which it leads.
        term: Term,
    },
    /// This replica leads no more. Proposals not applied yet may still be committed by others, or not.
    LostLeadership {
        /// The term in which it led.
        term: Term,
    },
}
