//! How many replicas of a model there should be.
//!
//! Raised at once when demand or crowding says so, lowered one at a time: each replica costs a load. Where there is no
//! room for all models' replicas, those that one has too many are lowered at once, as others want the room.

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
    /// Brings the target up to date. `load` is the work that is asked for, if any; `copies` how many replicas are
    /// ready; each may bear `work_per_replica`, which is more than 1 where there is no room for all models' replicas.
    pub fn update(
        &mut self,
        now: Millis,
        load: Option<f64>,
        demand: &ModelDemand,
        copies: usize,
        work_per_replica: f64,
    ) {
        let Some(load) = load else {
            *self = Target { lowered_at: now, ..Target::default() };
            return;
        };
        self.load = load;
        let is_short_of_room = work_per_replica > 1.0;
        if is_short_of_room {
            self.raised = 0;
        } else {
            self.raise_for_crowding(now, demand, copies);
        }
        let wanted = load / work_per_replica;
        let least = replicas(wanted - RISE_MARGIN) + self.raised;
        let most = replicas(wanted + FALL_MARGIN) + self.raised;
        if least >= self.replicas {
            (self.replicas, self.lowered_at) = (least, now);
        } else if most < self.replicas && is_short_of_room {
            (self.replicas, self.lowered_at) = (most, now);
        } else if most < self.replicas && now.saturating_sub(self.lowered_at) >= STEP_DOWN {
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

/// The work that is asked for, in replicas at ease: by tokens, or by open requests if that is more. `None` where
/// nothing was asked for lately. `slots` is that of one server.
pub fn load(now: Millis, demand: &ModelDemand, slots: u32, options: &Options) -> Option<f64> {
    if !demand.within(now, options.demand_window) && demand.waiting == 0 && demand.open == 0 {
        return None;
    }
    let by_tokens = demand.tokens.per_second(now) / options.target_tokens_per_replica.max(1.0);
    let by_slots =
        f64::from(demand.open) / (f64::from(slots.max(1)) * options.target_slot_utilization.max(0.01));
    Some(by_tokens.max(by_slots))
}

fn replicas(load: f64) -> usize {
    load.ceil().clamp(1.0, 1024.0) as usize
}
