//! What a node knows about one server: its load, its warm-up and its failures.

use std::collections::BTreeMap;

use super::{figures::ConcurrencyLimit, MAX_TICK};
use crate::interface::*;

/// A server with two failures within `FAILURE_WINDOW` is ejected for about `EJECTION_TIME`, by all nodes that
/// are notified: an overloaded server recovers only when it is left idle.
pub(super) const FAILURE_WINDOW: Seconds = 2.0;
pub(super) const EJECTION_TIME: Seconds = 4.0;

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) entry: RosterEntry,
    pub(super) in_flight: u32,
    /// Determines its points in the slot array; 0 when it has none.
    pub(super) size: f64,
    /// Size times warm-up fraction; 0 while nothing may be sent to it.
    pub(super) capacity: f64,
    /// Token bucket of attempts while it is cold.
    pub(super) allowance: f64,
    /// Number in flight above which answers get slow, learnt from latencies.
    pub(super) limit: ConcurrencyLimit,
    /// With a limit below 1, end of the pauses after what it was sent; up to two pauses may be saved up.
    pub(super) paced_until: Seconds,
    /// When any node last saw it fail, and until when it is ejected.
    pub(super) last_failure: Seconds,
    pub(crate) ejected_until: Seconds,
    /// When an attempt here last ended.
    pub(super) last_used: Seconds,
    /// When it last answered, and when the latest attempt was sent that it has answered.
    pub(super) last_answer: Seconds,
    pub(super) newest_answered: Seconds,
    /// When a connection to it was last reset while in use.
    pub(super) last_reset: Seconds,
    /// Classes whose last attempts failed: how many, and until when the class is sent elsewhere.
    pub(super) class_failures: BTreeMap<usize, (u32, Seconds)>,
}

impl Server {
    /// One attempt may get lost anywhere; two of a class with no answer in between count against the server.
    pub(super) fn add_result(&mut self, class: usize, failed: bool, now: Seconds) {
        if !failed {
            self.class_failures.remove(&class);
            return;
        }
        let (count, until) = self.class_failures.entry(class).or_default();
        *count += 1;
        *until = if *count > 1 { now + FAILURE_WINDOW } else { *until };
    }

    pub(super) fn class_ejected(&self, class: usize, now: Seconds) -> bool {
        self.class_failures.get(&class).is_some_and(|(_, until)| now < *until)
    }

    /// Fraction of its capacity that a recently started server can take.
    pub(super) fn warmup_fraction(&self, now: Seconds, guarantees: &Guarantees) -> f64 {
        if cfg!(feature = "without-warmup") {
            return 1.0;
        }
        let started = self.entry.started.unwrap_or(f64::NEG_INFINITY);
        let remaining = (1.0 - (now - started) / guarantees.warmup_time.max(MAX_TICK)).clamp(0.0, 1.0);
        1.0 - (1.0 - guarantees.cold_capacity) * remaining
    }
}
