//! Brings events to the core and carries out its actions; knows who waits for which answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Instant;

use shaletrail_protocol::inside::{EdgeIdentity, OperatorAnswer, OperatorCall, PollReply, PollRequest};
use shaletrail_protocol::outside::Heartbeat;
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, ServerId};
use slog::{info, warn, Logger};
use tokio::sync::oneshot;

use super::disk::{Disk, Opened};
use super::links::Links;
use super::orders::Orders;
use crate::core::Core;
use crate::interface::{Action, CallId, CoreOptions, Event, Note};

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
    core: Core,
    links: Links,
    disk: Disk,
    orders: Orders,
    replies: HashMap<CallId, Reply>,
}

/// Who waits for an answer.
enum Reply {
    Server(oneshot::Sender<bool>),
    Operator(oneshot::Sender<OperatorAnswer>),
    Poll(oneshot::Sender<Box<PollReply>>),
}

impl Host {
    /// Starts the core with what the disk held.
    pub fn start(options: CoreOptions, settings: &Settings, opened: Opened, log: Logger) -> Rc<Host> {
        let links = Links::new(options.node, options.incarnation, settings.internal_port());
        let core = Core::new(options, opened.stored, CLOCK_START);
        let orders = Orders::new(log.clone());
        let wants_checkpoint = opened.journal.wants_checkpoint();
        let (disk, reports) = Disk::start(opened.journal);
        let state = State { core, links, disk, orders, replies: HashMap::new() };
        let host = Rc::new_cyclic(|myself| Host {
            state: RefCell::new(state),
            started: Instant::now(),
            next_call: Cell::new(0),
            myself: myself.clone(),
            log,
        });
        tokio::task::spawn_local(super::disk::hear(Rc::clone(&host), reports));
        host.handle(Event::Stored { ticket: 0, wants_checkpoint });
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
        state.disk.hand_over();
        state.core.handle(now, event, &mut actions);
        if sick {
            state.core.handle(now, Event::DiskSick { wants_checkpoint: false }, &mut actions);
        }
        for action in actions {
            self.carry_out(&mut state, action);
        }
    }

    fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::Send { to, message } => state.links.send(to, &message),
            Action::Store { ticket, records } => state.disk.append(ticket, records),
            Action::Checkpoint { live } => state.disk.checkpoint(live),
            Action::AnswerServer { call, taken } => {
                if let Some(Reply::Server(reply)) = state.replies.remove(&call) {
                    let _ = reply.send(taken);
                }
            }
            Action::AnswerOperator { call, answer } => {
                if let Some(Reply::Operator(reply)) = state.replies.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            Action::AnswerPoll { call, reply: news } => {
                if let Some(Reply::Poll(reply)) = state.replies.remove(&call) {
                    let _ = reply.send(news);
                }
            }
            Action::Order { order, server, address, body, not_after } => {
                if let Some(host) = self.myself.upgrade() {
                    state.orders.send(host, order, server, address, body, not_after);
                }
            }
            Action::AskReport { server, address } => {
                if let Some(host) = self.myself.upgrade() {
                    state.orders.ask(host, server, address);
                }
            }
            Action::Note(note) => self.note(note),
        }
    }

    fn note(&self, note: Note) {
        let name = note.to_string();
        match note {
            Note::Leading { shard, term } | Note::Deposed { shard, term } => {
                info!(self.log, "{}", name; "shard" => shard, "term" => term)
            }
            Note::Configuration { version } => info!(self.log, "{}", name; "version" => version),
            Note::Voters { shard, wanted } => {
                let wanted: Vec<String> = wanted.iter().map(|node| node.to_string()).collect();
                info!(self.log, "{}", name; "shard" => shard, "wanted" => wanted.join(","))
            }
            Note::Holding { shard, fence } => info!(self.log, "{}", name; "shard" => shard, "fence" => fence),
            Note::InTouch(in_touch) => warn!(self.log, "{}", name; "in_touch" => in_touch),
            Note::Unreadable { shard } => warn!(self.log, "{}", name; "shard" => shard),
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
    pub async fn operator(&self, operator: OperatorCall) -> OperatorAnswer {
        let (sender, answer) = oneshot::channel();
        let call = self.call();
        self.state.borrow_mut().replies.insert(call, Reply::Operator(sender));
        self.handle(Event::Operator { call, operator });
        answer.await.unwrap_or(OperatorAnswer::Unavailable)
    }

    /// A poll; a caller that drops the future has left.
    pub async fn poll(&self, edge: EdgeIdentity, request: PollRequest) -> Option<Box<PollReply>> {
        let (sender, answer) = oneshot::channel();
        let call = self.call();
        self.state.borrow_mut().replies.insert(call, Reply::Poll(sender));
        let _leaving = Leaving { host: self, call };
        self.handle(Event::Poll { call, edge, request });
        answer.await.ok()
    }

    /// The disk has refused something.
    pub fn disk_failed(&self, error: &str, wants_checkpoint: bool) {
        warn!(self.log, "disk failed"; "error" => error);
        self.handle(Event::DiskSick { wants_checkpoint });
    }

    /// A checkpoint of the journal has ended; what waited for it goes on.
    pub fn checkpoint_ended(&self) {
        let mut state = self.state.borrow_mut();
        state.disk.checkpoint_ended();
        state.disk.hand_over();
    }

    /// The process is about to end: everybody who waits is told to ask elsewhere.
    pub fn leave(&self) {
        self.handle(Event::Stopping);
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
            self.host.handle(Event::PollLeft(self.call));
        }
    }
}
