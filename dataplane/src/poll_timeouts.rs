//! Time-outs of the long polls of a coordinator.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Limits of [`PollTimeouts::max_wait`].
const MAX_WAIT_RANGE_MS: RangeInclusive<u64> = 100..=1000;
/// Limits of [`PollTimeouts::max_delay`].
const DELAY_RANGE_MS: RangeInclusive<u64> = 150..=400;
/// [`PollTimeouts::max_wait`] is the tightest bound divided by this.
const MAX_WAIT_DIVISOR: u64 = 4;
/// [`PollTimeouts::max_delay`] is the tightest bound divided by this.
const DELAY_DIVISOR: u64 = 6;

/// The time-outs of a long poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTimeouts {
    /// How long a coordinator holds a poll when it has nothing new to report.
    pub max_wait: Duration,
    /// How long after `max_wait` a response may arrive before another coordinator is polled.
    pub max_delay: Duration,
}

impl PollTimeouts {
    /// Derives the time-outs from the bounds for the distribution of configuration (`convergence`) and for
    /// draining a server (`drain`), so that both bounds hold even if one coordinator does not respond.
    pub fn from_bounds(convergence: Duration, drain: Duration) -> Self {
        let tightest_ms = u64::try_from(convergence.min(drain).as_millis()).unwrap_or(u64::MAX);
        let fraction = |divisor: u64, range: RangeInclusive<u64>| {
            Duration::from_millis((tightest_ms / divisor).clamp(*range.start(), *range.end()))
        };
        PollTimeouts {
            max_wait: fraction(MAX_WAIT_DIVISOR, MAX_WAIT_RANGE_MS),
            max_delay: fraction(DELAY_DIVISOR, DELAY_RANGE_MS),
        }
    }

    /// How long the poller waits for the first bytes of a response: `max_wait` plus `max_delay`.
    pub fn response_timeout(&self) -> Duration {
        self.max_wait + self.max_delay
    }
}
