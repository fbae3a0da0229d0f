//! Aggregation of the demand that edges report, and the number of edges that share the retry budget.

mod common;

use common::{node, nodes};
use shaletrail_coordinator::core::demand::{edge_list_hash, AggregatedDemand, Edges};
use shaletrail_protocol::internal::{Demand, ServerOutcomes};
use shaletrail_protocol::NodeId;

const RETRY_WINDOW: u64 = 10_000;
const START: u64 = 1_000_000;

#[test]
fn reports_add_counters_and_replace_gauges() {
    // given
    let demand = |arrived, queued, priority| Demand {
        service: "llm".into(),
        model: "m".into(),
        arrived,
        queued,
        priority,
        ..Demand::default()
    };
    let outcomes = |failed| ServerOutcomes { server: "i-1".into(), succeeded: 1, failed, unreachable: 0 };
    let mut aggregated = AggregatedDemand::default();

    // when
    aggregated.add(node(100), vec![demand(2, 5, 3)], vec![outcomes(1)]);
    aggregated.add(node(100), vec![demand(3, 1, 7)], vec![outcomes(2)]);
    aggregated.add(node(101), vec![demand(1, 0, 0)], Vec::new());

    // then
    let reports = aggregated.take();
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0].demand, vec![demand(5, 1, 3)]);
    assert_eq!((reports[0].server_outcomes[0].succeeded, reports[0].server_outcomes[0].failed), (2, 3));
    assert!(aggregated.take().is_empty());
}

#[test]
fn inactive_edges_are_removed() {
    // given
    let mut edges = Edges::new(RETRY_WINDOW, 0);
    edges.on_poll(node(100), 0);
    edges.on_poll(node(101), 3_000);
    edges.on_peer_edges(nodes(&[101, 102, 103]), 3_000);
    assert_eq!(edges.list(), nodes(&[100, 101, 102, 103]));

    // when: one entry expires, and another edge disconnects
    edges.tick(4_000);
    edges.on_disconnect(node(103));

    // then
    assert_eq!((edges.local(), edges.list().len()), (nodes(&[101]), 2));
    // Retries that they may have made count until the window of the retry budget has passed.
    assert_eq!(edges.retry_budget_shares(10_000), 4);
    assert_ne!(edge_list_hash(&edges.list()), edge_list_hash(&nodes(&[102, 101])));
}

fn six_edges_at(now: u64) -> Edges {
    let mut edges = Edges::new(RETRY_WINDOW, START);
    (1..=4).for_each(|node| edges.on_poll(NodeId(node), now));
    edges.on_peer_edges(vec![NodeId(4), NodeId(5), NodeId(6)], now);
    edges
}

#[test]
fn share_count_is_unknown_for_one_window() {
    let edges = six_edges_at(START + 100);

    assert_eq!(edges.retry_budget_shares(START + RETRY_WINDOW - 1), 0);
    assert_eq!(edges.retry_budget_shares(START + RETRY_WINDOW), 6);
}

#[test]
fn departed_edges_count_until_their_retries_leave_the_window() {
    // An edge may use its share for one window after its last poll, and the retries that it has made by then count for
    // one more window.
    let now = START + RETRY_WINDOW;
    let mut edges = six_edges_at(now);

    (2..=6).for_each(|node| edges.on_disconnect(NodeId(node)));
    let in_window = now + 2 * RETRY_WINDOW - 1;
    edges.tick(in_window);
    assert_eq!((edges.list(), edges.retry_budget_shares(in_window)), (vec![], 6));

    edges.on_poll(NodeId(1), now + 2 * RETRY_WINDOW);
    let after_window = now + 2 * RETRY_WINDOW + 1;
    edges.tick(after_window);
    assert_eq!((edges.list(), edges.retry_budget_shares(after_window)), (vec![NodeId(1)], 1));
}

#[test]
fn hundreds_of_edges_are_listed() {
    let mut edges = Edges::new(RETRY_WINDOW, START);
    (0..300).for_each(|node| edges.on_poll(NodeId(node), START));
    edges.on_peer_edges((300..880).map(NodeId).collect(), START);

    assert_eq!(edges.list(), (0..880).map(NodeId).collect::<Vec<_>>());
}
