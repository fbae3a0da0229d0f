//! The machines of a system, and the passing of time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use crate::coordinator::CoordinatorProcess;
use crate::disk::MachineDisk;
use crate::edge::Edge;
use crate::fixtures::{self, Models};
use crate::message::{Call, Message};
use crate::operator::Operator;
use crate::server::{ModelServer, ServerOptions};
use crate::world::{ScheduledEvent, Timer, World};

/// Number of seeds in a settings file.
const SEEDS: usize = 3;
/// Lag of the published list of coordinators (`seedLagS`), in milliseconds.
const SEED_LAG: Millis = 3_000;
/// Interval of attempts to open a journal, as in the driver, in milliseconds.
const OPEN_AGAIN: Millis = 100;
/// `convergenceMs`, in milliseconds.
pub(crate) const CONVERGENCE: Millis = 2_000;
/// `retryWindowS`, in milliseconds.
pub(crate) const RETRY_WINDOW: Millis = 10_000;
/// `retryRatio`: retries per request that the budget allows.
pub(crate) const RETRY_RATIO: f64 = 0.1;
/// `retrySlack`: retries that the budget allows beyond the ratio.
pub(crate) const RETRY_SLACK: f64 = 12.0;
/// `drainMs`, in milliseconds.
pub(crate) const DRAIN: Millis = 2_000;
/// `leaseMs`, in milliseconds.
pub(crate) const LEASE: Millis = 3_000;
/// `originWindowS`, in milliseconds.
pub(crate) const ORIGIN_WINDOW: Millis = 5_000;
/// `originOvershoot`: factor on the rate limit of the weight store.
pub(crate) const ORIGIN_OVERSHOOT: f64 = 1.1;

/// The size of a fleet and its settings.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of coordinators at the start.
    pub coordinators: u8,
    /// Number of edges.
    pub edges: u8,
    /// Servers of the service with models, with the models that each has loaded from its start.
    pub initial_models: Vec<Vec<usize>>,
    /// Servers of the service without models.
    pub web_servers: u8,
    /// Machines that may fail at once (`hostsLost`).
    pub hosts_lost: u32,
    /// Interval of a server's heartbeats, in milliseconds.
    pub heartbeat: Millis,
    /// Latency of a write with its sync on the coordinators' disks, in milliseconds.
    pub disk_latency: RangeInclusive<Millis>,
    /// The models and the capacity of the servers.
    pub models: Models,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            coordinators: 3,
            edges: 2,
            initial_models: vec![vec![0, 1], vec![0, 2]],
            web_servers: 2,
            hosts_lost: 1,
            heartbeat: 1_200,
            disk_latency: 0..=2,
            models: Models::default(),
            seed: 1,
        }
    }
}

/// The kinds of processes.
pub(crate) enum Process {
    Coordinator(Box<CoordinatorProcess>),
    Edge(Box<Edge>),
    Server(Box<ModelServer>),
}

/// An event for a frozen process, to be handled after the thaw.
pub(crate) enum Deferred {
    Message(NodeId, Message),
    Timer(Timer),
}

/// A machine and the process that runs on it.
#[derive(Default)]
pub(crate) struct Machine {
    /// The running process; `None` while the machine is down.
    pub(crate) process: Option<Process>,
    /// Messages and timers that arrived while the process is frozen; `None` while it is not.
    pub(crate) frozen: Option<Vec<Deferred>>,
}

/// All machines of a system, their virtual time and their operator.
pub struct Fleet {
    /// Clock, random number generator, network and observer.
    pub world: World,
    /// The operator, who writes changes and sends them until they are answered.
    pub operator: Operator,
    pub(crate) options: FleetOptions,
    pub(crate) machines: BTreeMap<NodeId, Machine>,
    pub(crate) disks: BTreeMap<NodeId, MachineDisk>,
    pub(crate) seeds: BTreeMap<NodeId, Vec<NodeId>>,
    /// Models on the disks of servers' machines, while no process runs there.
    pub(crate) model_disks: BTreeMap<NodeId, BTreeSet<String>>,
    /// Coordinators that bootstrap the system: those of the first start that have not been started yet.
    pub(crate) bootstrap: BTreeSet<NodeId>,
    /// Lists of coordinators, each with the time from which it was in effect.
    published_lists: Vec<(Millis, Vec<NodeId>)>,
}

impl Fleet {
    /// Creates a fleet whose machines have not been started.
    pub fn new(options: FleetOptions) -> Self {
        let mut fleet = Fleet {
            world: World::new(options.seed),
            operator: Operator::new(options.models.clone()),
            machines: BTreeMap::new(),
            disks: BTreeMap::new(),
            seeds: BTreeMap::new(),
            model_disks: BTreeMap::new(),
            bootstrap: BTreeSet::new(),
            published_lists: Vec::new(),
            options,
        };
        let nodes: Vec<NodeId> = (0..fleet.options.coordinators).map(fixtures::coordinator).collect();
        for node in &nodes {
            fleet.add_coordinator(*node);
            fleet.bootstrap.insert(*node);
        }
        fleet.published_lists = vec![(0, nodes.clone())];
        let seeds: Vec<NodeId> = nodes.into_iter().take(SEEDS).collect();
        let edges = (0..fleet.options.edges).map(fixtures::edge);
        for node in (0..fleet.options.coordinators).map(fixtures::coordinator).chain(edges) {
            fleet.seeds.insert(node, seeds.clone());
        }
        fleet
    }

    /// Starts a fleet and waits until all edges have applied a first configuration and know all servers.
    ///
    /// # Panics
    /// It doesn't come to that within ten seconds.
    pub fn ready(options: FleetOptions) -> Self {
        let mut fleet = Fleet::new(options);
        fleet.start_all();
        let first = fleet.replace();
        assert!(fleet.run_until(6_000, |fleet| fleet.is_applied_everywhere(first)), "{}", fleet.describe());
        let servers = fleet.servers().len();
        let known = |fleet: &Fleet| fleet.edges_knowing_servers(servers) == fleet.options.edges as usize;
        assert!(fleet.run_until(6_000, known), "servers are not known\n{}", fleet.describe());
        fleet.run(crate::contact::CONTACT_PERIOD);
        fleet
    }

    /// Starts everything for the first time, within 300 ms.
    pub fn start_all(&mut self) {
        let coordinators = (0..self.options.coordinators).map(fixtures::coordinator);
        let edges = (0..self.options.edges).map(fixtures::edge);
        for node in coordinators.chain(edges) {
            let at = self.world.now + self.world.random_range(0..=300);
            self.world.schedule_at(at, ScheduledEvent::Start(node));
        }
        self.run(300);
        self.start_servers();
    }

    /// Starts the model servers that the fleet begins with.
    pub fn start_servers(&mut self) {
        let initial_models = self.options.initial_models.clone();
        let mut number = 0;
        for initial_models in initial_models {
            self.start_server(fixtures::server(number), fixtures::LLM_SERVICE, initial_models);
            number += 1;
        }
        for _ in 0..self.options.web_servers {
            self.start_server(fixtures::server(number), fixtures::WEB_SERVICE, Vec::new());
            number += 1;
        }
    }

    pub(crate) fn add_coordinator(&mut self, node: NodeId) {
        let seed = self.options.seed.wrapping_mul(31).wrapping_add(u64::from(node.0));
        self.disks.insert(node, MachineDisk::new(seed, self.options.disk_latency.clone()));
        self.world.contact.set_core(node, true);
    }

    /// Starts a model server at a machine.
    pub fn start_server(&mut self, node: NodeId, service: &str, initial_models: Vec<usize>) -> ServerId {
        let options = ServerOptions {
            service: service.to_owned(),
            models: self.options.models.clone(),
            heartbeat: self.options.heartbeat,
            drain: DRAIN,
            initial_models,
        };
        let disk = self.model_disks.remove(&node).unwrap_or_default();
        self.world.begin_incarnation(node);
        let server = ModelServer::start(node, options, disk, &mut self.world);
        let id = server.id().clone();
        self.machines.entry(node).or_default().process = Some(Process::Server(Box::new(server)));
        id
    }

    /// Starts a coordinator's or an edge's process, at a machine where none runs.
    pub fn start(&mut self, node: NodeId) {
        if self.is_running(node) {
            return;
        }
        let settings = self.settings(node);
        self.world.begin_incarnation(node);
        self.world.network.set_power(node, true);
        let process = match self.disks.get(&node) {
            Some(disk) => match CoordinatorProcess::start(&settings, &mut self.world, disk) {
                Ok(coordinator) => Process::Coordinator(Box::new(coordinator)),
                // The journal can't be opened at present: retry.
                Err(_) => {
                    return self.world.schedule_at(self.world.now + OPEN_AGAIN, ScheduledEvent::Start(node))
                }
            },
            None => Process::Edge(Box::new(Edge::start(&settings, &mut self.world))),
        };
        self.bootstrap.remove(&node);
        self.machines.entry(node).or_default().process = Some(process);
        self.world.contact.set_running(self.world.now, node, true);
    }

    /// The settings of a machine, parsed from the text of a settings file.
    fn settings(&self, node: NodeId) -> Settings {
        let seeds = self.seeds.get(&node).cloned().unwrap_or_default();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:8146")).collect();
        let text = format!(
            "nodeName=node-{node}\nip={node}\nzone=a\nephemeralPorts=7660,7675\nseedNodes={}\nbootstrap={}\n\
             countsForQuorum={}\nheartbeatMs={}\nfaultTolerance.hostsLost={}\nbounds.drainMs={DRAIN}\n\
             bounds.convergenceMs={CONVERGENCE}\nbounds.leaseMs={LEASE}\nbounds.originWindowS={}\n\
             bounds.originOvershoot={ORIGIN_OVERSHOOT}\nbounds.retryRatio={RETRY_RATIO}\nbounds.retrySlack={RETRY_SLACK}\n\
             bounds.retryWindowS={}\n",
            seeds.join(","),
            self.bootstrap.contains(&node),
            self.disks.contains_key(&node),
            self.options.heartbeat,
            self.options.hosts_lost,
            ORIGIN_WINDOW / 1_000,
            RETRY_WINDOW / 1_000,
        );
        text.parse().expect("the settings are read")
    }

    // ---- Time ------------------------------------------------------------------------------------------

    /// Advances virtual time by a duration, in milliseconds.
    pub fn run(&mut self, duration: Millis) {
        self.run_to(self.world.now + duration);
    }

    fn run_to(&mut self, end: Millis) {
        while let Some(event) = self.world.pop_due(end) {
            self.handle_event(event);
        }
        self.world.now = end;
    }

    /// Advances virtual time until a condition holds; false if it doesn't within `limit`, in milliseconds.
    pub fn run_until(&mut self, limit: Millis, initial_models: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.world.now + limit;
        while !initial_models(self) {
            let Some(next) = self.world.next_event_at().filter(|next| *next <= end) else {
                self.world.now = end;
                return initial_models(self);
            };
            self.run_to(next);
        }
        true
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival((from, to)) => {
                let arrivals = self.world.network.take(self.world.now, (from, to));
                for message in arrivals.messages {
                    self.deliver(from, to, message);
                }
                if let Some(again) = arrivals.again {
                    self.world.schedule_at(again, ScheduledEvent::Arrival((from, to)));
                }
            }
            ScheduledEvent::Timer { node, incarnation, timer } => {
                if self.world.incarnation_of(node) == incarnation {
                    self.wake(node, timer);
                }
            }
            ScheduledEvent::Start(node) => self.start(node),
            ScheduledEvent::End { node, incarnation } => {
                if self.world.incarnation_of(node) == incarnation {
                    self.kill(node);
                }
            }
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        if to == fixtures::operator() {
            return self.operator.receive(&mut self.world, message);
        }
        let machine = self.machines.entry(to).or_default();
        if let Some(deferred) = &mut machine.frozen {
            return deferred.push(Deferred::Message(from, message));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&to) {
                    coordinator.receive(&mut self.world, disk, from, message);
                }
                self.reap_crashed_coordinator(to);
            }
            Some(Process::Edge(edge)) => edge.receive(&mut self.world, message),
            Some(Process::Server(server)) => {
                server.receive(&mut self.world, from, message);
                self.reap_exited_server(to);
            }
            None => {
                if let Message::Call { number, call } = message {
                    // A poll's connection existed before and is reset; other connections are refused.
                    let accepted = matches!(call, Call::Poll { .. });
                    self.world.send(to, from, Message::ConnectionFailed { number, accepted });
                }
            }
        }
    }

    fn wake(&mut self, node: NodeId, timer: Timer) {
        if node == fixtures::operator() {
            let list = self.published_coordinators();
            return self.operator.wake(&mut self.world, timer, &list);
        }
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if let Some(deferred) = &mut machine.frozen {
            return deferred.push(Deferred::Timer(timer));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&node) {
                    coordinator.wake(&mut self.world, disk, timer);
                }
                self.reap_crashed_coordinator(node);
            }
            Some(Process::Edge(edge)) => {
                let seeds = self.seeds.get(&node).map(Vec::as_slice).unwrap_or_default();
                edge.wake(&mut self.world, timer, seeds);
            }
            Some(Process::Server(_)) => self.wake_server(node, timer),
            None => {}
        }
    }

    fn wake_server(&mut self, node: NodeId, timer: Timer) {
        let list = self.published_coordinators();
        if let Some(Machine { process: Some(Process::Server(server)), .. }) = self.machines.get_mut(&node) {
            server.wake(&mut self.world, timer, &list);
        }
        self.reap_exited_server(node);
    }

    /// A process that has come to its crash point is killed, or its machine loses power.
    fn reap_crashed_coordinator(&mut self, node: NodeId) {
        if !self.coordinator(node).is_some_and(CoordinatorProcess::has_crashed) {
            return;
        }
        if self.world.random_bool(0.5) {
            self.kill(node);
        } else {
            self.lose_power(node);
        }
    }

    fn reap_exited_server(&mut self, node: NodeId) {
        if self.server(node).is_some_and(ModelServer::has_exited) {
            self.crash_server(node);
        }
    }

    /// Defers all events of a machine's process from now on.
    pub(crate) fn begin_freeze(&mut self, node: NodeId) {
        if let Some(machine) = self.machines.get_mut(&node).filter(|machine| machine.process.is_some()) {
            machine.frozen.get_or_insert_default();
        }
    }

    /// Delivers the deferred events to the process.
    pub(crate) fn end_freeze(&mut self, node: NodeId) {
        let frozen = self.machines.get_mut(&node).and_then(|machine| machine.frozen.take());
        let mut deferred = frozen.unwrap_or_default();
        // The order in which a thawed process sees its sockets and timers is not defined.
        match self.world.random_range(0..=2) {
            0 => {}
            1 => deferred.sort_by_key(|deferred| matches!(deferred, Deferred::Timer(_))),
            _ => deferred
                .sort_by_key(|deferred| !matches!(deferred, Deferred::Message(_, Message::Call { .. }))),
        }
        for deferred in deferred {
            match deferred {
                Deferred::Message(from, message) => self.deliver(from, node, message),
                Deferred::Timer(timer) => self.wake(node, timer),
            }
        }
    }

    // ---- Lists -----------------------------------------------------------------------------------------

    /// The list of coordinators that the operator and servers see, which lags behind by `seedLagS`.
    pub fn published_coordinators(&self) -> Vec<NodeId> {
        let then = self.world.now.saturating_sub(SEED_LAG);
        let known = self
            .published_lists
            .iter()
            .rev()
            .find(|(since, _)| *since <= then)
            .or(self.published_lists.first());
        known.map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }

    /// The current coordinators, whether they run or not.
    pub fn coordinators(&self) -> Vec<NodeId> {
        self.published_lists.last().map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }

    pub(crate) fn set_coordinators(&mut self, nodes: Vec<NodeId>) {
        self.published_lists.push((self.world.now, nodes));
    }

    /// The edges.
    pub fn edges(&self) -> Vec<NodeId> {
        (0..self.options.edges).map(fixtures::edge).collect()
    }

    /// The machines on which model servers run.
    pub fn servers(&self) -> Vec<NodeId> {
        let runs = |(_, machine): &(&NodeId, &Machine)| matches!(machine.process, Some(Process::Server(_)));
        self.machines.iter().filter(runs).map(|(node, _)| *node).collect()
    }

    /// Whether a process runs at a machine; a frozen one does.
    pub fn is_running(&self, node: NodeId) -> bool {
        self.machines.get(&node).is_some_and(|machine| machine.process.is_some())
    }

    /// Whether the process at a machine is frozen.
    pub fn is_frozen(&self, node: NodeId) -> bool {
        self.machines.get(&node).is_some_and(|machine| machine.frozen.is_some())
    }

    /// The coordinator at a machine, if one runs there.
    pub fn coordinator(&self, node: NodeId) -> Option<&CoordinatorProcess> {
        match self.machines.get(&node)?.process.as_ref()? {
            Process::Coordinator(coordinator) => Some(coordinator),
            _ => None,
        }
    }

    /// The edge at a machine, if one runs there.
    pub fn edge(&self, node: NodeId) -> Option<&Edge> {
        match self.machines.get(&node)?.process.as_ref()? {
            Process::Edge(edge) => Some(edge),
            _ => None,
        }
    }

    /// The model server at a machine, if one runs there.
    pub fn server(&self, node: NodeId) -> Option<&ModelServer> {
        match self.machines.get(&node)?.process.as_ref()? {
            Process::Server(server) => Some(server),
            _ => None,
        }
    }

    /// Replaces the seeds in a machine's settings file.
    pub fn set_seeds(&mut self, node: NodeId, seeds: Vec<NodeId>) {
        self.seeds.insert(node, seeds);
    }

    /// The machine whose process leads the shard of the configuration, as it sees that itself.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader_of(0)
    }

    /// The machine whose process leads a shard, as it sees that itself: the one with the newest term.
    pub fn leader_of(&self, shard: u32) -> Option<NodeId> {
        let leads = |node: &NodeId| {
            let replica = &self.coordinator(*node)?.core().shards().get(shard)?.replica;
            replica.is_leader().then(|| (replica.term(), *node))
        };
        self.coordinators().iter().filter_map(leads).max().map(|(_, node)| node)
    }

    /// Waits for a leader of the configuration's shard.
    ///
    /// # Panics
    /// There is none within six seconds.
    pub fn await_leader(&mut self) -> NodeId {
        assert!(self.run_until(6_000, |fleet| fleet.leader().is_some()), "no leader\n{}", self.describe());
        self.leader().expect("a leader")
    }
}
