//! Who leads, and who must not.

mod group;

use group::{node, Group};
use shaletrail_consensus::{Message, Role};

#[test]
fn given_three_seeds_when_the_group_is_founded_then_one_leads_within_half_a_second() {
    for seed in 0..50 {
        let mut group = Group::founded(3, seed);
        let is_led =
            group.run_until(500, |group| group.leader().is_some_and(|leader| group.has_lease(leader)));
        assert!(is_led, "seed {seed}: {}", group.describe());
    }
}

#[test]
fn given_founders_that_start_one_after_the_other_when_all_run_then_they_are_one_group() {
    let founders = [node(1), node(2), node(3)];
    for seed in 0..20 {
        let mut group = Group::empty(seed, |_| {});
        for founder in [node(3), node(1), node(2)] {
            group.add_machine(founder, false);
            group.act(founder, |replica, now| replica.bootstrap(now, &founders));
            group.run(130);
        }
        let index = group.commit_one();
        group.settle();
        assert!(group.all_applied(index));
    }
}

#[test]
fn given_a_leader_when_it_crashes_then_another_leads_within_two_and_a_half_seconds() {
    for seed in 0..30 {
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(1000);
        group.crash(leader);
        let is_led =
            group.run_until(2500, |group| group.leader().is_some_and(|leader| group.has_lease(leader)));
        assert!(is_led, "seed {seed}: {}", group.describe());
    }
}

#[test]
fn given_a_follower_cut_off_for_long_when_it_returns_then_leader_and_term_stay() {
    let mut group = Group::founded(3, 1);
    let leader = group.elect();
    let term = group.term(leader);
    let follower = follower_of(&group);
    group.isolate(follower);
    group.run(10_000);
    group.cuts.clear();
    group.run(3000);
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
    assert_eq!(group.replica(follower).leader(), Some(leader));
}

#[test]
fn given_a_follower_that_hears_nothing_but_can_send_when_time_passes_then_leader_and_term_stay() {
    let mut group = Group::founded(3, 2);
    let leader = group.elect();
    let term = group.term(leader);
    let follower = follower_of(&group);
    for other in group.running() {
        group.cuts.insert((other, follower));
    }
    group.run(10_000);
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
}

#[test]
fn given_a_leader_that_hears_nobody_but_can_send_when_time_passes_then_another_leads() {
    let mut group = Group::founded(3, 3);
    let leader = group.elect();
    for other in group.running() {
        group.cuts.insert((other, leader));
    }
    let has_changed = group.run_until(4000, |group| group.leader().is_some_and(|other| other != leader));
    assert!(has_changed, "{}", group.describe());
    assert!(!group.replica(leader).is_leader());
}

#[test]
fn given_a_leader_cut_off_when_a_second_passes_then_it_has_stepped_down() {
    let mut group = Group::founded(3, 4);
    let leader = group.elect();
    group.isolate(leader);
    group.run(1100);
    assert_ne!(group.role(leader), Role::Leader);
}

#[test]
fn given_a_machine_without_voters_when_time_passes_then_it_says_nothing() {
    let mut group = Group::founded(3, 5);
    group.elect();
    let fresh = node(9);
    group.add_machine(fresh, true);
    group.filter = Some(Box::new(move |from, _, message| {
        assert_ne!(from, fresh, "{message:?}");
        true
    }));
    group.run(10_000);
    assert_eq!(group.role(fresh), Role::Learner);
}

#[test]
fn given_a_leader_when_it_hands_over_then_another_leads_at_once() {
    for seed in 0..20 {
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.run(500);
        group.act(leader, |replica, now| replica.transfer_leadership(now));
        assert!(!group.has_lease(leader));
        let has_changed = group.run_until(100, |group| group.leader().is_some_and(|other| other != leader));
        assert!(has_changed, "seed {seed}: {}", group.describe());
    }
}

#[test]
fn given_a_voter_whose_disk_hangs_when_the_leader_dies_then_the_voter_does_not_stand() {
    let mut group = Group::founded(5, 6);
    let leader = group.elect();
    group.run(500);
    let sick = follower_of(&group);
    group.machine(sick).is_disk_stalled = true;
    group.propose(leader);
    group.run(600);
    group.crash(leader);
    for _ in 0..100 {
        group.run(50);
        assert!(!matches!(group.role(sick), Role::PreCandidate | Role::Candidate | Role::Leader));
    }
    assert!(group.leader().is_some());
}

#[test]
fn given_one_voter_when_it_is_founded_then_it_leads_and_commits_alone() {
    let mut group = Group::founded(1, 7);
    let index = group.commit_one();
    assert!(group.all_applied(index));
}

#[test]
fn given_a_pre_vote_when_a_leader_was_heard_then_it_is_not_answered() {
    let mut group = Group::founded(3, 8);
    let leader = group.elect();
    group.run(500);
    let voter = follower_of(&group);
    let last = group.replica(leader).last();
    let term = group.term(leader) + 1;
    let before = group.sent.get("PreVoteResponse").copied();
    group.forge(node(77), voter, Message::PreVoteRequest { term, last });
    group.forge(node(77), voter, Message::VoteRequest { term, last, leadership_transfer: false });
    group.run(20);
    assert_eq!(group.sent.get("PreVoteResponse").copied(), before);
    assert_eq!(group.term(voter), group.term(leader));
}

fn follower_of(group: &Group) -> shaletrail_protocol::NodeId {
    let follower = group.running().into_iter().find(|node| group.role(*node) == Role::Follower);
    follower.expect("a group has a follower")
}
