//! The voters that a shard should have, by the places of the nodes and the losses to tolerate. Compared with a search of
//! all sets in random layouts.

mod common;

use common::{node, nodes};
use shaletrail_cluster::node_attributes::NodeAttributes;
use shaletrail_coordinator::core::voters::selection::{desired_voters, Candidate};
use shaletrail_coordinator::core::voters::tolerance::{assess, voter_count, LossAssessment};
use shaletrail_protocol::settings::FaultTolerance;
use shaletrail_protocol::NodeId;

/// Number of random layouts.
const LAYOUTS: u64 = 3_000;
/// More moves than any layout needs from one set of voters to the final one.
const MAX_MOVES: usize = 12;

const TWO_HOSTS_ONE_ZONE: FaultTolerance = FaultTolerance { hosts: 2, zones: 1, regions: 0 };
const ONE_HOST_ONE_ZONE: FaultTolerance = FaultTolerance { hosts: 1, zones: 1, regions: 0 };
const ONE_HOST_ONE_REGION: FaultTolerance = FaultTolerance { hosts: 1, zones: 0, regions: 1 };

/// A node as a leader sees it, which owns its attributes.
#[derive(Clone, Debug)]
struct Machine {
    number: u8,
    attributes: Option<NodeAttributes>,
    unreachable: bool,
    caught_up: bool,
}

impl Machine {
    /// A node that is up, in a zone whose first letter is its region.
    fn new(number: u8, zone: &str) -> Machine {
        let attributes = Some(NodeAttributes::new(zone, &zone[..1], true));
        Machine { number, attributes, unreachable: false, caught_up: true }
    }

    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            node: node(self.number),
            unreachable: self.unreachable,
            caught_up: self.caught_up,
            attributes: self.attributes.as_ref(),
        }
    }

    fn down(self) -> Machine {
        Machine { unreachable: true, caught_up: false, ..self }
    }

    fn lagging(self) -> Machine {
        Machine { caught_up: false, ..self }
    }

    fn not_counting(self) -> Machine {
        let attributes = self.attributes.map(|known| NodeAttributes { counts_for_quorum: false, ..known });
        Machine { attributes, ..self }
    }

    fn of_unknown_place(self) -> Machine {
        Machine { attributes: None, ..self }
    }
}

/// Nodes 1, 2, … in these zones.
fn machines(zones: &[&str]) -> Vec<Machine> {
    (1..).zip(zones).map(|(number, zone)| Machine::new(number, zone)).collect()
}

fn desired(machines: &[Machine], voters: &[u8], tolerance: FaultTolerance) -> Option<Vec<NodeId>> {
    let candidates: Vec<Candidate> = machines.iter().map(Machine::candidate).collect();
    desired_voters(&nodes(voters), &candidates, tolerance)
}

fn assessment(machines: &[Machine], voters: &[NodeId], tolerance: FaultTolerance) -> LossAssessment {
    let voting = machines.iter().filter(|machine| voters.contains(&node(machine.number)));
    assess(voting.map(|machine| machine.attributes.as_ref()), tolerance)
}

fn numbers(voters: &[NodeId]) -> Vec<u8> {
    voters.iter().map(|voter| voter.address().octets()[3]).collect()
}

/// Nine nodes in three zones of one region, three in each.
const NINE: [&str; 9] = ["na", "na", "na", "nb", "nb", "nb", "nc", "nc", "nc"];

#[test]
fn three_seeds_grow_to_five_spread_over_the_zones_in_one_step() {
    assert_eq!(desired(&machines(&NINE), &[1, 4, 7], TWO_HOSTS_ONE_ZONE), Some(nodes(&[1, 2, 4, 5, 7])));
}

#[test]
fn zone_loss_that_is_tolerated_is_not_given_up_for_a_fourth_voter() {
    // given: of the learners, only two in the zone of the first seed have caught up
    let mut machines = machines(&NINE);
    [5, 6, 8, 9].into_iter().for_each(|number: usize| machines[number - 1].caught_up = false);
    // then: no step to four or five voters of which a majority or half stand in that zone
    assert_eq!(desired(&machines, &[1, 4, 7], TWO_HOSTS_ONE_ZONE), None);
}

#[test]
fn seeds_in_one_zone_give_way_although_none_is_down() {
    assert_eq!(desired(&machines(&NINE), &[1, 2, 3], ONE_HOST_ONE_ZONE), Some(nodes(&[3, 4, 7])));
    let spread = desired(&machines(&NINE), &[1, 2, 3], TWO_HOSTS_ONE_ZONE).expect("a move");
    assert!(assessment(&machines(&NINE), &spread, TWO_HOSTS_ONE_ZONE).is_tolerated(), "{spread:?}");
}

#[test]
fn even_voters_do_not_move() {
    for voters in [[1, 2, 4, 5, 7], [3, 5, 6, 8, 9]] {
        assert_eq!(desired(&machines(&NINE), &voters, TWO_HOSTS_ONE_ZONE), None);
    }
}

#[test]
fn absent_voter_keeps_its_place_if_any_replacement_would_break_the_spread() {
    let layout = ["na", "nb", "nb", "nc", "nc"].into_iter();
    let mut machines: Vec<Machine> =
        (1..).zip(layout).map(|(number, zone)| Machine::new(number, zone)).collect();
    machines[0] = machines[0].clone().down();
    assert_eq!(desired(&machines, &[1, 2, 4], ONE_HOST_ONE_ZONE), None);
    // A machine that joins in its zone takes its place.
    machines.push(Machine::new(6, "na"));
    assert_eq!(desired(&machines, &[1, 2, 4], ONE_HOST_ONE_ZONE), Some(nodes(&[2, 4, 6])));
}

#[test]
fn voters_of_a_lost_zone_are_replaced_only_as_far_as_the_next_loss_allows() {
    // given: the first zone, with two of five voters, is down
    let mut machines = machines(&NINE);
    machines[..3].iter_mut().for_each(|machine| *machine = machine.clone().down());
    // then: one voter moves to the zone with one voter, and then none
    let voters = desired(&machines, &[1, 2, 4, 5, 7], TWO_HOSTS_ONE_ZONE).expect("a move");
    assert_eq!(voters, nodes(&[2, 4, 5, 7, 8]));
    assert_eq!(desired(&machines, &numbers(&voters), TWO_HOSTS_ONE_ZONE), None);
}

#[test]
fn machines_that_do_not_count_never_vote() {
    let mut machines = machines(&NINE);
    machines[4] = machines[4].clone().not_counting();
    machines[6] = machines[6].clone().not_counting();
    // A seed that does not count gives way, and no other one joins.
    let voters = desired(&machines, &[1, 4, 7], TWO_HOSTS_ONE_ZONE).expect("a move");
    assert_eq!(voters, nodes(&[1, 2, 4, 6, 8]));
    let no_zones = FaultTolerance { zones: 0, ..TWO_HOSTS_ONE_ZONE };
    assert!(!desired(&machines, &[1, 4, 8], no_zones).expect("a move").contains(&node(5)));
}

#[test]
fn seeds_of_one_region_give_way() {
    let machines = machines(&["sa", "sb", "ta", "tb", "ua", "ub"]);
    assert_eq!(desired(&machines, &[1, 2, 3], ONE_HOST_ONE_REGION), Some(nodes(&[2, 3, 5])));
}

#[test]
fn number_of_voters_follows_the_largest_loss() {
    let count = |hosts, zones, regions| voter_count(FaultTolerance { hosts, zones, regions });
    assert_eq!([count(0, 0, 0), count(1, 2, 0), count(1, 0, 3), count(2, 1, 1)], [1, 5, 7, 5]);
    assert_eq!(count(u32::MAX, 0, 0), 63);
}

#[test]
fn layout_that_cannot_tolerate_a_zone_still_tolerates_hosts() {
    // given: two zones
    let machines = machines(&["na", "na", "na", "na", "nb"]);
    let voters = desired(&machines, &[1, 2, 5], TWO_HOSTS_ONE_ZONE).expect("a move");
    // then: as many voters as two lost hosts need, though any loss of the larger zone stops them
    assert_eq!(voters.len(), 5);
    assert_eq!(assessment(&machines, &voters, TWO_HOSTS_ONE_ZONE).excess_of_hosts(), 0);
    assert_eq!(desired(&machines, &numbers(&voters), TWO_HOSTS_ONE_ZONE), None);
}

#[test]
fn unknown_place_counts_as_lost_with_each_zone() {
    // given: an absent voter in the second zone, whose place the leader does not know
    let mut machines = machines(&NINE);
    machines[4] = machines[4].clone().down().of_unknown_place();
    machines[0] = machines[0].clone().down();
    // then: the other absent voter is not replaced by a third node of the second zone
    [7, 8, 9]
        .into_iter()
        .for_each(|number: usize| machines[number - 1] = machines[number - 1].clone().lagging());
    [2, 3]
        .into_iter()
        .for_each(|number: usize| machines[number - 1] = machines[number - 1].clone().lagging());
    let voters = desired(&machines, &[1, 2, 4, 5, 7], TWO_HOSTS_ONE_ZONE);
    assert_eq!(voters, Some(nodes(&[1, 2, 4, 6, 7])), "the voter of unknown place is replaced");
    assert_eq!(desired(&machines, &[1, 2, 4, 6, 7], TWO_HOSTS_ONE_ZONE), None);
}

#[test]
fn reachable_voters_of_unknown_place_do_not_move() {
    // given: three voters of an older release, which announces no place
    let mut machines = machines(&NINE);
    [1, 4, 7].into_iter().for_each(|number: usize| {
        machines[number - 1] = machines[number - 1].clone().of_unknown_place();
    });
    assert_eq!(desired(&machines, &[1, 4, 7], ONE_HOST_ONE_ZONE), None);
}

/// A pseudo-random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// A random layout, with the voters to begin with.
struct Layout {
    machines: Vec<Machine>,
    voters: Vec<u8>,
    tolerance: FaultTolerance,
}

impl Layout {
    fn random(seed: u64) -> Layout {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let count = 3 + random.below(7);
        let zones = 1 + random.below(5);
        let regions = 1 + random.below(3);
        let machines: Vec<Machine> = (1..=count as u8)
            .map(|number| {
                let zone = random.below(zones);
                Machine::new(number, &format!("{}{zone}", ["r", "s", "t"][zone % regions]))
            })
            .collect();
        let tolerance = FaultTolerance {
            hosts: random.below(3) as u32,
            zones: random.below(3) as u32,
            regions: random.below(2) as u32,
        };
        let mut voters: Vec<u8> = (1..=count as u8).collect();
        while voters.len() > 3.min(voter_count(tolerance)) {
            voters.remove(random.below(voters.len()));
        }
        Layout { machines, voters, tolerance }
    }

    /// Makes moves until there are no more; asserts that this takes few, and that none gives up what it must not.
    fn settle(&mut self, seed: u64) {
        for _ in 0..MAX_MOVES {
            let Some(next) = desired(&self.machines, &self.voters, self.tolerance) else { return };
            let before = assessment(&self.machines, &nodes(&self.voters), self.tolerance);
            let after = assessment(&self.machines, &next, self.tolerance);
            assert!(after.is_tolerated() || !before.is_tolerated(), "seed {seed}: {before:?}, {after:?}");
            assert!(
                after.excess_of_hosts() <= before.excess_of_hosts(),
                "seed {seed}: {before:?}, {after:?}"
            );
            self.voters = numbers(&next);
        }
        panic!("seed {seed}: more than {MAX_MOVES} moves");
    }

    /// Whether any set of the desired number of voters tolerates all losses, by trying all.
    fn is_attainable(&self) -> bool {
        let size = voter_count(self.tolerance);
        (0_u32..1 << self.machines.len()).filter(|set| set.count_ones() as usize == size).any(|set| {
            let chosen = self.machines.iter().filter(|machine| set & (1 << (machine.number - 1)) != 0);
            assess(chosen.map(|machine| machine.attributes.as_ref()), self.tolerance).is_tolerated()
        })
    }

    fn is_tolerated(&self) -> bool {
        assessment(&self.machines, &nodes(&self.voters), self.tolerance).is_tolerated()
    }
}

#[test]
fn voters_tolerate_all_losses_wherever_the_layout_allows_it() {
    let mut attainable = 0;
    for seed in 0..LAYOUTS {
        let mut layout = Layout::random(seed);
        layout.settle(seed);
        if layout.is_attainable() {
            attainable += 1;
            assert!(layout.is_tolerated(), "seed {seed}: {:?} of {:?}", layout.voters, layout.machines);
        }
    }
    assert!(attainable > LAYOUTS / 10, "{attainable} layouts are attainable");
}

#[test]
fn losses_of_nodes_never_lead_to_voters_that_tolerate_less() {
    for seed in 0..LAYOUTS {
        // given: voters that tolerate all losses
        let mut layout = Layout::random(seed);
        layout.settle(seed);
        if !layout.is_tolerated() {
            continue;
        }
        let mut random = Random(seed | 1);
        for _ in 0..8 {
            // when: random nodes go down and come back
            for machine in &mut layout.machines {
                machine.unreachable = random.below(3) == 0;
                machine.caught_up = !machine.unreachable && random.below(4) > 0;
            }
            layout.settle(seed);
            // then
            assert!(layout.is_tolerated(), "seed {seed}: {:?} of {:?}", layout.voters, layout.machines);
        }
    }
}
