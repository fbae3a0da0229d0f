//! Demand and observations of edges, summed up until the next broadcast.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{Demand, EdgeReport, ServerOutcomes};
use shaletrail_protocol::{NodeId, ServerId};

use super::edges::MAX_EDGES;

/// Different combinations of service, model and adapter that are kept for one edge.
const MAX_DEMAND_KEYS: usize = 4096;
/// Servers whose observations are kept for one edge.
const MAX_OBSERVED_SERVERS: usize = 4096;

/// What requests ask for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DemandKey {
    service: String,
    model: String,
    adapter: Option<String>,
}

impl DemandKey {
    fn of(demand: &Demand) -> Self {
        DemandKey {
            service: demand.service.clone(),
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
        }
    }
}

/// What edges have reported since it was last taken.
#[derive(Debug, Default)]
pub struct AggregatedDemand {
    edges: BTreeMap<NodeId, AggregatedReport>,
}

/// The sum of one edge's reports.
#[derive(Debug, Default)]
struct AggregatedReport {
    demand: BTreeMap<DemandKey, Demand>,
    observed: BTreeMap<ServerId, ServerOutcomes>,
}

impl AggregatedDemand {
    /// Adds one edge's report. Edges beyond a bound are ignored.
    pub fn add(&mut self, edge: NodeId, demand: Vec<Demand>, observed: Vec<ServerOutcomes>) {
        if self.edges.len() < MAX_EDGES || self.edges.contains_key(&edge) {
            self.edges.entry(edge).or_default().add(demand, observed);
        }
    }

    /// Takes all reports, one for each edge, and starts anew.
    pub fn take(&mut self) -> Vec<EdgeReport> {
        let reports = std::mem::take(&mut self.edges).into_iter();
        let report = |(edge, report): (NodeId, AggregatedReport)| EdgeReport {
            edge,
            demand: report.demand.into_values().collect(),
            server_outcomes: report.observed.into_values().collect(),
        };
        reports.map(report).collect()
    }
}

impl AggregatedReport {
    fn add(&mut self, demand: Vec<Demand>, observed: Vec<ServerOutcomes>) {
        for later in demand {
            let key = DemandKey::of(&later);
            if let Some(sum) = self.demand.get_mut(&key) {
                add_demand(sum, &later);
            } else if self.demand.len() < MAX_DEMAND_KEYS {
                self.demand.insert(key, later);
            }
        }
        for later in observed {
            if let Some(sum) = self.observed.get_mut(&later.server) {
                add_observation(sum, &later);
            } else if self.observed.len() < MAX_OBSERVED_SERVERS {
                self.observed.insert(later.server.clone(), later);
            }
        }
    }
}

/// Adds a later report of the same edge: counters add up, gauges are replaced.
fn add_demand(sum: &mut Demand, later: &Demand) {
    sum.arrived = sum.arrived.saturating_add(later.arrived);
    sum.tokens = sum.tokens.saturating_add(later.tokens);
    sum.priority = sum.priority.min(later.priority);
    sum.over_capacity = sum.over_capacity.saturating_add(later.over_capacity);
    sum.queued = later.queued;
    sum.in_flight = later.in_flight;
}

fn add_observation(sum: &mut ServerOutcomes, later: &ServerOutcomes) {
    sum.succeeded = sum.succeeded.saturating_add(later.succeeded);
    sum.failed = sum.failed.saturating_add(later.failed);
    sum.unreachable = sum.unreachable.saturating_add(later.unreachable);
}
