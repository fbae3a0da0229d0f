//! What the node is about: one state that readiness, the acceptor and every connection go by.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// In a drain, and where another process goes on in this one's place, connections between requests are closed so
/// long after the begin: until then their clients go on using them, and each answer asks for the close. The front
/// sends a node that drains new ones for some 0.3 s, and a process that is followed is killed after 2.7 s at the
/// latest, or after the longest deadline and 0.7 s.
const LATE: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    /// Takes what comes, keeps no connection, and may go back to serving.
    Draining,
    /// Ends once all that it took is answered.
    Stopping,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Draining => "draining",
            State::Stopping => "stopping",
        }
    }
}

/// A state, and when connections between requests are to be closed.
type Phase = (State, Instant);

pub struct Lifecycle(watch::Sender<Phase>);

impl Lifecycle {
    pub fn new() -> Self {
        Lifecycle(watch::Sender::new((State::Serving, Instant::now())))
    }

    pub fn state(&self) -> State {
        self.0.borrow().0
    }

    /// False where the node is stopping: that can't be taken back.
    pub fn drain(&self) -> bool {
        self.change(State::Draining, Instant::now() + LATE)
    }

    pub fn resume(&self) -> bool {
        self.change(State::Serving, Instant::now())
    }

    pub fn stop(&self, followed: bool) {
        let late = if followed { LATE } else { Duration::ZERO };
        self.change(State::Stopping, Instant::now() + late);
    }

    /// Saying the same twice changes nothing, so a second drain does not put off the first one's end.
    fn change(&self, to: State, close_from: Instant) -> bool {
        let changed = self.0.send_if_modified(|phase| {
            let changes = phase.0 != to && phase.0 != State::Stopping;
            if changes {
                *phase = (to, close_from);
            }
            changes
        });
        if changed {
            eprintln!("now {}", to.name());
        }
        self.state() == to
    }

    pub async fn stopped(&self) {
        // The sender is at hand, so that there is no error.
        let _ = self.0.subscribe().wait_for(|(state, _)| *state == State::Stopping).await;
    }

    /// Waits until connections between requests are to be closed.
    pub async fn closes_idle(&self) {
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
    fn a_drain_ends_with_a_resume_and_a_stop_never() {
        let lifecycle = Lifecycle::new();
        assert!(lifecycle.resume(), "nothing to take back");
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
    async fn idle_connections_outlive_the_begin_of_a_drain_but_not_a_stop() {
        let lifecycle = Lifecycle::new();
        let began = Instant::now();
        lifecycle.drain();
        lifecycle.closes_idle().await;
        assert_eq!(began.elapsed(), LATE);
        lifecycle.resume();
        assert!(tokio::time::timeout(LATE * 10, lifecycle.closes_idle()).await.is_err());
        lifecycle.drain();
        lifecycle.stop(false);
        let stopped = Instant::now();
        lifecycle.closes_idle().await;
        assert_eq!(stopped.elapsed(), Duration::ZERO);
        let lifecycle = Lifecycle::new();
        lifecycle.stop(true);
        lifecycle.closes_idle().await;
        assert_eq!(stopped.elapsed(), LATE, "where another process follows, late");
    }
}
