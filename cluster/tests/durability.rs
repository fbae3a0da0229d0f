//! Tests that a drain or deregistration is acknowledged only once it is on disk.

mod directory_fixture;

use directory_fixture::*;
use shaletrail_cluster::directory::{CallOutcome, Directory, DirectoryMessage, Options};
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Incarnation, Millis};

/// The directory of one of three voters, with `sync_before_acknowledging`: it acknowledges a stage only once that is on disk.
fn durable_directory() -> Directory {
    let options = Options { sync_before_acknowledging: true, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    directory.set_peers(0, &[PEER, OTHER]);
    directory.set_voters(&[OWN, PEER, OTHER]);
    run_idle(&mut directory, 0, 10_000);
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    take_batches(&mut directory);
    directory
}

#[test]
fn own_record_counts_for_majority_once_it_is_on_disk() {
    // given
    let mut directory = durable_directory();
    let call = directory.deregister(10_010, "a");
    let unsynced = directory.take_unsynced().expect("the removed record has to be synced");
    assert_eq!(unsynced.records.len(), 1);
    assert_eq!(unsynced.records[0].presence, Presence::Removed);
    // when: a peer acknowledges
    let batch = take_batches(&mut directory).into_iter().find(|batch| batch.to == PEER).expect("a batch");
    directory.receive_acknowledgement(10_020, PEER, batch.number);
    // then
    assert_eq!(directory.take_completed_calls(), []);
    directory.on_synced(10_030, unsynced.ticket);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
    assert_eq!(directory.take_unsynced(), None);
}

#[test]
fn later_stage_needs_its_own_sync() {
    // given: the server deregisters while its draining record is being synced
    let mut directory = durable_directory();
    directory.heartbeat(10_010, "a", draining(1, 2));
    let draining = directory.take_unsynced().expect("a record");
    let call = directory.deregister(10_020, "a");
    let removed = directory.take_unsynced().expect("another record");
    let last = take_batches(&mut directory).into_iter().rfind(|batch| batch.to == PEER).expect("a batch");
    directory.receive_acknowledgement(10_030, PEER, last.number);
    // when
    directory.on_synced(10_040, draining.ticket);
    // then
    assert_eq!(directory.take_completed_calls(), []);
    directory.on_synced(10_050, removed.ticket);
    assert!(directory.take_completed_calls().contains(&CallOutcome::Acknowledged(call)));
}

#[test]
fn batch_is_acknowledged_once_its_stages_are_on_disk() {
    // given
    let mut directory = durable_directory();
    let leaving = record("a", Presence::Draining, draining(1, 2));
    // when
    let acknowledged = directory.receive_batch(10_010, PEER, 7, vec![leaving.clone()]);
    // then
    assert_eq!(acknowledged, None);
    let unsynced = directory.take_unsynced().expect("a record");
    assert_eq!(directory.take_deferred_acknowledgements(), []);
    directory.on_synced(10_020, unsynced.ticket);
    assert_eq!(directory.take_deferred_acknowledgements(), [(PEER, 7)]);
    // Stages that are already on disk, and records of servers that are still ready, are acknowledged at once.
    assert_eq!(directory.receive_batch(10_030, OTHER, 9, vec![leaving]), Some(9));
    let ready = record("b", Presence::Ready, heartbeat(2, 1));
    assert_eq!(directory.receive_batch(10_040, OTHER, 10, vec![ready]), Some(10));
}

#[test]
fn record_received_from_peer_is_not_an_acknowledgement() {
    // given: the removal is on this coordinator's own disk
    let mut directory = durable_directory();
    let call = directory.deregister(10_010, "a");
    let unsynced = directory.take_unsynced().expect("a record");
    directory.on_synced(10_020, unsynced.ticket);
    // when: a peer sends the same record, which may not be on its disk yet
    directory.receive_batch(10_030, PEER, 3, vec![record("a", Presence::Removed, heartbeat(1, 1))]);
    // then
    assert_eq!(directory.take_completed_calls(), []);
    let batch = take_batches(&mut directory).into_iter().find(|batch| batch.to == PEER).expect("a batch");
    directory.receive_acknowledgement(10_040, PEER, batch.number);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
}

#[test]
fn digests_leave_out_stages_that_are_not_on_disk() {
    // given
    let mut directory = durable_directory();
    directory.deregister(10_010, "a");
    let unsynced = directory.take_unsynced().expect("a record");
    let run_with_contact_to_peer = |directory: &mut Directory, from: Millis| {
        for now in (from..from + 3_000).step_by(100) {
            directory.receive_batch(now, PEER, now, Vec::new());
            directory.tick(now);
        }
    };
    let digests_contain_removed = |directory: &mut Directory| {
        let digests = directory.take_messages().into_iter().filter_map(|(_, message)| match message {
            DirectoryMessage::Digest { servers } => Some(servers),
            _ => None,
        });
        digests.flatten().any(|digest| digest.presence == Presence::Removed)
    };
    // when
    run_with_contact_to_peer(&mut directory, 10_010);
    // then
    assert!(!digests_contain_removed(&mut directory));
    directory.on_synced(13_100, unsynced.ticket);
    run_with_contact_to_peer(&mut directory, 13_100);
    assert!(digests_contain_removed(&mut directory));
}

#[test]
fn restored_stages_are_on_disk() {
    // given
    let mut directory = durable_directory();
    // when
    directory.restore(10_010, vec![record("b", Presence::Removed, heartbeat(2, 1))]);
    // then
    assert_eq!(directory.take_unsynced(), None);
}

#[test]
fn evicted_server_is_published_to_edges() {
    // given: a full table, and an edge that has received all of it
    let options = Options { max_servers: 2, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    directory.heartbeat(10, "a", heartbeat(1, 1));
    directory.heartbeat(20, "b", heartbeat(2, 1));
    let cursor = directory.cursor();
    // when
    directory.heartbeat(30, "c", heartbeat(3, 1));
    // then
    let update = directory.updates_since(cursor);
    assert!(update.complete);
    let mut ids: Vec<&str> = update.records.iter().map(|record| record.id.as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["b", "c"]);
}
