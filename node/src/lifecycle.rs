//! The node's state, which decides about readiness, accepting and the closing of connections.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// When draining, or stopping with a successor process, idle connections are closed after this delay: until
/// then clients keep using them, and each answer asks for the close. The load balancer in front keeps
/// sending new connections to a draining node for about 0.3 s; a process with a successor is killed 2.7 s
/// after the signal, or 0.7 s after the longest deadline.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(600);

/// Whether the node accepts requests and keeps connections open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    /// Accepts requests but keeps no connection open; may return to serving.
    Draining,
    /// Exits once every accepted request has been answered.
    Stopping,
}

impl State {
    /// The state's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Draining => "draining",
            State::Stopping => "stopping",
        }
    }
}

/// The state, and the time from which idle connections are closed.
type Phase = (State, Instant);

/// Holds the node's state and lets tasks wait for changes of it.
pub struct Lifecycle(watch::Sender<Phase>);

impl Lifecycle {
    /// Starts in the serving state.
    pub fn new() -> Self {
        Lifecycle(watch::Sender::new((State::Serving, Instant::now())))
    }

    /// The current state, which other tasks may change at any await point.
    pub fn state(&self) -> State {
        self.0.borrow().0
    }

    /// Returns false if the node is stopping, which can't be reverted.
    pub fn drain(&self) -> bool {
        self.change(State::Draining, Instant::now() + IDLE_CLOSE_DELAY)
    }

    /// Returns to serving. Returns false if the node is stopping, which can't be reverted.
    pub fn resume(&self) -> bool {
        self.change(State::Serving, Instant::now())
    }

    /// Stops the node for good. `has_successor` delays the close of idle connections by `IDLE_CLOSE_DELAY`.
    pub fn stop(&self, has_successor: bool) {
        let delay = if has_successor { IDLE_CLOSE_DELAY } else { Duration::ZERO };
        self.change(State::Stopping, Instant::now() + delay);
    }

    /// Setting the current state again changes nothing, so a second drain does not postpone the close of
    /// idle connections.
    fn change(&self, to: State, close_from: Instant) -> bool {
        let changed = self.0.send_if_modified(|phase| {
            let changes = phase.0 != to && phase.0 != State::Stopping;
            if changes {
                *phase = (to, close_from);
            }
            changes
        });
        if changed {
            eprintln!("state changed to {}", to.name());
        }
        self.state() == to
    }

    /// Waits until the node is stopping; returns at once if it already is.
    pub async fn stopped(&self) {
        // Can't fail, as `self` holds the sender.
        let _ = self.0.subscribe().wait_for(|(state, _)| *state == State::Stopping).await;
    }

    /// Waits until idle connections are to be closed.
    pub async fn wait_for_idle_close(&self) {
        let mut phase = self.0.subscribe();
        loop {
            let (state, close_from) = *phase.borrow_and_update();
            if state == State::Serving {
                let _ = phase.changed().await;
                continue;
            }
            tokio::select! {
                () = sleep_until(close_from) => return,
                _ = phase.changed() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_can_be_resumed_but_a_stop_cannot() {
        let lifecycle = Lifecycle::new();
        assert!(lifecycle.resume(), "serving already");
        assert!(lifecycle.drain() && lifecycle.drain());
        assert_eq!(lifecycle.state(), State::Draining);
        assert!(lifecycle.resume());
        assert_eq!(lifecycle.state(), State::Serving);
        lifecycle.drain();
        lifecycle.stop(false);
        assert!(!lifecycle.resume() && !lifecycle.drain());
        assert_eq!(lifecycle.state(), State::Stopping);
    }

    #[tokio::test(start_paused = true)]
    async fn idle_connections_are_closed_after_a_delay_in_a_drain_and_at_once_in_a_stop() {
        let lifecycle = Lifecycle::new();
        let began = Instant::now();
        lifecycle.drain();
        lifecycle.wait_for_idle_close().await;
        assert_eq!(began.elapsed(), IDLE_CLOSE_DELAY);
        lifecycle.resume();
        assert!(tokio::time::timeout(IDLE_CLOSE_DELAY * 10, lifecycle.wait_for_idle_close()).await.is_err());
        lifecycle.drain();
        lifecycle.stop(false);
        let stopped = Instant::now();
        lifecycle.wait_for_idle_close().await;
        assert_eq!(stopped.elapsed(), Duration::ZERO);
        let lifecycle = Lifecycle::new();
        lifecycle.stop(true);
        lifecycle.wait_for_idle_close().await;
        assert_eq!(stopped.elapsed(), IDLE_CLOSE_DELAY, "delayed if there is a successor");
    }
}
