//! Messages in flight, and what may happen to a node.

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
    /// Of sender, recipient and message.
    pub fingerprint: Fingerprint,
}

impl Envelope {
    /// Addresses a message.
    pub fn new(from: NodeId, to: NodeId, message: Message) -> Envelope {
        let fingerprint = fingerprint::of_debug(&(from, to, &message));
        Envelope { from, to, message, fingerprint }
    }
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    /// A message arrives.
    Receive(Arc<Envelope>),
    /// The oldest pending sync completes.
    Sync,
    /// The node does what is due.
    Tick,
    /// The process loses what isn't synced and starts again.
    Crash {
        /// Whether the first record of the next sync is kept: a torn write.
        torn_write: bool,
    },
    /// The node loses its disk and starts again.
    LoseDisk,
    /// The leader transfers its leadership.
    TransferLeadership,
    /// The leader adds a learner.
    AddLearner(NodeId),
    /// The leader changes the voters.
    ChangeVoters(Vec<NodeId>),
    /// An operator proposes a change.
    Propose(ChangeId),
    /// An operator reads; the token names the read.
    Read(u64),
}

impl Input {
    /// Of the input and the moment at which it happens.
    pub fn fingerprint(&self, now: Millis) -> Fingerprint {
        match self {
            Input::Receive(envelope) => fingerprint::of(&(envelope.fingerprint, now)),
            other => fingerprint::of_debug(&(other, now)),
        }
    }
}
