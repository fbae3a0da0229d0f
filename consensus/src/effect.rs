//! The actions that a replica requests from its driver.

use shaletrail_protocol::NodeId;

use crate::entry::{Entry, Index, Term};
use crate::message::Message;
use crate::record::{Record, Snapshot};

/// An action for the driver. The driver carries out effects in order; syncing to disk may continue in the background.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a node. The message may be lost, duplicated or delayed.
    Send(NodeId, Message),
    /// Write and sync these records, in ticket order, and then call [`Replica::persisted`](crate::Replica::persisted)
    /// with the ticket.
    Persist {
        /// Identifies the batch. Starts at 1 and increases by one with each batch.
        ticket: u64,
        /// The records, in the order in which they have to be replayed on restart.
        records: Vec<Record>,
    },
    /// Apply this committed entry to the state machine.
    Apply(Entry),
    /// Replace the state of the state machine by this snapshot.
    InstallSnapshot(Snapshot),
    /// Answer a read from the state machine, as it is after the preceding effects.
    ReadReady {
        /// The token passed to [`Replica::read`](crate::Replica::read).
        token: u64,
        /// The commit index. All entries up to it have already been handed out by `Apply` or `InstallSnapshot`.
        index: Index,
    },
    /// Fail a read: it cannot be confirmed because this replica no longer leads.
    ReadFailed {
        /// The token passed to [`Replica::read`](crate::Replica::read).
        token: u64,
    },
    /// This replica has become leader. Entries committed by former leaders are applied once an entry of the new term is
    /// committed.
    BecameLeader {
        /// The term in which it leads.
        term: Term,
    },
    /// This replica has stopped leading. Proposals that were not applied yet may or may not still be committed by a
    /// later leader.
    LostLeadership {
        /// The term in which it led.
        term: Term,
    },
}
