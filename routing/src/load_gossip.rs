//! What the edges have under way at servers, told among them.
//!
//! A server says how many requests it has only in its answers, and never how much of prompts it still has to read.
//! Each edge therefore tells others what it has sent and not seen answered: all of them, or, where they are many, the
//! relay of its group ([`Topology`]).

use std::sync::Arc;

use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope};
use shaletrail_protocol::{Millis, NodeId};

use crate::advertisement::AdvertisedLoads;
use crate::gossip_topology::GossipTopology;
use crate::interface::LoadUpdate;
use crate::load_table::{LoadTable, RemoteLoad};

/// Between two sums that a relay tells the other relays, in milliseconds.
const GROUP_INTERVAL: Millis = 100;
/// Between two sums that a relay tells its group, in milliseconds.
const FLEET_INTERVAL: Millis = 200;

/// What was heard of requests at servers.
#[derive(Debug, Default)]
struct ReceivedLoads {
    /// What edges told of their own requests. At a relay, those of this edge are among them.
    per_edge: LoadTable,
    /// Sums that relays told.
    aggregated: LoadTable,
}

impl ReceivedLoads {
    fn at(&self, server: u64) -> RemoteLoad {
        self.per_edge.at(server).saturating_add(self.aggregated.at(server))
    }

    fn servers(&self) -> impl Iterator<Item = u64> + '_ {
        self.per_edge.servers().chain(self.aggregated.servers())
    }

    fn expire(&mut self, now: Millis) {
        self.per_edge.expire(now);
        self.aggregated.expire(now);
    }
}

/// What the other edges have under way, and what a relay tells on.
#[derive(Debug, Default)]
pub(crate) struct LoadGossip {
    own: NodeId,
    topology: GossipTopology,
    received: ReceivedLoads,
    group_advertised: AdvertisedLoads,
    fleet_advertised: AdvertisedLoads,
    last_group_update_at: Millis,
    last_fleet_update_at: Millis,
}

impl LoadGossip {
    /// Takes over which edges are at work.
    pub fn set_edges(&mut self, own: NodeId, edges: &[NodeId]) {
        let topology = GossipTopology::of(own, edges);
        if !topology.has_same_sources_as(&self.topology) {
            *self = LoadGossip::default();
        }
        (self.own, self.topology) = (own, topology);
    }

    /// Takes what another edge tells, if it is for this one.
    pub fn receive(&mut self, now: Millis, edge: NodeId, scope: LoadScope, loads: Vec<EdgeServerLoad>) {
        if edge == self.own {
            return;
        }
        let table = match (&self.topology, scope) {
            (GossipTopology::Mesh { .. } | GossipTopology::Relay { .. }, LoadScope::Own) => {
                &mut self.received.per_edge
            }
            (GossipTopology::Relay { .. }, LoadScope::Group) => &mut self.received.aggregated,
            (GossipTopology::Member { relay }, LoadScope::Fleet) if *relay == edge => {
                &mut self.received.aggregated
            }
            _ => return,
        };
        table.record(now, edge, loads);
    }

    /// What the other edges have at a server. `told` is what this edge has told of it.
    pub fn remote_load(&self, advertised: &EdgeServerLoad) -> RemoteLoad {
        let all = self.received.at(advertised.server);
        match self.topology {
            GossipTopology::Mesh { .. } => all,
            GossipTopology::Member { .. } | GossipTopology::Relay { .. } => all.excluding(advertised),
        }
    }

    /// Forgets what was told long ago.
    pub fn expire(&mut self, now: Millis) {
        self.received.expire(now);
    }

    /// What is to be told now, where this edge has `own_news` of its own.
    pub fn take_updates(&mut self, now: Millis, own_loads: Vec<EdgeServerLoad>) -> Vec<LoadUpdate> {
        match &self.topology {
            GossipTopology::Mesh { others } => {
                vec![LoadUpdate { to: others.clone(), scope: LoadScope::Own, loads: own_loads }]
            }
            GossipTopology::Member { relay } => {
                vec![LoadUpdate { to: Arc::new([*relay]), scope: LoadScope::Own, loads: own_loads }]
            }
            GossipTopology::Relay { members, relays } => {
                let (members, relays) = (members.clone(), relays.clone());
                self.received.per_edge.record(now, self.own, own_loads);
                let to_relays =
                    LoadUpdate { to: relays, scope: LoadScope::Group, loads: self.take_group_updates(now) };
                let to_members =
                    LoadUpdate { to: members, scope: LoadScope::Fleet, loads: self.take_fleet_updates(now) };
                vec![to_relays, to_members]
            }
        }
    }

    fn take_group_updates(&mut self, now: Millis) -> Vec<EdgeServerLoad> {
        if now < self.last_group_update_at + GROUP_INTERVAL {
            return Vec::new();
        }
        self.last_group_update_at = now;
        self.received.expire(now);
        let per_edge = &self.received.per_edge;
        self.group_advertised.take_changes(now, per_edge.servers(), |server| per_edge.at(server))
    }

    fn take_fleet_updates(&mut self, now: Millis) -> Vec<EdgeServerLoad> {
        if now < self.last_fleet_update_at + FLEET_INTERVAL {
            return Vec::new();
        }
        self.last_fleet_update_at = now;
        let received = &self.received;
        self.fleet_advertised.take_changes(now, received.servers(), |server| received.at(server))
    }
}
