//! A fleet of coordinators, edges and model servers, and the event loop that advances their virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::Millis;

use crate::coordinator_node::CoordinatorNode;
use crate::deployment;
use crate::edge_node::EdgeNode;
use crate::environment::{Environment, OPERATOR_RETRY_MS};
use crate::events::{CoordinatorEvent, ScheduledEvent, ServerEvent};
use crate::options::{Options, RESTARTS_PER_SECOND_PER_SERVER};
use crate::topology::{latency, zone_of};
use crate::usage::ResourceUsage;

/// The earliest time of a server's first heartbeat.
const FIRST_HEARTBEAT_DELAY_MS: Millis = 300;
/// The time at which the operator sends the first configuration.
const FIRST_CONFIG_DELAY_MS: Millis = 1_500;
/// How long a server's machine is down during a restart.
const SERVER_DOWNTIME_MS: Millis = 5_000;
/// The delay before a server resends a heartbeat to another coordinator because its own is down.
const HEARTBEAT_RETRY_MS: Millis = 50;
/// One in this many changes replaces a service with all its models; the others replace a route.
const CHANGES_PER_SERVICE_CHANGE: u64 = 10;

/// All nodes of an emulated fleet.
pub struct Fleet {
    /// State that the nodes share.
    pub environment: Environment,
    /// The coordinators, by index.
    pub coordinators: Vec<CoordinatorNode>,
    /// The edges, by index.
    pub edges: Vec<EdgeNode>,
    /// Servers whose machine is down, with the time at which it is up again.
    restarting_servers: BTreeMap<usize, Millis>,
}

impl Fleet {
    /// A fleet whose processes all start at time 0.
    pub fn new(options: Options) -> Self {
        let environment = Environment::new(options);
        let coordinators = (0..environment.options.coordinators).map(CoordinatorNode::new).collect();
        let edges = (0..environment.options.edges).map(EdgeNode::new).collect();
        let mut fleet = Fleet { environment, coordinators, edges, restarting_servers: BTreeMap::new() };
        fleet.start_all();
        fleet
    }

    fn start_all(&mut self) {
        for coordinator in &mut self.coordinators {
            coordinator.start(&mut self.environment, true);
        }
        for edge in &mut self.edges {
            edge.start(&mut self.environment);
        }
        let interval = self.environment.options.heartbeat_ms;
        for server in 0..self.environment.servers.len() {
            let first = FIRST_HEARTBEAT_DELAY_MS + self.environment.scheduler.rng.random_range(0..interval);
            self.schedule(first, ScheduledEvent::Server(server, ServerEvent::Heartbeat));
        }
        self.schedule(FIRST_CONFIG_DELAY_MS, ScheduledEvent::OperatorChange);
        self.schedule_server_restart();
    }

    /// Handles all events up to `until` and advances the clock to it. Returns false if the wall clock reached
    /// `deadline` first.
    pub fn run_until(&mut self, until: Millis, deadline: Option<Instant>) -> bool {
        let is_late = || deadline.is_some_and(|deadline| Instant::now() >= deadline);
        while let Some(event) = self.environment.scheduler.pop_until(until) {
            self.handle(event);
            if is_late() {
                return false;
            }
        }
        true
    }

    fn schedule(&mut self, delay: Millis, event: ScheduledEvent) {
        self.environment.scheduler.schedule_after(delay, event);
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Coordinator(index, incarnation, event) => {
                if self.environment.running_coordinator(index) == Some(incarnation) {
                    self.coordinators[index].handle(&mut self.environment, event);
                }
            }
            ScheduledEvent::Edge(index, incarnation, event) => {
                if self.environment.edge_incarnations[index] == incarnation {
                    self.edges[index].handle(&mut self.environment, event);
                }
            }
            ScheduledEvent::Server(index, event) => self.on_server_event(index, event),
            ScheduledEvent::OperatorChange => self.send_operator_change(),
            ScheduledEvent::ServerRestart => {
                let index = self.environment.scheduler.rng.random_range(0..self.environment.servers.len());
                self.restart_server(index);
                self.schedule_server_restart();
            }
        }
    }

    /// Restarts a server's machine. Requests in progress on it get no response.
    fn restart_server(&mut self, index: usize) {
        self.environment.servers[index].restart();
        // The heartbeat already scheduled falls into the downtime and is postponed until the machine is up again.
        self.restarting_servers.insert(index, self.environment.scheduler.now + SERVER_DOWNTIME_MS);
    }

    fn schedule_server_restart(&mut self) {
        let rate = RESTARTS_PER_SECOND_PER_SERVER * self.environment.options.servers as f64;
        if let Some(interval) = self.environment.scheduler.sample_interval(rate) {
            self.schedule(interval, ScheduledEvent::ServerRestart);
        }
    }

    fn on_server_event(&mut self, index: usize, event: ServerEvent) {
        match event {
            ServerEvent::Heartbeat => self.heartbeat(index),
            ServerEvent::Order { coordinator, incarnation, order, expected, body } => {
                let (outcome, duration) = self.environment.servers[index].on_order(&expected, *body);
                if let Some(duration) = duration {
                    self.schedule(duration, ScheduledEvent::Server(index, ServerEvent::OrderCompleted));
                }
                let event = CoordinatorEvent::OrderCompleted(order, outcome);
                self.respond_to_coordinator(index, coordinator, incarnation, event);
            }
            ServerEvent::OrderCompleted => {
                self.environment.completed_loads +=
                    u64::from(self.environment.servers[index].complete_order());
            }
            ServerEvent::FetchReport { coordinator, incarnation, expected } => {
                let server = &self.environment.servers[index];
                let report = (server.id == expected).then(|| Box::new(server.report()));
                self.respond_to_coordinator(
                    index,
                    coordinator,
                    incarnation,
                    CoordinatorEvent::ReportReceived(expected, report),
                );
            }
        }
    }

    fn respond_to_coordinator(
        &mut self,
        server: usize,
        coordinator: usize,
        incarnation: u64,
        event: CoordinatorEvent,
    ) {
        let delay = latency(zone_of(server), zone_of(coordinator));
        self.schedule(delay, ScheduledEvent::Coordinator(coordinator, incarnation, event));
    }

    fn heartbeat(&mut self, index: usize) {
        let now = self.environment.scheduler.now;
        if let Some(up_at) = self.restarting_servers.get(&index).copied().filter(|up_at| *up_at > now) {
            return self.schedule(up_at - now, ScheduledEvent::Server(index, ServerEvent::Heartbeat));
        }
        self.restarting_servers.remove(&index);
        let coordinator = self.environment.servers[index].coordinator;
        let Some(incarnation) = self.environment.running_coordinator(coordinator) else {
            let next = self.environment.scheduler.rng.random_range(0..self.environment.options.coordinators);
            self.environment.servers[index].coordinator = next;
            return self.schedule(HEARTBEAT_RETRY_MS, ScheduledEvent::Server(index, ServerEvent::Heartbeat));
        };
        let server = &mut self.environment.servers[index];
        let event =
            CoordinatorEvent::Heartbeat { server: index, id: server.id.clone(), body: server.heartbeat() };
        let delay = latency(zone_of(index), zone_of(coordinator));
        self.schedule(delay, ScheduledEvent::Coordinator(coordinator, incarnation, event));
        let interval = self.environment.options.heartbeat_ms;
        self.schedule(interval, ScheduledEvent::Server(index, ServerEvent::Heartbeat));
    }

    fn send_operator_change(&mut self) {
        let version = self.environment.acknowledged_version() + 1;
        let options = &self.environment.options;
        let body = match version {
            1 => deployment::configuration(options, version),
            version if version.is_multiple_of(CHANGES_PER_SERVICE_CHANGE) => {
                deployment::service_update(options, version)
            }
            version => deployment::route_update(options, version),
        };
        let running: Vec<usize> = (0..options.coordinators)
            .filter(|coordinator| self.environment.running_coordinator(*coordinator).is_some())
            .collect();
        let Some(coordinator) = running.get(version as usize % running.len().max(1)).copied() else {
            return self.schedule(OPERATOR_RETRY_MS, ScheduledEvent::OperatorChange);
        };
        let incarnation = self.environment.running_coordinator(coordinator).unwrap_or_default();
        let body = body.to_string().into_bytes();
        self.schedule(
            1,
            ScheduledEvent::Coordinator(coordinator, incarnation, CoordinatorEvent::OperatorChange(body)),
        );
    }

    /// Restarts an edge's process, which loses all its state.
    pub fn restart_edge(&mut self, index: usize) {
        self.edges[index].start(&mut self.environment);
    }

    /// Kills a coordinator's process.
    pub fn kill_coordinator(&mut self, index: usize) {
        self.coordinators[index].kill(&mut self.environment);
    }

    /// Starts a coordinator's process with the synced records of its journal. Returns the CPU time spent on replaying
    /// them.
    pub fn start_coordinator(&mut self, index: usize) -> Duration {
        self.coordinators[index].start(&mut self.environment, false)
    }

    /// Whether an edge can route requests. An edge without a router is usable once it has a configuration.
    pub fn edge_is_usable(&self, index: usize) -> bool {
        let edge = &self.edges[index];
        let now = self.environment.scheduler.now;
        match edge.routing() {
            Some(routing) => routing.router.is_usable(now),
            None => edge.version() > 0,
        }
    }

    /// Whether all edges are usable and every coordinator has all servers in its directory.
    pub fn is_ready(&self) -> bool {
        let servers = self.environment.options.servers;
        (0..self.edges.len()).all(|edge| self.edge_is_usable(edge))
            && (0..self.coordinators.len()).all(|coordinator| self.known_servers(coordinator) >= servers)
    }

    /// The version of the configuration in force at a coordinator; 0 while it is not running.
    pub fn config_version_of(&self, index: usize) -> u64 {
        self.coordinators[index].coordinator().map_or(0, |coordinator| coordinator.configuration_version())
    }

    /// Resets all usage counts to zero.
    pub fn reset_usage(&mut self) {
        self.coordinators.iter_mut().for_each(|coordinator| coordinator.usage = ResourceUsage::default());
        self.edges.iter_mut().for_each(|edge| edge.usage = ResourceUsage::default());
        self.environment.completed_loads = 0;
    }

    /// The number of client requests received by edges since the start of the run.
    pub fn client_requests(&self) -> u64 {
        self.environment.client_requests
    }

    /// The index of the coordinator that leads a shard; `None` if the shard has no leader.
    pub fn leader_of(&self, shard: u32) -> Option<usize> {
        self.coordinators.iter().position(|coordinator| {
            let shard = coordinator.coordinator().and_then(|coordinator| coordinator.shards().get(shard));
            shard.is_some_and(|shard| shard.replica.is_leader())
        })
    }

    /// The number of servers that are ready according to a coordinator's directory; 0 while it is not running.
    pub fn known_servers(&self, coordinator: usize) -> usize {
        let Some(coordinator) = self.coordinators[coordinator].coordinator() else { return 0 };
        coordinator.directory().records().filter(|record| record.presence == Presence::Ready).count()
    }
}
