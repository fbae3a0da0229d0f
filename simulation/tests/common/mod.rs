//! Helpers that the tests share.
#![allow(dead_code, reason = "each test file uses its own part")]

use shaletrail_coordinator::core::shards::shard_of;
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_simulation::fixtures::LLM_SERVICE;
use shaletrail_simulation::{Fleet, FleetOptions};

/// `drainMs`, in milliseconds.
pub const DRAIN: Millis = 2_000;
/// `ackTimeoutMs`, in milliseconds.
pub const ACKNOWLEDGED_WITHIN: Millis = 4_000;
/// `convergenceMs`, in milliseconds.
pub const CONVERGED_WITHIN: Millis = 2_000;

/// A fleet in service, with a seed.
pub fn ready(seed: u64) -> Fleet {
    Fleet::ready(FleetOptions { seed, ..FleetOptions::default() })
}

/// Checks that a change is acknowledged and applied in time, and is read back.
pub fn assert_in_service(fleet: &mut Fleet) {
    let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);
    let converged = fleet.run_until(CONVERGED_WITHIN, |fleet| fleet.is_applied_everywhere(change));
    assert!(converged, "{change} is not in force in time\n{}", fleet.describe());
    assert_eq!(fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", fleet.describe());
}

/// All coordinators but one.
pub fn others(fleet: &Fleet, node: NodeId) -> Vec<NodeId> {
    fleet.coordinators().into_iter().filter(|other| *other != node).collect()
}

/// Sends a request to the service without models at each edge every 50 ms.
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

/// The number of attempts that were sent to a server after a moment.
pub fn sent_after(fleet: &Fleet, server: &ServerId, after: Millis) -> usize {
    let attempts = &fleet.world.observer.attempts;
    attempts.iter().filter(|sending| sending.server == *server && sending.at > after).count()
}

/// The coordinator that holds the order lease of the service with models.
pub fn order_lease_holder(fleet: &Fleet) -> NodeId {
    fleet.leader_of(shard_of(LLM_SERVICE)).unwrap_or_else(|| panic!("nobody leads\n{}", fleet.describe()))
}

/// Time from a request's arrival to its first execution, in milliseconds.
pub fn time_to_execution(fleet: &Fleet, request: u64) -> Option<Millis> {
    let observed = fleet.world.observer.requests.get(&request)?;
    observed.executions.first().map(|(at, _)| at - observed.at)
}
