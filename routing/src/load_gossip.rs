//! The exchange of loads among edges.
//!
//! A server reports its load only in responses, and never the prompt tokens that are still to be prefilled. Each edge
//! therefore advertises its requests in flight: to all other edges or, where there are many, to the relay of its group
//! ([`GossipTopology`]).

use std::sync::Arc;

use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope};
use shaletrail_protocol::{Millis, NodeId};

use crate::advertisement::AdvertisedLoads;
use crate::gossip_topology::GossipTopology;
use crate::interface::LoadUpdate;
use crate::load_table::{LoadTable, RemoteLoad};

/// Interval of a relay's updates to the other relays, in milliseconds.
const GROUP_INTERVAL: Millis = 100;
/// Interval of a relay's updates to its group, in milliseconds.
const FLEET_INTERVAL: Millis = 200;

/// The loads received from other edges.
#[derive(Debug, Default)]
struct ReceivedLoads {
    /// Loads of single edges. At a relay, those of this edge are among them.
    per_edge: LoadTable,
    /// Aggregates of relays.
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

/// The loads of the other edges, and what a relay has advertised of them.
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
    /// Sets the edges at work; received loads are dropped where they would no longer come from the same sources.
    pub fn set_edges(&mut self, own: NodeId, edges: &[NodeId]) {
        let topology = GossipTopology::of(own, edges);
        if !topology.has_same_sources_as(&self.topology) {
            *self = LoadGossip::default();
        }
        (self.own, self.topology) = (own, topology);
    }

    /// Records an update of another edge, if this edge's place in the topology expects it.
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

    /// The other edges' load at a server. `advertised` is this edge's own advertisement, which a relay's aggregate
    /// contains.
    pub fn remote_load(&self, advertised: &EdgeServerLoad) -> RemoteLoad {
        let all = self.received.at(advertised.server_hash);
        match self.topology {
            GossipTopology::Mesh { .. } => all,
            GossipTopology::Member { .. } | GossipTopology::Relay { .. } => all.excluding(advertised),
        }
    }

    /// Drops the loads that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.received.expire(now);
    }

    /// The updates to send now, where `own_loads` of this edge have changed.
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
