//! A fleet: the coordinators, edges and model servers of one simulated system, with their options and their start.
//!
//! The submodules add the event loop, membership, calls of the operator and clients, fault injection, and failure reports.

mod clients;
mod event_loop;
mod faults;
mod membership;
mod processor_quota;
mod report;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use crate::coordinator::CoordinatorProcess;
use crate::disk::MachineDisk;
use crate::edge::Edge;
use crate::fixtures::{self, Models};
use crate::message::Message;
use crate::operator::Operator;
use crate::server::{ModelServer, ServerOptions};
use crate::world::{ScheduledEvent, Timer, World};
use processor_quota::ProcessorQuota;

/// Number of seed nodes that a settings file names.
const SEEDS: usize = 3;
/// Interval between attempts to open a journal, in milliseconds; as in the driver.
const OPEN_RETRY_INTERVAL: Millis = 100;
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
const LEASE: Millis = 3_000;
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
    /// The models that each server of the service with models has loaded at its start, by number; one entry for each server.
    pub initial_models: Vec<Vec<usize>>,
    /// Number of servers of the service without models.
    pub web_servers: u8,
    /// Number of machines that may fail at once (`hostsLost`).
    pub hosts_lost: u32,
    /// Number of zones over which coordinators are spread, one after the other.
    pub zones: u8,
    /// Number of zones that may fail at once (`faultTolerance.zones`).
    pub zones_lost: u32,
    /// Whether the seeds of the first start stand in one zone instead of being spread over the zones.
    pub seeds_in_one_zone: bool,
    /// Least time between orders of two lease holders, in milliseconds (`leaseMs`).
    pub order_lease: Millis,
    /// Interval of a server's heartbeats, in milliseconds (`heartbeatMs`).
    pub heartbeat: Millis,
    /// Latency of a write and its sync on the coordinators' disks, in milliseconds.
    pub disk_latency: RangeInclusive<Millis>,
    /// The models, and the capacity of the servers.
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
            zones: 1,
            zones_lost: 0,
            seeds_in_one_zone: false,
            order_lease: LEASE,
            heartbeat: 1_200,
            disk_latency: 0..=2,
            models: Models::default(),
            seed: 1,
        }
    }
}

/// The process of a machine.
pub(crate) enum Process {
    Coordinator(Box<CoordinatorProcess>),
    Edge(Box<Edge>),
    Server(Box<ModelServer>),
}

/// A message or a timer for a process that is frozen or has spent its quota; handled once it runs again.
pub(crate) enum DeferredEvent {
    Message(NodeId, Message),
    Timer(Timer),
}

/// A machine and the process that runs on it.
#[derive(Default)]
pub(crate) struct Machine {
    /// The running process; `None` while the machine is down.
    pub(crate) process: Option<Process>,
    /// Messages and timers that arrived while the process is frozen; `None` while it is not.
    pub(crate) frozen: Option<Vec<DeferredEvent>>,
    /// The quota of processor time; `None` if it is unlimited.
    pub(crate) quota: Option<ProcessorQuota>,
}

/// All machines of a simulated system, their shared state and their operator.
pub struct Fleet {
    /// Clock, random number generator, network and observer.
    pub world: World,
    /// The operator, who creates changes and sends them until they are answered.
    pub operator: Operator,
    pub(crate) options: FleetOptions,
    pub(crate) machines: BTreeMap<NodeId, Machine>,
    pub(crate) disks: BTreeMap<NodeId, MachineDisk>,
    pub(crate) seeds: BTreeMap<NodeId, Vec<NodeId>>,
    /// Models on the disks of machines whose model server is not running.
    pub(crate) model_disks: BTreeMap<NodeId, BTreeSet<String>>,
    /// Initial coordinators that have not been started yet. Their settings allow them to bootstrap the system.
    pub(crate) bootstrap: BTreeSet<NodeId>,
    /// All lists of coordinators so far, each with the time from which it is in effect.
    published_lists: Vec<(Millis, Vec<NodeId>)>,
}

impl Fleet {
    /// Creates a fleet; no machine is started.
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
        let distance = if fleet.options.seeds_in_one_zone { usize::from(fleet.options.zones) } else { 1 };
        let seeds: Vec<NodeId> = nodes.into_iter().step_by(distance).take(SEEDS).collect();
        let edges = (0..fleet.options.edges).map(fixtures::edge);
        for node in (0..fleet.options.coordinators).map(fixtures::coordinator).chain(edges) {
            fleet.seeds.insert(node, seeds.clone());
        }
        fleet
    }

    /// Creates and starts a fleet, and waits until all edges have applied a first configuration and can route to the servers,
    /// and until the machines have quorum contact.
    ///
    /// # Panics
    /// A condition does not hold within its time limit.
    pub fn ready(options: FleetOptions) -> Self {
        let mut fleet = Fleet::new(options);
        fleet.start_all();
        let first = fleet.replace();
        assert!(fleet.run_until(6_000, |fleet| fleet.is_applied_everywhere(first)), "{}", fleet.describe());
        let servers = fleet.servers().len();
        let known = |fleet: &Fleet| fleet.edges_knowing_servers(servers) == fleet.options.edges as usize;
        assert!(
            fleet.run_until(6_000, known),
            "coordinators or edges do not know all servers in time\n{}",
            fleet.describe()
        );
        fleet.run(crate::contact::CONTACT_PERIOD);
        fleet
    }

    /// Starts all coordinators and edges at random times within 300 ms, then the model servers.
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

    /// Starts the initial model servers.
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
        self.world.contact.set_coordinator(node, true);
    }

    /// Starts a model server on a machine; returns the identifier of the new incarnation.
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

    /// Starts a coordinator's or an edge's process unless one runs on the machine. A coordinator whose journal cannot be opened
    /// retries later.
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
                // The journal cannot be opened now: retry later.
                Err(_) => {
                    return self
                        .world
                        .schedule_at(self.world.now + OPEN_RETRY_INTERVAL, ScheduledEvent::Start(node))
                }
            },
            None => Process::Edge(Box::new(Edge::start(&settings, &mut self.world))),
        };
        self.bootstrap.remove(&node);
        self.machines.entry(node).or_default().process = Some(process);
        self.world.contact.set_running(self.world.now, node, true);
    }

    /// The number of the zone in which a machine stands.
    pub fn zone(&self, node: NodeId) -> u32 {
        node.0.wrapping_sub(fixtures::coordinator(0).0) % u32::from(self.options.zones)
    }

    /// The settings of a machine, parsed from the text of a settings file as in production.
    fn settings(&self, node: NodeId) -> Settings {
        let seeds = self.seeds.get(&node).cloned().unwrap_or_default();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:8146")).collect();
        let text = format!(
            "nodeName=node-{node}\nip={node}\nzone=zone-{}\nephemeralPorts=7660,7675\nseedNodes={}\nbootstrap={}\n\
             countsForQuorum={}\nheartbeatMs={}\nfaultTolerance.hostsLost={}\nfaultTolerance.zones={}\nbounds.drainMs={DRAIN}\n\
             bounds.convergenceMs={CONVERGENCE}\nbounds.leaseMs={}\nbounds.originWindowS={}\n\
             bounds.originOvershoot={ORIGIN_OVERSHOOT}\nbounds.retryRatio={RETRY_RATIO}\nbounds.retrySlack={RETRY_SLACK}\n\
             bounds.retryWindowS={}\n",
            self.zone(node),
            seeds.join(","),
            self.bootstrap.contains(&node),
            self.disks.contains_key(&node),
            self.options.heartbeat,
            self.options.hosts_lost,
            self.options.zones_lost,
            self.options.order_lease,
            ORIGIN_WINDOW / 1_000,
            RETRY_WINDOW / 1_000,
        );
        text.parse().expect("the settings text is valid")
    }
}
