//! Which machines have quorum contact, as the rules of the system define it: time limits hold for them only.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

use crate::network::Network;

/// How long a machine must have been without faults to have quorum contact, in milliseconds (`contactMs`).
pub const CONTACT_PERIOD: Millis = 3_000;

/// When each machine last had a fault, and which coordinators run.
#[derive(Debug, Default)]
pub struct ContactTracker {
    coordinators: BTreeSet<NodeId>,
    /// Coordinators whose processes run.
    running: BTreeSet<NodeId>,
    /// Coordinators whose disks are slow at present.
    slow: BTreeSet<NodeId>,
    /// When a coordinator, or a link between two of them, last had a fault.
    last_core_fault: Option<Millis>,
    /// When each machine last had a fault or a repair.
    last_faults: BTreeMap<NodeId, Millis>,
}

impl ContactTracker {
    /// A machine becomes a coordinator, or is removed as one.
    pub fn set_coordinator(&mut self, node: NodeId, is_coordinator: bool) {
        if is_coordinator {
            self.coordinators.insert(node);
        } else {
            self.coordinators.remove(&node);
            self.running.remove(&node);
            self.slow.remove(&node);
        }
    }

    /// A process starts or ends.
    pub fn set_running(&mut self, now: Millis, node: NodeId, runs: bool) {
        if self.coordinators.contains(&node) {
            if runs {
                self.running.insert(node);
            } else {
                self.running.remove(&node);
            }
        }
        self.record_fault(now, node);
    }

    /// A coordinator's disk becomes slow, or fast again.
    pub fn set_slow(&mut self, now: Millis, node: NodeId, slow: bool) {
        if slow {
            self.slow.insert(node);
        } else {
            self.slow.remove(&node);
        }
        self.record_fault(now, node);
    }

    /// Records a fault or a repair of a machine.
    pub fn record_fault(&mut self, now: Millis, node: NodeId) {
        self.last_faults.insert(node, now);
        if self.coordinators.contains(&node) {
            self.last_core_fault = Some(now);
        }
    }

    /// A link was partitioned or healed.
    pub fn record_link_fault(&mut self, now: Millis, one: NodeId, other: NodeId) {
        let between_coordinators = self.coordinators.contains(&one) && self.coordinators.contains(&other);
        for node in [one, other] {
            self.last_faults.insert(node, now);
        }
        if between_coordinators {
            self.last_core_fault = Some(now);
        }
    }

    /// Whether a majority of coordinators is connected and none had a fault within the contact period.
    pub fn is_stable(&self, now: Millis, network: &Network) -> bool {
        let fault_free = self.last_core_fault.is_none_or(|at| at + CONTACT_PERIOD <= now);
        fault_free && self.slow.is_empty() && !self.majority(network).is_empty()
    }

    /// Whether there is no fault anywhere, and was none within the contact period.
    pub fn is_fault_free(&self, now: Millis, network: &Network) -> bool {
        let fault_free = self.last_faults.values().all(|at| at + CONTACT_PERIOD <= now);
        fault_free && network.partitions().is_empty() && self.is_stable(now, network)
    }

    /// Whether a machine has quorum contact.
    pub fn has_quorum_contact(&self, now: Millis, node: NodeId, network: &Network) -> bool {
        let fault_free = self.last_faults.get(&node).is_none_or(|at| at + CONTACT_PERIOD <= now);
        let majority = self.majority(network);
        fault_free
            && self.is_stable(now, network)
            && majority.iter().all(|other| *other == node || network.is_connected(node, *other))
            && (!self.coordinators.contains(&node) || majority.contains(&node))
    }

    /// Running coordinators that reach more than half of all coordinators.
    fn majority(&self, network: &Network) -> Vec<NodeId> {
        let reaches_majority = |node: &&NodeId| {
            let reached =
                self.running.iter().filter(|other| *other == *node || network.is_connected(**node, **other));
            reached.count() * 2 > self.coordinators.len()
        };
        self.running.iter().filter(reaches_majority).copied().collect()
    }
}
