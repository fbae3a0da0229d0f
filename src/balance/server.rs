//! What a node knows of one server: its load, its warmth and what it has lost.

use std::collections::BTreeMap;

use super::{figures::Limit, TICK};
use crate::interface::*;

/// A server found failing or silent twice in the first time is left alone for about the second, by all nodes
/// that are told: what is jammed comes back only when left idle.
pub(super) const AGREED: Seconds = 2.0;
pub(super) const QUIET: Seconds = 4.0;

#[derive(Debug, Default)]
pub(crate) struct Server {
    /// As last listed.
    pub(crate) entry: RosterEntry,
    pub(super) in_flight: u32,
    /// What its points in the slot array go by; 0 when it has none.
    pub(super) size: f64,
    /// The same by warmth; 0 while nothing may go there.
    pub(super) share: f64,
    /// Attempts that it may be sent while it is cold.
    pub(super) allowance: f64,
    /// In-flight count above which answers get slow, learnt from their times.
    pub(super) limit: Limit,
    /// With a limit below 1, when it has rested from what it was sent; two rests may be saved up.
    pub(super) rested: Seconds,
    /// When a node last found it failing, and until when it is left alone.
    pub(super) failed: Seconds,
    pub(crate) quiet: Seconds,
    /// When an attempt here last ended.
    pub(super) used: Seconds,
    /// When it last answered, and when the latest attempt was sent that it has answered.
    pub(super) answered: Seconds,
    pub(super) newest: Seconds,
    /// When a connection to it in use was last reset.
    pub(super) reset: Seconds,
    /// Classes of which it has lost the last attempts: how many, and until when they go elsewhere.
    pub(super) lost: BTreeMap<usize, (u32, Seconds)>,
}

impl Server {
    /// A single attempt may get lost anywhere; two of a class with no answer between are the server's.
    pub(super) fn on_class(&mut self, class: usize, lost: bool, now: Seconds) {
        if !lost {
            self.lost.remove(&class);
            return;
        }
        let (count, until) = self.lost.entry(class).or_default();
        *count += 1;
        *until = if *count > 1 { now + AGREED } else { *until };
    }

    pub(super) fn loses(&self, class: usize, now: Seconds) -> bool {
        self.lost.get(&class).is_some_and(|(_, until)| now < *until)
    }

    /// Share of its capacity that a just-started server can be trusted with.
    pub(super) fn warmth(&self, now: Seconds, guarantees: &Guarantees) -> f64 {
        if cfg!(feature = "without-warmup") {
            return 1.0;
        }
        let started = self.entry.started.unwrap_or(f64::NEG_INFINITY);
        let left = (1.0 - (now - started) / guarantees.ramp.max(TICK)).clamp(0.0, 1.0);
        1.0 - (1.0 - guarantees.cold_from) * left
    }
}
