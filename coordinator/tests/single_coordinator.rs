//! Responses of a coordinator that is the only one of its system, or that has no quorum.

mod common;

use common::single::{SingleCoordinator, ELECTION};
use common::{configuration, is_done, node, nodes, stored};
use shaletrail_consensus::{LogPosition, Message, Record, RoundStamp, Snapshot, VoterSet};
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::{Action, Event, StateChange};
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{
    CoordinatorMessage, DirectoryCursor, OperatorCall, OperatorResponse, PollRequest, Presence,
};
use shaletrail_storage::StoredRecord;

#[test]
fn change_is_acknowledged_after_sync() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    coordinator.syncs = false;

    // when
    let call = coordinator.replace_config(0, &configuration(1, "a.example"));
    coordinator.run(100);

    // then
    assert_eq!(coordinator.operator_response(call), None);
    coordinator.sync();
    assert!(is_done(coordinator.operator_response(call)));
    assert_eq!(coordinator.core.configuration_version(), 1);
}

#[test]
fn duplicate_change_is_acknowledged_and_conflict_rejected() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    let first = coordinator.replace_config(0, &configuration(3, "a.example"));
    assert!(is_done(coordinator.operator_response(first)));

    // when
    let again = coordinator.replace_config(0, &configuration(3, "a.example"));
    let other = coordinator.replace_config(0, &configuration(3, "b.example"));

    // then
    assert!(is_done(coordinator.operator_response(again)));
    assert_eq!(
        coordinator.operator_response(other),
        Some(&OperatorResponse::Conflict { current_version: 3 })
    );
}

#[test]
fn expired_change_is_answered_unavailable() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    let first = coordinator.replace_config(0, &configuration(1, "a.example"));
    assert!(is_done(coordinator.operator_response(first)));
    for version in 2..=5000 {
        coordinator.actions.clear();
        let body = format!(r#"{{"version":{version}}}"#).into_bytes();
        let call = coordinator.operator_call(OperatorCall::Change {
            replace: false,
            base_version: version - 1,
            body,
        });
        assert!(is_done(coordinator.operator_response(call)), "version {version}");
    }

    // when
    let again = coordinator.replace_config(0, &configuration(1, "a.example"));
    let other = coordinator.replace_config(4000, &configuration(5001, "b.example"));

    // then
    assert_eq!(coordinator.operator_response(again), Some(&OperatorResponse::Unavailable));
    assert_eq!(
        coordinator.operator_response(other),
        Some(&OperatorResponse::Conflict { current_version: 5000 })
    );
}

#[test]
fn calls_without_leader_time_out() {
    // given
    let mut coordinator = SingleCoordinator::without_quorum();

    // when
    let change = coordinator.replace_config(0, &configuration(1, "a.example"));
    let read = coordinator.operator_call(OperatorCall::Read);
    coordinator.run(700);
    assert_eq!((coordinator.operator_response(change), coordinator.operator_response(read)), (None, None));
    coordinator.run(400);

    // then
    assert_eq!(coordinator.operator_response(change), Some(&OperatorResponse::Unavailable));
    assert_eq!(coordinator.operator_response(read), Some(&OperatorResponse::Unavailable));
}

#[test]
fn invalid_change_is_rejected_at_once() {
    let mut coordinator = SingleCoordinator::new(3);
    let call = coordinator.replace_config(0, r#"{"version":1,"routes":7}"#);
    assert!(
        matches!(coordinator.operator_response(call), Some(OperatorResponse::Invalid { .. })),
        "{:?}",
        coordinator.operator_response(call)
    );
}

#[test]
fn calls_beyond_limit_are_unavailable() {
    // given
    let mut coordinator = SingleCoordinator::new(3);
    let waiting: Vec<_> = (0..64).map(|_| coordinator.operator_call(OperatorCall::Read)).collect();
    assert!(waiting.iter().all(|call| coordinator.operator_response(*call).is_none()));

    // when
    let call = coordinator.operator_call(OperatorCall::Read);

    // then
    assert_eq!(coordinator.operator_response(call), Some(&OperatorResponse::Unavailable));
}

#[test]
fn poll_waits_for_change_or_timeout() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    coordinator.replace_config(0, &configuration(1, "a.example"));
    let first = coordinator.poll(PollRequest { max_wait_ms: 500, ..PollRequest::default() });
    let response = coordinator.poll_response(first).expect("there are updates").clone();
    assert_eq!(response.config.as_ref().map(|update| (update.base, update.version)), Some((None, 1)));

    // when
    let request = PollRequest {
        config_version: 1,
        cursor: response.cursor,
        max_wait_ms: 500,
        ..PollRequest::default()
    };
    let pending = coordinator.poll(request.clone());
    coordinator.run(400);

    // then
    assert_eq!(coordinator.poll_response(pending), None);
    coordinator.run(150);
    assert!(coordinator.poll_response(pending).expect("the wait is over").config.is_none());

    // and when
    let pending = coordinator.poll(request);
    coordinator.replace_config(1, &configuration(2, "b.example"));

    // then
    let update = coordinator
        .poll_response(pending)
        .and_then(|response| response.config.clone())
        .expect("there are updates");
    assert_eq!((update.base, update.version), (Some(1), 2));
}

#[test]
fn cancelled_poll_is_not_answered() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    coordinator.replace_config(0, &configuration(1, "a.example"));
    let first = coordinator.poll(PollRequest::default());
    let cursor = coordinator.poll_response(first).expect("there are updates").cursor;
    let pending = coordinator.poll(PollRequest {
        config_version: 1,
        cursor,
        max_wait_ms: 5_000,
        ..PollRequest::default()
    });

    // when
    coordinator.handle(Event::PollCancelled(pending));
    coordinator.replace_config(1, &configuration(2, "b.example"));

    // then
    assert_eq!(coordinator.poll_response(pending), None);
}

#[test]
fn poll_without_quorum_keeps_edge_state() {
    let mut coordinator = SingleCoordinator::without_quorum();
    let cursor = DirectoryCursor { revision: 9, ..DirectoryCursor::default() };
    let call = coordinator.poll(PollRequest {
        config_version: 4,
        cursor,
        max_wait_ms: 5_000,
        ..PollRequest::default()
    });
    let response = coordinator.poll_response(call).expect("it is answered at once");
    assert!(response.isolated);
    assert_eq!((response.config.clone(), response.servers.len(), response.complete), (None, 0, false));
    assert_eq!(response.cursor, cursor);
}

#[test]
fn draining_without_quorum_is_not_acknowledged() {
    // given
    let mut coordinator = SingleCoordinator::without_quorum();

    // when
    let ready = coordinator.heartbeat("i-1", ServerState::Ready, 1);
    let draining = coordinator.heartbeat("i-1", ServerState::Draining, 2);

    // then
    assert_eq!(coordinator.server_response(ready), Some(true));
    assert_eq!(coordinator.server_response(draining), None);
    coordinator.run(1_000);
    assert_eq!(coordinator.server_response(draining), Some(false));
}

#[test]
fn draining_with_quorum_answers_polls() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    coordinator.heartbeat("i-1", ServerState::Ready, 1);
    let first = coordinator.poll(PollRequest::default());
    let cursor = coordinator.poll_response(first).expect("there are updates").cursor;
    let pending = coordinator.poll(PollRequest { cursor, max_wait_ms: 5_000, ..PollRequest::default() });

    // when
    let draining = coordinator.heartbeat("i-1", ServerState::Draining, 2);

    // then
    assert_eq!(coordinator.server_response(draining), Some(true));
    let response = coordinator.poll_response(pending).expect("it is answered at once");
    let received: Vec<_> =
        response.servers.iter().map(|record| (record.id.as_str(), record.presence)).collect();
    assert_eq!(received, vec![("i-1", Presence::Draining)]);
}

#[test]
fn checkpoint_restores_configuration() {
    // given
    let mut coordinator = SingleCoordinator::leading();
    coordinator.replace_config(0, &configuration(5, "a.example"));

    // when
    let live = coordinator.checkpoint();

    // then
    let mut again = SingleCoordinator::restarted(stored(live));
    again.run(ELECTION);
    assert_eq!(again.core.configuration_version(), 5);
}

#[test]
fn unreadable_records_prevent_leadership() {
    // given
    let stored = vec![StoredRecord { stream: 0, bytes: vec![255; 9] }];

    // when
    let mut coordinator = SingleCoordinator::restarted(stored);
    coordinator.run(ELECTION);

    // then: it does not lead shard 0, although it is the only voter
    let is_unreadable = |change: &StateChange| matches!(change, StateChange::UnreadableRecords { shard: 0 });
    let leads = |change: &StateChange| matches!(change, StateChange::BecameLeader { shard: 0, .. });
    assert!(coordinator.has_logged(is_unreadable), "{:?}", coordinator.actions);
    assert!(!coordinator.has_logged(leads), "{:?}", coordinator.actions);
}

#[test]
fn unreadable_snapshot_prevents_leadership() {
    // given: a checkpoint whose configuration state cannot be decoded
    let mut coordinator = SingleCoordinator::leading();
    coordinator.replace_config(0, &configuration(5, "a.example"));
    let corrupt = |(stream, bytes): (u32, Vec<u8>)| match (stream, Record::decode(&bytes)) {
        (0, Ok(Record::Snapshot(snapshot))) => {
            let state = [255; 9].as_slice().into();
            StoredRecord { stream, bytes: Record::Snapshot(Snapshot { state, ..snapshot }).encode() }
        }
        _ => StoredRecord { stream, bytes },
    };
    let stored = coordinator.checkpoint().into_iter().map(corrupt).collect();

    // when
    let mut again = SingleCoordinator::restarted(stored);
    again.run(ELECTION);

    // then: it does not lead the shard with an empty state
    assert!(again.has_logged(|change| matches!(change, StateChange::UnreadableRecords { shard: 0 })));
    assert!(!again.has_logged(|change| matches!(change, StateChange::BecameLeader { shard: 0, .. })));
    assert!(again.has_logged(|change| matches!(change, StateChange::BecameLeader { shard: 1, .. })));
}

/// An event with a peer's message for a shard.
fn shard_message(from: u8, shard: u32, message: &Message) -> Event {
    let body = bitcode::encode(message);
    Event::Message { from: node(from), message: CoordinatorMessage::Shard { shard, body } }
}

/// Returns the messages that the coordinator has sent for a shard.
fn sent_in_shard(coordinator: &SingleCoordinator, shard: u32) -> Vec<Message> {
    let sent = coordinator.actions.iter().filter_map(|action| match action {
        Action::Send { message: CoordinatorMessage::Shard { shard: of, body }, .. } if *of == shard => {
            Some(bitcode::decode(body).expect("a message is received"))
        }
        _ => None,
    });
    sent.collect()
}

#[test]
fn shard_with_unreadable_snapshot_is_halted() {
    for shard in [CONFIGURATION, 1] {
        // given
        let mut coordinator = SingleCoordinator::new(3);
        coordinator.run(100);
        coordinator.actions.clear();
        let position = LogPosition { term: 2, index: 50 };
        let voters = VoterSet::new(&nodes(&[1, 2, 3]));
        let snapshot = Snapshot { position, voters, state: [255; 9].as_slice().into() };
        // when
        for round in 1..=2 {
            let stamp = RoundStamp { round, sent_at: 1 };
            let install = Message::InstallSnapshot { term: 2, snapshot: snapshot.clone(), stamp };
            coordinator.handle(shard_message(2, shard, &install));
            coordinator.run(100);
        }
        let last = LogPosition { term: 2, index: 60 };
        let vote = Message::VoteRequest { term: 3, last, leadership_transfer: true };
        coordinator.handle(shard_message(3, shard, &vote));
        coordinator.run(ELECTION);
        // then: the snapshot is not acknowledged, and the coordinator neither votes nor campaigns
        let sent = sent_in_shard(&coordinator, shard);
        let is_ack_or_vote = |message: &Message| {
            matches!(
                message,
                Message::AppendResponse { .. }
                    | Message::VoteResponse { granted: true, .. }
                    | Message::VoteRequest { .. }
            )
        };
        assert!(!sent.iter().any(is_ack_or_vote), "{sent:?}");
        let halted = StateChange::UnreadableSnapshot { shard };
        let is_halted =
            |action: &&Action| matches!(action, Action::LogStateChange(change) if *change == halted);
        assert_eq!(coordinator.actions.iter().filter(is_halted).count(), 1);
        // and after a restart it would be a recovering voter
        let hard_states = coordinator.checkpoint().into_iter().filter(|(stream, _)| *stream == shard);
        let recovering = hard_states.filter_map(|(_, bytes)| match Record::decode(&bytes) {
            Ok(Record::HardState(hard_state)) => Some(hard_state.recovering),
            _ => None,
        });
        assert_eq!(recovering.collect::<Vec<_>>(), [true]);
    }
}
