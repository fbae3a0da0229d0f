//! Starts a data plane and runs its tasks until graceful shutdown is complete.

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

/// Descriptors for files, listeners, polls and the runtime.
const RESERVED_DESCRIPTORS: u64 = 260;
/// The part of the other descriptors that clients get, in percent; servers get the rest.
const CLIENT_DESCRIPTOR_PERCENT: u64 = 60;
/// Descriptors for connections of clients and to servers, at least.
const MIN_CONNECTION_DESCRIPTORS: u64 = 16;
/// Idle connections kept to one server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// Runs a data plane until SIGTERM has been carried out. To be called on a single-threaded runtime.
pub async fn run(
    settings: Settings,
    settings_path: PathBuf,
    log: slog::Logger,
) -> Result<(), DataplaneError> {
    let mut seed = [0; 8];
    rand::rngs::OsRng.try_fill_bytes(&mut seed).context(RandomSnafu)?;
    let dataplane = Dataplane::bind(settings, settings_path, u64::from_le_bytes(seed), log)?;
    let signals = dataplane.control().follow_signals();
    tokio::select! {
        () = dataplane.serve() => Ok(()),
        Err(source) = signals => Err(DataplaneError::Signals { source }),
    }
}

/// A data plane that listens, but does not serve yet.
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
    /// Opens the listening sockets. All random numbers come from `seed`.
    ///
    /// # Errors
    ///
    /// If the settings lack an address, or one cannot be listened on.
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

    /// The address at which clients are served.
    ///
    /// # Errors
    ///
    /// If the system does not tell the socket's address.
    pub fn ingress_address(&self) -> std::io::Result<SocketAddr> {
        self.ingress.local_addr()
    }

    /// The address at which readiness is asked for.
    ///
    /// # Errors
    ///
    /// If the system does not tell the socket's address.
    pub fn readiness_address(&self) -> std::io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// The handle that stops the data plane.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Serves until shutdown is requested and complete.
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
        let accepting = tokio::task::spawn_local(clients.clone().accept(ingress));
        let shutdown = async {
            control.stopped().await;
            shut_down(&state, &clients, &accepting, settings.bounds.grace).await;
            notice.requested.notify_one();
            notice.sent.notified().await;
        };
        tokio::select! {
            _ = background => {}
            () = shutdown => {}
        }
    }
}

/// The notice to the coordinator that this edge is about to end.
#[derive(Default)]
struct ShutdownNotice {
    requested: Notify,
    sent: Notify,
}

/// Polls, and reloads the settings on request, until the shutdown notice is requested.
async fn poll_coordinators(mut poller: Poller, control: &Control, notice: &ShutdownNotice) {
    let mut must_reload = false;
    loop {
        let is_shutting_down = {
            let mut step = pin!(poller.step());
            loop {
                tokio::select! {
                    () = &mut step => break false,
                    () = notice.requested.notified() => break true,
                    // The poll in flight is completed first.
                    () = control.reloaded() => must_reload = true,
                }
            }
        };
        if is_shutting_down {
            break;
        }
        if std::mem::take(&mut must_reload) {
            poller.reload();
        }
    }
    poller.send_shutdown_notice().await;
    notice.sent.notify_one();
}

/// Exchanges loads with the other edges. Without a socket this edge balances by its own load alone.
async fn exchange_loads(state: Rc<State>, settings: &Settings, incarnation: Incarnation) {
    let address = SocketAddrV4::new(settings.ip, settings.internal_port());
    match Peers::open(state.clone(), address, incarnation).await {
        Ok(peers) => peers.run().await,
        Err(error) => {
            slog::warn!(state.log, "failed to open load report socket"; "address" => %address, "error" => %error)
        }
    }
}

/// How many clients may be connected, and how many connections there may be to servers.
fn connection_limits(limits: &MachineLimits) -> (usize, PoolLimits) {
    let sockets = limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTION_DESCRIPTORS);
    let clients = sockets * CLIENT_DESCRIPTOR_PERCENT / 100;
    let as_size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    (as_size(clients), PoolLimits { total: as_size(sockets - clients), idle_per_server: MAX_IDLE_PER_SERVER })
}
