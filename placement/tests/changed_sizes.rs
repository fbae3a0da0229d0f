//! Configuration changes that alter the sizes of models that servers hold or are loading.

mod common;

use common::scenario::{catalogue, demand, waiting, Scenario};
use shaletrail_placement::{Catalogue, OrderOutcome};

/// Returns the same models at half their size, so that more of them fit on a server.
fn halved(models: usize) -> Catalogue {
    let mut catalogue = catalogue(models);
    catalogue.models.iter_mut().for_each(|model| model.weights_mb /= 2.0);
    catalogue
}

fn is_load(order: &str) -> bool {
    order.contains(" load ")
}

#[test]
fn load_in_flight_keeps_the_size_that_it_was_ordered_with() {
    // given: a server that is loading its second model
    let mut scenario = Scenario::new(3, &[&["m0"]]);
    scenario.report_demand(&[waiting("m1"), demand("m0")]);
    assert_eq!(scenario.next_orders(), ["s0 load m1 at 0"]);
    scenario.complete_order(0, OrderOutcome::Accepted);
    // when: the configured sizes are halved before a heartbeat shows the load
    scenario.planner.set_catalogue(halved(3));
    scenario.now += 2_500;
    scenario.heartbeat(0, &["m0", "m1"]);
    scenario.report_demand(&[waiting("m2"), demand("m0"), demand("m1")]);
    // then: no third model is loaded in addition
    let orders = scenario.next_orders();
    assert!(!orders.iter().any(|order| is_load(order)), "{orders:?}");
}

#[test]
fn model_loaded_after_the_change_has_the_new_size() {
    // given
    let mut scenario = Scenario::new(3, &[&[]]);
    scenario.planner.set_catalogue(halved(3));
    // when
    for (number, model) in ["m0", "m1", "m2"].into_iter().enumerate() {
        scenario.report_demand(&[waiting(model)]);
        assert_eq!(scenario.orders_after(1_000), [format!("s0 load {model} at {number}")]);
        scenario.complete_order(0, OrderOutcome::Accepted);
        scenario.now += 2_500;
        let loaded: Vec<&str> = ["m0", "m1", "m2"][..=number].to_vec();
        scenario.heartbeat(0, &loaded);
    }
}
