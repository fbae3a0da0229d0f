//! Datagrams in which an edge tells others of requests at servers.

use shaletrail_protocol::internal::{EdgeLoadReport, EdgeServerLoad};
use shaletrail_protocol::{Incarnation, NodeId};
use shaletrail_routing::interface::LoadUpdate;

/// Shares in one datagram, so that it fits into one packet.
const MOST_SHARES: usize = 64;

/// Puts what is to be told into datagrams, numbered over one start of the process.
#[derive(Clone, Debug)]
pub struct LoadDatagrams {
    edge: NodeId,
    incarnation: Incarnation,
    number: u64,
}

impl LoadDatagrams {
    /// The datagrams of one start of an edge's process.
    pub fn new(edge: NodeId, incarnation: Incarnation) -> Self {
        LoadDatagrams { edge, incarnation, number: 0 }
    }

    /// The datagrams that carry the news, each to be sent to all that are to be told.
    pub fn encode(&mut self, news: &LoadUpdate) -> Vec<Vec<u8>> {
        news.loads.chunks(MOST_SHARES).map(|shares| self.encode_part(news, shares)).collect()
    }

    fn encode_part(&mut self, news: &LoadUpdate, shares: &[EdgeServerLoad]) -> Vec<u8> {
        self.number += 1;
        bitcode::encode(&EdgeLoadReport {
            edge: self.edge,
            incarnation: self.incarnation,
            sequence: self.number,
            scope: news.scope,
            loads: shares.to_vec(),
        })
    }
}
