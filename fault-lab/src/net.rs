//! Listeners of the emulated backends. Each backend has one listener for the callers of each zone, which applies the
//! network impairments between the two zones to its connections.
//!
//! An unresponsive listener keeps its accept queue full with connections of its own, so that the kernel drops the SYN
//! of every further connection. A caller then sees a connect time-out, as with a machine that has lost power. This
//! needs no privileges, unlike packet filter rules.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::plan::log_normal;

/// Network conditions in one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Impairments {
    pub delay_ms: f64,
    pub jitter_ms: f64,
    /// Share of chunks lost. A lost chunk arrives late, by the time of a TCP retransmission.
    pub loss: f64,
    /// Bandwidth of each connection; `None` is unlimited.
    pub kb_per_s: Option<f64>,
    /// Nothing passes and no connection is closed.
    pub cut: bool,
    /// Connections are reset after at most this many milliseconds. Only the forward direction's value counts.
    pub reset_ms: Option<u64>,
}

/// Both directions between two zones: from the caller's zone to the backend's, and the reverse.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Link {
    pub forward: Impairments,
    pub reverse: Impairments,
}

impl Link {
    fn is_cut(&self) -> bool {
        self.forward.cut || self.reverse.cut
    }
}

/// Whether a backend runs, and how its failure looks to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Liveness {
    #[default]
    Up,
    /// The process has died: open connections are reset and new ones are refused.
    Dead,
    /// The machine is unreachable: no connection is reset, refused or accepted.
    Unreachable,
}

const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
const CHUNK_BYTES: usize = 16 << 10;
const BACKLOG: u32 = 1_024;
/// Connections that an unresponsive listener opens to itself. This is more than an accept queue of length 0 holds.
const FILLER_CONNECTIONS: usize = 3;
/// Time limit for opening one of these connections. The last ones time out because the queue is full.
const FILLER_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A seeded random number generator that tasks share. Each backend has its own, so that the tasks of different
/// backends don't contend for one lock.
#[derive(Clone)]
pub struct SharedRng(Arc<Mutex<StdRng>>);

impl SharedRng {
    /// Creates a generator; the same seed gives the same sequence of numbers.
    pub fn new(seed: u64) -> Self {
        SharedRng(Arc::new(Mutex::new(StdRng::seed_from_u64(seed))))
    }

    /// A uniformly distributed number from 0 to 1.
    pub fn uniform(&self) -> f64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.0..1.0)
    }

    /// A log-normally distributed number with mean 1 and this coefficient of variation.
    pub fn log_normal(&self, cv: f64) -> f64 {
        log_normal(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner), cv)
    }
}

/// What the connections of one listener are subject to. Changes take effect on open connections too.
#[derive(Clone)]
pub struct PathConditions {
    pub link: watch::Receiver<Link>,
    pub liveness: watch::Receiver<Liveness>,
    pub rng: SharedRng,
}

/// Binds with `SO_REUSEADDR`, so that the address can be bound again as soon as the listener is closed.
///
/// # Errors
/// The address is in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Listens until the senders of `path` are dropped, and rebinds after each time that the process was dead. `serve` gets
/// the backend's end of each connection, behind the emulated link.
pub async fn run_listener<S>(addr: SocketAddr, mut path: PathConditions, serve: S)
where
    S: Fn(DuplexStream) + Send + 'static,
{
    loop {
        if path.liveness.wait_for(|liveness| *liveness != Liveness::Dead).await.is_err() {
            return;
        }
        let Ok(listener) = bind(addr) else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        accept_until_dead(addr, &listener, &mut path, &serve).await;
    }
}

fn is_unresponsive(path: &PathConditions) -> bool {
    path.link.borrow().is_cut() || *path.liveness.borrow() == Liveness::Unreachable
}

/// Accepts connections until the process is dead.
async fn accept_until_dead<S: Fn(DuplexStream)>(
    addr: SocketAddr,
    listener: &TcpListener,
    path: &mut PathConditions,
    serve: &S,
) {
    let mut fillers = Vec::new();
    loop {
        if *path.liveness.borrow_and_update() == Liveness::Dead {
            return;
        }
        path.link.borrow_and_update();
        if is_unresponsive(path) && fillers.is_empty() {
            let _ = SockRef::from(listener).listen(0);
            for _ in 0..FILLER_CONNECTIONS {
                if let Ok(Ok(filler)) = timeout(FILLER_CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
                    fillers.push(filler);
                }
            }
            continue;
        }
        if !is_unresponsive(path) && !fillers.is_empty() {
            fillers.clear();
            let _ = SockRef::from(listener).listen(BACKLOG as i32);
        }
        let open = !is_unresponsive(path);
        tokio::select! {
            accepted = listener.accept(), if open => {
                let Ok((stream, _)) = accepted else {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let (relay_end, backend_end) = tokio::io::duplex(CHUNK_BYTES);
                tokio::spawn(relay_connection(stream, relay_end, path.clone()));
                serve(backend_end);
            }
            changed = path.liveness.changed() => if changed.is_err() { return },
            changed = path.link.changed() => if changed.is_err() { return },
        }
    }
}

/// Relays one connection in both directions until both have ended or the connection is reset.
async fn relay_connection(stream: TcpStream, relay_end: DuplexStream, path: PathConditions) {
    // Dropping the socket sends a reset, unless everything has been sent and both directions are shut down.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (mut from_backend, mut to_backend) = tokio::io::split(relay_end);
    let forward = async {
        let ended = copy_bytes(&mut from_caller, &mut to_backend, &path, true).await;
        let _ = to_backend.shutdown().await;
        ended
    };
    let reverse = async {
        let ended = copy_bytes(&mut from_backend, &mut to_caller, &path, false).await;
        let _ = to_caller.shutdown().await;
        ended
    };
    let mut reset_watch = path.clone();
    let reset_after_ms =
        path.link.borrow().forward.reset_ms.map(|most| most as f64 * (0.2 + 0.8 * path.rng.uniform()));
    let reset_timer = async {
        match reset_after_ms {
            Some(ms) => sleep(Duration::from_secs_f64(ms / 1e3)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = async { tokio::join!(forward, reverse); } => {}
        () = reset_timer => {}
        () = wait_for_reset(&mut reset_watch) => {}
    }
}

/// Completes when the connection must be reset: the process has died, the link or the machine is back after it was
/// unreachable, or connection resets have been switched on.
async fn wait_for_reset(path: &mut PathConditions) {
    let resets = |path: &PathConditions| path.link.borrow().forward.reset_ms.is_some();
    let (mut was_unresponsive, resets_at_start) = (is_unresponsive(path), resets(path));
    loop {
        tokio::select! {
            changed = path.liveness.changed() => if changed.is_err() { return },
            changed = path.link.changed() => if changed.is_err() { return },
        }
        if *path.liveness.borrow() == Liveness::Dead || (!resets_at_start && resets(path)) {
            return;
        }
        if was_unresponsive && !is_unresponsive(path) {
            return;
        }
        was_unresponsive |= is_unresponsive(path);
    }
}

async fn copy_bytes<R, W>(from: &mut R, to: &mut W, path: &PathConditions, forward: bool)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut chunk = vec![0; 4 << 10];
    let (mut link, mut liveness) = (path.link.clone(), path.liveness.clone());
    loop {
        let Ok(n) = from.read(&mut chunk).await else { return };
        let now = *link.borrow();
        let now = if forward { now.forward } else { now.reverse };
        let mut delay_s = now.delay_ms / 1e3;
        if now.jitter_ms > 0.0 {
            delay_s += now.jitter_ms * path.rng.uniform() / 1e3;
        }
        if let Some(kb) = now.kb_per_s {
            delay_s += n as f64 / (kb * 1e3);
        }
        if now.loss > 0.0 && path.rng.uniform() < now.loss {
            delay_s += RETRANSMISSION_DELAY.as_secs_f64();
        }
        if delay_s > 0.0 {
            sleep(Duration::from_secs_f64(delay_s)).await;
        }
        // Bytes in flight when the link is cut are held until it is restored; then the connection is reset.
        let cut = |link: &Link| if forward { link.forward.cut } else { link.reverse.cut };
        if link.wait_for(|link| !cut(link)).await.is_err()
            || liveness.wait_for(|liveness| *liveness != Liveness::Unreachable).await.is_err()
        {
            return;
        }
        if n == 0 || to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}

/// The links between all pairs of zones, with their normal and their current conditions.
pub struct Links {
    zones: usize,
    normal: Vec<Link>,
    senders: Vec<watch::Sender<Link>>,
}

impl Links {
    /// Creates the links of `zones` zones: `same` applies within a zone, `cross` between two zones.
    pub fn new(zones: usize, same: Impairments, cross: Impairments) -> Self {
        let normal: Vec<Link> = (0..zones * zones)
            .map(|n| if n / zones == n % zones { same } else { cross })
            .map(|path| Link { forward: path, reverse: path })
            .collect();
        let senders = normal.iter().map(|link| watch::Sender::new(*link)).collect();
        Links { zones, normal, senders }
    }

    /// The current conditions from callers in one zone to backends in another, followed as they change.
    pub fn between(&self, from: usize, to: usize) -> watch::Receiver<Link> {
        self.senders[from * self.zones + to].subscribe()
    }

    /// The current conditions from one zone to another.
    pub fn now(&self, from: usize, to: usize) -> Link {
        *self.senders[from * self.zones + to].borrow()
    }

    /// Sets the conditions on all links of a zone to other zones. `out` and `into` compute the outbound and the
    /// inbound direction from its normal conditions.
    pub fn change(
        &self,
        zone: usize,
        out: impl Fn(Impairments) -> Impairments,
        into: impl Fn(Impairments) -> Impairments,
    ) {
        for other in (0..self.zones).filter(|other| *other != zone) {
            for (from, to) in [(zone, other), (other, zone)] {
                let normal = self.normal[from * self.zones + to];
                // Requests leave the caller's zone in the forward direction; responses return in the reverse one.
                let link = if from == zone {
                    Link { forward: out(normal.forward), reverse: into(normal.reverse) }
                } else {
                    Link { forward: into(normal.forward), reverse: out(normal.reverse) }
                };
                self.senders[from * self.zones + to].send_replace(link);
            }
        }
    }
}

/// Delay of one datagram between two nodes; `None` if it is lost. `loss` is added to the link's own loss.
pub fn message_delay(path: &Impairments, loss: f64, rng: &SharedRng) -> Option<Duration> {
    if path.cut || rng.uniform() < loss || (path.loss > 0.0 && rng.uniform() < path.loss) {
        return None;
    }
    Some(Duration::from_secs_f64((path.delay_ms + path.jitter_ms * rng.uniform()) / 1e3))
}

/// The instant that is `seconds` after the start of the run; negative values count as 0.
pub fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds.max(0.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::registry::free_addr;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn echo(stream: DuplexStream) {
        tokio::spawn(async move {
            let (mut from, mut to) = tokio::io::split(stream);
            let _ = tokio::io::copy(&mut from, &mut to).await;
        });
    }

    async fn echoes(stream: &mut TcpStream) -> Option<bool> {
        stream.write_all(b"x").await.ok()?;
        let read = timeout(Duration::from_millis(400), stream.read(&mut [0; 8])).await;
        Some(matches!(read, Ok(Ok(1))))
    }

    #[tokio::test]
    async fn an_unresponsive_listener_times_out_connects_and_resets_old_connections_when_it_returns() {
        let addr = free_addr();
        let links = Links::new(2, Impairments::default(), Impairments::default());
        let liveness = watch::Sender::new(Liveness::Up);
        let path = PathConditions {
            link: links.between(0, 1),
            liveness: liveness.subscribe(),
            rng: SharedRng::new(1),
        };
        tokio::spawn(run_listener(addr, path, echo));
        let connect = || timeout(Duration::from_millis(700), TcpStream::connect(addr));
        let mut old = loop {
            if let Ok(Ok(stream)) = connect().await {
                break stream;
            }
        };
        assert_eq!(echoes(&mut old).await, Some(true));
        let cut = |path: Impairments| Impairments { cut: true, ..path };
        for (out, into) in [(true, true), (true, false), (false, true)] {
            let normal = |path: Impairments| path;
            links.change(0, if out { cut } else { normal }, if into { cut } else { normal });
            sleep(Duration::from_millis(300)).await;
            assert!(connect().await.is_err(), "the connection must neither open nor be refused");
            assert_eq!(echoes(&mut old).await, Some(false), "no bytes must pass");
            links.change(0, normal, normal);
            let mut new = loop {
                if let Ok(Ok(stream)) = connect().await {
                    break stream;
                }
            };
            assert_eq!(echoes(&mut new).await, Some(true));
            let mut byte = [0; 1];
            // Bytes that were in flight may still arrive before the reset.
            while matches!(timeout(Duration::from_secs(30), old.read(&mut byte)).await, Ok(Ok(1))) {}
            old = new;
        }
        liveness.send_replace(Liveness::Dead);
        let dead =
            timeout(Duration::from_secs(30), old.read(&mut [0; 1])).await.expect("the connection is closed");
        assert!(matches!(dead, Ok(0) | Err(_)));
        assert!(matches!(connect().await, Ok(Err(_))), "new connections must be refused");
    }
}
