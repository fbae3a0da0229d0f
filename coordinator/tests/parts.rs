//! Parts of a coordinator's decisions that stand alone: voters, holders, calls, polls, demand.

mod common;

use common::node;
use shaletrail_coordinator::core::demand::{list_name, AggregatedDemand, Edges};
use shaletrail_coordinator::core::operator::{Caller, OperatorCalls, Stage};
use shaletrail_coordinator::core::polls::{PendingPoll, PendingPolls};
use shaletrail_coordinator::core::service_state::{LeaseHolder, ServiceState};
use shaletrail_coordinator::core::shards::{shard_of, CONFIGURATION, SERVICE_SHARDS};
use shaletrail_coordinator::core::voters::{group_size, wanted, Candidate};
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::internal::{Demand, DirectoryCursor, OperatorCall, ServerOutcomes};
use shaletrail_protocol::{Incarnation, NodeId};

fn candidate(number: u8, absent: bool, caught_up: bool) -> Candidate {
    Candidate { node: node(number), absent, caught_up }
}

fn nodes(numbers: &[u8]) -> Vec<NodeId> {
    numbers.iter().map(|number| node(*number)).collect()
}

#[test]
fn given_too_few_voters_when_a_node_has_caught_up_then_it_votes_as_well() {
    let candidates = [candidate(1, false, true), candidate(2, false, true), candidate(3, false, false)];
    assert_eq!(wanted(&nodes(&[1]), &candidates, 3), Some(nodes(&[1, 2])));
    assert_eq!(wanted(&nodes(&[1, 2]), &candidates, 3), None, "the third has not caught up");
}

#[test]
fn given_an_absent_voter_when_nobody_can_take_its_place_then_it_stays() {
    let candidates = [candidate(1, false, true), candidate(2, true, false), candidate(3, false, true)];
    assert_eq!(wanted(&nodes(&[1, 2, 3]), &candidates, 3), None);
    let with_newcomer = [&candidates[..], &[candidate(4, false, true)]].concat();
    assert_eq!(wanted(&nodes(&[1, 2, 3]), &with_newcomer, 3), Some(nodes(&[1, 3, 4])));
}

#[test]
fn given_all_voters_present_when_another_node_is_there_then_nothing_changes() {
    let candidates: Vec<Candidate> = (1..=4).map(|number| candidate(number, false, true)).collect();
    assert_eq!(wanted(&nodes(&[1, 2, 3]), &candidates, group_size(1)), None);
}

#[test]
fn given_a_newcomer_that_is_absent_when_a_voter_is_absent_then_it_does_not_come_in() {
    let candidates = [candidate(1, false, true), candidate(2, true, false), candidate(4, true, true)];
    assert_eq!(wanted(&nodes(&[1, 2, 3]), &candidates, 3), None);
}

#[test]
fn given_a_holder_when_an_older_or_the_same_fence_comes_then_no_turn_begins() {
    // given
    let mut state = ServiceState::default();
    let first = LeaseHolder { node: node(1), fence: 4 };
    let turn = state.apply(&ServiceState::command(first)).expect("a turn");
    assert_eq!((turn.holder, turn.previous), (first, None));

    // when, then
    for fence in [3, 4] {
        assert_eq!(state.apply(&ServiceState::command(LeaseHolder { node: node(2), fence })), None);
    }
    let second = LeaseHolder { node: node(2), fence: 5 };
    let turn = state.apply(&ServiceState::command(second)).expect("a turn");
    assert_eq!((turn.holder, turn.previous), (second, Some(first)));
    assert_eq!(ServiceState::restore(&state.snapshot()), Some(state));
    assert_eq!(ServiceState::restore(&[255; 40]), None);
}

#[test]
fn given_services_when_their_shards_are_looked_up_then_all_are_used_but_the_configuration_s() {
    let mut used: Vec<u32> = (0..200).map(|number| shard_of(&format!("service-{number}"))).collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, (1..=SERVICE_SHARDS).collect::<Vec<_>>());
    assert!(!used.contains(&CONFIGURATION));
}

#[test]
fn given_a_call_with_a_large_body_when_it_waits_then_it_has_more_time() {
    // given
    let mut calls = OperatorCalls::of_start(Incarnation(1));
    let change =
        |bytes: usize| OperatorCall::Change { replace: true, base_version: 0, body: vec![b' '; bytes] };

    // when
    let small = calls.add(1_000, Caller::Here(CallId(1)), change(10)).expect("there is room");
    let large = calls.add(1_000, Caller::Here(CallId(2)), change(4 << 20)).expect("there is room");

    // then
    let until = |calls: &mut OperatorCalls, ticket| calls.get_mut(ticket).expect("it waits").until;
    assert_eq!(until(&mut calls, large) - until(&mut calls, small), 2_000);
}

#[test]
fn given_calls_at_a_leader_when_leadership_changes_then_only_what_rests_on_it_starts_over() {
    // given
    let mut calls = OperatorCalls::of_start(Incarnation(1));
    let mut add = |stage| {
        let ticket = calls.add(0, Caller::Here(CallId(1)), OperatorCall::Read).expect("there is room");
        calls.get_mut(ticket).expect("it waits").stage = stage;
        ticket
    };
    let proposed = add(Stage::Proposed { index: 3, term: 2 });
    let forwarded = add(Stage::Forwarded(node(2)));

    // when
    calls.start_over(|stage| matches!(stage, Stage::Proposed { .. }));

    // then
    assert_eq!(calls.find(|pending| pending.stage == Stage::Waiting), vec![proposed]);
    assert_eq!(calls.find(|pending| pending.stage == Stage::Forwarded(node(2))), vec![forwarded]);
    assert!(calls.remove(proposed).is_some());
    assert!(calls.remove(proposed).is_none());
}

#[test]
fn given_proposals_when_an_entry_of_another_term_takes_their_index_then_only_that_of_the_same_term_is_decided(
) {
    // given
    let mut calls = OperatorCalls::default();
    let mut propose = |index, term| {
        let ticket = calls.add(0, Caller::Here(CallId(1)), OperatorCall::Read).expect("there is room");
        calls.get_mut(ticket).expect("it waits").stage = Stage::Proposed { index, term };
        ticket
    };
    let (other_term, same, other_index) = (propose(7, 2), propose(7, 3), propose(8, 3));

    // when, then
    assert_eq!(calls.decided(7, 3), vec![same]);
    assert_eq!(calls.find(|pending| pending.stage == Stage::Waiting), vec![other_term]);
    let stage = calls.get_mut(other_index).expect("it waits").stage;
    assert_eq!(stage, Stage::Proposed { index: 8, term: 3 });
}

#[test]
fn given_two_starts_of_a_node_when_they_name_calls_then_no_name_is_given_twice() {
    let names = |incarnation| {
        let mut calls = OperatorCalls::of_start(Incarnation(incarnation));
        let mut add = || calls.add(0, Caller::Here(CallId(1)), OperatorCall::Read).expect("there is room");
        [add(), add(), add()]
    };
    let (first, second) = (names(70), names(71));
    assert!(first.iter().all(|name| !second.contains(name)), "{first:?} {second:?}");
}

#[test]
fn given_more_polls_than_may_wait_when_another_comes_then_it_is_not_taken_in() {
    let mut polls = PendingPolls::default();
    let poll = PendingPoll {
        edge: node(100),
        config_version: 0,
        cursor: DirectoryCursor::default(),
        edge_list: 0,
        due: 100,
    };
    assert!((0..2_048).all(|call| polls.add(0, CallId(call), poll.clone())));
    assert!(!polls.add(0, CallId(2_048), poll));
}

#[test]
fn given_a_poll_when_it_asks_to_be_held_for_an_hour_then_it_is_held_for_ten_seconds() {
    let mut polls = PendingPolls::default();
    let waiting = PendingPoll {
        edge: node(100),
        config_version: 0,
        cursor: DirectoryCursor::default(),
        edge_list: 0,
        due: 3_600_000,
    };
    assert!(polls.add(0, CallId(1), waiting));
    assert!(polls.find(|poll| poll.due <= 9_999).is_empty());
    assert_eq!(polls.find(|poll| poll.due <= 10_000).len(), 1);
    assert!(polls.remove(CallId(1)).is_some());
    assert!(polls.find(|_| true).is_empty(), "each is taken once");
}

#[test]
fn given_two_reports_of_one_edge_when_they_are_gathered_then_counts_add_up_and_what_holds_now_is_replaced() {
    // given
    let demand = |arrived, waiting, priority| Demand {
        service: "llm".into(),
        model: "m".into(),
        arrived,
        queued: waiting,
        priority,
        ..Demand::default()
    };
    let observed = |failed| ServerOutcomes { server: "i-1".into(), succeeded: 1, failed, unreachable: 0 };
    let mut gathered = AggregatedDemand::default();

    // when
    gathered.add(node(100), vec![demand(2, 5, 3)], vec![observed(1)]);
    gathered.add(node(100), vec![demand(3, 1, 7)], vec![observed(2)]);
    gathered.add(node(101), vec![demand(1, 0, 0)], Vec::new());

    // then
    let reports = gathered.take();
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0].demand, vec![demand(5, 1, 3)]);
    assert_eq!((reports[0].server_outcomes[0].succeeded, reports[0].server_outcomes[0].failed), (2, 3));
    assert!(gathered.take().is_empty());
}

#[test]
fn given_edges_here_and_elsewhere_when_some_leave_or_fall_silent_then_the_others_count_once_each() {
    // given
    let mut edges = Edges::new(10_000, 0);
    edges.polled(node(100), 0);
    edges.polled(node(101), 3_000);
    edges.told(nodes(&[101, 102, 103]), 3_000);
    assert_eq!(edges.list(), nodes(&[100, 101, 102, 103]));

    // when
    edges.tick(4_000);
    edges.left(node(103));

    // then
    assert_eq!((edges.own(), edges.list().len()), (nodes(&[101]), 2));
    // What those that are away may have spent of the budget of repeats counts until its window is over.
    assert_eq!(edges.sharing(10_000), 4);
    assert_ne!(list_name(&edges.list()), list_name(&nodes(&[102, 101])));
}
