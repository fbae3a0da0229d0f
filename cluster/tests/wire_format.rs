//! The bytes that the directories of two coordinators exchange, and the hashes that they must agree on.
//!
//! Coordinators of two versions exchange messages during a rolling upgrade, and bitcode encodes by position: a field
//! or variant that is moved, added, removed or swapped is read as another value by the other version, without an
//! error. These tests compare the present types with bytes that an earlier build wrote.
//!
//! If one fails, the wire format has changed. Don't store new bytes: restore the types, or give the new format a
//! version of its own that is never sent to old nodes.

#[path = "../../protocol/tests/support/stored.rs"]
mod stored;

use shaletrail_cluster::directory::{DirectoryMessage, Options, ServerDigest, ServerKey};
use shaletrail_cluster::node_attributes::{AttributeMessage, AttributeRecord, NodeAttributes};
use shaletrail_cluster::{rendezvous, Directory, NodeAttributesTable};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerState};
use shaletrail_protocol::internal::{PlacementOverlay, Presence, ServerRecord};
use shaletrail_protocol::{Incarnation, NodeId};
use stored::StoredBytes;

const SELF: NodeId = NodeId(0x0a01_0002);
const PEER: NodeId = NodeId(0x0a01_0003);
/// The key of `server-9`.
const KEY: u64 = 0xaa03_8d11_56b1_ada7;
/// The fingerprint of [`heartbeat`] with [`overlay`].
const FINGERPRINT: u32 = 0x2c79_8b68;

fn compare(stored: &mut StoredBytes, name: &str, message: &DirectoryMessage) {
    stored.compare(name, message, bitcode::encode, |bytes| {
        bitcode::decode(bytes).expect("stored messages decode")
    });
}

fn loaded_model(name: &str, version: u64, adapter: &str) -> LoadedModel {
    LoadedModel { name: name.to_owned(), version, adapters: vec![adapter.to_owned()] }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        service: "chat".to_owned(),
        address: "10.3.0.7:9000".to_owned(),
        zone: "hall-b".to_owned(),
        version: "2.5.1".to_owned(),
        slots: 31,
        state: ServerState::Ready,
        cold_remaining_ms: 1250.5,
        remaining_ms: Some(30_000.25),
        phase: "combined".to_owned(),
        models: Some(vec![loaded_model("large", 32, "legal")]),
        sequence: 34,
    }
}

fn overlay() -> PlacementOverlay {
    PlacementOverlay {
        fencing_token: 41,
        revision: 42,
        added: vec![loaded_model("tiny", 43, "poems")],
        evicting: vec![loaded_model("huge", 44, "prose")],
    }
}

fn digest(key: u64, presence: Presence) -> ServerDigest {
    ServerDigest { key: ServerKey(key), sequence: 51, fingerprint: 0x6162_6364, presence, age_ms: 70_052 }
}

#[test]
fn directory_messages_keep_their_bytes() {
    let text = include_str!("fixtures/wire_format.txt");
    let mut stored = StoredBytes::read(text, "");
    let record = ServerRecord {
        id: "server-9".to_owned(),
        heartbeat: heartbeat(),
        presence: Presence::Draining,
        overlay: overlay(),
    };
    let batch = DirectoryMessage::Batch { batch: 0x0102_0304_0506_0708, records: vec![record] };
    compare(&mut stored, "batch", &batch);
    for presence in [Presence::Ready, Presence::Draining, Presence::TimedOut, Presence::Removed] {
        let servers = vec![digest(0x1112_1314_1516_1718, presence), digest(53, Presence::Ready)];
        compare(&mut stored, &format!("digest {presence}"), &DirectoryMessage::Digest { servers });
    }
    let servers = vec![ServerKey(0x2122_2324_2526_2728), ServerKey(54)];
    compare(&mut stored, "request", &DirectoryMessage::Request { servers });
    stored.finish();
}

#[test]
fn node_attributes_keep_their_bytes() {
    let mut stored = StoredBytes::read(include_str!("fixtures/node_attributes.txt"), "");
    let record = |node: NodeId, revision: u64, zone: &str, counts: bool| AttributeRecord {
        node,
        revision,
        attributes: NodeAttributes::new(zone, "north", counts),
    };
    let records =
        vec![record(SELF, 0x0102_0304_0506_0708, "hall-a", true), record(PEER, 56, "hall-b", false)];

    // The record in the journal.
    let decode = |bytes: &[u8]| NodeAttributesTable::decode(bytes).expect("stored records decode");
    stored.compare("record", &records, bitcode::encode, decode);
    let own = records[0].attributes.clone();
    let restored = NodeAttributesTable::new(SELF, Incarnation(57), own, records.clone());
    assert_eq!(restored.live_record(), Some(bitcode::encode(&records)));

    // The messages.
    let decode = |bytes: &[u8]| bitcode::decode(bytes).expect("stored messages decode");
    let table = AttributeMessage::Table { version: 0x1112_1314_1516_1718, records };
    stored.compare("table", &table, bitcode::encode, decode);
    let ack = AttributeMessage::Ack { version: 0x2122_2324_2526_2728 };
    stored.compare("ack", &ack, bitcode::encode, decode);
    stored.finish();
}

#[test]
fn hashes_of_servers_stay_the_same_in_every_version() {
    // given
    let mut directory = Directory::new(Options::for_heartbeat(1200), SELF, Incarnation(55), 1_000);
    directory.set_peers(1_000, &[SELF, PEER]);
    directory.heartbeat(1_100, "server-9", heartbeat());
    directory.set_placement_overlay(1_200, "server-9", overlay());

    // when
    for (peer, message) in directory.take_messages() {
        if let DirectoryMessage::Batch { batch, .. } = message {
            directory.receive_acknowledgement(1_250, peer, batch);
        }
    }
    directory.heartbeat(1_250, "server-9", Heartbeat { sequence: 35, ..heartbeat() });
    directory.tick(1_300);

    // then
    let sends = directory.take_messages();
    let digests = sends.iter().find_map(|(_, message)| match message {
        DirectoryMessage::Digest { servers } => Some(servers.as_slice()),
        _ => None,
    });
    let expected = ServerDigest {
        key: ServerKey(KEY),
        sequence: 35,
        fingerprint: FINGERPRINT,
        presence: Presence::Ready,
        age_ms: 50,
    };
    assert_eq!(digests, Some(&[expected][..]));
    assert_eq!(ServerKey::of("server-9"), ServerKey(KEY));
}

#[test]
fn ranks_of_nodes_stay_the_same_in_every_version() {
    let nodes: Vec<NodeId> = (1..=5).map(|number| NodeId(0x0a01_0000 + number)).collect();
    let ranked =
        |key: u64| rendezvous::rank(key, &nodes).iter().map(|node| node.0 & 0xff).collect::<Vec<_>>();
    assert_eq!((ranked(1), ranked(2)), (vec![3, 1, 4, 5, 2], vec![5, 2, 4, 1, 3]));
    assert_eq!(rendezvous::node_key(nodes[0]), 0x22e3_db18_399e_019b);
}
