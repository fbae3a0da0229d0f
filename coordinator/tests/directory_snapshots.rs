//! Size of what the directory of servers stores in the journal.

mod common;

use common::responses::checkpoint;
use common::single::SingleCoordinator;
use common::{node, stored, START};
use shaletrail_cluster::directory::Options;
use shaletrail_cluster::Directory;
use shaletrail_coordinator::core::directory_snapshot::{
    DirectorySnapshotWriter, MAX_DIRECTORY_BYTES, STREAM,
};
use shaletrail_coordinator::interface::{CallId, Event};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerState};
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Incarnation, Millis};
use shaletrail_storage::StoredRecord;

/// Number of servers whose names of models are as long as a heartbeat allows.
const LARGE_SERVERS: u32 = 2_000;
/// Length of the names of a server's models, in bytes.
const MODEL_NAME_BYTES: usize = 3_000;
/// One in this many servers leaves.
const LEAVING_SHARE: u32 = 10;
/// Time between two events.
const STEP: Millis = 100;

fn large_heartbeat(number: u32, state: ServerState) -> Heartbeat {
    let name = format!("{number:0MODEL_NAME_BYTES$}");
    Heartbeat {
        service: "web".to_owned(),
        address: format!("10.1.{}.{}:8080", number / 250, number % 250),
        state,
        sequence: 1,
        models: Some(vec![LoadedModel { name, ..LoadedModel::default() }]),
        ..Heartbeat::default()
    }
}

/// Guards against a journal that has no room for a checkpoint because the directory is large.
#[test]
fn snapshot_of_large_directory_keeps_leaving_servers_and_its_limit() {
    // given
    let mut directory = Directory::new(Options::for_heartbeat(1_200), node(1), Incarnation(1), START);
    for number in 0..LARGE_SERVERS {
        let is_leaving = number % LEAVING_SHARE == 0;
        let state = if is_leaving { ServerState::Draining } else { ServerState::Ready };
        directory.heartbeat(START, &format!("server-{number}"), large_heartbeat(number, state));
    }
    assert!(LARGE_SERVERS as usize * MODEL_NAME_BYTES > MAX_DIRECTORY_BYTES);

    // when
    let mut writer = DirectorySnapshotWriter::default();
    let snapshot = writer.take_due(START + STEP, &directory).expect("the directory has changed");

    // then
    assert!(snapshot.len() <= MAX_DIRECTORY_BYTES);
    let mut journal = vec![StoredRecord { stream: STREAM, bytes: snapshot }];
    let restored = DirectorySnapshotWriter::restore_from(&mut journal);
    let leaving = restored.iter().filter(|record| record.presence == Presence::Draining).count();
    assert_eq!(leaving as u32, LARGE_SERVERS / LEAVING_SHARE);
    assert!(restored.len() > leaving, "the remaining room is used");
}

/// Guards against a journal that has no room for a checkpoint because many servers leave before the next snapshot.
#[test]
fn many_leaving_servers_make_a_snapshot_due() {
    // given
    let mut directory = Directory::new(Options::for_heartbeat(1_200), node(1), Incarnation(1), START);
    let mut writer = DirectorySnapshotWriter::default();
    directory.heartbeat(START, "first", large_heartbeat(0, ServerState::Ready));
    writer.take_due(START, &directory).expect("the directory has changed");
    let mut written = 0;
    for number in 1.. {
        directory.heartbeat(
            START,
            &format!("server-{number}"),
            large_heartbeat(number, ServerState::Draining),
        );
        let record = directory.record(&format!("server-{number}")).expect("the server is known").clone();
        written += writer.add_leaving(&[record]).len();

        // when
        let snapshot = writer.take_due(START + STEP, &directory);

        // then
        let stored: usize = writer.live_records().iter().map(|(_, bytes)| bytes.len()).sum();
        assert!(stored <= MAX_DIRECTORY_BYTES);
        if snapshot.is_some() {
            break;
        }
        assert!(written < MAX_DIRECTORY_BYTES, "no snapshot is taken");
    }
    assert_eq!(writer.live_records().len(), 1, "the snapshot contains the servers that leave");
}

/// Guards against a coordinator that runs out of memory while its disk is stalled: each change of the directory put another
/// snapshot into the queue of the journal.
#[test]
fn stalled_disk_gets_one_directory_snapshot() {
    const STALL: Millis = 60_000;
    const HEARTBEAT_INTERVAL: Millis = 500;
    // given
    let mut coordinator = SingleCoordinator::leading();
    coordinator.syncs = false;
    coordinator.heartbeat("server-0", ServerState::Ready, 1);
    coordinator.run(2_000);
    let first = coordinator.unsynced_ticket().expect("a snapshot is written");

    // when
    for number in 1..(STALL / HEARTBEAT_INTERVAL) as u32 {
        let heartbeat = large_heartbeat(number, ServerState::Ready);
        let call = CallId(u64::MAX - u64::from(number));
        coordinator.handle(Event::Heartbeat { call, id: format!("server-{number}"), heartbeat });
        coordinator.run(HEARTBEAT_INTERVAL);
    }

    // then
    assert_eq!(coordinator.unsynced_ticket(), Some(first), "no further record is queued");

    // and once the disk works again the present directory is written
    coordinator.sync();
    coordinator.handle(Event::Persisted { ticket: first, wants_checkpoint: true });
    let live = checkpoint(&coordinator.actions).expect("a checkpoint is written");
    let restored = DirectorySnapshotWriter::restore_from(&mut stored(live));
    let known: Vec<_> = coordinator.core.directory().records().cloned().collect();
    assert_eq!(restored, known);
}
