//! Processor time of the present thread.

use std::time::Duration;

/// Measures the processor time of this thread, to which other processes on the machine add nothing.
#[derive(Clone, Copy, Debug)]
pub struct CpuTimer {
    started_at: Duration,
}

impl CpuTimer {
    /// A timer that starts now.
    pub fn start() -> Self {
        CpuTimer { started_at: thread_time() }
    }

    /// Processor time since the start.
    pub fn elapsed(self) -> Duration {
        thread_time().saturating_sub(self.started_at)
    }
}

fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
