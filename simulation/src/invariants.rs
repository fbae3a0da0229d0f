//! The invariants of the system. They are checked against the record of an [`Observer`] only.

mod configuration;
mod orders;
mod requests;
mod violation;

pub use violation::Violation;

use shaletrail_protocol::Millis;

use crate::observer::Observer;

/// Time after a thaw or the end of a partition, in milliseconds, in which messages that a machine had sent or received before
/// may still arrive. They are not checked.
const RESTORATION_GRACE: Millis = 300;

/// The bounds that the invariants are checked against. Each names the setting or the field of a route that it comes from.
#[derive(Clone, Debug)]
pub struct InvariantBounds {
    /// `convergenceMs`, in milliseconds.
    pub convergence: Millis,
    /// `maxAttempts` of all routes.
    pub attempts: usize,
    /// `retryWindowS`, in milliseconds.
    pub retry_window: Millis,
    /// `retryRatio`: retries per request that the budget allows.
    pub retry_ratio: f64,
    /// `retrySlack`: retries that the budget allows beyond the ratio.
    pub retry_slack: f64,
    /// `drainMs`, in milliseconds.
    pub drain: Millis,
    /// `leaseMs`, in milliseconds.
    pub lease: Millis,
    /// `originWindowS`, in milliseconds.
    pub origin_window: Millis,
    /// `originOvershoot`: factor on the rate limit of the weight store.
    pub origin_overshoot: f64,
    /// `loadPerS`: rate limit of the weight store, in loads per second.
    pub load_per_s: f64,
}

/// All violations in a history. Empty if the record satisfies all invariants.
pub fn violations(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = configuration::check_changes_and_reads(observer);
    violations.extend(configuration::check_conflict_responses(observer));
    violations.extend(configuration::check_lost_changes(observer));
    violations.extend(configuration::check_applied_configs(observer, bounds));
    violations.extend(requests::check_drained_servers(observer, bounds));
    violations.extend(requests::check_requests(observer, bounds));
    violations.extend(requests::check_retries(observer, bounds));
    let overdue = observer.overdue_acknowledgements.iter().cloned();
    violations.extend(overdue.map(|(at, description)| Violation::AcknowledgementOverdue { at, description }));
    violations.extend(orders::check_orders(observer, bounds));
    violations.extend(orders::check_loads(observer, bounds));
    violations
}
