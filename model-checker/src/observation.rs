//! What a transition of a node shows to the invariants.

use shaletrail_consensus::{Index, LogPosition, Term};
use shaletrail_protocol::Millis;

use crate::config_changes::ChangeId;
use crate::fingerprint::Fingerprint;

/// Something that a node did in a transition.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
    /// It became leader.
    BecameLeader {
        /// The term that it leads.
        term: Term,
        /// The last entry that its snapshot covers.
        snapshot_index: Index,
        /// The entries that its log holds after the snapshot.
        log: Vec<LogPosition>,
    },
    /// It applied an entry.
    Applied {
        /// Where the entry stands in the log.
        position: LogPosition,
        /// Of the entry's payload.
        payload: Fingerprint,
        /// Of the state after it.
        state: Fingerprint,
    },
    /// It installed a snapshot.
    InstalledSnapshot {
        /// The last entry that the snapshot covers.
        index: Index,
        /// Of the state in it.
        state: Fingerprint,
    },
    /// Its state machine evaluated a change.
    EvaluatedChange {
        /// The entry of the change.
        index: Index,
        /// The change that was evaluated.
        change: ChangeId,
        /// What came of it.
        outcome: EvaluatedOutcome,
    },
    /// It responded to the operator's proposal.
    RespondedToChange {
        /// The entry of the change.
        index: Index,
        /// The change that was proposed.
        change: ChangeId,
        /// Whether the response acknowledges the change; otherwise it rejects it.
        acknowledged: bool,
    },
    /// It served a read from its state.
    ServedRead {
        /// The id of the read.
        token: u64,
        /// The last entry applied to that state.
        index: Index,
    },
    /// It acquired the lease of orders.
    AcquiredOrderLease {
        /// The term, which fences orders of older holders.
        fencing_token: Term,
        /// When it may send its first order.
        orders_from: Millis,
    },
    /// It may write orders, unless it loses its leadership before.
    MayWriteOrders {
        /// The term of the holder.
        fencing_token: Term,
        /// The end of its leader lease.
        until: Millis,
    },
    /// It lost its leadership, after which it writes no order.
    LostOrderLease {
        /// The term that it led.
        fencing_token: Term,
        /// When it lost it.
        at: Millis,
    },
}

/// What came of a change that a state machine evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvaluatedOutcome {
    /// It is in force from this entry on.
    Accepted,
    /// It was in force already.
    Duplicate,
    /// It is not in force.
    Rejected,
}
