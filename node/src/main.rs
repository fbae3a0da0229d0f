//! shaletrail-node: a load balancer node on real sockets. It serves until it gets a signal, answers every
//! accepted request and exits.

#![deny(unsafe_code)]

mod body;
mod config;
mod disabled_servers;
mod discovery;
mod fences;
mod handle;
mod host;
mod inherited_listener;
mod lifecycle;
mod metrics;
mod operator_api;
mod peers;
mod server;
mod socket_sharing;
mod upstream;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

use config::Config;
use discovery::Discovery;
use fences::Fences;
use handle::HostHandle;
use host::Host;
use lifecycle::Lifecycle;
use metrics::Metrics;
use operator_api::OperatorApi;
use peers::Peers;
use server::ClientConnections;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            // Always one line, even if the message has several.
            eprintln!("shaletrail-node: {}", what.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load()?;
    // A node has one core, so one thread suffices and no locks are needed.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let hangup = signal(SignalKind::hangup())?;
    let listener = match &config.listener_fd {
        Some(descriptor) => inherited_listener::listener(descriptor).and_then(TcpListener::from_std),
        None => TcpListener::bind(config.listen).await,
    };
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let operator_listener = match config.operator_listen {
        Some(addr) => {
            Some(TcpListener::bind(addr).await.map_err(|e| format!("listen for operators on {addr}: {e}"))?)
        }
        None => None,
    };
    if let Some(operator_listener) = &operator_listener {
        println!("{} listens for operators on {}", config.name, operator_listener.local_addr()?);
    }
    println!("{} listens on {}", config.name, listener.local_addr()?);
    let lifecycle = Rc::new(Lifecycle::new());
    let handle = HostHandle::default();
    let discovery = Discovery::new(config.discovery.clone(), handle.clone());
    let held_version = config.initial_list.as_ref().map(|list| list.version);
    spawn_local(Rc::clone(&discovery).follow(held_version, config.seed, config.settings.clone()));
    let peers = Peers::bind(&config).await.map_err(|e| format!("listen for peers: {e}"))?.map(Rc::new);
    let host = Host::start(&config, Rc::clone(&discovery), peers.clone())?;
    let event_host = Rc::clone(&host);
    handle.set_handler(move |event| event_host.on_event(event));
    if let Some(peers) = peers {
        let lifecycle = Rc::clone(&lifecycle);
        spawn_local(async move { peers.serve(&handle, &lifecycle).await });
    }
    let clients = ClientConnections::new(config.client_sockets);
    if let Some(state_dir) = config.state_dir.as_ref().filter(|_| config.listener_fd.is_some()) {
        let (host, clients) = (Rc::clone(&host), Rc::clone(&clients));
        spawn_local(socket_sharing::run(state_dir.clone(), host, clients, config.shared_sockets));
    } else if config.listener_fd.is_some() {
        eprintln!("TMPDIR is not set: a second process of this node would not share its connection limits");
    }
    if let Some(operator_listener) = operator_listener {
        let fences = Fences::new(config.state_dir.as_deref());
        let api = OperatorApi { host: Rc::clone(&host), lifecycle: Rc::clone(&lifecycle), fences };
        spawn_local(operator_api::serve(operator_listener, api));
        spawn_local(Rc::clone(&host).watch_disabled_servers());
    }
    spawn_local(reload_on_hangup(hangup, discovery, Rc::clone(&host.metrics)));
    let serving = server::serve(listener, Rc::clone(&host), clients, &config, Rc::clone(&lifecycle));
    let stopped = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        lifecycle.stop(config.listener_fd.is_some());
    };
    tokio::join!(serving, stopped);
    Ok(())
}

/// An invalid file may still be being written at the hang-up signal, so it is reread at this interval ...
const CONFIG_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// ... for this long. Changes at the new discovery address must be followed from 4 s after the signal on.
const CONFIG_RETRY_PERIOD: Duration = Duration::from_millis(3500);

/// Rereads the discovery addresses at each hang-up signal. An invalid file changes nothing, as a node in
/// service must not stop because of it.
async fn reload_on_hangup(mut hangup: Signal, discovery: Rc<Discovery>, metrics: Rc<Metrics>) {
    // The end of the retry period, while an invalid file is being reread.
    let mut retry_until: Option<Instant> = None;
    loop {
        let signalled = tokio::select! {
            signal = hangup.recv() => match signal {
                Some(()) => true,
                None => return,
            },
            () = sleep(CONFIG_RETRY_INTERVAL), if retry_until.is_some_and(|until| Instant::now() < until) => false,
        };
        match config::reload_discovery() {
            Ok(endpoints) => {
                metrics::increment(&metrics.reconfig_ok);
                discovery.move_to(endpoints);
                retry_until = None;
            }
            Err(what) if signalled => {
                metrics::increment(&metrics.reconfig_failed);
                eprintln!("shaletrail-node: {}", what.to_string().replace('\n', " "));
                retry_until = Some(Instant::now() + CONFIG_RETRY_PERIOD);
            }
            Err(_) => {}
        }
    }
}
