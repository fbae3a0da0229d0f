//! Runs a fleet through all phases: warm-up, steady load, a thundering herd of restarted edges, and the restart of a
//! coordinator.

use std::time::{Duration, Instant};

use shaletrail_protocol::Millis;

use crate::fleet::Fleet;
use crate::options::Options;
use crate::state_sizes::{self, AllocatedBytes, EncodedSizes, MemoryUsage};
use crate::topology::zone_of;
use crate::usage::ResourceUsage;

/// Virtual time from the start of the processes to the start of the steady phase.
const WARM_UP_MS: Millis = 6_000;
/// The duration of the thundering-herd phase in virtual time.
const HERD_PHASE_MS: Millis = 2_000;
/// The zone whose edges all restart at the same time.
const HERD_ZONE: usize = 0;
/// How long the restarted coordinator is down.
const COORDINATOR_DOWNTIME_MS: Millis = 1_000;
/// The longest time for which the coordinator's recovery is observed after its restart.
const MAX_RECOVERY_MS: Millis = 12_000;
/// The interval at which recovery conditions are checked.
const CHECK_INTERVAL_MS: Millis = 20;

/// Resources used by nodes during one phase of a run.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Name of the phase in the report.
    pub name: &'static str,
    /// Duration of the phase in virtual seconds.
    pub seconds: f64,
    /// The usage of each coordinator, by index.
    pub coordinators: Vec<ResourceUsage>,
    /// The usage of each edge that has a router.
    pub edges: Vec<ResourceUsage>,
    /// The number of model and adapter loads completed by servers.
    pub completed_loads: u64,
    /// The number of client requests received by edges.
    pub requests: u64,
}

impl Phase {
    /// The combined usage of the edges that have a router.
    pub fn all_edges(&self) -> ResourceUsage {
        merged(&self.edges)
    }

    /// The combined usage of all coordinators.
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

/// Recovery times in virtual milliseconds; `None` if the recovery was not observed in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// From the start of the processes until all edges were usable and all coordinators had all servers in their
    /// directory.
    pub first_start: Option<Millis>,
    /// From the restart of one zone's edges until all of them were usable.
    pub herd: Option<Millis>,
    /// From the kill of a coordinator until every edge had received a response from another coordinator.
    pub edges_reconnected: Option<Millis>,
    /// From the coordinator's restart until it had the configuration in force.
    pub configuration: Option<Millis>,
    /// From the coordinator's restart until it had as many servers in its directory as before.
    pub directory: Option<Millis>,
    /// CPU time that the coordinator spent on replaying its journal.
    pub replay: Duration,
}

/// The results of one run.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// The options of the run.
    pub options: Options,
    /// The completed phases.
    pub phases: Vec<Phase>,
    /// Recovery times after the restarts of the run.
    pub recovery: Recovery,
    /// The highest number of polls that were pending at one coordinator at the same time.
    pub max_pending_polls: usize,
    /// The number of servers that coordinator 0 considers ready at the end of the run.
    pub known_servers: usize,
    /// Encoded sizes of the state that nodes keep.
    pub encoded: EncodedSizes,
    /// Allocated sizes of the state that nodes keep; `None` if the process does not count its allocations.
    pub memory: Option<MemoryUsage>,
    /// Client requests at all edges.
    pub requests: RequestCounts,
    /// Virtual time at the end of the run, in milliseconds.
    pub virtual_time: Millis,
    /// Wall-clock duration of the run.
    pub real_time: Duration,
    /// Whether the run reached its wall-clock limit before the end of the last phase.
    pub timed_out: bool,
}

/// Counts of client requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests received by edges.
    pub received: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected, or whose response failed or was aborted.
    pub failed: u64,
}

/// The state of a run in progress.
struct Run {
    fleet: Fleet,
    deadline: Instant,
    phases: Vec<Phase>,
    recovery: Recovery,
    /// The number of client requests received before the current phase.
    requests_before_phase: u64,
}

/// Runs a fleet through all phases. Memory is measured only if `allocated_bytes` is given.
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
    /// Runs all phases; `None` if the wall-clock limit was reached.
    fn run_phases(&mut self) -> Option<()> {
        self.recovery.first_start = self.advance_until(WARM_UP_MS, Fleet::is_ready)?;
        self.advance_to(WARM_UP_MS)?;
        self.run_steady_phase()?;
        self.restart_zone_edges()?;
        self.restart_coordinator()
    }

    fn now(&self) -> Millis {
        self.fleet.environment.scheduler.now
    }

    /// Advances virtual time; `None` if the wall-clock limit was reached.
    fn advance_to(&mut self, until: Millis) -> Option<()> {
        self.fleet.run_until(until, Some(self.deadline)).then_some(())
    }

    /// Advances virtual time until a condition holds, and returns how long that took. The inner `Option` is `None` if
    /// the condition did not hold within `max_wait`, the outer one if the wall-clock limit was reached.
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

    fn run_steady_phase(&mut self) -> Option<()> {
        self.fleet.reset_usage();
        self.requests_before_phase = self.fleet.client_requests();
        let from = self.now();
        self.advance_to(from + self.fleet.environment.options.seconds * 1_000)?;
        self.end_phase("steady", from);
        Some(())
    }

    fn restart_zone_edges(&mut self) -> Option<()> {
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

    /// Kills the leader of the configuration shard and restarts it after its downtime.
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
