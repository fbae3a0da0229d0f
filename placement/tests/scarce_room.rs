//! Where there is not room for all replicas that demand asks for.

mod common;

use common::story::{catalogue, demand, waiting, Story};
use shaletrail_placement::{Catalogue, ModelSpec};
use shaletrail_protocol::internal::Demand;

/// Tokens by which one report makes a model want eight replicas at ease.
const TOKENS_OF_EIGHT: u64 = 235_000;

fn busy(model: &str, tokens: u64) -> Demand {
    Demand { arrived: 10, tokens, ..demand(model) }
}

#[test]
fn given_room_for_all_replicas_when_one_model_is_busy_then_it_wants_as_many_as_are_at_ease() {
    let mut story = Story::new(2, &[&["m0"], &["m1"], &[], &[], &[], &[], &[], &[]]);
    story.ask(&[busy("m0", TOKENS_OF_EIGHT)]);
    story.orders();
    assert_eq!(story.planner.desired_replicas("m0"), 8);
}

#[test]
fn given_a_model_with_all_the_room_when_another_becomes_as_busy_then_it_wants_no_more_than_the_other_at_once()
{
    let mut story = Story::new(2, &[&["m0"], &["m0"], &["m0"], &["m0", "m1"]]);
    story.ask(&[busy("m0", TOKENS_OF_EIGHT)]);
    story.orders();
    let alone = story.planner.desired_replicas("m0");
    story.now += 100;
    story.ask(&[busy("m0", 0), busy("m1", TOKENS_OF_EIGHT)]);
    story.orders();
    let (first, second) = (story.planner.desired_replicas("m0"), story.planner.desired_replicas("m1"));
    assert!(alone > first && second >= first, "alone {alone}, then {first} and {second}");
    // Four servers have room for eight models.
    assert!(first + second <= 8, "{first} and {second}");
}

#[test]
fn given_a_replica_beyond_a_models_share_when_another_is_overloaded_then_it_gives_way_without_delay() {
    let mut story = Story::new(4, &[&["m0", "m2"], &["m0", "m3"], &["m0", "m1"]]);
    let open = |model| Demand { open: 1, ..demand(model) };
    story.ask(&[busy("m0", 60_000), open("m2"), open("m3"), open("m1")]);
    assert_eq!(story.orders(), [""; 0]);
    story.now += 200;
    story.ask(&[open("m2"), open("m3"), busy("m1", 4 * TOKENS_OF_EIGHT)]);
    let orders = story.orders();
    assert!(orders.iter().any(|order| order.contains("evict m0")), "{orders:?}");
}

#[test]
fn given_a_model_asked_for_a_moment_ago_when_another_is_hard_pressed_then_it_gives_way_and_not_before() {
    for (tokens, gives_way) in [(45_000, false), (TOKENS_OF_EIGHT, true)] {
        let mut story = Story::new(4, &[&["m0", "m1"], &["m2", "m3"]]);
        let open = Demand { open: 1, ..demand("m1") };
        story.ask(&[demand("m2"), demand("m3"), open.clone()]);
        story.orders();
        story.now += 2_000;
        story.ask(&[busy("m0", tokens), open]);
        assert!(story.planner.desired_replicas("m0") <= 1);
        let orders = story.orders();
        assert_eq!(orders.iter().any(|order| order.starts_with("s1 evict")), gives_way, "{orders:?}");
    }
}

#[test]
fn given_a_store_that_serves_more_loads_than_there_are_servers_when_one_model_wants_all_then_some_stay_free()
{
    let empty: Vec<&[&str]> = vec![&[]; 200];
    let mut story = Story::new(3, &empty);
    story.heartbeat(0, &["m0"]);
    story.planner.set_catalogue(Catalogue { load_per_s: 1_000.0, ..catalogue(3) });
    story.now += 1_000;
    let mut loads = 0;
    for _ in 0..30 {
        story.ask(&[busy("m0", 20 * TOKENS_OF_EIGHT)]);
        loads += story.after(10).iter().filter(|order| order.contains("load m0")).count();
    }
    assert_eq!(loads, 64);

    story.ask(&[waiting("m1")]);
    let orders = story.after(10);
    assert!(orders.iter().any(|order| order.contains("load m1")), "{orders:?}");
}

#[test]
fn given_models_of_several_sizes_when_counted_then_a_servers_places_are_those_of_servers_filled_well() {
    let places = |sizes: &[f64], weights_mb: f64| {
        let spec = |weights_mb: &f64| ModelSpec { weights_mb: *weights_mb, ..ModelSpec::default() };
        let models = sizes.iter().map(spec).collect();
        Catalogue { models, weights_mb, ..Catalogue::default() }.model_slots_per_server()
    };
    assert_eq!(places(&[72.7, 72.7, 72.7, 72.7], 140.0), 1.0);
    assert_eq!(places(&[72.7, 65.1, 72.7, 65.1], 140.0), 2.0);
    assert_eq!(places(&[72.7, 72.7, 72.7, 65.1], 140.0), 4.0 / 3.0);
    assert_eq!(places(&[70.0, 70.0, 70.0], 220.0), 3.0);
    assert_eq!(places(&[200.0], 140.0), 0.0);
    assert_eq!(places(&[], 140.0), 0.0);
    assert_eq!(places(&[0.0, f64::NAN, 70.0], 140.0), 1.0);
    assert_eq!(catalogue(0).model_slots_per_server(), 0.0);
}
