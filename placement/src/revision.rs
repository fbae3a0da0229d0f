//! The revision of a server: how many orders it has accepted. Each order carries the revision that it requires, and the
//! server rejects it at any other (optimistic concurrency control).
//!
//! Only orders change the contents of a server, and it executes them one after the other. So if the planner knows the
//! contents after the first `n` orders and requires revision `n` of the next one, it is either right or rejected: any further
//! order that the server has accepted, a late one or one of the previous lease holder, has changed the revision. This does
//! not depend on the timing of any message.

/// What is known of a server's revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRevision {
    /// The server has accepted at least this many orders.
    min: u64,
    /// Whether the known contents are those of exactly this revision.
    is_exact: bool,
}

impl OrderRevision {
    /// The revision of a server that has accepted no order since its start.
    pub const INITIAL: OrderRevision = OrderRevision { min: 0, is_exact: true };

    /// The revision that the next order requires; `None` if a report is needed first.
    pub fn known(&self) -> Option<u64> {
        self.is_exact.then_some(self.min)
    }

    /// Marks the revision as unknown, after a message or event that may contradict it.
    pub fn invalidate(&mut self) {
        self.is_exact = false;
    }

    /// The server has accepted an order that required revision `required`.
    pub fn order_accepted(&mut self, required: u64) {
        self.is_exact &= self.min == required;
        self.min = self.min.max(required.saturating_add(1));
    }

    /// A report gives the revision together with the contents.
    pub fn set_reported(&mut self, reported: u64) {
        *self = OrderRevision { min: reported, is_exact: true };
    }

    /// Whether a report of this revision is outdated.
    pub fn is_newer_than(&self, reported: u64) -> bool {
        self.min > reported
    }
}
