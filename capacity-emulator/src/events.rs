//! Events that are scheduled for a later moment of virtual time, by the kind of node that handles them.

use std::rc::Rc;

use shaletrail_coordinator::interface::{OrderId, OrderOutcome};
use shaletrail_protocol::external::{Order, ServerReport};
use shaletrail_protocol::ServerId;
use shaletrail_routing::interface::{Attempt, RequestId};

/// An event of a coordinator.
#[derive(Clone, Debug)]
pub enum CoordinatorEvent {
    /// The coordinator's clock advances.
    Tick,
    /// The disk has synced all records up to a ticket.
    Synced(u64),
    /// A frame of another coordinator arrives.
    CoordinatorFrame {
        /// The index of the sender.
        from: usize,
        /// The encoded message with its length prefix.
        frame: Rc<[u8]>,
    },
    /// A frame of an edge arrives.
    EdgeFrame {
        /// The index of the edge.
        edge: usize,
        /// The id of the poll; of no meaning if the frame is no poll.
        poll: u64,
        /// The encoded message with its length prefix.
        frame: Vec<u8>,
    },
    /// An edge has cancelled the poll of this id.
    PollCancelled(u64),
    /// A server's heartbeat arrives.
    Heartbeat {
        /// The index of the server.
        server: usize,
        /// The id of the server's present incarnation.
        id: ServerId,
        /// The body of the request, in JSON.
        body: Vec<u8>,
    },
    /// A change by the operator arrives; its body, in JSON.
    OperatorChange(Vec<u8>),
    /// An order to a server has completed.
    OrderCompleted(OrderId, OrderOutcome),
    /// A server has responded to a request for its report; `None` if it is another incarnation now.
    ReportReceived(ServerId, Option<Box<ServerReport>>),
}

/// An event of an edge.
#[derive(Clone, Debug)]
pub enum EdgeEvent {
    /// The edge polls, unless a poll is pending.
    Poll,
    /// The response to a poll arrives.
    PollResponse {
        /// The id of the poll.
        poll: u64,
        /// The encoded message with its length prefix.
        frame: Vec<u8>,
    },
    /// The poll of this id timed out, or its connection was refused or reset.
    PollFailed(u64),
    /// All coordinators have failed, and the delay before they are tried again is over.
    RetryCoordinators,
    /// Demand that cannot wait for the next poll is sent.
    SendUrgentReport,
    /// The edge sends updates of its loads to other edges.
    SendLoadUpdates,
    /// A load datagram of another edge arrives.
    LoadDatagram(Rc<[u8]>),
    /// The time at which the router asked to be called.
    RouterWake,
    /// A client's request arrives.
    ClientRequest,
    /// A server's response to a client's request arrives.
    ServerResponse {
        /// The client's request.
        request: RequestId,
        /// The attempt at it.
        attempt: Attempt,
        /// The index of the server.
        server: usize,
        /// The HTTP status.
        status: u16,
    },
}

/// An event of a model server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// The server sends its next heartbeat.
    Heartbeat,
    /// An order of a coordinator arrives.
    Order {
        /// The index of the coordinator.
        coordinator: usize,
        /// The incarnation of the coordinator that sent it.
        incarnation: u64,
        /// The id of the order.
        order: OrderId,
        /// The incarnation of the server that the order is for.
        expected: ServerId,
        /// What is ordered.
        body: Box<Order>,
    },
    /// The server completes the order in flight.
    OrderCompleted,
    /// A coordinator's request for the server's report arrives.
    FetchReport {
        /// The index of the coordinator.
        coordinator: usize,
        /// The incarnation of the coordinator that sent it.
        incarnation: u64,
        /// The incarnation of the server that the request is for.
        expected: ServerId,
    },
}

/// An event of any node or of the outside. Nodes are named by their index in their class; an event for a former
/// incarnation of a process is dropped.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// Of a coordinator, by its index and incarnation.
    Coordinator(usize, u64, CoordinatorEvent),
    /// Of an edge, by its index and incarnation.
    Edge(usize, u64, EdgeEvent),
    /// Of a server, by its index.
    Server(usize, ServerEvent),
    /// The operator sends a change.
    OperatorChange,
    /// The machine of a random server restarts.
    ServerRestart,
}
