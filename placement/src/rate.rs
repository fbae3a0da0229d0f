//! A rate that rises fast and falls slowly.

use shaletrail_protocol::Millis;

/// Half-life of the part that follows a rise.
pub const RISE: Millis = 1_000;
/// Half-life of the part that holds on in a lull.
pub const FALL: Millis = 8_000;

/// A count that fades with a half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Fading {
    count: f64,
    at: Millis,
}

impl Fading {
    fn faded(&self, now: Millis, half_life: Millis) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / half_life as f64).exp2()
    }

    fn add(&mut self, now: Millis, count: f64, half_life: Millis) {
        (self.count, self.at) = (self.faded(now, half_life) + count, self.at.max(now));
    }

    fn per_second(&self, now: Millis, half_life: Millis) -> f64 {
        self.faded(now, half_life) * std::f64::consts::LN_2 / half_life as f64 * 1_000.0
    }
}

/// Events a second: the greater of a short and a long mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    short: Fading,
    long: Fading,
}

impl Rate {
    /// Counts events.
    pub fn add(&mut self, now: Millis, count: f64) {
        self.short.add(now, count, RISE);
        self.long.add(now, count, FALL);
    }

    /// Events a second, as it stands.
    pub fn per_second(&self, now: Millis) -> f64 {
        self.short.per_second(now, RISE).max(self.long.per_second(now, FALL))
    }
}
