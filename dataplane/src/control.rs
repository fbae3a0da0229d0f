//! Requests to shut down or to reload the settings, made by a signal or through a handle.

use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

/// A handle that controls a running data plane. Clones control the same one.
#[derive(Clone, Debug, Default)]
pub struct Control(Rc<ControlState>);

#[derive(Debug, Default)]
struct ControlState {
    stop: Notify,
    reload: Notify,
}

impl Control {
    /// Requests graceful shutdown, as SIGTERM does.
    pub fn stop(&self) {
        self.0.stop.notify_one();
    }

    /// Requests a reload of the settings file, as SIGHUP does.
    pub fn reload(&self) {
        self.0.reload.notify_one();
    }

    /// Waits until shutdown is requested.
    pub(crate) async fn stop_requested(&self) {
        self.0.stop.notified().await;
    }

    /// Waits until a reload is requested.
    pub(crate) async fn reload_requested(&self) {
        self.0.reload.notified().await;
    }

    /// Translates SIGTERM and SIGHUP into requests; returns only if signals cannot be received.
    pub(crate) async fn forward_signals(self) -> std::io::Result<()> {
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
