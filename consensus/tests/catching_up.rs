//! Replicas that catch up from a snapshot while new entries are being committed: which entries the leader retains for
//! them, and when it rejects proposals on their behalf.

mod group;

use group::{node, Conditions, Group};
use shaletrail_consensus::Options;
use shaletrail_protocol::{Millis, NodeId};

/// Time between two proposals, in milliseconds. Each is followed by a compaction at the leader.
const PROPOSAL_INTERVAL_MS: Millis = 50;
/// Delay that a slow link adds to each message, in milliseconds.
const SLOW_LINK_MS: Millis = 300;
/// Duration of each sync on a slow disk, in milliseconds.
const SLOW_SYNC_MS: Millis = 400;
/// Time to transfer, sync and acknowledge a snapshot and then the entries after it, in milliseconds.
const CATCH_UP_MS: Millis = 2 * (2 * SLOW_LINK_MS + SLOW_SYNC_MS);
/// Upper bound of the proposals made while one entry crosses the slow link, is synced and is acknowledged.
const MAX_PIPELINED_ENTRIES: u64 = (2 * SLOW_LINK_MS + SLOW_SYNC_MS) / PROPOSAL_INTERVAL_MS + 2;

fn retain_nothing(options: &mut Options) {
    options.retain_bytes = 0;
}

/// Also limits the entries kept for a replica that is catching up to about ten.
fn retain_ten_entries_for_catching_up(options: &mut Options) {
    retain_nothing(options);
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

/// Proposes a command, lets time pass and compacts the leader's log. Returns whether the proposal was accepted.
fn propose_and_compact(group: &mut Group, leader: NodeId) -> bool {
    let is_accepted = group.propose(leader).is_some();
    group.run(PROPOSAL_INTERVAL_MS);
    group.machine(leader).compact();
    is_accepted
}

/// Proposes commands for some time. Returns how many were accepted and how many were rejected.
fn propose_for(group: &mut Group, leader: NodeId, duration: Millis) -> (u64, u64) {
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..duration / PROPOSAL_INTERVAL_MS {
        if propose_and_compact(group, leader) {
            accepted += 1;
        } else {
            rejected += 1;
        }
    }
    (accepted, rejected)
}

fn entries_behind(group: &Group, leader: NodeId, lagging: NodeId) -> u64 {
    group.machines[&leader].applied - group.machines[&lagging].applied
}

fn snapshots_sent(group: &Group) -> u64 {
    group.sent.get("InstallSnapshot").copied().unwrap_or_default()
}

/// A group with a follower that needs entries which the leader's log no longer contains, and whose disk and links are
/// slow from now on. Returns the group, the leader and the follower.
fn with_slow_lagging_follower(
    size: u32,
    seed: u64,
    adjust_options: fn(&mut Options),
) -> (Group, NodeId, NodeId) {
    let mut group = Group::bootstrapped_with(size, seed, adjust_options);
    let leader = group.await_leader();
    group.run(500);
    let lagging = group.followers()[0];
    group.isolate(lagging);
    propose_for(&mut group, leader, 1000);
    group.blocked_links.clear();
    slow_down(&mut group, lagging);
    (group, leader, lagging)
}

#[test]
fn slow_follower_catches_up_with_one_snapshot() {
    // given
    let (mut group, leader, lagging) = with_slow_lagging_follower(3, 1, retain_nothing);
    // when
    let (_, rejected) = propose_for(&mut group, leader, CATCH_UP_MS + 1000);
    // then
    assert_eq!(rejected, 0);
    assert!(entries_behind(&group, leader, lagging) <= MAX_PIPELINED_ENTRIES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
    propose_for(&mut group, leader, 5000);
    assert!(entries_behind(&group, leader, lagging) <= MAX_PIPELINED_ENTRIES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
}

#[test]
fn slow_learner_catches_up_with_one_snapshot() {
    // given
    let mut group = Group::bootstrapped_with(3, 2, retain_nothing);
    let leader = group.await_leader();
    propose_for(&mut group, leader, 1000);
    let learner = node(9);
    group.add_machine(learner, true);
    slow_down(&mut group, learner);
    // when
    group.call(leader, |replica, _| replica.add_learner(learner));
    propose_for(&mut group, leader, CATCH_UP_MS + 1000);
    // then
    assert!(entries_behind(&group, leader, learner) <= MAX_PIPELINED_ENTRIES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
}

#[test]
fn proposals_are_rejected_while_minimal_quorum_would_need_lagging_voter() {
    // given
    let (mut group, leader, lagging) = with_slow_lagging_follower(3, 3, retain_ten_entries_for_catching_up);
    // when
    let (accepted, rejected) = propose_for(&mut group, leader, CATCH_UP_MS + 1000);
    // then: it catches up with one snapshot, although the retention limit was reached
    assert!(accepted > 0 && rejected > 0, "{accepted} accepted, {rejected} rejected");
    assert!(entries_behind(&group, leader, lagging) <= MAX_PIPELINED_ENTRIES, "{}", group.describe());
    assert_eq!(snapshots_sent(&group), 1);
    // and: after the loss of another voter, the group continues to commit
    let lost = group.followers().into_iter().find(|node| *node != lagging).expect("a third voter");
    group.crash(lost);
    group.run(CATCH_UP_MS);
    let accepted = group.propose(leader);
    group.run(CATCH_UP_MS);
    let (_, index) = accepted.expect("the leader accepts the proposal");
    assert!(group.invariants.is_acknowledged(index), "{}", group.describe());
}

#[test]
fn proposals_are_accepted_again_once_the_voter_has_caught_up() {
    // given: the follower receives one entry at a time
    let (mut group, leader, lagging) = with_slow_lagging_follower(3, 7, |options| {
        retain_ten_entries_for_catching_up(options);
        options.max_append_bytes = 1;
        options.max_in_flight_messages = 1;
    });
    while propose_and_compact(&mut group, leader) {
        assert!(group.now < 30_000, "no proposal was ever rejected: {}", group.describe());
    }
    // when: proposals are accepted again
    let mut is_caught_up = false;
    while group.propose(leader).is_none() {
        group.run(PROPOSAL_INTERVAL_MS);
        group.machine(leader).compact();
        let matched = group.replica(leader).peer_status(lagging).map(|peer| peer.matched);
        is_caught_up = matched >= Some(group.replica(leader).snapshot_index());
        assert!(group.now < 60_000, "proposals are still rejected: {}", group.describe());
    }
    // then: the follower has caught up, and does not stay as far behind as the limit allows
    assert!(is_caught_up, "{}", group.describe());
}

#[test]
fn larger_quorum_does_not_wait_for_lagging_voter() {
    // given
    let (mut group, leader, _) = with_slow_lagging_follower(5, 4, retain_ten_entries_for_catching_up);
    // when
    let (_, rejected) = propose_for(&mut group, leader, CATCH_UP_MS);
    // then
    assert_eq!(rejected, 0);
}

#[test]
fn proposals_do_not_wait_for_stalled_disk() {
    // given
    let (mut group, leader, lagging) = with_slow_lagging_follower(3, 5, |options| {
        retain_ten_entries_for_catching_up(options);
        options.catch_up_stall_ms = 2000;
    });
    group.machine(lagging).is_disk_stalled = true;
    let (_, rejected) = propose_for(&mut group, leader, 2500);
    assert!(rejected > 0);
    // when
    propose_for(&mut group, leader, 2000);
    // then
    let (_, rejected) = propose_for(&mut group, leader, 5000);
    assert_eq!(rejected, 0, "{}", group.describe());
}

#[test]
fn proposals_do_not_wait_for_unreachable_voter() {
    // given
    let (mut group, leader, lagging) = with_slow_lagging_follower(3, 6, retain_ten_entries_for_catching_up);
    let (_, rejected) = propose_for(&mut group, leader, 1500);
    assert!(rejected > 0);
    // when
    group.isolate(lagging);
    propose_for(&mut group, leader, 2000);
    // then
    let (_, rejected) = propose_for(&mut group, leader, 2000);
    assert_eq!(rejected, 0, "{}", group.describe());
}
