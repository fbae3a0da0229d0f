//! Events scheduled in virtual time, grouped by the kind of node that handles them.

use std::rc::Rc;

use shaletrail_coordinator::interface::{OrderId, OrderOutcome};
use shaletrail_protocol::external::{Order, ServerReport};
use shaletrail_protocol::ServerId;
use shaletrail_routing::interface::{Attempt, RequestId};

/// An event that a coordinator handles.
#[derive(Clone, Debug)]
pub enum CoordinatorEvent {
    /// The periodic tick of the coordinator's clock.
    Tick,
    /// The disk has synced all records up to this ticket.
    Synced(u64),
    /// A frame from another coordinator arrives.
    CoordinatorFrame {
        /// Index of the sending coordinator.
        from: usize,
        /// The encoded message with its length prefix.
        frame: Rc<[u8]>,
    },
    /// A frame from an edge arrives.
    EdgeFrame {
        /// Index of the edge.
        edge: usize,
        /// Id of the poll; unused if the frame is not a poll.
        poll: u64,
        /// The encoded message with its length prefix.
        frame: Vec<u8>,
    },
    /// An edge has cancelled the poll with this id.
    PollCancelled(u64),
    /// A heartbeat from a server arrives.
    Heartbeat {
        /// Index of the server.
        server: usize,
        /// Id of the server's current incarnation.
        id: ServerId,
        /// Body of the request, as JSON.
        body: Vec<u8>,
    },
    /// A configuration change from the operator arrives, with its JSON body.
    OperatorChange(Vec<u8>),
    /// An order to a server has completed with this outcome.
    OrderCompleted(OrderId, OrderOutcome),
    /// A server has responded to a request for its report; `None` if the server has been restarted since.
    ReportReceived(ServerId, Option<Box<ServerReport>>),
}

/// An event that an edge handles.
#[derive(Clone, Debug)]
pub enum EdgeEvent {
    /// Starts a poll, unless one is pending.
    Poll,
    /// The response to a poll arrives.
    PollResponse {
        /// Id of the poll.
        poll: u64,
        /// The encoded message with its length prefix.
        frame: Vec<u8>,
    },
    /// The poll with this id timed out, or its connection was refused or reset.
    PollFailed(u64),
    /// The back-off after the failure of all coordinators is over.
    RetryCoordinators,
    /// Sends demand that cannot wait for the next poll.
    SendUrgentReport,
    /// Sends load updates to other edges.
    SendLoadUpdates,
    /// A load datagram from another edge arrives.
    LoadDatagram(Rc<[u8]>),
    /// The time at which the router asked to be woken up.
    RouterWake,
    /// A request from a client arrives.
    ClientRequest,
    /// A server's response to a client request arrives.
    ServerResponse {
        /// The client request.
        request: RequestId,
        /// The attempt to which the server responded.
        attempt: Attempt,
        /// Index of the server.
        server: usize,
        /// HTTP status of the response.
        status: u16,
    },
}

/// An event that a model server handles.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// The server sends its next heartbeat.
    Heartbeat,
    /// An order from a coordinator arrives.
    Order {
        /// Index of the coordinator.
        coordinator: usize,
        /// Incarnation of the coordinator that sent the order.
        incarnation: u64,
        /// Id of the order.
        order: OrderId,
        /// Id of the server incarnation that the order is addressed to.
        expected: ServerId,
        /// Body of the order.
        body: Box<Order>,
    },
    /// The order in progress completes.
    OrderCompleted,
    /// A coordinator's request for the server's report arrives.
    FetchReport {
        /// Index of the coordinator.
        coordinator: usize,
        /// Incarnation of the coordinator that sent the request.
        incarnation: u64,
        /// Id of the server incarnation that the request is addressed to.
        expected: ServerId,
    },
}

/// A scheduled event. Nodes are identified by their index within their class. An event for an earlier incarnation of a
/// process is dropped.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// An event of a coordinator, with the coordinator's index and incarnation.
    Coordinator(usize, u64, CoordinatorEvent),
    /// An event of an edge, with the edge's index and incarnation.
    Edge(usize, u64, EdgeEvent),
    /// An event of a server, with the server's index.
    Server(usize, ServerEvent),
    /// The operator sends a configuration change.
    OperatorChange,
    /// The machine of a randomly chosen server restarts.
    ServerRestart,
}
