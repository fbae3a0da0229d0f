//! Whether this node's state is fresh enough to inform data-plane nodes by.
//!
//! Two conditions must hold. A quorum of the configuration's voters must have answered pings that were *sent* within
//! [`MAX_CONTACT_AGE`]: an answer that lay in a socket for long, as after a freeze, belongs to an old ping and proves
//! nothing. And no peer may have announced for longer than [`MAX_LAG`](super::peer_versions::MAX_LAG) a version that is
//! not applied here: a node may reach a quorum and yet not the leader, whose entries then never come.

use shaletrail_protocol::{Millis, NodeId};

use super::shards::CONFIGURATION;
use super::Coordinator;
use crate::interface::{Action, StateChange};

/// Age of the newest ping that a quorum of the voters has answered, beyond which the node has lost quorum contact.
const MAX_CONTACT_AGE: Millis = 600;

impl Coordinator {
    /// Whether a data-plane node with this version of the configuration may be informed by this node's state; otherwise it
    /// is sent to another coordinator. One without a configuration, version 0, is not given one that is known to be old.
    pub(super) fn may_inform(&self, now: Millis, config_version: u64) -> bool {
        let peers = &self.peer_versions;
        let behind = if config_version == 0 { peers.is_behind() } else { peers.is_lagging(now) };
        self.has_quorum_contact && !behind
    }

    /// Whether this node had quorum contact before and has none at this moment, whatever the last event found. Servers are
    /// then sent to another node, as the peers learn nothing of them from here. A node that has just started accepts
    /// heartbeats.
    pub(super) fn has_lost_quorum_contact(&self, now: Millis) -> bool {
        self.had_quorum_contact && !self.reaches_quorum_of(now, &self.configuration_voters())
    }

    fn configuration_voters(&self) -> Vec<NodeId> {
        let shard = self.shards.get(CONFIGURATION);
        shard.map(|shard| shard.replica.voters().members().collect()).unwrap_or_default()
    }

    fn reaches_quorum_of(&self, now: Millis, voters: &[NodeId]) -> bool {
        !voters.is_empty() && self.membership.has_quorum_contact(now, voters, MAX_CONTACT_AGE)
    }

    /// Compares the contact with the last event's, and passes on contact and voters to the parts that depend on them.
    pub(super) fn update_quorum_contact(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let voters = self.configuration_voters();
        let has_contact = self.reaches_quorum_of(now, &voters);
        if has_contact != self.has_quorum_contact {
            self.has_quorum_contact = has_contact;
            self.had_quorum_contact |= has_contact;
            self.edges.quorum_contact_changed(now);
            actions.push(Action::LogStateChange(StateChange::QuorumContactChanged(has_contact)));
        }
        self.directory.set_quorum_contact(now, has_contact);
        self.membership.set_voters(&self.shards.voters());
        self.directory.set_voters(&voters);
    }
}
