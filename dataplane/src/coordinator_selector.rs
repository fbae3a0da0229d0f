//! Chooses the coordinator to poll. Each edge ranks the coordinators by a hash of both nodes, so that the
//! edges are spread over the coordinators.

use std::hash::{BuildHasher, Hasher};

use ahash::RandomState;
use shaletrail_protocol::NodeId;

/// Limits the coordinators learned from poll responses; larger than any deployment.
const MAX_LEARNED_COORDINATORS: usize = 64;
/// Constant, so that an edge polls the coordinators in the same order after a restart.
const HASH_SEEDS: (u64, u64, u64, u64) = (0x9e37_79b9, 0x85eb_ca6b, 0xc2b2_ae35, 0x27d4_eb2f);

/// The known coordinators and the one to poll. Within a round, each of them is tried until it fails once.
#[derive(Clone, Debug)]
pub struct CoordinatorSelector {
    edge: NodeId,
    seeds: Vec<NodeId>,
    learned: Vec<NodeId>,
    /// Coordinators that have failed in this round.
    failed: Vec<NodeId>,
    current: Option<NodeId>,
}

impl CoordinatorSelector {
    /// Creates a selector for the edge `edge` that knows only `seeds`, the coordinators listed in its
    /// settings.
    pub fn new(edge: NodeId, seeds: Vec<NodeId>) -> Self {
        CoordinatorSelector { edge, seeds, learned: Vec::new(), failed: Vec::new(), current: None }
    }

    /// Replaces the seeds after a reload of the settings file. The current coordinator is kept.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Replaces the coordinators learned from an earlier poll response; an empty list changes nothing.
    pub fn learn(&mut self, mut learned: Vec<NodeId>) {
        learned.truncate(MAX_LEARNED_COORDINATORS);
        if !learned.is_empty() {
            self.learned = learned;
        }
    }

    /// The current coordinator or, without one, the first in this edge's order that has not failed in this
    /// round; `None` if all have failed.
    pub fn choose(&mut self) -> Option<NodeId> {
        if self.current.is_none() {
            let all = self.seeds.iter().chain(&self.learned);
            let remaining = all.filter(|node| !self.failed.contains(node));
            self.current = remaining.copied().min_by_key(|node| (rank(self.edge, *node), *node));
        }
        self.current
    }

    /// Records that the current coordinator has responded: it stays current, and a later failure begins a new
    /// round.
    pub fn record_success(&mut self) {
        self.failed.clear();
    }

    /// Records that the current coordinator has failed, so that another one is chosen next.
    pub fn record_failure(&mut self) {
        self.failed.extend(self.current.take());
    }

    /// Begins a new round, in which every coordinator may be chosen again.
    pub fn begin_round(&mut self) {
        self.failed.clear();
        self.current = None;
    }
}

/// The rank of a coordinator for this edge; the lowest is polled first.
fn rank(edge: NodeId, coordinator: NodeId) -> u64 {
    let (first, second, third, fourth) = HASH_SEEDS;
    let mut hasher = RandomState::with_seeds(first, second, third, fourth).build_hasher();
    hasher.write_u32(edge.0);
    hasher.write_u32(coordinator.0);
    hasher.finish()
}
