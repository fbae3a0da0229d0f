//! Acknowledged changes survive lost and corrupt disks, combined with power losses or following each other.

mod common;

use common::simulated_cluster::SimulatedCluster;
use common::{heartbeat, node};
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::{CallId, Event};
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::NodeId;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Number of random runs of each kind, unless `SHALETRAIL_SEEDS` is set.
const RANDOM_RUNS: u64 = 4;
/// The server that leaves.
const SERVER: &str = "i-1";
/// Number of rounds of losses in a random run.
const ROUNDS: usize = 8;

/// A change is acknowledged that one voter, which is isolated, has not received. Then all nodes lose power. The other
/// follower, modified by `damage`, and the lagging voter restart first, the former leader later. Until then no leader
/// may be elected, because neither of the two has the change.
fn lose_power_after_change(seed: u64, damage: impl Fn(&mut SimulatedCluster, NodeId)) {
    // given
    let mut cluster = SimulatedCluster::bootstrapped(1, seed);
    let leader = cluster.leader_of(CONFIGURATION).expect("the shard has a leader");
    let voters = cluster.running();
    let followers = cluster.rotate_without(&voters, &[leader]);
    let (lagging, damaged) = (followers[0], followers[1]);
    cluster.isolate(lagging);
    cluster.commit_change();

    // when
    voters.iter().for_each(|node| cluster.lose_power(*node));
    damage(&mut cluster, damaged);
    cluster.heal();
    cluster.start(lagging);
    cluster.start(damaged);
    cluster.run(3_000);

    // then
    assert!(cluster.is_recovering_on_disk(damaged), "{}", cluster.describe());
    assert_eq!(cluster.leader_of(CONFIGURATION), None, "seed {seed}");
    cluster.start(leader);
    cluster.assert_available();
}

#[test]
fn change_survives_wiped_disk_and_power_loss() {
    SEEDS.for_each(|seed| lose_power_after_change(seed, |cluster, damaged| cluster.wipe(damaged)));
}

#[test]
fn change_survives_corrupt_disk_and_power_loss() {
    SEEDS.for_each(|seed| {
        lose_power_after_change(seed, |cluster, damaged| cluster.corrupt_log(damaged, CONFIGURATION))
    });
}

/// A change is acknowledged that one voter, which is isolated, has not received. Then all nodes lose power, and the
/// corrupt journal of the other follower is erased. The nodes restart, while their settings still say `bootstrap`, in
/// the given order, the last one much later: the lagging voter (0), the one that has lost its journal (1), the former
/// leader (2).
fn corrupt_journal_during_bootstrap(seed: u64, order: [usize; 3]) {
    // given
    let mut cluster = SimulatedCluster::bootstrapped(1, seed);
    let leader = cluster.leader_of(CONFIGURATION).expect("the shard has a leader");
    let voters = cluster.running();
    let followers = cluster.rotate_without(&voters, &[leader]);
    let nodes = [followers[0], followers[1], leader];
    cluster.isolate(nodes[0]);
    cluster.commit_change();

    // when
    voters.iter().for_each(|node| cluster.lose_power(*node));
    cluster.erase_corrupt_journal(nodes[1]);
    cluster.heal();
    for (position, started) in order.into_iter().enumerate() {
        let pause = if position == 2 { 3_000 } else { 200 };
        cluster.run(pause);
        cluster.start_with_bootstrap(nodes[started]);
    }

    // then
    cluster.assert_available();
    let is_readmitted = |cluster: &SimulatedCluster| !cluster.is_recovering_on_disk(nodes[1]);
    assert!(cluster.run_until(6_000, is_readmitted), "seed {seed}, {order:?}: {}", cluster.describe());
}

#[test]
fn change_survives_corrupt_journal_during_bootstrap() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    SEEDS.for_each(|seed| orders.iter().for_each(|order| corrupt_journal_during_bootstrap(seed, *order)));
}

#[test]
fn two_erased_journals_bootstrap_no_second_group() {
    SEEDS.for_each(|seed| {
        // given
        let mut cluster = SimulatedCluster::bootstrapped(1, seed);
        let voters = cluster.running();
        voters.iter().for_each(|node| cluster.lose_power(*node));
        // when
        voters[..2].iter().for_each(|node| cluster.erase_corrupt_journal(*node));
        voters[..2].iter().for_each(|node| cluster.start_with_bootstrap(*node));
        cluster.run(5_000);
        // then
        assert_eq!(cluster.leader_of(CONFIGURATION), None, "seed {seed}");
        cluster.start_with_bootstrap(voters[2]);
        cluster.run(5_000);
        assert_eq!(cluster.leader_of(CONFIGURATION), None, "seed {seed}");
    });
}

/// In each round, machines are replaced or lose their disks. The next round begins as soon as the losses of the
/// previous one are repaired.
fn run_random_losses(hosts_lost: usize, seed: u64) {
    let mut cluster = SimulatedCluster::bootstrapped(hosts_lost, seed);
    let mut voters = cluster.running();
    let mut next_machine = 20;
    for _ in 0..ROUNDS {
        let (lost_nodes, _) = cluster.choose(&voters, hosts_lost);
        for lost in &lost_nodes {
            cluster.wipe(*lost);
            if cluster.random_below(2) == 0 {
                cluster.start(*lost);
                continue;
            }
            voters.retain(|voter| voter != lost);
            let pause = cluster.random_below(2_500);
            cluster.run(pause);
            let joining = node(next_machine);
            next_machine += 1;
            let seeds = cluster.running();
            let sync_ms = 3 + cluster.random_below(100);
            cluster.join_with_disk(joining, &seeds, sync_ms);
            voters.push(joining);
        }
        if cluster.random_below(2) == 0 {
            cluster.assert_available();
        }
        cluster.await_voters(&voters);
        let are_readmitted =
            |cluster: &SimulatedCluster| voters.iter().all(|voter| !cluster.is_recovering_on_disk(*voter));
        assert!(cluster.run_until(6_000, are_readmitted), "seed {seed}: {}", cluster.describe());
    }
    cluster.assert_available();
}

#[test]
fn change_survives_consecutive_losses() {
    for hosts_lost in [1, 2] {
        for seed in 1..=random_runs() {
            println!("{hosts_lost} lost at once, seed {seed}");
            run_random_losses(hosts_lost, seed);
        }
    }
}

fn random_runs() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(RANDOM_RUNS)
}

/// A server leaves. Right after that is acknowledged, all coordinators lose power and `lost_disks` of them lose their
/// disks.
fn lose_all_after_departure(seed: u64, hosts_lost: usize, lost_disks: usize, leave: fn(CallId) -> Event) {
    // given
    let mut cluster = SimulatedCluster::bootstrapped(hosts_lost, seed);
    let voters = cluster.running();
    let sync_ms = 1 + cluster.random_below(60);
    voters.iter().for_each(|node| cluster.slow_disk(*node, sync_ms));
    let ready =
        |call| Event::Heartbeat { call, id: SERVER.to_owned(), heartbeat: heartbeat(ServerState::Ready, 1) };
    assert!(cluster.server_call(voters[0], ready));
    cluster.run(3_000);

    // when
    let called = cluster.rotate_without(&voters, &[])[0];
    assert!(cluster.server_call(called, leave), "seed {seed}: {}", cluster.describe());
    voters.iter().for_each(|node| cluster.lose_power(*node));
    let (wiped, _) = cluster.choose(&voters, lost_disks);
    wiped.iter().for_each(|node| cluster.wipe(*node));
    voters.iter().for_each(|node| cluster.start(*node));
    cluster.run(1_000);

    // then: no coordinator considers the server ready
    for node in &voters {
        let presence = cluster.core(*node).directory().record(SERVER).map(|record| record.presence);
        assert!(
            matches!(presence, Some(Presence::Draining | Presence::Removed)),
            "seed {seed}: {node} considers it {presence:?}"
        );
    }
}

fn deregister(call: CallId) -> Event {
    Event::Deregister { call, id: SERVER.to_owned() }
}

fn drain(call: CallId) -> Event {
    Event::Heartbeat { call, id: SERVER.to_owned(), heartbeat: heartbeat(ServerState::Draining, 2) }
}

#[test]
fn acknowledged_departure_survives_power_loss_of_all() {
    for seed in 1..=20 {
        lose_all_after_departure(seed, 1, 0, deregister);
        lose_all_after_departure(seed, 1, 1, deregister);
        lose_all_after_departure(seed, 1, 1, drain);
        lose_all_after_departure(seed, 2, 2, drain);
    }
}
