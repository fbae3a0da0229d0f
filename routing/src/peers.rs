//! What the edges have under way at servers, told among them.
//!
//! A server says how many requests it has only in its answers, and never how much of prompts it still has to read.
//! Each edge therefore tells others what it has sent and not seen answered: all of them, or, where they are many, the
//! relay of its group ([`Topology`]).

use std::sync::Arc;

use shaletrail_protocol::internal::{EdgeServerLoad, LoadScope};
use shaletrail_protocol::{Millis, NodeId};

use crate::announced::Announced;
use crate::interface::LoadUpdate;
use crate::load_table::{Elsewhere, LoadTable};
use crate::topology::Topology;

/// Between two sums that a relay tells the other relays, in milliseconds.
const GROUP_INTERVAL: Millis = 100;
/// Between two sums that a relay tells its group, in milliseconds.
const FLEET_INTERVAL: Millis = 200;

/// What was heard of requests at servers.
#[derive(Debug, Default)]
struct Heard {
    /// What edges told of their own requests. At a relay, those of this edge are among them.
    single: LoadTable,
    /// Sums that relays told.
    summed: LoadTable,
}

impl Heard {
    fn at(&self, server: u64) -> Elsewhere {
        self.single.at(server).plus(self.summed.at(server))
    }

    fn servers(&self) -> impl Iterator<Item = u64> + '_ {
        self.single.servers().chain(self.summed.servers())
    }

    fn expire(&mut self, now: Millis) {
        self.single.expire(now);
        self.summed.expire(now);
    }
}

/// What the other edges have under way, and what a relay tells on.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    own: NodeId,
    topology: Topology,
    heard: Heard,
    group: Announced,
    fleet: Announced,
    group_at: Millis,
    fleet_at: Millis,
}

impl Peers {
    /// Takes over which edges are at work.
    pub fn set_edges(&mut self, own: NodeId, edges: &[NodeId]) {
        let topology = Topology::of(own, edges);
        if !topology.hears_as(&self.topology) {
            *self = Peers::default();
        }
        (self.own, self.topology) = (own, topology);
    }

    /// Takes what another edge tells, if it is for this one.
    pub fn tell(&mut self, now: Millis, edge: NodeId, scope: LoadScope, shares: Vec<EdgeServerLoad>) {
        if edge == self.own {
            return;
        }
        let table = match (&self.topology, scope) {
            (Topology::Mesh { .. } | Topology::Relay { .. }, LoadScope::Own) => &mut self.heard.single,
            (Topology::Relay { .. }, LoadScope::Group) => &mut self.heard.summed,
            (Topology::Member { relay }, LoadScope::Fleet) if *relay == edge => &mut self.heard.summed,
            _ => return,
        };
        table.tell(now, edge, shares);
    }

    /// What the other edges have at a server. `told` is what this edge has told of it.
    pub fn at(&self, told: &EdgeServerLoad) -> Elsewhere {
        let all = self.heard.at(told.server);
        match self.topology {
            Topology::Mesh { .. } => all,
            Topology::Member { .. } | Topology::Relay { .. } => all.without(told),
        }
    }

    /// Forgets what was told long ago.
    pub fn expire(&mut self, now: Millis) {
        self.heard.expire(now);
    }

    /// What is to be told now, where this edge has `own_news` of its own.
    pub fn take_news(&mut self, now: Millis, own_news: Vec<EdgeServerLoad>) -> Vec<LoadUpdate> {
        match &self.topology {
            Topology::Mesh { others } => {
                vec![LoadUpdate { to: others.clone(), scope: LoadScope::Own, loads: own_news }]
            }
            Topology::Member { relay } => {
                vec![LoadUpdate { to: Arc::new([*relay]), scope: LoadScope::Own, loads: own_news }]
            }
            Topology::Relay { members, relays } => {
                let (members, relays) = (members.clone(), relays.clone());
                self.heard.single.tell(now, self.own, own_news);
                let group = LoadUpdate { to: relays, scope: LoadScope::Group, loads: self.group_news(now) };
                let fleet = LoadUpdate { to: members, scope: LoadScope::Fleet, loads: self.fleet_news(now) };
                vec![group, fleet]
            }
        }
    }

    fn group_news(&mut self, now: Millis) -> Vec<EdgeServerLoad> {
        if now < self.group_at + GROUP_INTERVAL {
            return Vec::new();
        }
        self.group_at = now;
        self.heard.expire(now);
        let single = &self.heard.single;
        self.group.take_news(now, single.servers(), |server| single.at(server))
    }

    fn fleet_news(&mut self, now: Millis) -> Vec<EdgeServerLoad> {
        if now < self.fleet_at + FLEET_INTERVAL {
            return Vec::new();
        }
        self.fleet_at = now;
        let heard = &self.heard;
        self.fleet.take_news(now, heard.servers(), |server| heard.at(server))
    }
}
