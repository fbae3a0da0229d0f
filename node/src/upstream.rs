//! Connections to cache servers and the origin. Each carries one request at a time and is kept while idle;
//! the most recently used one is reused first. A connection is opened only when an attempt needs it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{header, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use shaletrail_policy::{CacheNote, Limits, ServerId, ServerState, Status};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

use crate::body::{Download, RequestBody, StreamedReply, Upload};
use crate::config::ServerList;
use crate::disabled_servers::DisabledServers;
use crate::metrics::increment;

/// Header with the client's id of a request. Required from clients and passed on to servers unchanged.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the time, in milliseconds, that the sender waits for the answer.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Optional header with the client's idempotency key, passed on to servers unchanged.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const CACHE_STATUS: HeaderName = HeaderName::from_static("x-cache");

/// Buffer limit for each direction of a connection while the receiver does not read.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Idle connections are closed after this fraction of the servers' idle time-out: a request that crosses the
/// server's close fails with a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Used if the settings state no idle time-out of the servers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is ready for reuse at once after its response has been read; one that is not ready within
/// this time is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Delay before a connection is used again. A faulty server may send a second response some milliseconds
/// after the first, up to 4 ms in test runs. On a reused connection it would be taken for the response to
/// another request; on an idle one it makes hyper close the connection.
const REUSE_DELAY: Duration = Duration::from_millis(6);
/// While the newest connection waits for its reuse delay, another is used only if it was used within this
/// time. One that has been idle for longer may have been closed unnoticed, and the balancer would count that
/// as a failure of a server that has just answered.
const RECENT_USE: Duration = Duration::from_millis(100);
/// Time-out of a probe, and of a connect if the settings state none.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client's request as it is sent to servers.
pub struct Payload {
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    pub id: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub content: RequestBody,
    /// How long the client waits after the last byte of a streamed body.
    pub wait: Duration,
}

impl Payload {
    fn request(&self, host: SocketAddr, wait: Duration, body_taken: &Rc<Cell<bool>>) -> Request<Upload> {
        let mut request = Request::new(Upload::new(&self.content, Rc::clone(body_taken)));
        // The client's wait does not start before the whole body has arrived.
        let wait = self.content.streamed().map_or(wait, |_| self.wait);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, host_value(host));
        headers.insert(REQUEST_ID, self.id.clone());
        headers.insert(DEADLINE_MS, HeaderValue::from(wait.as_millis() as u64));
        if let Some(key) = &self.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        request
    }
}

fn host_value(addr: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&addr.to_string()).unwrap_or(HeaderValue::from_static("localhost"))
}

/// A successful response of a server.
pub struct Reply {
    pub content_type: Option<HeaderValue>,
    pub body: ReplyBody,
}

/// The body of a `Reply`.
pub enum ReplyBody {
    Buffered(Bytes),
    Streamed(StreamedReply),
}

/// The result of an attempt.
pub struct AttemptEnd {
    pub status: Status,
    pub note: Option<CacheNote>,
    /// Present only if the attempt succeeded.
    pub reply: Option<Reply>,
    /// The rest of a streamed reply.
    pub remainder: Option<ReplyRemainder>,
}

impl AttemptEnd {
    /// The end of an attempt that has nothing but a status, such as a failed connect.
    pub fn without_reply(status: Status) -> Self {
        AttemptEnd { status, note: None, reply: None, remainder: None }
    }
}

/// A response whose head has arrived.
pub struct ReplyHead {
    connection: Connection,
    response: Response<Incoming>,
}

impl ReplyHead {
    fn status(&self) -> Status {
        reply_status(self.response.status(), self.response.headers())
    }

    /// The cache note in the response's headers; `None` if there is none.
    pub fn note(&self) -> Option<CacheNote> {
        cache_note(self.response.headers())
    }

    /// Returns whether the response is a success that is long or of unknown length, and may have to be
    /// streamed.
    pub fn may_be_long(&self) -> bool {
        self.status() == Status::Success && Download::may_be_long(self.response.body())
    }
}

/// A streamed reply that is still being forwarded.
pub struct ReplyRemainder {
    connection: Connection,
    completion: oneshot::Receiver<bool>,
}

/// How much of the current request has been written to a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Written {
    Nothing,
    Partly,
    Whole,
}

/// Write progress of the current request on a connection.
struct WriteProgress {
    written: Cell<Written>,
    /// Set once hyper has taken the last byte of the body.
    body_taken: Rc<Cell<bool>>,
}

/// Tells whether an attempt's request was written completely, even if the attempt was dropped on the way.
#[derive(Default)]
pub struct WriteState(RefCell<Option<Rc<WriteProgress>>>);

impl WriteState {
    fn track(&self, progress: &Rc<WriteProgress>) {
        progress.written.set(Written::Nothing);
        self.0.replace(Some(Rc::clone(progress)));
    }

    /// Returns whether the request was written completely. False if no attempt has been tracked yet.
    pub fn is_complete(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.written.get() == Written::Whole)
    }
}

/// A socket that records the write progress of requests. It counts as open until it is dropped.
struct UpstreamSocket {
    stream: TokioIo<TcpStream>,
    progress: Rc<WriteProgress>,
    /// Number of requests written completely.
    calls: Rc<Cell<u64>>,
    _open_socket: OpenSocket,
}

impl UpstreamSocket {
    fn record_write(&self, result: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.progress.written.set(Written::Partly);
        }
        result
    }
}

impl Read for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for UpstreamSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes once it has written all that it holds of a request.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        let WriteProgress { written, body_taken } = &*self.progress;
        if matches!(result, Poll::Ready(Ok(()))) && written.get() == Written::Partly && body_taken.get() {
            written.set(Written::Whole);
            increment(&self.calls);
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// One of the sockets that upstreams may hold; counted until it is dropped.
struct OpenSocket(Rc<Cell<usize>>);

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An open connection. Dropping it closes it, even with a request in flight.
struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Upload>,
    progress: Rc<WriteProgress>,
    driver: JoinHandle<()>,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A server as last listed, with this node's idle connections to it, the most recently used last.
struct Upstream {
    addr: SocketAddr,
    ready: bool,
    idle: Vec<Connection>,
}

/// Whether an idle connection to a server can be used.
enum Idle {
    Nothing,
    /// None can be used yet; the most recently used one can be after this time.
    ReusableIn(Duration),
    Ready(Connection),
}

/// The listed servers and this node's connections to them. Sends the attempts and the probes.
pub struct Upstreams {
    servers: RefCell<HashMap<ServerId, Upstream>>,
    open: Rc<Cell<usize>>,
    limit: Cell<usize>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// Number of attempts whose request was written completely.
    calls: Rc<Cell<u64>>,
    disabled_servers: Rc<DisabledServers>,
}

impl Upstreams {
    /// Creates the pool without servers, and spawns the task that closes expired idle connections.
    pub fn start(
        limits: &Limits,
        limit: usize,
        calls: Rc<Cell<u64>>,
        disabled_servers: Rc<DisabledServers>,
    ) -> Rc<Self> {
        let positive_duration =
            |seconds: f64| Duration::try_from_secs_f64(seconds).ok().filter(|time| !time.is_zero());
        let upstreams = Rc::new(Upstreams {
            servers: RefCell::default(),
            calls,
            disabled_servers,
            open: Rc::default(),
            limit: Cell::new(limit),
            connect_timeout: positive_duration(limits.connect_timeout).unwrap_or(DEFAULT_TIMEOUT),
            idle_timeout: positive_duration(limits.idle_close * IDLE_TIMEOUT_FRACTION)
                .unwrap_or(DEFAULT_IDLE_TIMEOUT),
        });
        spawn_local(sweep(Rc::downgrade(&upstreams)));
        upstreams
    }

    /// Number of connections to servers that may be open.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Number of open connections to servers, idle ones included.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets how many connections may be open from now on. Idle connections beyond the limit are closed, busy
    /// ones stay open.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        for _ in limit..self.open.get() {
            self.close_longest_idle();
        }
    }

    /// Applies a list's addresses and states. Idle connections to servers that accept no new requests are
    /// closed.
    pub fn update(&self, list: &ServerList) {
        let mut servers = self.servers.borrow_mut();
        if list.full {
            servers.retain(|id, _| list.servers.iter().any(|(entry, _)| entry.server == *id));
        }
        for (entry, addr) in &list.servers {
            if entry.state == ServerState::Gone {
                servers.remove(&entry.server);
                continue;
            }
            let ready = entry.state == ServerState::Ready;
            let server = servers.entry(entry.server.clone()).or_insert(Upstream {
                addr: *addr,
                ready,
                idle: Vec::new(),
            });
            (server.addr, server.ready) = (*addr, ready);
            server.idle.retain(|connection| ready && connection.addr == *addr);
        }
    }

    /// Returns whether at least one server is listed as ready, even if an operator has disabled it.
    pub fn any_ready(&self) -> bool {
        self.servers.borrow().values().any(|server| server.ready)
    }

    /// Closes all idle connections to the server. Does nothing if it is not listed.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(server) = self.servers.borrow_mut().get_mut(server) {
            server.idle.clear();
        }
    }

    /// Address of a server, if requests may be sent to it.
    fn usable_addr(&self, server: &ServerId) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let found = servers.get(server).filter(|server| server.ready).map(|server| server.addr);
        found.filter(|_| !self.disabled_servers.is_disabled(server))
    }

    /// Makes one attempt, up to the head of its response. The caller bounds its time, and ends it by
    /// dropping the future. Nothing is sent for a request that is no longer open; this is allowed even where
    /// attempts in flight must not be cancelled.
    pub async fn exchange(
        &self,
        server: &ServerId,
        payload: &Payload,
        wait: Duration,
        write_state: &WriteState,
        is_open: impl Fn() -> bool,
    ) -> Result<ReplyHead, AttemptEnd> {
        let started = Instant::now();
        loop {
            let (mut connection, reused) = match self.take_idle(server) {
                Idle::Ready(connection) => (connection, true),
                Idle::ReusableIn(left) => {
                    tokio::time::sleep(left).await;
                    continue;
                }
                Idle::Nothing => match self.connect(server, &self.calls).await {
                    Ok(connection) => (connection, false),
                    Err(status) => return Err(AttemptEnd::without_reply(status)),
                },
            };
            // The server may have started to drain or been disabled during the connect. Nothing is sent to
            // it then, and the balancer gets the status with which a draining server would have answered.
            if self.usable_addr(server) != Some(connection.addr) {
                return Err(AttemptEnd::without_reply(Status::Overloaded));
            }
            if !is_open() {
                return Err(AttemptEnd::without_reply(Status::NotSent));
            }
            write_state.track(&connection.progress);
            let left = wait.saturating_sub(started.elapsed());
            let request = payload.request(connection.addr, left, &connection.progress.body_taken);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(ReplyHead { connection, response }),
                // The client's body failed, not the server.
                Err(_) if payload.content.failed() => return Err(AttemptEnd::without_reply(Status::NotSent)),
                // The server had closed an idle connection. That is no failure, and the server has not seen
                // the request.
                Err(_) if reused && !write_state.is_complete() && !payload.content.consumed() => continue,
                Err(_) if write_state.is_complete() => return Err(AttemptEnd::without_reply(Status::Broken)),
                Err(_) => return Err(AttemptEnd::without_reply(Status::Unreachable)),
            }
        }
    }

    /// Health-checks a server on a new connection.
    pub async fn probe(&self, server: &ServerId) -> Status {
        let probe = async {
            // A probe does not count as an attempt.
            let mut connection = self.connect(server, &Rc::default()).await?;
            let nothing = RequestBody::Buffered(Bytes::new());
            let mut request = Request::new(Upload::new(&nothing, Rc::clone(&connection.progress.body_taken)));
            *request.uri_mut() = Uri::from_static("/health/live");
            request.headers_mut().insert(header::HOST, host_value(connection.addr));
            let response = connection.sender.send_request(request).await;
            match response.map(|response| response.status()) {
                Ok(StatusCode::OK) => Ok(Status::Success),
                Ok(_) => Ok(Status::Error),
                Err(_) => Ok(Status::Broken),
            }
        };
        let status = tokio::time::timeout(DEFAULT_TIMEOUT, probe).await;
        status.map_or(Status::TimedOut, |status| status.unwrap_or_else(|failed| failed))
    }

    fn take_idle(&self, server: &ServerId) -> Idle {
        let mut servers = self.servers.borrow_mut();
        let Some(Upstream { idle, .. }) = servers.get_mut(server) else { return Idle::Nothing };
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.idle_since.elapsed() < self.idle_timeout
        });
        let Some(last) = idle.last() else { return Idle::Nothing };
        let left = REUSE_DELAY.saturating_sub(last.idle_since.elapsed());
        let reusable = idle.partition_point(|connection| connection.idle_since.elapsed() >= REUSE_DELAY);
        match reusable.checked_sub(1) {
            Some(index) if left.is_zero() || idle[index].idle_since.elapsed() < RECENT_USE => {
                Idle::Ready(idle.remove(index))
            }
            _ => Idle::ReusableIn(left),
        }
    }

    async fn connect(&self, server: &ServerId, calls: &Rc<Cell<u64>>) -> Result<Connection, Status> {
        let addr = self.usable_addr(server).ok_or(Status::Overloaded)?;
        // Running out of sockets is this node's fault, not the server's, and nothing was sent.
        let open = self.claim_socket().ok_or(Status::NotSent)?;
        let connecting = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let progress =
                Rc::new(WriteProgress { written: Cell::new(Written::Nothing), body_taken: Rc::default() });
            let calls = Rc::clone(calls);
            let socket = UpstreamSocket {
                stream: TokioIo::new(stream),
                progress: Rc::clone(&progress),
                calls,
                _open_socket: open,
            };
            let (sender, driving) = http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .allow_obsolete_multiline_headers_in_responses(true)
                .allow_spaces_after_header_name_in_responses(true)
                .handshake(socket)
                .await
                .ok()?;
            let driver = spawn_local(async move {
                // Errors also surface in the results of `sender`.
                let _ = driving.await;
            });
            Some(Connection { addr, sender, progress, driver, idle_since: Instant::now() })
        };
        let connection = tokio::time::timeout(self.connect_timeout, connecting).await;
        connection.ok().flatten().ok_or(Status::Unreachable)
    }

    /// Counts one more socket. At the limit the connection that has been idle longest is closed first; if
    /// none is idle, returns `None`.
    fn claim_socket(&self) -> Option<OpenSocket> {
        if self.open.get() >= self.limit.get() && !self.close_longest_idle() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenSocket(Rc::clone(&self.open)))
    }

    /// Returns false if no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let candidates = servers.values_mut().filter(|server| !server.idle.is_empty());
        candidates
            .min_by_key(|server| server.idle[0].idle_since)
            .map(|server| server.idle.remove(0))
            .is_some()
    }

    /// Buffers a response or starts to stream a long one. Returns what it means, and keeps its connection if
    /// that can be reused.
    pub async fn read(&self, server: &ServerId, reply_head: ReplyHead) -> AttemptEnd {
        let ReplyHead { connection, response } = reply_head;
        let (head, body) = response.into_parts();
        let Some(body) = Download::read(body).await else {
            return AttemptEnd::without_reply(Status::Broken);
        };
        let status = reply_status(head.status, &head.headers);
        let note = cache_note(&head.headers);
        let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
        let reply = |body| (status == Status::Success).then_some(Reply { content_type, body });
        match body {
            Download::Buffered(body) => {
                // Done before the outcome is reported, as the balancer may respond with another attempt.
                self.keep_idle(server, connection).await;
                AttemptEnd { status, note, reply: reply(ReplyBody::Buffered(body)), remainder: None }
            }
            Download::Streamed(body, completion) => {
                // The rest of a long refusal or error is not needed, and its connection is closed.
                let remainder =
                    (status == Status::Success).then_some(ReplyRemainder { connection, completion });
                AttemptEnd { status, note, reply: reply(ReplyBody::Streamed(body)), remainder }
            }
        }
    }

    /// Waits for the end of a streamed reply.
    pub async fn finish(&self, server: &ServerId, remainder: ReplyRemainder) -> Status {
        match remainder.completion.await {
            Ok(true) => {
                self.keep_idle(server, remainder.connection).await;
                Status::Success
            }
            Ok(false) => Status::Broken,
            Err(_) => Status::Cancelled,
        }
    }

    async fn keep_idle(&self, id: &ServerId, mut connection: Connection) {
        let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        connection.idle_since = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let kept = servers.get_mut(id).filter(|server| server.ready && server.addr == connection.addr);
        if let Some(server) = kept.filter(|_| !self.disabled_servers.is_disabled(id)) {
            server.idle.push(connection);
        }
    }
}

/// Closes idle connections before their servers do, for as long as the `Upstreams` exist.
async fn sweep(upstreams: Weak<Upstreams>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some(upstreams) = upstreams.upgrade() else { return };
        for server in upstreams.servers.borrow_mut().values_mut() {
            server.idle.retain(|connection| {
                !connection.sender.is_closed()
                    && connection.idle_since.elapsed() + SWEEP_INTERVAL < upstreams.idle_timeout
            });
        }
    }
}

fn reply_status(status: StatusCode, headers: &HeaderMap) -> Status {
    let not_run = headers.get(NOT_RUN).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Status::Success,
        StatusCode::NOT_FOUND => Status::Absent,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Status::Overloaded,
        _ => Status::Error,
    }
}

fn cache_note(headers: &HeaderMap) -> Option<CacheNote> {
    match headers.get(CACHE_STATUS)?.as_bytes() {
        b"hit" => Some(CacheNote::Hit),
        b"miss" => Some(CacheNote::Miss),
        b"pending" => Some(CacheNote::MissFetching),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use shaletrail_policy::ServerEntry;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    fn list(addr: SocketAddr, state: ServerState) -> ServerList {
        let server = ServerId("s-1".into());
        let entry = ServerEntry { server, state, ..ServerEntry::default() };
        ServerList { version: 1, full: true, servers: vec![(entry, addr)] }
    }

    fn payload(body: &str) -> Payload {
        Payload {
            method: if body.is_empty() { Method::GET } else { Method::PUT },
            uri: Uri::from_static("/read/a"),
            id: HeaderValue::from_static("1"),
            idempotency_key: None,
            content: RequestBody::Buffered(Bytes::from(body.to_owned())),
            wait: WAIT,
        }
    }

    const WAIT: Duration = Duration::from_secs(30);

    fn limits() -> Limits {
        Limits { connect_timeout: 30.0, ..Limits::default() }
    }

    fn start(limit: usize) -> Rc<Upstreams> {
        Upstreams::start(&limits(), limit, Rc::default(), Rc::new(DisabledServers::new(None)))
    }

    async fn exchange(
        upstreams: &Upstreams,
        server: &ServerId,
        payload: &Payload,
        write_state: &WriteState,
    ) -> AttemptEnd {
        match upstreams.exchange(server, payload, WAIT, write_state, || true).await {
            Ok(reply_head) => upstreams.read(server, reply_head).await,
            Err(ended) => ended,
        }
    }

    fn on_loopback<F: std::future::Future>(test: impl FnOnce(TcpListener) -> F) -> F::Output {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            tokio::time::timeout(WAIT, test(listener)).await.expect("the test ends")
        })
    }

    #[test]
    fn a_request_is_not_sent_if_its_server_starts_draining_during_the_connect() {
        on_loopback(|listener| async move {
            let addr = listener.local_addr().unwrap();
            let upstreams = start(8);
            upstreams.update(&list(addr, ServerState::Ready));
            let (server, payload, write_state) = (ServerId("s-1".into()), payload(""), WriteState::default());
            let (ended, ()) = tokio::join! {
                biased;
                exchange(&upstreams, &server, &payload, &write_state),
                // Polled while the connection is being established.
                async { upstreams.update(&list(addr, ServerState::Draining)) },
            };
            assert_eq!((ended.status, write_state.is_complete()), (Status::Overloaded, false));
            let mut seen = Vec::new();
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_to_end(&mut seen).await.unwrap();
            assert_eq!(seen, b"");
        });
    }

    #[test]
    fn a_request_is_not_sent_if_it_ends_during_the_connect() {
        on_loopback(|listener| async move {
            let addr = listener.local_addr().unwrap();
            let upstreams = start(8);
            upstreams.update(&list(addr, ServerState::Ready));
            let (server, payload, write_state) = (ServerId("s-1".into()), payload(""), WriteState::default());
            let open = Cell::new(true);
            let (reply_head, ()) = tokio::join! {
                biased;
                upstreams.exchange(&server, &payload, WAIT, &write_state, || open.get()),
                // Polled while the connection is being established.
                async { open.set(false) },
            };
            let status = reply_head.err().map(|ended| ended.status);
            assert_eq!((status, write_state.is_complete()), (Some(Status::NotSent), false));
            let mut seen = Vec::new();
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_to_end(&mut seen).await.unwrap();
            assert_eq!(seen, b"");
        });
    }

    #[test]
    fn a_request_is_not_sent_if_its_server_is_disabled_during_the_connect() {
        on_loopback(|listener| async move {
            let addr = listener.local_addr().unwrap();
            let disabled_servers = Rc::new(DisabledServers::new(None));
            let upstreams = Upstreams::start(&limits(), 8, Rc::default(), Rc::clone(&disabled_servers));
            upstreams.update(&list(addr, ServerState::Ready));
            let (server, payload, write_state) = (ServerId("s-1".into()), payload(""), WriteState::default());
            let (ended, ()) = tokio::join! {
                biased;
                exchange(&upstreams, &server, &payload, &write_state),
                async { drop(disabled_servers.set_disabled(&server, true, 1.0, 60.0)) },
            };
            assert_eq!((ended.status, write_state.is_complete()), (Status::Overloaded, false));
            // A list update does not enable the server again.
            upstreams.update(&list(addr, ServerState::Ready));
            let ended = exchange(&upstreams, &server, &payload, &write_state).await;
            assert_eq!((ended.status, write_state.is_complete()), (Status::Overloaded, false));
        });
    }

    #[test]
    fn a_request_counts_as_written_once_its_last_byte_is() {
        on_loopback(|listener| async move {
            let upstreams = start(8);
            upstreams.update(&list(listener.local_addr().unwrap(), ServerState::Ready));
            let (server, payload, write_state) =
                (ServerId("s-1".into()), payload("body"), WriteState::default());
            let answered = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut seen = Vec::new();
                while !seen.ends_with(b"body") {
                    assert!(stream.read_buf(&mut seen).await.unwrap() > 0);
                }
                // Closed without a response: the request may have run.
            };
            let (ended, ()) = tokio::join!(exchange(&upstreams, &server, &payload, &write_state), answered);
            assert_eq!((ended.status, write_state.is_complete()), (Status::Broken, true));
        });
    }

    /// The server's second response is held back until the next request has been started. Tokio's clock is
    /// paused meanwhile.
    #[test]
    fn a_second_answer_is_not_taken_for_the_answer_to_another_request() {
        on_loopback(|listener| async move {
            let upstreams = start(8);
            upstreams.update(&list(listener.local_addr().unwrap(), ServerState::Ready));
            let (server, payload) = (ServerId("s-1".into()), payload(""));
            let answer = |text: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{text}");
            let next = tokio::sync::Notify::new();
            let serve = async {
                let (mut first, _) = listener.accept().await.unwrap();
                let _ = first.read(&mut [0; 1024]).await.unwrap();
                first.write_all(answer("first").as_bytes()).await.unwrap();
                next.notified().await;
                first.write_all(answer("again").as_bytes()).await.unwrap();
                let (mut other, _) = listener.accept().await.unwrap();
                let _ = other.read(&mut [0; 1024]).await.unwrap();
                other.write_all(answer("other").as_bytes()).await.unwrap();
                std::future::pending().await
            };
            let ask = || async {
                let ended = exchange(&upstreams, &server, &payload, &WriteState::default()).await;
                match ended.reply.map(|reply| reply.body) {
                    Some(ReplyBody::Buffered(body)) => body,
                    _ => panic!("no answer: {:?}", ended.status),
                }
            };
            let asked = async {
                assert_eq!(ask().await, "first");
                tokio::time::pause();
                let (other, ()) = tokio::join! { biased; ask(), async { next.notify_one() } };
                assert_eq!(other, "other");
            };
            tokio::select! {
                () = asked => {}
                () = serve => {}
            }
        });
    }

    #[test]
    fn at_the_limit_the_longest_idle_connection_is_closed_and_no_other_is_opened() {
        on_loopback(|listener| async move {
            let addr = listener.local_addr().unwrap();
            let upstreams = start(1);
            upstreams.update(&list(addr, ServerState::Ready));
            let (server, payload) = (ServerId("s-1".into()), payload(""));
            let serve = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut seen = [0; 1024];
                let _ = stream.read(&mut seen).await.unwrap();
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                stream
            };
            let (write_state, other) = (WriteState::default(), WriteState::default());
            let (ended, beyond, mut stream) = tokio::join! {
                biased;
                exchange(&upstreams, &server, &payload, &write_state),
                exchange(&upstreams, &server, &payload, &other),
                serve,
            };
            assert_eq!((ended.status, beyond.status), (Status::Success, Status::NotSent));
            let room = upstreams.claim_socket();
            assert!(room.is_some());
            assert_eq!(stream.read(&mut [0]).await.unwrap(), 0, "the idle connection is closed");
        });
    }

    #[test]
    fn replies_are_mapped_to_statuses_and_cache_notes() {
        let mut not_run = HeaderMap::new();
        not_run.insert(NOT_RUN, HeaderValue::from_static("1"));
        let none = HeaderMap::new();
        for (status, headers, expected) in [
            (200, &none, Status::Success),
            (404, &none, Status::Absent),
            (500, &none, Status::Error),
            (503, &none, Status::Error),
            (500, &not_run, Status::Error),
            (503, &not_run, Status::Overloaded),
            (504, &not_run, Status::Overloaded),
        ] {
            assert_eq!(reply_status(StatusCode::from_u16(status).unwrap(), headers), expected, "{status}");
        }
        for (word, note) in [
            ("hit", Some(CacheNote::Hit)),
            ("miss", Some(CacheNote::Miss)),
            ("pending", Some(CacheNote::MissFetching)),
            ("odd", None),
        ] {
            let headers = HeaderMap::from_iter([(CACHE_STATUS, HeaderValue::from_static(word))]);
            assert_eq!(cache_note(&headers), note);
        }
    }
}
