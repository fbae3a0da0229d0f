//! CPU time of the current thread.

use std::time::Duration;

/// Measures the CPU time of the current thread. Unlike wall-clock time, it does not include the time of other
/// processes.
#[derive(Clone, Copy, Debug)]
pub struct CpuTimer {
    started_at: Duration,
}

impl CpuTimer {
    /// Starts a timer.
    pub fn start() -> Self {
        CpuTimer { started_at: thread_time() }
    }

    /// CPU time that the thread has used since the start.
    pub fn elapsed(self) -> Duration {
        thread_time().saturating_sub(self.started_at)
    }
}

fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
