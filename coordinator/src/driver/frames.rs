//! Reads frames from the connections of other nodes.

use shaletrail_protocol::frame::{self, FrameError};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Why no message could be read. The connection is not used any further after such an error.
#[derive(Debug, Snafu)]
pub enum ReadFrameError {
    /// The connection was closed, failed or timed out.
    #[snafu(context(false), display("{source}"))]
    Connection {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The received bytes are not a valid frame.
    #[snafu(context(false), display("{source}"))]
    Frame {
        /// Whether the frame is too long or cannot be decoded.
        source: FrameError,
    },
}

/// Reads one message.
///
/// # Errors
/// The connection closes before the frame is complete, or the frame is too long or cannot be decoded.
pub async fn read_frame<M: bitcode::DecodeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> Result<M, ReadFrameError> {
    let mut prefix = [0; frame::PREFIX_BYTES];
    from.read_exact(&mut prefix).await?;
    let mut body = vec![0; frame::body_length(prefix)?];
    from.read_exact(&mut body).await?;
    Ok(frame::decode(&body)?)
}
