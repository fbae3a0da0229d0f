//! Scenarios: short sequences of faults with random timing, run with several seeds under the invariant checker.

use rand::Rng;
use shaletrail_protocol::{Millis, NodeId};

use super::Group;

/// Number of seeds of each scenario if `SHALETRAIL_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 30;
/// Maximum time without faults between two parts of a scenario, in milliseconds.
const MAX_FAULT_FREE_MS: Millis = 400;
/// Time after the last part of a scenario, in milliseconds. Long enough that no late candidate replaces the leader
/// afterwards.
const RECOVERY_MS: Millis = 3000;

/// Runs a scenario with each seed, and checks that the group works afterwards and has lost nothing.
pub fn run_with_seeds(first_seed: u64, scenario: fn(u64) -> Group) {
    let seeds = std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok());
    for seed in first_seed..first_seed + seeds.unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        let mut group = scenario(seed);
        heal_and_await_leader(&mut group);
        group.run(RECOVERY_MS);
        group.commit_one();
        group.await_applied();
        group.assert_nothing_lost();
    }
}

/// Repairs all faults, and waits for a leader that has led for a random time.
pub fn heal_and_await_leader(group: &mut Group) -> NodeId {
    group.heal();
    group.await_leader();
    let fault_free_ms = draw(group, MAX_FAULT_FREE_MS);
    group.run(fault_free_ms);
    group.await_leader()
}

/// A random number from 0 to `max`.
pub fn draw(group: &mut Group, max: Millis) -> Millis {
    group.random.random_range(0..=max)
}

/// Runs for a random time of up to `max` milliseconds.
pub fn run_up_to(group: &mut Group, max: Millis) {
    let duration = draw(group, max);
    group.run(duration);
}

/// True with a probability of one half.
pub fn flip_coin(group: &mut Group) -> bool {
    group.random.random_bool(0.5)
}

/// A random one of the nodes.
pub fn draw_node(group: &mut Group, nodes: &[NodeId]) -> NodeId {
    nodes[group.random.random_range(0..nodes.len())]
}

/// Proposes a command and requests a read at every machine that considers itself the leader.
pub fn propose_and_read_at_leaders(group: &mut Group) {
    for leader in group.leaders() {
        group.propose(leader);
        group.read(leader);
    }
}

/// Repairs all faults, and waits until all voters that lost their disks have rejoined.
pub fn heal_and_await_rejoin(group: &mut Group) -> NodeId {
    group.heal();
    let counts = |group: &Group| group.machines.values().all(|machine| !machine.disk.is_recovering());
    assert!(group.run_until(8000, counts), "{}", group.describe());
    heal_and_await_leader(group)
}
