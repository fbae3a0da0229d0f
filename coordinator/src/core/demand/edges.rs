//! The active data-plane nodes (edges), and the number of shares into which the retry budget is divided.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

/// How long after its last poll an edge counts as active.
const EDGE_TTL: Millis = 4_000;
/// Maximum number of edges that are tracked.
pub(super) const MAX_EDGES: usize = 2_048;

/// The edges that this coordinator knows of.
#[derive(Debug)]
pub struct Edges {
    /// Edges that poll this coordinator, with the time of their last poll.
    local: BTreeMap<NodeId, Millis>,
    /// Edges that poll other coordinators, with the time of the last announcement by such a coordinator.
    remote: BTreeMap<NodeId, Millis>,
    /// All edges that may still use a share of the retry budget, or have used one within its window; see
    /// [`Edges::share_retention`].
    recent: BTreeMap<NodeId, Millis>,
    retry_window: Millis,
    /// Since when this coordinator has received the announcements of the others without interruption.
    complete_since: Millis,
}

impl Edges {
    /// Creates an empty table. `retry_window` is the window of the retry budget in milliseconds.
    pub fn new(retry_window: Millis, now: Millis) -> Self {
        Edges {
            local: BTreeMap::new(),
            remote: BTreeMap::new(),
            recent: BTreeMap::new(),
            retry_window,
            complete_since: now,
        }
    }

    /// Records that this coordinator has gained or lost quorum contact. It may have missed announcements of edges that
    /// poll other coordinators.
    pub fn quorum_contact_changed(&mut self, now: Millis) {
        self.complete_since = now;
    }

    /// Records that an edge polls this coordinator.
    pub fn on_poll(&mut self, node: NodeId, now: Millis) {
        record_contact(&mut self.local, node, now);
        record_contact(&mut self.recent, node, now);
    }

    /// Records the edges that another coordinator has announced as polling it.
    pub fn on_peer_edges(&mut self, nodes: Vec<NodeId>, now: Millis) {
        for node in nodes {
            record_contact(&mut self.remote, node, now);
            record_contact(&mut self.recent, node, now);
        }
    }

    /// Removes an edge that is shutting down from the active ones. It still counts as a share of the retry budget.
    pub fn on_disconnect(&mut self, node: NodeId) {
        self.local.remove(&node);
        self.remote.remove(&node);
    }

    /// Removes the edges whose entries have expired.
    pub fn tick(&mut self, now: Millis) {
        let recent_ttl = self.share_retention();
        self.local.retain(|_, last_contact| *last_contact + EDGE_TTL > now);
        self.remote.retain(|_, last_contact| *last_contact + EDGE_TTL > now);
        self.recent.retain(|_, last_contact| *last_contact + recent_ttl > now);
    }

    /// How long after its last poll an edge counts as a share of the retry budget. The edge may use its share for one
    /// window after the poll (see `RetryBudget` in `routing`), and the retries that it has made by then count for one
    /// more window.
    fn share_retention(&self) -> Millis {
        (2 * self.retry_window).max(EDGE_TTL)
    }

    /// Returns the edges that poll this coordinator, sorted.
    pub fn local(&self) -> Vec<NodeId> {
        self.local.keys().copied().collect()
    }

    /// Returns the active edges of the whole system, sorted.
    pub fn list(&self) -> Vec<NodeId> {
        let all: BTreeSet<NodeId> = self.local.keys().chain(self.remote.keys()).copied().collect();
        all.into_iter().take(MAX_EDGES).collect()
    }

    /// Returns the number of edges among which the retry budget is divided: all that may have used their shares within
    /// its window. 0 means unknown: this coordinator has not yet received the others' announcements for a whole window.
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

/// Returns a hash of a list of edges. Polls carry it so that the list is only sent when it has changed. All
/// coordinators must compute the same hash.
pub fn edge_list_hash(edges: &[NodeId]) -> u64 {
    edges.iter().fold(1, |hash, node| shaletrail_ring::mix(hash ^ u64::from(node.0)))
}
