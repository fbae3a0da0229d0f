//! shaletrail-node: one load balancer node on real sockets. It starts, serves until a signal, answers what it has
//! taken and exits.

#![deny(unsafe_code)]

mod body;
mod byhand;
mod config;
mod discovery;
mod fences;
mod figures;
mod handle;
mod host;
mod inherit;
mod lifecycle;
mod ops;
mod peers;
mod server;
mod sharing;
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
use figures::Figures;
use handle::Handle;
use host::Host;
use lifecycle::Lifecycle;
use ops::Door;
use peers::Peers;
use server::Clients;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            // One line, whatever the cause was worded like.
            eprintln!("shaletrail-node: {}", what.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load()?;
    // One core is all that a node has, so one thread and no locks.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let hangup = signal(SignalKind::hangup())?;
    let listener = match &config.socket {
        Some(socket) => inherit::listener(socket).and_then(TcpListener::from_std),
        None => TcpListener::bind(config.listen).await,
    };
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let door = match config.ops {
        Some(ops) => {
            Some(TcpListener::bind(ops).await.map_err(|e| format!("listen for operators on {ops}: {e}"))?)
        }
        None => None,
    };
    if let Some(door) = &door {
        println!("{} listens for operators on {}", config.name, door.local_addr()?);
    }
    println!("{} listens on {}", config.name, listener.local_addr()?);
    let lifecycle = Rc::new(Lifecycle::new());
    let handle = Handle::default();
    let discovery = Discovery::new(config.discovery.clone(), handle.clone());
    let known = config.known.as_ref().map(|list| list.version);
    spawn_local(Rc::clone(&discovery).follow(known, config.seed, config.settings.clone()));
    let peers = Peers::bind(&config).await.map_err(|e| format!("listen for peers: {e}"))?.map(Rc::new);
    let host = Host::start(&config, Rc::clone(&discovery), peers.clone())?;
    let ear = Rc::clone(&host);
    handle.lead_to(move |heard| ear.hear(heard));
    if let Some(peers) = peers {
        let lifecycle = Rc::clone(&lifecycle);
        spawn_local(async move { peers.serve(&handle, &lifecycle).await });
    }
    let clients = Clients::new(config.client_sockets);
    if let Some(folder) = config.folder.as_ref().filter(|_| config.socket.is_some()) {
        let (host, clients) = (Rc::clone(&host), Rc::clone(&clients));
        spawn_local(sharing::share(folder.clone(), host, clients, config.shared_sockets));
    } else if config.socket.is_some() {
        eprintln!("TMPDIR is not set: a second process would not share this one's limits");
    }
    if let Some(door) = door {
        let fences = Fences::new(config.folder.as_deref());
        let calls = Door { host: Rc::clone(&host), lifecycle: Rc::clone(&lifecycle), fences };
        spawn_local(ops::serve(door, calls));
        spawn_local(Rc::clone(&host).follow_by_hand());
    }
    spawn_local(follow_discovery(hangup, discovery, Rc::clone(&host.figures)));
    let serving = server::serve(listener, Rc::clone(&host), clients, &config, Rc::clone(&lifecycle));
    let stopped = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        lifecycle.stop(config.socket.is_some());
    };
    tokio::join!(serving, stopped);
    Ok(())
}

/// Where the file makes no sense at a hang-up it may still be being written: it is read again so often, ...
const READ_AGAIN: Duration = Duration::from_millis(100);
/// ... for so long: what discovery tells at its new place counts as told 4 s after the signal.
const BEING_WRITTEN: Duration = Duration::from_millis(3500);

/// At each hang-up the configuration may have been replaced, and discovery moved. A file that makes no sense
/// changes nothing: a node in service must not end by it.
async fn follow_discovery(mut hangup: Signal, discovery: Rc<Discovery>, figures: Rc<Figures>) {
    // Until when a file that made no sense is read again.
    let mut unread: Option<Instant> = None;
    loop {
        let signalled = tokio::select! {
            signal = hangup.recv() => match signal {
                Some(()) => true,
                None => return,
            },
            () = sleep(READ_AGAIN), if unread.is_some_and(|until| Instant::now() < until) => false,
        };
        match config::replaced_discovery() {
            Ok(endpoints) => {
                figures::add_one(&figures.reconfig_ok);
                discovery.move_to(endpoints);
                unread = None;
            }
            Err(what) if signalled => {
                figures::add_one(&figures.reconfig_failed);
                eprintln!("shaletrail-node: {}", what.to_string().replace('\n', " "));
                unread = Some(Instant::now() + BEING_WRITTEN);
            }
            Err(_) => {}
        }
    }
}
