//! Membership changes by joint consensus, and learners.

mod group;

use group::{leaves_joint, node, Group};
use shaletrail_consensus::{ReplicaError, Role};
use shaletrail_protocol::{Millis, NodeId};

const TIMEOUT_MS: Millis = 5000;

/// A group of three voters, with a fourth machine that has caught up as a learner. Returns the group and its leader.
fn with_learner(seed: u64) -> (Group, NodeId) {
    let mut group = Group::bootstrapped(3, seed);
    let leader = group.await_leader();
    group.commit_one();
    group.add_machine(node(4), true);
    group.call(leader, |replica, _| replica.add_learner(node(4)));
    let caught_up = group.run_until(TIMEOUT_MS, |group| {
        let peer = group.leader().and_then(|leader| group.replica(leader).peer_status(node(4)));
        peer.is_some_and(|peer| peer.counts_towards_quorum && peer.matched > 1)
    });
    assert!(caught_up, "{}", group.describe());
    (group, leader)
}

fn change(group: &mut Group, leader: NodeId, voters: &[u32]) -> Result<(), ReplicaError> {
    let voters = voters.iter().map(|number| node(*number)).collect();
    group.call(leader, |replica, now| replica.change_voters(now, voters)).expect("the leader is running")
}

fn has_voters(group: &Group, numbers: &[u32]) -> bool {
    let expected: Vec<NodeId> = numbers.iter().map(|number| node(*number)).collect();
    let voters = |node: &NodeId| group.replica(*node).voters().clone();
    expected.iter().all(|node| !voters(node).is_joint() && voters(node).incoming() == expected)
}

#[test]
fn learner_replaces_follower() {
    for seed in 0..10 {
        // given
        let (mut group, leader) = with_learner(seed);
        let leaving =
            (1..=3).find(|number| node(*number) != leader).expect("a group of three has a follower");
        let staying: Vec<u32> = (1..=4).filter(|number| *number != leaving).collect();
        // when
        assert_eq!(change(&mut group, leader, &staying), Ok(()));
        assert!(group.run_until(TIMEOUT_MS, |group| has_voters(group, &staying)), "{}", group.describe());
        // then
        group.crash(node(leaving));
        let another =
            staying.iter().map(|number| node(*number)).find(|node| *node != leader).expect("another voter");
        group.crash(another);
        group.commit_one();
    }
}

#[test]
fn removed_voter_sends_nothing() {
    // given
    let (mut group, leader) = with_learner(1);
    let leaving = (1..=3).find(|number| node(*number) != leader).expect("a group of three has a follower");
    let staying: Vec<u32> = (1..=4).filter(|number| *number != leaving).collect();
    assert_eq!(change(&mut group, leader, &staying), Ok(()));
    assert!(group.run_until(TIMEOUT_MS, |group| has_voters(group, &staying)));
    group.run(200);
    let term = group.term(leader);
    let removed = node(leaving);
    // when
    group.filter = Some(Box::new(move |from, _, message| {
        assert_ne!(from, removed, "{message:?}");
        true
    }));
    group.run(10_000);
    // then
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
    assert_eq!(group.role(removed), Role::Learner);
}

#[test]
fn voter_removed_while_isolated_returns_without_election() {
    // given
    let (mut group, leader) = with_learner(2);
    let leaving = (1..=3).find(|number| node(*number) != leader).expect("a group of three has a follower");
    let staying: Vec<u32> = (1..=4).filter(|number| *number != leaving).collect();
    group.isolate(node(leaving));
    assert_eq!(change(&mut group, leader, &staying), Ok(()));
    assert!(group.run_until(TIMEOUT_MS, |group| has_voters(group, &staying)));
    group.run(200);
    let term = group.term(leader);
    // when
    group.blocked_links.clear();
    group.run(10_000);
    // then
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
}

#[test]
fn removed_leader_transfers_leadership() {
    for seed in 0..10 {
        let (mut group, leader) = with_learner(seed);
        let staying: Vec<u32> = (1..=4).filter(|number| node(*number) != leader).collect();
        assert_eq!(change(&mut group, leader, &staying), Ok(()));
        let has_moved = group.run_until(TIMEOUT_MS, |group| {
            has_voters(group, &staying) && group.leader().is_some_and(|other| other != leader)
        });
        assert!(has_moved, "seed {seed}: {}", group.describe());
        assert_eq!(group.role(leader), Role::Learner);
        group.commit_one();
    }
}

#[test]
fn second_change_of_voters_is_rejected() {
    let (mut group, leader) = with_learner(3);
    assert_eq!(change(&mut group, leader, &[1, 2, 3, 4]), Ok(()));
    assert_eq!(change(&mut group, leader, &[1, 2, 3]), Err(ReplicaError::ChangePending));
    assert!(group.run_until(TIMEOUT_MS, |group| !group.replica(leader).is_changing_voters()));
    assert!(has_voters(&group, &[1, 2, 3, 4]));
    assert_eq!(change(&mut group, leader, &[]), Err(ReplicaError::InvalidVoters));
    assert_eq!(change(&mut group, leader, &[4, 3, 2, 1, 1]), Ok(()), "these are already the voters");
    assert!(!group.replica(leader).is_changing_voters());
    let follower = (1..=4).map(node).find(|node| *node != leader).expect("a group of three has a follower");
    assert_eq!(
        change(&mut group, follower, &[1, 2, 3]),
        Err(ReplicaError::NotLeader { leader: Some(leader) })
    );
}

#[test]
fn joint_commit_needs_incoming_majority() {
    // given
    let mut group = Group::bootstrapped(3, 4);
    let leader = group.await_leader();
    group.commit_one();
    for spare in [4, 5] {
        group.add_machine(node(spare), false);
    }
    group.isolate(node(4));
    group.isolate(node(5));
    let number =
        (1..=3).find(|number| node(*number) == leader).expect("the leader is one of the first voters");
    // when
    assert_eq!(change(&mut group, leader, &[number, 4, 5]), Ok(()));
    let (_, index) = group.propose(leader).expect("it is still the leader");
    group.run(900);
    // then
    assert!(!group.invariants.is_acknowledged(index), "the incoming voters have no majority");
    group.blocked_links.clear();
    let has_changed = group.run_until(8000, |group| has_voters(group, &[number, 4, 5]));
    assert!(has_changed, "{}", group.describe());
}

#[test]
fn joint_commit_needs_outgoing_majority() {
    // given: long election timeouts, because the isolated voters are a majority of the current set and would otherwise
    // elect a leader
    let mut group = Group::bootstrapped_with(3, 6, |options| {
        (options.election_min_ms, options.election_max_ms) = (2000, 3000);
    });
    let leader = group.await_leader();
    group.commit_one();
    for spare in [4, 5] {
        group.add_machine(node(spare), false);
        group.call(leader, |replica, _| replica.add_learner(node(spare)));
    }
    group.run(1000);
    let number =
        (1..=3).find(|number| node(*number) == leader).expect("the leader is one of the first voters");
    let leaving: Vec<NodeId> = (1..=3).filter(|other| *other != number).map(node).collect();
    // when
    group.partition(&[leader], &leaving);
    assert_eq!(change(&mut group, leader, &[number, 4, 5]), Ok(()));
    let (_, index) = group.propose(leader).expect("it is still the leader");
    group.run(700);
    // then
    assert!(group.replica(node(4)).last_position().index >= index, "the incoming voters hold the entry");
    assert!(!group.invariants.is_acknowledged(index));
    assert!(!group.has_lease(leader));
    group.blocked_links.clear();
    let has_changed = group.run_until(8000, |group| has_voters(group, &[number, 4, 5]));
    assert!(has_changed, "{}", group.describe());
}

#[test]
fn next_leader_ends_joint_phase() {
    for seed in 0..10 {
        // given
        let (mut group, leader) = with_learner(seed);
        group.drop_messages(leaves_joint);
        let follower =
            (1..=3).find(|number| node(*number) != leader).expect("a group of three has a follower");
        let staying: Vec<u32> = (1..=4).filter(|number| *number != follower).collect();
        assert_eq!(change(&mut group, leader, &staying), Ok(()));
        group.run(50);
        // when
        group.crash(leader);
        group.filter = None;
        group.run(50);
        group.restart(leader);
        // then
        assert!(
            group.run_until(8000, |group| has_voters(group, &staying)),
            "seed {seed}: {}",
            group.describe()
        );
    }
}

#[test]
fn replacing_all_voters_in_turn_loses_nothing() {
    let mut group = Group::bootstrapped(3, 5);
    let mut voters = vec![1, 2, 3];
    for joining in 4..=9 {
        group.commit_one();
        let removed = voters.remove(0);
        group.wipe_disk(node(removed));
        group.machine(node(removed)).is_removed = true;
        group.add_machine(node(joining), true);
        voters.push(joining);
        let next = voters.clone();
        let mut has_changed = false;
        for _ in 0..100 {
            group.run(100);
            let Some(leader) = group.leader() else { continue };
            group.call(leader, |replica, _| replica.add_learner(node(joining)));
            let peer = group.replica(leader).peer_status(node(joining));
            if peer.is_some_and(|peer| peer.counts_towards_quorum) {
                let _ = change(&mut group, leader, &next);
            }
            has_changed = has_voters(&group, &next);
            if has_changed {
                break;
            }
        }
        assert!(has_changed, "{joining}: {}", group.describe());
    }
    group.commit_one();
    group.await_applied();
    for voter in voters {
        group.invariants.assert_nothing_lost(&group.machines[&node(voter)]);
    }
}

#[test]
fn uncommitted_change_of_voters_is_rolled_back() {
    // given
    let mut group = Group::bootstrapped(3, 21);
    let former = group.await_leader();
    group.commit_one();
    let before = group.replica(former).voters().clone();
    group.isolate(former);
    let new_voters = vec![former, node(8), node(9)];
    group
        .call(former, |replica, now| replica.change_voters(now, new_voters))
        .expect("the machine is running")
        .expect("it is the leader");
    assert!(group.replica(former).is_changing_voters());
    // when: it compacts its log up to before the change, and returns to a group that went on without the change
    group.machine(former).compact();
    group.call(former, |_, _| ());
    group.run(4000);
    group.blocked_links.clear();
    group.commit_one();
    group.await_applied();
    // then
    assert_eq!(group.replica(former).voters(), &before);
    assert!(!group.replica(former).is_changing_voters());
    // It can lead again without votes from the nodes of the rolled-back change. Other leaders are crashed until it
    // does.
    for _ in 0..20 {
        let leader = group.await_leader();
        if leader == former {
            break;
        }
        group.crash(leader);
        group.run(2500);
        group.restart(leader);
        group.run(1000);
    }
    group.commit_one();
}
