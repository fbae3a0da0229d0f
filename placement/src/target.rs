//! How many replicas of a model there should be.
//!
//! Raised at once when demand or crowding says so, lowered one at a time: each replica costs a load.

use shaletrail_protocol::Millis;

use crate::demand::{is_within, ModelDemand};
use crate::options::Options;

/// Part of a replica's ease by which demand may be over before another is wanted.
const RISE_MARGIN: f64 = 0.15;
/// The same by which it must be under before one fewer is wanted.
const FALL_MARGIN: f64 = 0.3;
/// Between two steps down, in milliseconds.
const STEP_DOWN: Millis = 4_000;
/// Between two raises for crowding, in milliseconds: the first must have had time to help.
const STEP_UP: Millis = 2_500;
/// How long a report of crowding counts, in milliseconds.
const CROWDED_FOR: Millis = 1_000;
/// How long a raise for crowding lasts after the last crowding, in milliseconds.
const RAISE_LASTS: Millis = 10_000;

/// The wanted number of replicas of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Replicas wanted; 0 without demand.
    pub replicas: usize,
    /// The work that is asked for, in replicas at ease.
    pub load: f64,
    raised: usize,
    raised_at: Millis,
    lowered_at: Millis,
}

impl Target {
    /// Brings the target up to date. `slots` is that of one server, `copies` how many replicas are ready.
    pub fn update(
        &mut self,
        now: Millis,
        demand: &ModelDemand,
        copies: usize,
        slots: u32,
        options: &Options,
    ) {
        if !demand.within(now, options.recent) && demand.waiting == 0 && demand.open == 0 {
            *self = Target { lowered_at: now, ..Target::default() };
            return;
        }
        self.load = load(now, demand, slots, options);
        self.raise_for_crowding(now, demand, copies);
        let base = replicas(self.load - RISE_MARGIN) + self.raised;
        if base >= self.replicas {
            (self.replicas, self.lowered_at) = (base, now);
        } else if replicas(self.load + FALL_MARGIN) + self.raised < self.replicas
            && now.saturating_sub(self.lowered_at) >= STEP_DOWN
        {
            (self.replicas, self.lowered_at) = (self.replicas - 1, now);
        }
    }

    fn raise_for_crowding(&mut self, now: Millis, demand: &ModelDemand, copies: usize) {
        let crowded = is_within(demand.crowded, now, CROWDED_FOR);
        if crowded && copies >= self.replicas && now.saturating_sub(self.raised_at) >= STEP_UP {
            (self.raised, self.raised_at) = (self.raised + 1, now);
        }
        if self.raised > 0 && !is_within(demand.crowded, now, RAISE_LASTS) {
            self.raised = 0;
        }
    }
}

/// The work that is asked for, in replicas at ease: by tokens, or by open requests if that is more.
fn load(now: Millis, demand: &ModelDemand, slots: u32, options: &Options) -> f64 {
    let by_tokens = demand.tokens.per_second(now) / options.tokens_per_replica.max(1.0);
    let by_slots = f64::from(demand.open) / (f64::from(slots.max(1)) * options.slots_at_ease.max(0.01));
    by_tokens.max(by_slots)
}

fn replicas(load: f64) -> usize {
    load.ceil().clamp(1.0, 1024.0) as usize
}
