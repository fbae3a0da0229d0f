//! The configuration versions that other coordinators have applied, and the announcement of this node's own.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

/// A node that has not applied a version for so long, after peers have announced it, lags behind.
pub(super) const MAX_LAG: Millis = 600;
/// Interval between two announcements of a version that has not changed.
const ANNOUNCE_INTERVAL: Millis = 1_000;
/// How long a peer's announcement counts.
const ANNOUNCEMENT_TTL: Millis = 3_000;
/// Peers whose announcements are kept, at most.
const MAX_PEERS: usize = 256;

/// A version that a peer has announced.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    received_at: Millis,
}

/// The versions that other coordinators have announced as applied.
#[derive(Debug, Default)]
pub(super) struct PeerVersions {
    announcements: BTreeMap<NodeId, Announcement>,
    /// Since when a peer has been known to have applied a later version than this node.
    behind_since: Option<Millis>,
    /// This node's version as it was last announced.
    last_announced: u64,
    next_announcement: Millis,
}

impl PeerVersions {
    /// A peer has announced its version.
    fn record(&mut self, now: Millis, peer: NodeId, version: u64) {
        if self.announcements.len() < MAX_PEERS || self.announcements.contains_key(&peer) {
            self.announcements.insert(peer, Announcement { version, received_at: now });
        }
    }

    /// Compares the announcements that still count with this node's version.
    fn compare(&mut self, now: Millis, own: u64) {
        let counts = |announced: &Announcement| now.saturating_sub(announced.received_at) <= ANNOUNCEMENT_TTL;
        self.announcements.retain(|_, announced| counts(announced));
        if self.announcements.values().any(|announced| announced.version > own) {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }

    /// Whether a peer is known to have applied a later version.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether that has been so for longer than an entry takes to arrive here.
    pub fn is_lagging(&self, now: Millis) -> bool {
        self.behind_since.is_some_and(|since| now.saturating_sub(since) >= MAX_LAG)
    }

    /// Whether this node's version is to be announced now, as it has changed or the interval is over.
    fn take_announcement_due(&mut self, now: Millis, own: u64) -> bool {
        let due = own != self.last_announced || self.next_announcement <= now;
        if due {
            self.last_announced = own;
            self.next_announcement = now + ANNOUNCE_INTERVAL;
        }
        due
    }
}

impl Coordinator {
    /// A peer has announced the version that it has applied.
    pub(super) fn on_peer_version(&mut self, now: Millis, peer: NodeId, version: u64) {
        self.peer_versions.record(now, peer, version);
    }

    /// Compares this node's version with its peers', and announces it when due.
    pub(super) fn update_peer_versions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        self.peer_versions.compare(now, version);
        if self.peer_versions.take_announcement_due(now, version) {
            self.broadcast(&CoordinatorMessage::AppliedConfigVersion { version }, actions);
        }
    }

    /// Brings the directory up to date with the membership, and announces this node's version to peers that have started.
    pub(super) fn update_peers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let changed = self.membership.take_changed();
        if changed.is_empty() {
            return;
        }
        let members = self.membership.members();
        let peers: Vec<NodeId> = members.iter().map(|member| member.node).collect();
        self.directory.set_peers(now, &peers);
        let version = self.configuration_version();
        for member in members.iter().filter(|member| changed.contains(&member.node)) {
            self.directory.observe_peer_incarnation(now, member.node, member.incarnation);
            // The peer may have started with old state. The announcement goes out before its ping is answered, so that it
            // knows the versions of all those whose answers give it quorum contact.
            if member.node != self.options.node {
                actions.push(Action::Send {
                    to: member.node,
                    message: CoordinatorMessage::AppliedConfigVersion { version },
                });
            }
        }
    }
}
