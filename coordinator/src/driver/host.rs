//! Brings events to the core and carries out its actions; knows who waits for which answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Instant;

use shaletrail_protocol::external::{Heartbeat, Order};
use shaletrail_protocol::internal::{
    EdgeIdentity, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, ServerId};
use shaletrail_storage::WriterEvent;
use slog::{debug, info, o, warn, Logger};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::disk::{self, Disk, Opened};
use super::links::Links;
use super::orders::{deliver, fetch_report, Outgoing};
use crate::core::Coordinator;
use crate::interface::{Action, CallId, CoordinatorOptions, Event, OrderId, OrderOutcome, StateChange};

/// Where the clock that events carry begins, in milliseconds: nothing of it is ever below.
const CLOCK_START: Millis = 1_000_000;

/// A coordinator's core with all that carries out its actions.
pub struct Host {
    state: RefCell<State>,
    started: Instant,
    next_call: Cell<u64>,
    myself: Weak<Host>,
    log: Logger,
}

struct State {
    core: Coordinator,
    links: Links,
    disk: Disk,
    replies: HashMap<CallId, Reply>,
}

/// Who waits for an answer.
enum Reply {
    Server(oneshot::Sender<bool>),
    Operator(oneshot::Sender<OperatorResponse>),
    Poll(oneshot::Sender<Box<PollResponse>>),
}

impl Host {
    /// Starts the core with what the disk held.
    pub fn start(options: CoordinatorOptions, settings: &Settings, opened: Opened, log: Logger) -> Rc<Host> {
        let links = Links::new(options.node, options.incarnation, settings.internal_port());
        let core = Coordinator::new(options, opened.stored, CLOCK_START);
        let wants_checkpoint = opened.journal.wants_checkpoint();
        let (disk, reports) = Disk::start(opened.journal);
        let state = State { core, links, disk, replies: HashMap::new() };
        let host = Rc::new_cyclic(|myself| Host {
            state: RefCell::new(state),
            started: Instant::now(),
            next_call: Cell::new(0),
            myself: myself.clone(),
            log,
        });
        tokio::task::spawn_local(Rc::clone(&host).hear_disk(reports));
        host.handle(Event::Persisted { ticket: 0, wants_checkpoint });
        host
    }

    /// The clock that events carry, in milliseconds.
    pub fn now(&self) -> Millis {
        CLOCK_START + self.started.elapsed().as_millis() as Millis
    }

    /// Tells the core something and does what it asks for.
    pub fn handle(&self, event: Event) {
        let now = self.now();
        let mut actions = Vec::new();
        let mut state = self.state.borrow_mut();
        let sick = matches!(event, Event::Tick) && state.disk.is_late();
        state.disk.transfer_leadership();
        state.core.handle(now, event, &mut actions);
        if sick {
            state.core.handle(now, Event::DiskDegraded { wants_checkpoint: false }, &mut actions);
        }
        for action in actions {
            self.carry_out(&mut state, action);
        }
    }

    fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::Send { to, message } => state.links.send(to, &message),
            Action::Persist { ticket, records } => state.disk.append(ticket, records),
            Action::Checkpoint { live } => state.disk.checkpoint(live),
            Action::RespondToServer { call, accepted: taken } => {
                if let Some(Reply::Server(reply)) = state.replies.remove(&call) {
                    let _ = reply.send(taken);
                }
            }
            Action::RespondToOperator { call, response: answer } => {
                if let Some(Reply::Operator(reply)) = state.replies.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            Action::RespondToPoll { call, response: news } => {
                if let Some(Reply::Poll(reply)) = state.replies.remove(&call) {
                    let _ = reply.send(news);
                }
            }
            Action::SendOrder { order, server, address, body } => {
                self.send_order(order, Outgoing { server, address, body });
            }
            Action::FetchReport { server, address } => self.ask_report(server, address),
            Action::LogStateChange(note) => self.note(note),
        }
    }

    fn send_order(&self, order: OrderId, outgoing: Outgoing) {
        let Some(host) = self.myself.upgrade() else { return };
        let asked = Rc::clone(&host);
        tokio::task::spawn_local(async move {
            let outcome = deliver(&outgoing, move || asked.may_write(order)).await;
            let Outgoing { server, body, .. } = outgoing;
            host.log_order(&server, &body, outcome);
            host.handle(Event::OrderCompleted { order, outcome });
        });
    }

    /// An order that is refused tells that something was not known of its server: another order that it has taken.
    fn log_order(&self, server: &str, body: &Order, outcome: OrderOutcome) {
        let log = self.log.new(o!("operation" => body.operation.to_string(), "model" => body.model.clone(),
            "adapter" => body.adapter.clone().unwrap_or_default(), "server" => server.to_owned(),
            "count" => body.if_revision, "fence" => body.fencing_token, "outcome" => outcome.to_string()));
        match outcome {
            OrderOutcome::Busy | OrderOutcome::AlreadyDone => info!(log, "order refused"),
            _ => debug!(log, "order"),
        }
    }

    /// Whether an order may be written to its server now.
    fn may_write(&self, order: OrderId) -> bool {
        self.state.borrow().core.may_write(self.now(), order)
    }

    fn ask_report(&self, server: ServerId, address: String) {
        let Some(host) = self.myself.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let report = fetch_report(&server, &address).await;
            if let Some(report) = &report {
                debug!(host.log, "report"; "server" => &server, "count" => report.sequence,
                    "busy" => report.order_in_flight, "models" => report.models.len());
            }
            host.handle(Event::ReportReceived { server, report });
        });
    }

    /// Brings the reports of the journal's thread to the core.
    async fn hear_disk(self: Rc<Self>, mut reports: UnboundedReceiver<WriterEvent>) {
        while let Some(report) = reports.recv().await {
            match &report {
                WriterEvent::Checkpointed { .. } => self.checkpoint_ended(),
                WriterEvent::CheckpointFailed { error } => {
                    self.checkpoint_ended();
                    warn!(self.log, "disk failed"; "error" => %error);
                }
                WriterEvent::SyncFailed { error, .. } => warn!(self.log, "disk failed"; "error" => %error),
                WriterEvent::Synced { .. } => {}
                WriterEvent::Stopped => return,
            }
            if let Some(event) = disk::event_of(&report) {
                self.handle(event);
            }
        }
    }

    fn note(&self, note: StateChange) {
        let name = note.to_string();
        match note {
            StateChange::BecameLeader { shard, term } | StateChange::LostLeadership { shard, term } => {
                info!(self.log, "{}", name; "shard" => shard, "term" => term)
            }
            StateChange::ConfigurationApplied { version } => {
                info!(self.log, "{}", name; "version" => version)
            }
            StateChange::VotersChanging { shard, wanted } => {
                let wanted: Vec<String> = wanted.iter().map(|node| node.to_string()).collect();
                info!(self.log, "{}", name; "shard" => shard, "wanted" => wanted.join(","))
            }
            StateChange::OrderLeaseAcquired { shard, fencing_token: fence } => {
                info!(self.log, "{}", name; "shard" => shard, "fence" => fence)
            }
            StateChange::QuorumContactChanged(in_touch) => {
                warn!(self.log, "{}", name; "in_touch" => in_touch)
            }
            StateChange::UnreadableRecords { shard } => warn!(self.log, "{}", name; "shard" => shard),
        }
    }

    fn call(&self) -> CallId {
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        CallId(call)
    }

    /// A server's heartbeat: whether it is acknowledged.
    pub async fn heartbeat(&self, id: ServerId, heartbeat: Heartbeat) -> bool {
        self.ask_for_server(|call| Event::Heartbeat { call, id, heartbeat }).await
    }

    /// A server's deregistration: whether it is acknowledged.
    pub async fn deregister(&self, id: ServerId) -> bool {
        self.ask_for_server(|call| Event::Deregister { call, id }).await
    }

    async fn ask_for_server(&self, event: impl FnOnce(CallId) -> Event) -> bool {
        let (sender, answer) = oneshot::channel();
        let call = self.call();
        self.state.borrow_mut().replies.insert(call, Reply::Server(sender));
        self.handle(event(call));
        answer.await.unwrap_or(false)
    }

    /// A call of the operator.
    pub async fn operator(&self, operator: OperatorCall) -> OperatorResponse {
        let (sender, answer) = oneshot::channel();
        let call = self.call();
        self.state.borrow_mut().replies.insert(call, Reply::Operator(sender));
        self.handle(Event::OperatorCall { call, request: operator });
        answer.await.unwrap_or(OperatorResponse::Unavailable)
    }

    /// A poll; a caller that drops the future has left.
    pub async fn poll(&self, edge: EdgeIdentity, request: PollRequest) -> Option<Box<PollResponse>> {
        let (sender, answer) = oneshot::channel();
        let call = self.call();
        self.state.borrow_mut().replies.insert(call, Reply::Poll(sender));
        let _leaving = Leaving { host: self, call };
        self.handle(Event::Poll { call, edge, request });
        answer.await.ok()
    }

    /// A checkpoint of the journal has ended; what waited for it goes on.
    fn checkpoint_ended(&self) {
        let mut state = self.state.borrow_mut();
        state.disk.checkpoint_ended();
        state.disk.transfer_leadership();
    }

    /// The process is about to end: everybody who waits is told to ask elsewhere.
    pub fn leave(&self) {
        self.handle(Event::ShutdownRequested);
        self.state.borrow_mut().replies.clear();
    }
}

/// Tells the core when nobody waits for a poll's answer any more.
struct Leaving<'a> {
    host: &'a Host,
    call: CallId,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        let waited = self.host.state.borrow_mut().replies.remove(&self.call).is_some();
        if waited {
            self.host.handle(Event::PollCancelled(self.call));
        }
    }
}
