//! Heartbeats and deregistrations of servers at coordinators that are isolated, and messages that arrive late.

mod common;

use common::cluster::Cluster;
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::Presence;

/// Deregistrations that may wait for a majority at once.
const MAX_WAITING: usize = 1_024;

/// A configured cluster; a coordinator that does not lead, and another one.
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
    // given: a deregistration without a draining before it
    let mut cluster = Cluster::configured(3);
    cluster.heartbeat(1, "i-1", ServerState::Ready, 5);
    cluster.run(500);
    let deregistration = cluster.deregister(2, "i-1");
    cluster.run(100);
    assert_eq!(cluster.server_response(2, deregistration), Some(true));

    // when: heartbeats from before and after it arrive late, at other coordinators
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
    assert_eq!(presence(&cluster, isolated), Some(Presence::TimedOut), "as it has quorum contact");
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

    // then: nor right after it is back
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

    // when: the server goes on to another coordinator where it is not acknowledged
    cluster.isolate(isolated);
    let mut at = isolated;
    for sequence in 2..20 {
        let call = cluster.heartbeat(at, "i-1", ServerState::Ready, sequence);
        if cluster.server_response(at, call) == Some(false) {
            at = other;
            cluster.heartbeat(at, "i-1", ServerState::Ready, sequence);
        }
        cluster.run(1_000);

        // then: the majority, which informs the edges, does not time it out
        assert_eq!(presence(&cluster, other), Some(Presence::Ready));
    }
    assert_eq!(at, other);

    // and the isolated coordinator records what it receives all the same
    cluster.heartbeat(isolated, "i-2", ServerState::Ready, 1);
    assert!(cluster.core(isolated).directory().record("i-2").is_some());
}
