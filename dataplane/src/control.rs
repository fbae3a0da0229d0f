//! How the process is told to end, and to read its settings anew.

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
    /// Tells it to end: what SIGTERM does.
    pub fn stop(&self) {
        self.0.stop.notify_one();
    }

    /// Tells it to read its settings anew: what SIGHUP does.
    pub fn reload(&self) {
        self.0.reload.notify_one();
    }

    /// Waits until it is told to end.
    pub(crate) async fn stopped(&self) {
        self.0.stop.notified().await;
    }

    /// Waits until it is told to read its settings anew.
    pub(crate) async fn reloaded(&self) {
        self.0.reload.notified().await;
    }

    /// Passes the process's signals on; never returns.
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
