//! Events and actions between the decisions on requests and the driver that carries them out.

use std::sync::Arc;

use shaletrail_configuration::{Route, View};
use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope, ServerRecord};
use shaletrail_protocol::{Millis, NodeId, ServerId};

/// Names a request at this edge; given by the driver, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// One sending of a request to a server: 0 for the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u32);

/// What happens at the edge.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer configuration is in force.
    View(Arc<View>),
    /// Servers changed; where `whole` is set, all servers not among them are no longer known.
    Servers {
        /// The records.
        records: Vec<ServerRecord>,
        /// Whether they are the whole directory.
        complete: bool,
    },
    /// Edges at work in the whole system, this one included; shares budgets and limits.
    Edges(u32),
    /// The edges at work, by name.
    EdgeList {
        /// This edge.
        own: NodeId,
        /// All edges, this one included.
        edges: Vec<NodeId>,
    },
    /// Another edge has told what is under way at servers.
    PeerLoads {
        /// The edge.
        edge: NodeId,
        /// Whose requests it counted.
        scope: LoadScope,
        /// What it told.
        loads: Vec<EdgeServerLoad>,
    },
    /// A client's request, its head read whole. Its route was looked up in the configuration then in force.
    Request(NewRequest),
    /// An attempt's request has been written to a server's connection, in part at least.
    Written(RequestId, Attempt),
    /// The head of a success has come and is being passed on: from here on the client has a server's answer.
    Head(RequestId, Attempt, Option<ServerLoad>),
    /// The first event (or body byte) has come.
    First(RequestId, Attempt),
    /// A stream whose head has been passed on has paused for far longer than its aim, so that its server may be
    /// gone. Answered with `Action::Cancel` where it may go on elsewhere.
    Stalled(RequestId, Attempt),
    /// An attempt is over.
    Ended(RequestId, Attempt, Outcome),
    /// The client has its whole answer, or has gone: the request is over and nothing may be sent for it. Comes
    /// after the `Ended` of an attempt that served it; before that, it means that the client has gone.
    Finished(RequestId),
    /// The process has been told to end: nothing may wait longer than it must.
    ShutdownRequested,
    /// Time has passed; sent at `Router::next_wake` or earlier.
    Tick,
}

/// A request as it came.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Its name here.
    pub id: RequestId,
    /// The route, of the configuration in force when the head had been read.
    pub route: Arc<Route>,
    /// `Model` before the slash.
    pub model: Option<String>,
    /// `Model` after the slash.
    pub adapter: Option<String>,
    /// `Token-Count`: tokens of the prompt, and the most out.
    pub tokens: Option<(u32, u32)>,
    /// `Prompt-Prefix`: parts of the prompt, in order, with their tokens.
    pub prompt: Vec<(u64, u32)>,
    /// `Deadline-Ms`, or the route's timeout where there is none.
    pub deadline_ms: u64,
    /// `Last-Event-Id`, where the client takes a stream up again.
    pub last_event: Option<u64>,
    /// Bytes of the body where its length is known.
    pub body_bytes: Option<u64>,
    /// Hash of the request's path: the key of requests to services without models.
    pub path_hash: u64,
}

/// `Server-Load`: what a server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// Whether a request may have run: the only thing that repeats, refusals and final answers are decided by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum Verdict {
    /// No byte of it was written to any server.
    NeverSent,
    /// The server said so (`Not-Executed`, 421), and nothing of the attempt is still out.
    SurelyNotRun,
    /// It was written in part or whole, and no answer says what became of it.
    MayHaveRun,
    /// A server's answer shows that it ran.
    HasRun,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run in this attempt.
    pub verdict: Verdict,
    /// What was seen.
    pub ending: Ending,
    /// The server's load, where the answer told it.
    pub load: Option<ServerLoad>,
    /// `Retry-After` of the server's answer, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// What was seen at the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Ending {
    /// A whole success has been passed on.
    Served,
    /// A whole answer that is no success is held by the driver, to be passed on or dropped.
    Failed {
        /// Its status.
        status: u16,
    },
    /// The server turned the request away (503, 429, 421, 400 with `Not-Executed` or 421).
    Rejected {
        /// Its status.
        status: u16,
        /// `Instance-Id` of the answer: who is at that address.
        instance: Option<String>,
    },
    /// No connection came up.
    Unreachable,
    /// A connection that had been used before was found closed or reset before any answer.
    StaleConnection,
    /// The connection ended or was reset before a whole head.
    ConnectionLost,
    /// What came is no answer, or another request's.
    MalformedResponse,
    /// The answer broke off after its head had been passed on.
    Truncated {
        /// The last event that was passed on whole, for streams.
        last_event: Option<u64>,
        /// Whether the server is known to have said more than was passed on whole.
        at_fault: bool,
    },
    /// The router called it off (`Action::Cancel`) before its head had been passed on. A stream that is called off
    /// later ends as `Broken`, so that it can be taken up after its last event.
    Cancelled,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server. A held failed answer of an earlier attempt is dropped.
    Send {
        /// The request.
        request: RequestId,
        /// This sending.
        attempt: Attempt,
        /// The server's id, for `Expected-Instance`.
        server: ServerId,
        /// Where it is, `IP:PORT`.
        address: String,
        /// Its service.
        service: String,
        /// For `Deadline-Ms`.
        deadline_ms: u64,
        /// For `Priority`.
        priority: u8,
        /// Take the stream up after this event, inside the answer that the client already has.
        resume_after: Option<u64>,
    },
    /// Pass the held failed answer on to the client, unchanged.
    ForwardFailure(RequestId),
    /// Answer with a failure of our own, at once. Only where no answer's head has been passed on.
    Reject {
        /// The request.
        request: RequestId,
        /// The answer.
        rejection: Rejection,
    },
    /// Break the answer off, as it cannot be completed: the client must see that it is not whole.
    AbortResponse(RequestId),
    /// Stop waiting for an attempt and close its connection; an `Event::Ended` follows.
    Cancel(RequestId, Attempt),
    /// Close the idle connections to a server, and others as they become idle.
    CloseConnections(ServerId),
}

/// An answer of our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// 404, 429, 502, 503 or 504. 429 and 503 promise that the request has not run and never will.
    pub status: u16,
    /// When to come back, in milliseconds; only with 429 and 503.
    pub retry_after_ms: Option<u64>,
    /// Why, for counters and logs.
    pub reason: RejectReason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumCount)]
pub enum RejectReason {
    /// No server of the service is known or usable.
    NoServer,
    /// No server holds the model, and none will in time.
    NoModel,
    /// Every usable server is full.
    Full,
    /// Servers turned it away as often as it may be sent.
    Rejected,
    /// It may have run, and may not be repeated.
    MayHaveRun,
    /// The deadline or the route's timeout has come.
    TooLate,
    /// This process is ending.
    Stopping,
    /// A bound of this process is reached.
    Overloaded,
}

/// What other edges are to be told of requests under way at servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadUpdate {
    /// Whom to tell.
    pub to: Arc<[NodeId]>,
    /// Whose requests are counted.
    pub scope: LoadScope,
    /// What to tell.
    pub loads: Vec<EdgeServerLoad>,
}

/// When the router next wants `Event::Tick`, and what it reports; see `Router`.
pub type NextWake = Option<Millis>;
