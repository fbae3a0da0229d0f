//! Limits the loads from the weight store that a planning pass may plan.

use shaletrail_protocol::Millis;

use super::Planner;
use crate::server::Reservation;
use crate::urgency::Urgency;

/// Loads for models with waiting requests may exceed the concurrency that the weight store serves at full speed by this
/// many.
pub(super) const MAX_URGENT_EXCESS: isize = 2;
/// If the weight store serves at least this many concurrent loads at full speed, one of them is kept free for models
/// with waiting requests.
const MIN_LOADS_FOR_URGENT_SLOT: usize = 3;
/// A load that no request waits for starts only while fewer loads than this, or than one per
/// [`SERVERS_PER_BACKGROUND_LOAD`] ready servers if that is more, are in flight or reserved. A loading server accepts
/// no other order, and the weight store may serve more concurrent loads than there are servers to spare.
const MAX_BACKGROUND_LOADS: usize = 64;
/// See [`MAX_BACKGROUND_LOADS`].
const SERVERS_PER_BACKGROUND_LOAD: usize = 5;

/// Loads from the weight store that a planning pass may still plan.
pub(super) struct LoadBudget {
    /// Loads that the weight store's rate still permits.
    rate: usize,
    /// Loads that the weight store can serve at full speed in addition to those in flight; negative if too many are in
    /// flight.
    concurrency: isize,
    /// Part of `rate` that is reserved for models with waiting requests.
    urgent_rate: usize,
    /// Part of `concurrency` that is reserved for models with waiting requests.
    urgent_concurrency: isize,
    /// Loads that may start although no request waits for them.
    background: isize,
}

impl LoadBudget {
    /// Returns whether a load of this urgency may be planned.
    pub(super) fn allows(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::Waiting => self.rate > 0 && self.concurrency > -MAX_URGENT_EXCESS,
            Urgency::Overloaded | Urgency::Absent => {
                self.rate > self.urgent_rate
                    && self.concurrency > self.urgent_concurrency
                    && self.background > 0
            }
        }
    }

    /// Deducts one load from the budget.
    pub(super) fn take(&mut self) {
        self.rate = self.rate.saturating_sub(1);
        self.concurrency -= 1;
        self.background -= 1;
    }
}

impl Planner {
    /// Returns the budget of a planning pass with `ready` ready servers.
    pub(super) fn load_budget(&mut self, now: Millis, ready: usize) -> LoadBudget {
        let is_reserved_load = |reservation: &Reservation| reservation.from_origin;
        let reservations = self.servers.values().filter_map(|server| server.reservation);
        let reserved = reservations.filter(is_reserved_load).count();
        let in_flight = (reserved + self.origin_loads_in_flight(now)) as isize;
        let max_concurrent = self.catalogue.max_concurrent_loads();
        let max_background = MAX_BACKGROUND_LOADS.max(ready / SERVERS_PER_BACKGROUND_LOAD);
        let urgent_rate = self.origin.limit() as f64 * self.options.urgent_load_share.clamp(0.0, 1.0);
        LoadBudget {
            rate: self.origin.available(now).saturating_sub(reserved),
            concurrency: max_concurrent as isize - in_flight,
            urgent_rate: urgent_rate as usize,
            urgent_concurrency: isize::from(max_concurrent >= MIN_LOADS_FOR_URGENT_SLOT),
            background: max_background as isize - in_flight,
        }
    }

    /// Returns the number of loads from the weight store in flight, excluding those that should have ended by now.
    pub(super) fn origin_loads_in_flight(&self, now: Millis) -> usize {
        let orders = self.servers.values().filter_map(|server| server.in_flight.as_ref());
        orders.filter(|order| order.origin_load.is_some() && !order.is_probably_loaded(now)).count()
    }
}
