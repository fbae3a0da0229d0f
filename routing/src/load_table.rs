//! What other edges have told of their requests at servers, summed by server.
//!
//! What is told is a state, not a change: a datagram that is lost is made good by the next, and what an edge told is
//! forgotten when it falls silent.

use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::{Millis, NodeId};

/// What was told counts for so long, in milliseconds.
const LOAD_TTL: Millis = 1_500;
/// Shares that are not nothing are told anew after so long, in milliseconds.
pub(crate) const REFRESH_INTERVAL: Millis = 500;
/// Edges kept.
const MAX_EDGES: usize = 256;
/// Servers kept of one edge.
const MAX_SERVERS_PER_EDGE: usize = 8_192;

/// What edges have under way at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RemoteLoad {
    /// Requests that are open there.
    pub open: u32,
    /// Prompt tokens of those whose answer has not begun.
    pub prefill_tokens: u64,
    /// Edges to which the server has been silent for long.
    pub unresponsive_edges: u32,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    load: EdgeServerLoad,
    until: Millis,
}

/// What edges have told, by edge and in sum.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    edges: HashMap<NodeId, HashMap<u64, ReceivedLoad>>,
    sums: HashMap<u64, RemoteLoad>,
    next_expiry: Millis,
}

impl LoadTable {
    /// Takes what an edge tells.
    pub fn record(&mut self, now: Millis, edge: NodeId, loads: Vec<EdgeServerLoad>) {
        self.expire(now);
        if self.edges.len() >= MAX_EDGES && !self.edges.contains_key(&edge) {
            return;
        }
        let servers = self.edges.entry(edge).or_default();
        for load in loads {
            if servers.len() >= MAX_SERVERS_PER_EDGE && !servers.contains_key(&load.server) {
                continue;
            }
            let received = ReceivedLoad { load, until: now + LOAD_TTL };
            let previous =
                servers.insert(load.server, received).map(|received| received.load).unwrap_or_default();
            let sum = self.sums.entry(load.server).or_default();
            subtract(sum, &previous);
            add(sum, &load);
        }
        self.next_expiry = self.next_expiry.min(now + LOAD_TTL);
    }

    /// What the edges have at a server.
    pub fn at(&self, server: u64) -> RemoteLoad {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// The servers at which the edges have anything.
    pub fn servers(&self) -> impl Iterator<Item = u64> + '_ {
        self.sums.keys().copied()
    }

    /// Forgets what was told long ago.
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
    /// Both together.
    pub fn saturating_add(self, other: RemoteLoad) -> RemoteLoad {
        RemoteLoad {
            open: self.open.saturating_add(other.open),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            unresponsive_edges: self.unresponsive_edges.saturating_add(other.unresponsive_edges),
        }
    }

    /// Without what one edge has told.
    pub fn excluding(mut self, load: &EdgeServerLoad) -> RemoteLoad {
        subtract(&mut self, load);
        self
    }

    /// As a share, to be told on.
    pub fn to_edge_load(self, server: u64) -> EdgeServerLoad {
        EdgeServerLoad {
            server,
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
