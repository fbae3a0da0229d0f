//! The encoding of messages between replicas, and of the records that a replica stores on disk.
//!
//! During a rolling upgrade, replicas of two versions exchange messages, and a replica reads records written by the
//! previous version. bitcode encodes by position: if a field or variant is moved, added, removed or swapped, stored
//! bytes decode to different values without an error. These tests compare the current types with bytes written by an
//! earlier build.
//!
//! If a test fails, the format has changed. Do not update the stored bytes. Either restore the types, or give the new
//! format its own version and keep reading the old one.

#[path = "../../protocol/tests/support/stored.rs"]
mod stored;

use std::sync::Arc;

use shaletrail_consensus::{
    AppendOutcome, Entry, HardState, LogPosition, Message, Payload, Record, Role, RoundStamp, Snapshot,
    VoterSet, VoterStatus,
};
use shaletrail_protocol::NodeId;
use stored::StoredBytes;

fn starting_with(prefix: &str) -> StoredBytes {
    StoredBytes::read(include_str!("fixtures/stored_format.txt"), prefix)
}

fn nodes(numbers: &[u32]) -> Vec<NodeId> {
    numbers.iter().map(|number| NodeId(0x0a01_0000 + number)).collect()
}

/// Voters 2, 3 and 4 are incoming, and 1, 2 and 3 are outgoing.
fn joint_voters() -> VoterSet {
    VoterSet::new(&nodes(&[1, 2, 3])).joint_with(&nodes(&[2, 3, 4]))
}

fn stamp() -> RoundStamp {
    RoundStamp { round: 5, sent_at: 600_006 }
}

fn voter_status() -> VoterStatus {
    VoterStatus { disk_id: 0x0102_0304_0506_0708, recovering: true }
}

fn last() -> LogPosition {
    LogPosition { term: 7, index: 8 }
}

fn entries() -> Vec<Entry> {
    let command: Arc<[u8]> = Arc::from(&b"a command"[..]);
    vec![
        Entry { index: 9, term: 2, payload: Payload::Empty },
        Entry { index: 10, term: 3, payload: Payload::Command(command) },
        Entry { index: 11, term: 4, payload: Payload::Voters(joint_voters()) },
    ]
}

fn snapshot() -> Snapshot {
    let state: Arc<[u8]> = Arc::from(&b"the state"[..]);
    Snapshot { position: LogPosition { term: 12, index: 13 }, voters: joint_voters(), state }
}

fn messages() -> Vec<Message> {
    vec![
        Message::PreVoteRequest { term: 21, last: last() },
        Message::PreVoteResponse { term: 22, granted: true },
        Message::VoteRequest { term: 23, last: last(), leadership_transfer: true },
        Message::VoteResponse { term: 24, granted: true },
        Message::Heartbeat { term: 25, commit: 26, stamp: stamp() },
        Message::HeartbeatResponse {
            term: 27,
            stamp: stamp(),
            received: 28,
            matched: 29,
            status: voter_status(),
        },
        Message::Append { term: 30, previous: last(), entries: entries(), commit: 31, stamp: stamp() },
        Message::AppendResponse {
            term: 32,
            stamp: stamp(),
            outcome: AppendOutcome::Matched(33),
            status: voter_status(),
        },
        Message::InstallSnapshot { term: 34, snapshot: snapshot(), stamp: stamp() },
        Message::TimeoutNow { term: 35 },
        Message::Rejoin { term: 36, disk_id: 37 },
    ]
}

#[test]
fn messages_keep_their_bytes() {
    let mut stored = starting_with("message ");
    let decode = |bytes: &[u8]| bitcode::decode::<Message>(bytes).expect("stored messages decode");
    for message in messages() {
        stored.compare(&format!("message {}", message.name()), &message, bitcode::encode, decode);
    }
    let conflict = Message::AppendResponse {
        term: 38,
        stamp: stamp(),
        outcome: AppendOutcome::Conflict(39),
        status: VoterStatus { disk_id: 40, recovering: false },
    };
    stored.compare("message AppendResponse, conflict", &conflict, bitcode::encode, decode);
    stored.finish();
}

#[test]
fn records_keep_their_bytes() {
    let mut stored = starting_with("record ");
    let decode = |bytes: &[u8]| Record::decode(bytes).expect("stored records decode");
    let voted = HardState {
        term: 41,
        voted_for: Some(NodeId(0x0a01_002a)),
        recovering: false,
        disk_id: 0x1112_1314_1516_1718,
    };
    let recovering = HardState { voted_for: None, recovering: true, ..voted.clone() };
    stored.compare("record hard state, voted", &Record::HardState(voted), Record::encode, decode);
    stored.compare("record hard state, recovering", &Record::HardState(recovering), Record::encode, decode);
    stored.compare("record entries", &Record::Entries(entries()), Record::encode, decode);
    stored.compare("record snapshot", &Record::Snapshot(snapshot()), Record::encode, decode);
    stored.finish();
}

#[test]
fn names_in_logs_stay() {
    let names: Vec<&str> = messages().iter().map(Message::name).collect();
    let expected = [
        "PreVoteRequest",
        "PreVoteResponse",
        "VoteRequest",
        "VoteResponse",
        "Heartbeat",
        "HeartbeatResponse",
        "Append",
        "AppendResponse",
        "InstallSnapshot",
        "TimeoutNow",
        "Rejoin",
    ];
    assert_eq!(names, expected);
    let roles = [Role::Learner, Role::Follower, Role::PreCandidate, Role::Candidate, Role::Leader];
    let expected = ["learner", "follower", "pre_candidate", "candidate", "leader"];
    assert_eq!(roles.map(|role| role.to_string()), expected);
}
