//! Scenarios: short stories with random times, each drawn from a seed and watched by the invariant checker.

use rand::Rng;
use shaletrail_protocol::{Millis, NodeId};

use super::Group;

/// Seeds of each scenario unless `SHALETRAIL_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 30;
/// The longest time without faults between two parts of a scenario, in milliseconds.
const MAX_CALM_MS: Millis = 400;
/// Time after the last part of a scenario, so that a late candidate no longer replaces the leader, in milliseconds.
const RECOVERY_MS: Millis = 3000;

/// Plays a scenario with each seed, and checks that the group works after it and has lost nothing.
pub fn play_all(first_seed: u64, play: fn(u64) -> Group) {
    let seeds = std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok());
    for seed in first_seed..first_seed + seeds.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        let mut group = play(seed);
        heal_and_await_leader(&mut group);
        group.run(RECOVERY_MS);
        group.commit_one();
        group.await_applied();
        group.assert_nothing_lost();
    }
}

/// Repairs everything, and waits for a leader that has led for a random time.
pub fn heal_and_await_leader(group: &mut Group) -> NodeId {
    group.heal();
    group.await_leader();
    let calm = draw(group, MAX_CALM_MS);
    group.run(calm);
    group.await_leader()
}

/// A random number from 0 to `max`.
pub fn draw(group: &mut Group, max: Millis) -> Millis {
    group.random.random_range(0..=max)
}

/// Lets a random time pass, up to `max` milliseconds.
pub fn run_up_to(group: &mut Group, max: Millis) {
    let duration = draw(group, max);
    group.run(duration);
}

/// True in half of the cases.
pub fn flip_coin(group: &mut Group) -> bool {
    group.random.random_bool(0.5)
}

/// One of the nodes, at random.
pub fn draw_node(group: &mut Group, nodes: &[NodeId]) -> NodeId {
    nodes[group.random.random_range(0..nodes.len())]
}

/// Proposes a command and asks for a read at all that take themselves for the leader.
pub fn propose_and_read_at_leaders(group: &mut Group) {
    for leader in group.leaders() {
        group.propose(leader);
        group.read(leader);
    }
}

/// Repairs everything, and waits until all voters that lost their disks have rejoined.
pub fn heal_and_await_rejoin(group: &mut Group) -> NodeId {
    group.heal();
    let counts = |group: &Group| group.machines.values().all(|machine| !machine.disk.is_recovering());
    assert!(group.run_until(8000, counts), "{}", group.describe());
    heal_and_await_leader(group)
}
