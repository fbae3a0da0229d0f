//! Sockets, disk and clock of a coordinator, around the decisions of [`crate::core::Coordinator`].
//!
//! [`host`] owns the decisions and carries out their actions by [`peers`], [`order_client`] and [`journal`], which know
//! nothing of it. [`control_api`] and [`internal_api`] accept connections and bring it what callers ask.

pub mod accept;
pub mod control_api;
pub mod edge_polls;
pub mod error;
pub mod frames;
pub mod host;
pub mod internal_api;
pub mod journal;
pub mod lease_guard;
pub mod order_client;
pub mod peer_sessions;
pub mod peers;
pub mod sockets;

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, NodeId};
use slog::{info, warn, Logger};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::MissedTickBehavior;

pub use error::CoordinatorError;

use crate::interface::{CoordinatorOptions, Event};
use error::{JournalSnafu, ListenSnafu, SignalsSnafu};
use host::Host;

/// Time between two [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks at whether a process may end that was told to.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a coordinator until SIGTERM. Needs a `LocalSet`.
///
/// # Errors
/// The settings lack a key, an address cannot be listened on, or the journal cannot be opened.
pub async fn run(settings: Settings, path: PathBuf, log: Logger) -> Result<(), CoordinatorError> {
    let missing = |key| CoordinatorError::MissingSetting { key };
    let control = settings.control_plane.ok_or(missing("listenersMap.controlPlane"))?;
    let folder = settings.data_dir.clone().ok_or(missing("dataDir"))?;
    let internal = SocketAddrV4::new(settings.ip, settings.internal_port());
    let terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;

    let incarnation = Incarnation(random_number());
    let opened = journal::open_journal(&folder, &settings, &log).context(JournalSnafu { folder: &folder })?;
    let options = CoordinatorOptions {
        journal_was_erased: opened.was_erased,
        ..CoordinatorOptions::from_settings(&settings, incarnation)
    };
    let host = Host::start(options, &settings, opened, log.clone());

    let control_listener = listen(control)?;
    let internal_listener = listen(internal)?;
    tokio::task::spawn_local(control_api::serve(Rc::clone(&host), control_listener, log.clone()));
    tokio::task::spawn_local(internal_api::serve(Rc::clone(&host), internal_listener, log.clone()));
    info!(log, "coordinator started"; "control" => %control, "internal" => %internal);

    run_until_terminated(&host, terminate, hangup, &path, &log).await;
    info!(log, "shutting down");
    host.shut_down();
    let requested_at = Instant::now();
    while !host.may_end(requested_at.elapsed()) {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    Ok(())
}

fn listen(address: SocketAddrV4) -> Result<TcpListener, CoordinatorError> {
    sockets::listen(address.into()).context(ListenSnafu { address: address.to_string() })
}

async fn run_until_terminated(
    host: &Host,
    mut terminate: Signal,
    mut hangup: Signal,
    path: &Path,
    log: &Logger,
) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => host.handle(Event::Tick),
            _ = hangup.recv() => reload_seeds(host, path, log),
            _ = terminate.recv() => return,
        }
    }
}

/// Reads the settings file again for its seeds; the other settings take effect at the next start only.
fn reload_seeds(host: &Host, path: &Path, log: &Logger) {
    match Settings::read(path) {
        Ok(settings) => {
            let seeds: Vec<NodeId> = settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect();
            host.handle(Event::SeedsChanged(seeds));
        }
        Err(error) => warn!(log, "settings reload failed"; "error" => %error),
    }
}

/// A random number, from the keys that the standard library draws for its hashers.
fn random_number() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
