//! Loads that edges announce to each other, as datagrams.

use bitcode::{Decode, Encode};

use crate::{Incarnation, NodeId};

/// The load that edges put on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EdgeServerLoad {
    /// Hash of the server's id (`shaletrail_ring::hash_of_name`).
    pub server: u64,
    /// Requests in flight to the server.
    pub in_flight: u16,
    /// Prompt tokens of those requests whose response has not begun.
    pub prefill_tokens: u32,
    /// Whether requests have waited there for long without any sign of life from the server.
    pub unresponsive: bool,
}

/// The edges whose requests the loads of a report count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum LoadScope {
    /// The sender alone.
    #[default]
    Own,
    /// All edges of the sender's group; relays of the groups send these to each other.
    Group,
    /// All edges; a relay sends these to the edges of its group.
    Fleet,
}

/// A datagram from one edge to others, with the loads that have changed or are due to be repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EdgeLoadReport {
    /// The machine of the sender.
    pub edge: NodeId,
    /// The start of the sender's process.
    pub incarnation: Incarnation,
    /// Rises with each datagram of one incarnation, so that late ones are recognised.
    pub sequence: u64,
    /// The edges whose requests are counted.
    pub scope: LoadScope,
    /// Loads by server; each replaces the sender's last one on that server in the same scope.
    pub loads: Vec<EdgeServerLoad>,
}
