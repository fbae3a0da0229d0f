//! An in-memory test double of a disk that can lose power, fill up, stall and fail calls on demand. All randomness is
//! seeded, so a failing sequence of calls can be reproduced.

mod faults;
mod file;
mod memory_disk;
mod volume;

pub use faults::Faults;
pub use memory_disk::MemoryDisk;
