//! Losses of whole zones and regions that the settings ask to tolerate.

mod common;

use common::deployment::{Deployment, Place, Tolerance};
use common::simulated_cluster::SimulatedCluster;
use shaletrail_protocol::Millis;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// How long a new machine still counts as lost (`syncS`).
const SYNC: Millis = 6_000;
/// How long the machines of a lost zone are down.
const OUTAGE: Millis = 2_000;

/// Three halls of one region.
const HALLS: [Place; 3] = [
    Place { zone: "hall-1", region: "zagreb" },
    Place { zone: "hall-2", region: "zagreb" },
    Place { zone: "hall-3", region: "zagreb" },
];

/// Nine machines, three in each of three halls. Two machines or one hall may be lost.
fn nine_in_three_halls(seeds: &[u8]) -> Deployment {
    let tolerance = Tolerance { hosts: 2, zones: 1, regions: 0 };
    Deployment::in_places(tolerance, &HALLS.map(|hall| (hall, 3)), seeds)
}

/// Guards against review case 4: the loss of a tolerated zone took the majority of the voters with it, for good.
#[test]
fn acknowledged_change_survives_disk_loss_of_any_zone() {
    for seed in SEEDS {
        for hall in HALLS {
            // given: the seeds stand one in each hall
            let deployment = nine_in_three_halls(&[1, 4, 7]);
            let lost = deployment.in_zone(hall.zone);
            let mut cluster = SimulatedCluster::bootstrapped_in(deployment, seed);
            cluster.run(SYNC);
            cluster.commit_change();

            // when
            lost.iter().for_each(|node| cluster.wipe(*node));
            cluster.run(OUTAGE);
            lost.iter().for_each(|node| cluster.start(*node));

            // then
            cluster.assert_available();
        }
    }
}
