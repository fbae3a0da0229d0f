//! One server in the directory.

use std::hash::{Hash, Hasher};

use bitcode::{Decode, Encode};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::{PlacementOverlay, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId};

use crate::stable_hash::StableHasher;

/// Names a server inside the directory: the hash of its id, the same in every process.
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

/// How far a server has come on its way out, which it never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    Present,
    Draining,
    Gone,
}

impl From<Presence> for Stage {
    fn from(presence: Presence) -> Self {
        match presence {
            Presence::Ready | Presence::TimedOut => Stage::Present,
            Presence::Draining => Stage::Draining,
            Presence::Removed => Stage::Gone,
        }
    }
}

/// What is known of one server, with this node's own times.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: ServerRecord,
    /// Of what edges care about; see [`fingerprint`].
    pub(super) fingerprint: u32,
    /// When it was first heard of.
    pub(super) first_heard: Millis,
    /// The newest sign of life.
    pub(super) heard: Millis,
    /// When it came into its presence.
    pub(super) since: Millis,
    /// When it is gone by its own word.
    pub(super) ends: Option<Millis>,
    /// Raised with each change that the other coordinators must know.
    pub(super) version: u64,
    /// The version at which it came into its stage.
    pub(super) stage_version: u64,
    /// Other coordinators that know its stage, once that is draining or gone.
    pub(super) holders: Vec<NodeId>,
    /// The newest change told to edges.
    pub(super) change: u64,
}

impl Entry {
    pub(super) fn new(now: Millis, record: ServerRecord) -> Self {
        Entry {
            fingerprint: fingerprint(&record.heartbeat, &record.overlay),
            ends: end_of(now, &record.heartbeat),
            record,
            first_heard: now,
            heard: now,
            since: now,
            version: 0,
            stage_version: 0,
            holders: Vec::new(),
            change: 0,
        }
    }

    pub(super) fn stage(&self) -> Stage {
        Stage::from(self.record.presence)
    }

    pub(super) fn sequence(&self) -> u64 {
        self.record.heartbeat.sequence
    }

    pub(super) fn is_silent(&self) -> bool {
        self.record.presence == Presence::TimedOut
    }

    /// Enters a presence; true if it is another one.
    pub(super) fn enter(&mut self, now: Millis, presence: Presence) -> bool {
        let changed = self.record.presence != presence;
        if changed {
            if Stage::from(presence) != self.stage() {
                self.holders.clear();
            }
            self.record.presence = presence;
            self.since = now;
        }
        changed
    }

    /// Takes what the server said later; true if edges care about what is new in it.
    pub(super) fn update(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let ends = end_of(now, &heartbeat);
        self.ends = self.ends.into_iter().chain(ends).min();
        self.record.heartbeat = heartbeat;
        self.update_fingerprint()
    }

    /// Takes a note on what the server holds if it is later than the one that is known; true if it was.
    pub(super) fn take_note(&mut self, note: PlacementOverlay) -> bool {
        let later = note.is_later_than(&self.record.overlay);
        if later {
            self.record.overlay = note;
            self.update_fingerprint();
        }
        later
    }

    fn update_fingerprint(&mut self) -> bool {
        let fingerprint = fingerprint(&self.record.heartbeat, &self.record.overlay);
        let changed = fingerprint != self.fingerprint;
        self.fingerprint = fingerprint;
        changed
    }

    pub(super) fn note_holder(&mut self, peer: NodeId) {
        if self.stage() != Stage::Present && !self.holders.contains(&peer) {
            self.holders.push(peer);
        }
    }

    /// The record for another coordinator. One that has not been heard for `silence_ms` is called silent, so that
    /// the receiver does not take an old record for a sign of life.
    pub(super) fn for_peer(&self, now: Millis, silence_ms: Millis) -> ServerRecord {
        let mut record = self.record.clone();
        if record.presence == Presence::Ready && now.saturating_sub(self.heard) >= silence_ms {
            record.presence = Presence::TimedOut;
        }
        record
    }
}

/// A hash of all that edges care about: not how often a heartbeat was sent, nor how much time is left.
fn fingerprint(heartbeat: &Heartbeat, note: &PlacementOverlay) -> u32 {
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
    (note.fencing_token, note.revision).hash(&mut hasher);
    let hash = hasher.finish();
    (hash >> 32) as u32
}

fn end_of(now: Millis, heartbeat: &Heartbeat) -> Option<Millis> {
    let remaining = heartbeat.remaining_ms.filter(|remaining| remaining.is_finite())?;
    Some(now.saturating_add(remaining.max(0.0) as Millis))
}
