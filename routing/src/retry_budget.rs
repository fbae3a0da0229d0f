//! This edge's part of the retries that the operators allow for a service.
//!
//! Over any window and all edges, arrivals beyond the first of each request may not be more than
//! `ratio * requests + slack`. Each edge keeps to `ratio` of its own requests and an equal part of the slack. That part has a
//! term, as a lease has: one window from the sending of the last poll that a coordinator answered. An edge that reaches no
//! coordinator for longer is no longer counted by them, and the others' parts have grown by its own.

use shaletrail_protocol::Millis;

use crate::sliding_window_counter::SlidingWindowCounter;
use crate::Options;

/// This edge's part of the slack.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlackShare {
    /// The edges among which the slack is divided; 0 where that is not known.
    pub edge_count: u32,
    /// When the part ends; `None` before the first poll was answered.
    pub expires_at: Option<Millis>,
}

impl SlackShare {
    fn slack(self, now: Millis, options: &Options) -> f64 {
        let is_expired = self.expires_at.is_some_and(|expires_at| now >= expires_at);
        if is_expired || now < options.slack_available_from_ms {
            return 0.0;
        }
        let edge_count = if self.edge_count == 0 { options.assumed_edges } else { self.edge_count };
        options.retry_slack / f64::from(edge_count.max(1))
    }
}

/// Requests and retries of one service at this edge.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    requests: SlidingWindowCounter,
    retries: SlidingWindowCounter,
}

impl RetryBudget {
    pub fn new(options: &Options) -> Self {
        let count = SlidingWindowCounter::with_window(options.retry_window_ms);
        RetryBudget { requests: count.clone(), retries: count }
    }

    /// Counts a client's request for the service.
    pub fn deposit(&mut self, now: Millis) {
        self.requests.add(now);
    }

    /// Withdraws a retry; returns whether one was left.
    pub fn withdraw(&mut self, now: Millis, share: SlackShare, options: &Options) -> bool {
        let allowed = self.has_balance(now, share, options);
        if allowed {
            self.retries.add(now);
        }
        allowed
    }

    /// Whether a retry is left.
    pub fn has_balance(&mut self, now: Millis, share: SlackShare, options: &Options) -> bool {
        let slack = share.slack(now, options);
        let allowance = options.retry_ratio * f64::from(self.requests.lower_bound(now)) + slack;
        f64::from(self.retries.upper_bound(now)) + 1.0 <= allowance * options.budget_fraction
    }

    /// Returns a retry that reached no server.
    pub fn refund(&mut self, now: Millis) {
        self.retries.remove(now);
    }
}
