//! Uncertainty about a server: whether it may have accepted orders without the planner's knowledge, and which messages
//! resolve this.

use shaletrail_protocol::Millis;

use crate::catalogue::Catalogue;
use crate::in_flight::{InFlightOrder, EVICTION_TIMEOUT, MAX_LOAD_TIME_S};

/// Maximum age of the values in a report on arrival, in milliseconds.
pub const MAX_REPORT_AGE: Millis = 500;
/// The orders of the previous lease holder are assumed to have ended after this multiple of the longest load time plus
/// [`PREVIOUS_ORDERS_SLACK`].
const PREVIOUS_ORDERS_FACTOR: f64 = 2.0;
/// See [`PREVIOUS_ORDERS_FACTOR`], in milliseconds.
const PREVIOUS_ORDERS_SLACK: Millis = 4_000;

/// Set while an unknown order may be in progress on a server or complete. The server gets no orders until a message
/// resolves the uncertainty.
///
/// Once a heartbeat has resolved it, edges are again told the contents that heartbeats list. This relies on timing and
/// may be wrong, but no order depends on it: the server's revision stays unknown until a report arrives (see
/// [`OrderRevision`](crate::revision::OrderRevision)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uncertainty {
    /// A report that arrives at or after this time resolves the uncertainty.
    pub report_from: Millis,
    /// A heartbeat that arrives at or after this time resolves the uncertainty.
    pub heartbeat_from: Millis,
    /// A report of this or a higher revision resolves the uncertainty at any time.
    pub revision_from: Option<u64>,
}

impl Uncertainty {
    /// Creates the uncertainty about orders that the previous lease holder may have sent until `until`.
    pub fn of_previous_lease(catalogue: &Catalogue, until: Millis) -> Self {
        let longest_load_s = catalogue.models.iter().map(|model| model.load_time_s).fold(0.0, f64::max);
        let loads_end_after = longest_load_s.clamp(0.0, MAX_LOAD_TIME_S) * PREVIOUS_ORDERS_FACTOR * 1_000.0;
        Uncertainty {
            report_from: until + MAX_REPORT_AGE,
            heartbeat_from: until + loads_end_after as Millis + PREVIOUS_ORDERS_SLACK,
            revision_from: None,
        }
    }

    /// Creates the uncertainty about an order without a response, which the server may have accepted or may still
    /// accept.
    pub fn of_unanswered_order(now: Millis, order: &InFlightOrder) -> Self {
        let deadline = order.acceptance_deadline();
        Uncertainty {
            report_from: deadline.max(now).saturating_add(MAX_REPORT_AGE),
            heartbeat_from: deadline.saturating_add(order.load_timeout()),
            revision_from: Some(order.if_revision.saturating_add(1)),
        }
    }

    /// Creates the uncertainty about an order that the planner does not know, or whose state it does not know. A report
    /// resolves it after `report_after` milliseconds.
    pub fn of_unknown_order(now: Millis, report_after: Millis) -> Self {
        Uncertainty {
            report_from: now.saturating_add(report_after),
            heartbeat_from: now.saturating_add(EVICTION_TIMEOUT),
            revision_from: None,
        }
    }

    /// Creates an uncertainty that the next message resolves.
    pub fn until_next_message(now: Millis) -> Self {
        Uncertainty { report_from: now, heartbeat_from: now, revision_from: None }
    }

    /// Returns whether a report of `revision` that arrives at `now` resolves the uncertainty.
    pub fn is_resolved_by_report(&self, now: Millis, revision: u64) -> bool {
        now >= self.report_from || self.revision_from.is_some_and(|from| revision >= from)
    }

    /// Returns whether a heartbeat that arrives at `now` resolves the uncertainty.
    pub fn is_resolved_by_heartbeat(&self, now: Millis) -> bool {
        now >= self.heartbeat_from
    }
}
