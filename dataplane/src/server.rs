//! Starts the data plane and runs its tasks until graceful shutdown is complete.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;

use rand::{RngCore, SeedableRng, TryRngCore};
use rand_pcg::Pcg64;
use shaletrail_protocol::settings::{MachineLimits, Settings};
use shaletrail_protocol::Incarnation;
use shaletrail_routing::{Options, Router};
use snafu::{OptionExt, ResultExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::control::Control;
use crate::error::{DataplaneError, ListenSnafu, NoAddressSnafu, RandomSnafu};
use crate::graceful_shutdown::shut_down;
use crate::listener::{self, Clients};
use crate::peers::Peers;
use crate::poller::Poller;
use crate::pool::PoolLimits;
use crate::readiness;
use crate::state::State;

/// File descriptors reserved for files, listeners, coordinator connections and the runtime.
const RESERVED_DESCRIPTORS: u64 = 260;
/// Share of the remaining file descriptors for client connections; the rest is for connections to servers.
const CLIENT_DESCRIPTOR_PERCENT: u64 = 60;
/// Lower bound of the file descriptors for client and server connections together.
const MIN_CONNECTION_DESCRIPTORS: u64 = 16;
const MAX_IDLE_PER_SERVER: usize = 64;

/// Runs a data plane until the graceful shutdown after SIGTERM is complete. Must be called on a
/// single-threaded runtime.
///
/// # Errors
///
/// If the data plane cannot listen, receive signals or get a random seed.
pub async fn run(
    settings: Settings,
    settings_path: PathBuf,
    log: slog::Logger,
) -> Result<(), DataplaneError> {
    let mut seed = [0; 8];
    rand::rngs::OsRng.try_fill_bytes(&mut seed).context(RandomSnafu)?;
    let dataplane = Dataplane::bind(settings, settings_path, u64::from_le_bytes(seed), log)?;
    let signals = dataplane.control().forward_signals();
    tokio::select! {
        () = dataplane.serve() => Ok(()),
        Err(source) = signals => Err(DataplaneError::Signals { source }),
    }
}

/// A data plane whose sockets are open, but which does not serve requests yet.
pub struct Dataplane {
    settings: Settings,
    settings_path: PathBuf,
    state: Rc<State>,
    control: Control,
    clients: Rc<Clients>,
    ingress: TcpListener,
    readiness: TcpListener,
    random: Pcg64,
}

impl Dataplane {
    /// Opens the listening sockets. `seed` seeds all random decisions. `settings_path` is the file that a
    /// reload reads.
    ///
    /// # Errors
    ///
    /// If the settings lack an address or a socket cannot be opened.
    pub fn bind(
        settings: Settings,
        settings_path: PathBuf,
        seed: u64,
        log: slog::Logger,
    ) -> Result<Self, DataplaneError> {
        let mut random = Pcg64::seed_from_u64(seed);
        let address = settings.ingress.context(NoAddressSnafu { key: "listenersMap.ingress" })?;
        let ingress = listener::bind(address).context(ListenSnafu { address })?;
        let address = settings.readiness.context(NoAddressSnafu { key: "listenersMap.readiness" })?;
        let readiness = listener::bind(address).context(ListenSnafu { address })?;
        let router = Router::new(Options::within(&settings.bounds), random.next_u64());
        let (max_clients, pool_limits) = connection_limits(&settings.limits);
        let state = State::new(&settings, router, pool_limits, log);
        let clients = Clients::new(state.clone(), max_clients);
        let control = Control::default();
        Ok(Dataplane { settings, settings_path, state, control, clients, ingress, readiness, random })
    }

    /// The address at which clients are served, with the actual port if the settings specify port 0.
    ///
    /// # Errors
    ///
    /// If the operating system does not report the socket's address.
    pub fn ingress_address(&self) -> std::io::Result<SocketAddr> {
        self.ingress.local_addr()
    }

    /// The address of the readiness checks, with the actual port if the settings specify port 0.
    ///
    /// # Errors
    ///
    /// If the operating system does not report the socket's address.
    pub fn readiness_address(&self) -> std::io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// A handle to stop the data plane or to reload its settings.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Serves until a shutdown has been requested and is complete.
    pub async fn serve(self) {
        LocalSet::new().run_until(self.serve_local()).await;
    }

    async fn serve_local(self) {
        let Dataplane { settings, settings_path, state, control, clients, ingress, readiness, mut random } =
            self;
        let incarnation = Incarnation(random.next_u64());
        let poller = Poller::new(state.clone(), &settings, settings_path, random);
        let notice = ShutdownNotice::default();
        let background = async {
            tokio::join!(
                state.run_timer(),
                clients.enforce_timeouts(),
                readiness::serve(state.clone(), readiness),
                poll_coordinators(poller, &control, &notice),
                exchange_loads(state.clone(), &settings, incarnation),
            )
        };
        let accept_task = tokio::task::spawn_local(clients.clone().accept(ingress));
        let shutdown = async {
            control.stop_requested().await;
            shut_down(&state, &clients, &accept_task, settings.bounds.grace).await;
            notice.requested.notify_one();
            notice.sent.notified().await;
        };
        tokio::select! {
            _ = background => {}
            () = shutdown => {}
        }
    }
}

/// Synchronizes the shutdown with the poller, which tells the coordinator that this edge is shutting down.
#[derive(Default)]
struct ShutdownNotice {
    requested: Notify,
    sent: Notify,
}

/// Polls coordinators and reloads the settings on request, until the shutdown notice is requested; then sends
/// it.
async fn poll_coordinators(mut poller: Poller, control: &Control, notice: &ShutdownNotice) {
    let mut reload_pending = false;
    loop {
        let is_shutting_down = {
            let mut step = pin!(poller.step());
            loop {
                tokio::select! {
                    () = &mut step => break false,
                    () = notice.requested.notified() => break true,
                    // The poll in flight is completed before the reload.
                    () = control.reload_requested() => reload_pending = true,
                }
            }
        };
        if is_shutting_down {
            break;
        }
        if std::mem::take(&mut reload_pending) {
            poller.reload();
        }
    }
    poller.send_shutdown_notice().await;
    notice.sent.notify_one();
}

/// Exchanges load reports with the other edges. If the socket cannot be opened, this edge balances by its own
/// load alone.
async fn exchange_loads(state: Rc<State>, settings: &Settings, incarnation: Incarnation) {
    let address = SocketAddrV4::new(settings.ip, settings.internal_port());
    match Peers::open(state.clone(), address, incarnation).await {
        Ok(peers) => peers.run().await,
        Err(error) => {
            slog::warn!(state.log, "failed to open load report socket"; "address" => %address, "error" => %error)
        }
    }
}

/// The maximum number of client connections, and the limits of the pool of server connections.
fn connection_limits(limits: &MachineLimits) -> (usize, PoolLimits) {
    let sockets = limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTION_DESCRIPTORS);
    let clients = sockets * CLIENT_DESCRIPTOR_PERCENT / 100;
    let as_size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    (
        as_size(clients),
        PoolLimits { max_connections: as_size(sockets - clients), max_idle_per_server: MAX_IDLE_PER_SERVER },
    )
}
