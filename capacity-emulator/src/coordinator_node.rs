//! A coordinator node: the production state machine and a journal, with counts of the resources they use.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::core::{directory_snapshot, Coordinator};
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event, NodeAttributes, OrderId};
use shaletrail_protocol::external::{Heartbeat, Order};
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{
    CoordinatorMessage, EdgeIdentity, EdgeRequest, OperatorCall, PollResponse,
};
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};
use shaletrail_storage::StoredRecord;

use crate::activity::Activity;
use crate::cpu_timer::CpuTimer;
use crate::deployment;
use crate::environment::{Environment, OPERATOR_RETRY_MS};
use crate::events::{CoordinatorEvent, EdgeEvent, ScheduledEvent, ServerEvent};
use crate::frames::decode;
use crate::journal::{size_of_records, Journal};
use crate::topology::{latency, region_of, zone_of};
use crate::usage::ResourceUsage;

/// Clock value at which a process starts, as in the production driver.
const CLOCK_START_MS: Millis = 1_000_000;
/// The interval between ticks of a coordinator, as in the production driver.
const TICK_INTERVAL_MS: Millis = 50;
/// The duration of a journal write, including its sync.
const SYNC_DURATION_MS: Millis = 2;
/// One-way trips until a server has received a request on a new connection: two to connect, one for the request.
const REQUEST_ONE_WAY_TRIPS: Millis = 3;
/// The duration of the order lease, as in the production settings.
const ORDER_LEASE_DURATION: Duration = Duration::from_secs(3);
/// How long responses are kept for retried calls, as in the production settings.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Spreads incarnation ids over all 64 bits: 2^64 divided by the golden ratio (Fibonacci hashing).
const INCARNATION_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The sender of a call that awaits a response.
#[derive(Clone, Copy, Debug)]
enum Caller {
    /// An edge that polls.
    Edge { edge: usize, incarnation: u64, poll: u64 },
    /// A server that sent a heartbeat.
    Server,
    /// The operator that sent a change.
    Operator,
}

/// A machine that runs a coordinator process.
pub struct CoordinatorNode {
    index: usize,
    coordinator: Option<Coordinator>,
    incarnation: u64,
    started_at: Millis,
    journal: Journal,
    pending_calls: HashMap<CallId, Caller>,
    next_call_id: u64,
    /// Resources used since the counts were last reset.
    pub usage: ResourceUsage,
    /// The highest number of polls that were pending at the same time.
    pub max_pending_polls: usize,
}

impl CoordinatorNode {
    /// A machine with an empty disk, on which the process is not running yet.
    pub fn new(index: usize) -> Self {
        CoordinatorNode {
            index,
            coordinator: None,
            incarnation: 0,
            started_at: 0,
            journal: Journal::default(),
            pending_calls: HashMap::new(),
            next_call_id: 0,
            usage: ResourceUsage::default(),
            max_pending_polls: 0,
        }
    }

    /// The production state machine; `None` while the process is not running.
    pub fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref()
    }

    /// Removes and returns the production state machine, so that its memory can be freed and measured.
    pub fn take_coordinator(&mut self) -> Option<Coordinator> {
        self.coordinator.take()
    }

    /// The size of the journal's synced records, in bytes.
    pub fn journal_bytes(&self) -> usize {
        self.journal.synced_bytes()
    }

    /// Starts the process and returns the CPU time spent on replaying the journal.
    pub fn start(&mut self, environment: &mut Environment, bootstrap: bool) -> Duration {
        self.incarnation = environment.start_coordinator(self.index);
        self.started_at = environment.scheduler.now;
        let options = self.options(environment, bootstrap);
        let stored = self.journal.synced().to_vec();
        let timer = CpuTimer::start();
        self.coordinator = Some(Coordinator::new(options, stored, CLOCK_START_MS));
        let replay_time = timer.elapsed();
        self.dispatch(
            environment,
            Activity::Persisted,
            Event::Persisted { ticket: 0, wants_checkpoint: false },
        );
        self.schedule_event(environment, 0, CoordinatorEvent::Tick);
        replay_time
    }

    fn options(&self, environment: &mut Environment, bootstrap: bool) -> CoordinatorOptions {
        let incarnation = Incarnation(environment.scheduler.next_id().wrapping_mul(INCARNATION_FACTOR) | 1);
        CoordinatorOptions {
            retry_window: RETRY_WINDOW,
            node: deployment::coordinator_node(self.index),
            node_name: format!("core-{}", self.index),
            incarnation,
            seeds: environment.seeds(),
            bootstrap,
            journal_was_erased: false,
            checkpoint_bytes: shaletrail_storage::Options::default().checkpoint_bytes(),
            attributes: node_attributes(self.index),
            fault_tolerance: environment.options.fault_tolerance,
            heartbeat_interval: Duration::from_millis(environment.options.heartbeat_ms),
            order_lease: ORDER_LEASE_DURATION,
            placement: shaletrail_placement::Options::default(),
            seed: incarnation.0,
        }
    }

    /// Kills the process: pending polls fail with a connection reset, and records that are not synced are lost.
    pub fn kill(&mut self, environment: &mut Environment) {
        self.coordinator = None;
        environment.stop_coordinator(self.index);
        self.journal.crash();
        for (_, caller) in self.pending_calls.drain() {
            match caller {
                Caller::Edge { edge, incarnation, poll } => {
                    let delay = latency(zone_of(self.index), zone_of(edge));
                    environment.scheduler.schedule_after(
                        delay,
                        ScheduledEvent::Edge(edge, incarnation, EdgeEvent::PollFailed(poll)),
                    );
                }
                Caller::Operator => {
                    environment.scheduler.schedule_after(OPERATOR_RETRY_MS, ScheduledEvent::OperatorChange)
                }
                Caller::Server => {}
            }
        }
    }

    /// Handles an event. Ignored while the process is not running.
    pub fn handle(&mut self, environment: &mut Environment, event: CoordinatorEvent) {
        if self.coordinator.is_none() {
            return;
        }
        match event {
            CoordinatorEvent::Tick => {
                self.schedule_event(environment, TICK_INTERVAL_MS, CoordinatorEvent::Tick);
                self.dispatch(environment, Activity::Tick, Event::Tick);
            }
            CoordinatorEvent::Synced(ticket) => self.on_synced(environment, ticket),
            CoordinatorEvent::CoordinatorFrame { from, frame } => {
                self.on_coordinator_frame(environment, from, &frame)
            }
            CoordinatorEvent::EdgeFrame { edge, poll, frame } => {
                self.on_edge_frame(environment, edge, poll, &frame)
            }
            CoordinatorEvent::PollCancelled(poll) => self.on_poll_cancelled(environment, poll),
            CoordinatorEvent::Heartbeat { server, id, body } => {
                self.on_heartbeat(environment, server, id, &body);
            }
            CoordinatorEvent::OperatorChange(body) => self.on_operator_change(environment, body),
            CoordinatorEvent::OrderCompleted(order, outcome) => {
                self.dispatch(environment, Activity::Order, Event::OrderCompleted { order, outcome });
            }
            CoordinatorEvent::ReportReceived(server, report) => {
                let report = report.map(|report| *report);
                self.dispatch(environment, Activity::ServerReport, Event::ReportReceived { server, report });
            }
        }
    }

    fn on_heartbeat(&mut self, environment: &mut Environment, server: usize, id: ServerId, body: &[u8]) {
        let crosses_zones = zone_of(server) != zone_of(self.index);
        self.usage.record_received(Activity::Heartbeat, body.len(), crosses_zones);
        let timer = CpuTimer::start();
        let heartbeat: Result<Heartbeat, _> = sonic_rs::from_slice(body);
        self.usage.record_cpu(Activity::Heartbeat, timer.elapsed());
        let Ok(heartbeat) = heartbeat else { return };
        let call = self.register_call(Caller::Server);
        self.dispatch(environment, Activity::Heartbeat, Event::Heartbeat { call, id, heartbeat });
    }

    fn on_operator_change(&mut self, environment: &mut Environment, body: Vec<u8>) {
        self.usage.record_received(Activity::OperatorCall, body.len(), true);
        let base_version = environment.acknowledged_version();
        let call = self.register_call(Caller::Operator);
        let request = OperatorCall::Change { replace: base_version == 0, base_version, body };
        self.dispatch(environment, Activity::OperatorCall, Event::OperatorCall { call, request });
    }

    fn schedule_event(&self, environment: &mut Environment, delay: Millis, event: CoordinatorEvent) {
        environment
            .scheduler
            .schedule_after(delay, ScheduledEvent::Coordinator(self.index, self.incarnation, event));
    }

    fn register_call(&mut self, caller: Caller) -> CallId {
        let call = CallId(self.next_call_id);
        self.next_call_id += 1;
        self.pending_calls.insert(call, caller);
        call
    }

    fn on_coordinator_frame(&mut self, environment: &mut Environment, from: usize, frame: &[u8]) {
        let timer = CpuTimer::start();
        let message = decode::<CoordinatorMessage>(frame);
        let cpu_time = timer.elapsed();
        let Some(message) = message else { return };
        let activity = Activity::of_coordinator_message(&message);
        self.usage.record_cpu(activity, cpu_time);
        self.usage.record_received(activity, frame.len(), zone_of(from) != zone_of(self.index));
        self.dispatch(
            environment,
            activity,
            Event::Message { from: deployment::coordinator_node(from), message },
        );
    }

    fn on_edge_frame(&mut self, environment: &mut Environment, edge: usize, poll: u64, frame: &[u8]) {
        let timer = CpuTimer::start();
        let request = decode::<EdgeRequest>(frame);
        let cpu_time = timer.elapsed();
        let Some(request) = request else { return };
        let activity = Activity::of_edge_request(&request);
        self.usage.record_cpu(activity, cpu_time);
        self.usage.record_received(activity, frame.len(), zone_of(edge) != zone_of(self.index));
        let node = deployment::edge_node(edge);
        match request {
            EdgeRequest::Poll(request) => {
                let call = self.register_call(Caller::Edge {
                    edge,
                    incarnation: environment.edge_incarnations[edge],
                    poll,
                });
                self.max_pending_polls = self.max_pending_polls.max(self.pending_polls());
                let edge = EdgeIdentity {
                    node,
                    incarnation: Incarnation(edge as u64),
                    zone: format!("zone-{}", zone_of(edge)),
                };
                self.dispatch(environment, activity, Event::Poll { call, edge, request });
            }
            EdgeRequest::Report { demand } => {
                self.dispatch(environment, activity, Event::EdgeReport { edge: node, demand });
            }
            EdgeRequest::ShutdownNotice => {
                self.dispatch(environment, activity, Event::EdgeDisconnected(node))
            }
        }
    }

    /// The number of polls that currently await a response from this coordinator.
    fn pending_polls(&self) -> usize {
        self.pending_calls.values().filter(|caller| matches!(caller, Caller::Edge { .. })).count()
    }

    fn on_poll_cancelled(&mut self, environment: &mut Environment, cancelled: u64) {
        let is_cancelled =
            |caller: &Caller| matches!(caller, Caller::Edge { poll, .. } if *poll == cancelled);
        let call = self.pending_calls.iter().find(|(_, caller)| is_cancelled(caller)).map(|(call, _)| *call);
        if let Some(call) = call {
            self.pending_calls.remove(&call);
            self.dispatch(environment, Activity::Poll, Event::PollCancelled(call));
        }
    }

    /// Passes an event to the production state machine, records the CPU time used, and executes the resulting actions.
    fn dispatch(&mut self, environment: &mut Environment, activity: Activity, event: Event) {
        let Some(coordinator) = &mut self.coordinator else { return };
        let now = CLOCK_START_MS + environment.scheduler.now - self.started_at;
        let mut actions = Vec::new();
        let timer = CpuTimer::start();
        coordinator.handle(now, event, &mut actions);
        self.usage.record_cpu(activity, timer.elapsed());
        for action in actions {
            self.execute(environment, now, action);
        }
    }

    fn execute(&mut self, environment: &mut Environment, now: Millis, action: Action) {
        match action {
            Action::Send { to, message } => self.send(environment, to, &message),
            Action::Persist { ticket, records } => {
                self.journal.append(ticket, stored(records));
                self.begin_write(environment);
            }
            Action::Checkpoint { live } => self.checkpoint(live),
            Action::RespondToServer { call, accepted } => {
                self.pending_calls.remove(&call);
                environment.rejected_heartbeats += u64::from(!accepted);
            }
            Action::RespondToOperator { call, response } => {
                self.pending_calls.remove(&call);
                environment.on_operator_response(&response);
            }
            Action::RespondToPoll { call, response } => self.respond_to_poll(environment, call, &response),
            Action::SendOrder { order, server, address, body } => {
                let may_write = |coordinator: &Coordinator| coordinator.may_write(now, order);
                if self.coordinator.as_ref().is_some_and(may_write) {
                    self.send_order(environment, order, server, &address, body);
                }
            }
            Action::FetchReport { server, address } => self.fetch_report(environment, server, &address),
            Action::LogStateChange(_) => {}
        }
    }

    fn respond_to_poll(&mut self, environment: &mut Environment, call: CallId, response: &PollResponse) {
        let Some(Caller::Edge { edge, incarnation, poll }) = self.pending_calls.remove(&call) else { return };
        let activity = Activity::of_poll_response(response);
        let timer = CpuTimer::start();
        let frame = frame::encode(response);
        self.usage.record_cpu(activity, timer.elapsed());
        let (here, there) = (zone_of(self.index), zone_of(edge));
        self.usage.record_sent(activity, frame.len(), here != there);
        let event = ScheduledEvent::Edge(edge, incarnation, EdgeEvent::PollResponse { poll, frame });
        environment.scheduler.schedule_after(latency(here, there), event);
    }

    fn send_order(
        &mut self,
        environment: &mut Environment,
        order: OrderId,
        expected: ServerId,
        address: &str,
        body: Order,
    ) {
        let Some(server) = deployment::server_at(address) else { return };
        let (here, there) = (zone_of(self.index), zone_of(server));
        let bytes = sonic_rs::to_vec(&body).map(|bytes| bytes.len()).unwrap_or_default();
        self.usage.record_sent(Activity::Order, bytes, here != there);
        let (coordinator, incarnation, body) = (self.index, self.incarnation, Box::new(body));
        let event = ServerEvent::Order { coordinator, incarnation, order, expected, body };
        let delay = REQUEST_ONE_WAY_TRIPS * latency(here, there);
        environment.scheduler.schedule_after(delay, ScheduledEvent::Server(server, event));
    }

    fn fetch_report(&mut self, environment: &mut Environment, expected: ServerId, address: &str) {
        let Some(server) = deployment::server_at(address) else { return };
        let (here, there) = (zone_of(self.index), zone_of(server));
        self.usage.record_sent(Activity::ServerReport, 0, here != there);
        let (coordinator, incarnation) = (self.index, self.incarnation);
        let event = ServerEvent::FetchReport { coordinator, incarnation, expected };
        let delay = REQUEST_ONE_WAY_TRIPS * latency(here, there);
        environment.scheduler.schedule_after(delay, ScheduledEvent::Server(server, event));
    }

    fn send(&mut self, environment: &mut Environment, to: NodeId, message: &CoordinatorMessage) {
        let index = deployment::index_of(to);
        let activity = Activity::of_coordinator_message(message);
        let timer = CpuTimer::start();
        let frame = frame::encode(message);
        self.usage.record_cpu(activity, timer.elapsed());
        let Some(incarnation) = environment.running_coordinator(index) else { return };
        let (here, there) = (zone_of(self.index), zone_of(index));
        self.usage.record_sent(activity, frame.len(), here != there);
        let event = CoordinatorEvent::CoordinatorFrame { from: self.index, frame: Rc::from(frame) };
        environment
            .scheduler
            .schedule_after(latency(here, there), ScheduledEvent::Coordinator(index, incarnation, event));
    }

    /// Starts a write of all pending records, unless a write is already in flight.
    fn begin_write(&mut self, environment: &mut Environment) {
        if let Some(ticket) = self.journal.begin_write() {
            self.schedule_event(environment, SYNC_DURATION_MS, CoordinatorEvent::Synced(ticket));
        }
    }

    fn on_synced(&mut self, environment: &mut Environment, ticket: u64) {
        let Some(records) = self.journal.complete_write(ticket) else { return };
        let of_directory = records.iter().filter(|record| record.stream == directory_snapshot::STREAM);
        let usage = &mut self.usage.journal;
        usage.syncs += 1;
        usage.records += records.len() as u64;
        usage.bytes += size_of_records(records) as u64;
        usage.directory_bytes += of_directory.map(|record| record.bytes.len() as u64).sum::<u64>();
        self.begin_write(environment);
        let wants_checkpoint = self.journal.wants_checkpoint();
        self.dispatch(environment, Activity::Persisted, Event::Persisted { ticket, wants_checkpoint });
    }

    fn checkpoint(&mut self, live: Vec<(u32, Vec<u8>)>) {
        self.journal.checkpoint(stored(live));
        self.usage.journal.checkpoints += 1;
        self.usage.journal.bytes += self.journal.synced_bytes() as u64;
    }
}

fn stored(records: Vec<(u32, Vec<u8>)>) -> Vec<StoredRecord> {
    records.into_iter().map(|(stream, bytes)| StoredRecord { stream, bytes }).collect()
}

/// The attributes of the coordinator with this index.
fn node_attributes(index: usize) -> NodeAttributes {
    let zone = zone_of(index);
    NodeAttributes::new(&format!("zone-{zone}"), &format!("region-{}", region_of(zone)), true)
}
