//! Coordinators are replaced and lose their disks, and one more is lost in the very moment in which that is made good.

mod common;
mod fleet;

use common::node;
use fleet::{Fleet, FAREWELL};
use shaletrail_consensus::Message;
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::Event;
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};

/// How long a machine that is back, or new, counts as lost (`syncS`), in the deployments with one and with two losses.
const SYNC: [Millis; 2] = [4_000, 6_000];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Longer than it takes until a lost machine is absent for the others.
const NOTICED: Millis = 3_000;
/// Longer than a member that is absent is remembered.
const FORGOTTEN: Millis = 70_000;

fn nodes(numbers: &[u8]) -> Vec<NodeId> {
    numbers.iter().map(|number| node(*number)).collect()
}

/// The machines without some of them, in an order that differs by the seed.
fn rest(fleet: &mut Fleet, of: &[NodeId], without: &[NodeId]) -> Vec<NodeId> {
    let mut rest: Vec<NodeId> = of.iter().copied().filter(|node| !without.contains(node)).collect();
    let turn = fleet.below(rest.len() as u64) as usize;
    rest.rotate_left(turn);
    rest
}

/// What a second loss does to a machine.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It loses power and does not come back.
    ForGood,
    /// It loses its disk and starts anew at once.
    Disk,
}

impl Loss {
    fn strike(self, fleet: &mut Fleet, node: NodeId) {
        fleet.wipe(node);
        if let Loss::Disk = self {
            fleet.start(node);
        }
    }
}

/// Machines are removed for good and others join; in the moment in which the voters of all shards are changed, as many
/// are lost again. The time from the start of the newcomers to that moment.
fn replace_then_lose(hosts_lost: usize, seed: u64, loss: Loss) -> Millis {
    // given
    let mut fleet = Fleet::founded(hosts_lost, seed);
    let first = fleet.running();
    let removed = rest(&mut fleet, &first, &[])[..hosts_lost].to_vec();
    fleet.change();
    removed.iter().for_each(|node| fleet.wipe(*node));
    let newcomers: Vec<NodeId> = (0..hosts_lost as u8).map(|number| node(20 + number)).collect();
    let started = fleet.now;
    newcomers.iter().for_each(|newcomer| fleet.join(*newcomer, &first));

    // when
    let voters = [rest(&mut fleet, &first, &removed), newcomers.clone()].concat();
    fleet.await_voters(&voters);
    let replaced_within = fleet.now - started;
    let lost = rest(&mut fleet, &voters, &[])[..hosts_lost].to_vec();
    lost.iter().for_each(|node| loss.strike(&mut fleet, *node));

    // then
    fleet.assert_in_service();
    replaced_within
}

#[test]
fn given_a_replacement_when_another_machine_is_lost_for_good_in_the_moment_it_is_done_then_nothing_is_lost() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            replace_then_lose(hosts_lost, seed, Loss::ForGood);
        }
    }
}

#[test]
fn given_a_replacement_when_another_disk_is_lost_in_the_moment_it_is_done_then_nothing_is_lost() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            replace_then_lose(hosts_lost, seed, Loss::Disk);
        }
    }
}

#[test]
fn given_a_replacement_when_it_begins_then_all_shards_have_changed_before_one_more_may_be_lost() {
    for (hosts_lost, bound) in [1, 2].into_iter().zip(SYNC) {
        let longest = SEEDS.map(|seed| replace_then_lose(hosts_lost, seed, Loss::ForGood)).max();
        println!("{hosts_lost} replaced within {longest:?} ms of their start");
        assert!(longest.is_some_and(|longest| longest < bound), "{longest:?}");
    }
}

#[test]
fn given_a_lost_disk_when_another_machine_is_lost_in_the_moment_of_the_readmission_then_nothing_is_lost() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            for loss in [Loss::ForGood, Loss::Disk] {
                // given
                let mut fleet = Fleet::founded(hosts_lost, seed);
                let voters = fleet.running();
                fleet.change();
                let wiped = rest(&mut fleet, &voters, &[])[..hosts_lost].to_vec();
                wiped.iter().for_each(|node| Loss::Disk.strike(&mut fleet, *node));

                // when: their disks say so
                let readmitted = fleet.run_until(SYNC[hosts_lost - 1], |fleet| {
                    wiped.iter().all(|node| !fleet.is_forgetful_on_disk(*node))
                });
                assert!(readmitted, "{}", fleet.describe());
                let lost = rest(&mut fleet, &voters, &wiped)[..hosts_lost].to_vec();
                lost.iter().for_each(|node| loss.strike(&mut fleet, *node));

                // then
                fleet.assert_in_service();
            }
        }
    }
}

#[test]
fn given_a_voter_lost_long_ago_when_a_machine_joins_then_it_takes_its_place() {
    for seed in SEEDS {
        // given: nobody remembers the member
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        let removed = rest(&mut fleet, &first, &[])[0];
        fleet.wipe(removed);
        fleet.run(FORGOTTEN);

        // when
        let staying = rest(&mut fleet, &first, &[removed]);
        fleet.join(node(20), &first);
        fleet.run(SYNC[0]);

        // then
        assert!(fleet.has_voters(&[&staying[..], &[node(20)]].concat()), "{}", fleet.describe());
        fleet.wipe(staying[0]);
        fleet.assert_in_service();
    }
}

#[test]
fn given_a_voter_that_no_running_process_has_ever_heard_when_a_machine_joins_then_it_takes_its_place() {
    for seed in SEEDS {
        // given: all lose power, and one of them does not come back
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        let removed = rest(&mut fleet, &first, &[])[0];
        let staying = rest(&mut fleet, &first, &[removed]);
        fleet.wipe(removed);
        staying.iter().for_each(|node| fleet.lose_power(*node));
        fleet.run(500);
        staying.iter().for_each(|node| fleet.start(*node));

        // when
        fleet.join(node(20), &first);
        fleet.run(SYNC[0]);

        // then
        assert!(fleet.has_voters(&[&staying[..], &[node(20)]].concat()), "{}", fleet.describe());
        fleet.wipe(staying[0]);
        fleet.assert_in_service();
    }
}

#[test]
fn given_two_removed_and_replaced_when_a_newcomer_leads_then_it_replaces_the_one_it_never_heard() {
    for seed in SEEDS {
        // given: one of two lost voters is replaced
        let mut fleet = Fleet::founded(2, seed);
        let first = fleet.running();
        let removed = rest(&mut fleet, &first, &[])[..2].to_vec();
        let staying = rest(&mut fleet, &first, &removed);
        removed.iter().for_each(|node| fleet.wipe(*node));
        fleet.join(node(20), &first);
        let has_come_in = |fleet: &Fleet| {
            fleet.shards().all(|shard| {
                let leader = fleet.leader_of(shard);
                leader.is_some_and(|leader| {
                    let replica = fleet.replica(leader, shard);
                    !replica.is_changing_voters() && replica.voters().contains(node(20))
                })
            })
        };
        assert!(fleet.run_until(SYNC[1], has_come_in), "{}", fleet.describe());

        // when: all of them start anew, so that nobody remembers the other one
        let running = fleet.running();
        running.iter().for_each(|node| fleet.lose_power(*node));
        running.iter().for_each(|node| fleet.start(*node));
        fleet.join(node(21), &running[..3]);
        fleet.run(SYNC[1]);

        // then
        assert!(fleet.has_voters(&[&staying[..], &nodes(&[20, 21])].concat()), "{}", fleet.describe());
        fleet.wipe(staying[0]);
        fleet.wipe(staying[1]);
        fleet.assert_in_service();
    }
}

#[test]
fn given_a_machine_that_leaves_as_planned_when_its_successor_is_there_then_one_more_may_be_lost_at_once() {
    for seed in SEEDS {
        // given: the successor has had its time
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        fleet.join(node(20), &first);
        fleet.run(SYNC[0]);
        fleet.change();

        // when: a machine is told to end, and as soon as it has, another is lost
        let leaving = rest(&mut fleet, &first, &[])[0];
        fleet.tell_to_end(leaving);
        fleet.run(FAREWELL);
        fleet.wipe(leaving);
        let staying = rest(&mut fleet, &first, &[leaving]);
        fleet.wipe(staying[0]);

        // then
        fleet.assert_in_service();
    }
}

#[test]
fn given_changes_all_the_time_when_a_newcomer_has_a_slow_disk_then_it_takes_the_place_of_the_lost_one() {
    for seed in SEEDS {
        // given
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        let removed = rest(&mut fleet, &first, &[])[0];
        let staying = rest(&mut fleet, &first, &[removed]);
        fleet.wipe(removed);

        // when
        let end = fleet.now + SYNC[0];
        fleet.add(node(20), &first);
        fleet.machine(node(20)).sync_ms = 150;
        fleet.start(node(20));
        while fleet.now < end {
            fleet.change();
        }

        // then
        let voters = [&staying[..], &[node(20)]].concat();
        assert!(fleet.has_voters_in(CONFIGURATION, &voters), "{}", fleet.describe());
    }
}

#[test]
fn given_a_newcomer_with_a_slow_disk_when_one_more_is_lost_in_the_moment_it_comes_in_then_nothing_is_lost() {
    for hosts_lost in [1, 2] {
        for seed in SEEDS {
            // given: the loss has been noticed before anybody joins
            let mut fleet = Fleet::founded(hosts_lost, seed);
            let first = fleet.running();
            let removed = rest(&mut fleet, &first, &[])[..hosts_lost].to_vec();
            let staying = rest(&mut fleet, &first, &removed);
            removed.iter().for_each(|node| fleet.wipe(*node));
            fleet.run(NOTICED);
            fleet.change();

            // when
            let newcomers: Vec<NodeId> = (0..hosts_lost as u8).map(|number| node(20 + number)).collect();
            for newcomer in &newcomers {
                fleet.add(*newcomer, &first);
                fleet.machine(*newcomer).sync_ms = 600;
                fleet.start(*newcomer);
            }
            fleet.await_voters(&[&staying[..], &newcomers].concat());
            staying[..hosts_lost].iter().for_each(|node| fleet.wipe(*node));

            // then
            fleet.assert_in_service();
        }
    }
}

/// Whether a message brings entries or the state of the configuration's shard.
fn brings_configuration(message: &CoordinatorMessage) -> bool {
    let CoordinatorMessage::Shard { shard: CONFIGURATION, body } = message else { return false };
    matches!(bitcode::decode(body), Ok(Message::Append { .. } | Message::InstallSnapshot { .. }))
}

#[test]
fn given_a_newcomer_that_gets_no_entries_when_a_voter_is_lost_then_it_comes_in_once_it_has_them() {
    for seed in SEEDS {
        // given: a newcomer that was brought up to date once
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        fleet.join(node(20), &first);
        fleet.run(SYNC[0]);
        fleet.filter = Some(Box::new(|_, to, message| to != node(20) || !brings_configuration(message)));
        (0..40).for_each(|_| fleet.change());

        // when
        let removed = rest(&mut fleet, &first, &[])[0];
        fleet.wipe(removed);
        fleet.run(SYNC[0]);
        (0..40).for_each(|_| fleet.change());

        // then
        let leader = fleet.leader_of(CONFIGURATION).expect("a leader");
        assert!(!fleet.replica(leader, CONFIGURATION).voters().contains(node(20)), "{}", fleet.describe());
        fleet.filter = None;
        let staying = rest(&mut fleet, &first, &[removed]);
        fleet.await_voters(&[&staying[..], &[node(20)]].concat());
        fleet.wipe(staying[0]);
        fleet.assert_in_service();
    }
}

#[test]
fn given_a_newcomer_that_is_silent_when_a_voter_is_lost_then_it_does_not_come_in() {
    for seed in SEEDS {
        // given: a newcomer that was brought up to date, and has just lost power
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        fleet.join(node(20), &first);
        fleet.run(SYNC[0]);
        fleet.lose_power(node(20));
        fleet.run(1_000);

        // when
        let leaving = rest(&mut fleet, &first, &[])[0];
        fleet.tell_to_end(leaving);
        fleet.run(FAREWELL);
        fleet.lose_power(leaving);

        // then
        let is_voter = |fleet: &Fleet, shard: u32| {
            fleet
                .leader_of(shard)
                .is_some_and(|leader| fleet.replica(leader, shard).voters().contains(node(20)))
        };
        let came_in = fleet.run_until(3_000, |fleet| fleet.shards().any(|shard| is_voter(fleet, shard)));
        assert!(!came_in, "{}", fleet.describe());
    }
}

/// A change that one voter has not heard is acknowledged. All lose power, and the other follower comes back changed by
/// `harm`, with the one that is behind; the former leader comes later.
fn lose_power_around(seed: u64, harm: impl Fn(&mut Fleet, NodeId)) {
    // given
    let mut fleet = Fleet::founded(1, seed);
    let leader = fleet.leader_of(CONFIGURATION).expect("a leader");
    let voters = fleet.running();
    let followers = rest(&mut fleet, &voters, &[leader]);
    let (late, harmed) = (followers[0], followers[1]);
    fleet.isolate(late);
    fleet.change();

    // when
    voters.iter().for_each(|node| fleet.lose_power(*node));
    harm(&mut fleet, harmed);
    fleet.cuts.clear();
    fleet.start(late);
    fleet.start(harmed);
    fleet.run(3_000);

    // then
    assert!(fleet.is_forgetful_on_disk(harmed), "{}", fleet.describe());
    assert_eq!(fleet.leader_of(CONFIGURATION), None, "seed {seed}");
    fleet.start(leader);
    fleet.assert_in_service();
}

#[test]
fn given_a_change_on_two_disks_when_one_of_them_is_lost_and_all_lose_power_then_nothing_is_lost() {
    SEEDS.for_each(|seed| lose_power_around(seed, |fleet, harmed| fleet.wipe(harmed)));
}

#[test]
fn given_a_change_on_two_disks_when_one_cannot_be_read_and_all_lose_power_then_nothing_is_lost() {
    SEEDS.for_each(|seed| lose_power_around(seed, |fleet, harmed| fleet.garble(harmed, CONFIGURATION)));
}

#[test]
fn given_a_change_on_a_leaving_disk_and_one_more_when_that_one_is_lost_after_it_then_nothing_is_lost() {
    for seed in SEEDS {
        // given: a third voter that gets everything late
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        fleet.join(node(20), &first);
        fleet.run(SYNC[0]);
        let order = rest(&mut fleet, &first, &[]);
        let (leaving, lost, late) = (order[0], order[1], order[2]);
        fleet.machine(late).sync_ms = 250;
        fleet.change();

        // when
        fleet.tell_to_end(leaving);
        fleet.run(FAREWELL);
        fleet.wipe(leaving);
        fleet.await_voters(&[lost, late, node(20)]);
        fleet.wipe(lost);

        // then
        fleet.assert_in_service();
    }
}

#[test]
fn given_a_voter_cut_off_when_it_was_replaced_meanwhile_then_it_disturbs_nobody_and_one_more_may_be_lost() {
    for seed in SEEDS {
        // given
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        let away = rest(&mut fleet, &first, &[])[0];
        fleet.join(node(20), &first);
        fleet.isolate(away);
        fleet.run(20_000);
        let voters = [&rest(&mut fleet, &first, &[away])[..], &[node(20)]].concat();
        fleet.await_voters(&voters);
        let terms: Vec<u64> = fleet.shards().map(|shard| fleet.replica(voters[0], shard).term()).collect();

        // when
        fleet.cuts.clear();
        fleet.run(SYNC[0]);

        // then
        let after: Vec<u64> = fleet.shards().map(|shard| fleet.replica(voters[0], shard).term()).collect();
        assert_eq!(after, terms);
        assert!(fleet.has_voters(&voters), "{}", fleet.describe());
        fleet.wipe(voters[0]);
        fleet.assert_in_service();
    }
}

#[test]
fn given_seeds_that_name_only_one_that_is_cut_off_when_it_is_back_then_the_newcomer_is_found() {
    for seed in SEEDS {
        let mut fleet = Fleet::founded(1, seed);
        let first = fleet.running();
        let away = rest(&mut fleet, &first, &[])[0];
        fleet.join(node(20), &[away]);
        fleet.isolate(away);
        fleet.run(5_000);
        fleet.cuts.clear();
        fleet.run(SYNC[0]);
        let removed = rest(&mut fleet, &first, &[away])[0];
        fleet.wipe(removed);
        let staying = rest(&mut fleet, &first, &[removed]);
        fleet.await_voters(&[&staying[..], &[node(20)]].concat());
        fleet.assert_in_service();
    }
}

/// Machines are removed and replaced or lose their disks, one round after the other; in each round the losses begin in
/// the moment in which the last ones are made good.
fn play(hosts_lost: usize, seed: u64) {
    let mut fleet = Fleet::founded(hosts_lost, seed);
    let mut voters = fleet.running();
    let mut next_machine = 20;
    for _ in 0..8 {
        let struck = rest(&mut fleet, &voters, &[])[..hosts_lost].to_vec();
        for lost in &struck {
            fleet.wipe(*lost);
            if fleet.below(2) == 0 {
                fleet.start(*lost);
                continue;
            }
            voters.retain(|voter| voter != lost);
            let pause = fleet.below(2_500);
            fleet.run(pause);
            let newcomer = node(next_machine);
            next_machine += 1;
            let seeds = fleet.running();
            fleet.add(newcomer, &seeds);
            fleet.machine(newcomer).sync_ms = 3 + fleet.below(100);
            fleet.start(newcomer);
            voters.push(newcomer);
        }
        if fleet.below(2) == 0 {
            fleet.assert_in_service();
        }
        fleet.await_voters(&voters);
        let is_remembered = |fleet: &Fleet| voters.iter().all(|voter| !fleet.is_forgetful_on_disk(*voter));
        assert!(fleet.run_until(6_000, is_remembered), "seed {seed}: {}", fleet.describe());
    }
    fleet.assert_in_service();
}

#[test]
fn given_losses_in_a_row_when_each_begins_as_the_last_is_made_good_then_nothing_is_lost() {
    for hosts_lost in [1, 2] {
        for seed in 1..=histories() {
            println!("{hosts_lost} lost at once, seed {seed}");
            play(hosts_lost, seed);
        }
    }
}

/// Histories of each kind: `SHALETRAIL_SEEDS`, or a few.
fn histories() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(4)
}

#[test]
fn given_a_founding_in_any_order_when_it_is_over_then_all_coordinators_vote_before_traffic_comes() {
    for hosts_lost in [1, 2] {
        for seed in 1..=8 {
            // given, when
            let mut fleet = Fleet::founded(hosts_lost, seed);
            let voters = fleet.running();
            let founded_within = fleet.now - fleet::BEGINNING;

            // then
            assert!(founded_within < 5_000, "seed {seed}: {founded_within}");
            let lost = rest(&mut fleet, &voters, &[])[..hosts_lost].to_vec();
            lost.iter().for_each(|node| fleet.wipe(*node));
            fleet.assert_in_service();
        }
    }
}

#[test]
fn given_a_leader_when_it_is_told_to_end_or_its_disk_is_sick_then_another_leads_before_its_lease_is_over() {
    for seed in SEEDS {
        for sick in [false, true] {
            let mut fleet = Fleet::founded(1, seed);
            let leader = fleet.leader_of(CONFIGURATION).expect("a leader");
            if sick {
                fleet.tell(leader, Event::DiskDegraded { wants_checkpoint: false });
            } else {
                fleet.tell_to_end(leader);
            }
            fleet.run(200);
            let next = fleet.leader_of(CONFIGURATION);
            assert!(next.is_some_and(|next| next != leader), "sick {sick}: {}", fleet.describe());
        }
    }
}
