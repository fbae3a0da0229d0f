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
use shaletrail_registry_client::agent::{self, Duty};
use shaletrail_registry_client::changes::Changes;
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_client::driver::ask;
use shaletrail_registry_client::follow::Ask;
use shaletrail_registry_protocol::{Entry, State};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

use crate::clients::{Answer, Clients};
use crate::evaluation::{Cpu, FaultInterval, RunRecord};
use crate::fleet::{wait_until_ready, Fleet, Node, CLIENT_READY_PATH};
use crate::net::{at, Life, Links, Way};
use crate::parties::{Book, End, Parties, Party, ORIGIN};
use crate::party::lock;
use crate::plan::draw;
use crate::process::{cpu_s, notify_reaper};
use crate::scenario::{Fault, Scenario, What, Whom};

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
    book: Arc<Book>,
    parties: Arc<Parties>,
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
        orchestrator.book.open.store(true, Ordering::Relaxed);
        orchestrator.book.leading.store(false, Ordering::Relaxed);
        orchestrator.book.begin();
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
        let mut all = self.orchestrator.parties.all();
        all.push(Arc::clone(&self.orchestrator.parties.origin));
        all.iter().map(|party| (party.id.clone(), party.addrs[party.zone])).collect()
    }

    /// Counts since the last call, or since the start at the first one.
    pub fn live(&self) -> LiveCounts {
        let tries = std::mem::take(&mut *lock(&self.orchestrator.clients.tries));
        let seen = std::mem::take(&mut *lock(&self.orchestrator.book.seen));
        lock(&self.orchestrator.fleet.proxies.notices).clear();
        let ends = |end: End| seen.iter().filter(|seen| seen.end == end && !seen.write).count();
        let answers = |answer: Answer| tries.iter().filter(|one| one.answer == answer).count();
        LiveCounts {
            asked: tries.len(),
            served: answers(Answer::Served),
            refused: answers(Answer::Refused),
            hits: ends(End::Hit),
            misses: ends(End::Miss),
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
    let Orchestrator { book, clients, .. } = &*orchestrator;
    let begin = book.begin();
    let used = orchestrator.cpu_s();
    let lead = {
        let (book, lead) = (Arc::clone(book), scenario.lead_s);
        tokio::spawn(async move {
            sleep_until(at(begin, lead)).await;
            book.leading.store(false, Ordering::Relaxed);
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
        let way = |delay_ms| Way { delay_ms, jitter_ms: link.jitter_ms, ..Way::default() };
        let same = Way { jitter_ms: 0.0, ..way(link.same_ms) };
        let links = Links::new(scenario.fleet.zones.len(), same, way(link.cross_ms));
        let plan = draw(scenario, seed);
        // The run begins when the fleet is ready; until then the run's clock shows 0.
        let book = Arc::new(Book::new(scenario.clone(), plan));
        let parties = Parties::new(Arc::clone(&book), links, seed);
        let fleet = Arc::new(Fleet::start(&book, &parties, &programs.command, &programs.node).await?);
        let clients = Clients::new(Arc::clone(&book), fleet.nodes.clone(), seed);
        let ops = lock(&fleet.service).ops();
        let orchestrator = Arc::new(Orchestrator {
            book: Arc::clone(&book),
            parties: Arc::clone(&parties),
            fleet: Arc::clone(&fleet),
            clients: Arc::clone(&clients),
            programs: programs.clone(),
            ops,
            agents: Mutex::default(),
            seed,
        });
        parties.open(&parties.origin);
        orchestrator.start_agent(&parties.origin);
        for n in 0..scenario.fleet.servers {
            let party = parties.add(format!("cache-{n}"), n, 0, true);
            orchestrator.start_agent(&party);
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
        let Orchestrator { book, parties, fleet, clients, seed, .. } = self;
        let zones: Vec<u8> = parties.all().iter().map(|party| party.zone as u8).collect();
        let take = |downtimes: &Mutex<Vec<(f64, f64)>>| lock(downtimes).clone();
        let panics =
            fleet.logs().into_iter().filter(|(_, log)| log.contains("panicked")).map(|(name, _)| name);
        let mut crashed = fleet.crashed();
        crashed.extend(panics);
        RunRecord {
            scenario: book.scenario.clone(),
            seed: *seed,
            plan: book.plan.clone(),
            tries: std::mem::take(&mut lock(&clients.tries)),
            seen: std::mem::take(&mut lock(&book.seen)),
            falls: std::mem::take(&mut lock(&book.falls)),
            notices: std::mem::take(&mut lock(&fleet.proxies.notices)),
            versions: std::mem::take(&mut lock(&fleet.proxies.versions)),
            foreign_ids: book.foreign.load(Ordering::Relaxed) as u64,
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
    fn start_agent(self: &Arc<Self>, party: &Arc<Party>) {
        let scenario = &self.book.scenario;
        let kind = if party.id == self.parties.origin.id { "origin" } else { "box" };
        let addr = party.addrs[party.zone];
        let entry = Entry {
            id: party.id.clone(),
            addr,
            zone: scenario.fleet.zones[party.zone].clone(),
            kind: kind.to_owned(),
            cell: 0,
            state: State::Active,
            weight: 1.0,
            started_ms: party.started_ms.load(Ordering::Relaxed),
        };
        let lease = Duration::from_secs_f64(scenario.fleet.lease_s);
        let drain = Duration::from_secs_f64(scenario.servers.drain_s);
        let (sender, mut commands) = watch::channel(AgentCommand::Run);
        lock(&self.agents).insert(party.id.clone(), sender);
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
        let (ops, id) = (self.ops.clone(), party.id.clone());
        tokio::spawn(async move {
            let duty = Duty { entry, lease, drain, check: addr };
            let mut drain_commands = commands.clone();
            let stop = async move {
                let _ = drain_commands.wait_for(|command| *command == AgentCommand::Drain).await;
            };
            let mut changes = Changes::new(ops);
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
        let scenario = &self.book.scenario;
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
            let list = ask(discovery[0], Ask::Whole).await;
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
        whom: &Whom,
        fault: usize,
        count: usize,
        zone: impl Fn(usize) -> usize,
        first: usize,
    ) -> Vec<usize> {
        let all = 0..count;
        match whom {
            Whom::All => all.collect(),
            Whom::Zone(name) => {
                let wanted = self.zone(name);
                all.filter(|n| zone(*n) == wanted).collect()
            }
            Whom::Share(share) => {
                let mut order: Vec<usize> = all.collect();
                order.shuffle(&mut StdRng::seed_from_u64(self.seed ^ (fault as u64 + 1)));
                order.truncate((count as f64 * share).round() as usize);
                order
            }
            Whom::Count(n) => all.take(*n).collect(),
            Whom::Name(name) => {
                let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
                digits.parse::<usize>().ok().and_then(|n| n.checked_sub(first)).into_iter().collect()
            }
        }
    }

    fn servers(&self, whom: &Whom, fault: usize) -> Vec<Arc<Party>> {
        let all = self.parties.all();
        let count = self.book.scenario.fleet.servers;
        let targets = self.targets(whom, fault, count, |n| all[n].zone, 0);
        targets.into_iter().map(|n| Arc::clone(&all[n])).collect()
    }

    fn nodes(&self, whom: &Whom, fault: usize) -> Vec<Arc<Node>> {
        let all = &self.fleet.nodes;
        let targets = self.targets(whom, fault, all.len(), |n| all[n].zone, 0);
        targets.into_iter().map(|n| Arc::clone(&all[n])).collect()
    }

    fn replicas(&self, whom: &Whom, fault: usize) -> Vec<usize> {
        let zones = self.book.scenario.fleet.zones.len();
        self.targets(whom, fault, self.ops.len(), |n| n % zones, 1)
    }

    /// Index of a zone; `usize::MAX`, which matches none, for an unknown name.
    fn zone(&self, name: &str) -> usize {
        self.book.scenario.fleet.zones.iter().position(|zone| zone == name).unwrap_or(usize::MAX)
    }

    // ---- Faults ------------------------------------------------------------------------------------------

    /// Injects one fault at its time and reverts it. Returns the interval in which it was active, in seconds from the
    /// start of the run.
    async fn run_fault(self: &Arc<Self>, n: usize, fault: &Fault) -> io::Result<FaultInterval> {
        let lead = self.book.scenario.lead_s;
        sleep_until(at(self.book.start(), lead + fault.at_s)).await;
        let from_s = self.book.now();
        // Reports contain the name of the variant as its `Debug` form prints it.
        let name = format!("{:?}", fault.what);
        let name = name.split([' ', '{']).next().unwrap_or_default().to_owned();
        if let What::Replace { share, batch } = fault.what {
            self.replace(share, batch, fault.for_s.unwrap_or(0.0)).await;
            return Ok(FaultInterval { name, from_s, to_s: Some(self.book.now()) });
        }
        if let What::UpgradeNodes {} = fault.what {
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
            return Ok(FaultInterval { name, from_s, to_s: Some(self.book.now()) });
        }
        self.inject(n, &fault.what).await?;
        let Some(length) = fault.for_s else {
            let instantaneous = matches!(fault.what, What::ColdServers { .. } | What::MoveDiscovery {});
            return Ok(FaultInterval { name, from_s, to_s: instantaneous.then(|| self.book.now()) });
        };
        sleep_until(at(self.book.start(), lead + fault.at_s + length)).await;
        self.revert(n, &fault.what).await?;
        Ok(FaultInterval { name, from_s, to_s: Some(self.book.now()) })
    }

    async fn inject(self: &Arc<Self>, n: usize, what: &What) -> io::Result<()> {
        let cut = |way: Way| Way { cut: true, ..way };
        let usual = |way: Way| way;
        match what {
            What::KillServers { whom } => self.take_down(&self.servers(whom, n), Life::Dead),
            What::SilenceServers { whom } => self.take_down(&self.servers(whom, n), Life::Vanished),
            What::PauseServers { whom } => {
                self.servers(whom, n).iter().for_each(|party| self.parties.pause(party, true));
            }
            What::SlowServers { whom, times } => {
                self.servers(whom, n).iter().for_each(|party| self.parties.slow(party, *times));
            }
            What::ServerErrors { whom, share, class } => {
                let classes = &self.book.scenario.classes;
                let class = class.as_ref().and_then(|name| classes.iter().position(|c| c.name == *name));
                let class = class.map(|n| n as u8);
                self.servers(whom, n).iter().for_each(|party| party.set_errors(*share, class));
            }
            What::ColdServers { whom } => {
                self.servers(whom, n).iter().for_each(|party| self.kill_and_restart(party));
            }
            What::DrainServers { whom } => {
                self.servers(whom, n)
                    .iter()
                    .for_each(|party| self.command_agent(&party.id, AgentCommand::Drain));
            }
            What::DisableServers { whom } => self.set_by_operator(whom, n, "disable").await,
            What::SlowOrigin { times } => self.parties.slow(&self.parties.origin, *times),
            What::StopOrigin {} => self.parties.pause(&self.parties.origin, true),
            What::KillNodes { whom } => self.kill_nodes(&self.nodes(whom, n)),
            What::StopNodes { whom } => {
                for node in self.nodes(whom, n) {
                    self.mark_down(&node);
                    self.fleet.signal(&node, "STOP");
                }
            }
            What::KillReplicas { whom } => {
                self.replicas(whom, n).into_iter().for_each(|n| lock(&self.fleet.service).kill(n));
            }
            What::StopReplicas { whom } => {
                for n in self.replicas(whom, n) {
                    lock(&self.fleet.service).process(n).signal("STOP");
                }
            }
            What::MoveDiscovery {} => self.fleet.move_discovery().await?,
            What::LoseZone { zone, nodes } => {
                let whom = Whom::Zone(zone.clone());
                self.take_down(&self.servers(&whom, n), Life::Vanished);
                if *nodes {
                    self.kill_nodes(&self.nodes(&whom, n));
                }
            }
            What::CutZone { zone, one_way } => {
                let links = self.parties.links();
                links.change(self.zone(zone), cut, if *one_way { usual } else { cut });
            }
            What::SlowZone { zone, delay_ms, jitter_ms, loss, kb_per_s } => {
                let slow = |way: Way| Way {
                    delay_ms: way.delay_ms + delay_ms,
                    jitter_ms: way.jitter_ms + jitter_ms,
                    loss: *loss,
                    kb_per_s: *kb_per_s,
                    ..way
                };
                self.parties.links().change(self.zone(zone), slow, slow);
            }
            What::ResetZone { zone } => {
                let breaks = |way: Way| Way { reset_ms: Some(RESET_AFTER_MS), ..way };
                self.parties.links().change(self.zone(zone), breaks, breaks);
            }
            What::RetryStorm { retries } => self.clients.storm.store(*retries, Ordering::Relaxed),
            // Surges and flash crowds are part of the load plan; the other two are handled in `run_fault`.
            What::Surge { .. } | What::FlashCrowd { .. } | What::Replace { .. } | What::UpgradeNodes {} => {}
        }
        Ok(())
    }

    async fn revert(self: &Arc<Self>, n: usize, what: &What) -> io::Result<()> {
        let usual = |way: Way| way;
        match what {
            What::KillServers { whom } | What::SilenceServers { whom } | What::DrainServers { whom } => {
                self.servers(whom, n).iter().for_each(|party| self.kill_and_restart(party));
            }
            What::PauseServers { whom } => {
                self.servers(whom, n).iter().for_each(|party| self.parties.pause(party, false));
            }
            What::SlowServers { whom, .. } => {
                self.servers(whom, n).iter().for_each(|party| self.parties.slow(party, 1.0));
            }
            What::ServerErrors { whom, .. } => {
                let usual = self.book.scenario.servers.errors;
                self.servers(whom, n).iter().for_each(|party| party.set_errors(usual, None));
            }
            What::DisableServers { whom } => self.set_by_operator(whom, n, "enable").await,
            What::SlowOrigin { .. } => self.parties.slow(&self.parties.origin, 1.0),
            What::StopOrigin {} => self.parties.pause(&self.parties.origin, false),
            What::KillNodes { whom } => self.start_nodes(self.nodes(whom, n)).await?,
            What::StopNodes { whom } => {
                for node in self.nodes(whom, n) {
                    self.fleet.signal(&node, "CONT");
                    self.mark_up(&node);
                }
            }
            What::KillReplicas { whom } => {
                self.replicas(whom, n).into_iter().for_each(|n| lock(&self.fleet.service).launch(n));
            }
            What::StopReplicas { whom } => {
                for n in self.replicas(whom, n) {
                    lock(&self.fleet.service).process(n).signal("CONT");
                }
            }
            What::LoseZone { zone, nodes } => {
                let whom = Whom::Zone(zone.clone());
                for party in self.servers(&whom, n) {
                    self.restart(&party);
                }
                if *nodes {
                    self.start_nodes(self.nodes(&whom, n)).await?;
                }
            }
            What::CutZone { zone, .. } | What::SlowZone { zone, .. } | What::ResetZone { zone } => {
                self.parties.links().change(self.zone(zone), usual, usual);
            }
            What::RetryStorm { .. } => self.clients.storm.store(0, Ordering::Relaxed),
            What::ColdServers { .. }
            | What::MoveDiscovery {}
            | What::Surge { .. }
            | What::FlashCrowd { .. }
            | What::Replace { .. }
            | What::UpgradeNodes {} => {}
        }
        Ok(())
    }

    /// Takes servers down (see [`Life`] for how), and kills their agents.
    fn take_down(&self, parties: &[Arc<Party>], how: Life) {
        for party in parties {
            self.command_agent(&party.id, AgentCommand::Kill);
            party.life.send_replace(how);
        }
    }

    /// Kills a server's process, if it is up, and restarts it.
    fn kill_and_restart(self: &Arc<Self>, party: &Arc<Party>) {
        self.take_down(std::slice::from_ref(party), Life::Dead);
        self.restart(party);
    }

    /// Restarts a server under the same id, cold and with an empty cache, and registers it again.
    fn restart(self: &Arc<Self>, party: &Arc<Party>) {
        self.parties.restart(party, unix_ms());
        self.start_agent(party);
    }

    /// Calls `disable` or `enable` for the targets at every node.
    async fn set_by_operator(&self, whom: &Whom, n: usize, call: &str) {
        for party in self.servers(whom, n) {
            for node in &self.fleet.nodes {
                if !self.fleet.set_by_operator(node, &party.id, call).await {
                    tracing::warn!("{}: operator call `{call}` for {} failed", node.name, party.id);
                }
            }
        }
    }

    /// Records that a node is down from now on. Its zone's load balancer stops using it `notice_s` later.
    fn mark_down(self: &Arc<Self>, node: &Arc<Node>) {
        lock(&node.downtimes).push((self.book.now(), f64::INFINITY));
        let (node, delay_s) = (Arc::clone(node), self.book.scenario.load.notice_s);
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
            last.1 = self.book.now();
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
        let count = (self.book.scenario.fleet.servers as f64 * share).round() as usize;
        let batches = count.div_ceil(batch).max(1);
        let pause = Duration::from_secs_f64(over_s / batches as f64);
        let drain = Duration::from_secs_f64(self.book.scenario.servers.drain_s);
        let old = self.parties.all();
        let mut work = tokio::task::JoinSet::new();
        for batch in old[..count].chunks(batch) {
            for party in batch {
                self.command_agent(&party.id, AgentCommand::Drain);
                let (orchestrator, party) = (Arc::clone(self), Arc::clone(party));
                work.spawn(async move {
                    sleep(drain).await;
                    party.life.send_replace(Life::Dead);
                    let place = usize::from(party.number);
                    let new = orchestrator.parties.add(format!("{}b", party.id), place, unix_ms(), false);
                    orchestrator.start_agent(&new);
                });
            }
            sleep(pause).await;
        }
        while work.join_next().await.is_some() {}
    }
}
