//! Requests under way and their attempts.

use crate::interface::*;

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent: Seconds,
    pub(super) to_origin: bool,
    /// How long this node's connections to the server had lain idle.
    pub(super) idle: Seconds,
    /// It holds a place at its server: from when the request is whole there until its answer has begun.
    pub(super) works: bool,
    /// `None` while it is out.
    pub(super) status: Option<Status>,
}

#[derive(Debug, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) key: Key,
    pub(super) write: bool,
    pub(super) arrived: Seconds,
    pub(super) deadline: Seconds,
    /// Its hinted work, 0 where there is no hint.
    pub(super) work: Seconds,
    /// Past its tenant's share at this node.
    pub(super) over_quota: bool,
    /// By chance from 0 to 1: which of the places of a hot key it starts from.
    pub(super) draw: f64,
    pub(super) attempts: Vec<Attempt>,
    /// A cache server lacked its key; the origin is next (aside mode).
    pub(super) missed: bool,
    /// Its last cache server goes on failing its class: the next attempt is free of the node's own budget.
    pub(super) excused: bool,
    /// Its body is on the way, and its time does not run yet.
    pub(super) coming: bool,
    /// Its body can't be sent again.
    pub(super) spent: bool,
    pub(super) streaming: bool,
    pub(super) ended: bool,
}

impl Request {
    pub(super) fn attempts_out(&self) -> usize {
        self.attempts.iter().filter(|a| a.status.is_none()).count()
    }

    /// The next attempt counts against the budget: not the first, nor one after `Absent`, nor an excused one.
    pub(super) fn costs_budget(&self) -> bool {
        !self.excused && self.attempts.last().is_some_and(|a| a.status != Some(Status::Absent))
    }
}
