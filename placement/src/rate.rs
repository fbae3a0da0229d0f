//! A smoothed event rate that rises quickly and falls slowly.

use shaletrail_protocol::Millis;

/// Half-life of the short-term average, which follows a rise quickly, in milliseconds.
pub const RISE_HALF_LIFE: Millis = 1_000;
/// Half-life of the long-term average, which keeps the rate from dropping during a short pause, in milliseconds.
pub const FALL_HALF_LIFE: Millis = 8_000;

/// An exponentially decaying count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingCount {
    count: f64,
    updated_at: Millis,
}

impl DecayingCount {
    fn decayed(&self, now: Millis, half_life: Millis) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / half_life as f64).exp2()
    }

    fn add(&mut self, now: Millis, count: f64, half_life: Millis) {
        self.count = self.decayed(now, half_life) + count;
        self.updated_at = self.updated_at.max(now);
    }

    fn per_second(&self, now: Millis, half_life: Millis) -> f64 {
        self.decayed(now, half_life) * std::f64::consts::LN_2 / half_life as f64 * 1_000.0
    }
}

/// An event rate: the greater of a short-term and a long-term exponential moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    short_term: DecayingCount,
    long_term: DecayingCount,
}

impl Rate {
    /// Adds `count` events that occurred at `now`, in milliseconds.
    pub fn add(&mut self, now: Millis, count: f64) {
        self.short_term.add(now, count, RISE_HALF_LIFE);
        self.long_term.add(now, count, FALL_HALF_LIFE);
    }

    /// Returns the rate at `now`, in events per second.
    pub fn per_second(&self, now: Millis) -> f64 {
        self.short_term.per_second(now, RISE_HALF_LIFE).max(self.long_term.per_second(now, FALL_HALF_LIFE))
    }
}
