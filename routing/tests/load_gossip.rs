//! The exchange of server loads among edges.

mod common;

use std::collections::BTreeMap;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Event, LoadUpdate};

const MODEL: &str = "m1";
const SERVERS: u32 = 4;
/// A route time-out that is longer than any of these tests.
const LONG_TIMEOUT_MS: Millis = 600_000;
/// Interval at which load updates are sent, as in the driver.
const UPDATE_INTERVAL_MS: Millis = 100;
/// Long enough for updates to reach all edges, but shorter than the time after which a server counts as
/// unresponsive.
const BEFORE_UNRESPONSIVE_MS: Millis = 300;
/// Time after which the loads of a removed edge have expired at all others.
const LOADS_EXPIRED_AFTER_MS: Millis = 3_000;
/// Length of a prompt that is enough for its server to be no longer lightly loaded.
const LONG_PROMPT_TOKENS: u32 = 4_000;
/// Length of a prompt of which two, but not one, have this effect.
const MODERATE_PROMPT_TOKENS: u32 = 1_000;

/// Edges that exchange load updates without delay.
struct Edges {
    edges: BTreeMap<NodeId, TestEdge>,
    messages_sent: u64,
}

impl Edges {
    fn new(count: u32) -> Self {
        let edge = |number| (NodeId(number), TestEdge::with_servers(LLM, SERVERS, &[MODEL]));
        let mut edges = Edges { edges: (1..=count).map(edge).collect(), messages_sent: 0 };
        edges.announce_edges();
        edges
    }

    /// Sends the list of edges to all edges.
    fn announce_edges(&mut self) {
        let nodes: Vec<NodeId> = self.edges.keys().copied().collect();
        for (node, edge) in &mut self.edges {
            edge.handle(Event::EdgesUpdated { own: *node, edges: nodes.clone() });
        }
    }

    fn advance_by(&mut self, duration: Millis) {
        for _ in 0..duration / UPDATE_INTERVAL_MS {
            for edge in self.edges.values_mut() {
                edge.now += UPDATE_INTERVAL_MS;
                edge.handle(Event::Tick);
            }
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let nodes: Vec<NodeId> = self.edges.keys().copied().collect();
        for node in nodes {
            let Some(edge) = self.edges.get_mut(&node) else { continue };
            for update in edge.router.take_load_updates(edge.now) {
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

    /// Removes edges and sends the new list to the others.
    fn remove(&mut self, removed: &[NodeId]) {
        self.edges.retain(|node, _| !removed.contains(node));
        self.announce_edges();
    }

    fn edge(&mut self, number: u32) -> &mut TestEdge {
        self.edges.get_mut(&NodeId(number)).expect("a known edge")
    }

    fn send(&mut self, number: u32, tokens: u32) -> SentAttempt {
        let edge = self.edge(number);
        let route = Route { timeout_ms: LONG_TIMEOUT_MS, ..route(LLM) };
        let mut request = edge.new_request(&route, MODEL);
        request.tokens = Some((tokens, 10));
        first_sent(&edge.handle(Event::Request(request))).expect("sent")
    }

    /// Sends a short prompt from each edge, and returns the number of edges that selected each server.
    fn selected_servers(&mut self) -> BTreeMap<String, usize> {
        let mut selected = BTreeMap::new();
        for edge in self.edges.values_mut() {
            let sent = edge.send_request(&route(LLM), MODEL);
            *selected.entry(sent.server.clone()).or_default() += 1;
            edge.serve(&sent);
        }
        selected
    }
}

fn home_and_next() -> (String, String) {
    let order = server_sequence(Key::of(MODEL), SERVERS);
    (order[0].clone(), order[1].clone())
}

#[test]
fn all_edges_avoid_server_with_long_prefill() {
    let (home, next) = home_and_next();
    for count in [2, 128, 129, 300] {
        let mut edges = Edges::new(count);
        let long = edges.send(2, LONG_PROMPT_TOKENS);
        assert_eq!(long.server, home);

        edges.advance_by(600);
        assert_eq!(
            edges.selected_servers(),
            BTreeMap::from([(next.clone(), count as usize)]),
            "{count} edges"
        );

        edges.edge(2).serve(&long);
        edges.advance_by(600);
        assert_eq!(
            edges.selected_servers(),
            BTreeMap::from([(home.clone(), count as usize)]),
            "{count} edges"
        );
    }
}

#[test]
fn relayed_loads_are_summed_once() {
    let (home, next) = home_and_next();
    let mut edges = Edges::new(300);
    edges.send(7, MODERATE_PROMPT_TOKENS);
    edges.advance_by(BEFORE_UNRESPONSIVE_MS);
    assert_eq!(edges.selected_servers(), BTreeMap::from([(home, 300)]));

    edges.send(250, MODERATE_PROMPT_TOKENS);
    edges.advance_by(BEFORE_UNRESPONSIVE_MS);
    // Responses to other requests keep the server from counting as unresponsive.
    edges.selected_servers();
    edges.advance_by(BEFORE_UNRESPONSIVE_MS);
    assert_eq!(edges.selected_servers(), BTreeMap::from([(next, 300)]));
}

#[test]
fn messages_per_edge_grow_with_group_size() {
    let messages_per_edge = |count: u32| {
        let mut edges = Edges::new(count);
        for number in 1..=count {
            edges.send(number, MODERATE_PROMPT_TOKENS);
        }
        edges.advance_by(1_000);
        edges.messages_sent as f64 / f64::from(count)
    };
    let (of_300, of_1200) = (messages_per_edge(300), messages_per_edge(1_200));
    // With four times as many edges, groups are twice as large. The number of messages per edge grows in
    // proportion to the group size.
    assert!(of_300 < 30.0 && of_1200 < 2.0 * of_300, "{of_300} and {of_1200} messages per edge and second");
}

#[test]
fn loads_recover_after_relay_loss() {
    let (_, next) = home_and_next();
    let mut edges = Edges::new(140);
    edges.send(1, LONG_PROMPT_TOKENS);
    edges.advance_by(600);
    for first in [10, 40, 70, 100, 130] {
        let group: Vec<NodeId> = (first..first + 10).map(NodeId).collect();
        edges.remove(&group);
        edges.advance_by(LOADS_EXPIRED_AFTER_MS);
        let remaining = edges.edges.len();
        assert_eq!(
            edges.selected_servers(),
            BTreeMap::from([(next.clone(), remaining)]),
            "without {group:?}"
        );
    }
}

#[test]
fn load_of_lost_edge_expires() {
    let (home, _) = home_and_next();
    let mut edges = Edges::new(200);
    edges.send(9, LONG_PROMPT_TOKENS);
    edges.advance_by(600);
    edges.remove(&[NodeId(9)]);
    edges.advance_by(LOADS_EXPIRED_AFTER_MS);
    assert_eq!(edges.selected_servers(), BTreeMap::from([(home, 199)]));
}
