//! Demand and observations for the coordinators.

use std::collections::BTreeMap;
use std::sync::Arc;

use shaletrail_protocol::internal::{Demand, ServerOutcomes};

use crate::servers::Servers;
use crate::Options;

/// Output tokens count this many times as much as those of a prompt.
const OUTPUT_WEIGHT: u64 = 10;

/// What a request needs of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Wanted {
    /// The service.
    pub service: String,
    /// The model; empty for services without models.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
}

/// Demand since the last report.
#[derive(Debug, Default)]
pub(crate) struct DemandTable(BTreeMap<Arc<Wanted>, Demand>);

impl DemandTable {
    /// The demand for what a request needs; `None` where the table is full.
    pub fn of(&mut self, wanted: &Arc<Wanted>, options: &Options) -> Option<&mut Demand> {
        if self.0.len() >= options.max_demand && !self.0.contains_key(wanted) {
            return None;
        }
        let none_yet = || Demand {
            service: wanted.service.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            priority: u8::MAX,
            ..Demand::default()
        };
        Some(self.0.entry(Arc::clone(wanted)).or_insert_with(none_yet))
    }

    /// The demand for what a request needs, if any has been counted.
    pub fn known(&mut self, wanted: &Wanted) -> Option<&mut Demand> {
        self.0.get_mut(wanted)
    }

    /// Takes what is to be reported; what is open or waits is counted on.
    pub fn take(&mut self) -> Vec<Demand> {
        let reported = self.0.values().cloned().collect();
        self.0.retain(|_, demand| {
            (demand.arrived, demand.tokens, demand.over_capacity) = (0, 0, 0);
            if demand.queued == 0 {
                demand.priority = u8::MAX;
            }
            demand.queued > 0 || demand.in_flight > 0
        });
        reported
    }
}

/// Counts a request that arrived.
pub(crate) fn count_arrival(demand: &mut Demand, tokens: Option<(u32, u32)>, priority: u8) {
    let (prompt, output) = tokens.unwrap_or_default();
    demand.arrived = demand.arrived.saturating_add(1);
    let weighed = u64::from(prompt).saturating_add(u64::from(output).saturating_mul(OUTPUT_WEIGHT));
    demand.tokens = demand.tokens.saturating_add(weighed);
    demand.priority = demand.priority.min(priority);
}

/// Takes what was found out about servers.
pub(crate) fn take_observations(servers: &mut Servers) -> Vec<ServerOutcomes> {
    let mut taken = Vec::new();
    for server in servers.iter_mut() {
        let observed = &mut server.observed;
        if observed.succeeded > 0 || observed.failed > 0 || observed.unreachable > 0 {
            taken.push(observed.clone());
            (observed.succeeded, observed.failed, observed.unreachable) = (0, 0, 0);
        }
    }
    taken
}
