//! Encodes the load reports that an edge sends to the other edges as datagrams.

use shaletrail_protocol::internal::{EdgeLoadReport, EdgeServerLoad};
use shaletrail_protocol::{Incarnation, NodeId};
use shaletrail_routing::interface::LoadUpdate;

/// Limits the size of a datagram, so that it is not fragmented.
const MAX_LOADS_PER_DATAGRAM: usize = 64;

/// Encodes load updates into datagrams, which are numbered consecutively from 1 during one incarnation of the
/// process.
#[derive(Clone, Debug)]
pub struct LoadDatagramEncoder {
    edge: NodeId,
    incarnation: Incarnation,
    last_sequence: u64,
}

impl LoadDatagramEncoder {
    /// Creates an encoder for the datagrams that `edge` sends in this incarnation of its process.
    pub fn new(edge: NodeId, incarnation: Incarnation) -> Self {
        LoadDatagramEncoder { edge, incarnation, last_sequence: 0 }
    }

    /// Encodes an update into one or more datagrams, each of which is to be sent to all receivers of the
    /// update; none if it lists no loads.
    pub fn encode(&mut self, update: &LoadUpdate) -> Vec<Vec<u8>> {
        update.loads.chunks(MAX_LOADS_PER_DATAGRAM).map(|loads| self.encode_chunk(update, loads)).collect()
    }

    fn encode_chunk(&mut self, update: &LoadUpdate, loads: &[EdgeServerLoad]) -> Vec<u8> {
        self.last_sequence += 1;
        bitcode::encode(&EdgeLoadReport {
            edge: self.edge,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            scope: update.scope,
            loads: loads.to_vec(),
        })
    }
}
