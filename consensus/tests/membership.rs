//! Changes of voters.

mod group;

use group::{node, Group};
use shaletrail_consensus::{Message, Payload, ReplicaError, Role};
use shaletrail_protocol::{Millis, NodeId};

const LIMIT: Millis = 5000;

/// A group of three with a fourth machine that has caught up as a learner.
fn with_learner(seed: u64) -> (Group, NodeId) {
    let mut group = Group::founded(3, seed);
    let leader = group.elect();
    group.commit_one();
    group.add_machine(node(4), true);
    group.act(leader, |replica, _| replica.add_learner(node(4)));
    let caught_up = group.run_until(LIMIT, |group| {
        let peer = group.leader().and_then(|leader| group.replica(leader).peer(node(4)));
        peer.is_some_and(|peer| peer.counts_towards_quorum && peer.matched > 1)
    });
    assert!(caught_up, "{}", group.describe());
    (group, leader)
}

fn change(group: &mut Group, leader: NodeId, voters: &[u32]) -> Result<(), ReplicaError> {
    let voters = voters.iter().map(|number| node(*number)).collect();
    group.act(leader, |replica, now| replica.change_voters(now, voters)).expect("the leader runs")
}

fn has_voters(group: &Group, numbers: &[u32]) -> bool {
    let expected: Vec<NodeId> = numbers.iter().map(|number| node(*number)).collect();
    let voters = |node: &NodeId| group.replica(*node).voters().clone();
    expected.iter().all(|node| !voters(node).is_joint() && voters(node).incoming() == expected)
}

#[test]
fn given_a_learner_that_caught_up_when_it_replaces_a_follower_then_the_group_goes_on_without_the_old_one() {
    for seed in 0..10 {
        let (mut group, leader) = with_learner(seed);
        let leaving = (1..=3).find(|number| node(*number) != leader).expect("a follower");
        let staying: Vec<u32> = (1..=4).filter(|number| *number != leaving).collect();
        assert_eq!(change(&mut group, leader, &staying), Ok(()));
        assert!(group.run_until(LIMIT, |group| has_voters(group, &staying)), "{}", group.describe());
        group.crash(node(leaving));
        let another =
            staying.iter().map(|number| node(*number)).find(|node| *node != leader).expect("two more");
        group.crash(another);
        group.commit_one();
    }
}

#[test]
fn given_a_removed_voter_when_it_runs_on_then_it_does_not_disturb() {
    let (mut group, leader) = with_learner(1);
    let leaving = (1..=3).find(|number| node(*number) != leader).expect("a follower");
    let staying: Vec<u32> = (1..=4).filter(|number| *number != leaving).collect();
    assert_eq!(change(&mut group, leader, &staying), Ok(()));
    assert!(group.run_until(LIMIT, |group| has_voters(group, &staying)));
    group.run(200);
    let term = group.term(leader);
    let gone = node(leaving);
    group.filter = Some(Box::new(move |from, _, message| {
        assert_ne!(from, gone, "{message:?}");
        true
    }));
    group.run(10_000);
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
    assert_eq!(group.role(gone), Role::Learner);
}

#[test]
fn given_a_voter_removed_while_cut_off_when_it_is_back_then_it_does_not_disturb() {
    let (mut group, leader) = with_learner(2);
    let leaving = (1..=3).find(|number| node(*number) != leader).expect("a follower");
    let staying: Vec<u32> = (1..=4).filter(|number| *number != leaving).collect();
    group.isolate(node(leaving));
    assert_eq!(change(&mut group, leader, &staying), Ok(()));
    assert!(group.run_until(LIMIT, |group| has_voters(group, &staying)));
    group.run(200);
    let term = group.term(leader);
    group.cuts.clear();
    group.run(10_000);
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
}

#[test]
fn given_a_leader_when_it_is_removed_then_it_hands_over_and_stops() {
    for seed in 0..10 {
        let (mut group, leader) = with_learner(seed);
        let staying: Vec<u32> = (1..=4).filter(|number| node(*number) != leader).collect();
        assert_eq!(change(&mut group, leader, &staying), Ok(()));
        let has_moved = group.run_until(LIMIT, |group| {
            has_voters(group, &staying) && group.leader().is_some_and(|other| other != leader)
        });
        assert!(has_moved, "seed {seed}: {}", group.describe());
        assert_eq!(group.role(leader), Role::Learner);
        group.commit_one();
    }
}

#[test]
fn given_a_change_under_way_when_another_is_asked_for_then_it_is_refused() {
    let (mut group, leader) = with_learner(3);
    assert_eq!(change(&mut group, leader, &[1, 2, 3, 4]), Ok(()));
    assert_eq!(change(&mut group, leader, &[1, 2, 3]), Err(ReplicaError::ChangePending));
    assert!(group.run_until(LIMIT, |group| !group.replica(leader).is_changing_voters()));
    assert!(has_voters(&group, &[1, 2, 3, 4]));
    assert_eq!(change(&mut group, leader, &[]), Err(ReplicaError::InvalidVoters));
    assert_eq!(change(&mut group, leader, &[4, 3, 2, 1, 1]), Ok(()), "these are the voters already");
    assert!(!group.replica(leader).is_changing_voters());
    let follower = (1..=4).map(node).find(|node| *node != leader).expect("a follower");
    assert_eq!(
        change(&mut group, follower, &[1, 2, 3]),
        Err(ReplicaError::NotLeader { leader: Some(leader) })
    );
}

#[test]
fn given_a_joint_phase_when_one_half_has_no_majority_then_nothing_is_committed() {
    let mut group = Group::founded(3, 4);
    let leader = group.elect();
    group.commit_one();
    for spare in [4, 5] {
        group.add_machine(node(spare), false);
    }
    group.isolate(node(4));
    group.isolate(node(5));
    let number = (1..=3).find(|number| node(*number) == leader).expect("a founder");
    assert_eq!(change(&mut group, leader, &[number, 4, 5]), Ok(()));
    let (_, index) = group.propose(leader).expect("it leads still");
    group.run(900);
    assert!(!group.judge.is_acknowledged(index), "the incoming half has no majority");
    group.cuts.clear();
    let has_changed = group.run_until(8000, |group| has_voters(group, &[number, 4, 5]));
    assert!(has_changed, "{}", group.describe());
}

#[test]
fn given_a_joint_phase_when_the_outgoing_half_has_no_majority_then_nothing_is_committed() {
    // Long timeouts: those that are cut off are a majority of the present voters, and could elect one of their own.
    let mut group = Group::founded_with(3, 6, |options| {
        (options.election_min_ms, options.election_max_ms) = (2000, 3000);
    });
    let leader = group.elect();
    group.commit_one();
    for spare in [4, 5] {
        group.add_machine(node(spare), false);
        group.act(leader, |replica, _| replica.add_learner(node(spare)));
    }
    group.run(1000);
    let number = (1..=3).find(|number| node(*number) == leader).expect("a founder");
    let leaving: Vec<NodeId> = (1..=3).filter(|other| *other != number).map(node).collect();
    group.partition(&[leader], &leaving);
    assert_eq!(change(&mut group, leader, &[number, 4, 5]), Ok(()));
    let (_, index) = group.propose(leader).expect("it leads still");
    group.run(700);
    assert!(group.replica(node(4)).last().index >= index, "the incoming half holds it");
    assert!(!group.judge.is_acknowledged(index));
    assert!(!group.has_lease(leader));
    group.cuts.clear();
    let has_changed = group.run_until(8000, |group| has_voters(group, &[number, 4, 5]));
    assert!(has_changed, "{}", group.describe());
}

#[test]
fn given_a_leader_that_dies_in_the_joint_phase_when_another_is_elected_then_it_ends_the_change() {
    for seed in 0..10 {
        let (mut group, leader) = with_learner(seed);
        group.filter = Some(Box::new(|_, _, message| !ends_a_change(message)));
        let follower = (1..=3).find(|number| node(*number) != leader).expect("a follower");
        let staying: Vec<u32> = (1..=4).filter(|number| *number != follower).collect();
        assert_eq!(change(&mut group, leader, &staying), Ok(()));
        group.run(50);
        group.crash(leader);
        group.filter = None;
        group.run(50);
        group.restart(leader);
        assert!(
            group.run_until(8000, |group| has_voters(group, &staying)),
            "seed {seed}: {}",
            group.describe()
        );
    }
}

fn ends_a_change(message: &Message) -> bool {
    let Message::Append { entries, .. } = message else { return false };
    entries.iter().any(|entry| matches!(&entry.payload, Payload::Voters(voters) if !voters.is_joint()))
}

#[test]
fn given_a_group_of_three_when_all_its_machines_are_replaced_in_turn_then_everything_is_still_there() {
    let mut group = Group::founded(3, 5);
    let mut voters = vec![1, 2, 3];
    for newcomer in 4..=9 {
        group.commit_one();
        let removed = voters.remove(0);
        group.wipe(node(removed));
        group.machine(node(removed)).is_gone = true;
        group.add_machine(node(newcomer), true);
        voters.push(newcomer);
        let next = voters.clone();
        let mut has_changed = false;
        for _ in 0..100 {
            group.run(100);
            let Some(leader) = group.leader() else { continue };
            group.act(leader, |replica, _| replica.add_learner(node(newcomer)));
            let peer = group.replica(leader).peer(node(newcomer));
            if peer.is_some_and(|peer| peer.counts_towards_quorum) {
                let _ = change(&mut group, leader, &next);
            }
            has_changed = has_voters(&group, &next);
            if has_changed {
                break;
            }
        }
        assert!(has_changed, "{newcomer}: {}", group.describe());
    }
    group.commit_one();
    group.settle();
    for voter in voters {
        group.judge.has_all_acknowledged(&group.machines[&node(voter)]);
    }
}

#[test]
fn given_a_change_of_voters_that_a_cut_off_leader_began_when_it_returns_then_the_former_voters_are_in_force()
{
    let mut group = Group::founded(3, 21);
    let former = group.elect();
    group.commit_one();
    let before = group.replica(former).voters().clone();
    group.isolate(former);
    let elsewhere = vec![former, node(8), node(9)];
    group
        .act(former, |replica, now| replica.change_voters(now, elsewhere))
        .expect("it runs")
        .expect("it leads");
    assert!(group.replica(former).is_changing_voters());
    // Its snapshot ends before the change, and holds the voters as of there.
    group.machine(former).compact();
    group.act(former, |_, _| ());
    group.run(4000);
    group.cuts.clear();
    group.commit_one();
    group.settle();
    assert_eq!(group.replica(former).voters(), &before);
    assert!(!group.replica(former).is_changing_voters());
    // It needs none of the others' votes to lead again.
    for _ in 0..20 {
        let leader = group.elect();
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
