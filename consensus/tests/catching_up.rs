//! Replicas that catch up by a snapshot while the log goes on: what is kept for them, and who waits for whom.

mod group;

use group::{node, Conditions, Group};
use shaletrail_consensus::Options;
use shaletrail_protocol::{Millis, NodeId};

/// Time between two changes, each of which is followed by a compaction at the leader.
const CHANGE_INTERVAL_MS: Millis = 50;
/// What a slow link adds to each message.
const SLOW_LINK_MS: Millis = 300;
/// How long a slow disk takes for each sync.
const SLOW_SYNC_MS: Millis = 400;
/// The way there and back, and the sync, of a snapshot and of the entries after it.
const CATCH_UP_MS: Millis = 2 * (2 * SLOW_LINK_MS + SLOW_SYNC_MS);
/// The changes that are made while one goes over the slow link, is synced and acknowledged.
const PIPELINE_CHANGES: u64 = (2 * SLOW_LINK_MS + SLOW_SYNC_MS) / CHANGE_INTERVAL_MS + 2;

fn retains_nothing(options: &mut Options) {
    options.retain_bytes = 0;
}

/// Also keeps no more than some ten entries for a replica that is catching up.
fn retains_ten_entries_for_catching_up(options: &mut Options) {
    retains_nothing(options);
    options.max_catch_up_bytes = 400;
}

/// Makes a node's disk slow, and its links in both directions. Messages stay in order, as on a connection.
fn slow_down(group: &mut Group, slow: NodeId) {
    group.conditions = Conditions { max_delay_ms: 1, ..Conditions::HEALTHY };
    group.machine(slow).sync_ms = Some(SLOW_SYNC_MS);
    for other in group.others(slow) {
        group.slow_links.insert((slow, other), SLOW_LINK_MS);
        group.slow_links.insert((other, slow), SLOW_LINK_MS);
    }
}

/// Proposes a change, lets time pass and compacts the leader's log; whether the change was accepted.
fn change_and_compact(group: &mut Group, leader: NodeId) -> bool {
    let is_accepted = group.propose(leader).is_some();
    group.run(CHANGE_INTERVAL_MS);
    group.machine(leader).compact();
    is_accepted
}

/// Changes one after the other for some time; how many were accepted and how many rejected.
fn change_for(group: &mut Group, leader: NodeId, duration: Millis) -> (u64, u64) {
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..duration / CHANGE_INTERVAL_MS {
        if change_and_compact(group, leader) {
            accepted += 1;
        } else {
            rejected += 1;
        }
    }
    (accepted, rejected)
}

fn distance(group: &Group, leader: NodeId, behind: NodeId) -> u64 {
    group.machines[&leader].applied - group.machines[&behind].applied
}

fn snapshots_sent(group: &Group) -> u64 {
    group.sent.get("InstallSnapshot").copied().unwrap_or_default()
}

/// A group whose leader's log no longer reaches back to one follower, which is slow from now on.
fn with_slow_follower_behind(
    size: u32,
    seed: u64,
    adjust_options: fn(&mut Options),
) -> (Group, NodeId, NodeId) {
    let mut group = Group::bootstrapped_with(size, seed, adjust_options);
    let leader = group.await_leader();
    group.run(500);
    let behind = group.followers()[0];
    group.isolate(behind);
    change_for(&mut group, leader, 1000);
    group.blocked_links.clear();
    slow_down(&mut group, behind);
    (group, leader, behind)
}

#[test]
fn slow_follower_catches_up_with_one_snapshot() {
    // given
    let (mut group, leader, behind) = with_slow_follower_behind(3, 1, retains_nothing);
    // when
    let (_, rejected) = change_for(&mut group, leader, CATCH_UP_MS + 1000);
    // then
    assert_eq!(rejected, 0);
    assert!(distance(&group, leader, behind) <= PIPELINE_CHANGES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
    change_for(&mut group, leader, 5000);
    assert!(distance(&group, leader, behind) <= PIPELINE_CHANGES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
}

#[test]
fn slow_learner_catches_up_with_one_snapshot() {
    // given
    let mut group = Group::bootstrapped_with(3, 2, retains_nothing);
    let leader = group.await_leader();
    change_for(&mut group, leader, 1000);
    let learner = node(9);
    group.add_machine(learner, true);
    slow_down(&mut group, learner);
    // when
    group.call(leader, |replica, _| replica.add_learner(learner));
    change_for(&mut group, leader, CATCH_UP_MS + 1000);
    // then
    assert!(distance(&group, leader, learner) <= PIPELINE_CHANGES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
}

#[test]
fn proposals_wait_for_voter_that_a_bare_quorum_will_need() {
    // given
    let (mut group, leader, behind) = with_slow_follower_behind(3, 3, retains_ten_entries_for_catching_up);
    // when
    let (accepted, rejected) = change_for(&mut group, leader, CATCH_UP_MS + 1000);
    // then: it has what the others have with one snapshot, although the bound was reached
    assert!(accepted > 0 && rejected > 0, "{accepted} accepted, {rejected} rejected");
    assert!(distance(&group, leader, behind) <= PIPELINE_CHANGES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
    // and the next loss leaves a group that goes on
    let lost = group.followers().into_iter().find(|node| *node != behind).expect("a third voter");
    group.crash(lost);
    group.run(CATCH_UP_MS);
    let accepted = group.propose(leader);
    group.run(CATCH_UP_MS);
    let (_, index) = accepted.expect("the leader accepts it");
    assert!(group.invariants.is_acknowledged(index), "{}", group.describe());
}

#[test]
fn held_proposals_go_on_once_the_voter_has_caught_up() {
    // given: one entry at a time goes to the follower
    let (mut group, leader, behind) = with_slow_follower_behind(3, 7, |options| {
        retains_ten_entries_for_catching_up(options);
        options.max_append_bytes = 1;
        options.max_in_flight_messages = 1;
    });
    while change_and_compact(&mut group, leader) {
        assert!(group.now < 30_000, "no proposal was ever held: {}", group.describe());
    }
    // when: the first proposal is accepted again
    let mut is_caught_up = false;
    while group.propose(leader).is_none() {
        group.run(CHANGE_INTERVAL_MS);
        group.machine(leader).compact();
        let matched = group.replica(leader).peer_status(behind).map(|peer| peer.matched);
        is_caught_up = matched >= Some(group.replica(leader).snapshot_index());
        assert!(group.now < 60_000, "proposals are held for ever: {}", group.describe());
    }
    // then: not just as far behind as the bound allows
    assert!(is_caught_up, "{}", group.describe());
}

#[test]
fn larger_quorum_does_not_wait_for_lagging_voter() {
    // given
    let (mut group, leader, _) = with_slow_follower_behind(5, 4, retains_ten_entries_for_catching_up);
    // when
    let (_, rejected) = change_for(&mut group, leader, CATCH_UP_MS);
    // then
    assert_eq!(rejected, 0);
}

#[test]
fn proposals_do_not_wait_for_stalled_disk() {
    // given
    let (mut group, leader, behind) = with_slow_follower_behind(3, 5, |options| {
        retains_ten_entries_for_catching_up(options);
        options.catch_up_stall_ms = 2000;
    });
    group.machine(behind).is_disk_stalled = true;
    let (_, rejected) = change_for(&mut group, leader, 2500);
    assert!(rejected > 0);
    // when
    change_for(&mut group, leader, 2000);
    // then
    let (_, rejected) = change_for(&mut group, leader, 5000);
    assert_eq!(rejected, 0, "{}", group.describe());
}

#[test]
fn proposals_do_not_wait_for_unreachable_voter() {
    // given
    let (mut group, leader, behind) = with_slow_follower_behind(3, 6, retains_ten_entries_for_catching_up);
    let (_, rejected) = change_for(&mut group, leader, 1500);
    assert!(rejected > 0);
    // when
    group.isolate(behind);
    change_for(&mut group, leader, 2000);
    // then
    let (_, rejected) = change_for(&mut group, leader, 2000);
    assert_eq!(rejected, 0, "{}", group.describe());
}
