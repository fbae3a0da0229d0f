//! Owns the one balancer: turns what happens on sockets into its events and carries out its actions.
//!
//! Everything runs on one thread. A call into the module never awaits, and carrying out its actions never calls
//! the module again: what follows from an action happens in a task of its own.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use shaletrail_policy::{
    Action, AttemptId, Balancer, ClassId, Event, Key, NewRequest, Outcome, RequestId, RosterUpdate, Seconds,
    ServerCounts, ServerId, Status, TenantId, TimerToken,
};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::body::{Long, News};
use crate::byhand::{ByHand, Change};
use crate::config::{Clock, Config, List};
use crate::discovery::Discovery;
use crate::figures::{End, Figures, Taken};
use crate::handle::Heard;
use crate::peers::Peers;
use crate::upstream::{Answered, Answering, Ended, Payload, Reply, Sent, Upstreams};

/// Far longer than the head of a long answer is held back for its begin.
const BEGIN: Duration = Duration::from_secs(10);

/// How often the file of servers out by hand is looked at: often against the grace in which sends to a server that
/// is out must end.
const LOOK: Duration = Duration::from_millis(50);

/// The final answer to a request.
pub enum Answer {
    Served(Reply),
    Refused(Option<Seconds>),
    Failed,
    /// The host's own answer where the module gave none.
    Overdue,
}

/// A client's request as the module is told of it.
pub struct Arrival {
    pub taken: Taken,
    pub left: Duration,
    pub class: Option<ClassId>,
    pub tenant: Option<TenantId>,
    pub key: Key,
    pub write: bool,
    pub work: Option<Seconds>,
    pub payload: Payload,
}

/// A request without its final answer yet.
struct Open {
    payload: Rc<Payload>,
    answer: oneshot::Sender<Answer>,
    attempts: u32,
    deadline: watch::Sender<Instant>,
}

pub struct Host {
    clock: Clock,
    balancer: RefCell<Balancer>,
    next_id: Cell<u64>,
    open: RefCell<HashMap<RequestId, Open>>,
    /// Attempts that are out, and what calls each off. They may outlive their request.
    attempts: RefCell<HashMap<(RequestId, u32), oneshot::Sender<()>>>,
    upstreams: Rc<Upstreams>,
    by_hand: Rc<ByHand>,
    /// How long a call back is kept in mind: as long as a cold server warms up.
    ramp: Seconds,
    discovery: Rc<Discovery>,
    peers: Option<Rc<Peers>>,
    pub figures: Rc<Figures>,
}

impl Host {
    pub fn start(
        config: &Config,
        discovery: Rc<Discovery>,
        peers: Option<Rc<Peers>>,
    ) -> Result<Rc<Self>, Box<dyn std::error::Error>> {
        let classes = config.settings.classes.iter().map(|class| class.name.clone());
        let figures = Rc::new(Figures::new(classes));
        let calls = Rc::clone(&figures.backend_calls);
        let by_hand = Rc::new(ByHand::new(config.folder.as_deref()));
        let upstreams =
            Upstreams::start(&config.settings.limits, config.upstream_sockets, calls, Rc::clone(&by_hand));
        let host = Rc::new(Host {
            clock: Clock::start(),
            balancer: RefCell::new(Balancer::new(config.settings.clone(), config.seed)?),
            next_id: Cell::new(0),
            open: RefCell::default(),
            attempts: RefCell::default(),
            upstreams,
            by_hand,
            ramp: config.settings.guarantees.warmup_time,
            discovery,
            peers,
            figures,
        });
        // The module starts with its first event, so there is one even where nothing is known.
        let known = config.known.as_ref().map_or(&[][..], |list| &list.servers);
        host.on_list(List { version: 0, full: true, servers: known.to_vec() }, true);
        host.look_by_hand();
        Ok(host)
    }

    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Some server can be asked.
    pub fn ready(&self) -> bool {
        self.upstreams.any_ready()
    }

    /// The module's view of its list.
    pub fn listed(&self) -> ServerCounts {
        self.balancer.borrow().server_counts()
    }

    /// Tells the module of an event and carries out its answer.
    pub fn tell(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.launch(request, server, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(cancel) = self.attempts.borrow_mut().remove(&(request, attempt.0)) {
                    let _ = cancel.send(());
                }
            }
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::SetTimer { token, after } => self.set_timer(token, after),
            Action::Probe(server) => self.probe(server),
            Action::CloseIdle(server) => self.upstreams.close_idle(&server),
            Action::NotifyPeers(bytes) => {
                if let Some(peers) = &self.peers {
                    peers.tell(&bytes);
                }
            }
            Action::Subscribe => self.discovery.subscribe(),
            Action::Log(text) => eprintln!("{text}"),
        }
    }

    fn set_timer(self: &Rc<Self>, token: TimerToken, after: Seconds) {
        let host = Rc::clone(self);
        spawn_local(async move {
            sleep(duration(after)).await;
            host.tell(Event::Timer(token));
        });
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let host = Rc::clone(self);
        spawn_local(async move {
            let status = host.upstreams.probe(&server).await;
            host.tell(Event::Probed { server, status });
        });
    }

    // ---- Servers --------------------------------------------------------------------------------------

    /// A list has come. Addresses and drains count at once, before the module acts on them.
    fn on_list(self: &Rc<Self>, list: List, cached: bool) {
        self.upstreams.update(&list);
        let entries = list.servers.into_iter().map(|(entry, _)| entry).collect();
        self.tell(Event::Roster(match (list.full, cached) {
            (_, true) => RosterUpdate::Cached(entries),
            (true, false) => RosterUpdate::Full(entries),
            (false, false) => RosterUpdate::Delta(entries),
        }));
    }

    /// Takes what the parts below have heard.
    pub fn hear(self: &Rc<Self>, heard: Heard) {
        match heard {
            Heard::List(list) => self.on_list(list, false),
            Heard::ListFailed => self.tell(Event::Roster(RosterUpdate::Failed)),
            Heard::Peer { from, bytes } => self.tell(Event::Message { from, bytes }),
        }
    }

    /// Takes a cache server out or calls it back. `None` if nobody has that name.
    pub fn set_by_hand(self: &Rc<Self>, server: &ServerId, out: bool) -> Option<std::io::Result<()>> {
        if !self.by_hand.is_out(server) && !self.balancer.borrow().has_server(server) {
            return None;
        }
        let changed = self.by_hand.set(server, out, self.clock.now(), self.ramp);
        self.tell_by_hand(changed.0);
        Some(changed.1)
    }

    /// Another process of this node may have been told.
    fn look_by_hand(self: &Rc<Self>) {
        self.tell_by_hand(self.by_hand.follow());
    }

    /// Follows what the node's other process may be told.
    pub async fn follow_by_hand(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            self.look_by_hand();
        }
    }

    /// The host sends nothing to a server that is out from the same moment on.
    fn tell_by_hand(self: &Rc<Self>, changes: Vec<Change>) {
        for Change { server, back } in changes {
            eprintln!("{} {}", server.0, if back.is_some() { "called back" } else { "out by hand" });
            self.tell(Event::OutOfService { server, restored_at: back });
        }
    }

    // ---- Requests -------------------------------------------------------------------------------------

    /// Takes a request. The ticket brings its one final answer.
    pub fn take(self: &Rc<Self>, arrival: Arrival) -> Ticket {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (answer, answered) = oneshot::channel();
        let payload = Rc::new(arrival.payload);
        // Of a long body only a bound is known until it has come.
        let coming = payload.content.long().inspect(|long| self.follow_body(id, long, arrival.left));
        let left = arrival.left + coming.map_or(Duration::ZERO, |long| long.may_take());
        let coming = coming.is_some();
        let (deadline, until) = watch::channel(Instant::now() + left);
        self.open.borrow_mut().insert(id, Open { payload, answer, attempts: 0, deadline });
        let ticket = Ticket { id, host: Rc::clone(self), answered, until, taken: Some(arrival.taken) };
        self.tell(Event::Request(NewRequest {
            id,
            time_left: left.as_secs_f64(),
            class: arrival.class,
            tenant: arrival.tenant,
            key: Some(arrival.key),
            write: arrival.write,
            work: arrival.work,
            body_pending: coming,
        }));
        ticket
    }

    /// Tells the module what becomes of a long body.
    fn follow_body(self: &Rc<Self>, request: RequestId, body: &Long, left: Duration) {
        let host = Rc::clone(self);
        body.on_news(move |news| match news {
            News::Spent => host.tell(Event::BodyConsumed(request)),
            News::Received => {
                host.move_deadline(request, Instant::now() + left);
                host.tell(Event::BodyReceived { request, time_left: left.as_secs_f64() });
            }
        });
    }

    fn answer(&self, request: RequestId, answer: Answer) {
        if let Some(open) = self.open.borrow_mut().remove(&request) {
            // A client that has left hears nothing; its ticket tells the module.
            let _ = open.answer.send(answer);
        }
    }

    /// Returns the deadline until now, if the request is open.
    fn move_deadline(&self, request: RequestId, to: Instant) -> Option<Instant> {
        self.open.borrow().get(&request).map(|open| open.deadline.send_replace(to))
    }

    /// Nobody waits for this request any more, if it was still open.
    fn withdraw(self: &Rc<Self>, request: RequestId) {
        let open = self.open.borrow_mut().remove(&request);
        if open.is_some() {
            self.tell(Event::Withdrawn(request));
        }
    }

    // ---- Attempts -------------------------------------------------------------------------------------

    fn launch(self: &Rc<Self>, request: RequestId, server: ServerId, timeout: Option<Seconds>) {
        let mut requests = self.open.borrow_mut();
        // The module ends what the host has ended before it sends anything more.
        let Some(open) = requests.get_mut(&request) else {
            debug_assert!(false, "an attempt for a request that is over");
            return;
        };
        let number = open.attempts;
        open.attempts += 1;
        let left = open.deadline.borrow().saturating_duration_since(Instant::now());
        let wait = timeout.map_or(left, |timeout| duration(timeout).min(left));
        let payload = Rc::clone(&open.payload);
        let (cancel, cancelled) = oneshot::channel::<()>();
        self.attempts.borrow_mut().insert((request, number), cancel);
        let attempt = Attempt {
            host: Rc::clone(self),
            request,
            number,
            launched: Instant::now(),
            sent: Sent::default(),
            reported: false,
        };
        spawn_local(async move {
            let upstreams = &attempt.host.upstreams;
            let stop = async {
                tokio::select! {
                    () = sleep(wait) => (Status::TimedOut, Status::Unreachable),
                    _ = cancelled => (Status::Cancelled, Status::NotSent),
                }
            };
            let mut stop = std::pin::pin!(stop);
            let open = || attempt.host.open.borrow().contains_key(&request);
            let answering = tokio::select! {
                biased;
                answering = upstreams.exchange(&server, &payload, wait, &attempt.sent, open) => answering,
                (written, unwritten) = stop.as_mut() => Err(attempt.stopped(written, unwritten)),
            };
            let ended = match answering {
                Err(ended) => ended,
                Ok(answering) if answering.may_be_long() => {
                    attempt.pass_on(&server, &payload.id, answering).await
                }
                Ok(answering) => tokio::select! {
                    biased;
                    ended = upstreams.read(&server, answering) => ended,
                    (written, unwritten) = stop => attempt.stopped(written, unwritten),
                },
            };
            attempt.end(ended);
        });
    }

    fn on_ended(self: &Rc<Self>, attempt: &Attempt, ended: Ended) {
        self.attempts.borrow_mut().remove(&(attempt.request, attempt.number));
        let status = ended.status;
        if let Some(reply) = ended.reply {
            self.answer(attempt.request, Answer::Served(reply));
        }
        let finished = !self.open.borrow().contains_key(&attempt.request);
        self.tell(Event::Outcome(Outcome {
            request: attempt.request,
            attempt: AttemptId(attempt.number),
            status,
            elapsed: attempt.launched.elapsed().as_secs_f64(),
            finished,
            note: ended.note,
        }));
    }
}

/// An attempt that is out. It reports exactly one outcome, also when its task panics.
struct Attempt {
    host: Rc<Host>,
    request: RequestId,
    number: u32,
    launched: Instant,
    sent: Sent,
    reported: bool,
}

impl Attempt {
    /// The node has stopped waiting. What was not written whole can't have run.
    fn stopped(&self, written: Status, unwritten: Status) -> Ended {
        Ended::without_reply(if self.sent.whole() { written } else { unwritten })
    }

    /// From the head of a long answer on, no timer cuts it, and with the first byte that goes on the client has its
    /// final answer.
    async fn pass_on(&self, server: &ServerId, id: &HeaderValue, answering: Answering) -> Ended {
        let (request, attempt, note) = (self.request, AttemptId(self.number), answering.note());
        self.host.tell(Event::StreamStarted { request, attempt, note });
        let deadline = self.host.move_deadline(request, Instant::now() + BEGIN);
        let mut ended = self.host.upstreams.read(server, answering).await;
        if let (None, Some(deadline)) = (&ended.reply, deadline) {
            // It broke off unseen, and may be had elsewhere if there is time.
            self.host.move_deadline(request, deadline);
        }
        if let Some(rest) = ended.rest.take() {
            if let Some(reply) = ended.reply.take() {
                self.host.answer(request, Answer::Served(reply));
            }
            ended.status = self.host.upstreams.finish(server, rest).await;
            if ended.status == Status::Broken {
                eprintln!("{} broke off a long answer to request {:?}", server.0, id);
            }
        }
        ended
    }

    fn end(mut self, ended: Ended) {
        self.reported = true;
        let host = Rc::clone(&self.host);
        host.on_ended(&self, ended);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.reported {
            let host = Rc::clone(&self.host);
            host.on_ended(self, self.stopped(Status::Broken, Status::NotSent));
        }
    }
}

/// A client's claim to one final answer. Dropped before that, the client has gone away.
pub struct Ticket {
    id: RequestId,
    host: Rc<Host>,
    answered: oneshot::Receiver<Answer>,
    until: watch::Receiver<Instant>,
    taken: Option<Taken>,
}

impl Ticket {
    /// Waits for the module's answer, but not past the deadline: a silent module must not lose a request. What has
    /// not ended with its answer ends with the last byte of that.
    pub async fn answer(mut self) -> (Answer, Option<Taken>) {
        let answer = loop {
            let until = *self.until.borrow_and_update();
            tokio::select! {
                answer = &mut self.answered => break answer.unwrap_or(Answer::Failed),
                () = sleep_until(until.into()) => break Answer::Overdue,
                // No sender is left once there is an answer.
                Ok(()) = self.until.changed() => {}
            }
        };
        let taken = self.taken.take();
        let end = match &answer {
            Answer::Served(Reply { body: Answered::Passing(_), .. }) => return (answer, taken),
            Answer::Served(_) => End::Success,
            Answer::Refused(_) => End::Busy,
            Answer::Failed | Answer::Overdue => End::Failure,
        };
        if let Some(taken) = taken {
            taken.end(end);
        }
        (answer, None)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.host.withdraw(self.id);
    }
}

/// What the module gives as a time; never a panic on odd ones.
fn duration(seconds: Seconds) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX / 4)
}
