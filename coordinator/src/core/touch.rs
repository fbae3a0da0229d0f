//! Whether what this node knows is fresh enough for others to go by, and which other coordinators are there.
//!
//! Two things are asked. A majority of the configuration's voters must have answered pings that were *sent* within
//! [`OUT_OF_TOUCH`]: an answer that lay in a socket for long, as after a freeze, tells of an old ping and counts for
//! nothing. And no other coordinator may have told for longer than [`BEHIND_FOR`] of a version that is not in force
//! here: a node may reach a majority and yet not the leader, whose entries then never come.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};

use super::shards::CONFIGURATION;
use super::Coordinator;
use crate::interface::{Action, StateChange};

/// A node whose newest ping that a majority of the voters has answered is older than this is out of touch.
const OUT_OF_TOUCH: Millis = 600;
/// A node at which a version that others told of has not come into force for so long is behind.
const BEHIND_FOR: Millis = 600;
/// Between two messages that tell the others which version is in force here.
const TELL_EVERY: Millis = 1_000;
/// What another coordinator told counts for so long.
const TOLD_COUNTS: Millis = 3_000;
/// Coordinators whose versions are kept, at most.
const MOST_TELLING: usize = 256;

/// The versions that are in force at other coordinators, as they told.
#[derive(Debug, Default)]
pub struct PeerVersions {
    told: BTreeMap<NodeId, (u64, Millis)>,
    /// Since when a later version than the own one has been known to be in force elsewhere.
    behind_since: Option<Millis>,
    /// The own version as it was last told to the others.
    last_told: u64,
    next_telling: Millis,
}

impl PeerVersions {
    /// Another coordinator tells its version.
    pub fn told(&mut self, now: Millis, by: NodeId, version: u64) {
        if self.told.len() < MOST_TELLING || self.told.contains_key(&by) {
            self.told.insert(by, (version, now));
        }
    }

    /// Compares what was told of late with the version in force here.
    pub fn compare(&mut self, now: Millis, own: u64) {
        self.told.retain(|_, (_, told)| now.saturating_sub(*told) <= TOLD_COUNTS);
        if self.told.values().any(|(version, _)| *version > own) {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }

    /// Whether a later version is known to be in force elsewhere.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether one has been for too long to be just on its way here.
    pub fn is_left_behind(&self, now: Millis) -> bool {
        self.behind_since.is_some_and(|since| now.saturating_sub(since) >= BEHIND_FOR)
    }

    /// Whether the own version is to be told now, as it is new or was not told for long.
    fn take_telling(&mut self, now: Millis, own: u64) -> bool {
        let due = own != self.last_told || self.next_telling <= now;
        if due {
            self.last_told = own;
            self.next_telling = now + TELL_EVERY;
        }
        due
    }
}

impl Coordinator {
    /// Whether an edge may go by what this node knows. Where it may not, it is sent to another one. An edge that
    /// has no configuration yet, version 0, is not given one that is known to be old.
    pub(super) fn may_inform(&self, now: Millis, config_version: u64) -> bool {
        let elsewhere = &self.versions_elsewhere;
        let behind = if config_version == 0 { elsewhere.is_behind() } else { elsewhere.is_left_behind(now) };
        self.in_touch && !behind
    }

    /// Whether this node was in touch before and is not at this moment, whatever the last event told. Servers are
    /// then sent to another node, as the others do not hear of them from here. One that has just started takes what
    /// it hears.
    pub(super) fn has_lost_touch(&self, now: Millis) -> bool {
        self.was_in_touch && !self.reaches_quorum_of(now, &self.configuration_voters())
    }

    fn configuration_voters(&self) -> Vec<NodeId> {
        let shard = self.shards.get(CONFIGURATION);
        shard.map(|shard| shard.replica.voters().members().collect()).unwrap_or_default()
    }

    fn reaches_quorum_of(&self, now: Millis, voters: &[NodeId]) -> bool {
        !voters.is_empty() && self.membership.has_quorum_contact(now, voters, OUT_OF_TOUCH)
    }

    pub(super) fn update_touch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let voters = self.configuration_voters();
        let in_touch = self.reaches_quorum_of(now, &voters);
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            self.was_in_touch |= in_touch;
            self.edges.touch_changed(now);
            actions.push(Action::LogStateChange(StateChange::QuorumContactChanged(in_touch)));
        }
        self.directory.set_quorum_contact(now, in_touch);
        self.membership.set_voters(&self.shards.voters());
        self.directory.set_voters(&voters);
    }

    pub(super) fn update_members(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let changed = self.membership.take_changed();
        if changed.is_empty() {
            return;
        }
        let members = self.membership.members();
        let peers: Vec<NodeId> = members.iter().map(|member| member.node).collect();
        self.directory.set_peers(now, &peers);
        let version = self.configuration_version();
        for member in members.iter().filter(|member| changed.contains(&member.node)) {
            self.directory.on_peer_started(now, member.node, member.incarnation);
            // It may have started with old state. It is told before its ping is answered, so that it knows of the
            // versions of all those whose answers put it in touch.
            if member.node != self.options.node {
                actions.push(Action::Send {
                    to: member.node,
                    message: CoordinatorMessage::AppliedConfigVersion { version },
                });
            }
        }
    }

    /// Tells the others which version is in force here, and compares it with theirs.
    pub(super) fn compare_versions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        self.versions_elsewhere.compare(now, version);
        if self.versions_elsewhere.take_telling(now, version) {
            self.send_to_others(&CoordinatorMessage::AppliedConfigVersion { version }, actions);
        }
    }
}
