//! Updates by servers (heartbeats and deregistrations) and by this coordinator (placement overlays and recovery).

use shaletrail_protocol::external::{Heartbeat, ServerState};
use shaletrail_protocol::internal::{PlacementOverlay, Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::pending_calls::CallToken;
use super::server_entry::{LifecycleStage, ServerKey};
use super::server_table::{MergeOutcome, RecordSource};
use super::Directory;

/// The effect of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Whether the server's record changed in a way that edges must learn of.
    pub changed: bool,
    /// Set for a draining heartbeat, which may be answered only once [`Directory::take_completed_calls`] returns this
    /// token.
    pub call: Option<CallToken>,
}

impl Directory {
    /// Merges a heartbeat that this coordinator has received from a server.
    pub fn heartbeat(&mut self, now: Millis, id: &str, heartbeat: Heartbeat) -> HeartbeatOutcome {
        self.record_activity(now);
        let presence = match heartbeat.state {
            ServerState::Ready => Presence::Ready,
            ServerState::Draining => Presence::Draining,
        };
        let record = ServerRecord { id: id.to_owned(), heartbeat, presence, ..ServerRecord::default() };
        let outcome = self.merge_from_server(now, record);
        let is_draining = presence == Presence::Draining;
        let call = is_draining.then(|| self.await_majority(now, ServerKey::of(id), LifecycleStage::Draining));
        HeartbeatOutcome { changed: outcome.is_change(), call }
    }

    /// Removes a server at its own request. The request may be answered only once [`Directory::take_completed_calls`]
    /// returns this token.
    pub fn deregister(&mut self, now: Millis, id: &str) -> CallToken {
        self.record_activity(now);
        let key = ServerKey::of(id);
        let heartbeat = self.table.get(key).map(|entry| entry.record.heartbeat.clone()).unwrap_or_default();
        let presence = Presence::Removed;
        let record = ServerRecord { id: id.to_owned(), heartbeat, presence, ..ServerRecord::default() };
        self.merge_from_server(now, record);
        self.await_majority(now, key, LifecycleStage::Removed)
    }

    /// Stores the changes that this coordinator's orders have made to a server's loaded models, until the server's
    /// heartbeats report them. Has no effect if the server is unknown or the overlay is not later than the known one.
    pub fn set_placement_overlay(&mut self, now: Millis, id: &str, overlay: PlacementOverlay) {
        let key = ServerKey::of(id);
        if self.table.get_mut(key).is_some_and(|entry| entry.apply_overlay(overlay)) {
            self.publish_change(key);
            self.advance_version(key, MergeOutcome::Changed);
            self.push_hints_to_all(key, &[]);
            self.flush_hints(now);
        }
    }

    /// Restores the records that a previous incarnation of this coordinator has written to disk. Servers that send no
    /// more heartbeats time out as usual.
    pub fn restore(&mut self, now: Millis, records: Vec<ServerRecord>) {
        for record in records {
            let key = ServerKey::of(&record.id);
            let outcome = self.table.merge(now, key, record, RecordSource::Peer);
            if outcome.is_change() {
                self.publish_change(key);
                self.advance_version(key, outcome);
            }
            // The record was read from disk, so its stage is already durable.
            self.durability.forget(key);
            self.claim_address_and_evict(key);
        }
    }

    fn merge_from_server(&mut self, now: Millis, record: ServerRecord) -> MergeOutcome {
        let key = ServerKey::of(&record.id);
        let outcome = self.table.merge(now, key, record, RecordSource::Server);
        match outcome {
            MergeOutcome::Stale => {}
            MergeOutcome::Refreshed => {
                self.refreshed_servers.insert(key);
            }
            MergeOutcome::Changed | MergeOutcome::StageAdvanced => {
                self.publish_change(key);
                self.advance_version(key, outcome);
                self.push_hints_to_all(key, &[]);
            }
        }
        self.claim_address_and_evict(key);
        self.replace_previous_owner(now, key);
        self.flush_hints(now);
        outcome
    }

    /// Removes the server that owned the address before, once the new server has sent a heartbeat to this coordinator.
    ///
    /// A record from another coordinator is not sufficient, as it may be old. Neither is a time-out of the previous
    /// owner while this coordinator may have been unable to receive heartbeats.
    fn replace_previous_owner(&mut self, now: Millis, key: ServerKey) {
        let address_takeover_ms = self.options.address_takeover_ms;
        if !self.quorum_contact.has_lasted(now, address_takeover_ms) {
            return;
        }
        if let Some(replaced) = self.table.take_over_address(now, key, address_takeover_ms) {
            self.publish_change(replaced);
            self.advance_version(replaced, MergeOutcome::StageAdvanced);
            self.push_hints_to_all(replaced, &[]);
        }
    }
}
