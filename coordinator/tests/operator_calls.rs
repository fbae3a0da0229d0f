//! Operator calls that are forwarded, proposed more than once, or answered late.

mod common;

use common::cluster::Cluster;
use common::single::SingleCoordinator;
use common::{configuration, is_done, node, TICK};
use shaletrail_consensus::{Message, RoundStamp};
use shaletrail_coordinator::core::shards::CONFIGURATION;
use shaletrail_coordinator::interface::{Action, Event};
use shaletrail_protocol::internal::{CoordinatorMessage, OperatorCall, OperatorResponse};
use shaletrail_protocol::NodeId;

/// Returns a configured cluster of three, its leader, and a follower.
fn configured() -> (Cluster, u8, u8) {
    let cluster = Cluster::configured(3);
    let (leader, follower) = (cluster.leader(), cluster.follower());
    (cluster, leader, follower)
}

/// Returns the coordinator that is neither of the two.
fn third(cluster: &Cluster, one: u8, other: u8) -> u8 {
    let others = cluster.others(one);
    others.into_iter().find(|number| *number != other).expect("there is a third coordinator")
}

fn is_forward_request(message: &CoordinatorMessage) -> bool {
    matches!(message, CoordinatorMessage::ForwardRequest { .. })
}

fn is_forward_response(message: &CoordinatorMessage) -> bool {
    matches!(message, CoordinatorMessage::ForwardResponse { .. })
}

/// A configuration so large that the timeout of its call is several seconds.
fn large_configuration(version: u64, host: &str) -> String {
    configuration(version, host) + &" ".repeat(6 << 20)
}

#[test]
fn late_response_matches_no_call_of_next_incarnation() {
    // given: the leader answers a forwarded call while the node that forwarded it is down
    let (mut cluster, leader, sender) = configured();
    cluster.kill(sender);
    cluster.start(sender);
    cluster.run(1_000);
    cluster.delay_messages(move |_, to, message| to == sender && is_forward_response(message));
    cluster.replace_config(sender, 1, &configuration(2, "b.example"));
    cluster.run(200);
    assert_eq!(cluster.delayed().count(), 1);
    cluster.kill(sender);
    cluster.start(sender);
    cluster.run(1_000);

    // when: the restarted process forwards its first call, which is lost, and then receives the old response
    cluster.delay_messages(move |from, _, message| from == sender && is_forward_request(message));
    let call = cluster.replace_config(sender, 1, &configuration(2, "c.example"));
    cluster.stop_delaying();
    cluster.deliver_delayed_if(is_forward_response);

    // then
    assert_eq!(cluster.leader(), leader);
    assert_eq!(cluster.operator_response(sender, call), None);
    cluster.run(1_500);
    assert_eq!(cluster.operator_response(sender, call), Some(&OperatorResponse::Unavailable));
}

#[test]
fn response_of_non_leader_is_ignored() {
    // given
    let (mut cluster, leader, sender) = configured();
    let third = third(&cluster, leader, sender);
    cluster.delay_messages(move |from, _, message| from == sender && is_forward_request(message));
    let call = cluster.replace_config(sender, 1, &configuration(2, "b.example"));
    let id = cluster.delayed().find_map(|message| match message {
        CoordinatorMessage::ForwardRequest { call_id, .. } => Some(*call_id),
        _ => None,
    });
    let id = id.expect("the call is forwarded");

    // when: a response arrives from a node that is not the leader, and one to another call
    let response = OperatorResponse::Done { body: Vec::new() };
    cluster.send(
        third,
        sender,
        CoordinatorMessage::ForwardResponse { call_id: id, response: response.clone() },
    );
    cluster.send(leader, sender, CoordinatorMessage::ForwardResponse { call_id: id + 1, response });

    // then
    assert_eq!(cluster.operator_response(sender, call), None);
    cluster.deliver_delayed();
    cluster.run(300);
    assert!(is_done(cluster.operator_response(sender, call)));
}

#[test]
fn overwritten_proposal_is_lost() {
    // given: a proposal that only the isolated leader has
    let (mut cluster, leader, _) = configured();
    cluster.isolate(leader);
    let lost = cluster.replace_config(leader, 1, &large_configuration(2, "b.example"));
    let others = cluster.others(leader);
    assert!(cluster.run_until(2_000, |cluster| others.contains(&cluster.leader())));

    // when: an entry of a later term overwrites it and reaches the old leader while the call is still pending
    let next = cluster.leader();
    let won = cluster.replace_config(next, 1, &configuration(2, "d.example"));
    cluster.reconnect(leader);
    cluster.run(500);
    assert!(is_done(cluster.operator_response(next, won)));

    // then: the call was forwarded to the next leader, where it is a conflict
    assert_eq!(
        cluster.operator_response(leader, lost),
        Some(&OperatorResponse::Conflict { current_version: 2 })
    );
    cluster.run(3_000);
    for number in cluster.numbers() {
        let read = cluster.operator_call(number, OperatorCall::Read);
        cluster.run(500);
        let Some(OperatorResponse::Done { body }) = cluster.operator_response(number, read) else {
            panic!("the read is not answered")
        };
        assert!(!String::from_utf8_lossy(body).contains("b.example"));
    }
}

#[test]
fn retry_after_lost_response_is_acknowledged() {
    // given: a change was accepted, and the response to the node that forwarded it is lost
    let (mut cluster, leader, sender) = configured();
    cluster.delay_messages(|_, _, message| is_forward_response(message));
    let lost = cluster.replace_config(sender, 1, &configuration(2, "b.example"));
    cluster.run(300);
    assert_eq!(
        (cluster.operator_response(sender, lost), cluster.core(leader).configuration_version()),
        (None, 2)
    );
    cluster.stop_delaying();

    // when: the leader is lost, another change is committed, and the first one is retried at each remaining coordinator
    cluster.kill(leader);
    cluster.run(3_000);
    let next = cluster.leader();
    let other = cluster.replace_config(next, 2, &configuration(3, "e.example"));
    cluster.run(300);
    assert!(is_done(cluster.operator_response(next, other)));
    for number in cluster.others(leader) {
        let again = cluster.replace_config(number, 1, &configuration(2, "b.example"));
        cluster.run(300);

        // then
        assert!(
            is_done(cluster.operator_response(number, again)),
            "{:?}",
            cluster.operator_response(number, again)
        );
        assert_eq!(cluster.core(number).configuration_version(), 3);
    }
}

/// Guards against a core that is busy for good with copies of large changes: a copy that can no longer be accepted took
/// up space in the log, and time of all replicas, before it was answered.
#[test]
fn change_with_final_outcome_is_answered_without_log_entry() {
    // given
    let (mut cluster, leader, _) = configured();
    let applied = configuration(2, "b.example");
    let first = cluster.replace_config(leader, 1, &applied);
    cluster.run(300);
    assert!(is_done(cluster.operator_response(leader, first)));
    let last_position = |cluster: &Cluster| {
        cluster.core(leader).shards().get(CONFIGURATION).expect("the shard exists").replica.last_position()
    };
    let last_before = last_position(&cluster);

    for number in cluster.numbers() {
        // when
        let copy = cluster.replace_config(number, 1, &applied);
        let other = cluster.replace_config(number, 1, &configuration(2, "c.example"));
        cluster.run(200);

        // then
        let responses = [copy, other].map(|call| cluster.operator_response(number, call));
        assert!(is_done(responses[0]), "{number}: {responses:?}");
        assert_eq!(responses[1], Some(&OperatorResponse::Conflict { current_version: 2 }), "{number}");
    }
    assert_eq!(last_position(&cluster), last_before);
}

#[test]
fn proposal_is_acknowledged_after_leader_change() {
    // given: one follower has received the entry, but its acknowledgement does not reach the leader
    let (mut cluster, leader, follower) = configured();
    let third = third(&cluster, leader, follower);
    cluster.partition(leader, third);
    cluster.partition_one_way(follower, leader);
    let call = cluster.replace_config(leader, 1, &large_configuration(2, "b.example"));
    cluster.run(TICK);

    // when: the follower becomes the leader, and the old leader learns of it while its call is still pending
    cluster.partition_one_way(leader, follower);
    assert!(cluster.run_until(2_500, |cluster| cluster.leader() == follower));
    cluster.run(300);
    assert_eq!(cluster.core(follower).configuration_version(), 2, "the entry is applied");
    assert_eq!(cluster.operator_response(leader, call), None);
    cluster.reconnect(leader);
    cluster.run(500);

    // then
    assert!(
        is_done(cluster.operator_response(leader, call)),
        "{:?}",
        cluster.operator_response(leader, call)
    );
    cluster.run(2_000);
    cluster.numbers().iter().for_each(|number| assert_eq!(cluster.core(*number).configuration_version(), 2));
}

#[test]
fn change_on_future_version_may_be_retried() {
    for through_leader in [true, false] {
        // given
        let (mut cluster, leader, sender) = configured();
        let at = if through_leader { leader } else { sender };

        // when: two changes arrive in the wrong order
        let early = cluster.replace_config(at, 2, &configuration(3, "c.example"));
        cluster.run(300);
        let first = cluster.replace_config(at, 1, &configuration(2, "b.example"));
        cluster.run(300);
        let again = cluster.replace_config(at, 2, &configuration(3, "c.example"));
        cluster.run(300);

        // then
        assert_eq!(cluster.operator_response(at, early), Some(&OperatorResponse::Unavailable));
        assert!(is_done(cluster.operator_response(at, first)));
        assert!(is_done(cluster.operator_response(at, again)));

        // and a change based on an older version is rejected as a conflict
        let old = cluster.replace_config(at, 1, &configuration(9, "x.example"));
        cluster.run(300);
        assert_eq!(
            cluster.operator_response(at, old),
            Some(&OperatorResponse::Conflict { current_version: 3 })
        );
    }
}

#[test]
fn replaced_leader_returns_no_stale_read() {
    // given: a leader that does not know of its successor and of a change committed by it
    let (mut cluster, leader, _) = configured();
    cluster.isolate(leader);
    let others = cluster.others(leader);
    assert!(cluster.run_until(3_000, |cluster| others.contains(&cluster.leader())));
    let next = cluster.leader();
    let change = cluster.replace_config(next, 1, &configuration(2, "d.example"));
    cluster.run(200);
    assert!(is_done(cluster.operator_response(next, change)));

    // when
    let read = cluster.operator_call(leader, OperatorCall::Read);
    cluster.run(TICK);
    assert_eq!(cluster.operator_response(leader, read), None);
    cluster.reconnect(leader);
    cluster.run(1_000);

    // then
    match cluster.operator_response(leader, read).expect("the read is answered") {
        OperatorResponse::Done { body } => assert!(String::from_utf8_lossy(body).contains("d.example")),
        other => assert_eq!(other, &OperatorResponse::Unavailable),
    }
}

/// The first of three coordinators, with `leader` as the leader of the configuration's shard.
fn led_by(leader: NodeId, incarnation: u64) -> SingleCoordinator {
    let mut coordinator = SingleCoordinator::with_incarnation(3, incarnation);
    let stamp = RoundStamp { round: 1, sent_at: 1 };
    let message = Message::Heartbeat { term: 9, commit: 0, stamp };
    let message = CoordinatorMessage::Shard { shard: CONFIGURATION, body: bitcode::encode(&message) };
    coordinator.handle(Event::Message { from: leader, message });
    coordinator
}

/// Returns the id with which the last call was forwarded to the leader.
fn forwarded_id(coordinator: &SingleCoordinator, leader: NodeId) -> u64 {
    let id = coordinator.actions.iter().rev().find_map(|action| match action {
        Action::Send { to, message: CoordinatorMessage::ForwardRequest { call_id, .. } } if *to == leader => {
            Some(*call_id)
        }
        _ => None,
    });
    id.expect("the call is forwarded to the leader")
}

fn forward_response(from: NodeId, call: u64) -> Event {
    let response = OperatorResponse::Done { body: b"{}".to_vec() };
    Event::Message { from, message: CoordinatorMessage::ForwardResponse { call_id: call, response } }
}

#[test]
fn response_to_call_of_earlier_incarnation_is_ignored() {
    // given: a forwarded call of an earlier incarnation, and one of the present incarnation
    let leader = node(2);
    let mut before = led_by(leader, 77);
    before.replace_config(0, &configuration(1, "a.example"));
    let earlier_id = forwarded_id(&before, leader);
    drop(before);
    let mut coordinator = led_by(leader, 78);
    let call = coordinator.replace_config(0, &configuration(1, "b.example"));
    let id = forwarded_id(&coordinator, leader);

    // when
    coordinator.handle(forward_response(leader, earlier_id));

    // then
    assert_eq!(coordinator.operator_response(call), None);
    coordinator.handle(forward_response(node(3), id));
    assert_eq!(coordinator.operator_response(call), None, "it was not forwarded to the third node");
    coordinator.handle(forward_response(leader, id));
    assert!(is_done(coordinator.operator_response(call)));
}
