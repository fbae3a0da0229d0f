//! Requests in progress and their attempts.

use crate::interface::*;

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent: Seconds,
    pub(super) to_origin: bool,
    /// How long this node's connections to the server had been idle.
    pub(super) idle: Seconds,
    /// Counted in flight: from when the server has the whole request until its answer begins.
    pub(super) counted: bool,
    /// `None` while it is in flight.
    pub(super) status: Option<Status>,
}

#[derive(Debug, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) key: Key,
    pub(super) write: bool,
    pub(super) arrived: Seconds,
    pub(super) deadline: Seconds,
    /// Hinted work in core time, 0 without a hint.
    pub(super) work: Seconds,
    /// Its tenant was over its quota at this node.
    pub(super) over_quota: bool,
    /// Random number from 0 to 1 that selects the first of a hot key's servers.
    pub(super) draw: f64,
    pub(super) attempts: Vec<Attempt>,
    /// A cache server lacked the key; the origin is next (aside mode).
    pub(super) missed: bool,
    /// Its cache server keeps failing its class: the next attempt is exempt from the default retry budget.
    pub(super) budget_exempt: bool,
    /// Its body is still arriving, and the client's time does not run yet.
    pub(super) body_pending: bool,
    /// Its body was not kept and can't be sent again.
    pub(super) body_consumed: bool,
    pub(super) streaming: bool,
    pub(super) ended: bool,
}

impl Request {
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.status.is_none()).count()
    }

    /// Whether the next attempt costs retry budget: neither the first, nor one after `Absent`, nor an exempt
    /// one.
    pub(super) fn costs_budget(&self) -> bool {
        !self.budget_exempt && self.attempts.last().is_some_and(|a| a.status != Some(Status::Absent))
    }
}
