//! Where the machines of a simulated deployment stand, and which losses its settings ask to tolerate.

use std::collections::BTreeMap;
use std::fmt::Write;

use shaletrail_protocol::NodeId;

use super::node;

/// The zone and region of a machine without an entry in [`Deployment::places`].
const DEFAULT_PLACE: Place = Place { zone: "a", region: "north" };

/// Where a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
}

/// The losses that the settings ask to tolerate: that many machines, or zones, or regions at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    pub hosts: usize,
    pub zones: usize,
    pub regions: usize,
}

/// The machines of a deployment and the losses to tolerate.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub tolerance: Tolerance,
    pub places: BTreeMap<NodeId, Place>,
    /// Machines whose settings say `countsForQuorum=false`.
    pub not_counting: Vec<NodeId>,
    /// Machines that exist at the bootstrap.
    pub machines: Vec<NodeId>,
    /// Seeds of the bootstrap.
    pub seeds: Vec<NodeId>,
}

impl Deployment {
    /// `2 * hosts_lost + 1` machines in one zone. The first three are the seeds.
    pub fn single_zone(hosts_lost: usize) -> Deployment {
        let machines: Vec<NodeId> = (1..=2 * hosts_lost as u8 + 1).map(node).collect();
        Deployment {
            tolerance: Tolerance { hosts: hosts_lost, zones: 0, regions: 0 },
            places: BTreeMap::new(),
            not_counting: Vec::new(),
            seeds: machines.iter().copied().take(3).collect(),
            machines,
        }
    }

    /// Machines with neighbouring addresses in each of these places; `seeds` are numbers of machines, counted from 1.
    pub fn in_places(tolerance: Tolerance, places: &[(Place, usize)], seeds: &[u8]) -> Deployment {
        let by_machine = places.iter().flat_map(|(place, count)| vec![*place; *count]);
        let places: BTreeMap<NodeId, Place> = (1..).map(node).zip(by_machine).collect();
        Deployment {
            tolerance,
            machines: places.keys().copied().collect(),
            places,
            not_counting: Vec::new(),
            seeds: seeds.iter().copied().map(node).collect(),
        }
    }

    /// Where a machine stands.
    pub fn place(&self, node: NodeId) -> Place {
        self.places.get(&node).copied().unwrap_or(DEFAULT_PLACE)
    }

    /// The machines of a zone.
    pub fn in_zone(&self, zone: &str) -> Vec<NodeId> {
        self.machines.iter().copied().filter(|node| self.place(*node).zone == zone).collect()
    }

    /// The machines of a region.
    pub fn in_region(&self, region: &str) -> Vec<NodeId> {
        self.machines.iter().copied().filter(|node| self.place(*node).region == region).collect()
    }

    /// The lines of a machine's settings file about places and losses.
    pub fn settings_lines(&self, node: NodeId) -> String {
        let Place { zone, region } = self.place(node);
        let Tolerance { hosts, zones, regions } = self.tolerance;
        let counts = !self.not_counting.contains(&node);
        let mut lines = format!(
            "zone={zone}\nregion={region}\ncountsForQuorum={counts}\nfaultTolerance.hostsLost={hosts}\n\
             faultTolerance.zones={zones}\nfaultTolerance.regions={regions}\n"
        );
        let regions: BTreeMap<&str, &str> =
            self.places.values().map(|place| (place.zone, place.region)).collect();
        for (zone, region) in regions {
            let _ = writeln!(lines, "zones.{zone}={region}");
        }
        lines
    }
}
