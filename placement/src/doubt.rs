//! What is not known of a server, and which messages end that.

use shaletrail_protocol::Millis;

use crate::catalogue::Catalogue;
use crate::in_flight::{InFlight, SLOWEST_EVICTION};

/// How old the values of a report may be, in milliseconds.
pub const REPORT_LAG: Millis = 500;
/// A former holder's orders should be done this long after this many times the longest load, in milliseconds.
const FORMER_SLACK: Millis = 4_000;
const FORMER_LOADS: f64 = 2.0;

/// An order may be under way or done that is not known: nothing is ordered until a message tells.
///
/// Once heartbeats tell, edges are told by them again what is there. That is a matter of time, and may be wrong; no
/// order rests on it, as the count of orders is not known again before a report (see [`OrderCount`](crate::order_count::OrderCount)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Reports of this time or later tell.
    pub report_from: Millis,
    /// Heartbeats of this time or later tell.
    pub heartbeat_from: Millis,
    /// Reports with this count of orders, or a higher one, tell at any time.
    pub count_from: Option<u64>,
}

impl Doubt {
    /// A former holder may have ordered anything until a moment.
    pub fn of_former_orders(catalogue: &Catalogue, until: Millis) -> Self {
        let slowest = catalogue.models.iter().map(|model| model.load_time_s).fold(0.0, f64::max);
        let loads_over = (slowest.clamp(0.0, 3_600.0) * FORMER_LOADS * 1_000.0) as Millis + FORMER_SLACK;
        Doubt { report_from: until + REPORT_LAG, heartbeat_from: until + loads_over, count_from: None }
    }

    /// An order may have been taken, or may still be.
    pub fn of_unanswered(now: Millis, order: &InFlight) -> Self {
        Doubt {
            report_from: order.taken_until().max(now).saturating_add(REPORT_LAG),
            heartbeat_from: order.taken_until().saturating_add(order.slowest_load()),
            count_from: Some(order.named.saturating_add(1)),
        }
    }

    /// Something else is under way than was known.
    pub fn of_unknown_order(now: Millis, report_after: Millis) -> Self {
        let heartbeat_from = now.saturating_add(SLOWEST_EVICTION);
        Doubt { report_from: now.saturating_add(report_after), heartbeat_from, count_from: None }
    }

    /// Any message ends it.
    pub fn ended(now: Millis) -> Self {
        Doubt { report_from: now, heartbeat_from: now, count_from: None }
    }

    /// Whether a report with this count of orders ends it.
    pub fn ends_by_report(&self, now: Millis, count: u64) -> bool {
        now >= self.report_from || self.count_from.is_some_and(|from| count >= from)
    }

    /// Whether a heartbeat ends it.
    pub fn ends_by_heartbeat(&self, now: Millis) -> bool {
        now >= self.heartbeat_from
    }
}
