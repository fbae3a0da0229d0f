//! Coordinators that find, watch and lose each other.

mod fleet;

use fleet::Fleet;
use shaletrail_cluster::membership::{Membership, Options, MAX_MEMBERS, MAX_MESSAGE_RECORDS, MAX_SEEDS};
use shaletrail_protocol::internal::{MemberRecord, MemberState, MembershipMessage};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

const OWN: NodeId = NodeId(1);
const PEER: NodeId = NodeId(2);

fn member(node: NodeId, incarnation: u64, refutation: u64, state: MemberState) -> MemberRecord {
    MemberRecord { node, incarnation: Incarnation(incarnation), refutation, state }
}

fn ping(members: Vec<MemberRecord>) -> MembershipMessage {
    MembershipMessage::Ping { sequence_number: 1, members }
}

fn alone(seeds: &[NodeId]) -> Membership {
    Membership::new(Options::default(), OWN, Incarnation(11), seeds, 0)
}

fn run_idle(membership: &mut Membership, from: Millis, until: Millis) -> Vec<(Millis, NodeId)> {
    let mut sent = Vec::new();
    let mut now = from;
    while now < until {
        membership.tick(now);
        sent.extend(membership.take_sends().into_iter().map(|(node, _)| (now, node)));
        now = membership.next_wake().max(now + 1);
    }
    sent
}

fn assert_all_alive(fleet: &Fleet) {
    let running: Vec<NodeId> = fleet.processes().map(|(node, _)| node).collect();
    for (node, process) in fleet.processes() {
        assert_eq!(process.membership.alive(), running, "as {node} sees it");
        for (other, running) in fleet.processes() {
            let known = process.membership.record(other).map(|record| record.incarnation);
            assert_eq!(known, Some(running.incarnation), "{other} as {node} knows it");
        }
    }
}

#[test]
fn given_three_seeds_when_all_start_within_a_moment_in_any_order_then_all_know_all() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 9);
        for index in [8, 2, 5, 0, 7, 1, 3, 6, 4] {
            fleet.start(index);
            fleet.run(30);
        }
        fleet.run(2500);
        assert_all_alive(&fleet);
    }
}

#[test]
fn given_a_dead_seed_and_a_wrong_one_when_it_comes_up_much_later_then_it_is_found() {
    let mut fleet = Fleet::new(1, 2);
    let late = fleet.machines[1].node;
    fleet.start_with_seeds(0, &[NodeId(77), late]);
    fleet.run(120_000);
    fleet.start_with_seeds(1, &[]);
    fleet.run(1500);
    assert_all_alive(&fleet);
}

#[test]
fn given_a_seed_that_never_answers_when_time_passes_then_it_is_pinged_ever_more_rarely_but_for_ever() {
    let mut membership = alone(&[PEER]);
    let sent: Vec<Millis> = run_idle(&mut membership, 0, 60_000).into_iter().map(|(at, _)| at).collect();
    assert_eq!(sent[..5], [0, 400, 1200, 2200, 3200]);
    assert_eq!(sent.last(), Some(&59_200));
    assert_eq!(membership.alive(), [OWN]);
    assert_eq!(membership.state(PEER), None);
}

#[test]
fn given_a_newcomer_without_common_seeds_when_seeds_are_added_then_the_groups_join() {
    let mut fleet = Fleet::new(2, 4);
    let nodes = fleet.nodes();
    fleet.start_with_seeds(0, &[nodes[1]]);
    fleet.start_with_seeds(1, &[nodes[0]]);
    fleet.start_with_seeds(2, &[nodes[3]]);
    fleet.start_with_seeds(3, &[nodes[2]]);
    fleet.process(0).membership.add_seeds(&[nodes[3]]);
    fleet.run(4000);
    assert_all_alive(&fleet);
}

#[test]
fn given_a_group_when_one_ends_then_it_is_suspected_then_absent_then_forgotten_everywhere() {
    let mut fleet = Fleet::running(3, 5);
    let ended = fleet.machines[4].node;
    fleet.stop(4);
    fleet.run(900);
    assert!(fleet
        .processes()
        .any(|(_, process)| process.membership.state(ended) == Some(MemberState::Suspect)));
    assert!(fleet.processes().all(|(_, process)| process.membership.alive().contains(&ended)));
    fleet.run(1500);
    assert!(fleet.processes().all(|(_, process)| process.membership.state(ended) == Some(MemberState::Dead)));
    assert!(fleet.processes().all(|(_, process)| !process.membership.alive().contains(&ended)));
    fleet.run(65_000);
    assert!(fleet.processes().all(|(_, process)| process.membership.state(ended).is_none()));
}

#[test]
fn given_a_group_when_one_starts_anew_then_its_new_incarnation_supersedes_soon() {
    let mut fleet = Fleet::running(4, 5);
    fleet.stop(2);
    fleet.start(2);
    fleet.run(1500);
    assert_all_alive(&fleet);
}

#[test]
fn given_a_cut_between_two_when_others_reach_both_then_nobody_is_absent_for_the_others() {
    let mut fleet = Fleet::running(5, 5);
    fleet.cut_both(0, 1);
    for _ in 0..100 {
        fleet.run(200);
        let all = fleet.nodes();
        assert!(fleet.processes().all(|(_, process)| process.membership.alive() == all));
    }
}

#[test]
fn given_a_member_cut_off_when_the_cut_heals_then_it_is_alive_again_with_the_same_incarnation() {
    let mut fleet = Fleet::running(6, 4);
    fleet.cut_off(3);
    fleet.run(5000);
    let off = fleet.machines[3].node;
    assert!(!fleet.process(0).membership.alive().contains(&off));
    assert_eq!(fleet.process(3).membership.alive(), [off]);
    fleet.heal();
    fleet.run(3000);
    assert_all_alive(&fleet);
}

#[test]
fn given_a_one_way_cut_when_asked_then_neither_end_counts_as_heard() {
    let mut fleet = Fleet::running(7, 3);
    let nodes = fleet.nodes();
    fleet.cut(0, 1);
    fleet.run(2000);
    let now = fleet.now;
    assert!(!fleet.process(0).membership.has_contact_within(nodes[1], now, 1500));
    assert!(!fleet.process(1).membership.has_contact_within(nodes[0], now, 1500));
    assert!(fleet.process(2).membership.has_contact_within(nodes[0], now, 1500));
}

#[test]
fn given_five_voters_when_some_are_cut_off_then_only_the_side_with_three_reaches_the_majority() {
    let mut fleet = Fleet::running(8, 5);
    let voters = fleet.nodes();
    for minority in [3, 4] {
        (0..3).for_each(|other| fleet.cut_both(minority, other));
    }
    fleet.run(3000);
    let now = fleet.now;
    let reaching: Vec<bool> = fleet
        .processes()
        .map(|(_, process)| process.membership.has_quorum_contact(now, &voters, 1500))
        .collect();
    assert_eq!(reaching, [true, true, true, false, false]);
}

#[test]
fn given_no_voters_when_asked_for_the_majority_then_it_is_not_reached() {
    assert!(!alone(&[]).has_quorum_contact(0, &[], 1500));
    assert!(alone(&[]).has_quorum_contact(0, &[OWN, OWN], 1500));
    assert!(!alone(&[]).has_quorum_contact(0, &[OWN, PEER], 1500));
}

#[test]
fn given_a_coordinator_that_stood_still_when_it_goes_on_then_it_calls_nobody_absent() {
    let mut fleet = Fleet::running(9, 5);
    fleet.freeze(0);
    fleet.run(10_000);
    fleet.thaw(0);
    for _ in 0..100 {
        fleet.run(20);
        assert_eq!(fleet.process(0).membership.alive().len(), 5);
    }
    assert_all_alive(&fleet);
}

#[test]
fn given_a_large_group_when_it_is_calm_then_each_member_is_pinged_by_a_few_and_messages_are_bounded() {
    let mut fleet = Fleet::new(10, 40);
    (0..40).for_each(|index| fleet.start(index));
    fleet.run(8000);
    assert_all_alive(&fleet);
    assert!(fleet.most_records <= MAX_MESSAGE_RECORDS);
}

#[test]
fn given_a_member_when_it_is_pinged_by_its_monitors_only_then_others_send_it_nothing() {
    let mut membership = alone(&[]);
    let others = (2..=9).map(|node| member(NodeId(node), 1, 0, MemberState::Alive)).collect();
    membership.receive(0, PEER, ping(others));
    membership.take_sends();
    let sent = run_idle(&mut membership, 0, 199);
    assert!((1..=6).contains(&sent.len()), "{} of 8 members are pinged", sent.len());
}

#[test]
fn given_a_suspicion_against_this_node_when_it_hears_of_it_then_it_refutes() {
    let mut membership = alone(&[]);
    let told = vec![member(PEER, 21, 0, MemberState::Alive), member(OWN, 11, 4, MemberState::Suspect)];
    membership.receive(100, PEER, ping(told));
    let (_, answer) = membership.take_sends().pop().expect("a ping is answered");
    let MembershipMessage::Ack { sequence_number: 1, members } = answer else {
        panic!("not the answer: {answer:?}")
    };
    assert_eq!(members[0], member(OWN, 11, 5, MemberState::Alive));
}

#[test]
fn given_a_suspicion_against_a_former_start_when_this_node_hears_of_it_then_it_does_not_refute() {
    let mut membership = alone(&[]);
    let told = vec![member(PEER, 21, 0, MemberState::Alive), member(OWN, 10, 4, MemberState::Dead)];
    membership.receive(100, PEER, ping(told));
    assert_eq!(membership.members()[0].refutation, 0);
}

#[test]
fn given_another_start_told_by_others_when_the_known_one_is_alive_then_only_the_node_itself_is_believed() {
    let mut membership = alone(&[]);
    membership.receive(0, PEER, ping(vec![member(PEER, 21, 0, MemberState::Alive)]));
    let third = NodeId(3);
    membership.receive(10, third, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    assert_eq!(membership.record(PEER).map(|record| record.incarnation), Some(Incarnation(21)));
    membership.receive(20, PEER, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    assert_eq!(membership.record(PEER).map(|record| record.incarnation), Some(Incarnation(22)));
    membership.receive(30, PEER, ping(vec![member(PEER, 21, 0, MemberState::Alive)]));
    assert_eq!(membership.record(PEER).map(|record| record.incarnation), Some(Incarnation(22)), "a late one");
}

#[test]
fn given_far_too_many_members_and_seeds_when_told_then_what_is_kept_and_sent_is_bounded() {
    let mut membership = alone(&(2..500).map(NodeId).collect::<Vec<_>>());
    for batch in 0..50 {
        let first = 1000 + batch * 30;
        let told = (first..first + 30).map(|node| member(NodeId(node), 1, 0, MemberState::Alive));
        membership.receive(0, NodeId(first), ping(told.collect()));
    }
    assert!(membership.members().len() <= MAX_MEMBERS + 1);
    membership.tick(0);
    let sends = membership.take_sends();
    assert!(sends.len() <= MAX_MEMBERS + MAX_SEEDS + 50);
    for (_, message) in sends {
        let (MembershipMessage::Ping { members, .. } | MembershipMessage::Ack { members, .. }) = message;
        assert!(members.len() <= MAX_MESSAGE_RECORDS);
    }
}

#[test]
fn given_an_answer_to_no_ping_when_it_arrives_then_it_is_no_sign_of_reach() {
    let mut membership = alone(&[PEER]);
    membership.tick(0);
    let members = vec![member(PEER, 21, 0, MemberState::Alive)];
    membership.receive(10, PEER, MembershipMessage::Ack { sequence_number: 123, members });
    assert!(!membership.has_contact_within(PEER, 10, 1000));
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
}

/// A member that answered a ping at 0 and none since.
fn with_one_that_went_quiet() -> Membership {
    let mut membership = alone(&[]);
    membership.receive(0, PEER, ping(vec![member(PEER, 21, 0, MemberState::Alive)]));
    membership.tick(0);
    answer_all(&mut membership, 0);
    membership
}

/// Lets the peer answer all pings that wait to be sent.
fn answer_all(membership: &mut Membership, now: Millis) {
    for (to, message) in membership.take_sends() {
        if let (PEER, MembershipMessage::Ping { sequence_number: number, .. }) = (to, message) {
            membership.receive(
                now,
                PEER,
                MembershipMessage::Ack { sequence_number: number, members: vec![] },
            );
        }
    }
}

#[test]
fn given_a_member_that_went_quiet_when_this_node_stood_still_then_it_is_not_suspected_at_once() {
    let mut membership = with_one_that_went_quiet();
    [200, 400, 600].into_iter().for_each(|now| membership.tick(now));
    membership.tick(20_000);
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
    run_idle(&mut membership, 20_000, 20_800);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
}

#[test]
fn given_a_suspicion_when_this_node_stood_still_then_the_member_is_not_absent_at_once() {
    let mut membership = with_one_that_went_quiet();
    run_idle(&mut membership, 200, 1000);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    membership.tick(20_000);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    run_idle(&mut membership, 20_000, 21_300);
    assert_eq!(membership.state(PEER), Some(MemberState::Dead));
}

#[test]
fn given_a_suspicion_that_was_refuted_elsewhere_when_this_node_hears_nothing_then_it_waits_before_the_next() {
    let mut membership = with_one_that_went_quiet();
    run_idle(&mut membership, 200, 1000);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    membership.receive(1000, NodeId(3), ping(vec![member(PEER, 21, 1, MemberState::Alive)]));
    run_idle(&mut membership, 1000, 3800);
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
    run_idle(&mut membership, 3800, 4600);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
}

#[test]
fn given_a_suspicion_of_others_when_this_node_hears_the_member_itself_then_it_is_not_absent_here() {
    let mut membership = with_one_that_went_quiet();
    membership.receive(100, NodeId(3), ping(vec![member(PEER, 21, 0, MemberState::Suspect)]));
    for now in (200..5000).step_by(200) {
        membership.tick(now);
        answer_all(&mut membership, now);
    }
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
}

/// This node with a member that it pings and that has just answered.
fn with_one_that_is_heard() -> Membership {
    let mut membership = alone(&[]);
    membership.watch(&[PEER]);
    membership.receive(0, PEER, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    membership.tick(0);
    answer_all(&mut membership, 5);
    membership
}

#[test]
fn given_a_member_that_this_node_hears_when_one_that_was_cut_off_tells_of_its_absence_then_it_is_suspected() {
    let mut membership = with_one_that_is_heard();
    let told = vec![member(NodeId(3), 33, 0, MemberState::Alive), member(PEER, 22, 0, MemberState::Dead)];
    membership.receive(10, NodeId(3), ping(told));
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    assert!(!membership.is_unreachable(PEER));
    let refuted = vec![member(PEER, 22, 1, MemberState::Alive)];
    membership.receive(20, PEER, ping(refuted));
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
}

#[test]
fn given_a_voter_of_which_nobody_tells_when_it_has_been_silent_for_long_enough_then_it_is_away() {
    let mut membership = alone(&[]);
    membership.watch(&[PEER]);
    run_idle(&mut membership, 0, 1_400);
    assert!(!membership.is_unreachable(PEER));
    run_idle(&mut membership, 1_400, 1_800);
    assert!(membership.is_unreachable(PEER));
    assert!(!membership.is_unreachable(NodeId(3)), "nobody knows whether it was ever there");
    membership.receive(1_900, PEER, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    assert!(!membership.is_unreachable(PEER));
}

#[test]
fn given_a_voter_of_which_nobody_tells_when_this_node_stood_still_then_it_is_not_away_at_once() {
    let mut membership = alone(&[]);
    membership.watch(&[PEER]);
    run_idle(&mut membership, 0, 400);
    membership.tick(5_000);
    assert!(!membership.is_unreachable(PEER));
}

#[test]
fn given_a_voter_that_was_absent_for_so_long_that_it_is_forgotten_when_asked_then_it_is_still_away() {
    let mut membership = with_one_that_is_heard();
    run_idle(&mut membership, 10, 70_000);
    assert_eq!(membership.state(PEER), None);
    assert!(membership.is_unreachable(PEER));
}

#[test]
fn given_a_member_that_is_about_to_end_when_it_says_so_then_it_is_absent_for_all_at_once() {
    let mut fleet = Fleet::running(3, 3);
    let leaving = fleet.machines[1].node;
    let now = fleet.now;
    fleet.process(1).membership.leave(now);
    fleet.run(100);
    for (node, process) in fleet.processes().filter(|(node, _)| *node != leaving) {
        assert!(process.membership.is_unreachable(leaving), "as {node} sees it");
    }
    // It does not take it back, though others tell it.
    fleet.run(3_000);
    assert!(fleet
        .processes()
        .all(|(node, process)| node == leaving || process.membership.is_unreachable(leaving)));
    fleet.stop(1);
    fleet.start(1);
    fleet.run(1_500);
    assert_all_alive(&fleet);
}
