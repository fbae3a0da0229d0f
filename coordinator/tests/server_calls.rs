//! Heartbeats and deregistrations of servers at isolated coordinators, and heartbeats that arrive late.

mod common;

use common::cluster::Cluster;
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::Presence;

/// Maximum number of deregistrations that wait for a majority.
const MAX_WAITING: usize = 1_024;

/// Returns a configured cluster, a coordinator that is not the leader, and another coordinator.
fn configured() -> (Cluster, u8, u8) {
    let cluster = Cluster::configured(3);
    let isolated = cluster.follower();
    let other = cluster.others(isolated)[0];
    (cluster, isolated, other)
}

fn presence(cluster: &Cluster, number: u8) -> Option<Presence> {
    cluster.core(number).directory().record("i-1").map(|record| record.presence)
}

#[test]
fn isolated_coordinator_acknowledges_no_draining() {
    for state in [Some(ServerState::Draining), None] {
        // given
        let (mut cluster, isolated, other) = configured();
        cluster.heartbeat(isolated, "i-1", ServerState::Ready, 1);
        cluster.run(500);
        cluster.isolate(isolated);

        // when: the server drains or deregisters
        let leave = |cluster: &mut Cluster, number| match state {
            Some(state) => cluster.heartbeat(number, "i-1", state, 2),
            None => cluster.deregister(number, "i-1"),
        };
        let here = leave(&mut cluster, isolated);
        cluster.run(1_000);
        let there = leave(&mut cluster, other);
        cluster.run(100);

        // then
        assert_eq!(cluster.server_response(isolated, here), Some(false));
        assert_eq!(cluster.server_response(other, there), Some(true));
        let knowing = cluster.others(isolated).into_iter().filter(|number| {
            matches!(presence(&cluster, *number), Some(Presence::Draining | Presence::Removed))
        });
        assert_eq!(knowing.count(), 2);
    }
}

#[test]
fn deregistered_server_stays_removed() {
    // given: the server deregisters without draining first
    let mut cluster = Cluster::configured(3);
    cluster.heartbeat(1, "i-1", ServerState::Ready, 5);
    cluster.run(500);
    let deregistration = cluster.deregister(2, "i-1");
    cluster.run(100);
    assert_eq!(cluster.server_response(2, deregistration), Some(true));

    // when: heartbeats sent before and after the deregistration arrive late at other coordinators
    let earlier = cluster.heartbeat(3, "i-1", ServerState::Ready, 4);
    let later = cluster.heartbeat(1, "i-1", ServerState::Ready, 6);
    cluster.run(1_000);

    // then
    assert_eq!(cluster.server_response(3, earlier), Some(true));
    assert_eq!(cluster.server_response(1, later), Some(true));
    for number in cluster.numbers() {
        assert_eq!(presence(&cluster, number), Some(Presence::Removed), "at {number}");
    }
}

#[test]
fn isolated_coordinator_times_out_no_server() {
    // given
    let (mut cluster, isolated, other) = configured();
    cluster.heartbeat(other, "i-1", ServerState::Ready, 1);
    cluster.run(5_000);
    assert_eq!(
        presence(&cluster, isolated),
        Some(Presence::TimedOut),
        "a coordinator with quorum contact times it out"
    );
    for sequence in 2..6 {
        cluster.heartbeat(other, "i-1", ServerState::Ready, sequence);
        cluster.run(1_000);
    }
    assert_eq!(presence(&cluster, isolated), Some(Presence::Ready));

    // when
    cluster.isolate(isolated);
    for sequence in 6..26 {
        cluster.heartbeat(other, "i-1", ServerState::Ready, sequence);
        cluster.run(1_000);
    }

    // then: the server is not timed out, not even right after quorum contact is regained
    assert_eq!(presence(&cluster, isolated), Some(Presence::Ready));
    cluster.reconnect(isolated);
    for sequence in 26..32 {
        cluster.heartbeat(other, "i-1", ServerState::Ready, sequence);
        cluster.run(500);
        assert_eq!(presence(&cluster, isolated), Some(Presence::Ready));
    }
}

#[test]
fn deregistrations_beyond_limit_are_rejected() {
    // given
    let mut cluster = Cluster::with_leader(3);
    cluster.isolate(1);

    // when
    let waiting: Vec<CallId> =
        (0..MAX_WAITING).map(|number| cluster.deregister(1, &format!("i-{number}"))).collect();
    let call = cluster.deregister(1, "i-another");

    // then
    assert!(waiting.iter().all(|call| cluster.server_response(1, *call).is_none()));
    assert_eq!(cluster.server_response(1, call), Some(false));
}

#[test]
fn servers_leave_isolated_coordinator() {
    // given
    let (mut cluster, isolated, other) = configured();
    let first = cluster.heartbeat(isolated, "i-1", ServerState::Ready, 1);
    cluster.run(200);
    assert_eq!(cluster.server_response(isolated, first), Some(true));

    // when: the server switches to another coordinator after a heartbeat is not acknowledged
    cluster.isolate(isolated);
    let mut at = isolated;
    for sequence in 2..20 {
        let call = cluster.heartbeat(at, "i-1", ServerState::Ready, sequence);
        if cluster.server_response(at, call) == Some(false) {
            at = other;
            cluster.heartbeat(at, "i-1", ServerState::Ready, sequence);
        }
        cluster.run(1_000);

        // then: the majority, which serves the edges, does not time it out
        assert_eq!(presence(&cluster, other), Some(Presence::Ready));
    }
    assert_eq!(at, other);

    // and the isolated coordinator still records the heartbeats that it receives
    cluster.heartbeat(isolated, "i-2", ServerState::Ready, 1);
    assert!(cluster.core(isolated).directory().record("i-2").is_some());
}
