//! What other edges have told of their requests at servers, summed by server.
//!
//! What is told is a state, not a change: a datagram that is lost is made good by the next, and what an edge told is
//! forgotten when it falls silent.

use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::{Millis, NodeId};

/// What was told counts for so long, in milliseconds.
const COUNTS_FOR: Millis = 1_500;
/// Shares that are not nothing are told anew after so long, in milliseconds.
pub(crate) const TELL_AGAIN: Millis = 500;
/// Edges kept.
const MOST_EDGES: usize = 256;
/// Servers kept of one edge.
const MOST_SERVERS: usize = 8_192;

/// What edges have under way at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Elsewhere {
    /// Requests that are open there.
    pub open: u32,
    /// Prompt tokens of those whose answer has not begun.
    pub prefill: u64,
    /// Edges to which the server has been silent for long.
    pub silent: u32,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    share: EdgeServerLoad,
    until: Millis,
}

/// What edges have told, by edge and in sum.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    edges: HashMap<NodeId, HashMap<u64, Told>>,
    sums: HashMap<u64, Elsewhere>,
    next_expiry: Millis,
}

impl LoadTable {
    /// Takes what an edge tells.
    pub fn tell(&mut self, now: Millis, edge: NodeId, shares: Vec<EdgeServerLoad>) {
        self.expire(now);
        if self.edges.len() >= MOST_EDGES && !self.edges.contains_key(&edge) {
            return;
        }
        let servers = self.edges.entry(edge).or_default();
        for share in shares {
            if servers.len() >= MOST_SERVERS && !servers.contains_key(&share.server) {
                continue;
            }
            let told = Told { share, until: now + COUNTS_FOR };
            let former = servers.insert(share.server, told).map(|told| told.share).unwrap_or_default();
            let sum = self.sums.entry(share.server).or_default();
            subtract(sum, &former);
            add(sum, &share);
        }
        self.next_expiry = self.next_expiry.min(now + COUNTS_FOR);
    }

    /// What the edges have at a server.
    pub fn at(&self, server: u64) -> Elsewhere {
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
            servers.retain(|server, told| {
                let counts = told.until > now;
                if !counts {
                    if let Some(sum) = sums.get_mut(server) {
                        subtract(sum, &told.share);
                    }
                }
                counts
            });
        }
        self.edges.retain(|_, servers| !servers.is_empty());
        self.sums.retain(|_, sum| *sum != Elsewhere::default());
        self.next_expiry = now + COUNTS_FOR / 2;
    }
}

impl Elsewhere {
    /// Both together.
    pub fn plus(self, other: Elsewhere) -> Elsewhere {
        Elsewhere {
            open: self.open.saturating_add(other.open),
            prefill: self.prefill.saturating_add(other.prefill),
            silent: self.silent.saturating_add(other.silent),
        }
    }

    /// Without what one edge has told.
    pub fn without(mut self, share: &EdgeServerLoad) -> Elsewhere {
        subtract(&mut self, share);
        self
    }

    /// As a share, to be told on.
    pub fn as_share(self, server: u64) -> EdgeServerLoad {
        EdgeServerLoad {
            server,
            in_flight: u16::try_from(self.open).unwrap_or(u16::MAX),
            prefill_tokens: u32::try_from(self.prefill).unwrap_or(u32::MAX),
            unresponsive: self.silent > 0,
        }
    }
}

fn add(sum: &mut Elsewhere, share: &EdgeServerLoad) {
    sum.open += u32::from(share.in_flight);
    sum.prefill += u64::from(share.prefill_tokens);
    sum.silent += u32::from(share.unresponsive);
}

fn subtract(sum: &mut Elsewhere, share: &EdgeServerLoad) {
    sum.open = sum.open.saturating_sub(u32::from(share.in_flight));
    sum.prefill = sum.prefill.saturating_sub(u64::from(share.prefill_tokens));
    sum.silent = sum.silent.saturating_sub(u32::from(share.unresponsive));
}
