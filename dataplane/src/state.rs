//! State shared by the tasks of the process: the router, the current configuration, and resources used by
//! requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use shaletrail_configuration::ConfigView;
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::{Action, Event, RequestId};
use shaletrail_routing::Router;
use tokio::sync::Notify;

use crate::body_memory::BodyMemory;
use crate::clock::Clock;
use crate::command_queues::{Command, CommandQueues, SendCommand};
use crate::pool::{Pool, PoolLimits};
use crate::shutdown_window::ShutdownWindow;

/// Request bodies may use the process's memory limit divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The state shared by all tasks of an edge.
pub struct State {
    pub clock: Clock,
    pub log: slog::Logger,
    pub pool: Rc<Pool>,
    pub command_queues: CommandQueues,
    pub body_memory: Rc<BodyMemory>,
    /// Notified when the router has a report for the coordinator that cannot wait for the next poll.
    pub report_ready: Notify,
    /// Notified when a load report should be sent to the other edges at once.
    pub load_update_ready: Notify,
    router: RefCell<Router>,
    /// Buffer for the router's actions, kept to reuse its allocation.
    actions: RefCell<Vec<Action>>,
    /// The configuration in force.
    view: RefCell<Arc<ConfigView>>,
    shutdown_window: Cell<Option<ShutdownWindow>>,
    next_request: Cell<u64>,
    /// When the router's timer fires next.
    timer_at: Cell<Option<Millis>>,
    timer_changed: Notify,
}

impl State {
    /// Creates the state without a configuration, and starts the clock of the process.
    pub fn new(settings: &Settings, router: Router, limits: PoolLimits, log: slog::Logger) -> Rc<State> {
        let pool = Pool::new(limits);
        let clock = pool.clock();
        Rc::new(State {
            clock,
            log,
            pool,
            command_queues: CommandQueues::default(),
            body_memory: BodyMemory::new((settings.limits.memory_mb << 20) / BODY_MEMORY_DIVISOR),
            report_ready: Notify::new(),
            load_update_ready: Notify::new(),
            router: RefCell::new(router),
            actions: RefCell::default(),
            view: RefCell::default(),
            shutdown_window: Cell::new(None),
            next_request: Cell::new(1),
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
        })
    }

    /// The configuration in force. Its version is 0 until a configuration has been received.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.borrow().clone()
    }

    /// Whether the platform should send new connections to this process.
    pub fn is_ready(&self) -> bool {
        self.router.borrow().is_usable(self.clock.now())
    }

    /// Whether graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_window.get().is_some()
    }

    /// Whether to accept a request that takes at most `max_duration_ms` milliseconds; always true before
    /// shutdown.
    pub fn accepts(&self, max_duration_ms: Millis) -> bool {
        let window = self.shutdown_window.get();
        window.is_none_or(|window| window.accepts(self.clock.now(), max_duration_ms))
    }

    /// Replaces the configuration in force and informs the router.
    pub fn set_view(&self, view: Arc<ConfigView>) {
        *self.view.borrow_mut() = view.clone();
        self.handle(Event::ConfigurationUpdated(view));
    }

    /// Begins graceful shutdown: the process reports itself as unready, and the router rejects the queued
    /// requests that wait for more than a free slot at a server. Responses that are still in flight after
    /// `time_left` will be aborted.
    pub fn begin_shutdown(&self, time_left: Duration) {
        if self.is_shutting_down() {
            return;
        }
        let started_at = self.clock.now();
        let aborts_at = started_at.saturating_add(time_left.as_millis() as Millis);
        self.shutdown_window.set(Some(ShutdownWindow { started_at, aborts_at }));
        self.handle(Event::ShutdownRequested);
    }

    /// Passes an event to the router and dispatches the resulting actions.
    pub fn handle(&self, event: Event) {
        let mut actions = self.actions.take();
        let next_wake = {
            let mut router = self.router.borrow_mut();
            router.handle(self.clock.now(), event, &mut actions);
            if router.has_urgent_report() {
                self.report_ready.notify_one();
            }
            if router.has_urgent_load_update() {
                self.load_update_ready.notify_one();
            }
            router.next_wake()
        };
        for action in actions.drain(..) {
            self.dispatch(action);
        }
        self.actions.replace(actions);
        self.arm_timer(next_wake);
    }

    /// Gives access to the router for calls other than events.
    pub fn with_router<T>(&self, access: impl FnOnce(&mut Router) -> T) -> T {
        access(&mut self.router.borrow_mut())
    }

    /// Passes `Event::Tick` to the router whenever it is due; never returns.
    pub async fn run_timer(&self) {
        loop {
            let Some(at) = self.timer_at.get() else {
                self.timer_changed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(at)) => self.on_timer(at),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Allocates the id of a new request. Ids are consecutive and wrap around on overflow.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_request.get();
        self.next_request.set(id.wrapping_add(1));
        RequestId(id)
    }

    fn on_timer(&self, at: Millis) {
        self.timer_at.set(None);
        let next_wake = self.router.borrow().next_wake();
        match next_wake {
            Some(next) if next > at.max(self.clock.now()) => self.arm_timer(Some(next)),
            Some(_) => self.handle(Event::Tick),
            None => {}
        }
    }

    /// Moves the timer only if it would otherwise fire too late. Firing early costs less than moving it with
    /// each event.
    fn arm_timer(&self, next_wake: Option<Millis>) {
        let Some(next) = next_wake else { return };
        if self.timer_at.get().is_none_or(|armed| next < armed) {
            self.timer_at.set(Some(next));
            self.timer_changed.notify_one();
        }
    }

    fn dispatch(&self, action: Action) {
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
                let command = SendCommand { attempt, server, address, deadline_ms, priority, resume_after };
                self.command_queues.push(request, Command::Send(command));
            }
            Action::ForwardFailure(request) => self.command_queues.push(request, Command::ForwardFailure),
            Action::Reject { request, rejection } => {
                self.command_queues.push(request, Command::Reject(rejection))
            }
            Action::AbortResponse(request) => self.command_queues.push(request, Command::AbortResponse),
            Action::Cancel(request, attempt) => self.command_queues.push(request, Command::Cancel(attempt)),
            Action::CloseConnections(server) => self.pool.close_all(&server),
        }
    }
}
