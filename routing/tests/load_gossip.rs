//! What edges tell each other of their requests at servers.

mod common;

use std::collections::BTreeMap;

use common::*;
use shaletrail_configuration::Route;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Event, LoadUpdate};

const MODEL: &str = "m1";
const SERVERS: u32 = 4;
/// Longer than any of these stories.
const LONGEST: Millis = 600_000;
/// Between two looks at what is to be told, as in the driver.
const INTERVAL: Millis = 100;
/// Less than the time after which a server counts as silent, and enough to hear of loads.
const BEFORE_SILENCE: Millis = 300;
/// What an edge told that is gone no longer counts after this.
const FORGOTTEN_AFTER: Millis = 3_000;
/// A prompt that keeps its server from being at ease.
const LONG: u32 = 4_000;
/// Half of a prompt that does.
const MODERATE: u32 = 1_000;

/// Edges that hear each other without delay.
struct Edges {
    edges: BTreeMap<NodeId, Edge>,
    told: u64,
}

impl Edges {
    fn new(count: u32) -> Self {
        let edge = |number| (NodeId(number), Edge::with_servers(LLM, SERVERS, &[MODEL]));
        let mut edges = Edges { edges: (1..=count).map(edge).collect(), told: 0 };
        edges.list();
        edges
    }

    /// Tells all edges which there are.
    fn list(&mut self) {
        let nodes: Vec<NodeId> = self.edges.keys().copied().collect();
        for (node, edge) in &mut self.edges {
            edge.handle(Event::EdgeList { own: *node, edges: nodes.clone() });
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
            for news in edge.router.take_load_update(edge.now) {
                self.deliver(node, news);
            }
        }
    }

    fn deliver(&mut self, from: NodeId, news: LoadUpdate) {
        for to in news.to.iter() {
            assert_ne!(*to, from);
            self.told += 1;
            if let Some(edge) = self.edges.get_mut(to) {
                edge.handle(Event::PeerLoads { edge: from, scope: news.scope, loads: news.loads.clone() });
            }
        }
    }

    /// Takes edges away, and tells the others.
    fn lose(&mut self, lost: &[NodeId]) {
        self.edges.retain(|node, _| !lost.contains(node));
        self.list();
    }

    fn edge(&mut self, number: u32) -> &mut Edge {
        self.edges.get_mut(&NodeId(number)).expect("the edge is there")
    }

    fn send(&mut self, number: u32, tokens: u32) -> Sent {
        let edge = self.edge(number);
        let route = Route { timeout_ms: LONGEST, ..route(LLM) };
        let mut request = edge.new_request(&route, MODEL);
        request.tokens = Some((tokens, 10));
        sent(&edge.handle(Event::Request(request))).expect("sent")
    }

    /// The servers that the edges would send a short prompt to, with how many would.
    fn choices(&mut self) -> BTreeMap<String, usize> {
        let mut choices = BTreeMap::new();
        for edge in self.edges.values_mut() {
            let sent = edge.ask_sent(&route(LLM), MODEL);
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
fn given_few_or_many_edges_when_one_sends_a_long_prompt_then_all_pass_its_server_over_until_it_is_answered() {
    let (home, next) = home_and_next();
    for count in [2, 128, 129, 300] {
        let mut edges = Edges::new(count);
        let long = edges.send(2, LONG);
        assert_eq!(long.server, home);

        edges.pass(600);
        assert_eq!(edges.choices(), BTreeMap::from([(next.clone(), count as usize)]), "{count} edges");

        edges.edge(2).serve(&long);
        edges.pass(600);
        assert_eq!(edges.choices(), BTreeMap::from([(home.clone(), count as usize)]), "{count} edges");
    }
}

#[test]
fn given_many_edges_when_two_prompts_together_are_long_then_all_edges_know_their_sum_and_each_counts_its_own_once(
) {
    let (home, next) = home_and_next();
    let mut edges = Edges::new(300);
    edges.send(7, MODERATE);
    edges.pass(BEFORE_SILENCE);
    assert_eq!(edges.choices(), BTreeMap::from([(home, 300)]));

    edges.send(250, MODERATE);
    edges.pass(BEFORE_SILENCE);
    // Answers to others show that the server is alive.
    edges.choices();
    edges.pass(BEFORE_SILENCE);
    assert_eq!(edges.choices(), BTreeMap::from([(next, 300)]));
}

#[test]
fn given_many_edges_when_all_have_requests_under_way_then_what_they_tell_grows_little_more_than_their_number()
{
    let told = |count: u32| {
        let mut edges = Edges::new(count);
        for number in 1..=count {
            edges.send(number, MODERATE);
        }
        edges.pass(1_000);
        edges.told as f64 / f64::from(count)
    };
    let (of_300, of_1200) = (told(300), told(1_200));
    // As many sums among relays an edge as it has in its group, twice the number with four times the edges.
    assert!(of_300 < 30.0 && of_1200 < 2.0 * of_300, "{of_300} and {of_1200} an edge in a second");
}

#[test]
fn given_many_edges_when_any_one_of_them_is_lost_then_the_others_know_all_loads_again() {
    let (_, next) = home_and_next();
    let mut edges = Edges::new(140);
    edges.send(1, LONG);
    edges.pass(600);
    for lost in [10, 40, 70, 100, 130] {
        let group: Vec<NodeId> = (lost..lost + 10).map(NodeId).collect();
        edges.lose(&group);
        edges.pass(FORGOTTEN_AFTER);
        let left = edges.edges.len();
        assert_eq!(edges.choices(), BTreeMap::from([(next.clone(), left)]), "without {group:?}");
    }
}

#[test]
fn given_many_edges_when_one_that_had_a_load_is_lost_then_it_is_forgotten() {
    let (home, _) = home_and_next();
    let mut edges = Edges::new(200);
    edges.send(9, LONG);
    edges.pass(600);
    edges.lose(&[NodeId(9)]);
    edges.pass(FORGOTTEN_AFTER);
    assert_eq!(edges.choices(), BTreeMap::from([(home, 199)]));
}
