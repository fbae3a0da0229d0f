//! What is acknowledged of a server that leaves is on disk first.

mod directory_fixture;

use directory_fixture::*;
use shaletrail_cluster::directory::{CallOutcome, Directory, DirectoryMessage, Options};
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Incarnation, Millis};

/// A directory of one of three voters that acknowledges only what is on disk.
fn durable_directory() -> Directory {
    let options = Options { waits_for_disk: true, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    directory.set_peers(0, &[PEER, OTHER]);
    directory.set_voters(&[OWN, PEER, OTHER]);
    run_idle(&mut directory, 0, 10_000);
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    take_batches(&mut directory);
    directory
}

#[test]
fn own_knowledge_counts_once_it_is_on_disk() {
    // given
    let mut directory = durable_directory();
    let call = directory.deregister(10_010, "a");
    let unsynced = directory.take_unsynced().expect("the record has to be synced");
    assert_eq!(unsynced.records.len(), 1);
    assert_eq!(unsynced.records[0].presence, Presence::Removed);
    // when: a peer acknowledges
    let batch = take_batches(&mut directory).into_iter().find(|batch| batch.to == PEER).expect("a batch");
    directory.acknowledge(10_020, PEER, batch.number);
    // then
    assert_eq!(directory.take_completed_calls(), []);
    directory.on_synced(10_030, unsynced.ticket);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
    assert_eq!(directory.take_unsynced(), None);
}

#[test]
fn later_stage_needs_a_sync_of_its_own() {
    // given: draining is being synced while the server deregisters
    let mut directory = durable_directory();
    directory.heartbeat(10_010, "a", draining(1, 2));
    let draining = directory.take_unsynced().expect("a record");
    let call = directory.deregister(10_020, "a");
    let removed = directory.take_unsynced().expect("another record");
    let last = take_batches(&mut directory).into_iter().rfind(|batch| batch.to == PEER).expect("a batch");
    directory.acknowledge(10_030, PEER, last.number);
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
    let acknowledged = directory.merge(10_010, PEER, 7, vec![leaving.clone()]);
    // then
    assert_eq!(acknowledged, None);
    let unsynced = directory.take_unsynced().expect("a record");
    assert_eq!(directory.take_acknowledgements(), []);
    directory.on_synced(10_020, unsynced.ticket);
    assert_eq!(directory.take_acknowledgements(), [(PEER, 7)]);
    // what is on disk already is acknowledged at once, and so are batches of servers that stay
    assert_eq!(directory.merge(10_030, OTHER, 9, vec![leaving]), Some(9));
    let ready = record("b", Presence::Ready, heartbeat(2, 1));
    assert_eq!(directory.merge(10_040, OTHER, 10, vec![ready]), Some(10));
}

#[test]
fn record_on_its_way_is_no_acknowledgement() {
    // given: this coordinator's own disk is done
    let mut directory = durable_directory();
    let call = directory.deregister(10_010, "a");
    let unsynced = directory.take_unsynced().expect("a record");
    directory.on_synced(10_020, unsynced.ticket);
    // when: a peer sends the same record, which its disk may not have
    directory.merge(10_030, PEER, 3, vec![record("a", Presence::Removed, heartbeat(1, 1))]);
    // then
    assert_eq!(directory.take_completed_calls(), []);
    let batch = take_batches(&mut directory).into_iter().find(|batch| batch.to == PEER).expect("a batch");
    directory.acknowledge(10_040, PEER, batch.number);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Acknowledged(call)]);
}

#[test]
fn digests_leave_out_stages_that_are_not_on_disk() {
    // given
    let mut directory = durable_directory();
    directory.deregister(10_010, "a");
    let unsynced = directory.take_unsynced().expect("a record");
    let run_in_contact = |directory: &mut Directory, from: Millis| {
        for now in (from..from + 3_000).step_by(100) {
            directory.merge(now, PEER, now, Vec::new());
            directory.tick(now);
        }
    };
    let digests_name_it = |directory: &mut Directory| {
        let digests = directory.take_sends().into_iter().filter_map(|(_, message)| match message {
            DirectoryMessage::Digest { servers } => Some(servers),
            _ => None,
        });
        digests.flatten().any(|digest| digest.presence == Presence::Removed)
    };
    // when
    run_in_contact(&mut directory, 10_010);
    // then
    assert!(!digests_name_it(&mut directory));
    directory.on_synced(13_100, unsynced.ticket);
    run_in_contact(&mut directory, 13_100);
    assert!(digests_name_it(&mut directory));
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
    // given: a full table, and an edge that knows all of it
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
