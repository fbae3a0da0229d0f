//! The data plane: the driver of an edge. It owns sockets, clock and signals; what is decided on a request is
//! decided by `shaletrail-routing`.
//!
//! | module | job |
//! | --- | --- |
//! | `listener` | connections of clients, their rest and their end |
//! | `ingress` | a request from its head to the exchange that serves it |
//! | [`request`] | headers of requests |
//! | `exchange` | one request's life, by the router's orders |
//! | `client_request` | a client's request, as each sending carries it |
//! | `client_answer` | the answer to a client |
//! | `attempt` | one sending of a request, up to the head of its answer |
//! | `received` | an answer of a server, from its head on |
//! | [`answer`] | what a server's answer is |
//! | [`events`] | cutting streams into events |
//! | `stall` | noticing that a stream hangs |
//! | `body` | the way of an answer from its exchange to the client's connection |
//! | `upstream` | connections to servers |
//! | `state` | what the tasks share; the way of events and actions |
//! | [`poller`] | long polls of a coordinator |
//! | [`coordinators`] | which coordinator is polled |
//! | `readiness` | the platform's checks |
//! | `control` | signals |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
mod attempt;
mod body;
mod client_answer;
mod client_request;
mod control;
pub mod coordinators;
pub mod events;
mod exchange;
mod ingress;
mod listener;
pub mod load_datagrams;
mod peers;
pub mod poller;
mod readiness;
mod received;
pub mod request;
mod stall;
mod state;
pub mod stopping;
mod upstream;
mod watched;

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngCore, SeedableRng, TryRngCore};
use rand_pcg::Pcg64;
use shaletrail_protocol::settings::{MachineLimits, Settings};
use shaletrail_protocol::Incarnation;
use shaletrail_routing::{Options, Router};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::LocalSet;

pub use control::Control;

use listener::Clients;
use peers::Peers;
use poller::Poller;
use state::State;
use upstream::{Pool, PoolLimits};

/// Descriptors for files, listeners, polls and the runtime.
const RESERVED_DESCRIPTORS: u64 = 260;
/// Of the other descriptors, clients get this part, in percent; servers the rest.
const CLIENT_PERCENT: u64 = 60;
/// Idle connections kept to one server.
const IDLE_PER_SERVER: usize = 64;
/// After the order to end, clients are taken in for this long: the platform's checks must miss twice.
const STILL_ACCEPTING: Duration = Duration::from_millis(2200);
/// Taking in ends only once nobody has come for this long.
const QUIET: Duration = Duration::from_millis(300);
/// Between two looks whether it is quiet.
const QUIET_CHECK: Duration = Duration::from_millis(100);
/// The process ends this long before it is killed.
const BEFORE_KILL: Duration = Duration::from_millis(700);

/// Why a data plane cannot start.
#[derive(Debug, Snafu)]
pub enum DataplaneError {
    /// The settings lack an address.
    #[snafu(display("{key}: missing, a data plane needs it"))]
    NoAddress {
        /// The settings' key.
        key: &'static str,
    },
    /// An address cannot be listened on.
    #[snafu(display("listening on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddrV4,
        /// What the system said.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
    /// No seed for random numbers.
    #[snafu(display("random numbers: {source}"))]
    Random {
        /// What the system said.
        source: rand::rand_core::OsError,
    },
}

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

/// A data plane with its addresses open, not serving yet.
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
    /// Opens the addresses. `seed` is where all of its random numbers come from.
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
        let (most_clients, limits) = connection_limits(&settings.limits);
        let state = State::new(&settings, router, Pool::new(limits), log);
        let clients = Clients::new(state.clone(), most_clients);
        let control = Control::default();
        Ok(Dataplane { settings, settings_path, state, control, clients, ingress, readiness, random })
    }

    /// Where clients are served.
    pub fn ingress_address(&self) -> std::io::Result<SocketAddr> {
        self.ingress.local_addr()
    }

    /// Where readiness is asked for.
    pub fn readiness_address(&self) -> std::io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// The handle by which it is stopped.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Serves until it has been told to end, and has ended what was open.
    pub async fn serve(self) {
        LocalSet::new().run_until(self.serve_local()).await;
    }

    async fn serve_local(self) {
        let Dataplane { settings, settings_path, state, control, clients, ingress, readiness, mut random } =
            self;
        let incarnation = Incarnation(random.next_u64());
        let poller = Poller::new(state.clone(), &settings, settings_path, random);
        let leaving = Leaving::default();
        let background = async {
            tokio::join!(
                state.keep_time(),
                clients.reap(),
                readiness::serve(state.clone(), readiness),
                poll(poller, &control, &leaving),
                tell_peers(state.clone(), &settings, incarnation),
            )
        };
        let accepting = tokio::task::spawn_local(clients.clone().accept(ingress));
        let ending = async {
            control.stopped().await;
            slog::info!(state.log, "stopping");
            let time_left = settings.bounds.grace.saturating_sub(BEFORE_KILL);
            let killed_at = tokio::time::Instant::now() + time_left;
            state.stop(time_left);
            let drained = async {
                wait_for_quiet(&state, &clients, settings.bounds.grace / 2).await;
                accepting.abort();
                clients.close_resting();
                clients.all_closed().await;
            };
            if tokio::time::timeout_at(killed_at, drained).await.is_err() {
                slog::warn!(state.log, "answers are broken off, as the time is over");
            }
            leaving.wanted.notify_one();
            leaving.done.notified().await;
        };
        tokio::select! {
            _ = background => {}
            () = ending => {}
        }
    }
}

/// The farewell to the coordinators.
#[derive(Default)]
struct Leaving {
    wanted: Notify,
    done: Notify,
}

/// Polls, and reads the settings anew when told to, until the farewell is wanted.
async fn poll(mut poller: Poller, control: &Control, leaving: &Leaving) {
    let mut must_reload = false;
    loop {
        let is_leaving = {
            let mut step = pin!(poller.step());
            loop {
                tokio::select! {
                    () = &mut step => break false,
                    () = leaving.wanted.notified() => break true,
                    // A poll under way is brought to its end first.
                    () = control.reloaded() => must_reload = true,
                }
            }
        };
        if is_leaving {
            break;
        }
        if std::mem::take(&mut must_reload) {
            poller.reload();
        }
    }
    poller.leave().await;
    leaving.done.notify_one();
}

/// Waits until the platform can have noticed that this process isn't ready, and nobody comes any more; `longest`
/// at most.
async fn wait_for_quiet(state: &State, clients: &Clients, longest: Duration) {
    let begun = tokio::time::Instant::now();
    tokio::time::sleep(STILL_ACCEPTING.min(longest)).await;
    let is_quiet = || {
        let quiet = state.clock.now().saturating_sub(clients.accepted_at());
        Duration::from_millis(quiet) >= QUIET
    };
    while !is_quiet() && begun.elapsed() < longest {
        tokio::time::sleep(QUIET_CHECK).await;
    }
}

/// Tells the other edges what is under way here, and hears them. Without a socket this edge goes by what it has itself.
async fn tell_peers(state: Rc<State>, settings: &Settings, incarnation: Incarnation) {
    let address = SocketAddrV4::new(settings.ip, settings.internal_port());
    match Peers::open(state.clone(), address, incarnation).await {
        Ok(peers) => peers.run().await,
        Err(error) => {
            slog::warn!(state.log, "other edges are not told"; "address" => %address, "error" => %error)
        }
    }
}

/// How many clients may be connected, and how many connections there may be to servers.
fn connection_limits(limits: &MachineLimits) -> (usize, PoolLimits) {
    let sockets = limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(16);
    let clients = sockets * CLIENT_PERCENT / 100;
    let as_size = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    (as_size(clients), PoolLimits { total: as_size(sockets - clients), idle_per_server: IDLE_PER_SERVER })
}
