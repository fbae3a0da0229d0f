//! Settings, events and actions: the whole interface between a [`Balancer`](crate::Balancer) and its host.
//!
//! This file contains no decisions. Times are in seconds on the host's clock.

use std::sync::Arc;

/// The key of a request; requests with one key share a home server.
pub use shaletrail_ring::Key;

/// A point in time on the host's clock, or a duration, in seconds.
pub type Seconds = f64;

/// Identifies a request. The host assigns the numbers and never reuses one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index of an attempt among the attempts of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u32);

/// The name of a server, the same at every node. It alone determines the server's points in the slot array.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ServerId(pub Arc<str>);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Chosen by the balancer; the host returns it when the timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: repeats do no harm.
    Safe,
    /// Carries an idempotency key: the servers of one group drop repeats within a window.
    Keyed,
    /// Must never run twice. Unknown effects are treated as this one.
    Unsafe,
}

/// Which servers recognise and drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Servers in the same zone.
    Zone,
    /// Servers in the same cell.
    Cell,
}

/// A class of requests with the same latency target, deadline and repeat rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Unique among the classes.
    pub name: String,
    /// Latency target: an answer within this time earns its full worth.
    pub target: Seconds,
    /// How long the client waits in total, over all its tries.
    pub deadline: Seconds,
    /// Worth of an answer within the latency target.
    pub worth: f64,
    /// Fraction of the worth that an answer after the latency target still earns.
    pub late_worth: f64,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Which servers drop repeats, for [`Effect::Keyed`].
    pub group: Group,
    /// How long repeats are dropped, counted from the first send that may have run.
    pub window: Seconds,
    /// Answers are streamed.
    pub streamed: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique among the tenants.
    pub name: String,
    /// Requests per second that it may send, over all nodes.
    pub quota: f64,
}

/// How the roster reaches the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// Changes are pushed to the node.
    #[default]
    Pushed,
    /// Changes are sent only after [`Action::Subscribe`].
    OnRequest,
}

/// What servers do with a key that they have not cached.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CacheMode {
    /// Read- and write-through: servers fetch the key from the origin and forward writes to it.
    #[default]
    Through,
    /// Cache-aside: servers answer [`Status::Absent`], and the node asks the origin, a roster entry of this
    /// kind.
    Aside {
        /// Value of [`RosterEntry::kind`] that marks the origin.
        origin_kind: String,
    },
}

/// Meaning of [`RosterEntry::weight`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// A constant; weights carry no information.
    #[default]
    Off,
    /// The registered size of the server.
    Nominal,
    /// An approximate size.
    Rough,
    /// Size divided by load; changes with every update of the roster.
    Live,
}

/// Retry budget: how many attempts beyond each request's first a node may make in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    /// Length of the window.
    pub span: Seconds,
    /// Retries allowed in any window ...
    pub free: f64,
    /// ... plus this many for each request received in it.
    pub ratio: f64,
}

/// Parameters of the rules that every node must keep.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// A final answer counts until this long after the client's deadline.
    pub answer_grace: Seconds,
    /// Longest time that a node may go without a subscription or a request for the roster.
    pub ask_every: Seconds,
    /// Least fraction of its capacity that a server has when it starts.
    pub cold_capacity: f64,
    /// Time from its start until a server has its full capacity.
    pub warmup_time: Seconds,
    /// Time after the drain notice within which sends to a draining server must end.
    pub drain_grace: Seconds,
    /// Load above this multiple of its current capacity ...
    pub overload_multiple: f64,
    /// ... for this long brings down a server that has just started.
    pub overload_time: Seconds,
    /// The retry budget, if there is a rule on it.
    pub budget: Option<Budget>,
    /// Time within which idle connections to a draining server must be closed, if there is a rule on it.
    pub close_on_drain: Option<Seconds>,
}

/// Capabilities and bounds of the deployment; by default nothing is allowed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Whether [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// Whether [`Action::Probe`] is allowed.
    pub probes: bool,
    /// Whether [`Action::NotifyPeers`] is allowed.
    pub peer_messages: bool,
    /// Whether a request may have two attempts in flight at once. No rule requires it.
    pub parallel_attempts: bool,
    /// Whether clients receive the delay of [`Action::Refuse`].
    pub retry_after: bool,
    /// Longest delay that clients comply with.
    pub max_retry_after: Seconds,
    /// Most attempts for one request, the first one included.
    pub max_attempts: u32,
    /// A connection that is not established within this time fails.
    pub connect_timeout: Seconds,
    /// Idle time after which servers close connections; 0 where it is not known.
    pub idle_close: Seconds,
}

/// Cost of connections as a fraction of the result; nothing by default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Cost of keeping 100 connections open at each server all the time.
    pub connection: f64,
    /// Cost of a new connection for each request.
    pub handshake: f64,
}

/// Everything that a node is configured with when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the servers, including this one.
    pub balancers: u32,
    /// The zone that this node runs in.
    pub zone: String,
    /// Request classes, at least one.
    pub classes: Vec<Class>,
    /// Tenants with a quota; may be empty.
    pub tenants: Vec<Tenant>,
    /// How the roster reaches the node.
    pub membership: Membership,
    /// What servers do with a key that they have not cached.
    pub cache: CacheMode,
    /// Meaning of the weights in the roster.
    pub weights: WeightSource,
    /// Parameters of the rules.
    pub guarantees: Guarantees,
    /// Capabilities and bounds of the deployment.
    pub limits: Limits,
    /// Cost of connections.
    pub prices: Prices,
    /// Least interval between two batches of events from the host.
    pub round: Seconds,
}

impl Settings {
    /// Whether the entry is the origin beside the caches ([`CacheMode::Aside`]).
    pub fn is_origin(&self, entry: &RosterEntry) -> bool {
        matches!(&self.cache, CacheMode::Aside { origin_kind } if *origin_kind == entry.kind)
    }

    /// Checks all values.
    ///
    /// # Errors
    /// Names the first value that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let settings = self;
        let invalid = |message: String| Err(SettingsError(message));
        if settings.balancers == 0 {
            return invalid("balancers: expected at least 1, got 0".into());
        }
        if settings.classes.is_empty() {
            return invalid("classes: expected at least one, got none".into());
        }
        let g = &settings.guarantees;
        let mut times = vec![
            ("answer grace", g.answer_grace),
            ("ask every", g.ask_every),
            ("ramp", g.warmup_time),
            ("drain grace", g.drain_grace),
            ("fall time", g.overload_time),
            ("round", settings.round),
            ("max retry after", settings.limits.max_retry_after),
            ("connect timeout", settings.limits.connect_timeout),
            ("idle close", settings.limits.idle_close),
        ];
        if let Some(within) = g.close_on_drain {
            times.push(("close on drain", within));
        }
        if let Some(b) = &g.budget {
            if !(b.span.is_finite() && b.span > 0.0) {
                return invalid(format!("budget span: expected a time above 0, got {}", b.span));
            }
            for (what, number) in [("budget, free attempts", b.free), ("budget ratio", b.ratio)] {
                if !(number.is_finite() && number >= 0.0) {
                    return invalid(format!("{what}: expected a number of at least 0, got {number}"));
                }
            }
        }
        for class in &settings.classes {
            times.extend([
                ("class deadline", class.deadline),
                ("class latency target", class.target),
                ("class window", class.window),
            ]);
            if class.deadline == 0.0 || class.target == 0.0 {
                return invalid(format!(
                    "class {}: expected a latency target and a deadline above 0",
                    class.name
                ));
            }
        }
        for (what, time) in times {
            if !time.is_finite() || time < 0.0 {
                return invalid(format!("{what}: expected a time of at least 0, got {time}"));
            }
        }
        if !(g.cold_capacity > 0.0 && g.cold_capacity <= 1.0) {
            return invalid(format!(
                "cold from: expected a share above 0 and up to 1, got {}",
                g.cold_capacity
            ));
        }
        Ok(())
    }
}

/// Names a setting that is missing or out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Lifecycle state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and must be sent no new ones. Unknown states are treated as this one.
    #[default]
    Draining,
    /// No longer in the roster.
    Gone,
}

/// One server in the roster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RosterEntry {
    /// Unique in the roster.
    pub server: ServerId,
    /// Lifecycle state.
    pub state: ServerState,
    /// Zone that the server runs in.
    pub zone: String,
    /// Relative to other servers' weights; see [`WeightSource`].
    pub weight: f64,
    /// Machine kind; see [`CacheMode::Aside`].
    pub kind: String,
    /// Start time of its process, if it started recently.
    pub started: Option<Seconds>,
    /// Cell that the server runs in.
    pub cell: u64,
}

/// An update of the roster.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterUpdate {
    /// Only the entries that changed.
    Delta(Vec<RosterEntry>),
    /// The whole roster: servers that are not in it have left.
    Full(Vec<RosterEntry>),
    /// The whole roster as this node last stored it; it may be out of date.
    Cached(Vec<RosterEntry>),
    /// A call failed or the subscription ended; the current roster stays in use.
    Failed,
}

/// A request that has just arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Assigned by the host.
    pub id: RequestId,
    /// Time until the client gives up on this try.
    pub time_left: Seconds,
    /// `None` if the class is unknown.
    pub class: Option<ClassId>,
    /// `None` if it has no tenant.
    pub tenant: Option<TenantId>,
    /// `None` if it has no key.
    pub key: Option<Key>,
    /// Whether it is a write.
    pub write: bool,
    /// Estimated cost in core time, if there is a hint.
    pub work: Option<Seconds>,
    /// Its body is still arriving: `time_left` is only an upper bound, and [`Event::BodyReceived`] follows.
    pub body_pending: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The request was served.
    Success,
    /// The server answered with an error; the request may have run.
    Error,
    /// Rejected by overload protection; it did not run.
    Overloaded,
    /// No answer in time; it may have run or still be running.
    TimedOut,
    /// No connection was established; it did not run.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Cancelled by the node; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The server has not cached the key; nothing ran.
    Absent,
    /// A code that this library does not know; it may have run.
    Unknown,
}

impl Status {
    /// False if the status proves that the attempt did not run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Overloaded | Status::Unreachable | Status::NotSent | Status::Absent)
    }
}

/// Cache status that the server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheNote {
    /// The key was cached.
    Hit,
    /// The key was not cached.
    Miss,
    /// The key was not cached and another request is already fetching it.
    MissFetching,
}

/// Result of an attempt; there is exactly one for each.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub status: Status,
    /// Time since the attempt was sent.
    pub elapsed: Seconds,
    /// The request is finished; no answer is owed to the client.
    pub finished: bool,
    /// Cache status, if the server reported one.
    pub note: Option<CacheNote>,
}

/// An event that the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The roster changed, or a call for it failed.
    Roster(RosterUpdate),
    /// A client's request has arrived.
    Request(NewRequest),
    /// The last byte of a request's body has arrived and was forwarded to the attempt in flight.
    BodyReceived {
        /// The request whose body is complete.
        request: RequestId,
        /// Time until the client gives up on this try.
        time_left: Seconds,
    },
    /// Part of the request's body was forwarded and not kept: the request can't be sent again.
    BodyConsumed(RequestId),
    /// A streamed answer has begun. If its attempt ends without finishing the request, the client has
    /// received nothing.
    StreamStarted {
        /// The request that is answered.
        request: RequestId,
        /// The attempt whose answer the client receives.
        attempt: AttemptId,
        /// Cache status, if the server reported one.
        note: Option<CacheNote>,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client no longer waits for this request.
    Withdrawn(RequestId),
    /// A timer set by [`Action::SetTimer`] has expired.
    Timer(TimerToken),
    /// A probe has ended.
    Probed {
        /// The server that was probed.
        server: ServerId,
        /// Result of the probe.
        status: Status,
    },
    /// Operators took a server out of service, listed or not, or put it back.
    OutOfService {
        /// The server that they acted on.
        server: ServerId,
        /// When it was put back, with a process restarted since it was taken out; `None` while it is out.
        restored_at: Option<Seconds>,
    },
    /// Whether a second process of this node runs beside this one. The rules treat both as one node.
    SecondProcess(bool),
    /// Another node sent a message by [`Action::NotifyPeers`].
    Message {
        /// Number of the sending node.
        from: u32,
        /// Contents of the message.
        bytes: Vec<u8>,
    },
}

/// What the balancer asks its host to do; actions must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time-out of the attempt; `None` stands for as long as the client waits.
        timeout: Option<Seconds>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Final answer: the request was not served, and the client may safely retry.
    Refuse {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Seconds>,
    },
    /// Final answer: the request failed, and it may have run.
    Fail(RequestId),
    /// Request an [`Event::Timer`].
    SetTimer {
        /// Returned in the event.
        token: TimerToken,
        /// Time from now.
        after: Seconds,
    },
    /// Health-check a server.
    Probe(ServerId),
    /// Close this node's idle connections to a server.
    CloseIdle(ServerId),
    /// Send a message to all other nodes.
    NotifyPeers(Vec<u8>),
    /// Subscribe to changes of the roster.
    Subscribe,
    /// Write a line to the operators' log.
    Log(String),
}

/// Numbers of servers in the roster, without the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// All servers in the roster.
    pub listed: usize,
    /// Those that the node does not send to now: ejected, or taken out of service by operators.
    pub avoided: usize,
}
