//! Records of servers.

mod common;

use common::*;
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::Presence;
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Action, Event};
use shaletrail_routing::Options;

#[test]
fn given_a_server_that_leaves_when_its_record_comes_then_its_connections_are_forgotten_once() {
    for presence in [Presence::Draining, Presence::Removed] {
        let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
        let leaving = with_presence(server(LLM, 0, &["m1"]), presence);
        assert_eq!(edge.servers(vec![leaving.clone()]), vec![Action::CloseConnections(name(0))]);
        assert_eq!(edge.servers(vec![leaving.clone()]), vec![]);
        assert_eq!(edge.servers(vec![with_presence(leaving, Presence::Removed)]), vec![]);
    }
}

#[test]
fn given_a_heartbeat_that_says_draining_when_its_record_says_ready_then_nothing_new_is_sent_there() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    let mut leaving = server(LLM, 0, &["m1"]);
    leaving.heartbeat.state = ServerState::Draining;
    leaving.heartbeat.remaining_ms = Some(3000.0);
    edge.servers(vec![leaving]);
    for _ in 0..20 {
        assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(1));
    }
}

#[test]
fn given_a_server_that_has_left_when_a_late_record_says_ready_then_it_stays_away() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    edge.servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::Draining)]);
    let mut late = server(LLM, 0, &["m1"]);
    late.heartbeat.sequence = 99;
    edge.servers(vec![late]);
    for _ in 0..20 {
        assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(1));
    }
}

#[test]
fn given_a_server_known_only_as_gone_when_a_late_record_says_ready_then_it_stays_away() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    edge.servers(vec![with_presence(server(LLM, 5, &["m1"]), Presence::Removed)]);
    edge.servers(vec![server(LLM, 5, &["m1"])]);
    for _ in 0..20 {
        assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(0));
    }
}

#[test]
fn given_records_out_of_order_when_the_older_comes_last_then_the_newer_stays() {
    let mut edge = Edge::with_servers(LLM, 1, &["m9"]);
    let mut newer = server(LLM, 0, &["m1"]);
    newer.heartbeat.sequence = 5;
    edge.servers(vec![newer]);
    edge.servers(vec![server(LLM, 0, &["m9"])]);
    edge.ask_sent(&route(LLM), "m1");
}

#[test]
fn given_a_silent_server_when_another_holds_the_model_then_that_is_asked_else_the_silent_one() {
    let mut edge = Edge::with_servers(LLM, 2, &["m1"]);
    edge.servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::TimedOut)]);
    for _ in 0..20 {
        assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(1));
    }
    edge.servers(vec![with_presence(server(LLM, 1, &["m1"]), Presence::Removed)]);
    assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(0));
    // It is heard again.
    let mut back = server(LLM, 0, &["m1"]);
    back.heartbeat.sequence = 3;
    edge.servers(vec![back]);
    assert_eq!(edge.ask_sent(&route(LLM), "m1").server, sequence(Key::of("m1"), 1)[0]);
}

#[test]
fn given_a_whole_directory_when_a_server_is_not_in_it_then_it_is_used_for_want_of_others_and_dropped_in_time()
{
    let mut edge = Edge::new(Options { unlisted_ttl_ms: 10_000, ..options() });
    edge.servers((0..2).map(|n| server(LLM, n, &["m1"])).collect());
    edge.handle(Event::Servers { records: vec![server(LLM, 1, &["m9"])], complete: true });
    assert_eq!(edge.ask_sent(&route(LLM), "m1").server, name(0));
    let late = edge.ask_sent(&route(LLM), "m1");
    edge.serve(&late);
    edge.pass(edge.now + 10_000);
    let (_, actions) = edge.ask(&route(LLM), "m1");
    assert_eq!(sent(&actions), None);
}

#[test]
fn given_a_server_that_left_when_its_requests_end_then_they_end_as_usual() {
    let mut edge = Edge::with_servers(LLM, 1, &["m1"]);
    let open = edge.ask_sent(&route(LLM), "m1");
    edge.servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::Draining)]);
    assert_eq!(edge.serve(&open), vec![]);
    assert_eq!(edge.router.counters().answered, 1);
}

#[test]
fn given_more_servers_than_are_kept_when_they_become_known_then_the_table_stays_within_its_bound() {
    let mut edge = Edge::new(Options { max_servers: 3, ..options() });
    edge.servers((0..9).map(|n| server(LLM, n, &["m1"])).collect());
    let used: std::collections::BTreeSet<_> =
        (0..60).map(|_| edge.ask_sent(&route(LLM), "m1").server).collect();
    assert_eq!(used.len(), 3);
}

#[test]
fn given_neither_configuration_nor_servers_when_readiness_is_asked_for_then_it_is_not_usable() {
    let mut router = shaletrail_routing::Router::new(options(), 1);
    assert!(!router.is_usable(0));
    router.handle(0, Event::View(view(3)), &mut Vec::new());
    assert!(!router.is_usable(0));
    let records = vec![server(LLM, 0, &["m1"])];
    router.handle(0, Event::Servers { records, complete: true }, &mut Vec::new());
    assert!(router.is_usable(0));
}
