//! Journals that fill up with large changes of the configuration that are not committed yet.

mod common;

use common::simulated_cluster::SimulatedCluster;
use common::{configuration, is_done, large_replace_call, replace_call};
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::{CallId, Event};
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

/// Number of changes that the operator may have under way at the same time.
const CONCURRENT_CHANGES: u64 = 8;
/// Length of a large change, in bytes.
const LARGE_CHANGE_BYTES: usize = 3_600_000;
/// Length of each of the two sections that make up a configuration of almost the maximum size, in bytes.
const LARGE_SECTION_BYTES: usize = 6_000_000;
/// Time for the log entries to reach a follower, and for its journal to store them.
const REPLICATION_MS: Millis = 600;
/// Time for an election after the disks work again.
const ELECTION_MS: Millis = 3_000;

/// Makes the configuration almost as large as it may be.
fn commit_largest_configuration(cluster: &mut SimulatedCluster) {
    let base_version = read_version(cluster);
    for (base_version, section) in (base_version..).zip(["first", "second"]) {
        let (version, text) = (base_version + 1, "x".repeat(LARGE_SECTION_BYTES));
        let body = format!(r#"{{"version":{version},"upsert":{{"{section}":"{text}"}}}}"#);
        let update = OperatorCall::Change { replace: false, base_version, body: body.into_bytes() };
        assert!(cluster.retry_operator_call(&update).is_some(), "the change is acknowledged");
    }
}

/// A cluster of three with real journals, its leader, and its two followers.
fn bootstrapped(seed: u64) -> (SimulatedCluster, NodeId, [NodeId; 2]) {
    let cluster = SimulatedCluster::bootstrapped_with_journals(1, seed);
    let leader = cluster.leader_of(CONFIGURATION).expect("there is a leader");
    let followers: Vec<NodeId> = cluster.running().into_iter().filter(|node| *node != leader).collect();
    (cluster, leader, [followers[0], followers[1]])
}

/// Returns the version that the operator reads at any node.
fn read_version(cluster: &mut SimulatedCluster) -> u64 {
    let body = cluster.retry_operator_call(&OperatorCall::Read);
    let Some(body) = body else { panic!("the configuration cannot be read: {}", cluster.describe()) };
    let text = String::from_utf8(body).expect("the body is UTF-8");
    let digits = text.split("\"version\":").nth(1).expect("the configuration has a version");
    let end = digits.find(|character: char| !character.is_ascii_digit()).unwrap_or(digits.len());
    digits[..end].parse().expect("the version is a number")
}

/// Asserts that the configuration can be read and changed.
fn assert_configurable(cluster: &mut SimulatedCluster) {
    let version = read_version(cluster);
    let next = version + CONCURRENT_CHANGES + 1;
    let change = replace_call(version, &configuration(next, "next.example"));
    let response = cluster.retry_operator_call(&change);
    assert!(response.is_some(), "no change is acknowledged: {}", cluster.describe());
    assert_eq!(read_version(cluster), next);
}

/// Sends as many large changes at the same time as the operator may, and one of them once more, as after a timeout.
/// A follower stores what it receives, and the leader's disk and the other follower do not take part, so that nothing
/// is committed.
fn fill_journals(cluster: &mut SimulatedCluster, leader: NodeId, absent: NodeId, length: usize) {
    let base_version = read_version(cluster);
    cluster.isolate(absent);
    cluster.set_stalled(leader, true);
    for number in 0..=CONCURRENT_CHANGES {
        let version = base_version + 1 + number % CONCURRENT_CHANGES;
        cluster.send_operator_call(leader, &large_replace_call(base_version, version, length));
    }
    cluster.run(REPLICATION_MS);
}

/// Transfers the leadership away from the leader, whose disk is stalled, and then ends all faults.
fn replace_leader_and_heal(cluster: &mut SimulatedCluster, leader: NodeId) {
    cluster.handle(leader, Event::DiskDegraded { wants_checkpoint: false });
    cluster.run(REPLICATION_MS);
    cluster.set_stalled(leader, false);
    cluster.heal();
    cluster.run(ELECTION_MS);
}

/// Guards against a core that stays without a leader for good: two journals were full of entries that were not
/// committed, a checkpoint did not fit, and without one no vote could be stored.
#[test]
fn core_recovers_from_journals_full_of_uncommitted_changes() {
    for (seed, length) in [(1, LARGE_CHANGE_BYTES), (2, 2_600_000), (3, 1_100_000), (4, 400_000)] {
        // given
        let (mut cluster, leader, [_, absent]) = bootstrapped(seed);
        fill_journals(&mut cluster, leader, absent, length);

        // when
        replace_leader_and_heal(&mut cluster, leader);

        // then
        assert_configurable(&mut cluster);
    }
}

/// Guards against the same state beside the largest snapshot: the entries have to leave room for it in a checkpoint.
#[test]
fn core_recovers_from_full_journals_beside_largest_configuration() {
    // given
    let (mut cluster, leader, [_, absent]) = bootstrapped(1);
    commit_largest_configuration(&mut cluster);
    fill_journals(&mut cluster, leader, absent, LARGE_CHANGE_BYTES);

    // when
    replace_leader_and_heal(&mut cluster, leader);

    // then
    assert_configurable(&mut cluster);
}

/// Guards against a core that a restart does not bring back, with disks as an earlier version has left them: more
/// uncommitted entries than this version accepts.
#[test]
fn restarted_core_recovers_from_full_journals() {
    // given
    let (mut cluster, _, _) = bootstrapped(1);
    let nodes = cluster.running();
    for node in &nodes {
        cluster.lose_power(*node);
    }
    for node in &nodes[1..] {
        cluster.fill_journal(*node, CONFIGURATION, LARGE_CHANGE_BYTES);
    }

    // when
    for node in &nodes {
        cluster.start(*node);
    }
    cluster.run(ELECTION_MS);

    // then
    assert_configurable(&mut cluster);
}

/// Guards against a log that is full of changes that can no longer be accepted: once one of those that wait for space has
/// been applied, the others are answered without entries of their own.
#[test]
fn waiting_changes_are_answered_once_another_is_applied() {
    // given
    let (mut cluster, leader, _) = bootstrapped(1);
    let last_before = cluster.replica(leader, CONFIGURATION).last_position().index;

    // when
    let changes = 2..2 + CONCURRENT_CHANGES;
    let calls: Vec<CallId> = changes
        .map(|version| {
            cluster.send_operator_call(leader, &large_replace_call(1, version, LARGE_CHANGE_BYTES))
        })
        .collect();
    cluster.run(REPLICATION_MS);

    // then
    let responses: Vec<_> = calls.iter().map(|call| cluster.operator_response(*call)).collect();
    assert!(is_done(responses[0]), "{responses:?}");
    let conflict = Some(&OperatorResponse::Conflict { current_version: 2 });
    assert!(responses[1..].iter().all(|response| *response == conflict), "{responses:?}");
    let appended = cluster.replica(leader, CONFIGURATION).last_position().index - last_before;
    assert!(appended < CONCURRENT_CHANGES, "{appended} entries");
}

/// Guards against a journal that stays full after its disk works again: a failed checkpoint was only written again after
/// a further append, and a leader whose log is full appends nothing.
#[test]
fn core_recovers_once_checkpoints_succeed_again() {
    // given: the checkpoints of a follower fail until its journal is full
    let (mut cluster, leader, [failing, other]) = bootstrapped(1);
    cluster.set_checkpoints_fail(failing, true);
    for version in 2..12 {
        let change = large_replace_call(version - 1, version, LARGE_CHANGE_BYTES);
        assert!(cluster.retry_operator_call(&change).is_some(), "the others acknowledge the change");
    }
    // and: without the other follower the leader's log fills up
    cluster.isolate(other);
    for version in 12..12 + CONCURRENT_CHANGES {
        cluster.send_operator_call(leader, &large_replace_call(11, version, LARGE_CHANGE_BYTES));
    }
    cluster.run(ELECTION_MS);
    let replica = cluster.replica(leader, CONFIGURATION);
    assert!(replica.is_leader() && replica.commit_index() < replica.last_position().index);

    // when
    cluster.set_checkpoints_fail(failing, false);
    cluster.run(ELECTION_MS);

    // then
    let replica = cluster.replica(leader, CONFIGURATION);
    assert!(replica.is_leader() && replica.commit_index() == replica.last_position().index);
    assert_configurable(&mut cluster);
}
