//! Fingerprints of states, by which the exploration recognises a state that it has visited.

use std::collections::hash_map::DefaultHasher;
use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};

/// A 64-bit hash that stands for a state, an input or a message. Equal values have equal fingerprints in each run.
pub(crate) type Fingerprint = u64;

/// Start of the replica's random generator in its debug text. The generator is no part of the state: every time-out is
/// drawn from a range of one value.
const GENERATOR_START: &str = ", random: ";
/// End of the replica's random generator in its debug text.
const GENERATOR_END: &str = " }, ";

/// The fingerprint of a value. The hasher's keys are fixed.
pub(crate) fn of(value: &impl Hash) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The fingerprint of a value's debug text, without a random generator in it.
pub(crate) fn of_debug(value: &impl Debug) -> Fingerprint {
    let mut text = String::new();
    write!(text, "{value:?}").expect("writing to a string does not fail");
    if let Some(start) = text.find(GENERATOR_START) {
        let generator = start + GENERATOR_START.len();
        if let Some(length) = text[generator..].find(GENERATOR_END) {
            text.replace_range(generator..generator + length, "");
        }
    }
    of(&text)
}
