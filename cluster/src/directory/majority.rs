//! Majority acknowledgement: tracks which coordinators know that a server is draining or removed.

use shaletrail_protocol::{Millis, NodeId};

use super::pending_calls::{CallOutcome, CallToken};
use super::server_entry::{LifecycleStage, ServerKey};
use super::Directory;

impl Directory {
    /// Sets the voters. A majority of them must know that a server is draining or removed before its call is
    /// acknowledged; this coordinator counts if it is a voter. Without voters no call is acknowledged.
    pub fn set_voters(&mut self, voters: &[NodeId]) {
        self.voters = voters.iter().copied().collect();
        self.pending_calls.servers().into_iter().for_each(|server| self.complete_calls(server));
    }

    /// Takes the outcomes of the calls that have been acknowledged or have failed since the last call of this function.
    pub fn take_completed_calls(&mut self) -> Vec<CallOutcome> {
        self.pending_calls.take_completed()
    }

    /// Whether a majority of the voters knows that the server is draining or removed; false if it is neither.
    pub fn is_known_to_majority(&self, id: &str) -> bool {
        self.has_majority(ServerKey::of(id))
    }

    /// Adds a call that waits until a majority knows `stage`. Unless that is already so, pushes the record to the peers
    /// that have not acknowledged it.
    pub(super) fn await_majority(&mut self, now: Millis, key: ServerKey, stage: LifecycleStage) -> CallToken {
        let token = self.pending_calls.add(key, stage, now + self.options.majority_timeout_ms);
        self.complete_calls(key);
        if self.pending_calls.contains(key) {
            let acknowledged_by =
                self.table.get(key).map(|entry| entry.acknowledged_by.clone()).unwrap_or_default();
            self.push_hints_to_all(key, &acknowledged_by);
            self.flush_hints(now);
        }
        token
    }

    /// Records that a peer knows the server's present stage, and completes the calls that have a majority with it.
    pub(super) fn record_acknowledgement(&mut self, peer: NodeId, key: ServerKey) {
        if let Some(entry) = self.table.get_mut(key) {
            entry.record_acknowledgement(peer);
            self.complete_calls(key);
        }
    }

    /// Drops all acknowledgements by a peer that has left, or has restarted and lost its directory.
    pub(super) fn drop_acknowledgements_of(&mut self, peer: NodeId) {
        self.table.iter_mut().for_each(|(_, entry)| entry.acknowledged_by.retain(|node| *node != peer));
    }

    /// Queues the record for a peer that reports an earlier stage than the one known here.
    pub(super) fn push_if_peer_is_behind(&mut self, peer: NodeId, key: ServerKey, reported: LifecycleStage) {
        if self.table.get(key).is_some_and(|entry| reported < entry.stage()) {
            self.push_hint(peer, key);
        }
    }

    /// Counts a peer's report of the stage that is known here as an acknowledgement of that stage.
    pub(super) fn record_reported_stage(&mut self, peer: NodeId, key: ServerKey, reported: LifecycleStage) {
        if self.table.get(key).is_some_and(|entry| reported == entry.stage()) {
            self.record_acknowledgement(peer, key);
        }
    }

    pub(super) fn complete_calls(&mut self, key: ServerKey) {
        if self.pending_calls.contains(key) && self.has_majority(key) {
            if let Some(entry) = self.table.get(key) {
                self.pending_calls.acknowledge(key, entry.stage());
            }
        }
    }

    fn has_majority(&self, key: ServerKey) -> bool {
        let Some(entry) = self.table.get(key).filter(|entry| entry.stage() != LifecycleStage::Active) else {
            return false;
        };
        let is_durable_here = self.durability.is_synced(key);
        let knows = |voter: &&NodeId| match **voter == self.node {
            true => is_durable_here,
            false => entry.acknowledged_by.contains(voter),
        };
        self.voters.iter().filter(knows).count() * 2 > self.voters.len()
    }
}
