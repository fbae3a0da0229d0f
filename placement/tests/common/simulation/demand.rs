//! Simulates an edge: requests arrive, those for which a replica exists are served, and the demand is reported.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::Demand;

use super::{Simulation, DEMAND_INTERVAL, EDGE, SERVICE};

/// Demand by model name and adapter name.
type DemandByName = BTreeMap<(String, Option<String>), Demand>;

impl Simulation {
    pub(super) fn report_demand(&mut self) {
        let mut reported = DemandByName::new();
        self.add_arrivals(&mut reported);
        self.serve_waiting(&mut reported);
        let demand: Vec<Demand> = reported
            .into_iter()
            .map(|((model, adapter), demand)| Demand { service: SERVICE.into(), model, adapter, ..demand })
            .collect();
        self.planner.record_demand(self.now, EDGE, &demand);
        self.standby.record_demand(self.now, EDGE, &demand);
    }

    fn add_arrivals(&mut self, reported: &mut DemandByName) {
        for (index, demand) in self.demand.iter().enumerate() {
            let accumulated = self.fractional_requests.entry(index).or_default();
            *accumulated += demand.per_second * DEMAND_INTERVAL as f64 / 1_000.0;
            let arrived = accumulated.floor() as u32;
            *accumulated -= f64::from(arrived);
            if arrived > 0 {
                let key = (demand.model.clone(), demand.adapter.clone());
                let entry = reported.entry(key.clone()).or_default();
                entry.arrived += arrived;
                entry.tokens += u64::from(arrived) * demand.tokens;
                self.waiting.entry(key).or_insert((self.now, 0)).1 += arrived;
            }
        }
    }

    fn serve_waiting(&mut self, reported: &mut DemandByName) {
        for (key, (since, count)) in std::mem::take(&mut self.waiting) {
            let replicas = match &key.1 {
                None => self.replicas(&key.0).len(),
                Some(adapter) => self.adapter_replicas(&key.0, adapter),
            };
            let longest = self.longest_wait.entry(key.0.clone()).or_default();
            *longest = (*longest).max(self.now - since);
            if replicas == 0 {
                reported.entry(key.clone()).or_default().queued = count;
                self.waiting.insert(key, (since, count));
            }
        }
    }
}
