//! The retry budget across restarts of an edge's process.

mod common;

use common::*;
use shaletrail_routing::interface::{Event, RejectReason};
use shaletrail_routing::Options;

#[test]
fn retry_slack_is_withheld_after_restart() {
    let options = Options {
        slack_available_from_ms: 11_000,
        retry_ratio: 0.0,
        retry_slack: 100.0,
        ..Options::default()
    };
    let mut edge = Edge::new(options);
    edge.handle(Event::EdgeCountUpdated(1));
    edge.servers((0..6).map(|number| server(LLM, number, &["m1"])).collect());
    let early = edge.send_request(&route(LLM), "m1");
    assert_rejected(&edge.end(&early, rejected(503)), 503, RejectReason::Rejected);
    edge.pass(11_000);
    let late = edge.send_request(&route(LLM), "m1");
    assert!(sent(&edge.end(&late, rejected(503))).is_some(), "the slack is there again");
}
