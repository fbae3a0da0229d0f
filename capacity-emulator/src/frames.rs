//! Decoding of frames, which nodes send with a length prefix as on a connection.

use shaletrail_protocol::frame::{self, PREFIX_BYTES};

/// Decodes a frame; `None` if it is too short or does not contain a message of type `T`.
pub fn decode<M: bitcode::DecodeOwned>(bytes: &[u8]) -> Option<M> {
    frame::decode(bytes.get(PREFIX_BYTES..)?).ok()
}
