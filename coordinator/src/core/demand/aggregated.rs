//! Demand and server outcomes reported by edges, aggregated until the next broadcast.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{Demand, EdgeReport, ServerOutcomes};
use shaletrail_protocol::{NodeId, ServerId};

use super::edges::MAX_EDGES;

/// Maximum number of combinations of service, model and adapter for which the demand of one edge is kept.
const MAX_DEMAND_KEYS: usize = 4096;
/// Maximum number of servers whose outcomes are kept for one edge.
const MAX_SERVERS_WITH_OUTCOMES: usize = 4096;

/// Identifies what requests ask for.
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

/// Reports of edges since the last broadcast, aggregated per edge.
#[derive(Debug, Default)]
pub struct AggregatedDemand {
    edges: BTreeMap<NodeId, AggregatedReport>,
}

#[derive(Debug, Default)]
struct AggregatedReport {
    demand: BTreeMap<DemandKey, Demand>,
    outcomes: BTreeMap<ServerId, ServerOutcomes>,
}

impl AggregatedDemand {
    /// Adds a report of one edge. Reports of further edges are ignored once `MAX_EDGES` edges have reported.
    pub fn add(&mut self, edge: NodeId, demand: Vec<Demand>, outcomes: Vec<ServerOutcomes>) {
        if self.edges.len() < MAX_EDGES || self.edges.contains_key(&edge) {
            self.edges.entry(edge).or_default().add(demand, outcomes);
        }
    }

    /// Returns the aggregated reports, one for each edge, and clears them.
    pub fn take(&mut self) -> Vec<EdgeReport> {
        let reports = std::mem::take(&mut self.edges).into_iter();
        let report = |(edge, report): (NodeId, AggregatedReport)| EdgeReport {
            edge,
            demand: report.demand.into_values().collect(),
            server_outcomes: report.outcomes.into_values().collect(),
        };
        reports.map(report).collect()
    }
}

impl AggregatedReport {
    fn add(&mut self, demand: Vec<Demand>, outcomes: Vec<ServerOutcomes>) {
        for later in demand {
            let key = DemandKey::of(&later);
            if let Some(sum) = self.demand.get_mut(&key) {
                add_demand(sum, &later);
            } else if self.demand.len() < MAX_DEMAND_KEYS {
                self.demand.insert(key, later);
            }
        }
        for later in outcomes {
            if let Some(sum) = self.outcomes.get_mut(&later.server) {
                add_outcomes(sum, &later);
            } else if self.outcomes.len() < MAX_SERVERS_WITH_OUTCOMES {
                self.outcomes.insert(later.server.clone(), later);
            }
        }
    }
}

/// Adds a later report of the same edge: counters are summed, gauges replaced, and the lower priority value is kept.
fn add_demand(sum: &mut Demand, later: &Demand) {
    sum.arrived = sum.arrived.saturating_add(later.arrived);
    sum.tokens = sum.tokens.saturating_add(later.tokens);
    sum.priority = sum.priority.min(later.priority);
    sum.over_capacity = sum.over_capacity.saturating_add(later.over_capacity);
    sum.queued = later.queued;
    sum.in_flight = later.in_flight;
}

fn add_outcomes(sum: &mut ServerOutcomes, later: &ServerOutcomes) {
    sum.succeeded = sum.succeeded.saturating_add(later.succeeded);
    sum.failed = sum.failed.saturating_add(later.failed);
    sum.unreachable = sum.unreachable.saturating_add(later.unreachable);
}
