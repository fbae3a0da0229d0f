//! Bounds the memory that buffered request bodies take.

use std::cell::Cell;
use std::rc::Rc;

/// The memory for the request bodies of all connections.
pub struct BodyMemory {
    reserved_bytes: Cell<u64>,
    max_bytes: u64,
}

impl BodyMemory {
    /// Memory for `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: u64) -> Rc<Self> {
        Rc::new(BodyMemory { reserved_bytes: Cell::new(0), max_bytes })
    }

    /// Reserves memory for a body; `None` if the bodies held leave too little.
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> Option<BodyReservation> {
        let reserved = self.reserved_bytes.get().checked_add(bytes)?;
        if reserved > self.max_bytes {
            return None;
        }
        self.reserved_bytes.set(reserved);
        Some(BodyReservation { memory: self.clone(), bytes })
    }
}

/// Memory reserved for one request's body; released when dropped.
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
