//! Leases and confirmed reads.

mod group;

use group::{node, Group};
use shaletrail_consensus::{Effect, Message, Record, ReplicaError, Role, RoundStamp, VoterStatus};
use shaletrail_protocol::NodeId;

fn followers(group: &Group) -> Vec<NodeId> {
    group.running().into_iter().filter(|node| group.role(*node) != Role::Leader).collect()
}

#[test]
fn given_a_leader_cut_off_when_the_lease_has_passed_then_it_holds_none_long_before_another_leads() {
    for seed in 0..30 {
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(1000);
        group.isolate(leader);
        group.run(505);
        assert!(!group.has_lease(leader), "seed {seed}");
        assert_eq!(group.leader(), Some(leader), "it does not know yet");
    }
}

#[test]
fn given_a_frozen_leader_when_it_thaws_then_it_holds_no_lease_from_its_first_moment() {
    for seed in 0..30 {
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(1000);
        group.freeze(leader);
        let is_led = group.run_until(4000, |group| group.leader().is_some());
        assert!(is_led);
        group.commit_one();
        group.thaw(leader);
        assert!(!group.has_lease(leader), "seed {seed}");
        let proposed = group.propose(leader);
        group.run(500);
        assert!(!group.replica(leader).is_leader());
        if let Some((_, index)) = proposed {
            assert!(!group.judge.is_acknowledged(index) || group.machines[&leader].applied >= index);
        }
    }
}

#[test]
fn given_answers_that_are_late_when_they_arrive_then_the_lease_counts_from_the_sending() {
    for seed in 0..10 {
        // given: a leader that freezes between its heartbeats and their answers
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(1000);
        group.read(leader).expect("a read starts a round");
        let sent_at = group.machines[&leader].clock(group.now);
        group.freeze(leader);
        group.run(495);
        assert!(group.replica(leader).lease_until().is_some_and(|until| until <= sent_at + 500));
        // when: the answers are read after the lease has passed
        group.run(50);
        assert!(group.machines[&leader].inbox.len() >= 2, "the answers wait");
        group.thaw(leader);
        // then: they renew nothing
        assert!(!group.has_lease(leader), "seed {seed}");
        assert!(group.replica(leader).lease_until().is_none_or(|until| until == sent_at + 500));
    }
}

#[test]
fn given_answers_with_made_up_stamps_when_they_arrive_then_the_lease_does_not_grow() {
    let mut group = Group::founded(3, 2);
    let leader = group.elect();
    group.run(1000);
    for follower in followers(&group) {
        group.cuts.insert((follower, leader));
    }
    let until = group.replica(leader).lease_until();
    for (follower, boot) in followers(&group).into_iter().zip([1, 2]) {
        let standing = VoterStatus { disk_id: boot, recovering: false };
        let stamp = RoundStamp { round: u64::MAX, sent_at: u64::MAX };
        let term = group.term(leader);
        let answer = Message::HeartbeatResponse { term, stamp, received: 99, matched: 99, status: standing };
        group.forge(follower, leader, answer);
    }
    group.run(20);
    assert_eq!(group.replica(leader).lease_until(), until);
}

#[test]
fn given_voters_that_restart_when_the_leader_is_cut_off_then_they_wait_before_they_vote() {
    for seed in 0..30 {
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(1000);
        let others = followers(&group);
        group.isolate(leader);
        for other in &others {
            group.crash(*other);
            group.restart(*other);
        }
        // The judge fails this test if a second lease begins while the first lasts.
        group.run(550);
        assert!(others.iter().all(|other| !group.replica(*other).is_leader()), "seed {seed}");
        group.commit_one();
    }
}

#[test]
fn given_a_voter_that_restarts_after_it_answered_when_another_asks_for_its_vote_then_the_lease_is_respected()
{
    for seed in 0..30 {
        // given: a follower that has not heard the leader for long and is about to stand
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(1000);
        let others = followers(&group);
        group.partition(&[leader], &[others[0]]);
        group.run(5000);
        // when: the other follower answers the leader, and then restarts again and again
        for _ in 0..40 {
            group.crash(others[1]);
            group.restart(others[1]);
            group.run(160);
        }
        // then: the judge saw no second lease, and the leader has kept its own
        assert_eq!(group.leader(), Some(leader), "seed {seed}");
    }
}

#[test]
fn given_a_heartbeat_on_its_way_when_a_read_is_asked_for_then_its_answer_confirms_nothing() {
    let mut group = Group::founded(3, 8);
    let leader = group.elect();
    group.commit_one();
    group.run(1000);
    let mut stamp = RoundStamp::default();
    group.act(leader, |replica, now| replica.tick(now + 200));
    for follower in followers(&group) {
        let term = group.term(leader);
        let standing = VoterStatus { disk_id: boot_of(&group, follower), recovering: false };
        stamp.round = group.rounds_sent[&leader];
        stamp.sent_at = group.machines[&leader].clock(group.now);
        group.cuts.insert((follower, leader));
        let answer = Message::HeartbeatResponse { term, stamp, received: 1, matched: 1, status: standing };
        group.forge(follower, leader, answer);
    }
    let token = group.read(leader).expect("a leader takes reads");
    group.run(100);
    assert!(group.judge.is_read_open(token));
    group.cuts.clear();
    group.run(300);
    assert!(!group.judge.is_read_open(token));
}

#[test]
fn given_answers_of_followers_that_name_a_later_time_when_they_arrive_then_the_lease_does_not_grow() {
    let mut group = Group::founded(3, 9);
    let leader = group.elect();
    group.run(1000);
    let until = group.replica(leader).lease_until();
    let now = group.machines[&leader].clock(group.now);
    for follower in followers(&group) {
        let stamp = RoundStamp { round: group.rounds_sent[&leader], sent_at: now + 5000 };
        forge_answer(&mut group, follower, leader, stamp);
    }
    group.run(20);
    assert_eq!(group.replica(leader).lease_until(), until);
}

#[test]
fn given_answers_of_followers_that_name_a_round_never_sent_when_a_read_is_asked_for_then_they_do_not_confirm_it(
) {
    let mut group = Group::founded(3, 10);
    let leader = group.elect();
    group.commit_one();
    group.run(1000);
    for follower in followers(&group) {
        let stamp = RoundStamp { round: u64::MAX, sent_at: group.machines[&leader].clock(group.now) };
        forge_answer(&mut group, follower, leader, stamp);
    }
    group.run(20);
    let answered = group.judge.reads_answered;
    group.act(leader, |replica, now| {
        replica.read(now, 1).expect("a leader takes reads");
        let effects = replica.take_effects();
        let confirms = |effect: &Effect| matches!(effect, Effect::ReadReady { .. });
        assert!(!effects.iter().any(confirms), "before its round was sent");
    });
    assert_eq!(group.judge.reads_answered, answered);
}

/// Cuts a follower's way to the leader, and has an answer with a made-up stamp come in its name.
fn forge_answer(group: &mut Group, follower: NodeId, leader: NodeId, stamp: RoundStamp) {
    group.cuts.insert((follower, leader));
    let standing = VoterStatus { disk_id: boot_of(group, follower), recovering: false };
    let term = group.term(leader);
    let answer = Message::HeartbeatResponse { term, stamp, received: 1, matched: 1, status: standing };
    group.forge(follower, leader, answer);
}

fn boot_of(group: &Group, node: NodeId) -> u64 {
    let records = group.machines[&node].disk.records();
    let hard = records.iter().rev().find_map(|record| match record {
        Record::Hard(hard) => Some(hard.disk_id),
        _ => None,
    });
    hard.expect("a hard state")
}

#[test]
fn given_a_leader_when_a_read_is_asked_for_then_a_round_after_it_confirms_it() {
    let mut group = Group::founded(3, 3);
    let leader = group.elect();
    group.commit_one();
    let token = group.read(leader).expect("a leader takes reads");
    assert!(group.judge.is_read_open(token), "nobody has confirmed it yet");
    group.run(20);
    assert!(!group.judge.is_read_open(token));
    assert_eq!(group.judge.reads_answered, 1);
}

#[test]
fn given_a_leader_of_a_minority_when_a_read_is_asked_for_then_it_fails_when_the_leader_steps_down() {
    let mut group = Group::founded(3, 4);
    let leader = group.elect();
    group.commit_one();
    group.isolate(leader);
    let token = group.read(leader).expect("it does not know yet");
    group.run(900);
    assert!(group.judge.is_read_open(token));
    group.run(400);
    assert!(!group.judge.is_read_open(token));
    assert_eq!((group.judge.reads_answered, group.judge.reads_failed), (0, 1));
}

#[test]
fn given_a_new_leader_when_none_of_its_entries_is_committed_then_reads_wait() {
    let mut group = Group::founded(3, 5);
    let former = group.elect();
    group.commit_one();
    group.filter = Some(Box::new(|_, _, message| !matches!(message, Message::Append { .. })));
    group.crash(former);
    let is_led = group.run_until(4000, |group| group.leader().is_some_and(|leader| leader != former));
    assert!(is_led);
    let leader = group.leader().expect("it is led");
    let token = group.read(leader).expect("a leader takes reads");
    group.run(300);
    assert!(group.judge.is_read_open(token));
    group.filter = None;
    group.run(600);
    assert!(!group.judge.is_read_open(token));
    assert_eq!(group.judge.reads_answered, 1);
}

#[test]
fn given_many_reads_when_none_is_confirmed_then_more_are_refused() {
    let mut group = Group::founded_with(3, 6, |options| options.max_reads = 4);
    let leader = group.elect();
    group.run(100);
    group.isolate(leader);
    let taken = (0..10).filter(|_| group.read(leader).is_some()).count();
    assert_eq!(taken, 4);
    let follower = followers(&group)[0];
    let refused = group.act(follower, |replica, now| replica.read(now, 7));
    assert_eq!(refused, Some(Err(ReplicaError::NotLeader { leader: Some(leader) })));
}

#[test]
fn given_one_voter_when_a_read_is_asked_for_then_it_is_answered_at_once() {
    let mut group = Group::founded(1, 7);
    group.commit_one();
    let token = group.read(node(1)).expect("a leader takes reads");
    assert!(!group.judge.is_read_open(token));
}

#[test]
fn given_a_lease_longer_than_the_voters_promise_when_it_is_set_then_it_is_cut_below_that() {
    let mut group = Group::founded_with(3, 11, |options| options.lease_ms = 5000);
    let leader = group.elect();
    group.run(1000);
    group.isolate(leader);
    group.run(545);
    assert!(!group.has_lease(leader));
    // The judge fails this test if a second lease begins while the first lasts.
    group.run(3000);
    assert!(group.leader().is_some_and(|other| other != leader));
}
