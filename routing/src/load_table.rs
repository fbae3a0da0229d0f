//! The loads received from other edges, by edge and as a sum per server.
//!
//! Updates carry absolute loads, not differences, so the next update makes up for a lost datagram. The loads
//! of an edge expire if it stops sending updates.

use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::{Millis, NodeId};

/// How long a received load is valid.
const LOAD_TTL_MS: Millis = 1_500;
/// Interval after which an unchanged load other than zero is advertised again. It is well below
/// [`LOAD_TTL_MS`], so that the load does not expire if an update is lost.
pub(crate) const REFRESH_INTERVAL_MS: Millis = 500;
/// Maximum number of edges whose loads are kept.
const MAX_EDGES: usize = 256;
/// Maximum number of servers per edge whose loads are kept.
const MAX_SERVERS_PER_EDGE: usize = 8_192;

/// The sum of the loads that other edges have put on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RemoteLoad {
    pub open_requests: u32,
    /// Number of prompt tokens of the requests whose response has not begun.
    pub prefill_tokens: u64,
    /// Number of edges to which the server is unresponsive.
    pub unresponsive_edges: u32,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    load: EdgeServerLoad,
    expires_at: Millis,
}

#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    edges: HashMap<NodeId, HashMap<u64, ReceivedLoad>>,
    sums: HashMap<u64, RemoteLoad>,
    next_expiry: Millis,
}

impl LoadTable {
    /// Records an update from an edge. Loads beyond the maximum number of edges or servers are ignored.
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
            let received = ReceivedLoad { load, expires_at: now + LOAD_TTL_MS };
            let previous =
                servers.insert(load.server_hash, received).map(|received| received.load).unwrap_or_default();
            let sum = self.sums.entry(load.server_hash).or_default();
            subtract(sum, &previous);
            add(sum, &load);
        }
        self.next_expiry = self.next_expiry.min(now + LOAD_TTL_MS);
    }

    /// The sum of all edges' loads at a server.
    pub fn load_of(&self, server: u64) -> RemoteLoad {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// The servers with a received load.
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
                let is_valid = received.expires_at > now;
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
        self.next_expiry = now + LOAD_TTL_MS / 2;
    }
}

impl RemoteLoad {
    /// Adds two sums. Fields that would overflow are set to their maximum.
    pub fn saturating_add(self, other: RemoteLoad) -> RemoteLoad {
        RemoteLoad {
            open_requests: self.open_requests.saturating_add(other.open_requests),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            unresponsive_edges: self.unresponsive_edges.saturating_add(other.unresponsive_edges),
        }
    }

    /// This sum minus the load of one edge.
    pub fn excluding(mut self, load: &EdgeServerLoad) -> RemoteLoad {
        subtract(&mut self, load);
        self
    }

    /// Converts the load to its message type for updates. Values beyond the range of a field are clamped.
    pub fn to_edge_load(self, server: u64) -> EdgeServerLoad {
        EdgeServerLoad {
            server_hash: server,
            in_flight: u16::try_from(self.open_requests).unwrap_or(u16::MAX),
            prefill_tokens: u32::try_from(self.prefill_tokens).unwrap_or(u32::MAX),
            unresponsive: self.unresponsive_edges > 0,
        }
    }
}

fn add(sum: &mut RemoteLoad, load: &EdgeServerLoad) {
    sum.open_requests += u32::from(load.in_flight);
    sum.prefill_tokens += u64::from(load.prefill_tokens);
    sum.unresponsive_edges += u32::from(load.unresponsive);
}

fn subtract(sum: &mut RemoteLoad, load: &EdgeServerLoad) {
    sum.open_requests = sum.open_requests.saturating_sub(u32::from(load.in_flight));
    sum.prefill_tokens = sum.prefill_tokens.saturating_sub(u64::from(load.prefill_tokens));
    sum.unresponsive_edges = sum.unresponsive_edges.saturating_sub(u32::from(load.unresponsive));
}
