//! A sliding-window rate limit on loads from the weight store (the origin).
//!
//! A load starts between the time its order is sent and the time the response arrives, or up to [`ACCEPTANCE_TIMEOUT`]
//! after sending if there is no response. The limiter counts the latest possible start, so that no window exceeds the
//! limit, whenever each load really started.

use shaletrail_protocol::Millis;

/// A server accepts an order without a response within this time of its sending or never, in milliseconds.
pub const ACCEPTANCE_TIMEOUT: Millis = 1_500;
/// Upper bound of the limit for one window.
const MAX_LOADS_PER_WINDOW: f64 = 10_000.0;

/// Identifies a counted load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadToken(u64);

/// A load that counts in the window.
#[derive(Clone, Debug)]
struct CountedLoad {
    token: u64,
    latest_start: Millis,
}

/// The loads from the weight store that count in the current window.
#[derive(Clone, Debug)]
pub struct OriginBudget {
    window: Millis,
    limit: usize,
    per_second: f64,
    loads: Vec<CountedLoad>,
    last_token: u64,
}

impl OriginBudget {
    /// A budget with an empty window of `window` milliseconds, for a store that allows `load_per_s` loads per second.
    pub fn unused(window: Millis, load_per_s: f64) -> Self {
        let mut budget = OriginBudget { window, limit: 0, per_second: 0.0, loads: Vec::new(), last_token: 0 };
        budget.set_rate(load_per_s);
        budget
    }

    /// A budget that the previous lease holder may have exhausted by `now`. The loads that it may have started leave the
    /// window at the store's rate.
    pub fn exhausted(now: Millis, window: Millis, load_per_s: f64) -> Self {
        let mut budget = OriginBudget::unused(window, load_per_s);
        for number in 1..=budget.limit {
            let freed_at = now + (number as f64 / budget.per_second * 1_000.0) as Millis;
            budget.count(freed_at.saturating_sub(window));
        }
        budget
    }

    /// Changes the store's rate, in loads per second. The limit is at least one load per window.
    pub fn set_rate(&mut self, load_per_s: f64) {
        let window_s = (self.window.max(1)) as f64 / 1_000.0;
        let allowed = if load_per_s.is_finite() { load_per_s * window_s } else { 0.0 };
        self.limit = allowed.clamp(1.0, MAX_LOADS_PER_WINDOW) as usize;
        self.per_second = allowed.clamp(1.0, MAX_LOADS_PER_WINDOW) / window_s;
    }

    /// Number of loads that may start within one window.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of loads that may be ordered now.
    pub fn available(&mut self, now: Millis) -> usize {
        self.loads.retain(|load| load.latest_start.saturating_add(self.window) > now);
        self.limit.saturating_sub(self.loads.len())
    }

    /// Counts a load whose order is sent now.
    pub fn order_sent(&mut self, now: Millis) -> LoadToken {
        self.count(now.saturating_add(ACCEPTANCE_TIMEOUT))
    }

    /// The server has accepted the order: the load started by now at the latest.
    pub fn order_accepted(&mut self, now: Millis, token: LoadToken) {
        if let Some(load) = self.loads.iter_mut().find(|load| load.token == token.0) {
            load.latest_start = now;
        }
    }

    /// The server has certainly not accepted the order: its load no longer counts.
    pub fn cancel(&mut self, token: LoadToken) {
        self.loads.retain(|load| load.token != token.0);
    }

    fn count(&mut self, latest_start: Millis) -> LoadToken {
        self.last_token += 1;
        self.loads.push(CountedLoad { token: self.last_token, latest_start });
        LoadToken(self.last_token)
    }
}
