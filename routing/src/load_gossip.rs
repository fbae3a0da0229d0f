//! The exchange of server loads among edges.
//!
//! A server reports its load only in responses, and does not report the prompt tokens that it has yet to
//! prefill. Each edge therefore advertises its requests in flight: to all other edges or, if there are many,
//! to the relay of its group ([`GossipTopology`]).

use std::sync::Arc;

use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope};
use shaletrail_protocol::{Millis, NodeId};

use crate::advertisement::AdvertisedLoads;
use crate::gossip_topology::GossipTopology;
use crate::interface::LoadUpdate;
use crate::load_table::{LoadTable, RemoteLoad};

/// Minimum interval between a relay's updates to the other relays.
const GROUP_UPDATE_INTERVAL_MS: Millis = 100;
/// Minimum interval between a relay's updates to its group.
const FLEET_UPDATE_INTERVAL_MS: Millis = 200;

/// The loads received from other edges.
#[derive(Debug, Default)]
struct ReceivedLoads {
    /// Loads of individual edges. At a relay, they include the loads of the relay itself.
    per_edge: LoadTable,
    /// Aggregated loads from relays.
    aggregated: LoadTable,
}

impl ReceivedLoads {
    fn load_of(&self, server: u64) -> RemoteLoad {
        self.per_edge.load_of(server).saturating_add(self.aggregated.load_of(server))
    }

    fn servers(&self) -> impl Iterator<Item = u64> + '_ {
        self.per_edge.servers().chain(self.aggregated.servers())
    }

    fn expire(&mut self, now: Millis) {
        self.per_edge.expire(now);
        self.aggregated.expire(now);
    }
}

/// The loads received from other edges and, at a relay, the aggregated loads that it has advertised.
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
    /// Sets the active edges. All received loads are dropped if the new topology receives loads from other
    /// sources.
    pub fn set_edges(&mut self, own: NodeId, edges: &[NodeId]) {
        let topology = GossipTopology::for_edge(own, edges);
        if !topology.has_same_sources_as(&self.topology) {
            *self = LoadGossip::default();
        }
        (self.own, self.topology) = (own, topology);
    }

    /// Records an update from another edge. It is ignored if this edge's role in the topology does not expect
    /// it.
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

    /// The load of the other edges at a server. `advertised` is the last load that this edge advertised for
    /// the server; it is subtracted from sums that include it.
    pub fn remote_load(&self, advertised: &EdgeServerLoad) -> RemoteLoad {
        let all = self.received.load_of(advertised.server_hash);
        match self.topology {
            GossipTopology::Mesh { .. } => all,
            GossipTopology::Member { .. } | GossipTopology::Relay { .. } => all.excluding(advertised),
        }
    }

    /// Drops the loads that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.received.expire(now);
    }

    /// Returns the updates to send now. `own_loads` are the changed loads of this edge.
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
        if now < self.last_group_update_at + GROUP_UPDATE_INTERVAL_MS {
            return Vec::new();
        }
        self.last_group_update_at = now;
        self.received.expire(now);
        let per_edge = &self.received.per_edge;
        self.group_advertised.take_changes(now, per_edge.servers(), |server| per_edge.load_of(server))
    }

    fn take_fleet_updates(&mut self, now: Millis) -> Vec<EdgeServerLoad> {
        if now < self.last_fleet_update_at + FLEET_UPDATE_INTERVAL_MS {
            return Vec::new();
        }
        self.last_fleet_update_at = now;
        let received = &self.received;
        self.fleet_advertised.take_changes(now, received.servers(), |server| received.load_of(server))
    }
}
