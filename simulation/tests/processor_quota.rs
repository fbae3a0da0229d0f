//! Coordinators and edges with a quota of processor time: they run at full speed until it is spent, and not at all for the rest
//! of each 100 ms.

mod common;

use common::{assert_in_service, send_requests_for};
use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::Millis;
use shaletrail_simulation::{Fleet, FleetOptions};

/// Quotas: how long processes run in each period, in milliseconds.
const RUNNING: [Millis; 3] = [20, 40, 60];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// Time within which a change must be acknowledged, in milliseconds: it takes a few messages, each of which may wait for most
/// of a period.
const ACKNOWLEDGED_UNDER_QUOTA: Millis = 1_000;

/// A fleet in service whose coordinators and edges all have a quota of `running` milliseconds.
fn with_quota(seed: u64, coordinators: u8, hosts_lost: u32, running: Millis) -> Fleet {
    let options = FleetOptions { coordinators, hosts_lost, seed, ..FleetOptions::default() };
    let mut fleet = Fleet::ready(options);
    fleet.run(2_000);
    for node in fleet.coordinators().into_iter().chain(fleet.edges()) {
        fleet.set_processor_quota(node, Some(running));
    }
    fleet
}

#[test]
fn quota_keeps_leader_and_quorum_contact() {
    for running in RUNNING {
        for (coordinators, hosts_lost) in [(3, 1), (5, 2)] {
            for seed in SEEDS {
                // given
                let mut fleet = with_quota(seed, coordinators, hosts_lost, running);
                let before = fleet.world.observer.state_changes.len();

                // when
                for _ in 0..10 {
                    fleet.replace_within(ACKNOWLEDGED_UNDER_QUOTA);
                    send_requests_for(&mut fleet, 1_000);
                }

                // then
                let disturbed = fleet.world.observer.state_changes[before..].iter().find(|(_, _, change)| {
                    matches!(
                        change,
                        StateChange::LostLeadership { .. } | StateChange::QuorumContactChanged(false)
                    )
                });
                assert_eq!(disturbed, None, "{running} ms, seed {seed}\n{}", fleet.describe());
                assert_in_service(&mut fleet);
                fleet.check();
            }
        }
    }
}

#[test]
fn lost_leader_under_quota_is_replaced_in_time() {
    for running in RUNNING {
        for seed in SEEDS {
            // given
            let mut fleet = with_quota(seed, 3, 1, running);
            let leader = fleet.await_leader();

            // when
            fleet.lose_power(leader);

            // then
            assert_in_service(&mut fleet);
            fleet.check();
        }
    }
}
