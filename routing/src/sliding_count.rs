//! Counting over a sliding window.

use shaletrail_protocol::Millis;

const BUCKETS: usize = 32;

/// Counts what happened in the last window, in buckets of a part of it. The oldest bucket lies in the window in
/// part only, so that a count has a lower and an upper bound.
#[derive(Clone, Debug)]
pub(crate) struct SlidingCount {
    width: Millis,
    counts: [u32; BUCKETS],
    newest: u64,
    sum: u32,
}

impl SlidingCount {
    /// Counts over a window of this many milliseconds.
    pub fn over(window: Millis) -> Self {
        SlidingCount {
            width: window.div_ceil(BUCKETS as Millis - 1).max(1),
            counts: [0; BUCKETS],
            newest: 0,
            sum: 0,
        }
    }

    /// Adds one at this time.
    pub fn add(&mut self, now: Millis) {
        self.advance(now);
        let newest = (self.newest % BUCKETS as u64) as usize;
        self.counts[newest] = self.counts[newest].saturating_add(1);
        self.sum = self.sum.saturating_add(1);
    }

    /// Removes one from the newest bucket that is not empty.
    pub fn remove(&mut self, now: Millis) {
        self.advance(now);
        let buckets =
            (0..BUCKETS as u64).map(|age| ((self.newest.wrapping_sub(age)) % BUCKETS as u64) as usize);
        for bucket in buckets {
            if self.counts[bucket] > 0 {
                self.counts[bucket] -= 1;
                self.sum -= 1;
                return;
            }
        }
    }

    /// The lower bound of the count in the window.
    pub fn lower_bound(&mut self, now: Millis) -> u32 {
        self.advance(now);
        self.sum - self.counts[((self.newest + 1) % BUCKETS as u64) as usize]
    }

    /// The upper bound of the count in the window.
    pub fn upper_bound(&mut self, now: Millis) -> u32 {
        self.advance(now);
        self.sum
    }

    fn advance(&mut self, now: Millis) {
        let bucket = now / self.width;
        while self.newest < bucket {
            if self.sum == 0 {
                self.newest = bucket;
                return;
            }
            self.newest += 1;
            let oldest = (self.newest % BUCKETS as u64) as usize;
            self.sum -= std::mem::take(&mut self.counts[oldest]);
        }
    }
}
