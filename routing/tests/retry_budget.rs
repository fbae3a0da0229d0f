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

#[test]
fn share_of_slack_ends_one_window_after_the_last_answered_poll() {
    // given
    let options = Options { retry_ratio: 0.0, retry_slack: 100.0, ..Options::default() };
    let window = options.retry_window_ms;
    let mut edge = Edge::new(options);
    edge.handle(Event::EdgeCountUpdated(1));
    edge.handle(Event::BudgetShareRenewed { polled_at: edge.now });
    edge.servers((0..6).map(|number| server(LLM, number, &["m1"])).collect());
    let within = edge.send_request(&route(LLM), "m1");
    assert!(sent(&edge.end(&within, rejected(503))).is_some());
    // when: no coordinator answers for a window
    edge.pass(edge.now + window);
    let after = edge.send_request(&route(LLM), "m1");
    // then
    assert_rejected(&edge.end(&after, rejected(503)), 503, RejectReason::Rejected);
    edge.handle(Event::BudgetShareRenewed { polled_at: edge.now });
    let renewed = edge.send_request(&route(LLM), "m1");
    assert!(sent(&edge.end(&renewed, rejected(503))).is_some(), "the share is there again");
}

#[test]
fn answer_to_an_older_poll_does_not_shorten_the_share() {
    // given
    let options = Options { retry_ratio: 0.0, retry_slack: 100.0, ..Options::default() };
    let window = options.retry_window_ms;
    let mut edge = Edge::new(options);
    edge.handle(Event::EdgeCountUpdated(1));
    edge.servers((0..6).map(|number| server(LLM, number, &["m1"])).collect());
    let polled_at = edge.now + 1_000;
    edge.handle(Event::BudgetShareRenewed { polled_at });
    // when
    edge.handle(Event::BudgetShareRenewed { polled_at: edge.now });
    edge.pass(polled_at + window - 1);
    // then
    let request = edge.send_request(&route(LLM), "m1");
    assert!(sent(&edge.end(&request, rejected(503))).is_some());
}
