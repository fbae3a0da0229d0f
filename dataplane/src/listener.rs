//! Connections of clients: accepting them, serving requests on them, and closing those that rest too long.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use ahash::AHashMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use shaletrail_configuration::ClientLimits;
use shaletrail_protocol::Millis;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

use crate::ingress;
use crate::state::{Clock, State};
use crate::watched::{Observer, WatchedIo};

/// Connections that wait to be accepted: a full queue costs a client seconds.
const BACKLOG: u32 = 4096;
/// After an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Between two looks for connections that rest too long.
const REAP_INTERVAL: Duration = Duration::from_secs(1);
/// After this long without an acknowledgement a client counts as gone.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);
/// The longest time for one answer, in milliseconds: a client that takes longer doesn't read.
const LONGEST_ANSWER: Millis = 300_000;
/// The least that is read from a client at once, if it is there, in bytes.
const READ_BUFFER: usize = 128 << 10;

/// Opens a listening socket.
pub fn bind(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Resting,
    /// A request's head is coming.
    Head,
    /// Its body is coming.
    Body,
    /// The answer is being made and written.
    Answering,
}

/// What is to become of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It stays.
    Stay,
    /// It closes once it rests.
    Close,
    /// It is dropped, whatever it does.
    Drop,
}

/// A client's connection, as the table of connections knows it.
pub struct Connection {
    clock: Clock,
    phase: Cell<Phase>,
    since: Cell<Millis>,
    fate: Cell<Fate>,
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    fn new(clock: Clock) -> Self {
        Connection {
            clock,
            phase: Cell::new(Phase::Resting),
            since: Cell::new(clock.now()),
            fate: Cell::new(Fate::Stay),
            waker: RefCell::default(),
        }
    }

    /// A request's head has been read; the guard's end is the end of its answer.
    pub fn begin_request(self: &Rc<Self>) -> Serving {
        self.enter(Phase::Body);
        Serving(self.clone())
    }

    /// The request has been read whole.
    pub fn begin_answer(&self) {
        self.enter(Phase::Answering);
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(self.clock.now());
    }

    fn doom(&self, fate: Fate) {
        if self.fate.get() == fate {
            return;
        }
        self.fate.set(fate);
        let waker = self.waker.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// What becomes of it under these limits.
    fn due(&self, now: Millis, limits: &ClientLimits) -> Fate {
        let (longest, fate) = match self.phase.get() {
            Phase::Resting => (limits.idle_timeout_ms, Fate::Close),
            Phase::Head => (limits.header_timeout_ms, Fate::Drop),
            Phase::Body => (limits.idle_timeout_ms, Fate::Drop),
            Phase::Answering => (LONGEST_ANSWER, Fate::Drop),
        };
        if now.saturating_sub(self.since.get()) > longest {
            fate
        } else {
            Fate::Stay
        }
    }
}

impl Observer for Connection {
    fn has_read(&self) {
        if self.phase.get() == Phase::Resting {
            self.enter(Phase::Head);
        }
    }
}

/// A request that is being served; its connection rests again when this is dropped.
pub struct Serving(Rc<Connection>);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.enter(Phase::Resting);
    }
}

/// The connections of clients.
pub struct Clients {
    state: Rc<State>,
    most: usize,
    next: Cell<u64>,
    connections: RefCell<AHashMap<u64, Rc<Connection>>>,
    closed: Notify,
    accepted_at: Cell<Millis>,
}

impl Clients {
    /// No connections; `most` of them may be open at once.
    pub fn new(state: Rc<State>, most: usize) -> Rc<Self> {
        let accepted_at = Cell::new(state.clock.now());
        let connections = RefCell::default();
        Rc::new(Clients { state, most, next: Cell::new(0), connections, closed: Notify::new(), accepted_at })
    }

    /// Accepts connections and serves each in a task of its own; never returns.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            while self.connections.borrow().len() >= self.most {
                self.closed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().open(stream),
                Err(error) => {
                    slog::debug!(self.state.log, "accept failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes connections that rest or dawdle too long, here and to servers; never returns.
    pub async fn reap(&self) {
        loop {
            tokio::time::sleep(REAP_INTERVAL).await;
            let now = self.state.clock.now();
            let limits = self.state.view().limits;
            for connection in self.connections.borrow().values() {
                match connection.due(now, &limits) {
                    Fate::Stay => {}
                    fate => connection.doom(fate),
                }
            }
            self.state.pool.prune(now);
        }
    }

    /// When the newest connection was accepted.
    pub fn accepted_at(&self) -> Millis {
        self.accepted_at.get()
    }

    /// Closes each connection once it rests.
    pub fn close_resting(&self) {
        for connection in self.connections.borrow().values() {
            connection.doom(Fate::Close);
        }
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.closed.notified().await;
        }
    }

    fn open(self: Rc<Self>, stream: TcpStream) {
        self.accepted_at.set(self.state.clock.now());
        if let Err(error) = prepare(&stream) {
            slog::debug!(self.state.log, "connection lost"; "error" => %error);
            return;
        }
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let connection = Rc::new(Connection::new(self.state.clock));
        self.connections.borrow_mut().insert(number, connection.clone());
        tokio::task::spawn_local(async move {
            serve(self.state.clone(), connection, stream).await;
            self.connections.borrow_mut().remove(&number);
            self.closed.notify_waiters();
        });
    }
}

/// Serves the requests of one connection, until it ends.
async fn serve(state: Rc<State>, connection: Rc<Connection>, stream: TcpStream) {
    let limit = usize::try_from(state.view().limits.max_header_bytes).unwrap_or(READ_BUFFER);
    let io = WatchedIo::new(stream, connection.clone());
    let requests = {
        let connection = connection.clone();
        service_fn(move |request| ingress::serve(state.clone(), connection.clone(), request))
    };
    let mut builder = http1::Builder::new();
    builder
        .max_header_size(limit)
        .max_buf_size(READ_BUFFER.max(limit))
        .header_read_timeout(None)
        .auto_date_header(false);
    let mut serving = pin!(builder.serve_connection(io, requests));
    let mut is_closing = false;
    poll_fn(|context| {
        match connection.fate.get() {
            Fate::Stay => {}
            Fate::Drop => return Poll::Ready(()),
            Fate::Close if is_closing => {}
            Fate::Close => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
        connection.waker.replace(Some(context.waker().clone()));
        // How a client's connection ended is of no use to anybody.
        serving.as_mut().poll(context).map(drop)
    })
    .await;
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
