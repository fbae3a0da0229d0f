//! What the tasks of the process share: the decisions on requests, the configuration in force, and the way
//! that actions take to the exchange they are meant for.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use ahash::AHashMap;
use shaletrail_configuration::View;
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, ServerId};
use shaletrail_routing::interface::{Action, Attempt, Event, NewRequest, Rejection, RequestId};
use shaletrail_routing::Router;
use tokio::sync::Notify;

use crate::stopping::Stopping;
use crate::upstream::Pool;

/// Commands kept for one exchange; more than this is never of use, as each replaces those before.
const MOST_COMMANDS: usize = 16;
/// The part of the process's memory that request bodies may take.
const BODY_MEMORY_PART: u64 = 4;

/// Milliseconds of the process's steady clock, from its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        Millis::try_from(self.start.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// The moment `at`, for sleeps.
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_millis(at))
    }
}

/// One sending, as the router ordered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// This sending.
    pub attempt: Attempt,
    /// The server's id.
    pub server: ServerId,
    /// Where it is, `IP:PORT`.
    pub address: String,
    /// For `Deadline-Ms`.
    pub deadline_ms: Millis,
    /// For `Priority`.
    pub priority: u8,
    /// The event after which the stream is taken up.
    pub resume_after: Option<u64>,
}

/// What an exchange is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request.
    Send(SendOrder),
    /// Pass the held failure on.
    ForwardFailure,
    /// Answer with a failure of our own.
    Refuse(Rejection),
    /// Break the answer off.
    AbortResponse,
    /// Call an attempt off.
    Cancel(Attempt),
}

#[derive(Default)]
struct Mailbox {
    commands: VecDeque<Command>,
    waker: Option<Waker>,
}

/// What the tasks share.
pub struct State {
    /// The steady clock.
    pub clock: Clock,
    /// The log.
    pub log: slog::Logger,
    /// Connections to servers.
    pub pool: Pool,
    router: RefCell<Router>,
    actions: RefCell<Vec<Action>>,
    mailboxes: RefCell<AHashMap<RequestId, Mailbox>>,
    view: RefCell<Arc<View>>,
    stopping: Cell<Option<Stopping>>,
    next_request: Cell<u64>,
    body_bytes: Cell<u64>,
    most_body_bytes: u64,
    timer_at: Cell<Option<Millis>>,
    timer_changed: Notify,
    /// Notified when a report cannot wait for the next poll.
    pub urgent: Notify,
    /// Notified when the other edges should hear at once what is under way here.
    pub shares_changed: Notify,
}

impl State {
    /// The state of a process that knows nothing yet.
    pub fn new(settings: &Settings, router: Router, pool: Pool, log: slog::Logger) -> Rc<State> {
        Rc::new(State {
            clock: Clock::start(),
            log,
            pool,
            router: RefCell::new(router),
            actions: RefCell::default(),
            mailboxes: RefCell::default(),
            view: RefCell::default(),
            stopping: Cell::new(None),
            next_request: Cell::new(1),
            body_bytes: Cell::new(0),
            most_body_bytes: (settings.limits.memory_mb << 20) / BODY_MEMORY_PART,
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
            urgent: Notify::new(),
            shares_changed: Notify::new(),
        })
    }

    /// The configuration in force; version 0 while none is known.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether the process should get new connections.
    pub fn is_ready(&self) -> bool {
        self.router.borrow().is_usable(self.clock.now())
    }

    /// Whether the process has been told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Whether a request that lasts `longest_ms` milliseconds at most is still taken.
    pub fn takes(&self, longest_ms: Millis) -> bool {
        self.stopping.get().is_none_or(|stopping| stopping.takes(self.clock.now(), longest_ms))
    }

    /// Puts a newer configuration in force.
    pub fn set_view(&self, view: Arc<View>) {
        *self.view.borrow_mut() = view.clone();
        self.handle(Event::View(view));
    }

    /// Begins the end of the process, which breaks off what is open after `within`: not ready, and nothing waits longer
    /// than it must.
    pub fn stop(&self, within: Duration) {
        if self.is_stopping() {
            return;
        }
        let begun_at = self.clock.now();
        let ends_at = begun_at.saturating_add(within.as_millis() as Millis);
        self.stopping.set(Some(Stopping { begun_at, ends_at }));
        self.handle(Event::ShutdownRequested);
    }

    /// Tells the router what has happened, and hands its actions on.
    pub fn handle(&self, event: Event) {
        let mut actions = self.actions.take();
        let next_wake = {
            let mut router = self.router.borrow_mut();
            router.handle(self.clock.now(), event, &mut actions);
            if router.has_urgent_report() {
                self.urgent.notify_one();
            }
            if router.has_urgent_load_update() {
                self.shares_changed.notify_one();
            }
            router.next_wake()
        };
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions.replace(actions);
        self.arm(next_wake);
    }

    /// Lets something be asked of the router that is no event.
    pub fn with_router<T>(&self, ask: impl FnOnce(&mut Router) -> T) -> T {
        ask(&mut self.router.borrow_mut())
    }

    /// Sends `Event::Tick` whenever the router wants it; never returns.
    pub async fn keep_time(&self) {
        loop {
            let Some(at) = self.timer_at.get() else {
                self.timer_changed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(at)) => self.handle_due(at),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Takes room for a request's body; `None` where the bodies held take all the room that there is.
    pub fn reserve_body(self: &Rc<Self>, bytes: u64) -> Option<BodyRoom> {
        let taken = self.body_bytes.get().checked_add(bytes)?;
        if taken > self.most_body_bytes {
            return None;
        }
        self.body_bytes.set(taken);
        Some(BodyRoom { state: self.clone(), bytes })
    }

    /// Opens a request; its name is given by `id`.
    pub fn open(self: &Rc<Self>, id: RequestId, request: NewRequest) -> Ticket {
        self.mailboxes.borrow_mut().insert(id, Mailbox::default());
        let ticket = Ticket { state: self.clone(), id };
        self.handle(Event::Request(request));
        ticket
    }

    /// A name for a new request.
    pub fn name_request(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id.wrapping_add(1));
        RequestId(id)
    }

    fn handle_due(&self, at: Millis) {
        self.timer_at.set(None);
        let next_wake = self.router.borrow().next_wake();
        match next_wake {
            Some(next) if next > at.max(self.clock.now()) => self.arm(Some(next)),
            Some(_) => self.handle(Event::Tick),
            None => {}
        }
    }

    /// Sets the timer where it would fire too late; one that fires early costs less than one that is moved often.
    fn arm(&self, next_wake: Option<Millis>) {
        let Some(next) = next_wake else { return };
        if self.timer_at.get().is_none_or(|armed| next < armed) {
            self.timer_at.set(Some(next));
            self.timer_changed.notify_one();
        }
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Send {
                request,
                attempt,
                server,
                address,
                service: _,
                deadline_ms,
                priority,
                resume_after,
            } => {
                let order = SendOrder { attempt, server, address, deadline_ms, priority, resume_after };
                self.tell(request, Command::Send(order));
            }
            Action::ForwardFailure(request) => self.tell(request, Command::ForwardFailure),
            Action::Reject { request, rejection: refusal } => self.tell(request, Command::Refuse(refusal)),
            Action::AbortResponse(request) => self.tell(request, Command::AbortResponse),
            Action::Cancel(request, attempt) => self.tell(request, Command::Cancel(attempt)),
            Action::CloseConnections(server) => self.pool.forget(&server),
        }
    }

    fn tell(&self, request: RequestId, command: Command) {
        let mut mailboxes = self.mailboxes.borrow_mut();
        let Some(mailbox) = mailboxes.get_mut(&request) else { return };
        if mailbox.commands.len() >= MOST_COMMANDS {
            mailbox.commands.pop_front();
        }
        mailbox.commands.push_back(command);
        if let Some(waker) = mailbox.waker.take() {
            waker.wake();
        }
    }
}

/// An open request: the end of the way that its commands take. Dropped when the request is over, whether its
/// client has its answer or has gone.
pub struct Ticket {
    state: Rc<State>,
    /// The request's name.
    pub id: RequestId,
}

impl Ticket {
    /// The shared state.
    pub fn state(&self) -> &Rc<State> {
        &self.state
    }

    /// Waits for the next command.
    pub async fn command(&self) -> Command {
        poll_fn(|context| {
            let mut mailboxes = self.state.mailboxes.borrow_mut();
            let mailbox = mailboxes.entry(self.id).or_default();
            if let Some(command) = mailbox.commands.pop_front() {
                return Poll::Ready(command);
            }
            if !mailbox.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
                mailbox.waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.state.mailboxes.borrow_mut().remove(&self.id);
        self.state.handle(Event::Finished(self.id));
    }
}

/// Room that a request's body takes; given back when dropped.
pub struct BodyRoom {
    state: Rc<State>,
    bytes: u64,
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let taken = self.state.body_bytes.get();
        self.state.body_bytes.set(taken.saturating_sub(self.bytes));
    }
}
