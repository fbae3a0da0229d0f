//! No server is ordered to load what it has no room for, whatever is late, lost or still under way.

mod common;

use common::story::{waiting, Story};
use shaletrail_placement::OrderOutcome;
use shaletrail_protocol::Millis;

/// Long after the time that a former holder's loads should take.
const LONG_AFTER: Millis = 30_000;

#[test]
fn given_a_load_of_the_former_holder_under_way_when_heartbeats_come_long_after_then_only_a_report_frees_room()
{
    // given: the former holder's load of another model has not ended, and no heartbeat tells of it
    let mut story = Story::new(4, &[&["m0"]]);
    story.planner.start_ordering(story.now, Some(story.now));
    for _ in 0..2 {
        story.now += LONG_AFTER / 2;
        story.heartbeat(0, &["m0"]);
    }

    // when
    story.ask(&[waiting("m2")]);
    assert_eq!(story.orders(), [""; 0]);
    assert_eq!(story.planner.next_reports(story.now), ["s0"]);
    story.report(0, 4, true, &["m0"]);
    assert_eq!(story.after(100), [""; 0]);
    story.report(0, 4, false, &["m0", "m1"]);

    // then
    assert_eq!(story.after(100), ["s0 evict m0 at 4"]);
}

#[test]
fn given_a_model_that_was_evicted_and_loaded_again_when_late_heartbeats_come_then_its_room_stays_taken() {
    // given: a server has dropped one of its models, as a report tells, and is ordered to load it again
    let mut story = Story::new(4, &[&["m0", "m1"]]);
    story.report(0, 1, false, &["m1"]);
    story.ask(&[waiting("m0")]);
    assert_eq!(story.orders(), ["s0 load m0 at 1"]);
    story.outcome(0, OrderOutcome::Accepted);

    // when: one heartbeat is from before the eviction, the next from before the load has ended
    story.now += 100;
    story.heartbeat(0, &["m0", "m1"]);
    story.heartbeat(0, &["m1"]);
    story.ask(&[waiting("m3")]);

    // then
    let orders = story.after(100);
    assert!(!orders.iter().any(|order| order.starts_with("s0 load")), "{orders:?}");
}

#[test]
fn given_an_order_that_is_refused_when_heartbeats_come_long_after_then_the_next_one_names_a_reported_count() {
    // given: the server has taken an order that nobody here knows of
    let mut story = Story::new(4, &[&["m0"]]);
    story.ask(&[waiting("m2")]);
    assert_eq!(story.orders(), ["s0 load m2 at 0"]);
    story.outcome(0, OrderOutcome::Busy);

    // when
    for _ in 0..2 {
        story.now += LONG_AFTER;
        story.heartbeat(0, &["m0"]);
    }
    story.ask(&[waiting("m2")]);

    // then
    assert_eq!(story.after(100), [""; 0]);
    story.report(0, 1, false, &["m0", "m1"]);
    assert_eq!(story.after(100), ["s0 evict m0 at 1"]);
}
