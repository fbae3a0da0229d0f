//! This edge's part of the retries that the operators allow for a service.
//!
//! Over any window and all edges, arrivals beyond the first of each request may not be more than
//! `ratio * requests + slack`. Each edge keeps to `ratio` of its own requests and an equal part of the slack.

use shaletrail_protocol::Millis;

use crate::sliding_count::SlidingCount;
use crate::Options;

/// Requests and retries of one service at this edge.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    pub fn new(options: &Options) -> Self {
        let count = SlidingCount::over(options.retry_window_ms);
        RetryBudget { requests: count.clone(), retries: count }
    }

    /// Counts a client's request for the service.
    pub fn deposit(&mut self, now: Millis) {
        self.requests.add(now);
    }

    /// Withdraws a retry; returns whether one was left.
    pub fn withdraw(&mut self, now: Millis, edges: u32, options: &Options) -> bool {
        let allowed = self.has_balance(now, edges, options);
        if allowed {
            self.retries.add(now);
        }
        allowed
    }

    /// Whether a retry is left.
    pub fn has_balance(&mut self, now: Millis, edges: u32, options: &Options) -> bool {
        let edges = if edges == 0 { options.assumed_edges } else { edges };
        let slack = match now < options.slack_available_from_ms {
            true => 0.0,
            false => options.retry_slack / f64::from(edges.max(1)),
        };
        let allowance = options.retry_ratio * f64::from(self.requests.lower_bound(now)) + slack;
        f64::from(self.retries.upper_bound(now)) + 1.0 <= allowance * options.budget_fraction
    }

    /// Returns a retry that reached no server.
    pub fn refund(&mut self, now: Millis) {
        self.retries.remove(now);
    }
}
