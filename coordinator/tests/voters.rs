//! Replacement of voters by machines that join, while other machines are lost, degraded or partitioned.

mod common;

use common::simulated_cluster::{BootstrappedCluster, SimulatedCluster};
use common::{node, nodes};
use shaletrail_consensus::Message;
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::core::shutdown::{MAX_SHUTDOWN_TIME, SHUTDOWN_GRACE};
use shaletrail_coordinator::interface::Event;
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};

/// How long a restarted or new machine still counts as lost (`syncS`), for deployments that tolerate one and two
/// losses.
const SYNC: [Millis; 2] = [4_000, 6_000];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Longer than it takes the other nodes to consider a lost machine unreachable.
const LOSS_NOTICED: Millis = 3_000;
/// Longer than the membership keeps a dead member.
const MEMBER_FORGOTTEN: Millis = 70_000;
/// Numbers of the first and second machine that join after the bootstrap.
const JOINING: u8 = 20;
const JOINING_NEXT: u8 = 21;

/// Kind of a loss that follows a first one.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The machine is lost for good.
    Permanent,
    /// The machine loses its disk and restarts immediately.
    Disk,
}

impl Loss {
    fn apply(self, cluster: &mut SimulatedCluster, node: NodeId) {
        cluster.wipe(node);
        if let Loss::Disk = self {
            cluster.start(node);
        }
    }
}

/// Returns `count` machines to join.
fn joining(count: usize) -> Vec<NodeId> {
    (JOINING..).take(count).map(node).collect()
}

fn join(voters: &[NodeId], joining: &[NodeId]) -> Vec<NodeId> {
    [voters, joining].concat()
}

/// Returns whether a node is a voter of a shard, according to the shard's leader.
fn is_voter(cluster: &SimulatedCluster, shard: u32, node: NodeId) -> bool {
    let leader = cluster.leader_of(shard);
    leader.is_some_and(|leader| cluster.replica(leader, shard).voters().contains(node))
}

/// Removes machines for good, lets others join, and causes as many losses again as soon as the voters of all shards
/// have changed. Returns the time from the start of the joining machines until then.
fn replace_then_lose(hosts_lost: usize, seed: u64, loss: Loss) -> Millis {
    // given
    let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
        BootstrappedCluster::new(hosts_lost, seed);
    cluster.commit_change();
    removed.iter().for_each(|node| cluster.wipe(*node));
    let joining = joining(hosts_lost);
    let started = cluster.now;
    joining.iter().for_each(|node| cluster.join(*node, &members));

    // when
    let voters = join(&staying, &joining);
    cluster.await_voters(&voters);
    let replaced_within = cluster.now - started;
    let (lost, _) = cluster.choose(&voters, hosts_lost);
    lost.iter().for_each(|node| loss.apply(&mut cluster, *node));

    // then
    cluster.assert_available();
    replaced_within
}

#[test]
fn replacement_survives_loss_at_completion() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            replace_then_lose(hosts_lost, seed, Loss::Permanent);
        }
    }
}

#[test]
fn replacement_survives_disk_loss_at_completion() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            replace_then_lose(hosts_lost, seed, Loss::Disk);
        }
    }
}

#[test]
fn replacement_completes_within_sync_bound() {
    for (hosts_lost, bound) in [1, 2].into_iter().zip(SYNC) {
        let longest = SEEDS.map(|seed| replace_then_lose(hosts_lost, seed, Loss::Permanent)).max();
        println!("{hosts_lost} replaced within {longest:?} ms of their start");
        assert!(longest.is_some_and(|longest| longest < bound), "{longest:?}");
    }
}

#[test]
fn readmission_survives_next_loss() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            for loss in [Loss::Permanent, Loss::Disk] {
                // given
                let BootstrappedCluster { mut cluster, chosen: wiped, others, .. } =
                    BootstrappedCluster::new(hosts_lost, seed);
                cluster.commit_change();
                wiped.iter().for_each(|node| Loss::Disk.apply(&mut cluster, *node));

                // when: the readmission is recorded on their disks
                let readmitted = cluster.run_until(SYNC[hosts_lost - 1], |cluster| {
                    wiped.iter().all(|node| !cluster.is_recovering_on_disk(*node))
                });
                assert!(readmitted, "{}", cluster.describe());
                others[..hosts_lost].iter().for_each(|node| loss.apply(&mut cluster, *node));

                // then
                cluster.assert_available();
            }
        }
    }
}

#[test]
fn forgotten_voter_is_replaced() {
    for seed in SEEDS {
        // given: no node keeps the lost member in its membership any more
        let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
            BootstrappedCluster::new(1, seed);
        cluster.wipe(removed[0]);
        cluster.run(MEMBER_FORGOTTEN);

        // when
        cluster.join(node(JOINING), &members);
        cluster.run(SYNC[0]);

        // then
        assert!(cluster.has_voters(&join(&staying, &[node(JOINING)])), "{}", cluster.describe());
        cluster.wipe(staying[0]);
        cluster.assert_available();
    }
}

#[test]
fn never_seen_voter_is_replaced() {
    for seed in SEEDS {
        // given: all lose power, and one of them does not restart
        let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
            BootstrappedCluster::new(1, seed);
        cluster.wipe(removed[0]);
        staying.iter().for_each(|node| cluster.lose_power(*node));
        cluster.run(500);
        staying.iter().for_each(|node| cluster.start(*node));

        // when
        cluster.join(node(JOINING), &members);
        cluster.run(SYNC[0]);

        // then
        assert!(cluster.has_voters(&join(&staying, &[node(JOINING)])), "{}", cluster.describe());
        cluster.wipe(staying[0]);
        cluster.assert_available();
    }
}

#[test]
fn new_leader_replaces_voter_it_never_saw() {
    for seed in SEEDS {
        // given: one of two lost voters is replaced
        let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
            BootstrappedCluster::new(2, seed);
        removed.iter().for_each(|node| cluster.wipe(*node));
        cluster.join(node(JOINING), &members);
        let has_joined = |cluster: &SimulatedCluster| {
            cluster.shards().all(|shard| {
                let leader = cluster.leader_of(shard);
                leader.is_some_and(|leader| {
                    let replica = cluster.replica(leader, shard);
                    !replica.is_changing_voters() && replica.voters().contains(node(JOINING))
                })
            })
        };
        assert!(cluster.run_until(SYNC[1], has_joined), "{}", cluster.describe());

        // when: all of them restart, so that no membership contains the other lost voter
        let running = cluster.running();
        running.iter().for_each(|node| cluster.lose_power(*node));
        running.iter().for_each(|node| cluster.start(*node));
        cluster.join(node(JOINING_NEXT), &running[..3]);
        cluster.run(SYNC[1]);

        // then
        let voters = join(&staying, &nodes(&[JOINING, JOINING_NEXT]));
        assert!(cluster.has_voters(&voters), "{}", cluster.describe());
        cluster.wipe(staying[0]);
        cluster.wipe(staying[1]);
        cluster.assert_available();
    }
}

#[test]
fn planned_removal_allows_immediate_loss() {
    for seed in SEEDS {
        // given: the replacement has had time to catch up
        let mut cluster = SimulatedCluster::bootstrapped(1, seed);
        let members = cluster.running();
        cluster.join(node(JOINING), &members);
        cluster.run(SYNC[0]);
        cluster.commit_change();

        // when: a machine shuts down, and another is lost as soon as it has exited
        let leaving = cluster.rotate_without(&members, &[])[0];
        cluster.decommission(leaving);
        let staying = cluster.rotate_without(&members, &[leaving]);
        cluster.wipe(staying[0]);

        // then
        cluster.assert_available();
    }
}

#[test]
fn leaving_voter_waits_for_its_replacement() {
    for sync_ms in [5, 30, 100, 200] {
        for seed in SEEDS {
            // given: the replacement has had time to catch up, and all disks are slow
            let mut cluster = SimulatedCluster::bootstrapped(1, seed);
            let members = cluster.running();
            members.iter().for_each(|member| cluster.slow_disk(*member, sync_ms));
            cluster.join_with_disk(node(JOINING), &members, sync_ms);
            cluster.run(SYNC[0]);
            cluster.commit_change();

            // when: a machine shuts down, and another is lost as soon as it has exited
            let leaving = cluster.rotate_without(&members, &[])[0];
            let elapsed = cluster.decommission(leaving);
            let staying = cluster.rotate_without(&members, &[leaving]);
            cluster.wipe(staying[0]);

            // then
            assert!(elapsed <= MAX_SHUTDOWN_TIME, "seed {seed}, {sync_ms} ms: {elapsed}");
            cluster.assert_available();
        }
    }
}

#[test]
fn leaving_voter_without_replacement_exits_after_grace_period() {
    // given
    let mut cluster = SimulatedCluster::bootstrapped(1, 1);
    let leaving = cluster.running()[0];
    // when
    let elapsed = cluster.decommission(leaving);
    // then
    assert!(elapsed <= SHUTDOWN_GRACE + 10, "{elapsed}");
}

#[test]
fn lagging_learner_joins_under_load() {
    for seed in SEEDS {
        // given
        let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
            BootstrappedCluster::new(1, seed);
        cluster.wipe(removed[0]);

        // when: changes are committed continuously
        let end = cluster.now + SYNC[0];
        cluster.join_with_disk(node(JOINING), &members, 150);
        while cluster.now < end {
            cluster.commit_change();
        }

        // then
        let voters = join(&staying, &[node(JOINING)]);
        assert!(cluster.has_voters_in(CONFIGURATION, &voters), "{}", cluster.describe());
    }
}

#[test]
fn slow_learner_counts_before_it_votes() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            // given: the loss has been detected before any machine joins
            let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
                BootstrappedCluster::new(hosts_lost, seed);
            removed.iter().for_each(|node| cluster.wipe(*node));
            cluster.run(LOSS_NOTICED);
            cluster.commit_change();

            // when: as many voters are lost again as soon as the learners have become voters
            let joining = joining(hosts_lost);
            joining.iter().for_each(|node| cluster.join_with_disk(*node, &members, 600));
            cluster.await_voters(&join(&staying, &joining));
            staying[..hosts_lost].iter().for_each(|node| cluster.wipe(*node));

            // then
            cluster.assert_available();
        }
    }
}

/// Returns whether a message carries entries or a snapshot of the configuration's shard.
fn carries_configuration(message: &CoordinatorMessage) -> bool {
    let CoordinatorMessage::Shard { shard: CONFIGURATION, body } = message else { return false };
    matches!(bitcode::decode(body), Ok(Message::Append { .. } | Message::InstallSnapshot { .. }))
}

#[test]
fn learner_without_entries_does_not_vote() {
    for seed in SEEDS {
        // given: a learner that has caught up, and then receives no further entries
        let BootstrappedCluster { mut cluster, members, chosen: removed, others: staying } =
            BootstrappedCluster::new(1, seed);
        cluster.join(node(JOINING), &members);
        cluster.run(SYNC[0]);
        cluster.delivery_filter =
            Some(Box::new(|_, to, message| to != node(JOINING) || !carries_configuration(message)));
        (0..40).for_each(|_| cluster.commit_change());

        // when
        cluster.wipe(removed[0]);
        cluster.run(SYNC[0]);
        (0..40).for_each(|_| cluster.commit_change());

        // then: it is no voter until it has received them
        assert!(cluster.leader_of(CONFIGURATION).is_some(), "{}", cluster.describe());
        assert!(!is_voter(&cluster, CONFIGURATION, node(JOINING)), "{}", cluster.describe());
        cluster.delivery_filter = None;
        cluster.await_voters(&join(&staying, &[node(JOINING)]));
        cluster.wipe(staying[0]);
        cluster.assert_available();
    }
}

#[test]
fn unreachable_learner_does_not_vote() {
    for seed in SEEDS {
        // given: a learner that has caught up, and has just lost power
        let BootstrappedCluster { mut cluster, members, chosen: leaving, .. } =
            BootstrappedCluster::new(1, seed);
        cluster.join(node(JOINING), &members);
        cluster.run(SYNC[0]);
        cluster.lose_power(node(JOINING));
        cluster.run(1_000);

        // when
        cluster.shut_down(leaving[0]);

        // then
        let has_joined = cluster.run_until(3_000, |cluster| {
            cluster.shards().any(|shard| is_voter(cluster, shard, node(JOINING)))
        });
        assert!(!has_joined, "{}", cluster.describe());
    }
}

#[test]
fn change_survives_leaving_voter_and_next_loss() {
    for seed in SEEDS {
        // given: a third voter whose disk is slow
        let BootstrappedCluster { mut cluster, members, chosen: leaving, others } =
            BootstrappedCluster::new(1, seed);
        cluster.join(node(JOINING), &members);
        cluster.run(SYNC[0]);
        let (lost, late) = (others[0], others[1]);
        cluster.slow_disk(late, 250);
        cluster.commit_change();

        // when
        cluster.decommission(leaving[0]);
        cluster.await_voters(&[lost, late, node(JOINING)]);
        cluster.wipe(lost);

        // then
        cluster.assert_available();
    }
}

#[test]
fn replaced_voter_causes_no_election() {
    for seed in SEEDS {
        // given: a voter is replaced while it is isolated
        let BootstrappedCluster { mut cluster, members, chosen: isolated, others } =
            BootstrappedCluster::new(1, seed);
        cluster.join(node(JOINING), &members);
        cluster.isolate(isolated[0]);
        cluster.run(20_000);
        let voters = join(&others, &[node(JOINING)]);
        cluster.await_voters(&voters);
        let terms = |cluster: &SimulatedCluster| -> Vec<u64> {
            cluster.shards().map(|shard| cluster.replica(voters[0], shard).term()).collect()
        };
        let terms_before = terms(&cluster);

        // when
        cluster.heal();
        cluster.run(SYNC[0]);

        // then: its return causes no election, and one more loss is tolerated
        assert_eq!(terms(&cluster), terms_before);
        assert!(cluster.has_voters(&voters), "{}", cluster.describe());
        cluster.wipe(voters[0]);
        cluster.assert_available();
    }
}

#[test]
fn learner_joins_after_its_only_seed_reconnects() {
    for seed in SEEDS {
        // given
        let BootstrappedCluster { mut cluster, members, chosen: isolated, .. } =
            BootstrappedCluster::new(1, seed);
        cluster.join(node(JOINING), &isolated);
        cluster.isolate(isolated[0]);
        cluster.run(5_000);

        // when
        cluster.heal();
        cluster.run(SYNC[0]);

        // then: it has joined, and replaces a voter that is lost
        let removed = cluster.rotate_without(&members, &isolated)[0];
        cluster.wipe(removed);
        let staying = cluster.rotate_without(&members, &[removed]);
        cluster.await_voters(&join(&staying, &[node(JOINING)]));
        cluster.assert_available();
    }
}

#[test]
fn bootstrap_in_any_order_makes_all_nodes_voters() {
    for hosts_lost in [1, 2] {
        for seed in 1..=8 {
            // given, when
            let BootstrappedCluster { mut cluster, chosen: lost, .. } =
                BootstrappedCluster::new(hosts_lost, seed);
            let bootstrapped_within = cluster.now - common::START;

            // then
            assert!(bootstrapped_within < 5_000, "seed {seed}: {bootstrapped_within}");
            lost.iter().for_each(|node| cluster.wipe(*node));
            cluster.assert_available();
        }
    }
}

#[test]
fn stopping_or_degraded_leader_is_replaced_at_once() {
    for seed in SEEDS {
        for degraded in [false, true] {
            // given
            let mut cluster = SimulatedCluster::bootstrapped(1, seed);
            let leader = cluster.leader_of(CONFIGURATION).expect("the shard has a leader");

            // when
            if degraded {
                cluster.handle(leader, Event::DiskDegraded { wants_checkpoint: false });
            } else {
                cluster.request_shutdown(leader);
            }
            cluster.run(200);

            // then: before its leader lease would have expired
            let next = cluster.leader_of(CONFIGURATION);
            assert!(next.is_some_and(|next| next != leader), "degraded {degraded}: {}", cluster.describe());
        }
    }
}

#[test]
fn coordinator_leads_again_once_its_disk_has_recovered() {
    // given: two of three are running, and the leader has lost its leadership to a temporarily degraded disk
    let mut cluster = SimulatedCluster::bootstrapped(1, 3);
    let former = cluster.leader_of(CONFIGURATION).expect("the shard has a leader");
    let running = cluster.running();
    let others = cluster.rotate_without(&running, &[former]);
    cluster.lose_power(others[0]);
    cluster.handle(former, Event::DiskDegraded { wants_checkpoint: false });
    cluster.run(2_500);
    assert_eq!(cluster.leader_of(CONFIGURATION), Some(others[1]), "{}", cluster.describe());

    // when: the disk of the new leader is degraded
    for _ in 0..30 {
        cluster.handle(others[1], Event::DiskDegraded { wants_checkpoint: false });
        cluster.run(100);
    }

    // then
    assert_eq!(cluster.leader_of(CONFIGURATION), Some(former), "{}", cluster.describe());
    cluster.commit_change();
}
