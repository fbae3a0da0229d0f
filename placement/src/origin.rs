//! How many loads from the weight store may begin.
//!
//! A load begins between the moment at which its order is sent and the moment at which the answer is there, or
//! at the latest [`ACCEPTANCE_TIMEOUT`] later where no answer came. Counted is the latest moment, so that no window of
//! the rule's length sees more than its limit, wherever in its span each load began.

use shaletrail_protocol::Millis;

/// An order without an answer is taken within this time or never, in milliseconds.
pub const ACCEPTANCE_TIMEOUT: Millis = 1_500;
/// Bound of the limit in one window.
const MOST: f64 = 10_000.0;

/// Names a load that was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadToken(u64);

#[derive(Clone, Debug)]
struct Begun {
    token: u64,
    latest: Millis,
}

/// Loads from the weight store in the last window.
#[derive(Clone, Debug)]
pub struct OriginBudget {
    window: Millis,
    limit: usize,
    per_second: f64,
    begun: Vec<Begun>,
    next: u64,
}

impl OriginBudget {
    /// A budget of which nothing has been used.
    pub fn unused(window: Millis, load_per_s: f64) -> Self {
        let mut budget = OriginBudget { window, limit: 0, per_second: 0.0, begun: Vec::new(), next: 0 };
        budget.set_rate(load_per_s);
        budget
    }

    /// A budget that a former holder may have used up: what it may have begun is freed at the store's rate.
    pub fn exhausted(now: Millis, window: Millis, load_per_s: f64) -> Self {
        let mut budget = OriginBudget::unused(window, load_per_s);
        for number in 1..=budget.limit {
            let freed = now + (number as f64 / budget.per_second * 1_000.0) as Millis;
            budget.count(freed.saturating_sub(window));
        }
        budget
    }

    /// Takes over a changed rate of the store, in loads a second. At least one load a window is allowed.
    pub fn set_rate(&mut self, load_per_s: f64) {
        let window_s = (self.window.max(1)) as f64 / 1_000.0;
        let allowed = if load_per_s.is_finite() { load_per_s * window_s } else { 0.0 };
        self.limit = allowed.clamp(1.0, MOST) as usize;
        self.per_second = allowed.clamp(1.0, MOST) / window_s;
    }

    /// Loads that may begin in one window.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Loads that may still be ordered now.
    pub fn available(&mut self, now: Millis) -> usize {
        self.begun.retain(|begun| begun.latest.saturating_add(self.window) > now);
        self.limit.saturating_sub(self.begun.len())
    }

    /// Counts a load whose order is sent now.
    pub fn order(&mut self, now: Millis) -> LoadToken {
        self.count(now.saturating_add(ACCEPTANCE_TIMEOUT))
    }

    /// The order's answer is there: the load began by now.
    pub fn accepted(&mut self, now: Millis, token: LoadToken) {
        if let Some(begun) = self.begun.iter_mut().find(|begun| begun.token == token.0) {
            begun.latest = now;
        }
    }

    /// The order was surely not taken.
    pub fn cancel(&mut self, token: LoadToken) {
        self.begun.retain(|begun| begun.token != token.0);
    }

    fn count(&mut self, latest: Millis) -> LoadToken {
        self.next += 1;
        self.begun.push(Begun { token: self.next, latest });
        LoadToken(self.next)
    }
}
