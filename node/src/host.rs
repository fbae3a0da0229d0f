//! Owns the balancer: turns socket activity into its events and executes its actions.
//!
//! Everything runs on one thread. A call into the balancer never awaits, and executing its actions never
//! calls it again: whatever follows from an action happens in a separate task.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use shaletrail_policy::{
    Action, AttemptId, Balancer, ClassId, Event, Key, MembershipUpdate, NewRequest, Outcome, RequestId,
    Seconds, ServerCounts, ServerId, Status, TenantId, TimerToken,
};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::body::{BodyEvent, StreamedBody};
use crate::config::{Clock, Config, ServerList};
use crate::disabled_servers::{DisabledChange, DisabledServers};
use crate::discovery::Discovery;
use crate::handle::HostEvent;
use crate::metrics::{ActiveRequest, Metrics, RequestEnd};
use crate::peers::Peers;
use crate::upstream::{AttemptEnd, Payload, Reply, ReplyBody, ReplyHead, Upstreams, WriteState};

/// After the head of a long response, its first data must arrive within this time. It is far longer than the
/// time for which responses are buffered.
const FIRST_DATA_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the file of disabled servers is checked for changes. This is short compared with the grace
/// period in which requests to a disabled server must end.
const DISABLED_FILE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The final answer to a request.
pub enum Answer {
    Served(Reply),
    Refused(Option<Seconds>),
    Failed,
    /// The deadline passed without an answer from the balancer.
    DeadlineExceeded,
}

/// A client's request as submitted to the balancer.
pub struct IncomingRequest {
    pub active_request: ActiveRequest,
    pub time_left: Duration,
    pub class: Option<ClassId>,
    pub tenant: Option<TenantId>,
    pub key: Key,
    pub write: bool,
    pub work: Option<Seconds>,
    pub payload: Payload,
}

/// A request that has no final answer yet.
struct OpenRequest {
    payload: Rc<Payload>,
    answer: oneshot::Sender<Answer>,
    attempts: u32,
    deadline: watch::Sender<Instant>,
}

/// Owns the balancer, passes events to it and executes its actions.
pub struct Host {
    clock: Clock,
    balancer: RefCell<Balancer>,
    next_id: Cell<u64>,
    open: RefCell<HashMap<RequestId, OpenRequest>>,
    /// Attempts in flight, each with the sender that cancels it. An attempt may outlive its request.
    attempts: RefCell<HashMap<(RequestId, u32), oneshot::Sender<()>>>,
    upstreams: Rc<Upstreams>,
    disabled_servers: Rc<DisabledServers>,
    /// How long the time at which a server was enabled again is kept: as long as a cold server warms up.
    enabled_at_retention: Seconds,
    discovery: Rc<Discovery>,
    peers: Option<Rc<Peers>>,
    pub metrics: Rc<Metrics>,
}

impl Host {
    /// Creates the host and gives the balancer the initial list, which is empty if none is configured.
    ///
    /// # Errors
    /// The balancer does not accept the settings.
    pub fn start(
        config: &Config,
        discovery: Rc<Discovery>,
        peers: Option<Rc<Peers>>,
    ) -> Result<Rc<Self>, Box<dyn std::error::Error>> {
        let classes = config.settings.classes.iter().map(|class| class.name.clone());
        let metrics = Rc::new(Metrics::new(classes));
        let calls = Rc::clone(&metrics.backend_calls);
        let disabled_servers = Rc::new(DisabledServers::new(config.state_dir.as_deref()));
        let upstreams = Upstreams::start(
            &config.settings.limits,
            config.upstream_sockets,
            calls,
            Rc::clone(&disabled_servers),
        );
        let host = Rc::new(Host {
            clock: Clock::start(),
            balancer: RefCell::new(Balancer::new(config.settings.clone(), config.seed)?),
            next_id: Cell::new(0),
            open: RefCell::default(),
            attempts: RefCell::default(),
            upstreams,
            disabled_servers,
            enabled_at_retention: config.settings.guarantees.warmup_time,
            discovery,
            peers,
            metrics,
        });
        // The balancer starts with its first event, so it gets one even if no server is known.
        let initial_servers = config.initial_list.as_ref().map_or(&[][..], |list| &list.servers);
        host.on_list(ServerList { version: 0, full: true, servers: initial_servers.to_vec() }, true);
        host.reload_disabled_servers();
        Ok(host)
    }

    /// The connections to servers, owned by the host.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns whether at least one server accepts requests.
    pub fn ready(&self) -> bool {
        self.upstreams.any_ready()
    }

    /// Number of listed and of avoided servers, as the balancer sees them.
    pub fn server_counts(&self) -> ServerCounts {
        self.balancer.borrow().server_counts()
    }

    /// Passes an event to the balancer and executes the resulting actions.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.start_attempt(request, server, timeout),
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
                    peers.send(&bytes);
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
            host.handle_event(Event::Timer(token));
        });
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let host = Rc::clone(self);
        spawn_local(async move {
            let status = host.upstreams.probe(&server).await;
            host.handle_event(Event::Probed { server, status });
        });
    }

    // ---- Servers --------------------------------------------------------------------------------------

    /// Applies a server list. Addresses and draining states take effect before the balancer acts on them.
    fn on_list(self: &Rc<Self>, list: ServerList, cached: bool) {
        self.upstreams.update(&list);
        let entries = list.servers.into_iter().map(|(entry, _)| entry).collect();
        self.handle_event(Event::Membership(match (list.full, cached) {
            (_, true) => MembershipUpdate::Cached(entries),
            (true, false) => MembershipUpdate::Full(entries),
            (false, false) => MembershipUpdate::Delta(entries),
        }));
    }

    /// Handles an event from discovery or from another node.
    pub fn on_event(self: &Rc<Self>, event: HostEvent) {
        match event {
            HostEvent::List(list) => self.on_list(list, false),
            HostEvent::ListFailed => self.handle_event(Event::Membership(MembershipUpdate::Failed)),
            HostEvent::PeerMessage { from, bytes } => self.handle_event(Event::Message { from, bytes }),
        }
    }

    /// Disables or enables a cache server. Returns `None` if no server has that name, otherwise whether the
    /// state was written to the file.
    pub fn set_disabled(self: &Rc<Self>, server: &ServerId, disabled: bool) -> Option<std::io::Result<()>> {
        if !self.disabled_servers.is_disabled(server) && !self.balancer.borrow().has_server(server) {
            return None;
        }
        let result =
            self.disabled_servers.set_disabled(server, disabled, self.clock.now(), self.enabled_at_retention);
        self.apply_disabled_changes(result.0);
        Some(result.1)
    }

    /// Applies changes that another process of this node has written.
    fn reload_disabled_servers(self: &Rc<Self>) {
        self.apply_disabled_changes(self.disabled_servers.reload());
    }

    /// Polls for changes by the node's other process.
    pub async fn watch_disabled_servers(self: Rc<Self>) {
        loop {
            sleep(DISABLED_FILE_POLL_INTERVAL).await;
            self.reload_disabled_servers();
        }
    }

    /// Passes the changes to the balancer. Upstreams refuse to send to a server from the moment it is
    /// disabled.
    fn apply_disabled_changes(self: &Rc<Self>, changes: Vec<DisabledChange>) {
        for DisabledChange { server, enabled_at } in changes {
            eprintln!(
                "cache server {} {}",
                server.0,
                if enabled_at.is_some() { "enabled by an operator" } else { "disabled by an operator" }
            );
            self.handle_event(Event::OutOfService { server, restored_at: enabled_at });
        }
    }

    // ---- Requests -------------------------------------------------------------------------------------

    /// Submits a request. The returned value yields its one final answer.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> PendingAnswer {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (answer, answer_receiver) = oneshot::channel();
        let payload = Rc::new(incoming.payload);
        // Until a streamed body has arrived, only an upper bound of the time left is known.
        let streamed_body =
            payload.content.streamed().inspect(|body| self.follow_body(id, body, incoming.time_left));
        let left =
            incoming.time_left + streamed_body.map_or(Duration::ZERO, |body| body.max_remaining_time());
        let streamed_body = streamed_body.is_some();
        let (deadline, deadline_changes) = watch::channel(Instant::now() + left);
        self.open.borrow_mut().insert(id, OpenRequest { payload, answer, attempts: 0, deadline });
        let pending = PendingAnswer {
            id,
            host: Rc::clone(self),
            answer_receiver,
            deadline_changes,
            active_request: Some(incoming.active_request),
        };
        self.handle_event(Event::Request(NewRequest {
            id,
            time_left: left.as_secs_f64(),
            class: incoming.class,
            tenant: incoming.tenant,
            key: Some(incoming.key),
            write: incoming.write,
            work: incoming.work,
            body_pending: streamed_body,
        }));
        pending
    }

    /// Reports the progress of a streamed body to the balancer.
    fn follow_body(self: &Rc<Self>, request: RequestId, body: &StreamedBody, left: Duration) {
        let host = Rc::clone(self);
        body.on_event(move |event| match event {
            BodyEvent::Consumed => host.handle_event(Event::BodyConsumed(request)),
            BodyEvent::Received => {
                host.move_deadline(request, Instant::now() + left);
                host.handle_event(Event::BodyReceived { request, time_left: left.as_secs_f64() });
            }
        });
    }

    fn answer(&self, request: RequestId, answer: Answer) {
        if let Some(open) = self.open.borrow_mut().remove(&request) {
            // If the client has disconnected, nobody receives this; dropping the `PendingAnswer` informs the
            // balancer.
            let _ = open.answer.send(answer);
        }
    }

    /// Changes a request's deadline. Returns the previous one, or `None` if the request has been answered.
    fn move_deadline(&self, request: RequestId, to: Instant) -> Option<Instant> {
        self.open.borrow().get(&request).map(|open| open.deadline.send_replace(to))
    }

    /// Withdraws a request that has no answer yet, as its client has disconnected.
    fn withdraw(self: &Rc<Self>, request: RequestId) {
        let open = self.open.borrow_mut().remove(&request);
        if open.is_some() {
            self.handle_event(Event::Withdrawn(request));
        }
    }

    // ---- Attempts -------------------------------------------------------------------------------------

    fn start_attempt(self: &Rc<Self>, request: RequestId, server: ServerId, timeout: Option<Seconds>) {
        let mut requests = self.open.borrow_mut();
        // The balancer learns of every answered request before it sends another attempt.
        let Some(open) = requests.get_mut(&request) else {
            debug_assert!(false, "an attempt for a request that has been answered");
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
            started_at: Instant::now(),
            write_state: WriteState::default(),
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
            let reply_head = tokio::select! {
                biased;
                reply_head = upstreams.exchange(&server, &payload, wait, &attempt.write_state, open) => reply_head,
                (written, unwritten) = stop.as_mut() => Err(attempt.stopped(written, unwritten)),
            };
            let ended = match reply_head {
                Err(ended) => ended,
                Ok(reply_head) if reply_head.may_be_long() => {
                    attempt.stream_reply(&server, &payload.id, reply_head).await
                }
                Ok(reply_head) => tokio::select! {
                    biased;
                    ended = upstreams.read(&server, reply_head) => ended,
                    (written, unwritten) = stop => attempt.stopped(written, unwritten),
                },
            };
            attempt.finish(ended);
        });
    }

    fn on_attempt_end(self: &Rc<Self>, attempt: &Attempt, ended: AttemptEnd) {
        self.attempts.borrow_mut().remove(&(attempt.request, attempt.number));
        let status = ended.status;
        if let Some(reply) = ended.reply {
            self.answer(attempt.request, Answer::Served(reply));
        }
        let finished = !self.open.borrow().contains_key(&attempt.request);
        self.handle_event(Event::Outcome(Outcome {
            request: attempt.request,
            attempt: AttemptId(attempt.number),
            status,
            elapsed: attempt.started_at.elapsed().as_secs_f64(),
            finished,
            note: ended.note,
        }));
    }
}

/// An attempt in flight. It reports exactly one outcome, even if its task panics.
struct Attempt {
    host: Rc<Host>,
    request: RequestId,
    number: u32,
    started_at: Instant,
    write_state: WriteState,
    reported: bool,
}

impl Attempt {
    /// Returns the result of an attempt that was stopped. A request that was not written completely can't
    /// have run.
    fn stopped(&self, written: Status, unwritten: Status) -> AttemptEnd {
        AttemptEnd::without_reply(if self.write_state.is_complete() { written } else { unwritten })
    }

    /// Streams a long response. From its head on no timer cuts it off; its first forwarded byte is the
    /// client's final answer.
    async fn stream_reply(&self, server: &ServerId, id: &HeaderValue, reply_head: ReplyHead) -> AttemptEnd {
        let (request, attempt, note) = (self.request, AttemptId(self.number), reply_head.note());
        self.host.handle_event(Event::StreamStarted { request, attempt, note });
        let deadline = self.host.move_deadline(request, Instant::now() + FIRST_DATA_TIMEOUT);
        let mut ended = self.host.upstreams.read(server, reply_head).await;
        if let (None, Some(deadline)) = (&ended.reply, deadline) {
            // The client has seen nothing of the response, so another attempt is possible if there is time.
            self.host.move_deadline(request, deadline);
        }
        if let Some(remainder) = ended.remainder.take() {
            if let Some(reply) = ended.reply.take() {
                self.host.answer(request, Answer::Served(reply));
            }
            ended.status = self.host.upstreams.finish(server, remainder).await;
            if ended.status == Status::Broken {
                eprintln!("server {} broke off a streamed response to request {:?}", server.0, id);
            }
        }
        ended
    }

    fn finish(mut self, ended: AttemptEnd) {
        self.reported = true;
        let host = Rc::clone(&self.host);
        host.on_attempt_end(&self, ended);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.reported {
            let host = Rc::clone(&self.host);
            host.on_attempt_end(self, self.stopped(Status::Broken, Status::NotSent));
        }
    }
}

/// Waits for the final answer to one request. If it is dropped earlier, the client has disconnected and the
/// request is withdrawn.
pub struct PendingAnswer {
    id: RequestId,
    host: Rc<Host>,
    answer_receiver: oneshot::Receiver<Answer>,
    deadline_changes: watch::Receiver<Instant>,
    active_request: Option<ActiveRequest>,
}

impl PendingAnswer {
    /// Waits for the balancer's answer, but not past the deadline, so that a request is answered even if the
    /// balancer stays silent. For a streamed reply, the metrics entry is returned and ends with the last
    /// byte.
    pub async fn answer(mut self) -> (Answer, Option<ActiveRequest>) {
        let answer = loop {
            let deadline = *self.deadline_changes.borrow_and_update();
            tokio::select! {
                answer = &mut self.answer_receiver => break answer.unwrap_or(Answer::Failed),
                () = sleep_until(deadline.into()) => break Answer::DeadlineExceeded,
                // Fails once there is an answer, as the sender is gone.
                Ok(()) = self.deadline_changes.changed() => {}
            }
        };
        let active_request = self.active_request.take();
        let end = match &answer {
            Answer::Served(Reply { body: ReplyBody::Streamed(_), .. }) => return (answer, active_request),
            Answer::Served(_) => RequestEnd::Success,
            Answer::Refused(_) => RequestEnd::Busy,
            Answer::Failed | Answer::DeadlineExceeded => RequestEnd::Failure,
        };
        if let Some(active_request) = active_request {
            active_request.finish(end);
        }
        (answer, None)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.host.withdraw(self.id);
    }
}

/// Converts a time from the balancer. Negative, infinite or too large values don't panic.
fn duration(seconds: Seconds) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX / 4)
}
