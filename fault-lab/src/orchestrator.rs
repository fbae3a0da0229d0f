//! Plays a scenario: starts the fleet, sends the load, carries the time line out, and gives back what was seen.

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
use crate::fleet::{ready, Fleet, Node, CLIENTS_READY};
use crate::judge::{Band, Cpu, Run};
use crate::loopback::lock;
use crate::net::{at, Impairments, Links, Liveness};
use crate::plan::generate;
use crate::process::{cpu_s, guard};
use crate::scenario::{Fault, FaultKind, Scenario, Target};

/// The programs that are run.
#[derive(Clone, Debug)]
pub struct Programs {
    pub command: PathBuf,
    pub node: PathBuf,
}

/// For the list to hold all servers, and for nodes to follow it, before the load begins.
const LISTED: Duration = Duration::from_secs(60);
/// After the last answer, so that what the fleet does by itself is seen.
const AFTERWARDS: Duration = Duration::from_millis(300);
/// A way's breaking, in a zone whose connections are reset.
const RESETS_MS: u64 = 300;

/// Tells the agents of one backend: go on, say goodbye, or be gone at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Agent {
    On,
    Goodbye,
    Gone,
}

struct Orchestrator {
    run_state: Arc<RunState>,
    backends: Arc<Backends>,
    fleet: Arc<Fleet>,
    clients: Arc<Clients>,
    programs: Programs,
    ops: Vec<SocketAddr>,
    agents: Mutex<BTreeMap<String, watch::Sender<Agent>>>,
    /// Draws of whom a share strikes; each fault its own, so that taking it back finds the same ones.
    seed: u64,
}

/// The list's form asks for the time of a start by the common clock; nothing here is reckoned by it.
fn unix_ms() -> u64 {
    unix().as_millis() as u64
}

/// A fleet that stands until it is dropped, under the scenario's load.
pub struct Standing {
    orchestrator: Arc<Orchestrator>,
}

/// What a standing fleet did since it was last asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Live {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    pub hits: usize,
    pub misses: usize,
    pub fetches: usize,
}

impl Standing {
    /// Starts the fleet and its load; requests of other clients are served too.
    ///
    /// # Errors
    /// Where the fleet does not start.
    pub async fn start(scenario: &Scenario, programs: &Programs) -> io::Result<Standing> {
        let orchestrator = Orchestrator::start(scenario, scenario.seed, programs).await?;
        orchestrator.run_state.accepts_outside_clients.store(true, Ordering::Relaxed);
        orchestrator.run_state.warming_up.store(false, Ordering::Relaxed);
        orchestrator.run_state.start_clock();
        let clients = Arc::clone(&orchestrator.clients);
        tokio::spawn(async move { clients.run(|_| {}).await });
        Ok(Standing { orchestrator })
    }

    /// Where nodes read the list, and where it is changed.
    pub fn registry(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        (lock(&self.orchestrator.fleet.service).discovery(), self.orchestrator.ops.clone())
    }

    /// Each node with its clients' address and its door.
    pub fn nodes(&self) -> Vec<(String, SocketAddr, SocketAddr)> {
        self.orchestrator.fleet.nodes.iter().map(|n| (n.name.clone(), n.listen, *lock(&n.ops))).collect()
    }

    /// The cache servers and the origin.
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        let mut all = self.orchestrator.backends.all();
        all.push(Arc::clone(&self.orchestrator.backends.origin));
        all.iter().map(|backend| (backend.id.clone(), backend.addrs[backend.zone])).collect()
    }

    /// Figures since the last call.
    pub fn live(&self) -> Live {
        let tries = std::mem::take(&mut *lock(&self.orchestrator.clients.tries));
        let seen = std::mem::take(&mut *lock(&self.orchestrator.run_state.attempts));
        lock(&self.orchestrator.fleet.views.told).clear();
        let ends = |outcome: AttemptOutcome| {
            seen.iter().filter(|seen| seen.outcome == outcome && !seen.write).count()
        };
        let answers = |outcome: TryOutcome| tries.iter().filter(|one| one.outcome == outcome).count();
        Live {
            asked: tries.len(),
            served: answers(TryOutcome::Served),
            refused: answers(TryOutcome::Refused),
            hits: ends(AttemptOutcome::Hit),
            misses: ends(AttemptOutcome::Miss),
            fetches: seen.iter().filter(|seen| seen.server == ORIGIN).count(),
        }
    }
}

/// Plays it once. `progress` is told the time of the run, in seconds, now and then.
///
/// # Errors
/// Where the fleet does not start, which is no verdict on it.
pub async fn play(
    mut scenario: Scenario,
    seed: u64,
    programs: &Programs,
    progress: impl FnMut(f64),
) -> io::Result<Run> {
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
    let mut playing = Vec::new();
    for (n, fault) in scenario.faults.iter().enumerate() {
        let (orchestrator, fault) = (Arc::clone(&orchestrator), fault.clone());
        playing.push(tokio::spawn(async move { orchestrator.fault(n, &fault).await }));
    }
    clients.run(progress).await;
    let cpu = orchestrator.cpu_since(used, begin.elapsed());
    sleep(AFTERWARDS).await;
    lead.abort();
    let mut bands = Vec::new();
    for fault in playing {
        match fault.await {
            Ok(Ok(band)) => bands.push(band),
            Ok(Err(e)) => return Err(e),
            Err(e) => return Err(io::Error::other(e)),
        }
    }
    Ok(orchestrator.collect(bands, cpu))
}

impl Orchestrator {
    /// Starts all backends and processes, and waits until every node is ready.
    async fn start(scenario: &Scenario, seed: u64, programs: &Programs) -> io::Result<Arc<Orchestrator>> {
        let link = &scenario.link;
        let way = |delay_ms| Impairments { delay_ms, jitter_ms: link.jitter_ms, ..Impairments::default() };
        let same = Impairments { jitter_ms: 0.0, ..way(link.same_ms) };
        let links = Links::new(scenario.fleet.zones.len(), same, way(link.cross_ms));
        let plan = generate(scenario, seed);
        // The run begins when the fleet is ready; everything reads the time from then on.
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
        orchestrator.list(&backends.origin);
        for n in 0..scenario.fleet.servers {
            let backend = backends.add(format!("cache-{n}"), n, 0, true);
            orchestrator.list(&backend);
        }
        orchestrator.wait_for_list(scenario.fleet.servers + 1).await?;
        fleet.start_nodes().await?;
        Ok(orchestrator)
    }

    /// Processor time used so far: the lab's, the nodes', the replicas'.
    fn cpu_s(&self) -> [f64; 3] {
        let (nodes, replicas) = self.fleet.cpu_s();
        [cpu_s(std::process::id()).unwrap_or(0.0), nodes, replicas]
    }

    fn cpu_since(&self, before: [f64; 3], time: Duration) -> Cpu {
        let now = self.cpu_s();
        let cores = |n: usize| (now[n] - before[n]).max(0.0) / time.as_secs_f64();
        let of = std::thread::available_parallelism().map_or(0, usize::from);
        Cpu { lab: cores(0), nodes: cores(1), replicas: cores(2), of }
    }

    /// All that was seen.
    fn collect(&self, bands: Vec<Band>, cpu: Cpu) -> Run {
        let Orchestrator { run_state, backends, fleet, clients, seed, .. } = self;
        let zones: Vec<u8> = backends.all().iter().map(|backend| backend.zone as u8).collect();
        let take = |away: &Mutex<Vec<(f64, f64)>>| lock(away).clone();
        let panics =
            fleet.logs().into_iter().filter(|(_, log)| log.contains("panicked")).map(|(name, _)| name);
        let mut crashed = fleet.crashed();
        crashed.extend(panics);
        Run {
            scenario: run_state.scenario.clone(),
            seed: *seed,
            plan: run_state.plan.clone(),
            tries: std::mem::take(&mut lock(&clients.tries)),
            seen: std::mem::take(&mut lock(&run_state.attempts)),
            falls: std::mem::take(&mut lock(&run_state.overload_crashes)),
            told: std::mem::take(&mut lock(&fleet.views.told)),
            versions: std::mem::take(&mut lock(&fleet.views.versions)),
            foreign_ids: run_state.unknown_ids.load(Ordering::Relaxed) as u64,
            long_messages: fleet.views.long_messages.load(Ordering::Relaxed) as u64,
            away: fleet.nodes.iter().map(|node| take(&node.away)).collect(),
            crashed,
            server_zones: zones,
            bands,
            lateness: lock(&clients.lateness).clone(),
            cpu,
        }
    }

    // ---- Agents ------------------------------------------------------------------------------------------

    /// Starts a backend's agent.
    fn list(self: &Arc<Self>, backend: &Arc<Backend>) {
        let spec = &self.run_state.scenario;
        let kind = if backend.id == self.backends.origin.id { "origin" } else { "box" };
        let addr = backend.addrs[backend.zone];
        let entry = Entry {
            id: backend.id.clone(),
            addr,
            zone: spec.fleet.zones[backend.zone].clone(),
            kind: kind.to_owned(),
            cell: 0,
            state: State::Active,
            weight: 1.0,
            started_ms: backend.started_ms.load(Ordering::Relaxed),
        };
        let lease = Duration::from_secs_f64(spec.fleet.lease_s);
        let drain = Duration::from_secs_f64(spec.servers.drain_s);
        let (tell, mut told) = watch::channel(Agent::On);
        lock(&self.agents).insert(backend.id.clone(), tell);
        if spec.fleet.agent_processes {
            let started = self.start_agent(&entry);
            tokio::spawn(async move {
                let Ok(mut agent) = started else { return };
                let gone = told.wait_for(|told| *told != Agent::On).await.map_or(Agent::Gone, |told| *told);
                if gone == Agent::Goodbye {
                    if let Some(id) = agent.id() {
                        let id = id.to_string();
                        let _ = Command::new("kill").args(["-TERM", &id]).status().await;
                    }
                    let _ = agent.wait().await;
                }
                let id = agent.id();
                let _ = agent.kill().await;
                if let Some(id) = id {
                    guard('-', id);
                }
            });
            return;
        }
        let (ops, id) = (self.ops.clone(), backend.id.clone());
        tokio::spawn(async move {
            let duty = AgentConfig { entry, lease, drain, probe_addr: addr };
            let mut stop = told.clone();
            let stop = async move {
                let _ = stop.wait_for(|told| *told == Agent::Goodbye).await;
            };
            let mut changes = RegistryClient::new(ops);
            tokio::select! {
                ended = agent::run(&duty, &mut changes, stop, |what| tracing::debug!("{what}")) => {
                    if let Err(e) = ended {
                        tracing::warn!("agent of {id}: {e}");
                    }
                }
                _ = told.wait_for(|told| *told == Agent::Gone) => {}
            }
        });
    }

    fn start_agent(&self, entry: &Entry) -> io::Result<Child> {
        let list: Vec<String> = self.ops.iter().map(ToString::to_string).collect();
        let spec = &self.run_state.scenario;
        let mut command = Command::new(&self.programs.command);
        command.args(["agent", "--registry", &list.join(","), "--id", &entry.id]);
        command.args(["--addr", &entry.addr.to_string(), "--zone", &entry.zone, "--kind", &entry.kind]);
        command.args(["--lease-s", &spec.fleet.lease_s.to_string()]);
        command.args(["--drain-s", &spec.servers.drain_s.to_string()]);
        command.stdin(std::process::Stdio::null()).stderr(std::process::Stdio::null());
        let agent = command.kill_on_drop(true).spawn()?;
        if let Some(id) = agent.id() {
            guard('+', id);
        }
        Ok(agent)
    }

    fn tell_agent(&self, id: &str, what: Agent) {
        if let Some(agent) = lock(&self.agents).get(id) {
            agent.send_replace(what);
        }
    }

    async fn wait_for_list(&self, count: usize) -> io::Result<()> {
        let discovery = lock(&self.fleet.service).discovery();
        let until = Instant::now() + LISTED;
        loop {
            let list = fetch_list(discovery[0], ListRequest::Whole).await;
            if list.is_ok_and(|list| list.servers.len() >= count) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!("{count} servers are not listed in time")));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    // ---- Whom --------------------------------------------------------------------------------------------

    /// Those of `0..count` that are meant, the same ones each time for the same fault.
    fn struck(
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
        let struck = self.struck(whom, fault, count, |n| all[n].zone, 0);
        struck.into_iter().map(|n| Arc::clone(&all[n])).collect()
    }

    fn nodes(&self, whom: &Target, fault: usize) -> Vec<Arc<Node>> {
        let all = &self.fleet.nodes;
        let struck = self.struck(whom, fault, all.len(), |n| all[n].zone, 0);
        struck.into_iter().map(|n| Arc::clone(&all[n])).collect()
    }

    fn replicas(&self, whom: &Target, fault: usize) -> Vec<usize> {
        let zones = self.run_state.scenario.fleet.zones.len();
        self.struck(whom, fault, self.ops.len(), |n| n % zones, 1)
    }

    fn zone(&self, name: &str) -> usize {
        self.run_state.scenario.fleet.zones.iter().position(|zone| zone == name).unwrap_or(usize::MAX)
    }

    // ---- Faults ------------------------------------------------------------------------------------------

    /// Plays one fault and takes it back; when it was in force, in the run's time.
    async fn fault(self: &Arc<Self>, n: usize, fault: &Fault) -> io::Result<Band> {
        let lead = self.run_state.scenario.lead_s;
        sleep_until(at(self.run_state.started_at(), lead + fault.at_s)).await;
        let from_s = self.run_state.elapsed_s();
        let name = format!("{:?}", fault.kind);
        let name = name.split([' ', '{']).next().unwrap_or_default().to_owned();
        if let FaultKind::Replace { share, batch } = fault.kind {
            self.replace(share, batch, fault.for_s.unwrap_or(0.0)).await;
            return Ok(Band { name, from_s, to_s: Some(self.run_state.elapsed_s()) });
        }
        if let FaultKind::UpgradeNodes {} = fault.kind {
            let pause = fault.for_s.unwrap_or(0.0) / self.fleet.nodes.len() as f64;
            for node in &self.fleet.nodes {
                let next = Instant::now() + Duration::from_secs_f64(pause);
                // One that stands still would not end; its turn comes when it goes on.
                while lock(&node.away).last().is_some_and(|(_, back)| back.is_infinite()) {
                    sleep(Duration::from_millis(50)).await;
                }
                self.fleet.upgrade(node).await?;
                sleep_until(next).await;
            }
            return Ok(Band { name, from_s, to_s: Some(self.run_state.elapsed_s()) });
        }
        self.strike(n, &fault.kind).await?;
        let Some(length) = fault.for_s else {
            let passes = matches!(fault.kind, FaultKind::ColdServers { .. } | FaultKind::MoveDiscovery {});
            return Ok(Band { name, from_s, to_s: passes.then(|| self.run_state.elapsed_s()) });
        };
        sleep_until(at(self.run_state.started_at(), lead + fault.at_s + length)).await;
        self.take_back(n, &fault.kind).await?;
        Ok(Band { name, from_s, to_s: Some(self.run_state.elapsed_s()) })
    }

    async fn strike(self: &Arc<Self>, n: usize, what: &FaultKind) -> io::Result<()> {
        let cut = |way: Impairments| Impairments { cut: true, ..way };
        let usual = |way: Impairments| way;
        match what {
            FaultKind::KillServers { whom } => self.lose(&self.servers(whom, n), Liveness::Dead),
            FaultKind::SilenceServers { whom } => self.lose(&self.servers(whom, n), Liveness::Unreachable),
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
                self.servers(whom, n).iter().for_each(|backend| self.renew(backend));
            }
            FaultKind::DrainServers { whom } => {
                self.servers(whom, n).iter().for_each(|backend| self.tell_agent(&backend.id, Agent::Goodbye));
            }
            FaultKind::DisableServers { whom } => self.by_hand(whom, n, "disable").await,
            FaultKind::SlowOrigin { times } => self.backends.slow(&self.backends.origin, *times),
            FaultKind::StopOrigin {} => self.backends.pause(&self.backends.origin, true),
            FaultKind::KillNodes { whom } => self.kill_nodes(&self.nodes(whom, n)),
            FaultKind::StopNodes { whom } => {
                for node in self.nodes(whom, n) {
                    self.leave(&node);
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
                self.lose(&self.servers(&whom, n), Liveness::Unreachable);
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
                let breaks = |way: Impairments| Impairments { reset_ms: Some(RESETS_MS), ..way };
                self.backends.links().change(self.zone(zone), breaks, breaks);
            }
            FaultKind::RetryStorm { retries } => {
                self.clients.storm_retries.store(*retries, Ordering::Relaxed)
            }
            // The plan has them, or they are played above.
            FaultKind::Surge { .. }
            | FaultKind::FlashCrowd { .. }
            | FaultKind::Replace { .. }
            | FaultKind::UpgradeNodes {} => {}
        }
        Ok(())
    }

    async fn take_back(self: &Arc<Self>, n: usize, what: &FaultKind) -> io::Result<()> {
        let usual = |way: Impairments| way;
        match what {
            FaultKind::KillServers { whom }
            | FaultKind::SilenceServers { whom }
            | FaultKind::DrainServers { whom } => {
                self.servers(whom, n).iter().for_each(|backend| self.renew(backend));
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
            FaultKind::DisableServers { whom } => self.by_hand(whom, n, "enable").await,
            FaultKind::SlowOrigin { .. } => self.backends.slow(&self.backends.origin, 1.0),
            FaultKind::StopOrigin {} => self.backends.pause(&self.backends.origin, false),
            FaultKind::KillNodes { whom } => self.start_nodes(self.nodes(whom, n)).await?,
            FaultKind::StopNodes { whom } => {
                for node in self.nodes(whom, n) {
                    self.fleet.signal(&node, "CONT");
                    self.back(&node);
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

    /// Processes or machines are gone, their agents with them.
    fn lose(&self, backends: &[Arc<Backend>], how: Liveness) {
        for backend in backends {
            self.tell_agent(&backend.id, Agent::Gone);
            backend.liveness.send_replace(how);
        }
    }

    /// A process ends, if it had not, and the next one of its name starts.
    fn renew(self: &Arc<Self>, backend: &Arc<Backend>) {
        self.lose(std::slice::from_ref(backend), Liveness::Dead);
        self.restart(backend);
    }

    /// A server of this name starts anew, cold and empty, and is listed again.
    fn restart(self: &Arc<Self>, backend: &Arc<Backend>) {
        self.backends.restart(backend, unix_ms());
        self.list(backend);
    }

    async fn by_hand(&self, whom: &Target, n: usize, call: &str) {
        for backend in self.servers(whom, n) {
            for node in &self.fleet.nodes {
                if !self.fleet.by_hand(node, &backend.id, call).await {
                    tracing::warn!("{}: {call} {} did not go through", node.name, backend.id);
                }
            }
        }
    }

    /// The node does not answer from now on; its front notices later.
    fn leave(self: &Arc<Self>, node: &Arc<Node>) {
        lock(&node.away).push((self.run_state.elapsed_s(), f64::INFINITY));
        let (node, late) = (Arc::clone(node), self.run_state.scenario.load.notice_s);
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(late)).await;
            if lock(&node.away).last().is_some_and(|(_, to)| to.is_infinite()) {
                node.in_use.store(false, Ordering::Relaxed);
            }
        });
    }

    fn back(&self, node: &Node) {
        if let Some(last) = lock(&node.away).last_mut() {
            last.1 = self.run_state.elapsed_s();
        }
        node.in_use.store(true, Ordering::Relaxed);
    }

    fn kill_nodes(self: &Arc<Self>, nodes: &[Arc<Node>]) {
        for node in nodes {
            self.leave(node);
            self.fleet.kill(node);
        }
    }

    async fn start_nodes(&self, nodes: Vec<Arc<Node>>) -> io::Result<()> {
        for node in &nodes {
            self.fleet.launch(node)?;
        }
        for node in &nodes {
            ready(node.listen, CLIENTS_READY).await?;
            self.back(node);
        }
        Ok(())
    }

    /// Replaces servers by new ones, in batches over the time given: goodbye, drain, then a new one in its place.
    async fn replace(self: &Arc<Self>, share: f64, batch: usize, over_s: f64) {
        let count = (self.run_state.scenario.fleet.servers as f64 * share).round() as usize;
        let batches = count.div_ceil(batch).max(1);
        let pause = Duration::from_secs_f64(over_s / batches as f64);
        let drain = Duration::from_secs_f64(self.run_state.scenario.servers.drain_s);
        let old = self.backends.all();
        let mut work = tokio::task::JoinSet::new();
        for batch in old[..count].chunks(batch) {
            for backend in batch {
                self.tell_agent(&backend.id, Agent::Goodbye);
                let (orchestrator, backend) = (Arc::clone(self), Arc::clone(backend));
                work.spawn(async move {
                    sleep(drain).await;
                    backend.liveness.send_replace(Liveness::Dead);
                    let place = usize::from(backend.number);
                    let new = orchestrator.backends.add(format!("{}b", backend.id), place, unix_ms(), false);
                    orchestrator.list(&new);
                });
            }
            sleep(pause).await;
        }
        while work.join_next().await.is_some() {}
    }
}
