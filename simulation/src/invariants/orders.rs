//! Invariants of orders to model servers: a single lease holder at a time, the load rate and the capacity.

use std::collections::BTreeMap;

use shaletrail_protocol::{Millis, ServerId};

use super::{InvariantBounds, Violation, RESTORATION_GRACE};
use crate::observer::{ObservedOrder, Observer};

/// Number of loads per window that are allowed beyond the rate limit of the weight store.
const LOAD_RATE_SLACK: f64 = 3.0;

/// Checks, for each server, that fencing tokens never decrease and that they increase with each change of the lease holder, and
/// that orders of different holders are at least a lease apart.
pub(super) fn check_orders(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut last: BTreeMap<&ServerId, &ObservedOrder> = BTreeMap::new();
    let restored = |order: &ObservedOrder| {
        let restorations = observer.restorations.get(&order.from).into_iter().flatten();
        restorations.into_iter().any(|at| (*at..=at + RESTORATION_GRACE).contains(&order.at))
    };
    for order in observer.orders.iter().filter(|order| !restored(order)) {
        let Some(before) = last.insert(&order.server, order) else { continue };
        let lease_holder_changed = before.lease_holder != order.lease_holder || before.from != order.from;
        if order.fencing_token < before.fencing_token
            || (lease_holder_changed && order.fencing_token == before.fencing_token)
        {
            violations
                .push(Violation::FencingTokenRegression { before: before.clone(), after: order.clone() });
        }
        if lease_holder_changed && order.at - before.at < bounds.lease {
            violations.push(Violation::LeaseOverlap { before: before.clone(), after: order.clone() });
        }
    }
    violations
}

/// Checks the rate of loads from the weight store, and that no order exceeded the capacity of a server.
pub(super) fn check_loads(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let window_s = bounds.origin_window as f64 / 1_000.0;
    let allowed = bounds.load_per_s * window_s * bounds.origin_overshoot + LOAD_RATE_SLACK;
    for (at, _) in &observer.store_loads {
        let in_window = |other: &&(Millis, String)| other.0 <= *at && other.0 + bounds.origin_window > *at;
        let count = observer.store_loads.iter().filter(in_window).count();
        if count as f64 > allowed {
            violations.push(Violation::LoadRateExceeded { at: *at, loads: count });
        }
    }
    violations.extend(observer.capacity_violations.iter().map(|(at, server, description)| {
        Violation::CapacityExceeded { at: *at, server: server.clone(), description: description.clone() }
    }));
    violations
}
