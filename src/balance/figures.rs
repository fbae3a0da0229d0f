//! Smoothed statistics of what a node observes, and concurrency limits adapted from latencies.

use crate::interface::*;

/// Least weight of a new sample in an average, and the time that gaps between samples are relative to.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
pub(super) const RARE_INTERVAL: Seconds = 10.0;
/// How long a key is presumed cached where it was last served; also the time constant of decaying counts.
pub(super) const RETENTION: Seconds = 15.0;

/// Exponentially weighted moving average. Sparse samples weigh more, as each of many nodes sees few.
#[derive(Debug, Default)]
pub(super) struct Average {
    pub(super) value: f64,
    pub(super) updated: Seconds,
}

impl Average {
    pub(super) fn add(&mut self, observed: f64, now: Seconds) {
        let weight = ((now - self.updated) / RARE_INTERVAL).clamp(MIN_SAMPLE_WEIGHT, 0.3);
        self.value += weight * (observed - self.value);
        self.updated = now;
    }
}

/// Event count that decays exponentially with time constant `RETENTION`.
#[derive(Debug, Default)]
pub(super) struct DecayingCount {
    pub(super) count: f64,
    pub(super) since: Seconds,
}

impl DecayingCount {
    pub(super) fn at(&self, now: Seconds) -> f64 {
        self.count * (-(now - self.since) / RETENTION).exp()
    }

    pub(super) fn add(&mut self, now: Seconds) {
        (self.count, self.since) = (self.at(now) + 1.0, now);
    }
}

/// Concurrency limit that grows while answers are fast and is cut when they are slow.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    pub(super) value: f64,
    pub(super) min: f64,
    pub(super) last_cut: Seconds,
}

impl ConcurrencyLimit {
    /// A limit that is not in use does not grow: fast answers then say nothing about it.
    pub(super) fn raise(&mut self, load: f64) {
        if load >= self.value / 2.0 {
            self.value += (self.value / 2.0).min(1.0 / self.value);
        }
    }

    /// Ignores attempts sent before the last cut: they say nothing about the limit that it set.
    pub(super) fn cut(&mut self, to: f64, load: f64, now: Seconds, sent: Seconds) {
        if sent > self.last_cut {
            self.value = (load.clamp(self.value / 2.0, self.value) * to).max(self.min);
            self.last_cut = now;
        }
    }
}
