//! What travels on the links. All that crosses a machine's border is encoded as in production and decoded by the
//! receiver, so that nothing passes that could not be sent.

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
        /// The edge.
        edge: EdgeIdentity,
        /// The frame.
        frame: Vec<u8>,
    },
    /// An encoded load report between edges, one datagram.
    LoadReport(Vec<u8>),
    /// A call that expects a response.
    Call {
        /// Its name.
        number: CallNumber,
        /// What is asked.
        call: Call,
    },
    /// The answer.
    Response {
        /// The call's name.
        number: CallNumber,
        /// What is answered.
        response: Response,
    },
    /// The connection of a call was refused or reset.
    ConnectionFailed {
        /// The call's name.
        number: CallNumber,
        /// Whether the receiver had accepted the call before.
        accepted: bool,
    },
    /// The caller has closed the connection of a call.
    Cancelled {
        /// The call's name.
        number: CallNumber,
    },
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum Call {
    /// A poll of an edge, as a frame.
    Poll {
        /// The edge.
        edge: EdgeIdentity,
        /// The frame.
        frame: Vec<u8>,
    },
    /// A server's heartbeat, as JSON.
    Heartbeat {
        /// The server.
        id: ServerId,
        /// The body.
        body: Vec<u8>,
    },
    /// A server's deregistration.
    Deregister {
        /// The server.
        id: ServerId,
    },
    /// The operator changes or reads the configuration.
    Operator(OperatorCall),
    /// An order to a server, as JSON.
    Order {
        /// `Expected-Instance`.
        expected: ServerId,
        /// The body.
        body: Vec<u8>,
    },
    /// `GET /report`.
    Report {
        /// `Expected-Instance`.
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
    /// `Expected-Instance`.
    pub expected: ServerId,
    /// The model; empty if the request names none.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
}

/// What is answered.
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
        /// The status.
        status: u16,
        /// `Instance-Id`.
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
