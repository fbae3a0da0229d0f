//! Calls of the operator that are handed to the leader, over starts of the process.

mod common;

use common::{configuration, node, Alone};
use shaletrail_consensus::{Message, Stamp};
use shaletrail_coordinator::core::operator::{Caller, OperatorCalls};
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::{Action, CallId, Event};
use shaletrail_protocol::inside::{CoreMessage, OperatorAnswer, OperatorCall};
use shaletrail_protocol::{Incarnation, NodeId};

const LEADER_TERM: u64 = 9;

/// The first of three coordinators, of which the second one leads.
fn led_by(leader: NodeId, incarnation: u64) -> Alone {
    let mut alone = Alone::incarnation(3, incarnation);
    let stamp = Stamp { round: 1, sent_at: 1 };
    let message = Message::Heartbeat { term: LEADER_TERM, commit: 0, stamp };
    let message = CoreMessage::Shard { shard: CONFIGURATION, body: bitcode::encode(&message) };
    alone.tell(Event::Message { from: leader, message });
    alone
}

/// By which number the last change was handed to the leader.
fn forwarded(alone: &Alone, leader: NodeId) -> u64 {
    let number = alone.actions.iter().rev().find_map(|action| match action {
        Action::Send { to, message: CoreMessage::Forward { call, .. } } if *to == leader => Some(*call),
        _ => None,
    });
    number.expect("the call is handed to the leader")
}

fn answer_from(leader: NodeId, call: u64) -> Event {
    let answer = OperatorAnswer::Done { body: b"{}".to_vec() };
    Event::Message { from: leader, message: CoreMessage::Forwarded { call, answer } }
}

#[test]
fn given_a_call_of_an_earlier_start_when_the_leader_answers_it_then_the_call_of_now_is_not_answered() {
    // given
    let leader = node(2);
    let mut before = led_by(leader, 77);
    before.replace(0, &configuration(1, "a.example"));
    let call_before = forwarded(&before, leader);
    drop(before);
    let mut alone = led_by(leader, 78);
    let call = alone.replace(0, &configuration(1, "b.example"));
    let call_now = forwarded(&alone, leader);

    // when
    alone.tell(answer_from(leader, call_before));

    // then
    assert_eq!(alone.answer(call), None);
    alone.tell(answer_from(node(3), call_now));
    assert_eq!(alone.answer(call), None, "it was not handed to the third node");
    alone.tell(answer_from(leader, call_now));
    assert!(matches!(alone.answer(call), Some(OperatorAnswer::Done { .. })));
}

#[test]
fn given_two_starts_of_a_process_when_calls_come_then_no_ticket_is_used_twice() {
    let tickets = |incarnation: u64| {
        let mut calls = OperatorCalls::of_start(Incarnation(incarnation));
        let add = |number| calls.add(0, Caller::Here(CallId(number)), OperatorCall::Read);
        (0..50).filter_map(add).collect::<Vec<_>>()
    };
    let (first, second) = (tickets(0x5eed_0001), tickets(0x5eed_0002));
    assert_eq!((first.len(), second.len()), (50, 50));
    assert!(first.iter().all(|ticket| !second.contains(ticket)));
}
