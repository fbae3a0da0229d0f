//! Observations that a transition reports to the invariant checker.

use shaletrail_consensus::{Index, LogPosition, Term};
use shaletrail_protocol::Millis;

use crate::config_changes::ChangeId;
use crate::fingerprint::Fingerprint;

/// Something that a node did during a transition.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
    /// The node became leader.
    BecameLeader {
        /// The term of the leadership.
        term: Term,
        /// Index of the last entry covered by its snapshot.
        snapshot_index: Index,
        /// Positions of the entries in its log after the snapshot.
        log: Vec<LogPosition>,
    },
    /// The node applied an entry.
    Applied {
        /// Index and term of the entry.
        position: LogPosition,
        /// Hash of the entry's payload.
        payload: Fingerprint,
        /// Hash of the state after the entry.
        state: Fingerprint,
    },
    /// The node installed a snapshot.
    InstalledSnapshot {
        /// Index of the last entry covered by the snapshot.
        index: Index,
        /// Hash of the state in the snapshot.
        state: Fingerprint,
    },
    /// The node's state machine evaluated a change.
    EvaluatedChange {
        /// Index of the entry that contains the change.
        index: Index,
        /// The change that was evaluated.
        change: ChangeId,
        /// The result of the evaluation.
        outcome: EvaluatedOutcome,
    },
    /// The node responded to an operator's proposal.
    RespondedToChange {
        /// Index of the entry that contains the change.
        index: Index,
        /// The change that was proposed.
        change: ChangeId,
        /// True if the response acknowledges the change, false if it rejects it.
        acknowledged: bool,
    },
    /// The node served a read from its applied state.
    ServedRead {
        /// The token of the read.
        token: u64,
        /// Index of the last entry applied to the state that was read.
        index: Index,
    },
    /// The node acquired the order lease.
    AcquiredOrderLease {
        /// The leader's term, which fences off orders of earlier holders.
        fencing_token: Term,
        /// The earliest time at which the node may send an order.
        orders_from: Millis,
    },
    /// The node may write orders until the given time, unless it loses leadership earlier.
    MayWriteOrders {
        /// The term in which the node holds the order lease.
        fencing_token: Term,
        /// The end of the node's leader lease.
        until: Millis,
    },
    /// The node lost leadership and writes no further orders.
    LostOrderLease {
        /// The term of the lost leadership.
        fencing_token: Term,
        /// When leadership was lost.
        at: Millis,
    },
}

/// The result of evaluating a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvaluatedOutcome {
    /// The change comes into force with this entry.
    Accepted,
    /// The change was already in force.
    Duplicate,
    /// The change was rejected.
    Rejected,
}
