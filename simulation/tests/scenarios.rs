//! Fixed cases of the scenarios of the randomized histories, most of them with three and with five coordinators.

mod common;

use common::{assert_in_service, order_lease_holder, others, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_protocol::NodeId;
use shaletrail_simulation::history::{has_all_voters, is_fully_replicated};
use shaletrail_simulation::network::Conditions;
use shaletrail_simulation::observer::Outcome;
use shaletrail_simulation::{fixtures, Fleet, FleetOptions};

/// Time within which a failure must be repaired, in milliseconds.
const REPAIRED_WITHIN: u64 = 15_000;

fn isolate(fleet: &mut Fleet, node: NodeId, partitioned: bool) {
    for other in others(fleet, node) {
        fleet.partition(node, other, partitioned);
    }
}

/// The outcomes of a change that the operator received, in order.
fn outcomes(fleet: &Fleet, change: u64) -> Vec<Outcome> {
    fleet.world.observer.changes[&change].outcomes.iter().map(|(_, outcome)| *outcome).collect()
}

/// Options of a fleet of three coordinators that tolerates one failure, and of one of five that tolerates two.
fn fleet_sizes(seed: u64) -> [FleetOptions; 2] {
    let three = FleetOptions { seed, ..FleetOptions::default() };
    let five = FleetOptions { coordinators: 5, hosts_lost: 2, ..three.clone() };
    [three, five]
}

#[test]
fn leader_isolated_for_20_s_answers_nobody() {
    for options in fleet_sizes(1) {
        // given
        let mut fleet = Fleet::ready(options);
        let old = fleet.replace_within(ACKNOWLEDGED_WITHIN);
        let leader = fleet.await_leader();
        let (edge, rest) = (fleet.edges()[0], others(&fleet, leader));
        isolate(&mut fleet, leader, true);
        let (here, there) = (fleet.create_change(), fleet.create_change());
        fleet.send_only_to(rest[0], there);
        assert!(fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.world.observer.is_acknowledged(there)));

        // when: an edge restarts that reaches only the isolated leader, and the operator keeps calling this leader
        rest.iter().for_each(|other| fleet.partition(edge, *other, true));
        fleet.run(1_000);
        fleet.kill(edge);
        fleet.start(edge);
        fleet.send_only_to(leader, here);
        let read = fleet.operator.read(&mut fleet.world, Some(leader));
        let mut requests = Vec::new();
        for _ in 0..40 {
            fleet.run(500);
            requests.push(fleet.request_web(edge));
        }

        // then
        assert_eq!(outcomes(&fleet, here), vec![], "{}", fleet.describe());
        assert!(
            fleet.operator.is_pending(read),
            "an isolated coordinator answered a read\n{}",
            fleet.describe()
        );
        for request in requests {
            assert_eq!(
                fleet.status(request),
                Some(503),
                "the edge applied the superseded change {old}\n{}",
                fleet.describe()
            );
        }

        // then: the former leader catches up once the partition heals
        fleet.heal_partitions();
        fleet.run(3_000);
        assert_eq!(
            outcomes(&fleet, here),
            vec![Outcome::Conflict { current: fleet.operator.known_version() }]
        );
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn lease_holder_with_majority_is_not_replaced() {
    for seed in 1..=6 {
        for options in fleet_sizes(seed) {
            // given
            let mut fleet = Fleet::ready(options);
            let first = order_lease_holder(&fleet);
            let (one, rest) = {
                let others = others(&fleet, first);
                (others[0], others[1..].to_vec())
            };
            fleet.partition(first, one, true);

            // when: orders are needed throughout. If another node becomes leader, the former one is cut off from its messages.
            let mut replaced = false;
            for _ in 0..200 {
                replaced |= order_lease_holder(&fleet) != first;
                if replaced {
                    rest.iter().for_each(|other| fleet.partition_one_way(*other, first, true));
                }
                for edge in fleet.edges() {
                    let adapter = format!("a{}", 1 + fleet.world.now / 40 % 9);
                    fleet.request_model(edge, fixtures::IDEMPOTENT_PATH, 0, Some(&adapter));
                }
                fleet.run(40);
            }

            // then
            assert!(!replaced, "{first} was replaced although it reaches a majority\n{}", fleet.describe());
            fleet.heal_partitions();
            fleet.run(3_000);
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn concurrent_change_outcome_is_final() {
    for seed in 1..=4 {
        for options in fleet_sizes(seed) {
            // given: two concurrent changes at two coordinators, whose responses are all lost
            let mut fleet = Fleet::ready(options);
            let leader = fleet.await_leader();
            let rest = others(&fleet, leader);
            let (one, other) = (fleet.create_change(), fleet.create_change());
            fleet.operator.response_loss = 1.0;
            fleet.send_first_to(rest[0], one);
            fleet.send_first_to(rest[1], other);
            fleet.run(30);

            // when: the leader loses power and the operator retries
            fleet.lose_power(leader);
            fleet.run(1_500);
            fleet.operator.response_loss = 0.0;
            fleet.run(ACKNOWLEDGED_WITHIN);

            // then
            let won = |fleet: &Fleet, change: u64| outcomes(fleet, change).contains(&Outcome::Acknowledged);
            assert!(won(&fleet, one) != won(&fleet, other), "{}", fleet.describe());

            // then: every coordinator repeats the same outcomes, also after many changes and a change of the leader
            let (winner, loser) = if won(&fleet, one) { (one, other) } else { (other, one) };
            fleet.start(leader);
            for _ in 0..60 {
                fleet.replace_within(ACKNOWLEDGED_WITHIN);
            }
            let second = fleet.await_leader();
            fleet.terminate(second);
            for node in fleet.coordinators() {
                fleet.send_first_to(node, winner);
                fleet.send_first_to(node, loser);
            }
            fleet.run(ACKNOWLEDGED_WITHIN);
            let count = fleet.coordinators().len() + 1;
            assert_eq!(outcomes(&fleet, winner), vec![Outcome::Acknowledged; count], "{}", fleet.describe());
            let rejected = |outcome: &Outcome| matches!(outcome, Outcome::Conflict { .. });
            let lost = outcomes(&fleet, loser);
            assert!(lost.len() == count && lost.iter().all(rejected), "{lost:?}\n{}", fleet.describe());
            fleet.check();
        }
    }
}

#[test]
fn loss_right_after_replacement_loses_nothing() {
    for seed in 1..=4 {
        for options in fleet_sizes(seed) {
            // given
            let mut fleet = Fleet::ready(options);
            for number in 0..3 {
                let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);
                let leader = fleet.await_leader();
                fleet.remove_coordinator(leader);
                fleet.join_coordinator(fixtures::coordinator(10 + number));
                assert!(fleet.run_until(REPAIRED_WITHIN, has_all_voters), "{}", fleet.describe());

                // when: the leader loses power and its disk as soon as the replacement votes
                let lost = fleet.await_leader();
                fleet.lose_power(lost);
                fleet.lose_disk(lost);

                // then
                assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
                assert_in_service(&mut fleet);
                fleet.start(lost);
                assert!(fleet.run_until(REPAIRED_WITHIN, is_fully_replicated), "{}", fleet.describe());
            }
            fleet.check();
        }
    }
}

#[test]
fn returning_member_catches_up_and_leads() {
    for options in fleet_sizes(2) {
        // given: a coordinator that is down for hundreds of changes and restarts while changes continue
        let mut fleet = Fleet::ready(options);
        let leader = fleet.await_leader();
        let returning = others(&fleet, leader)[0];
        fleet.lose_power(returning);
        for _ in 0..300 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
        }
        fleet.start(returning);
        for _ in 0..30 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
        }

        // when: one leader after another is killed until it leads
        assert!(fleet.run_until(REPAIRED_WITHIN, is_fully_replicated), "{}", fleet.describe());
        let newest = fleet.replace_within(ACKNOWLEDGED_WITHIN);
        for _ in 0..20 {
            let leader = fleet.await_leader();
            if leader == returning {
                break;
            }
            fleet.kill(leader);
            fleet.run(1_000);
            fleet.start(leader);
            assert!(fleet.run_until(REPAIRED_WITHIN, is_fully_replicated), "{}", fleet.describe());
        }

        // then
        assert_eq!(fleet.await_leader(), returning, "{}", fleet.describe());
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), newest, "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn late_response_reaches_no_other_caller() {
    for seed in 1..=8 {
        // given: a coordinator that has forwarded its first call to the leader, whose responses are delayed
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let caller = others(&fleet, leader)[0];
        fleet.restart(caller);
        fleet.run(1_000);
        let late = Conditions { delay: 200..=200, loss: 0.0 };
        fleet.world.network.set_link_conditions((leader, caller), late);
        let change = fleet.create_change();
        fleet.send_first_to(caller, change);
        fleet.run(20);

        // when: the coordinator restarts, and its first call is a different one
        fleet.restart(caller);
        let call = if seed % 2 == 0 {
            fleet.operator.read(&mut fleet.world, Some(caller))
        } else {
            let other = fleet.create_change();
            fleet.send_only_to(caller, other);
            other
        };
        fleet.run(ACKNOWLEDGED_WITHIN);

        // then
        assert!(fleet.world.observer.is_acknowledged(change), "{}", fleet.describe());
        if seed % 2 == 0 {
            let read = fleet
                .world
                .observer
                .reads
                .iter()
                .find(|read| read.call == call)
                .expect("the read is answered");
            assert_eq!(fixtures::change_in_document(&read.document), Some(change), "{}", fleet.describe());
        } else {
            let rejected = outcomes(&fleet, call);
            assert!(matches!(rejected[..], [Outcome::Conflict { .. }]), "{rejected:?}\n{}", fleet.describe());
        }
        fleet.check();
    }
}

#[test]
fn unsynced_change_is_not_acknowledged() {
    for seed in 1..=4 {
        for leader_syncs in [false, true] {
            // given: one voter has a stalled disk and another one receives the change late, so that only one voter can sync it
            let mut fleet = ready(seed);
            let leader = fleet.await_leader();
            let (near, late) = (others(&fleet, leader)[0], others(&fleet, leader)[1]);
            let (stalled, other) = if leader_syncs { (near, leader) } else { (leader, near) };
            fleet
                .world
                .network
                .set_link_conditions((leader, late), Conditions { delay: 400..=400, loss: 0.0 });
            fleet.set_disk_stalled(stalled, true);
            let change = fleet.replace();
            fleet.run_until(300, |fleet| fleet.world.observer.is_acknowledged(change));

            // when
            fleet.stop_all(true);
            fleet.set_disk_stalled(stalled, false);
            fleet.lose_disk(other);
            fleet.world.network.clear_link_conditions();
            fleet.run(500);
            fleet.start_stopped();

            // then
            let answered = fleet.run_until(6_000, |fleet| fleet.world.observer.outcome(change).is_some());
            assert!(answered, "{}", fleet.describe());
            assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn new_leader_serves_no_stale_read() {
    for seed in 1..=8 {
        // given: a change that the followers have stored but do not know to be committed
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let rest = others(&fleet, leader);
        for other in &rest {
            fleet
                .world
                .network
                .set_link_conditions((leader, *other), Conditions { delay: 10..=10, loss: 0.0 });
        }
        fleet.replace_within(ACKNOWLEDGED_WITHIN);
        fleet.lose_power(leader);

        // when: the disks are slow, so that the new leader's first entry is committed late, and reads arrive before
        for other in &rest {
            fleet.set_disk_latency(*other, 100..=120);
        }
        let next = |fleet: &Fleet| fleet.leader().is_some_and(|next| next != leader);
        assert!(fleet.run_until(6_000, next), "{}", fleet.describe());
        let next = fleet.await_leader();
        for _ in 0..30 {
            fleet.operator.read(&mut fleet.world, Some(next));
            fleet.run(4);
        }
        fleet.run(1_500);

        // then
        assert!(!fleet.world.observer.reads.is_empty(), "{}", fleet.describe());
        fleet.check();
    }
}
