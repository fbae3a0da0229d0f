//! Decisions on adapters, message by message.

mod common;

use common::story::{catalogue, demand, for_adapter, waiting, Story};
use shaletrail_placement::OrderOutcome;

#[test]
fn given_an_adapter_that_nobody_holds_when_it_is_asked_for_then_one_holder_of_its_model_loads_it() {
    let mut story = Story::new(3, &[&["m0"], &["m1"], &["m0"]]);
    story.ask(&[for_adapter("a3", waiting("m0"))]);
    let orders = story.orders();
    assert!(orders == ["s0 load m0/a3 at 0"] || orders == ["s2 load m0/a3 at 0"], "{orders:?}");
    let server = if orders[0].starts_with("s0") { 0 } else { 2 };
    story.outcome(server, OrderOutcome::Accepted);
    story.ask(&[for_adapter("a3", demand("m0"))]);
    assert_eq!(story.after(100), [""; 0]);
}

#[test]
fn given_an_adapter_that_is_asked_for_often_when_planned_then_more_holders_of_its_model_load_it() {
    let mut story = Story::new(3, &[&["m0/a1"], &["m0"], &["m0"]]);
    for _ in 0..20 {
        story.ask(&[for_adapter("a1", demand("m0"))]);
        story.now += 300;
    }
    assert_eq!(story.orders().len(), 1);
}

#[test]
fn given_all_places_for_adapters_taken_when_another_is_asked_for_then_the_one_idle_the_longest_gives_way() {
    let mut story = Story::new(3, &[&["m0/a1/a2", "m1/a3"]]);
    for adapter in ["a2", "a1"] {
        story.ask(&[for_adapter(adapter, demand("m0"))]);
        story.now += 2_000;
    }
    story.ask(&[for_adapter("a3", demand("m1"))]);
    story.now += 1_500;
    story.ask(&[for_adapter("a9", waiting("m0"))]);
    assert_eq!(story.orders(), ["s0 evict m0/a2 at 0"]);
    story.outcome(0, OrderOutcome::Accepted);
    story.heartbeat(0, &["m0/a1", "m1/a3"]);
    assert_eq!(story.after(100), ["s0 load m0/a9 at 1"]);
}

#[test]
fn given_a_server_whose_room_the_adapters_take_up_when_a_model_is_wanted_then_they_are_counted() {
    // 140 GB of models and 3 x 100 MB of adapters leave less than a third model takes.
    let mut roomy = catalogue(3);
    roomy.weights_mb = 210_200.0;
    let mut story = Story::new(3, &[&["m0/a1/a2/a3", "m1"]]);
    story.planner.set_catalogue(roomy.clone());
    story.ask(&[waiting("m2")]);
    assert!(story.orders()[0].starts_with("s0 evict"));
    let mut story = Story::new(3, &[&["m0/a1/a2", "m1"]]);
    story.planner.set_catalogue(roomy);
    story.ask(&[waiting("m2")]);
    assert_eq!(story.orders(), ["s0 load m2 at 0"]);
}
