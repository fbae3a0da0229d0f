//! One run: warm-up, steady seconds, a herd of edges, and the restart of a coordinator.

use std::time::{Duration, Instant};

use shaletrail_protocol::Millis;

use crate::fleet::Fleet;
use crate::ledger::Ledger;
use crate::options::Options;
use crate::schedule::zone_of;
use crate::state::{self, EncodedState, LiveBytes, MemoryState};

/// Virtual time from the first start to the steady seconds.
pub const WARM_UP: Millis = 6_000;
/// Virtual time given to a herd.
const HERD_TIME: Millis = 2_000;
/// The zone whose edges start at once.
const HERD_ZONE: usize = 0;
/// How long a coordinator is away.
const CORE_AWAY: Millis = 1_000;
/// The longest time watched after it is back.
const RECOVERY_TIME: Millis = 12_000;
/// Between two looks whether something has come about.
const LOOK: Millis = 20;

/// What nodes did in a span of virtual time.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Its name.
    pub name: &'static str,
    /// Its length.
    pub seconds: f64,
    /// Of each coordinator.
    pub cores: Vec<Ledger>,
    /// Of each edge with a router.
    pub edges: Vec<Ledger>,
    /// Loads that servers carried out.
    pub loads: u64,
    /// Requests that came to those edges.
    pub requests: u64,
}

impl Phase {
    /// All edges together.
    pub fn all_edges(&self) -> Ledger {
        merged(&self.edges)
    }

    /// All coordinators together.
    pub fn all_cores(&self) -> Ledger {
        merged(&self.cores)
    }
}

fn merged(ledgers: &[Ledger]) -> Ledger {
    ledgers.iter().fold(Ledger::default(), |mut sum, ledger| {
        sum.merge(ledger);
        sum
    })
}

/// How long it took until something was back, in virtual milliseconds; `None` where that was not seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// From the first start until all edges had a configuration and all coordinators knew all servers.
    pub first_start: Option<Millis>,
    /// From the start of a zone's edges until all had configuration and directory.
    pub herd: Option<Millis>,
    /// From the end of a coordinator until all edges had an answer of another one.
    pub edges_moved: Option<Millis>,
    /// From its start until it knew the configuration in force.
    pub configuration: Option<Millis>,
    /// From its start until it knew all servers.
    pub directory: Option<Millis>,
    /// Processor time that it took to read its journal.
    pub replay: Duration,
}

/// What came of one run.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Sizes and rates.
    pub options: Options,
    /// Phases that came to their end.
    pub phases: Vec<Phase>,
    /// Times until things were back.
    pub recovery: Recovery,
    /// The most polls that waited at one coordinator.
    pub most_polls: usize,
    /// Servers that the first coordinator knew at the end of the steady seconds.
    pub servers_known: usize,
    /// Encoded sizes.
    pub encoded: EncodedState,
    /// Allocated bytes, where the process counts them.
    pub memory: Option<MemoryState>,
    /// Requests of clients: asked, served, and failed.
    pub requests: (u64, u64, u64),
    /// Virtual milliseconds that passed.
    pub virtual_time: Millis,
    /// Real time that the run took.
    pub real_time: Duration,
    /// It was given up, as it took too long in real time.
    pub given_up: bool,
}

struct Run {
    fleet: Fleet,
    deadline: Instant,
    phases: Vec<Phase>,
    recovery: Recovery,
    /// Requests that came before the present phase.
    asked: u64,
}

/// Runs a fleet through all phases. Without `live` no memory is counted.
pub fn run(options: Options, live: Option<LiveBytes>) -> Measurement {
    let begun = Instant::now();
    let deadline = begun + Duration::from_secs(options.patience_s);
    let mut run = Run {
        fleet: Fleet::new(options.clone()),
        deadline,
        phases: Vec::new(),
        recovery: Recovery::default(),
        asked: 0,
    };
    let given_up = run.play().is_none();
    let Run { fleet, phases, recovery, .. } = run;
    let requests = fleet.edges.iter().map(|edge| &edge.requests);
    let requests = requests.fold((0, 0, 0), |(asked, served, failed), edge| {
        (asked + edge.asked, served + edge.served, failed + edge.failed)
    });
    Measurement {
        options,
        phases,
        recovery,
        most_polls: fleet.cores.iter().map(|core| core.most_polls).max().unwrap_or_default(),
        servers_known: fleet.servers_known(0),
        encoded: state::encoded(&fleet),
        requests,
        virtual_time: fleet.world.schedule.now,
        memory: live.map(|live| state::memory(fleet, live)),
        real_time: begun.elapsed(),
        given_up,
    }
}

impl Run {
    /// All phases; `None` if real time ran out.
    fn play(&mut self) -> Option<()> {
        self.recovery.first_start = self.until(WARM_UP, Fleet::is_complete)?;
        self.pass_until(WARM_UP)?;
        self.steady()?;
        self.herd()?;
        self.restart_core()
    }

    fn now(&self) -> Millis {
        self.fleet.world.schedule.now
    }

    fn pass_until(&mut self, until: Millis) -> Option<()> {
        self.fleet.run_until(until, Some(self.deadline)).then_some(())
    }

    /// Lets time pass until something holds; how long that took, at most `most`, or nothing within it. The outer
    /// `None` means that real time ran out.
    fn until(&mut self, most: Millis, holds: impl Fn(&Fleet) -> bool) -> Option<Option<Millis>> {
        let from = self.now();
        while self.now() < from + most {
            self.pass_until(self.now() + LOOK)?;
            if holds(&self.fleet) {
                return Some(Some(self.now() - from));
            }
        }
        Some(None)
    }

    fn phase(&mut self, name: &'static str, from: Millis) {
        let full = self.fleet.world.options.full_edges;
        let asked = self.fleet.requests_asked();
        self.phases.push(Phase {
            name,
            seconds: (self.now() - from) as f64 / 1_000.0,
            cores: self.fleet.cores.iter().map(|core| core.ledger.clone()).collect(),
            edges: self.fleet.edges.iter().take(full).map(|edge| edge.ledger.clone()).collect(),
            loads: self.fleet.world.loads,
            requests: asked - self.asked,
        });
        self.asked = asked;
        self.fleet.clear_ledgers();
    }

    fn steady(&mut self) -> Option<()> {
        self.fleet.clear_ledgers();
        self.asked = self.fleet.requests_asked();
        let from = self.now();
        self.pass_until(from + self.fleet.world.options.seconds * 1_000)?;
        self.phase("steady", from);
        Some(())
    }

    fn herd(&mut self) -> Option<()> {
        let from = self.now();
        let herd: Vec<usize> =
            (0..self.fleet.edges.len()).filter(|edge| zone_of(*edge) == HERD_ZONE).collect();
        for edge in &herd {
            self.fleet.restart_edge(*edge);
        }
        self.recovery.herd =
            self.until(HERD_TIME, |fleet| herd.iter().all(|edge| fleet.edge_is_usable(*edge)))?;
        self.pass_until(from + HERD_TIME)?;
        self.phase("herd of a zone's edges", from);
        Some(())
    }

    /// The leader of the configuration's shard is killed and started again.
    fn restart_core(&mut self) -> Option<()> {
        let Some(place) = self.fleet.leader_of(0) else { return Some(()) };
        let from = self.now();
        let servers = self.fleet.servers_known(place);
        self.fleet.kill_core(place);
        let moved =
            |fleet: &Fleet| fleet.edges.iter().all(|edge| edge.answered_at.is_some_and(|at| at > from));
        self.recovery.edges_moved = self.until(CORE_AWAY, moved)?;
        self.pass_until(from + CORE_AWAY)?;
        self.recovery.replay = self.fleet.start_core(place);
        let back = self.now();
        let knows_version = |fleet: &Fleet| fleet.core_version(place) >= fleet.world.operator_version();
        self.recovery.configuration = self.until(RECOVERY_TIME, knows_version)?;
        let left = (back + RECOVERY_TIME).saturating_sub(self.now());
        let waited = self.now() - back;
        let knows_servers = |fleet: &Fleet| fleet.servers_known(place) >= servers;
        self.recovery.directory = self.until(left, knows_servers)?.map(|took| took + waited);
        self.phase("restart of a coordinator", from);
        Some(())
    }
}
