//! Hashes that are the same in every process and every version, as coordinators compare them with each other.

use std::hash::Hasher;

use shaletrail_protocol::Incarnation;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a followed by [`mix`]. Unlike the standard library's default hasher it has no random key.
pub(crate) struct StableHasher(u64);

impl Default for StableHasher {
    fn default() -> Self {
        StableHasher(FNV_OFFSET_BASIS)
    }
}

impl Hasher for StableHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn finish(&self) -> u64 {
        mix(self.0)
    }
}

/// Mixes the bits of a number so that each input bit affects all output bits (the finaliser of SplitMix64).
pub(crate) fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// The number from which an incarnation counts its messages.
///
/// The upper half is derived from a hash of the incarnation, so that a late reply to a previous incarnation of the same
/// node does not match a message of this one.
pub(crate) fn first_message_number(incarnation: Incarnation) -> u64 {
    mix(incarnation.0) << 32
}
