//! Helpers for tests of directories without a network: directories, heartbeats, records and message delivery.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use shaletrail_cluster::directory::{Directory, DirectoryMessage, Options};
use shaletrail_protocol::external::{Heartbeat, ServerState};
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

pub const OWN: NodeId = NodeId(1);
pub const PEER: NodeId = NodeId(2);
pub const OTHER: NodeId = NodeId(3);
pub const HEARTBEAT_MS: Millis = 1000;
/// The time-out that [`Options::for_heartbeat`] sets for [`HEARTBEAT_MS`].
pub const HEARTBEAT_TIMEOUT_MS: Millis = 3200;

pub fn directory(node: NodeId, incarnation: u64, now: Millis) -> Directory {
    Directory::new(Options::for_heartbeat(HEARTBEAT_MS), node, Incarnation(incarnation), now)
}

/// The directory of one of three voters, after ten seconds of running.
pub fn running_directory() -> Directory {
    let mut directory = directory(OWN, 11, 0);
    directory.set_peers(0, &[PEER, OTHER]);
    directory.set_voters(&[OWN, PEER, OTHER]);
    run_idle(&mut directory, 0, 10_000);
    directory
}

/// Calls `tick` at each time that the directory asks for, without other input.
pub fn run_idle(directory: &mut Directory, from: Millis, until: Millis) {
    let mut now = from;
    while now < until {
        directory.tick(now);
        now = directory.next_wake().clamp(now + 1, until);
    }
    directory.tick(until);
}

pub fn heartbeat(port: u16, sequence: u64) -> Heartbeat {
    Heartbeat {
        service: "pages".into(),
        address: format!("10.0.0.9:{port}"),
        slots: 4,
        sequence,
        ..Heartbeat::default()
    }
}

pub fn draining(port: u16, sequence: u64) -> Heartbeat {
    Heartbeat { state: ServerState::Draining, ..heartbeat(port, sequence) }
}

pub fn record(id: &str, presence: Presence, heartbeat: Heartbeat) -> ServerRecord {
    ServerRecord { id: id.into(), heartbeat, presence, ..ServerRecord::default() }
}

pub fn presence(directory: &Directory, id: &str) -> Option<Presence> {
    directory.record(id).map(|record| record.presence)
}

/// A batch that a directory has queued for sending.
pub struct SentBatch {
    pub to: NodeId,
    pub number: u64,
    pub records: Vec<ServerRecord>,
}

/// Takes the queued batches; other messages are dropped.
pub fn take_batches(directory: &mut Directory) -> Vec<SentBatch> {
    let batch = |(to, message)| match message {
        DirectoryMessage::Batch { batch, records } => Some(SentBatch { to, number: batch, records }),
        _ => None,
    };
    directory.take_messages().into_iter().filter_map(batch).collect()
}

/// Delivers the messages between two directories in both directions, acknowledgements included, for several rounds.
pub fn exchange_messages(
    now: Millis,
    left: &mut Directory,
    left_node: NodeId,
    right: &mut Directory,
    right_node: NodeId,
) {
    for _ in 0..20 {
        deliver(now, left, left_node, right, right_node);
        deliver(now, right, right_node, left, left_node);
    }
}

/// Delivers the queued messages of one directory to another, and returns the acknowledgements at once.
pub fn deliver(now: Millis, from: &mut Directory, from_node: NodeId, to: &mut Directory, to_node: NodeId) {
    for (receiver, message) in from.take_messages() {
        if receiver != to_node {
            continue;
        }
        match message {
            DirectoryMessage::Batch { batch, records } => {
                let acknowledged =
                    to.receive_batch(now, from_node, batch, records).expect("no disk to wait for");
                from.receive_acknowledgement(now, to_node, acknowledged);
            }
            DirectoryMessage::Digest { servers } => to.receive_digest(now, from_node, servers),
            DirectoryMessage::Request { servers } => to.receive_request(now, from_node, servers),
        }
    }
}
