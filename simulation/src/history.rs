//! Random histories: all kinds of trouble mixed, within what the system must survive, and a calm end in which it must
//! be in service again.

mod calls;
mod core;
mod cuts;
mod losses;
mod points;
mod races;
mod storms;

pub use losses::{has_all_voters, is_whole};
pub use points::Point;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use crate::fleet::{Fleet, FleetOptions};
use crate::network::{Conditions, Disorder};
use crate::site::{self, Models, AGAIN, LLM, ONCE, WEB};
use crate::world::World;

/// How long a machine that is back counts as lost (`syncS`).
const SYNC: Millis = 4_000;
/// How long a disturbance lasts.
const LASTS: std::ops::RangeInclusive<Millis> = 50..=5_000;
/// Between two steps of a history.
const STEP: std::ops::RangeInclusive<Millis> = 20..=120;
/// After which an address may be used again (`addressReuseS`).
const ADDRESS_REUSE: Millis = 2_000;
/// Machines of model servers.
const SERVER_PLACES: u8 = 8;
/// Calls of the operator under way at once.
const MOST_CALLS: usize = 8;
/// The calm in which everything must come into service again.
const RECOVERY: Millis = 8_000;
/// Within which all requests have their answers.
const SERVED_WITHIN: Millis = 7_000;
/// `ackTimeoutMs`.
const ACKNOWLEDGED_WITHIN: Millis = 4_000;
/// Within which all members have the same configuration once all trouble is over.
const CAUGHT_UP_WITHIN: Millis = 4_000;
/// `convergenceMs`.
const CONVERGED_WITHIN: Millis = 2_000;

/// How often each kind of thing happens in a step.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Trouble on a machine of the core.
    pub core: f64,
    /// All machines of the core at once.
    pub all: f64,
    /// Trouble on an edge.
    pub edge: f64,
    /// Model servers that come and go.
    pub server: f64,
    /// Calls of the operator.
    pub operator: f64,
    /// Requests of clients.
    pub requests: f64,
    /// Changes in what links are like.
    pub links: f64,
}

impl Mix {
    /// A few requests and nothing else: what a history of one point begins with.
    pub(crate) fn requests_only() -> Self {
        let requests = 0.25;
        Mix { core: 0.0, all: 0.0, edge: 0.0, server: 0.0, operator: 0.0, requests, links: 0.0 }
    }

    /// A bit of everything.
    pub fn everything() -> Self {
        Mix { core: 0.03, all: 0.003, edge: 0.02, server: 0.03, operator: 0.08, requests: 0.6, links: 0.01 }
    }

    /// Much trouble in the core, and an operator that is busy.
    pub fn core() -> Self {
        Mix { core: 0.1, all: 0.008, operator: 0.25, server: 0.01, requests: 0.1, ..Mix::everything() }
    }

    /// Servers that come and go while requests come for all models.
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

/// What ends a disturbance.
#[derive(Clone, Debug)]
enum Ending {
    Start(NodeId),
    Thaw(NodeId),
    Disk(NodeId),
    Join(Vec<(NodeId, NodeId)>),
    Successor,
    Server(NodeId),
    Links,
    Disorder,
}

/// A history under way.
pub struct History {
    fleet: Fleet,
    mix: Mix,
    /// Disturbances under way, by their end.
    endings: Vec<(Millis, Ending)>,
    /// Machines of the core that count as lost, and until when.
    lost: BTreeMap<NodeId, Millis>,
    coordinators_made: u8,
    /// Since when nothing has been wrong.
    calm_since: Option<Millis>,
    links_well: bool,
    acknowledged: Vec<u64>,
    /// Changes that may be sent again.
    sent: Vec<u64>,
}

impl History {
    /// Plays a history of a length and checks it.
    ///
    /// # Panics
    /// A rule is broken, or the system doesn't come back into service.
    pub fn play(seed: u64, mix: Mix, duration: Millis) -> Fleet {
        let large = seed % 4 == 3;
        let options = FleetOptions {
            coordinators: if large { 5 } else { 3 },
            hosts_lost: if large { 2 } else { 1 },
            edges: 3,
            holds: vec![vec![0, 1], vec![0, 2], vec![3]],
            plain_servers: 3,
            disk: if seed.is_multiple_of(2) { 0..=2 } else { 5..=30 },
            models: if seed.is_multiple_of(3) { many_models() } else { Models::default() },
            seed,
            ..FleetOptions::default()
        };
        let coordinators_made = options.coordinators;
        let mut history = History::begin(Fleet::ready(options), mix, coordinators_made);
        history.go_on(duration);
        history.come_to_rest(RECOVERY);
        history.fleet.check();
        history.fleet
    }

    fn begin(fleet: Fleet, mix: Mix, coordinators_made: u8) -> Self {
        History {
            fleet,
            mix,
            endings: Vec::new(),
            lost: BTreeMap::new(),
            coordinators_made,
            calm_since: None,
            links_well: true,
            acknowledged: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn go_on(&mut self, duration: Millis) {
        let end = self.fleet.world.now + duration;
        while self.fleet.world.now < end {
            let step = self.world().between(STEP).min(end - self.fleet.world.now);
            self.fleet.run(step);
            self.watch_acknowledgements();
            self.end_what_is_due();
            self.step();
        }
    }

    fn step(&mut self) {
        let mix = self.mix;
        let steps: [(f64, Step); 7] = [
            (mix.core, History::trouble_core),
            (mix.all, History::trouble_all),
            (mix.edge, History::trouble_edge),
            (mix.server, History::change_servers),
            (mix.operator, History::operate),
            (mix.requests, History::request),
            (mix.links, History::change_links),
        ];
        for (share, step) in steps {
            if self.world().chance(share) {
                step(self);
            }
        }
    }

    /// In calm times the operator's calls and servers that leave have their acknowledgement in time.
    fn watch_acknowledgements(&mut self) {
        let now = self.fleet.world.now;
        let calm = self.links_well
            && self.fleet.operator.lost_answers == 0.0
            && self.fleet.world.touch.is_calm(now, &self.fleet.world.network);
        self.calm_since = if calm { self.calm_since.or(Some(now)) } else { None };
        let Some(calm_since) = self.calm_since else { return };
        let late = |since: Millis| since.max(calm_since) + ACKNOWLEDGED_WITHIN < now;
        let calls = self.fleet.operator.waiting_since().filter(|(_, since)| late(*since));
        let mut what: Vec<String> = calls.map(|(call, _)| format!("call {call}")).collect();
        let servers = self.fleet.servers().into_iter().filter_map(|node| self.fleet.server(node));
        let leaving = servers.filter(|server| server.leaving_since().is_some_and(late));
        what.extend(leaving.map(|server| format!("draining of {}", server.id())));
        for what in what {
            self.fleet.world.witness.not_acknowledged(now, what);
        }
    }

    fn world(&mut self) -> &mut World {
        &mut self.fleet.world
    }

    fn tell(&mut self, what: String) {
        let now = self.fleet.world.now;
        self.fleet.world.witness.tell(now, what);
    }

    fn later(&mut self, ending: Ending) -> Millis {
        let at = self.fleet.world.now + self.world().between(LASTS);
        self.endings.push((at, ending));
        at
    }

    fn pick<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let last = (from.len() as u64).checked_sub(1)?;
        let index = self.world().between(0..=last) as usize;
        from.get(index).cloned()
    }

    // ---- Edges and links -------------------------------------------------------------------------------

    fn trouble_edge(&mut self) {
        let edges = self.fleet.edges();
        let Some(node) = self.pick(&edges) else { return };
        match self.world().between(0..=3) {
            0 => {
                self.take_down(node, "killed", Fleet::kill);
            }
            3 => {
                self.take_down(node, "told to end", Fleet::terminate);
            }
            1 => {
                self.tell(format!("{node} frozen"));
                self.fleet.freeze(node);
                self.later(Ending::Thaw(node));
            }
            _ => {
                let coordinators = self.fleet.coordinators();
                let Some(other) = self.pick(&coordinators) else { return };
                self.tell(format!("{node} and {other} cut"));
                self.fleet.cut(node, other, true);
                self.later(Ending::Join(vec![(node, other), (other, node)]));
            }
        }
    }

    fn change_links(&mut self) {
        let longest = self.world().between(2..=60);
        let loss = if self.world().chance(0.5) { 0.02 } else { 0.0 };
        self.tell(format!("links take up to {longest} ms, loss {loss}"));
        self.links_well = false;
        self.world().network.set_conditions(Conditions { delay: 1..=longest, loss });
        self.later(Ending::Links);
    }

    fn end_what_is_due(&mut self) {
        let now = self.fleet.world.now;
        let (due, later) = std::mem::take(&mut self.endings).into_iter().partition(|(at, _)| *at <= now);
        self.endings = later;
        for (_, ending) in due {
            self.end(ending);
        }
    }

    fn end(&mut self, ending: Ending) {
        self.tell(format!("over: {ending:?}"));
        match ending {
            Ending::Start(node) => {
                if self.fleet.coordinators().contains(&node) || self.fleet.edges().contains(&node) {
                    // One that was told to end may not have done so yet.
                    self.fleet.kill(node);
                    self.fleet.start(node);
                }
            }
            Ending::Thaw(node) => self.fleet.thaw(node),
            Ending::Disk(node) => {
                self.fleet.set_disk_stalled(node, false);
                let usual = self.fleet.options.disk.clone();
                self.fleet.set_disk_speed(node, usual);
                self.fleet.set_disk_faults(node, Faults::default());
            }
            Ending::Join(cuts) => {
                for (from, to) in cuts {
                    self.fleet.cut_one_way(from, to, false);
                }
            }
            Ending::Successor => self.join_successor(),
            Ending::Server(node) => self.start_server(node),
            Ending::Links => {
                self.links_well = true;
                self.calm_since = None;
                self.world().network.set_conditions(Conditions::default());
                self.world().network.clear_special();
            }
            Ending::Disorder => self.world().network.set_disorder(Disorder::default()),
        }
    }

    // ---- Model servers ---------------------------------------------------------------------------------

    fn change_servers(&mut self) {
        let running = self.fleet.servers();
        let Some(node) = self.pick(&running) else { return };
        let service = self.fleet.server(node).map(|server| server.service().to_owned()).unwrap_or_default();
        let stay = |other: &&NodeId| {
            let server = self.fleet.server(**other);
            **other != node
                && server.is_some_and(|server| server.service() == service && !server.is_leaving())
        };
        if running.iter().filter(stay).count() < 2 {
            return self.come_back();
        }
        match self.world().between(0..=3) {
            0 => {
                self.tell(format!("server {node} crashes"));
                self.fleet.crash_server(node);
                self.later(Ending::Server(node));
            }
            1 => {
                self.tell(format!("server {node} leaves"));
                self.fleet.drain_server(node, None);
            }
            2 => {
                let remaining = self.world().between(200..=4_000);
                self.tell(format!("server {node} leaves within {remaining} ms"));
                self.fleet.drain_server(node, Some(remaining));
            }
            _ => self.come_back(),
        }
    }

    /// A server starts where none runs.
    fn come_back(&mut self) {
        let places: Vec<NodeId> =
            (0..SERVER_PLACES).map(site::server).filter(|node| !self.fleet.is_running(*node)).collect();
        if let Some(node) = self.pick(&places) {
            let at = self.fleet.world.now + ADDRESS_REUSE;
            self.endings.push((at, Ending::Server(node)));
        }
    }

    fn start_server(&mut self, node: NodeId) {
        if self.fleet.is_running(node) {
            return;
        }
        let service = if self.world().chance(0.5) { LLM } else { WEB };
        let id = self.fleet.start_server(node, service, Vec::new());
        self.tell(format!("server {node} starts as {id} of {service}"));
    }

    // ---- Operator and clients --------------------------------------------------------------------------

    fn operate(&mut self) {
        if self.fleet.operator.waiting() >= MOST_CALLS {
            return;
        }
        let lost = if self.world().chance(0.3) { 0.3 } else { 0.0 };
        self.fleet.operator.lost_answers = lost;
        let witness = &self.fleet.world.witness;
        self.acknowledged =
            witness.changes.keys().filter(|change| witness.is_acknowledged(**change)).copied().collect();
        match self.world().between(0..=5) {
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
                if let Some(change) = self.acknowledged.last().copied() {
                    self.fleet.send(change);
                }
            }
        }
    }

    fn request(&mut self) {
        let edges = self.fleet.edges();
        let Some(node) = self.pick(&edges) else { return };
        if self.world().chance(0.4) {
            self.fleet.ask_plain(node);
            return;
        }
        let path = if self.world().chance(0.5) { ONCE } else { AGAIN };
        // A few models are asked for more than others.
        let last = self.fleet.options.models.count as u64 - 1;
        let model = self.world().between(0..=last).min(self.world().between(0..=last)) as usize;
        let adapter = self.world().chance(0.3).then(|| format!("a{}", self.world().between(1..=9)));
        self.fleet.ask_model(node, path, model, adapter.as_deref());
    }

    // ---- The end ---------------------------------------------------------------------------------------

    /// All trouble ends; after a while the system must be in service.
    fn come_to_rest(&mut self, recovery: Millis) {
        self.tell("all trouble ends".to_owned());
        for (_, ending) in std::mem::take(&mut self.endings) {
            self.end(ending);
        }
        self.world().network.set_conditions(Conditions::default());
        self.world().network.set_disorder(Disorder::default());
        self.fleet.heal_all();
        self.fleet.operator.lost_answers = 0.0;
        self.fleet.run(recovery);
        self.fleet.operator.give_up();
        self.fleet.read_within(ACKNOWLEDGED_WITHIN);
        let change = self.fleet.replace_within(ACKNOWLEDGED_WITHIN);
        let converged = self.fleet.run_until(CONVERGED_WITHIN, |fleet| fleet.is_in_force(change));
        assert!(converged, "{change} is not in force\n{}", self.fleet.describe());
        assert_eq!(self.fleet.read_within(ACKNOWLEDGED_WITHIN), change, "{}", self.fleet.describe());
        self.assert_caught_up();
        self.serve();
    }

    /// All coordinators that serve have the same configuration, and no voter is left behind.
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

    /// Requests at all edges are served, plain ones at once and those for models once these are there.
    fn serve(&mut self) {
        let mut plain = Vec::new();
        let mut for_models = Vec::new();
        for node in self.fleet.edges() {
            plain.push(self.fleet.ask_plain(node));
            for model in 0..4 {
                for_models.push(self.fleet.ask_model(node, AGAIN, model, None));
            }
        }
        let all: Vec<u64> = plain.iter().chain(&for_models).copied().collect();
        let answered = |fleet: &Fleet| all.iter().all(|request| fleet.status(*request).is_some());
        self.fleet.run_until(SERVED_WITHIN, answered);
        let served = |requests: &[u64]| {
            requests.iter().filter(|request| self.fleet.status(**request) == Some(200)).count()
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
