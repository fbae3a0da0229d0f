//! The planner: takes in what happens, keeps the state, and puts the next orders together.

use std::collections::BTreeMap;

use shaletrail_protocol::external::{LoadedModel, Operation, Report};
use shaletrail_protocol::internal::{Demand, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_ring::{hash_of_name, SlotArray};

use crate::catalogue::{adapter_name, adapter_number, Catalogue};
use crate::choice::ServerKey;
use crate::demand::Sources;
use crate::doubt::Doubt;
use crate::holding::Listed;
use crate::in_flight::InFlight;
pub use crate::in_flight::OrderNumber;
use crate::model::{Item, ModelId, ModelTable};
use crate::options::Options;
use crate::origin::OriginBudget;
use crate::server::Server;

/// Servers that are kept at most.
const MOST_SERVERS: usize = 4_096;
/// Pauses before the next order to a server that did not take one, in milliseconds.
const PAUSE_UNREACHABLE: Millis = 1_000;
const PAUSE_REJECTED: Millis = 5_000;

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum OrderOutcome {
    /// 202: it is being carried out.
    Accepted,
    /// 200: there is nothing to do.
    #[strum(to_string = "AlreadyHeld")]
    AlreadyDone,
    /// 409: another order is under way, or the count of orders is not the expected one.
    Busy,
    /// 412: the server has seen a higher fence.
    Fenced,
    /// 400: there is no such order.
    Rejected,
    /// 421: the address has another server.
    #[strum(to_string = "Gone")]
    WrongInstance,
    /// It was surely not sent, or the connection was refused.
    NotSent,
    /// It was sent and no clear answer came: it may have been taken.
    Unknown,
}

/// An order to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Its name, by which its outcome is told.
    pub number: OrderNumber,
    /// To which server.
    pub server: ServerId,
    /// Its address, `IP:PORT`.
    pub address: String,
    /// What to do.
    pub operation: Operation,
    /// With which model.
    pub model: String,
    /// With which of its adapters, if not with the model itself.
    pub adapter: Option<String>,
    /// The count of orders that the server must be at: it refuses where that is another one.
    pub if_revision: u64,
}

/// What a server should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredServer {
    /// The server.
    pub server: ServerId,
    /// Names of the models, in order.
    pub models: Vec<String>,
    /// The model that is on its way there.
    pub loading: Option<String>,
}

/// Counts of what the planner did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerCounters {
    /// Rounds that looked for missing replicas; the others found that nothing had changed.
    pub planning_passes: u64,
    /// Servers that were looked at as places.
    pub servers_examined: u64,
    /// Loads of models from the weight store.
    pub origin_loads: u64,
    /// Loads of models from a server's own disk.
    pub disk_loads: u64,
    /// Evictions of models.
    pub evictions: u64,
    /// Orders about adapters.
    pub adapter_orders: u64,
}

/// The planner of one service's models.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) service: String,
    pub(crate) options: Options,
    pub(crate) catalogue: Catalogue,
    /// Models that a server holds in the mean where servers are filled well.
    pub(crate) model_slots_per_server: f64,
    pub(crate) models: ModelTable,
    pub(crate) sources: Sources,
    pub(crate) servers: BTreeMap<ServerKey, Server>,
    pub(crate) keys: BTreeMap<ServerId, ServerKey>,
    pub(crate) next_key: u64,
    pub(crate) last_order: u64,
    pub(crate) ring: SlotArray<ServerKey>,
    pub(crate) origin: OriginBudget,
    pub(crate) former: Doubt,
    /// Whether something was taken in since the last round.
    pub(crate) changed: bool,
    /// Whether replicas were missing in the last round.
    pub(crate) short: bool,
    pub(crate) last_round: Millis,
    pub(crate) figures: PlannerCounters,
}

impl Planner {
    /// A planner that takes over at this moment: the lease of a former holder is over, what it has ordered is
    /// not known, and it may have used up the store's rate.
    pub fn new(service: String, catalogue: Catalogue, options: Options, now: Millis) -> Self {
        let origin = OriginBudget::exhausted(now, options.origin_window, catalogue.load_per_s);
        let former = Doubt::of_former_orders(&catalogue, now);
        let mut models = ModelTable::default();
        models.set_catalogue(&catalogue);
        Planner {
            service,
            options,
            model_slots_per_server: catalogue.model_slots_per_server(),
            catalogue,
            models,
            sources: Sources::default(),
            servers: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_key: 0,
            last_order: 0,
            ring: SlotArray::default(),
            origin,
            former,
            changed: true,
            short: false,
            last_round: now,
            figures: PlannerCounters::default(),
        }
    }

    /// Begins to order, after having watched. A former holder's orders may have been taken until `former_until`, and
    /// may have used up the store's rate by then; `None` if nobody has ordered before.
    pub fn start_ordering(&mut self, now: Millis, former_until: Option<Millis>) {
        let (window, rate) = (self.options.origin_window, self.catalogue.load_per_s);
        (self.origin, self.former) = match former_until {
            Some(until) => (
                OriginBudget::exhausted(until, window, rate),
                Doubt::of_former_orders(&self.catalogue, until),
            ),
            None => (OriginBudget::unused(window, rate), Doubt::ended(now)),
        };
        let doubt = former_until.map(|_| self.former);
        self.servers.values_mut().for_each(|server| server.start_over(doubt));
        self.changed = true;
    }

    /// Takes over a changed configuration.
    pub fn set_catalogue(&mut self, catalogue: Catalogue) {
        self.models.set_catalogue(&catalogue);
        self.origin.set_rate(catalogue.load_per_s);
        self.model_slots_per_server = catalogue.model_slots_per_server();
        self.catalogue = catalogue;
        self.changed = true;
    }

    /// Takes over what the directory knows of a server. Records of other services are passed over.
    pub fn update_server(&mut self, now: Millis, record: &ServerRecord) {
        if record.heartbeat.service != self.service {
            return;
        }
        if record.presence == Presence::Removed {
            return self.remove_server(&record.id);
        }
        let Some(key) = self.key_of(&record.id) else { return };
        let models = record.heartbeat.models.as_deref().map(|held| self.list(held));
        let Some(server) = self.servers.get_mut(&key) else { return };
        let newer = server.heartbeat(now, record.heartbeat.sequence, models.as_deref());
        if !newer && record.presence == Presence::Ready && !server.is_ready() {
            return;
        }
        self.changed |= newer;
        server.slots = record.heartbeat.slots;
        let moved = server.address != record.heartbeat.address;
        server.address.clone_from(&record.heartbeat.address);
        self.set_presence(key, record.presence, moved);
    }

    /// Its address has another server: until its heartbeats come again it counts as silent.
    fn silence(&mut self, now: Millis, id: &ServerId) {
        let Some(key) = self.keys.get(id).copied() else { return };
        if let Some(server) = self.servers.get_mut(&key) {
            server.not_taken(now, PAUSE_UNREACHABLE);
        }
        self.set_presence(key, Presence::TimedOut, false);
    }

    fn set_presence(&mut self, key: ServerKey, presence: Presence, moved: bool) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        let was_ready = server.is_ready();
        server.presence = presence;
        if !server.is_ready() {
            server.reserved = None;
        }
        if was_ready != server.is_ready() || moved {
            self.changed = true;
            let size = if server.is_ready() { 1.0 } else { 0.0 };
            self.ring.update(&[(key, hash_of_name(&server.address), size)]);
        }
    }

    /// A server that the directory no longer has.
    pub fn remove_server(&mut self, id: &ServerId) {
        let Some(key) = self.keys.remove(id) else { return };
        self.ring.update(&[(key, 0, 0.0)]);
        self.servers.remove(&key);
        self.changed = true;
    }

    /// Takes over what a source of demand (an edge, or a coordinator for its edges) says. Waiting and open
    /// requests replace those of its last report.
    pub fn record_demand(&mut self, now: Millis, source: NodeId, demand: &[Demand]) {
        self.sources.report(now, source, demand, &self.service, &mut self.models);
        self.changed |= demand.iter().any(|entry| entry.service == self.service);
    }

    /// Takes over a server's answer to `GET /report`.
    pub fn record_report(&mut self, now: Millis, id: &ServerId, report: &Report) {
        let listed = self.list(&report.models);
        let Some(server) = self.server_mut(id) else { return };
        server.report(now, report.sequence, report.utilization, &listed);
        self.changed = true;
    }

    /// A server was asked for its report, and none came.
    pub fn report_failed(&mut self, now: Millis, id: &ServerId) {
        if let Some(server) = self.server_mut(id) {
            server.unreported(now, PAUSE_UNREACHABLE);
            self.changed = true;
        }
    }

    /// Takes over how an order to a server ended, if it is still outstanding.
    pub fn complete_order(&mut self, now: Millis, id: &ServerId, number: OrderNumber, outcome: OrderOutcome) {
        let Some(server) = self.keys.get(id).and_then(|key| self.servers.get_mut(key)) else { return };
        let outstanding = |order: &&InFlight| order.number == number && order.accepted.is_none();
        let Some(order) = server.in_flight.as_ref().filter(outstanding) else { return };
        if let Some(token) = order.origin {
            match outcome {
                OrderOutcome::Accepted => self.origin.accepted(now, token),
                OrderOutcome::Unknown => {}
                _ => self.origin.cancel(token),
            }
        }
        match outcome {
            OrderOutcome::Accepted => server.accepted(now),
            OrderOutcome::AlreadyDone => server.already(now),
            OrderOutcome::Busy => server.busy(now),
            OrderOutcome::Rejected => server.not_taken(now, PAUSE_REJECTED),
            OrderOutcome::Fenced | OrderOutcome::NotSent => server.not_taken(now, PAUSE_UNREACHABLE),
            OrderOutcome::WrongInstance => return self.silence(now, id),
            OrderOutcome::Unknown => server.unanswered(now),
        }
        self.changed = true;
    }

    /// Servers whose report would tell something that is waited for, to be asked now.
    pub fn next_reports(&mut self, now: Millis) -> Vec<ServerId> {
        let short = self.short;
        let wanting = self.servers.values_mut().filter_map(|server| {
            let wanted = short || server.reserved.is_some();
            server.wants_report(now, wanted).then(|| server.id.clone())
        });
        wanting.collect()
    }

    /// What each ready server should hold.
    pub fn desired_servers(&self) -> Vec<DesiredServer> {
        let wanted = self.ready_servers().map(|server| {
            let stays = |id: &ModelId| server.serves(Item { model: *id, adapter: None });
            let order = server.in_flight.as_ref().filter(|order| order.is_model(Operation::Load));
            let coming = server.reserved.map(|place| place.model).or(order.map(|order| order.item.model));
            DesiredServer {
                server: server.id.clone(),
                models: server.holding.models().filter(stays).filter_map(|id| self.name(id)).collect(),
                loading: coming.and_then(|id| self.name(id)),
            }
        });
        wanted.collect()
    }

    /// What a server serves now and is not about to drop, in order of names; `None` where that is in doubt. Knows of
    /// orders before the server's next heartbeat does, and counts a load as done by the time that it should take: a
    /// server that takes longer turns requests away, which have not run then.
    pub fn served(&self, now: Millis, id: &ServerId) -> Option<Vec<LoadedModel>> {
        let server = self.keys.get(id).and_then(|key| self.servers.get(key))?;
        if server.doubt.is_some() {
            return None;
        }
        let held =
            server.holding.models().filter(|model| server.serves(Item { model: *model, adapter: None }));
        let loaded = server.in_flight.as_ref().filter(|order| order.is_likely_loaded(now));
        let loaded = loaded.filter(|order| !server.holding.has(order.item) && order.item.adapter.is_none());
        let models = held.chain(loaded.map(|order| order.item.model));
        let mut served: Vec<LoadedModel> =
            models.filter_map(|model| self.served_model(server, model)).collect();
        served.sort_by(|one, other| one.name.cmp(&other.name));
        Some(served)
    }

    fn served_model(&self, server: &Server, model: ModelId) -> Option<LoadedModel> {
        let of_model = server.holding.adapters().filter(|(of, _)| *of == model);
        let served = of_model.filter(|(_, adapter)| server.serves(Item { model, adapter: Some(*adapter) }));
        let adapters = served.map(|(_, adapter)| adapter_name(adapter)).collect();
        Some(LoadedModel { name: self.name(model)?, version: 0, adapters })
    }

    /// How many replicas of a model are wanted; 0 without demand.
    pub fn desired_replicas(&self, model: &str) -> usize {
        let item = self.models.current(model, None);
        item.and_then(|item| self.models.get(item.model)).map_or(0, |model| model.target.replicas)
    }

    /// Counts of what was done.
    pub fn counters(&self) -> PlannerCounters {
        self.figures
    }

    pub(crate) fn ready_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.is_ready())
    }

    fn server_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.keys.get(id).and_then(|key| self.servers.get_mut(key))
    }

    pub(crate) fn name(&self, id: ModelId) -> Option<String> {
        self.models.get(id).map(|model| model.spec.name.clone())
    }

    fn key_of(&mut self, id: &ServerId) -> Option<ServerKey> {
        if let Some(key) = self.keys.get(id) {
            return Some(*key);
        }
        if self.servers.len() >= MOST_SERVERS {
            return None;
        }
        self.next_key += 1;
        let key = ServerKey(self.next_key);
        self.keys.insert(id.clone(), key);
        self.servers.insert(key, Server::new(id.clone(), self.former));
        Some(key)
    }

    fn list(&mut self, held: &[LoadedModel]) -> Vec<Listed> {
        let assumed = self.catalogue.largest_model_mb();
        let list = held.iter().map(|entry| {
            let adapters: Vec<u32> = entry.adapters.iter().filter_map(|name| adapter_number(name)).collect();
            let strange = entry.adapters.len() - adapters.len();
            Listed { model: self.models.intern(&entry.name, assumed), adapters, strange }
        });
        list.collect()
    }
}
