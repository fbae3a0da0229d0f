//! What one coordinator answers by itself, and what it leaves without an answer.

mod common;

use common::{configuration, Alone};
use shaletrail_consensus::{Record, Snapshot};
use shaletrail_coordinator::interface::{Action, Event, StateChange};
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{DirectoryCursor, OperatorCall, OperatorResponse, PollRequest, Presence};
use shaletrail_storage::StoredRecord;

/// Long enough for an election among those that are there.
const ELECTION: u64 = 2_000;

fn leading() -> Alone {
    let mut alone = Alone::new(1);
    alone.run(ELECTION);
    alone
}

fn is_done(answer: Option<&OperatorResponse>) -> bool {
    matches!(answer, Some(OperatorResponse::Done { .. }))
}

#[test]
fn given_a_lone_coordinator_when_a_change_is_not_synced_then_it_is_acknowledged_only_once_it_is() {
    // given
    let mut alone = leading();
    alone.syncs = false;

    // when
    let call = alone.replace(0, &configuration(1, "a.example"));
    alone.run(100);

    // then
    assert_eq!(alone.answer(call), None);
    alone.sync();
    assert!(is_done(alone.answer(call)));
    assert_eq!(alone.core.configuration_version(), 1);
}

#[test]
fn given_a_configuration_when_the_same_change_comes_again_or_another_on_its_base_then_only_the_same_is_acknowledged(
) {
    // given
    let mut alone = leading();
    let first = alone.replace(0, &configuration(3, "a.example"));
    assert!(is_done(alone.answer(first)));

    // when
    let again = alone.replace(0, &configuration(3, "a.example"));
    let other = alone.replace(0, &configuration(3, "b.example"));

    // then
    assert!(is_done(alone.answer(again)));
    assert_eq!(alone.answer(other), Some(&OperatorResponse::Conflict { current_version: 3 }));
}

#[test]
fn given_5000_changes_after_a_taken_one_when_that_comes_again_then_it_gets_no_clear_answer() {
    // given
    let mut alone = leading();
    let first = alone.replace(0, &configuration(1, "a.example"));
    assert!(is_done(alone.answer(first)));
    for version in 2..=5000 {
        alone.actions.clear();
        let body = format!(r#"{{"version":{version}}}"#).into_bytes();
        let call = alone.operate(OperatorCall::Change { replace: false, base_version: version - 1, body });
        assert!(is_done(alone.answer(call)), "version {version}");
    }

    // when
    let again = alone.replace(0, &configuration(1, "a.example"));
    let other = alone.replace(4000, &configuration(5001, "b.example"));

    // then
    assert_eq!(alone.answer(again), Some(&OperatorResponse::Unavailable));
    assert_eq!(alone.answer(other), Some(&OperatorResponse::Conflict { current_version: 5000 }));
}

#[test]
fn given_no_leader_when_the_operator_calls_then_the_call_ends_without_a_clear_answer() {
    // given
    let mut alone = Alone::new(3);
    alone.run(ELECTION);

    // when
    let change = alone.replace(0, &configuration(1, "a.example"));
    let read = alone.operate(OperatorCall::Read);
    alone.run(700);
    assert_eq!((alone.answer(change), alone.answer(read)), (None, None));
    alone.run(400);

    // then
    assert_eq!(alone.answer(change), Some(&OperatorResponse::Unavailable));
    assert_eq!(alone.answer(read), Some(&OperatorResponse::Unavailable));
}

#[test]
fn given_no_leader_when_a_change_is_no_configuration_then_it_is_refused_at_once() {
    let mut alone = Alone::new(3);
    let call = alone.replace(0, r#"{"version":1,"routes":7}"#);
    assert!(matches!(alone.answer(call), Some(OperatorResponse::Invalid { .. })), "{:?}", alone.answer(call));
}

#[test]
fn given_more_calls_than_may_wait_when_another_comes_then_it_is_answered_at_once() {
    // given
    let mut alone = Alone::new(3);
    let waiting: Vec<_> = (0..64).map(|_| alone.operate(OperatorCall::Read)).collect();
    assert!(waiting.iter().all(|call| alone.answer(*call).is_none()));

    // when
    let call = alone.operate(OperatorCall::Read);

    // then
    assert_eq!(alone.answer(call), Some(&OperatorResponse::Unavailable));
}

#[test]
fn given_a_poll_when_nothing_is_new_then_it_is_held_and_a_change_answers_it_at_once() {
    // given
    let mut alone = leading();
    alone.replace(0, &configuration(1, "a.example"));
    let first = alone.poll(PollRequest { max_wait_ms: 500, ..PollRequest::default() });
    let reply = alone.reply(first).expect("there is news").clone();
    assert_eq!(reply.config.as_ref().map(|news| (news.base, news.version)), Some((None, 1)));

    // when
    let known =
        PollRequest { config_version: 1, cursor: reply.cursor, max_wait_ms: 500, ..PollRequest::default() };
    let held = alone.poll(known.clone());
    alone.run(400);

    // then
    assert_eq!(alone.reply(held), None);
    alone.run(150);
    assert!(alone.reply(held).expect("the hold is over").config.is_none());

    // and when
    let held = alone.poll(known);
    alone.replace(1, &configuration(2, "b.example"));

    // then
    let news = alone.reply(held).and_then(|reply| reply.config.clone()).expect("there is news");
    assert_eq!((news.base, news.version), (Some(1), 2));
}

#[test]
fn given_a_poll_whose_caller_has_left_when_there_is_news_then_nobody_is_answered() {
    // given
    let mut alone = leading();
    alone.replace(0, &configuration(1, "a.example"));
    let first = alone.poll(PollRequest::default());
    let cursor = alone.reply(first).expect("there is news").cursor;
    let held =
        alone.poll(PollRequest { config_version: 1, cursor, max_wait_ms: 5_000, ..PollRequest::default() });

    // when
    alone.tell(Event::PollCancelled(held));
    alone.replace(1, &configuration(2, "b.example"));

    // then
    assert_eq!(alone.reply(held), None);
}

#[test]
fn given_no_majority_when_an_edge_that_knows_a_configuration_polls_then_it_is_sent_elsewhere_and_keeps_what_it_has(
) {
    let mut alone = Alone::new(3);
    alone.run(ELECTION);
    let cursor = DirectoryCursor { revision: 9, ..DirectoryCursor::default() };
    let call =
        alone.poll(PollRequest { config_version: 4, cursor, max_wait_ms: 5_000, ..PollRequest::default() });
    let reply = alone.reply(call).expect("it is answered at once");
    assert!(reply.isolated);
    assert_eq!((reply.config.clone(), reply.servers.len(), reply.complete), (None, 0, false));
    assert_eq!(reply.cursor, cursor);
}

#[test]
fn given_no_majority_when_a_server_drains_then_it_is_not_acknowledged_but_heartbeats_are() {
    // given
    let mut alone = Alone::new(3);
    alone.run(ELECTION);

    // when
    let ready = alone.heartbeat("i-1", ServerState::Ready, 1);
    let draining = alone.heartbeat("i-1", ServerState::Draining, 2);

    // then
    assert_eq!(alone.taken(ready), Some(true));
    assert_eq!(alone.taken(draining), None);
    alone.run(1_000);
    assert_eq!(alone.taken(draining), Some(false));
}

#[test]
fn given_a_majority_when_a_server_drains_then_it_is_acknowledged_and_edges_are_told() {
    // given
    let mut alone = leading();
    alone.heartbeat("i-1", ServerState::Ready, 1);
    let first = alone.poll(PollRequest::default());
    let cursor = alone.reply(first).expect("there is news").cursor;
    let held = alone.poll(PollRequest { cursor, max_wait_ms: 5_000, ..PollRequest::default() });

    // when
    let draining = alone.heartbeat("i-1", ServerState::Draining, 2);

    // then
    assert_eq!(alone.taken(draining), Some(true));
    let reply = alone.reply(held).expect("it is told at once");
    let told: Vec<_> = reply.servers.iter().map(|record| (record.id.as_str(), record.presence)).collect();
    assert_eq!(told, vec![("i-1", Presence::Draining)]);
}

#[test]
fn given_a_journal_that_fills_when_a_checkpoint_is_wanted_then_it_holds_all_that_a_new_start_needs() {
    // given
    let mut alone = leading();
    alone.replace(0, &configuration(5, "a.example"));

    // when
    alone.tell(Event::Persisted { ticket: 0, wants_checkpoint: true });

    // then
    let live = alone.actions.iter().find_map(|action| match action {
        Action::Checkpoint { live } => Some(live.clone()),
        _ => None,
    });
    let stored = live.expect("a checkpoint").into_iter();
    let stored = stored.map(|(stream, bytes)| StoredRecord { stream, bytes }).collect();
    let mut again = Alone::restarted(stored);
    again.run(ELECTION);
    assert_eq!(again.core.configuration_version(), 5);
}

#[test]
fn given_records_that_cannot_be_read_when_a_coordinator_starts_then_it_says_so_and_counts_as_forgetful() {
    // given
    let stored = vec![StoredRecord { stream: 0, bytes: vec![255; 9] }];

    // when
    let mut alone = Alone::restarted(stored);
    alone.run(ELECTION);

    // then: it leads no shard 0 by itself, though it is its only voter
    let unreadable = alone
        .actions
        .iter()
        .any(|action| matches!(action, Action::LogStateChange(StateChange::UnreadableRecords { shard: 0 })));
    assert!(unreadable, "{:?}", alone.actions);
    let leads = alone
        .actions
        .iter()
        .any(|action| matches!(action, Action::LogStateChange(StateChange::BecameLeader { shard: 0, .. })));
    assert!(!leads, "{:?}", alone.actions);
}

#[test]
fn given_a_snapshot_whose_state_cannot_be_read_when_a_coordinator_starts_then_it_does_not_lead_with_an_empty_one(
) {
    // given: a coordinator's checkpoint, in which the configuration's state is of another form
    let mut alone = leading();
    alone.replace(0, &configuration(5, "a.example"));
    alone.tell(Event::Persisted { ticket: 0, wants_checkpoint: true });
    let live = alone.actions.iter().find_map(|action| match action {
        Action::Checkpoint { live } => Some(live.clone()),
        _ => None,
    });
    let other_form = |(stream, bytes): (u32, Vec<u8>)| match (stream, Record::decode(&bytes)) {
        (0, Ok(Record::Snapshot(snapshot))) => {
            let state = [255; 9].as_slice().into();
            StoredRecord { stream, bytes: Record::Snapshot(Snapshot { state, ..snapshot }).encode() }
        }
        _ => StoredRecord { stream, bytes },
    };
    let stored = live.expect("a checkpoint").into_iter().map(other_form).collect();

    // when
    let mut again = Alone::restarted(stored);
    again.run(ELECTION);

    // then
    let notes = |wanted: fn(&StateChange) -> bool| {
        again.actions.iter().any(|action| matches!(action, Action::LogStateChange(note) if wanted(note)))
    };
    assert!(notes(|note| matches!(note, StateChange::UnreadableRecords { shard: 0 })));
    assert!(!notes(|note| matches!(note, StateChange::BecameLeader { shard: 0, .. })));
    assert!(notes(|note| matches!(note, StateChange::BecameLeader { shard: 1, .. })));
}
