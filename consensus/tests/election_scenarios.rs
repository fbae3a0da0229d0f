//! Election scenarios: delayed candidates, split votes, leadership transfers and late messages.

mod group;

use group::history::small_limits;
use group::scenario::{
    draw, draw_node, flip_coin, heal_and_await_leader, heal_and_await_rejoin, propose_and_read_at_leaders,
    run_up_to, run_with_seeds,
};
use group::{Conditions, Group};
use shaletrail_consensus::{Message, Role};
use shaletrail_protocol::NodeId;

#[test]
fn late_leadership_transfers_respect_a_lease() {
    run_with_seeds(10_000, |seed| {
        let mut group = Group::bootstrapped(if seed % 3 == 0 { 5 } else { 3 }, seed);
        group.should_record = |message| {
            matches!(
                message,
                Message::TimeoutNow { .. } | Message::VoteRequest { leadership_transfer: true, .. }
            )
        };
        for _ in 0..6 {
            // A leadership transfer, which may be interrupted by a crash or a partition.
            let leader = heal_and_await_leader(&mut group);
            group.call(leader, |replica, now| replica.transfer_leadership(now));
            run_up_to(&mut group, 10);
            match draw(&mut group, 3) {
                0 => group.crash(leader),
                1 | 2 => group.isolate(leader),
                _ => {}
            }
            run_up_to(&mut group, 100);
            // A leader is isolated while it holds the lease, and messages of earlier transfers arrive late.
            let leader = heal_and_await_leader(&mut group);
            group.isolate(leader);
            for _ in 0..3 {
                run_up_to(&mut group, 20);
                group.replay_recorded();
                propose_and_read_at_leaders(&mut group);
            }
            group.run(300);
        }
        group
    });
}

#[test]
fn delayed_candidates_respect_a_lease() {
    run_with_seeds(20_000, |seed| {
        let mut group = Group::bootstrapped(3, seed);
        for _ in 0..8 {
            delay_candidate_by_disk(&mut group);
        }
        group
    });
}

/// A leader is isolated for less time than it takes to step down. Meanwhile another voter wins the pre-vote, but its
/// disk stalls before it can request votes. The third voter is then in contact with the leader again. It may restart,
/// or lose its disk while the leader crashes. Only then does the candidate's vote request arrive.
fn delay_candidate_by_disk(group: &mut Group) {
    let leader = heal_and_await_rejoin(group);
    let others = group.others(leader);
    group.isolate(leader);
    others.iter().for_each(|node| group.machine(*node).is_disk_stalled = true);
    let candidate = |group: &Group| others.iter().copied().find(|node| group.role(*node) == Role::Candidate);
    let campaigns = group.run_until(950, |group| candidate(group).is_some());
    let Some(candidate) = candidate(group).filter(|_| campaigns) else { return };
    let voter = others.into_iter().find(|node| *node != candidate).expect("a third voter");
    group.machine(voter).is_disk_stalled = false;
    group.blocked_links.clear();
    group.partition(&[leader], &[candidate]);
    run_up_to(group, 300);
    if flip_coin(group) {
        // If the voter had newer entries, it would reject the candidate in any case.
        propose_and_read_at_leaders(group);
    }
    run_up_to(group, 100);
    match draw(group, 3) {
        0 | 1 => {
            group.crash(voter);
            group.restart(voter);
            run_up_to(group, 200);
        }
        2 => {
            group.wipe_disk(voter);
            group.restart(voter);
            group.crash(leader);
        }
        _ => {}
    }
    group.machine(candidate).is_disk_stalled = false;
    group.run(100);
}

#[test]
fn vote_survives_power_loss() {
    run_with_seeds(40_000, |seed| {
        let mut group = Group::bootstrapped_with(3, seed, |options| options.election_max_ms = 2000);
        group.should_record = |message| matches!(message, Message::VoteRequest { .. });
        for _ in 0..5 {
            split_votes(&mut group);
        }
        group
    });
}

/// Two voters that cannot reach each other campaign in the same term. The voter between them loses power around the
/// time of its response.
fn split_votes(group: &mut Group) {
    let middle = heal_and_await_leader(group);
    group.clear_recorded();
    let candidates = group.others(middle);
    group.partition(&[candidates[0]], &[candidates[1]]);
    group.pause(middle);
    for candidate in &candidates {
        group.machine(*candidate).is_disk_stalled = true;
    }
    // When the voter between them resumes, both candidates have requested pre-votes and have received nothing else.
    group.run(2100);
    group.resume(middle);
    let both_campaign = |group: &Group| {
        let campaigns = |node: &NodeId| group.role(*node) == Role::Candidate;
        candidates.iter().all(campaigns) && group.term(candidates[0]) == group.term(candidates[1])
    };
    if !group.run_until(1000, both_campaign) {
        return;
    }
    group.conditions = Conditions { max_sync_ms: 60, ..Conditions::HEALTHY };
    for candidate in &candidates {
        group.machine(*candidate).is_disk_stalled = false;
    }
    run_up_to(group, 40);
    group.crash(middle);
    group.restart(middle);
    group.run(20);
    // The elected candidate is isolated, and the vote request of the other one arrives late.
    for leader in group.leaders() {
        group.isolate(leader);
    }
    group.run(580);
    for _ in 0..60 {
        group.run(10);
        group.replay_recorded();
    }
}

#[test]
fn split_elections_give_one_leader_a_term() {
    run_with_seeds(45_000, |seed| {
        let mut group = Group::bootstrapped(3, seed);
        group.should_record =
            |message| matches!(message, Message::VoteRequest { .. } | Message::VoteResponse { .. });
        let middle = heal_and_await_leader(&mut group);
        let candidates = group.others(middle);
        for _ in 0..6 {
            group.partition(&[candidates[0]], &[candidates[1]]);
            group.conditions = Conditions {
                lost_permille: 300,
                duplicated_permille: 300,
                max_delay_ms: 200,
                max_sync_ms: 200,
            };
            for _ in 0..40 {
                group.run(50);
                group.replay_recorded();
                group.replay_recorded();
                for leader in group.leaders() {
                    group.crash(leader);
                    group.restart(leader);
                }
            }
            heal_and_await_leader(&mut group);
        }
        group
    });
}

#[test]
fn late_messages_of_former_terms_do_no_harm() {
    run_with_seeds(60_000, |seed| {
        let mut group = Group::bootstrapped_with(if seed % 3 == 0 { 5 } else { 3 }, seed, small_limits);
        group.should_record = |_| true;
        for _ in 0..12 {
            let leader = heal_and_await_leader(&mut group);
            match draw(&mut group, 3) {
                0 => group.crash(leader),
                1 => group.isolate(leader),
                2 => _ = group.call(leader, |replica, now| replica.transfer_leadership(now)),
                _ => {}
            }
            for _ in 0..12 {
                propose_and_read_at_leaders(&mut group);
                for _ in 0..draw(&mut group, 4) {
                    group.replay_recorded();
                }
                run_up_to(&mut group, 100);
                let nodes = group.running();
                let compacting_node = draw_node(&mut group, &nodes);
                group.machine(compacting_node).compact();
            }
        }
        group
    });
}

#[test]
fn half_of_the_voters_is_no_quorum() {
    run_with_seeds(77_000, |seed| {
        let mut group = Group::bootstrapped(4, seed);
        let leader = heal_and_await_leader(&mut group);
        let others = group.others(leader);
        group.partition(&[leader, others[0]], &others[1..]);
        for _ in 0..40 {
            propose_and_read_at_leaders(&mut group);
            run_up_to(&mut group, 200);
        }
        group
    });
}

#[test]
fn restarted_replica_serves_nothing_until_elected() {
    // given
    let mut group = Group::bootstrapped(3, 2);
    let leader = heal_and_await_leader(&mut group);
    group.commit_one();
    let member = group.others(leader)[0];
    // when
    group.crash(member);
    group.restart(member);
    // then: until it is elected anew, it neither leads nor holds a lease, and accepts no proposals or reads
    assert_eq!((group.role(member), group.has_lease(member)), (Role::Follower, false));
    assert_eq!((group.propose(member), group.read(member)), (None, None));
    assert_eq!(group.machines[&member].commands, Vec::<u64>::new(), "nothing is known to be committed yet");
    group.await_applied();
}

#[test]
fn restarted_voter_rejects_former_leader() {
    let mut reached = 0;
    for seed in 0..20 {
        // given: a leader that is isolated together with one voter, and a newer leader elected by the other three
        let mut group = Group::bootstrapped_with(5, seed, |options| options.election_max_ms = 4000);
        let former = heal_and_await_leader(&mut group);
        let others = group.others(former);
        let voter = others[0];
        group.isolate(former);
        group.isolate(voter);
        group.run_until(3500, |group| group.leaders().iter().any(|leader| *leader != former));
        let Some(newer) = group.leaders().into_iter().find(|leader| *leader != former) else { continue };
        // The voter follows the newer leader, which needs it to commit.
        group
            .blocked_links
            .retain(|(from, to)| ![*from, *to].contains(&voter) || ![*from, *to].contains(&newer));
        let isolated = others[1..].iter().copied().find(|node| *node != newer).expect("another voter");
        group.isolate(isolated);
        let (_, index) = group.propose(newer).expect("it is the leader");
        group.run(800);
        if !group.invariants.is_acknowledged(index) || !group.replica(former).is_leader() {
            continue;
        }
        reached += 1;
        // when: the voter restarts and receives messages from the former leader only, while the newer leader and its
        // follower are lost
        group.crash(voter);
        group.restart(voter);
        group.blocked_links.clear();
        let rest: Vec<NodeId> = others[1..].to_vec();
        group.partition(&[former, voter], &rest);
        group.isolate(isolated);
        for _ in 0..3 {
            group.propose(former);
        }
        group.run(700);
        group.blocked_links.clear();
        others[1..].iter().filter(|node| **node != isolated).for_each(|node| group.crash(*node));
        group.run(12_000);
        // then: no acknowledged entry is lost
        group.heal();
        group.run(8000);
        group.commit_one();
        group.await_applied();
        group.assert_nothing_lost();
    }
    assert!(reached >= 5, "only {reached} seeds reach the case");
}
