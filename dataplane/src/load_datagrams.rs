//! Encodes the load updates that an edge sends to others as datagrams.

use shaletrail_protocol::internal::{EdgeLoadReport, EdgeServerLoad};
use shaletrail_protocol::{Incarnation, NodeId};
use shaletrail_routing::interface::LoadUpdate;

/// Loads in one datagram, so that it fits into one packet.
const MAX_LOADS_PER_DATAGRAM: usize = 64;

/// Encodes load updates into datagrams, numbered over one incarnation of the process.
#[derive(Clone, Debug)]
pub struct LoadDatagrams {
    edge: NodeId,
    incarnation: Incarnation,
    last_sequence: u64,
}

impl LoadDatagrams {
    /// The datagrams of one incarnation of an edge.
    pub fn new(edge: NodeId, incarnation: Incarnation) -> Self {
        LoadDatagrams { edge, incarnation, last_sequence: 0 }
    }

    /// The datagrams that carry an update, each to be sent to all of its receivers.
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
