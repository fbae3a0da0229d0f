//! All nodes, and the passing of time.

use std::collections::BTreeMap;

use rand::Rng;
use shaletrail_protocol::internal::{Demand, OperatorResponse, ServerOutcomes};
use shaletrail_protocol::{Millis, NodeId};

use crate::core_node::CoreNode;
use crate::edge_node::EdgeNode;
use crate::ledger::{Kind, Ledger};
use crate::options::{Options, RESTARTS_A_SERVER};
use crate::schedule::{latency, zone_of, AtCore, AtServer, Happening, Schedule};
use crate::server::ServerNode;
use crate::site::{self, Popularity};

/// Coordinators that settings files name.
const SEEDS: usize = 3;
/// Processes start within this.
const STARTS_WITHIN: Millis = 300;
/// When the operator sends the first configuration.
const FIRST_CONFIGURATION: Millis = 1_500;
/// How long a server's machine is away when it restarts.
const SERVER_AWAY: Millis = 5_000;
/// The pause before a server calls another coordinator.
const SERVER_AGAIN: Millis = 50;
/// One change in so many replaces a service with all its models, the others a route.
const SERVICE_CHANGES: u64 = 10;
/// When the operator sends a change again.
pub const OPERATOR_AGAIN: Millis = 200;

/// What an edge reported.
type EdgeReported = (Vec<Demand>, Vec<ServerOutcomes>);

/// What all nodes share.
pub struct World {
    /// Sizes and rates.
    pub options: Options,
    /// Time, schedule and luck.
    pub schedule: Schedule,
    /// The model servers.
    pub servers: Vec<ServerNode>,
    /// The present start of each edge.
    pub edge_starts: Vec<u64>,
    /// How often busy models are asked for.
    pub popularity: Popularity,
    /// Heartbeats that were not taken.
    pub heartbeats_refused: u64,
    /// Requests that came to edges.
    pub requests_asked: u64,
    /// Loads of models, and of adapters, that were carried out.
    pub loads: u64,
    away: BTreeMap<usize, Millis>,
    core_starts: Vec<u64>,
    core_runs: Vec<bool>,
    reports: Vec<EdgeReported>,
    operator_version: u64,
}

impl World {
    /// The coordinators that settings files name.
    pub fn seeds(&self) -> Vec<NodeId> {
        (0..SEEDS.min(self.options.cores)).map(site::core_node).collect()
    }

    /// A process of a coordinator starts; which start it is.
    pub fn start_core(&mut self, place: usize) -> u64 {
        self.core_runs[place] = true;
        self.core_starts[place] += 1;
        self.core_starts[place]
    }

    /// A process of a coordinator has ended.
    pub fn stop_core(&mut self, place: usize) {
        self.core_runs[place] = false;
        self.core_starts[place] += 1;
    }

    /// The present start of a coordinator that runs.
    pub fn running_core(&self, place: usize) -> Option<u64> {
        let runs = self.core_runs.get(place).copied().unwrap_or_default();
        runs.then(|| self.core_starts[place])
    }

    /// A process of an edge starts; which start it is.
    pub fn start_edge(&mut self, place: usize) -> u64 {
        self.edge_starts[place] += 1;
        self.edge_starts[place]
    }

    /// The version of the newest change that was acknowledged.
    pub fn operator_version(&self) -> u64 {
        self.operator_version
    }

    /// A change has been answered; whether it is in force.
    pub fn operator_answered(&mut self, answer: &OperatorResponse) -> bool {
        let taken = matches!(answer, OperatorResponse::Done { .. });
        if taken {
            self.operator_version += 1;
            if let Some(pause) = self.schedule.pause(self.options.change_rate) {
                self.schedule.after(pause, Happening::Operator);
            }
        } else {
            self.schedule.after(OPERATOR_AGAIN, Happening::Operator);
        }
        taken
    }

    /// Keeps what a full edge reports, for edges that have no router.
    pub fn keep_report(&mut self, edge: usize, demand: &[Demand], observed: &[ServerOutcomes]) {
        if self.options.full_edges < self.options.edges {
            self.reports[edge] = (demand.to_vec(), observed.to_vec());
        }
    }

    /// What an edge without a router reports.
    pub fn report_like(&self, edge: usize) -> EdgeReported {
        self.reports.get(edge % self.options.full_edges.max(1)).cloned().unwrap_or_default()
    }
}

/// All nodes.
pub struct Fleet {
    /// What they share.
    pub world: World,
    /// The coordinators.
    pub cores: Vec<CoreNode>,
    /// The edges.
    pub edges: Vec<EdgeNode>,
}

impl Fleet {
    /// All machines, about to start for the first time.
    pub fn new(options: Options) -> Self {
        let contents = site::first_contents(&options);
        let servers = contents.into_iter().enumerate();
        let servers = servers.map(|(place, held)| ServerNode::new(&options, place, held)).collect();
        let world = World {
            schedule: Schedule::new(options.seed),
            servers,
            edge_starts: vec![0; options.edges],
            popularity: Popularity::of(options.busy_models()),
            heartbeats_refused: 0,
            requests_asked: 0,
            loads: 0,
            away: BTreeMap::new(),
            core_starts: vec![0; options.cores],
            core_runs: vec![false; options.cores],
            reports: vec![EdgeReported::default(); options.full_edges],
            operator_version: 0,
            options,
        };
        let cores = (0..world.options.cores).map(CoreNode::new).collect();
        let edges = (0..world.options.edges).map(EdgeNode::new).collect();
        let mut fleet = Fleet { world, cores, edges };
        fleet.start_all();
        fleet
    }

    fn start_all(&mut self) {
        for core in &mut self.cores {
            core.start(&mut self.world, true);
        }
        for edge in &mut self.edges {
            edge.start(&mut self.world);
        }
        let heartbeat = self.world.options.heartbeat_ms;
        for server in 0..self.world.servers.len() {
            let first = STARTS_WITHIN + self.world.schedule.random.random_range(0..heartbeat);
            self.world.schedule.after(first, Happening::Server(server, AtServer::Heartbeat));
        }
        self.world.schedule.after(FIRST_CONFIGURATION, Happening::Operator);
        self.arm_server_restart();
    }

    /// Lets time pass; false if the real time that a caller has is up before.
    pub fn run_until(&mut self, until: Millis, deadline: Option<std::time::Instant>) -> bool {
        let is_late = || deadline.is_some_and(|deadline| std::time::Instant::now() >= deadline);
        while let Some(happening) = self.world.schedule.next(until) {
            self.happens(happening);
            if is_late() {
                return false;
            }
        }
        true
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Core(place, start, what) => {
                if self.world.running_core(place) == Some(start) {
                    self.cores[place].happens(&mut self.world, what);
                }
            }
            Happening::Edge(place, start, what) => {
                if self.world.edge_starts[place] == start {
                    self.edges[place].happens(&mut self.world, what);
                }
            }
            Happening::Server(place, what) => self.at_server(place, what),
            Happening::Operator => self.change(),
            Happening::ServerRestarts => {
                let place = self.world.schedule.random.random_range(0..self.world.servers.len());
                self.restart_server(place);
                self.arm_server_restart();
            }
        }
    }

    // ---- Servers ---------------------------------------------------------------------------------------

    /// A server's machine restarts. What was under way there goes unanswered.
    pub fn restart_server(&mut self, place: usize) {
        self.world.servers[place].restart();
        // Its next heartbeat is the one that was due; a machine is away for longer.
        self.world.away.insert(place, self.world.schedule.now + SERVER_AWAY);
    }

    fn arm_server_restart(&mut self) {
        let rate = RESTARTS_A_SERVER * self.world.options.servers as f64;
        if let Some(pause) = self.world.schedule.pause(rate) {
            self.world.schedule.after(pause, Happening::ServerRestarts);
        }
    }

    fn at_server(&mut self, place: usize, what: AtServer) {
        match what {
            AtServer::Heartbeat => self.heartbeat(place),
            AtServer::Order { core, start, order, expected, body } => {
                let (outcome, takes) = self.world.servers[place].order(&expected, *body);
                if let Some(takes) = takes {
                    self.world.schedule.after(takes, Happening::Server(place, AtServer::OrderDone));
                }
                let what = AtCore::Ordered(order, outcome);
                self.answer_core(place, core, start, what);
            }
            AtServer::OrderDone => {
                self.world.loads += u64::from(self.world.servers[place].finish_order());
            }
            AtServer::Ask { core, start, expected } => {
                let server = &self.world.servers[place];
                let report = (server.id == expected).then(|| Box::new(server.report()));
                self.answer_core(place, core, start, AtCore::Reported(expected, report));
            }
        }
    }

    fn answer_core(&mut self, server: usize, core: usize, start: u64, what: AtCore) {
        let delay = latency(zone_of(server), zone_of(core));
        self.world.schedule.after(delay, Happening::Core(core, start, what));
    }

    fn heartbeat(&mut self, place: usize) {
        let now = self.world.schedule.now;
        if let Some(back) = self.world.away.get(&place).copied().filter(|back| *back > now) {
            return self.world.schedule.after(back - now, Happening::Server(place, AtServer::Heartbeat));
        }
        self.world.away.remove(&place);
        let core = self.world.servers[place].core;
        let Some(start) = self.world.running_core(core) else {
            let next = self.world.schedule.random.random_range(0..self.world.options.cores);
            self.world.servers[place].core = next;
            return self.world.schedule.after(SERVER_AGAIN, Happening::Server(place, AtServer::Heartbeat));
        };
        let server = &mut self.world.servers[place];
        let what = AtCore::Heartbeat { server: place, id: server.id.clone(), body: server.heartbeat() };
        let delay = latency(zone_of(place), zone_of(core));
        self.world.schedule.after(delay, Happening::Core(core, start, what));
        let heartbeat = self.world.options.heartbeat_ms;
        self.world.schedule.after(heartbeat, Happening::Server(place, AtServer::Heartbeat));
    }

    // ---- The operator ----------------------------------------------------------------------------------

    fn change(&mut self) {
        let version = self.world.operator_version + 1;
        let options = &self.world.options;
        let body = match version {
            1 => site::configuration(options, version),
            version if version.is_multiple_of(SERVICE_CHANGES) => site::service_update(options, version),
            version => site::route_update(options, version),
        };
        let running: Vec<usize> =
            (0..options.cores).filter(|core| self.world.running_core(*core).is_some()).collect();
        let Some(core) = running.get(version as usize % running.len().max(1)).copied() else {
            return self.world.schedule.after(OPERATOR_AGAIN, Happening::Operator);
        };
        let start = self.world.running_core(core).unwrap_or_default();
        let body = body.to_string().into_bytes();
        self.world.schedule.after(1, Happening::Core(core, start, AtCore::Operator(body)));
    }

    // ---- Starts and ends -------------------------------------------------------------------------------

    /// An edge's process starts anew.
    pub fn restart_edge(&mut self, place: usize) {
        self.edges[place].start(&mut self.world);
    }

    /// A coordinator's process is killed.
    pub fn kill_core(&mut self, place: usize) {
        self.cores[place].kill(&mut self.world);
    }

    /// A coordinator's process starts with what its disk holds; processor time that it took to read that.
    pub fn start_core(&mut self, place: usize) -> std::time::Duration {
        self.cores[place].start(&mut self.world, false)
    }

    // ---- What has come about ---------------------------------------------------------------------------

    /// Whether an edge has a configuration and knows servers.
    pub fn edge_is_usable(&self, place: usize) -> bool {
        let edge = &self.edges[place];
        let now = self.world.schedule.now;
        match edge.decisions() {
            Some(decisions) => decisions.router.is_usable(now),
            None => edge.version() > 0,
        }
    }

    /// Whether all edges are usable and all coordinators know all servers.
    pub fn is_complete(&self) -> bool {
        let servers = self.world.options.servers;
        (0..self.edges.len()).all(|edge| self.edge_is_usable(edge))
            && (0..self.cores.len()).all(|core| self.servers_known(core) >= servers)
    }

    /// The version in force at a coordinator; 0 while it does not run.
    pub fn core_version(&self, place: usize) -> u64 {
        self.cores[place].core().map_or(0, |core| core.configuration_version())
    }

    // ---- What was counted ------------------------------------------------------------------------------

    /// Begins all ledgers anew.
    pub fn clear_ledgers(&mut self) {
        self.cores.iter_mut().for_each(|core| core.ledger = Ledger::default());
        self.edges.iter_mut().for_each(|edge| edge.ledger = Ledger::default());
        self.world.loads = 0;
    }

    /// Requests that came to edges.
    pub fn requests_asked(&self) -> u64 {
        self.world.requests_asked
    }

    /// The place of the coordinator that leads a shard, if one does.
    pub fn leader_of(&self, shard: u32) -> Option<usize> {
        self.cores.iter().position(|core| {
            let shard = core.core().and_then(|core| core.shards().get(shard));
            shard.is_some_and(|shard| shard.replica.is_leader())
        })
    }

    /// Servers that a coordinator takes to be there.
    pub fn servers_known(&self, core: usize) -> usize {
        use shaletrail_protocol::internal::Presence;
        let Some(core) = self.cores[core].core() else { return 0 };
        core.directory().records().filter(|record| record.presence == Presence::Ready).count()
    }

    /// Bytes of one kind that all nodes sent.
    pub fn bytes_sent(&self, kind: Kind) -> u64 {
        let ledgers =
            self.cores.iter().map(|core| &core.ledger).chain(self.edges.iter().map(|edge| &edge.ledger));
        ledgers.filter_map(|ledger| ledger.sent.get(&kind)).map(|tally| tally.bytes).sum()
    }
}
