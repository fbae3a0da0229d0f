//! The choice of the next voters of a shard.
//!
//! A move is made only if it makes [`Shortfall`] smaller, so that moves cannot oscillate. What the invariant of
//! [`super::tolerance`] asks for comes before the number of voters and before the replacement of unreachable ones: an
//! unreachable voter keeps its place rather than give it to a node with which a tolerated loss would take a majority.
//! Several voters may change in one joint phase, as a set between two good ones may be worse than both: with four voters,
//! two in one zone are half of them.

use shaletrail_cluster::node_attributes::NodeAttributes;
use shaletrail_protocol::settings::FaultTolerance;
use shaletrail_protocol::NodeId;

use super::tolerance::{assess, unevenness, voter_count, LossAssessment};

/// A voter or a node that could become one, as seen by the leader of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node.
    pub node: NodeId,
    /// Whether the node is unreachable according to the membership.
    pub unreachable: bool,
    /// Whether the node is alive and has no recovery pending, and its synced log lags by at most `MAX_LEARNER_LAG`
    /// entries.
    pub caught_up: bool,
    /// The node's zone, region, and whether it may vote; `None` if they are unknown.
    pub attributes: Option<&'a NodeAttributes>,
}

impl Candidate<'_> {
    fn may_vote(&self) -> bool {
        self.attributes.is_none_or(|attributes| attributes.counts_for_quorum)
    }
}

/// How far a set of voters is from what the settings ask for. Compared field by field, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Shortfall {
    not_counting: usize,
    excess_of_hosts: usize,
    excess_of_domains: usize,
    missing: usize,
    unreachable: usize,
}

impl Shortfall {
    const NONE: Shortfall =
        Shortfall { not_counting: 0, excess_of_hosts: 0, excess_of_domains: 0, missing: 0, unreachable: 0 };
}

/// The nodes that a search may combine, and what is asked of a set of them. Sets are lists of indexes into `nodes`.
struct Search<'a> {
    nodes: &'a [Candidate<'a>],
    tolerance: FaultTolerance,
    /// Indexes of the nodes that may join.
    joinable: Vec<usize>,
}

impl Search<'_> {
    fn attributes<'b>(
        &'b self,
        set: &'b [usize],
    ) -> impl Iterator<Item = Option<&'b NodeAttributes>> + Clone {
        set.iter().map(|index| self.nodes[*index].attributes)
    }

    fn assess(&self, set: &[usize]) -> LossAssessment {
        assess(self.attributes(set), self.tolerance)
    }

    fn shortfall(&self, set: &[usize]) -> Shortfall {
        let assessment = self.assess(set);
        Shortfall {
            not_counting: set.iter().filter(|index| !self.nodes[**index].may_vote()).count(),
            excess_of_hosts: assessment.excess_of_hosts(),
            excess_of_domains: assessment.excess_of_domains(),
            missing: voter_count(self.tolerance).saturating_sub(set.len()),
            unreachable: set.iter().filter(|index| self.nodes[**index].unreachable).count(),
        }
    }

    fn rank(&self, set: &[usize]) -> (Shortfall, usize) {
        (self.shortfall(set), unevenness(self.attributes(set)))
    }

    /// The nodes that may join a set, in the order in which they are preferred if nothing else distinguishes them.
    fn joinable_to<'b>(&'b self, set: &'b [usize]) -> impl Iterator<Item = usize> + 'b {
        self.joinable.iter().copied().filter(|index| !set.contains(index))
    }

    /// The best set with one more voter; `None` if no node may join.
    fn grown(&self, set: &[usize]) -> Option<Vec<usize>> {
        let larger = |added: usize| [set, &[added]].concat();
        self.joinable_to(set).map(larger).min_by_key(|grown| self.rank(grown))
    }

    /// The best set with one voter replaced; `None` if no node may join.
    fn best_replacement(&self, set: &[usize]) -> Option<Vec<usize>> {
        let replaced = |position: usize| {
            self.joinable_to(set).map(move |joining| {
                let mut next = set.to_vec();
                next[position] = joining;
                next
            })
        };
        let may_leave = |position: &usize| self.may_be_replaced(set[*position]);
        (0..set.len()).filter(may_leave).flat_map(replaced).min_by_key(|next| self.rank(next))
    }

    /// Whether a voter may make way for another node. A reachable voter whose place is unknown stays: it may run an older
    /// release and stand well where it is.
    fn may_be_replaced(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.attributes.is_some() || node.unreachable
    }

    /// Replaces one voter after another for as long as that makes the shortfall smaller. While a loss of zones or regions
    /// is not tolerated, also for as long as it makes the spread more even, because several such moves may be needed
    /// before the loss is tolerated.
    fn descend(&self, set: &[usize]) -> Vec<usize> {
        let mut current = set.to_vec();
        while let Some(next) = self.best_replacement(&current) {
            let (shortfall, next_shortfall) = (self.shortfall(&current), self.shortfall(&next));
            let is_evener = shortfall.excess_of_domains > 0
                && next_shortfall == shortfall
                && self.rank(&next) < self.rank(&current);
            if next_shortfall >= shortfall && !is_evener {
                break;
            }
            current = next;
        }
        current
    }

    /// The sets to choose from: for each number of voters from the present one to the desired one, the best that was
    /// found.
    fn alternatives(&self, voters: &[usize]) -> Vec<Vec<usize>> {
        let mut alternatives = vec![self.descend(voters)];
        let mut set = voters.to_vec();
        while set.len() < voter_count(self.tolerance) {
            let Some(grown) = self.grown(&set) else { break };
            alternatives.push(self.descend(&grown));
            set = grown;
        }
        alternatives
    }

    /// Whether some set of all nodes tolerates the losses, whatever state the nodes are in. While a voter's place is
    /// unknown, one may.
    fn may_be_attainable(&self, voters: &[usize]) -> bool {
        if self.attributes(voters).any(|attributes| attributes.is_none()) {
            return true;
        }
        let joinable = (0..self.nodes.len()).filter(|index| self.nodes[*index].may_vote()).collect();
        let anywhere = Search { nodes: self.nodes, tolerance: self.tolerance, joinable };
        anywhere.alternatives(voters).iter().any(|set| anywhere.assess(set).is_tolerated())
    }
}

/// Returns the voters that a shard should have; `None` if no change is needed or possible. The candidates include all
/// voters.
pub fn desired_voters(
    voters: &[NodeId],
    candidates: &[Candidate<'_>],
    tolerance: FaultTolerance,
) -> Option<Vec<NodeId>> {
    let is_joinable =
        |candidate: &Candidate| candidate.caught_up && !candidate.unreachable && candidate.may_vote();
    let joinable: Vec<usize> =
        (0..candidates.len()).filter(|index| is_joinable(&candidates[*index])).collect();
    let present: Vec<usize> =
        (0..candidates.len()).filter(|index| voters.contains(&candidates[*index].node)).collect();
    let search = Search { nodes: candidates, tolerance, joinable };
    let shortfall = search.shortfall(&present);
    if shortfall == Shortfall::NONE || search.joinable_to(&present).next().is_none() {
        return None;
    }
    // Where the nodes suffice to tolerate everything, no loss of a zone or region that is tolerated now is given up on the
    // way there: a learner that makes the set even is about to catch up.
    let mut better: Vec<Vec<usize>> = search.alternatives(&present);
    better.retain(|set| search.shortfall(set) < shortfall);
    let gives_up = |set: &Vec<usize>| search.shortfall(set).excess_of_domains > shortfall.excess_of_domains;
    if better.iter().any(gives_up) && search.may_be_attainable(&present) {
        better.retain(|set| !gives_up(set));
    }
    let best = better.into_iter().min_by_key(|set| search.rank(set))?;
    let mut desired: Vec<NodeId> = best.into_iter().map(|index| candidates[index].node).collect();
    desired.sort_unstable();
    Some(desired)
}
