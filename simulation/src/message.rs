//! The messages between machines. Their contents are encoded as in production and decoded by the receiver, so that no
//! message can be simulated that could not be sent.

use shaletrail_protocol::frame::{self, PREFIX_BYTES};
use shaletrail_protocol::internal::{EdgeIdentity, OperatorCall, OperatorResponse};
use shaletrail_protocol::ServerId;

/// Identifies a call and its response; unique in a world.
pub type CallNumber = u64;

/// A message on a link.
#[derive(Clone, Debug)]
pub enum Message {
    /// An encoded frame between coordinators.
    Coordinator(Vec<u8>),
    /// A frame of an edge that gets no response.
    EdgeReport {
        /// The identity of the sending edge.
        edge: EdgeIdentity,
        /// The encoded request.
        frame: Vec<u8>,
    },
    /// An encoded load report between edges, one datagram.
    LoadReport(Vec<u8>),
    /// A call that expects a response.
    Call {
        /// The number of the call.
        number: CallNumber,
        /// The call itself.
        call: Call,
    },
    /// The response to a call.
    Response {
        /// The number of the call.
        number: CallNumber,
        /// The response itself.
        response: Response,
    },
    /// The connection of a call was refused or reset.
    ConnectionFailed {
        /// The number of the call.
        number: CallNumber,
        /// Whether the receiver had accepted the call before.
        accepted: bool,
    },
    /// The caller has closed the connection of a call.
    Cancelled {
        /// The number of the call.
        number: CallNumber,
    },
}

/// The calls between machines.
#[derive(Clone, Debug)]
pub enum Call {
    /// A poll of an edge, as a frame.
    Poll {
        /// The identity of the sending edge.
        edge: EdgeIdentity,
        /// The encoded request.
        frame: Vec<u8>,
    },
    /// A server's heartbeat, as JSON.
    Heartbeat {
        /// The identifier of the sending server.
        id: ServerId,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// A server's deregistration.
    Deregister {
        /// The identifier of the sending server.
        id: ServerId,
    },
    /// The operator changes or reads the configuration.
    Operator(OperatorCall),
    /// An order to a server, as JSON.
    Order {
        /// The `Expected-Instance` header: the server that the call is meant for.
        expected: ServerId,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// A call of `GET /report` at a server.
    Report {
        /// The `Expected-Instance` header: the server that the call is meant for.
        expected: ServerId,
    },
    /// A client's request that an edge forwards.
    Request(Request),
}

/// A client's request as an edge sends it to a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client's number of it.
    pub request: u64,
    /// The `Expected-Instance` header: the server that the request is meant for.
    pub expected: ServerId,
    /// The model; empty if the request names none.
    pub model: String,
    /// The adapter, if the request names one.
    pub adapter: Option<String>,
}

/// The responses to calls.
#[derive(Clone, Debug)]
pub enum Response {
    /// The response to a poll, as a frame.
    Poll(Vec<u8>),
    /// To a heartbeat or a deregistration: whether it is acknowledged.
    Server(bool),
    /// The response to a call of the operator.
    Operator(OperatorResponse),
    /// The status of an order.
    Order(u16),
    /// The response to `GET /report`, as JSON.
    Report(Vec<u8>),
    /// To a client's request.
    Request {
        /// The HTTP status.
        status: u16,
        /// The `Instance-Id` header: the server that answered.
        instance: ServerId,
    },
}

/// Decodes a frame as its receiver does.
///
/// # Panics
/// The bytes are not a frame of a message `M`.
pub fn decode<M: bitcode::DecodeOwned>(bytes: &[u8]) -> M {
    let (prefix, body) = bytes.split_first_chunk::<PREFIX_BYTES>().expect("a frame has a prefix");
    let length = frame::body_length(*prefix).expect("a frame is not too long");
    assert_eq!(length, body.len(), "a frame is as long as its prefix says");
    frame::decode(body).expect("a frame is a message")
}
