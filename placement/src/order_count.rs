//! How many orders a server has taken. Each order names that count, and the server refuses it where it is another one.
//!
//! What a server holds changes by orders alone, and it carries them out one after the other. So whoever knows what a
//! server holds once it has taken `n` orders, and names `n` in the next one, is either right or refused: any order that
//! the server has taken beyond those, be it of a former holder or one that was late, makes the count another one.
//! No message needs to be on time for that.

/// How many orders a server has taken, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderCount {
    /// It has taken this many, or more.
    least: u64,
    /// Whether what it holds is known for just this count.
    known: bool,
}

impl OrderCount {
    /// The count of a server that has taken no order since its start.
    pub const UNTOUCHED: OrderCount = OrderCount { least: 0, known: true };

    /// The count that the next order names; `None` where a report has to tell first.
    pub fn known(&self) -> Option<u64> {
        self.known.then_some(self.least)
    }

    /// Something was heard or may have happened that does not fit what is known.
    pub fn forget(&mut self) {
        self.known = false;
    }

    /// An order that named this count was taken.
    pub fn taken(&mut self, named: u64) {
        self.known &= self.least == named;
        self.least = self.least.max(named.saturating_add(1));
    }

    /// A report tells the count together with what the server holds.
    pub fn tell(&mut self, count: u64) {
        *self = OrderCount { least: count, known: true };
    }

    /// Whether a report with this count is older than what is known.
    pub fn is_beyond(&self, reported: u64) -> bool {
        self.least > reported
    }
}
