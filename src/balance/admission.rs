//! Admission of requests and retries: tenant quotas and the retry budget.

use std::collections::VecDeque;

use super::Node;
use crate::interface::*;

/// Burst, in requests, of a tenant's quota and of a cold server's allowance: sparse requests come unevenly.
pub(super) const BURST: f64 = 4.0;
/// Retry budget where the settings state none: retries must not become a retry storm.
pub(super) const DEFAULT_BUDGET: Budget = Budget { span: 10.0, free: 20.0, ratio: 0.1 };

/// A tenant's token bucket at this node, and its requests per second, smoothed over the warm-up time.
#[derive(Clone, Default)]
pub(super) struct TokenBucket {
    pub(super) tokens: f64,
    pub(super) refilled: Seconds,
    pub(super) rate: f64,
}

/// Rule 5: requests and retries within the budget's span, exact where a token bucket would let bursts pass.
#[derive(Default)]
pub(super) struct RetryWindow {
    pub(super) requests: VecDeque<Seconds>,
    pub(super) retries: VecDeque<Seconds>,
}

impl RetryWindow {
    pub(super) fn allows_retry(&mut self, budget: &Budget, now: Seconds, slack: Seconds) -> bool {
        let window_start = now - budget.span;
        if cfg!(feature = "without-budget") {
            return true;
        }
        self.requests.drain(..self.requests.partition_point(|&at| at < window_start + slack));
        self.retries.drain(..self.retries.partition_point(|&at| at < window_start - slack));
        self.retries.len() as f64 + 1.0 <= budget.free + budget.ratio * self.requests.len() as f64
    }
}

impl Node {
    /// Takes a token from the tenant's bucket. Nodes carry unequal parts of the load, so buckets refill at
    /// the part of its quota that the least demanding tenant uses here, but at an even share at least.
    pub(super) fn over_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let (warmup_time, even, quotas) = (self.warmup_time(), self.node_share(1.0), &self.settings.tenants);
        let usage = quotas.iter().zip(&self.tenants).map(|(q, t)| t.rate / q.quota).fold(f64::MAX, f64::min);
        let Some(t) = tenant.and_then(|t| self.tenants.get_mut(t.0)) else { return false };
        let quota = tenant.map_or(0.0, |t| quotas[t.0].quota);
        let refill_rate = quota * usage.max(even);
        t.rate += 1.0 / warmup_time;
        t.tokens = (t.tokens + refill_rate * (self.now - t.refilled)).min(refill_rate.max(BURST));
        t.refilled = self.now;
        let over = t.tokens < 1.0;
        t.tokens -= f64::from(!over);
        over
    }

    /// Each of two processes of one node gets half of what does not grow with its own requests.
    pub(super) fn on_second_process(&mut self, shared: bool) {
        let share = if shared { 0.5 } else { 1.0 };
        let budget = self.settings.guarantees.budget.unwrap_or(DEFAULT_BUDGET);
        self.budget = Budget { free: budget.free * share, ..budget };
        self.burst = BURST * share;
        self.servers.values_mut().for_each(|s| s.allowance = s.allowance.min(self.burst));
    }
}
