//! Reading frames from connections of other nodes.

use shaletrail_protocol::frame::{self, FrameError};
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Why no message could be read. The connection is of no use after it.
#[derive(Debug, Snafu)]
pub enum ReadFrameError {
    /// The connection has ended, failed or timed out.
    #[snafu(context(false), display("{source}"))]
    Connection {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The bytes are not a message.
    #[snafu(context(false), display("{source}"))]
    Frame {
        /// What is wrong with them.
        source: FrameError,
    },
}

/// Reads one message.
///
/// # Errors
/// The connection ends within the frame, or the frame is too long or cannot be decoded.
pub async fn read_frame<M: bitcode::DecodeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> Result<M, ReadFrameError> {
    let mut prefix = [0; frame::PREFIX_BYTES];
    from.read_exact(&mut prefix).await?;
    let mut body = vec![0; frame::body_length(prefix)?];
    from.read_exact(&mut body).await?;
    Ok(frame::decode(&body)?)
}
