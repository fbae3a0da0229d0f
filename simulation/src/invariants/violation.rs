//! The violations that the checks of the invariants report.

use std::fmt;

use shaletrail_protocol::{Millis, NodeId, ServerId};

use crate::observer::ObservedOrder;

/// A violated invariant, with the observations that show it. Times are virtual time in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two changes of one base version were both acknowledged.
    ConflictingAcknowledgements {
        /// The version that both are based on.
        base: u64,
        /// The acknowledged changes.
        changes: Vec<u64>,
    },
    /// A change was rejected after it had been acknowledged, or was applied though it had been rejected.
    RejectedAfterAcceptance {
        /// The rejected change.
        change: u64,
    },
    /// A conflict response named a version as current that cannot be: the base of the rejected change, or one that is older
    /// than a version acknowledged or read before.
    FalseConflict {
        /// The rejected change.
        change: u64,
        /// The version that it is based on.
        base: u64,
        /// The version that the response called current.
        current: u64,
        /// The newest version that was acknowledged or read before the change was sent.
        known: u64,
    },
    /// A valid change was rejected as invalid.
    ValidChangeRejected {
        /// The rejected change.
        change: u64,
    },
    /// An acknowledged change was overwritten by a later one that was based on an older version.
    LostChange {
        /// The acknowledged change.
        change: u64,
        /// The later change, which is applied or acknowledged.
        later: u64,
    },
    /// A read that began after an acknowledgement returned an older version.
    StaleRead {
        /// When the read was first sent.
        started_at: Millis,
        /// The version that was read.
        read: u64,
        /// The version that had been acknowledged.
        acknowledged: u64,
    },
    /// A configuration that was read differs from the one that was written.
    ReadDiffersFromWrite {
        /// The version of both.
        version: u64,
    },
    /// Two different configurations have one version.
    DivergentVersion {
        /// The version of both.
        version: u64,
    },
    /// An edge applied a version that is not newer than its former one.
    VersionRegression {
        /// The edge that applied it.
        edge: NodeId,
        /// The version before.
        from: u64,
        /// The version after.
        to: u64,
    },
    /// An edge, with or without quorum contact, applied a configuration that had been superseded for longer than the bound. A
    /// coordinator served it although it could not know whether it was current.
    SupersededConfigApplied {
        /// The edge that applied it.
        edge: NodeId,
        /// The superseded version.
        version: u64,
        /// The version that had been acknowledged long before.
        acknowledged: u64,
    },
    /// A request was sent to a server whose draining had been acknowledged more than `drainMs` before.
    SentToDraining {
        /// The draining server.
        server: ServerId,
        /// When its draining was acknowledged.
        acknowledged: Millis,
        /// When the request was sent.
        sent: Millis,
        /// The edge that sent it.
        edge: NodeId,
    },
    /// An edge with quorum contact handled a request with a version that had been superseded more than `convergenceMs`
    /// earlier.
    StaleConfigInUse {
        /// The request's number.
        request: u64,
        /// The version that the edge had applied.
        version: u64,
        /// The version that had been acknowledged.
        acknowledged: u64,
    },
    /// A valid request got a status that only an invalid one may get.
    RequestDenied {
        /// The request's number.
        request: u64,
        /// The status of its response.
        status: u16,
    },
    /// A request was executed on more servers than `maxAttempts` allows.
    TooManyServers {
        /// The request's number.
        request: u64,
    },
    /// A service got more retries within `retryWindowS` than its budget allows.
    RetryBudgetExceeded {
        /// The name of the service.
        service: String,
        /// The end of the window.
        at: Millis,
        /// The number of retries in the window.
        retries: usize,
        /// The number of retries that the budget allows.
        allowed: f64,
    },
    /// A call or a draining was not acknowledged in time although no fault was in effect.
    AcknowledgementOverdue {
        /// When it was overdue.
        at: Millis,
        /// The call or the server that waits for its acknowledgement.
        description: String,
    },
    /// A request that is not idempotent was executed twice.
    ExecutedTwice {
        /// The request's number.
        request: u64,
    },
    /// A request that is not idempotent was retried although it may have been executed.
    UnsafeRetry {
        /// The request's number.
        request: u64,
    },
    /// A request was executed although its client got a status that guarantees the opposite.
    ExecutedAfterRejection {
        /// The request's number.
        request: u64,
    },
    /// A fencing token decreased, or two lease holders used the same one.
    FencingTokenRegression {
        /// The earlier order.
        before: ObservedOrder,
        /// The later order.
        after: ObservedOrder,
    },
    /// Orders of two lease holders are less than a lease apart.
    LeaseOverlap {
        /// The earlier order.
        before: ObservedOrder,
        /// The later order.
        after: ObservedOrder,
    },
    /// More loads from the weight store began within `originWindowS` than its rate limit allows.
    LoadRateExceeded {
        /// The end of the window.
        at: Millis,
        /// The number of loads in the window.
        loads: usize,
    },
    /// An order made a server exceed its memory or adapter capacity.
    CapacityExceeded {
        /// When the server accepted the order.
        at: Millis,
        /// The overloaded server.
        server: ServerId,
        /// The models and adapters that it would have loaded.
        description: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}
