//! The demand for one model and its adapters.

use std::collections::BTreeMap;

use shaletrail_protocol::Millis;

use crate::rate::Rate;

/// Demand for one adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterDemand {
    /// Rate of arriving requests, in requests per second.
    pub arrivals: Rate,
    /// When the adapter was last requested; `None` if it never was.
    pub last_requested: Option<Millis>,
    /// Number of requests that wait because no server holds the adapter.
    pub waiting: u32,
}

/// Demand for one model, including requests for its adapters.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    /// Rate of tokens of arriving requests, in tokens per second as weighted by the edges.
    pub tokens: Rate,
    /// When the model was last requested; `None` if it never was.
    pub last_requested: Option<Millis>,
    /// Number of requests that wait because no server holds the model or adapter that they need.
    pub waiting: u32,
    /// Number of requests in progress on servers.
    pub in_progress: u32,
    /// When an edge last reported requests that found every replica at its concurrency limit.
    pub last_over_capacity: Option<Millis>,
    /// Priority of the most urgent recently reported requests; 0 is the highest priority.
    pub priority: u8,
    /// When requests of `priority` were last reported.
    pub priority_reported_at: Option<Millis>,
    /// Demand for each adapter that was ever requested, by adapter number.
    pub adapters: BTreeMap<u32, AdapterDemand>,
}

impl ModelDemand {
    /// Returns whether the model was requested less than `span` milliseconds before `now`.
    pub fn is_requested_within(&self, now: Millis, span: Millis) -> bool {
        is_within(self.last_requested, now, span)
    }

    /// Returns the milliseconds since the model was last requested; `Millis::MAX` if it never was.
    pub fn idle_ms(&self, now: Millis) -> Millis {
        self.last_requested.map_or(Millis::MAX, |last| now.saturating_sub(last))
    }
}

/// Returns whether `last` is less than `span` milliseconds before `now`; false for `None`.
pub fn is_within(last: Option<Millis>, now: Millis, span: Millis) -> bool {
    last.is_some_and(|last| now.saturating_sub(last) < span)
}
