//! Accepts client connections, serves the requests on them, and closes connections that time out.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use ahash::AHashMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use shaletrail_protocol::Millis;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

use crate::client_connection::{ClientConnection, Disposition};
use crate::ingress;
use crate::state::State;
use crate::tracked_stream::TrackedStream;

/// Limits the connections that wait to be accepted. A connection attempt that finds the queue full costs the
/// client seconds.
const ACCEPT_BACKLOG: u32 = 4096;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A client connection fails if sent bytes stay unacknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks whether a client has disconnected that has sent more than hyper has read.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Lower bound of the read buffer of a client connection. The limit on request heads that is in force applies to each
/// request, so it may be raised up to this size while the connection is open.
const MIN_READ_BUFFER_BYTES: usize = 128 << 10;

/// Opens a listening socket with `SO_REUSEADDR`. Fails if the address cannot be bound.
pub fn bind(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The open client connections.
pub struct Clients {
    state: Rc<State>,
    max_connections: usize,
    next_id: Cell<u64>,
    connections: RefCell<AHashMap<u64, Rc<ClientConnection>>>,
    connection_closed: Notify,
    last_accepted_at: Cell<Millis>,
}

impl Clients {
    /// Creates an empty table. At most `max_connections` connections are open at a time.
    pub fn new(state: Rc<State>, max_connections: usize) -> Rc<Self> {
        let last_accepted_at = Cell::new(state.clock.now());
        Rc::new(Clients {
            state,
            max_connections,
            next_id: Cell::new(0),
            connections: RefCell::default(),
            connection_closed: Notify::new(),
            last_accepted_at,
        })
    }

    /// Accepts connections and serves each in its own task; never returns.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            while self.connections.borrow().len() >= self.max_connections {
                self.connection_closed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().spawn_connection(stream),
                Err(error) => {
                    slog::debug!(self.state.log, "failed to accept client connection"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes client connections that have timed out or cannot receive heads of the length that the configuration
    /// allows, and idle server connections that have timed out; never returns.
    pub async fn enforce_timeouts(&self) {
        loop {
            tokio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
            let now = self.state.clock.now();
            let limits = self.state.view().limits;
            for connection in self.connections.borrow().values() {
                match connection.check(now, &limits) {
                    Disposition::KeepOpen => {}
                    disposition => connection.set_disposition(disposition),
                }
            }
            self.state.pool.prune(now);
        }
    }

    /// When the most recent connection was accepted; the start of the process if none has been.
    pub fn last_accepted_at(&self) -> Millis {
        self.last_accepted_at.get()
    }

    /// Tells every connection to close once it is idle.
    pub fn close_idle(&self) {
        for connection in self.connections.borrow().values() {
            connection.set_disposition(Disposition::CloseWhenIdle);
        }
    }

    /// Waits until no client connection is open. Does not itself close any.
    pub async fn wait_until_all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }

    /// The size of a new connection's read buffer.
    fn read_buffer_bytes(&self) -> usize {
        let max_head_bytes = usize::try_from(self.state.view().limits.max_header_bytes);
        max_head_bytes.unwrap_or(MIN_READ_BUFFER_BYTES).max(MIN_READ_BUFFER_BYTES)
    }

    fn spawn_connection(self: Rc<Self>, stream: TcpStream) {
        self.last_accepted_at.set(self.state.clock.now());
        if let Err(error) = set_socket_options(&stream) {
            slog::debug!(self.state.log, "failed to set socket options of client connection"; "error" => %error);
            return;
        }
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let stream = Rc::new(stream);
        let read_buffer_bytes = self.read_buffer_bytes();
        let connection = Rc::new(ClientConnection::new(self.state.clock, &stream, read_buffer_bytes));
        self.connections.borrow_mut().insert(id, connection.clone());
        tokio::task::spawn_local(async move {
            serve(self.state.clone(), connection, stream).await;
            self.connections.borrow_mut().remove(&id);
            self.connection_closed.notify_waiters();
        });
    }
}

/// Serves the requests of one connection until the connection ends.
async fn serve(state: Rc<State>, connection: Rc<ClientConnection>, stream: Rc<TcpStream>) {
    let read_buffer_bytes = connection.read_buffer_bytes();
    let mut disconnect = pin!(wait_for_disconnect(stream.clone()));
    let mut is_disconnected = false;
    let io = TrackedStream::new(stream, connection.clone());
    let service = {
        let connection = connection.clone();
        service_fn(move |request| ingress::serve(state.clone(), connection.clone(), request))
    };
    let mut builder = http1::Builder::new();
    builder
        .max_header_size(read_buffer_bytes)
        .max_buf_size(read_buffer_bytes)
        .header_read_timeout(None)
        .auto_date_header(false);
    let mut serving = pin!(builder.serve_connection(io, service));
    let mut is_closing = false;
    poll_fn(|context| {
        match connection.disposition() {
            Disposition::KeepOpen => {}
            Disposition::Abort => return Poll::Ready(()),
            Disposition::CloseWhenIdle if is_closing => {}
            Disposition::CloseWhenIdle => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
        connection.register_waker(context.waker());
        // While a request is being served and bytes of the next one are buffered, hyper does not read from
        // the socket and so does not notice that the client has disconnected.
        is_disconnected = is_disconnected || disconnect.as_mut().poll(context).is_ready();
        if is_disconnected && connection.is_responding() {
            return Poll::Ready(());
        }
        // The connection's result is ignored: nothing depends on how a client connection ended.
        serving.as_mut().poll(context).map(drop)
    })
    .await;
}

/// Waits until the client has closed the connection or its sending half.
async fn wait_for_disconnect(stream: Rc<TcpStream>) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(DISCONNECT_CHECK_INTERVAL).await,
            _ => return,
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
