//! Random histories: all kinds of trouble mixed, within what the system must survive, and a calm end in which it must
//! be in service again.

mod crashes;
mod disorder;
mod losses;
mod outages;
mod partitions;
mod races;
mod scenario;

pub use losses::{has_all_voters, is_fully_replicated};
pub use scenario::Scenario;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use crate::fixtures::{self, Models, IDEMPOTENT_PATH, LLM_SERVICE, NON_IDEMPOTENT_PATH, WEB_SERVICE};
use crate::fleet::{Fleet, FleetOptions};
use crate::network::{Conditions, Disorder};
use crate::world::World;

/// How long a restarted machine still counts as unavailable (`syncS`).
const SYNC: Millis = 4_000;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION: std::ops::RangeInclusive<Millis> = 50..=5_000;
/// Interval between two steps of a history, in milliseconds.
const STEP_INTERVAL: std::ops::RangeInclusive<Millis> = 20..=120;
/// After which an address may be reused (`addressReuseS`), in milliseconds.
const ADDRESS_REUSE: Millis = 2_000;
/// Number of machines for model servers.
const MAX_SERVER_MACHINES: u8 = 8;
/// Most calls of the operator in flight at once.
const MAX_PENDING_CALLS: usize = 8;
/// Time without faults in which the system must return to service, in milliseconds.
const RECOVERY_TIME: Millis = 8_000;
/// Within which all requests have a response, in milliseconds.
const SERVED_WITHIN: Millis = 7_000;
/// `ackTimeoutMs`, in milliseconds.
const ACKNOWLEDGED_WITHIN: Millis = 4_000;
/// Within which all coordinators have the same configuration once all faults are repaired.
const CAUGHT_UP_WITHIN: Millis = 4_000;
/// `convergenceMs`, in milliseconds.
const CONVERGED_WITHIN: Millis = 2_000;

/// The probability of each kind of event in a step of a history, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Probability of a fault of a coordinator's machine.
    pub core: f64,
    /// Probability of an outage of all coordinators and edges at once.
    pub all: f64,
    /// Probability of a fault of an edge.
    pub edge: f64,
    /// Probability of a model server that starts, drains or crashes.
    pub server: f64,
    /// Probability of a call of the operator.
    pub operator: f64,
    /// Probability of a client's request.
    pub requests: f64,
    /// Probability of a change of delay and loss on all links.
    pub links: f64,
}

impl Mix {
    /// Client requests only, the background load of the scenarios.
    pub(crate) fn requests_only() -> Self {
        let requests = 0.25;
        Mix { core: 0.0, all: 0.0, edge: 0.0, server: 0.0, operator: 0.0, requests, links: 0.0 }
    }

    /// A bit of everything.
    pub fn everything() -> Self {
        Mix { core: 0.03, all: 0.003, edge: 0.02, server: 0.03, operator: 0.08, requests: 0.6, links: 0.01 }
    }

    /// Many coordinator faults, and an operator that is busy.
    pub fn core() -> Self {
        Mix { core: 0.1, all: 0.008, operator: 0.25, server: 0.01, requests: 0.1, ..Mix::everything() }
    }

    /// Servers that start, drain and crash under requests for all models.
    pub fn servers() -> Self {
        Mix { core: 0.01, all: 0.001, server: 0.08, requests: 1.0, operator: 0.01, ..Mix::everything() }
    }
}

/// More models than there is room for, and a slow weight store.
fn many_models() -> Models {
    Models { count: 14, load_per_s: 0.6, ..Models::default() }
}

/// One kind of thing that happens.
type Step = fn(&mut History);

/// The repair that ends a fault.
#[derive(Clone, Debug)]
enum Recovery {
    Start(NodeId),
    Thaw(NodeId),
    Disk(NodeId),
    Join(Vec<(NodeId, NodeId)>),
    Successor,
    Server(NodeId),
    Links,
    Disorder,
}

/// A history in progress: a fleet, the faults in progress and the means to repair them.
pub struct History {
    fleet: Fleet,
    mix: Mix,
    /// Repairs of faults in progress, with the times at which they are due.
    recoveries: Vec<(Millis, Recovery)>,
    /// Until when each coordinator that has failed counts as unavailable.
    unavailable_until: BTreeMap<NodeId, Millis>,
    coordinators_created: u8,
    /// Since when there has been no fault; `None` during one.
    fault_free_since: Option<Millis>,
    links_nominal: bool,
    acknowledged_changes: Vec<u64>,
    /// Changes that may be sent again.
    sent_changes: Vec<u64>,
}

impl History {
    /// Plays a history of a duration in milliseconds and checks it.
    ///
    /// # Panics
    /// An invariant is violated, or the system doesn't return to service.
    pub fn play(seed: u64, mix: Mix, duration: Millis) -> Fleet {
        let large = seed % 4 == 3;
        let options = FleetOptions {
            coordinators: if large { 5 } else { 3 },
            hosts_lost: if large { 2 } else { 1 },
            edges: 3,
            initial_models: vec![vec![0, 1], vec![0, 2], vec![3]],
            web_servers: 3,
            disk_latency: if seed.is_multiple_of(2) { 0..=2 } else { 5..=30 },
            models: if seed.is_multiple_of(3) { many_models() } else { Models::default() },
            seed,
            ..FleetOptions::default()
        };
        let coordinators_created = options.coordinators;
        let mut history = History::begin(Fleet::ready(options), mix, coordinators_created);
        history.advance(duration);
        history.quiesce(RECOVERY_TIME);
        history.fleet.check();
        history.fleet
    }

    fn begin(fleet: Fleet, mix: Mix, coordinators_created: u8) -> Self {
        History {
            fleet,
            mix,
            recoveries: Vec::new(),
            unavailable_until: BTreeMap::new(),
            coordinators_created,
            fault_free_since: None,
            links_nominal: true,
            acknowledged_changes: Vec::new(),
            sent_changes: Vec::new(),
        }
    }

    fn advance(&mut self, duration: Millis) {
        let end = self.fleet.world.now + duration;
        while self.fleet.world.now < end {
            let step = self.world().random_range(STEP_INTERVAL).min(end - self.fleet.world.now);
            self.fleet.run(step);
            self.check_acknowledgements();
            self.run_due_recoveries();
            self.step();
        }
    }

    fn step(&mut self) {
        let mix = self.mix;
        let steps: [(f64, Step); 7] = [
            (mix.core, History::inject_coordinator_fault),
            (mix.all, History::inject_total_outage),
            (mix.edge, History::inject_edge_fault),
            (mix.server, History::disturb_servers),
            (mix.operator, History::run_operator),
            (mix.requests, History::send_client_request),
            (mix.links, History::disturb_links),
        ];
        for (share, step) in steps {
            if self.world().random_bool(share) {
                step(self);
            }
        }
    }

    /// Records calls of the operator and draining servers without an acknowledgement in time although there is no fault.
    fn check_acknowledgements(&mut self) {
        let now = self.fleet.world.now;
        let calm = self.links_nominal
            && self.fleet.operator.response_loss == 0.0
            && self.fleet.world.contact.is_calm(now, &self.fleet.world.network);
        self.fault_free_since = if calm { self.fault_free_since.or(Some(now)) } else { None };
        let Some(fault_free_since) = self.fault_free_since else { return };
        let late = |since: Millis| since.max(fault_free_since) + ACKNOWLEDGED_WITHIN < now;
        let calls = self.fleet.operator.pending_since().filter(|(_, since)| late(*since));
        let mut what: Vec<String> = calls.map(|(call, _)| format!("call {call}")).collect();
        let servers = self.fleet.servers().into_iter().filter_map(|node| self.fleet.server(node));
        let draining = servers.filter(|server| server.draining_since().is_some_and(late));
        what.extend(draining.map(|server| format!("draining of {}", server.id())));
        for what in what {
            self.fleet.world.observer.acknowledgement_overdue(now, what);
        }
    }

    fn world(&mut self) -> &mut World {
        &mut self.fleet.world
    }

    fn record(&mut self, what: String) {
        let now = self.fleet.world.now;
        self.fleet.world.observer.record_action(now, what);
    }

    fn schedule_recovery(&mut self, recovery: Recovery) -> Millis {
        let at = self.fleet.world.now + self.world().random_range(FAULT_DURATION);
        self.recoveries.push((at, recovery));
        at
    }

    fn choose<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let last = (from.len() as u64).checked_sub(1)?;
        let index = self.world().random_range(0..=last) as usize;
        from.get(index).cloned()
    }

    // ---- Edges and links -------------------------------------------------------------------------------

    fn inject_edge_fault(&mut self) {
        let edges = self.fleet.edges();
        let Some(node) = self.choose(&edges) else { return };
        match self.world().random_range(0..=3) {
            0 => {
                self.take_down(node, "killed", Fleet::kill);
            }
            3 => {
                self.take_down(node, "told to end", Fleet::terminate);
            }
            1 => {
                self.record(format!("{node} frozen"));
                self.fleet.freeze(node);
                self.schedule_recovery(Recovery::Thaw(node));
            }
            _ => {
                let coordinators = self.fleet.coordinators();
                let Some(other) = self.choose(&coordinators) else { return };
                self.record(format!("{node} and {other} cut"));
                self.fleet.partition(node, other, true);
                self.schedule_recovery(Recovery::Join(vec![(node, other), (other, node)]));
            }
        }
    }

    fn disturb_links(&mut self) {
        let longest = self.world().random_range(2..=60);
        let loss = if self.world().random_bool(0.5) { 0.02 } else { 0.0 };
        self.record(format!("links take up to {longest} ms, loss {loss}"));
        self.links_nominal = false;
        self.world().network.set_conditions(Conditions { delay: 1..=longest, loss });
        self.schedule_recovery(Recovery::Links);
    }

    fn run_due_recoveries(&mut self) {
        let now = self.fleet.world.now;
        let (due, later) = std::mem::take(&mut self.recoveries).into_iter().partition(|(at, _)| *at <= now);
        self.recoveries = later;
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    fn recover(&mut self, recovery: Recovery) {
        self.record(format!("over: {recovery:?}"));
        match recovery {
            Recovery::Start(node) => {
                if self.fleet.coordinators().contains(&node) || self.fleet.edges().contains(&node) {
                    // A process in graceful shutdown may not have exited yet.
                    self.fleet.kill(node);
                    self.fleet.start(node);
                }
            }
            Recovery::Thaw(node) => self.fleet.thaw(node),
            Recovery::Disk(node) => {
                self.fleet.set_disk_stalled(node, false);
                let usual = self.fleet.options.disk_latency.clone();
                self.fleet.set_disk_speed(node, usual);
                self.fleet.set_disk_faults(node, Faults::default());
            }
            Recovery::Join(partitions) => {
                for (from, to) in partitions {
                    self.fleet.partition_one_way(from, to, false);
                }
            }
            Recovery::Successor => self.join_successor(),
            Recovery::Server(node) => self.start_server(node),
            Recovery::Links => {
                self.links_nominal = true;
                self.fault_free_since = None;
                self.world().network.set_conditions(Conditions::default());
                self.world().network.clear_special();
            }
            Recovery::Disorder => self.world().network.set_disorder(Disorder::default()),
        }
    }

    // ---- Model servers ---------------------------------------------------------------------------------

    fn disturb_servers(&mut self) {
        let running = self.fleet.servers();
        let Some(node) = self.choose(&running) else { return };
        let service = self.fleet.server(node).map(|server| server.service().to_owned()).unwrap_or_default();
        let stay = |other: &&NodeId| {
            let server = self.fleet.server(**other);
            **other != node
                && server.is_some_and(|server| server.service() == service && !server.is_draining())
        };
        if running.iter().filter(stay).count() < 2 {
            return self.schedule_server_start();
        }
        match self.world().random_range(0..=3) {
            0 => {
                self.record(format!("server {node} crashes"));
                self.fleet.crash_server(node);
                self.schedule_recovery(Recovery::Server(node));
            }
            1 => {
                self.record(format!("server {node} leaves"));
                self.fleet.drain_server(node, None);
            }
            2 => {
                let remaining = self.world().random_range(200..=4_000);
                self.record(format!("server {node} leaves within {remaining} ms"));
                self.fleet.drain_server(node, Some(remaining));
            }
            _ => self.schedule_server_start(),
        }
    }

    /// Schedules the start of a server on a machine without one.
    fn schedule_server_start(&mut self) {
        let free_machines: Vec<NodeId> = (0..MAX_SERVER_MACHINES)
            .map(fixtures::server)
            .filter(|node| !self.fleet.is_running(*node))
            .collect();
        if let Some(node) = self.choose(&free_machines) {
            let at = self.fleet.world.now + ADDRESS_REUSE;
            self.recoveries.push((at, Recovery::Server(node)));
        }
    }

    fn start_server(&mut self, node: NodeId) {
        if self.fleet.is_running(node) {
            return;
        }
        let service = if self.world().random_bool(0.5) { LLM_SERVICE } else { WEB_SERVICE };
        let id = self.fleet.start_server(node, service, Vec::new());
        self.record(format!("server {node} starts as {id} of {service}"));
    }

    // ---- Operator and clients --------------------------------------------------------------------------

    fn run_operator(&mut self) {
        if self.fleet.operator.pending_count() >= MAX_PENDING_CALLS {
            return;
        }
        let unavailable_until = if self.world().random_bool(0.3) { 0.3 } else { 0.0 };
        self.fleet.operator.response_loss = unavailable_until;
        let observer = &self.fleet.world.observer;
        self.acknowledged_changes =
            observer.changes.keys().filter(|change| observer.is_acknowledged(**change)).copied().collect();
        match self.world().random_range(0..=5) {
            0 | 1 => {
                self.fleet.replace();
            }
            2 => {
                self.fleet.update();
            }
            3 => {
                let (one, other) = (self.fleet.write(), self.fleet.write());
                self.fleet.send(one);
                self.fleet.send(other);
            }
            4 => {
                self.fleet.operator.read(&mut self.fleet.world, None);
            }
            _ => {
                if let Some(change) = self.acknowledged_changes.last().copied() {
                    self.fleet.send(change);
                }
            }
        }
    }

    fn send_client_request(&mut self) {
        let edges = self.fleet.edges();
        let Some(node) = self.choose(&edges) else { return };
        if self.world().random_bool(0.4) {
            self.fleet.request_web(node);
            return;
        }
        let path = if self.world().random_bool(0.5) { NON_IDEMPOTENT_PATH } else { IDEMPOTENT_PATH };
        // A few models are requested more often than others.
        let last = self.fleet.options.models.count as u64 - 1;
        let model = self.world().random_range(0..=last).min(self.world().random_range(0..=last)) as usize;
        let adapter = self.world().random_bool(0.3).then(|| format!("a{}", self.world().random_range(1..=9)));
        self.fleet.request_model(node, path, model, adapter.as_deref());
    }

    // ---- The end ---------------------------------------------------------------------------------------

    /// Repairs all faults and checks that the system is in service within `recovery_time`.
    fn quiesce(&mut self, recovery: Millis) {
        self.record("all trouble ends".to_owned());
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(recovery);
        }
        self.world().network.set_conditions(Conditions::default());
        self.world().network.set_disorder(Disorder::default());
        self.fleet.repair_all();
        self.fleet.operator.response_loss = 0.0;
        self.fleet.run(recovery);
        self.fleet.operator.abandon_pending();
        self.fleet.read_within(ACKNOWLEDGED_WITHIN);
        let change = self.fleet.replace_within(ACKNOWLEDGED_WITHIN);
        let converged = self.fleet.run_until(CONVERGED_WITHIN, |fleet| fleet.is_applied_everywhere(change));
        assert!(converged, "{change} is not in force\n{}", self.fleet.describe());
        assert_eq!(self.fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", self.fleet.describe());
        self.assert_caught_up();
        self.assert_requests_served();
    }

    /// Checks that all coordinators have the same configuration.
    fn assert_caught_up(&mut self) {
        let caught_up = |fleet: &Fleet| {
            let versions = fleet.coordinators().into_iter().map(|node| {
                fleet.coordinator(node).map(|coordinator| coordinator.core().configuration_version())
            });
            let versions: BTreeSet<Option<u64>> = versions.collect();
            versions.len() == 1 && !versions.contains(&None)
        };
        let all = self.fleet.run_until(CAUGHT_UP_WITHIN, caught_up);
        assert!(all, "a member has not caught up\n{}", self.fleet.describe());
    }

    /// Checks that each edge serves requests: all to the service without models, half of those for models.
    fn assert_requests_served(&mut self) {
        let mut plain = Vec::new();
        let mut for_models = Vec::new();
        for node in self.fleet.edges() {
            plain.push(self.fleet.request_web(node));
            for model in 0..4 {
                for_models.push(self.fleet.request_model(node, IDEMPOTENT_PATH, model, None));
            }
        }
        let all: Vec<u64> = plain.iter().chain(&for_models).copied().collect();
        let answered = |fleet: &Fleet| {
            all.iter().all(|send_client_request| fleet.status(*send_client_request).is_some())
        };
        self.fleet.run_until(SERVED_WITHIN, answered);
        let served = |requests: &[u64]| {
            requests
                .iter()
                .filter(|send_client_request| self.fleet.status(**send_client_request) == Some(200))
                .count()
        };
        let (plain_served, models_served) = (served(&plain), served(&for_models));
        assert_eq!(plain_served, plain.len(), "plain requests are not served\n{}", self.fleet.describe());
        assert!(
            models_served * 2 >= for_models.len(),
            "{models_served} of {} requests for models are served\n{}",
            for_models.len(),
            self.fleet.describe()
        );
    }
}
