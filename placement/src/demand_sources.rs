//! Aggregates the demand reports of all sources into the demand for each model, and expires the reports of sources that
//! have stopped reporting.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::Demand;
use shaletrail_protocol::{Millis, NodeId};

use crate::model::{Artifact, ModelTable};

/// Age at which the counts of waiting and in-progress requests in a source's last report expire, in milliseconds.
pub const DEMAND_REPORT_TTL: Millis = 4_000;
/// Maximum number of sources; reports of further sources are ignored.
const MAX_SOURCES: usize = 512;
/// Maximum number of entries of this service that are read from one report; further ones are ignored.
const MAX_REPORT_ENTRIES: usize = 16_384;

/// Numbers of waiting and in-progress requests for one model or adapter in a source's last report.
#[derive(Clone, Debug)]
struct Gauge {
    artifact: Artifact,
    waiting: u32,
    in_progress: u32,
}

/// The last report of one source.
#[derive(Clone, Debug)]
struct SourceReport {
    received_at: Millis,
    gauges: Vec<Gauge>,
}

/// The last report of each source of demand.
#[derive(Clone, Debug, Default)]
pub struct DemandSources {
    reports: BTreeMap<NodeId, SourceReport>,
    first_demand_at: Option<Millis>,
}

impl DemandSources {
    /// Adds a report to the models' demand. Its waiting and in-progress requests replace those of the source's last
    /// report; for an artifact that the report does not name, the source no longer counts any.
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
                gauges.push(Gauge { artifact, waiting: entry.queued, in_progress: entry.in_flight });
            }
        }
        if !gauges.is_empty() {
            self.first_demand_at.get_or_insert(now);
        }
        // The previous gauges are subtracted before the new ones are added, because the sums saturate.
        let previous = self.reports.remove(&source).map(|report| report.gauges).unwrap_or_default();
        previous.iter().for_each(|gauge| subtract_gauge(gauge, models));
        gauges.iter().for_each(|gauge| add_gauge(gauge, models));
        self.reports.insert(source, SourceReport { received_at: now, gauges });
    }

    /// Returns when a report first contained waiting or in-progress requests; `None` if none has yet.
    pub fn first_demand_at(&self) -> Option<Millis> {
        self.first_demand_at
    }

    /// Removes the waiting and in-progress requests of sources that have stopped reporting.
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

/// Adds the requests that arrived since the source's last report to the rates, times and priority of the model's
/// demand.
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

/// Combines a gauge's values with the sums of its model and, if it names one, its adapter, using `operation`.
fn apply_gauge(gauge: &Gauge, models: &mut ModelTable, operation: fn(u32, u32) -> u32) {
    let Some(model) = models.get_mut(gauge.artifact.model) else { return };
    let demand = &mut model.demand;
    demand.waiting = operation(demand.waiting, gauge.waiting);
    demand.in_progress = operation(demand.in_progress, gauge.in_progress);
    if let Some(adapter) = gauge.artifact.adapter.and_then(|number| demand.adapters.get_mut(&number)) {
        adapter.waiting = operation(adapter.waiting, gauge.waiting);
    }
}
