//! Decides whether this node's state is fresh enough to be served to data-plane nodes.
//!
//! Two conditions must hold. First, a quorum of the configuration shard's voters must have answered pings that were
//! *sent* within [`MAX_CONTACT_AGE`]. The age is that of the ping, not of the answer: after a freeze of this process,
//! answers to old pings may be waiting in its sockets, and these prove no present contact. Second, this node must not
//! have lacked a version that a peer has announced for longer than [`MAX_LAG`](super::peer_versions::MAX_LAG): a node
//! may reach a quorum but not the leader, and then receives no entries.

use shaletrail_protocol::{Millis, NodeId};

use super::shards::CONFIGURATION;
use super::Coordinator;
use crate::interface::{Action, StateChange};

/// Maximum age of the pings that a quorum of the voters has answered. If they are older, quorum contact is lost.
const MAX_CONTACT_AGE: Millis = 600;

impl Coordinator {
    /// Returns whether polls of an edge with this configuration version may be answered from this node's state; if not,
    /// the edge is told to poll another coordinator. An edge without a configuration (version 0) is not given one that
    /// is known to be outdated, however short the lag.
    pub(super) fn may_serve(&self, now: Millis, config_version: u64) -> bool {
        let peers = &self.peer_versions;
        let behind = if config_version == 0 { peers.is_behind() } else { peers.is_lagging(now) };
        self.has_quorum_contact && !behind
    }

    /// Returns whether this node has had quorum contact since its start and has none at `now`. Unlike
    /// `has_quorum_contact`, this does not rely on the check at the last event. Heartbeats are then rejected, so that
    /// the servers retry at another node, because the peers receive no updates about them from this one. A node that
    /// has not had quorum contact since its start accepts heartbeats.
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

    /// Updates whether there is quorum contact, and passes it and the voters on to the components that depend on them.
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
