//! Which replicas are missing, the most urgent first.

use std::cmp::Reverse;

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use crate::choice::{dearest_loss, Loss};
use crate::model::{Model, ModelId, ModelTable};
use crate::server::Server;

/// Missing replicas that one round looks at.
const MOST_NEEDS: usize = 16;
/// The scale of an overloaded model's [`Need::weight`].
const PERCENT: f64 = 100.0;

/// Why a replica is missing. The order is that of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Requests wait and no server holds the model.
    Waiting,
    /// There are replicas, too few for the demand.
    Overloaded,
    /// It was asked for lately and no server holds it now.
    Absent,
}

/// A missing replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Of which model.
    pub model: ModelId,
    /// Why.
    pub urgency: Urgency,
    /// Greater ones come first among needs of the same urgency and rank.
    pub weight: u64,
    /// Rank of the requests (0 first).
    pub priority: u8,
}

impl Need {
    /// The dearest loss that it is worth.
    pub fn dearest_loss(&self) -> Loss {
        dearest_loss(self.urgency, self.weight as f64 / PERCENT)
    }
}

/// Where the replicas of a model are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    /// On servers that are ready.
    pub serving: usize,
    /// Being loaded on such servers.
    pub loading: usize,
    /// Waiting for room on such servers.
    pub reserved: usize,
}

impl Copies {
    /// Those that are there or on their way.
    pub fn total(&self) -> usize {
        self.serving + self.loading + self.reserved
    }
}

/// The replicas of each model, by index.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    copies: Vec<Copies>,
}

impl Tally {
    /// Counts the replicas on ready servers.
    pub fn count<'a>(models: usize, servers: impl Iterator<Item = &'a Server>) -> Tally {
        let mut tally = Tally { copies: vec![Copies::default(); models] };
        for server in servers.filter(|server| server.is_ready()) {
            let order = server.in_flight.as_ref();
            let leaving =
                order.filter(|order| order.is_model(Operation::Evict)).map(|order| order.item.model);
            for model in server.holding.models().filter(|model| Some(*model) != leaving) {
                tally.change(model, |copies| copies.serving += 1);
            }
            if let Some(order) = order.filter(|order| order.is_model(Operation::Load)) {
                if !server.holding.has(order.item) {
                    tally.change(order.item.model, |copies| copies.loading += 1);
                }
            }
            if let Some(place) = server.reserved {
                tally.change(place.model, |copies| copies.reserved += 1);
            }
        }
        tally
    }

    /// The replicas of one model.
    pub fn of(&self, model: ModelId) -> Copies {
        self.copies.get(model.0).copied().unwrap_or_default()
    }

    /// Changes the count of one model.
    pub fn change(&mut self, model: ModelId, change: impl FnOnce(&mut Copies)) {
        if let Some(copies) = self.copies.get_mut(model.0) {
            change(copies);
        }
    }
}

/// The missing replicas. Replicas beyond each model's first are wanted up to `extra` in all.
pub fn needs(now: Millis, models: &ModelTable, tally: &Tally, ready: usize, extra: usize) -> Vec<Need> {
    let mut needs = Vec::new();
    let mut filled = 0;
    for (id, model) in models.configured().filter(|(_, model)| model.target.replicas > 0) {
        let copies = tally.of(id).total();
        filled += copies.min(model.target.replicas).saturating_sub(1);
        needs.extend(first(now, id, model, copies));
        let wanted = model.target.replicas.min(ready);
        needs.extend((copies.max(1)..wanted).map(|there| overloaded(id, model, there)));
    }
    needs.sort_by_key(|need| (need.urgency, need.priority, Reverse(need.weight), need.model));
    let mut room = extra.saturating_sub(filled);
    needs.retain(|need| {
        let stays = need.urgency != Urgency::Overloaded || room > 0;
        room -= usize::from(stays && need.urgency == Urgency::Overloaded);
        stays
    });
    needs.truncate(MOST_NEEDS);
    needs
}

fn first(now: Millis, id: ModelId, model: &Model, copies: usize) -> Option<Need> {
    let demand = &model.demand;
    let idle_s = demand.idle(now) / 1_000;
    (copies == 0).then(|| match demand.waiting {
        0 => {
            Need { model: id, urgency: Urgency::Absent, weight: u64::MAX - idle_s, priority: demand.priority }
        }
        waiting => Need {
            model: id,
            urgency: Urgency::Waiting,
            weight: u64::from(waiting),
            priority: demand.priority,
        },
    })
}

/// The need for a replica where `there` are there. The most overloaded model comes first, whatever its rank.
fn overloaded(id: ModelId, model: &Model, there: usize) -> Need {
    let weight = (model.target.load / there as f64 * PERCENT) as u64;
    Need { model: id, urgency: Urgency::Overloaded, weight, priority: 0 }
}
