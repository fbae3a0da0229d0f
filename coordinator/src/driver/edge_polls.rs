//! Serves the connection of one edge: its long polls, and the reports that it sends while a poll is pending.

use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{EdgeIdentity, EdgeRequest, PollRequest, PollResponse};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::coordinator_driver::CoordinatorDriver;
use super::frames::{read_frame, ReadFrameError};
use super::sockets::with_timeout;
use crate::interface::Event;

/// Timeout for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time without a request from the edge while no poll is pending.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of requests of one edge that are read ahead.
const MAX_QUEUED_REQUESTS: usize = 4;

/// The outcome of a poll.
enum PollOutcome {
    Answered(Box<PollResponse>),
    /// The edge sent another poll before it received the response. Only the new one is answered.
    Superseded(PollRequest),
    /// The edge has disconnected or announced its shutdown, or this coordinator is shutting down.
    Closed,
}

/// Serves an edge until it disconnects or announces its shutdown.
///
/// # Errors
/// The edge is idle for too long, or does not read its responses in time.
pub async fn serve_edge(
    driver: &Rc<CoordinatorDriver>,
    edge: EdgeIdentity,
    stream: TcpStream,
) -> Result<(), ReadFrameError> {
    let (reader, mut writer) = stream.into_split();
    let (sender, mut requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let _reading = AbortOnDrop(tokio::task::spawn_local(read_requests(reader, sender)));
    let mut next_poll = None;
    loop {
        let request = match next_poll.take() {
            Some(poll) => Some(EdgeRequest::Poll(poll)),
            None => with_timeout(IDLE_TIMEOUT, requests.recv()).await?,
        };
        let poll = match request {
            Some(EdgeRequest::Poll(poll)) => poll,
            Some(EdgeRequest::Report { demand }) => {
                driver.handle(Event::EdgeReport { edge: edge.node, demand });
                continue;
            }
            Some(EdgeRequest::ShutdownNotice) => {
                driver.handle(Event::EdgeDisconnected(edge.node));
                return Ok(());
            }
            None => return Ok(()),
        };
        match await_response(driver, &edge, poll, &mut requests).await {
            PollOutcome::Answered(response) => {
                let bytes = frame::encode(&*response);
                with_timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await??;
            }
            PollOutcome::Superseded(poll) => next_poll = Some(poll),
            PollOutcome::Closed => return Ok(()),
        }
    }
}

/// Waits for the response to a poll, and handles other requests of the edge in the meantime.
async fn await_response(
    driver: &Rc<CoordinatorDriver>,
    edge: &EdgeIdentity,
    poll: PollRequest,
    requests: &mut mpsc::Receiver<EdgeRequest>,
) -> PollOutcome {
    let pending = driver.poll(edge.clone(), poll);
    tokio::pin!(pending);
    loop {
        tokio::select! {
            response = &mut pending => return response.map_or(PollOutcome::Closed, PollOutcome::Answered),
            request = requests.recv() => match request {
                Some(EdgeRequest::Poll(poll)) => return PollOutcome::Superseded(poll),
                Some(EdgeRequest::Report { demand }) => {
                    driver.handle(Event::EdgeReport { edge: edge.node, demand });
                }
                Some(EdgeRequest::ShutdownNotice) => {
                    driver.handle(Event::EdgeDisconnected(edge.node));
                    return PollOutcome::Closed;
                }
                None => return PollOutcome::Closed,
            },
        }
    }
}

/// Reads the edge's requests until its connection closes or a request cannot be read.
async fn read_requests(mut reader: OwnedReadHalf, requests: mpsc::Sender<EdgeRequest>) {
    while let Ok(request) = read_frame(&mut reader).await {
        if requests.send(request).await.is_err() {
            return;
        }
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
