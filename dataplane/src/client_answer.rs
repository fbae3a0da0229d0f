//! The answer to a client: a server's, passed on whole or as it comes, or one of our own.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use shaletrail_routing::interface::{Ending, Rejection};

use crate::body::{AnswerWriter, BrokenOff};
use crate::request::strip_hop_by_hop;

/// The answer to the client, of which a part may have been passed on.
pub struct ClientAnswer {
    writer: AnswerWriter,
    has_begun: bool,
    last_event: Option<u64>,
    in_event: bool,
}

impl ClientAnswer {
    /// One that has not begun.
    pub fn new(writer: AnswerWriter) -> Self {
        ClientAnswer { writer, has_begun: false, last_event: None, in_event: false }
    }

    /// Notes how far a stream has come: the last event passed on, and whether a part of the next has come.
    pub fn note_events(&mut self, last_event: Option<u64>, in_event: bool) {
        self.last_event = last_event;
        self.in_event = in_event;
    }

    /// How an attempt ends that breaks off after the head has been passed on.
    pub fn broken(&self) -> Ending {
        Ending::Truncated { last_event: self.last_event, at_fault: self.in_event }
    }

    /// Whether the client has the head of an answer.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Passes the head on, if it is the first. The head of a stream that is taken up elsewhere stays.
    pub fn begin(&mut self, mut head: Parts) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        strip_hop_by_hop(&mut head.headers);
        self.writer.begin(head);
    }

    /// Passes a piece on.
    pub async fn pass(&self, piece: Bytes) {
        self.writer.pass(piece).await;
    }

    /// Passes the last piece on.
    pub fn finish(&self, piece: Bytes) {
        self.writer.finish(piece);
    }

    /// Passes a whole answer on; not possible where another has begun.
    pub fn whole(&mut self, head: Parts, body: Bytes) -> Result<(), BrokenOff> {
        if self.has_begun {
            return Err(BrokenOff);
        }
        self.begin(head);
        self.finish(body);
        Ok(())
    }
}

/// The head of an answer of our own.
pub fn refusal_head(refusal: Rejection) -> Option<Parts> {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = StatusCode::from_u16(refusal.status).ok()?;
    if let Some(milliseconds) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
        head.headers.insert(RETRY_AFTER, HeaderValue::try_from(seconds).ok()?);
    }
    Some(head)
}
