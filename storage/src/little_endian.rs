//! Reads the little-endian integers of the on-disk format.

/// Returns the integer at byte `offset`, or `None` if `bytes` ends before it does.
pub(crate) fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}

/// Returns the integer at byte `offset`, or `None` if `bytes` ends before it does.
pub(crate) fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}
