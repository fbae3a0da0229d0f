//! This edge's share of the retry budget of a service, which the operators set.
//!
//! The limit on retries that reach servers, in any window and over all edges together, is
//! `ratio * requests + slack`.
//! Each edge is limited to `ratio` of its own requests plus an equal share of the slack. The share of the
//! slack is a lease: it expires one window after the edge sent the last poll that a coordinator answered. If
//! an edge reaches no coordinator for longer, the coordinators no longer count it, and its share is divided
//! among the other edges.

use shaletrail_protocol::Millis;

use crate::sliding_window_counter::SlidingWindowCounter;
use crate::Options;

/// This edge's share of the slack.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlackShare {
    /// Number of edges that share the slack; 0 if it is not known.
    pub edge_count: u32,
    /// When the share expires. `None` before the first poll was answered; the share is valid then.
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

/// The requests and retries of one service at this edge within the retry window.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    requests: SlidingWindowCounter,
    retries: SlidingWindowCounter,
}

impl RetryBudget {
    /// Creates a budget without requests or retries. The retry window is taken from `options`.
    pub fn new(options: &Options) -> Self {
        let count = SlidingWindowCounter::with_window(options.retry_window_ms);
        RetryBudget { requests: count.clone(), retries: count }
    }

    /// Records a client's request for the service.
    pub fn deposit(&mut self, now: Millis) {
        self.requests.add(now);
    }

    /// Withdraws a retry from the budget. Returns whether the budget allowed it.
    pub fn withdraw(&mut self, now: Millis, share: SlackShare, options: &Options) -> bool {
        let allowed = self.has_balance(now, share, options);
        if allowed {
            self.retries.add(now);
        }
        allowed
    }

    /// Whether the budget allows another retry.
    pub fn has_balance(&mut self, now: Millis, share: SlackShare, options: &Options) -> bool {
        let slack = share.slack(now, options);
        let allowance = options.retry_ratio * f64::from(self.requests.lower_bound(now)) + slack;
        f64::from(self.retries.upper_bound(now)) + 1.0 <= allowance * options.retry_budget_fraction
    }

    /// Returns a retry to the budget because it reached no server.
    pub fn refund(&mut self, now: Millis) {
        self.retries.remove(now);
    }
}
