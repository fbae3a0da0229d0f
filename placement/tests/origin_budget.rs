//! The budget that limits the rate of loads from the weight store.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_placement::origin::{OriginBudget, ACCEPTANCE_TIMEOUT};

/// The budget's window, in milliseconds.
const WINDOW: u64 = 5_000;

/// Returns a budget that was exhausted at time 0, so that it is fully available again at the times that the tests use.
fn unused(load_per_s: f64) -> OriginBudget {
    OriginBudget::exhausted(0, WINDOW, load_per_s)
}

#[test]
fn exhausted_budget_refills_at_store_rate() {
    let mut budget = OriginBudget::exhausted(10_000, WINDOW, 2.0);
    let allowed: Vec<_> = (0..=6).map(|second| budget.available(10_000 + second * 1_000)).collect();
    assert_eq!(allowed, [0, 2, 4, 6, 8, 10, 10]);
}

#[test]
fn unanswered_order_counts_from_its_latest_start() {
    let mut budget = unused(1.0);
    for _ in 0..5 {
        budget.order_sent(20_000);
    }
    assert_eq!(budget.available(20_000 + WINDOW + ACCEPTANCE_TIMEOUT - 1), 0);
    assert_eq!(budget.available(20_000 + WINDOW + ACCEPTANCE_TIMEOUT), 5);
}

#[test]
fn accepted_order_counts_from_its_response() {
    let mut budget = unused(0.2);
    let token = budget.order_sent(20_000);
    budget.order_accepted(20_040, token);
    assert_eq!((budget.available(25_039), budget.available(25_040)), (0, 1));
}

#[test]
fn cancelled_order_frees_its_load() {
    let mut budget = unused(0.2);
    let token = budget.order_sent(20_000);
    assert_eq!(budget.available(20_000), 0);
    budget.cancel(token);
    assert_eq!(budget.available(20_000), 1);
}

#[test]
fn invalid_rate_allows_one_load_per_window() {
    for rate in [0.0, -3.0, f64::NAN, f64::INFINITY] {
        assert_eq!(unused(rate).limit(), 1);
    }
}

#[test]
fn random_orders_stay_within_the_limit_in_every_window() {
    for seed in 0..50 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut budget = OriginBudget::exhausted(0, WINDOW, 2.8);
        let mut starts: Vec<u64> = Vec::new();
        let mut unanswered = Vec::new();
        for now in (0..60_000).step_by(50) {
            while budget.available(now) > 0 && random.random_bool(0.7) {
                let token = budget.order_sent(now);
                let start = now + random.random_range(0..=ACCEPTANCE_TIMEOUT);
                starts.push(start);
                if random.random_bool(0.7) {
                    unanswered.push((start, token));
                }
            }
            unanswered.retain(|(start, token)| {
                let is_answered = *start <= now;
                if is_answered {
                    budget.order_accepted(now, *token);
                }
                !is_answered
            });
        }
        starts.sort();
        let loads_in_windows = starts
            .iter()
            .map(|end| starts.iter().filter(|at| (end - WINDOW.min(*end)..=*end).contains(at)).count());
        assert!(loads_in_windows.max() <= Some(budget.limit()), "seed {seed}");
    }
}
