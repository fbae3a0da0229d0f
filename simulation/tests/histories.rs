//! Randomized histories. `SHALETRAIL_SEEDS` sets the number of seeds for each test (`200`) or their range (`200-300`, the end
//! excluded).

use std::ops::Range;

use shaletrail_simulation::history::{History, Mix, Scenario};

/// Number of histories of each mix unless `SHALETRAIL_SEEDS` is set.
const DEFAULT_COUNT: u64 = 30;
/// Duration of each history before its faults are repaired, in milliseconds.
const DURATION: u64 = 25_000;

fn seeds(default: u64) -> Range<u64> {
    let requested = std::env::var("SHALETRAIL_SEEDS").unwrap_or_default();
    let number = |text: &str| text.trim().parse::<u64>().ok();
    match requested.split_once('-') {
        Some((first, end)) => number(first).unwrap_or(0)..number(end).unwrap_or(default),
        None => 0..number(&requested).unwrap_or(default),
    }
}

fn play_all(mix: Mix) {
    for seed in seeds(DEFAULT_COUNT) {
        // given: the seed; when: its history is played; then: it panics if an invariant is violated
        History::play(seed, mix, DURATION);
    }
}

#[test]
fn mixed_faults_keep_invariants() {
    play_all(Mix::everything());
}

#[test]
fn coordinator_faults_keep_invariants() {
    play_all(Mix::coordinator_faults());
}

#[test]
fn server_churn_keeps_invariants() {
    play_all(Mix::servers());
}

/// Number of histories of a scenario unless `SHALETRAIL_SEEDS` is set. Histories of losses contain few failures each, so more
/// of them are played.
fn default_count(scenario: Scenario) -> u64 {
    if scenario == Scenario::Losses {
        24
    } else {
        8
    }
}

fn play_scenario(scenario: Scenario) {
    for seed in seeds(default_count(scenario)) {
        // given: the seed; when: its history is played; then: it panics if an invariant is violated
        History::play_scenario(scenario, seed);
    }
}

#[test]
fn partitions_keep_invariants() {
    play_scenario(Scenario::Partitions);
}

#[test]
fn races_keep_invariants() {
    play_scenario(Scenario::Races);
}

#[test]
fn repeated_losses_keep_invariants() {
    play_scenario(Scenario::Losses);
}

#[test]
fn crashes_under_load_keep_invariants() {
    play_scenario(Scenario::Crashes);
}

#[test]
fn message_disorder_keeps_invariants() {
    play_scenario(Scenario::MessageDisorder);
}

#[test]
fn losses_of_zones_keep_invariants() {
    play_scenario(Scenario::ZoneLosses);
}
