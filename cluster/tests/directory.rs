//! Tests of one coordinator's directory: heartbeats, pending calls, time-outs, and updates for edges.

mod directory_fixture;

use directory_fixture::*;
use shaletrail_cluster::directory::{CallOutcome, CallToken, Directory, HeartbeatOutcome, Options};
use shaletrail_protocol::external::{Heartbeat, LoadedModel};
use shaletrail_protocol::internal::{DirectoryCursor, Presence};
use shaletrail_protocol::{Incarnation, Millis};

/// Sends a draining heartbeat of server `a`; returns the token of the call, which waits for a majority.
fn start_draining(directory: &mut Directory, now: Millis, sequence: u64) -> CallToken {
    directory
        .heartbeat(now, "a", draining(1, sequence))
        .call
        .expect("a draining heartbeat waits for a majority")
}

#[test]
fn only_first_of_two_equal_heartbeats_is_a_change() {
    // given
    let mut directory = running_directory();

    // when
    let first = directory.heartbeat(10_000, "a", heartbeat(1, 1));
    let second = directory.heartbeat(11_000, "a", Heartbeat { cold_remaining_ms: 0.0, ..heartbeat(1, 2) });

    // then
    assert_eq!(first, HeartbeatOutcome { changed: true, call: None });
    assert_eq!(second, HeartbeatOutcome { changed: false, call: None });
    assert_eq!(directory.record("a").map(|record| record.heartbeat.sequence), Some(2));
}

#[test]
fn loaded_model_is_pushed_to_all_peers() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    take_batches(&mut directory);

    // when
    let models = Some(vec![LoadedModel { name: "m".into(), version: 1, adapters: vec![] }]);
    assert!(directory.heartbeat(10_500, "a", Heartbeat { models, ..heartbeat(1, 2) }).changed);

    // then
    let batches = take_batches(&mut directory);
    assert_eq!(batches.iter().map(|batch| batch.to).collect::<Vec<_>>(), [PEER, OTHER]);
    assert!(batches.iter().all(|batch| batch.records[0].heartbeat.models.is_some()));
}

#[test]
fn late_heartbeat_changes_nothing() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 5));

    // when
    let late = directory.heartbeat(10_100, "a", Heartbeat { slots: 9, ..heartbeat(1, 4) });

    // then
    assert!(!late.changed);
    assert_eq!(directory.record("a").map(|record| record.heartbeat.slots), Some(4));
}

#[test]
fn draining_and_removed_are_final() {
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.heartbeat(10_100, "a", draining(1, 2));
    directory.heartbeat(10_200, "a", heartbeat(1, 3));
    directory.receive_batch(10_300, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 9))]);
    assert_eq!(presence(&directory, "a"), Some(Presence::Draining));
    directory.deregister(10_400, "a");
    directory.heartbeat(10_500, "a", draining(1, 10));
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
}

#[test]
fn draining_with_older_sequence_is_merged() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 5));

    // when
    directory.receive_batch(10_100, PEER, 1, vec![record("a", Presence::Draining, draining(1, 4))]);

    // then
    assert_eq!(presence(&directory, "a"), Some(Presence::Draining));
    assert_eq!(directory.record("a").map(|record| record.heartbeat.sequence), Some(5));
}

#[test]
fn draining_is_acknowledged_by_a_majority() {
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    let earlier = take_batches(&mut directory);
    let call = start_draining(&mut directory, 10_100, 2);
    for batch in &earlier {
        directory.receive_acknowledgement(10_110, batch.to, batch.number);
    }
    assert_eq!(
        directory.take_completed_calls(),
        [],
        "acknowledgements of earlier batches do not count for the drain"
    );
    assert!(!directory.is_known_to_majority("a"));
    let batches = take_batches(&mut directory);
    directory.receive_acknowledgement(10_120, batches[1].to, batches[1].number);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
    assert!(directory.is_known_to_majority("a"));
}

#[test]
fn repeated_draining_is_acknowledged_at_once() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", draining(1, 1));
    let batches = take_batches(&mut directory);
    directory.receive_acknowledgement(10_010, batches[0].to, batches[0].number);
    directory.take_completed_calls();

    // when
    let call = start_draining(&mut directory, 11_000, 2);

    // then
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
}

#[test]
fn call_fails_without_acknowledgements() {
    let mut directory = running_directory();
    let call = start_draining(&mut directory, 10_000, 1);
    run_idle(&mut directory, 10_000, 10_899);
    assert_eq!(directory.take_completed_calls(), []);
    run_idle(&mut directory, 10_899, 10_900);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Failed(call)]);
}

#[test]
fn draining_is_not_acknowledged_without_voters() {
    // given
    let mut directory = directory(OWN, 11, 0);

    // when
    directory.heartbeat(10, "a", draining(1, 1));

    // then
    assert_eq!(directory.take_completed_calls(), []);
    assert!(!directory.is_known_to_majority("a"));
}

#[test]
fn single_voter_acknowledges_draining_at_once() {
    // given
    let mut directory = directory(OWN, 11, 0);
    directory.set_voters(&[OWN]);

    // when
    let call = start_draining(&mut directory, 10, 1);

    // then
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
}

#[test]
fn late_heartbeat_does_not_revive_deregistered_server() {
    let mut directory = running_directory();
    directory.deregister(10_000, "a");
    directory.heartbeat(10_100, "a", heartbeat(1, 7));
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
    run_idle(&mut directory, 10_100, 45_000);
    directory.receive_batch(45_000, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 8))]);
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
    run_idle(&mut directory, 45_000, 120_000);
    assert_eq!(presence(&directory, "a"), None, "the tombstone has expired");
}

#[test]
fn server_times_out_recovers_and_is_forgotten() {
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    run_idle(&mut directory, 10_000, 10_000 + HEARTBEAT_TIMEOUT_MS - 1);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    run_idle(&mut directory, 10_000 + HEARTBEAT_TIMEOUT_MS - 1, 13_500);
    assert_eq!(presence(&directory, "a"), Some(Presence::TimedOut));
    assert!(directory.heartbeat(13_600, "a", heartbeat(1, 2)).changed);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    run_idle(&mut directory, 13_600, 36_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::TimedOut));
    run_idle(&mut directory, 36_000, 38_000);
    assert_eq!(presence(&directory, "a"), None);
}

#[test]
fn recently_started_coordinator_times_out_no_server() {
    // given
    let mut directory = directory(OWN, 11, 50_000);
    directory.receive_batch(50_000, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 1))]);
    assert!(directory.is_recently_started(50_000 + HEARTBEAT_TIMEOUT_MS - 1));

    // when
    run_idle(&mut directory, 50_000, 50_000 + HEARTBEAT_TIMEOUT_MS - 1);

    // then
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
}

#[test]
fn coordinator_without_quorum_contact_times_out_no_server() {
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.set_quorum_contact(11_000, false);
    run_idle(&mut directory, 11_000, 60_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    directory.set_quorum_contact(60_000, true);
    run_idle(&mut directory, 60_000, 60_000 + HEARTBEAT_TIMEOUT_MS - 1);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    run_idle(&mut directory, 60_000 + HEARTBEAT_TIMEOUT_MS - 1, 64_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::TimedOut));
}

#[test]
fn stalled_coordinator_does_not_time_out_servers_at_once() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    run_idle(&mut directory, 10_000, 11_000);

    // when
    directory.tick(25_000);
    run_idle(&mut directory, 25_000, 28_000);

    // then
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
}

#[test]
fn new_server_replaces_previous_owner_of_address() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "old", heartbeat(1, 7));
    run_idle(&mut directory, 10_000, 12_000);

    // when
    directory.heartbeat(12_000, "new", heartbeat(1, 1));

    // then
    assert_eq!(presence(&directory, "old"), Some(Presence::Removed));
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
}

#[test]
fn late_heartbeat_of_previous_owner_does_not_replace_live_server() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "new", heartbeat(1, 1));

    // when
    directory.heartbeat(10_900, "old", heartbeat(1, 7));
    for second in 11..20 {
        directory.heartbeat(second * 1000, "new", heartbeat(1, second));
        directory.tick(second * 1000);
    }

    // then
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
    assert_eq!(presence(&directory, "old"), Some(Presence::TimedOut));
}

#[test]
fn late_heartbeat_after_stall_replaces_no_server() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "new", heartbeat(1, 5));

    // when
    directory.heartbeat(20_000, "old", heartbeat(1, 7));

    // then
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
}

#[test]
fn announced_termination_removes_server() {
    let mut directory = running_directory();
    let termination_notice = Heartbeat { remaining_ms: Some(1500.0), ..draining(1, 2) };
    directory.heartbeat(10_000, "a", termination_notice);
    run_idle(&mut directory, 10_000, 11_400);
    assert_eq!(presence(&directory, "a"), Some(Presence::Draining));
    run_idle(&mut directory, 11_400, 11_800);
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
}

#[test]
fn non_finite_remaining_time_is_ignored() {
    // given
    let mut directory = running_directory();

    // when
    for (sequence, remaining) in [f64::NAN, f64::INFINITY, 1e300].into_iter().enumerate() {
        let non_finite = Heartbeat { remaining_ms: Some(remaining), ..heartbeat(1, sequence as u64 + 1) };
        directory.heartbeat(10_000, "a", non_finite);
    }
    run_idle(&mut directory, 10_000, 11_000);

    // then
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
}

#[test]
fn edge_receives_each_change_once() {
    let mut directory = running_directory();
    let start = directory.updates_since(DirectoryCursor::default());
    assert!(start.complete && start.records.is_empty());
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.heartbeat(10_000, "b", heartbeat(2, 1));
    directory.heartbeat(10_100, "a", draining(1, 2));
    let update = directory.updates_since(start.cursor);
    assert!(!update.complete);
    let changes: Vec<(&str, Presence)> =
        update.records.iter().map(|record| (record.id.as_str(), record.presence)).collect();
    assert_eq!(changes, [("b", Presence::Ready), ("a", Presence::Draining)]);
    directory.heartbeat(11_000, "b", heartbeat(2, 2));
    let unchanged = directory.updates_since(update.cursor);
    assert_eq!((unchanged.records.len(), unchanged.complete, unchanged.cursor), (0, false, update.cursor));
}

#[test]
fn stale_cursor_gets_complete_directory() {
    let options = Options { max_changes: 4, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    directory.heartbeat(0, "a", heartbeat(1, 1));
    let early = directory.cursor();
    for slots in 1..=4 {
        directory.heartbeat(10, "b", Heartbeat { slots, ..heartbeat(2, u64::from(slots)) });
    }
    assert!(!directory.updates_since(early).complete);
    directory.heartbeat(20, "c", heartbeat(3, 1));
    assert!(directory.updates_since(early).complete);
    assert_eq!(directory.updates_since(early).records.len(), 3);
    let other = DirectoryCursor { epoch: Incarnation(10), ..directory.cursor() };
    assert!(directory.updates_since(other).complete);
    let ahead = DirectoryCursor { revision: 1000, ..directory.cursor() };
    assert!(directory.updates_since(ahead).complete);
}

#[test]
fn full_table_evicts_removed_servers_first() {
    let options = Options { max_servers: 50, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    for server in 0..50 {
        directory.heartbeat(u64::from(server), &format!("s{server}"), heartbeat(server, 1));
    }
    directory.deregister(60, "s30");
    directory.heartbeat(61, "newest", heartbeat(99, 1));
    assert_eq!(directory.records().count(), 50);
    assert_eq!(presence(&directory, "s30"), None);
    assert_eq!(presence(&directory, "newest"), Some(Presence::Ready));
    for server in 100..300 {
        directory.heartbeat(u64::from(server), &format!("s{server}"), heartbeat(server, 1));
        assert_eq!(directory.records().count(), 50);
    }
}

#[test]
fn deregistration_after_termination_is_acknowledged() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", Heartbeat { remaining_ms: Some(100.0), ..draining(1, 2) });
    run_idle(&mut directory, 10_000, 10_500);
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
    let batches = take_batches(&mut directory);
    batches.iter().for_each(|batch| directory.receive_acknowledgement(10_500, batch.to, batch.number));

    // when
    let call = directory.deregister(10_600, "a");
    let batches = take_batches(&mut directory);
    batches.iter().for_each(|batch| directory.receive_acknowledgement(10_610, batch.to, batch.number));

    // then
    assert!(directory.take_completed_calls().contains(&CallOutcome::Acknowledged(call)));
}
