//! Leader leases, and the voters' side of them.

mod group;

use group::Group;
use shaletrail_consensus::{Message, RoundStamp, VoterStatus};

#[test]
fn lease_of_isolated_leader_expires_before_next_election() {
    for seed in 0..30 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(1000);
        // when
        group.isolate(leader);
        group.run(505);
        // then
        assert!(!group.has_lease(leader), "seed {seed}");
        assert_eq!(group.leader(), Some(leader), "the leader does not know yet that it is isolated");
    }
}

#[test]
fn paused_leader_resumes_without_lease() {
    for seed in 0..30 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(1000);
        group.pause(leader);
        let has_leader = group.run_until(4000, |group| group.leader().is_some());
        assert!(has_leader);
        group.commit_one();
        // when
        group.resume(leader);
        // then
        assert!(!group.has_lease(leader), "seed {seed}");
        let proposed = group.propose(leader);
        group.run(500);
        assert!(!group.replica(leader).is_leader());
        if let Some((_, index)) = proposed {
            assert!(!group.invariants.is_acknowledged(index) || group.machines[&leader].applied >= index);
        }
    }
}

#[test]
fn lease_counts_from_sending_not_response() {
    for seed in 0..10 {
        // given: a leader that is paused after it sent heartbeats and before it receives the responses
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(1000);
        group.read(leader).expect("a read starts a round");
        let sent_at = group.machines[&leader].clock(group.now);
        group.pause(leader);
        group.run(495);
        assert!(group.replica(leader).lease_until().is_some_and(|until| until <= sent_at + 500));
        // when: it receives the responses after the lease has expired
        group.run(50);
        assert!(group.machines[&leader].inbox.len() >= 2, "the responses have arrived");
        group.resume(leader);
        // then: they do not renew the lease
        assert!(!group.has_lease(leader), "seed {seed}");
        assert!(group.replica(leader).lease_until().is_none_or(|until| until == sent_at + 500));
    }
}

#[test]
fn impossible_stamp_does_not_extend_lease() {
    // given
    let mut group = Group::bootstrapped(3, 2);
    let leader = group.await_leader();
    group.run(1000);
    for follower in group.followers() {
        group.blocked_links.insert((follower, leader));
    }
    let until = group.replica(leader).lease_until();
    // when
    for (follower, disk_id) in group.followers().into_iter().zip([1, 2]) {
        let status = VoterStatus { disk_id, recovering: false };
        let stamp = RoundStamp { round: u64::MAX, sent_at: u64::MAX };
        let term = group.term(leader);
        let response = Message::HeartbeatResponse { term, stamp, received: 99, matched: 99, status };
        group.inject(follower, leader, response);
    }
    // then
    group.run(20);
    assert_eq!(group.replica(leader).lease_until(), until);
}

#[test]
fn restarted_voters_wait_before_they_vote() {
    for seed in 0..30 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(1000);
        let others = group.followers();
        // when
        group.isolate(leader);
        for other in &others {
            group.crash(*other);
            group.restart(*other);
        }
        // then: the voters elect nobody yet. The invariant checker panics if a second lease starts before the first one
        // ends.
        group.run(550);
        assert!(others.iter().all(|other| !group.replica(*other).is_leader()), "seed {seed}");
        group.commit_one();
    }
}

#[test]
fn restarting_voter_respects_lease() {
    for seed in 0..30 {
        // given: a follower that has lost contact with the leader and is about to campaign
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.run(1000);
        let others = group.followers();
        group.partition(&[leader], &[others[0]]);
        group.run(5000);
        // when: the other follower responds to the leader, and then restarts again and again
        for _ in 0..40 {
            group.crash(others[1]);
            group.restart(others[1]);
            group.run(160);
        }
        // then: the invariant checker has seen no second lease, and the leader has kept its own
        assert_eq!(group.leader(), Some(leader), "seed {seed}");
    }
}

#[test]
fn stamp_from_the_future_does_not_extend_lease() {
    // given
    let mut group = Group::bootstrapped(3, 9);
    let leader = group.await_leader();
    group.run(1000);
    let until = group.replica(leader).lease_until();
    let now = group.machines[&leader].clock(group.now);
    // when
    for follower in group.followers() {
        let stamp = RoundStamp { round: group.last_rounds[&leader], sent_at: now + 5000 };
        group.forge_heartbeat_response(follower, leader, stamp);
    }
    // then
    group.run(20);
    assert_eq!(group.replica(leader).lease_until(), until);
}

#[test]
fn lease_is_capped_below_election_timeout() {
    // given
    let mut group = Group::bootstrapped_with(3, 11, |options| options.lease_ms = 5000);
    let leader = group.await_leader();
    group.run(1000);
    // when
    group.isolate(leader);
    group.run(545);
    // then
    assert!(!group.has_lease(leader));
    // The invariant checker panics if a second lease starts before the first one ends.
    group.run(3000);
    assert!(group.leader().is_some_and(|other| other != leader));
}
