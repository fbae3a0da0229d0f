//! Test double of a disk: keeps its files in memory, and loses power, fills up, stalls and fails on demand. All
//! randomness is seeded, so that a failing history can be repeated.

mod faults;
mod file;
mod memory_disk;
mod volume;

pub use faults::Faults;
pub use memory_disk::MemoryDisk;
