//! Elections: who becomes leader, who remains leader, and who must not campaign.

mod group;

use group::{node, Group};
use shaletrail_consensus::{Message, Role};

#[test]
fn bootstrapped_group_elects_leader_quickly() {
    for seed in 0..50 {
        let mut group = Group::bootstrapped(3, seed);
        let has_leader =
            group.run_until(500, |group| group.leader().is_some_and(|leader| group.has_lease(leader)));
        assert!(has_leader, "seed {seed}: {}", group.describe());
    }
}

#[test]
fn staggered_bootstrap_makes_one_group() {
    let first_voters = [node(1), node(2), node(3)];
    for seed in 0..20 {
        let mut group = Group::empty(seed, |_| {});
        for voter in [node(3), node(1), node(2)] {
            group.add_machine(voter, false);
            group.call(voter, |replica, now| replica.bootstrap(now, &first_voters));
            group.run(130);
        }
        let index = group.commit_one();
        group.await_applied();
        assert!(group.all_applied(index));
    }
}

#[test]
fn crashed_leader_is_replaced_in_time() {
    for seed in 0..30 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(1000);
        // when
        group.crash(leader);
        let has_leader =
            group.run_until(2500, |group| group.leader().is_some_and(|leader| group.has_lease(leader)));
        // then
        assert!(has_leader, "seed {seed}: {}", group.describe());
    }
}

#[test]
fn partitioned_follower_returns_without_election() {
    // given
    let mut group = Group::bootstrapped(3, 1);
    let leader = group.await_leader();
    let term = group.term(leader);
    let follower = follower_of(&group);
    // when
    group.isolate(follower);
    group.run(10_000);
    group.blocked_links.clear();
    group.run(3000);
    // then
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
    assert_eq!(group.replica(follower).leader(), Some(leader));
}

#[test]
fn follower_that_receives_nothing_causes_no_election() {
    // given
    let mut group = Group::bootstrapped(3, 2);
    let leader = group.await_leader();
    let term = group.term(leader);
    let follower = follower_of(&group);
    // when
    for other in group.running() {
        group.blocked_links.insert((other, follower));
    }
    group.run(10_000);
    // then
    assert_eq!((group.leader(), group.term(leader)), (Some(leader), term));
}

#[test]
fn leader_that_receives_nothing_is_replaced() {
    // given
    let mut group = Group::bootstrapped(3, 3);
    let leader = group.await_leader();
    // when
    for other in group.running() {
        group.blocked_links.insert((other, leader));
    }
    let has_changed = group.run_until(4000, |group| group.leader().is_some_and(|other| other != leader));
    // then
    assert!(has_changed, "{}", group.describe());
    assert!(!group.replica(leader).is_leader());
}

#[test]
fn leader_without_quorum_steps_down() {
    // given
    let mut group = Group::bootstrapped(3, 4);
    let leader = group.await_leader();
    // when
    group.isolate(leader);
    group.run(1100);
    // then
    assert_ne!(group.role(leader), Role::Leader);
}

#[test]
fn replica_without_voters_sends_nothing() {
    // given
    let mut group = Group::bootstrapped(3, 5);
    group.await_leader();
    let new_node = node(9);
    group.add_machine(new_node, true);
    // when
    group.filter = Some(Box::new(move |from, _, message| {
        assert_ne!(from, new_node, "{message:?}");
        true
    }));
    group.run(10_000);
    // then
    assert_eq!(group.role(new_node), Role::Learner);
}

#[test]
fn leadership_transfer_elects_another_at_once() {
    for seed in 0..20 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(500);
        // when
        group.call(leader, |replica, now| replica.transfer_leadership(now));
        // then
        assert!(!group.has_lease(leader));
        let has_changed = group.run_until(100, |group| group.leader().is_some_and(|other| other != leader));
        assert!(has_changed, "seed {seed}: {}", group.describe());
    }
}

#[test]
fn voter_with_stalled_disk_does_not_campaign() {
    // given
    let mut group = Group::bootstrapped(5, 6);
    let leader = group.await_leader();
    group.run(500);
    let stalled = follower_of(&group);
    group.machine(stalled).is_disk_stalled = true;
    group.propose(leader);
    group.run(600);
    // when
    group.crash(leader);
    // then
    for _ in 0..100 {
        group.run(50);
        assert!(!matches!(group.role(stalled), Role::PreCandidate | Role::Candidate | Role::Leader));
    }
    assert!(group.leader().is_some());
}

#[test]
fn single_voter_leads_and_commits() {
    let mut group = Group::bootstrapped(1, 7);
    let index = group.commit_one();
    assert!(group.all_applied(index));
}

#[test]
fn voter_in_leader_lease_ignores_candidates() {
    // given
    let mut group = Group::bootstrapped(3, 8);
    let leader = group.await_leader();
    group.run(500);
    let voter = follower_of(&group);
    let last = group.replica(leader).last_position();
    let term = group.term(leader) + 1;
    let before = group.sent.get("PreVoteResponse").copied();
    // when
    group.inject(node(77), voter, Message::PreVoteRequest { term, last });
    group.inject(node(77), voter, Message::VoteRequest { term, last, leadership_transfer: false });
    group.run(20);
    // then
    assert_eq!(group.sent.get("PreVoteResponse").copied(), before);
    assert_eq!(group.term(voter), group.term(leader));
}

fn follower_of(group: &Group) -> shaletrail_protocol::NodeId {
    let follower = group.running().into_iter().find(|node| group.role(*node) == Role::Follower);
    follower.expect("a group has a follower")
}

#[test]
fn leader_that_transferred_its_leadership_lets_others_campaign_first() {
    for seed in 0..40 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let former = group.await_leader();
        group.run(1000);
        // when: it gives up leadership, but no successor is asked to campaign
        group.drop_messages(|message| matches!(message, Message::TimeoutNow { .. }));
        group.call(former, |replica, now| replica.transfer_leadership(now));
        let has_leader = group.run_until(4000, |group| group.leader().is_some());
        // then: another replica leads, because the reason for the transfer still exists
        assert!(has_leader, "seed {seed}: {}", group.describe());
        assert_ne!(group.leader(), Some(former), "seed {seed}");
    }
}
