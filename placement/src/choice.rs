//! On which server a missing replica goes, and which models give way for it.
//!
//! The servers are tried in the order of the model's RJ-CH sequence, so that routing and placement agree on homes.
//! Before that order go what has to be dropped there and, for overloaded models, how much the server has to do.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::Millis;
use shaletrail_ring::{Key, SlotArray};

use crate::catalogue::Catalogue;
use crate::model::{Item, Model, ModelId, ModelTable};
use crate::needs::{Need, Tally, Urgency};
use crate::options::Options;
use crate::server::Server;

/// Names a server of the planner, from one of its starts to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey(pub u64);

/// A model that was asked for within this time does not give way to an extra replica, in milliseconds.
const SETTLED: Millis = 5_000;
/// The same where requests wait for a model that no server holds.
const BARELY_SETTLED: Millis = 1_000;
/// Idle times that differ by less count as equal, so that the sequence decides; in milliseconds.
const IDLE_STEP: u64 = 4_000;
/// Work on a server, in replicas at ease, from which it is no good place for an extra replica.
const FULL: f64 = 1.0;
/// Work of each replica, in replicas at ease, from which more replicas are worth a rare model's only one.
const HARD_PRESSED: f64 = 2.0;

/// What it costs to drop a model, the cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Nothing has to go.
    Nothing,
    /// The configuration no longer names it.
    Foreign,
    /// It has other replicas and nobody asks for it.
    IdleReplica,
    /// It has more replicas than it needs.
    ExtraReplica,
    /// Nobody asks for it.
    Idle,
    /// It was asked for, but not in the last seconds.
    Settled,
    /// It was asked for a moment ago; nothing of it is open.
    BarelySettled,
    /// One of several replicas that are needed.
    NeededReplica,
}

/// The dearest loss that a missing replica is worth. `work` is that of each replica there, in replicas at ease.
pub fn dearest_loss(urgency: Urgency, work: f64) -> Loss {
    match urgency {
        Urgency::Waiting => Loss::NeededReplica,
        Urgency::Overloaded if work >= HARD_PRESSED => Loss::BarelySettled,
        Urgency::Overloaded => Loss::Settled,
        Urgency::Absent => Loss::ExtraReplica,
    }
}

/// How dear a place is: what is lost, how long it was idle (longest first).
pub type Price = (Loss, u64);

/// Everything that a choice looks at.
pub struct Scene<'a> {
    /// The time.
    pub now: Millis,
    /// The models.
    pub models: &'a ModelTable,
    /// The servers.
    pub servers: &'a BTreeMap<ServerKey, Server>,
    /// The ready servers' places.
    pub ring: &'a SlotArray<ServerKey>,
    /// What the configuration says.
    pub catalogue: &'a Catalogue,
    /// The tunables.
    pub options: &'a Options,
    /// Which replicas are more than needed.
    pub surplus: BTreeSet<(ServerKey, ModelId)>,
    /// Servers that are spoken for in this round.
    pub taken: BTreeSet<ServerKey>,
    /// What each ready server has to do, in replicas at ease.
    pub work: BTreeMap<ServerKey, f64>,
}

/// The place for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The server.
    pub server: ServerKey,
    /// Whether the load comes from the weight store, as far as is known.
    pub from_origin: bool,
    /// What would go first there.
    pub victim: Option<ModelId>,
}

impl Scene<'_> {
    /// The best place for a missing replica, among servers that take an order now. Counts servers looked at.
    pub fn place(&self, need: &Need, tally: &Tally, examined: &mut u64) -> Option<Place> {
        let model = self.models.get(need.model)?;
        let dearest = need.dearest_loss();
        let mut best: Option<((bool, Price, usize), ServerKey)> = None;
        for (position, key) in self.ring.sequence(Key::of(&model.spec.name)).enumerate() {
            let Some(server) = self.servers.get(key).filter(|server| self.is_free(*key, server, need.model))
            else {
                continue;
            };
            *examined += 1;
            let Some(price) = self.price(*key, server, need.model, dearest, tally) else { continue };
            let full =
                need.urgency == Urgency::Overloaded && self.work.get(key).is_some_and(|work| *work >= FULL);
            let rank = (full, price, position);
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, *key));
            }
            if !full && price.0 == Loss::Nothing {
                break;
            }
        }
        let (_, key) = best?;
        let server = self.servers.get(&key)?;
        let victim = match self.missing_mb(server, need.model) > 0.0 {
            true => self.victim(key, server, need.model, dearest, tally),
            false => None,
        };
        Some(Place { server: key, from_origin: !server.held_before(need.model), victim })
    }

    fn is_free(&self, key: ServerKey, server: &Server, model: ModelId) -> bool {
        let whole = Item { model, adapter: None };
        let waits = server.reserved.is_some() || self.taken.contains(&key);
        server.takes_orders(self.now) && !waits && !server.holding.has(whole)
    }

    /// What has to be dropped to make room; `None` if that is not allowed.
    fn price(
        &self,
        key: ServerKey,
        server: &Server,
        model: ModelId,
        dearest: Loss,
        tally: &Tally,
    ) -> Option<Price> {
        let mut missing = self.missing_mb(server, model);
        if missing <= 0.0 {
            return Some((Loss::Nothing, 0));
        }
        for (price, victim) in self.victims(key, server, dearest, tally) {
            missing -= server.holding.copy_mb(victim, self.models);
            if missing <= 0.0 {
                return Some(price);
            }
        }
        None
    }

    /// Room that is missing for a model on a server, in MB; 0 or less where it fits.
    pub fn missing_mb(&self, server: &Server, model: ModelId) -> f64 {
        let size = self.models.size_mb(Item { model, adapter: None });
        server.used_mb(self.models) + size - self.catalogue.weights_mb
    }

    /// What to drop first on a server for a model; `None` if that would not make room.
    pub fn victim(
        &self,
        key: ServerKey,
        server: &Server,
        model: ModelId,
        dearest: Loss,
        tally: &Tally,
    ) -> Option<ModelId> {
        let victims = self.victims(key, server, dearest, tally);
        let room: f64 = victims.iter().map(|(_, victim)| server.holding.copy_mb(*victim, self.models)).sum();
        let enough = room >= self.missing_mb(server, model);
        victims.first().filter(|_| enough).map(|(_, victim)| *victim)
    }

    /// The model that is missed least on a server, if it may go with no other to take its place.
    pub fn cheapest(&self, key: ServerKey, server: &Server, tally: &Tally) -> Option<(Price, ModelId)> {
        self.victims(key, server, Loss::Settled, tally).into_iter().next()
    }

    /// Models on a server whose loss is none dearer than `dearest`, the cheapest first.
    fn victims(
        &self,
        key: ServerKey,
        server: &Server,
        dearest: Loss,
        tally: &Tally,
    ) -> Vec<(Price, ModelId)> {
        let held = server.holding.models();
        let priced = held.filter_map(|id| Some((self.loss(key, id, self.models.get(id)?, tally)?, id)));
        let mut victims: Vec<_> = priced.filter(|((loss, _), _)| *loss <= dearest).collect();
        victims.sort();
        victims
    }

    fn loss(&self, key: ServerKey, id: ModelId, model: &Model, tally: &Tally) -> Option<Price> {
        if !model.current {
            return Some((Loss::Foreign, 0));
        }
        let (copies, demand) = (tally.of(id).serving, &model.demand);
        let idle = demand.idle(self.now);
        let wanted = model.target.replicas;
        let loss = if demand.waiting > 0 && copies <= 1 {
            return None;
        } else if wanted == 0 && copies > 1 {
            Loss::IdleReplica
        } else if wanted == 0 {
            Loss::Idle
        } else if self.surplus.contains(&(key, id)) && copies > wanted {
            Loss::ExtraReplica
        } else if copies > 1 {
            Loss::NeededReplica
        } else if demand.open > 0 || idle < BARELY_SETTLED {
            return None;
        } else if idle < SETTLED {
            Loss::BarelySettled
        } else {
            Loss::Settled
        };
        Some((loss, u64::MAX - idle / IDLE_STEP))
    }
}

/// The replicas that are more than needed: of each model those that come last in its sequence.
pub fn surplus(
    models: &ModelTable,
    servers: &BTreeMap<ServerKey, Server>,
    ring: &SlotArray<ServerKey>,
    tally: &Tally,
) -> BTreeSet<(ServerKey, ModelId)> {
    let mut surplus = BTreeSet::new();
    for (id, model) in models.configured().filter(|(_, model)| model.target.replicas > 0) {
        let copies = tally.of(id).serving;
        if copies <= model.target.replicas {
            continue;
        }
        let whole = Item { model: id, adapter: None };
        let holds = |key: &&ServerKey| servers.get(key).is_some_and(|server| server.serves(whole));
        let holders = ring.sequence(Key::of(&model.spec.name)).filter(holds).take(copies);
        surplus.extend(holders.skip(model.target.replicas).map(|key| (*key, id)));
    }
    surplus
}

/// What each ready server has to do, if each model's work is spread evenly over its replicas.
pub fn work(
    models: &ModelTable,
    servers: &BTreeMap<ServerKey, Server>,
    tally: &Tally,
) -> BTreeMap<ServerKey, f64> {
    let share = |id: ModelId| {
        models.get(id).map_or(0.0, |model| model.target.load / tally.of(id).total().max(1) as f64)
    };
    let of_server = |server: &Server| {
        let coming = server
            .in_flight
            .iter()
            .map(|order| order.item)
            .filter(|item| item.adapter.is_none() && server.expects(*item) && !server.holding.has(*item));
        let reserved = server.reserved.iter().map(|place| place.model);
        server.holding.models().chain(coming.map(|item| item.model)).chain(reserved).map(share).sum()
    };
    let ready = servers.iter().filter(|(_, server)| server.is_ready());
    ready.map(|(key, server)| (*key, of_server(server))).collect()
}
