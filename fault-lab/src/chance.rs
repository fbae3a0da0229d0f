//! The one seed of a play.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Where a seed to replay from is given.
pub const VARIABLE: &str = "LAB_SEED";

/// All chance in a play comes from here.
pub struct Chance {
    pub seed: u64,
    generator: StdRng,
}

impl Chance {
    /// Draws from `LAB_SEED` if that is set, else from this seed. Prints which.
    pub fn new(play: &str, seed: u64) -> Self {
        let seed = std::env::var(VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(seed);
        // Beside what a program says for others to read.
        eprintln!("{play}: seed {seed}; replay it with {VARIABLE}={seed}");
        Chance { seed, generator: StdRng::seed_from_u64(seed) }
    }

    /// One of `0..n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.generator.random_range(0..n)
    }
}
