//! Fingerprints, by which the exploration recognises states that it has already visited.

use std::collections::hash_map::DefaultHasher;
use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};

/// A 64-bit hash that identifies a state, an input or a message. Equal values have equal fingerprints in every run.
pub(crate) type Fingerprint = u64;

/// Text before the replica's random generator in its debug output. The generator is excluded from fingerprints because
/// it does not affect behaviour: every time-out is drawn from a range that contains a single value.
const GENERATOR_START: &str = ", random: ";
/// Text after the replica's random generator in its debug output.
const GENERATOR_END: &str = " }, ";

/// Hashes a value. The hasher uses fixed keys, so the result is the same in every run.
pub(crate) fn of(value: &impl Hash) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Hashes the debug output of a value, without any random generator in it.
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
