//! What travels on the links. All that crosses a machine's border is encoded as in production and decoded by the
//! receiver, so that nothing passes that could not be sent.

use shaletrail_protocol::frame::{self, PREFIX_BYTES};
use shaletrail_protocol::internal::{EdgeIdentity, OperatorCall, OperatorResponse};
use shaletrail_protocol::ServerId;

/// Names a call and its answer; given by the world, never used twice.
pub type CallNumber = u64;

/// Something on a link.
#[derive(Clone, Debug)]
pub enum Message {
    /// A frame of one coordinator for another.
    Core(Vec<u8>),
    /// A frame of an edge that needs no answer.
    EdgeReport {
        /// The edge.
        edge: EdgeIdentity,
        /// The frame.
        frame: Vec<u8>,
    },
    /// A datagram of one edge to another.
    Loads(Vec<u8>),
    /// Something that is to be answered.
    Call {
        /// Its name.
        number: CallNumber,
        /// What is asked.
        call: Call,
    },
    /// The answer.
    Answer {
        /// The call's name.
        number: CallNumber,
        /// What is answered.
        answer: Answer,
    },
    /// The connection of a call has been refused or reset.
    Refused {
        /// The call's name.
        number: CallNumber,
        /// Whether the call had been read before.
        accepted: bool,
    },
    /// The caller has closed the connection of a call.
    Closed {
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
    /// A heartbeat, as JSON.
    Heartbeat {
        /// The server.
        id: ServerId,
        /// The body.
        body: Vec<u8>,
    },
    /// A server's farewell.
    Deregister {
        /// The server.
        id: ServerId,
    },
    /// A call of the operator.
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
    /// A client's request.
    Request(Request),
}

/// A client's request on its way to a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client's name for it.
    pub request: u64,
    /// `Expected-Instance`.
    pub expected: ServerId,
    /// The model; empty where the service has none.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
}

/// What is answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// To a poll, as a frame.
    Poll(Vec<u8>),
    /// To a heartbeat or a farewell: whether it is acknowledged.
    Server(bool),
    /// To the operator.
    Operator(OperatorResponse),
    /// To an order: its status.
    Order(u16),
    /// To `GET /report`, as JSON.
    Report(Vec<u8>),
    /// To a request: its status, and who answers where it was turned away.
    Request {
        /// The status.
        status: u16,
        /// `Instance-Id`.
        instance: ServerId,
    },
}

/// Reads a frame as its receiver does.
///
/// # Panics
/// What was sent is not what a receiver takes.
pub fn decode<M: bitcode::DecodeOwned>(bytes: &[u8]) -> M {
    let (prefix, body) = bytes.split_first_chunk::<PREFIX_BYTES>().expect("a frame has a prefix");
    let length = frame::body_length(*prefix).expect("a frame is not too long");
    assert_eq!(length, body.len(), "a frame is as long as its prefix says");
    frame::decode(body).expect("a frame is a message")
}
