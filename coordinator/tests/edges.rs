//! How many edges share the budget of repeats.

use shaletrail_coordinator::core::demand::Edges;
use shaletrail_protocol::NodeId;

const WINDOW: u64 = 10_000;
const START: u64 = 1_000_000;

fn six_edges_at(now: u64) -> Edges {
    let mut edges = Edges::new(WINDOW, START);
    (1..=4).for_each(|node| edges.on_poll(NodeId(node), now));
    edges.on_peer_edges(vec![NodeId(4), NodeId(5), NodeId(6)], now);
    edges
}

#[test]
fn given_a_young_coordinator_when_edges_have_polled_then_their_number_is_unknown() {
    let edges = six_edges_at(START + 100);

    assert_eq!(edges.retry_budget_shares(START + WINDOW - 1), 0);
    assert_eq!(edges.retry_budget_shares(START + WINDOW), 6);
}

#[test]
fn given_edges_that_leave_when_the_window_is_not_over_then_they_still_share_what_they_may_have_spent() {
    let now = START + WINDOW;
    let mut edges = six_edges_at(now);

    (2..=6).for_each(|node| edges.on_disconnect(NodeId(node)));
    edges.tick(now + WINDOW - 1);
    assert_eq!((edges.list(), edges.retry_budget_shares(now + WINDOW - 1)), (vec![], 6));

    edges.on_poll(NodeId(1), now + WINDOW);
    edges.tick(now + WINDOW + 1);
    assert_eq!((edges.list(), edges.retry_budget_shares(now + WINDOW + 1)), (vec![NodeId(1)], 1));
}

#[test]
fn given_hundreds_of_edges_when_they_are_listed_then_all_of_them_are() {
    let mut edges = Edges::new(WINDOW, START);
    (0..300).for_each(|node| edges.on_poll(NodeId(node), START));
    edges.on_peer_edges((300..880).map(NodeId).collect(), START);

    assert_eq!(edges.list(), (0..880).map(NodeId).collect::<Vec<_>>());
}
