//! A single-threaded runtime with local tasks, as the driver requires it.

use std::future::Future;
use std::time::Duration;

/// Runs a test on a runtime of this thread. Panics if it takes longer than `timeout`.
pub fn run_within(timeout: Duration, test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is built");
    let bounded = async { tokio::time::timeout(timeout, test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("the test ends in time");
}
