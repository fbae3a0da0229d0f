//! Opens connections to servers and sends requests on them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use crate::request::ATTEMPT_ID;
use crate::tcp_user_timeout::{tcp_user_timeout, DEFAULT_TCP_USER_TIMEOUT};
use crate::tracked_stream::{IoObserver, TrackedStream};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The first TCP keep-alive probe is sent after this long without traffic.
const KEEPALIVE_TIME: Duration = Duration::from_millis(1000);
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Limits the length of a response head and how much of a body is read ahead.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Why a connection could not be opened. No byte of a request was written to the server.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectError {
    /// The server's address cannot be parsed.
    #[snafu(display("'{address}' is not a valid IPv4 address with port"))]
    Address {
        /// The address that the server registered.
        address: String,
    },
    /// All connections that the pool may open are in use.
    #[snafu(display("limit of connections to servers reached"))]
    ConnectionLimit,
    /// The operating system reported an error.
    #[snafu(display("TCP connection failed: {source}"))]
    Socket { source: std::io::Error },
    /// The server did not accept the connection within [`CONNECT_TIMEOUT`].
    #[snafu(display("TCP connection timed out"))]
    TimedOut,
    /// The connection failed before it could be used.
    #[snafu(display("HTTP connection failed: {source}"))]
    Handshake { source: hyper::Error },
}

/// Why a request received no response head.
#[derive(Debug)]
pub struct SendError {
    /// Whether part of the request may have been written to the socket.
    pub was_written: bool,
    /// Whether the connection had carried an earlier request.
    pub was_reused: bool,
    /// Whether the bytes received were not a valid HTTP response.
    pub is_parse_error: bool,
}

/// Identifies a connection to a server; never reused for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// Counts as one open connection until it is dropped.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Increments `open`, the number of open connections; dropping the permit decrements it.
    pub fn acquire(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        ConnectionPermit(open.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Tracks whether any byte of the request in flight has been written.
#[derive(Default)]
struct WriteTracker {
    on_first_write: RefCell<Option<Box<dyn FnOnce()>>>,
    is_written: Cell<bool>,
}

impl WriteTracker {
    /// Resets the tracker for the next request. `on_first_write` is called once, when its first byte is
    /// written.
    fn arm(&self, on_first_write: Box<dyn FnOnce()>) {
        self.is_written.set(false);
        self.on_first_write.replace(Some(on_first_write));
    }
}

impl IoObserver for WriteTracker {
    fn on_write(&self) {
        self.is_written.set(true);
        let on_first_write = self.on_first_write.take();
        if let Some(on_first_write) = on_first_write {
            on_first_write();
        }
    }
}

/// A connection to a server, which carries one request at a time; closed when dropped.
pub struct ServerConnection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    write_tracker: Rc<WriteTracker>,
    /// The task that runs hyper's side of the connection.
    driver: AbortHandle,
    _permit: ConnectionPermit,
    has_carried_request: bool,
    /// Can be upgraded only while hyper keeps the socket open.
    stream: Weak<TcpStream>,
    /// The TCP user timeout that is set on the socket.
    tcp_user_timeout: Duration,
    /// The `Attempt-Id` of the last request.
    last_attempt_id: Option<HeaderValue>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ServerConnection {
    /// Opens a TCP connection and prepares it for HTTP/1.1. Holds `permit` until the connection is dropped.
    pub async fn connect(
        address: SocketAddrV4,
        id: ConnectionId,
        permit: ConnectionPermit,
    ) -> Result<ServerConnection, ConnectError> {
        let socket = TcpSocket::new_v4().context(SocketSnafu)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address.into()));
        let Ok(connected) = connecting.await else { return TimedOutSnafu.fail() };
        let stream = connected.context(SocketSnafu)?;
        set_socket_options(&stream).context(SocketSnafu)?;
        let write_tracker = Rc::new(WriteTracker::default());
        let stream = Rc::new(stream);
        let weak_stream = Rc::downgrade(&stream);
        let io = TrackedStream::new(stream, write_tracker.clone());
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_READ_BUFFER_BYTES).handshake(io);
        let (sender, connection) = handshake.await.context(HandshakeSnafu)?;
        // The connection's error is also returned to the request in flight.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(ServerConnection {
            id,
            sender,
            write_tracker,
            driver,
            _permit: permit,
            has_carried_request: false,
            stream: weak_stream,
            tcp_user_timeout: DEFAULT_TCP_USER_TIMEOUT,
            last_attempt_id: None,
        })
    }

    /// The id that distinguishes this connection from the other server connections.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// The `Attempt-Id` of the last request sent on this connection.
    pub fn last_attempt_id(&self) -> Option<&HeaderValue> {
        self.last_attempt_id.as_ref()
    }

    /// Whether the next request may be sent: the previous request and response have been transferred
    /// completely.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has been closed, so that no more requests can be sent on it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response. `time_left` is the time until the request's
    /// deadline; `on_first_write` is called when the first byte is written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_left: Duration,
        on_first_write: Box<dyn FnOnce()>,
    ) -> Result<Response<Incoming>, SendError> {
        let was_reused = self.has_carried_request;
        self.has_carried_request = true;
        self.last_attempt_id = request.headers().get(ATTEMPT_ID).cloned();
        let body_bytes = request.body().size_hint().exact().unwrap_or(0);
        self.update_tcp_user_timeout(usize::try_from(body_bytes).unwrap_or(usize::MAX), time_left);
        self.write_tracker.arm(on_first_write);
        let response = self.sender.try_send_request(request).await;
        response.map_err(|error| SendError {
            was_written: error.message().is_none() && self.write_tracker.is_written.get(),
            was_reused,
            is_parse_error: error.error().is_parse(),
        })
    }
}

impl ServerConnection {
    /// Sets the TCP user timeout for a request with a body of this length and this time until its deadline.
    fn update_tcp_user_timeout(&mut self, body_bytes: usize, time_left: Duration) {
        let timeout = tcp_user_timeout(body_bytes, time_left);
        if timeout == self.tcp_user_timeout {
            return;
        }
        let Some(stream) = self.stream.upgrade() else { return };
        if SockRef::from(&*stream).set_tcp_user_timeout(Some(timeout)).is_ok() {
            self.tcp_user_timeout = timeout;
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(DEFAULT_TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL))
}
