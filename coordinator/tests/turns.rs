//! Whose turn it is to order, and when a holder need not wait for the one before.

mod common;

use common::node;
use shaletrail_coordinator::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};

fn holder(number: u8, fence: u64) -> LeaseHolder {
    LeaseHolder { node: node(number), fencing_token: fence }
}

fn begin(state: &mut LeaseState, holder: LeaseHolder) -> LeaseEpoch {
    state.apply(&LeaseState::acquire_command(holder)).expect("a turn begins")
}

/// The first node has ordered, then the second one's turn has begun.
fn second_after_first() -> LeaseState {
    let mut state = LeaseState::default();
    begin(&mut state, holder(1, 4));
    begin(&mut state, holder(2, 5));
    state
}

#[test]
fn given_nobody_who_has_ordered_when_a_turn_begins_then_there_is_nothing_to_wait_for() {
    let mut state = LeaseState::default();
    let turn = begin(&mut state, holder(1, 4));
    assert_eq!(turn, LeaseEpoch { holder: holder(1, 4), previous_holder: None, must_wait: false });
    assert!(state.is_wait_completed());
}

#[test]
fn given_another_node_s_turn_when_a_turn_begins_then_it_waits() {
    let mut state = LeaseState::default();
    begin(&mut state, holder(1, 4));
    let turn = begin(&mut state, holder(2, 5));
    assert!(turn.must_wait);
    assert_eq!(turn.previous_holder, Some(holder(1, 4)));
}

#[test]
fn given_a_holder_that_has_not_waited_when_it_is_elected_again_then_it_waits_again() {
    let mut state = second_after_first();
    let turn = begin(&mut state, holder(2, 6));
    assert_eq!(turn.previous_holder, Some(holder(2, 5)));
    assert!(turn.must_wait, "the first node's orders may be as old as they were");
}

#[test]
fn given_a_holder_that_has_waited_when_it_is_elected_again_then_it_goes_on_at_once() {
    let mut state = second_after_first();
    assert_eq!(state.apply(&LeaseState::wait_completed_command(holder(2, 5))), None);
    assert!(!begin(&mut state, holder(2, 6)).must_wait);
}

#[test]
fn given_a_later_turn_when_the_wait_of_an_earlier_one_is_told_then_it_does_not_count() {
    for later in [holder(2, 6), holder(3, 6)] {
        let mut state = second_after_first();
        begin(&mut state, later);
        assert_eq!(state.apply(&LeaseState::wait_completed_command(holder(2, 5))), None);
        assert!(!state.is_wait_completed(), "{later:?}");
    }
}

#[test]
fn given_a_holder_that_has_waited_when_another_node_s_turn_comes_between_then_it_waits() {
    let mut state = second_after_first();
    state.apply(&LeaseState::wait_completed_command(holder(2, 5)));
    begin(&mut state, holder(3, 6));
    assert!(begin(&mut state, holder(2, 7)).must_wait);
}

#[test]
fn given_a_state_when_it_goes_through_a_snapshot_then_the_wait_is_still_known() {
    let mut state = second_after_first();
    state.apply(&LeaseState::wait_completed_command(holder(2, 5)));
    assert_eq!(LeaseState::restore(&state.snapshot()), Some(state));
}
