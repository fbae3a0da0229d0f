//! Uncertainty about a server: which orders it may have accepted without the planner's knowledge, and which messages
//! resolve that.

use shaletrail_protocol::Millis;

use crate::catalogue::Catalogue;
use crate::in_flight::{InFlightOrder, EVICTION_TIMEOUT, MAX_LOAD_TIME_S};

/// Maximum age of the values in a report, in milliseconds.
pub const MAX_REPORT_AGE: Millis = 500;
/// The orders of the previous lease holder should have ended after this multiple of the longest load time, plus
/// [`PREVIOUS_ORDERS_SLACK`].
const PREVIOUS_ORDERS_FACTOR: f64 = 2.0;
/// See [`PREVIOUS_ORDERS_FACTOR`], in milliseconds.
const PREVIOUS_ORDERS_SLACK: Millis = 4_000;

/// An unknown order may be in progress or complete on a server. The server gets no orders until a message resolves that.
///
/// After a heartbeat has resolved it, edges are again told the server's contents by heartbeats. That depends on time and may
/// be wrong, but no order depends on it: the server's revision stays unknown until a report (see
/// [`OrderRevision`](crate::revision::OrderRevision)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uncertainty {
    /// Reports resolve it from this time on.
    pub report_from: Millis,
    /// Heartbeats resolve it from this time on.
    pub heartbeat_from: Millis,
    /// Reports of this revision, or a higher one, resolve it at any time.
    pub revision_from: Option<u64>,
}

impl Uncertainty {
    /// The previous lease holder may have sent any orders until `until`.
    pub fn of_previous_lease(catalogue: &Catalogue, until: Millis) -> Self {
        let longest_load_s = catalogue.models.iter().map(|model| model.load_time_s).fold(0.0, f64::max);
        let loads_end_after = longest_load_s.clamp(0.0, MAX_LOAD_TIME_S) * PREVIOUS_ORDERS_FACTOR * 1_000.0;
        Uncertainty {
            report_from: until + MAX_REPORT_AGE,
            heartbeat_from: until + loads_end_after as Millis + PREVIOUS_ORDERS_SLACK,
            revision_from: None,
        }
    }

    /// There was no response to the order: the server may have accepted it, or may still do so.
    pub fn of_unanswered_order(now: Millis, order: &InFlightOrder) -> Self {
        let deadline = order.acceptance_deadline();
        Uncertainty {
            report_from: deadline.max(now).saturating_add(MAX_REPORT_AGE),
            heartbeat_from: deadline.saturating_add(order.load_timeout()),
            revision_from: Some(order.if_revision.saturating_add(1)),
        }
    }

    /// The server has accepted an order that the planner does not know. Reports resolve it after `report_after` ms.
    pub fn of_unknown_order(now: Millis, report_after: Millis) -> Self {
        Uncertainty {
            report_from: now.saturating_add(report_after),
            heartbeat_from: now.saturating_add(EVICTION_TIMEOUT),
            revision_from: None,
        }
    }

    /// An uncertainty that the next message resolves.
    pub fn until_next_message(now: Millis) -> Self {
        Uncertainty { report_from: now, heartbeat_from: now, revision_from: None }
    }

    /// Whether a report of this revision resolves it.
    pub fn is_resolved_by_report(&self, now: Millis, revision: u64) -> bool {
        now >= self.report_from || self.revision_from.is_some_and(|from| revision >= from)
    }

    /// Whether a heartbeat resolves it.
    pub fn is_resolved_by_heartbeat(&self, now: Millis) -> bool {
        now >= self.heartbeat_from
    }
}
