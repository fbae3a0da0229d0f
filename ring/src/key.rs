//! Keys, and the slots that they hash to.

use crate::hash::{hash_bytes, hash_of_name, mix};
use crate::SLOTS;

/// What is looked up in a [`SlotArray`](crate::SlotArray).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key of a name.
    pub fn of(name: &str) -> Key {
        Key(hash_of_name(name))
    }

    /// The key of several names in order. Boundaries count: `["ab", "c"]` and `["a", "bc"]` differ.
    pub fn of_parts(parts: &[&str]) -> Key {
        Key(parts.iter().fold(0, |hash, part| mix(hash_bytes(hash, part) ^ part.len() as u64)))
    }
}

/// h(key, attempt) of the paper: a slot below [`SLOTS`].
pub fn slot_of(key: Key, attempt: u64) -> usize {
    (mix(mix(key.0) ^ attempt.wrapping_mul(0xd6e8_feb8_6659_fd93)) % SLOTS as u64) as usize
}
