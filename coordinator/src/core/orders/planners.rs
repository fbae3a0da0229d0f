//! The planners of all services with models, and their input from configuration, directory and demand.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_cluster::Directory;
use shaletrail_configuration::ConfigView;
use shaletrail_placement::{Catalogue, Options, OrderNumber, Planner};
use shaletrail_protocol::external::ServerReport;
use shaletrail_protocol::internal::EdgeReport;
use shaletrail_protocol::{Millis, ServerId};

use super::catalogue::catalogue;
use super::lease::OwnEpoch;
use crate::core::shards::shard_of;
use crate::interface::OrderOutcome;

/// One planner for each service that has models, whether or not this node holds the lease of the service's shard.
pub(super) struct Planners {
    options: Options,
    catalogues: BTreeMap<String, Catalogue>,
    planners: BTreeMap<String, Planner>,
    /// The servers of each service at the last scan of the directory.
    known_servers: BTreeMap<String, BTreeSet<ServerId>>,
}

impl Planners {
    /// Creates the set without any planner. `options` apply to all planners that are created later.
    pub fn new(options: Options) -> Self {
        Planners {
            options,
            catalogues: BTreeMap::new(),
            planners: BTreeMap::new(),
            known_servers: BTreeMap::new(),
        }
    }

    /// Updates the catalogues of models from a newly applied version of the configuration.
    pub fn on_configuration(&mut self, view: &ConfigView) {
        self.catalogues = view
            .services()
            .filter_map(|service| Some((service.name.clone(), catalogue(service.runtime.as_ref()?))))
            .collect();
        // All services load from the same weight store, so its load rate is divided equally among the planners.
        let services_with_models =
            self.catalogues.values().filter(|catalogue| !catalogue.models.is_empty()).count().max(1);
        for catalogue in self.catalogues.values_mut() {
            catalogue.load_per_s /= services_with_models as f64;
        }
        self.planners.retain(|service, _| self.catalogues.contains_key(service));
        for (service, planner) in &mut self.planners {
            if let Some(catalogue) = self.catalogues.get(service) {
                planner.set_catalogue(catalogue.clone());
            }
        }
    }

    /// Returns the names of all services with models.
    pub fn services(&self) -> Vec<String> {
        self.catalogues.keys().cloned().collect()
    }

    /// Returns the planner of a service; `None` if it has not been created.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut Planner> {
        self.planners.get_mut(service)
    }

    /// Starts planning orders for the services of a shard whose order lease this node has acquired. See
    /// [`OwnEpoch::previous_lease_until`].
    pub fn start_ordering(&mut self, now: Millis, shard: u32, previous_lease_until: Option<Millis>) {
        for (_, planner) in self.planners.iter_mut().filter(|(service, _)| shard_of(service) == shard) {
            planner.start_lease(now, previous_lease_until);
        }
    }

    /// Passes the demand in the reports of edges to all planners.
    pub fn record_demand(&mut self, now: Millis, reports: &[EdgeReport]) {
        for report in reports {
            for planner in self.planners.values_mut() {
                planner.record_demand(now, report.edge, &report.demand);
            }
        }
    }

    /// Records the outcome of an order of the present epoch.
    pub fn complete_order(
        &mut self,
        now: Millis,
        service: &str,
        server: &ServerId,
        number: OrderNumber,
        outcome: OrderOutcome,
    ) {
        if let Some(planner) = self.planners.get_mut(service) {
            planner.complete_order(now, server, number, outcome);
        }
    }

    /// Records a server's report; `None` if it could not be fetched in time.
    pub fn record_report(&mut self, now: Millis, server: &ServerId, report: Option<&ServerReport>) {
        for planner in self.planners.values_mut() {
            match report {
                Some(report) => planner.record_report(now, server, report),
                None => planner.report_failed(now, server),
            }
        }
    }

    /// Creates the planner of a service if it does not exist. Updates the planner from the directory if it is new or a
    /// scan is due (`scans_directory`). `epoch` is this node's lease epoch in the service's shard.
    pub fn update(
        &mut self,
        now: Millis,
        service: &str,
        directory: &Directory,
        scans_directory: bool,
        epoch: Option<OwnEpoch>,
    ) {
        let is_new = !self.planners.contains_key(service);
        if is_new {
            let Some(catalogue) = self.catalogues.get(service) else { return };
            let mut planner = Planner::new(service.to_owned(), catalogue.clone(), self.options.clone(), now);
            if let Some(epoch) = epoch {
                planner.start_lease(now, epoch.previous_lease_until);
            }
            self.planners.insert(service.to_owned(), planner);
        }
        if scans_directory || is_new {
            self.scan_directory(now, service, directory);
        }
    }

    fn scan_directory(&mut self, now: Millis, service: &str, directory: &Directory) {
        let Some(planner) = self.planners.get_mut(service) else { return };
        let mut known = BTreeSet::new();
        for record in directory.records().filter(|record| record.heartbeat.service == service) {
            planner.update_server(now, record);
            known.insert(record.id.clone());
        }
        let before = self.known_servers.insert(service.to_owned(), known.clone()).unwrap_or_default();
        before.difference(&known).for_each(|server| planner.remove_server(server));
    }
}
