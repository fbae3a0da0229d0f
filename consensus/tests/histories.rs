//! Random histories of a group. `SHALETRAIL_SEEDS` says how many of each kind are played.

mod group;

use group::history::{play, Faults};

/// Histories of each kind unless `SHALETRAIL_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 60;

fn seeds() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

fn play_all(first_seed: u64, faults: Faults) {
    let mut acknowledged = 0;
    let mut reads = 0;
    for seed in first_seed..first_seed + seeds() {
        println!("seed {seed}, {faults:?}");
        let group = play(seed, faults);
        acknowledged += group.invariants.acknowledged_count();
        reads += group.invariants.reads_answered;
    }
    println!("{acknowledged} acknowledged, {reads} reads answered");
    assert!(acknowledged as u64 > 20 * seeds(), "the histories commit: {acknowledged}");
    assert!(reads > 5 * seeds(), "the histories read: {reads}");
}

#[test]
fn random_histories_with_crashes_lose_nothing() {
    play_all(1_000_000, Faults { disk_losses: false, replacements: false });
}

#[test]
fn random_histories_with_disk_losses_lose_nothing() {
    play_all(2_000_000, Faults { disk_losses: true, replacements: false });
}

#[test]
fn random_histories_with_replacements_lose_nothing() {
    play_all(3_000_000, Faults { disk_losses: false, replacements: true });
}

#[test]
fn random_histories_with_all_faults_lose_nothing() {
    play_all(4_000_000, Faults { disk_losses: true, replacements: true });
}
