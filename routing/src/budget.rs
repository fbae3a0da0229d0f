//! The edge's part of the repeats that the operators allow for a service.
//!
//! Over any window and all edges, arrivals beyond the first of each request may not be more than
//! `ratio * requests + slack`. Each edge keeps to `ratio` of its own requests and an equal part of the slack.

use shaletrail_protocol::Millis;

use crate::window::SlidingCount;
use crate::Options;

/// Requests and repeats of one service at this edge.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    requests: SlidingCount,
    repeats: SlidingCount,
}

impl Budget {
    pub fn new(options: &Options) -> Self {
        let count = SlidingCount::over(options.retry_window_ms);
        Budget { requests: count.clone(), repeats: count }
    }

    /// A request of a client for the service has come.
    pub fn count_request(&mut self, now: Millis) {
        self.requests.add(now);
    }

    /// Counts a repeat if one is left.
    pub fn take(&mut self, now: Millis, edges: u32, options: &Options) -> bool {
        let allowed = self.has_left(now, edges, options);
        if allowed {
            self.repeats.add(now);
        }
        allowed
    }

    /// Whether a repeat is left.
    pub fn has_left(&mut self, now: Millis, edges: u32, options: &Options) -> bool {
        let edges = if edges == 0 { options.assumed_edges } else { edges };
        let slack = match now < options.slack_from_ms {
            true => 0.0,
            false => options.retry_slack / f64::from(edges.max(1)),
        };
        let part = options.retry_ratio * f64::from(self.requests.at_least(now)) + slack;
        f64::from(self.repeats.at_most(now)) + 1.0 <= part * options.budget_share
    }

    /// A repeat that was taken did not arrive anywhere.
    pub fn give_back(&mut self, now: Millis) {
        self.repeats.take_back(now);
    }
}
