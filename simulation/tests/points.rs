//! One story for each of the points that the control side must never fail in.

mod common;

use common::{assert_in_service, holder, others, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_protocol::NodeId;
use shaletrail_simulation::history::{has_all_voters, is_whole};
use shaletrail_simulation::network::Conditions;
use shaletrail_simulation::witness::Outcome;
use shaletrail_simulation::{site, Fleet, FleetOptions};

/// How long a repair may take.
const REPAIRED_WITHIN: u64 = 15_000;

fn cut_off(fleet: &mut Fleet, node: NodeId, cut: bool) {
    for other in others(fleet, node) {
        fleet.cut(node, other, cut);
    }
}

/// What the operator was told of a change.
fn outcomes(fleet: &Fleet, change: u64) -> Vec<Outcome> {
    fleet.world.witness.changes[&change].outcomes.iter().map(|(_, outcome)| *outcome).collect()
}

/// Three coordinators of which one may be lost, and five of which two may.
fn sizes(seed: u64) -> [FleetOptions; 2] {
    let three = FleetOptions { seed, ..FleetOptions::default() };
    let five = FleetOptions { coordinators: 5, hosts_lost: 2, ..three.clone() };
    [three, five]
}

#[test]
fn given_a_leader_cut_off_for_twenty_seconds_when_all_reach_it_then_it_informs_confirms_and_refuses_nobody() {
    for options in sizes(1) {
        // given
        let mut fleet = Fleet::ready(options);
        let old = fleet.replace_within(ACKNOWLEDGED_WITHIN);
        let leader = fleet.await_leader();
        let (edge, rest) = (fleet.edges()[0], others(&fleet, leader));
        cut_off(&mut fleet, leader, true);
        let (here, there) = (fleet.write(), fleet.write());
        fleet.send_to(rest[0], there);
        assert!(fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.world.witness.is_acknowledged(there)));

        // when: an edge starts that reaches the cut-off one only, and the operator calls that one all the while
        rest.iter().for_each(|other| fleet.cut(edge, *other, true));
        fleet.run(1_000);
        fleet.kill(edge);
        fleet.start(edge);
        fleet.send_to(leader, here);
        let read = fleet.operator.read(&mut fleet.world, Some(leader));
        let mut requests = Vec::new();
        for _ in 0..40 {
            fleet.run(500);
            requests.push(fleet.ask_plain(edge));
        }

        // then
        assert_eq!(outcomes(&fleet, here), vec![], "{}", fleet.describe());
        assert!(fleet.operator.waits(read), "a cut-off coordinator answers a read\n{}", fleet.describe());
        for request in requests {
            assert_eq!(fleet.status(request), Some(503), "by the routes of {old}\n{}", fleet.describe());
        }

        // and once they are joined
        fleet.join_all();
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
fn given_a_holder_of_orders_that_a_majority_hears_when_one_voter_does_not_then_nobody_takes_its_turn() {
    for seed in 1..=6 {
        for options in sizes(seed) {
            // given
            let mut fleet = Fleet::ready(options);
            let first = holder(&fleet);
            let (one, rest) = {
                let others = others(&fleet, first);
                (others[0], others[1..].to_vec())
            };
            fleet.cut(first, one, true);

            // when: should another one lead, the holder does not hear of that, and orders are wanted all the time
            let mut replaced = false;
            for _ in 0..200 {
                replaced |= holder(&fleet) != first;
                if replaced {
                    rest.iter().for_each(|other| fleet.cut_one_way(*other, first, true));
                }
                for edge in fleet.edges() {
                    let adapter = format!("a{}", 1 + fleet.world.now / 40 % 9);
                    fleet.ask_model(edge, site::AGAIN, 0, Some(&adapter));
                }
                fleet.run(40);
            }

            // then
            assert!(!replaced, "{first} is replaced though a majority hears it\n{}", fleet.describe());
            fleet.join_all();
            fleet.run(3_000);
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn given_two_operators_on_one_version_when_answers_are_lost_and_leaders_change_then_one_wins_for_good() {
    for seed in 1..=4 {
        for options in sizes(seed) {
            // given: two changes at two nodes at once, of which no answer arrives
            let mut fleet = Fleet::ready(options);
            let leader = fleet.await_leader();
            let rest = others(&fleet, leader);
            let (one, other) = (fleet.write(), fleet.write());
            fleet.operator.lost_answers = 1.0;
            fleet.send_first_to(rest[0], one);
            fleet.send_first_to(rest[1], other);
            fleet.run(30);

            // when: they come again while the leader is lost
            fleet.lose_power(leader);
            fleet.run(1_500);
            fleet.operator.lost_answers = 0.0;
            fleet.run(ACKNOWLEDGED_WITHIN);

            // then
            let won = |fleet: &Fleet, change: u64| outcomes(fleet, change).contains(&Outcome::Acknowledged);
            assert!(won(&fleet, one) != won(&fleet, other), "{}", fleet.describe());

            // and after many other changes, another leader, and at every node
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
            let refused = |outcome: &Outcome| matches!(outcome, Outcome::Conflict { .. });
            let lost = outcomes(&fleet, loser);
            assert!(lost.len() == count && lost.iter().all(refused), "{lost:?}\n{}", fleet.describe());
            fleet.check();
        }
    }
}

#[test]
fn given_a_replacement_that_the_cores_count_as_done_when_the_next_is_lost_at_once_then_nothing_is_lost() {
    for seed in 1..=4 {
        for options in sizes(seed) {
            // given
            let mut fleet = Fleet::ready(options);
            for number in 0..3 {
                let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);
                let leader = fleet.await_leader();
                fleet.remove_coordinator(leader);
                fleet.join_coordinator(site::coordinator(10 + number));
                assert!(fleet.run_until(REPAIRED_WITHIN, has_all_voters), "{}", fleet.describe());

                // when: another one loses all that it has, in that moment
                let lost = fleet.await_leader();
                fleet.lose_power(lost);
                fleet.wipe(lost);

                // then
                assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
                assert_in_service(&mut fleet);
                fleet.start(lost);
                assert!(fleet.run_until(REPAIRED_WITHIN, is_whole), "{}", fleet.describe());
            }
            fleet.check();
        }
    }
}

#[test]
fn given_hundreds_of_changes_when_a_member_that_missed_them_is_back_then_it_catches_up_and_leads_with_the_newest(
) {
    for options in sizes(2) {
        // given: a member is away for hundreds of changes, and comes back while more are made
        let mut fleet = Fleet::ready(options);
        let leader = fleet.await_leader();
        let away = others(&fleet, leader)[0];
        fleet.lose_power(away);
        for _ in 0..300 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
        }
        fleet.start(away);
        for _ in 0..30 {
            fleet.replace_within(ACKNOWLEDGED_WITHIN);
        }

        // when: leaders are killed, one after the other, until it leads
        assert!(fleet.run_until(REPAIRED_WITHIN, is_whole), "{}", fleet.describe());
        let newest = fleet.replace_within(ACKNOWLEDGED_WITHIN);
        for _ in 0..20 {
            let leader = fleet.await_leader();
            if leader == away {
                break;
            }
            fleet.kill(leader);
            fleet.run(1_000);
            fleet.start(leader);
            assert!(fleet.run_until(REPAIRED_WITHIN, is_whole), "{}", fleet.describe());
        }

        // then
        assert_eq!(fleet.await_leader(), away, "{}", fleet.describe());
        assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), newest, "{}", fleet.describe());
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn given_a_coordinator_that_starts_again_when_the_answer_to_its_former_call_is_late_then_no_other_caller_gets_it(
) {
    for seed in 1..=8 {
        // given: a coordinator whose first call is out at the leader, whose answers are late
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let asker = others(&fleet, leader)[0];
        fleet.restart(asker);
        fleet.run(1_000);
        let late = Conditions { delay: 200..=200, loss: 0.0 };
        fleet.world.network.set_special((leader, asker), late);
        let change = fleet.write();
        fleet.send_first_to(asker, change);
        fleet.run(20);

        // when: it starts again, and its first call is another one
        fleet.restart(asker);
        let call = if seed % 2 == 0 {
            fleet.operator.read(&mut fleet.world, Some(asker))
        } else {
            let other = fleet.write();
            fleet.send_to(asker, other);
            other
        };
        fleet.run(ACKNOWLEDGED_WITHIN);

        // then
        assert!(fleet.world.witness.is_acknowledged(change), "{}", fleet.describe());
        if seed % 2 == 0 {
            let read = fleet.world.witness.reads.iter().find(|read| read.call == call).expect("an answer");
            assert_eq!(site::marked(&read.document), Some(change), "{}", fleet.describe());
        } else {
            let refused = outcomes(&fleet, call);
            assert!(matches!(refused[..], [Outcome::Conflict { .. }]), "{refused:?}\n{}", fleet.describe());
        }
        fleet.check();
    }
}

#[test]
fn given_a_change_that_one_of_two_has_not_synced_when_all_lose_power_and_the_other_its_disk_then_nothing_is_lost(
) {
    for seed in 1..=4 {
        for leader_syncs in [false, true] {
            // given: a change that the third hears late, and a disk that hangs
            let mut fleet = ready(seed);
            let leader = fleet.await_leader();
            let (near, late) = (others(&fleet, leader)[0], others(&fleet, leader)[1]);
            let (hanging, other) = if leader_syncs { (near, leader) } else { (leader, near) };
            fleet.world.network.set_special((leader, late), Conditions { delay: 400..=400, loss: 0.0 });
            fleet.set_disk_stalled(hanging, true);
            let change = fleet.replace();
            fleet.run_until(300, |fleet| fleet.world.witness.is_acknowledged(change));

            // when
            fleet.lose_all(true);
            fleet.set_disk_stalled(hanging, false);
            fleet.wipe(other);
            fleet.world.network.clear_special();
            fleet.run(500);
            fleet.start_missing();

            // then
            let answered = fleet.run_until(6_000, |fleet| fleet.world.witness.outcome(change).is_some());
            assert!(answered, "{}", fleet.describe());
            assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}

#[test]
fn given_a_leader_lost_as_it_acknowledges_when_the_next_one_is_read_from_its_first_moment_on_then_no_read_is_old(
) {
    for seed in 1..=8 {
        // given: a change that the others hold, and do not know to be committed
        let mut fleet = ready(seed);
        let leader = fleet.await_leader();
        let rest = others(&fleet, leader);
        for other in &rest {
            fleet.world.network.set_special((leader, *other), Conditions { delay: 10..=10, loss: 0.0 });
        }
        fleet.replace_within(ACKNOWLEDGED_WITHIN);
        fleet.lose_power(leader);

        // when: the next one's first entry takes long to be safe
        for other in &rest {
            fleet.set_disk_speed(*other, 100..=120);
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
        assert!(!fleet.world.witness.reads.is_empty(), "{}", fleet.describe());
        fleet.check();
    }
}
