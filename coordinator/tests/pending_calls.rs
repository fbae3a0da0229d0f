//! The table of operator calls that wait for a response.

mod common;

use common::node;
use shaletrail_coordinator::core::operator::{CallOrigin, CallStage, PendingCallId, PendingCalls};
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::internal::OperatorCall;
use shaletrail_protocol::Incarnation;

const ORIGIN: CallOrigin = CallOrigin::Local(CallId(1));

fn add(calls: &mut PendingCalls, call: OperatorCall) -> PendingCallId {
    calls.add(1_000, ORIGIN, call, None).expect("there is space")
}

fn add_at_stage(calls: &mut PendingCalls, stage: CallStage) -> PendingCallId {
    let id = add(calls, OperatorCall::Read);
    calls.get_mut(id).expect("it is pending").stage = stage;
    id
}

fn at_stage(calls: &PendingCalls, stage: CallStage) -> Vec<PendingCallId> {
    calls.find(|pending| pending.stage == stage)
}

#[test]
fn large_body_extends_deadline() {
    // given
    let mut calls = PendingCalls::for_incarnation(Incarnation(1));
    let change =
        |bytes: usize| OperatorCall::Change { replace: true, base_version: 0, body: vec![b' '; bytes] };

    // when
    let small = add(&mut calls, change(10));
    let large = add(&mut calls, change(4 << 20));

    // then
    let deadline = |calls: &mut PendingCalls, id| calls.get_mut(id).expect("it is pending").deadline;
    assert_eq!(deadline(&mut calls, large) - deadline(&mut calls, small), 2_000);
}

#[test]
fn restart_affects_matching_stages_only() {
    // given
    let mut calls = PendingCalls::for_incarnation(Incarnation(1));
    let proposed = add_at_stage(&mut calls, CallStage::Proposed { index: 3, term: 2 });
    let forwarded = add_at_stage(&mut calls, CallStage::Forwarded(node(2)));

    // when
    calls.restart(|stage| matches!(stage, CallStage::Proposed { .. }));

    // then
    assert_eq!(at_stage(&calls, CallStage::WaitingForLeader), vec![proposed]);
    assert_eq!(at_stage(&calls, CallStage::Forwarded(node(2))), vec![forwarded]);
    assert!(calls.remove(proposed).is_some());
    assert!(calls.remove(proposed).is_none());
}

#[test]
fn applied_entry_resolves_call_of_same_term() {
    // given
    let mut calls = PendingCalls::default();
    let mut propose = |index, term| add_at_stage(&mut calls, CallStage::Proposed { index, term });
    let (other_term, same, other_index) = (propose(7, 2), propose(7, 3), propose(8, 3));

    // when
    let decided = calls.resolve_proposals(7, 3);

    // then
    assert_eq!(decided, vec![same]);
    assert_eq!(at_stage(&calls, CallStage::WaitingForLeader), vec![other_term]);
    let stage = calls.get_mut(other_index).expect("it is pending").stage;
    assert_eq!(stage, CallStage::Proposed { index: 8, term: 3 });
}

#[test]
fn incarnations_assign_different_ids() {
    let ids = |incarnation: u64| -> Vec<PendingCallId> {
        let mut calls = PendingCalls::for_incarnation(Incarnation(incarnation));
        (0..50).map(|_| add(&mut calls, OperatorCall::Read)).collect()
    };
    for (one, next) in [(70, 71), (0x5eed_0001, 0x5eed_0002)] {
        let (first, second) = (ids(one), ids(next));
        assert!(first.iter().all(|id| !second.contains(id)), "{first:?} {second:?}");
    }
}

/// Guards against a coordinator that exceeds the memory of its machine by the bodies of calls that it cannot complete yet.
#[test]
fn bodies_of_pending_calls_are_limited() {
    // given: as many changes of the maximum length as the operator may have under way
    const BODY_BYTES: usize = 4 << 20;
    const CONCURRENT_CHANGES: usize = 8;
    const MACHINE_MEMORY_BYTES: usize = 256 << 20;
    let mut calls = PendingCalls::for_incarnation(Incarnation(1));
    let change = || OperatorCall::Change { replace: true, base_version: 0, body: vec![b' '; BODY_BYTES] };
    let first: Vec<PendingCallId> = (0..CONCURRENT_CHANGES).map(|_| add(&mut calls, change())).collect();

    // when
    let added = (0..).take_while(|_| calls.add(1_000, ORIGIN, change(), None).is_some()).count();

    // then
    assert!((CONCURRENT_CHANGES + added) * BODY_BYTES <= MACHINE_MEMORY_BYTES / 4);
    assert!(calls.add(1_000, ORIGIN, OperatorCall::Read, None).is_some());
    calls.remove(first[0]);
    add(&mut calls, change());
}

#[test]
fn single_long_body_is_accepted() {
    let mut calls = PendingCalls::for_incarnation(Incarnation(1));
    let body = vec![b' '; 100 << 20];
    add(&mut calls, OperatorCall::Change { replace: true, base_version: 0, body });
}
