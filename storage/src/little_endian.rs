//! Little-endian integers of the on-disk format.

/// The integer at byte `offset`; `None` if `bytes` ends before.
pub(crate) fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}

/// The integer at byte `offset`; `None` if `bytes` ends before.
pub(crate) fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(offset..)?.first_chunk()?))
}
