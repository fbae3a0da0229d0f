//! Demand and attempt outcomes, for the reports to the coordinators.

use std::collections::BTreeMap;
use std::sync::Arc;

use shaletrail_protocol::internal::{Demand, ServerOutcomes};

use crate::server_table::ServerTable;
use crate::target::Target;
use crate::Options;

/// Weight of an output token in the demand, relative to a prompt token.
const OUTPUT_TOKEN_WEIGHT: u64 = 10;

/// Demand by target. The counts cover the time since the last report; `queued` and `in_flight` are gauges.
#[derive(Debug, Default)]
pub(crate) struct DemandTable(BTreeMap<Arc<Target>, Demand>);

impl DemandTable {
    /// The demand entry of a target, created if it does not exist. `None` if the table is full.
    pub fn entry(&mut self, target: &Arc<Target>, options: &Options) -> Option<&mut Demand> {
        if self.0.len() >= options.max_demand_entries && !self.0.contains_key(target) {
            return None;
        }
        let new_entry = || Demand {
            service: target.service.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            priority: u8::MAX,
            ..Demand::default()
        };
        Some(self.0.entry(Arc::clone(target)).or_insert_with(new_entry))
    }

    /// The existing demand entry of a target.
    pub fn get_mut(&mut self, target: &Target) -> Option<&mut Demand> {
        self.0.get_mut(target)
    }

    /// Returns the demand for the report and resets the counts. The gauges keep their values.
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

/// Adds a new request to the demand entry of its target.
pub(crate) fn record_arrival(demand: &mut Demand, tokens: Option<(u32, u32)>, priority: u8) {
    let (prompt, output) = tokens.unwrap_or_default();
    demand.arrived = demand.arrived.saturating_add(1);
    let weighted_tokens =
        u64::from(prompt).saturating_add(u64::from(output).saturating_mul(OUTPUT_TOKEN_WEIGHT));
    demand.tokens = demand.tokens.saturating_add(weighted_tokens);
    demand.priority = demand.priority.min(priority);
}

/// Returns and resets the attempt outcomes per server since the last report.
pub(crate) fn take_server_outcomes(servers: &mut ServerTable) -> Vec<ServerOutcomes> {
    let mut taken = Vec::new();
    for server in servers.iter_mut() {
        let outcomes = &mut server.outcomes;
        if outcomes.succeeded > 0 || outcomes.failed > 0 || outcomes.unreachable > 0 {
            taken.push(outcomes.clone());
            (outcomes.succeeded, outcomes.failed, outcomes.unreachable) = (0, 0, 0);
        }
    }
    taken
}
