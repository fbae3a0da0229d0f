//! The seeded random number generator of a test run.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Environment variable that overrides the seed, to replay an earlier run.
pub const SEED_VARIABLE: &str = "LAB_SEED";

/// The random number generator of a test or benchmark. The same seed replays the same choices.
pub struct SeededRng {
    pub seed: u64,
    generator: StdRng,
}

impl SeededRng {
    /// Uses the seed from `LAB_SEED` if that is set, and `seed` otherwise. Prints the seed that is used.
    pub fn new(run: &str, seed: u64) -> Self {
        let seed = std::env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(seed);
        // Standard error, because callers may parse the standard output.
        eprintln!("{run}: seed {seed}; replay it with {SEED_VARIABLE}={seed}");
        SeededRng { seed, generator: StdRng::seed_from_u64(seed) }
    }

    /// A uniformly distributed number in `0..n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.generator.random_range(0..n)
    }
}
