//! Replication: entries, heartbeats and snapshots from the leader to its peers, and commits.

mod group;

use std::cell::RefCell;
use std::rc::Rc;

use group::{node, Group};
use shaletrail_consensus::{
    AppendOutcome, Effect, Entry, HardState, Index, LogPosition, Message, Options, Payload, Record, Replica,
    ReplicaError, Role, RoundStamp, Snapshot, VoterSet, VoterStatus,
};

#[test]
fn commands_are_applied_in_order() {
    // given
    let mut group = Group::bootstrapped(3, 1);
    let leader = group.await_leader();
    // when
    for _ in 0..100 {
        group.propose(leader).expect("the leader accepts the proposal");
        group.run(5);
    }
    group.run(100);
    // then
    let expected: Vec<u64> = (0..100).collect();
    for member in group.running() {
        assert_eq!(group.machines[&member].commands, expected);
    }
}

#[test]
fn commit_is_announced_at_once() {
    // given
    let mut group = Group::bootstrapped_with(3, 2, |options| options.heartbeat_ms = 400);
    let leader = group.await_leader();
    group.run(401);
    // when
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.run(40);
    // then
    assert!(group.all_applied(index), "{}", group.describe());
}

#[test]
fn idle_group_sends_one_heartbeat_an_interval() {
    // given
    let mut group = Group::bootstrapped(3, 3);
    group.await_leader();
    group.run(1000);
    // when
    group.sent.clear();
    group.run(1500);
    // then
    let sent: Vec<(&str, u64)> = group.sent.iter().map(|(name, count)| (*name, *count)).collect();
    insta::assert_debug_snapshot!(sent, @r#"
    [
        (
            "Heartbeat",
            20,
        ),
        (
            "HeartbeatResponse",
            20,
        ),
    ]
    "#);
}

#[test]
fn large_commands_are_limited_in_flight() {
    const LARGE: usize = 4 << 20;
    // given
    let mut group = Group::bootstrapped(3, 4);
    let leader = group.await_leader();
    let in_flight = Rc::new(RefCell::new((0_usize, 0_usize)));
    let seen = in_flight.clone();
    let slow = group.followers()[0];
    group.filter = Some(Box::new(move |_, to, message| {
        if let (true, Message::Append { entries, .. }) = (to == slow, message) {
            let size: usize = entries.iter().map(shaletrail_consensus::Entry::size).sum();
            assert!(entries.len() <= 1 || size <= 1 << 20);
            let mut seen = seen.borrow_mut();
            seen.0 += size;
            seen.1 = seen.1.max(entries.len());
        }
        true
    }));
    group.machine(slow).is_disk_stalled = true;
    // when
    for _ in 0..6 {
        let proposed = group.call(leader, |replica, now| replica.propose(now, vec![7; LARGE]));
        assert!(matches!(proposed, Some(Ok(_))));
        group.run(20);
    }
    // then
    assert!(in_flight.borrow().0 <= 3 * LARGE, "{in_flight:?}");
    group.machine(slow).is_disk_stalled = false;
    group.run(1000);
    assert!(group.all_applied(group.replica(leader).last_position().index));
}

#[test]
fn too_many_uncommitted_proposals_are_rejected() {
    // given
    let mut group = Group::bootstrapped_with(3, 5, |options| options.max_uncommitted_entries = 8);
    let leader = group.await_leader();
    group.run(100);
    group.isolate(leader);
    // when
    let accepted = (0..20).filter(|_| group.propose(leader).is_some()).count();
    // then
    assert_eq!(accepted, 8);
    let rejected = group.call(leader, |replica, now| replica.propose(now, vec![0; 8]));
    assert_eq!(rejected, Some(Err(ReplicaError::Busy)));
}

#[test]
fn too_large_command_is_rejected() {
    // given
    let mut group = Group::bootstrapped_with(1, 6, |options| options.max_command_bytes = 100);
    let leader = group.await_leader();
    // when
    let rejected = group.call(leader, |replica, now| replica.propose(now, vec![0; 101]));
    // then
    assert_eq!(rejected, Some(Err(ReplicaError::TooLarge { size: 101 })));
}

#[test]
fn follower_rejects_proposal_with_leader() {
    // given
    let mut group = Group::bootstrapped(3, 7);
    let leader = group.await_leader();
    group.run(200);
    let follower = group.followers()[0];
    // when
    let rejected = group.call(follower, |replica, now| replica.propose(now, vec![0; 8]));
    // then
    assert_eq!(rejected, Some(Err(ReplicaError::NotLeader { leader: Some(leader) })));
}

#[test]
fn lost_appends_are_sent_again() {
    // given
    let mut group = Group::bootstrapped(3, 8);
    let leader = group.await_leader();
    group.run(500);
    group.drop_messages(|message| matches!(message, Message::Append { .. }));
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.run(100);
    assert!(!group.invariants.is_acknowledged(index));
    // when
    group.filter = None;
    group.run(700);
    // then
    assert!(group.all_applied(index), "{}", group.describe());
}

#[test]
fn heartbeat_response_makes_up_for_lost_acknowledgement() {
    // given
    let mut group = Group::bootstrapped(3, 9);
    let leader = group.await_leader();
    group.run(500);
    group.drop_messages(|message| matches!(message, Message::AppendResponse { .. }));
    // when
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.run(700);
    // then
    assert!(group.invariants.is_acknowledged(index), "{}", group.describe());
}

#[test]
fn follower_behind_log_installs_snapshot() {
    // given
    let mut group = Group::bootstrapped_with(3, 10, |options| options.retain_bytes = 0);
    let leader = group.await_leader();
    let behind = group.followers()[0];
    group.isolate(behind);
    for _ in 0..30 {
        group.commit_one();
    }
    // While the follower counts as in contact, the leader retains the entries that it needs.
    group.run(2 * Options::new(leader, 0).election_max_ms);
    group.machine(leader).compact();
    let index = group.commit_one();
    assert!(group.replica(behind).last_position().index < 10);
    // when
    group.blocked_links.clear();
    group.await_applied();
    // then
    assert!(group.all_applied(index));
    assert!(group.sent["InstallSnapshot"] >= 1);
    assert_eq!(group.machines[&behind].commands, group.machines[&leader].commands);
}

#[test]
fn follower_slightly_behind_needs_no_snapshot() {
    // given
    let mut group = Group::bootstrapped(3, 11);
    let leader = group.await_leader();
    group.run(200);
    let behind = group.followers()[0];
    group.isolate(behind);
    group.commit_one();
    group.machine(leader).compact();
    // when
    group.sent.clear();
    group.blocked_links.clear();
    group.await_applied();
    // then
    assert_eq!(group.sent.get("InstallSnapshot"), None);
}

#[test]
fn uncommitted_entries_of_former_leader_are_replaced() {
    // given
    let mut group = Group::bootstrapped(3, 12);
    let former = group.await_leader();
    group.run(200);
    group.isolate(former);
    for _ in 0..5 {
        group.propose(former);
    }
    group.run(3000);
    let index = group.commit_one();
    // when
    group.blocked_links.clear();
    group.await_applied();
    // then
    assert!(group.all_applied(index));
    let leader = group.await_leader();
    assert_eq!(group.machines[&former].commands, group.machines[&leader].commands);
}

#[test]
fn learner_receives_entries_without_voting() {
    // given
    let mut group = Group::bootstrapped(3, 13);
    let leader = group.await_leader();
    let index = group.commit_one();
    let learner = node(9);
    group.add_machine(learner, false);
    // when
    group.call(leader, |replica, _| replica.add_learner(learner));
    group.run(1000);
    // then
    assert!(group.machines[&learner].applied >= index);
    assert_eq!(group.role(learner), Role::Learner);
    group.call(leader, |replica, _| replica.remove_learner(learner));
    group.run(100);
    assert_eq!(group.replica(leader).peer_status(learner), None);
}

#[test]
fn implausible_messages_are_ignored() {
    // given
    let mut group = Group::bootstrapped(3, 14);
    let leader = group.await_leader();
    group.run(200);
    let follower = group.followers()[0];
    let term = group.term(leader);
    let last = group.replica(leader).last_position();
    // when
    let gap = shaletrail_consensus::Entry {
        index: last.index + 7,
        term,
        payload: shaletrail_consensus::Payload::Empty,
    };
    let stamp = shaletrail_consensus::RoundStamp { round: u64::MAX, sent_at: u64::MAX };
    let (previous, entries) = (last, vec![gap.clone(), gap]);
    group.inject(leader, follower, Message::Append { term, previous, entries, commit: u64::MAX, stamp });
    group.inject(leader, follower, Message::Heartbeat { term, commit: u64::MAX, stamp });
    let implausible = LogPosition { term: u64::MAX, index: u64::MAX };
    let (previous, entries) = (implausible, Vec::new());
    group.inject(leader, follower, Message::Append { term, previous, entries, commit: 0, stamp });
    group.inject(leader, follower, Message::VoteResponse { term: u64::MAX, granted: false });
    group.inject(
        leader,
        follower,
        Message::VoteRequest { term: u64::MAX, last: implausible, leadership_transfer: true },
    );
    // then
    group.run(300);
    let index = group.commit_one();
    group.await_applied();
    assert!(group.all_applied(index));
}

/// One of three voters. Its log holds entries of term 2 up to index 3, of which only the bootstrap is known to be
/// committed.
fn voter_with_old_entries() -> Replica {
    let entry = |index| Entry { index, term: 2, payload: Payload::Command([0].as_slice().into()) };
    let voters = VoterSet::new(&[node(1), node(2), node(3)]);
    let position = LogPosition { term: 1, index: 1 };
    let records = vec![
        Record::HardState(HardState { term: 2, voted_for: Some(node(2)), recovering: false, disk_id: 5 }),
        Record::Snapshot(Snapshot { position, voters, state: [].into() }),
        Record::Entries(vec![entry(2), entry(3)]),
    ];
    Replica::new(Options::new(node(1), 1), records, 0)
}

/// Syncs all records, and returns the indexes of the applied entries.
fn applied(replica: &mut Replica, now: u64) -> Vec<Index> {
    let mut applied = Vec::new();
    let mut effects = replica.take_effects();
    while !effects.is_empty() {
        for effect in effects {
            match effect {
                Effect::Persist { ticket, .. } => replica.persisted(now, ticket),
                Effect::Apply(entry) => applied.push(entry.index),
                _ => {}
            }
        }
        effects = replica.take_effects();
    }
    applied
}

#[test]
fn older_term_commits_with_own_term_entry() {
    // given
    let mut replica = voter_with_old_entries();
    replica.tick(5000);
    replica.receive(5000, node(2), Message::PreVoteResponse { term: 3, granted: true });
    applied(&mut replica, 5000);
    replica.receive(5001, node(2), Message::VoteResponse { term: 3, granted: true });
    assert_eq!(applied(&mut replica, 5001), []);
    assert_eq!(replica.role(), Role::Leader);
    // when
    let response = |index| Message::AppendResponse {
        term: 3,
        stamp: RoundStamp { round: 1, sent_at: 5001 },
        outcome: AppendOutcome::Matched(index),
        status: VoterStatus { disk_id: 8, recovering: false },
    };
    // then
    replica.receive(5002, node(2), response(3));
    assert_eq!(applied(&mut replica, 5002), []);
    replica.receive(5003, node(2), response(4));
    assert_eq!(applied(&mut replica, 5003), [2, 3, 4]);
}

#[test]
fn unverified_entries_are_not_applied() {
    // given
    let mut replica = voter_with_old_entries();
    let stamp = RoundStamp { round: 1, sent_at: 1 };
    let previous = LogPosition { term: 2, index: 3 };
    replica.receive(
        10,
        node(2),
        Message::Append { term: 2, previous, entries: Vec::new(), commit: 1, stamp },
    );
    // when
    replica.receive(20, node(3), Message::Heartbeat { term: 3, commit: 3, stamp });
    // then
    assert_eq!(applied(&mut replica, 20), []);
    replica.receive(
        30,
        node(3),
        Message::Append { term: 3, previous, entries: Vec::new(), commit: 2, stamp },
    );
    assert_eq!(applied(&mut replica, 30), [2]);
}

#[test]
fn replaced_entries_are_acknowledged_once_synced() {
    // given: synced entries of an older term, and a synced newer term
    let mut replica = voter_with_old_entries();
    let stamp = RoundStamp { round: 1, sent_at: 1 };
    replica.receive(10, node(3), Message::Heartbeat { term: 3, commit: 1, stamp });
    applied(&mut replica, 10);
    // when: the leader of the newer term replaces them, and the new entries are not synced yet
    let entry = |index| Entry { index, term: 3, payload: Payload::Empty };
    let (previous, entries) = (LogPosition { term: 1, index: 1 }, vec![entry(2), entry(3)]);
    replica.receive(20, node(3), Message::Append { term: 3, previous, entries, commit: 1, stamp });
    replica.receive(30, node(3), Message::Heartbeat { term: 3, commit: 1, stamp });
    // then: the response reports them as received, but not as synced
    let responses = replica.take_effects().into_iter().filter_map(|effect| match effect {
        Effect::Send(_, Message::HeartbeatResponse { received, matched, .. }) => Some((received, matched)),
        _ => None,
    });
    assert_eq!(responses.collect::<Vec<_>>(), [(3, 1)]);
}

#[test]
fn restarted_follower_applies_committed_entries() {
    // given
    let mut group = Group::bootstrapped(3, 12);
    let leader = group.await_leader();
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.run(200);
    let follower = group.followers()[0];
    // when
    group.crash(follower);
    group.run(50);
    group.restart(follower);
    group.run(500);
    // then
    assert_eq!(group.role(leader), Role::Leader);
    assert!(group.all_applied(index), "{}", group.describe());
}
