//! Names states by a hash, so that equal states are explored once.

use std::collections::hash_map::DefaultHasher;
use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};

/// The field of a replica that its behaviour here doesn't depend on: all time-outs are drawn from ranges of one value.
const RANDOM: &str = ", random: ";
/// The end of that field.
const RANDOM_END: &str = " }, ";

/// The hash of a value. The hasher's keys are fixed, so equal values have equal hashes in each run.
pub(crate) fn of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The hash of a value's debug text, without the generators of random numbers in it.
pub(crate) fn of_debug(value: &impl Debug) -> u64 {
    let mut text = String::new();
    write!(text, "{value:?}").expect("a string takes all text");
    if let Some(start) = text.find(RANDOM) {
        let after = start + RANDOM.len();
        if let Some(length) = text[after..].find(RANDOM_END) {
            text.replace_range(after..after + length, "");
        }
    }
    of(&text)
}
