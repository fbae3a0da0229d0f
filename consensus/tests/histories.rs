//! Random histories of a group. `SHALETRAIL_SEEDS` says how many of each kind are played.

mod group;

use group::history::{play, Troubles};

/// Histories of each kind where the environment doesn't say.
const USUAL_SEEDS: u64 = 60;

fn seeds() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(USUAL_SEEDS)
}

fn play_all(first_seed: u64, troubles: Troubles) {
    let mut acknowledged = 0;
    let mut reads = 0;
    for seed in first_seed..first_seed + seeds() {
        println!("seed {seed}, {troubles:?}");
        let group = play(seed, troubles);
        acknowledged += group.judge.acknowledged_count();
        reads += group.judge.reads_answered;
    }
    println!("{acknowledged} acknowledged, {reads} reads answered");
    assert!(acknowledged as u64 > 20 * seeds(), "the histories commit: {acknowledged}");
    assert!(reads > 5 * seeds(), "the histories read: {reads}");
}

#[test]
fn given_lossy_links_and_crashes_when_histories_are_played_then_nothing_acknowledged_is_lost() {
    play_all(1_000_000, Troubles { wipes: false, replacements: false });
}

#[test]
fn given_lost_disks_when_histories_are_played_then_nothing_acknowledged_is_lost() {
    play_all(2_000_000, Troubles { wipes: true, replacements: false });
}

#[test]
fn given_replaced_machines_when_histories_are_played_then_nothing_acknowledged_is_lost() {
    play_all(3_000_000, Troubles { wipes: false, replacements: true });
}

#[test]
fn given_lost_disks_and_replaced_machines_when_histories_are_played_then_nothing_acknowledged_is_lost() {
    play_all(4_000_000, Troubles { wipes: true, replacements: true });
}
