//! A round of the planner: what is missing, where it goes, which orders are next.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use crate::adapters;
use crate::catalogue::adapter_name;
use crate::choice::{dearest_loss, surplus, work, Scene, ServerKey};
use crate::fair_share::work_per_replica;
use crate::in_flight::{InFlight, OrderNumber};
use crate::model::{Item, Model, ModelId};
use crate::needs::{needs, Need, Tally, Urgency};
use crate::planner::{PlannedOrder, Planner};
use crate::server::{Reservation, Server};
use crate::target::load;

/// Milliseconds after which a round is due even if nothing has changed.
const QUIET_ROUND: Millis = 1_000;
/// With fewer loads at once than this none is kept free for urgent ones.
const SPARE_FROM: usize = 3;

/// Loads from the weight store that may be planned now.
struct LoadBudget {
    /// Orders that the rate allows.
    rate: usize,
    /// Loads that fit beside those under way; below 0 where more are under way.
    at_once: isize,
    /// The parts of both that only urgent loads may use.
    spare_rate: usize,
    spare_at_once: isize,
    /// Loads that no request waits for which may yet be under way.
    unawaited: isize,
}

impl LoadBudget {
    fn allows(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::Waiting => self.rate > 0 && self.at_once > -URGENT_BEYOND,
            Urgency::Overloaded | Urgency::Absent => {
                self.rate > self.spare_rate && self.at_once > self.spare_at_once && self.unawaited > 0
            }
        }
    }

    fn take(&mut self) {
        self.rate = self.rate.saturating_sub(1);
        self.at_once -= 1;
        self.unawaited -= 1;
    }
}

/// Loads for models with waiting requests that may be under way beyond those that the store serves at full speed.
const URGENT_BEYOND: isize = 2;
/// Loads that may be under way before only those begin that requests wait for: this many, or one for so many servers. A
/// server that loads takes no other order, and a store may serve more loads at once than there are servers to spare.
const MOST_UNAWAITED: usize = 64;
const SERVERS_PER_UNAWAITED: usize = 5;
/// Servers for each of which one should have room for another model, so that an urgent load need not wait for an
/// eviction.
const SERVERS_PER_SPARE: usize = 6;
/// Demand must have been known for so long before room is made ahead of need, in milliseconds.
const SPARE_AFTER: Millis = 3_000;

/// What a reserved server does next.
enum Step {
    Load { item: Item, from_origin: bool },
    Evict(Item),
    GiveUp,
}

impl Planner {
    /// The orders to be sent now, at most one for each server. Each is outstanding until its
    /// [`Planner::outcome`].
    pub fn next_orders(&mut self, now: Millis) -> Vec<PlannedOrder> {
        self.servers.values_mut().for_each(|server| server.settle(now));
        self.sources.lapse(now, &mut self.models);
        let busy = |server: &Server| server.in_flight.is_some() || server.reserved.is_some();
        let fresh = now.saturating_sub(self.last_round) < QUIET_ROUND;
        if fresh && !self.changed && !self.short && !self.servers.values().any(busy) {
            return Vec::new();
        }
        self.changed = false;
        self.last_round = now;
        self.figures.planning_passes += 1;
        self.update_targets(now);
        self.cancel_reservations();
        self.reserve(now);
        let mut orders = self.carry_out_reservations(now);
        orders.extend(self.adapter_orders(now));
        orders.extend(self.make_room_ahead(now));
        orders
    }

    /// Drops a model that nobody has asked for lately where too few servers have room for another one.
    fn make_room_ahead(&mut self, now: Millis) -> Option<PlannedOrder> {
        let since = self.sources.known_since()?;
        if self.short || now.saturating_sub(since) < SPARE_AFTER {
            return None;
        }
        let tally = self.tally();
        let scene = self.scene(now, &tally);
        let ready: Vec<_> = self.servers.iter().filter(|(_, server)| server.is_ready()).collect();
        let largest = self.catalogue.largest_model_mb();
        let has_room = |server: &Server| {
            let evicts = server.in_flight.as_ref().is_some_and(|order| order.is_model(Operation::Evict));
            evicts || server.used_mb(&self.models) + largest <= self.catalogue.weights_mb
        };
        let spare = ready.iter().filter(|(_, server)| has_room(server)).count();
        if spare >= ready.len() / SERVERS_PER_SPARE {
            return None;
        }
        let free = ready.iter().filter(|(_, server)| server.takes_orders(now) && server.reserved.is_none());
        let victims = free.filter(|(_, server)| !has_room(server)).filter_map(|(key, server)| {
            let (price, model) = scene.cheapest(**key, server, &tally)?;
            Some((price, **key, model))
        });
        let (_, key, model) = victims.min()?;
        self.send(now, key, Operation::Evict, Item { model, adapter: None }, false)
    }

    fn tally(&self) -> Tally {
        Tally::count(self.models.len(), self.servers.values())
    }

    fn scene(&self, now: Millis, tally: &Tally) -> Scene<'_> {
        Scene {
            surplus: surplus(&self.models, &self.servers, &self.ring, tally),
            work: work(&self.models, &self.servers, tally),
            ..self.bare_scene(now)
        }
    }

    /// A scene that tells nothing of surplus and work.
    fn bare_scene(&self, now: Millis) -> Scene<'_> {
        Scene {
            now,
            models: &self.models,
            servers: &self.servers,
            ring: &self.ring,
            catalogue: &self.catalogue,
            options: &self.options,
            surplus: Default::default(),
            taken: Default::default(),
            work: Default::default(),
        }
    }

    fn update_targets(&mut self, now: Millis) {
        let tally = self.tally();
        let slots = self.ready_servers().map(|server| server.slots).max().unwrap_or(1);
        let room = self.room_for_extra_replicas(self.ready_servers().count());
        let load_of = |model: &Model| load(now, &model.demand, slots, &self.options);
        let loads: Vec<Option<f64>> = self.models.configured().map(|(_, model)| load_of(model)).collect();
        let asked: Vec<f64> = loads.iter().copied().flatten().collect();
        let work = work_per_replica(&asked, room);
        for ((id, model), load) in self.models.configured_mut().zip(loads) {
            model.target.update(now, load, &model.demand, tally.of(id).serving, work);
        }
    }

    /// Replicas beyond each model's first that there may be on so many ready servers.
    fn room_for_extra_replicas(&self, ready: usize) -> usize {
        let places = ready as f64 * self.model_slots_per_server;
        (places * self.options.extra_replica_share.clamp(0.0, 1.0)) as usize
    }

    /// Gives up places for models that by now have enough replicas.
    fn cancel_reservations(&mut self) {
        let mut tally = self.tally();
        for server in self.servers.values_mut() {
            let Some(place) = server.reserved else { continue };
            let wanted = self.models.get(place.model).map_or(0, |model| model.target.replicas);
            if tally.of(place.model).total() > wanted {
                server.reserved = None;
                tally.change(place.model, |copies| copies.reserved = copies.reserved.saturating_sub(1));
            }
        }
    }

    /// Finds places for missing replicas, as far as the store's rate allows.
    fn reserve(&mut self, now: Millis) {
        let mut tally = self.tally();
        let ready = self.ready_servers().count();
        let extra = self.room_for_extra_replicas(ready);
        let needs = needs(now, &self.models, &tally, ready, extra);
        self.short = !needs.is_empty();
        if needs.is_empty() {
            return;
        }
        let mut budget = self.load_budget(now, ready);
        let mut examined = 0;
        let mut places = Vec::new();
        let mut scene = self.scene(now, &tally);
        for need in &needs {
            if !budget.allows(need.urgency) && !self.on_some_disk(need.model) {
                continue;
            }
            let Some(place) = scene.place(need, &tally, &mut examined) else { continue };
            if place.from_origin && !budget.allows(need.urgency) {
                continue;
            }
            if place.from_origin {
                budget.take();
            }
            scene.taken.insert(place.server);
            *scene.work.entry(place.server).or_default() += self.share_of_one_more(need, &tally);
            if let Some(victim) = place.victim {
                tally.change(victim, |copies| copies.serving = copies.serving.saturating_sub(1));
            }
            let reservation =
                Reservation { model: need.model, from_origin: place.from_origin, urgency: need.urgency };
            places.push((place.server, reservation));
        }
        for (key, reservation) in places {
            if let Some(server) = self.servers.get_mut(&key) {
                server.reserved = Some(reservation);
            }
        }
        self.figures.servers_examined += examined;
    }

    fn on_some_disk(&self, model: ModelId) -> bool {
        self.servers.values().any(|server| server.is_ready() && server.held_before(model))
    }

    fn share_of_one_more(&self, need: &Need, tally: &Tally) -> f64 {
        let load = self.models.get(need.model).map_or(0.0, |model| model.target.load);
        load / (tally.of(need.model).total() + 1) as f64
    }

    fn load_budget(&mut self, now: Millis, ready: usize) -> LoadBudget {
        let reserved =
            self.servers.values().filter(|s| s.reserved.is_some_and(|place| place.from_origin)).count();
        let at_once = self.catalogue.max_concurrent_loads();
        let under_way = (reserved + self.loads_under_way(now)) as isize;
        let most_unawaited = MOST_UNAWAITED.max(ready / SERVERS_PER_UNAWAITED);
        let spare = self.origin.limit() as f64 * self.options.urgent_load_share.clamp(0.0, 1.0);
        LoadBudget {
            rate: self.origin.available(now).saturating_sub(reserved),
            at_once: at_once as isize - under_way,
            spare_rate: spare as usize,
            spare_at_once: isize::from(at_once >= SPARE_FROM),
            unawaited: most_unawaited as isize - under_way,
        }
    }

    /// Loads from the weight store that are likely not over.
    fn loads_under_way(&self, now: Millis) -> usize {
        let orders = self.servers.values().filter_map(|server| server.in_flight.as_ref());
        orders.filter(|order| order.origin.is_some() && !order.is_likely_loaded(now)).count()
    }

    /// The next order of each server that is reserved: what gives way goes, then the model is loaded.
    fn carry_out_reservations(&mut self, now: Millis) -> Vec<PlannedOrder> {
        if !self.servers.values().any(|server| server.reserved.is_some()) {
            return Vec::new();
        }
        self.await_counts(now);
        let mut tally = self.tally();
        let mut rate = self.origin.available(now);
        let mut at_once = self.catalogue.max_concurrent_loads() as isize - self.loads_under_way(now) as isize;
        let scene = self.scene(now, &tally);
        let mut steps = Vec::new();
        let ready = |server: &Server| server.takes_orders(now) && server.count.known().is_some();
        for (key, server) in self.servers.iter().filter(|(_, server)| ready(server)) {
            let Some(place) = server.reserved else { continue };
            let step = next_step(&scene, *key, server, &place, &tally);
            if let Step::Load { from_origin: true, .. } = step {
                let beyond = if place.urgency == Urgency::Waiting { URGENT_BEYOND } else { 0 };
                if rate == 0 || at_once <= -beyond {
                    continue;
                }
                (rate, at_once) = (rate - 1, at_once - 1);
            }
            if let Step::Evict(item) = step {
                tally.change(item.model, |copies| copies.serving = copies.serving.saturating_sub(1));
            }
            steps.push((*key, step));
        }
        steps.into_iter().filter_map(|(key, step)| self.take_step(now, key, step)).collect()
    }

    /// Lets reserved servers be asked for the count that their next order has to name.
    fn await_counts(&mut self, now: Millis) {
        let reserved = self.servers.values_mut().filter(|server| server.reserved.is_some());
        let waiting = reserved.filter(|server| server.takes_orders(now) && server.count.known().is_none());
        waiting.for_each(Server::await_count);
    }

    fn take_step(&mut self, now: Millis, key: ServerKey, step: Step) -> Option<PlannedOrder> {
        let server = self.servers.get_mut(&key)?;
        if !matches!(step, Step::Evict(_)) {
            server.reserved = None;
        }
        match step {
            Step::Load { item, from_origin } => self.send(now, key, Operation::Load, item, from_origin),
            Step::Evict(item) => self.send(now, key, Operation::Evict, item, false),
            Step::GiveUp => None,
        }
    }

    fn adapter_orders(&mut self, now: Millis) -> Vec<PlannedOrder> {
        let mut examined = 0;
        let orders = adapters::orders(&self.bare_scene(now), &mut examined);
        self.figures.servers_examined += examined;
        let sent =
            orders.iter().map(|order| self.send(now, order.server, order.operation, order.item, false));
        sent.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Notes an order as outstanding and puts it into words. Where the count that it has to name is not known, the
    /// server is asked for it instead.
    fn send(
        &mut self,
        now: Millis,
        key: ServerKey,
        operation: Operation,
        item: Item,
        from_origin: bool,
    ) -> Option<PlannedOrder> {
        let spec = &self.models.get(item.model)?.spec;
        // Too many loads slow each other in proportion.
        let crowding = (self.loads_under_way(now) + 1) as f64 / self.catalogue.max_concurrent_loads() as f64;
        let takes = match (operation, item.adapter) {
            (Operation::Load, None) => {
                InFlight::load_takes(spec.load_time_s * crowding.max(1.0), from_origin)
            }
            _ => 0,
        };
        let server = self.servers.get_mut(&key)?;
        let Some(named) = server.count.known() else {
            server.await_count();
            return None;
        };
        match (operation, item.adapter) {
            (_, Some(_)) => self.figures.adapter_orders += 1,
            (Operation::Evict, None) => self.figures.evictions += 1,
            (Operation::Load, None) if from_origin => self.figures.origin_loads += 1,
            (Operation::Load, None) => self.figures.disk_loads += 1,
        }
        self.last_order += 1;
        let number = OrderNumber(self.last_order);
        let origin = from_origin.then(|| self.origin.order(now));
        server.order(InFlight { number, named, operation, item, sent: now, accepted: None, origin, takes });
        Some(PlannedOrder {
            number,
            server: server.id.clone(),
            address: server.address.clone(),
            operation,
            model: spec.name.clone(),
            adapter: item.adapter.map(adapter_name),
            if_revision: named,
        })
    }
}

/// The work of each replica of a model beside the one that is reserved, in replicas at ease.
fn work_of_others(scene: &Scene, place: &Reservation, tally: &Tally) -> f64 {
    let load = scene.models.get(place.model).map_or(0.0, |model| model.target.load);
    let others = tally.of(place.model).total().saturating_sub(1).max(1);
    load / others as f64
}

fn next_step(scene: &Scene, key: ServerKey, server: &Server, place: &Reservation, tally: &Tally) -> Step {
    let item = Item { model: place.model, adapter: None };
    if server.holding.has(item) {
        return Step::GiveUp;
    }
    if scene.missing_mb(server, place.model) <= 0.0 {
        return Step::Load { item, from_origin: !server.held_before(place.model) };
    }
    let dearest = dearest_loss(place.urgency, work_of_others(scene, place, tally));
    match scene.victim(key, server, place.model, dearest, tally) {
        Some(model) => Step::Evict(Item { model, adapter: None }),
        None => Step::GiveUp,
    }
}
