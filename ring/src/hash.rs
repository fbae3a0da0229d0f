//! Hashes that are the same on every platform and in every port.

/// The splitmix64 finalizer, written out so that every port computes the same owners.
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a member's name, as [`SlotArray::update`](crate::SlotArray::update) takes it.
pub fn hash_of_name(name: &str) -> u64 {
    hash_bytes(0, name)
}

/// Continues the hash `start` with the bytes of `text`.
pub(crate) fn hash_bytes(start: u64, text: &str) -> u64 {
    text.bytes().fold(start, |hash, byte| mix(hash ^ u64::from(byte)))
}
