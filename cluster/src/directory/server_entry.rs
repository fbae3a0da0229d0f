//! The entry of one server in the directory: its record, and times and versions that only this coordinator uses.

use std::hash::{Hash, Hasher};

use bitcode::{Decode, Encode};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::{PlacementOverlay, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId};

use crate::stable_hash::StableHasher;

/// Identifies a server inside the directory: a hash of its id, which is the same in every process and version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The key of the server with this id.
    pub fn of(id: &str) -> Self {
        let mut hasher = StableHasher::default();
        id.hash(&mut hasher);
        ServerKey(hasher.finish())
    }
}

/// The stages of a server's lifecycle, in order. A server never returns to an earlier stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LifecycleStage {
    /// Ready or timed out. A server may change between these two any number of times.
    Active,
    Draining,
    Removed,
}

impl From<Presence> for LifecycleStage {
    fn from(presence: Presence) -> Self {
        match presence {
            Presence::Ready | Presence::TimedOut => LifecycleStage::Active,
            Presence::Draining => LifecycleStage::Draining,
            Presence::Removed => LifecycleStage::Removed,
        }
    }
}

/// The state of one server at this coordinator. Times are in milliseconds of this coordinator's clock.
#[derive(Clone, Debug)]
pub(super) struct ServerEntry {
    pub(super) record: ServerRecord,
    /// A hash of the content that edges use; see [`fingerprint`].
    pub(super) fingerprint: u32,
    /// When this coordinator first learnt of the server.
    pub(super) first_contact: Millis,
    /// The latest known contact with the server, by this or another coordinator.
    pub(super) last_contact: Millis,
    /// When the presence last changed.
    pub(super) presence_since: Millis,
    /// When the server will terminate; `None` if its heartbeats have not announced that (`remaining_ms`).
    pub(super) terminates_at: Option<Millis>,
    /// The version of the record, which other coordinators acknowledge; raised by each change that must reach them.
    pub(super) version: u64,
    /// The version at which the server entered its present stage.
    pub(super) stage_version: u64,
    /// Peers that have acknowledged the server's present stage; empty while the server is active.
    pub(super) acknowledged_by: Vec<NodeId>,
    /// The number of the server's latest change in the change log.
    pub(super) last_change: u64,
}

impl ServerEntry {
    /// An entry for a server that this coordinator learns of at `now`.
    pub(super) fn new(now: Millis, record: ServerRecord) -> Self {
        ServerEntry {
            fingerprint: fingerprint(&record.heartbeat, &record.overlay),
            terminates_at: announced_termination(now, &record.heartbeat),
            record,
            first_contact: now,
            last_contact: now,
            presence_since: now,
            version: 0,
            stage_version: 0,
            acknowledged_by: Vec::new(),
            last_change: 0,
        }
    }

    pub(super) fn stage(&self) -> LifecycleStage {
        LifecycleStage::from(self.record.presence)
    }

    pub(super) fn sequence(&self) -> u64 {
        self.record.heartbeat.sequence
    }

    pub(super) fn is_timed_out(&self) -> bool {
        self.record.presence == Presence::TimedOut
    }

    /// Sets the presence; returns whether it changed. If the stage changes, its acknowledgements are dropped.
    pub(super) fn set_presence(&mut self, now: Millis, presence: Presence) -> bool {
        let changed = self.record.presence != presence;
        if changed {
            if LifecycleStage::from(presence) != self.stage() {
                self.acknowledged_by.clear();
            }
            self.record.presence = presence;
            self.presence_since = now;
        }
        changed
    }

    /// Stores a later heartbeat; returns whether content that edges use has changed. An announced termination time may
    /// only move to an earlier time.
    pub(super) fn apply_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let announced = announced_termination(now, &heartbeat);
        self.terminates_at = self.terminates_at.into_iter().chain(announced).min();
        self.record.heartbeat = heartbeat;
        self.update_fingerprint()
    }

    /// Stores a placement overlay if it is later than the known one; returns whether it was.
    pub(super) fn apply_overlay(&mut self, overlay: PlacementOverlay) -> bool {
        let is_later = overlay.is_later_than(&self.record.overlay);
        if is_later {
            self.record.overlay = overlay;
            self.update_fingerprint();
        }
        is_later
    }

    fn update_fingerprint(&mut self) -> bool {
        let fingerprint = fingerprint(&self.record.heartbeat, &self.record.overlay);
        let changed = fingerprint != self.fingerprint;
        self.fingerprint = fingerprint;
        changed
    }

    /// Records that a peer knows the server's stage; without effect while the server is active.
    pub(super) fn record_acknowledgement(&mut self, peer: NodeId) {
        if self.stage() != LifecycleStage::Active && !self.acknowledged_by.contains(&peer) {
            self.acknowledged_by.push(peer);
        }
    }

    /// The record as it is sent to another coordinator. A ready server without contact for `heartbeat_timeout_ms` is
    /// marked as timed out, so that the receiver does not count an old record as recent contact.
    pub(super) fn record_for_peer(&self, now: Millis, heartbeat_timeout_ms: Millis) -> ServerRecord {
        let mut record = self.record.clone();
        let is_overdue = now.saturating_sub(self.last_contact) >= heartbeat_timeout_ms;
        if record.presence == Presence::Ready && is_overdue {
            record.presence = Presence::TimedOut;
        }
        record
    }
}

/// A hash of the content that edges use. It leaves out the heartbeat's sequence number and the exact remaining times,
/// which change with every heartbeat.
fn fingerprint(heartbeat: &Heartbeat, overlay: &PlacementOverlay) -> u32 {
    let mut hasher = StableHasher::default();
    heartbeat.service.hash(&mut hasher);
    heartbeat.address.hash(&mut hasher);
    heartbeat.zone.hash(&mut hasher);
    heartbeat.version.hash(&mut hasher);
    heartbeat.slots.hash(&mut hasher);
    (heartbeat.cold_remaining_ms > 0.0).hash(&mut hasher);
    heartbeat.remaining_ms.is_some().hash(&mut hasher);
    heartbeat.phase.hash(&mut hasher);
    heartbeat.models.hash(&mut hasher);
    (overlay.fencing_token, overlay.revision).hash(&mut hasher);
    let hash = hasher.finish();
    (hash >> 32) as u32
}

fn announced_termination(now: Millis, heartbeat: &Heartbeat) -> Option<Millis> {
    let remaining = heartbeat.remaining_ms.filter(|remaining| remaining.is_finite())?;
    Some(now.saturating_add(remaining.max(0.0) as Millis))
}
