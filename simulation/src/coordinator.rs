//! A coordinator's simulated process: the production core, whose actions are executed as the driver does.

use std::collections::BTreeMap;

use shaletrail_coordinator::core::Coordinator as CoordinatorCore;
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event, OrderId, OrderOutcome};
use shaletrail_protocol::external::{Heartbeat, Order, ServerReport, MAX_HEARTBEAT_BYTES};
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{EdgeRequest, PollRequest};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};
use shaletrail_storage::StorageError;

use crate::disk::{DiskReport, JournalWriter, MachineDisk, OpenedDisk};
use crate::fixtures::server_node;
use crate::message::{decode, Call, CallNumber, Message, Response};
use crate::world::{Timer, World};

/// Start of the clock that events carry, as in the driver, in milliseconds.
const CLOCK_START: Millis = 1_000_000;
/// Interval of the core's ticks, as in the driver, in milliseconds.
const TICK_INTERVAL: Millis = 50;
/// Time-out of a connection for an order, as in the driver, in milliseconds.
const ORDER_CONNECT_TIMEOUT: Millis = 400;
/// Time-out of a server's response, as in the driver, in milliseconds.
const RESPONSE_TIMEOUT: Millis = 1_500;
/// Time to establish a connection, in milliseconds.
const CONNECT_LATENCY: std::ops::RangeInclusive<Millis> = 1..=6;

/// The caller that waits for a response.
#[derive(Clone, Copy, Debug)]
struct Caller {
    node: NodeId,
    number: CallNumber,
}

/// An order in flight to a server.
#[derive(Clone, Debug)]
struct InFlightOrder {
    server: ServerId,
    address: NodeId,
    body: Order,
    /// The call that carries it; `None` until the connection is up.
    number: Option<CallNumber>,
}

/// Where a process crashes in the middle of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Between two actions of the core, after this many more actions.
    BeforeAction(u32),
    /// Between the sync of a write and the event that reports it to the core, after this many more writes.
    AfterPersist(u32),
}

/// A coordinator's simulated process: the production state machine, its journal and its calls in flight.
pub struct CoordinatorProcess {
    node: NodeId,
    core: CoordinatorCore,
    started: Millis,
    writer: JournalWriter,
    callers: BTreeMap<CallId, Caller>,
    next_call: u64,
    orders: BTreeMap<OrderId, InFlightOrder>,
    reports: BTreeMap<CallNumber, ServerId>,
    shutdown_requested_at: Option<Millis>,
    crash_point: Option<CrashPoint>,
    crashed: bool,
}

impl CoordinatorProcess {
    /// Starts a process from the journal on its disk.
    ///
    /// # Errors
    /// The journal can't be opened at present; a later attempt may succeed.
    pub fn start(settings: &Settings, world: &mut World, disk: &MachineDisk) -> Result<Self, StorageError> {
        let OpenedDisk { writer, stored, was_erased } = disk.open()?;
        let incarnation = Incarnation(world.random_range(1..=u64::MAX));
        let options = CoordinatorOptions {
            journal_was_erased: was_erased,
            ..CoordinatorOptions::from_settings(settings, incarnation)
        };
        let wants_checkpoint = writer.wants_checkpoint();
        let mut coordinator = CoordinatorProcess {
            node: settings.node(),
            core: CoordinatorCore::new(options, stored, CLOCK_START),
            started: world.now,
            writer,
            callers: BTreeMap::new(),
            next_call: 0,
            orders: BTreeMap::new(),
            reports: BTreeMap::new(),
            shutdown_requested_at: None,
            crash_point: None,
            crashed: false,
        };
        coordinator.handle_event(world, disk, Event::Persisted { ticket: 0, wants_checkpoint });
        world.wake(coordinator.node, world.now, Timer::Tick);
        Ok(coordinator)
    }

    /// The production state machine, for tests that look for the cause of an observation.
    pub fn core(&self) -> &CoordinatorCore {
        &self.core
    }

    /// Whether an order waits for its connection, over which nothing was written yet.
    pub fn has_unsent_orders(&self) -> bool {
        self.orders.values().any(|in_flight| in_flight.number.is_none())
    }

    /// Sets the point of its work at which the process crashes.
    pub fn set_crash_point(&mut self, point: CrashPoint) {
        self.crash_point = Some(point);
    }

    /// Whether the process has reached its crash point; it handles nothing any more.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Begins a graceful shutdown (SIGTERM): all callers that wait are failed.
    pub fn stop(&mut self, world: &mut World, disk: &MachineDisk) {
        self.shutdown_requested_at = Some(world.now);
        self.handle_event(world, disk, Event::ShutdownRequested);
        self.fail_callers(world);
    }

    /// Whether the process may end that was told to.
    pub fn may_end(&self, world: &World) -> bool {
        self.shutdown_requested_at.is_none_or(|at| self.core.may_exit(world.now.saturating_sub(at)))
    }

    fn fail_callers(&mut self, world: &mut World) {
        for (_, caller) in std::mem::take(&mut self.callers) {
            let connection_failed = Message::ConnectionFailed { number: caller.number, accepted: true };
            world.send(self.node, caller.node, connection_failed);
        }
    }

    /// Ends the process abruptly: its connections are reset, and its disk keeps what was synced.
    pub fn kill(mut self, world: &mut World, disk: &MachineDisk) {
        self.fail_callers(world);
        self.writer.abandon(disk, &mut world.rng);
    }

    /// Cuts the power: unsynced records may be lost.
    pub fn lose_power(self, world: &mut World, disk: &MachineDisk) {
        self.writer.lose_power(disk, &mut world.rng);
    }

    /// Handles a message from the network.
    pub fn receive(&mut self, world: &mut World, disk: &MachineDisk, from: NodeId, message: Message) {
        match message {
            Message::Coordinator(bytes) => {
                let message = decode(&bytes);
                self.handle_event(world, disk, Event::Message { from, message });
            }
            Message::EdgeReport { edge, frame } => match decode(&frame) {
                EdgeRequest::Report { demand } => {
                    self.handle_event(world, disk, Event::EdgeReport { edge: edge.node, demand })
                }
                EdgeRequest::ShutdownNotice => {
                    self.handle_event(world, disk, Event::EdgeDisconnected(edge.node))
                }
                EdgeRequest::Poll(_) => {}
            },
            Message::Call { number, call } => {
                self.handle_call(world, disk, Caller { node: from, number }, call)
            }
            Message::Cancelled { number } => self.cancel_call(world, disk, number),
            Message::Response { number, response } => self.handle_response(world, disk, number, &response),
            Message::ConnectionFailed { number, accepted } => {
                self.connection_failed(world, disk, number, accepted)
            }
            // Edges exchange these among themselves only.
            Message::LoadReport(_) => {}
        }
    }

    /// Handles a timer that has expired.
    pub fn wake(&mut self, world: &mut World, disk: &MachineDisk, timer: Timer) {
        match timer {
            Timer::Tick => {
                world.wake(self.node, world.now + TICK_INTERVAL, Timer::Tick);
                self.handle_event(world, disk, Event::Tick);
                if self.writer.is_degraded(world.now) {
                    self.handle_event(world, disk, Event::DiskDegraded { wants_checkpoint: false });
                }
            }
            Timer::DiskIo => self.complete_disk_io(world, disk),
            Timer::OrderConnected(order) => self.send_order(world, disk, order),
            Timer::OrderTimeout(order) => self.complete_order(world, disk, order, OrderOutcome::Unknown),
            Timer::ReportTimeout(number) => {
                if let Some(server) = self.reports.remove(&number) {
                    self.handle_event(world, disk, Event::ReportReceived { server, report: None });
                }
            }
            _ => {}
        }
    }

    fn clock(&self, world: &World) -> Millis {
        CLOCK_START + world.now.saturating_sub(self.started)
    }

    fn handle_event(&mut self, world: &mut World, disk: &MachineDisk, event: Event) {
        if self.crashed {
            return;
        }
        let now = self.clock(world);
        let mut actions = Vec::new();
        self.core.handle(now, event, &mut actions);
        for action in actions {
            if self.reaches_action_crash() {
                return;
            }
            self.execute(world, disk, action);
        }
    }

    /// Counts an action; whether the process crashes before executing it.
    fn reaches_action_crash(&mut self) -> bool {
        if let Some(CrashPoint::BeforeAction(left)) = &mut self.crash_point {
            self.crashed = *left == 0;
            *left = left.saturating_sub(1);
        }
        self.crashed
    }

    /// Counts a synced write; whether the process crashes before the core learns of it.
    fn reaches_persist_crash(&mut self) -> bool {
        if let Some(CrashPoint::AfterPersist(left)) = &mut self.crash_point {
            self.crashed = *left == 0;
            *left = left.saturating_sub(1);
        }
        self.crashed
    }

    fn execute(&mut self, world: &mut World, disk: &MachineDisk, action: Action) {
        match action {
            Action::Send { to, message } => {
                assert_ne!(to, self.node, "a coordinator sends itself {message:?}");
                world.send(self.node, to, Message::Coordinator(frame::encode(&message)));
            }
            Action::Persist { ticket, records } => {
                let done = self.writer.append(world.now, disk, ticket, records, &mut world.rng);
                self.wake_for_disk(world, done);
            }
            Action::Checkpoint { live } => {
                let done = self.writer.checkpoint(world.now, disk, live, &mut world.rng);
                self.wake_for_disk(world, done);
            }
            Action::RespondToServer { call, accepted: taken } => {
                self.respond(world, call, Response::Server(taken))
            }
            Action::RespondToOperator { call, response } => {
                self.respond(world, call, Response::Operator(response))
            }
            Action::RespondToPoll { call, response: reply } => {
                self.respond(world, call, Response::Poll(frame::encode(&*reply)));
            }
            Action::SendOrder { order, server, address, body } => {
                self.start_order(world, order, server, &address, body);
            }
            Action::FetchReport { server, address } => self.fetch_report(world, server, &address),
            Action::LogStateChange(note) => world.observer.state_changed(world.now, self.node, note),
        }
    }

    fn wake_for_disk(&self, world: &mut World, done: Option<Millis>) {
        if let Some(done) = done {
            world.wake(self.node, done, Timer::DiskIo);
        }
    }

    fn complete_disk_io(&mut self, world: &mut World, disk: &MachineDisk) {
        let (reports, again) = self.writer.complete_io(world.now, disk, &mut world.rng);
        self.wake_for_disk(world, again);
        for report in reports {
            let event = match report {
                DiskReport::Done { .. } if self.reaches_persist_crash() => return,
                DiskReport::Done { ticket, wants_checkpoint } => {
                    Event::Persisted { ticket, wants_checkpoint }
                }
                DiskReport::Failed { wants_checkpoint } => Event::DiskDegraded { wants_checkpoint },
            };
            self.handle_event(world, disk, event);
        }
    }

    // ---- Calls that come in ----------------------------------------------------------------------------

    fn handle_call(&mut self, world: &mut World, disk: &MachineDisk, caller: Caller, call: Call) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let event = match call {
            Call::Poll { edge, frame } => {
                let EdgeRequest::Poll(request) = decode(&frame) else { return };
                let request: PollRequest = request;
                Event::Poll { call: id, edge, request }
            }
            Call::Heartbeat { id: server, body } => {
                assert!(body.len() <= MAX_HEARTBEAT_BYTES, "the model server says too much");
                let heartbeat: Heartbeat = sonic_rs::from_slice(&body).expect("a heartbeat is read");
                Event::Heartbeat { call: id, id: server, heartbeat }
            }
            Call::Deregister { id: server } => Event::Deregister { call: id, id: server },
            Call::Operator(operator) => Event::OperatorCall { call: id, request: operator },
            Call::Order { .. } | Call::Report { .. } | Call::Request(_) => return,
        };
        self.callers.insert(id, caller);
        self.handle_event(world, disk, event);
    }

    fn respond(&mut self, world: &mut World, call: CallId, response: Response) {
        if let Some(caller) = self.callers.remove(&call) {
            world.send(self.node, caller.node, Message::Response { number: caller.number, response });
        }
    }

    fn cancel_call(&mut self, world: &mut World, disk: &MachineDisk, number: CallNumber) {
        let call = self.callers.iter().find(|(_, caller)| caller.number == number).map(|(call, _)| *call);
        if let Some(call) = call {
            self.callers.remove(&call);
            self.handle_event(world, disk, Event::PollCancelled(call));
        }
    }

    // ---- Orders and reports ----------------------------------------------------------------------------

    fn start_order(
        &mut self,
        world: &mut World,
        order: OrderId,
        server: ServerId,
        address: &str,
        body: Order,
    ) {
        let address = server_node(address);
        let up = world.network.can_connect(self.node, address);
        let takes = if up { world.random_range(CONNECT_LATENCY) } else { ORDER_CONNECT_TIMEOUT };
        self.orders.insert(order, InFlightOrder { server, address, body, number: None });
        world.wake(self.node, world.now + takes, Timer::OrderConnected(order));
    }

    fn send_order(&mut self, world: &mut World, disk: &MachineDisk, order: OrderId) {
        let now = self.clock(world);
        let Some(in_flight) = self.orders.get_mut(&order) else { return };
        let up = world.network.can_connect(self.node, in_flight.address);
        if !up || !self.core.may_write(now, order) {
            return self.complete_order(world, disk, order, OrderOutcome::NotSent);
        }
        let number = world.next_id();
        in_flight.number = Some(number);
        let body = sonic_rs::to_vec(&in_flight.body).expect("an order is written");
        let call = Call::Order { expected: in_flight.server.clone(), body };
        world.send(self.node, in_flight.address, Message::Call { number, call });
        world.wake(self.node, world.now + RESPONSE_TIMEOUT, Timer::OrderTimeout(order));
    }

    fn complete_order(
        &mut self,
        world: &mut World,
        disk: &MachineDisk,
        order: OrderId,
        outcome: OrderOutcome,
    ) {
        if self.orders.remove(&order).is_some() {
            self.handle_event(world, disk, Event::OrderCompleted { order, outcome });
        }
    }

    fn fetch_report(&mut self, world: &mut World, server: ServerId, address: &str) {
        let number = world.next_id();
        self.reports.insert(number, server.clone());
        let call = Call::Report { expected: server };
        world.send(self.node, server_node(address), Message::Call { number, call });
        world.wake(self.node, world.now + RESPONSE_TIMEOUT, Timer::ReportTimeout(number));
    }

    fn handle_response(
        &mut self,
        world: &mut World,
        disk: &MachineDisk,
        number: CallNumber,
        response: &Response,
    ) {
        match response {
            Response::Order(status) => {
                let order = self.order_of_call(number);
                if let Some(order) = order {
                    self.complete_order(world, disk, order, order_outcome(*status));
                }
            }
            Response::Report(body) => {
                if let Some(server) = self.reports.remove(&number) {
                    let report: Option<ServerReport> = sonic_rs::from_slice(body).ok();
                    self.handle_event(world, disk, Event::ReportReceived { server, report });
                }
            }
            _ => {}
        }
    }

    fn connection_failed(
        &mut self,
        world: &mut World,
        disk: &MachineDisk,
        number: CallNumber,
        accepted: bool,
    ) {
        if let Some(order) = self.order_of_call(number) {
            let outcome = if accepted { OrderOutcome::Unknown } else { OrderOutcome::NotSent };
            self.complete_order(world, disk, order, outcome);
        } else if let Some(server) = self.reports.remove(&number) {
            self.handle_event(world, disk, Event::ReportReceived { server, report: None });
        }
    }

    fn order_of_call(&self, number: CallNumber) -> Option<OrderId> {
        let mut orders = self.orders.iter();
        orders.find(|(_, in_flight)| in_flight.number == Some(number)).map(|(order, _)| *order)
    }
}

/// Maps a server's status to an outcome, as the driver does.
fn order_outcome(status: u16) -> OrderOutcome {
    match status {
        202 => OrderOutcome::Accepted,
        200 => OrderOutcome::AlreadyDone,
        409 => OrderOutcome::Busy,
        412 => OrderOutcome::Fenced,
        400 => OrderOutcome::Rejected,
        421 => OrderOutcome::WrongInstance,
        _ => OrderOutcome::Unknown,
    }
}
