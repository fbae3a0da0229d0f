//! The planner of one service.
//!
//! - `inputs` applies demand, directory records and reports.
//! - `pass` is the planning pass. It uses `reservations` (servers for missing replicas), `headroom` (evictions in
//!   advance) and `load_budget` (limits on loads from the weight store).
//! - `orders` records orders as sent and applies their outcomes.
//! - `queries` reads the planner's state.

mod headroom;
mod inputs;
mod load_budget;
mod orders;
mod pass;
mod queries;
mod reservations;

use std::collections::BTreeMap;

use shaletrail_protocol::{Millis, ServerId};
use shaletrail_ring::SlotArray;

use crate::catalogue::Catalogue;
use crate::demand_sources::DemandSources;
use crate::interface::PlannerCounters;
use crate::model::ModelTable;
use crate::options::Options;
use crate::origin::OriginBudget;
use crate::server::{Server, ServerKey};
use crate::uncertainty::Uncertainty;

/// A server that was unreachable gets no orders for this long, in milliseconds.
const UNREACHABLE_BACKOFF: Millis = 1_000;

/// The planner of one service's models.
#[derive(Clone, Debug)]
pub struct Planner {
    service: String,
    options: Options,
    catalogue: Catalogue,
    /// The result of [`Catalogue::model_slots_per_server`] for `catalogue`.
    model_slots_per_server: f64,
    models: ModelTable,
    demand_sources: DemandSources,
    servers: BTreeMap<ServerKey, Server>,
    keys: BTreeMap<ServerId, ServerKey>,
    last_key: u64,
    last_order: u64,
    /// The hash ring of the ready servers.
    ring: SlotArray<ServerKey>,
    origin: OriginBudget,
    /// Uncertainty about the orders of the previous lease holder, for servers that are seen for the first time.
    initial_uncertainty: Uncertainty,
    /// Whether any input since the last planning pass may change its result.
    has_changed: bool,
    /// Whether replicas were missing in the last planning pass.
    has_missing_replicas: bool,
    last_pass: Millis,
    counters: PlannerCounters,
}

impl Planner {
    /// Creates a planner whose lease starts at `now`. The orders of the previous lease, which has ended, are assumed to
    /// be unknown and to have exhausted the weight store's rate.
    pub fn new(service: String, catalogue: Catalogue, options: Options, now: Millis) -> Self {
        let mut models = ModelTable::default();
        models.set_catalogue(&catalogue);
        Planner {
            origin: OriginBudget::exhausted(now, options.origin_window, catalogue.load_per_s),
            initial_uncertainty: Uncertainty::of_previous_lease(&catalogue, now),
            model_slots_per_server: catalogue.model_slots_per_server(),
            service,
            options,
            catalogue,
            models,
            demand_sources: DemandSources::default(),
            servers: BTreeMap::new(),
            keys: BTreeMap::new(),
            last_key: 0,
            last_order: 0,
            ring: SlotArray::default(),
            has_changed: true,
            has_missing_replicas: false,
            last_pass: now,
            counters: PlannerCounters::default(),
        }
    }

    /// Starts a lease on a node that has only applied inputs so far. Servers may have accepted orders of an earlier
    /// lease until `earlier_orders_until`, and these orders may have exhausted the weight store's rate by then; `None`
    /// if no orders were ever sent.
    pub fn start_lease(&mut self, now: Millis, earlier_orders_until: Option<Millis>) {
        let (window, rate) = (self.options.origin_window, self.catalogue.load_per_s);
        let uncertainty =
            earlier_orders_until.map(|until| Uncertainty::of_previous_lease(&self.catalogue, until));
        self.origin = match earlier_orders_until {
            Some(until) => OriginBudget::exhausted(until, window, rate),
            None => OriginBudget::unused(window, rate),
        };
        self.initial_uncertainty = uncertainty.unwrap_or_else(|| Uncertainty::until_next_message(now));
        self.servers.values_mut().for_each(|server| server.reset_for_lease(uncertainty));
        self.has_changed = true;
    }

    /// Applies a new configuration of the service.
    pub fn set_catalogue(&mut self, catalogue: Catalogue) {
        self.servers.values_mut().for_each(|server| server.keep_sizes(&self.models));
        self.models.set_catalogue(&catalogue);
        self.origin.set_rate(catalogue.load_per_s);
        self.model_slots_per_server = catalogue.model_slots_per_server();
        self.catalogue = catalogue;
        self.has_changed = true;
    }

    fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_ready())
    }

    fn server_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.keys.get(id).and_then(|key| self.servers.get_mut(key))
    }
}
