//! A planner against simulated servers on a simulated clock. The capacity of servers and the rate of the weight store
//! are checked at every order.

mod demand;
mod heartbeats;
mod messages;
mod orders;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;

use super::simulated_server::{catalogue, model_name, SimulatedServer};
use messages::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_placement::{Catalogue, Options, PlannedOrder, Planner};
use shaletrail_protocol::{Millis, NodeId};

pub const SERVICE: &str = "models";
pub const EDGE: NodeId = NodeId(1);
/// Step of the simulated clock, in milliseconds.
pub const STEP: Millis = 20;
const HEARTBEAT_INTERVAL: Millis = 1_200;
const DEMAND_INTERVAL: Millis = 200;
const PLAN_INTERVAL: Millis = 100;
/// Time between the election of a new lease holder and its first orders, in milliseconds.
const LEASE_WAIT: Millis = 3_600;
/// Maximum number of trace entries that are kept for failure messages.
const MAX_TRACE: usize = 600;

/// A constant rate of requests for one model or adapter.
#[derive(Clone, Debug)]
pub struct SteadyDemand {
    pub model: String,
    pub adapter: Option<String>,
    pub per_second: f64,
    /// Tokens per request.
    pub tokens: u64,
}

pub fn steady_demand(model: &str, per_second: f64, tokens: u64) -> SteadyDemand {
    SteadyDemand { model: model.into(), adapter: None, per_second, tokens }
}

/// Returns the same demand for each model in the range.
pub fn demand_for_models(models: Range<usize>, per_second: f64, tokens: u64) -> Vec<SteadyDemand> {
    models.map(|index| steady_demand(&model_name(index), per_second, tokens)).collect()
}

/// Probabilities of faults, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub order_lost: f64,
    /// An order's response is lost.
    pub response_lost: f64,
    pub heartbeat_late: f64,
    pub report_lost: f64,
    /// An order reaches its server late.
    pub order_late: f64,
    /// A report arrives late, with the state at the time of the request.
    pub report_late: f64,
    /// A load takes up to `orders::MAX_LOAD_FACTOR` times as long.
    pub load_slow: f64,
    /// Maximum delay of late heartbeats, in milliseconds; `None` for the default.
    pub max_heartbeat_delay: Option<Millis>,
}

/// An event that failure messages show.
struct TraceEntry {
    at: Millis,
    /// The server's id; empty for an event of the lease holder.
    server: String,
    text: String,
}

pub struct Simulation {
    pub now: Millis,
    pub catalogue: Catalogue,
    pub planner: Planner,
    /// The planner of the next lease holder, which receives the same demand and directory records.
    pub standby: Planner,
    /// The lease holder sends no orders before this time.
    pub orders_from: Millis,
    pub servers: Vec<SimulatedServer>,
    pub demand: Vec<SteadyDemand>,
    pub faults: Faults,
    /// Start times of loads from the weight store.
    pub origin_loads: Vec<Millis>,
    pub orders: Vec<(Millis, PlannedOrder)>,
    /// Number of reports requested.
    pub report_requests: usize,
    /// The longest time for which each model had waiting requests and no replica.
    pub longest_wait: BTreeMap<String, Millis>,
    /// Waiting requests by model and adapter: since when they wait, and how many they are.
    waiting: BTreeMap<(String, Option<String>), (Millis, u32)>,
    /// The fraction of a request that has accumulated for each entry of `demand`, by its index.
    fractional_requests: BTreeMap<usize, f64>,
    removed_servers: BTreeSet<String>,
    /// Messages in flight, by arrival time and sequence number.
    messages: BTreeMap<(Millis, u64), Message>,
    last_message: u64,
    trace: VecDeque<TraceEntry>,
    random: Pcg64,
}

impl Simulation {
    pub fn new(models: usize, servers: usize, seed: u64) -> Simulation {
        let now = 1_000;
        let catalogue = catalogue(models);
        let planner = Planner::new(SERVICE.into(), catalogue.clone(), Options::default(), now);
        let mut random = Pcg64::seed_from_u64(seed);
        let server = |index| {
            let next_heartbeat = now + random.random_range(0..HEARTBEAT_INTERVAL);
            SimulatedServer::new(index, now, next_heartbeat)
        };
        Simulation {
            now,
            catalogue,
            standby: planner.clone(),
            planner,
            orders_from: 0,
            servers: (0..servers).map(server).collect(),
            demand: Vec::new(),
            faults: Faults::default(),
            origin_loads: Vec::new(),
            orders: Vec::new(),
            report_requests: 0,
            longest_wait: BTreeMap::new(),
            waiting: BTreeMap::new(),
            fractional_requests: BTreeMap::new(),
            removed_servers: BTreeSet::new(),
            messages: BTreeMap::new(),
            last_message: 0,
            trace: VecDeque::new(),
            random,
        }
    }

    /// Places models on a server before the simulation starts.
    pub fn preload(&mut self, server: usize, models: &[&str]) {
        for model in models {
            self.servers[server].loaded.insert((*model).into(), BTreeSet::new());
            self.servers[server].disk.insert((*model).into());
        }
    }

    /// Places the first `models` models on the servers in round-robin order before the simulation starts.
    pub fn preload_in_turn(&mut self, models: usize) {
        let servers = self.servers.len();
        for index in 0..models {
            self.preload(index % servers, &[&model_name(index)]);
        }
    }

    /// Returns the indices of running servers that hold a model.
    pub fn replicas(&self, model: &str) -> Vec<usize> {
        let holds = |server: &&SimulatedServer| server.is_up() && server.has(model, None);
        self.servers.iter().filter(holds).map(|server| server.index).collect()
    }

    /// Returns the models in the range that no running server holds.
    pub fn models_without_replica(&self, models: Range<usize>) -> Vec<usize> {
        models.filter(|index| self.replicas(&model_name(*index)).is_empty()).collect()
    }

    /// Returns the number of running servers that hold an adapter.
    pub fn adapter_replicas(&self, model: &str, adapter: &str) -> usize {
        let holds = |server: &&SimulatedServer| server.is_up() && server.has(model, Some(adapter));
        self.servers.iter().filter(holds).count()
    }

    /// Expires the lease: until [`Simulation::replace_planner`], a planner of another service, which sends no orders,
    /// takes the planner's place.
    pub fn suspend_planner(&mut self) {
        self.planner = Planner::new("another".into(), self.catalogue.clone(), Options::default(), self.now);
    }

    /// Lets a new planner take over without any state, as on a node that has just started.
    pub fn replace_planner(&mut self) {
        self.planner = Planner::new(SERVICE.into(), self.catalogue.clone(), Options::default(), self.now);
        self.drop_responses();
    }

    /// Fails over from the lease holder to the standby. Orders of the previous holder that are in flight still arrive.
    pub fn transfer_leadership(&mut self) {
        let fresh = Planner::new(SERVICE.into(), self.catalogue.clone(), Options::default(), self.now);
        self.planner = std::mem::replace(&mut self.standby, fresh);
        self.planner.start_lease(self.now, Some(self.now));
        self.orders_from = self.now + LEASE_WAIT;
        self.add_trace("", "lease holder replaced".to_owned());
        self.drop_responses();
        self.drop_responses_of_orders_in_flight();
    }

    pub fn crash(&mut self, server: usize, downtime: Millis) {
        self.servers[server].crash(self.now + downtime);
    }

    /// Runs for `span` milliseconds.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.run_servers();
            self.send_heartbeats();
            if self.now % DEMAND_INTERVAL < STEP {
                self.report_demand();
            }
            if self.now % PLAN_INTERVAL < STEP {
                self.plan();
            }
        }
    }

    /// Records an event of a server or, with an empty `server`, of the lease holder for failure messages.
    fn add_trace(&mut self, server: &str, text: String) {
        if self.trace.len() == MAX_TRACE {
            self.trace.pop_front();
        }
        self.trace.push_back(TraceEntry { at: self.now, server: server.to_owned(), text });
    }

    fn trace_of(&self, id: &str) -> String {
        let of_server = self.trace.iter().filter(|entry| entry.server == id || entry.server.is_empty());
        of_server.map(|entry| format!("{} {}\n", entry.at, entry.text)).collect()
    }

    /// Draws whether an event of this probability happens. For probability zero, no random number is drawn.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }
}
