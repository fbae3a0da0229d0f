//! Graceful shutdown: the process is unready first, then stops accepting, closes idle connections, and aborts what is
//! still open shortly before the platform would kill it.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::listener::Clients;
use crate::state::State;

/// Clients are accepted for at least this long after the start of shutdown: the platform's checks must fail twice.
const MIN_ACCEPT_DURATION: Duration = Duration::from_millis(2200);
/// Accepting stops only once no client has connected for this long.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// Between two checks whether clients still connect.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The process ends this long before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Shuts down within `grace`. `accepting` is the task that accepts clients.
pub async fn shut_down(state: &State, clients: &Clients, accepting: &JoinHandle<()>, grace: Duration) {
    slog::info!(state.log, "shutdown started");
    let time_left = grace.saturating_sub(KILL_MARGIN);
    let aborts_at = Instant::now() + time_left;
    state.begin_shutdown(time_left);
    let drained = async {
        wait_until_quiet(state, clients, grace / 2).await;
        accepting.abort();
        clients.close_idle();
        clients.all_closed().await;
    };
    if tokio::time::timeout_at(aborts_at, drained).await.is_err() {
        slog::warn!(state.log, "shutdown timed out, aborting responses in flight");
    }
}

/// Waits until the platform can have noticed that this process is unready, and no client connects any more; `max_wait`
/// at most.
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
