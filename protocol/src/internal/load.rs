//! Datagrams in which edges tell each other how much load they put on each server.

use bitcode::{Decode, Encode};

use crate::{Incarnation, NodeId};

/// The load that one or more edges put on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EdgeServerLoad {
    /// The hash of the server's id, computed by `shaletrail_ring::hash_of_name`.
    pub server_hash: u64,
    /// The number of requests in flight to the server.
    pub in_flight: u16,
    /// The total prompt tokens of the requests in flight whose response has not begun.
    pub prefill_tokens: u32,
    /// Whether a request has been waiting for a long time, and the server has answered no request since it was sent.
    pub unresponsive: bool,
}

/// The set of edges whose requests a load report counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum LoadScope {
    /// Only the sender.
    #[default]
    Own,
    /// All edges of the sender's group. The relays of the groups send these reports to each other.
    Group,
    /// All edges. A relay sends these reports to the edges of its group.
    Fleet,
}

/// A datagram from one edge to others, with loads that have changed and loads that are due for a periodic refresh.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EdgeLoadReport {
    /// The machine of the sender.
    pub edge: NodeId,
    /// The current run of the sender's process.
    pub incarnation: Incarnation,
    /// Increases with each datagram of one incarnation, so that datagrams that arrive out of order are recognized.
    pub sequence: u64,
    /// The set of edges whose requests the loads count.
    pub scope: LoadScope,
    /// Loads by server. Each replaces the sender's previous load for that server in the same scope.
    pub loads: Vec<EdgeServerLoad>,
}
