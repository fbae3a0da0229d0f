//! Graceful shutdown: the process first fails its readiness checks, then stops accepting connections and
//! closes idle ones. Shortly before the platform would kill it, it aborts the responses that are still in
//! flight.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::listener::Clients;
use crate::state::State;

/// Connections are accepted for at least this long after the start of shutdown: the platform sends new ones
/// until two readiness checks have failed.
const MIN_ACCEPT_DURATION: Duration = Duration::from_millis(2200);
/// After [`MIN_ACCEPT_DURATION`], accepting stops once no client has connected for this long.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Interval between checks for [`QUIET_PERIOD`].
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The process exits this long before the platform would kill it.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Shuts down within `grace`, the time until the platform kills the process. `accept_task` is the task that
/// accepts connections.
pub async fn shut_down(state: &State, clients: &Clients, accept_task: &JoinHandle<()>, grace: Duration) {
    slog::info!(state.log, "shutdown started");
    let time_left = grace.saturating_sub(KILL_MARGIN);
    let aborts_at = Instant::now() + time_left;
    state.begin_shutdown(time_left);
    let drain = async {
        wait_until_quiet(state, clients, grace / 2).await;
        accept_task.abort();
        clients.close_idle();
        clients.wait_until_all_closed().await;
    };
    if tokio::time::timeout_at(aborts_at, drain).await.is_err() {
        slog::warn!(state.log, "shutdown timed out, aborting responses in flight");
    }
}

/// Waits until the platform has had time to notice that this process is unready and clients have stopped
/// connecting, but no longer than `max_wait`.
async fn wait_until_quiet(state: &State, clients: &Clients, max_wait: Duration) {
    let started_at = Instant::now();
    tokio::time::sleep(MIN_ACCEPT_DURATION.min(max_wait)).await;
    let is_quiet = || {
        let quiet_ms = state.clock.now().saturating_sub(clients.last_accepted_at());
        Duration::from_millis(quiet_ms) >= QUIET_PERIOD
    };
    while !is_quiet() && started_at.elapsed() < max_wait {
        tokio::time::sleep(QUIET_CHECK_INTERVAL).await;
    }
}
