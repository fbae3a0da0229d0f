//! Which machines are in touch, as the rules define it: only for them do bounds of time hold.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

use crate::network::Network;

/// How long a machine must have been without faults to have quorum contact, in milliseconds (`contactMs`).
pub const CONTACT_PERIOD: Millis = 3_000;

/// When each machine last had a fault, and which coordinators run.
#[derive(Debug, Default)]
pub struct ContactTracker {
    core: BTreeSet<NodeId>,
    /// Coordinators whose processes run.
    running: BTreeSet<NodeId>,
    /// Coordinators whose disks are slow at present.
    slow: BTreeSet<NodeId>,
    core_trouble: Option<Millis>,
    trouble: BTreeMap<NodeId, Millis>,
}

impl ContactTracker {
    /// A machine becomes a coordinator, or is removed as one.
    pub fn set_core(&mut self, node: NodeId, belongs: bool) {
        if belongs {
            self.core.insert(node);
        } else {
            self.core.remove(&node);
            self.running.remove(&node);
            self.slow.remove(&node);
        }
    }

    /// A process starts or ends.
    pub fn set_running(&mut self, now: Millis, node: NodeId, runs: bool) {
        if self.core.contains(&node) {
            if runs {
                self.running.insert(node);
            } else {
                self.running.remove(&node);
            }
        }
        self.disturb(now, node);
    }

    /// A coordinator's disk becomes slow, or fast again.
    pub fn set_slow(&mut self, now: Millis, node: NodeId, slow: bool) {
        if slow {
            self.slow.insert(node);
        } else {
            self.slow.remove(&node);
        }
        self.disturb(now, node);
    }

    /// Records a fault or a repair of a machine.
    pub fn disturb(&mut self, now: Millis, node: NodeId) {
        self.trouble.insert(node, now);
        if self.core.contains(&node) {
            self.core_trouble = Some(now);
        }
    }

    /// A link was partitioned or healed.
    pub fn disturb_link(&mut self, now: Millis, one: NodeId, other: NodeId) {
        let both = self.core.contains(&one) && self.core.contains(&other);
        for node in [one, other] {
            self.trouble.insert(node, now);
        }
        if both {
            self.core_trouble = Some(now);
        }
    }

    /// Whether a majority of coordinators is connected and none had a fault within the contact period.
    pub fn is_stable(&self, now: Millis, network: &Network) -> bool {
        let calm = self.core_trouble.is_none_or(|at| at + CONTACT_PERIOD <= now);
        calm && self.slow.is_empty() && !self.majority(network).is_empty()
    }

    /// Whether there is no fault anywhere, and was none within the contact period.
    pub fn is_calm(&self, now: Millis, network: &Network) -> bool {
        let calm = self.trouble.values().all(|at| at + CONTACT_PERIOD <= now);
        calm && network.partitions().is_empty() && self.is_stable(now, network)
    }

    /// Whether a machine has quorum contact.
    pub fn has_quorum_contact(&self, now: Millis, node: NodeId, network: &Network) -> bool {
        let calm = self.trouble.get(&node).is_none_or(|at| at + CONTACT_PERIOD <= now);
        let majority = self.majority(network);
        calm && self.is_stable(now, network)
            && majority.iter().all(|other| *other == node || network.is_connected(node, *other))
            && (!self.core.contains(&node) || majority.contains(&node))
    }

    /// Running coordinators that reach more than half of all coordinators.
    fn majority(&self, network: &Network) -> Vec<NodeId> {
        let reaches = |node: &&NodeId| {
            let reached =
                self.running.iter().filter(|other| *other == *node || network.is_connected(**node, **other));
            reached.count() * 2 > self.core.len()
        };
        self.running.iter().filter(reaches).copied().collect()
    }
}
