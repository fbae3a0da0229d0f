//! The pool of connections to servers. Each attempt checks out a connection; a complete response returns it
//! to the pool.

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

/// Assumed keep-alive time of servers that send no `Keep-Alive: timeout`.
const DEFAULT_KEEP_ALIVE_MS: Millis = 4_000;
/// An idle connection is reused during this part of the server's keep-alive time.
const KEEP_ALIVE_PERCENT: Millis = 80;

/// Upper limits on the number of connections in a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Connections to all servers, in use and idle.
    pub max_connections: usize,
    pub max_idle_per_server: usize,
}

/// The connections to servers, kept for reuse while idle.
pub struct Pool {
    limits: PoolLimits,
    clock: Clock,
    servers: RefCell<AHashMap<ServerId, ServerPool>>,
    open_connections: Rc<Cell<usize>>,
    next_id: Cell<u64>,
}

#[derive(Default)]
struct ServerPool {
    address: String,
    /// Incremented when the server's connections are to be closed: connections of an earlier generation are
    /// not returned to the pool.
    generation: u64,
    /// Attempts that currently use the server.
    in_use: usize,
    /// Ordered by last use, the most recent last.
    idle: Vec<IdleConnection>,
}

struct IdleConnection {
    connection: ServerConnection,
    expires_at: Millis,
}

impl IdleConnection {
    /// Whether a request may be sent on the connection: it has not been idle for too long, and the previous
    /// request and response have been transferred completely.
    fn is_usable(&self, now: Millis) -> bool {
        now < self.expires_at && self.connection.is_ready()
    }
}

impl Pool {
    /// Creates an empty pool and starts the clock of the process. The clock is started after the map has
    /// obtained its hash seeds, so that the system calls for them do not count.
    pub fn new(limits: PoolLimits) -> Rc<Self> {
        let servers = RefCell::default();
        let clock = Clock::start();
        Rc::new(Pool { limits, clock, servers, open_connections: Rc::default(), next_id: Cell::new(0) })
    }

    /// The clock that was started when the pool was created.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Checks out a connection to a server: an idle one that is not excluded, or else a new one.
    ///
    /// # Errors
    ///
    /// If a new connection is needed and cannot be opened.
    pub async fn check_out(
        self: &Rc<Self>,
        server: &str,
        address: &str,
        is_excluded: impl Fn(&ServerConnection) -> bool,
    ) -> Result<PooledConnection, ConnectError> {
        // Dropping the checkout ends the use of the server, also if no connection can be opened.
        let checkout = Checkout::begin(self, server, address);
        let connection = match self.take_idle(server, self.clock.now(), is_excluded) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        Ok(PooledConnection { connection, checkout })
    }

    /// Closes the idle connections to a server at once, and those in use after their current response.
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

    /// Closes connections that have been idle for too long, and forgets servers without connections.
    pub fn prune(&self, now: Millis) {
        self.servers.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|idle| now < idle.expires_at && !idle.connection.is_closed());
            entry.in_use > 0 || !entry.idle.is_empty()
        });
    }

    /// Takes the most recently used idle connection to a server that is usable and not excluded.
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

    /// Acquires a permit for a new connection. At the connection limit, an idle connection is closed to make
    /// room; `None` if there is none.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.limits.max_connections {
            let mut servers = self.servers.borrow_mut();
            let with_idle = servers.values_mut().filter(|entry| !entry.idle.is_empty());
            let oldest = with_idle.min_by_key(|entry| entry.idle.first().map(|idle| idle.expires_at))?;
            oldest.idle.remove(0);
        }
        Some(ConnectionPermit::acquire(&self.open_connections))
    }

    /// Counts an attempt that uses a server, and returns the generation of the server's connections. If the
    /// server's address has changed, a new generation begins.
    fn begin_use(&self, server: &str, address: &str) -> u64 {
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
        entry.in_use += 1;
        entry.generation
    }

    /// Ends an attempt's use of a server. The returned connection is kept if it is of the current generation
    /// and the limit of idle connections allows it.
    fn end_use(&self, server: &str, generation: u64, returned: Option<IdleConnection>) {
        let mut servers = self.servers.borrow_mut();
        let Some(entry) = servers.get_mut(server) else { return };
        entry.in_use = entry.in_use.saturating_sub(1);
        let Some(idle) = returned else { return };
        if entry.generation == generation && entry.idle.len() < self.limits.max_idle_per_server {
            entry.idle.push(idle);
        }
    }
}

/// One attempt's use of a server; ended when dropped.
struct Checkout {
    pool: Rc<Pool>,
    server: ServerId,
    generation: u64,
    /// The connection to keep for reuse.
    returned: Option<IdleConnection>,
}

impl Checkout {
    fn begin(pool: &Rc<Pool>, server: &str, address: &str) -> Self {
        let generation = pool.begin_use(server, address);
        Checkout { pool: pool.clone(), server: server.to_owned(), generation, returned: None }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        self.pool.end_use(&self.server, self.generation, self.returned.take());
    }
}

/// A connection checked out for one attempt; closed when dropped, unless it is returned to the pool.
pub struct PooledConnection {
    connection: ServerConnection,
    checkout: Checkout,
}

impl PooledConnection {
    /// The id of the underlying server connection.
    pub fn id(&self) -> ConnectionId {
        self.connection.id()
    }

    /// Sends a request and waits for the head of the response. `time_left` is the time until the request's
    /// deadline; `on_first_write` is called when the first byte is written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_left: Duration,
        on_first_write: Box<dyn FnOnce()>,
    ) -> Result<Response<Incoming>, SendError> {
        self.connection.send(request, time_left, on_first_write).await
    }

    /// Returns the connection to the pool after a complete response. `keep_alive_ms` is the server's
    /// keep-alive time, if it sent one. The connection is closed if part of the request has not been written
    /// yet, since a server may respond before it has read the whole request.
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
