//! The data-plane nodes that are active, and the number among which the retry budget is divided.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

/// How long after its last poll an edge counts as active.
const EDGE_TTL: Millis = 4_000;
/// Edges that are tracked, at most.
pub(super) const MAX_EDGES: usize = 2_048;

/// The active data-plane nodes, as far as this coordinator knows.
#[derive(Debug)]
pub struct Edges {
    /// Edges that poll this coordinator, with the time of their last poll.
    local: BTreeMap<NodeId, Millis>,
    /// Edges that poll other coordinators, with the time of the last announcement.
    remote: BTreeMap<NodeId, Millis>,
    /// All edges that were active within the window of the retry budget.
    recent: BTreeMap<NodeId, Millis>,
    retry_window: Millis,
    /// Since when this coordinator has received the announcements of all others without a gap.
    complete_since: Millis,
}

impl Edges {
    /// No edge is known yet. `retry_window` is the window of the retry budget in milliseconds.
    pub fn new(retry_window: Millis, now: Millis) -> Self {
        Edges {
            local: BTreeMap::new(),
            remote: BTreeMap::new(),
            recent: BTreeMap::new(),
            retry_window,
            complete_since: now,
        }
    }

    /// This coordinator has gained or lost quorum contact: edges that poll elsewhere may have been missed meanwhile.
    pub fn quorum_contact_changed(&mut self, now: Millis) {
        self.complete_since = now;
    }

    /// An edge polls this coordinator.
    pub fn on_poll(&mut self, node: NodeId, now: Millis) {
        record_contact(&mut self.local, node, now);
        record_contact(&mut self.recent, node, now);
    }

    /// Another coordinator has announced the edges that poll it.
    pub fn on_peer_edges(&mut self, nodes: Vec<NodeId>, now: Millis) {
        for node in nodes {
            record_contact(&mut self.remote, node, now);
            record_contact(&mut self.recent, node, now);
        }
    }

    /// The process of an edge is shutting down.
    pub fn on_disconnect(&mut self, node: NodeId) {
        self.local.remove(&node);
        self.remote.remove(&node);
    }

    /// Drops the edges whose time is over.
    pub fn tick(&mut self, now: Millis) {
        let recent_ttl = self.share_retention();
        self.local.retain(|_, last_contact| *last_contact + EDGE_TTL > now);
        self.remote.retain(|_, last_contact| *last_contact + EDGE_TTL > now);
        self.recent.retain(|_, last_contact| *last_contact + recent_ttl > now);
    }

    /// How long after its last poll an edge counts among those that share the retry budget. Its share ends one window after
    /// the poll, see `RetryBudget` in `routing`, and what it has spent by then counts for one window more.
    fn share_retention(&self) -> Millis {
        (2 * self.retry_window).max(EDGE_TTL)
    }

    /// The edges that poll this coordinator, in order.
    pub fn local(&self) -> Vec<NodeId> {
        self.local.keys().copied().collect()
    }

    /// The active edges of the whole system, in order.
    pub fn list(&self) -> Vec<NodeId> {
        let all: BTreeSet<NodeId> = self.local.keys().chain(self.remote.keys()).copied().collect();
        all.into_iter().take(MAX_EDGES).collect()
    }

    /// Number of edges among which the retry budget is divided: all that may have spent their shares within its window.
    /// 0, for unknown, until this coordinator has known the others' edges for the whole window.
    pub fn retry_budget_shares(&self, now: Millis) -> u32 {
        if now < self.complete_since + self.retry_window {
            return 0;
        }
        self.recent.len() as u32
    }
}

fn record_contact(table: &mut BTreeMap<NodeId, Millis>, node: NodeId, now: Millis) {
    if table.len() < MAX_EDGES || table.contains_key(&node) {
        table.insert(node, now);
    }
}

/// Hash of a list of edges, by which an edge tells whether the list has changed. All coordinators must agree on it.
pub fn edge_list_hash(edges: &[NodeId]) -> u64 {
    edges.iter().fold(1, |hash, node| shaletrail_ring::mix(hash ^ u64::from(node.0)))
}
