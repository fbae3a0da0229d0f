//! Tracks which machines have quorum contact, which is a condition of the time limits among the invariants.
//!
//! A machine has quorum contact if neither it nor a coordinator has had a fault for [`CONTACT_PERIOD`], a majority of the
//! coordinators is connected, no coordinator has a slow disk, and the machine reaches all coordinators of this majority.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

use crate::network::Network;

/// How long there must have been no fault for a machine to have quorum contact, in milliseconds (`contactMs`).
pub const CONTACT_PERIOD: Millis = 3_000;

/// The last faults of all machines, and the state of the coordinators.
#[derive(Debug, Default)]
pub struct ContactTracker {
    coordinators: BTreeSet<NodeId>,
    /// Coordinators whose processes run.
    running: BTreeSet<NodeId>,
    /// Coordinators whose disks are slow, stalled or faulty.
    slow: BTreeSet<NodeId>,
    /// When a coordinator, or a link between two of them, last had a fault.
    last_coordinator_fault: Option<Millis>,
    /// When each machine last had a fault or a repair.
    last_faults: BTreeMap<NodeId, Millis>,
}

impl ContactTracker {
    /// Adds or removes a coordinator.
    pub fn set_coordinator(&mut self, node: NodeId, is_coordinator: bool) {
        if is_coordinator {
            self.coordinators.insert(node);
        } else {
            self.coordinators.remove(&node);
            self.running.remove(&node);
            self.slow.remove(&node);
        }
    }

    /// Records the start or the end of a process, which counts as a fault.
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

    /// Records that a coordinator's disk became slow or faulty, or recovered; either counts as a fault.
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
            self.last_coordinator_fault = Some(now);
        }
    }

    /// Records that a link was partitioned or healed.
    pub fn record_link_fault(&mut self, now: Millis, one: NodeId, other: NodeId) {
        let between_coordinators = self.coordinators.contains(&one) && self.coordinators.contains(&other);
        for node in [one, other] {
            self.last_faults.insert(node, now);
        }
        if between_coordinators {
            self.last_coordinator_fault = Some(now);
        }
    }

    /// Whether a majority of coordinators is connected, no disk is slow, and no coordinator had a fault within the contact
    /// period.
    pub fn is_stable(&self, now: Millis, network: &Network) -> bool {
        let fault_free = self.last_coordinator_fault.is_none_or(|at| at + CONTACT_PERIOD <= now);
        fault_free && self.slow.is_empty() && !self.majority(network).is_empty()
    }

    /// Whether no fault is in effect on any machine or link, and none was within the contact period.
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

    /// The running coordinators that reach more than half of all coordinators, including themselves.
    fn majority(&self, network: &Network) -> Vec<NodeId> {
        let reaches_majority = |node: &&NodeId| {
            let reached =
                self.running.iter().filter(|other| *other == *node || network.is_connected(**node, **other));
            reached.count() * 2 > self.coordinators.len()
        };
        self.running.iter().filter(reaches_majority).copied().collect()
    }
}
