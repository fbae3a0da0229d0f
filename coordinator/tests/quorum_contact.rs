//! Responses of coordinators to edges and operators while they are isolated, frozen, lagging or just started.

mod common;

use common::cluster::Cluster;
use common::{configuration, is_done, EDGE};
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{
    CoordinatorMessage, MembershipMessage, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::Millis;

/// Time limit within which a coordinator that loses quorum contact must tell its edges to poll another one.
const ISOLATION_NOTICED: Millis = 700;
/// Wait time of polls in these tests, in milliseconds.
const MAX_WAIT: u32 = 500;
/// Number of a second edge.
const OTHER_EDGE: u8 = 101;

/// Sends a poll of an edge that has this configuration version and the present directory.
fn poll(cluster: &mut Cluster, number: u8, config_version: u64) -> CallId {
    let cursor = cluster.core(number).directory().cursor();
    let request = PollRequest { config_version, cursor, max_wait_ms: MAX_WAIT, ..PollRequest::default() };
    cluster.poll(number, EDGE, request)
}

/// Sends a poll of an edge that has no state yet.
fn first_poll(cluster: &mut Cluster, number: u8, edge: u8, max_wait_ms: u32) -> CallId {
    cluster.poll(number, edge, PollRequest { max_wait_ms, ..PollRequest::default() })
}

fn response(cluster: &Cluster, number: u8, call: CallId) -> PollResponse {
    cluster.poll_response(number, call).expect("the poll is answered").clone()
}

/// Asserts that the response tells the edge to poll elsewhere and contains no updates.
fn assert_isolated(response: &PollResponse) {
    let PollResponse { config, servers, complete, edge_count: edges, edge_nodes, isolated, .. } = response;
    assert!(*isolated, "{response:?}");
    assert_eq!((config, servers.len(), *complete), (&None, 0, false), "{response:?}");
    assert_eq!((*edges, edge_nodes), (0, &None), "{response:?}");
}

fn assert_unavailable(cluster: &Cluster, number: u8, call: CallId) {
    assert_eq!(cluster.operator_response(number, call), Some(&OperatorResponse::Unavailable));
}

/// Sends polls of an edge with version 1 until a response satisfies the predicate; returns the time that this took.
fn poll_until(cluster: &mut Cluster, number: u8, predicate: impl Fn(&PollResponse) -> bool) -> Millis {
    let start = cluster.now;
    while cluster.now < start + 5_000 {
        let call = poll(cluster, number, 1);
        cluster.run_until(MAX_WAIT.into(), |cluster| cluster.poll_response(number, call).is_some());
        if predicate(&response(cluster, number, call)) {
            return cluster.now - start;
        }
    }
    panic!("no such response comes");
}

#[test]
fn isolated_coordinator_gives_no_configuration() {
    // given
    let mut cluster = Cluster::configured(3);
    let isolated = cluster.follower();
    cluster.heartbeat(isolated, "i-1", ServerState::Ready, 1);
    cluster.isolate(isolated);
    cluster.run(ISOLATION_NOTICED);

    // when: an edge that has just started polls, and one that has the configuration
    let first = poll(&mut cluster, isolated, 0);
    let known = poll(&mut cluster, isolated, 1);

    // then
    assert_isolated(&response(&cluster, isolated, first));
    assert_isolated(&response(&cluster, isolated, known));
    assert!(response(&cluster, isolated, first).coordinators.contains(&common::node(isolated)));
}

#[test]
fn restarted_system_informs_edges_on_quorum_contact() {
    // given
    let mut cluster = Cluster::configured(3);
    cluster.run(1_000);
    cluster.numbers().iter().for_each(|number| cluster.kill(*number));
    cluster.run(1_000);

    // when
    cluster.start(1);
    cluster.run(300);
    let alone = poll(&mut cluster, 1, 0);
    assert_isolated(&response(&cluster, 1, alone));
    cluster.start(2);
    let started = cluster.now;
    let has_contact = cluster.run_until(2_000, |cluster| cluster.core(1).has_quorum_contact());

    // then: quorum contact suffices, even without a leader
    assert!(has_contact);
    assert!(cluster.now - started <= 400, "{} ms", cluster.now - started);
    let call = poll(&mut cluster, 1, 0);
    let update = response(&cluster, 1, call).config.expect("the response contains a configuration");
    assert_eq!(update.version, 1);
}

#[test]
fn pending_poll_is_released_on_isolation() {
    type Partition = fn(&mut Cluster, u8, u8);
    let partitions: [Partition; 3] = [
        |cluster, isolated, other| cluster.partition(isolated, other),
        |cluster, isolated, other| cluster.partition_one_way(isolated, other),
        |cluster, isolated, other| cluster.partition_one_way(other, isolated),
    ];
    for (kind, partition) in partitions.into_iter().enumerate() {
        // given
        let mut cluster = Cluster::configured(3);
        let isolated = cluster.follower();
        for other in cluster.others(isolated) {
            partition(&mut cluster, isolated, other);
        }

        // when
        let after = poll_until(&mut cluster, isolated, |response| response.isolated);

        // then
        assert!(after <= ISOLATION_NOTICED, "partition {kind}: {after} ms");
    }
}

#[test]
fn late_ping_answers_prove_no_quorum_contact() {
    // given
    let mut cluster = Cluster::configured(3);
    let leader = cluster.leader();
    let frozen = cluster.follower();
    let is_pong = |message: &CoordinatorMessage| {
        matches!(message, CoordinatorMessage::Membership(MembershipMessage::Ack { .. }))
    };
    cluster.delay_messages(move |_, to, message| to == frozen && is_pong(message));
    cluster.run(250);
    assert!(cluster.delayed().count() >= 2);
    cluster.freeze(frozen);
    // The answers to its pings and a poll arrive in its sockets. Then it is isolated.
    cluster.deliver_delayed();
    let call = poll(&mut cluster, frozen, 1);
    cluster.isolate(frozen);
    let change = cluster.replace_config(leader, 1, &configuration(2, "b.example"));
    cluster.run(5_000);
    assert!(is_done(cluster.operator_response(leader, change)));

    // when: it reads the answers, which arrived while it was frozen, before the poll
    cluster.thaw(frozen);

    // then
    assert!(!cluster.core(frozen).has_quorum_contact());
    assert_isolated(&response(&cluster, frozen, call));
}

#[test]
fn edges_leave_lagging_coordinator() {
    for coordinators in [3, 5] {
        // given: a coordinator that reaches a quorum but not the leader
        let mut cluster = Cluster::configured(coordinators);
        let leader = cluster.leader();
        let lagging = cluster.follower();
        cluster.partition(leader, lagging);
        cluster.run(2_000);
        assert_eq!(cluster.leader(), leader, "a quorum keeps its leader");
        assert!(cluster.core(lagging).has_quorum_contact());

        // when
        let change = cluster.replace_config(leader, 1, &configuration(2, "b.example"));
        cluster.run_until(1_000, |cluster| cluster.operator_response(leader, change).is_some());
        assert!(is_done(cluster.operator_response(leader, change)));
        let after =
            poll_until(&mut cluster, lagging, |response| response.isolated || response.config.is_some());

        // then: within the strictest time limit for distributing a configuration, 2 s
        assert!(after <= 1_000, "{after} ms");

        // and it serves edges again after it has reached the leader
        cluster.heal(leader, lagging);
        let has_caught_up =
            cluster.run_until(3_000, |cluster| cluster.core(lagging).configuration_version() == 2);
        assert!(has_caught_up);
        let call = poll(&mut cluster, lagging, 1);
        assert_eq!(response(&cluster, lagging, call).config.map(|update| update.version), Some(2));
    }
}

#[test]
fn isolated_leader_confirms_and_rejects_nothing() {
    // given
    let mut cluster = Cluster::configured(3);
    let leader = cluster.leader();
    cluster.isolate(leader);

    // when
    let change = cluster.replace_config(leader, 1, &configuration(2, "b.example"));
    let stale = cluster.replace_config(leader, 0, &configuration(3, "c.example"));
    let read = cluster.operator_call(leader, OperatorCall::Read);
    cluster.run(2_000);

    // then
    for call in [change, stale, read] {
        assert_unavailable(&cluster, leader, call);
    }

    // and after the others have committed another change, the unconfirmed one is never applied
    let next = cluster.leader();
    assert_ne!(next, leader);
    let other = cluster.replace_config(next, 1, &configuration(2, "d.example"));
    cluster.run(1_000);
    assert!(is_done(cluster.operator_response(next, other)));
    cluster.reconnect(leader);
    cluster.run(3_000);
    let read = cluster.operator_call(leader, OperatorCall::Read);
    cluster.run(500);
    let Some(OperatorResponse::Done { body }) = cluster.operator_response(leader, read) else {
        panic!("the read is not answered")
    };
    assert!(String::from_utf8_lossy(body).contains("d.example"));
}

/// Polls two coordinators twice a second, each by a different edge; returns the last call at the first coordinator.
fn poll_for(cluster: &mut Cluster, duration: Millis) -> CallId {
    let end = cluster.now + duration;
    let mut last = CallId(0);
    while cluster.now < end {
        last = first_poll(cluster, 1, EDGE, 100);
        first_poll(cluster, 2, OTHER_EDGE, 100);
        cluster.run(500);
    }
    last
}

#[test]
fn edge_count_is_unknown_after_isolation() {
    // given
    let mut cluster = Cluster::configured(3);
    let call = poll_for(&mut cluster, 12_000);
    assert_eq!(response(&cluster, 1, call).edge_count, 2);

    // when: the coordinator has quorum contact again, but has received no announcement of edges of other coordinators
    cluster.isolate(1);
    let call = poll_for(&mut cluster, 15_000);
    assert_eq!(response(&cluster, 1, call).edge_count, 0);
    cluster.delay_messages(|_, _, message| matches!(message, CoordinatorMessage::Demand { .. }));
    cluster.reconnect(1);
    cluster.run(1_000);
    let call = poll(&mut cluster, 1, 0);

    // then
    let response = response(&cluster, 1, call);
    assert!(!response.isolated);
    assert_eq!(response.edge_count, 0, "the count is unknown, not 1");
}

#[test]
fn restarted_coordinator_gives_no_stale_configuration() {
    // given: a coordinator that has missed a change and cannot reach the leader
    let mut cluster = Cluster::configured(3);
    let leader = cluster.leader();
    let stale = cluster.follower();
    cluster.kill(stale);
    cluster.run(1_000);
    let change = cluster.replace_config(leader, 1, &configuration(2, "b.example"));
    cluster.run(500);
    assert!(is_done(cluster.operator_response(leader, change)));
    cluster.partition(leader, stale);

    // when
    cluster.start(stale);
    for _ in 0..40 {
        let call = poll(&mut cluster, stale, 0);
        cluster.run(50);

        // then: none is given, not even right after quorum contact is gained
        if let Some(response) = cluster.poll_response(stale, call) {
            assert!(response.config.is_none(), "{response:?}");
        }
    }
    assert!(cluster.core(stale).has_quorum_contact());
    assert_eq!(cluster.core(stale).configuration_version(), 1);
}

#[test]
fn late_entry_rejects_polls_of_new_edges_only() {
    // given: the other coordinators have applied a version whose entry arrives late at this one
    let mut cluster = Cluster::configured(3);
    let leader = cluster.leader();
    let late = cluster.follower();
    cluster.run(500);
    cluster.delay_messages(move |_, to, message| {
        to == late && matches!(message, CoordinatorMessage::Shard { .. })
    });
    cluster.replace_config(leader, 1, &configuration(2, "b.example"));
    cluster.run(100);
    assert_eq!(cluster.core(late).configuration_version(), 1);

    // when
    let (new, known) = (poll(&mut cluster, late, 0), poll(&mut cluster, late, 1));
    cluster.run(100);

    // then
    assert_isolated(&response(&cluster, late, new));
    assert_eq!(cluster.poll_response(late, known), None, "the poll is pending");
    cluster.deliver_delayed();
    assert_eq!(response(&cluster, late, known).config.map(|update| update.version), Some(2));
}

#[test]
fn recently_started_directory_is_incomplete() {
    // given
    let mut cluster = Cluster::configured(3);
    cluster.heartbeat(1, "i-1", ServerState::Ready, 1);
    cluster.run(500);
    let is_complete = |cluster: &mut Cluster| {
        let call = first_poll(cluster, 1, EDGE, MAX_WAIT);
        cluster.run(MAX_WAIT.into());
        let response = response(cluster, 1, call);
        assert!(!response.isolated);
        response.complete
    };
    assert!(is_complete(&mut cluster));

    // when
    cluster.kill(1);
    cluster.start(1);
    cluster.run(1_000);

    // then
    assert!(!is_complete(&mut cluster));
    cluster.run(4_000);
    assert!(is_complete(&mut cluster));
}

#[test]
fn degraded_leader_is_replaced_and_keeps_serving() {
    // given
    let mut cluster = Cluster::configured(3);
    let degraded = cluster.leader();
    cluster.heartbeat(degraded, "i-1", ServerState::Ready, 1);

    // when
    cluster.reject_writes(degraded);
    cluster.run(2_000);
    let change = cluster.replace_config(degraded, 1, &configuration(2, "b.example"));
    let draining = cluster.heartbeat(degraded, "i-1", ServerState::Draining, 2);
    cluster.run(800);

    // then: the change is accepted, and edges of the degraded coordinator get it or poll elsewhere
    assert_ne!(cluster.leader(), degraded);
    let changed = cluster.operator_response(degraded, change);
    assert!(is_done(changed), "{changed:?}");
    assert_eq!(cluster.server_response(degraded, draining), Some(true));
    let call = poll(&mut cluster, degraded, 1);
    let response = response(&cluster, degraded, call);
    assert!(response.isolated || response.config.is_some(), "{response:?}");

    // and with two of three disks degraded, no change is acknowledged that a single power loss could undo
    let second = cluster.leader();
    cluster.reject_writes(second);
    cluster.run(500);
    let change = cluster.replace_config(degraded, 2, &configuration(3, "c.example"));
    cluster.run(2_000);
    assert_unavailable(&cluster, degraded, change);
}

#[test]
fn announced_version_of_lost_coordinator_expires() {
    // given: a coordinator announces a version that no other node ever receives, and is lost immediately
    let mut cluster = Cluster::configured(3);
    let lost = cluster.leader();
    let staying = cluster.others(lost);
    for number in &staying {
        cluster.send(lost, *number, CoordinatorMessage::AppliedConfigVersion { version: 9 });
    }
    cluster.kill(lost);

    // when
    cluster.run(1_500);
    let meanwhile = poll(&mut cluster, staying[0], 1);
    cluster.run(MAX_WAIT.into());

    // then: edges get updates again as soon as the announcement has expired
    assert_isolated(&response(&cluster, staying[0], meanwhile));
    let is_informed = (0..30).any(|_| {
        cluster.run(100);
        let call = poll(&mut cluster, staying[0], 1);
        cluster.run(MAX_WAIT.into());
        !response(&cluster, staying[0], call).isolated
    });
    assert!(is_informed);
    let change = cluster.replace_config(staying[0], 1, &configuration(2, "b.example"));
    let is_done = cluster.run_until(2_000, |cluster| is_done(cluster.operator_response(staying[0], change)));
    assert!(is_done);
}
