//! What edges report with their polls, gathered until it is shared.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{Demand, EdgeReport, ServerOutcomes};
use shaletrail_protocol::{NodeId, ServerId};

use super::edges::MOST_EDGES;

/// Different things asked for that are kept in one span.
const MOST_DEMAND: usize = 4096;
/// Servers of which observations are kept in one span.
const MOST_OBSERVED: usize = 4096;

type Asked = (String, String, Option<String>);

/// What edges reported since it was last taken.
#[derive(Debug, Default)]
pub struct AggregatedDemand {
    edges: BTreeMap<NodeId, Report>,
}

#[derive(Debug, Default)]
struct Report {
    demand: BTreeMap<Asked, Demand>,
    observed: BTreeMap<ServerId, ServerOutcomes>,
}

impl AggregatedDemand {
    /// Adds one edge's report.
    pub fn add(&mut self, edge: NodeId, demand: Vec<Demand>, observed: Vec<ServerOutcomes>) {
        if self.edges.len() < MOST_EDGES || self.edges.contains_key(&edge) {
            self.edges.entry(edge).or_default().add(demand, observed);
        }
    }

    /// Takes what was gathered.
    pub fn take(&mut self) -> Vec<EdgeReport> {
        let reports = std::mem::take(&mut self.edges).into_iter();
        let report = |(edge, report): (NodeId, Report)| EdgeReport {
            edge,
            demand: report.demand.into_values().collect(),
            server_outcomes: report.observed.into_values().collect(),
        };
        reports.map(report).collect()
    }
}

impl Report {
    fn add(&mut self, demand: Vec<Demand>, observed: Vec<ServerOutcomes>) {
        for one in demand {
            let asked = (one.service.clone(), one.model.clone(), one.adapter.clone());
            if let Some(sum) = self.demand.get_mut(&asked) {
                add_demand(sum, &one);
            } else if self.demand.len() < MOST_DEMAND {
                self.demand.insert(asked, one);
            }
        }
        for one in observed {
            if let Some(sum) = self.observed.get_mut(&one.server) {
                sum.succeeded = sum.succeeded.saturating_add(one.succeeded);
                sum.failed = sum.failed.saturating_add(one.failed);
                sum.unreachable = sum.unreachable.saturating_add(one.unreachable);
            } else if self.observed.len() < MOST_OBSERVED {
                self.observed.insert(one.server.clone(), one);
            }
        }
    }
}

/// Adds a later report of the same edge: counts add up, what holds at a moment is replaced.
fn add_demand(sum: &mut Demand, later: &Demand) {
    sum.arrived = sum.arrived.saturating_add(later.arrived);
    sum.tokens = sum.tokens.saturating_add(later.tokens);
    sum.priority = sum.priority.min(later.priority);
    sum.over_capacity = sum.over_capacity.saturating_add(later.over_capacity);
    sum.queued = later.queued;
    sum.in_flight = later.in_flight;
}
