//! State shared by all nodes of a fleet: virtual time, model servers, running processes, and the operator's progress.

use shaletrail_protocol::internal::{Demand, OperatorResponse, ServerOutcomes};
use shaletrail_protocol::{Millis, NodeId};

use crate::deployment;
use crate::events::ScheduledEvent;
use crate::initial_models::initial_models;
use crate::options::Options;
use crate::popularity::Popularity;
use crate::scheduler::Scheduler;
use crate::server_node::ServerNode;

/// The number of seed coordinators, which every node knows from its settings file.
const SEED_COORDINATORS: usize = 3;
/// The delay before the operator retries a failed change.
pub const OPERATOR_RETRY_MS: Millis = 200;

/// The contents of an edge's report to its coordinator.
#[derive(Clone, Debug, Default)]
pub struct EdgeReport {
    /// Demand for models.
    pub demand: Vec<Demand>,
    /// Request outcomes by server.
    pub server_outcomes: Vec<ServerOutcomes>,
}

/// State that all nodes share.
pub struct Environment {
    /// Sizes and rates of the run.
    pub options: Options,
    /// Virtual time, scheduled events and randomness.
    pub scheduler: Scheduler,
    /// The model servers, by index.
    pub servers: Vec<ServerNode>,
    /// The current incarnation of each edge.
    pub edge_incarnations: Vec<u64>,
    /// The distribution of requests over busy models.
    pub popularity: Popularity,
    /// The number of heartbeats rejected by coordinators.
    pub rejected_heartbeats: u64,
    /// The number of client requests received by edges.
    pub client_requests: u64,
    /// The number of model and adapter loads completed by servers since the counts were last reset.
    pub completed_loads: u64,
    coordinator_incarnations: Vec<u64>,
    coordinator_running: Vec<bool>,
    /// The last report of each edge that has a router.
    reports: Vec<EdgeReport>,
    acknowledged_version: u64,
}

impl Environment {
    /// An environment in which no process is running.
    pub fn new(options: Options) -> Self {
        let models_by_server = initial_models(&options).into_iter().enumerate();
        let servers = models_by_server.map(|(index, models)| ServerNode::new(&options, index, models));
        Environment {
            scheduler: Scheduler::new(options.seed),
            servers: servers.collect(),
            edge_incarnations: vec![0; options.edges],
            popularity: Popularity::of(options.busy_models()),
            rejected_heartbeats: 0,
            client_requests: 0,
            completed_loads: 0,
            coordinator_incarnations: vec![0; options.coordinators],
            coordinator_running: vec![false; options.coordinators],
            reports: vec![EdgeReport::default(); options.routing_edges],
            acknowledged_version: 0,
            options,
        }
    }

    /// The seed coordinators, which every node knows from its settings file.
    pub fn seeds(&self) -> Vec<NodeId> {
        (0..SEED_COORDINATORS.min(self.options.coordinators)).map(deployment::coordinator_node).collect()
    }

    /// Marks a coordinator's process as running and returns its new incarnation.
    pub fn start_coordinator(&mut self, index: usize) -> u64 {
        self.coordinator_running[index] = true;
        self.coordinator_incarnations[index] += 1;
        self.coordinator_incarnations[index]
    }

    /// Marks a coordinator's process as stopped; from now on, events for its incarnation are dropped.
    pub fn stop_coordinator(&mut self, index: usize) {
        self.coordinator_running[index] = false;
        self.coordinator_incarnations[index] += 1;
    }

    /// The current incarnation of a coordinator; `None` if it is not running.
    pub fn running_coordinator(&self, index: usize) -> Option<u64> {
        let is_running = self.coordinator_running.get(index).copied().unwrap_or_default();
        is_running.then(|| self.coordinator_incarnations[index])
    }

    /// Starts a new incarnation of an edge and returns it.
    pub fn start_edge(&mut self, index: usize) -> u64 {
        self.edge_incarnations[index] += 1;
        self.edge_incarnations[index]
    }

    /// The version of the newest change acknowledged by a coordinator; 0 before the first.
    pub fn acknowledged_version(&self) -> u64 {
        self.acknowledged_version
    }

    /// Handles the response to the operator's change. Schedules the next change, or a retry if it was rejected. Returns
    /// whether the change was accepted.
    pub fn on_operator_response(&mut self, response: &OperatorResponse) -> bool {
        let accepted = matches!(response, OperatorResponse::Done { .. });
        if accepted {
            self.acknowledged_version += 1;
            if let Some(interval) = self.scheduler.sample_interval(self.options.change_rate) {
                self.scheduler.schedule_after(interval, ScheduledEvent::OperatorChange);
            }
        } else {
            self.scheduler.schedule_after(OPERATOR_RETRY_MS, ScheduledEvent::OperatorChange);
        }
        accepted
    }

    /// Stores the report of an edge that has a router, as a template for edges that have none.
    pub fn record_report(&mut self, edge: usize, demand: &[Demand], server_outcomes: &[ServerOutcomes]) {
        if self.options.routing_edges < self.options.edges {
            let report = EdgeReport { demand: demand.to_vec(), server_outcomes: server_outcomes.to_vec() };
            self.reports[edge] = report;
        }
    }

    /// The report that an edge without a router sends: a copy of the last report of an edge that has one.
    pub fn recorded_report(&self, edge: usize) -> EdgeReport {
        self.reports.get(edge % self.options.routing_edges.max(1)).cloned().unwrap_or_default()
    }
}
