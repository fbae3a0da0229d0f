//! Doors: where an emulated party listens for the callers of one zone, with the link between the two zones in it.
//!
//! A silent door keeps its accept queue full with connections of its own, so that the system drops the opening of
//! further ones: a caller's connection does not come up, as when a machine has vanished, and no privileges are
//! needed.

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

/// One way of a link.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Way {
    pub delay_ms: f64,
    pub jitter_ms: f64,
    /// Share of pieces lost; each comes after a retransmission's time.
    pub loss: f64,
    pub kb_per_s: Option<f64>,
    /// Nothing passes and nobody is told.
    pub cut: bool,
    /// Connections break after so many milliseconds at the latest.
    pub reset_ms: Option<u64>,
}

/// Both ways between two zones, from the caller's to the party's and back.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Link {
    pub there: Way,
    pub back: Way,
}

impl Link {
    fn is_cut(&self) -> bool {
        self.there.cut || self.back.cut
    }
}

/// How a party's process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Life {
    #[default]
    Up,
    /// The process is gone: connections are reset, new ones refused.
    Dead,
    /// The machine is gone: it says nothing.
    Vanished,
}

const RETRANSMISSION: Duration = Duration::from_millis(200);
const PIECE: usize = 16 << 10;
const BACKLOG: u32 = 1_024;
/// Connections of its own that fill a queue of length 0, with some to spare.
const FILL: usize = 3;
/// How long one of them may take to come up; the last does not.
const FILLING: Duration = Duration::from_millis(50);

/// Drawn apart for each party, so that tasks don't wait for one another.
#[derive(Clone)]
pub struct Dice(Arc<Mutex<StdRng>>);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Dice(Arc::new(Mutex::new(StdRng::seed_from_u64(seed))))
    }

    /// From 0 to 1.
    pub fn roll(&self) -> f64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.0..1.0)
    }

    /// Log-normal with mean 1 and this coefficient of variation.
    pub fn log_normal(&self, cv: f64) -> f64 {
        log_normal(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner), cv)
    }
}

/// What lies between a door and whoever comes to it.
#[derive(Clone)]
pub struct Passage {
    pub link: watch::Receiver<Link>,
    pub life: watch::Receiver<Life>,
    pub dice: Dice,
}

/// Binds so that the address can be had again at once.
///
/// # Errors
/// Where the address is taken.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Listens as long as the runtime lives; whoever comes in is given to `serve` with the far end of the link.
pub async fn door<S>(addr: SocketAddr, mut way: Passage, serve: S)
where
    S: Fn(DuplexStream) + Send + 'static,
{
    loop {
        if way.life.wait_for(|life| *life != Life::Dead).await.is_err() {
            return;
        }
        let Ok(listener) = bind(addr) else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        listen(addr, &listener, &mut way, &serve).await;
    }
}

fn silent(way: &Passage) -> bool {
    way.link.borrow().is_cut() || *way.life.borrow() == Life::Vanished
}

/// Until the process is dead.
async fn listen<S: Fn(DuplexStream)>(addr: SocketAddr, listener: &TcpListener, way: &mut Passage, serve: &S) {
    let mut fillers = Vec::new();
    loop {
        if *way.life.borrow_and_update() == Life::Dead {
            return;
        }
        way.link.borrow_and_update();
        if silent(way) && fillers.is_empty() {
            let _ = SockRef::from(listener).listen(0);
            for _ in 0..FILL {
                if let Ok(Ok(filler)) = timeout(FILLING, TcpStream::connect(addr)).await {
                    fillers.push(filler);
                }
            }
            continue;
        }
        if !silent(way) && !fillers.is_empty() {
            fillers.clear();
            let _ = SockRef::from(listener).listen(BACKLOG as i32);
        }
        let open = !silent(way);
        tokio::select! {
            accepted = listener.accept(), if open => {
                let Ok((stream, _)) = accepted else {
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let (near, far) = tokio::io::duplex(PIECE);
                tokio::spawn(carry(stream, near, way.clone()));
                serve(far);
            }
            changed = way.life.changed() => if changed.is_err() { return },
            changed = way.link.changed() => if changed.is_err() { return },
        }
    }
}

/// One connection's life: both ways until one side ends, the process dies, or the link has been cut and is back.
async fn carry(stream: TcpStream, near: DuplexStream, way: Passage) {
    // Whatever ends it, the caller sees a reset unless all was said.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (mut from_party, mut to_party) = tokio::io::split(near);
    let there = async {
        let ended = pass(&mut from_caller, &mut to_party, &way, true).await;
        let _ = to_party.shutdown().await;
        ended
    };
    let back = async {
        let ended = pass(&mut from_party, &mut to_caller, &way, false).await;
        let _ = to_caller.shutdown().await;
        ended
    };
    let mut ends = way.clone();
    let until = way.link.borrow().there.reset_ms.map(|most| most as f64 * (0.2 + 0.8 * way.dice.roll()));
    let broken = async {
        match until {
            Some(ms) => sleep(Duration::from_secs_f64(ms / 1e3)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        () = broken => {}
        () = over(&mut ends) => {}
    }
}

/// Ends when connections are reset: the process is dead, or a silence is over, or breaking begins.
async fn over(way: &mut Passage) {
    let breaks = |way: &Passage| way.link.borrow().there.reset_ms.is_some();
    let (mut was_silent, broke) = (silent(way), breaks(way));
    loop {
        tokio::select! {
            changed = way.life.changed() => if changed.is_err() { return },
            changed = way.link.changed() => if changed.is_err() { return },
        }
        if *way.life.borrow() == Life::Dead || (!broke && breaks(way)) {
            return;
        }
        if was_silent && !silent(way) {
            return;
        }
        was_silent |= silent(way);
    }
}

async fn pass<R, W>(from: &mut R, to: &mut W, way: &Passage, there: bool)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut piece = vec![0; 4 << 10];
    let (mut link, mut life) = (way.link.clone(), way.life.clone());
    loop {
        let Ok(n) = from.read(&mut piece).await else { return };
        let now = *link.borrow();
        let now = if there { now.there } else { now.back };
        let mut late = now.delay_ms / 1e3;
        if now.jitter_ms > 0.0 {
            late += now.jitter_ms * way.dice.roll() / 1e3;
        }
        if let Some(kb) = now.kb_per_s {
            late += n as f64 / (kb * 1e3);
        }
        if now.loss > 0.0 && way.dice.roll() < now.loss {
            late += RETRANSMISSION.as_secs_f64();
        }
        if late > 0.0 {
            sleep(Duration::from_secs_f64(late)).await;
        }
        // What is on its way when the link is cut is held until it is back; then the connection is reset.
        let cut = |link: &Link| if there { link.there.cut } else { link.back.cut };
        if link.wait_for(|link| !cut(link)).await.is_err()
            || life.wait_for(|life| *life != Life::Vanished).await.is_err()
        {
            return;
        }
        if n == 0 || to.write_all(&piece[..n]).await.is_err() {
            return;
        }
    }
}

/// The links of a fleet's zones, and what faults have made of them.
pub struct Links {
    zones: usize,
    usual: Vec<Link>,
    tell: Vec<watch::Sender<Link>>,
}

impl Links {
    pub fn new(zones: usize, same: Way, cross: Way) -> Self {
        let usual: Vec<Link> = (0..zones * zones)
            .map(|n| if n / zones == n % zones { same } else { cross })
            .map(|way| Link { there: way, back: way })
            .collect();
        let tell = usual.iter().map(|link| watch::Sender::new(*link)).collect();
        Links { zones, usual, tell }
    }

    /// From callers of one zone to parties of another.
    pub fn between(&self, from: usize, to: usize) -> watch::Receiver<Link> {
        self.tell[from * self.zones + to].subscribe()
    }

    pub fn now(&self, from: usize, to: usize) -> Link {
        *self.tell[from * self.zones + to].borrow()
    }

    /// Changes all ways out of a zone and into it: `out` and `into` are given the usual way.
    pub fn change(&self, zone: usize, out: impl Fn(Way) -> Way, into: impl Fn(Way) -> Way) {
        for other in (0..self.zones).filter(|other| *other != zone) {
            for (from, to) in [(zone, other), (other, zone)] {
                let usual = self.usual[from * self.zones + to];
                // Calls go `there` from the caller's zone, answers `back` into it.
                let link = if from == zone {
                    Link { there: out(usual.there), back: into(usual.back) }
                } else {
                    Link { there: into(usual.there), back: out(usual.back) }
                };
                self.tell[from * self.zones + to].send_replace(link);
            }
        }
    }
}

/// How long a message between nodes takes on this way; `None` if it does not come.
pub fn message_delay(way: &Way, loss: f64, dice: &Dice) -> Option<Duration> {
    if way.cut || dice.roll() < loss || (way.loss > 0.0 && dice.roll() < way.loss) {
        return None;
    }
    Some(Duration::from_secs_f64((way.delay_ms + way.jitter_ms * dice.roll()) / 1e3))
}

/// When something planned for a time of the run is due.
pub fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds.max(0.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::service::free;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    /// Echoes what comes.
    fn echo(stream: DuplexStream) {
        tokio::spawn(async move {
            let (mut from, mut to) = tokio::io::split(stream);
            let _ = tokio::io::copy(&mut from, &mut to).await;
        });
    }

    async fn says(stream: &mut TcpStream) -> Option<bool> {
        stream.write_all(b"x").await.ok()?;
        let read = timeout(Duration::from_millis(400), stream.read(&mut [0; 8])).await;
        Some(matches!(read, Ok(Ok(1))))
    }

    #[tokio::test]
    async fn a_silent_door_lets_no_connection_come_up_and_resets_those_it_had_when_it_is_back() {
        let addr = free();
        let links = Links::new(2, Way::default(), Way::default());
        let life = watch::Sender::new(Life::Up);
        let way = Passage { link: links.between(0, 1), life: life.subscribe(), dice: Dice::new(1) };
        tokio::spawn(door(addr, way, echo));
        let connect = || timeout(Duration::from_millis(700), TcpStream::connect(addr));
        let mut old = loop {
            if let Ok(Ok(stream)) = connect().await {
                break stream;
            }
        };
        assert_eq!(says(&mut old).await, Some(true));
        let cut = |way: Way| Way { cut: true, ..way };
        for (out, into) in [(true, true), (true, false), (false, true)] {
            let usual = |way: Way| way;
            links.change(0, if out { cut } else { usual }, if into { cut } else { usual });
            sleep(Duration::from_millis(300)).await;
            assert!(connect().await.is_err(), "it neither comes up nor is refused");
            assert_eq!(says(&mut old).await, Some(false), "nothing passes");
            links.change(0, usual, usual);
            let mut new = loop {
                if let Ok(Ok(stream)) = connect().await {
                    break stream;
                }
            };
            assert_eq!(says(&mut new).await, Some(true));
            let mut byte = [0; 1];
            // What was on its way may still come, then the reset.
            while matches!(timeout(Duration::from_secs(30), old.read(&mut byte)).await, Ok(Ok(1))) {}
            old = new;
        }
        life.send_replace(Life::Dead);
        let dead = timeout(Duration::from_secs(30), old.read(&mut [0; 1])).await.expect("told");
        assert!(matches!(dead, Ok(0) | Err(_)));
        assert!(matches!(connect().await, Ok(Err(_))), "refused");
    }
}
