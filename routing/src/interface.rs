//! The interface between the router and its driver: events that the driver reports, and actions that it
//! executes.

use std::sync::Arc;

use shaletrail_configuration::{Route, View};
use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope, ServerRecord};
use shaletrail_protocol::{Millis, NodeId, ServerId};

/// Id of a request at this edge. The driver assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Number of an attempt within its request, starting at 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u32);

/// An event that the driver reports to the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer configuration has come into force.
    ConfigurationUpdated(Arc<View>),
    /// Server records changed. If `complete` is set, all servers without a record in this event become
    /// unlisted.
    ServersUpdated {
        /// The new or changed records.
        records: Vec<ServerRecord>,
        /// Whether the records are the complete server directory.
        complete: bool,
    },
    /// The number of active edges, including this one, changed. Retry budgets and connection limits are
    /// divided by it.
    EdgeCountUpdated(u32),
    /// A coordinator in contact with a quorum answered a poll. This renews this edge's share of the retry
    /// slack for one retry window from the sending of the poll.
    BudgetShareRenewed {
        /// When the edge sent the poll.
        polled_at: Millis,
    },
    /// The set of active edges changed.
    EdgesUpdated {
        /// Id of this edge.
        own: NodeId,
        /// All active edges, including this one.
        edges: Vec<NodeId>,
    },
    /// Another edge advertised server loads.
    PeerLoads {
        /// The edge that sent the loads.
        edge: NodeId,
        /// The edges whose requests the loads count.
        scope: LoadScope,
        /// At most one load per server.
        loads: Vec<EdgeServerLoad>,
    },
    /// A client sent a request whose head is complete. The driver has looked up its route in the current
    /// configuration.
    Request(NewRequest),
    /// At least a part of the attempt's request has been written to the connection to the server.
    RequestWritten(RequestId, Attempt),
    /// The head of a successful response arrived and is being forwarded. From now on the client has a part of
    /// a server's response.
    ResponseHead(RequestId, Attempt, Option<ServerLoad>),
    /// The first event or byte of the response body arrived.
    FirstEvent(RequestId, Attempt),
    /// A stream whose head was forwarded has paused for much longer than its target for gaps between events,
    /// so its server may have failed. The router returns `Action::Cancel` if the stream may resume at another
    /// server.
    StreamStalled(RequestId, Attempt),
    /// An attempt ended.
    AttemptEnded(RequestId, Attempt, Outcome),
    /// The request is over, since the client has its complete response or has left; no further attempt may be
    /// sent. If an attempt served the request, its `AttemptEnded` comes first. Otherwise this event means
    /// that the client has left.
    RequestFinished(RequestId),
    /// A graceful shutdown began. From now on requests no longer wait for models to load.
    ShutdownRequested,
    /// Time passed. Sent no later than at [`Router::next_wake`](crate::Router::next_wake).
    Tick,
}

/// A request as the driver received it.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Id of the request at this edge.
    pub id: RequestId,
    /// The route, from the configuration that was in force when the head had been read.
    pub route: Arc<Route>,
    /// The part of the `Model` header before the slash; `None` without the header.
    pub model: Option<String>,
    /// The part of the `Model` header after the slash; `None` without a slash.
    pub adapter: Option<String>,
    /// The `Token-Count` header: number of prompt tokens and maximum number of output tokens.
    pub tokens: Option<(u32, u32)>,
    /// The `Prompt-Prefix` header: identifier and number of tokens of each part of the prompt, in order.
    pub prompt: Vec<(u64, u32)>,
    /// The `Deadline-Ms` header, or the route's timeout without the header, in milliseconds.
    pub deadline_ms: u64,
    /// The `Last-Event-Id` header, with which the client resumes a stream.
    pub last_event: Option<u64>,
    /// Length of the body in bytes; `None` if it is not known.
    pub body_bytes: Option<u64>,
    /// Hash of the request's path. For services without models, the server is selected by it.
    pub path_hash: u64,
}

/// The load that a server reports in the `Server-Load` header of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests in the server's queue.
    pub waiting: u32,
    /// Number of requests that the server can run concurrently.
    pub slots: u32,
}

/// What is known about whether a server has run a request, in ascending order of certainty that it has.
/// Retries, rejections and final responses depend on nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum Verdict {
    /// No byte of the request was written to any server.
    NeverSent,
    /// The server stated that it has not run the request (`Not-Executed` header or status 421), and nothing
    /// of the attempt is still in flight.
    SurelyNotRun,
    /// The request was written in part or completely, and no response shows whether it ran.
    MayHaveRun,
    /// A server's response shows that the request ran.
    HasRun,
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run in this attempt.
    pub verdict: Verdict,
    /// How the attempt ended.
    pub ending: Ending,
    /// The server's load, if the response reported it.
    pub load: Option<ServerLoad>,
    /// The `Retry-After` header of the server's response, converted to milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt ended, as observed by the driver.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Ending {
    /// A complete successful response was forwarded.
    Served,
    /// The server sent a complete response other than a success. The driver has buffered it until the router
    /// decides whether it is forwarded.
    Failed {
        /// HTTP status of the response.
        status: u16,
    },
    /// The server rejected the request without running it: status 421, or status 400, 429 or 503 with the
    /// `Not-Executed` header.
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// The `Instance-Id` header of the response: the instance that runs at the address.
        instance: Option<String>,
    },
    /// No connection to the server could be established.
    Unreachable,
    /// A reused connection turned out to be closed or reset before any part of a response arrived.
    StaleConnection,
    /// The connection was closed or reset before the response head was complete.
    ConnectionLost,
    /// The received data is not a valid response, or belongs to another request.
    MalformedResponse,
    /// The response was truncated after its head had been forwarded.
    Truncated {
        /// For streams, the id of the last complete event that was forwarded.
        last_event: Option<u64>,
        /// Whether the server is known to have sent data beyond the last completely forwarded event.
        at_fault: bool,
    },
    /// The router cancelled the attempt (`Action::Cancel`) before the response head was forwarded. A stream
    /// that is cancelled later ends as `Truncated`, so that it can resume after its last event.
    Cancelled,
}

/// An action that the driver has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to a server, and drop the buffered failed response of an earlier
    /// attempt.
    Send {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Id of the server, for the `Expected-Instance` header.
        server: ServerId,
        /// Address of the server, as `IP:PORT`.
        address: String,
        /// Name of the service that the server belongs to.
        service: String,
        /// Value of the `Deadline-Ms` header, in milliseconds.
        deadline_ms: u64,
        /// Value of the `Priority` header.
        priority: u8,
        /// If set, resume the stream after the event with this id, within the response that the client
        /// already receives.
        resume_after: Option<u64>,
    },
    /// Forward the buffered failed response to the client, unchanged.
    ForwardFailure(RequestId),
    /// Reject the request now. Only returned if no response head was forwarded.
    Reject {
        /// Id of the request.
        request: RequestId,
        /// The response to the client.
        rejection: Rejection,
    },
    /// Abort a response that cannot be completed, in such a way that the client notices the truncation.
    AbortResponse(RequestId),
    /// Cancel the attempt and close its connection. The driver then reports `Event::AttemptEnded`.
    Cancel(RequestId, Attempt),
    /// Close the idle connections to a server, and the others when they become idle.
    CloseConnections(ServerId),
}

/// A response that the edge generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status: 404, 429, 502, 503 or 504. 429 and 503 guarantee that the request has not run and never
    /// will.
    pub status: u16,
    /// Delay after which the client may retry, in milliseconds; only set with 429 and 503.
    pub retry_after_ms: Option<u64>,
    /// Reason of the rejection, for counters and logs.
    pub reason: RejectReason,
}

/// The reason for rejecting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::EnumCount)]
pub enum RejectReason {
    /// No server of the service is known or usable.
    NoServer,
    /// No server has the model loaded, and none is expected to load it in time.
    NoModel,
    /// Every usable server is full.
    Full,
    /// Servers rejected the request, and no further attempt is allowed.
    Rejected,
    /// The request may have run, and no further attempt is allowed.
    MayHaveRun,
    /// The deadline or the route's timeout has passed.
    TooLate,
    /// This process is shutting down.
    Stopping,
    /// A limit of this process on open or queued requests was reached.
    Overloaded,
}

/// An update of server loads to be sent to other edges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The edges to send the update to.
    pub to: Arc<[NodeId]>,
    /// The edges whose requests are counted.
    pub scope: LoadScope,
    /// At most one load per server.
    pub loads: Vec<EdgeServerLoad>,
}

/// When the router next needs an `Event::Tick`; `None` if no timer is set.
pub type NextWake = Option<Millis>;
