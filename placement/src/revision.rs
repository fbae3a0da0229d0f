//! The revision of a server: the number of orders that it has accepted. Each order carries the revision that it
//! requires, and the server rejects the order at any other revision (optimistic concurrency control).
//!
//! Only orders change a server's contents, and the server executes them one at a time. If the planner knows the
//! contents after the first `n` orders, it sends the next order with required revision `n`. Should the server have
//! accepted another order in the meantime, such as a delayed one or one of the previous lease holder, its revision
//! differs and it rejects the order. The order is therefore only accepted if it was based on the actual contents,
//! regardless of message timing.

/// What the planner knows about a server's revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRevision {
    /// The server has accepted at least this many orders.
    min: u64,
    /// Whether the known contents are those at exactly revision `min`.
    is_exact: bool,
}

impl OrderRevision {
    /// The revision of a server that has accepted no order since its start.
    pub const INITIAL: OrderRevision = OrderRevision { min: 0, is_exact: true };

    /// Returns the revision that the next order is to require; `None` if a report is needed first.
    pub fn known(&self) -> Option<u64> {
        self.is_exact.then_some(self.min)
    }

    /// Marks the exact revision as unknown, after a message or event that may contradict the known contents.
    pub fn invalidate(&mut self) {
        self.is_exact = false;
    }

    /// Records that the server has accepted an order that required revision `required`.
    pub fn order_accepted(&mut self, required: u64) {
        self.is_exact &= self.min == required;
        self.min = self.min.max(required.saturating_add(1));
    }

    /// Sets the revision from a report, which also gives the contents at that revision.
    pub fn set_reported(&mut self, reported: u64) {
        *self = OrderRevision { min: reported, is_exact: true };
    }

    /// Returns whether the server has certainly passed revision `reported`, so that a report of it is outdated.
    pub fn is_newer_than(&self, reported: u64) -> bool {
        self.min > reported
    }
}
