//! The client side: accepts connections, reads requests and writes the answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{header, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use shaletrail_balancer_settings::Names;
use shaletrail_policy::{Key, Seconds, Settings};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::body::{BodyError, RequestBody, StreamedBody};
use crate::config::Config;
use crate::host::{Answer, Host, IncomingRequest, PendingAnswer};
use crate::lifecycle::{Lifecycle, State};
use crate::metrics::{ActiveRequest, RequestEnd};
use crate::upstream::{Payload, ReplyBody, DEADLINE_MS, IDEMPOTENCY_KEY, REQUEST_ID};

const CLASS: HeaderName = HeaderName::from_static("x-class");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const COST_HINT: HeaderName = HeaderName::from_static("x-cost-hint");

/// Time allowed for a request's way here, including kernel and node queues, since the client's clock
/// started, and for the way back of the answer. For a client with a short wait it is only a fraction of the
/// wait; otherwise requests would be given up that could still be answered in time.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(10);
const TRANSIT_DIVISOR: u32 = 20;
/// By the service contract an idle connection stays open for at least 2 s, and a client may take 2 s to send
/// a head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// A client that sends nothing, or never completes its first head, must be disconnected within 3 s of
/// connecting.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// Total time by which a body may fall behind the minimum rate, as clients write small bodies in pieces. The
/// first body on a connection only gets what its head has left of the 3 s, but at least `MIN_BODY_GRACE`.
const BODY_GRACE: Duration = Duration::from_millis(2000);
const MIN_BODY_GRACE: Duration = Duration::from_millis(500);
/// Clients may take seconds to read a long response, and servers to continue one. A response without any
/// progress for this long is abandoned.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the time-out of a connection is checked again, as its state may have changed.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(400);
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Limits what is read ahead, in chunks, while a request waits, in order to detect that its client has
/// disconnected. In test runs, clients that sent several requests at once and disconnected left up to 35 kB
/// behind the current request.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_HEAD_BYTES;
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Interval for polling the kernel for a disconnect once the read-ahead limit is reached. By the service
/// contract no attempt is sent later than 0.3 s after the client's disconnect.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait that a client may state.
const MAX_CLIENT_WAIT_MS: u64 = 3_600_000;
/// After the stop signal, new connections may arrive for up to 0.4 s.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(600);
/// Delay after a failed accept, for example because no descriptor is free, and interval of the wait for a
/// first server.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// All client connections: how many are open, and which of them are idle, the longest idle first.
pub struct ClientConnections {
    limit: Cell<usize>,
    open: Cell<usize>,
    next_idle_seq: Cell<u64>,
    idle: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Signalled when a connection has closed or may be closed to make room.
    changed: Notify,
}

struct ClientConnection {
    clients: Rc<ClientConnections>,
    /// Key in `ClientConnections::idle` while the connection is idle.
    idle_seq: Cell<Option<u64>>,
    /// Asks the connection's task to close it.
    close_requested: Notify,
    /// Whether the first request has arrived.
    first_request_seen: watch::Sender<bool>,
    accepted_at: Instant,
    /// When a byte was last read or written, or an answer ended.
    last_activity: Cell<Instant>,
    /// When the first byte of an incomplete head arrived.
    head_started: Cell<Option<Instant>>,
    sending_answer: Cell<bool>,
    /// The connection is to be closed to make room for another.
    evicted: Cell<bool>,
    /// Data of a write has not been flushed yet.
    has_unsent_data: Cell<bool>,
    /// A response broke off, which the client must be able to detect.
    answer_truncated: Cell<bool>,
}

impl ClientConnection {
    fn set_idle(self: &Rc<Self>) {
        let idle_seq = self.clients.next_idle_seq.replace(self.clients.next_idle_seq.get() + 1);
        self.idle_seq.set(Some(idle_seq));
        self.clients.idle.borrow_mut().insert(idle_seq, Rc::clone(self));
        self.sending_answer.set(false);
        self.last_activity.set(Instant::now());
    }

    fn set_busy(self: &Rc<Self>) -> BusyGuard {
        self.head_started.set(None);
        self.leave_idle();
        BusyGuard(Rc::clone(self))
    }

    fn leave_idle(&self) {
        if let Some(idle_seq) = self.idle_seq.take() {
            self.clients.idle.borrow_mut().remove(&idle_seq);
        }
    }

    fn is_idle(&self) -> bool {
        self.idle_seq.get().is_some()
    }

    fn on_activity(&self, read: bool) {
        let now = Instant::now();
        self.last_activity.set(now);
        if read && self.is_idle() && self.head_started.get().is_none() {
            self.head_started.set(Some(now));
        }
    }

    /// When the connection times out in its present state; `None` while a request waits for its answer,
    /// which has its own deadline.
    fn expires_at(&self) -> Option<Instant> {
        // hyper may hold all of a response while the client is still reading it.
        if !self.is_idle() || self.has_unsent_data.get() {
            return (self.sending_answer.get() || self.has_unsent_data.get())
                .then(|| self.last_activity.get() + STALL_TIMEOUT);
        }
        let expires_at = self.head_started.get().unwrap_or(self.last_activity.get()) + HEAD_TIMEOUT;
        Some(if *self.first_request_seen.borrow() {
            expires_at
        } else {
            expires_at.min(self.accepted_at + FIRST_HEAD_TIMEOUT)
        })
    }

    /// Marks the first request as seen and returns how long the body of the new request may pause.
    fn begin_request(&self) -> Duration {
        let first = !self.first_request_seen.send_replace(true);
        let left = FIRST_HEAD_TIMEOUT.saturating_sub(self.accepted_at.elapsed());
        if first {
            left.clamp(MIN_BODY_GRACE, BODY_GRACE)
        } else {
            BODY_GRACE
        }
    }

    fn is_expired(&self) -> bool {
        self.expires_at().is_some_and(|expires_at| expires_at <= Instant::now())
    }

    async fn expired(&self) {
        while !self.is_expired() {
            let next_check = Instant::now() + TIMEOUT_CHECK_INTERVAL;
            sleep_until(self.expires_at().map_or(next_check, |expires_at| expires_at.min(next_check)).into())
                .await;
        }
    }
}

/// Marks the connection as busy from the arrival of a request to the last byte of its answer.
struct BusyGuard(Rc<ClientConnection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.set_idle();
    }
}

/// Counts a connection as open until its task ends.
struct ConnectionGuard(Rc<ClientConnection>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let clients = &self.0.clients;
        self.0.leave_idle();
        clients.open.set(clients.open.get() - 1);
        clients.changed.notify_waiters();
    }
}

/// A client's TCP stream, and the bytes read from it ahead of hyper while a request waited.
struct ClientStream {
    tcp: TcpStream,
    read_ahead: RefCell<BytesMut>,
}

impl ClientStream {
    /// Waits until the client disconnects. Used only while a request waits for its answer. hyper detects a
    /// disconnect too, but not behind unread bytes that follow the request, nor behind body bytes that
    /// nobody reads yet.
    async fn disconnected(&self) {
        loop {
            let Ok(ready) = self.tcp.ready(Interest::READABLE).await else { return };
            // A close that the kernel has already received shows at once; otherwise the data before it has
            // to be read.
            if ready.is_read_closed() {
                return;
            }
            if self.read_ahead.borrow().len() >= MAX_READ_AHEAD_BYTES {
                sleep(DISCONNECT_POLL_INTERVAL).await;
                continue;
            }
            let mut read_ahead = self.read_ahead.borrow_mut();
            read_ahead.reserve(READ_CHUNK_BYTES);
            match self.tcp.try_read_buf(&mut *read_ahead) {
                Ok(1..) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
            }
        }
    }

    /// Reads data that has arrived, even if the reactor has not reported it yet. Returns false if there is
    /// none.
    fn read_pending(&self) -> bool {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let read = (&*SockRef::from(&self.tcp)).read(&mut chunk).unwrap_or(0);
        self.read_ahead.borrow_mut().extend_from_slice(&chunk[..read]);
        read > 0
    }
}

/// The client has disconnected, so its connection is closed.
#[derive(Debug)]
struct ClientDisconnected;

impl std::fmt::Display for ClientDisconnected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("client closed the connection")
    }
}

impl std::error::Error for ClientDisconnected {}

/// A client's socket. It records activity, and is reset on drop if a response broke off.
struct Socket {
    stream: Rc<ClientStream>,
    client: Rc<ClientConnection>,
}

impl Socket {
    /// Writes once the stream is writable.
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> std::io::Result<usize>,
    ) -> Poll<std::io::Result<usize>> {
        self.client.has_unsent_data.set(true);
        loop {
            ready!(self.stream.tcp.poll_write_ready(cx))?;
            match write(&self.stream.tcp) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => {
                    if matches!(result, Ok(1..)) {
                        self.client.on_activity(false);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.client.answer_truncated.get() {
            // Without the reset a truncated response that is delimited by the end of the connection would
            // look complete.
            let _ = self.stream.tcp.set_zero_linger();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut read_ahead = self.stream.read_ahead.borrow_mut();
        let read = if read_ahead.is_empty() {
            loop {
                ready!(self.stream.tcp.poll_read_ready(cx))?;
                match self.stream.tcp.try_read_buf(buf) {
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    result => break result?,
                }
            }
        } else {
            let limit = buf.remaining().min(read_ahead.len());
            let first = read_ahead.split_to(limit);
            buf.put_slice(&first);
            first.len()
        };
        if read > 0 {
            self.client.on_activity(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        self.write(cx, |tcp| tcp.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.write(cx, |tcp| tcp.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// hyper flushes once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.client.has_unsent_data.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(SockRef::from(&self.stream.tcp).shutdown(Shutdown::Write))
    }
}

/// The body of a response to a client.
struct ResponseBody {
    body: ReplyBody,
    /// The metrics entry of a streamed response, which ends with its last byte.
    active_request: Option<ActiveRequest>,
    busy_guard: Option<BusyGuard>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let streamed = match &mut self.body {
            ReplyBody::Buffered(body) => {
                let body = std::mem::take(body);
                return Poll::Ready((!body.is_empty()).then(|| Ok(Frame::data(body))));
            }
            ReplyBody::Streamed(streamed) => streamed,
        };
        let frame = ready!(Pin::new(&mut *streamed).poll_frame(cx));
        let complete = frame.is_none() || streamed.is_end_stream();
        let answer_truncated = matches!(frame, Some(Err(_)));
        if let Some(active_request) = self.active_request.take_if(|_| complete || answer_truncated) {
            active_request.finish(if answer_truncated { RequestEnd::Failure } else { RequestEnd::Success });
        }
        if let Some(busy_guard) = self.busy_guard.as_ref().filter(|_| answer_truncated) {
            busy_guard.0.answer_truncated.set(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ReplyBody::Buffered(body) => body.is_empty(),
            ReplyBody::Streamed(streamed) => streamed.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ReplyBody::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            ReplyBody::Streamed(streamed) => streamed.size_hint(),
        }
    }
}

impl ClientConnections {
    /// `limit` is the number of client connections that may be open at first; see `set_limit`.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(ClientConnections {
            limit: Cell::new(limit),
            open: Cell::default(),
            next_idle_seq: Cell::default(),
            idle: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Number of client connections that may be open.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Number of open client connections, idle ones included.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets how many connections may be open from now on. Open connections beyond the limit stay open.
    pub fn set_limit(&self, limit: usize) {
        if self.limit.replace(limit) < limit {
            self.changed.notify_waiters();
        }
    }

    fn register(self: &Rc<Self>) -> ConnectionGuard {
        self.open.set(self.open.get() + 1);
        let now = Instant::now();
        let client = Rc::new(ClientConnection {
            clients: Rc::clone(self),
            idle_seq: Cell::default(),
            close_requested: Notify::new(),
            first_request_seen: watch::Sender::new(false),
            accepted_at: now,
            last_activity: Cell::new(now),
            head_started: Cell::default(),
            sending_answer: Cell::default(),
            evicted: Cell::default(),
            has_unsent_data: Cell::default(),
            answer_truncated: Cell::default(),
        });
        client.set_idle();
        ConnectionGuard(client)
    }

    /// Waits until one more connection fits. An idle connection is closed to make room, so that clients
    /// which keep many can't shut out others; if there is none, the one that has waited longest for the rest
    /// of its head. A connection on which a request turns out to have arrived stays open for the answer, and
    /// another one is chosen.
    async fn make_room(&self) {
        while self.open.get() >= self.limit.get() {
            let changed = self.changed.notified();
            let idle = || self.idle.borrow();
            let idle_seq = idle()
                .iter()
                .find(|(_, client)| client.head_started.get().is_none())
                .map(|(idle_seq, _)| *idle_seq);
            let idle_seq = idle_seq.or_else(|| idle().keys().next().copied());
            if let Some(client) = idle_seq.and_then(|idle_seq| self.idle.borrow_mut().remove(&idle_seq)) {
                client.evicted.set(true);
                client.close_requested.notify_one();
            }
            changed.await;
        }
    }

    async fn all_closed(&self) {
        while self.open.get() > 0 {
            self.changed.notified().await;
        }
    }
}

/// What a request needs for being read and answered.
struct RequestHandler {
    host: Rc<Host>,
    names: Names,
    settings: Settings,
    lifecycle: Rc<Lifecycle>,
}

/// Serves clients until the node stops and every accepted request has been answered.
pub async fn serve(
    listener: TcpListener,
    host: Rc<Host>,
    clients: Rc<ClientConnections>,
    config: &Config,
    lifecycle: Rc<Lifecycle>,
) {
    let settings = config.settings.clone();
    let names = Names::of(&settings);
    let handler = Rc::new(RequestHandler { host, names, settings, lifecycle: Rc::clone(&lifecycle) });
    // Connections in an inherited listener's queue are left to the other process until this one has servers,
    // and again once it stops.
    let inherited = config.listener_fd.is_some();
    let stopped = async {
        lifecycle.stopped().await;
        if !inherited {
            sleep(ACCEPT_AFTER_STOP).await;
        }
    };
    let mut stopped = std::pin::pin!(stopped);
    let until_ready = async {
        while inherited && !handler.host.ready() {
            sleep(RETRY_DELAY).await;
        }
    };
    tokio::select! {
        () = until_ready => accept(&listener, &handler, &clients, stopped).await,
        () = stopped.as_mut() => {}
    }
    if !inherited {
        accept_queued(listener, &handler, &clients).await;
    }
    // The remaining connections are being answered. Inactive ones time out, and long responses are not cut
    // off.
    clients.all_closed().await;
}

/// Accepts connections until the node stops. At the limit an accepted connection waits until another one is
/// closed; it is not dropped.
async fn accept(
    listener: &TcpListener,
    handler: &Rc<RequestHandler>,
    clients: &Rc<ClientConnections>,
    mut stopped: Pin<&mut impl Future<Output = ()>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.as_mut() => return,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, handler, clients).await,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Serves the connections that are still in the kernel's queue. Their requests count as accepted and would
/// be reset with the listener.
async fn accept_queued(listener: TcpListener, handler: &Rc<RequestHandler>, clients: &Rc<ClientConnections>) {
    let Ok(listener) = listener.into_std() else { return };
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => admit(stream, handler, clients).await,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn admit(stream: TcpStream, handler: &Rc<RequestHandler>, clients: &Rc<ClientConnections>) {
    clients.make_room().await;
    spawn_local(serve_connection(stream, Rc::clone(handler), clients.register()));
}

async fn serve_connection(stream: TcpStream, handler: Rc<RequestHandler>, guard: ConnectionGuard) {
    // Otherwise Nagle's algorithm may delay a small response until the client acknowledges the one before.
    let _ = stream.set_nodelay(true);
    let client = &guard.0;
    let stream = Rc::new(ClientStream { tcp: stream, read_ahead: RefCell::default() });
    let service = service_fn(|request| {
        let (busy_guard, grace) = (client.set_busy(), client.begin_request());
        let (handler, client, stream) = (&handler, client, &stream);
        async move {
            let mut response = handler.respond(request, grace, stream).await?;
            if handler.lifecycle.state() != State::Serving || client.evicted.get() {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            client.sending_answer.set(true);
            response.body_mut().busy_guard = Some(busy_guard);
            Ok::<_, ClientDisconnected>(response)
        }
    });
    let socket = Socket { stream: Rc::clone(&stream), client: Rc::clone(client) };
    let mut serving = std::pin::pin!(http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service));
    // hyper would close a new connection at once and lose a request in transit. A connection accepted during
    // a drain or stop therefore stays open until its first request.
    let mut shutdown_due = std::pin::pin!(async {
        handler.lifecycle.wait_for_idle_close().await;
        // Can't fail, as `client` holds the sender.
        let _ =
            client.first_request_seen.subscribe().wait_for(|first_request_seen| *first_request_seen).await;
    });
    let mut shutdown_started = false;
    loop {
        let expired = tokio::select! {
            // An error means that the client disconnected or sent an invalid request, which hyper has
            // answered.
            _ = serving.as_mut() => return,
            () = client.expired() => true,
            () = client.close_requested.notified() => false,
            () = shutdown_due.as_mut(), if !shutdown_started => {
                shutdown_started = true;
                false
            }
        };
        // Data that has just arrived is read before the connection is closed.
        let head_had_started = client.head_started.get().is_some();
        if client.is_idle() && stream.read_pending() {
            let read = poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx))).await;
            if read.is_ready() {
                return;
            }
        }
        if expired {
            if !client.is_expired() {
                continue;
            }
            if !client.is_idle() || client.has_unsent_data.get() {
                eprintln!("closed a client connection: the client stopped reading its response");
            }
            return;
        }
        // hyper would drop an incomplete head, so the connection stays open for it. The answer to that
        // request asks for the close if it is still wanted.
        match client.head_started.get() {
            Some(_) if client.evicted.get() && head_had_started => return,
            Some(_) => client.clients.changed.notify_waiters(),
            None => break,
        }
    }
    // Closes an idle connection at once, a busy one after its answer.
    serving.as_mut().graceful_shutdown();
    if !client.is_idle() {
        client.clients.changed.notify_waiters();
    }
    tokio::select! {
        _ = serving => {}
        () = client.expired() => {}
    }
}

/// A request that is refused with this status.
struct Rejected(StatusCode);

impl RequestHandler {
    async fn respond(
        &self,
        request: Request<Incoming>,
        grace: Duration,
        stream: &ClientStream,
    ) -> Result<Response<ResponseBody>, ClientDisconnected> {
        if request.uri().path() == "/health/ready" {
            let ready = self.host.ready() && self.lifecycle.state() == State::Serving;
            return Ok(empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        Ok(match self.accept_request(request, grace).await {
            Ok((pending, None)) => {
                // If the client disconnects first, the request is dropped and thereby withdrawn.
                let (answer, active_request) = tokio::select! {
                    biased;
                    answered = pending.answer() => answered,
                    () = stream.disconnected() => return Err(ClientDisconnected),
                };
                response(answer, active_request)
            }
            Ok((pending, Some(streamed_body))) => {
                let answered = tokio::select! {
                    biased;
                    answered = pending.answer() => Some(answered),
                    () = stream.disconnected() => None,
                };
                let Some((answer, active_request)) = answered else {
                    // An attempt in flight may not be cancellable; it still gets the part of the body that
                    // has arrived.
                    let body = Rc::downgrade(&streamed_body);
                    drop(streamed_body);
                    while body.strong_count() > 0 {
                        sleep(DISCONNECT_POLL_INTERVAL).await;
                    }
                    return Err(ClientDisconnected);
                };
                streamed_body.close();
                response(answer, active_request)
            }
            Err(Rejected(status)) => empty_response(status),
        })
    }

    /// Reads and submits a request. A streamed body is returned too, as it is still arriving.
    async fn accept_request(
        &self,
        request: Request<Incoming>,
        grace: Duration,
    ) -> Result<(PendingAnswer, Option<Rc<StreamedBody>>), Rejected> {
        let (head, body) = request.into_parts();
        let (first, key) = split_path(head.uri.path()).ok_or(Rejected(StatusCode::NOT_FOUND))?;
        let path_class = self.names.class(first).ok_or(Rejected(StatusCode::NOT_FOUND))?;
        let write = match head.method {
            Method::GET => false,
            Method::PUT => true,
            _ => return Err(Rejected(StatusCode::METHOD_NOT_ALLOWED)),
        };
        let class = match header_text(&head.headers, &CLASS)? {
            Some(name) => self.names.class(name),
            None => Some(path_class),
        };
        // Servers refuse requests without an id, so the request can't be served.
        let id = head.headers.get(REQUEST_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.ok_or(Rejected(StatusCode::BAD_REQUEST))?;
        let tenant = header_text(&head.headers, &TENANT)?.and_then(|name| self.names.tenant(name));
        let wait = match header_number(&head.headers, &DEADLINE_MS)? {
            Some(ms) => Duration::from_millis(ms.min(MAX_CLIENT_WAIT_MS)),
            None => Duration::from_secs_f64(self.default_wait(class.map(|class| class.0))),
        };
        let work = header_number(&head.headers, &COST_HINT)?.map(|us| us as Seconds / 1e6);
        // Any other coding would be forwarded without its name.
        let is_other_coding = |value: &HeaderValue| !value.as_bytes().eq_ignore_ascii_case(b"chunked");
        if head.headers.get_all(header::TRANSFER_ENCODING).iter().any(is_other_coding) {
            return Err(Rejected(StatusCode::NOT_IMPLEMENTED));
        }
        let content = RequestBody::read(body, grace).await.map_err(|error| {
            Rejected(match error {
                BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
                BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::Truncated => StatusCode::BAD_REQUEST,
            })
        })?;
        // The client's wait starts with its last byte, which has just arrived unless the body is streamed.
        let time_left = time_left_here(wait);
        let streamed_body = content.streamed().cloned();
        // Servers are sent only path and query, even if the request target is in absolute form.
        let uri = head.uri.path_and_query().cloned().map_or(head.uri, Uri::from);
        let payload = Payload {
            method: head.method,
            uri,
            id,
            idempotency_key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
            content,
            wait: time_left,
        };
        let active_request = self.host.metrics.begin_request(path_class);
        Ok((
            self.host.submit(IncomingRequest {
                active_request,
                time_left,
                class,
                tenant,
                key,
                write,
                work,
                payload,
            }),
            streamed_body,
        ))
    }

    /// Wait of clients that state none: that of the class, or the shortest of all for an unknown class.
    fn default_wait(&self, class: Option<usize>) -> Seconds {
        let classes = &self.settings.classes;
        let shortest = || classes.iter().map(|class| class.deadline).fold(f64::MAX, f64::min);
        class.and_then(|class| classes.get(class)).map_or_else(shortest, |class| class.deadline)
    }
}

/// The part of the client's wait that this node may use.
fn time_left_here(wait: Duration) -> Duration {
    wait.saturating_sub(TRANSIT_ALLOWANCE.min(wait / TRANSIT_DIVISOR))
}

/// Splits a path into its first segment, which names the class, and a hash of its last one, which is the
/// key.
fn split_path(path: &str) -> Option<(&str, Key)> {
    let (first, rest) = path.strip_prefix('/')?.split_once('/')?;
    let key = rest.rsplit('/').next().filter(|key| !key.is_empty())?;
    // FNV-1a gives the same hash at every node and in every version, which the standard hashers don't
    // guarantee.
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    Some((first, Key(key.bytes().fold(0xcbf2_9ce4_8422_2325, hash))))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejected> {
    headers.get(name).map(|v| v.to_str().map_err(|_| Rejected(StatusCode::BAD_REQUEST))).transpose()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Rejected> {
    let text = header_text(headers, name)?;
    text.map(|v| v.parse().map_err(|_| Rejected(StatusCode::BAD_REQUEST))).transpose()
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody {
        body: ReplyBody::Buffered(Bytes::new()),
        active_request: None,
        busy_guard: None,
    });
    *response.status_mut() = status;
    response
}

fn response(answer: Answer, active_request: Option<ActiveRequest>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(reply) => {
            let mut response =
                Response::new(ResponseBody { body: reply.body, active_request, busy_guard: None });
            if let Some(kind) = reply.content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
            }
            response
        }
        Answer::Refused(retry_after) => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            let advice = retry_after.and_then(|s| HeaderValue::from_str(&format!("{s:.3}")).ok());
            if let Some(advice) = advice {
                response.headers_mut().insert(header::RETRY_AFTER, advice);
            }
            response
        }
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
        Answer::DeadlineExceeded => empty_response(StatusCode::GATEWAY_TIMEOUT),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    /// A client that paused while reading lost the end of its response: hyper had accepted all of it, so the
    /// connection was taken for an idle one.
    #[test]
    fn a_connection_is_not_idle_while_its_last_answer_is_unsent() {
        let clients = ClientConnections::new(1);
        let guard = clients.register();
        let client = &guard.0;
        let time = |client: &ClientConnection| {
            client.expires_at().map(|expires_at| expires_at - client.last_activity.get())
        };
        assert_eq!(time(client), Some(HEAD_TIMEOUT));
        assert!(client.begin_request() > BODY_GRACE / 2 && client.begin_request() == BODY_GRACE);
        let busy_guard = client.set_busy();
        assert_eq!(time(client), None, "waits for its answer");
        client.sending_answer.set(true);
        client.has_unsent_data.set(true);
        assert_eq!(time(client), Some(STALL_TIMEOUT));
        drop(busy_guard);
        assert_eq!(time(client), Some(STALL_TIMEOUT));
        client.has_unsent_data.set(false);
        assert_eq!(time(client), Some(HEAD_TIMEOUT));
    }

    #[tokio::test]
    async fn idle_connections_are_closed_first_and_then_those_with_an_incomplete_head() {
        let clients = ClientConnections::new(3);
        let guard = [(); 3].map(|()| clients.register());
        let [first, second, third] = guard.each_ref().map(|guard| &guard.0);
        first.on_activity(true);
        let busy_guard = third.set_busy();
        for (evicted, rest) in [([false, true, false], 2), ([true, true, false], 1), ([true, true, false], 1)]
        {
            assert!(
                timeout(Duration::ZERO, clients.make_room()).await.is_err(),
                "no connection has closed yet"
            );
            assert_eq!([first, second, third].map(|client| client.evicted.get()), evicted);
            assert_eq!(clients.idle.borrow().len() + 1, rest);
        }
        drop(busy_guard);
        drop(guard);
        clients.make_room().await;
    }

    /// An allowance of 10 ms is a quarter of a 40 ms wait; half of the answers to such clients arrived in
    /// that last quarter.
    #[test]
    fn the_transit_allowance_is_a_small_part_of_a_short_wait() {
        let left = |ms| time_left_here(Duration::from_millis(ms)).as_millis();
        assert_eq!([0, 40, 200, 2000].map(left), [0, 38, 190, 1990]);
    }
}
