//! The driver of a coordinator: sockets, disk and clock for the state machine [`crate::core::Coordinator`].
//!
//! [`coordinator_driver`] owns the state machine and executes its actions through [`peers`], [`order_client`] and
//! [`journal`], which do not depend on it. [`control_api`] and [`internal_api`] accept connections and pass it the
//! calls that they receive.

pub mod accept;
pub mod control_api;
pub mod coordinator_driver;
pub mod edge_polls;
pub mod error;
pub mod frames;
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
use coordinator_driver::CoordinatorDriver;
use error::{JournalSnafu, ListenSnafu, SignalsSnafu};

/// Interval between two [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks whether the process may exit during a shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a coordinator until SIGTERM, and then shuts it down gracefully. On SIGHUP, the seeds are read again from the
/// settings file at `path`. Must be called within a `LocalSet`.
///
/// # Errors
/// The settings lack a required key, a listener or the journal cannot be opened, or the signal handlers cannot be
/// installed.
pub async fn run(settings: Settings, path: PathBuf, log: Logger) -> Result<(), CoordinatorError> {
    let missing = |key| CoordinatorError::MissingSetting { key };
    let control = settings.control_plane.ok_or(missing("listenersMap.controlPlane"))?;
    let folder = settings.data_dir.clone().ok_or(missing("dataDir"))?;
    let internal = SocketAddrV4::new(settings.ip, settings.internal_port());
    let terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;

    let incarnation = Incarnation(random_u64());
    let opened = journal::open_journal(&folder, &settings, &log).context(JournalSnafu { folder: &folder })?;
    let options = CoordinatorOptions {
        journal_was_erased: opened.was_erased,
        ..CoordinatorOptions::from_settings(&settings, incarnation)
    };
    let driver = CoordinatorDriver::start(options, &settings, opened, log.clone());

    let control_listener = listen(control)?;
    let internal_listener = listen(internal)?;
    tokio::task::spawn_local(control_api::serve(Rc::clone(&driver), control_listener, log.clone()));
    tokio::task::spawn_local(internal_api::serve(Rc::clone(&driver), internal_listener, log.clone()));
    info!(log, "coordinator started"; "control" => %control, "internal" => %internal);

    run_until_terminated(&driver, terminate, hangup, &path, &log).await;
    info!(log, "shutting down");
    driver.shut_down();
    let requested_at = Instant::now();
    while !driver.may_exit(requested_at.elapsed()) {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    Ok(())
}

fn listen(address: SocketAddrV4) -> Result<TcpListener, CoordinatorError> {
    sockets::listen(address.into()).context(ListenSnafu { address: address.to_string() })
}

async fn run_until_terminated(
    driver: &CoordinatorDriver,
    mut terminate: Signal,
    mut hangup: Signal,
    path: &Path,
    log: &Logger,
) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => driver.handle(Event::Tick),
            _ = hangup.recv() => reload_seeds(driver, path, log),
            _ = terminate.recv() => return,
        }
    }
}

/// Reads the seeds again from the settings file. Other settings only take effect at the next start.
fn reload_seeds(driver: &CoordinatorDriver, path: &Path, log: &Logger) {
    match Settings::read(path) {
        Ok(settings) => {
            let seeds: Vec<NodeId> = settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect();
            driver.handle(Event::SeedsChanged(seeds));
        }
        Err(error) => warn!(log, "settings reload failed"; "error" => %error),
    }
}

/// Returns a random number, derived from the random keys of the standard library's hash maps.
fn random_u64() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
