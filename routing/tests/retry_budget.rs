//! The edge's share of the retry slack: after a restart, and without contact to a coordinator.

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
    let mut edge = TestEdge::new(options);
    edge.handle(Event::EdgeCountUpdated(1));
    edge.update_servers((0..6).map(|number| server(LLM, number, &["m1"])).collect());
    let before_slack = edge.send_request(&route(LLM), "m1");
    assert_rejected(&edge.end_attempt(&before_slack, rejected(503)), 503, RejectReason::Rejected);
    edge.advance_to(11_000);
    let after_slack = edge.send_request(&route(LLM), "m1");
    assert!(
        first_sent(&edge.end_attempt(&after_slack, rejected(503))).is_some(),
        "the slack is available again"
    );
}

#[test]
fn share_of_slack_ends_one_window_after_the_last_answered_poll() {
    let options = Options { retry_ratio: 0.0, retry_slack: 100.0, ..Options::default() };
    let window = options.retry_window_ms;
    let mut edge = TestEdge::new(options);
    edge.handle(Event::EdgeCountUpdated(1));
    edge.handle(Event::BudgetShareRenewed { polled_at: edge.now });
    edge.update_servers((0..6).map(|number| server(LLM, number, &["m1"])).collect());
    let within = edge.send_request(&route(LLM), "m1");
    assert!(first_sent(&edge.end_attempt(&within, rejected(503))).is_some());
    // No coordinator answers for one window.
    edge.advance_to(edge.now + window);
    let after = edge.send_request(&route(LLM), "m1");
    assert_rejected(&edge.end_attempt(&after, rejected(503)), 503, RejectReason::Rejected);
    edge.handle(Event::BudgetShareRenewed { polled_at: edge.now });
    let renewed = edge.send_request(&route(LLM), "m1");
    assert!(
        first_sent(&edge.end_attempt(&renewed, rejected(503))).is_some(),
        "the renewed share is available"
    );
}

#[test]
fn answer_to_an_older_poll_does_not_shorten_the_share() {
    let options = Options { retry_ratio: 0.0, retry_slack: 100.0, ..Options::default() };
    let window = options.retry_window_ms;
    let mut edge = TestEdge::new(options);
    edge.handle(Event::EdgeCountUpdated(1));
    edge.update_servers((0..6).map(|number| server(LLM, number, &["m1"])).collect());
    let polled_at = edge.now + 1_000;
    edge.handle(Event::BudgetShareRenewed { polled_at });
    edge.handle(Event::BudgetShareRenewed { polled_at: edge.now });
    edge.advance_to(polled_at + window - 1);
    let request = edge.send_request(&route(LLM), "m1");
    assert!(first_sent(&edge.end_attempt(&request, rejected(503))).is_some());
}
