//! Length-prefixed frames: a four-byte length in network byte order, followed by the bitcode-encoded message.

use snafu::Snafu;

/// The size of the length prefix, in bytes.
pub const PREFIX_BYTES: usize = 4;
/// The maximum length of a frame's body, in bytes: enough for a snapshot of the largest permitted configuration, with
/// some headroom.
pub const MAX_FRAME_BYTES: usize = 24 << 20;

/// Why the bytes received from another node are not a valid frame. The connection is not used any
/// further after such an error.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameError {
    /// The length in the prefix exceeds [`MAX_FRAME_BYTES`].
    #[snafu(display("frame body of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"))]
    TooLong {
        /// The length in the prefix, in bytes.
        length: usize,
    },
    /// The body cannot be decoded as a message of the expected type.
    #[snafu(display("frame body of {length} bytes cannot be decoded"))]
    Malformed {
        /// The length of the body, in bytes.
        length: usize,
    },
}

/// Encodes a message as a frame, prefix included.
pub fn encode<M: bitcode::Encode>(message: &M) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Reads the length of a frame's body, in bytes, from its prefix.
///
/// # Errors
/// [`FrameError::TooLong`]. The limit keeps callers from allocating an arbitrary amount of memory that a peer asks
/// for.
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
/// [`FrameError::Malformed`]. bitcode's own error is dropped: it says nothing about the cause.
pub fn decode<M: bitcode::DecodeOwned>(body: &[u8]) -> Result<M, FrameError> {
    bitcode::decode(body).map_err(|_| FrameError::Malformed { length: body.len() })
}
