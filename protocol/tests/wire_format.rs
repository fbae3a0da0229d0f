//! Compatibility of the wire format between builds: frames between nodes, and JSON exchanged with model servers.
//!
//! During a rolling upgrade, nodes of two versions exchange messages. bitcode encodes by position, so if a field or
//! variant is moved, added, removed or swapped, the other version decodes another value without an error. These tests
//! compare the current types with frames that an earlier build wrote.
//!
//! If one of these tests fails, the wire format has changed. Don't replace the stored bytes: restore the types, or
//! introduce a new version of the format that is never sent to old nodes.

#[path = "support/stored.rs"]
mod stored;

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_protocol::external::{
    Heartbeat, HeartbeatResponse, LoadedModel, Operation, Order, ServerReport, ServerState,
};
use shaletrail_protocol::frame::{self, PREFIX_BYTES};
use shaletrail_protocol::internal::{
    ConfigItem, ConfigUpdate, CoordinatorMessage, Demand, DirectoryCursor, EdgeIdentity, EdgeLoadReport,
    EdgeReport, EdgeRequest, EdgeServerLoad, Handshake, ItemKey, LoadScope, MemberRecord, MemberState,
    MembershipMessage, OperatorCall, OperatorResponse, PlacementOverlay, PollRequest, PollResponse, Presence,
    ServerOutcomes, ServerRecord,
};
use shaletrail_protocol::{Incarnation, NodeId};
use stored::StoredBytes;

struct Frames(StoredBytes);

impl Frames {
    /// The stored frames whose names begin with `prefix`.
    fn starting_with(prefix: &str) -> Self {
        Frames(StoredBytes::read(include_str!("fixtures/wire_format.txt"), prefix))
    }

    fn compare<M>(&mut self, name: &str, message: &M)
    where
        M: Debug + PartialEq + bitcode::Encode + bitcode::DecodeOwned,
    {
        self.0.compare(name, message, frame::encode, |bytes| {
            let (prefix, body) = bytes.split_first_chunk::<PREFIX_BYTES>().expect("a frame has a prefix");
            assert_eq!(
                frame::body_length(*prefix),
                Ok(body.len()),
                "{name}: the prefix is the length of the body"
            );
            frame::decode(body).expect("stored frames decode")
        });
    }

    fn finish(self) {
        self.0.finish();
    }
}

fn demand() -> Demand {
    Demand {
        service: "chat".to_owned(),
        model: "large".to_owned(),
        adapter: Some("legal".to_owned()),
        arrived: 11,
        tokens: 70_012,
        priority: 3,
        queued: 14,
        over_capacity: 15,
        in_flight: 16,
    }
}

fn demand_without_adapter() -> Demand {
    Demand { service: "search".to_owned(), arrived: 17, in_flight: 18, ..Demand::default() }
}

fn server_outcomes() -> ServerOutcomes {
    ServerOutcomes { server: "server-9".to_owned(), succeeded: 21, failed: 22, unreachable: 23 }
}

fn cursor(epoch: u64, revision: u64) -> DirectoryCursor {
    DirectoryCursor { epoch: Incarnation(epoch), revision }
}

fn loaded_model(name: &str, version: u64, adapters: &[&str]) -> LoadedModel {
    let adapters = adapters.iter().map(|adapter| (*adapter).to_owned()).collect();
    LoadedModel { name: name.to_owned(), version, adapters }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        service: "chat".to_owned(),
        address: "10.3.0.7:9000".to_owned(),
        zone: "hall-b".to_owned(),
        version: "2.5.1".to_owned(),
        slots: 31,
        state: ServerState::Draining,
        cold_remaining_ms: 1250.5,
        remaining_ms: Some(30_000.25),
        phase: "combined".to_owned(),
        models: Some(vec![loaded_model("large", 32, &["legal", "medical"]), loaded_model("small", 33, &[])]),
        sequence: 34,
    }
}

fn record() -> ServerRecord {
    ServerRecord {
        id: "server-9".to_owned(),
        heartbeat: heartbeat(),
        presence: Presence::TimedOut,
        overlay: PlacementOverlay {
            fencing_token: 41,
            revision: 42,
            added: vec![loaded_model("tiny", 43, &["poems"])],
            evicting: vec![loaded_model("huge", 44, &["prose", "verse"])],
        },
    }
}

fn config_update() -> ConfigUpdate {
    ConfigUpdate {
        base: Some(51),
        version: 52,
        upsert: vec![ConfigItem {
            key: item_key("routes", "r-one"),
            json: "{\"name\":\"r-one\"}".to_owned(),
        }],
        remove: vec![item_key("services", "old"), item_key("later", "")],
    }
}

fn item_key(list: &str, name: &str) -> ItemKey {
    ItemKey { list: list.to_owned(), name: name.to_owned() }
}

fn member(node: u32, incarnation: u64, refutation: u64, state: MemberState) -> MemberRecord {
    MemberRecord { node: NodeId(node), incarnation: Incarnation(incarnation), refutation, state }
}

fn members() -> Vec<MemberRecord> {
    vec![
        member(0x0a01_0002, 0x1122_3344_5566_7788, 62, MemberState::Alive),
        member(0x0a01_0003, 0x1122_3344_5566_7799, 63, MemberState::Suspect),
        member(0x0a01_0004, 64, 65, MemberState::Dead),
    ]
}

fn change_call() -> OperatorCall {
    OperatorCall::Change { replace: true, base_version: 71, body: b"{\"version\":72}".to_vec() }
}

#[test]
fn handshakes_keep_their_bytes() {
    let mut frames = Frames::starting_with("handshake");
    let edge = EdgeIdentity {
        node: NodeId(0x0a01_0005),
        incarnation: Incarnation(0x0102_0304_0506_0708),
        zone: "hall-a".to_owned(),
    };
    frames.compare("handshake edge", &Handshake::Edge(edge));
    let coordinator =
        Handshake::Coordinator { node: NodeId(0x0a02_0006), incarnation: Incarnation(0x1112_1314_1516_1718) };
    frames.compare("handshake coordinator", &coordinator);
    frames.finish();
}

#[test]
fn edge_requests_keep_their_bytes() {
    let mut frames = Frames::starting_with("edge request");
    let poll = PollRequest {
        config_version: 81,
        cursor: cursor(0x2122_2324_2526_2728, 82),
        max_wait_ms: 2_500,
        demand: vec![demand(), demand_without_adapter()],
        server_outcomes: vec![server_outcomes()],
        edge_list_hash: 0x3132_3334_3536_3738,
    };
    frames.compare("edge request poll", &EdgeRequest::Poll(poll));
    frames.compare("edge request empty poll", &EdgeRequest::Poll(PollRequest::default()));
    frames.compare("edge request report", &EdgeRequest::Report { demand: vec![demand()] });
    frames.compare("edge request leave", &EdgeRequest::ShutdownNotice);
    frames.finish();
}

#[test]
fn poll_responses_keep_their_bytes() {
    let mut frames = Frames::starting_with("poll response");
    let full = PollResponse {
        config: Some(config_update()),
        servers: vec![record()],
        complete: true,
        cursor: cursor(0x4142_4344_4546_4748, 92),
        coordinators: vec![NodeId(0x0a01_0007), NodeId(0x0a01_0008)],
        edge_count: 93,
        edge_nodes: Some(vec![NodeId(0x0a01_0009)]),
        edge_list_hash: 94,
        isolated: false,
    };
    let isolated = PollResponse { isolated: true, ..PollResponse::default() };
    frames.compare("poll response full", &full);
    frames.compare("poll response isolated", &isolated);
    let full_update = ConfigUpdate { base: None, ..config_update() };
    let snapshot = PollResponse { config: Some(full_update), ..PollResponse::default() };
    frames.compare("poll response configuration snapshot", &snapshot);
    frames.finish();
}

#[test]
fn server_records_keep_their_bytes() {
    let mut frames = Frames::starting_with("server record");
    for presence in [Presence::Ready, Presence::Draining, Presence::TimedOut, Presence::Removed] {
        frames.compare(&format!("server record {presence}"), &ServerRecord { presence, ..record() });
    }
    for state in [ServerState::Ready, ServerState::Draining] {
        let heartbeat = Heartbeat { state, remaining_ms: None, models: None, ..heartbeat() };
        let record = ServerRecord { heartbeat, ..record() };
        frames.compare(&format!("server record without options, {state}"), &record);
    }
    frames.finish();
}

#[test]
fn edge_load_reports_keep_their_bytes() {
    let mut frames = Frames::starting_with("edge load report");
    for scope in [LoadScope::Own, LoadScope::Group, LoadScope::Fleet] {
        let loads = EdgeLoadReport {
            edge: NodeId(0x0a01_000a),
            incarnation: Incarnation(0x5152_5354_5556_5758),
            sequence: 101,
            scope,
            loads: vec![
                EdgeServerLoad {
                    server_hash: 0x6162_6364_6566_6768,
                    in_flight: 102,
                    prefill_tokens: 70_103,
                    unresponsive: true,
                },
                EdgeServerLoad { server_hash: 104, in_flight: 105, prefill_tokens: 106, unresponsive: false },
            ],
        };
        frames.compare(&format!("edge load report {scope:?}"), &loads);
    }
    frames.finish();
}

#[test]
fn coordinator_messages_keep_their_bytes() {
    let mut frames = Frames::starting_with("coordinator message");
    let ping = MembershipMessage::Ping { sequence_number: 111, members: members() };
    frames.compare("coordinator message ping", &CoordinatorMessage::Membership(ping));
    let ack = MembershipMessage::Ack { sequence_number: 112, members: members() };
    frames.compare("coordinator message ack", &CoordinatorMessage::Membership(ack));
    frames.compare(
        "coordinator message shard",
        &CoordinatorMessage::Shard { shard: 113, body: b"shard body".to_vec() },
    );
    frames.compare(
        "coordinator message directory",
        &CoordinatorMessage::Directory { body: b"directory body".to_vec() },
    );
    frames.compare(
        "coordinator message directory ack",
        &CoordinatorMessage::DirectoryAck { batch: 0x7172_7374_7576_7778 },
    );
    frames.compare(
        "coordinator message forward request",
        &CoordinatorMessage::ForwardRequest { call_id: 115, call: change_call() },
    );
    let read = CoordinatorMessage::ForwardRequest { call_id: 116, call: OperatorCall::Read };
    frames.compare("coordinator message forward request of a read", &read);
    let demand = CoordinatorMessage::Demand {
        window_ms: 117,
        edges: vec![NodeId(0x0a01_000b), NodeId(0x0a01_000c)],
        reports: vec![EdgeReport {
            edge: NodeId(0x0a01_000d),
            demand: vec![demand()],
            server_outcomes: vec![server_outcomes()],
        }],
    };
    frames.compare("coordinator message demand", &demand);
    frames.compare(
        "coordinator message applied config version",
        &CoordinatorMessage::AppliedConfigVersion { version: 118 },
    );
    frames.finish();
}

#[test]
fn operator_responses_keep_their_bytes() {
    let mut frames = Frames::starting_with("operator response");
    let responses = [
        ("done", OperatorResponse::Done { body: b"{\"version\":121}".to_vec() }),
        ("conflict", OperatorResponse::Conflict { current_version: 122 }),
        ("invalid", OperatorResponse::Invalid { reason: "body: version: missing".to_owned() }),
        ("unavailable", OperatorResponse::Unavailable),
    ];
    for (name, response) in responses {
        frames.compare(
            &format!("operator response {name}"),
            &CoordinatorMessage::ForwardResponse { call_id: 123, response },
        );
    }
    frames.finish();
}

/// Checks that serializing a value gives `text`, and that parsing `text` gives the value.
fn compare_json<T: Debug + PartialEq + Serialize + DeserializeOwned>(value: &T, text: &str) {
    assert_eq!(sonic_rs::to_string(value).expect("the value is serialized"), text);
    assert_eq!(sonic_rs::from_str::<T>(text).expect("the text is parsed"), *value);
}

#[test]
fn heartbeat_keeps_its_json() {
    compare_json(
        &heartbeat(),
        "{\"service\":\"chat\",\"address\":\"10.3.0.7:9000\",\"zone\":\"hall-b\",\"version\":\"2.5.1\",\"slots\":31,\
         \"state\":\"draining\",\"coldRemainingMs\":1250.5,\"remainingMs\":30000.25,\"phase\":\"combined\",\
         \"models\":[{\"name\":\"large\",\"version\":32,\"adapters\":[\"legal\",\"medical\"]},\
         {\"name\":\"small\",\"version\":33,\"adapters\":[]}],\"sequence\":34}",
    );
}

#[test]
fn heartbeat_with_absent_and_unknown_fields_is_parsed() {
    let text = "{\"state\":\"ready\",\"sequence\":5,\"comingSoon\":{\"a\":[1]},\"models\":[{\"name\":\"m\",\"x\":1}]}";
    let expected =
        Heartbeat { sequence: 5, models: Some(vec![loaded_model("m", 0, &[])]), ..Heartbeat::default() };
    assert_eq!(sonic_rs::from_str::<Heartbeat>(text).expect("the text is parsed"), expected);
    assert_eq!(sonic_rs::from_str::<Heartbeat>("{}").expect("the text is parsed"), Heartbeat::default());
}

#[test]
fn heartbeat_response_keeps_its_json() {
    compare_json(&HeartbeatResponse { heartbeat_endpoint: None }, "{}");
    let elsewhere = HeartbeatResponse { heartbeat_endpoint: Some("10.1.0.2:8146".to_owned()) };
    compare_json(&elsewhere, "{\"heartbeatEndpoint\":\"10.1.0.2:8146\"}");
}

#[test]
fn order_keeps_its_json() {
    let order = Order {
        operation: Operation::Load,
        model: "large".to_owned(),
        adapter: Some("legal".to_owned()),
        if_revision: Some(131),
        lease_holder: "core-a-1".to_owned(),
        fencing_token: 132,
    };
    compare_json(
        &order,
        "{\"operation\":\"load\",\"model\":\"large\",\"adapter\":\"legal\",\"ifRevision\":131,\
         \"leaseHolder\":\"core-a-1\",\"fencingToken\":132}",
    );
    let without_options = Order { operation: Operation::Evict, adapter: None, if_revision: None, ..order };
    compare_json(
        &without_options,
        "{\"operation\":\"evict\",\"model\":\"large\",\"leaseHolder\":\"core-a-1\",\"fencingToken\":132}",
    );
}

#[test]
fn server_report_keeps_its_json() {
    let report = ServerReport {
        models: vec![loaded_model("large", 141, &["legal"])],
        order_in_flight: true,
        sequence: 142,
        queued: 143,
        active: 144,
        kv_in_use: 145,
        kv_limit: 146,
    };
    compare_json(
        &report,
        "{\"models\":[{\"name\":\"large\",\"version\":141,\"adapters\":[\"legal\"]}],\"utilization\":true,\
         \"sequence\":142,\"queued\":143,\"active\":144,\"kvInUse\":145,\"kvLimit\":146}",
    );
    assert_eq!(
        sonic_rs::from_str::<ServerReport>("{\"new\":1}").expect("the text is parsed"),
        ServerReport::default()
    );
}

#[test]
fn names_in_logs_are_stable() {
    let presences = [Presence::Ready, Presence::Draining, Presence::TimedOut, Presence::Removed];
    assert_eq!(presences.map(|presence| presence.to_string()), ["Ready", "Draining", "TimedOut", "Removed"]);
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead];
    assert_eq!(states.map(|state| state.to_string()), ["Alive", "Suspect", "Dead"]);
    let states = [ServerState::Ready, ServerState::Draining];
    assert_eq!(states.map(|state| state.to_string()), ["Ready", "Draining"]);
    assert_eq!([Operation::Load, Operation::Evict].map(|operation| operation.to_string()), ["load", "evict"]);
    assert_eq!(NodeId(0x0a01_0026).to_string(), "10.1.0.38");
}
