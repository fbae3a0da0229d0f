//! A coordinator around the production core: carries its actions out, and counts.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use shaletrail_coordinator::core::{directory_snapshot, Coordinator};
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::frame::{self, PREFIX_BYTES};
use shaletrail_protocol::internal::{CoordinatorMessage, EdgeIdentity, EdgeRequest, OperatorCall};
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use crate::fleet::{World, OPERATOR_AGAIN};
use crate::ledger::{Kind, Ledger, Stopwatch};
use crate::schedule::{latency, zone_of, AtCore, AtEdge, AtServer, Happening};
use crate::site;

/// Where the clock that events carry begins, as in the driver.
const CLOCK_START: Millis = 1_000_000;
/// How often the core is told that time has passed, as in the driver.
const TICK: Millis = 50;
/// What a write with its sync takes.
const SYNC_TAKES: Millis = 2;
/// Bytes in the journal from which a checkpoint is wanted: three of the six files that it begins with.
const CROWDED: usize = 12 << 20;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
enum Caller {
    Edge { edge: usize, start: u64, poll: u64 },
    Server,
    Operator,
}

/// A coordinator's journal: what is safe, and what is on its way.
#[derive(Debug, Default)]
struct Journal {
    safe: Vec<StoredRecord>,
    safe_bytes: usize,
    /// Appends that the write under way does not cover.
    waiting: VecDeque<(u64, Vec<StoredRecord>)>,
    /// The write under way.
    writing: Option<(u64, Vec<StoredRecord>)>,
}

/// A coordinator.
pub struct CoreNode {
    place: usize,
    core: Option<Coordinator>,
    start: u64,
    started: Millis,
    journal: Journal,
    callers: HashMap<CallId, Caller>,
    next_call: u64,
    /// What it sent, took and worked.
    pub ledger: Ledger,
    /// The most polls that waited at once.
    pub most_polls: usize,
    /// Answers of the operator's calls: taken, and not.
    pub operator_answers: (u64, u64),
}

impl CoreNode {
    /// A machine whose process does not run yet, with an empty disk.
    pub fn new(place: usize) -> Self {
        CoreNode {
            place,
            core: None,
            start: 0,
            started: 0,
            journal: Journal::default(),
            callers: HashMap::new(),
            next_call: 0,
            ledger: Ledger::default(),
            most_polls: 0,
            operator_answers: (0, 0),
        }
    }

    /// The decisions, while the process runs.
    pub fn core(&self) -> Option<&Coordinator> {
        self.core.as_ref()
    }

    /// Takes the decisions out: their memory goes with them.
    pub fn take_core(&mut self) -> Option<Coordinator> {
        self.core.take()
    }

    /// Bytes that the journal holds.
    pub fn journal_bytes(&self) -> usize {
        self.journal.safe_bytes
    }

    /// Starts the process; processor time that it took to read what its disk holds.
    pub fn start(&mut self, world: &mut World, bootstrap: bool) -> std::time::Duration {
        self.start = world.start_core(self.place);
        self.started = world.schedule.now;
        let options = self.options(world, bootstrap);
        let stored = self.journal.safe.clone();
        let begun = Stopwatch::start();
        self.core = Some(Coordinator::new(options, stored, CLOCK_START));
        let took = begun.elapsed();
        self.tell(world, Kind::Stored, Event::Persisted { ticket: 0, wants_checkpoint: false });
        self.wake(world, 0, AtCore::Tick);
        took
    }

    fn options(&self, world: &mut World, bootstrap: bool) -> CoordinatorOptions {
        let incarnation = Incarnation(world.schedule.name().wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        CoordinatorOptions {
            retry_window: std::time::Duration::from_secs(10),
            node: site::core_node(self.place),
            node_name: format!("core-{}", self.place),
            incarnation,
            seeds: world.seeds(),
            bootstrap,
            hosts_lost: world.options.hosts_lost,
            heartbeat_interval: std::time::Duration::from_millis(world.options.heartbeat_ms),
            order_lease: std::time::Duration::from_secs(3),
            placement: shaletrail_placement::Options::default(),
            seed: incarnation.0,
        }
    }

    /// The process is killed: polls are reset, and what was not synced is lost.
    pub fn kill(&mut self, world: &mut World) {
        self.core = None;
        world.stop_core(self.place);
        self.journal.waiting.clear();
        self.journal.writing = None;
        for (_, caller) in self.callers.drain() {
            match caller {
                Caller::Edge { edge, start, poll } => {
                    let delay = latency(zone_of(self.place), zone_of(edge));
                    world.schedule.after(delay, Happening::Edge(edge, start, AtEdge::PollFailed(poll)));
                }
                Caller::Operator => world.schedule.after(OPERATOR_AGAIN, Happening::Operator),
                Caller::Server => {}
            }
        }
    }

    /// Something happens here.
    pub fn happens(&mut self, world: &mut World, what: AtCore) {
        if self.core.is_none() {
            return;
        }
        match what {
            AtCore::Tick => {
                self.wake(world, TICK, AtCore::Tick);
                self.tell(world, Kind::Tick, Event::Tick);
            }
            AtCore::Synced(ticket) => self.synced(world, ticket),
            AtCore::Frame { from, frame } => self.take_frame(world, from, &frame),
            AtCore::EdgeFrame { edge, poll, frame } => self.take_edge_frame(world, edge, poll, &frame),
            AtCore::PollCancelled(poll) => self.poll_left(world, poll),
            AtCore::Heartbeat { server, id, body } => {
                let crosses = zone_of(server) != zone_of(self.place);
                self.ledger.received(Kind::Heartbeat, body.len(), crosses);
                let begun = Stopwatch::start();
                let heartbeat: Result<Heartbeat, _> = sonic_rs::from_slice(&body);
                self.ledger.worked(Kind::Heartbeat, begun.elapsed());
                let Ok(heartbeat) = heartbeat else { return };
                let call = self.call(Caller::Server);
                self.tell(world, Kind::Heartbeat, Event::Heartbeat { call, id, heartbeat });
            }
            AtCore::Operator(body) => {
                self.ledger.received(Kind::Operator, body.len(), true);
                let whole = world.operator_version() == 0;
                let base = world.operator_version();
                let call = self.call(Caller::Operator);
                let operator = OperatorCall::Change { replace: whole, base_version: base, body };
                self.tell(world, Kind::Operator, Event::OperatorCall { call, request: operator });
            }
            AtCore::Ordered(order, outcome) => {
                self.tell(world, Kind::Order, Event::OrderCompleted { order, outcome });
            }
            AtCore::Reported(server, report) => {
                let report = report.map(|report| *report);
                self.tell(world, Kind::ServerReport, Event::ReportReceived { server, report });
            }
        }
    }

    fn wake(&self, world: &mut World, delay: Millis, what: AtCore) {
        world.schedule.after(delay, Happening::Core(self.place, self.start, what));
    }

    fn call(&mut self, caller: Caller) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.callers.insert(call, caller);
        call
    }

    fn take_frame(&mut self, world: &mut World, from: usize, frame: &[u8]) {
        let begun = Stopwatch::start();
        let message = decode::<CoordinatorMessage>(frame);
        let took = begun.elapsed();
        let Some(message) = message else { return };
        let kind = Kind::of_core(&message);
        self.ledger.worked(kind, took);
        self.ledger.received(kind, frame.len(), zone_of(from) != zone_of(self.place));
        self.tell(world, kind, Event::Message { from: site::core_node(from), message });
    }

    fn take_edge_frame(&mut self, world: &mut World, edge: usize, poll: u64, frame: &[u8]) {
        let begun = Stopwatch::start();
        let request = decode::<EdgeRequest>(frame);
        let took = begun.elapsed();
        let Some(request) = request else { return };
        let kind = Kind::of_request(&request);
        self.ledger.worked(kind, took);
        self.ledger.received(kind, frame.len(), zone_of(edge) != zone_of(self.place));
        let node = site::edge_node(edge);
        match request {
            EdgeRequest::Poll(request) => {
                let call = self.call(Caller::Edge { edge, start: world.edge_starts[edge], poll });
                self.most_polls = self.most_polls.max(self.polls());
                let edge = EdgeIdentity {
                    node,
                    incarnation: Incarnation(edge as u64),
                    zone: format!("zone-{}", zone_of(edge)),
                };
                self.tell(world, kind, Event::Poll { call, edge, request });
            }
            EdgeRequest::Report { demand } => {
                self.tell(world, kind, Event::EdgeReport { edge: node, demand });
            }
            EdgeRequest::ShutdownNotice => self.tell(world, kind, Event::EdgeDisconnected(node)),
        }
    }

    /// Polls that wait here.
    pub fn polls(&self) -> usize {
        self.callers.values().filter(|caller| matches!(caller, Caller::Edge { .. })).count()
    }

    fn poll_left(&mut self, world: &mut World, left: u64) {
        let of_poll = |caller: &Caller| matches!(caller, Caller::Edge { poll, .. } if *poll == left);
        let call = self.callers.iter().find(|(_, caller)| of_poll(caller)).map(|(call, _)| *call);
        if let Some(call) = call {
            self.callers.remove(&call);
            self.tell(world, Kind::Poll, Event::PollCancelled(call));
        }
    }

    fn tell(&mut self, world: &mut World, kind: Kind, event: Event) {
        let Some(core) = &mut self.core else { return };
        let now = CLOCK_START + world.schedule.now - self.started;
        let mut actions = Vec::new();
        let begun = Stopwatch::start();
        core.handle(now, event, &mut actions);
        self.ledger.worked(kind, begun.elapsed());
        for action in actions {
            self.carry_out(world, now, action);
        }
    }

    fn carry_out(&mut self, world: &mut World, now: Millis, action: Action) {
        match action {
            Action::Send { to, message } => self.send(world, to, &message),
            Action::Persist { ticket, records } => {
                let records = records.into_iter().map(|(stream, bytes)| StoredRecord { stream, bytes });
                self.journal.waiting.push_back((ticket, records.collect()));
                self.write(world);
            }
            Action::Checkpoint { live } => self.checkpoint(live),
            Action::RespondToServer { call, accepted: taken } => {
                self.callers.remove(&call);
                world.heartbeats_refused += u64::from(!taken);
            }
            Action::RespondToOperator { call, response: answer } => {
                self.callers.remove(&call);
                let taken = world.operator_answered(&answer);
                self.operator_answers.0 += u64::from(taken);
                self.operator_answers.1 += u64::from(!taken);
            }
            Action::RespondToPoll { call, response: reply } => {
                let Some(Caller::Edge { edge, start, poll }) = self.callers.remove(&call) else { return };
                let kind = Kind::of_reply(&reply);
                let begun = Stopwatch::start();
                let frame = frame::encode(&*reply);
                self.ledger.worked(kind, begun.elapsed());
                let (here, there) = (zone_of(self.place), zone_of(edge));
                self.ledger.sent(kind, frame.len(), here != there);
                let what = AtEdge::Reply { poll, frame };
                world.schedule.after(latency(here, there), Happening::Edge(edge, start, what));
            }
            Action::SendOrder { order, server, address, body } => {
                let allowed = self.core.as_ref().is_some_and(|core| core.may_write(now, order));
                let Some(place) = site::server_at(&address).filter(|_| allowed) else { return };
                let (here, there) = (zone_of(self.place), zone_of(place));
                let bytes = sonic_rs::to_vec(&body).map(|bytes| bytes.len()).unwrap_or_default();
                self.ledger.sent(Kind::Order, bytes, here != there);
                let (core, start, body) = (self.place, self.start, Box::new(body));
                let what = AtServer::Order { core, start, order, expected: server, body };
                // The connection first, then the order.
                world.schedule.after(3 * latency(here, there), Happening::Server(place, what));
            }
            Action::FetchReport { server, address } => {
                let Some(place) = site::server_at(&address) else { return };
                let (here, there) = (zone_of(self.place), zone_of(place));
                self.ledger.sent(Kind::ServerReport, 0, here != there);
                let what = AtServer::Ask { core: self.place, start: self.start, expected: server };
                world.schedule.after(3 * latency(here, there), Happening::Server(place, what));
            }
            Action::LogStateChange(_) => {}
        }
    }

    fn send(&mut self, world: &mut World, to: NodeId, message: &CoordinatorMessage) {
        let place = site::place(to);
        let kind = Kind::of_core(message);
        let begun = Stopwatch::start();
        let frame = frame::encode(message);
        self.ledger.worked(kind, begun.elapsed());
        let Some(start) = world.running_core(place) else { return };
        let (here, there) = (zone_of(self.place), zone_of(place));
        self.ledger.sent(kind, frame.len(), here != there);
        let what = AtCore::Frame { from: self.place, frame: Rc::from(frame) };
        world.schedule.after(latency(here, there), Happening::Core(place, start, what));
    }

    // ---- The journal -----------------------------------------------------------------------------------

    /// Begins a write, unless one is under way, with all that waits.
    fn write(&mut self, world: &mut World) {
        if self.journal.writing.is_some() {
            return;
        }
        let waiting = std::mem::take(&mut self.journal.waiting);
        let Some(ticket) = waiting.back().map(|(ticket, _)| *ticket) else { return };
        let records: Vec<StoredRecord> = waiting.into_iter().flat_map(|(_, records)| records).collect();
        self.journal.writing = Some((ticket, records));
        self.wake(world, SYNC_TAKES, AtCore::Synced(ticket));
    }

    fn synced(&mut self, world: &mut World, ticket: u64) {
        let Some((_, records)) = self.journal.writing.take_if(|(writing, _)| *writing == ticket) else {
            return;
        };
        let bytes: usize = records.iter().map(|record| record.bytes.len()).sum();
        self.ledger.disk.syncs += 1;
        self.ledger.disk.records += records.len() as u64;
        let of_directory = records.iter().filter(|record| record.stream == directory_snapshot::STREAM);
        self.ledger.disk.bytes += bytes as u64;
        self.ledger.disk.directory_bytes += of_directory.map(|record| record.bytes.len() as u64).sum::<u64>();
        self.journal.safe_bytes += bytes;
        self.journal.safe.extend(records);
        self.write(world);
        let wants_checkpoint = self.journal.safe_bytes > CROWDED;
        self.tell(world, Kind::Stored, Event::Persisted { ticket, wants_checkpoint });
    }

    fn checkpoint(&mut self, live: Vec<(u32, Vec<u8>)>) {
        self.journal.safe = live.into_iter().map(|(stream, bytes)| StoredRecord { stream, bytes }).collect();
        self.journal.safe_bytes = self.journal.safe.iter().map(|record| record.bytes.len()).sum();
        self.ledger.disk.checkpoints += 1;
        self.ledger.disk.bytes += self.journal.safe_bytes as u64;
    }
}

/// Reads a frame; `None` if it is no message.
pub fn decode<M: bitcode::DecodeOwned>(bytes: &[u8]) -> Option<M> {
    frame::decode(bytes.get(PREFIX_BYTES..)?).ok()
}
