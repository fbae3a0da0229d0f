//! The two clocks. Decisions use the time since boot; the wall clock is only for timestamps and schedules.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};

/// Time since the machine's boot, including the time for which it was suspended. It never jumps, and all
/// processes of one machine read the same clock.
pub fn boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Environment variable with the path of a file that holds an offset of the wall clock in milliseconds. The
/// fault lab uses it to step the wall clock of a single process.
pub const WALL_CLOCK_OFFSET_VAR: &str = "LAB_WALL_STEP_FILE";

/// Unix time as this process sees it. It is used for timestamps, for schedules by date, and for the lower
/// bound of versions and fencing numbers after a restore. No timeout or lease depends on it.
#[allow(clippy::disallowed_methods)]
pub fn unix() -> Duration {
    let read = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let step = std::env::var_os(WALL_CLOCK_OFFSET_VAR).and_then(|file| std::fs::read_to_string(file).ok());
    match step.and_then(|text| text.trim().parse::<i64>().ok()) {
        None => read,
        Some(ms) if ms < 0 => read.saturating_sub(Duration::from_millis(ms.unsigned_abs())),
        Some(ms) => read + Duration::from_millis(ms.unsigned_abs()),
    }
}
