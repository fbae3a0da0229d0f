//! Messages in flight between nodes, and the inputs that a node can receive.

use std::sync::Arc;

use shaletrail_consensus::Message;
use shaletrail_protocol::{Millis, NodeId};

use crate::config_changes::ChangeId;
use crate::fingerprint::{self, Fingerprint};

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
    /// Hash of sender, recipient and message.
    pub fingerprint: Fingerprint,
}

impl Envelope {
    /// Wraps a message with its sender, its recipient and its fingerprint.
    pub fn new(from: NodeId, to: NodeId, message: Message) -> Envelope {
        let fingerprint = fingerprint::of_debug(&(from, to, &message));
        Envelope { from, to, message, fingerprint }
    }
}

/// An input to one node.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    /// A message arrives.
    Receive(Arc<Envelope>),
    /// The oldest pending sync completes.
    Sync,
    /// The node runs its timers: election time-out, heartbeat or loss of leadership, whichever is due.
    Tick,
    /// The process loses all records that are not synced and restarts.
    Crash {
        /// Whether the first record of the oldest pending write survives, as after a torn write.
        torn_write: bool,
    },
    /// The node loses its disk and restarts with an empty one.
    LoseDisk,
    /// The leader transfers its leadership.
    TransferLeadership,
    /// The leader adds a learner.
    AddLearner(NodeId),
    /// The leader changes the voters.
    ChangeVoters(Vec<NodeId>),
    /// An operator proposes a configuration change.
    Propose(ChangeId),
    /// An operator starts a read with this unique token.
    Read(u64),
}

impl Input {
    /// Hash of the input and the time at which it happens.
    pub fn fingerprint(&self, now: Millis) -> Fingerprint {
        match self {
            Input::Receive(envelope) => fingerprint::of(&(envelope.fingerprint, now)),
            other => fingerprint::of_debug(&(other, now)),
        }
    }
}
