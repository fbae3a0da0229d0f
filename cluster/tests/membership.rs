//! Membership: discovery, failure detection, refutation, quorum contact.

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

fn single_member(seeds: &[NodeId]) -> Membership {
    Membership::new(Options::default(), OWN, Incarnation(11), seeds, 0)
}

fn run_idle(membership: &mut Membership, from: Millis, until: Millis) -> Vec<(Millis, NodeId)> {
    let mut sent = Vec::new();
    let mut now = from;
    while now < until {
        membership.tick(now);
        sent.extend(membership.take_messages().into_iter().map(|(node, _)| (now, node)));
        now = membership.next_wake().max(now + 1);
    }
    sent
}

fn incarnation(membership: &Membership, node: NodeId) -> Option<Incarnation> {
    membership.record(node).map(|record| record.incarnation)
}

fn assert_all_alive(fleet: &Fleet) {
    let running: Vec<NodeId> = fleet.processes().map(|(node, _)| node).collect();
    for (node, process) in fleet.processes() {
        assert_eq!(process.membership.alive(), running, "as {node} sees it");
        for (other, running) in fleet.processes() {
            let known = incarnation(&process.membership, other);
            assert_eq!(known, Some(running.incarnation), "{other} as {node} knows it");
        }
    }
}

#[test]
fn coordinators_find_each_other_in_any_start_order() {
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
fn late_seed_is_found() {
    // given
    let mut fleet = Fleet::new(1, 2);
    let late = fleet.machines[1].node;
    fleet.start_with_seeds(0, &[NodeId(77), late]);
    fleet.run(120_000);

    // when
    fleet.start_with_seeds(1, &[]);
    fleet.run(1500);

    // then
    assert_all_alive(&fleet);
}

#[test]
fn unresponsive_seed_is_pinged_indefinitely_with_backoff() {
    // given
    let mut membership = single_member(&[PEER]);

    // when
    let sent: Vec<Millis> = run_idle(&mut membership, 0, 60_000).into_iter().map(|(at, _)| at).collect();

    // then
    assert_eq!(sent[..5], [0, 400, 1200, 2200, 3200]);
    assert_eq!(sent.last(), Some(&59_200));
    assert_eq!(membership.alive(), [OWN]);
    assert_eq!(membership.state(PEER), None);
}

#[test]
fn added_seed_merges_two_groups() {
    // given
    let mut fleet = Fleet::new(2, 4);
    let nodes = fleet.nodes();
    fleet.start_with_seeds(0, &[nodes[1]]);
    fleet.start_with_seeds(1, &[nodes[0]]);
    fleet.start_with_seeds(2, &[nodes[3]]);
    fleet.start_with_seeds(3, &[nodes[2]]);

    // when
    fleet.process(0).membership.add_seeds(&[nodes[3]]);
    fleet.run(4000);

    // then
    assert_all_alive(&fleet);
}

#[test]
fn ended_member_is_suspected_then_dead_then_forgotten() {
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
fn restarted_member_is_known_by_its_new_incarnation() {
    // given
    let mut fleet = Fleet::running(4, 5);

    // when
    fleet.stop(2);
    fleet.start(2);
    fleet.run(1500);

    // then
    assert_all_alive(&fleet);
}

#[test]
fn partition_between_two_members_declares_no_member_dead() {
    let mut fleet = Fleet::running(5, 5);
    fleet.partition(0, 1);
    for _ in 0..100 {
        fleet.run(200);
        let all = fleet.nodes();
        assert!(fleet.processes().all(|(_, process)| process.membership.alive() == all));
    }
}

#[test]
fn isolated_member_returns_with_same_incarnation() {
    let mut fleet = Fleet::running(6, 4);
    fleet.isolate(3);
    fleet.run(5000);
    let isolated = fleet.machines[3].node;
    assert!(!fleet.process(0).membership.alive().contains(&isolated));
    assert_eq!(fleet.process(3).membership.alive(), [isolated]);
    fleet.heal();
    fleet.run(3000);
    assert_all_alive(&fleet);
}

#[test]
fn one_way_partition_ends_contact_of_both_ends() {
    // given
    let mut fleet = Fleet::running(7, 3);
    let nodes = fleet.nodes();

    // when
    fleet.partition_one_way(0, 1);
    fleet.run(2000);

    // then
    let now = fleet.now;
    assert!(!fleet.process(0).membership.has_contact_within(nodes[1], now, 1500));
    assert!(!fleet.process(1).membership.has_contact_within(nodes[0], now, 1500));
    assert!(fleet.process(2).membership.has_contact_within(nodes[0], now, 1500));
}

#[test]
fn only_majority_side_has_quorum_contact() {
    // given
    let mut fleet = Fleet::running(8, 5);
    let voters = fleet.nodes();

    // when
    for minority in [3, 4] {
        (0..3).for_each(|other| fleet.partition(minority, other));
    }
    fleet.run(3000);

    // then
    let now = fleet.now;
    let reaching: Vec<bool> = fleet
        .processes()
        .map(|(_, process)| process.membership.has_quorum_contact(now, &voters, 1500))
        .collect();
    assert_eq!(reaching, [true, true, true, false, false]);
}

#[test]
fn no_quorum_contact_without_voters() {
    assert!(!single_member(&[]).has_quorum_contact(0, &[], 1500));
    assert!(single_member(&[]).has_quorum_contact(0, &[OWN, OWN], 1500));
    assert!(!single_member(&[]).has_quorum_contact(0, &[OWN, PEER], 1500));
}

#[test]
fn stalled_coordinator_declares_no_member_dead() {
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
fn large_group_converges_with_bounded_message_size() {
    let mut fleet = Fleet::new(10, 40);
    (0..40).for_each(|index| fleet.start(index));
    fleet.run(8000);
    assert_all_alive(&fleet);
    assert!(fleet.max_message_records <= MAX_MESSAGE_RECORDS);
}

#[test]
fn only_monitors_ping_a_member() {
    // given
    let mut membership = single_member(&[]);
    let others = (2..=9).map(|node| member(NodeId(node), 1, 0, MemberState::Alive)).collect();
    membership.receive(0, PEER, ping(others));
    membership.take_messages();

    // when
    let sent = run_idle(&mut membership, 0, 199);

    // then
    assert!(
        (1..=6).contains(&sent.len()),
        "{} pings to 8 members; only the monitored ones should be pinged",
        sent.len()
    );
}

#[test]
fn suspicion_of_this_node_is_refuted() {
    // given
    let mut membership = single_member(&[]);
    let records = vec![member(PEER, 21, 0, MemberState::Alive), member(OWN, 11, 4, MemberState::Suspect)];

    // when
    membership.receive(100, PEER, ping(records));

    // then
    let (_, ack) = membership.take_messages().pop().expect("an ack");
    let MembershipMessage::Ack { sequence_number: 1, members } = ack else { panic!("not an ack: {ack:?}") };
    assert_eq!(members[0], member(OWN, 11, 5, MemberState::Alive));
}

#[test]
fn suspicion_of_previous_incarnation_is_not_refuted() {
    // given
    let mut membership = single_member(&[]);
    let records = vec![member(PEER, 21, 0, MemberState::Alive), member(OWN, 10, 4, MemberState::Dead)];

    // when
    membership.receive(100, PEER, ping(records));

    // then
    assert_eq!(membership.members()[0].refutation, 0);
}

#[test]
fn only_the_node_itself_can_announce_its_new_incarnation() {
    let mut membership = single_member(&[]);
    membership.receive(0, PEER, ping(vec![member(PEER, 21, 0, MemberState::Alive)]));
    let third = NodeId(3);
    membership.receive(10, third, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    assert_eq!(incarnation(&membership, PEER), Some(Incarnation(21)));
    membership.receive(20, PEER, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    assert_eq!(incarnation(&membership, PEER), Some(Incarnation(22)));
    membership.receive(30, PEER, ping(vec![member(PEER, 21, 0, MemberState::Alive)]));
    assert_eq!(
        incarnation(&membership, PEER),
        Some(Incarnation(22)),
        "a late message of the previous incarnation is ignored"
    );
}

#[test]
fn members_seeds_and_messages_are_bounded() {
    let mut membership = single_member(&(2..500).map(NodeId).collect::<Vec<_>>());
    for batch in 0..50 {
        let first = 1000 + batch * 30;
        let records = (first..first + 30).map(|node| member(NodeId(node), 1, 0, MemberState::Alive));
        membership.receive(0, NodeId(first), ping(records.collect()));
    }
    assert!(membership.members().len() <= MAX_MEMBERS + 1);
    membership.tick(0);
    let sends = membership.take_messages();
    assert!(sends.len() <= MAX_MEMBERS + MAX_SEEDS + 50);
    for (_, message) in sends {
        let (MembershipMessage::Ping { members, .. } | MembershipMessage::Ack { members, .. }) = message;
        assert!(members.len() <= MAX_MESSAGE_RECORDS);
    }
}

#[test]
fn ack_of_unknown_ping_is_not_contact() {
    // given
    let mut membership = single_member(&[PEER]);
    membership.tick(0);

    // when
    let members = vec![member(PEER, 21, 0, MemberState::Alive)];
    membership.receive(10, PEER, MembershipMessage::Ack { sequence_number: 123, members });

    // then
    assert!(!membership.has_contact_within(PEER, 10, 1000));
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
}

/// A membership with one member that has answered a ping at time 0 and none since.
fn with_unresponsive_member() -> Membership {
    let mut membership = single_member(&[]);
    membership.receive(0, PEER, ping(vec![member(PEER, 21, 0, MemberState::Alive)]));
    membership.tick(0);
    answer_pings(&mut membership, 0);
    membership
}

/// Acknowledges all pings to the peer on its behalf.
fn answer_pings(membership: &mut Membership, now: Millis) {
    for (to, message) in membership.take_messages() {
        if let (PEER, MembershipMessage::Ping { sequence_number, .. }) = (to, message) {
            membership.receive(now, PEER, MembershipMessage::Ack { sequence_number, members: vec![] });
        }
    }
}

#[test]
fn stall_restarts_ping_timeout() {
    let mut membership = with_unresponsive_member();
    [200, 400, 600].into_iter().for_each(|now| membership.tick(now));
    membership.tick(20_000);
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
    run_idle(&mut membership, 20_000, 20_800);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
}

#[test]
fn stall_restarts_suspicion_timeout() {
    let mut membership = with_unresponsive_member();
    run_idle(&mut membership, 200, 1000);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    membership.tick(20_000);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    run_idle(&mut membership, 20_000, 21_300);
    assert_eq!(membership.state(PEER), Some(MemberState::Dead));
}

#[test]
fn refuted_suspicion_starts_cooldown() {
    let mut membership = with_unresponsive_member();
    run_idle(&mut membership, 200, 1000);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    membership.receive(1000, NodeId(3), ping(vec![member(PEER, 21, 1, MemberState::Alive)]));
    run_idle(&mut membership, 1000, 3800);
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
    run_idle(&mut membership, 3800, 4600);
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
}

#[test]
fn suspect_with_contact_is_not_declared_dead() {
    // given
    let mut membership = with_unresponsive_member();
    membership.receive(100, NodeId(3), ping(vec![member(PEER, 21, 0, MemberState::Suspect)]));

    // when
    for now in (200..5000).step_by(200) {
        membership.tick(now);
        answer_pings(&mut membership, now);
    }

    // then
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
}

/// A membership with one voter that has just answered a ping.
fn with_responsive_member() -> Membership {
    let mut membership = single_member(&[]);
    membership.set_voters(&[PEER]);
    membership.receive(0, PEER, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    membership.tick(0);
    answer_pings(&mut membership, 5);
    membership
}

#[test]
fn member_with_contact_reported_dead_is_only_suspected() {
    let mut membership = with_responsive_member();
    let records = vec![member(NodeId(3), 33, 0, MemberState::Alive), member(PEER, 22, 0, MemberState::Dead)];
    membership.receive(10, NodeId(3), ping(records));
    assert_eq!(membership.state(PEER), Some(MemberState::Suspect));
    assert!(!membership.is_unreachable(PEER));
    let refuted = vec![member(PEER, 22, 1, MemberState::Alive)];
    membership.receive(20, PEER, ping(refuted));
    assert_eq!(membership.state(PEER), Some(MemberState::Alive));
}

#[test]
fn unknown_voter_becomes_unreachable_after_detection_time() {
    let mut membership = single_member(&[]);
    membership.set_voters(&[PEER]);
    run_idle(&mut membership, 0, 1_400);
    assert!(!membership.is_unreachable(PEER));
    run_idle(&mut membership, 1_400, 1_800);
    assert!(membership.is_unreachable(PEER));
    assert!(!membership.is_unreachable(NodeId(3)), "neither a member nor a voter");
    membership.receive(1_900, PEER, ping(vec![member(PEER, 22, 0, MemberState::Alive)]));
    assert!(!membership.is_unreachable(PEER));
}

#[test]
fn stall_restarts_timeout_of_unknown_voter() {
    // given
    let mut membership = single_member(&[]);
    membership.set_voters(&[PEER]);
    run_idle(&mut membership, 0, 400);

    // when
    membership.tick(5_000);

    // then
    assert!(!membership.is_unreachable(PEER));
}

#[test]
fn forgotten_voter_stays_unreachable() {
    // given
    let mut membership = with_responsive_member();

    // when
    run_idle(&mut membership, 10, 70_000);

    // then
    assert_eq!(membership.state(PEER), None);
    assert!(membership.is_unreachable(PEER));
}

#[test]
fn all_members_mark_leaving_member_dead_without_suspicion() {
    let mut fleet = Fleet::running(3, 3);
    let leaving = fleet.machines[1].node;
    let now = fleet.now;
    fleet.process(1).membership.leave(now);
    fleet.run(100);
    for (node, process) in fleet.processes().filter(|(node, _)| *node != leaving) {
        assert!(process.membership.is_unreachable(leaving), "as {node} sees it");
    }
    // The leaving member receives reports of its own death and must not refute them.
    fleet.run(3_000);
    assert!(fleet
        .processes()
        .all(|(node, process)| node == leaving || process.membership.is_unreachable(leaving)));
    fleet.stop(1);
    fleet.start(1);
    fleet.run(1_500);
    assert_all_alive(&fleet);
}

#[test]
fn member_evicted_from_full_table_is_reported_as_changed() {
    // given: a full table with one dead member
    let mut membership = single_member(&[]);
    for number in 0..2 * MAX_MEMBERS as u32 {
        let node = NodeId(1000 + number);
        membership.receive(0, node, ping(vec![member(node, 1, 0, MemberState::Alive)]));
    }
    let known: Vec<NodeId> = membership.alive().into_iter().filter(|node| *node != OWN).collect();
    let (evicted, reporter) = (known[0], known[1]);
    membership.receive(10, reporter, ping(vec![member(evicted, 1, 0, MemberState::Dead)]));
    assert_eq!(membership.state(evicted), Some(MemberState::Dead));
    membership.take_changed();
    // when
    let joining = NodeId(9000);
    membership.receive(20, joining, ping(vec![member(joining, 1, 0, MemberState::Alive)]));
    // then
    assert_eq!(membership.state(evicted), None);
    let changed = membership.take_changed();
    assert!(changed.contains(&evicted) && changed.contains(&joining), "{changed:?}");
}
