//! What a server's report tells of an order, and what it does not.

mod common;

use common::story::{id, sequence, waiting, Story, LATE};

#[test]
fn given_an_order_that_is_not_answered_yet_when_a_report_comes_then_it_does_not_end_the_order() {
    // given
    let mut story = Story::new(4, &[&["m0"]]);
    story.ask(&[waiting("m1")]);
    assert_eq!(story.orders(), ["s0 load m1 at 0"]);

    // when: what it says may be from before the order
    story.report(0, 0, false, &["m0"]);

    // then
    story.ask(&[waiting("m1"), waiting("m2")]);
    assert_eq!(story.after(500), [""; 0]);
}

#[test]
fn given_a_new_holder_when_the_server_of_its_choice_does_not_report_then_another_one_takes_the_load() {
    // given
    let mut story = Story::new(2, &[&[], &[]]);
    story.planner.start_ordering(story.now, Some(story.now));
    story.now += LATE;
    (0..2).for_each(|server| story.heartbeat(server, &[]));
    story.ask(&[waiting("m0")]);
    assert_eq!(story.orders(), [""; 0]);
    let order = sequence("m0", 2);
    assert_eq!(story.planner.next_reports(story.now), [order[0].clone()], "one is chosen, and one is asked");

    // when
    story.planner.report_failed(story.now, &order[0]);

    // then
    assert_eq!(story.after(100), [""; 0]);
    assert_eq!(story.planner.next_reports(story.now), [order[1].clone()]);
    let other = if order[1] == id(0) { 0 } else { 1 };
    story.report(other, 6, false, &[]);
    assert_eq!(story.after(50), [format!("{} load m0 at 6", order[1])]);
}
