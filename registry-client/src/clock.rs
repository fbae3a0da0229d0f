//! The two clocks. Decisions go by the time since boot; the wall clock is for labels.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};

/// Time since the machine's boot, also that in which it was suspended. It never jumps, and all processes of one
/// machine read the same.
pub fn boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Names a file that holds milliseconds by which the wall clock is taken to be wrong: how a play steps the clock of
/// one process and of no other.
pub const WALL_STEP: &str = "LAB_WALL_STEP_FILE";

/// Unix time as this process sees it: for labels, schedules of nights, and the floor from which versions and fencing
/// numbers go on after a restore. Nothing that runs decides by it.
#[allow(clippy::disallowed_methods)]
pub fn unix() -> Duration {
    let read = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let step = std::env::var_os(WALL_STEP).and_then(|file| std::fs::read_to_string(file).ok());
    match step.and_then(|text| text.trim().parse::<i64>().ok()) {
        None => read,
        Some(ms) if ms < 0 => read.saturating_sub(Duration::from_millis(ms.unsigned_abs())),
        Some(ms) => read + Duration::from_millis(ms.unsigned_abs()),
    }
}
