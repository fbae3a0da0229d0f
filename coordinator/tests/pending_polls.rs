//! The table of polls that wait for updates.

mod common;

use common::{node, EDGE};
use shaletrail_coordinator::core::polls::{PendingPoll, PendingPolls};
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::internal::DirectoryCursor;

const MAX_PENDING: u64 = 2_048;

fn poll_with_deadline(deadline: u64) -> PendingPoll {
    PendingPoll {
        edge: node(EDGE),
        config_version: 0,
        cursor: DirectoryCursor::default(),
        edge_list_hash: 0,
        deadline,
    }
}

#[test]
fn polls_beyond_limit_are_rejected() {
    let mut polls = PendingPolls::default();
    let poll = poll_with_deadline(100);
    assert!((0..MAX_PENDING).all(|call| polls.add(0, CallId(call), poll.clone())));
    assert!(!polls.add(0, CallId(MAX_PENDING), poll));
}

#[test]
fn poll_wait_is_capped() {
    let mut polls = PendingPolls::default();
    assert!(polls.add(0, CallId(1), poll_with_deadline(3_600_000)));
    assert!(polls.find(|poll| poll.deadline <= 9_999).is_empty());
    assert_eq!(polls.find(|poll| poll.deadline <= 10_000).len(), 1);
    assert!(polls.remove(CallId(1)).is_some());
    assert!(polls.find(|_| true).is_empty(), "each is removed once");
}
