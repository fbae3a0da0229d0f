//! The state of one client connection: what it is doing, since when, and whether it is to close.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;

use shaletrail_configuration::ClientLimits;
use shaletrail_protocol::Millis;
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::shared_stream::is_read_closed;
use crate::tracked_stream::IoObserver;

/// The longest time for one response, in milliseconds: a client that takes longer does not read.
const RESPONSE_TIMEOUT_MS: Millis = 300_000;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the next request.
    Idle,
    /// Receiving a request's head.
    ReadingHead,
    /// Receiving a request's body.
    ReadingBody,
    /// Waiting for the response or writing it.
    Responding,
}

/// What is to become of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It stays open.
    KeepOpen,
    /// It closes once it is idle.
    CloseWhenIdle,
    /// It is dropped, whatever it is doing.
    Abort,
}

/// A client connection, shared by its task, its requests and the table of connections.
pub struct ClientConnection {
    clock: Clock,
    phase: Cell<Phase>,
    phase_since: Cell<Millis>,
    disposition: Cell<Disposition>,
    /// The socket, for as long as it is open.
    stream: Weak<TcpStream>,
    waker: RefCell<Option<Waker>>,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(clock: Clock, stream: &Rc<TcpStream>) -> Self {
        ClientConnection {
            clock,
            phase: Cell::new(Phase::Idle),
            phase_since: Cell::new(clock.now()),
            disposition: Cell::new(Disposition::KeepOpen),
            stream: Rc::downgrade(stream),
            waker: RefCell::default(),
        }
    }

    /// A request's head has been read. The connection is idle again when the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.enter(Phase::ReadingBody);
        RequestGuard(self.clone())
    }

    /// The request's body has been read.
    pub fn begin_response(&self) {
        self.enter(Phase::Responding);
    }

    /// Whether the client has left: whatever it sent before need not be served any more.
    pub fn has_client_left(&self) -> bool {
        self.stream.upgrade().is_none_or(|stream| is_read_closed(&stream))
    }

    /// Whether a request is being served.
    pub fn is_responding(&self) -> bool {
        self.phase.get() == Phase::Responding
    }

    /// What is to become of the connection.
    pub fn disposition(&self) -> Disposition {
        self.disposition.get()
    }

    /// Changes what is to become of the connection, and wakes its task.
    pub fn set_disposition(&self, disposition: Disposition) {
        if self.disposition.get() == disposition {
            return;
        }
        self.disposition.set(disposition);
        let waker = self.waker.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// The connection's task is to be woken when the disposition changes.
    pub fn register(&self, waker: &Waker) {
        self.waker.replace(Some(waker.clone()));
    }

    /// What the time-outs make of the connection.
    pub fn check_timeout(&self, now: Millis, limits: &ClientLimits) -> Disposition {
        let (timeout_ms, disposition) = match self.phase.get() {
            Phase::Idle => (limits.idle_timeout_ms, Disposition::CloseWhenIdle),
            Phase::ReadingHead => (limits.header_timeout_ms, Disposition::Abort),
            Phase::ReadingBody => (limits.idle_timeout_ms, Disposition::Abort),
            Phase::Responding => (RESPONSE_TIMEOUT_MS, Disposition::Abort),
        };
        if now.saturating_sub(self.phase_since.get()) > timeout_ms {
            disposition
        } else {
            Disposition::KeepOpen
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(self.clock.now());
    }
}

impl IoObserver for ClientConnection {
    fn on_read(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::ReadingHead);
        }
    }
}

/// A request in flight on a client connection, which is idle again when this is dropped.
pub struct RequestGuard(Rc<ClientConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}
