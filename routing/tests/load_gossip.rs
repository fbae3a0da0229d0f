//! The exchange of loads among edges.

mod common;

use std::collections::BTreeMap;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Event, LoadUpdate};

const MODEL: &str = "m1";
const SERVERS: u32 = 4;
/// A route timeout longer than any of these tests, in milliseconds.
const LONG_TIMEOUT_MS: Millis = 600_000;
/// Interval at which load updates are taken, as in the driver.
const INTERVAL: Millis = 100;
/// Less than the time after which a server counts as unresponsive, and enough to receive updates.
const BEFORE_UNRESPONSIVE: Millis = 300;
/// The loads of a lost edge have expired after this.
const LOADS_EXPIRED_AFTER: Millis = 3_000;
/// A prompt after which its server is no longer lightly loaded.
const LONG_PROMPT: u32 = 4_000;
/// Two of these together have that effect.
const MODERATE_PROMPT: u32 = 1_000;

/// Edges that exchange updates without delay.
struct Edges {
    edges: BTreeMap<NodeId, Edge>,
    messages_sent: u64,
}

impl Edges {
    fn new(count: u32) -> Self {
        let edge = |number| (NodeId(number), Edge::with_servers(LLM, SERVERS, &[MODEL]));
        let mut edges = Edges { edges: (1..=count).map(edge).collect(), messages_sent: 0 };
        edges.announce_edges();
        edges
    }

    /// Gives all edges the list of edges.
    fn announce_edges(&mut self) {
        let nodes: Vec<NodeId> = self.edges.keys().copied().collect();
        for (node, edge) in &mut self.edges {
            edge.handle(Event::EdgesUpdated { own: *node, edges: nodes.clone() });
        }
    }

    fn pass(&mut self, span: Millis) {
        for _ in 0..span / INTERVAL {
            for edge in self.edges.values_mut() {
                edge.now += INTERVAL;
                edge.handle(Event::Tick);
            }
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let nodes: Vec<NodeId> = self.edges.keys().copied().collect();
        for node in nodes {
            let Some(edge) = self.edges.get_mut(&node) else { continue };
            for update in edge.router.take_load_update(edge.now) {
                self.deliver(node, update);
            }
        }
    }

    fn deliver(&mut self, from: NodeId, update: LoadUpdate) {
        for to in update.to.iter() {
            assert_ne!(*to, from);
            self.messages_sent += 1;
            if let Some(edge) = self.edges.get_mut(to) {
                edge.handle(Event::PeerLoads {
                    edge: from,
                    scope: update.scope,
                    loads: update.loads.clone(),
                });
            }
        }
    }

    /// Removes edges, and gives the others the new list.
    fn lose(&mut self, lost: &[NodeId]) {
        self.edges.retain(|node, _| !lost.contains(node));
        self.announce_edges();
    }

    fn edge(&mut self, number: u32) -> &mut Edge {
        self.edges.get_mut(&NodeId(number)).expect("the edge is there")
    }

    fn send(&mut self, number: u32, tokens: u32) -> Sent {
        let edge = self.edge(number);
        let route = Route { timeout_ms: LONG_TIMEOUT_MS, ..route(LLM) };
        let mut request = edge.new_request(&route, MODEL);
        request.tokens = Some((tokens, 10));
        sent(&edge.handle(Event::Request(request))).expect("sent")
    }

    /// The servers that the edges would send a short prompt to, with how many would.
    fn choices(&mut self) -> BTreeMap<String, usize> {
        let mut choices = BTreeMap::new();
        for edge in self.edges.values_mut() {
            let sent = edge.send_request(&route(LLM), MODEL);
            *choices.entry(sent.server.clone()).or_default() += 1;
            edge.serve(&sent);
        }
        choices
    }
}

fn home_and_next() -> (String, String) {
    let order = sequence(Key::of(MODEL), SERVERS);
    (order[0].clone(), order[1].clone())
}

#[test]
fn all_edges_avoid_server_with_long_prefill() {
    let (home, next) = home_and_next();
    for count in [2, 128, 129, 300] {
        let mut edges = Edges::new(count);
        let long = edges.send(2, LONG_PROMPT);
        assert_eq!(long.server, home);

        edges.pass(600);
        assert_eq!(edges.choices(), BTreeMap::from([(next.clone(), count as usize)]), "{count} edges");

        edges.edge(2).serve(&long);
        edges.pass(600);
        assert_eq!(edges.choices(), BTreeMap::from([(home.clone(), count as usize)]), "{count} edges");
    }
}

#[test]
fn relayed_loads_are_summed_once() {
    let (home, next) = home_and_next();
    let mut edges = Edges::new(300);
    edges.send(7, MODERATE_PROMPT);
    edges.pass(BEFORE_UNRESPONSIVE);
    assert_eq!(edges.choices(), BTreeMap::from([(home, 300)]));

    edges.send(250, MODERATE_PROMPT);
    edges.pass(BEFORE_UNRESPONSIVE);
    // Answers to others show that the server is alive.
    edges.choices();
    edges.pass(BEFORE_UNRESPONSIVE);
    assert_eq!(edges.choices(), BTreeMap::from([(next, 300)]));
}

#[test]
fn gossip_messages_grow_with_group_size() {
    let messages_per_edge = |count: u32| {
        let mut edges = Edges::new(count);
        for number in 1..=count {
            edges.send(number, MODERATE_PROMPT);
        }
        edges.pass(1_000);
        edges.messages_sent as f64 / f64::from(count)
    };
    let (of_300, of_1200) = (messages_per_edge(300), messages_per_edge(1_200));
    // As many sums among relays an edge as it has in its group, twice the number with four times the edges.
    assert!(of_300 < 30.0 && of_1200 < 2.0 * of_300, "{of_300} and {of_1200} an edge in a second");
}

#[test]
fn loads_recover_after_relay_loss() {
    let (_, next) = home_and_next();
    let mut edges = Edges::new(140);
    edges.send(1, LONG_PROMPT);
    edges.pass(600);
    for lost in [10, 40, 70, 100, 130] {
        let group: Vec<NodeId> = (lost..lost + 10).map(NodeId).collect();
        edges.lose(&group);
        edges.pass(LOADS_EXPIRED_AFTER);
        let left = edges.edges.len();
        assert_eq!(edges.choices(), BTreeMap::from([(next.clone(), left)]), "without {group:?}");
    }
}

#[test]
fn load_of_lost_edge_expires() {
    let (home, _) = home_and_next();
    let mut edges = Edges::new(200);
    edges.send(9, LONG_PROMPT);
    edges.pass(600);
    edges.lose(&[NodeId(9)]);
    edges.pass(LOADS_EXPIRED_AFTER);
    assert_eq!(edges.choices(), BTreeMap::from([(home, 199)]));
}
