//! The exchange of node attributes: what each node knows of the others, also of those that are down.

use shaletrail_cluster::node_attributes::{
    AttributeMessage, AttributeRecord, NodeAttributes, MAX_NAME_BYTES, MAX_RECORDS,
};
use shaletrail_cluster::NodeAttributesTable;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);
const C: NodeId = NodeId(3);
/// Longer than the longest time between two repetitions.
const LONG: Millis = 60_000;

fn in_zone(zone: &str) -> NodeAttributes {
    NodeAttributes::new(zone, "north", true)
}

fn table(node: NodeId, zone: &str) -> NodeAttributesTable {
    NodeAttributesTable::new(node, Incarnation(u64::from(node.0)), in_zone(zone), Vec::new())
}

fn record(node: NodeId, revision: u64, zone: &str) -> AttributeRecord {
    AttributeRecord { node, revision, attributes: in_zone(zone) }
}

fn receive_table(table: &mut NodeAttributesTable, from: NodeId, records: Vec<AttributeRecord>) {
    table.receive(0, from, AttributeMessage::Table { version: 1, records });
}

/// Delivers all messages between two tables until none is left. Returns the number of tables that were sent.
fn exchange(now: Millis, left: &mut NodeAttributesTable, right: &mut NodeAttributesTable) -> usize {
    let nodes = [A, B];
    let tables = [left, right];
    let mut sent = 0;
    loop {
        let mut delivered = 0;
        for sender in 0..2 {
            tables[sender].tick(now);
            for (to, message) in tables[sender].take_messages() {
                sent += usize::from(matches!(message, AttributeMessage::Table { .. }));
                assert_eq!(to, nodes[1 - sender]);
                tables[1 - sender].receive(now, nodes[sender], message);
                delivered += 1;
            }
        }
        if delivered == 0 {
            return sent;
        }
    }
}

fn connect(left: &mut NodeAttributesTable, right: &mut NodeAttributesTable) {
    left.set_peers(0, &[(A, Incarnation(1)), (B, Incarnation(2))]);
    right.set_peers(0, &[(A, Incarnation(1)), (B, Incarnation(2))]);
}

#[test]
fn place_of_node_that_is_down_is_passed_on() {
    // given: one of two nodes has heard of a third, which is down
    let (mut left, mut right) = (table(A, "a"), table(B, "b"));
    receive_table(&mut left, C, vec![record(C, 1, "c")]);
    left.take_messages();

    // when
    connect(&mut left, &mut right);
    exchange(0, &mut left, &mut right);

    // then
    assert_eq!(right.get(C), Some(&in_zone("c")));
    assert_eq!((left.get(B), right.get(A)), (Some(&in_zone("b")), Some(&in_zone("a"))));
}

#[test]
fn acknowledged_table_is_not_sent_again() {
    let (mut left, mut right) = (table(A, "a"), table(B, "b"));
    connect(&mut left, &mut right);
    assert!(exchange(0, &mut left, &mut right) > 0);
    assert_eq!(exchange(LONG, &mut left, &mut right), 0);
}

#[test]
fn table_is_repeated_with_backoff_until_acknowledged() {
    // given: a peer of an older release, which never acknowledges
    let mut left = table(A, "a");
    left.set_peers(0, &[(B, Incarnation(2))]);

    // when
    let mut sent_at = Vec::new();
    for now in (0..LONG).step_by(50) {
        left.tick(now);
        sent_at.extend(left.take_messages().iter().map(|_| now));
    }

    // then
    assert_eq!(sent_at, [0, 250, 750, 1_750, 3_750, 7_750, 15_750, 25_750, 35_750, 45_750, 55_750]);
}

#[test]
fn acknowledgement_to_an_earlier_run_does_not_count() {
    // given: a table that a peer has not acknowledged
    let mut left = table(A, "a");
    left.set_peers(0, &[(B, Incarnation(2))]);
    left.tick(0);
    left.take_messages();

    // when: a late acknowledgement of a higher version, and then its own
    left.receive(1, B, AttributeMessage::Ack { version: u64::MAX });
    left.tick(1_000);
    assert!(matches!(left.take_messages()[..], [(B, AttributeMessage::Table { .. })]));
    left.receive(1_001, B, AttributeMessage::Ack { version: left.version() });

    // then
    left.tick(LONG);
    assert_eq!(left.take_messages(), []);
}

#[test]
fn restarted_peer_receives_the_table_again() {
    let (mut left, mut right) = (table(A, "a"), table(B, "b"));
    connect(&mut left, &mut right);
    exchange(0, &mut left, &mut right);

    // when
    left.set_peers(LONG, &[(B, Incarnation(9))]);
    left.tick(LONG);

    // then
    assert!(matches!(left.take_messages()[..], [(B, AttributeMessage::Table { .. })]));
}

#[test]
fn stored_table_is_known_after_restart() {
    // given
    let mut left = table(A, "a");
    receive_table(&mut left, B, vec![record(C, 4, "c")]);

    // when
    let stored = left.take_unpersisted().expect("the table has changed");
    assert_eq!(left.take_unpersisted(), None);
    let records = NodeAttributesTable::decode(&stored).expect("valid records");
    let restarted = NodeAttributesTable::new(A, Incarnation(7), in_zone("a"), records);

    // then
    assert_eq!(restarted.get(C), Some(&in_zone("c")));
}

#[test]
fn node_that_moved_while_others_were_down_is_believed() {
    // given: a machine restarts in another zone, with and without its disk
    for stored in [vec![record(A, 3, "a")], Vec::new()] {
        let mut moved = NodeAttributesTable::new(A, Incarnation(1), in_zone("x"), stored);
        let mut other = table(B, "b");
        receive_table(&mut other, C, vec![record(A, 3, "a")]);
        other.take_messages();

        // when
        connect(&mut moved, &mut other);
        exchange(0, &mut moved, &mut other);

        // then
        assert_eq!((moved.get(A), other.get(A)), (Some(&in_zone("x")), Some(&in_zone("x"))));
    }
}

#[test]
fn older_record_does_not_replace_a_newer_one() {
    let mut left = table(A, "a");
    receive_table(&mut left, B, vec![record(C, 2, "new")]);
    receive_table(&mut left, B, vec![record(C, 1, "old"), record(C, 2, "other")]);
    assert_eq!(left.get(C), Some(&in_zone("new")));
}

#[test]
fn full_table_keeps_members_and_voters() {
    // given
    let mut left = table(A, "a");
    left.set_retained([C]);
    receive_table(&mut left, B, vec![record(C, 1, "c")]);
    let many =
        |from: u32| (from..from + MAX_RECORDS as u32).map(|node| record(NodeId(node), 1, "z")).collect();

    // when
    receive_table(&mut left, B, many(100));
    receive_table(&mut left, B, many(1_000));

    // then
    let stored = left.take_unpersisted().expect("the table has changed");
    assert_eq!(NodeAttributesTable::decode(&stored).map(|records| records.len()), Some(MAX_RECORDS));
    assert_eq!((left.get(A), left.get(C)), (Some(&in_zone("a")), Some(&in_zone("c"))));
}

#[test]
fn names_are_limited() {
    let long = "é".repeat(MAX_NAME_BYTES);
    assert_eq!(NodeAttributes::new(&long, "", true).zone.len(), MAX_NAME_BYTES);
    let mut left = table(A, "a");
    let attributes = NodeAttributes { zone: long, ..in_zone("") };
    receive_table(&mut left, B, vec![AttributeRecord { node: C, revision: 1, attributes }]);
    assert_eq!(left.get(C), None);
}

#[test]
fn node_without_attributes_may_vote() {
    let mut left = table(A, "a");
    let attributes = NodeAttributes::new("c", "north", false);
    receive_table(&mut left, C, vec![AttributeRecord { node: C, revision: 1, attributes }]);
    assert!(left.counts_for_quorum(A) && left.counts_for_quorum(B) && !left.counts_for_quorum(C));
}
