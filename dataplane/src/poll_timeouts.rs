//! How long a long poll of a coordinator may take.

use std::ops::RangeInclusive;
use std::time::Duration;

/// The shortest and longest time that a coordinator may hold a poll, in milliseconds.
const MAX_WAIT_RANGE_MS: RangeInclusive<u64> = 100..=1000;
/// The shortest and longest time that a response may be delayed beyond that, in milliseconds.
const DELAY_RANGE_MS: RangeInclusive<u64> = 150..=400;
/// A coordinator may hold a poll for the tightest bound divided by this.
const MAX_WAIT_DIVISOR: u64 = 4;
/// A response may be delayed by the tightest bound divided by this.
const DELAY_DIVISOR: u64 = 6;

/// The time-outs of long polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTimeouts {
    /// How long a coordinator may hold a poll before it responds.
    pub max_wait: Duration,
    /// How much longer the response may take before another coordinator is polled.
    pub max_delay: Duration,
}

impl PollTimeouts {
    /// The time-outs that keep configuration and draining within their bounds although one coordinator does not respond.
    pub fn within(convergence: Duration, drain: Duration) -> Self {
        let tightest_ms = u64::try_from(convergence.min(drain).as_millis()).unwrap_or(u64::MAX);
        let fraction = |divisor: u64, range: RangeInclusive<u64>| {
            Duration::from_millis((tightest_ms / divisor).clamp(*range.start(), *range.end()))
        };
        PollTimeouts {
            max_wait: fraction(MAX_WAIT_DIVISOR, MAX_WAIT_RANGE_MS),
            max_delay: fraction(DELAY_DIVISOR, DELAY_RANGE_MS),
        }
    }

    /// How long the poller waits until a response begins.
    pub fn response_timeout(&self) -> Duration {
        self.max_wait + self.max_delay
    }
}
