//! Model servers that behave as the operators' protocol says, on a simulated clock, with the checks of its rules.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::servers::{catalogue, list, Held, Running, SimulatedServer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_placement::{Catalogue, Options, OrderNumber, OrderOutcome, PlannedOrder, Planner};
use shaletrail_protocol::external::{Heartbeat, Operation, Report, ServerState};
use shaletrail_protocol::internal::{Demand, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId};

pub const SERVICE: &str = "models";
pub const EDGE: NodeId = NodeId(1);
/// Step of the simulated clock.
pub const STEP: Millis = 20;
const HEARTBEAT: Millis = 1_200;
const SILENT_AFTER: Millis = 3_600;
const DEMAND_EVERY: Millis = 200;
const PLAN_EVERY: Millis = 100;
const ANSWER_WITHIN: Millis = 1_000;
const REPORT_LAG: Millis = 200;
const ADAPTER_TAKES: Millis = 5;

#[derive(Clone, Debug)]
enum Event {
    Order(PlannedOrder, bool),
    Outcome(String, OrderNumber, OrderOutcome),
    Heartbeat(ServerRecord),
    Report(String, Report),
}

/// A steady demand for one model.
#[derive(Clone, Debug)]
pub struct Asked {
    pub model: String,
    pub adapter: Option<String>,
    pub per_second: f64,
    pub tokens: u64,
}

pub fn asked(model: &str, per_second: f64, tokens: u64) -> Asked {
    Asked { model: model.into(), adapter: None, per_second, tokens }
}

/// How much goes wrong, as shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub order_lost: f64,
    pub answer_lost: f64,
    pub heartbeat_late: f64,
    pub report_lost: f64,
    /// Orders that reach their server only after a while.
    pub order_late: f64,
    /// Reports that come only after a while; what they say is from when they were asked for.
    pub report_late: f64,
    /// Loads that take up to [`SLOWEST_LOAD`] times their time.
    pub load_slow: f64,
    /// By how much heartbeats are late at most, where that is not [`HEARTBEAT_LATE`].
    pub latest_heartbeat: Option<Millis>,
}

/// By how much heartbeats that are late are so at most, in milliseconds.
const HEARTBEAT_LATE: Millis = 3_000;
/// The same for orders; they are answered at once then, or not at all.
const ORDER_LATE: Millis = 600;
/// The same for reports.
const REPORT_LATE: Millis = 1_400;
/// How many times its usual time a slow load takes at most.
const SLOWEST_LOAD: f64 = 6.0;
/// From its election on a holder that follows another one sends no orders for so long, in milliseconds.
const TURN_WAIT: Millis = 3_600;

pub struct World {
    pub now: Millis,
    pub catalogue: Catalogue,
    pub planner: Planner,
    /// The planner of a node that may come to hold the right to order: it takes in the same as the holder's.
    pub standby: Planner,
    /// Until when the holder sends no orders.
    pub orders_from: Millis,
    pub servers: Vec<SimulatedServer>,
    pub demand: Vec<Asked>,
    pub faults: Faults,
    /// Moments at which loads from the weight store began.
    pub loads: Vec<Millis>,
    pub orders: Vec<(Millis, PlannedOrder)>,
    pub reports: usize,
    /// The longest time for which each model had waiting requests and no holder.
    pub longest_wait: BTreeMap<String, Millis>,
    waiting: BTreeMap<(String, Option<String>), (Millis, u32)>,
    due: BTreeMap<usize, f64>,
    gone: BTreeSet<String>,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    /// The newest messages, with the moment and the server, for the text of a failure.
    seen: VecDeque<(Millis, String, String)>,
    random: Pcg64,
}

/// Messages that are remembered for the text of a failure.
const SEEN: usize = 600;

impl World {
    pub fn new(models: usize, servers: usize, seed: u64) -> World {
        World::with(catalogue(models), servers, seed)
    }

    pub fn with(catalogue: Catalogue, servers: usize, seed: u64) -> World {
        let now = 1_000;
        let planner = Planner::new(SERVICE.into(), catalogue.clone(), Options::default(), now);
        let mut random = Pcg64::seed_from_u64(seed);
        let server = |index: usize, random: &mut Pcg64| SimulatedServer {
            index,
            start: 0,
            held: BTreeMap::new(),
            disk: BTreeSet::new(),
            running: None,
            sequence: 0,
            beats: 0,
            next_beat: now + random.random_range(0..HEARTBEAT),
            last_beat: now,
            draining: false,
            back_at: None,
            past: VecDeque::new(),
        };
        World {
            now,
            catalogue,
            standby: planner.clone(),
            planner,
            orders_from: 0,
            servers: (0..servers).map(|index| server(index, &mut random)).collect(),
            demand: Vec::new(),
            faults: Faults::default(),
            loads: Vec::new(),
            orders: Vec::new(),
            reports: 0,
            longest_wait: BTreeMap::new(),
            waiting: BTreeMap::new(),
            due: BTreeMap::new(),
            gone: BTreeSet::new(),
            events: BTreeMap::new(),
            next_event: 0,
            seen: VecDeque::new(),
            random,
        }
    }

    /// Puts models on servers, as at the start of a day.
    pub fn hold(&mut self, server: usize, models: &[&str]) {
        for model in models {
            self.servers[server].held.insert((*model).into(), BTreeSet::new());
            self.servers[server].disk.insert((*model).into());
        }
    }

    /// Holders of a model that are up, whatever anybody knows of them.
    pub fn holders(&self, model: &str) -> Vec<usize> {
        let holds = |server: &&SimulatedServer| server.up() && server.held.contains_key(model);
        self.servers.iter().filter(holds).map(|server| server.index).collect()
    }

    pub fn adapter_holders(&self, model: &str, adapter: &str) -> usize {
        let holds = |held: &Held| held.get(model).is_some_and(|adapters| adapters.contains(adapter));
        self.servers.iter().filter(|server| server.up() && holds(&server.held)).count()
    }

    /// A new planner takes over, as after a change of the lease's holder.
    pub fn replace_planner(&mut self) {
        self.planner = Planner::new(SERVICE.into(), self.catalogue.clone(), Options::default(), self.now);
        self.events.retain(|_, event| !matches!(event, Event::Outcome(..) | Event::Report(..)));
    }

    /// The holder is lost, and the node that watched is elected. Orders of the former that are on their way arrive.
    pub fn transfer_leadership(&mut self) {
        let fresh = Planner::new(SERVICE.into(), self.catalogue.clone(), Options::default(), self.now);
        self.planner = std::mem::replace(&mut self.standby, fresh);
        self.planner.start_ordering(self.now, Some(self.now));
        self.orders_from = self.now + TURN_WAIT;
        self.note("", "another holder".to_owned());
        self.events.retain(|_, event| !matches!(event, Event::Outcome(..) | Event::Report(..)));
        self.events.values_mut().for_each(|event| {
            if let Event::Order(_, answered) = event {
                *answered = false;
            }
        });
    }

    pub fn crash(&mut self, server: usize, down: Millis) {
        let back = self.now + down;
        let server = &mut self.servers[server];
        server.back_at = Some(back);
        server.held.clear();
        server.running = None;
        server.sequence = 0;
        server.past.clear();
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.work();
            self.beat();
            if self.now % DEMAND_EVERY < STEP {
                self.ask();
            }
            if self.now % PLAN_EVERY < STEP {
                self.plan();
            }
        }
    }

    fn at(&mut self, time: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert((time, self.next_event), event);
    }

    fn note(&mut self, server: &str, what: String) {
        if self.seen.len() == SEEN {
            self.seen.pop_front();
        }
        self.seen.push_back((self.now, server.to_owned(), what));
    }

    fn history_of(&self, id: &str) -> String {
        let of_server = self.seen.iter().filter(|(_, server, _)| server == id || server.is_empty());
        of_server.map(|(at, _, what)| format!("{at} {what}\n")).collect()
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                Event::Order(order, answered) => self.take(order, answered),
                Event::Outcome(id, number, outcome) => {
                    self.note(&id, format!("answered {outcome}"));
                    self.planner.complete_order(self.now, &id, number, outcome);
                }
                Event::Heartbeat(record) => self.tell(&record),
                Event::Report(id, report) => {
                    self.note(&id, format!("report {report:?}"));
                    self.planner.record_report(self.now, &id, &report);
                }
            }
        }
    }

    /// The directory's part: gone is final, also for heartbeats that come late.
    fn tell(&mut self, record: &ServerRecord) {
        if record.presence == Presence::Removed {
            self.gone.insert(record.id.clone());
        } else if self.gone.contains(&record.id) {
            return;
        }
        let listed = format!("heartbeat {} {:?}", record.heartbeat.sequence, record.heartbeat.models);
        self.note(&record.id, listed);
        self.planner.update_server(self.now, record);
        self.standby.update_server(self.now, record);
    }

    fn plan(&mut self) {
        let may_order = self.now >= self.orders_from;
        let orders = if may_order { self.planner.next_orders(self.now) } else { Vec::new() };
        for order in orders {
            self.orders.push((self.now, order.clone()));
            self.note(&order.server, format!("planned {order:?}"));
            let late = if self.chance(self.faults.order_late) { ORDER_LATE } else { 60 };
            let arrives = self.now + self.random.random_range(1..late);
            let timeout = self.now + ANSWER_WITHIN;
            if self.chance(self.faults.order_lost) {
                self.at(timeout, Event::Outcome(order.server, order.number, OrderOutcome::Unknown));
            } else if self.chance(self.faults.answer_lost) {
                self.at(timeout, Event::Outcome(order.server.clone(), order.number, OrderOutcome::Unknown));
                self.at(arrives, Event::Order(order, false));
            } else {
                self.at(arrives, Event::Order(order, true));
            }
        }
        for id in self.planner.next_reports(self.now) {
            self.reports += 1;
            let lost = self.chance(self.faults.report_lost);
            let Some(server) = self.servers.iter().find(|server| server.id() == id && server.up()) else {
                continue;
            };
            let old = self.now.saturating_sub(REPORT_LAG);
            let past = server.past.iter().rev().find(|(at, _)| *at <= old);
            let Some(report) = past.map(|(_, report)| report.clone()).filter(|_| !lost) else { continue };
            let late = self.chance(self.faults.report_late);
            let takes = if late { self.random.random_range(STEP..REPORT_LATE) } else { STEP };
            self.at(self.now + takes, Event::Report(id, report));
        }
    }

    /// A server takes an order, and the rules are checked.
    fn take(&mut self, order: PlannedOrder, answered: bool) {
        let outcome = self.outcome(&order);
        self.note(&order.server, format!("taken as {outcome}: {} {}", order.operation, order.model));
        if answered {
            let answer = self.now + self.random.random_range(1..60);
            self.at(answer, Event::Outcome(order.server, order.number, outcome));
        }
    }

    fn outcome(&mut self, order: &PlannedOrder) -> OrderOutcome {
        let (now, at_once) = (self.now, self.catalogue.max_concurrent_loads());
        let spec = self
            .catalogue
            .models
            .iter()
            .find(|model| model.name == order.model)
            .expect("a known model")
            .clone();
        let loading =
            self.servers.iter().filter(|s| s.running.as_ref().is_some_and(|run| run.from_store)).count();
        let slow = if self.chance(self.faults.load_slow) {
            self.random.random_range(1.0..SLOWEST_LOAD)
        } else {
            1.0
        };
        let Some(server) = self.servers.iter_mut().find(|server| server.id() == order.server && server.up())
        else {
            return self.nobody_there(&order.server);
        };
        if server.running.is_some() || order.if_revision != server.sequence {
            return OrderOutcome::Busy;
        }
        let held = server.held.get(&order.model);
        let has = match &order.adapter {
            None => held.is_some(),
            Some(adapter) => held.is_some_and(|adapters| adapters.contains(adapter)),
        };
        if has == (order.operation == Operation::Load) {
            return OrderOutcome::AlreadyDone;
        }
        if order.adapter.is_some() && held.is_none() {
            return OrderOutcome::Rejected;
        }
        server.sequence += 1;
        let mut from_store = false;
        let takes = match (order.operation, &order.adapter) {
            (Operation::Evict, _) => self.random.random_range(0..800),
            (Operation::Load, Some(_)) => ADAPTER_TAKES,
            (Operation::Load, None) => {
                from_store = server.disk.insert(order.model.clone());
                let part = if from_store { 1.0 } else { 0.2 };
                let crowded = ((loading + 1) as f64 / at_once as f64).max(1.0);
                (spec.load_time_s * 1_000.0 * part * crowded * slow) as Millis
            }
        };
        server.running = Some(Running {
            operation: order.operation,
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            done: now + takes,
            from_store,
        });
        if order.operation == Operation::Load {
            let mut after = server.held.clone();
            after.entry(order.model.clone()).or_default().extend(order.adapter.clone());
            self.check_capacity(&order.server, &after);
        }
        if from_store {
            self.count_load();
        }
        OrderOutcome::Accepted
    }

    /// The address of a server that has ended refuses, or another start of it answers 421.
    fn nobody_there(&self, id: &str) -> OrderOutcome {
        let place = id.split('-').next();
        let another = self.servers.iter().any(|server| server.up() && server.id().split('-').next() == place);
        if another {
            OrderOutcome::WrongInstance
        } else {
            OrderOutcome::NotSent
        }
    }

    fn check_capacity(&self, id: &str, after: &Held) {
        let size =
            |name: &String| self.catalogue.models.iter().find(|model| model.name == *name).expect("known");
        let mb: f64 = after
            .iter()
            .map(|(name, adapters)| {
                size(name).weights_mb + adapters.len() as f64 * size(name).adapter_size_mb
            })
            .sum();
        let adapters: usize = after.values().map(BTreeSet::len).sum();
        assert!(
            mb <= self.catalogue.weights_mb && adapters <= self.catalogue.adapter_capacity as usize,
            "{id} ordered beyond its room at {}: {after:?}\n{}",
            self.now,
            self.history_of(id)
        );
    }

    fn count_load(&mut self) {
        self.loads.push(self.now);
        let window = Options::default().origin_window;
        let begun = self.loads.iter().filter(|at| **at + window > self.now).count();
        let allowed = self.catalogue.load_per_s * window as f64 / 1_000.0;
        assert!(begun as f64 <= allowed, "{begun} loads began in the window that ends at {}", self.now);
    }

    fn work(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            if let Some(run) = server.running.take_if(|run| run.done <= now) {
                match (run.operation, run.adapter) {
                    (Operation::Load, None) => drop(server.held.insert(run.model, BTreeSet::new())),
                    (Operation::Load, Some(adapter)) => {
                        server.held.entry(run.model).or_default().insert(adapter);
                    }
                    (Operation::Evict, None) => drop(server.held.remove(&run.model)),
                    (Operation::Evict, Some(adapter)) => {
                        if let Some(adapters) = server.held.get_mut(&run.model) {
                            adapters.remove(&adapter);
                        }
                    }
                }
            }
            if server.up() {
                let report = server.report();
                server.past.push_back((now, report));
                if server.past.len() > 32 {
                    server.past.pop_front();
                }
            }
        }
    }

    fn beat(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            if self.servers[index].back_at.is_some_and(|back| back <= now) {
                self.restart(index);
            }
            let server = &mut self.servers[index];
            let due = server.next_beat <= now;
            let silent = !server.up() && now.saturating_sub(server.last_beat) >= SILENT_AFTER;
            if !due && !silent {
                continue;
            }
            server.next_beat = now + HEARTBEAT;
            server.beats += u64::from(server.up());
            let heartbeat = Heartbeat {
                service: SERVICE.into(),
                address: format!("10.0.0.{index}:80"),
                zone: "a".into(),
                slots: 64,
                state: if server.draining { ServerState::Draining } else { ServerState::Ready },
                models: Some(list(&server.held)),
                sequence: server.beats,
                ..Heartbeat::default()
            };
            let presence = match (server.up(), server.draining) {
                (false, _) => Presence::TimedOut,
                (true, true) => Presence::Draining,
                (true, false) => Presence::Ready,
            };
            if server.up() {
                server.last_beat = now;
            } else if now.saturating_sub(server.last_beat) < SILENT_AFTER {
                continue;
            }
            let record = ServerRecord { id: server.id(), heartbeat, presence, ..ServerRecord::default() };
            let latest = self.faults.latest_heartbeat.unwrap_or(HEARTBEAT_LATE);
            let late = if self.chance(self.faults.heartbeat_late) {
                self.random.random_range(0..latest)
            } else {
                10
            };
            self.at(now + late, Event::Heartbeat(record));
        }
    }

    /// A server starts anew. The directory takes the former start, whose address it has, for gone.
    fn restart(&mut self, index: usize) {
        let now = self.now;
        let server = &mut self.servers[index];
        let heartbeat = Heartbeat { service: SERVICE.into(), ..Heartbeat::default() };
        let former = ServerRecord {
            id: server.id(),
            heartbeat,
            presence: Presence::Removed,
            ..ServerRecord::default()
        };
        server.back_at = None;
        server.start += 1;
        server.beats = 0;
        server.next_beat = now;
        server.draining = false;
        self.at(now + 10, Event::Heartbeat(former));
    }

    /// Requests arrive, those that found a holder are served, and the edge reports.
    fn ask(&mut self) {
        let now = self.now;
        let mut reported: BTreeMap<(String, Option<String>), Demand> = BTreeMap::new();
        for (index, asked) in self.demand.clone().into_iter().enumerate() {
            let due = self.due.entry(index).or_default();
            *due += asked.per_second * DEMAND_EVERY as f64 / 1_000.0;
            let arrived = due.floor() as u32;
            *due -= f64::from(arrived);
            let key = (asked.model.clone(), asked.adapter.clone());
            if arrived > 0 {
                let entry = reported.entry(key.clone()).or_default();
                entry.arrived += arrived;
                entry.tokens += u64::from(arrived) * asked.tokens;
                self.waiting.entry(key).or_insert((now, 0)).1 += arrived;
            }
        }
        for (key, (since, count)) in std::mem::take(&mut self.waiting) {
            let there = match &key.1 {
                None => self.holders(&key.0).len(),
                Some(adapter) => self.adapter_holders(&key.0, adapter),
            };
            let longest = self.longest_wait.entry(key.0.clone()).or_default();
            *longest = (*longest).max(now - since);
            if there == 0 {
                reported.entry(key.clone()).or_default().waiting = count;
                self.waiting.insert(key, (since, count));
            }
        }
        let demand: Vec<Demand> = reported
            .into_iter()
            .map(|((model, adapter), demand)| Demand { service: SERVICE.into(), model, adapter, ..demand })
            .collect();
        self.planner.record_demand(now, EDGE, &demand);
        self.standby.record_demand(now, EDGE, &demand);
    }
}
