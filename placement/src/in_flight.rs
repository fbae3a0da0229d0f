//! An order that is under way: when it was sent and taken, and how long it should take.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use crate::model::Item;
use crate::origin::{LoadToken, ACCEPTANCE_TIMEOUT};

/// A load counts as likely done this long after the time that it should take, in milliseconds.
const LOADED_MARGIN: Millis = 20;
/// A load takes at most this many times its usual time, plus [`ORDER_SLACK`].
const SLOWEST_LOAD: f64 = 4.0;
/// Milliseconds.
const ORDER_SLACK: Millis = 4_000;
/// An unload waits for its runs, at most for this time, in milliseconds.
pub const SLOWEST_EVICTION: Millis = 30_000;
/// A load from the server's own disk takes this part of one from the store.
const DISK_PART: f64 = 0.2;

/// Names an order of one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderNumber(pub u64);

/// An order that was sent and whose effect is not yet seen.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Its name.
    pub number: OrderNumber,
    /// The count of orders that it names.
    pub named: u64,
    /// What was ordered.
    pub operation: Operation,
    /// Of what.
    pub item: Item,
    /// When it was planned.
    pub sent: Millis,
    /// When the server said that it carries it out.
    pub accepted: Option<Millis>,
    /// What it counts as at the weight store.
    pub origin: Option<LoadToken>,
    /// How long it should take from its acceptance, in milliseconds.
    pub takes: Millis,
}

impl InFlight {
    /// How long a load of a model should take whose time from the store this is, in milliseconds.
    pub fn load_takes(load_time_s: f64, from_origin: bool) -> Millis {
        let part = if from_origin { 1.0 } else { DISK_PART };
        (load_time_s.clamp(0.0, 3_600.0) * 1_000.0 * part) as Millis
    }

    /// Whether it is a load that is likely done, by the time that it should take.
    pub fn is_likely_loaded(&self, now: Millis) -> bool {
        let done = |accepted: Millis| now >= accepted + self.takes + LOADED_MARGIN;
        self.operation == Operation::Load && self.accepted.is_some_and(done)
    }

    /// Whether it loads or evicts a model as a whole.
    pub fn is_model(&self, operation: Operation) -> bool {
        self.operation == operation && self.item.adapter.is_none()
    }

    /// Whether it evicts this, or the model that this belongs to.
    pub fn evicts(&self, item: Item) -> bool {
        self.operation == Operation::Evict
            && (self.item == item || self.item == Item { adapter: None, ..item })
    }

    /// Whether it was taken so long ago that it should be over by now.
    pub fn is_overdue(&self, now: Millis) -> bool {
        let longest = match self.operation {
            Operation::Load => self.slowest_load(),
            Operation::Evict => SLOWEST_EVICTION,
        };
        self.accepted.is_some_and(|accepted| now.saturating_sub(accepted) >= longest)
    }

    /// Until when it can still be taken if it has no answer.
    pub fn taken_until(&self) -> Millis {
        self.sent.saturating_add(ACCEPTANCE_TIMEOUT)
    }

    /// The longest time that a load is reckoned to take, in milliseconds.
    pub fn slowest_load(&self) -> Millis {
        (self.takes as f64 * SLOWEST_LOAD) as Millis + ORDER_SLACK
    }
}
