//! Which coordinator to poll: each edge has its own order, so that edges spread over the coordinators.

use std::hash::{BuildHasher, Hasher};

use ahash::RandomState;
use shaletrail_protocol::NodeId;

/// Coordinators kept at most; more than the roles of a day have.
const MOST: usize = 64;
/// Fixed, so that an edge's order is the same after a restart.
const HASH_SEEDS: (u64, u64, u64, u64) = (0x9e37_79b9, 0x85eb_ca6b, 0xc2b2_ae35, 0x27d4_eb2f);

/// The coordinators that are known, in the order in which an edge asks them.
#[derive(Clone, Debug)]
pub struct Coordinators {
    edge: NodeId,
    seeds: Vec<NodeId>,
    learned: Vec<NodeId>,
    failed: Vec<NodeId>,
    current: Option<NodeId>,
}

impl Coordinators {
    /// Those that the settings name.
    pub fn new(edge: NodeId, seeds: Vec<NodeId>) -> Self {
        Coordinators { edge, seeds, learned: Vec::new(), failed: Vec::new(), current: None }
    }

    /// Takes over seeds that have been read anew.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Takes over those that a coordinator knows.
    pub fn learn(&mut self, mut learned: Vec<NodeId>) {
        learned.truncate(MOST);
        if !learned.is_empty() {
            self.learned = learned;
        }
    }

    /// The one in use, or the first in order that has not failed in this round; `None` once all have.
    pub fn choose(&mut self) -> Option<NodeId> {
        if self.current.is_none() {
            let all = self.seeds.iter().chain(&self.learned);
            let left = all.filter(|node| !self.failed.contains(node));
            self.current = left.copied().min_by_key(|node| (rank(self.edge, *node), *node));
        }
        self.current
    }

    /// The one in use has answered: it stays, and a later failure begins a round of its own.
    pub fn succeeded(&mut self) {
        self.failed.clear();
    }

    /// The one in use is of no use: another is chosen next.
    pub fn failed(&mut self) {
        self.failed.extend(self.current.take());
    }

    /// Begins a new round, in which all may be asked again.
    pub fn begin_round(&mut self) {
        self.failed.clear();
        self.current = None;
    }
}

/// A rank that differs from edge to edge.
fn rank(edge: NodeId, coordinator: NodeId) -> u64 {
    let (first, second, third, fourth) = HASH_SEEDS;
    let mut hasher = RandomState::with_seeds(first, second, third, fourth).build_hasher();
    hasher.write_u32(edge.0);
    hasher.write_u32(coordinator.0);
    hasher.finish()
}
