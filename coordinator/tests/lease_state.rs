//! Which node holds a shard's order lease, and whether it must wait after the previous holder.

mod common;

use std::time::Duration;

use common::{coordinator_options, node, START};
use shaletrail_coordinator::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};
use shaletrail_coordinator::core::orders::OrderLeases;
use shaletrail_coordinator::core::shards::shard_of;
use shaletrail_protocol::Incarnation;

fn holder(number: u8, fencing_token: u64) -> LeaseHolder {
    LeaseHolder { node: node(number), fencing_token }
}

fn acquire(state: &mut LeaseState, holder: LeaseHolder) -> LeaseEpoch {
    state.apply(&LeaseState::acquire_command(holder)).expect("an epoch starts")
}

/// The state after the first node held the lease and the second one has acquired it.
fn second_after_first() -> LeaseState {
    let mut state = LeaseState::default();
    acquire(&mut state, holder(1, 4));
    acquire(&mut state, holder(2, 5));
    state
}

#[test]
fn fencing_token_must_rise() {
    // given
    let mut state = LeaseState::default();
    let first = holder(1, 4);
    let epoch = acquire(&mut state, first);
    assert_eq!((epoch.holder, epoch.previous_holder), (first, None));

    // when, then
    for token in [3, 4] {
        assert_eq!(state.apply(&LeaseState::acquire_command(holder(2, token))), None);
    }
    let second = holder(2, 5);
    let epoch = acquire(&mut state, second);
    assert_eq!((epoch.holder, epoch.previous_holder), (second, Some(first)));
    assert_eq!(LeaseState::restore(&state.snapshot()), Some(state));
    assert_eq!(LeaseState::restore(&[255; 40]), None);
}

#[test]
fn first_holder_need_not_wait() {
    let mut state = LeaseState::default();
    let epoch = acquire(&mut state, holder(1, 4));
    assert_eq!(epoch, LeaseEpoch { holder: holder(1, 4), previous_holder: None, must_wait: false });
    assert!(state.is_wait_completed());
}

#[test]
fn next_holder_waits() {
    let mut state = LeaseState::default();
    acquire(&mut state, holder(1, 4));
    let epoch = acquire(&mut state, holder(2, 5));
    assert!(epoch.must_wait);
    assert_eq!(epoch.previous_holder, Some(holder(1, 4)));
}

#[test]
fn reelected_before_wait_ends_waits_again() {
    let mut state = second_after_first();
    let epoch = acquire(&mut state, holder(2, 6));
    assert_eq!(epoch.previous_holder, Some(holder(2, 5)));
    assert!(epoch.must_wait, "orders of the first node may still be less than a lease duration old");
}

#[test]
fn reelected_after_wait_need_not_wait() {
    let mut state = second_after_first();
    assert_eq!(state.apply(&LeaseState::wait_completed_command(holder(2, 5))), None);
    assert!(!acquire(&mut state, holder(2, 6)).must_wait);
}

#[test]
fn late_wait_completion_is_ignored() {
    for later in [holder(2, 6), holder(3, 6)] {
        let mut state = second_after_first();
        acquire(&mut state, later);
        assert_eq!(state.apply(&LeaseState::wait_completed_command(holder(2, 5))), None);
        assert!(!state.is_wait_completed(), "{later:?}");
    }
}

#[test]
fn holder_waits_after_another_epoch() {
    let mut state = second_after_first();
    state.apply(&LeaseState::wait_completed_command(holder(2, 5)));
    acquire(&mut state, holder(3, 6));
    assert!(acquire(&mut state, holder(2, 7)).must_wait);
}

#[test]
fn wait_survives_snapshot() {
    let mut state = second_after_first();
    state.apply(&LeaseState::wait_completed_command(holder(2, 5)));
    assert_eq!(LeaseState::restore(&state.snapshot()), Some(state));
}

#[test]
fn orders_of_previous_holder_may_arrive_after_election() {
    // given: another node held the lease before
    let shard = shard_of("llm");
    let options = coordinator_options(node(1), &[node(1)], false, 0, Incarnation(1));
    let mut leases = OrderLeases::new(&options);
    leases.on_elected(START, shard, 5);
    let epoch = LeaseEpoch { holder: holder(1, 5), previous_holder: Some(holder(2, 4)), must_wait: true };
    // when
    leases.on_epoch_started(START + 20, shard, epoch, true);
    // then: the other node's orders may arrive, and count as loads from the weight store, until the margin has passed
    let arrival = Duration::from_millis(600);
    assert_eq!(leases.previous_orders_until(shard), Some(START + arrival.as_millis() as u64));
    let lease = options.order_lease;
    assert_eq!(leases.wait_until(shard), Some(START + (arrival + lease).as_millis() as u64));
}
