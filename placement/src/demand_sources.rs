//! Demand reports by source: aggregates them into the demand of each model, and expires those of silent sources.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::Demand;
use shaletrail_protocol::{Millis, NodeId};

use crate::model::{Artifact, ModelTable};

/// Age at which the waiting and open requests of a source's last report expire, in milliseconds.
pub const DEMAND_REPORT_TTL: Millis = 4_000;
/// Maximum number of sources.
const MAX_SOURCES: usize = 512;
/// Maximum number of entries that are read from one report.
const MAX_REPORT_ENTRIES: usize = 16_384;

/// Waiting and open requests of one model or adapter in a source's last report.
#[derive(Clone, Debug)]
struct Gauge {
    artifact: Artifact,
    waiting: u32,
    open: u32,
}

/// The last report of one source.
#[derive(Clone, Debug)]
struct SourceReport {
    received_at: Millis,
    gauges: Vec<Gauge>,
}

/// The sources of demand with their last reports.
#[derive(Clone, Debug, Default)]
pub struct DemandSources {
    reports: BTreeMap<NodeId, SourceReport>,
    first_demand_at: Option<Millis>,
}

impl DemandSources {
    /// Adds a report to the models' demand. Its waiting and open requests replace those of the source's last report; an
    /// artifact that it does not name has none at that source any more.
    pub fn record(
        &mut self,
        now: Millis,
        source: NodeId,
        report: &[Demand],
        service: &str,
        models: &mut ModelTable,
    ) {
        if !self.reports.contains_key(&source) && self.reports.len() >= MAX_SOURCES {
            return;
        }
        let mut gauges = Vec::new();
        for entry in report.iter().filter(|entry| entry.service == service).take(MAX_REPORT_ENTRIES) {
            let Some(artifact) = models.configured_artifact(&entry.model, entry.adapter.as_deref()) else {
                continue;
            };
            count_arrivals(now, artifact, entry, models);
            if entry.queued > 0 || entry.in_flight > 0 {
                gauges.push(Gauge { artifact, waiting: entry.queued, open: entry.in_flight });
            }
        }
        if !gauges.is_empty() {
            self.first_demand_at.get_or_insert(now);
        }
        // The old gauges are subtracted first: the sums saturate at zero.
        let previous = self.reports.remove(&source).map(|report| report.gauges).unwrap_or_default();
        previous.iter().for_each(|gauge| subtract_gauge(gauge, models));
        gauges.iter().for_each(|gauge| add_gauge(gauge, models));
        self.reports.insert(source, SourceReport { received_at: now, gauges });
    }

    /// When a report first contained waiting or open requests.
    pub fn first_demand_at(&self) -> Option<Millis> {
        self.first_demand_at
    }

    /// Removes the waiting and open requests of sources that have stopped reporting.
    pub fn expire(&mut self, now: Millis, models: &mut ModelTable) {
        self.reports.retain(|_, report| {
            let is_current = now.saturating_sub(report.received_at) < DEMAND_REPORT_TTL;
            if !is_current {
                report.gauges.iter().for_each(|gauge| subtract_gauge(gauge, models));
            }
            is_current
        });
    }
}

/// Adds the requests that arrived since the source's last report.
fn count_arrivals(now: Millis, artifact: Artifact, entry: &Demand, models: &mut ModelTable) {
    let Some(model) = models.get_mut(artifact.model) else { return };
    let demand = &mut model.demand;
    let is_requested = entry.arrived > 0 || entry.queued > 0 || entry.in_flight > 0;
    demand.tokens.add(now, entry.tokens as f64);
    if is_requested {
        let is_stale =
            demand.priority_reported_at.is_none_or(|at| now.saturating_sub(at) >= DEMAND_REPORT_TTL);
        if is_stale || entry.priority <= demand.priority {
            demand.priority = entry.priority;
            demand.priority_reported_at = Some(now);
        }
        demand.last_requested = Some(now);
    }
    if entry.over_capacity > 0 {
        demand.last_over_capacity = Some(now);
    }
    if let Some(adapter) = artifact.adapter {
        let adapter = demand.adapters.entry(adapter).or_default();
        adapter.arrivals.add(now, f64::from(entry.arrived));
        if is_requested {
            adapter.last_requested = Some(now);
        }
    }
}

fn add_gauge(gauge: &Gauge, models: &mut ModelTable) {
    apply_gauge(gauge, models, u32::saturating_add);
}

fn subtract_gauge(gauge: &Gauge, models: &mut ModelTable) {
    apply_gauge(gauge, models, u32::saturating_sub);
}

/// Applies `operation` to the sums of a model, and of an adapter, with the values of a gauge.
fn apply_gauge(gauge: &Gauge, models: &mut ModelTable, operation: fn(u32, u32) -> u32) {
    let Some(model) = models.get_mut(gauge.artifact.model) else { return };
    let demand = &mut model.demand;
    demand.waiting = operation(demand.waiting, gauge.waiting);
    demand.open = operation(demand.open, gauge.open);
    if let Some(adapter) = gauge.artifact.adapter.and_then(|number| demand.adapters.get_mut(&number)) {
        adapter.waiting = operation(adapter.waiting, gauge.waiting);
    }
}
