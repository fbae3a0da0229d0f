//! One server in the directory: its record and this coordinator's own times and versions.

use std::hash::{Hash, Hasher};

use bitcode::{Decode, Encode};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::{PlacementOverlay, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId};

use crate::stable_hash::StableHasher;

/// Identifies a server inside the directory: the hash of its id, the same in every process.
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

/// The stages of a server's life, in order; it never returns to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LifecycleStage {
    /// Ready or timed out; these two may alternate.
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

/// What this coordinator knows of one server. Times are this coordinator's own, in milliseconds.
#[derive(Clone, Debug)]
pub(super) struct ServerEntry {
    pub(super) record: ServerRecord,
    /// A hash of what edges need; see [`fingerprint`].
    pub(super) fingerprint: u32,
    /// When the server was first known here.
    pub(super) first_contact: Millis,
    /// The newest sign of life, from the server or by other coordinators.
    pub(super) last_contact: Millis,
    /// When the server entered its presence.
    pub(super) presence_since: Millis,
    /// When the server will be terminated, as its heartbeats announce (`remaining_ms`).
    pub(super) terminates_at: Option<Millis>,
    /// Raised by each change that is pushed to the other coordinators.
    pub(super) version: u64,
    /// The version at which the server entered its stage.
    pub(super) stage_version: u64,
    /// Peers that know the server's stage, if that is draining or removed.
    pub(super) acknowledged_by: Vec<NodeId>,
    /// The number of the newest change in the log for edges.
    pub(super) last_change: u64,
}

impl ServerEntry {
    /// An entry for a server that was not known before.
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

    /// Sets the presence; true if it was another one. Acknowledgements of an earlier stage are dropped.
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

    /// Stores a later heartbeat; true if edges need to know what changed. An announced termination is only ever
    /// brought forward.
    pub(super) fn apply_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let announced = announced_termination(now, &heartbeat);
        self.terminates_at = self.terminates_at.into_iter().chain(announced).min();
        self.record.heartbeat = heartbeat;
        self.update_fingerprint()
    }

    /// Stores a placement overlay if it is later than the known one; true if it was.
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

    /// Records that a peer knows the stage; without effect while the server is active.
    pub(super) fn record_acknowledgement(&mut self, peer: NodeId) {
        if self.stage() != LifecycleStage::Active && !self.acknowledged_by.contains(&peer) {
            self.acknowledged_by.push(peer);
        }
    }

    /// The record for another coordinator. A ready server without contact for `heartbeat_timeout_ms` is marked as
    /// timed out, so that the receiver does not take an old record for a sign of life.
    pub(super) fn record_for_peer(&self, now: Millis, heartbeat_timeout_ms: Millis) -> ServerRecord {
        let mut record = self.record.clone();
        let is_overdue = now.saturating_sub(self.last_contact) >= heartbeat_timeout_ms;
        if record.presence == Presence::Ready && is_overdue {
            record.presence = Presence::TimedOut;
        }
        record
    }
}

/// A hash of all that edges need: not the sequence of the heartbeat, nor how much time is left.
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
