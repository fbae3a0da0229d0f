//! Runs a scenario: starts the fleet, sends the load, injects the faults at their times, and returns what was recorded.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use shaletrail_registry_client::agent::{self, AgentConfig};
use shaletrail_registry_client::client::RegistryClient;
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_client::driver::fetch_list;
use shaletrail_registry_client::follow::ListRequest;
use shaletrail_registry_protocol::{Entry, State};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

use crate::backends::{AttemptOutcome, Backend, Backends, RunState, ORIGIN};
use crate::clients::{Clients, TryOutcome};
use crate::evaluation::{Cpu, FaultInterval, RunRecord};
use crate::fleet::{wait_until_ready, Fleet, Node, CLIENT_READY_PATH};
use crate::loopback::lock;
use crate::net::{at, Impairments, Links, Liveness};
use crate::plan::generate;
use crate::process::{cpu_s, notify_reaper};
use crate::scenario::{Fault, FaultKind, Scenario, Target};

/// Paths of the programs that are started: `shaletrail-fleet` and the node.
#[derive(Clone, Debug)]
pub struct Programs {
    pub command: PathBuf,
    pub node: PathBuf,
}

/// How long the registry may take to list all servers before the nodes are started.
const LIST_TIMEOUT: Duration = Duration::from_secs(60);
/// How long recording goes on after the last response, to include work that the fleet does on its own.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Under the fault `reset_zone`, connections are reset after at most this time.
const RESET_AFTER_MS: u64 = 300;

/// A command to the agent of an emulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgentCommand {
    /// Keep the server registered.
    Run,
    /// Mark the server as leaving, drain it, then end.
    Drain,
    /// End at once, without deregistering.
    Kill,
}

struct Orchestrator {
    run_state: Arc<RunState>,
    backends: Arc<Backends>,
    fleet: Arc<Fleet>,
    clients: Arc<Clients>,
    programs: Programs,
    /// Addresses of the registry replicas at which the list is changed.
    ops: Vec<SocketAddr>,
    /// By server id: where its agent receives commands.
    agents: Mutex<BTreeMap<String, watch::Sender<AgentCommand>>>,
    /// Selects the targets of faults that hit a share. Each fault derives its own generator from it, so that reverting
    /// the fault selects the same targets again.
    seed: u64,
}

/// Wall-clock time for the field `started_ms` of a list entry. The lab itself does not depend on it.
fn unix_ms() -> u64 {
    unix().as_millis() as u64
}

/// A fleet under the scenario's load that runs until it is dropped, without faults or a verdict.
pub struct RunningFleet {
    orchestrator: Arc<Orchestrator>,
}

/// Counts of a running fleet since the last call of [`RunningFleet::live`].
#[derive(Clone, Copy, Debug, Default)]
pub struct LiveCounts {
    /// Tries by the lab's clients.
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    /// Cache hits and misses of reads, at the cache servers.
    pub hits: usize,
    pub misses: usize,
    /// Calls at the origin.
    pub fetches: usize,
}

impl RunningFleet {
    /// Starts the fleet and its load. Requests from clients outside of the lab are served too.
    ///
    /// # Errors
    /// When the fleet does not start.
    pub async fn start(scenario: &Scenario, programs: &Programs) -> io::Result<RunningFleet> {
        let orchestrator = Orchestrator::start(scenario, scenario.seed, programs).await?;
        orchestrator.run_state.accepts_outside_clients.store(true, Ordering::Relaxed);
        orchestrator.run_state.warming_up.store(false, Ordering::Relaxed);
        orchestrator.run_state.start_clock();
        let clients = Arc::clone(&orchestrator.clients);
        tokio::spawn(async move { clients.run(|_| {}).await });
        Ok(RunningFleet { orchestrator })
    }

    /// Addresses of the registry: those at which nodes read the list, and those at which it is changed.
    pub fn registry(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        (lock(&self.orchestrator.fleet.service).discovery(), self.orchestrator.ops.clone())
    }

    /// Each node's name, client address and operator address.
    pub fn nodes(&self) -> Vec<(String, SocketAddr, SocketAddr)> {
        self.orchestrator.fleet.nodes.iter().map(|n| (n.name.clone(), n.listen, *lock(&n.ops))).collect()
    }

    /// Id and address of each cache server and, last, of the origin.
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        let mut all = self.orchestrator.backends.all();
        all.push(Arc::clone(&self.orchestrator.backends.origin));
        all.iter().map(|backend| (backend.id.clone(), backend.addrs[backend.zone])).collect()
    }

    /// Counts since the last call, or since the start at the first one.
    pub fn live(&self) -> LiveCounts {
        let tries = std::mem::take(&mut *lock(&self.orchestrator.clients.tries));
        let seen = std::mem::take(&mut *lock(&self.orchestrator.run_state.attempts));
        lock(&self.orchestrator.fleet.proxies.notices).clear();
        let ends =
            |end: AttemptOutcome| seen.iter().filter(|seen| seen.outcome == end && !seen.write).count();
        let answers = |answer: TryOutcome| tries.iter().filter(|one| one.outcome == answer).count();
        LiveCounts {
            asked: tries.len(),
            served: answers(TryOutcome::Served),
            refused: answers(TryOutcome::Refused),
            hits: ends(AttemptOutcome::Hit),
            misses: ends(AttemptOutcome::Miss),
            fetches: seen.iter().filter(|seen| seen.server == ORIGIN).count(),
        }
    }
}

/// Runs a scenario once. `progress` is called repeatedly with the seconds since the start of the run.
///
/// # Errors
/// When the fleet does not start or a fault can't be injected; then there is no verdict.
pub async fn run_scenario(
    mut scenario: Scenario,
    seed: u64,
    programs: &Programs,
    progress: impl FnMut(f64),
) -> io::Result<RunRecord> {
    scenario.seed = seed;
    let orchestrator = Orchestrator::start(&scenario, seed, programs).await?;
    let Orchestrator { run_state, clients, .. } = &*orchestrator;
    let begin = run_state.start_clock();
    let used = orchestrator.cpu_s();
    let lead = {
        let (run_state, lead) = (Arc::clone(run_state), scenario.lead_s);
        tokio::spawn(async move {
            sleep_until(at(begin, lead)).await;
            run_state.warming_up.store(false, Ordering::Relaxed);
        })
    };
    let mut faults = Vec::new();
    for (n, fault) in scenario.faults.iter().enumerate() {
        let (orchestrator, fault) = (Arc::clone(&orchestrator), fault.clone());
        faults.push(tokio::spawn(async move { orchestrator.run_fault(n, &fault).await }));
    }
    clients.run(progress).await;
    let cpu = orchestrator.cpu_since(used, begin.elapsed());
    sleep(SETTLE_TIME).await;
    lead.abort();
    let mut bands = Vec::new();
    for fault in faults {
        match fault.await {
            Ok(Ok(band)) => bands.push(band),
            Ok(Err(e)) => return Err(e),
            Err(e) => return Err(io::Error::other(e)),
        }
    }
    Ok(orchestrator.collect(bands, cpu))
}

impl Orchestrator {
    /// Starts the emulated servers and all processes, and waits until every node is ready.
    async fn start(scenario: &Scenario, seed: u64, programs: &Programs) -> io::Result<Arc<Orchestrator>> {
        let link = &scenario.link;
        let way = |delay_ms| Impairments { delay_ms, jitter_ms: link.jitter_ms, ..Impairments::default() };
        let same = Impairments { jitter_ms: 0.0, ..way(link.same_ms) };
        let links = Links::new(scenario.fleet.zones.len(), same, way(link.cross_ms));
        let plan = generate(scenario, seed);
        // The run begins when the fleet is ready; until then the run's clock shows 0.
        let run_state = Arc::new(RunState::new(scenario.clone(), plan));
        let backends = Backends::new(Arc::clone(&run_state), links, seed);
        let fleet = Arc::new(Fleet::start(&run_state, &backends, &programs.command, &programs.node).await?);
        let clients = Clients::new(Arc::clone(&run_state), fleet.nodes.clone(), seed);
        let ops = lock(&fleet.service).ops();
        let orchestrator = Arc::new(Orchestrator {
            run_state: Arc::clone(&run_state),
            backends: Arc::clone(&backends),
            fleet: Arc::clone(&fleet),
            clients: Arc::clone(&clients),
            programs: programs.clone(),
            ops,
            agents: Mutex::default(),
            seed,
        });
        backends.open(&backends.origin);
        orchestrator.start_agent(&backends.origin);
        for n in 0..scenario.fleet.servers {
            let backend = backends.add(format!("cache-{n}"), n, 0, true);
            orchestrator.start_agent(&backend);
        }
        orchestrator.wait_for_list(scenario.fleet.servers + 1).await?;
        fleet.start_nodes().await?;
        Ok(orchestrator)
    }

    /// CPU time used so far, in seconds: by the lab, the nodes and the replicas.
    fn cpu_s(&self) -> [f64; 3] {
        let (nodes, replicas) = self.fleet.cpu_s();
        [cpu_s(std::process::id()).unwrap_or(0.0), nodes, replicas]
    }

    /// Mean number of cores in use over `time`, given the CPU time used `before` it.
    fn cpu_since(&self, before: [f64; 3], time: Duration) -> Cpu {
        let now = self.cpu_s();
        let cores = |n: usize| (now[n] - before[n]).max(0.0) / time.as_secs_f64();
        let of = std::thread::available_parallelism().map_or(0, usize::from);
        Cpu { lab: cores(0), nodes: cores(1), replicas: cores(2), of }
    }

    /// Takes everything that was recorded.
    fn collect(&self, bands: Vec<FaultInterval>, cpu: Cpu) -> RunRecord {
        let Orchestrator { run_state, backends, fleet, clients, seed, .. } = self;
        let zones: Vec<u8> = backends.all().iter().map(|backend| backend.zone as u8).collect();
        let take = |downtimes: &Mutex<Vec<(f64, f64)>>| lock(downtimes).clone();
        let panics =
            fleet.logs().into_iter().filter(|(_, log)| log.contains("panicked")).map(|(name, _)| name);
        let mut crashed = fleet.crashed();
        crashed.extend(panics);
        RunRecord {
            scenario: run_state.scenario.clone(),
            seed: *seed,
            plan: run_state.plan.clone(),
            tries: std::mem::take(&mut lock(&clients.tries)),
            seen: std::mem::take(&mut lock(&run_state.attempts)),
            falls: std::mem::take(&mut lock(&run_state.overload_crashes)),
            notices: std::mem::take(&mut lock(&fleet.proxies.notices)),
            versions: std::mem::take(&mut lock(&fleet.proxies.versions)),
            foreign_ids: run_state.unknown_ids.load(Ordering::Relaxed) as u64,
            long_messages: fleet.proxies.long_messages.load(Ordering::Relaxed) as u64,
            downtimes: fleet.nodes.iter().map(|node| take(&node.downtimes)).collect(),
            crashed,
            server_zones: zones,
            bands,
            lateness: lock(&clients.lateness).clone(),
            cpu,
        }
    }

    // ---- Agents ------------------------------------------------------------------------------------------

    /// Starts the agent that keeps a server registered in the list.
    fn start_agent(self: &Arc<Self>, backend: &Arc<Backend>) {
        let scenario = &self.run_state.scenario;
        let kind = if backend.id == self.backends.origin.id { "origin" } else { "box" };
        let addr = backend.addrs[backend.zone];
        let entry = Entry {
            id: backend.id.clone(),
            addr,
            zone: scenario.fleet.zones[backend.zone].clone(),
            kind: kind.to_owned(),
            cell: 0,
            state: State::Active,
            weight: 1.0,
            started_ms: backend.started_ms.load(Ordering::Relaxed),
        };
        let lease = Duration::from_secs_f64(scenario.fleet.lease_s);
        let drain = Duration::from_secs_f64(scenario.servers.drain_s);
        let (sender, mut commands) = watch::channel(AgentCommand::Run);
        lock(&self.agents).insert(backend.id.clone(), sender);
        if scenario.fleet.agent_processes {
            let started = self.spawn_agent_process(&entry);
            tokio::spawn(async move {
                let Ok(mut agent) = started else { return };
                let command = commands
                    .wait_for(|command| *command != AgentCommand::Run)
                    .await
                    .map_or(AgentCommand::Kill, |command| *command);
                if command == AgentCommand::Drain {
                    if let Some(id) = agent.id() {
                        let id = id.to_string();
                        let _ = Command::new("kill").args(["-TERM", &id]).status().await;
                    }
                    let _ = agent.wait().await;
                }
                let id = agent.id();
                let _ = agent.kill().await;
                if let Some(id) = id {
                    notify_reaper('-', id);
                }
            });
            return;
        }
        let (ops, id) = (self.ops.clone(), backend.id.clone());
        tokio::spawn(async move {
            let duty = AgentConfig { entry, lease, drain, probe_addr: addr };
            let mut drain_commands = commands.clone();
            let stop = async move {
                let _ = drain_commands.wait_for(|command| *command == AgentCommand::Drain).await;
            };
            let mut changes = RegistryClient::new(ops);
            tokio::select! {
                ended = agent::run(&duty, &mut changes, stop, |what| tracing::debug!("{what}")) => {
                    if let Err(e) = ended {
                        tracing::warn!("agent of {id} ended with an error: {e}");
                    }
                }
                _ = commands.wait_for(|command| *command == AgentCommand::Kill) => {}
            }
        });
    }

    fn spawn_agent_process(&self, entry: &Entry) -> io::Result<Child> {
        let list: Vec<String> = self.ops.iter().map(ToString::to_string).collect();
        let scenario = &self.run_state.scenario;
        let mut command = Command::new(&self.programs.command);
        command.args(["agent", "--registry", &list.join(","), "--id", &entry.id]);
        command.args(["--addr", &entry.addr.to_string(), "--zone", &entry.zone, "--kind", &entry.kind]);
        command.args(["--lease-s", &scenario.fleet.lease_s.to_string()]);
        command.args(["--drain-s", &scenario.servers.drain_s.to_string()]);
        command.stdin(std::process::Stdio::null()).stderr(std::process::Stdio::null());
        let agent = command.kill_on_drop(true).spawn()?;
        if let Some(id) = agent.id() {
            notify_reaper('+', id);
        }
        Ok(agent)
    }

    fn command_agent(&self, id: &str, command: AgentCommand) {
        if let Some(agent) = lock(&self.agents).get(id) {
            agent.send_replace(command);
        }
    }

    async fn wait_for_list(&self, count: usize) -> io::Result<()> {
        let discovery = lock(&self.fleet.service).discovery();
        let until = Instant::now() + LIST_TIMEOUT;
        loop {
            let list = fetch_list(discovery[0], ListRequest::Whole).await;
            if list.is_ok_and(|list| list.servers.len() >= count) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!(
                    "the registry did not list {count} servers within {} s",
                    LIST_TIMEOUT.as_secs()
                )));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    // ---- Targets of faults ----------------------------------------------------------------------------------

    /// Indices in `0..count` that `whom` selects; the same ones each time for the same fault. `zone` is the zone of an
    /// index. `first` is the number in the name of index 0: servers and nodes count from 0, replicas from 1.
    fn targets(
        &self,
        whom: &Target,
        fault: usize,
        count: usize,
        zone: impl Fn(usize) -> usize,
        first: usize,
    ) -> Vec<usize> {
        let all = 0..count;
        match whom {
            Target::All => all.collect(),
            Target::Zone(name) => {
                let wanted = self.zone(name);
                all.filter(|n| zone(*n) == wanted).collect()
            }
            Target::Share(share) => {
                let mut order: Vec<usize> = all.collect();
                order.shuffle(&mut StdRng::seed_from_u64(self.seed ^ (fault as u64 + 1)));
                order.truncate((count as f64 * share).round() as usize);
                order
            }
            Target::Count(n) => all.take(*n).collect(),
            Target::Name(name) => {
                let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
                digits.parse::<usize>().ok().and_then(|n| n.checked_sub(first)).into_iter().collect()
            }
        }
    }

    fn servers(&self, whom: &Target, fault: usize) -> Vec<Arc<Backend>> {
        let all = self.backends.all();
        let count = self.run_state.scenario.fleet.servers;
        let targets = self.targets(whom, fault, count, |n| all[n].zone, 0);
        targets.into_iter().map(|n| Arc::clone(&all[n])).collect()
    }

    fn nodes(&self, whom: &Target, fault: usize) -> Vec<Arc<Node>> {
        let all = &self.fleet.nodes;
        let targets = self.targets(whom, fault, all.len(), |n| all[n].zone, 0);
        targets.into_iter().map(|n| Arc::clone(&all[n])).collect()
    }

    fn replicas(&self, whom: &Target, fault: usize) -> Vec<usize> {
        let zones = self.run_state.scenario.fleet.zones.len();
        self.targets(whom, fault, self.ops.len(), |n| n % zones, 1)
    }

    /// Index of a zone; `usize::MAX`, which matches none, for an unknown name.
    fn zone(&self, name: &str) -> usize {
        self.run_state.scenario.fleet.zones.iter().position(|zone| zone == name).unwrap_or(usize::MAX)
    }

    // ---- Faults ------------------------------------------------------------------------------------------

    /// Injects one fault at its time and reverts it. Returns the interval in which it was active, in seconds from the
    /// start of the run.
    async fn run_fault(self: &Arc<Self>, n: usize, fault: &Fault) -> io::Result<FaultInterval> {
        let lead = self.run_state.scenario.lead_s;
        sleep_until(at(self.run_state.started_at(), lead + fault.at_s)).await;
        let from_s = self.run_state.elapsed_s();
        // Reports contain the name of the variant as its `Debug` form prints it.
        let name = format!("{:?}", fault.kind);
        let name = name.split([' ', '{']).next().unwrap_or_default().to_owned();
        if let FaultKind::Replace { share, batch } = fault.kind {
            self.replace(share, batch, fault.for_s.unwrap_or(0.0)).await;
            return Ok(FaultInterval { name, from_s, to_s: Some(self.run_state.elapsed_s()) });
        }
        if let FaultKind::UpgradeNodes {} = fault.kind {
            let pause = fault.for_s.unwrap_or(0.0) / self.fleet.nodes.len() as f64;
            for node in &self.fleet.nodes {
                let next = Instant::now() + Duration::from_secs_f64(pause);
                // A stopped process would not handle SIGTERM, so the upgrade waits until it continues.
                while lock(&node.downtimes).last().is_some_and(|(_, back)| back.is_infinite()) {
                    sleep(Duration::from_millis(50)).await;
                }
                self.fleet.upgrade(node).await?;
                sleep_until(next).await;
            }
            return Ok(FaultInterval { name, from_s, to_s: Some(self.run_state.elapsed_s()) });
        }
        self.inject(n, &fault.kind).await?;
        let Some(length) = fault.for_s else {
            let instantaneous =
                matches!(fault.kind, FaultKind::ColdServers { .. } | FaultKind::MoveDiscovery {});
            return Ok(FaultInterval {
                name,
                from_s,
                to_s: instantaneous.then(|| self.run_state.elapsed_s()),
            });
        };
        sleep_until(at(self.run_state.started_at(), lead + fault.at_s + length)).await;
        self.revert(n, &fault.kind).await?;
        Ok(FaultInterval { name, from_s, to_s: Some(self.run_state.elapsed_s()) })
    }

    async fn inject(self: &Arc<Self>, n: usize, what: &FaultKind) -> io::Result<()> {
        let cut = |way: Impairments| Impairments { cut: true, ..way };
        let usual = |way: Impairments| way;
        match what {
            FaultKind::KillServers { whom } => self.take_down(&self.servers(whom, n), Liveness::Dead),
            FaultKind::SilenceServers { whom } => {
                self.take_down(&self.servers(whom, n), Liveness::Unreachable)
            }
            FaultKind::PauseServers { whom } => {
                self.servers(whom, n).iter().for_each(|backend| self.backends.pause(backend, true));
            }
            FaultKind::SlowServers { whom, times } => {
                self.servers(whom, n).iter().for_each(|backend| self.backends.slow(backend, *times));
            }
            FaultKind::ServerErrors { whom, share, class } => {
                let classes = &self.run_state.scenario.classes;
                let class = class.as_ref().and_then(|name| classes.iter().position(|c| c.name == *name));
                let class = class.map(|n| n as u8);
                self.servers(whom, n).iter().for_each(|backend| backend.set_errors(*share, class));
            }
            FaultKind::ColdServers { whom } => {
                self.servers(whom, n).iter().for_each(|backend| self.kill_and_restart(backend));
            }
            FaultKind::DrainServers { whom } => {
                self.servers(whom, n)
                    .iter()
                    .for_each(|backend| self.command_agent(&backend.id, AgentCommand::Drain));
            }
            FaultKind::DisableServers { whom } => self.set_by_operator(whom, n, "disable").await,
            FaultKind::SlowOrigin { times } => self.backends.slow(&self.backends.origin, *times),
            FaultKind::StopOrigin {} => self.backends.pause(&self.backends.origin, true),
            FaultKind::KillNodes { whom } => self.kill_nodes(&self.nodes(whom, n)),
            FaultKind::StopNodes { whom } => {
                for node in self.nodes(whom, n) {
                    self.mark_down(&node);
                    self.fleet.signal(&node, "STOP");
                }
            }
            FaultKind::KillReplicas { whom } => {
                self.replicas(whom, n).into_iter().for_each(|n| lock(&self.fleet.service).kill(n));
            }
            FaultKind::StopReplicas { whom } => {
                for n in self.replicas(whom, n) {
                    lock(&self.fleet.service).process(n).signal("STOP");
                }
            }
            FaultKind::MoveDiscovery {} => self.fleet.move_discovery().await?,
            FaultKind::LoseZone { zone, nodes } => {
                let whom = Target::Zone(zone.clone());
                self.take_down(&self.servers(&whom, n), Liveness::Unreachable);
                if *nodes {
                    self.kill_nodes(&self.nodes(&whom, n));
                }
            }
            FaultKind::CutZone { zone, one_way } => {
                let links = self.backends.links();
                links.change(self.zone(zone), cut, if *one_way { usual } else { cut });
            }
            FaultKind::SlowZone { zone, delay_ms, jitter_ms, loss, kb_per_s } => {
                let slow = |way: Impairments| Impairments {
                    delay_ms: way.delay_ms + delay_ms,
                    jitter_ms: way.jitter_ms + jitter_ms,
                    loss: *loss,
                    kb_per_s: *kb_per_s,
                    ..way
                };
                self.backends.links().change(self.zone(zone), slow, slow);
            }
            FaultKind::ResetZone { zone } => {
                let breaks = |way: Impairments| Impairments { reset_ms: Some(RESET_AFTER_MS), ..way };
                self.backends.links().change(self.zone(zone), breaks, breaks);
            }
            FaultKind::RetryStorm { retries } => {
                self.clients.storm_retries.store(*retries, Ordering::Relaxed)
            }
            // Surges and flash crowds are part of the load plan; the other two are handled in `run_fault`.
            FaultKind::Surge { .. }
            | FaultKind::FlashCrowd { .. }
            | FaultKind::Replace { .. }
            | FaultKind::UpgradeNodes {} => {}
        }
        Ok(())
    }

    async fn revert(self: &Arc<Self>, n: usize, what: &FaultKind) -> io::Result<()> {
        let usual = |way: Impairments| way;
        match what {
            FaultKind::KillServers { whom }
            | FaultKind::SilenceServers { whom }
            | FaultKind::DrainServers { whom } => {
                self.servers(whom, n).iter().for_each(|backend| self.kill_and_restart(backend));
            }
            FaultKind::PauseServers { whom } => {
                self.servers(whom, n).iter().for_each(|backend| self.backends.pause(backend, false));
            }
            FaultKind::SlowServers { whom, .. } => {
                self.servers(whom, n).iter().for_each(|backend| self.backends.slow(backend, 1.0));
            }
            FaultKind::ServerErrors { whom, .. } => {
                let usual = self.run_state.scenario.servers.errors;
                self.servers(whom, n).iter().for_each(|backend| backend.set_errors(usual, None));
            }
            FaultKind::DisableServers { whom } => self.set_by_operator(whom, n, "enable").await,
            FaultKind::SlowOrigin { .. } => self.backends.slow(&self.backends.origin, 1.0),
            FaultKind::StopOrigin {} => self.backends.pause(&self.backends.origin, false),
            FaultKind::KillNodes { whom } => self.start_nodes(self.nodes(whom, n)).await?,
            FaultKind::StopNodes { whom } => {
                for node in self.nodes(whom, n) {
                    self.fleet.signal(&node, "CONT");
                    self.mark_up(&node);
                }
            }
            FaultKind::KillReplicas { whom } => {
                self.replicas(whom, n).into_iter().for_each(|n| lock(&self.fleet.service).launch(n));
            }
            FaultKind::StopReplicas { whom } => {
                for n in self.replicas(whom, n) {
                    lock(&self.fleet.service).process(n).signal("CONT");
                }
            }
            FaultKind::LoseZone { zone, nodes } => {
                let whom = Target::Zone(zone.clone());
                for backend in self.servers(&whom, n) {
                    self.restart(&backend);
                }
                if *nodes {
                    self.start_nodes(self.nodes(&whom, n)).await?;
                }
            }
            FaultKind::CutZone { zone, .. }
            | FaultKind::SlowZone { zone, .. }
            | FaultKind::ResetZone { zone } => {
                self.backends.links().change(self.zone(zone), usual, usual);
            }
            FaultKind::RetryStorm { .. } => self.clients.storm_retries.store(0, Ordering::Relaxed),
            FaultKind::ColdServers { .. }
            | FaultKind::MoveDiscovery {}
            | FaultKind::Surge { .. }
            | FaultKind::FlashCrowd { .. }
            | FaultKind::Replace { .. }
            | FaultKind::UpgradeNodes {} => {}
        }
        Ok(())
    }

    /// Takes servers down (see [`Life`] for how), and kills their agents.
    fn take_down(&self, backends: &[Arc<Backend>], how: Liveness) {
        for backend in backends {
            self.command_agent(&backend.id, AgentCommand::Kill);
            backend.liveness.send_replace(how);
        }
    }

    /// Kills a server's process, if it is up, and restarts it.
    fn kill_and_restart(self: &Arc<Self>, backend: &Arc<Backend>) {
        self.take_down(std::slice::from_ref(backend), Liveness::Dead);
        self.restart(backend);
    }

    /// Restarts a server under the same id, cold and with an empty cache, and registers it again.
    fn restart(self: &Arc<Self>, backend: &Arc<Backend>) {
        self.backends.restart(backend, unix_ms());
        self.start_agent(backend);
    }

    /// Calls `disable` or `enable` for the targets at every node.
    async fn set_by_operator(&self, whom: &Target, n: usize, call: &str) {
        for backend in self.servers(whom, n) {
            for node in &self.fleet.nodes {
                if !self.fleet.set_by_operator(node, &backend.id, call).await {
                    tracing::warn!("{}: operator call `{call}` for {} failed", node.name, backend.id);
                }
            }
        }
    }

    /// Records that a node is down from now on. Its zone's load balancer stops using it `notice_s` later.
    fn mark_down(self: &Arc<Self>, node: &Arc<Node>) {
        lock(&node.downtimes).push((self.run_state.elapsed_s(), f64::INFINITY));
        let (node, delay_s) = (Arc::clone(node), self.run_state.scenario.load.notice_s);
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(delay_s)).await;
            if lock(&node.downtimes).last().is_some_and(|(_, to)| to.is_infinite()) {
                node.in_rotation.store(false, Ordering::Relaxed);
            }
        });
    }

    /// Records that a node is up again; its zone's load balancer uses it at once.
    fn mark_up(&self, node: &Node) {
        if let Some(last) = lock(&node.downtimes).last_mut() {
            last.1 = self.run_state.elapsed_s();
        }
        node.in_rotation.store(true, Ordering::Relaxed);
    }

    fn kill_nodes(self: &Arc<Self>, nodes: &[Arc<Node>]) {
        for node in nodes {
            self.mark_down(node);
            self.fleet.kill(node);
        }
    }

    async fn start_nodes(&self, nodes: Vec<Arc<Node>>) -> io::Result<()> {
        for node in &nodes {
            self.fleet.launch(node)?;
        }
        for node in &nodes {
            wait_until_ready(node.listen, CLIENT_READY_PATH).await?;
            self.mark_up(node);
        }
        Ok(())
    }

    /// Replaces a share of the servers in batches, spread over `over_s` seconds. Each server is drained, then killed,
    /// and a new server with a new id starts in its place.
    async fn replace(self: &Arc<Self>, share: f64, batch: usize, over_s: f64) {
        let count = (self.run_state.scenario.fleet.servers as f64 * share).round() as usize;
        let batches = count.div_ceil(batch).max(1);
        let pause = Duration::from_secs_f64(over_s / batches as f64);
        let drain = Duration::from_secs_f64(self.run_state.scenario.servers.drain_s);
        let old = self.backends.all();
        let mut work = tokio::task::JoinSet::new();
        for batch in old[..count].chunks(batch) {
            for backend in batch {
                self.command_agent(&backend.id, AgentCommand::Drain);
                let (orchestrator, backend) = (Arc::clone(self), Arc::clone(backend));
                work.spawn(async move {
                    sleep(drain).await;
                    backend.liveness.send_replace(Liveness::Dead);
                    let place = usize::from(backend.number);
                    let new = orchestrator.backends.add(format!("{}b", backend.id), place, unix_ms(), false);
                    orchestrator.start_agent(&new);
                });
            }
            sleep(pause).await;
        }
        while work.join_next().await.is_some() {}
    }
}
