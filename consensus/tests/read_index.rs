//! Reads that are confirmed by a round of heartbeats.

mod group;

use group::{node, Group};
use shaletrail_consensus::{Effect, Message, ReplicaError, RoundStamp};

#[test]
fn response_to_earlier_round_confirms_no_read() {
    // given
    let mut group = Group::bootstrapped(3, 8);
    let leader = group.await_leader();
    group.commit_one();
    group.run(1000);
    group.call(leader, |replica, now| replica.tick(now + 200));
    for follower in group.followers() {
        let (round, sent_at) = (group.last_rounds[&leader], group.machines[&leader].clock(group.now));
        group.forge_heartbeat_response(follower, leader, RoundStamp { round, sent_at });
    }
    // when
    let token = group.read(leader).expect("a leader accepts reads");
    group.run(100);
    // then
    assert!(group.invariants.is_read_pending(token));
    group.blocked_links.clear();
    group.run(300);
    assert!(!group.invariants.is_read_pending(token));
}

#[test]
fn round_never_sent_confirms_no_read() {
    // given
    let mut group = Group::bootstrapped(3, 10);
    let leader = group.await_leader();
    group.commit_one();
    group.run(1000);
    // when
    for follower in group.followers() {
        let stamp = RoundStamp { round: u64::MAX, sent_at: group.machines[&leader].clock(group.now) };
        group.forge_heartbeat_response(follower, leader, stamp);
    }
    group.run(20);
    // then
    let answered = group.invariants.reads_answered;
    group.call(leader, |replica, now| {
        replica.read(now, 1).expect("a leader accepts reads");
        let effects = replica.take_effects();
        let confirms = |effect: &Effect| matches!(effect, Effect::ReadReady { .. });
        assert!(!effects.iter().any(confirms), "a read was confirmed before its round was sent");
    });
    assert_eq!(group.invariants.reads_answered, answered);
}

#[test]
fn read_is_confirmed_by_next_round() {
    // given
    let mut group = Group::bootstrapped(3, 3);
    let leader = group.await_leader();
    group.commit_one();
    // when
    let token = group.read(leader).expect("a leader accepts reads");
    // then
    assert!(group.invariants.is_read_pending(token), "no follower has responded yet");
    group.run(20);
    assert!(!group.invariants.is_read_pending(token));
    assert_eq!(group.invariants.reads_answered, 1);
}

#[test]
fn read_of_minority_leader_fails() {
    // given
    let mut group = Group::bootstrapped(3, 4);
    let leader = group.await_leader();
    group.commit_one();
    group.isolate(leader);
    // when
    let token = group.read(leader).expect("the leader does not know yet that it is isolated");
    group.run(900);
    // then
    assert!(group.invariants.is_read_pending(token));
    group.run(400);
    assert!(!group.invariants.is_read_pending(token));
    assert_eq!((group.invariants.reads_answered, group.invariants.reads_failed), (0, 1));
}

#[test]
fn read_waits_for_commit_in_own_term() {
    // given
    let mut group = Group::bootstrapped(3, 5);
    let former = group.await_leader();
    group.commit_one();
    group.drop_messages(|message| matches!(message, Message::Append { .. }));
    group.crash(former);
    let has_leader = group.run_until(4000, |group| group.leader().is_some_and(|leader| leader != former));
    assert!(has_leader);
    let leader = group.leader().expect("the group has a leader");
    // when
    let token = group.read(leader).expect("a leader accepts reads");
    group.run(300);
    // then
    assert!(group.invariants.is_read_pending(token));
    group.filter = None;
    group.run(600);
    assert!(!group.invariants.is_read_pending(token));
    assert_eq!(group.invariants.reads_answered, 1);
}

#[test]
fn too_many_pending_reads_are_rejected() {
    // given
    let mut group = Group::bootstrapped_with(3, 6, |options| options.max_pending_reads = 4);
    let leader = group.await_leader();
    group.run(100);
    group.isolate(leader);
    // when
    let accepted = (0..10).filter(|_| group.read(leader).is_some()).count();
    // then
    assert_eq!(accepted, 4);
    let follower = group.followers()[0];
    let rejected = group.call(follower, |replica, now| replica.read(now, 7));
    assert_eq!(rejected, Some(Err(ReplicaError::NotLeader { leader: Some(leader) })));
}

#[test]
fn single_voter_confirms_read_at_once() {
    // given
    let mut group = Group::bootstrapped(1, 7);
    group.commit_one();
    // when
    let token = group.read(node(1)).expect("a leader accepts reads");
    // then
    assert!(!group.invariants.is_read_pending(token));
}
