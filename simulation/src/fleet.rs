//! The machines of a system, and the passing of time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use crate::coordinator::Coordinator;
use crate::disk::MachineDisk;
use crate::edge::Edge;
use crate::message::{Call, Message};
use crate::operator::Operator;
use crate::server::{ModelServer, ServerOptions};
use crate::site::{self, Models};
use crate::world::{Happening, Timer, World};

/// Seeds that a settings file names.
const SEEDS: usize = 3;
/// How far the list of operator and servers is behind (`seedLagS`).
const SEED_LAG: Millis = 3_000;
/// Between two attempts to open a journal, as in the driver.
const OPEN_AGAIN: Millis = 100;
/// `convergenceMs`.
pub(crate) const CONVERGENCE: Millis = 2_000;
/// `retryWindowS`, in milliseconds.
pub(crate) const RETRY_WINDOW: Millis = 10_000;
/// `retryRatio`.
pub(crate) const RETRY_RATIO: f64 = 0.1;
/// `retrySlack`.
pub(crate) const RETRY_SLACK: f64 = 12.0;
/// `drainMs`.
pub(crate) const DRAIN: Millis = 2_000;
/// `leaseMs`.
pub(crate) const LEASE: Millis = 3_000;
/// `originWindowS`, in milliseconds.
pub(crate) const ORIGIN_WINDOW: Millis = 5_000;
/// `originOvershoot`.
pub(crate) const ORIGIN_OVERSHOOT: f64 = 1.1;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Coordinators at the start.
    pub coordinators: u8,
    /// Edges.
    pub edges: u8,
    /// Servers of the service with models, and which models each holds from its start.
    pub holds: Vec<Vec<usize>>,
    /// Servers of the service without models.
    pub plain_servers: u8,
    /// Machines that may be lost at once (`hostsLost`).
    pub hosts_lost: u32,
    /// Between two heartbeats of a server.
    pub heartbeat: Millis,
    /// The time that a write with its sync takes on the coordinators' disks.
    pub disk: RangeInclusive<Millis>,
    /// What servers run.
    pub models: Models,
    /// Seed of all luck.
    pub seed: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            coordinators: 3,
            edges: 2,
            holds: vec![vec![0, 1], vec![0, 2]],
            plain_servers: 2,
            hosts_lost: 1,
            heartbeat: 1_200,
            disk: 0..=2,
            models: Models::default(),
            seed: 1,
        }
    }
}

/// What a machine's process is.
pub(crate) enum Process {
    Coordinator(Box<Coordinator>),
    Edge(Box<Edge>),
    Server(Box<ModelServer>),
}

/// Something that waits for a process that is frozen.
pub(crate) enum Waiting {
    Message(NodeId, Message),
    Timer(Timer),
}

/// A machine.
#[derive(Default)]
pub(crate) struct Machine {
    /// What runs, if anything does.
    pub(crate) process: Option<Process>,
    /// What waits while the process is frozen.
    pub(crate) frozen: Option<Vec<Waiting>>,
}

/// The machines of a system, and all that happens to them.
pub struct Fleet {
    /// Clock, luck, network and witness.
    pub world: World,
    /// The operator.
    pub operator: Operator,
    pub(crate) options: FleetOptions,
    pub(crate) machines: BTreeMap<NodeId, Machine>,
    pub(crate) disks: BTreeMap<NodeId, MachineDisk>,
    pub(crate) seeds: BTreeMap<NodeId, Vec<NodeId>>,
    /// Models on the disks of machines of servers.
    pub(crate) model_disks: BTreeMap<NodeId, BTreeSet<String>>,
    /// Coordinators that have never been started, while the whole system starts for the first time.
    pub(crate) bootstrap: BTreeSet<NodeId>,
    /// Coordinators that serve, as the operator's list has had them from each moment on.
    lists: Vec<(Millis, Vec<NodeId>)>,
}

impl Fleet {
    /// Machines that have not been started.
    pub fn new(options: FleetOptions) -> Self {
        let mut fleet = Fleet {
            world: World::new(options.seed),
            operator: Operator::new(options.models.clone()),
            machines: BTreeMap::new(),
            disks: BTreeMap::new(),
            seeds: BTreeMap::new(),
            model_disks: BTreeMap::new(),
            bootstrap: BTreeSet::new(),
            lists: Vec::new(),
            options,
        };
        let nodes: Vec<NodeId> = (0..fleet.options.coordinators).map(site::coordinator).collect();
        for node in &nodes {
            fleet.add_coordinator(*node);
            fleet.bootstrap.insert(*node);
        }
        fleet.lists = vec![(0, nodes.clone())];
        let seeds: Vec<NodeId> = nodes.into_iter().take(SEEDS).collect();
        let edges = (0..fleet.options.edges).map(site::edge);
        for node in (0..fleet.options.coordinators).map(site::coordinator).chain(edges) {
            fleet.seeds.insert(node, seeds.clone());
        }
        fleet
    }

    /// A fleet whose first configuration is in force at all edges, and which knows its servers.
    ///
    /// # Panics
    /// It doesn't come to that within ten seconds.
    pub fn ready(options: FleetOptions) -> Self {
        let mut fleet = Fleet::new(options);
        fleet.start_all();
        let first = fleet.replace();
        assert!(fleet.run_until(6_000, |fleet| fleet.is_in_force(first)), "{}", fleet.describe());
        let servers = fleet.servers().len();
        let known = |fleet: &Fleet| fleet.knowing_edges(servers) == fleet.options.edges as usize;
        assert!(fleet.run_until(6_000, known), "servers are not known\n{}", fleet.describe());
        fleet.run(crate::touch::CONTACT);
        fleet
    }

    /// Starts everything for the first time, within 300 ms.
    pub fn start_all(&mut self) {
        let coordinators = (0..self.options.coordinators).map(site::coordinator);
        let edges = (0..self.options.edges).map(site::edge);
        for node in coordinators.chain(edges) {
            let at = self.world.now + self.world.between(0..=300);
            self.world.at(at, Happening::Start(node));
        }
        self.run(300);
        self.start_servers();
    }

    /// Starts the model servers that the fleet begins with.
    pub fn start_servers(&mut self) {
        let holds = self.options.holds.clone();
        let mut number = 0;
        for holds in holds {
            self.start_server(site::server(number), site::LLM, holds);
            number += 1;
        }
        for _ in 0..self.options.plain_servers {
            self.start_server(site::server(number), site::WEB, Vec::new());
            number += 1;
        }
    }

    pub(crate) fn add_coordinator(&mut self, node: NodeId) {
        let seed = self.options.seed.wrapping_mul(31).wrapping_add(u64::from(node.0));
        self.disks.insert(node, MachineDisk::new(seed, self.options.disk.clone()));
        self.world.touch.set_core(node, true);
    }

    /// Starts a model server at a machine.
    pub fn start_server(&mut self, node: NodeId, service: &str, holds: Vec<usize>) -> ServerId {
        let options = ServerOptions {
            service: service.to_owned(),
            models: self.options.models.clone(),
            heartbeat: self.options.heartbeat,
            drain: DRAIN,
            holds,
        };
        let disk = self.model_disks.remove(&node).unwrap_or_default();
        self.world.begin_start(node);
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
        self.world.begin_start(node);
        self.world.network.set_power(node, true);
        let process = match self.disks.get(&node) {
            Some(disk) => match Coordinator::start(&settings, &mut self.world, disk) {
                Ok(coordinator) => Process::Coordinator(Box::new(coordinator)),
                // The disk refuses at present.
                Err(_) => return self.world.at(self.world.now + OPEN_AGAIN, Happening::Start(node)),
            },
            None => Process::Edge(Box::new(Edge::start(&settings, &mut self.world))),
        };
        self.bootstrap.remove(&node);
        self.machines.entry(node).or_default().process = Some(process);
        self.world.touch.set_running(self.world.now, node, true);
    }

    /// The settings file of a machine, as it stands now.
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

    /// Lets time pass.
    pub fn run(&mut self, duration: Millis) {
        self.run_to(self.world.now + duration);
    }

    fn run_to(&mut self, end: Millis) {
        while let Some(happening) = self.world.next(end) {
            self.happen(happening);
        }
        self.world.now = end;
    }

    /// Lets time pass until something holds; false if it doesn't within `limit`.
    pub fn run_until(&mut self, limit: Millis, holds: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.world.now + limit;
        while !holds(self) {
            let Some(next) = self.world.next_at().filter(|next| *next <= end) else {
                self.world.now = end;
                return holds(self);
            };
            self.run_to(next);
        }
        true
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival((from, to)) => {
                let arrivals = self.world.network.take(self.world.now, (from, to));
                for message in arrivals.messages {
                    self.deliver(from, to, message);
                }
                if let Some(again) = arrivals.again {
                    self.world.at(again, Happening::Arrival((from, to)));
                }
            }
            Happening::Timer { node, start, timer } => {
                if self.world.start_of(node) == start {
                    self.wake(node, timer);
                }
            }
            Happening::Start(node) => self.start(node),
            Happening::End { node, start } => {
                if self.world.start_of(node) == start {
                    self.kill(node);
                }
            }
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        if to == site::operator() {
            return self.operator.receive(&mut self.world, message);
        }
        let machine = self.machines.entry(to).or_default();
        if let Some(waiting) = &mut machine.frozen {
            return waiting.push(Waiting::Message(from, message));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&to) {
                    coordinator.receive(&mut self.world, disk, from, message);
                }
                self.end_coordinator_if_crashed(to);
            }
            Some(Process::Edge(edge)) => edge.receive(&mut self.world, message),
            Some(Process::Server(server)) => {
                server.receive(&mut self.world, from, message);
                self.end_server_if_over(to);
            }
            None => {
                if let Message::Call { number, call } = message {
                    // A poll's connection was up before: it is reset. Others find nobody.
                    let accepted = matches!(call, Call::Poll { .. });
                    self.world.send(to, from, Message::Refused { number, accepted });
                }
            }
        }
    }

    fn wake(&mut self, node: NodeId, timer: Timer) {
        if node == site::operator() {
            let list = self.coordinators_listed();
            return self.operator.wake(&mut self.world, timer, &list);
        }
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if let Some(waiting) = &mut machine.frozen {
            return waiting.push(Waiting::Timer(timer));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&node) {
                    coordinator.wake(&mut self.world, disk, timer);
                }
                self.end_coordinator_if_crashed(node);
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
        let list = self.coordinators_listed();
        if let Some(Machine { process: Some(Process::Server(server)), .. }) = self.machines.get_mut(&node) {
            server.wake(&mut self.world, timer, &list);
        }
        self.end_server_if_over(node);
    }

    /// A process that has come to its crash point is killed, or its machine loses power.
    fn end_coordinator_if_crashed(&mut self, node: NodeId) {
        if !self.coordinator(node).is_some_and(Coordinator::has_crashed) {
            return;
        }
        if self.world.chance(0.5) {
            self.kill(node);
        } else {
            self.lose_power(node);
        }
    }

    fn end_server_if_over(&mut self, node: NodeId) {
        if self.server(node).is_some_and(ModelServer::has_ended) {
            self.crash_server(node);
        }
    }

    /// No event reaches a machine's process from now on; what comes meanwhile waits.
    pub(crate) fn set_frozen(&mut self, node: NodeId) {
        if let Some(machine) = self.machines.get_mut(&node).filter(|machine| machine.process.is_some()) {
            machine.frozen.get_or_insert_default();
        }
    }

    /// What has waited reaches the process now.
    pub(crate) fn set_thawed(&mut self, node: NodeId) {
        let frozen = self.machines.get_mut(&node).and_then(|machine| machine.frozen.take());
        let mut waiting = frozen.unwrap_or_default();
        // Nobody says in which order a process looks at its sockets and its timers.
        match self.world.between(0..=2) {
            0 => {}
            1 => waiting.sort_by_key(|waiting| matches!(waiting, Waiting::Timer(_))),
            _ => waiting.sort_by_key(|waiting| !matches!(waiting, Waiting::Message(_, Message::Call { .. }))),
        }
        for waiting in waiting {
            match waiting {
                Waiting::Message(from, message) => self.deliver(from, node, message),
                Waiting::Timer(timer) => self.wake(node, timer),
            }
        }
    }

    // ---- Lists -----------------------------------------------------------------------------------------

    /// The coordinators that operator and servers know of.
    pub fn coordinators_listed(&self) -> Vec<NodeId> {
        let then = self.world.now.saturating_sub(SEED_LAG);
        let known = self.lists.iter().rev().find(|(since, _)| *since <= then).or(self.lists.first());
        known.map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }

    /// The coordinators that serve now, whether they run or not.
    pub fn coordinators(&self) -> Vec<NodeId> {
        self.lists.last().map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }

    pub(crate) fn set_coordinators(&mut self, nodes: Vec<NodeId>) {
        self.lists.push((self.world.now, nodes));
    }

    /// The edges.
    pub fn edges(&self) -> Vec<NodeId> {
        (0..self.options.edges).map(site::edge).collect()
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
    pub fn coordinator(&self, node: NodeId) -> Option<&Coordinator> {
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

    /// A settings file names other seeds from now on.
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
