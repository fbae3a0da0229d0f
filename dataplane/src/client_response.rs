//! The response to a client: either a server's response, forwarded once complete or as it arrives, or a
//! rejection by the edge itself.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use shaletrail_routing::interface::{Ending, Rejection};

use crate::request::strip_hop_by_hop;
use crate::response_body::{ResponseAborted, ResponseWriter};

/// The response to a client, which may have been sent in part.
pub struct ClientResponse {
    writer: ResponseWriter,
    has_begun: bool,
    last_event: Option<u64>,
    in_partial_event: bool,
}

impl ClientResponse {
    /// Creates a response of which nothing has been sent yet; it is sent through `writer`.
    pub fn new(writer: ResponseWriter) -> Self {
        ClientResponse { writer, has_begun: false, last_event: None, in_partial_event: false }
    }

    /// Records the position in an event stream: the id of the last complete event, and whether part of
    /// another event has arrived from the server.
    pub fn record_stream_position(&mut self, last_event: Option<u64>, in_partial_event: bool) {
        self.last_event = last_event;
        self.in_partial_event = in_partial_event;
    }

    /// The ending of an attempt that fails after the head has been sent to the client.
    pub fn truncated_ending(&self) -> Ending {
        Ending::Truncated { last_event: self.last_event, at_fault: self.in_partial_event }
    }

    /// Whether the head has been sent to the client.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Sends the head, unless one has been sent: a stream that is resumed on another server keeps the first
    /// server's head.
    pub fn begin(&mut self, mut head: Parts) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        strip_hop_by_hop(&mut head.headers);
        self.writer.begin(head);
    }

    /// Sends a chunk of the body and waits until the client connection has taken it.
    pub async fn send_chunk(&self, chunk: Bytes) {
        self.writer.write(chunk).await;
    }

    /// Sends the last chunk of the body, which may be empty.
    pub fn finish(&self, chunk: Bytes) {
        self.writer.finish(chunk);
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// If the head of a response has already been sent.
    pub fn send_complete(&mut self, head: Parts, body: Bytes) -> Result<(), ResponseAborted> {
        if self.has_begun {
            return Err(ResponseAborted);
        }
        self.begin(head);
        self.finish(body);
        Ok(())
    }
}

/// The head of a response by which the edge itself rejects a request; `None` if the status code is invalid.
pub fn rejection_head(rejection: Rejection) -> Option<Parts> {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = StatusCode::from_u16(rejection.status).ok()?;
    if let Some(milliseconds) = rejection.retry_after_ms {
        let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
        head.headers.insert(RETRY_AFTER, HeaderValue::try_from(seconds).ok()?);
    }
    Some(head)
}
