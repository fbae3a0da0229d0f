//! Which machines are in touch, as the rules define it: only for them do bounds of time hold.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};

use crate::network::Network;

/// How long nothing must have gone wrong, in milliseconds (`contactMs`).
pub const CONTACT: Millis = 3_000;

/// What has gone wrong, and when.
#[derive(Debug, Default)]
pub struct Touch {
    core: BTreeSet<NodeId>,
    /// Machines of the core whose processes run.
    running: BTreeSet<NodeId>,
    /// Machines of the core that are slow at present.
    slow: BTreeSet<NodeId>,
    core_trouble: Option<Millis>,
    trouble: BTreeMap<NodeId, Millis>,
}

impl Touch {
    /// A machine joins the core or leaves it.
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

    /// A machine of the core becomes slow, or is no more.
    pub fn set_slow(&mut self, now: Millis, node: NodeId, slow: bool) {
        if slow {
            self.slow.insert(node);
        } else {
            self.slow.remove(&node);
        }
        self.disturb(now, node);
    }

    /// Something has happened to a machine.
    pub fn disturb(&mut self, now: Millis, node: NodeId) {
        self.trouble.insert(node, now);
        if self.core.contains(&node) {
            self.core_trouble = Some(now);
        }
    }

    /// A link was cut or joined.
    pub fn disturb_link(&mut self, now: Millis, one: NodeId, other: NodeId) {
        let both = self.core.contains(&one) && self.core.contains(&other);
        for node in [one, other] {
            self.trouble.insert(node, now);
        }
        if both {
            self.core_trouble = Some(now);
        }
    }

    /// Whether the core is stable and has been for as long as it takes.
    pub fn is_stable(&self, now: Millis, network: &Network) -> bool {
        let calm = self.core_trouble.is_none_or(|at| at + CONTACT <= now);
        calm && self.slow.is_empty() && !self.majority(network).is_empty()
    }

    /// Whether nothing at all is wrong anywhere, and nothing has been for as long as it takes.
    pub fn is_calm(&self, now: Millis, network: &Network) -> bool {
        let calm = self.trouble.values().all(|at| at + CONTACT <= now);
        calm && network.cuts().is_empty() && self.is_stable(now, network)
    }

    /// Whether a machine is in touch.
    pub fn has_quorum_contact(&self, now: Millis, node: NodeId, network: &Network) -> bool {
        let calm = self.trouble.get(&node).is_none_or(|at| at + CONTACT <= now);
        let majority = self.majority(network);
        calm && self.is_stable(now, network)
            && majority.iter().all(|other| *other == node || network.joins(node, *other))
            && (!self.core.contains(&node) || majority.contains(&node))
    }

    /// Running machines of the core that reach more than half of it.
    fn majority(&self, network: &Network) -> Vec<NodeId> {
        let reaches = |node: &&NodeId| {
            let reached =
                self.running.iter().filter(|other| *other == *node || network.joins(**node, **other));
            reached.count() * 2 > self.core.len()
        };
        self.running.iter().filter(reaches).copied().collect()
    }
}
