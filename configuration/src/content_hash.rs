//! The identity of a change: a hash of its content, by which a repeated call is recognised.

use crate::change::ChangeKind;

/// 128-bit FNV-1a hash of a change's kind, base version and body.
///
/// The algorithm is fixed by its definition, so that replicas of different builds and machines agree on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, bitcode::Encode, bitcode::Decode)]
pub(crate) struct ContentHash(u128);

const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl ContentHash {
    pub(crate) fn of(kind: ChangeKind, base_version: u64, body: &[u8]) -> ContentHash {
        let header = std::iter::once(u8::from(kind.replaces_all())).chain(base_version.to_le_bytes());
        let bytes = header.chain(body.iter().copied());
        ContentHash(bytes.fold(OFFSET_BASIS, |hash, byte| (hash ^ u128::from(byte)).wrapping_mul(PRIME)))
    }
}
