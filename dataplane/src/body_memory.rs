//! Limits the memory that buffered request bodies use.

use std::cell::Cell;
use std::rc::Rc;

/// The memory budget for the request bodies of all client connections.
pub struct BodyMemory {
    reserved_bytes: Cell<u64>,
    max_bytes: u64,
}

impl BodyMemory {
    /// Creates a budget of `max_bytes` with nothing reserved.
    pub fn new(max_bytes: u64) -> Rc<Self> {
        Rc::new(BodyMemory { reserved_bytes: Cell::new(0), max_bytes })
    }

    /// Reserves memory for a body; `None` if the budget does not allow it.
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> Option<BodyReservation> {
        self.try_reserve(bytes).then(|| BodyReservation { memory: self.clone(), bytes })
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let reserved = self.reserved_bytes.get().saturating_add(bytes);
        let fits = reserved <= self.max_bytes;
        if fits {
            self.reserved_bytes.set(reserved);
        }
        fits
    }
}

impl BodyReservation {
    /// Adds `bytes` to the reservation. Returns false, and reserves nothing, if the budget does not allow it.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let reserved = self.memory.try_reserve(bytes);
        if reserved {
            self.bytes += bytes;
        }
        reserved
    }
}

/// The memory reserved for one request's body; released when dropped.
pub struct BodyReservation {
    memory: Rc<BodyMemory>,
    bytes: u64,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved = self.memory.reserved_bytes.get();
        self.memory.reserved_bytes.set(reserved.saturating_sub(self.bytes));
    }
}
