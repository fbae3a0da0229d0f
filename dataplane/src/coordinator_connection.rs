//! A connection to a coordinator: opens it, and exchanges the request and response of each poll.

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

/// How long establishing a TCP connection to a coordinator may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Used instead of [`CONNECT_TIMEOUT`] while the edge has no configuration, so that it finds a running
/// coordinator sooner.
const INITIAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a response may take to arrive completely after its length prefix.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before an urgent report is sent, so that demand that arrives meanwhile is part of it.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(5);

/// Why a poll failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PollError {
    /// Connecting, reading or writing failed.
    #[snafu(display("{source}"))]
    Io { source: std::io::Error },
    /// The connection was not established, or the response did not arrive, in time.
    #[snafu(display("timed out"))]
    TimedOut,
    /// The response cannot be decoded.
    #[snafu(display("{source}"))]
    Frame { source: FrameError },
    /// The coordinator reported that it has lost contact with a majority of the coordinators.
    #[snafu(display("coordinator has no quorum contact"))]
    NoQuorumContact,
}

/// An established TCP connection to a coordinator, on which this edge polls for configuration.
pub struct CoordinatorConnection {
    /// The coordinator at the other end.
    pub node: NodeId,
    stream: TcpStream,
    /// The encoded handshake; empty once it has been sent.
    unsent_handshake: Vec<u8>,
}

impl CoordinatorConnection {
    /// Opens a connection. The handshake with `identity` is sent together with the first message.
    pub async fn connect(
        state: &State,
        node: NodeId,
        port: u16,
        identity: &EdgeIdentity,
    ) -> Result<CoordinatorConnection, PollError> {
        let has_no_configuration = state.view().version == 0;
        let connect_timeout = if has_no_configuration { INITIAL_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
        let connecting = timeout(connect_timeout, TcpStream::connect((node.address(), port)));
        let Ok(connected) = connecting.await else { return TimedOutSnafu.fail() };
        let stream = connected.context(IoSnafu)?;
        stream.set_nodelay(true).context(IoSnafu)?;
        slog::debug!(state.log, "connected to coordinator"; "coordinator" => %node);
        let unsent_handshake = frame::encode(&Handshake::Edge(identity.clone()));
        Ok(CoordinatorConnection { node, stream, unsent_handshake })
    }

    /// Tells the coordinator that this edge is shutting down, and closes the connection.
    pub async fn send_shutdown_notice(mut self) -> Result<(), PollError> {
        let message = self.encode_message(&EdgeRequest::ShutdownNotice);
        self.stream.write_all(&message).await.context(IoSnafu)?;
        self.stream.shutdown().await.context(IoSnafu)
    }

    /// Sends a poll and reads the response. Urgent demand is sent while waiting. A report message carries no
    /// server outcomes, so the outcomes taken from the router with that demand are returned for the next
    /// poll.
    pub async fn poll(
        &mut self,
        state: &State,
        request: &EdgeRequest,
        timeouts: PollTimeouts,
    ) -> Result<(PollResponse, Vec<ServerOutcomes>), PollError> {
        let message = self.encode_message(request);
        let (mut reader, mut writer) = self.stream.split();
        let mut server_outcomes = Vec::new();
        let mut prefix = [0; frame::PREFIX_BYTES];
        let send_and_read_prefix = async {
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
        let Ok(prefix_read) = timeout(timeouts.response_timeout(), send_and_read_prefix).await else {
            return TimedOutSnafu.fail();
        };
        prefix_read.context(IoSnafu)?;
        let length = frame::body_length(prefix).context(FrameSnafu)?;
        let mut body = Vec::new();
        let mut rest = reader.take(length as u64);
        let Ok(read) = timeout(RESPONSE_BODY_TIMEOUT, rest.read_to_end(&mut body)).await else {
            return TimedOutSnafu.fail();
        };
        read.context(IoSnafu)?;
        Ok((frame::decode(&body).context(FrameSnafu)?, server_outcomes))
    }

    /// Encodes a message, preceded by the handshake if that has not been sent yet.
    fn encode_message(&mut self, request: &EdgeRequest) -> Vec<u8> {
        let mut message = std::mem::take(&mut self.unsent_handshake);
        message.extend(frame::encode(request));
        message
    }
}
