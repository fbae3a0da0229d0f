//! Which data-plane nodes are at work.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

/// How long after its last poll an edge counts as at work.
const EDGE_STAYS: Millis = 4_000;
/// Edges kept.
pub(super) const MOST_EDGES: usize = 2_048;

/// Data-plane nodes that are at work, as far as this coordinator knows.
#[derive(Debug)]
pub struct Edges {
    own: BTreeMap<NodeId, Millis>,
    others: BTreeMap<NodeId, Millis>,
    /// All that were at work within the window over which repeats are counted.
    lately: BTreeMap<NodeId, Millis>,
    window: Millis,
    /// Since when this coordinator has heard of the edges of all others.
    hearing_since: Millis,
}

impl Edges {
    /// Nobody is known. Repeats are counted over `window` milliseconds.
    pub fn new(window: Millis, now: Millis) -> Self {
        Edges {
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            lately: BTreeMap::new(),
            window,
            hearing_since: now,
        }
    }

    /// This coordinator has come into or out of touch with the others: edges that poll elsewhere may have been
    /// forgotten meanwhile.
    pub fn touch_changed(&mut self, now: Millis) {
        self.hearing_since = now;
    }

    /// An edge polls here.
    pub fn polled(&mut self, node: NodeId, now: Millis) {
        note(&mut self.own, node, now);
        note(&mut self.lately, node, now);
    }

    /// Another coordinator has edges.
    pub fn told(&mut self, nodes: Vec<NodeId>, now: Millis) {
        for node in nodes {
            note(&mut self.others, node, now);
            note(&mut self.lately, node, now);
        }
    }

    /// An edge's process is ending.
    pub fn left(&mut self, node: NodeId) {
        self.own.remove(&node);
        self.others.remove(&node);
    }

    /// Forgets those that were not heard of for long.
    pub fn tick(&mut self, now: Millis) {
        let window = self.window;
        self.own.retain(|_, heard| *heard + EDGE_STAYS > now);
        self.others.retain(|_, heard| *heard + EDGE_STAYS > now);
        self.lately.retain(|_, heard| *heard + window.max(EDGE_STAYS) > now);
    }

    /// Edges that poll here.
    pub fn own(&self) -> Vec<NodeId> {
        self.own.keys().copied().collect()
    }

    /// The edges at work in the whole system, in order.
    pub fn list(&self) -> Vec<NodeId> {
        let all: BTreeSet<NodeId> = self.own.keys().chain(self.others.keys()).copied().collect();
        all.into_iter().take(MOST_EDGES).collect()
    }

    /// Edges among which the budget of repeats is divided: those that were at work within its window, as they may
    /// have spent their parts. 0, for unknown, while this coordinator has not heard
    /// of the others' edges for as long.
    pub fn sharing(&self, now: Millis) -> u32 {
        if now < self.hearing_since + self.window {
            return 0;
        }
        self.lately.len() as u32
    }
}

fn note(table: &mut BTreeMap<NodeId, Millis>, node: NodeId, now: Millis) {
    if table.len() < MOST_EDGES || table.contains_key(&node) {
        table.insert(node, now);
    }
}

/// Names a list of edges.
pub fn list_name(edges: &[NodeId]) -> u64 {
    edges.iter().fold(1, |name, node| shaletrail_ring::mix(name ^ u64::from(node.0)))
}
