//! The slot array of RJ-CH (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with Bounded Loads"):
//! members are hashed into an array of [`SLOTS`] slots, each slot belongs to the nearest point clockwise, and
//! a key tries the owners of h(key, 0), h(key, 1) and so on.
//!
//! Where points lie depends on the members' names and sizes alone, not on any order, seed or platform, so
//! that all nodes compute the same owners.

mod hash;
mod key;
mod slot_array;

pub use hash::{hash_of_name, mix};
pub use key::{slot_of, Key};
pub use slot_array::SlotArray;

/// Length m of the slot array: many times the points of a large fleet, so that few points collide.
pub const SLOTS: usize = 1 << 16;
/// Points of a member of size 1; shares vary by about 1/sqrt(128), 9 %.
pub const POINTS: f64 = 128.0;
/// Limit on the points passed over in the search for one that takes a key.
pub const MAX_JUMPS: u64 = 32;
/// Attempts of [`SlotArray::sequence`]; members that own none of these slots follow in slot order.
pub const MAX_ATTEMPTS: u64 = 64;
