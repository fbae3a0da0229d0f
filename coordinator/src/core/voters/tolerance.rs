//! Which losses a set of voters withstands.
//!
//! Invariant: no loss that the settings ask to tolerate (that many machines, or zones, or regions, with their disks)
//! takes more than a minority of the voters. A joint phase needs a majority of the outgoing and of the incoming voters, so
//! the invariant holds in it if it holds for both sets. It then also holds for whatever is decided by a majority of the
//! voters: acknowledged changes, order leases, and departures of servers. And a part of the tolerated size that is cut off
//! from the others has no majority.

use std::collections::BTreeMap;

use shaletrail_cluster::node_attributes::NodeAttributes;
use shaletrail_protocol::settings::FaultTolerance;

/// Limit on the number of voters.
const MAX_VOTERS: usize = 63;

/// The largest losses of voters that the settings ask to tolerate, and the largest loss that leaves a majority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LossAssessment {
    /// The number of voters.
    pub voters: usize,
    /// The largest number of voters whose loss leaves a majority.
    pub minority: usize,
    /// The number of voters that may be lost with the tolerated number of machines.
    pub lost_with_hosts: usize,
    /// The number of voters that may be lost with the tolerated number of zones.
    pub lost_with_zones: usize,
    /// The number of voters that may be lost with the tolerated number of regions.
    pub lost_with_regions: usize,
}

impl LossAssessment {
    /// By how many voters the loss of machines exceeds a minority; 0 if it is tolerated.
    pub fn excess_of_hosts(&self) -> usize {
        self.lost_with_hosts.saturating_sub(self.minority)
    }

    /// By how many voters the losses of zones and of regions exceed a minority, added up; 0 if both are tolerated.
    pub fn excess_of_domains(&self) -> usize {
        let zones = self.lost_with_zones.saturating_sub(self.minority);
        zones + self.lost_with_regions.saturating_sub(self.minority)
    }

    /// Whether all losses that the settings name leave a majority.
    pub fn is_tolerated(&self) -> bool {
        self.excess_of_hosts() == 0 && self.excess_of_domains() == 0
    }
}

/// The smallest number of voters with which the losses can be tolerated, if they are spread evenly.
pub fn voter_count(tolerance: FaultTolerance) -> usize {
    let losses = tolerance.hosts.max(tolerance.zones).max(tolerance.regions) as usize;
    losses.saturating_mul(2).saturating_add(1).min(MAX_VOTERS)
}

/// Assesses a set of voters, each with its attributes, if these are known.
///
/// Voters that do not count for quorum may be lost in any number, together with each of the tolerated losses. A voter
/// whose attributes are unknown may stand in any zone and region, and is assumed to be lost with each of them.
pub fn assess<'a>(
    voters: impl Iterator<Item = Option<&'a NodeAttributes>> + Clone,
    tolerance: FaultTolerance,
) -> LossAssessment {
    let count = voters.clone().count();
    let not_counting = voters.clone().flatten().filter(|voter| !voter.counts_for_quorum).count();
    let counting = voters.clone().flatten().filter(|voter| voter.counts_for_quorum);
    let unknown = voters.filter(Option::is_none).count();
    let lost_with = |domains: u32, sizes: Vec<usize>| match domains {
        0 => 0,
        _ => not_counting + unknown + sum_of_largest(sizes, domains as usize),
    };
    LossAssessment {
        voters: count,
        minority: count.saturating_sub(1) / 2,
        lost_with_hosts: not_counting + (tolerance.hosts as usize).min(count - not_counting),
        lost_with_zones: lost_with(
            tolerance.zones,
            sizes_of_groups(counting.clone().map(|voter| voter.zone.as_str())),
        ),
        lost_with_regions: lost_with(
            tolerance.regions,
            sizes_of_groups(counting.map(|voter| voter.region.as_str())),
        ),
    }
}

/// How unevenly voters are spread over zones and regions: the sum of the squares of the numbers of voters in each of them.
/// Moving a voter to a zone that has at least two fewer voters makes it smaller, so that there is always a next move
/// towards an even spread. Voters whose attributes are unknown count as one zone.
pub fn unevenness<'a>(voters: impl Iterator<Item = Option<&'a NodeAttributes>> + Clone) -> usize {
    let zones = sizes_of_groups(voters.clone().map(|voter| voter.map_or("", |known| &known.zone)));
    let regions = sizes_of_groups(voters.map(|voter| voter.map_or("", |known| &known.region)));
    zones.into_iter().chain(regions).map(|size| size * size).sum()
}

/// The number of occurrences of each name.
fn sizes_of_groups<'a>(names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    names.for_each(|name| *sizes.entry(name).or_default() += 1);
    sizes.into_values().collect()
}

fn sum_of_largest(mut sizes: Vec<usize>, count: usize) -> usize {
    sizes.sort_unstable_by(|left, right| right.cmp(left));
    sizes.into_iter().take(count).sum()
}
