//! Sockets, disk and clock of a coordinator, around the decisions of [`crate::core::Coordinator`].
//!
//! [`host`] owns the core and carries out its actions; [`links`], [`orders`] and [`disk`] do one kind of work each and
//! know nothing of it; [`control`] and [`polls`] bring it what callers ask.

pub mod control;
pub mod disk;
pub mod gate;
pub mod host;
pub mod links;
pub mod orders;
pub mod polls;
pub mod sockets;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, NodeId};
use slog::{info, warn, Logger};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{signal, SignalKind};

use crate::interface::{CoordinatorOptions, Event};
use host::Host;

/// How often the core is told that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// How long answers under way are waited for when the process is told to end.
const FAREWELL: Duration = Duration::from_millis(400);

/// Why a coordinator cannot run.
#[derive(Debug, Snafu)]
pub enum CoordinatorError {
    /// A listener cannot be opened.
    #[snafu(display("listener on {address}: {source}"))]
    Listen {
        /// Where.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings lack what a coordinator needs.
    #[snafu(display("{key}: missing, a coordinator needs it"))]
    Lacking {
        /// The key.
        key: &'static str,
    },
    /// The journal cannot be opened.
    #[snafu(display("journal in {}: {reason}", folder.display()))]
    Journal {
        /// Its folder.
        folder: PathBuf,
        /// What went wrong.
        reason: String,
    },
    /// Signals cannot be heard.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Runs a coordinator until the process is told to end. Needs a `LocalSet`.
pub async fn run(settings: Settings, path: PathBuf, log: Logger) -> Result<(), CoordinatorError> {
    let control =
        settings.control_plane.ok_or(CoordinatorError::Lacking { key: "listenersMap.controlPlane" })?;
    let folder = settings.data_dir.clone().ok_or(CoordinatorError::Lacking { key: "dataDir" })?;
    let internal = std::net::SocketAddrV4::new(settings.ip, settings.internal_port());
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;

    let incarnation = Incarnation(fresh_number());
    let opened = disk::open(&folder, &settings, &log)?;
    let options = CoordinatorOptions::from_settings(&settings, incarnation);
    let host = Host::start(options, &settings, opened, log.clone());

    let calls = sockets::listen(control.into()).context(ListenSnafu { address: control.to_string() })?;
    let inside = sockets::listen(internal.into()).context(ListenSnafu { address: internal.to_string() })?;
    tokio::task::spawn_local(control::serve(Rc::clone(&host), calls, log.clone()));
    tokio::task::spawn_local(polls::serve(Rc::clone(&host), inside, log.clone()));
    info!(log, "coordinator started"; "control" => %control, "internal" => %internal);

    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => host.handle(Event::Tick),
            _ = hangup.recv() => reread(&host, &path, &log),
            _ = terminate.recv() => break,
        }
    }
    info!(log, "told to end");
    host.leave();
    tokio::time::sleep(FAREWELL).await;
    Ok(())
}

/// Takes over the seeds that the settings file names now.
fn reread(host: &Host, path: &std::path::Path, log: &Logger) {
    match Settings::read(path) {
        Ok(settings) => {
            let seeds: Vec<NodeId> = settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect();
            host.handle(Event::SeedsChanged(seeds));
        }
        Err(error) => warn!(log, "settings not read again"; "error" => %error),
    }
}

/// A number that no other start of a process has, from the hasher's random keys.
fn fresh_number() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
