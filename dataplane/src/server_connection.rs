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
use crate::tracked_stream::{IoObserver, TrackedStream};
use crate::unacknowledged_limit::{unacknowledged_limit, DEFAULT_LIMIT};

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The first keep-alive probe is sent after this long without traffic.
const KEEPALIVE_TIME: Duration = Duration::from_millis(1000);
/// Between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// The longest response head, and the most that is read ahead of a body, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Why no connection came up. Nothing was written to the server.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConnectError {
    /// The server's address cannot be parsed.
    #[snafu(display("'{address}' is no address"))]
    Address {
        /// The address as the server registered it.
        address: String,
    },
    /// All connections that the process may have are in use.
    #[snafu(display("connection limit reached"))]
    ConnectionLimit,
    /// The system refused.
    #[snafu(display("connecting: {source}"))]
    Socket {
        /// The system's error.
        source: std::io::Error,
    },
    /// The server did not accept the connection within [`CONNECT_TIMEOUT`].
    #[snafu(display("connecting: timed out"))]
    TimedOut,
    /// The connection ended before it could be used.
    #[snafu(display("connecting: {source}"))]
    Handshake {
        /// The error of the HTTP connection.
        source: hyper::Error,
    },
}

/// Why a request got no response on a connection.
#[derive(Debug)]
pub struct SendError {
    /// Whether a part of the request may have been written.
    pub was_written: bool,
    /// Whether the connection had carried a request before.
    pub was_reused: bool,
    /// Whether the bytes received were not HTTP.
    pub is_parse: bool,
}

/// Identifies a connection to a server; never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// Counts as an open connection until it is dropped.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Counts one more open connection.
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

/// Records whether any byte of the request in flight has been written.
#[derive(Default)]
struct WriteTracker {
    on_first_write: RefCell<Option<Box<dyn FnOnce()>>>,
    is_written: Cell<bool>,
}

impl WriteTracker {
    /// Starts over for the next request; `on_first_write` runs once, when its first byte is written.
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

/// A connection to a server, which carries one request at a time. Closed when dropped.
pub struct ServerConnection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    tracker: Rc<WriteTracker>,
    driver: AbortHandle,
    _permit: ConnectionPermit,
    has_served: bool,
    /// The socket, for as long as hyper has it open.
    stream: Weak<TcpStream>,
    unacknowledged_limit: Duration,
    /// `Attempt-Id` of the last request.
    last_attempt_id: Option<HeaderValue>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ServerConnection {
    /// Opens a connection.
    pub async fn connect(
        address: SocketAddrV4,
        id: ConnectionId,
        permit: ConnectionPermit,
    ) -> Result<ServerConnection, ConnectError> {
        let socket = TcpSocket::new_v4().context(SocketSnafu)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address.into()));
        let Ok(connected) = connecting.await else { return TimedOutSnafu.fail() };
        let stream = connected.context(SocketSnafu)?;
        configure(&stream).context(SocketSnafu)?;
        let tracker = Rc::new(WriteTracker::default());
        let stream = Rc::new(stream);
        let socket = Rc::downgrade(&stream);
        let io = TrackedStream::new(stream, tracker.clone());
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_READ_BUFFER_BYTES).handshake(io);
        let (sender, connection) = handshake.await.context(HandshakeSnafu)?;
        // The request in flight sees how the connection ended.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(ServerConnection {
            id,
            sender,
            tracker,
            driver,
            _permit: permit,
            has_served: false,
            stream: socket,
            unacknowledged_limit: DEFAULT_LIMIT,
            last_attempt_id: None,
        })
    }

    /// The connection's id.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// `Attempt-Id` of the last request that was sent on it.
    pub fn last_attempt_id(&self) -> Option<&HeaderValue> {
        self.last_attempt_id.as_ref()
    }

    /// Whether the next request may be sent: the previous exchange is complete in both directions.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request, which has so much time left, and waits for the head of the response. `on_first_write` runs when its
    /// first byte is written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        time_left: Duration,
        on_first_write: Box<dyn FnOnce()>,
    ) -> Result<Response<Incoming>, SendError> {
        let was_reused = self.has_served;
        self.has_served = true;
        self.last_attempt_id = request.headers().get(ATTEMPT_ID).cloned();
        let body_bytes = request.body().size_hint().exact().unwrap_or(0);
        self.limit_unacknowledged(usize::try_from(body_bytes).unwrap_or(usize::MAX), time_left);
        self.tracker.arm(on_first_write);
        let response = self.sender.try_send_request(request).await;
        response.map_err(|error| SendError {
            was_written: error.message().is_none() && self.tracker.is_written.get(),
            was_reused,
            is_parse: error.error().is_parse(),
        })
    }
}

impl ServerConnection {
    fn limit_unacknowledged(&mut self, body_bytes: usize, time_left: Duration) {
        let limit = unacknowledged_limit(body_bytes, time_left);
        if limit == self.unacknowledged_limit {
            return;
        }
        let Some(stream) = self.stream.upgrade() else { return };
        if SockRef::from(&*stream).set_tcp_user_timeout(Some(limit)).is_ok() {
            self.unacknowledged_limit = limit;
        }
    }
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(DEFAULT_LIMIT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL))
}
