//! The nodes that this one pings: the members that it monitors, the voters, and the seeds that are not live members.

use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::probe::Probe;
use super::Membership;
use crate::rendezvous::{choose, node_key};

impl Membership {
    /// Computes the ping targets again if members, voters or seeds have changed.
    pub(super) fn update_targets(&mut self, now: Millis) {
        if !std::mem::take(&mut self.targets_stale) {
            return;
        }
        let alive = self.alive();
        let members: Vec<NodeId> = self.table.records().map(|record| record.node).collect();
        let monitored = members.into_iter().filter(|node| self.is_monitor_of(*node, &alive));
        self.targets =
            monitored.chain(self.voters.keys().copied()).chain(self.seeds_without_live_member()).collect();
        self.probes.retain(|node, _| self.targets.contains(node));
        self.last_full_exchange.retain(|node, _| self.targets.contains(node));
        for node in &self.targets {
            self.probes.entry(*node).or_insert_with(|| Probe::new(now, &self.options));
        }
    }

    /// Pings the targets whose probes are due.
    pub(super) fn ping_due_targets(&mut self, now: Millis) {
        let targets = self.targets.iter().copied();
        let due: Vec<NodeId> =
            targets.filter(|node| self.probes.get(node).is_some_and(|probe| probe.is_due(now))).collect();
        for node in due {
            self.ping(now, node);
        }
    }

    /// Whether this node is one of the monitors of a member. Rendezvous hashing gives the same monitors on every node
    /// that knows the same members.
    fn is_monitor_of(&self, node: NodeId, alive: &[NodeId]) -> bool {
        let candidates: Vec<NodeId> = alive.iter().copied().filter(|other| *other != node).collect();
        choose(node_key(node), &candidates, self.options.monitors_per_member).contains(&self.own.node)
    }

    fn seeds_without_live_member(&self) -> impl Iterator<Item = NodeId> + '_ {
        let has_no_live_member =
            |seed: &NodeId| matches!(self.table.state(*seed), None | Some(MemberState::Dead));
        self.seeds.iter().copied().filter(has_no_live_member)
    }
}
