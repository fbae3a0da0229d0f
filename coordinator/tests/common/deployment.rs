//! Where the machines of a simulated deployment stand, and which losses its settings ask to tolerate.

use std::collections::{BTreeMap, BTreeSet};
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

    /// Adds a machine in the place of another one.
    pub fn add_successor(&mut self, node: NodeId, of: NodeId) {
        self.places.insert(node, self.place(of));
        self.machines.push(node);
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, node: NodeId) {
        self.machines.retain(|machine| *machine != node);
    }

    /// The names of all zones in which there are machines.
    pub fn zones(&self) -> Vec<&'static str> {
        self.names(|place| place.zone)
    }

    /// The names of all regions in which there are machines.
    pub fn regions(&self) -> Vec<&'static str> {
        self.names(|place| place.region)
    }

    fn names(&self, name: impl Fn(Place) -> &'static str) -> Vec<&'static str> {
        let names: BTreeSet<&str> = self.machines.iter().map(|node| name(self.place(*node))).collect();
        names.into_iter().collect()
    }

    /// The largest number of these nodes that a tolerated loss takes.
    pub fn largest_loss(&self, nodes: &[NodeId]) -> usize {
        let Tolerance { hosts, zones, regions } = self.tolerance;
        let largest = |name: fn(Place) -> &'static str, count: usize| {
            let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
            nodes.iter().for_each(|node| *sizes.entry(name(self.place(*node))).or_default() += 1);
            let mut sizes: Vec<usize> = sizes.into_values().collect();
            sizes.sort_unstable();
            sizes.iter().rev().take(count).sum::<usize>()
        };
        let in_zones = largest(|place| place.zone, zones);
        let in_regions = largest(|place| place.region, regions);
        hosts.min(nodes.len()).max(in_zones).max(in_regions)
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
