//! A sliding-window rate limit on loads from the weight store (the origin).
//!
//! A load starts between the time its order is sent and the time the response arrives, or within [`ACCEPTANCE_TIMEOUT`]
//! of sending if there is no response. The limiter counts each load at its latest possible start, so that no window
//! exceeds the limit, no matter when the loads actually started.

use shaletrail_protocol::Millis;

/// If an order gets no response, the server accepts it within this time after sending or not at all, in milliseconds.
pub const ACCEPTANCE_TIMEOUT: Millis = 1_500;
/// Upper bound of the number of loads in one window, whatever rate is configured.
const MAX_LOADS_PER_WINDOW: f64 = 10_000.0;

/// Identifies a load that an [`OriginBudget`] has counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadToken(u64);

/// A load that counts towards the window's limit.
#[derive(Clone, Debug)]
struct CountedLoad {
    token: u64,
    latest_start: Millis,
}

/// A budget of loads from the weight store within a sliding window.
#[derive(Clone, Debug)]
pub struct OriginBudget {
    window: Millis,
    /// Maximum number of loads in one window.
    limit: usize,
    /// The limit as a rate, in loads per second.
    per_second: f64,
    loads: Vec<CountedLoad>,
    last_token: u64,
}

impl OriginBudget {
    /// Creates an unused budget with a window of `window` milliseconds, for a weight store that allows `load_per_s`
    /// loads per second.
    pub fn unused(window: Millis, load_per_s: f64) -> Self {
        let mut budget = OriginBudget { window, limit: 0, per_second: 0.0, loads: Vec::new(), last_token: 0 };
        budget.set_rate(load_per_s);
        budget
    }

    /// Creates a budget that the previous lease holder may have exhausted by `now`. The loads that it may have started
    /// leave the window at the weight store's rate.
    pub fn exhausted(now: Millis, window: Millis, load_per_s: f64) -> Self {
        let mut budget = OriginBudget::unused(window, load_per_s);
        for number in 1..=budget.limit {
            let freed_at = now + (number as f64 / budget.per_second * 1_000.0) as Millis;
            budget.count(freed_at.saturating_sub(window));
        }
        budget
    }

    /// Changes the weight store's rate, in loads per second. The limit is at least one load per window, also for an
    /// invalid rate.
    pub fn set_rate(&mut self, load_per_s: f64) {
        let window_s = (self.window.max(1)) as f64 / 1_000.0;
        let allowed = if load_per_s.is_finite() { load_per_s * window_s } else { 0.0 };
        self.limit = allowed.clamp(1.0, MAX_LOADS_PER_WINDOW) as usize;
        self.per_second = allowed.clamp(1.0, MAX_LOADS_PER_WINDOW) / window_s;
    }

    /// Returns the maximum number of loads that may start within one window.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of loads that may be ordered now.
    pub fn available(&mut self, now: Millis) -> usize {
        self.loads.retain(|load| load.latest_start.saturating_add(self.window) > now);
        self.limit.saturating_sub(self.loads.len())
    }

    /// Counts a load whose order is sent at `now`. Unless [`OriginBudget::order_accepted`] follows, it counts at its
    /// latest possible start.
    pub fn order_sent(&mut self, now: Millis) -> LoadToken {
        self.count(now.saturating_add(ACCEPTANCE_TIMEOUT))
    }

    /// Records that the server has accepted the order, so that its load has started by `now` at the latest.
    pub fn order_accepted(&mut self, now: Millis, token: LoadToken) {
        if let Some(load) = self.loads.iter_mut().find(|load| load.token == token.0) {
            load.latest_start = now;
        }
    }

    /// Removes a load whose order the server has certainly not accepted.
    pub fn cancel(&mut self, token: LoadToken) {
        self.loads.retain(|load| load.token != token.0);
    }

    fn count(&mut self, latest_start: Millis) -> LoadToken {
        self.last_token += 1;
        self.loads.push(CountedLoad { token: self.last_token, latest_start });
        LoadToken(self.last_token)
    }
}
