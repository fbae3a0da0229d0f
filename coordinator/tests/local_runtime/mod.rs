//! The runtime that the driver needs: one thread, and tasks that stay on it.

use std::future::Future;
use std::time::Duration;

/// Runs a test to its end on a runtime of this thread. One that takes longer than `timeout` fails.
pub fn run_within(timeout: Duration, test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { tokio::time::timeout(timeout, test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("the test ends in time");
}
