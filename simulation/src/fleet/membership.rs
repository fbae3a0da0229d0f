//! The machines of a fleet, the processes that run on them, and the leaders of shards.

use shaletrail_protocol::{Millis, NodeId};

use super::{Fleet, Machine, Process};
use crate::coordinator::CoordinatorProcess;
use crate::edge::Edge;
use crate::fixtures;
use crate::server::ModelServer;

/// Lag of the published list of coordinators, in milliseconds (`seedLagS`).
const SEED_LAG: Millis = 3_000;

impl Fleet {
    /// The list of coordinators that the operator and servers use. It lags behind the current one by `seedLagS`.
    pub fn published_coordinators(&self) -> Vec<NodeId> {
        let then = self.world.now.saturating_sub(SEED_LAG);
        let known = self
            .published_lists
            .iter()
            .rev()
            .find(|(since, _)| *since <= then)
            .or(self.published_lists.first());
        known.map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }

    /// The current coordinators, whether or not they are running.
    pub fn coordinators(&self) -> Vec<NodeId> {
        self.published_lists.last().map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }

    pub(crate) fn set_coordinators(&mut self, nodes: Vec<NodeId>) {
        self.published_lists.push((self.world.now, nodes));
    }

    /// All edges, whether or not they are running.
    pub fn edges(&self) -> Vec<NodeId> {
        (0..self.options.edges).map(fixtures::edge).collect()
    }

    /// The machines on which model servers run.
    pub fn servers(&self) -> Vec<NodeId> {
        let runs = |(_, machine): &(&NodeId, &Machine)| matches!(machine.process, Some(Process::Server(_)));
        self.machines.iter().filter(runs).map(|(node, _)| *node).collect()
    }

    /// Whether a process runs on a machine, frozen or not.
    pub fn is_running(&self, node: NodeId) -> bool {
        self.machines.get(&node).is_some_and(|machine| machine.process.is_some())
    }

    /// Whether the process on a machine is frozen.
    pub fn is_frozen(&self, node: NodeId) -> bool {
        self.machines.get(&node).is_some_and(|machine| machine.frozen.is_some())
    }

    /// The coordinator that runs on a machine; `None` if none does.
    pub fn coordinator(&self, node: NodeId) -> Option<&CoordinatorProcess> {
        match self.machines.get(&node)?.process.as_ref()? {
            Process::Coordinator(coordinator) => Some(coordinator),
            _ => None,
        }
    }

    /// The edge that runs on a machine; `None` if none does.
    pub fn edge(&self, node: NodeId) -> Option<&Edge> {
        match self.machines.get(&node)?.process.as_ref()? {
            Process::Edge(edge) => Some(edge),
            _ => None,
        }
    }

    /// The model server that runs on a machine; `None` if none does.
    pub fn server(&self, node: NodeId) -> Option<&ModelServer> {
        match self.machines.get(&node)?.process.as_ref()? {
            Process::Server(server) => Some(server),
            _ => None,
        }
    }

    /// Replaces the seeds in a machine's settings file.
    pub fn set_seeds(&mut self, node: NodeId, seeds: Vec<NodeId>) {
        self.seeds.insert(node, seeds);
    }

    /// The coordinator that considers itself leader of the configuration's shard; `None` if there is none.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader_of(0)
    }

    /// The coordinator that considers itself leader of a shard, the one with the highest term if there are several; `None` if
    /// there is none.
    pub fn leader_of(&self, shard: u32) -> Option<NodeId> {
        let leads = |node: &NodeId| {
            let replica = &self.coordinator(*node)?.core().shards().get(shard)?.replica;
            replica.is_leader().then(|| (replica.term(), *node))
        };
        self.coordinators().iter().filter_map(leads).max().map(|(_, node)| node)
    }

    /// Waits until the configuration's shard has a leader.
    ///
    /// # Panics
    /// There is none within six seconds.
    pub fn await_leader(&mut self) -> NodeId {
        assert!(self.run_until(6_000, |fleet| fleet.leader().is_some()), "no leader\n{}", self.describe());
        self.leader().expect("a leader")
    }
}
