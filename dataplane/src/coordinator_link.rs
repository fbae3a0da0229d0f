//! The connection to a coordinator: opening it, and one poll's request and response on it.

use std::time::Duration;

use shaletrail_protocol::frame::{self, FrameError};
use shaletrail_protocol::internal::{EdgeIdentity, EdgeRequest, Handshake, PollResponse, ServerOutcomes};
use shaletrail_protocol::NodeId;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::poll_timeouts::PollTimeouts;
use crate::state::State;

/// How long a connection to a coordinator may take to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The same while no configuration is known, so that a coordinator that is up is found soon.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the rest of a response may take once it has begun.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an urgent report waits for more to go with it.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(5);

/// Why a poll failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PollError {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Io {
        /// The system's error.
        source: std::io::Error,
    },
    /// The connection did not come up, or the response did not come, in time.
    #[snafu(display("timed out"))]
    TimedOut,
    /// The response cannot be decoded.
    #[snafu(display("{source}"))]
    Frame {
        /// What is wrong with it.
        source: FrameError,
    },
    /// The coordinator itself says that it is cut off from the majority.
    #[snafu(display("coordinator has no quorum contact"))]
    NoQuorumContact,
}

/// A connection to a coordinator, and the bytes that go before the first message on it.
pub struct CoordinatorLink {
    /// The coordinator.
    pub node: NodeId,
    stream: TcpStream,
    /// The handshake, until it has been sent.
    unsent: Vec<u8>,
}

impl CoordinatorLink {
    /// Opens a connection, on which `identity` is sent with the first message.
    pub async fn connect(
        state: &State,
        node: NodeId,
        port: u16,
        identity: &EdgeIdentity,
    ) -> Result<CoordinatorLink, PollError> {
        let is_first = state.view().version == 0;
        let connect_timeout = if is_first { FIRST_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        let connecting = timeout(connect_timeout, TcpStream::connect((node.address(), port)));
        let Ok(connected) = connecting.await else { return TimedOutSnafu.fail() };
        let stream = connected.context(IoSnafu)?;
        stream.set_nodelay(true).context(IoSnafu)?;
        slog::debug!(state.log, "connected to coordinator"; "coordinator" => %node);
        let unsent = frame::encode(&Handshake::Edge(identity.clone()));
        Ok(CoordinatorLink { node, stream, unsent })
    }

    /// Announces that this edge is about to end, and closes the connection.
    pub async fn send_shutdown_notice(mut self) -> Result<(), PollError> {
        let message = self.prepare(&EdgeRequest::ShutdownNotice);
        self.stream.write_all(&message).await.context(IoSnafu)?;
        self.stream.shutdown().await.context(IoSnafu)
    }

    /// Sends a poll and reads the response. Urgent demand is sent meanwhile; the outcomes of servers observed since
    /// are returned with the response.
    pub async fn poll(
        &mut self,
        state: &State,
        request: &EdgeRequest,
        timeouts: PollTimeouts,
    ) -> Result<(PollResponse, Vec<ServerOutcomes>), PollError> {
        let message = self.prepare(request);
        let (mut reader, mut writer) = self.stream.split();
        let mut server_outcomes = Vec::new();
        let mut prefix = [0; frame::PREFIX_BYTES];
        let begin = async {
            writer.write_all(&message).await?;
            let mut reading = std::pin::pin!(reader.read_exact(&mut prefix));
            loop {
                tokio::select! {
                    read = &mut reading => return read,
                    () = state.report_ready.notified() => {
                        tokio::time::sleep(URGENT_REPORT_DELAY).await;
                        let now = state.clock.now();
                        let (demand, outcomes) = state.with_router(|router| router.take_report(now));
                        server_outcomes.extend(outcomes);
                        writer.write_all(&frame::encode(&EdgeRequest::Report { demand })).await?;
                    }
                }
            }
        };
        let Ok(begun) = timeout(timeouts.response_timeout(), begin).await else {
            return TimedOutSnafu.fail();
        };
        begun.context(IoSnafu)?;
        let length = frame::body_length(prefix).context(FrameSnafu)?;
        let mut body = Vec::new();
        let mut rest = reader.take(length as u64);
        let Ok(read) = timeout(RESPONSE_BODY_TIMEOUT, rest.read_to_end(&mut body)).await else {
            return TimedOutSnafu.fail();
        };
        read.context(IoSnafu)?;
        Ok((frame::decode(&body).context(FrameSnafu)?, server_outcomes))
    }

    /// The bytes of a message, after the handshake where that is still to be sent.
    fn prepare(&mut self, request: &EdgeRequest) -> Vec<u8> {
        let mut message = std::mem::take(&mut self.unsent);
        message.extend(frame::encode(request));
        message
    }
}
