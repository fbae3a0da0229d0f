//! An answer of a server from its head on: read whole, passed on as it comes, or dropped, and what becomes of its
//! connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::Response;
use shaletrail_routing::interface::{Ending, Outcome, ServerLoad, Verdict};

use crate::answer::{self, BodyShape, INSTANCE_ID};
use crate::attempt::{AttemptEnd, HeldFailure, Progress};
use crate::client_answer::ClientAnswer;
use crate::events::EventCutter;
use crate::request::{asks_to_close, text};
use crate::stall::StallWatch;
use crate::upstream::Lease;

/// The longest success that is held until it has come whole, in bytes; longer ones are passed on as they come.
const MOST_HELD: usize = 256 << 10;
/// The longest failure that is held, in bytes; a longer one counts as garbled.
const MOST_HELD_FAILURE: usize = 256 << 10;
/// The longest body of a rejection that is read to keep its connection, in bytes.
const MOST_DRAINED: usize = 64 << 10;
/// How long it may take to come.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer whose head has come. Its connection is closed when it is dropped before its end.
pub struct Received {
    head: Parts,
    body: Incoming,
    lease: Lease,
    load: Option<ServerLoad>,
}

/// A body that did not come whole.
enum BodyFailure {
    Broken,
    TooLong,
}

impl Received {
    /// What has come on a leased connection.
    pub fn new(response: Response<Incoming>, lease: Lease) -> Self {
        let (head, body) = response.into_parts();
        Received { load: answer::server_load(&head.headers), head, body, lease }
    }

    /// Its head.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// The server has not run the request. The router need not wait for the body of a rejection.
    pub fn turned_away(self) -> AttemptEnd {
        let status = self.head.status.as_u16();
        let instance = text(&self.head.headers, &INSTANCE_ID).map(str::to_owned);
        let outcome = Outcome {
            verdict: Verdict::SurelyNotRun,
            ending: Ending::Rejected { status, instance },
            load: self.load,
            retry_after_ms: answer::retry_after(&self.head.headers),
        };
        if self.body.is_end_stream() {
            give_back(self.lease, &self.head);
        } else {
            tokio::task::spawn_local(drain(self.lease, self.head, self.body));
        }
        AttemptEnd::Over(outcome)
    }

    /// A failure of the server's own: held, as the router may ask another server first.
    pub async fn failure(self) -> AttemptEnd {
        let status = self.head.status.as_u16();
        let retry_after_ms = answer::retry_after(&self.head.headers);
        let outcome = |ending| Outcome { verdict: Verdict::HasRun, ending, load: self.load, retry_after_ms };
        match collect(self.body, MOST_HELD_FAILURE).await {
            Ok(body) => {
                give_back(self.lease, &self.head);
                AttemptEnd::Held(outcome(Ending::Failed { status }), HeldFailure { head: self.head, body })
            }
            Err(BodyFailure::Broken) => AttemptEnd::Over(outcome(Ending::ConnectionLost)),
            Err(BodyFailure::TooLong) => AttemptEnd::Over(outcome(Ending::MalformedResponse)),
        }
    }

    /// A success that is no series of events: held until it is whole, unless it is long.
    pub async fn success(
        mut self,
        shape: BodyShape,
        progress: &Progress,
        answer: &mut ClientAnswer,
    ) -> AttemptEnd {
        let is_long = matches!(shape, BodyShape::Length(length) if length > MOST_HELD as u64);
        let mut held = BytesMut::new();
        while !is_long && held.len() <= MOST_HELD {
            match self.piece().await {
                Some(Ok(piece)) if held.is_empty() && self.body.is_end_stream() => {
                    return self.served_whole(piece, progress, answer);
                }
                Some(Ok(piece)) => held.extend_from_slice(&piece),
                Some(Err(BrokenBody)) => return self.over(Verdict::MayHaveRun, Ending::ConnectionLost),
                None => return self.served_whole(held.freeze(), progress, answer),
            }
        }
        self.pass_along(held.freeze(), progress, answer).await
    }

    fn served_whole(self, body: Bytes, progress: &Progress, answer: &mut ClientAnswer) -> AttemptEnd {
        progress.head_passed(self.load);
        progress.first_piece();
        let outcome = self.outcome(Verdict::HasRun, Ending::Served);
        give_back(self.lease, &self.head);
        answer.begin(self.head);
        answer.finish(body);
        AttemptEnd::Served(outcome)
    }

    /// Passes a long body on as it comes.
    async fn pass_along(mut self, held: Bytes, progress: &Progress, answer: &mut ClientAnswer) -> AttemptEnd {
        progress.head_passed(self.load);
        progress.first_piece();
        answer.begin(self.head.clone());
        answer.pass(held).await;
        loop {
            match self.piece().await {
                // The client's connection asks for no more once it has the length announced: the end is not waited for.
                Some(Ok(piece)) if self.body.is_end_stream() => {
                    answer.finish(piece);
                    return self.served();
                }
                Some(Ok(piece)) => answer.pass(piece).await,
                Some(Err(BrokenBody)) => {
                    return self.over(Verdict::HasRun, answer.broken());
                }
                None => return self.served(),
            }
        }
    }

    /// Passes events on, each as soon as it is whole. The head waits for the first of them, so that an answer
    /// that breaks before it may still become another.
    pub async fn events(
        mut self,
        after: Option<u64>,
        stall_after: Option<Duration>,
        progress: &Progress,
        answer: &mut ClientAnswer,
    ) -> AttemptEnd {
        let mut cutter = EventCutter::after(after);
        let mut stall = StallWatch::new(stall_after);
        let mut has_first = false;
        answer.note_events(after, false);
        loop {
            let piece = self.piece_of_stream(&mut stall, progress).await;
            stall.moved();
            let events = match piece {
                Some(Ok(piece)) => cutter.push(piece),
                Some(Err(BrokenBody)) => return self.stream_broken(answer, Ending::ConnectionLost),
                None => break,
            };
            let Ok(events) = events else { return self.stream_broken(answer, Ending::MalformedResponse) };
            answer.note_events(cutter.last_id(), cutter.holds_part());
            if events.is_empty() {
                continue;
            }
            if !std::mem::replace(&mut has_first, true) {
                progress.head_passed(self.load);
                progress.first_piece();
                self.begin_stream(answer);
            }
            answer.pass(events).await;
            // A client that reads slowly is no pause of the server's.
            stall.moved();
        }
        if !has_first {
            progress.head_passed(self.load);
        }
        self.begin_stream(answer);
        answer.finish(cutter.finish());
        self.served()
    }

    /// The next bytes of a stream; its pauses are reported meanwhile.
    async fn piece_of_stream(
        &mut self,
        stall: &mut StallWatch,
        progress: &Progress,
    ) -> Option<Result<Bytes, BrokenBody>> {
        loop {
            tokio::select! {
                biased;
                piece = self.piece() => return piece,
                () = stall.stalled() => progress.stalled(),
            }
        }
    }

    /// The length that the server gave need not be that of an answer which may be taken up elsewhere.
    fn begin_stream(&mut self, answer: &mut ClientAnswer) {
        if !answer.has_begun() {
            let mut head = self.head.clone();
            head.headers.remove(CONTENT_LENGTH);
            answer.begin(head);
        }
    }

    fn stream_broken(self, answer: &ClientAnswer, unbegun: Ending) -> AttemptEnd {
        if answer.has_begun() {
            self.over(Verdict::HasRun, answer.broken())
        } else {
            self.over(Verdict::MayHaveRun, unbegun)
        }
    }

    /// The next bytes of the body; `None` at its proper end.
    async fn piece(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(bytes) => return Some(Ok(bytes)),
                    // Trailers are not passed on.
                    Err(_) => continue,
                },
                Err(_) => return Some(Err(BrokenBody)),
            }
        }
    }

    fn served(self) -> AttemptEnd {
        let outcome = self.outcome(Verdict::HasRun, Ending::Served);
        give_back(self.lease, &self.head);
        AttemptEnd::Served(outcome)
    }

    fn over(self, verdict: Verdict, ending: Ending) -> AttemptEnd {
        AttemptEnd::Over(self.outcome(verdict, ending))
    }

    fn outcome(&self, verdict: Verdict, ending: Ending) -> Outcome {
        Outcome { verdict, ending, load: self.load, retry_after_ms: None }
    }
}

/// The connection ended before the body did.
struct BrokenBody;

/// The whole of a short body.
async fn collect(body: Incoming, most: usize) -> Result<Bytes, BodyFailure> {
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyFailure::TooLong),
        Err(_) => Err(BodyFailure::Broken),
    }
}

/// Reads the rest of a rejection, so that its connection may be used again.
async fn drain(lease: Lease, head: Parts, body: Incoming) {
    if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, collect(body, MOST_DRAINED)).await {
        give_back(lease, &head);
    }
}

/// Keeps the connection of a whole answer, unless the server closes it.
fn give_back(lease: Lease, head: &Parts) {
    if !asks_to_close(&head.headers) {
        lease.give_back(answer::keep_alive(&head.headers));
    }
}
