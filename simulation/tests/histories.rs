//! Random histories. `SHALETRAIL_SEEDS` sets how many of each kind are played (`200`), or which (`200-300`).

use std::ops::Range;

use shaletrail_simulation::history::{History, Mix, Point};

/// Histories of each kind where nothing else is asked for.
const USUAL: u64 = 30;
/// How long each lasts before its calm end, in milliseconds.
const DURATION: u64 = 25_000;

fn seeds(usual: u64) -> Range<u64> {
    let asked = std::env::var("SHALETRAIL_SEEDS").unwrap_or_default();
    let number = |text: &str| text.trim().parse::<u64>().ok();
    match asked.split_once('-') {
        Some((first, end)) => number(first).unwrap_or(0)..number(end).unwrap_or(usual),
        None => 0..number(&asked).unwrap_or(usual),
    }
}

fn play_all(mix: Mix) {
    for seed in seeds(USUAL) {
        // given the seed, when its history is played, then
        History::play(seed, mix, DURATION);
    }
}

#[test]
fn given_seeds_of_luck_when_all_kinds_of_trouble_mix_then_the_rules_hold_and_service_comes_back() {
    play_all(Mix::everything());
}

#[test]
fn given_seeds_of_luck_when_the_core_is_in_trouble_and_the_operator_busy_then_the_rules_hold() {
    play_all(Mix::core());
}

#[test]
fn given_seeds_of_luck_when_servers_come_and_go_and_all_models_are_asked_for_then_the_rules_hold() {
    play_all(Mix::servers());
}

/// Histories of a point where nothing else is asked for; more of losses, of which each strikes a few moments only.
fn usual_of(point: Point) -> u64 {
    if point == Point::Losses {
        24
    } else {
        8
    }
}

fn play_point(point: Point) {
    for seed in seeds(usual_of(point)) {
        // given the seed, when its history is played, then
        History::play_point(point, seed);
    }
}

#[test]
fn given_seeds_of_luck_when_coordinators_are_cut_off_then_the_rules_hold() {
    play_point(Point::Cuts);
}

#[test]
fn given_seeds_of_luck_when_operators_race_then_the_rules_hold() {
    play_point(Point::Races);
}

#[test]
fn given_seeds_of_luck_when_machines_are_lost_right_after_a_repair_then_the_rules_hold() {
    play_point(Point::Losses);
}

#[test]
fn given_seeds_of_luck_when_members_crash_in_a_storm_of_changes_then_the_rules_hold() {
    play_point(Point::Storms);
}

#[test]
fn given_seeds_of_luck_when_messages_and_calls_go_astray_then_the_rules_hold() {
    play_point(Point::Calls);
}
