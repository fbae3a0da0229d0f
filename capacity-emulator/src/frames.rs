//! Decoding of frames, which nodes send with their length prefix as on a connection.

use shaletrail_protocol::frame::{self, PREFIX_BYTES};

/// Decodes a frame; `None` if it is too short or no message of the type.
pub fn decode<M: bitcode::DecodeOwned>(bytes: &[u8]) -> Option<M> {
    frame::decode(bytes.get(PREFIX_BYTES..)?).ok()
}
