//! What edges ask for: rates a model and adapter, and how many requests wait or run at this moment.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::Demand;
use shaletrail_protocol::{Millis, NodeId};

use crate::model::{Item, ModelTable};
use crate::rate::Rate;

/// After this time without a report, in milliseconds, what a source said of waiting and open requests lapses.
pub const REPORT_LAPSES: Millis = 4_000;
/// Sources that are kept at most.
const MOST_SOURCES: usize = 512;
/// Entries of one report that are taken at most.
const MOST_ENTRIES: usize = 16_384;

/// Demand for one adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterDemand {
    /// Requests that arrived.
    pub arrivals: Rate,
    /// When it was last asked for.
    pub last: Option<Millis>,
    /// Requests that wait because no server holds it.
    pub waiting: u32,
}

/// Demand for one model, with or without adapters.
#[derive(Clone, Debug, Default)]
pub struct ModelDemand {
    /// Requests that arrived.
    pub arrivals: Rate,
    /// Tokens that they brought and asked for.
    pub tokens: Rate,
    /// When it was last asked for.
    pub last: Option<Millis>,
    /// Requests that wait because no server holds what they ask for.
    pub waiting: u32,
    /// Requests that run at servers.
    pub open: u32,
    /// When requests last found every holder at its cap.
    pub crowded: Option<Millis>,
    /// The most urgent rank among the latest requests (0 first).
    pub priority: u8,
    /// Its adapters that were ever asked for, by number.
    pub adapters: BTreeMap<u32, AdapterDemand>,
}

impl ModelDemand {
    /// Whether it was asked for within `span`.
    pub fn within(&self, now: Millis, span: Millis) -> bool {
        is_within(self.last, now, span)
    }

    /// Milliseconds since it was last asked for; `Millis::MAX` if never.
    pub fn idle(&self, now: Millis) -> Millis {
        self.last.map_or(Millis::MAX, |last| now.saturating_sub(last))
    }
}

/// Whether something happened within `span` before `now`.
pub fn is_within(last: Option<Millis>, now: Millis, span: Millis) -> bool {
    last.is_some_and(|last| now.saturating_sub(last) < span)
}

/// What one source last said about this moment.
#[derive(Clone, Debug)]
struct Gauge {
    item: Item,
    waiting: u32,
    open: u32,
}

/// The sources of demand, and what each has last said.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    gauges: BTreeMap<NodeId, (Millis, Vec<Gauge>)>,
    known_since: Option<Millis>,
}

impl Sources {
    /// Adds a report to the models' demand. Waiting and open requests replace those of the source's last report;
    /// models that it does not name have none there. Returns whether anything was asked for.
    pub fn report(
        &mut self,
        now: Millis,
        source: NodeId,
        reported: &[Demand],
        service: &str,
        models: &mut ModelTable,
    ) -> bool {
        if !self.gauges.contains_key(&source) && self.gauges.len() >= MOST_SOURCES {
            return false;
        }
        let mut gauges = Vec::new();
        for entry in reported.iter().filter(|entry| entry.service == service).take(MOST_ENTRIES) {
            let Some(item) = models.current(&entry.model, entry.adapter.as_deref()) else { continue };
            count(now, item, entry, models);
            if entry.queued > 0 || entry.in_flight > 0 {
                gauges.push(Gauge { item, waiting: entry.queued, open: entry.in_flight });
            }
        }
        let asked = !gauges.is_empty();
        if asked {
            self.known_since.get_or_insert(now);
        }
        let former = self.gauges.insert(source, (now, gauges)).map(|(_, gauges)| gauges).unwrap_or_default();
        former.iter().for_each(|gauge| change(gauge, false, models));
        if let Some((_, gauges)) = self.gauges.get(&source) {
            gauges.iter().for_each(|gauge| change(gauge, true, models));
        }
        asked
    }

    /// When something was first asked for.
    pub fn known_since(&self) -> Option<Millis> {
        self.known_since
    }

    /// Drops what sources said that have fallen silent.
    pub fn lapse(&mut self, now: Millis, models: &mut ModelTable) {
        self.gauges.retain(|_, (at, gauges)| {
            let stays = now.saturating_sub(*at) < REPORT_LAPSES;
            if !stays {
                gauges.iter().for_each(|gauge| change(gauge, false, models));
            }
            stays
        });
    }
}

/// Adds what happened since the source's last report.
fn count(now: Millis, item: Item, entry: &Demand, models: &mut ModelTable) {
    let Some(model) = models.get_mut(item.model) else { return };
    let demand = &mut model.demand;
    let asked = entry.arrived > 0 || entry.queued > 0 || entry.in_flight > 0;
    demand.arrivals.add(now, f64::from(entry.arrived));
    demand.tokens.add(now, entry.tokens as f64);
    if asked {
        demand.last = Some(now);
        demand.priority = entry.priority;
    }
    if entry.over_capacity > 0 {
        demand.crowded = Some(now);
    }
    if let Some(adapter) = item.adapter {
        let adapter = demand.adapters.entry(adapter).or_default();
        adapter.arrivals.add(now, f64::from(entry.arrived));
        adapter.last = if asked { Some(now) } else { adapter.last };
    }
}

/// Adds a gauge to the model's sums, or takes it away.
fn change(gauge: &Gauge, add: bool, models: &mut ModelTable) {
    let Some(model) = models.get_mut(gauge.item.model) else { return };
    let changed = |sum: u32, part: u32| if add { sum.saturating_add(part) } else { sum.saturating_sub(part) };
    let demand = &mut model.demand;
    demand.waiting = changed(demand.waiting, gauge.waiting);
    demand.open = changed(demand.open, gauge.open);
    if let Some(adapter) = gauge.item.adapter.and_then(|adapter| demand.adapters.get_mut(&adapter)) {
        adapter.waiting = changed(adapter.waiting, gauge.waiting);
    }
}
