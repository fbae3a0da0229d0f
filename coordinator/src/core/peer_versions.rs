//! The configuration versions that other coordinators announce as applied, and the announcements of this node's
//! version.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

/// Time after which a node that has not applied a version announced by a peer counts as lagging.
pub(super) const MAX_LAG: Millis = 600;
/// Interval between announcements while the version does not change.
const ANNOUNCE_INTERVAL: Millis = 1_000;
/// How long an announcement of a peer is valid.
const ANNOUNCEMENT_TTL: Millis = 3_000;
/// Maximum number of peers whose announcements are kept.
const MAX_PEERS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Announcement {
    version: u64,
    received_at: Millis,
}

/// The versions that other coordinators have announced as applied.
#[derive(Debug, Default)]
pub(super) struct PeerVersions {
    announcements: BTreeMap<NodeId, Announcement>,
    /// Since when this node has known that a peer has applied a later version; `None` if none has.
    behind_since: Option<Millis>,
    /// The version that this node last announced.
    last_announced: u64,
    next_announcement: Millis,
}

impl PeerVersions {
    fn record(&mut self, now: Millis, peer: NodeId, version: u64) {
        if self.announcements.len() < MAX_PEERS || self.announcements.contains_key(&peer) {
            self.announcements.insert(peer, Announcement { version, received_at: now });
        }
    }

    /// Drops expired announcements and compares the others with this node's version.
    fn compare(&mut self, now: Millis, own: u64) {
        let is_valid =
            |announced: &Announcement| now.saturating_sub(announced.received_at) <= ANNOUNCEMENT_TTL;
        self.announcements.retain(|_, announced| is_valid(announced));
        if self.announcements.values().any(|announced| announced.version > own) {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }

    /// Whether a peer had applied a later version at the last comparison.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether this node has been behind for longer than an entry usually takes to arrive.
    pub fn is_lagging(&self, now: Millis) -> bool {
        self.behind_since.is_some_and(|since| now.saturating_sub(since) >= MAX_LAG)
    }

    /// Returns whether to announce this node's version now, because it has changed or the interval has passed.
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
    /// Handles a peer's announcement of the version that it has applied.
    pub(super) fn on_peer_version(&mut self, now: Millis, peer: NodeId, version: u64) {
        self.peer_versions.record(now, peer, version);
    }

    /// Compares this node's version with those of its peers, and announces it if an announcement is due.
    pub(super) fn update_peer_versions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        self.peer_versions.compare(now, version);
        if self.peer_versions.take_announcement_due(now, version) {
            self.broadcast(&CoordinatorMessage::AppliedConfigVersion { version }, actions);
        }
    }

    /// Passes membership changes to the directory, and announces this node's version to the changed peers.
    pub(super) fn update_peers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let changed = self.membership.take_changed();
        if changed.is_empty() {
            return;
        }
        let members = self.membership.members();
        let peers: Vec<NodeId> = members.iter().map(|member| member.node).collect();
        self.directory.set_peers(now, &peers);
        self.update_node_attribute_peers(now, &members);
        let version = self.configuration_version();
        for member in members.iter().filter(|member| changed.contains(&member.node)) {
            self.directory.observe_peer_incarnation(now, member.node, member.incarnation);
            // The peer may have restarted with stale state. The announcement is sent before its ping is answered, so
            // that by the time it has quorum contact it knows the versions of the nodes that have answered.
            if member.node != self.options.node {
                actions.push(Action::Send {
                    to: member.node,
                    message: CoordinatorMessage::AppliedConfigVersion { version },
                });
            }
        }
    }
}
