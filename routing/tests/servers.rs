//! Updates of server records.

mod common;

use common::*;
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::Presence;
use shaletrail_ring::Key;
use shaletrail_routing::interface::{Action, Event};
use shaletrail_routing::Options;

#[test]
fn draining_server_connections_are_closed_once() {
    for presence in [Presence::Draining, Presence::Removed] {
        let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
        let leaving = with_presence(server(LLM, 0, &["m1"]), presence);
        assert_eq!(edge.update_servers(vec![leaving.clone()]), vec![Action::CloseConnections(server_id(0))]);
        assert_eq!(edge.update_servers(vec![leaving.clone()]), vec![]);
        assert_eq!(edge.update_servers(vec![with_presence(leaving, Presence::Removed)]), vec![]);
    }
}

#[test]
fn heartbeat_draining_overrides_ready_presence() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    let mut leaving = server(LLM, 0, &["m1"]);
    leaving.heartbeat.state = ServerState::Draining;
    leaving.heartbeat.remaining_ms = Some(3000.0);
    edge.update_servers(vec![leaving]);
    for _ in 0..20 {
        assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(1));
    }
}

#[test]
fn late_record_does_not_revive_drained_server() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    edge.update_servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::Draining)]);
    let mut late = server(LLM, 0, &["m1"]);
    late.heartbeat.sequence = 99;
    edge.update_servers(vec![late]);
    for _ in 0..20 {
        assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(1));
    }
}

#[test]
fn late_record_does_not_revive_removed_server() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    edge.update_servers(vec![with_presence(server(LLM, 5, &["m1"]), Presence::Removed)]);
    edge.update_servers(vec![server(LLM, 5, &["m1"])]);
    for _ in 0..20 {
        assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(0));
    }
}

#[test]
fn older_record_does_not_replace_newer() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m9"]);
    let mut newer = server(LLM, 0, &["m1"]);
    newer.heartbeat.sequence = 5;
    edge.update_servers(vec![newer]);
    edge.update_servers(vec![server(LLM, 0, &["m9"])]);
    edge.send_request(&route(LLM), "m1");
}

#[test]
fn timed_out_server_is_last_resort() {
    let mut edge = TestEdge::with_servers(LLM, 2, &["m1"]);
    edge.update_servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::TimedOut)]);
    for _ in 0..20 {
        assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(1));
    }
    edge.update_servers(vec![with_presence(server(LLM, 1, &["m1"]), Presence::Removed)]);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(0));
    // The server sends heartbeats again.
    let mut back = server(LLM, 0, &["m1"]);
    back.heartbeat.sequence = 3;
    edge.update_servers(vec![back]);
    assert_eq!(edge.send_request(&route(LLM), "m1").server, server_sequence(Key::of("m1"), 1)[0]);
}

#[test]
fn unlisted_server_is_last_resort_then_dropped() {
    let mut edge = TestEdge::new(Options { unlisted_ttl_ms: 10_000, ..options() });
    edge.update_servers((0..2).map(|n| server(LLM, n, &["m1"])).collect());
    edge.handle(Event::ServersUpdated { records: vec![server(LLM, 1, &["m9"])], complete: true });
    assert_eq!(edge.send_request(&route(LLM), "m1").server, server_id(0));
    let late = edge.send_request(&route(LLM), "m1");
    edge.serve(&late);
    edge.advance_to(edge.now + 10_000);
    let (_, actions) = edge.request(&route(LLM), "m1");
    assert_eq!(first_sent(&actions), None);
}

#[test]
fn request_at_draining_server_completes() {
    let mut edge = TestEdge::with_servers(LLM, 1, &["m1"]);
    let open = edge.send_request(&route(LLM), "m1");
    edge.update_servers(vec![with_presence(server(LLM, 0, &["m1"]), Presence::Draining)]);
    assert_eq!(edge.serve(&open), vec![]);
    assert_eq!(edge.router.counters().completed, 1);
}

#[test]
fn server_table_is_bounded() {
    let mut edge = TestEdge::new(Options { max_servers: 3, ..options() });
    edge.update_servers((0..9).map(|n| server(LLM, n, &["m1"])).collect());
    let used: std::collections::BTreeSet<_> =
        (0..60).map(|_| edge.send_request(&route(LLM), "m1").server).collect();
    assert_eq!(used.len(), 3);
}

#[test]
fn router_is_unusable_without_configuration_or_servers() {
    let mut router = shaletrail_routing::Router::new(options(), 1);
    assert!(!router.is_usable(0));
    router.handle(0, Event::ConfigurationUpdated(view(3)), &mut Vec::new());
    assert!(!router.is_usable(0));
    let records = vec![server(LLM, 0, &["m1"])];
    router.handle(0, Event::ServersUpdated { records, complete: true }, &mut Vec::new());
    assert!(router.is_usable(0));
}
