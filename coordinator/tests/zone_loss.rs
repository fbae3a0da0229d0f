//! Losses of whole zones and regions that the settings ask to tolerate.

mod common;

use common::deployment::{Deployment, Place, Tolerance};
use common::simulated_cluster::SimulatedCluster;
use common::{node, nodes, TICK};
use shaletrail_coordinator::core::node_attributes::STREAM;
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::{Event, StateChange};
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// How long a new machine still counts as lost (`syncS`).
const SYNC: Millis = 6_000;
/// How long the machines of a lost zone are down.
const OUTAGE: Millis = 2_000;
/// How long service may rest after overlapping losses have ended (`recoveryS`).
const RECOVERY: Millis = 15_000;
/// Number of a machine that joins after the bootstrap.
const JOINING: u8 = 20;

/// Three halls of one region.
const HALLS: [Place; 3] = [
    Place { zone: "hall-1", region: "zagreb" },
    Place { zone: "hall-2", region: "zagreb" },
    Place { zone: "hall-3", region: "zagreb" },
];

/// Nine machines, three in each of three halls. Two machines or one hall may be lost.
fn nine_in_three_halls(seeds: &[u8]) -> Deployment {
    let tolerance = Tolerance { hosts: 2, zones: 1, regions: 0 };
    Deployment::in_places(tolerance, &HALLS.map(|hall| (hall, 3)), seeds)
}

/// Five machines in five halls. One machine or two halls may be lost.
fn five_in_five_halls() -> Deployment {
    let halls = ["hall-1", "hall-2", "hall-3", "hall-4", "hall-5"];
    let places = halls.map(|zone| (Place { zone, region: "zagreb" }, 1));
    Deployment::in_places(Tolerance { hosts: 1, zones: 2, regions: 0 }, &places, &[1, 2, 3])
}

/// Six machines in three regions of two halls each, two seeds in the first one. One machine or one region may be lost.
fn six_in_three_regions() -> Deployment {
    let halls = [
        ("split-a", "south"),
        ("split-b", "south"),
        ("rijeka-a", "west"),
        ("rijeka-b", "west"),
        ("osijek-a", "east"),
        ("osijek-b", "east"),
    ];
    let places = halls.map(|(zone, region)| (Place { zone, region }, 1));
    Deployment::in_places(Tolerance { hosts: 1, zones: 0, regions: 1 }, &places, &[1, 2, 3])
}

/// Bootstraps a deployment and waits until all its machines count as present.
fn settled(deployment: Deployment, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::bootstrapped_in(deployment, seed);
    cluster.run(SYNC);
    cluster.assert_voters_tolerate_losses();
    cluster.commit_change();
    cluster
}

/// Machines lose their disks, and start again after the outage.
fn lose_disks(cluster: &mut SimulatedCluster, lost: &[NodeId]) {
    lost.iter().for_each(|node| cluster.wipe(*node));
    cluster.run(OUTAGE);
    lost.iter().for_each(|node| cluster.start(*node));
}

/// Guards against review case 4: the loss of a tolerated zone took the majority of the voters with it, for good.
#[test]
fn acknowledged_change_survives_disk_loss_of_any_zone() {
    for seed in SEEDS {
        for hall in HALLS {
            // given: the seeds stand one in each hall
            let mut cluster = settled(nine_in_three_halls(&[1, 4, 7]), seed);

            // when
            let lost = cluster.deployment.in_zone(hall.zone);
            lose_disks(&mut cluster, &lost);

            // then
            cluster.assert_available();
        }
    }
}

/// Guards against founding voters that stay where they are although all of them stand in one zone.
#[test]
fn seeds_in_one_zone_do_not_remain_the_voters() {
    for seed in SEEDS {
        let mut cluster = settled(nine_in_three_halls(&[1, 2, 3]), seed);
        let lost = cluster.deployment.in_zone("hall-1");
        lose_disks(&mut cluster, &lost);
        cluster.assert_available();
    }
}

/// Guards against a number of voters that follows from `hostsLost` alone.
#[test]
fn loss_of_two_zones_is_tolerated_where_one_machine_is() {
    for seed in SEEDS {
        let mut cluster = settled(five_in_five_halls(), seed);
        let (lost, _) = cluster.choose(&cluster.running(), 2);
        lose_disks(&mut cluster, &lost);
        cluster.assert_available();
    }
}

/// Guards against voters of which a region holds the majority.
#[test]
fn loss_of_any_region_is_tolerated() {
    for seed in SEEDS {
        for region in ["south", "west", "east"] {
            let mut cluster = settled(six_in_three_regions(), seed);
            let lost = cluster.deployment.in_region(region);
            lose_disks(&mut cluster, &lost);
            cluster.assert_available();
        }
    }
}

/// Guards against voters that move from a zone that is down to one that already holds as many as may be lost.
#[test]
fn change_survives_disk_loss_of_a_zone_while_another_is_down() {
    for seed in SEEDS {
        // given: a hall is down with its disks kept, and changes go on
        let mut cluster = settled(nine_in_three_halls(&[1, 4, 7]), seed);
        let down = cluster.deployment.in_zone(HALLS[seed as usize % 3].zone);
        let wiped = cluster.deployment.in_zone(HALLS[(seed as usize + 1) % 3].zone);
        down.iter().for_each(|node| cluster.lose_power(*node));
        (0..5).for_each(|_| cluster.commit_change());
        cluster.run(SYNC);
        cluster.commit_change();

        // when
        lose_disks(&mut cluster, &wiped);
        down.iter().for_each(|node| cluster.start(*node));
        cluster.run(RECOVERY);

        // then
        cluster.assert_available();
        cluster.assert_voters_tolerate_losses();
    }
}

#[test]
fn changes_are_taken_while_a_zone_is_cut_off() {
    for seed in SEEDS {
        for hall in HALLS {
            // given
            let mut cluster = settled(nine_in_three_halls(&[1, 4, 7]), seed);
            let isolated = cluster.deployment.in_zone(hall.zone);

            // when: the machines of the hall reach each other only
            let others = cluster.rotate_without(&cluster.running(), &isolated);
            cluster.delivery_filter = Some({
                let isolated = isolated.clone();
                Box::new(move |from, to, _| isolated.contains(&from) == isolated.contains(&to))
            });
            cluster.run(OUTAGE);

            // then: they lead nothing, and the others go on
            for shard in cluster.shards() {
                assert!(isolated.iter().all(|node| !cluster.replica(*node, shard).is_leader()));
                assert!(others.iter().any(|node| cluster.replica(*node, shard).is_leader()));
            }
            cluster.assert_available();
        }
    }
}

/// Guards against places that only running machines tell: an absent voter would be taken to stand anywhere.
#[test]
fn place_of_an_absent_voter_is_known_after_a_restart_of_all_others() {
    for seed in SEEDS {
        // given: a hall with two voters is down, and all others lose power
        let mut cluster = settled(nine_in_three_halls(&[1, 4, 7]), seed);
        let leader = cluster.leader_of(CONFIGURATION).expect("the shard has a leader");
        let voters = cluster.replica(leader, CONFIGURATION).voters().incoming().to_vec();
        let is_double = |zone: &&str| {
            voters.iter().filter(|voter| cluster.deployment.place(**voter).zone == *zone).count() == 2
        };
        let hall =
            cluster.deployment.zones().into_iter().find(is_double).expect("five voters in three halls");
        let down = cluster.deployment.in_zone(hall);
        let others = cluster.rotate_without(&cluster.running(), &down);
        down.iter().for_each(|node| cluster.lose_power(*node));
        others.iter().for_each(|node| cluster.lose_power(*node));
        cluster.run(OUTAGE);

        // when
        others.iter().for_each(|node| cluster.start(*node));
        cluster.run(SYNC);

        // then: a voter of that hall is replaced, the other keeps its place
        cluster.assert_voters_tolerate_losses();
        cluster.assert_available();
    }
}

/// Guards against a leader that joined later and takes the place of a voter that it has never seen to be unknown.
#[test]
fn new_machine_knows_the_place_of_a_voter_that_it_never_saw() {
    for seed in SEEDS {
        // given: a voter is lost for good before another machine joins in another hall
        let mut cluster = settled(five_in_five_halls(), seed);
        let lost = cluster.choose(&cluster.running(), 1).0[0];
        cluster.wipe(lost);
        cluster.run(SYNC);
        let seeds = cluster.running();
        cluster.deployment.add_successor(node(JOINING), seeds[0]);
        cluster.join(node(JOINING), &seeds);

        // when
        cluster.run(SYNC);

        // then: it knows it, and does not take the place itself
        let known = cluster.core(node(JOINING)).node_attributes().get(lost).map(|known| known.zone.clone());
        assert_eq!(known.as_deref(), Some(cluster.deployment.place(lost).zone));
        cluster.assert_voters_tolerate_losses();
    }
}

/// Guards against machines outside of the tolerance that vote: any number of them may be lost.
#[test]
fn machines_that_do_not_count_do_not_vote() {
    for seed in SEEDS {
        // given: one machine in each hall does not count, a seed among them
        let mut deployment = nine_in_three_halls(&[1, 4, 7]);
        deployment.not_counting = nodes(&[1, 5, 8]);
        let not_counting = deployment.not_counting.clone();
        let mut cluster = settled(deployment, seed);

        // then
        for shard in cluster.shards() {
            let leader = cluster.leader_of(shard).expect("the shard has a leader");
            let voters = cluster.replica(leader, shard).voters().incoming();
            assert!(not_counting.iter().all(|node| !voters.contains(node)), "{}", cluster.describe());
        }
        not_counting.iter().for_each(|node| cluster.wipe(*node));
        cluster.assert_available();
    }
}

/// Guards against an upgrade one machine at a time that stops the voters: machines of the former release neither announce
/// their place nor take note of others.
#[test]
fn absent_voter_is_replaced_while_some_machines_announce_no_place() {
    for seed in SEEDS {
        // given: no machine announces its place
        let mut cluster = SimulatedCluster::bootstrapped(2, seed);
        cluster.delivery_filter = Some(Box::new(|_, _, message| {
            !matches!(message, CoordinatorMessage::Shard { shard: STREAM, .. })
        }));
        let members = cluster.running();
        members.iter().for_each(|node| cluster.lose_power(*node));
        cluster.deployment.tolerance.zones = 1;
        members.iter().for_each(|node| cluster.start(*node));
        cluster.run(SYNC);

        // when
        let removed = cluster.choose(&members, 1).0[0];
        cluster.wipe(removed);
        cluster.join(node(JOINING), &members);

        // then
        let staying = cluster.rotate_without(&members, &[removed]);
        cluster.await_voters(&[&staying[..], &[node(JOINING)]].concat());
        cluster.assert_available();
    }
}

/// Guards against a checkpoint of the journal that drops what a node knows about machines that are down.
#[test]
fn checkpoint_keeps_the_places_of_all_machines() {
    // given
    let mut cluster = settled(five_in_five_halls(), 1);
    let (down, others) = cluster.choose(&cluster.running(), 1);
    cluster.wipe(down[0]);

    // when: all others write checkpoints and restart
    for node in &others {
        cluster.handle(*node, Event::Persisted { ticket: 0, wants_checkpoint: true });
        cluster.run(TICK);
        cluster.lose_power(*node);
    }
    others.iter().for_each(|node| cluster.start(*node));

    // then
    for node in others {
        assert!(cluster.core(node).node_attributes().get(down[0]).is_some());
    }
}

/// Guards against an unattainable tolerance that nobody hears of: it is logged once, and again when it changes.
#[test]
fn voters_that_do_not_tolerate_the_losses_are_logged_once() {
    // given: two halls, of which one may be lost
    let halls = [(HALLS[0], 3), (HALLS[1], 2)];
    let deployment = Deployment::in_places(Tolerance { hosts: 2, zones: 1, regions: 0 }, &halls, &[1, 2, 4]);

    // when
    let mut cluster = SimulatedCluster::bootstrapped_in(deployment, 1);
    cluster.run(SYNC);
    let logged = cluster.take_state_changes();
    cluster.run(SYNC);

    // then
    let leader = cluster.leader_of(CONFIGURATION).expect("the shard has a leader");
    let last = logged.iter().rev().find_map(|(node, change)| match change {
        StateChange::FaultToleranceChanged { shard: CONFIGURATION, assessment } if *node == leader => {
            Some(assessment)
        }
        _ => None,
    });
    let assessment = last.expect("the assessment is logged");
    assert_eq!((assessment.voters, assessment.minority, assessment.lost_with_zones), (5, 2, 3));
    assert!(!assessment.is_tolerated());
    let is_assessment =
        |(_, change): &(NodeId, StateChange)| matches!(change, StateChange::FaultToleranceChanged { .. });
    assert!(!cluster.take_state_changes().iter().any(is_assessment), "it has not changed since");
    cluster.assert_available();
}
