//! What all nodes of a fleet share: time, the model servers, which processes run, and the operator's progress.

use shaletrail_protocol::internal::{Demand, OperatorResponse, ServerOutcomes};
use shaletrail_protocol::{Millis, NodeId};

use crate::deployment;
use crate::events::ScheduledEvent;
use crate::initial_models::initial_models;
use crate::options::Options;
use crate::popularity::Popularity;
use crate::scheduler::Scheduler;
use crate::server_node::ServerNode;

/// The number of coordinators that every node knows from its settings file.
const SEEDS: usize = 3;
/// The delay after which the operator sends a change again that failed.
pub const OPERATOR_RETRY_MS: Millis = 200;

/// What an edge reports to its coordinator.
#[derive(Clone, Debug, Default)]
pub struct EdgeReport {
    /// Demand for models.
    pub demand: Vec<Demand>,
    /// Outcomes of requests, by server.
    pub server_outcomes: Vec<ServerOutcomes>,
}

/// What all nodes share.
pub struct Environment {
    /// Sizes and rates of the run.
    pub options: Options,
    /// Virtual time, scheduled events and randomness.
    pub scheduler: Scheduler,
    /// The model servers.
    pub servers: Vec<ServerNode>,
    /// The present incarnation of each edge.
    pub edge_incarnations: Vec<u64>,
    /// How requests spread over the busy models.
    pub popularity: Popularity,
    /// Heartbeats that a coordinator rejected.
    pub rejected_heartbeats: u64,
    /// Requests of clients that edges received.
    pub client_requests: u64,
    /// Loads of models and adapters that servers completed.
    pub completed_loads: u64,
    coordinator_incarnations: Vec<u64>,
    coordinator_running: Vec<bool>,
    /// The last report of each edge that has a router.
    reports: Vec<EdgeReport>,
    acknowledged_version: u64,
}

impl Environment {
    /// An environment in which no process runs yet.
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

    /// The coordinators that every node knows from its settings file.
    pub fn seeds(&self) -> Vec<NodeId> {
        (0..SEEDS.min(self.options.coordinators)).map(deployment::coordinator_node).collect()
    }

    /// Starts a coordinator's process and returns its incarnation.
    pub fn start_coordinator(&mut self, index: usize) -> u64 {
        self.coordinator_running[index] = true;
        self.coordinator_incarnations[index] += 1;
        self.coordinator_incarnations[index]
    }

    /// Ends a coordinator's process; events for its incarnation are dropped from now on.
    pub fn stop_coordinator(&mut self, index: usize) {
        self.coordinator_running[index] = false;
        self.coordinator_incarnations[index] += 1;
    }

    /// The present incarnation of a coordinator; `None` if it does not run.
    pub fn running_coordinator(&self, index: usize) -> Option<u64> {
        let is_running = self.coordinator_running.get(index).copied().unwrap_or_default();
        is_running.then(|| self.coordinator_incarnations[index])
    }

    /// Starts an edge's process and returns its incarnation.
    pub fn start_edge(&mut self, index: usize) -> u64 {
        self.edge_incarnations[index] += 1;
        self.edge_incarnations[index]
    }

    /// The version of the newest change that a coordinator acknowledged.
    pub fn acknowledged_version(&self) -> u64 {
        self.acknowledged_version
    }

    /// Schedules the operator's next change, or the same one again if it was rejected; whether it was accepted.
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

    /// Records the report of an edge that has a router, for edges that have none.
    pub fn record_report(&mut self, edge: usize, demand: &[Demand], server_outcomes: &[ServerOutcomes]) {
        if self.options.routing_edges < self.options.edges {
            let report = EdgeReport { demand: demand.to_vec(), server_outcomes: server_outcomes.to_vec() };
            self.reports[edge] = report;
        }
    }

    /// The report that an edge without a router sends: the last one of an edge that has a router.
    pub fn recorded_report(&self, edge: usize) -> EdgeReport {
        self.reports.get(edge % self.options.routing_edges.max(1)).cloned().unwrap_or_default()
    }
}
