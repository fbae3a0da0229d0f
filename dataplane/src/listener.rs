//! Accepts client connections, serves the requests on each, and closes those that time out.

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

/// Connections that wait to be accepted: a full queue costs a client seconds.
const ACCEPT_BACKLOG: u32 = 4096;
/// Pause after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Between two checks of the connections' time-outs.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A client counts as gone after this long without an acknowledgement of sent bytes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two looks at whether a client has left that has sent more than hyper has read.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The smallest read buffer of a client connection, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 128 << 10;

/// Opens a listening socket.
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
    closed: Notify,
    last_accepted_at: Cell<Millis>,
}

impl Clients {
    /// No connections; `max_connections` of them may be open at once.
    pub fn new(state: Rc<State>, max_connections: usize) -> Rc<Self> {
        let last_accepted_at = Cell::new(state.clock.now());
        Rc::new(Clients {
            state,
            max_connections,
            next_id: Cell::new(0),
            connections: RefCell::default(),
            closed: Notify::new(),
            last_accepted_at,
        })
    }

    /// Accepts connections and serves each in a task of its own; never returns.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            while self.connections.borrow().len() >= self.max_connections {
                self.closed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().open(stream),
                Err(error) => {
                    slog::debug!(self.state.log, "failed to accept client connection"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes connections that have timed out, of clients and to servers; never returns.
    pub async fn enforce_timeouts(&self) {
        loop {
            tokio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
            let now = self.state.clock.now();
            let limits = self.state.view().limits;
            for connection in self.connections.borrow().values() {
                match connection.check_timeout(now, &limits) {
                    Disposition::KeepOpen => {}
                    disposition => connection.set_disposition(disposition),
                }
            }
            self.state.pool.prune(now);
        }
    }

    /// When the newest connection was accepted.
    pub fn last_accepted_at(&self) -> Millis {
        self.last_accepted_at.get()
    }

    /// Closes each connection once it is idle.
    pub fn close_idle(&self) {
        for connection in self.connections.borrow().values() {
            connection.set_disposition(Disposition::CloseWhenIdle);
        }
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.closed.notified().await;
        }
    }

    fn open(self: Rc<Self>, stream: TcpStream) {
        self.last_accepted_at.set(self.state.clock.now());
        if let Err(error) = configure(&stream) {
            slog::debug!(self.state.log, "failed to configure client connection"; "error" => %error);
            return;
        }
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let stream = Rc::new(stream);
        let connection = Rc::new(ClientConnection::new(self.state.clock, &stream));
        self.connections.borrow_mut().insert(id, connection.clone());
        tokio::task::spawn_local(async move {
            serve(self.state.clone(), connection, stream).await;
            self.connections.borrow_mut().remove(&id);
            self.closed.notify_waiters();
        });
    }
}

/// Serves the requests of one connection, until it ends.
async fn serve(state: Rc<State>, connection: Rc<ClientConnection>, stream: Rc<TcpStream>) {
    let max_head_bytes = usize::try_from(state.view().limits.max_header_bytes);
    let max_head_bytes = max_head_bytes.unwrap_or(MIN_READ_BUFFER_BYTES);
    let mut departure = pin!(departure(stream.clone()));
    let mut has_departed = false;
    let io = TrackedStream::new(stream, connection.clone());
    let service = {
        let connection = connection.clone();
        service_fn(move |request| ingress::serve(state.clone(), connection.clone(), request))
    };
    let mut builder = http1::Builder::new();
    builder
        .max_header_size(max_head_bytes)
        .max_buf_size(MIN_READ_BUFFER_BYTES.max(max_head_bytes))
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
        connection.register(context.waker());
        // Hyper reads no further while a request is served and bytes of the next one are there, and so sees no end.
        has_departed = has_departed || departure.as_mut().poll(context).is_ready();
        if has_departed && connection.is_responding() {
            return Poll::Ready(());
        }
        // Nothing depends on how a client's connection ended.
        serving.as_mut().poll(context).map(drop)
    })
    .await;
}

/// Waits until the client has ended the connection, or its sending half.
async fn departure(stream: Rc<TcpStream>) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(DEPARTURE_CHECK_INTERVAL).await,
            _ => return,
        }
    }
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
