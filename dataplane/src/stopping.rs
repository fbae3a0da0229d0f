//! Which requests a process that is about to end still takes.
//!
//! It goes on taking requests for a moment, as the platform needs two checks a second apart to notice that it is not
//! ready. Later ones come over connections that clients kept. Such a request is taken only if it ends before the
//! process does, whatever its server makes of it: an answer that would be broken off is better given elsewhere.

use shaletrail_protocol::Millis;

/// For so long after the process was told to end every request is taken, in milliseconds: two checks of the platform
/// and what it takes to act on them. Half of the time that is left, where that is shorter.
const TAKES_ALL_FOR: Millis = 2_700;

/// The end of a process, on the clock that the caller goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping {
    /// When the process was told to end, in milliseconds.
    pub begun_at: Millis,
    /// When answers that are still open are broken off, in milliseconds.
    pub ends_at: Millis,
}

impl Stopping {
    /// Whether a request that comes now and lasts `longest_ms` milliseconds at most is taken.
    pub fn takes(&self, now: Millis, longest_ms: Millis) -> bool {
        let takes_all_for = TAKES_ALL_FOR.min(self.ends_at.saturating_sub(self.begun_at) / 2);
        now < self.begun_at + takes_all_for || now.saturating_add(longest_ms) <= self.ends_at
    }
}
