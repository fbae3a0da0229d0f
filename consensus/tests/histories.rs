//! Random histories of a group: sequences of faults, proposals and reads drawn from a seed. The environment variable
//! `SHALETRAIL_SEEDS` sets how many of each kind are run.

mod group;

use group::history::{run_history, Faults};

/// Number of histories of each kind if `SHALETRAIL_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 60;

fn seeds() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

fn run_all(first_seed: u64, faults: Faults) {
    let mut acknowledged = 0;
    let mut reads = 0;
    for seed in first_seed..first_seed + seeds() {
        println!("seed {seed}, {faults:?}");
        let group = run_history(seed, faults);
        acknowledged += group.invariants.acknowledged_count();
        reads += group.invariants.reads_answered;
    }
    println!("{acknowledged} acknowledged, {reads} reads answered");
    assert!(acknowledged as u64 > 20 * seeds(), "too few commands were acknowledged: {acknowledged}");
    assert!(reads > 5 * seeds(), "too few reads were answered: {reads}");
}

#[test]
fn random_histories_with_crashes_lose_nothing() {
    run_all(1_000_000, Faults { disk_losses: false, replacements: false });
}

#[test]
fn random_histories_with_disk_losses_lose_nothing() {
    run_all(2_000_000, Faults { disk_losses: true, replacements: false });
}

#[test]
fn random_histories_with_replacements_lose_nothing() {
    run_all(3_000_000, Faults { disk_losses: false, replacements: true });
}

#[test]
fn random_histories_with_all_faults_lose_nothing() {
    run_all(4_000_000, Faults { disk_losses: true, replacements: true });
}
