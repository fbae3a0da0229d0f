//! A coordinator's process: the production core, with its actions carried out as the driver does.

use std::collections::BTreeMap;

use shaletrail_coordinator::core::Coordinator as CoordinatorCore;
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event, OrderId, OrderOutcome};
use shaletrail_protocol::external::{Heartbeat, Order, ServerReport, MAX_HEARTBEAT_BYTES};
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{EdgeRequest, PollRequest};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};
use shaletrail_storage::StorageError;

use crate::disk::{DiskReport, MachineDisk, Writer};
use crate::message::{decode, Answer, Call, CallNumber, Message};
use crate::site::server_node;
use crate::world::{Timer, World};

/// Where the clock that events carry begins, as in the driver.
const CLOCK_START: Millis = 1_000_000;
/// How often the core is told that time has passed, as in the driver.
const TICK: Millis = 50;
/// How long a connection for an order may take to come up, as in the driver.
const CONNECT_TIME: Millis = 400;
/// Within which a server answers an order, as in the driver.
const ANSWER_TIME: Millis = 1_500;
/// The time that a connection takes to come up.
const ROUND_TRIP: std::ops::RangeInclusive<Millis> = 1..=6;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
struct Caller {
    node: NodeId,
    number: CallNumber,
}

/// An order on its way.
#[derive(Clone, Debug)]
struct OrderUnderWay {
    server: ServerId,
    address: NodeId,
    body: Order,
    /// Named once it has been sent.
    number: Option<CallNumber>,
}

/// Where a process ends in the middle of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Between two actions of the core, after this many more of them.
    Action(u32),
    /// Between a write that is safe on the disk and the core's hearing of it, after this many more writes.
    Stored(u32),
}

/// A coordinator's process.
pub struct Coordinator {
    node: NodeId,
    core: CoordinatorCore,
    started: Millis,
    writer: Writer,
    replies: BTreeMap<CallId, Caller>,
    next_call: u64,
    orders: BTreeMap<OrderId, OrderUnderWay>,
    reports: BTreeMap<CallNumber, ServerId>,
    crash_point: Option<CrashPoint>,
    crashed: bool,
}

impl Coordinator {
    /// Starts a process with what its disk holds.
    ///
    /// # Errors
    /// The disk refuses: try again later.
    pub fn start(settings: &Settings, world: &mut World, disk: &MachineDisk) -> Result<Self, StorageError> {
        let (writer, stored) = disk.open()?;
        let incarnation = Incarnation(world.between(1..=u64::MAX));
        let options = CoordinatorOptions::from_settings(settings, incarnation);
        let wants_checkpoint = writer.wants_checkpoint();
        let mut coordinator = Coordinator {
            node: settings.node(),
            core: CoordinatorCore::new(options, stored, CLOCK_START),
            started: world.now,
            writer,
            replies: BTreeMap::new(),
            next_call: 0,
            orders: BTreeMap::new(),
            reports: BTreeMap::new(),
            crash_point: None,
            crashed: false,
        };
        coordinator.tell(world, disk, Event::Persisted { ticket: 0, wants_checkpoint });
        world.wake(coordinator.node, world.now, Timer::Tick);
        Ok(coordinator)
    }

    /// The decisions, for tests that look for the cause of what was seen.
    pub fn core(&self) -> &CoordinatorCore {
        &self.core
    }

    /// Whether the connection of an order is coming up, over which nothing was written yet.
    pub fn has_unsent_orders(&self) -> bool {
        self.orders.values().any(|under_way| under_way.number.is_none())
    }

    /// Has the process end in the middle of its work.
    pub fn crash_at(&mut self, point: CrashPoint) {
        self.crash_point = Some(point);
    }

    /// Whether it has come to the point at which it ends: it does nothing any more.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// The process is told to end: everybody who waits is told to ask elsewhere.
    pub fn stop(&mut self, world: &mut World, disk: &MachineDisk) {
        self.tell(world, disk, Event::ShutdownRequested);
        self.refuse_all(world);
    }

    fn refuse_all(&mut self, world: &mut World) {
        for (_, caller) in std::mem::take(&mut self.replies) {
            let refused = Message::Refused { number: caller.number, accepted: true };
            world.send(self.node, caller.node, refused);
        }
    }

    /// The process ends: its connections are reset, and the disk keeps what it has.
    pub fn kill(mut self, world: &mut World, disk: &MachineDisk) {
        self.refuse_all(world);
        self.writer.abandon(disk, &mut world.random);
    }

    /// The machine loses power.
    pub fn lose_power(self, world: &mut World, disk: &MachineDisk) {
        self.writer.lose_power(disk, &mut world.random);
    }

    /// Something has come over a link.
    pub fn receive(&mut self, world: &mut World, disk: &MachineDisk, from: NodeId, message: Message) {
        match message {
            Message::Core(bytes) => {
                let message = decode(&bytes);
                self.tell(world, disk, Event::Message { from, message });
            }
            Message::EdgeReport { edge, frame } => match decode(&frame) {
                EdgeRequest::Report { demand } => {
                    self.tell(world, disk, Event::EdgeReport { edge: edge.node, demand })
                }
                EdgeRequest::ShutdownNotice => self.tell(world, disk, Event::EdgeDisconnected(edge.node)),
                EdgeRequest::Poll(_) => {}
            },
            Message::Call { number, call } => {
                self.take_call(world, disk, Caller { node: from, number }, call)
            }
            Message::Closed { number } => self.close(world, disk, number),
            Message::Answer { number, answer } => self.take_answer(world, disk, number, &answer),
            Message::Refused { number, accepted } => self.refused(world, disk, number, accepted),
            // Between edges only.
            Message::Loads(_) => {}
        }
    }

    /// It has been woken.
    pub fn wake(&mut self, world: &mut World, disk: &MachineDisk, timer: Timer) {
        match timer {
            Timer::Tick => {
                world.wake(self.node, world.now + TICK, Timer::Tick);
                self.tell(world, disk, Event::Tick);
                if self.writer.is_late(world.now) {
                    self.tell(world, disk, Event::DiskDegraded { wants_checkpoint: false });
                }
            }
            Timer::Disk => self.disk_worked(world, disk),
            Timer::OrderConnected(order) => self.send_order(world, disk, order),
            Timer::OrderLate(order) => self.end_order(world, disk, order, OrderOutcome::Unknown),
            Timer::ReportLate(number) => {
                if let Some(server) = self.reports.remove(&number) {
                    self.tell(world, disk, Event::ReportReceived { server, report: None });
                }
            }
            _ => {}
        }
    }

    fn clock(&self, world: &World) -> Millis {
        CLOCK_START + world.now.saturating_sub(self.started)
    }

    fn tell(&mut self, world: &mut World, disk: &MachineDisk, event: Event) {
        if self.crashed {
            return;
        }
        let now = self.clock(world);
        let mut actions = Vec::new();
        self.core.handle(now, event, &mut actions);
        for action in actions {
            if self.comes_to_action() {
                return;
            }
            self.carry_out(world, disk, action);
        }
    }

    /// Counts an action; whether the process ends before it.
    fn comes_to_action(&mut self) -> bool {
        if let Some(CrashPoint::Action(left)) = &mut self.crash_point {
            self.crashed = *left == 0;
            *left = left.saturating_sub(1);
        }
        self.crashed
    }

    /// Counts a write that is safe; whether the process ends before the core hears of it.
    fn comes_to_stored(&mut self) -> bool {
        if let Some(CrashPoint::Stored(left)) = &mut self.crash_point {
            self.crashed = *left == 0;
            *left = left.saturating_sub(1);
        }
        self.crashed
    }

    fn carry_out(&mut self, world: &mut World, disk: &MachineDisk, action: Action) {
        match action {
            Action::Send { to, message } => {
                assert_ne!(to, self.node, "a coordinator sends itself {message:?}");
                world.send(self.node, to, Message::Core(frame::encode(&message)));
            }
            Action::Persist { ticket, records } => {
                let done = self.writer.append(world.now, disk, ticket, records, &mut world.random);
                self.wake_for_disk(world, done);
            }
            Action::Checkpoint { live } => {
                let done = self.writer.checkpoint(world.now, disk, live, &mut world.random);
                self.wake_for_disk(world, done);
            }
            Action::RespondToServer { call, accepted: taken } => {
                self.answer(world, call, Answer::Server(taken))
            }
            Action::RespondToOperator { call, response: answer } => {
                self.answer(world, call, Answer::Operator(answer))
            }
            Action::RespondToPoll { call, response: reply } => {
                self.answer(world, call, Answer::Poll(frame::encode(&*reply)));
            }
            Action::SendOrder { order, server, address, body } => {
                self.begin_order(world, order, server, &address, body);
            }
            Action::FetchReport { server, address } => self.ask_report(world, server, &address),
            Action::LogStateChange(note) => world.witness.note(world.now, self.node, note),
        }
    }

    fn wake_for_disk(&self, world: &mut World, done: Option<Millis>) {
        if let Some(done) = done {
            world.wake(self.node, done, Timer::Disk);
        }
    }

    fn disk_worked(&mut self, world: &mut World, disk: &MachineDisk) {
        let (reports, again) = self.writer.work(world.now, disk, &mut world.random);
        self.wake_for_disk(world, again);
        for report in reports {
            let event = match report {
                DiskReport::Done { .. } if self.comes_to_stored() => return,
                DiskReport::Done { ticket, wants_checkpoint } => {
                    Event::Persisted { ticket, wants_checkpoint }
                }
                DiskReport::Failed { wants_checkpoint } => Event::DiskDegraded { wants_checkpoint },
            };
            self.tell(world, disk, event);
        }
    }

    // ---- Calls that come in ----------------------------------------------------------------------------

    fn take_call(&mut self, world: &mut World, disk: &MachineDisk, caller: Caller, call: Call) {
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
        self.replies.insert(id, caller);
        self.tell(world, disk, event);
    }

    fn answer(&mut self, world: &mut World, call: CallId, answer: Answer) {
        if let Some(caller) = self.replies.remove(&call) {
            world.send(self.node, caller.node, Message::Answer { number: caller.number, answer });
        }
    }

    fn close(&mut self, world: &mut World, disk: &MachineDisk, number: CallNumber) {
        let call = self.replies.iter().find(|(_, caller)| caller.number == number).map(|(call, _)| *call);
        if let Some(call) = call {
            self.replies.remove(&call);
            self.tell(world, disk, Event::PollCancelled(call));
        }
    }

    // ---- Orders and reports ----------------------------------------------------------------------------

    fn begin_order(
        &mut self,
        world: &mut World,
        order: OrderId,
        server: ServerId,
        address: &str,
        body: Order,
    ) {
        let address = server_node(address);
        let up = world.network.can_connect(self.node, address);
        let takes = if up { world.between(ROUND_TRIP) } else { CONNECT_TIME };
        self.orders.insert(order, OrderUnderWay { server, address, body, number: None });
        world.wake(self.node, world.now + takes, Timer::OrderConnected(order));
    }

    fn send_order(&mut self, world: &mut World, disk: &MachineDisk, order: OrderId) {
        let now = self.clock(world);
        let Some(under_way) = self.orders.get_mut(&order) else { return };
        let up = world.network.can_connect(self.node, under_way.address);
        if !up || !self.core.may_write(now, order) {
            return self.end_order(world, disk, order, OrderOutcome::NotSent);
        }
        let number = world.number();
        under_way.number = Some(number);
        let body = sonic_rs::to_vec(&under_way.body).expect("an order is written");
        let call = Call::Order { expected: under_way.server.clone(), body };
        world.send(self.node, under_way.address, Message::Call { number, call });
        world.wake(self.node, world.now + ANSWER_TIME, Timer::OrderLate(order));
    }

    fn end_order(&mut self, world: &mut World, disk: &MachineDisk, order: OrderId, outcome: OrderOutcome) {
        if self.orders.remove(&order).is_some() {
            self.tell(world, disk, Event::OrderCompleted { order, outcome });
        }
    }

    fn ask_report(&mut self, world: &mut World, server: ServerId, address: &str) {
        let number = world.number();
        self.reports.insert(number, server.clone());
        let call = Call::Report { expected: server };
        world.send(self.node, server_node(address), Message::Call { number, call });
        world.wake(self.node, world.now + ANSWER_TIME, Timer::ReportLate(number));
    }

    fn take_answer(&mut self, world: &mut World, disk: &MachineDisk, number: CallNumber, answer: &Answer) {
        match answer {
            Answer::Order(status) => {
                let order = self.order_of(number);
                if let Some(order) = order {
                    self.end_order(world, disk, order, order_outcome(*status));
                }
            }
            Answer::Report(body) => {
                if let Some(server) = self.reports.remove(&number) {
                    let report: Option<ServerReport> = sonic_rs::from_slice(body).ok();
                    self.tell(world, disk, Event::ReportReceived { server, report });
                }
            }
            _ => {}
        }
    }

    fn refused(&mut self, world: &mut World, disk: &MachineDisk, number: CallNumber, accepted: bool) {
        if let Some(order) = self.order_of(number) {
            let outcome = if accepted { OrderOutcome::Unknown } else { OrderOutcome::NotSent };
            self.end_order(world, disk, order, outcome);
        } else if let Some(server) = self.reports.remove(&number) {
            self.tell(world, disk, Event::ReportReceived { server, report: None });
        }
    }

    fn order_of(&self, number: CallNumber) -> Option<OrderId> {
        let mut orders = self.orders.iter();
        orders.find(|(_, under_way)| under_way.number == Some(number)).map(|(order, _)| *order)
    }
}

/// What the driver makes of a server's status.
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
