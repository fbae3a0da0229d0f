//! The client side: accepts connections, reads requests, writes the final answers.

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

use crate::body::{Content, Fault, Long};
use crate::config::Config;
use crate::figures::{End, Taken};
use crate::host::{Answer, Arrival, Host, Ticket};
use crate::lifecycle::{Lifecycle, State};
use crate::upstream::{Answered, Payload, DEADLINE_MS, IDEMPOTENCY_KEY, REQUEST_ID};

const CLASS: HeaderName = HeaderName::from_static("x-class");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const COST_HINT: HeaderName = HeaderName::from_static("x-cost-hint");

/// What a request may have spent on its way here, in the kernel and in this node's queue, since the client's
/// clock started; and what its answer needs back. Of a client that waits for less than most, a part of its time
/// only: otherwise it would be given up while its answer could still be of use.
const TRANSIT: Duration = Duration::from_millis(10);
const TRANSIT_PART: u32 = 20;
/// A connection that idles is closed no sooner than after 2 s by the terms, and a client may take 2 s for a head.
const HEAD_TIME: Duration = Duration::from_millis(2200);
/// Who sends nothing, or a first head that never ends, is owed a close within 3 s of connecting.
const FIRST_HEAD_TIME: Duration = Duration::from_millis(2800);
/// A body may pause for so long altogether beyond what its least rate allows: clients write small ones in pieces. On
/// a new connection the 3 s bind it too, but a body whose head took most of them gets the least.
const BODY_GRACE: Duration = Duration::from_millis(2000);
const LEAST_GRACE: Duration = Duration::from_millis(500);
/// Clients take seconds to read a long answer, and servers to go on with one; one of which nothing moves for so long
/// is given up.
const STALL: Duration = Duration::from_secs(30);
/// How often a connection is looked at, as its state may have changed meanwhile.
const LOOK: Duration = Duration::from_millis(400);
const LONGEST_HEAD: usize = 32 << 10;
/// Most that is read ahead, in pieces, while a request waits, to see whether its client is still there. Clients that
/// sent much at once and left had up to 35 kB behind a request in plays.
const MOST_AHEAD: usize = 2 * LONGEST_HEAD;
const PIECE: usize = 8 << 10;
/// Behind more than that, how often the kernel is asked: by the terms nothing is sent on 0.3 s after the end.
const LOOK_BEHIND: Duration = Duration::from_millis(50);
/// Longest wait that is believed of a client.
const LONGEST_WAIT: u64 = 3_600_000;
/// After the signal to stop, new connections go on coming for up to 0.4 s.
const STILL_ACCEPTING: Duration = Duration::from_millis(600);
/// Pause when no descriptor is left for a connection, or nobody yet to send to.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Client connections: how many are open, and which are idle, the longest first.
pub struct Clients {
    most: Cell<usize>,
    open: Cell<usize>,
    next: Cell<u64>,
    idle: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// One has left, or may give way.
    changed: Notify,
}

/// One client connection, counted until it is dropped.
struct Client {
    clients: Rc<Clients>,
    /// Its place among the idle ones while it is idle.
    place: Cell<Option<u64>>,
    /// Asks it to close.
    close: Notify,
    /// Its first request has come.
    begun: watch::Sender<bool>,
    came: Instant,
    /// When a byte last came or went, or an answer ended.
    moved: Cell<Instant>,
    /// When the head began to come that is not whole yet.
    head: Cell<Option<Instant>>,
    /// An answer is on its way out.
    answering: Cell<bool>,
    /// Its place is another's.
    gives_way: Cell<bool>,
    /// Something that was begun to be written has not all gone out yet.
    unsent: Cell<bool>,
    /// An answer has broken off, and its client has to see that it is not whole.
    broken: Cell<bool>,
}

impl Client {
    fn idle(self: &Rc<Self>) {
        let place = self.clients.next.replace(self.clients.next.get() + 1);
        self.place.set(Some(place));
        self.clients.idle.borrow_mut().insert(place, Rc::clone(self));
        self.answering.set(false);
        self.moved.set(Instant::now());
    }

    fn busy(self: &Rc<Self>) -> Busy {
        self.head.set(None);
        self.leave_idle();
        Busy(Rc::clone(self))
    }

    fn leave_idle(&self) {
        if let Some(place) = self.place.take() {
            self.clients.idle.borrow_mut().remove(&place);
        }
    }

    fn is_idle(&self) -> bool {
        self.place.get().is_some()
    }

    fn on_moved(&self, read: bool) {
        let now = Instant::now();
        self.moved.set(now);
        if read && self.is_idle() && self.head.get().is_none() {
            self.head.set(Some(now));
        }
    }

    /// When it is to be given up, as things stand; `None` while it waits for its answer, which has a time of its own.
    fn due(&self) -> Option<Instant> {
        // An answer that hyper holds whole is still the client's to read.
        if !self.is_idle() || self.unsent.get() {
            return (self.answering.get() || self.unsent.get()).then(|| self.moved.get() + STALL);
        }
        let due = self.head.get().unwrap_or(self.moved.get()) + HEAD_TIME;
        Some(if *self.begun.borrow() { due } else { due.min(self.came + FIRST_HEAD_TIME) })
    }

    /// How long the body of the request that has just begun may pause.
    fn grace(&self) -> Duration {
        let first = !self.begun.send_replace(true);
        let left = FIRST_HEAD_TIME.saturating_sub(self.came.elapsed());
        if first {
            left.clamp(LEAST_GRACE, BODY_GRACE)
        } else {
            BODY_GRACE
        }
    }

    fn is_overdue(&self) -> bool {
        self.due().is_some_and(|due| due <= Instant::now())
    }

    async fn overdue(&self) {
        while !self.is_overdue() {
            let look = Instant::now() + LOOK;
            sleep_until(self.due().map_or(look, |due| due.min(look)).into()).await;
        }
    }
}

/// A request that has come and not been answered to its last byte.
struct Busy(Rc<Client>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.idle();
    }
}

/// The connection's end of a client: it leaves with its task.
struct Joined(Rc<Client>);

impl Drop for Joined {
    fn drop(&mut self) {
        let clients = &self.0.clients;
        self.0.leave_idle();
        clients.open.set(clients.open.get() - 1);
        clients.changed.notify_waiters();
    }
}

/// A client's stream, and what was read of it ahead of hyper while a request waited.
struct Stream {
    tcp: TcpStream,
    ahead: RefCell<BytesMut>,
}

impl Stream {
    /// Ends once the client has left. Only while a request waits for its answer: hyper looks for that as well, but
    /// neither past bytes that lie behind the request, nor past those of its body that nobody takes yet.
    async fn left(&self) {
        loop {
            let Ok(ready) = self.tcp.ready(Interest::READABLE).await else { return };
            // Where the kernel has the end already, it shows at once; elsewhere it has to be read up to.
            if ready.is_read_closed() {
                return;
            }
            if self.ahead.borrow().len() >= MOST_AHEAD {
                sleep(LOOK_BEHIND).await;
                continue;
            }
            let mut ahead = self.ahead.borrow_mut();
            ahead.reserve(PIECE);
            match self.tcp.try_read_buf(&mut *ahead) {
                Ok(1..) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
            }
        }
    }

    /// Takes in what has come, also where the reactor has not told of it yet. False where there is nothing.
    fn take_in(&self) -> bool {
        let mut piece = [0; PIECE];
        let read = (&*SockRef::from(&self.tcp)).read(&mut piece).unwrap_or(0);
        self.ahead.borrow_mut().extend_from_slice(&piece[..read]);
        read > 0
    }
}

/// The client has left, and its connection is of no more use.
#[derive(Debug)]
struct Left;

impl std::fmt::Display for Left {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the client has left")
    }
}

impl std::error::Error for Left {}

/// A client's socket. It notes when something moves, and ends with a reset if its answer has broken off.
struct Socket {
    stream: Rc<Stream>,
    client: Rc<Client>,
}

impl Socket {
    /// Tries to write once the stream takes something.
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> std::io::Result<usize>,
    ) -> Poll<std::io::Result<usize>> {
        self.client.unsent.set(true);
        loop {
            ready!(self.stream.tcp.poll_write_ready(cx))?;
            match write(&self.stream.tcp) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                result => {
                    if matches!(result, Ok(1..)) {
                        self.client.on_moved(false);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.client.broken.get() {
            // Without it an answer that ends with its connection would look whole.
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
        let mut ahead = self.stream.ahead.borrow_mut();
        let read = if ahead.is_empty() {
            loop {
                ready!(self.stream.tcp.poll_read_ready(cx))?;
                match self.stream.tcp.try_read_buf(buf) {
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    result => break result?,
                }
            }
        } else {
            let most = buf.remaining().min(ahead.len());
            let first = ahead.split_to(most);
            buf.put_slice(&first);
            first.len()
        };
        if read > 0 {
            self.client.on_moved(true);
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

    /// hyper flushes once all that it holds is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.client.unsent.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(SockRef::from(&self.stream.tcp).shutdown(Shutdown::Write))
    }
}

/// What goes out to a client.
struct Outgoing {
    body: Answered,
    /// The request, if it ends with the last byte.
    taken: Option<Taken>,
    busy: Option<Busy>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let passing = match &mut self.body {
            Answered::Whole(body) => {
                let body = std::mem::take(body);
                return Poll::Ready((!body.is_empty()).then(|| Ok(Frame::data(body))));
            }
            Answered::Passing(passing) => passing,
        };
        let frame = ready!(Pin::new(&mut *passing).poll_frame(cx));
        let ends = frame.is_none() || passing.is_end_stream();
        let broken = matches!(frame, Some(Err(_)));
        if let Some(taken) = self.taken.take_if(|_| ends || broken) {
            taken.end(if broken { End::Failure } else { End::Success });
        }
        if let Some(busy) = self.busy.as_ref().filter(|_| broken) {
            busy.0.broken.set(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Answered::Whole(body) => body.is_empty(),
            Answered::Passing(passing) => passing.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Answered::Whole(body) => SizeHint::with_exact(body.len() as u64),
            Answered::Passing(passing) => passing.size_hint(),
        }
    }
}

impl Clients {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Clients {
            most: Cell::new(most),
            open: Cell::default(),
            next: Cell::default(),
            idle: RefCell::default(),
            changed: Notify::new(),
        })
    }

    pub fn most(&self) -> usize {
        self.most.get()
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets how many may be open from now on. What is open beyond that stays.
    pub fn bound(&self, most: usize) {
        if self.most.replace(most) < most {
            self.changed.notify_waiters();
        }
    }

    fn join(self: &Rc<Self>) -> Joined {
        self.open.set(self.open.get() + 1);
        let now = Instant::now();
        let client = Rc::new(Client {
            clients: Rc::clone(self),
            place: Cell::default(),
            close: Notify::new(),
            begun: watch::Sender::new(false),
            came: now,
            moved: Cell::new(now),
            head: Cell::default(),
            answering: Cell::default(),
            gives_way: Cell::default(),
            unsent: Cell::default(),
            broken: Cell::default(),
        });
        client.idle();
        Joined(client)
    }

    /// Waits until one more connection fits. One that idles gives way, so that clients which keep many can't
    /// shut out the others; if there is none, one that is not done with its head. Who turns out to have sent a request
    /// stays for its answer, and another one is asked.
    async fn room(&self) {
        while self.open.get() >= self.most.get() {
            let changed = self.changed.notified();
            let idle = || self.idle.borrow();
            let place =
                idle().iter().find(|(_, client)| client.head.get().is_none()).map(|(place, _)| *place);
            let place = place.or_else(|| idle().keys().next().copied());
            if let Some(client) = place.and_then(|place| self.idle.borrow_mut().remove(&place)) {
                client.gives_way.set(true);
                client.close.notify_one();
            }
            changed.await;
        }
    }

    async fn none_left(&self) {
        while self.open.get() > 0 {
            self.changed.notified().await;
        }
    }
}

/// What requests are read with.
struct Reader {
    host: Rc<Host>,
    names: Names,
    settings: Settings,
    lifecycle: Rc<Lifecycle>,
}

/// Serves clients until told to stop and all that was taken is answered.
pub async fn serve(
    listener: TcpListener,
    host: Rc<Host>,
    clients: Rc<Clients>,
    config: &Config,
    lifecycle: Rc<Lifecycle>,
) {
    let settings = config.settings.clone();
    let names = Names::of(&settings);
    let reader = Rc::new(Reader { host, names, settings, lifecycle: Rc::clone(&lifecycle) });
    // A queue that is shared with another process is left to it until there are servers to ask, and at a stop.
    let shared = config.socket.is_some();
    let stopped = async {
        lifecycle.stopped().await;
        if !shared {
            sleep(STILL_ACCEPTING).await;
        }
    };
    let mut stopped = std::pin::pin!(stopped);
    let others = async {
        while shared && !reader.host.ready() {
            sleep(ACCEPT_PAUSE).await;
        }
    };
    tokio::select! {
        () = others => accept(&listener, &reader, &clients, stopped).await,
        () = stopped.as_mut() => {}
    }
    if !shared {
        take_queued(listener, &reader, &clients).await;
    }
    // Open connections are answering; silent ones are given up in time, and long answers are not cut off.
    clients.none_left().await;
}

/// Takes connections until told to stop. At the limit room is made for one that has come; it is not dropped again.
async fn accept(
    listener: &TcpListener,
    reader: &Rc<Reader>,
    clients: &Rc<Clients>,
    mut stopped: Pin<&mut impl Future<Output = ()>>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.as_mut() => return,
        };
        match accepted {
            Ok((stream, _)) => attend(stream, reader, clients).await,
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Takes what the kernel has accepted: its requests count as taken, and would be reset with the listener.
async fn take_queued(listener: TcpListener, reader: &Rc<Reader>, clients: &Rc<Clients>) {
    let Ok(listener) = listener.into_std() else { return };
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => attend(stream, reader, clients).await,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn attend(stream: TcpStream, reader: &Rc<Reader>, clients: &Rc<Clients>) {
    clients.room().await;
    spawn_local(connection(stream, Rc::clone(reader), clients.join()));
}

async fn connection(stream: TcpStream, reader: Rc<Reader>, joined: Joined) {
    // Without it a small answer may wait for the client's acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let client = &joined.0;
    let stream = Rc::new(Stream { tcp: stream, ahead: RefCell::default() });
    let service = service_fn(|request| {
        let (busy, grace) = (client.busy(), client.grace());
        let (reader, client, stream) = (&reader, client, &stream);
        async move {
            let mut response = reader.respond(request, grace, stream).await?;
            if reader.lifecycle.state() != State::Serving || client.gives_way.get() {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            client.answering.set(true);
            response.body_mut().busy = Some(busy);
            Ok::<_, Left>(response)
        }
    });
    let socket = Socket { stream: Rc::clone(&stream), client: Rc::clone(client) };
    let mut serving = std::pin::pin!(http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(socket), service));
    // hyper would close a new connection at once, and with it a request that is on its way: what the node still
    // accepts while it drains or stops gets its first answer.
    let mut wound_up = std::pin::pin!(async {
        reader.lifecycle.closes_idle().await;
        // The sender is at hand, so that there is no error.
        let _ = client.begun.subscribe().wait_for(|begun| *begun).await;
    });
    let mut winding_up = false;
    loop {
        let overdue = tokio::select! {
            // An error is the client's, who has gone or could not be understood and has been told so.
            _ = serving.as_mut() => return,
            () = client.overdue() => true,
            () = client.close.notified() => false,
            () = wound_up.as_mut(), if !winding_up => {
                winding_up = true;
                false
            }
        };
        // What has come in this very moment is read before the connection is given up.
        let knew_head = client.head.get().is_some();
        if client.is_idle() && stream.take_in() {
            let read = poll_fn(|cx| Poll::Ready(serving.as_mut().poll(cx))).await;
            if read.is_ready() {
                return;
            }
        }
        if overdue {
            if !client.is_overdue() {
                continue;
            }
            if !client.is_idle() || client.unsent.get() {
                eprintln!("gave up a client that takes nothing of its answer");
            }
            return;
        }
        // hyper would drop a head that has come in part. Its answer asks for the close where that is still wanted.
        match client.head.get() {
            Some(_) if client.gives_way.get() && knew_head => return,
            Some(_) => client.clients.changed.notify_waiters(),
            None => break,
        }
    }
    // Closes at once between requests, else with the answer.
    serving.as_mut().graceful_shutdown();
    if !client.is_idle() {
        client.clients.changed.notify_waiters();
    }
    tokio::select! {
        _ = serving => {}
        () = client.overdue() => {}
    }
}

/// A request that is not taken, and why.
struct Rejected(StatusCode);

impl Reader {
    async fn respond(
        &self,
        request: Request<Incoming>,
        grace: Duration,
        stream: &Stream,
    ) -> Result<Response<Outgoing>, Left> {
        if request.uri().path() == "/health/ready" {
            let ready = self.host.ready() && self.lifecycle.state() == State::Serving;
            return Ok(plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        Ok(match self.read(request, grace).await {
            Ok((ticket, None)) => {
                // Dropped with its client gone, the ticket is withdrawn.
                let (answer, taken) = tokio::select! {
                    biased;
                    answered = ticket.answer() => answered,
                    () = stream.left() => return Err(Left),
                };
                response(answer, taken)
            }
            Ok((ticket, Some(long))) => {
                let answered = tokio::select! {
                    biased;
                    answered = ticket.answer() => Some(answered),
                    () = stream.left() => None,
                };
                let Some((answer, taken)) = answered else {
                    // An attempt that is out may not be called off everywhere, and gets what has come of the body.
                    let body = Rc::downgrade(&long);
                    drop(long);
                    while body.strong_count() > 0 {
                        sleep(LOOK_BEHIND).await;
                    }
                    return Err(Left);
                };
                long.end();
                response(answer, taken)
            }
            Err(Rejected(status)) => plain(status),
        })
    }

    /// Takes a request, and if its body is a long one says where that still comes from.
    async fn read(
        &self,
        request: Request<Incoming>,
        grace: Duration,
    ) -> Result<(Ticket, Option<Rc<Long>>), Rejected> {
        let (head, body) = request.into_parts();
        let (first, key) = split_path(head.uri.path()).ok_or(Rejected(StatusCode::NOT_FOUND))?;
        let named = self.names.class(first).ok_or(Rejected(StatusCode::NOT_FOUND))?;
        let write = match head.method {
            Method::GET => false,
            Method::PUT => true,
            _ => return Err(Rejected(StatusCode::METHOD_NOT_ALLOWED)),
        };
        let class = match text(&head.headers, &CLASS)? {
            Some(name) => self.names.class(name),
            None => Some(named),
        };
        // Servers answer nothing without an id, so the request can't be served.
        let id = head.headers.get(REQUEST_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.ok_or(Rejected(StatusCode::BAD_REQUEST))?;
        let tenant = text(&head.headers, &TENANT)?.and_then(|name| self.names.tenant(name));
        let wait = match number(&head.headers, &DEADLINE_MS)? {
            Some(ms) => Duration::from_millis(ms.min(LONGEST_WAIT)),
            None => Duration::from_secs_f64(self.default_wait(class.map(|class| class.0))),
        };
        let work = number(&head.headers, &COST_HINT)?.map(|us| us as Seconds / 1e6);
        // Any other coding would go on without its name.
        let coded = |value: &HeaderValue| !value.as_bytes().eq_ignore_ascii_case(b"chunked");
        if head.headers.get_all(header::TRANSFER_ENCODING).iter().any(coded) {
            return Err(Rejected(StatusCode::NOT_IMPLEMENTED));
        }
        let content = Content::read(body, grace).await.map_err(|fault| {
            Rejected(match fault {
                Fault::Slow => StatusCode::REQUEST_TIMEOUT,
                Fault::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                Fault::Broken => StatusCode::BAD_REQUEST,
            })
        })?;
        // The client's time runs from its last byte, which has just come unless the body is a long one.
        let left = left_here(wait);
        let long = content.long().cloned();
        // Servers are sent the path alone, whatever form the target had.
        let uri = head.uri.path_and_query().cloned().map_or(head.uri, Uri::from);
        let payload = Payload {
            method: head.method,
            uri,
            id,
            idempotency_key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
            content,
            wait: left,
        };
        let taken = self.host.figures.take(named);
        Ok((self.host.take(Arrival { taken, left, class, tenant, key, write, work, payload }), long))
    }

    /// For clients that don't say how long they wait; of an unknown class, the shortest.
    fn default_wait(&self, class: Option<usize>) -> Seconds {
        let classes = &self.settings.classes;
        let shortest = || classes.iter().map(|class| class.deadline).fold(f64::MAX, f64::min);
        class.and_then(|class| classes.get(class)).map_or_else(shortest, |class| class.deadline)
    }
}

/// What this node has of the time that a client waits.
fn left_here(wait: Duration) -> Duration {
    wait.saturating_sub(TRANSIT.min(wait / TRANSIT_PART))
}

/// The first part of a path, which names the class, and a number for the last, which is what it is about.
fn split_path(path: &str) -> Option<(&str, Key)> {
    let (first, rest) = path.strip_prefix('/')?.split_once('/')?;
    let key = rest.rsplit('/').next().filter(|key| !key.is_empty())?;
    // FNV-1a: the same at every node and in every version, which the standard hashers don't promise.
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    Some((first, Key(key.bytes().fold(0xcbf2_9ce4_8422_2325, hash))))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejected> {
    headers.get(name).map(|v| v.to_str().map_err(|_| Rejected(StatusCode::BAD_REQUEST))).transpose()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Rejected> {
    let text = text(headers, name)?;
    text.map(|v| v.parse().map_err(|_| Rejected(StatusCode::BAD_REQUEST))).transpose()
}

fn plain(status: StatusCode) -> Response<Outgoing> {
    let mut response =
        Response::new(Outgoing { body: Answered::Whole(Bytes::new()), taken: None, busy: None });
    *response.status_mut() = status;
    response
}

fn response(answer: Answer, taken: Option<Taken>) -> Response<Outgoing> {
    match answer {
        Answer::Served(reply) => {
            let mut response = Response::new(Outgoing { body: reply.body, taken, busy: None });
            if let Some(kind) = reply.content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
            }
            response
        }
        Answer::Refused(retry_after) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            let advice = retry_after.and_then(|s| HeaderValue::from_str(&format!("{s:.3}")).ok());
            if let Some(advice) = advice {
                response.headers_mut().insert(header::RETRY_AFTER, advice);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
        Answer::Overdue => plain(StatusCode::GATEWAY_TIMEOUT),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    /// A client that pauses while it reads lost the end of its answer: hyper had taken all of it over, so that the
    /// connection passed for an idle one.
    #[test]
    fn a_connection_is_not_idle_while_its_last_answer_is_unsent() {
        let clients = Clients::new(1);
        let joined = clients.join();
        let client = &joined.0;
        let time = |client: &Client| client.due().map(|due| due - client.moved.get());
        assert_eq!(time(client), Some(HEAD_TIME));
        assert!(client.grace() > BODY_GRACE / 2 && client.grace() == BODY_GRACE);
        let busy = client.busy();
        assert_eq!(time(client), None, "waits for its answer");
        client.answering.set(true);
        client.unsent.set(true);
        assert_eq!(time(client), Some(STALL));
        drop(busy);
        assert_eq!(time(client), Some(STALL));
        client.unsent.set(false);
        assert_eq!(time(client), Some(HEAD_TIME));
    }

    #[tokio::test]
    async fn who_only_idles_gives_way_first_and_then_who_is_not_done_with_its_head() {
        let clients = Clients::new(3);
        let joined = [(); 3].map(|()| clients.join());
        let [first, second, third] = joined.each_ref().map(|joined| &joined.0);
        first.on_moved(true);
        let busy = third.busy();
        for (gives_way, rest) in
            [([false, true, false], 2), ([true, true, false], 1), ([true, true, false], 1)]
        {
            assert!(timeout(Duration::ZERO, clients.room()).await.is_err(), "nobody has left yet");
            assert_eq!([first, second, third].map(|client| client.gives_way.get()), gives_way);
            assert_eq!(clients.idle.borrow().len() + 1, rest);
        }
        drop(busy);
        drop(joined);
        clients.room().await;
    }

    /// Ten milliseconds of forty were a quarter of what such clients wait, and half of their answers came then.
    #[test]
    fn transit_takes_a_small_part_of_a_short_wait() {
        let left = |ms| left_here(Duration::from_millis(ms)).as_millis();
        assert_eq!([0, 40, 200, 2000].map(left), [0, 38, 190, 1990]);
    }
}
