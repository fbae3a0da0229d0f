//! The budget of loads from the weight store, and the rates that demand is smoothed by.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_placement::origin::{OriginBudget, ACCEPTANCE_TIMEOUT};
use shaletrail_placement::rate::Rate;
use shaletrail_placement::{Catalogue, ModelSpec};

const WINDOW: u64 = 5_000;

fn fresh(load_per_s: f64) -> OriginBudget {
    // Taken over long ago: nothing of a former holder is left.
    OriginBudget::exhausted(0, WINDOW, load_per_s)
}

#[test]
fn given_a_new_holder_when_time_passes_then_its_allowance_fills_at_the_rate_of_the_store() {
    let mut budget = OriginBudget::exhausted(10_000, WINDOW, 2.0);
    let allowed: Vec<_> = (0..=6).map(|second| budget.available(10_000 + second * 1_000)).collect();
    assert_eq!(allowed, [0, 2, 4, 6, 8, 10, 10]);
}

#[test]
fn given_orders_without_an_answer_when_time_passes_then_they_count_from_the_latest_moment_they_may_begin() {
    let mut budget = fresh(1.0);
    for _ in 0..5 {
        budget.order_sent(20_000);
    }
    assert_eq!(budget.available(20_000 + WINDOW + ACCEPTANCE_TIMEOUT - 1), 0);
    assert_eq!(budget.available(20_000 + WINDOW + ACCEPTANCE_TIMEOUT), 5);
}

#[test]
fn given_an_order_that_was_accepted_when_time_passes_then_it_counts_from_its_answer() {
    let mut budget = fresh(0.2);
    let token = budget.order_sent(20_000);
    budget.order_accepted(20_040, token);
    assert_eq!((budget.available(25_039), budget.available(25_040)), (0, 1));
}

#[test]
fn given_an_order_that_was_surely_not_taken_when_asked_then_its_allowance_is_free_again() {
    let mut budget = fresh(0.2);
    let token = budget.order_sent(20_000);
    assert_eq!(budget.available(20_000), 0);
    budget.cancel(token);
    assert_eq!(budget.available(20_000), 1);
}

#[test]
fn given_a_rate_that_is_not_a_number_when_asked_then_one_load_a_window_is_allowed() {
    for rate in [0.0, -3.0, f64::NAN, f64::INFINITY] {
        assert_eq!(fresh(rate).limit(), 1);
    }
}

#[test]
fn given_random_orders_when_loads_begin_anywhere_in_their_span_then_no_window_sees_more_than_the_limit() {
    for seed in 0..50 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut budget = OriginBudget::exhausted(0, WINDOW, 2.8);
        let mut begun: Vec<u64> = Vec::new();
        let mut open = Vec::new();
        for now in (0..60_000).step_by(50) {
            while budget.available(now) > 0 && random.random_bool(0.7) {
                let token = budget.order_sent(now);
                let begins = now + random.random_range(0..=ACCEPTANCE_TIMEOUT);
                begun.push(begins);
                if random.random_bool(0.7) {
                    open.push((begins, token));
                }
            }
            open.retain(|(begins, token)| {
                let answered = *begins <= now;
                if answered {
                    budget.order_accepted(now, *token);
                }
                !answered
            });
        }
        begun.sort();
        let fullest = begun
            .iter()
            .map(|end| begun.iter().filter(|at| (end - WINDOW.min(*end)..=*end).contains(at)).count());
        assert!(fullest.max() <= Some(budget.limit()), "seed {seed}");
    }
}

#[test]
fn given_a_steady_stream_when_smoothed_then_the_rate_is_near_and_falls_more_slowly_than_it_rose() {
    let mut rate = Rate::default();
    for now in (0..40_000).step_by(100) {
        rate.add(now, 1.0);
    }
    let steady = rate.per_second(40_000);
    assert!((9.0..11.0).contains(&steady), "{steady}");
    let mut young = Rate::default();
    for now in (0..2_000).step_by(100) {
        young.add(now, 1.0);
    }
    let (risen, fallen) = (young.per_second(2_000), rate.per_second(42_000));
    assert!(risen > 0.7 * steady, "{risen}");
    assert!(fallen > 0.8 * steady, "{fallen}");
}

#[test]
fn given_the_rate_and_time_of_loads_when_asked_then_as_many_run_at_once_as_the_rate_keeps_under_way() {
    let with = |load_time_s: f64, load_per_s: f64| {
        let models = vec![ModelSpec { load_time_s, ..ModelSpec::default() }];
        Catalogue { models, load_per_s, ..Catalogue::default() }.max_concurrent_loads()
    };
    assert_eq!([with(2.1, 2.8), with(0.6, 2.8), with(0.1, 0.1), with(f64::NAN, 1.0)], [6, 2, 2, 2]);
}
