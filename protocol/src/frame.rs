//! Length-prefixed frames: four bytes of length in network byte order, then the message in bitcode.

use snafu::Snafu;

/// The size of the length prefix, in bytes.
pub const PREFIX_BYTES: usize = 4;
/// The longest body of a frame that is accepted, in bytes: a full configuration of the largest size, with a reserve.
pub const MAX_FRAME_BYTES: usize = 24 << 20;

/// Why the bytes of another node are not a message. The connection is of no use after it.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameError {
    /// The prefix announces a body of more than [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// The announced length of the body, in bytes.
        length: usize,
    },
    /// The body cannot be decoded as a message of the expected type.
    #[snafu(display("a frame of {length} bytes is not a message"))]
    Malformed {
        /// The length of the body, in bytes.
        length: usize,
    },
}

/// Encodes a message as a frame: prefix and body.
pub fn encode<M: bitcode::Encode>(message: &M) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Reads the length of the body from a prefix, in bytes.
///
/// # Errors
/// [`FrameError::TooLong`], so that a caller never reserves memory for whatever a peer announces.
pub fn body_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return TooLongSnafu { length }.fail();
    }
    Ok(length)
}

/// Decodes the body of a frame.
///
/// # Errors
/// [`FrameError::Malformed`]; the position that bitcode gives up at says nothing about the cause and is dropped.
pub fn decode<M: bitcode::DecodeOwned>(body: &[u8]) -> Result<M, FrameError> {
    bitcode::decode(body).map_err(|_| FrameError::Malformed { length: body.len() })
}
