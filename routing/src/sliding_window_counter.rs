//! A counter over a sliding time window.

use shaletrail_protocol::Millis;

const BUCKETS: usize = 32;

/// Counts events in a sliding window by buckets, each of which covers a fraction of the window. The oldest
/// bucket overlaps the window only in part, so only a lower and an upper bound of the count are known.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindowCounter {
    bucket_width_ms: Millis,
    counts: [u32; BUCKETS],
    newest_bucket: u64,
    total: u32,
}

impl SlidingWindowCounter {
    /// Creates a counter without events. The window is in milliseconds, rounded up to whole buckets.
    pub fn with_window(window_ms: Millis) -> Self {
        SlidingWindowCounter {
            bucket_width_ms: window_ms.div_ceil(BUCKETS as Millis - 1).max(1),
            counts: [0; BUCKETS],
            newest_bucket: 0,
            total: 0,
        }
    }

    /// Counts one event at time `now`.
    pub fn add(&mut self, now: Millis) {
        self.advance(now);
        let index = (self.newest_bucket % BUCKETS as u64) as usize;
        self.counts[index] = self.counts[index].saturating_add(1);
        self.total = self.total.saturating_add(1);
    }

    /// Removes one event from the newest bucket that is not empty.
    pub fn remove(&mut self, now: Millis) {
        self.advance(now);
        let buckets =
            (0..BUCKETS as u64).map(|age| ((self.newest_bucket.wrapping_sub(age)) % BUCKETS as u64) as usize);
        for bucket in buckets {
            if self.counts[bucket] > 0 {
                self.counts[bucket] -= 1;
                self.total -= 1;
                return;
            }
        }
    }

    /// Lower bound of the number of events in the window.
    pub fn lower_bound(&mut self, now: Millis) -> u32 {
        self.advance(now);
        self.total - self.counts[((self.newest_bucket + 1) % BUCKETS as u64) as usize]
    }

    /// Upper bound of the number of events in the window.
    pub fn upper_bound(&mut self, now: Millis) -> u32 {
        self.advance(now);
        self.total
    }

    fn advance(&mut self, now: Millis) {
        let bucket = now / self.bucket_width_ms;
        while self.newest_bucket < bucket {
            if self.total == 0 {
                self.newest_bucket = bucket;
                return;
            }
            self.newest_bucket += 1;
            let oldest = (self.newest_bucket % BUCKETS as u64) as usize;
            self.total -= std::mem::take(&mut self.counts[oldest]);
        }
    }
}
