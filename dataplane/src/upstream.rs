//! Connections to servers: opening them, keeping idle ones for reuse, and telling whether a request was written.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::AHashMap;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use shaletrail_protocol::{Millis, ServerId};
use snafu::{OptionExt, ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use crate::state::State;
use crate::watched::{Observer, WatchedIo};

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// After this long without an acknowledgement a connection counts as broken.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1200);
/// Between two probes of a connection on which nothing moves.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// After this long in which nothing moves the first probe is sent.
const PROBE_AFTER: Duration = Duration::from_millis(1000);
/// How long servers keep a connection that rests, where they don't say.
const USUAL_KEEP_ALIVE: Millis = 4_000;
/// The part of a server's time within which an idle connection is used again, in percent.
const KEEP_ALIVE_PERCENT: Millis = 80;
/// The longest head of an answer, and the most read ahead of a body, in bytes.
const READ_BUFFER: usize = 64 << 10;

/// Why no connection came up. Nothing was written to the server.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The server's address is none.
    #[snafu(display("'{address}' is no address"))]
    Address {
        /// As the server gave it.
        address: String,
    },
    /// All connections that the process may have are in use.
    #[snafu(display("no connection is left"))]
    Exhausted,
    /// The system refused.
    #[snafu(display("connecting: {source}"))]
    Socket {
        /// What it said.
        source: std::io::Error,
    },
    /// Nothing came within [`CONNECT_TIMEOUT`].
    #[snafu(display("connecting: no answer"))]
    Silent,
    /// The connection ended before it could be used.
    #[snafu(display("connecting: {source}"))]
    Handshake {
        /// What was seen.
        source: hyper::Error,
    },
}

/// Why a request got no answer on a connection.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether a part of the request may have been written.
    pub was_written: bool,
    /// Whether the connection had served a request before.
    pub was_reused: bool,
    /// Whether what came was no HTTP.
    pub is_parse: bool,
}

/// Names a connection to a server; never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// Bounds of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Connections to all servers, busy and idle.
    pub total: usize,
    /// Idle connections to one server.
    pub idle_per_server: usize,
}

/// Connections to servers.
pub struct Pool {
    limits: PoolLimits,
    servers: RefCell<AHashMap<ServerId, ServerPool>>,
    open: Rc<Cell<usize>>,
    next: Cell<u64>,
}

/// Counts as an open connection until it is dropped.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Place(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Default)]
struct ServerPool {
    address: String,
    /// Raised by `Pool::forget`: connections of an earlier generation don't come back.
    generation: u64,
    busy: usize,
    /// The most recently used last.
    idle: Vec<Idle>,
}

struct Idle {
    link: Link,
    until: Millis,
}

impl Idle {
    /// Whether its connection may carry a request now: it has not rested for too long, and all that came before on it
    /// is over, both ways, with no byte left.
    fn is_usable(&self, now: Millis) -> bool {
        now < self.until && self.link.sender.is_ready()
    }
}

/// A connection, without its place in the pool. Closed when dropped.
struct Link {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    watch: Rc<WriteWatch>,
    driver: AbortHandle,
    _place: Place,
    has_served: bool,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Notes whether a request has been written, in part at least.
#[derive(Default)]
struct WriteWatch {
    on_write: RefCell<Option<Box<dyn FnOnce()>>>,
    is_written: Cell<bool>,
}

impl WriteWatch {
    /// Begins to watch for the next request; `on_write` runs once, when its first byte is written.
    fn arm(&self, on_write: Box<dyn FnOnce()>) {
        self.is_written.set(false);
        self.on_write.replace(Some(on_write));
    }
}

impl Observer for WriteWatch {
    fn has_written(&self) {
        self.is_written.set(true);
        let on_write = self.on_write.take();
        if let Some(on_write) = on_write {
            on_write();
        }
    }
}

/// The use of a server for one request, with the connection that serves it. The connection is closed when the
/// lease is dropped, unless it is given back.
pub struct Lease {
    state: Rc<State>,
    server: ServerId,
    generation: u64,
    link: Option<Link>,
    returned: Option<Idle>,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        Pool { limits, servers: RefCell::default(), open: Rc::default(), next: Cell::new(0) }
    }

    /// Closes the idle connections to a server, and the busy ones once they become idle.
    pub fn forget(&self, server: &str) {
        let idle = match self.servers.borrow_mut().get_mut(server) {
            Some(entry) => {
                entry.generation += 1;
                std::mem::take(&mut entry.idle)
            }
            None => Vec::new(),
        };
        drop(idle);
    }

    /// Closes connections that have rested for too long and drops servers without connections.
    pub fn prune(&self, now: Millis) {
        self.servers.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|idle| now < idle.until && !idle.link.sender.is_closed());
            entry.busy > 0 || !entry.idle.is_empty()
        });
    }

    /// Begins the use of a server; returns the generation of its connections.
    fn begin(&self, server: &str, address: &str) -> u64 {
        let mut servers = self.servers.borrow_mut();
        let entry = match servers.get_mut(server) {
            Some(entry) => entry,
            None => servers.entry(server.to_owned()).or_default(),
        };
        if entry.address != address {
            address.clone_into(&mut entry.address);
            entry.generation += 1;
            entry.idle.clear();
        }
        entry.busy += 1;
        entry.generation
    }

    /// The most recently used idle connection to a server, among those that may be used and are not `barred`.
    fn take_idle(&self, server: &str, now: Millis, barred: impl Fn(ConnectionId) -> bool) -> Option<Link> {
        let mut servers = self.servers.borrow_mut();
        let entry = servers.get_mut(server)?;
        entry.idle.retain(|idle| idle.is_usable(now));
        let position = entry.idle.iter().rposition(|idle| !barred(idle.link.id))?;
        Some(entry.idle.remove(position).link)
    }

    /// A name for a new connection.
    fn name_connection(&self) -> ConnectionId {
        let id = self.next.get();
        self.next.set(id.wrapping_add(1));
        ConnectionId(id)
    }

    /// Ends the use of a server, and keeps the connection where it may be used again.
    fn release(&self, server: &str, generation: u64, idle: Option<Idle>) {
        let mut servers = self.servers.borrow_mut();
        let Some(entry) = servers.get_mut(server) else { return };
        entry.busy = entry.busy.saturating_sub(1);
        let Some(idle) = idle else { return };
        if entry.generation == generation && entry.idle.len() < self.limits.idle_per_server {
            entry.idle.push(idle);
        }
    }

    /// The place of a new connection; an idle one is closed for it if need be.
    fn make_room(&self) -> Option<Place> {
        if self.open.get() >= self.limits.total {
            let mut servers = self.servers.borrow_mut();
            let resting = servers.values_mut().filter(|entry| !entry.idle.is_empty());
            let oldest = resting.min_by_key(|entry| entry.idle.first().map(|idle| idle.until))?;
            oldest.idle.remove(0);
        }
        Some(Place::take(&self.open))
    }
}

impl Lease {
    /// A connection to a server: an idle one that is not `barred`, or a new one.
    pub async fn take(
        state: &Rc<State>,
        server: &str,
        address: &str,
        barred: impl Fn(ConnectionId) -> bool,
    ) -> Result<Lease, ConnectError> {
        let generation = state.pool.begin(server, address);
        let mut lease =
            Lease { state: state.clone(), server: server.to_owned(), generation, link: None, returned: None };
        lease.link = match state.pool.take_idle(server, state.clock.now(), barred) {
            Some(link) => Some(link),
            None => Some(connect(&state.pool, address).await?),
        };
        Ok(lease)
    }

    /// The connection's name.
    pub fn connection(&self) -> Option<ConnectionId> {
        self.link.as_ref().map(|link| link.id)
    }

    /// Sends the request and waits for the head of the answer. `on_write` runs when its first byte is written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        on_write: Box<dyn FnOnce()>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let Some(link) = &mut self.link else {
            return Err(ExchangeError { was_written: false, was_reused: false, is_parse: false });
        };
        let was_reused = link.has_served;
        link.has_served = true;
        link.watch.arm(on_write);
        let answer = link.sender.try_send_request(request).await;
        answer.map_err(|error| ExchangeError {
            was_written: error.message().is_none() && link.watch.is_written.get(),
            was_reused,
            is_parse: error.error().is_parse(),
        })
    }

    /// Gives the connection back after a whole answer. `keep_alive` is what the server said of idle ones. It is closed
    /// where a part of the request is still to be written: the server may have answered before it read all of it.
    pub fn give_back(mut self, keep_alive: Option<Millis>) {
        let Some(link) = self.link.take().filter(|link| link.sender.is_ready()) else { return };
        let keep = keep_alive.unwrap_or(USUAL_KEEP_ALIVE).saturating_mul(KEEP_ALIVE_PERCENT) / 100;
        let until = self.state.clock.now().saturating_add(keep);
        self.returned = Some(Idle { link, until });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.state.pool.release(&self.server, self.generation, self.returned.take());
    }
}

async fn connect(pool: &Pool, address: &str) -> Result<Link, ConnectError> {
    let target: SocketAddrV4 = address.parse().ok().ok_or_else(|| AddressSnafu { address }.build())?;
    let place = pool.make_room().context(ExhaustedSnafu)?;
    let socket = TcpSocket::new_v4().context(SocketSnafu)?;
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(target.into()));
    let Ok(connected) = connecting.await else { return SilentSnafu.fail() };
    let stream = connected.context(SocketSnafu)?;
    prepare(&stream).context(SocketSnafu)?;
    let watch = Rc::new(WriteWatch::default());
    let io = WatchedIo::new(stream, watch.clone());
    let (sender, connection) =
        http1::Builder::new().max_buf_size(READ_BUFFER).handshake(io).await.context(HandshakeSnafu)?;
    // How a connection ended is seen by the request that was on it.
    let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok(Link { id: pool.name_connection(), sender, watch, driver, _place: place, has_served: false })
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_INTERVAL))
}
