//! Names a change by its content, so that one that comes again is recognised.

/// FNV-1a with 128 bits: fixed by its definition, the same in every build and on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, bitcode::Encode, bitcode::Decode)]
pub(crate) struct ContentHash(u128);

const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl ContentHash {
    /// The hash of a change's kind, base and body.
    pub(crate) fn of(whole: bool, base: u64, body: &[u8]) -> ContentHash {
        let head = std::iter::once(u8::from(whole)).chain(base.to_le_bytes());
        let bytes = head.chain(body.iter().copied());
        ContentHash(bytes.fold(OFFSET_BASIS, |hash, byte| (hash ^ u128::from(byte)).wrapping_mul(PRIME)))
    }
}
