//! Handles a server's response after its head has arrived: buffers, forwards or drains the body, and returns
//! the connection to the pool or closes it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::Response;
use shaletrail_routing::interface::{Ending, Outcome, ServerLoad, Verdict};

use crate::attempt_result::{AttemptResult, BufferedFailure};
use crate::client_response::ClientResponse;
use crate::event_splitter::EventSplitter;
use crate::pool::PooledConnection;
use crate::progress::Progress;
use crate::request::{has_connection_close, header_text};
use crate::response::{self, BodyFraming, INSTANCE_ID};
use crate::stall_detector::StallDetector;

/// A success up to this length is buffered until it is complete; a longer one is forwarded as it arrives.
const MAX_BUFFERED_SUCCESS_BYTES: usize = 256 << 10;
/// A failure up to this length is buffered; a longer one counts as malformed.
const MAX_BUFFERED_FAILURE_BYTES: usize = 256 << 10;
/// The body of a rejection is drained up to this length, so that its connection can be reused.
const MAX_DRAINED_BYTES: usize = 64 << 10;
/// Limits the time for draining the body of a rejection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A response whose head has arrived. If it is dropped before the body is complete, its connection is closed.
pub struct ServerResponse {
    head: Parts,
    body: Incoming,
    connection: PooledConnection,
    load: Option<ServerLoad>,
}

/// The connection ended before the body was complete.
struct BodyInterrupted;

/// Why a body could not be buffered.
enum CollectError {
    /// The connection ended before the body was complete.
    Interrupted,
    TooLong,
}

impl ServerResponse {
    /// Takes a response whose head has been read, with the connection on which its body arrives.
    pub fn new(response: Response<Incoming>, connection: PooledConnection) -> Self {
        let (head, body) = response.into_parts();
        ServerResponse { load: response::server_load(&head.headers), head, body, connection }
    }

    /// The status and headers as received from the server, including hop-by-hop headers.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// The result of a rejection. Its body is drained in a separate task, so that the router need not wait
    /// for it.
    pub fn into_rejection(self) -> AttemptResult {
        let status = self.head.status.as_u16();
        let instance = header_text(&self.head.headers, &INSTANCE_ID).map(str::to_owned);
        let outcome = Outcome {
            verdict: Verdict::SurelyNotRun,
            ending: Ending::Rejected { status, instance },
            load: self.load,
            retry_after_ms: response::retry_after_ms(&self.head.headers),
        };
        if self.body.is_end_stream() {
            return_to_pool(self.connection, &self.head);
        } else {
            tokio::task::spawn_local(drain(self.connection, self.head, self.body));
        }
        AttemptResult::NoResponse(outcome)
    }

    /// Buffers a failure response. It is not forwarded yet, because the router may retry on another server.
    pub async fn buffer_failure(self) -> AttemptResult {
        let status = self.head.status.as_u16();
        let retry_after_ms = response::retry_after_ms(&self.head.headers);
        let outcome = |ending| Outcome { verdict: Verdict::HasRun, ending, load: self.load, retry_after_ms };
        match collect(self.body, MAX_BUFFERED_FAILURE_BYTES).await {
            Ok(body) => {
                return_to_pool(self.connection, &self.head);
                let failure = BufferedFailure { head: self.head, body };
                AttemptResult::Failed(outcome(Ending::Failed { status }), failure)
            }
            Err(CollectError::Interrupted) => AttemptResult::NoResponse(outcome(Ending::ConnectionLost)),
            Err(CollectError::TooLong) => AttemptResult::NoResponse(outcome(Ending::MalformedResponse)),
        }
    }

    /// Forwards a success that is not an event stream. It is buffered until it is complete, unless it is
    /// longer than [`MAX_BUFFERED_SUCCESS_BYTES`].
    pub async fn forward_success(
        mut self,
        framing: BodyFraming,
        progress: &Progress,
        client: &mut ClientResponse,
    ) -> AttemptResult {
        let is_long =
            matches!(framing, BodyFraming::Length(length) if length > MAX_BUFFERED_SUCCESS_BYTES as u64);
        let mut buffered = BytesMut::new();
        while !is_long && buffered.len() <= MAX_BUFFERED_SUCCESS_BYTES {
            match self.next_chunk().await {
                Some(Ok(chunk)) if buffered.is_empty() && self.body.is_end_stream() => {
                    return self.forward_complete(chunk, progress, client);
                }
                Some(Ok(chunk)) => buffered.extend_from_slice(&chunk),
                Some(Err(BodyInterrupted)) => {
                    return self.failed(Verdict::MayHaveRun, Ending::ConnectionLost)
                }
                None => return self.forward_complete(buffered.freeze(), progress, client),
            }
        }
        self.forward_chunks(buffered.freeze(), progress, client).await
    }

    /// Forwards a success whose body has arrived completely.
    fn forward_complete(
        self,
        body: Bytes,
        progress: &Progress,
        client: &mut ClientResponse,
    ) -> AttemptResult {
        progress.on_response_head(self.load);
        progress.on_first_chunk();
        let outcome = self.outcome(Verdict::HasRun, Ending::Served);
        return_to_pool(self.connection, &self.head);
        client.begin(self.head);
        client.finish(body);
        AttemptResult::Served(outcome)
    }

    /// Forwards the part of a long body that is buffered, and then the rest as it arrives.
    async fn forward_chunks(
        mut self,
        buffered: Bytes,
        progress: &Progress,
        client: &mut ClientResponse,
    ) -> AttemptResult {
        progress.on_response_head(self.load);
        progress.on_first_chunk();
        client.begin(self.head.clone());
        client.send_chunk(buffered).await;
        loop {
            match self.next_chunk().await {
                // The client connection stops polling the exchange once it has the declared length, so the
                // exchange must end together with the last chunk instead of waiting for the end of the body.
                Some(Ok(chunk)) if self.body.is_end_stream() => {
                    client.finish(chunk);
                    return self.served();
                }
                Some(Ok(chunk)) => client.send_chunk(chunk).await,
                Some(Err(BodyInterrupted)) => return self.failed(Verdict::HasRun, client.truncated_ending()),
                None => return self.served(),
            }
        }
    }

    /// Forwards an event stream, each event as soon as it is complete. The head is held back until the first
    /// event, so that another server's response can be used instead if this one fails before.
    pub async fn forward_events(
        mut self,
        resume_after: Option<u64>,
        stall_timeout: Option<Duration>,
        progress: &Progress,
        client: &mut ClientResponse,
    ) -> AttemptResult {
        let mut splitter = EventSplitter::resuming_after(resume_after);
        let mut stall = StallDetector::new(stall_timeout);
        let mut has_first_event = false;
        client.record_stream_position(resume_after, false);
        loop {
            let chunk = self.next_stream_chunk(&mut stall, progress).await;
            stall.record_progress();
            let events = match chunk {
                Some(Ok(chunk)) => splitter.push(chunk),
                Some(Err(BodyInterrupted)) => return self.stream_failed(client, Ending::ConnectionLost),
                None => break,
            };
            let Ok(events) = events else { return self.stream_failed(client, Ending::MalformedResponse) };
            client.record_stream_position(splitter.last_id(), splitter.has_partial_event());
            if events.is_empty() {
                continue;
            }
            if !std::mem::replace(&mut has_first_event, true) {
                progress.on_response_head(self.load);
                progress.on_first_chunk();
                self.begin_stream(client);
            }
            client.send_chunk(events).await;
            // Time spent waiting for a slow client does not count as a pause of the server.
            stall.record_progress();
        }
        if !has_first_event {
            progress.on_response_head(self.load);
        }
        self.begin_stream(client);
        client.finish(splitter.finish());
        self.served()
    }

    /// Waits for the next bytes of a stream, and reports stalls meanwhile.
    async fn next_stream_chunk(
        &mut self,
        stall: &mut StallDetector,
        progress: &Progress,
    ) -> Option<Result<Bytes, BodyInterrupted>> {
        loop {
            tokio::select! {
                biased;
                chunk = self.next_chunk() => return chunk,
                () = stall.stalled() => progress.on_stalled(),
            }
        }
    }

    /// Sends the head of a stream without its `Content-Length`, which would be wrong if another server
    /// resumes the stream.
    fn begin_stream(&mut self, client: &mut ClientResponse) {
        if !client.has_begun() {
            let mut head = self.head.clone();
            head.headers.remove(CONTENT_LENGTH);
            client.begin(head);
        }
    }

    /// The result of a stream that failed. `ending` is used only if the client has received no part of it.
    fn stream_failed(self, client: &ClientResponse, ending: Ending) -> AttemptResult {
        if client.has_begun() {
            self.failed(Verdict::HasRun, client.truncated_ending())
        } else {
            self.failed(Verdict::MayHaveRun, ending)
        }
    }

    /// The next bytes of the body; `None` once it is complete.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(bytes) => return Some(Ok(bytes)),
                    // Trailers are not forwarded.
                    Err(_) => continue,
                },
                Err(_) => return Some(Err(BodyInterrupted)),
            }
        }
    }

    /// The result of a success that has been forwarded completely; its connection returns to the pool.
    fn served(self) -> AttemptResult {
        let outcome = self.outcome(Verdict::HasRun, Ending::Served);
        return_to_pool(self.connection, &self.head);
        AttemptResult::Served(outcome)
    }

    /// The result of a response that cannot be used, or no further; its connection is closed.
    fn failed(self, verdict: Verdict, ending: Ending) -> AttemptResult {
        AttemptResult::NoResponse(self.outcome(verdict, ending))
    }

    fn outcome(&self, verdict: Verdict, ending: Ending) -> Outcome {
        Outcome { verdict, ending, load: self.load, retry_after_ms: None }
    }
}

/// Buffers a body of at most `max_bytes` bytes.
async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes, CollectError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(CollectError::TooLong),
        Err(_) => Err(CollectError::Interrupted),
    }
}

/// Reads and discards the body of a rejection, so that its connection can be reused.
async fn drain(connection: PooledConnection, head: Parts, body: Incoming) {
    if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, collect(body, MAX_DRAINED_BYTES)).await {
        return_to_pool(connection, &head);
    }
}

/// Returns the connection of a complete response to the pool, unless the response has `Connection: close`.
fn return_to_pool(connection: PooledConnection, head: &Parts) {
    if !has_connection_close(&head.headers) {
        connection.return_to_pool(response::keep_alive_ms(&head.headers));
    }
}
