//! Handles a server's response from its head on: buffers it, forwards it as it arrives or drains it, and decides what
//! becomes of its connection.

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
use crate::request::{has_connection_close, text};
use crate::response::{self, BodyShape, INSTANCE_ID};
use crate::stall_detector::StallDetector;

/// The longest success that is buffered until it is complete, in bytes; longer ones are forwarded as they arrive.
const MAX_BUFFERED_SUCCESS_BYTES: usize = 256 << 10;
/// The longest failure that is buffered, in bytes; a longer one counts as malformed.
const MAX_BUFFERED_FAILURE_BYTES: usize = 256 << 10;
/// The longest body of a rejection that is read to keep its connection, in bytes.
const MAX_DRAINED_BYTES: usize = 64 << 10;
/// How long the body of a rejection may take to arrive.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A response whose head has arrived. Its connection is closed when it is dropped before its end.
pub struct ServerResponse {
    head: Parts,
    body: Incoming,
    connection: PooledConnection,
    load: Option<ServerLoad>,
}

/// The connection ended before the body did.
struct BodyInterrupted;

/// Why a body was not buffered.
enum CollectError {
    /// The connection ended before the body did.
    Interrupted,
    /// The body is too long.
    TooLong,
}

impl ServerResponse {
    /// What has arrived on a pooled connection.
    pub fn new(response: Response<Incoming>, connection: PooledConnection) -> Self {
        let (head, body) = response.into_parts();
        ServerResponse { load: response::server_load(&head.headers), head, body, connection }
    }

    /// The head.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// The server has not executed the request. The router need not wait for the body of a rejection.
    pub fn into_rejection(self) -> AttemptResult {
        let status = self.head.status.as_u16();
        let instance = text(&self.head.headers, &INSTANCE_ID).map(str::to_owned);
        let outcome = Outcome {
            verdict: Verdict::SurelyNotRun,
            ending: Ending::Rejected { status, instance },
            load: self.load,
            retry_after_ms: response::retry_after(&self.head.headers),
        };
        if self.body.is_end_stream() {
            return_to_pool(self.connection, &self.head);
        } else {
            tokio::task::spawn_local(drain(self.connection, self.head, self.body));
        }
        AttemptResult::NoResponse(outcome)
    }

    /// A failure of the server's own: buffered, as the router may retry on another server first.
    pub async fn buffer_failure(self) -> AttemptResult {
        let status = self.head.status.as_u16();
        let retry_after_ms = response::retry_after(&self.head.headers);
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

    /// A success that is no event stream: buffered until it is complete, unless it is long.
    pub async fn forward_success(
        mut self,
        shape: BodyShape,
        progress: &Progress,
        client: &mut ClientResponse,
    ) -> AttemptResult {
        let is_long =
            matches!(shape, BodyShape::Length(length) if length > MAX_BUFFERED_SUCCESS_BYTES as u64);
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

    /// Forwards a complete success.
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

    /// Forwards a long body as it arrives, after what is buffered of it.
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
                // The client's connection polls no more once it has the declared length, so that the end must not be
                // waited for.
                Some(Ok(chunk)) if self.body.is_end_stream() => {
                    client.finish(chunk);
                    return self.served();
                }
                Some(Ok(chunk)) => client.send_chunk(chunk).await,
                Some(Err(BodyInterrupted)) => return self.failed(Verdict::HasRun, client.truncated()),
                None => return self.served(),
            }
        }
    }

    /// Forwards an event stream, each event as soon as it is complete. The head waits for the first of them, so that
    /// another server's response may replace one that fails before it.
    pub async fn forward_events(
        mut self,
        resume_after: Option<u64>,
        stall_timeout: Option<Duration>,
        progress: &Progress,
        client: &mut ClientResponse,
    ) -> AttemptResult {
        let mut splitter = EventSplitter::after(resume_after);
        let mut stall = StallDetector::new(stall_timeout);
        let mut has_first = false;
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
            if !std::mem::replace(&mut has_first, true) {
                progress.on_response_head(self.load);
                progress.on_first_chunk();
                self.begin_stream(client);
            }
            client.send_chunk(events).await;
            // A client that reads slowly does not make the server's stream stalled.
            stall.record_progress();
        }
        if !has_first {
            progress.on_response_head(self.load);
        }
        self.begin_stream(client);
        client.finish(splitter.finish());
        self.served()
    }

    /// The next bytes of a stream; stalls are reported meanwhile.
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

    /// Sends the head of a stream, without the server's length: it does not hold if another server resumes the stream.
    fn begin_stream(&mut self, client: &mut ClientResponse) {
        if !client.has_begun() {
            let mut head = self.head.clone();
            head.headers.remove(CONTENT_LENGTH);
            client.begin(head);
        }
    }

    /// The result of a stream that failed; `ending` applies if the client has received nothing of it.
    fn stream_failed(self, client: &ClientResponse, ending: Ending) -> AttemptResult {
        if client.has_begun() {
            self.failed(Verdict::HasRun, client.truncated())
        } else {
            self.failed(Verdict::MayHaveRun, ending)
        }
    }

    /// The next bytes of the body; `None` at its proper end.
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

    fn served(self) -> AttemptResult {
        let outcome = self.outcome(Verdict::HasRun, Ending::Served);
        return_to_pool(self.connection, &self.head);
        AttemptResult::Served(outcome)
    }

    fn failed(self, verdict: Verdict, ending: Ending) -> AttemptResult {
        AttemptResult::NoResponse(self.outcome(verdict, ending))
    }

    fn outcome(&self, verdict: Verdict, ending: Ending) -> Outcome {
        Outcome { verdict, ending, load: self.load, retry_after_ms: None }
    }
}

/// Buffers a body of `max_bytes` at most.
async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes, CollectError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(CollectError::TooLong),
        Err(_) => Err(CollectError::Interrupted),
    }
}

/// Reads the rest of a rejection, so that its connection may be reused.
async fn drain(connection: PooledConnection, head: Parts, body: Incoming) {
    if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, collect(body, MAX_DRAINED_BYTES)).await {
        return_to_pool(connection, &head);
    }
}

/// Keeps the connection of a complete response, unless the server closes it.
fn return_to_pool(connection: PooledConnection, head: &Parts) {
    if !has_connection_close(&head.headers) {
        connection.return_to_pool(response::keep_alive(&head.headers));
    }
}
