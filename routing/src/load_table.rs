//! The loads received from other edges, by edge and in sum by server.
//!
//! An update carries states and not changes: the next one repairs a lost datagram, and the loads of an edge expire when it
//! sends no more.

use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::{Millis, NodeId};

/// How long a received load counts, in milliseconds.
const LOAD_TTL: Millis = 1_500;
/// After how long a load other than zero is advertised again, in milliseconds; well below [`LOAD_TTL`].
pub(crate) const REFRESH_INTERVAL: Millis = 500;
/// Edges of which loads are kept.
const MAX_EDGES: usize = 256;
/// Servers of which one edge's loads are kept.
const MAX_SERVERS_PER_EDGE: usize = 8_192;

/// The load that edges have put on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RemoteLoad {
    /// Requests in flight.
    pub open: u32,
    /// Prompt tokens of those whose response has not begun.
    pub prefill_tokens: u64,
    /// Edges to which the server is unresponsive.
    pub unresponsive_edges: u32,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    load: EdgeServerLoad,
    until: Millis,
}

/// Received loads, by edge and in sum.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    edges: HashMap<NodeId, HashMap<u64, ReceivedLoad>>,
    sums: HashMap<u64, RemoteLoad>,
    next_expiry: Millis,
}

impl LoadTable {
    /// Records an update of an edge; beyond the bounds on edges and servers it is ignored.
    pub fn record(&mut self, now: Millis, edge: NodeId, loads: Vec<EdgeServerLoad>) {
        self.expire(now);
        if self.edges.len() >= MAX_EDGES && !self.edges.contains_key(&edge) {
            return;
        }
        let servers = self.edges.entry(edge).or_default();
        for load in loads {
            if servers.len() >= MAX_SERVERS_PER_EDGE && !servers.contains_key(&load.server_hash) {
                continue;
            }
            let received = ReceivedLoad { load, until: now + LOAD_TTL };
            let previous =
                servers.insert(load.server_hash, received).map(|received| received.load).unwrap_or_default();
            let sum = self.sums.entry(load.server_hash).or_default();
            subtract(sum, &previous);
            add(sum, &load);
        }
        self.next_expiry = self.next_expiry.min(now + LOAD_TTL);
    }

    /// The sum of the edges' loads at a server.
    pub fn at(&self, server: u64) -> RemoteLoad {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// The servers with any load.
    pub fn servers(&self) -> impl Iterator<Item = u64> + '_ {
        self.sums.keys().copied()
    }

    /// Drops the loads that have expired.
    pub fn expire(&mut self, now: Millis) {
        if now < self.next_expiry {
            return;
        }
        let sums = &mut self.sums;
        for servers in self.edges.values_mut() {
            servers.retain(|server, received| {
                let is_valid = received.until > now;
                if !is_valid {
                    if let Some(sum) = sums.get_mut(server) {
                        subtract(sum, &received.load);
                    }
                }
                is_valid
            });
        }
        self.edges.retain(|_, servers| !servers.is_empty());
        self.sums.retain(|_, sum| *sum != RemoteLoad::default());
        self.next_expiry = now + LOAD_TTL / 2;
    }
}

impl RemoteLoad {
    /// The sum of both.
    pub fn saturating_add(self, other: RemoteLoad) -> RemoteLoad {
        RemoteLoad {
            open: self.open.saturating_add(other.open),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            unresponsive_edges: self.unresponsive_edges.saturating_add(other.unresponsive_edges),
        }
    }

    /// This sum without the load of one edge.
    pub fn excluding(mut self, load: &EdgeServerLoad) -> RemoteLoad {
        subtract(&mut self, load);
        self
    }

    /// The message form, for an update to other edges; saturates at the bounds of its fields.
    pub fn to_edge_load(self, server: u64) -> EdgeServerLoad {
        EdgeServerLoad {
            server_hash: server,
            in_flight: u16::try_from(self.open).unwrap_or(u16::MAX),
            prefill_tokens: u32::try_from(self.prefill_tokens).unwrap_or(u32::MAX),
            unresponsive: self.unresponsive_edges > 0,
        }
    }
}

fn add(sum: &mut RemoteLoad, load: &EdgeServerLoad) {
    sum.open += u32::from(load.in_flight);
    sum.prefill_tokens += u64::from(load.prefill_tokens);
    sum.unresponsive_edges += u32::from(load.unresponsive);
}

fn subtract(sum: &mut RemoteLoad, load: &EdgeServerLoad) {
    sum.open = sum.open.saturating_sub(u32::from(load.in_flight));
    sum.prefill_tokens = sum.prefill_tokens.saturating_sub(u64::from(load.prefill_tokens));
    sum.unresponsive_edges = sum.unresponsive_edges.saturating_sub(u32::from(load.unresponsive));
}
