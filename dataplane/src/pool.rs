//! The pool of connections to servers: each attempt checks a connection out of it, and a complete response returns it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::AHashMap;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use shaletrail_protocol::{Millis, ServerId};
use snafu::OptionExt;

use crate::clock::Clock;
use crate::server_connection::{
    AddressSnafu, ConnectError, ConnectionId, ConnectionLimitSnafu, ConnectionPermit, SendError,
    ServerConnection,
};

/// How long servers keep an idle connection, where they don't say, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: Millis = 4_000;
/// The part of a server's keep-alive time within which an idle connection is reused, in percent.
const KEEP_ALIVE_PERCENT: Millis = 80;

/// Bounds of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Connections to all servers, busy and idle.
    pub total: usize,
    /// Idle connections to one server.
    pub idle_per_server: usize,
}

/// Connections to servers, by server.
pub struct Pool {
    limits: PoolLimits,
    clock: Clock,
    servers: RefCell<AHashMap<ServerId, ServerPool>>,
    open: Rc<Cell<usize>>,
    next_id: Cell<u64>,
}

#[derive(Default)]
struct ServerPool {
    address: String,
    /// Raised when the server's connections are closed: those of an earlier generation don't come back.
    generation: u64,
    busy: usize,
    /// The most recently used last.
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    connection: ServerConnection,
    expires_at: Millis,
}

impl IdleConnection {
    /// Whether a request may be sent on it now: it has not been idle for too long, and the previous exchange is complete
    /// in both directions, with no byte left.
    fn is_usable(&self, now: Millis) -> bool {
        now < self.expires_at && self.connection.is_ready()
    }
}

impl Pool {
    /// An empty pool, and the start of the clock that it goes by. The clock starts after the map has drawn its seeds,
    /// so that the system calls for them do not count as time of the process.
    pub fn new(limits: PoolLimits) -> Rc<Self> {
        let servers = RefCell::default();
        let clock = Clock::start();
        Rc::new(Pool { limits, clock, servers, open: Rc::default(), next_id: Cell::new(0) })
    }

    /// The clock of the process.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Checks out a connection to a server: an idle one that is not excluded, or a new one.
    pub async fn check_out(
        self: &Rc<Self>,
        server: &str,
        address: &str,
        is_excluded: impl Fn(&ServerConnection) -> bool,
    ) -> Result<PooledConnection, ConnectError> {
        // Ended by its drop, also where no connection comes up.
        let checkout = Checkout::begin(self, server, address);
        let connection = match self.take_idle(server, self.clock.now(), is_excluded) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        Ok(PooledConnection { connection, checkout })
    }

    /// Closes the idle connections to a server, and the busy ones once they become idle.
    pub fn close_all(&self, server: &str) {
        let idle = match self.servers.borrow_mut().get_mut(server) {
            Some(entry) => {
                entry.generation += 1;
                std::mem::take(&mut entry.idle)
            }
            None => Vec::new(),
        };
        drop(idle);
    }

    /// Closes connections that have been idle for too long and drops servers without connections.
    pub fn prune(&self, now: Millis) {
        self.servers.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|idle| now < idle.expires_at && !idle.connection.is_closed());
            entry.busy > 0 || !entry.idle.is_empty()
        });
    }

    /// The most recently used idle connection to a server, among those that are usable and not excluded.
    fn take_idle(
        &self,
        server: &str,
        now: Millis,
        is_excluded: impl Fn(&ServerConnection) -> bool,
    ) -> Option<ServerConnection> {
        let mut servers = self.servers.borrow_mut();
        let entry = servers.get_mut(server)?;
        entry.idle.retain(|idle| idle.is_usable(now));
        let position = entry.idle.iter().rposition(|idle| !is_excluded(&idle.connection))?;
        Some(entry.idle.remove(position).connection)
    }

    async fn connect(&self, address: &str) -> Result<ServerConnection, ConnectError> {
        let target: SocketAddrV4 = address.parse().ok().ok_or_else(|| AddressSnafu { address }.build())?;
        let permit = self.acquire_permit().context(ConnectionLimitSnafu)?;
        ServerConnection::connect(target, self.next_connection_id(), permit).await
    }

    fn next_connection_id(&self) -> ConnectionId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        ConnectionId(id)
    }

    /// The permit for a new connection; an idle one is closed for it at the limit.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.limits.total {
            let mut servers = self.servers.borrow_mut();
            let with_idle = servers.values_mut().filter(|entry| !entry.idle.is_empty());
            let oldest = with_idle.min_by_key(|entry| entry.idle.first().map(|idle| idle.expires_at))?;
            oldest.idle.remove(0);
        }
        Some(ConnectionPermit::acquire(&self.open))
    }

    /// Starts the use of a server; returns the generation of its connections.
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

    /// Ends the use of a server, and keeps its connection where it may be reused.
    fn release(&self, server: &str, generation: u64, returned: Option<IdleConnection>) {
        let mut servers = self.servers.borrow_mut();
        let Some(entry) = servers.get_mut(server) else { return };
        entry.busy = entry.busy.saturating_sub(1);
        let Some(idle) = returned else { return };
        if entry.generation == generation && entry.idle.len() < self.limits.idle_per_server {
            entry.idle.push(idle);
        }
    }
}

/// The use of a server by one attempt, from checkout to release.
struct Checkout {
    pool: Rc<Pool>,
    server: ServerId,
    generation: u64,
    returned: Option<IdleConnection>,
}

impl Checkout {
    fn begin(pool: &Rc<Pool>, server: &str, address: &str) -> Self {
        let generation = pool.begin(server, address);
        Checkout { pool: pool.clone(), server: server.to_owned(), generation, returned: None }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        self.pool.release(&self.server, self.generation, self.returned.take());
    }
}

/// A connection checked out for one attempt. Closed when dropped, unless it is returned to the pool.
pub struct PooledConnection {
    connection: ServerConnection,
    checkout: Checkout,
}

impl PooledConnection {
    /// The connection's id.
    pub fn id(&self) -> ConnectionId {
        self.connection.id()
    }

    /// Sends a request, which has so much time left, and waits for the head of the response. `on_first_write` runs when its
    /// first byte is written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_left: Duration,
        on_first_write: Box<dyn FnOnce()>,
    ) -> Result<Response<Incoming>, SendError> {
        self.connection.send(request, time_left, on_first_write).await
    }

    /// Returns the connection after a complete response. `keep_alive_ms` is the server's time for idle ones. The
    /// connection is closed if a part of the request is still to be written: a server may respond before it has read all
    /// of it.
    pub fn return_to_pool(self, keep_alive_ms: Option<Millis>) {
        let PooledConnection { connection, mut checkout } = self;
        if !connection.is_ready() {
            return;
        }
        let keep_alive_ms = keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS);
        let reusable_ms = keep_alive_ms.saturating_mul(KEEP_ALIVE_PERCENT) / 100;
        let expires_at = checkout.pool.clock.now().saturating_add(reusable_ms);
        checkout.returned = Some(IdleConnection { connection, expires_at });
    }
}
