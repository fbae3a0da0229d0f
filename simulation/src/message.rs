//! The messages between machines. Their contents are encoded as in production and decoded by the receiver, so that the
//! simulation cannot send a message that production could not send.

use shaletrail_protocol::frame::{self, PREFIX_BYTES};
use shaletrail_protocol::internal::{EdgeIdentity, OperatorCall, OperatorResponse};
use shaletrail_protocol::ServerId;

/// Identifies a call and its response; unique in a simulation.
pub type CallNumber = u64;

/// A message on a link.
#[derive(Clone, Debug)]
pub enum Message {
    /// A message between coordinators, as an encoded frame.
    Coordinator(Vec<u8>),
    /// A request of an edge to a coordinator that gets no response.
    EdgeReport {
        /// The identity of the sending edge.
        edge: EdgeIdentity,
        /// The request, as an encoded frame.
        frame: Vec<u8>,
    },
    /// A load report between edges, as an encoded datagram.
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
        /// Whether the receiver had accepted the connection, so that it may have handled the call.
        accepted: bool,
    },
    /// The caller has cancelled a call by closing its connection.
    Cancelled {
        /// The number of the call.
        number: CallNumber,
    },
}

/// A call between machines.
#[derive(Clone, Debug)]
pub enum Call {
    /// A poll of an edge.
    Poll {
        /// The identity of the sending edge.
        edge: EdgeIdentity,
        /// The request, as an encoded frame.
        frame: Vec<u8>,
    },
    /// A server's heartbeat.
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
    /// A change or a read of the configuration by the operator.
    Operator(OperatorCall),
    /// An order to a server.
    Order {
        /// The `Expected-Instance` header: the server that the call is addressed to.
        expected: ServerId,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// `GET /report` at a server.
    Report {
        /// The `Expected-Instance` header: the server that the call is addressed to.
        expected: ServerId,
    },
    /// A client's request that an edge forwards to a server.
    Request(Request),
}

/// A client's request as an edge sends it to a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// The number of the request.
    pub request: u64,
    /// The `Expected-Instance` header: the server that the request is addressed to.
    pub expected: ServerId,
    /// The model; empty if the request names none.
    pub model: String,
    /// The adapter, if the request names one.
    pub adapter: Option<String>,
}

/// The response to a call.
#[derive(Clone, Debug)]
pub enum Response {
    /// To a poll: the encoded frame.
    Poll(Vec<u8>),
    /// To a heartbeat or a deregistration: whether it was acknowledged.
    Server(bool),
    /// To a call of the operator.
    Operator(OperatorResponse),
    /// To an order: the HTTP status.
    Order(u16),
    /// To `GET /report`: the JSON body; empty if the server is not the expected one.
    Report(Vec<u8>),
    /// To a client's request.
    Request {
        /// The HTTP status.
        status: u16,
        /// The `Instance-Id` header: the server that responded.
        instance: ServerId,
    },
}

/// Decodes a frame as its receiver does.
///
/// # Panics
/// The bytes are not a complete frame with a valid message of type `M`.
pub fn decode<M: bitcode::DecodeOwned>(bytes: &[u8]) -> M {
    let (prefix, body) = bytes.split_first_chunk::<PREFIX_BYTES>().expect("frame has a length prefix");
    let length = frame::body_length(*prefix).expect("frame length is within the limit");
    assert_eq!(length, body.len(), "frame length differs from its prefix");
    frame::decode(body).expect("frame body decodes to the expected message type")
}
