//! The hash of a change's content. It identifies the change, so that a retried call is recognized as a duplicate.

use crate::change::ChangeKind;

/// 128-bit FNV-1a hash of a change's kind, base version and body.
///
/// FNV-1a gives the same result on every build and machine, which replicas need to agree on duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, bitcode::Encode, bitcode::Decode)]
pub(crate) struct ContentHash(u128);

// The standard parameters of 128-bit FNV-1a.
const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl ContentHash {
    pub(crate) fn of(kind: ChangeKind, base_version: u64, body: &[u8]) -> ContentHash {
        let header = std::iter::once(u8::from(kind.replaces_all())).chain(base_version.to_le_bytes());
        let bytes = header.chain(body.iter().copied());
        ContentHash(bytes.fold(OFFSET_BASIS, |hash, byte| (hash ^ u128::from(byte)).wrapping_mul(PRIME)))
    }
}
