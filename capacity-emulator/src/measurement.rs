//! One run through its phases: warm-up, steady load, a thundering herd of restarted edges, and the restart of a
//! coordinator.

use std::time::{Duration, Instant};

use shaletrail_protocol::Millis;

use crate::fleet::Fleet;
use crate::options::Options;
use crate::state_sizes::{self, AllocatedBytes, EncodedSizes, MemoryUsage};
use crate::topology::zone_of;
use crate::usage::ResourceUsage;

/// Virtual time from the first start to the steady phase.
const WARM_UP_MS: Millis = 6_000;
/// Virtual time of the phase with the thundering herd.
const HERD_PHASE_MS: Millis = 2_000;
/// The zone whose edges restart at once.
const HERD_ZONE: usize = 0;
/// How long a coordinator's process is down.
const COORDINATOR_DOWNTIME_MS: Millis = 1_000;
/// The longest time after its restart in which the coordinator's recovery is observed.
const MAX_RECOVERY_MS: Millis = 12_000;
/// The interval between checks of a condition.
const CHECK_INTERVAL_MS: Millis = 20;

/// What nodes used in a phase of a run.
#[derive(Clone, Debug)]
pub struct Phase {
    /// The name in the report.
    pub name: &'static str,
    /// The length in virtual seconds.
    pub seconds: f64,
    /// The usage of each coordinator.
    pub coordinators: Vec<ResourceUsage>,
    /// The usage of each edge that has a router.
    pub edges: Vec<ResourceUsage>,
    /// Loads of models and adapters that servers completed.
    pub completed_loads: u64,
    /// Requests of clients that those edges received.
    pub requests: u64,
}

impl Phase {
    /// The usage of all edges together.
    pub fn all_edges(&self) -> ResourceUsage {
        merged(&self.edges)
    }

    /// The usage of all coordinators together.
    pub fn all_coordinators(&self) -> ResourceUsage {
        merged(&self.coordinators)
    }
}

fn merged(usages: &[ResourceUsage]) -> ResourceUsage {
    usages.iter().fold(ResourceUsage::default(), |mut sum, usage| {
        sum.merge(usage);
        sum
    })
}

/// Times to recover, in virtual milliseconds; `None` where no recovery was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// From the first start until all edges were usable and all coordinators had all servers in their directory.
    pub first_start: Option<Millis>,
    /// From the restart of a zone's edges until all were usable.
    pub herd: Option<Millis>,
    /// From the end of a coordinator's process until all edges had a response of another one.
    pub edges_reconnected: Option<Millis>,
    /// From its restart until it had the configuration in force.
    pub configuration: Option<Millis>,
    /// From its restart until it had as many servers in its directory as before.
    pub directory: Option<Millis>,
    /// Processor time that it took to replay its journal.
    pub replay: Duration,
}

/// What one run measured.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Sizes and rates of the run.
    pub options: Options,
    /// The phases that were completed.
    pub phases: Vec<Phase>,
    /// Times to recover.
    pub recovery: Recovery,
    /// The most polls that were pending at one coordinator.
    pub max_pending_polls: usize,
    /// Servers that the first coordinator has in its directory at the end of the run.
    pub known_servers: usize,
    /// Encoded sizes of what nodes keep.
    pub encoded: EncodedSizes,
    /// Allocated bytes of what nodes keep; `None` if the process does not count its allocations.
    pub memory: Option<MemoryUsage>,
    /// Requests of clients at all edges.
    pub requests: RequestCounts,
    /// The virtual time at the end of the run, in milliseconds.
    pub virtual_time: Millis,
    /// Real time that the run took.
    pub real_time: Duration,
    /// Whether the run ended before its last phase, as its limit of real time was reached.
    pub timed_out: bool,
}

/// Requests of clients, by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that edges received.
    pub received: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected, or whose response was a failure or was aborted.
    pub failed: u64,
}

/// A run that is in progress.
struct Run {
    fleet: Fleet,
    deadline: Instant,
    phases: Vec<Phase>,
    recovery: Recovery,
    /// Requests that edges received before the present phase.
    requests_before_phase: u64,
}

/// Runs a fleet through all phases. Memory is measured if `allocated_bytes` is given.
pub fn run(options: Options, allocated_bytes: Option<AllocatedBytes>) -> Measurement {
    let started_at = Instant::now();
    let deadline = started_at + Duration::from_secs(options.time_limit_s);
    let mut run = Run {
        fleet: Fleet::new(options.clone()),
        deadline,
        phases: Vec::new(),
        recovery: Recovery::default(),
        requests_before_phase: 0,
    };
    let timed_out = run.run_phases().is_none();
    let Run { fleet, phases, recovery, .. } = run;
    let pending_polls = fleet.coordinators.iter().map(|coordinator| coordinator.max_pending_polls);
    Measurement {
        options,
        phases,
        recovery,
        max_pending_polls: pending_polls.max().unwrap_or_default(),
        known_servers: fleet.known_servers(0),
        encoded: state_sizes::encoded(&fleet),
        requests: count_requests(&fleet),
        virtual_time: fleet.environment.scheduler.now,
        memory: allocated_bytes.map(|allocated_bytes| state_sizes::memory(fleet, allocated_bytes)),
        real_time: started_at.elapsed(),
        timed_out,
    }
}

fn count_requests(fleet: &Fleet) -> RequestCounts {
    fleet.edges.iter().map(|edge| &edge.requests).fold(RequestCounts::default(), |sum, edge| RequestCounts {
        received: sum.received + edge.received,
        served: sum.served + edge.served,
        failed: sum.failed + edge.failed,
    })
}

impl Run {
    /// Runs all phases; `None` if the real time ran out.
    fn run_phases(&mut self) -> Option<()> {
        self.recovery.first_start = self.advance_until(WARM_UP_MS, Fleet::is_complete)?;
        self.advance_to(WARM_UP_MS)?;
        self.steady()?;
        self.herd()?;
        self.restart_coordinator()
    }

    fn now(&self) -> Millis {
        self.fleet.environment.scheduler.now
    }

    /// Advances the clock; `None` if the real time ran out.
    fn advance_to(&mut self, until: Millis) -> Option<()> {
        self.fleet.run_until(until, Some(self.deadline)).then_some(())
    }

    /// Advances the clock until a condition holds, and returns how long that took; the inner `None` if it did not hold
    /// within `max_wait`, the outer one if the real time ran out.
    fn advance_until(&mut self, max_wait: Millis, holds: impl Fn(&Fleet) -> bool) -> Option<Option<Millis>> {
        let from = self.now();
        while self.now() < from + max_wait {
            self.advance_to(self.now() + CHECK_INTERVAL_MS)?;
            if holds(&self.fleet) {
                return Some(Some(self.now() - from));
            }
        }
        Some(None)
    }

    fn end_phase(&mut self, name: &'static str, from: Millis) {
        let routing_edges = self.fleet.environment.options.routing_edges;
        let requests = self.fleet.client_requests();
        self.phases.push(Phase {
            name,
            seconds: (self.now() - from) as f64 / 1_000.0,
            coordinators: self
                .fleet
                .coordinators
                .iter()
                .map(|coordinator| coordinator.usage.clone())
                .collect(),
            edges: self.fleet.edges.iter().take(routing_edges).map(|edge| edge.usage.clone()).collect(),
            completed_loads: self.fleet.environment.completed_loads,
            requests: requests - self.requests_before_phase,
        });
        self.requests_before_phase = requests;
        self.fleet.reset_usage();
    }

    fn steady(&mut self) -> Option<()> {
        self.fleet.reset_usage();
        self.requests_before_phase = self.fleet.client_requests();
        let from = self.now();
        self.advance_to(from + self.fleet.environment.options.seconds * 1_000)?;
        self.end_phase("steady", from);
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
            self.advance_until(HERD_PHASE_MS, |fleet| herd.iter().all(|edge| fleet.edge_is_usable(*edge)))?;
        self.advance_to(from + HERD_PHASE_MS)?;
        self.end_phase("herd of a zone's edges", from);
        Some(())
    }

    /// Kills the leader of the configuration's shard and starts it again.
    fn restart_coordinator(&mut self) -> Option<()> {
        let Some(index) = self.fleet.leader_of(0) else { return Some(()) };
        let from = self.now();
        let servers = self.fleet.known_servers(index);
        self.fleet.kill_coordinator(index);
        let reconnected = |fleet: &Fleet| {
            fleet.edges.iter().all(|edge| edge.last_response_at().is_some_and(|at| at > from))
        };
        self.recovery.edges_reconnected = self.advance_until(COORDINATOR_DOWNTIME_MS, reconnected)?;
        self.advance_to(from + COORDINATOR_DOWNTIME_MS)?;
        self.recovery.replay = self.fleet.start_coordinator(index);
        let restarted_at = self.now();
        let knows_version =
            |fleet: &Fleet| fleet.config_version_of(index) >= fleet.environment.acknowledged_version();
        self.recovery.configuration = self.advance_until(MAX_RECOVERY_MS, knows_version)?;
        let remaining = (restarted_at + MAX_RECOVERY_MS).saturating_sub(self.now());
        let elapsed = self.now() - restarted_at;
        let knows_servers = |fleet: &Fleet| fleet.known_servers(index) >= servers;
        self.recovery.directory = self.advance_until(remaining, knows_servers)?.map(|took| took + elapsed);
        self.end_phase("restart of a coordinator", from);
        Some(())
    }
}
