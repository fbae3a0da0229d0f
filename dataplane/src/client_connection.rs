//! The state of one client connection: its phase, the start of that phase, and whether it should be closed.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;

use shaletrail_configuration::ClientLimits;
use shaletrail_protocol::Millis;
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::shared_stream::is_read_closed;
use crate::tracked_stream::IoObserver;

/// A connection is dropped if one response takes longer than this: the client has presumably stopped
/// reading it.
const RESPONSE_TIMEOUT_MS: Millis = 300_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the next request.
    Idle,
    /// Receiving a request's head.
    ReadingHead,
    /// Receiving a request's body.
    ReadingBody,
    /// Waiting for the response to a request, or writing it.
    Responding,
}

/// Whether and how the connection's task should close it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    KeepOpen,
    /// Close the connection after the request in flight, or at once if there is none.
    CloseWhenIdle,
    /// Drop the connection at once, even with a request in flight.
    Abort,
}

/// The state of a client connection, shared by its task, its requests and the table of connections.
pub struct ClientConnection {
    clock: Clock,
    phase: Cell<Phase>,
    phase_started_at: Cell<Millis>,
    disposition: Cell<Disposition>,
    /// Size of the read buffer, and so of the longest request head that can be received.
    read_buffer_bytes: usize,
    /// Can be upgraded only while the socket is open.
    stream: Weak<TcpStream>,
    /// Wakes the connection's task.
    waker: RefCell<Option<Waker>>,
}

impl ClientConnection {
    /// Creates the state of an idle connection that is kept open. Does not keep the socket open.
    pub fn new(clock: Clock, stream: &Rc<TcpStream>, read_buffer_bytes: usize) -> Self {
        ClientConnection {
            clock,
            phase: Cell::new(Phase::Idle),
            phase_started_at: Cell::new(clock.now()),
            disposition: Cell::new(Disposition::KeepOpen),
            read_buffer_bytes,
            stream: Rc::downgrade(stream),
            waker: RefCell::default(),
        }
    }

    /// Enters [`Phase::ReadingBody`], after a request's head has been read. The connection becomes idle when
    /// the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.enter_phase(Phase::ReadingBody);
        RequestGuard(self.clone())
    }

    /// Enters [`Phase::Responding`], after the request's body has been read.
    pub fn begin_response(&self) {
        self.enter_phase(Phase::Responding);
    }

    /// Whether the client has closed the connection or its sending half. Requests that it sent
    /// before that need no longer be served.
    pub fn is_client_disconnected(&self) -> bool {
        self.stream.upgrade().is_none_or(|stream| is_read_closed(&stream))
    }

    /// Whether the connection is in [`Phase::Responding`].
    pub fn is_responding(&self) -> bool {
        self.phase.get() == Phase::Responding
    }

    /// What the connection's task should do with the connection; [`Disposition::KeepOpen`] at first.
    pub fn disposition(&self) -> Disposition {
        self.disposition.get()
    }

    /// Changes the disposition and wakes the connection's task, so that it acts on it.
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

    /// Sets the waker that is called when the disposition changes.
    pub fn register_waker(&self, waker: &Waker) {
        self.waker.replace(Some(waker.clone()));
    }

    /// Size of the read buffer, in bytes.
    pub fn read_buffer_bytes(&self) -> usize {
        self.read_buffer_bytes
    }

    /// The disposition that follows from the limits in force.
    pub fn check(&self, now: Millis, limits: &ClientLimits) -> Disposition {
        match self.check_timeout(now, limits) {
            Disposition::KeepOpen if limits.max_header_bytes > self.read_buffer_bytes as u64 => {
                Disposition::CloseWhenIdle
            }
            disposition => disposition,
        }
    }

    /// The disposition that follows from the time-out of the current phase.
    fn check_timeout(&self, now: Millis, limits: &ClientLimits) -> Disposition {
        let (timeout_ms, disposition) = match self.phase.get() {
            Phase::Idle => (limits.idle_timeout_ms, Disposition::CloseWhenIdle),
            Phase::ReadingHead => (limits.header_timeout_ms, Disposition::Abort),
            Phase::ReadingBody => (limits.idle_timeout_ms, Disposition::Abort),
            Phase::Responding => (RESPONSE_TIMEOUT_MS, Disposition::Abort),
        };
        if now.saturating_sub(self.phase_started_at.get()) > timeout_ms {
            disposition
        } else {
            Disposition::KeepOpen
        }
    }

    fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_started_at.set(self.clock.now());
    }
}

impl IoObserver for ClientConnection {
    fn on_read(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter_phase(Phase::ReadingHead);
        }
    }
}

/// Marks a request in flight on a client connection; the connection becomes idle when this is dropped.
pub struct RequestGuard(Rc<ClientConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.enter_phase(Phase::Idle);
    }
}
