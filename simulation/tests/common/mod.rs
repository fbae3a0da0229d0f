//! Helpers that the tests share.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use shaletrail_coordinator::core::shards::shard_of;
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_simulation::fixtures::LLM_SERVICE;
use shaletrail_simulation::{Fleet, FleetOptions};

/// Time after the acknowledgement of its draining in which a server may still get requests, in milliseconds (`drainMs`).
pub const DRAIN: Millis = 2_000;
/// Time within which a call must be answered, in milliseconds (`ackTimeoutMs`).
pub const ACKNOWLEDGED_WITHIN: Millis = 4_000;
/// Time within which all edges must have applied an acknowledged change, in milliseconds (`convergenceMs`).
pub const CONVERGED_WITHIN: Millis = 2_000;

/// Starts a fleet with default options and waits until it is in service.
pub fn ready(seed: u64) -> Fleet {
    Fleet::ready(FleetOptions { seed, ..FleetOptions::default() })
}

/// Checks that a change is acknowledged and applied in time, and that a read returns it.
pub fn assert_in_service(fleet: &mut Fleet) {
    let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);
    let converged = fleet.run_until(CONVERGED_WITHIN, |fleet| fleet.is_applied_everywhere(change));
    assert!(
        converged,
        "change {change} not applied by all edges within {CONVERGED_WITHIN} ms\n{}",
        fleet.describe()
    );
    assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
}

/// All coordinators except one.
pub fn others(fleet: &Fleet, node: NodeId) -> Vec<NodeId> {
    fleet.coordinators().into_iter().filter(|other| *other != node).collect()
}

/// For `duration` milliseconds, sends a request for the service without models to each edge every 50 ms. Returns the numbers of
/// the requests.
pub fn send_requests_for(fleet: &mut Fleet, duration: Millis) -> Vec<u64> {
    let end = fleet.world.now + duration;
    let mut requests = Vec::new();
    while fleet.world.now < end {
        for node in fleet.edges() {
            requests.push(fleet.request_web(node));
        }
        fleet.run(50);
    }
    requests
}

/// The number of attempts that edges sent to a server after a time.
pub fn sent_after(fleet: &Fleet, server: &ServerId, after: Millis) -> usize {
    let attempts = &fleet.world.observer.attempts;
    attempts.iter().filter(|attempt| attempt.server == *server && attempt.at > after).count()
}

/// The coordinator that holds the order lease of the service with models.
pub fn order_lease_holder(fleet: &Fleet) -> NodeId {
    fleet
        .leader_of(shard_of(LLM_SERVICE))
        .unwrap_or_else(|| panic!("the shard has no leader\n{}", fleet.describe()))
}

/// Time from a request's arrival to the start of its first execution, in milliseconds; `None` if it was not executed.
pub fn time_to_execution(fleet: &Fleet, request: u64) -> Option<Millis> {
    let observed = fleet.world.observer.requests.get(&request)?;
    observed.executions.first().map(|(at, _)| at - observed.at)
}
