//! Length-prefixed frames: four bytes of length in network order, then the message in bitcode.

use snafu::Snafu;

/// Bytes of the length prefix.
pub const PREFIX_BYTES: usize = 4;
/// The longest message taken, in bytes: a whole configuration of the largest size with room to spare.
pub const MAX_FRAME_BYTES: usize = 24 << 20;

/// Why bytes from another node are not a message.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameError {
    /// The prefix announces more than [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Bytes announced.
        length: usize,
    },
    /// The body does not decode.
    #[snafu(display("a frame of {length} bytes is not a message"))]
    Malformed {
        /// Bytes of the body.
        length: usize,
    },
}

/// Encodes a message with its prefix.
pub fn encode<M: bitcode::Encode>(message: &M) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// The length of the body that a prefix announces.
pub fn body_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return TooLongSnafu { length }.fail();
    }
    Ok(length)
}

/// Decodes the body of a frame.
pub fn decode<M: bitcode::DecodeOwned>(body: &[u8]) -> Result<M, FrameError> {
    bitcode::decode(body).map_err(|_| FrameError::Malformed { length: body.len() })
}
