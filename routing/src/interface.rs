//! The events that the driver reports to the router, and the actions that it carries out.

use std::sync::Arc;

use shaletrail_configuration::{Route, View};
use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope, ServerRecord};
use shaletrail_protocol::{Millis, NodeId, ServerId};

/// Identifies a request at this edge; assigned by the driver, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The number of an attempt of a request: 0 for the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u32);

/// What the driver reports to the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer configuration is in force.
    ConfigurationUpdated(Arc<View>),
    /// Servers changed; where `complete` is set, all servers not among them are unlisted.
    ServersUpdated {
        /// The records.
        records: Vec<ServerRecord>,
        /// Whether they are the complete directory.
        complete: bool,
    },
    /// Number of edges at work, this one included; budgets and limits are divided by it.
    EdgeCountUpdated(u32),
    /// A coordinator in contact with a quorum has answered a poll, which was sent at this time: this edge's share of the retry
    /// budget's slack holds for one window from then on.
    BudgetShareRenewed {
        /// When the poll was sent.
        polled_at: Millis,
    },
    /// The edges at work, by name.
    EdgesUpdated {
        /// This edge.
        own: NodeId,
        /// All edges, this one included.
        edges: Vec<NodeId>,
    },
    /// Another edge advertised its loads at servers.
    PeerLoads {
        /// The edge.
        edge: NodeId,
        /// Whose requests it counted.
        scope: LoadScope,
        /// The loads, by server.
        loads: Vec<EdgeServerLoad>,
    },
    /// A client's request with its complete head. Its route was looked up in the configuration then in force.
    Request(NewRequest),
    /// An attempt's request has been written to a server's connection, in part at least.
    RequestWritten(RequestId, Attempt),
    /// The head of a success has arrived and is being forwarded: from here on the client has a server's response.
    ResponseHead(RequestId, Attempt, Option<ServerLoad>),
    /// The first event (or byte) of the body has arrived.
    FirstEvent(RequestId, Attempt),
    /// A stream whose head was forwarded has paused for far longer than its gap target, so that its server may be
    /// gone. Answered with `Action::Cancel` where the stream may resume at another server.
    StreamStalled(RequestId, Attempt),
    /// An attempt ended.
    AttemptEnded(RequestId, Attempt, Outcome),
    /// The client has its complete response, or has left: the request is over and nothing may be sent for it. Comes
    /// after the `AttemptEnded` of an attempt that served it; before that, it means that the client has left.
    RequestFinished(RequestId),
    /// The process shuts down gracefully: requests no longer wait for models to load.
    ShutdownRequested,
    /// Time passed; sent at `Router::next_wake` or earlier.
    Tick,
}

/// A request as the driver received it.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Its id at this edge.
    pub id: RequestId,
    /// The route, of the configuration in force when the head had been read.
    pub route: Arc<Route>,
    /// `Model` before the slash.
    pub model: Option<String>,
    /// `Model` after the slash.
    pub adapter: Option<String>,
    /// `Token-Count`: tokens of the prompt, and output tokens at most.
    pub tokens: Option<(u32, u32)>,
    /// `Prompt-Prefix`: parts of the prompt, in order, with their tokens.
    pub prompt: Vec<(u64, u32)>,
    /// `Deadline-Ms`, or the route's timeout where there is none.
    pub deadline_ms: u64,
    /// `Last-Event-Id`, where the client resumes a stream.
    pub last_event: Option<u64>,
    /// Bytes of the body where its length is known.
    pub body_bytes: Option<u64>,
    /// Hash of the request's path: the key of requests to services without models.
    pub path_hash: u64,
}

/// `Server-Load`: the load that a server reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// Whether a request may have run: the only basis of retries, rejections and final responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum Verdict {
    /// No byte of it was written to any server.
    NeverSent,
    /// The server said so (`Not-Executed`, 421), and nothing of the attempt is still in flight.
    SurelyNotRun,
    /// It was written in part or completely, and no response shows whether it ran.
    MayHaveRun,
    /// A server's response shows that it ran.
    HasRun,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run in this attempt.
    pub verdict: Verdict,
    /// What the driver saw.
    pub ending: Ending,
    /// The server's load, where the response reported it.
    pub load: Option<ServerLoad>,
    /// `Retry-After` of the server's response, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt ended, as the driver saw it.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Ending {
    /// A complete success was forwarded.
    Served,
    /// A complete response other than a success is buffered by the driver, to be forwarded or dropped.
    Failed {
        /// Its status.
        status: u16,
    },
    /// The server rejected the request (503, 429, 421, 400 with `Not-Executed` or 421).
    Rejected {
        /// Its status.
        status: u16,
        /// `Instance-Id` of the response: the instance at that address.
        instance: Option<String>,
    },
    /// No connection came up.
    Unreachable,
    /// A connection that had been used before was found closed or reset before any response.
    StaleConnection,
    /// The connection ended or was reset before a complete head.
    ConnectionLost,
    /// What arrived is not a valid response, or belongs to another request.
    MalformedResponse,
    /// The response was truncated after its head had been forwarded.
    Truncated {
        /// The last complete event that was forwarded, for streams.
        last_event: Option<u64>,
        /// Whether the server is known to have sent more than was forwarded completely.
        at_fault: bool,
    },
    /// The router cancelled it (`Action::Cancel`) before its head had been forwarded. A stream that is cancelled later
    /// ends as `Truncated`, so that it can resume after its last event.
    Cancelled,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server. A buffered failed response of an earlier attempt is dropped.
    Send {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// The server's id, for `Expected-Instance`.
        server: ServerId,
        /// Its address, `IP:PORT`.
        address: String,
        /// Its service.
        service: String,
        /// For `Deadline-Ms`.
        deadline_ms: u64,
        /// For `Priority`.
        priority: u8,
        /// Resume the stream after this event, inside the response that the client already has.
        resume_after: Option<u64>,
    },
    /// Forward the buffered failed response to the client, unchanged.
    ForwardFailure(RequestId),
    /// Reject the request at once. Only where no response's head was forwarded.
    Reject {
        /// The request.
        request: RequestId,
        /// The response to the client.
        rejection: Rejection,
    },
    /// Abort the response, which cannot be completed: the client must see that it is truncated.
    AbortResponse(RequestId),
    /// Stop waiting for an attempt and close its connection; an `Event::AttemptEnded` follows.
    Cancel(RequestId, Attempt),
    /// Close the idle connections to a server, and others as they become idle.
    CloseConnections(ServerId),
}

/// A response of the edge itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// 404, 429, 502, 503 or 504. 429 and 503 promise that the request has not run and never will.
    pub status: u16,
    /// When to retry, in milliseconds; only with 429 and 503.
    pub retry_after_ms: Option<u64>,
    /// The reason, for counters and logs.
    pub reason: RejectReason,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumCount)]
pub enum RejectReason {
    /// No server of the service is known or usable.
    NoServer,
    /// No server has the model loaded, and none will in time.
    NoModel,
    /// Every usable server is full.
    Full,
    /// Servers rejected it as often as it may be sent.
    Rejected,
    /// It may have run, and may not be repeated.
    MayHaveRun,
    /// The deadline or the route's timeout has passed.
    TooLate,
    /// This process is shutting down.
    Stopping,
    /// A bound of this process is reached.
    Overloaded,
}

/// An update of loads at servers, to be sent to other edges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The receivers.
    pub to: Arc<[NodeId]>,
    /// Whose requests are counted.
    pub scope: LoadScope,
    /// The loads, by server.
    pub loads: Vec<EdgeServerLoad>,
}

/// When the router next wants `Event::Tick`; `None` while no timer is set.
pub type NextWake = Option<Millis>;
