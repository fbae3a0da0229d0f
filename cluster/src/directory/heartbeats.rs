//! Calls of servers and of this coordinator itself: heartbeats, deregistrations, placement overlays, recovery.

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
    /// Whether edges need to know what changed.
    pub changed: bool,
    /// Set for a draining server: answer once [`Directory::take_completed_calls`] returns this token.
    pub call: Option<CallToken>,
}

impl Directory {
    /// Merges a heartbeat of a server.
    pub fn heartbeat(&mut self, now: Millis, id: &str, heartbeat: Heartbeat) -> HeartbeatOutcome {
        self.record_call(now);
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

    /// Removes a server at its own request; answer once [`Directory::take_completed_calls`] returns the token.
    pub fn deregister(&mut self, now: Millis, id: &str) -> CallToken {
        self.record_call(now);
        let key = ServerKey::of(id);
        let heartbeat = self.table.get(key).map(|entry| entry.record.heartbeat.clone()).unwrap_or_default();
        let presence = Presence::Removed;
        let record = ServerRecord { id: id.to_owned(), heartbeat, presence, ..ServerRecord::default() };
        self.merge_from_server(now, record);
        self.await_majority(now, key, LifecycleStage::Removed)
    }

    /// Stores what this coordinator's orders have changed on a server, ahead of the server's heartbeats.
    pub fn set_placement_overlay(&mut self, now: Millis, id: &str, overlay: PlacementOverlay) {
        let key = ServerKey::of(id);
        if self.table.get_mut(key).is_some_and(|entry| entry.apply_overlay(overlay)) {
            self.publish_change(key);
            self.advance_version(key, MergeOutcome::Changed);
            self.push_hints_to_all(key, &[]);
            self.flush_hints(now);
        }
    }

    /// Restores the records of an earlier incarnation. Servers that send no heartbeat from now on time out as usual.
    pub fn restore(&mut self, now: Millis, records: Vec<ServerRecord>) {
        for record in records {
            let key = ServerKey::of(&record.id);
            let outcome = self.table.merge(now, key, record, RecordSource::Peer);
            if outcome.is_change() {
                self.publish_change(key);
                self.advance_version(key, outcome);
            }
            // It comes from the disk.
            self.durability.forget(key);
            self.admit(key);
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
        self.admit(key);
        self.replace_former_owner(now, key);
        self.flush_hints(now);
        outcome
    }

    /// Removes the server that owned the address before, once the new one has itself sent a heartbeat here.
    ///
    /// Records of other coordinators are not enough, as they may be old, nor is a time-out while this coordinator
    /// could not receive heartbeats.
    fn replace_former_owner(&mut self, now: Millis, key: ServerKey) {
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
