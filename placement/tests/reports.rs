//! What a server's report tells of an order, and what it does not.

mod common;

use common::story::{waiting, Story};

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
