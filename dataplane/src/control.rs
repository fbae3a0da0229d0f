//! Requests to shut down and to reload the settings, by signal or by handle.

use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

/// A handle on a running data plane.
#[derive(Clone, Debug, Default)]
pub struct Control(Rc<Signals>);

#[derive(Debug, Default)]
struct Signals {
    stop: Notify,
    reload: Notify,
}

impl Control {
    /// Requests graceful shutdown, as SIGTERM does.
    pub fn stop(&self) {
        self.0.stop.notify_one();
    }

    /// Requests that the settings are reloaded, as SIGHUP does.
    pub fn reload(&self) {
        self.0.reload.notify_one();
    }

    /// Waits until shutdown is requested.
    pub(crate) async fn stopped(&self) {
        self.0.stop.notified().await;
    }

    /// Waits until a reload is requested.
    pub(crate) async fn reloaded(&self) {
        self.0.reload.notified().await;
    }

    /// Turns SIGTERM and SIGHUP of the process into requests; returns only if signals cannot be received.
    pub(crate) async fn follow_signals(self) -> std::io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                Some(()) = terminate.recv() => self.stop(),
                Some(()) = hang_up.recv() => self.reload(),
                else => return Ok(()),
            }
        }
    }
}
