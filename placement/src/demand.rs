//! The demand for one model and for its adapters.

use std::collections::BTreeMap;

use shaletrail_protocol::Millis;

use crate::rate::Rate;

/// Demand for one adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterDemand {
    /// Rate of arriving requests.
    pub arrivals: Rate,
    /// When the adapter was last requested.
    pub last_requested: Option<Millis>,
    /// Requests that wait because no server holds the adapter.
    pub waiting: u32,
}

/// Demand for one model, with or without adapters.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    /// Rate of the tokens of arriving requests, as weighted by the edges.
    pub tokens: Rate,
    /// When the model was last requested.
    pub last_requested: Option<Millis>,
    /// Requests that wait because no server holds what they need.
    pub waiting: u32,
    /// Requests in progress on servers.
    pub open: u32,
    /// When requests last found every replica at its concurrency limit.
    pub last_over_capacity: Option<Millis>,
    /// Priority of the most urgent requests that were reported lately, 0 for the most urgent of all.
    pub priority: u8,
    /// When requests of that priority were last reported.
    pub priority_reported_at: Option<Millis>,
    /// Adapters that were ever requested, by number.
    pub adapters: BTreeMap<u32, AdapterDemand>,
}

impl ModelDemand {
    /// Whether the model was requested within `span` milliseconds before `now`.
    pub fn is_requested_within(&self, now: Millis, span: Millis) -> bool {
        is_within(self.last_requested, now, span)
    }

    /// Milliseconds since the model was last requested; `Millis::MAX` if it never was.
    pub fn idle_ms(&self, now: Millis) -> Millis {
        self.last_requested.map_or(Millis::MAX, |last| now.saturating_sub(last))
    }
}

/// Whether `last` lies less than `span` milliseconds before `now`.
pub fn is_within(last: Option<Millis>, now: Millis, span: Millis) -> bool {
    last.is_some_and(|last| now.saturating_sub(last) < span)
}
