//! The encoding of stored data: commands and snapshots of the service shards, the directory snapshot, the numbers of
//! the journal streams, and the hashes that all coordinators must compute alike.
//!
//! The next version reads this data from disk, and coordinators of two versions exchange it while a release is rolled
//! out. bitcode encodes by position: a field or variant that is moved, added, removed or swapped is decoded as another
//! value, without an error.
//!
//! If a test fails, the format has changed. Do not update the fixtures: restore the types, or introduce a new format
//! version and keep reading the old one.

mod common;
#[path = "../../protocol/tests/support/stored.rs"]
mod stored;

use common::single::SingleCoordinator;
use common::{configuration, node};
use shaletrail_cluster::directory::Options;
use shaletrail_cluster::Directory;
use shaletrail_consensus::Record;
use shaletrail_coordinator::core::demand::edge_list_hash;
use shaletrail_coordinator::core::directory_snapshot::{DirectorySnapshotWriter, STREAM};
use shaletrail_coordinator::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};
use shaletrail_coordinator::core::node_attributes;
use shaletrail_coordinator::core::shards::{shard_of, CONFIGURATION, SERVICE_SHARDS};
use shaletrail_coordinator::interface::{Action, Event, OrderOutcome, StateChange};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerState};
use shaletrail_protocol::internal::{
    OperatorCall, OperatorResponse, PlacementOverlay, Presence, ServerRecord,
};
use shaletrail_protocol::Incarnation;
use shaletrail_storage::StoredRecord;
use stored::StoredBytes;

const FIRST: LeaseHolder =
    LeaseHolder { node: shaletrail_protocol::NodeId(0x0a01_0002), fencing_token: 0x0102_0304_0506_0708 };
const SECOND: LeaseHolder =
    LeaseHolder { node: shaletrail_protocol::NodeId(0x0a01_0003), fencing_token: 0x1112_1314_1516_1718 };

fn starting_with(prefix: &str) -> StoredBytes {
    StoredBytes::read(include_str!("fixtures/stored_format.txt"), prefix)
}

#[test]
fn service_state_and_commands_keep_their_encoding() {
    let mut stored = starting_with("service ");
    let decode = |bytes: &[u8]| LeaseState::restore(bytes).expect("stored states are restored");
    let mut state = LeaseState::default();
    stored.compare("service state, none", &state, LeaseState::snapshot, decode);

    let acquire = stored.bytes("service command, begin", &LeaseState::acquire_command(FIRST));
    let epoch = LeaseEpoch { holder: FIRST, previous_holder: None, must_wait: false };
    assert_eq!(state.apply(&acquire), Some(epoch));
    stored.compare("service state, first", &state, LeaseState::snapshot, decode);

    let epoch = LeaseEpoch { holder: SECOND, previous_holder: Some(FIRST), must_wait: true };
    assert_eq!(state.apply(&LeaseState::acquire_command(SECOND)), Some(epoch));
    stored.compare("service state, second waits", &state, LeaseState::snapshot, decode);

    let wait_completed = stored.bytes("service command, waited", &LeaseState::wait_completed_command(SECOND));
    assert_eq!(state.apply(&wait_completed), None);
    assert!(state.is_wait_completed());
    stored.compare("service state, second", &state, LeaseState::snapshot, decode);
    stored.finish();
}

fn loaded_model(name: &str, version: u64, adapter: &str) -> LoadedModel {
    LoadedModel { name: name.to_owned(), version, adapters: vec![adapter.to_owned()] }
}

#[test]
fn directory_snapshot_keeps_its_encoding() {
    // given
    let mut stored = starting_with("directory ");
    let mut directory = Directory::new(Options::for_heartbeat(1200), node(1), Incarnation(5), 1_000);
    let heartbeat = Heartbeat {
        service: "chat".to_owned(),
        address: "10.3.0.7:9000".to_owned(),
        zone: "hall-b".to_owned(),
        version: "2.5.1".to_owned(),
        slots: 31,
        state: ServerState::Draining,
        cold_remaining_ms: 1250.5,
        remaining_ms: Some(30_000.25),
        phase: "combined".to_owned(),
        models: Some(vec![loaded_model("large", 32, "legal")]),
        sequence: 34,
    };
    let overlay = PlacementOverlay {
        fencing_token: 41,
        revision: 42,
        added: vec![loaded_model("tiny", 43, "poems")],
        evicting: vec![loaded_model("huge", 44, "prose")],
    };
    directory.heartbeat(1_100, "server-9", heartbeat.clone());
    directory.set_placement_overlay(1_200, "server-9", overlay.clone());

    // when
    let mut writer = DirectorySnapshotWriter::default();
    let written = writer.take_due(1_300, &directory).expect("the directory has changed");

    // then
    let bytes = stored.bytes("directory on disk", &written);
    stored.finish();
    assert_eq!(writer.live_records(), [(STREAM, bytes.clone())]);
    let mut journal =
        vec![StoredRecord { stream: 0, bytes: vec![1] }, StoredRecord { stream: STREAM, bytes }];
    let record = ServerRecord { id: "server-9".to_owned(), heartbeat, presence: Presence::Draining, overlay };
    assert_eq!(DirectorySnapshotWriter::restore_from(&mut journal), [record]);
    assert_eq!(journal, [StoredRecord { stream: 0, bytes: vec![1] }]);
}

#[test]
fn streams_and_shards_keep_their_numbers() {
    assert_eq!((CONFIGURATION, SERVICE_SHARDS, STREAM), (0, 2, 1_000));
    assert_eq!(node_attributes::STREAM, 1_002);
    let shards = ["chat", "web", "search", "service-0", "service-1", "service-2", "service-3"].map(shard_of);
    assert_eq!(shards, [1, 1, 1, 1, 2, 1, 1]);
}

#[test]
fn edge_list_hashes_are_stable() {
    assert_eq!([edge_list_hash(&[]), edge_list_hash(&[node(3), node(4)])], [1, 12_010_951_819_348_462_431]);
}

/// Returns the records on the disk of a single coordinator after it has accepted a configuration and the heartbeat of a
/// server.
fn records_on_disk() -> Vec<(u32, Vec<u8>)> {
    let mut coordinator = SingleCoordinator::new(1);
    coordinator.run(3_000);
    let call = coordinator.replace_config(0, &configuration(7, "stored.example"));
    coordinator.run(1_000);
    assert!(matches!(coordinator.operator_response(call), Some(OperatorResponse::Done { .. })));
    coordinator.heartbeat("server-9", ServerState::Ready, 34);
    coordinator.run(2_000);
    coordinator.handle(Event::Persisted { ticket: 0, wants_checkpoint: true });
    let live = coordinator.actions.iter().find_map(|action| match action {
        Action::Checkpoint { live } => Some(live.clone()),
        _ => None,
    });
    live.expect("a checkpoint is written")
}

/// Returns the records that [`records_on_disk`] returned in an earlier build.
fn records_of_earlier_build() -> Vec<StoredRecord> {
    let record = |(name, bytes): (String, Vec<u8>)| {
        let (_, stream) = name.split_once("stream ").expect("the name contains the stream");
        StoredRecord { stream: stream.parse().expect("a stream is a number"), bytes }
    };
    starting_with("disk ").into_all().into_iter().map(record).collect()
}

#[test]
fn records_stay_in_their_streams() {
    let kind = |stream: u32, bytes: &[u8]| {
        let record = if stream == STREAM { None } else { Record::decode(bytes).ok() };
        (stream, record.as_ref().map(std::mem::discriminant))
    };
    let earlier = records_of_earlier_build();
    let earlier: Vec<_> = earlier.iter().map(|stored| kind(stored.stream, &stored.bytes)).collect();
    let present = records_on_disk();
    let present: Vec<_> = present.iter().map(|(stream, bytes)| kind(*stream, bytes)).collect();
    assert_eq!(present, earlier);
}

#[test]
fn coordinator_restarts_from_disk_of_earlier_build() {
    // given
    let disk = records_of_earlier_build();
    for StoredRecord { stream, bytes } in disk.iter().filter(|stored| stored.stream != STREAM) {
        let record = Record::decode(bytes).expect("stored records decode");
        assert_eq!(record.encode(), *bytes, "stream {stream}");
    }

    // when
    let mut coordinator = SingleCoordinator::restarted(disk);
    coordinator.run(5_000);
    let read = coordinator.operator_call(OperatorCall::Read);
    coordinator.run(1_000);

    // then
    let Some(OperatorResponse::Done { body }) = coordinator.operator_response(read) else {
        panic!("no configuration is read")
    };
    let body = std::str::from_utf8(body).expect("JSON is text");
    assert!(body.contains("stored.example") && body.contains("\"version\":7"), "{body}");
    let poll = coordinator.poll(shaletrail_protocol::internal::PollRequest::default());
    let response = coordinator.poll_response(poll).expect("there are updates");
    let servers: Vec<&str> = response.servers.iter().map(|server| server.id.as_str()).collect();
    assert_eq!(servers, ["server-9"]);
}

#[test]
fn log_names_are_stable() {
    let changes = [
        StateChange::BecameLeader { shard: 1, term: 2 },
        StateChange::LostLeadership { shard: 1, term: 2 },
        StateChange::ConfigurationApplied { version: 3 },
        StateChange::VotersChanging { shard: 1, target_voters: Vec::new() },
        StateChange::OrderLeaseAcquired { shard: 1, fencing_token: 4 },
        StateChange::QuorumContactChanged(true),
        StateChange::UnreadableRecords { shard: 1 },
    ];
    let expected = [
        "BecameLeader",
        "LostLeadership",
        "ConfigurationApplied",
        "VotersChanging",
        "OrderLeaseAcquired",
        "QuorumContactChanged",
        "UnreadableRecords",
    ];
    assert_eq!(changes.map(|change| change.to_string()), expected);
    let outcomes = [
        OrderOutcome::Accepted,
        OrderOutcome::AlreadyDone,
        OrderOutcome::Busy,
        OrderOutcome::Fenced,
        OrderOutcome::Rejected,
        OrderOutcome::WrongInstance,
        OrderOutcome::NotSent,
        OrderOutcome::Unknown,
    ];
    let expected = ["Accepted", "AlreadyHeld", "Busy", "Fenced", "Rejected", "Gone", "NotSent", "Unknown"];
    assert_eq!(outcomes.map(|outcome| outcome.to_string()), expected);
}
