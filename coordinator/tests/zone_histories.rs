//! Random deployments that suffer random losses of machines, zones and regions, as many as their settings ask to tolerate.
//! During each loss the configuration can be read and changed, and no acknowledged change is ever lost.
//!
//! `SHALETRAIL_SEEDS=60 cargo test --test zone_histories` plays more seeds.

mod common;

use common::deployment::{Deployment, Place, Tolerance};
use common::node;
use common::simulated_cluster::SimulatedCluster;
use shaletrail_protocol::{Millis, NodeId};

/// Number of seeds that are played unless the environment says otherwise.
const DEFAULT_SEEDS: u64 = 16;
/// Number of random losses with one seed.
const LOSSES: usize = 10;
/// How long a machine still counts as lost after it is back (`syncS`).
const SYNC: Millis = 6_000;
/// How long service may rest after overlapping losses have ended (`recoveryS`).
const RECOVERY: Millis = 15_000;
/// Longest outage.
const MAX_OUTAGE: Millis = 8_000;

const NAMES: [[&str; 3]; 3] = [["s1", "s2", "s3"], ["w1", "w2", "w3"], ["e1", "e2", "e3"]];
const REGIONS: [&str; 3] = ["south", "west", "east"];

/// What happens to the machines of a loss.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// They lose their disks and start again at once.
    Disks,
    /// They lose their disks and start again later.
    DisksAndOutage,
    /// They are down for some time, with their disks kept.
    Outage,
    /// They reach no other machine for some time.
    Cut,
}

/// One history.
struct History {
    cluster: SimulatedCluster,
    seed: u64,
    last_machine: u8,
}

impl History {
    fn new(seed: u64) -> History {
        let deployment = random_deployment(seed);
        println!("seed {seed}: {deployment:?}");
        let last_machine = deployment.machines.len() as u8;
        let mut cluster = SimulatedCluster::bootstrapped_in(deployment, seed);
        cluster.run(SYNC);
        cluster.assert_voters_tolerate_losses();
        History { cluster, seed, last_machine }
    }

    /// Draws the machines of a tolerated loss.
    fn random_loss(&mut self) -> Vec<NodeId> {
        let Tolerance { hosts, zones, regions } = self.cluster.deployment.tolerance;
        let deployment = self.cluster.deployment.clone();
        let kinds: Vec<usize> = (0..3).filter(|kind| [hosts, zones, regions][*kind] > 0).collect();
        let kind = kinds[self.cluster.random_below(kinds.len() as u64) as usize];
        match kind {
            0 => self.cluster.choose(&deployment.machines, hosts).0,
            1 => self.machines_of(deployment.zones(), zones, Deployment::in_zone),
            _ => self.machines_of(deployment.regions(), regions, Deployment::in_region),
        }
    }

    fn machines_of(
        &mut self,
        names: Vec<&'static str>,
        count: usize,
        machines: fn(&Deployment, &str) -> Vec<NodeId>,
    ) -> Vec<NodeId> {
        let first = self.cluster.random_below(names.len() as u64) as usize;
        let chosen = (0..count).map(|turn| names[(first + turn) % names.len()]);
        chosen.flat_map(|name| machines(&self.cluster.deployment, name)).collect()
    }

    fn random_pause(&mut self) -> Millis {
        self.cluster.random_below(MAX_OUTAGE)
    }

    fn step(&mut self) {
        match self.cluster.random_below(8) {
            0 => self.lose(Fault::Disks),
            1 | 2 => self.lose(Fault::DisksAndOutage),
            3 => self.lose(Fault::Outage),
            4 => self.lose(Fault::Cut),
            5 => self.lose_disks_while_others_are_down(),
            6 => self.lose_power_of_all(),
            _ => self.replace(),
        }
        self.cluster.run(SYNC);
        self.cluster.assert_voters_tolerate_losses();
        self.cluster.assert_available();
    }

    /// A tolerated loss, during which the configuration can be read and changed.
    fn lose(&mut self, fault: Fault) {
        let lost = self.random_loss();
        println!("seed {}: {fault:?} of {lost:?}", self.seed);
        match fault {
            Fault::Disks | Fault::DisksAndOutage => lost.iter().for_each(|node| self.cluster.wipe(*node)),
            Fault::Outage => lost.iter().for_each(|node| self.cluster.lose_power(*node)),
            Fault::Cut => lost.iter().for_each(|node| self.cluster.isolate(*node)),
        }
        if !matches!(fault, Fault::Disks) {
            let outage = self.random_pause();
            self.cluster.run(outage);
            self.cluster.assert_available();
        }
        self.cluster.heal();
        self.start_missing();
    }

    fn start_missing(&mut self) {
        let running = self.cluster.running();
        for node in self.cluster.deployment.machines.clone() {
            if !running.contains(&node) {
                self.cluster.start(node);
            }
        }
    }

    /// A tolerated loss of disks while other machines, a tolerated loss as well, are down with their disks kept. Service may
    /// rest until all are back.
    fn lose_disks_while_others_are_down(&mut self) {
        let down = self.random_loss();
        let wiped = self.random_loss();
        println!("seed {}: {down:?} down, disks of {wiped:?} lost", self.seed);
        down.iter().for_each(|node| self.cluster.lose_power(*node));
        let outage = self.random_pause();
        self.cluster.run(outage);
        self.cluster.assert_available();
        wiped.iter().for_each(|node| self.cluster.wipe(*node));
        let outage = self.random_pause();
        self.cluster.run(outage);
        self.start_missing();
        self.cluster.run(RECOVERY);
    }

    /// All machines lose power right after an acknowledged change, some of them their disks.
    fn lose_power_of_all(&mut self) {
        let wiped = self.random_loss();
        println!("seed {}: all lose power, {wiped:?} their disks", self.seed);
        self.cluster.commit_change();
        for node in self.cluster.running() {
            if wiped.contains(&node) {
                self.cluster.wipe(node);
            } else {
                self.cluster.lose_power(node);
            }
        }
        self.start_missing();
        self.cluster.run(RECOVERY);
    }

    /// Machines, at most as many as may be lost, are removed for good. Each has a successor in its place.
    fn replace(&mut self) {
        let count = self.cluster.deployment.tolerance.hosts.max(1);
        let (removed, staying) = self.cluster.choose(&self.cluster.deployment.machines.clone(), count);
        println!("seed {}: {removed:?} are replaced", self.seed);
        for node in &removed {
            self.cluster.wipe(*node);
        }
        for removed in removed {
            self.last_machine += 1;
            let successor = node(self.last_machine);
            self.cluster.deployment.add_successor(successor, removed);
            self.cluster.deployment.remove(removed);
            self.cluster.join(successor, &staying);
        }
    }
}

/// Draws a deployment that can tolerate the losses that its settings name.
fn random_deployment(seed: u64) -> Deployment {
    let zones_in = |region: usize, count: usize| {
        NAMES[region][..count].iter().map(move |zone| Place { zone, region: REGIONS[region] })
    };
    let in_one_region = |zones: usize, machines: usize| -> Vec<(Place, usize)> {
        zones_in(0, zones).map(|place| (place, machines)).collect()
    };
    let in_three_regions = |zones: usize, machines: usize| -> Vec<(Place, usize)> {
        (0..3).flat_map(|region| zones_in(region, zones)).map(|place| (place, machines)).collect()
    };
    let tolerance = |hosts, zones, regions| Tolerance { hosts, zones, regions };
    let (tolerance, places) = match seed % 8 {
        0 => (tolerance(2, 1, 0), in_one_region(3, 3)),
        1 => (tolerance(1, 1, 0), in_one_region(3, 2)),
        2 => (tolerance(1, 0, 1), in_three_regions(2, 1)),
        3 => (tolerance(1, 2, 0), in_three_regions(2, 1)),
        4 => (tolerance(1, 1, 1), in_three_regions(2, 2)),
        5 => (tolerance(1, 1, 0), vec![(place("s1"), 3), (place("s2"), 1), (place("s3"), 1)]),
        6 => (tolerance(2, 0, 0), in_one_region(3, 3)),
        _ => (tolerance(0, 1, 0), in_one_region(3, 2)),
    };
    let machines: usize = places.iter().map(|(_, count)| count).sum();
    // Three neighbours in the order of addresses, or machines that are far apart from each other.
    let first = (seed / 8) as usize % machines;
    let distance = if seed.is_multiple_of(3) { 1 } else { machines.div_ceil(3) };
    let number = |turn: usize| ((first + turn * distance) % machines + 1) as u8;
    let mut seeds: Vec<u8> = (0..3).map(number).collect();
    seeds.sort_unstable();
    seeds.dedup();
    Deployment::in_places(tolerance, &places, &seeds)
}

fn place(zone: &'static str) -> Place {
    Place { zone, region: REGIONS[0] }
}

fn seeds() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn acknowledged_changes_survive_random_losses_of_machines_zones_and_regions() {
    for seed in 0..seeds() {
        // given
        let mut history = History::new(seed);
        for _ in 0..LOSSES {
            // when, then
            history.step();
        }
    }
}
