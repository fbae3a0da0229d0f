//! One sending of a request to a server: the connection, the head of the answer, and the passing on of its body.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use shaletrail_routing::interface::{Attempt, Ending, Event, Outcome, RequestId, ServerLoad, Verdict};

use crate::answer::{self, judge, BodyShape, Kind, INSTANCE_ID};
use crate::events::EventCutter;
use crate::exchange::{Answer, ClientRequest};
use crate::request::{asks_to_close, text};
use crate::stall::StallWatch;
use crate::state::{SendOrder, State};
use crate::upstream::{ExchangeError, Lease};

/// The longest success that is held until it has come whole, in bytes; longer ones are passed on as they come.
const MOST_HELD: usize = 256 << 10;
/// The longest failure that is held, in bytes; a longer one counts as garbled.
const MOST_HELD_FAILURE: usize = 256 << 10;
/// The longest body of a rejection that is read to keep its connection, in bytes.
const MOST_DRAINED: usize = 64 << 10;
/// How long it may take to come.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A failure of a server's own, whole.
pub struct Held {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// A whole success has been passed on.
    Served(Outcome),
    /// A failure is held.
    Held(Outcome, Held),
    /// Nothing more comes of it.
    Over(Outcome),
}

/// What is known of an attempt under way.
pub struct Progress {
    state: Rc<State>,
    request: RequestId,
    attempt: Attempt,
    verdict: Cell<Verdict>,
}

impl Progress {
    /// Of an attempt that has not begun.
    pub fn new(state: Rc<State>, request: RequestId, attempt: Attempt) -> Self {
        Progress { state, request, attempt, verdict: Cell::new(Verdict::NeverSent) }
    }

    /// The verdict if the attempt ended now.
    pub fn verdict(&self) -> Verdict {
        self.verdict.get()
    }

    fn written(&self) {
        self.verdict.set(Verdict::MayHaveRun);
        self.state.handle(Event::Written(self.request, self.attempt));
    }

    fn head(&self, load: Option<ServerLoad>) {
        self.verdict.set(Verdict::HasRun);
        self.state.handle(Event::Head(self.request, self.attempt, load));
    }

    fn stalled(&self) {
        self.state.handle(Event::Stalled(self.request, self.attempt));
    }

    fn first(&self) {
        self.state.handle(Event::First(self.request, self.attempt));
    }
}

/// Sends the request once and passes the answer on, if it is a success.
pub async fn run(
    request: &ClientRequest,
    order: &SendOrder,
    progress: &Rc<Progress>,
    answer: &mut Answer,
) -> AttemptEnd {
    let mut lease = match Lease::take(&progress.state, &order.server, &order.address).await {
        Ok(lease) => lease,
        Err(error) => {
            slog::debug!(progress.state.log, "no connection"; "server" => &order.server, "error" => %error);
            return over(Verdict::NeverSent, Ending::Unreachable);
        }
    };
    let Some(message) = request.for_server(order) else {
        return over(Verdict::NeverSent, Ending::Unreachable);
    };
    let noted = progress.clone();
    let response = match lease.send(message, Box::new(move || noted.written())).await {
        Ok(response) => response,
        Err(error) => return AttemptEnd::Over(lost(&error)),
    };
    let (head, body) = response.into_parts();
    let kind = judge(&head, request.method(), request.attempt_id());
    let received = Received { load: answer::server_load(&head.headers), head, body, lease };
    match kind {
        Kind::Garbled(reason) => {
            slog::debug!(progress.state.log, "garbled"; "server" => &order.server, "reason" => ?reason);
            over(Verdict::MayHaveRun, Ending::Garbled)
        }
        Kind::TurnedAway => received.turned_away(),
        Kind::Failure => received.failure().await,
        Kind::Success(BodyShape::Events) => {
            received.events(order.resume_after, request.stall_after(), progress, answer).await
        }
        Kind::Success(_) if answer.has_begun() => over(Verdict::MayHaveRun, Ending::Garbled),
        Kind::Success(shape) => received.success(shape, progress, answer).await,
    }
}

/// An answer whose head has come.
struct Received {
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
    /// The router need not wait for the body of a rejection.
    fn turned_away(self) -> AttemptEnd {
        let status = self.head.status.as_u16();
        let instance = text(&self.head.headers, &INSTANCE_ID).map(str::to_owned);
        let outcome = Outcome {
            verdict: Verdict::SurelyNotRun,
            ending: Ending::TurnedAway { status, instance },
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

    async fn failure(self) -> AttemptEnd {
        let status = self.head.status.as_u16();
        let retry_after_ms = answer::retry_after(&self.head.headers);
        let outcome = |ending| Outcome { verdict: Verdict::HasRun, ending, load: self.load, retry_after_ms };
        match collect(self.body, MOST_HELD_FAILURE).await {
            Ok(body) => {
                give_back(self.lease, &self.head);
                AttemptEnd::Held(outcome(Ending::Failed { status }), Held { head: self.head, body })
            }
            Err(BodyFailure::Broken) => AttemptEnd::Over(outcome(Ending::Lost)),
            Err(BodyFailure::TooLong) => AttemptEnd::Over(outcome(Ending::Garbled)),
        }
    }

    /// A success that is no series of events: held until it is whole, unless it is long.
    async fn success(mut self, shape: BodyShape, progress: &Progress, answer: &mut Answer) -> AttemptEnd {
        let is_long = matches!(shape, BodyShape::Length(length) if length > MOST_HELD as u64);
        let mut held = BytesMut::new();
        while !is_long && held.len() <= MOST_HELD {
            match self.piece().await {
                Some(Ok(piece)) if held.is_empty() && self.body.is_end_stream() => {
                    return self.served_whole(piece, progress, answer);
                }
                Some(Ok(piece)) => held.extend_from_slice(&piece),
                Some(Err(BrokenBody)) => return self.over(Verdict::MayHaveRun, Ending::Lost),
                None => return self.served_whole(held.freeze(), progress, answer),
            }
        }
        self.pass_along(held.freeze(), progress, answer).await
    }

    fn served_whole(self, body: Bytes, progress: &Progress, answer: &mut Answer) -> AttemptEnd {
        progress.head(self.load);
        progress.first();
        let outcome = self.outcome(Verdict::HasRun, Ending::Served);
        give_back(self.lease, &self.head);
        answer.begin(self.head);
        answer.finish(body);
        AttemptEnd::Served(outcome)
    }

    /// Passes a long body on as it comes.
    async fn pass_along(mut self, held: Bytes, progress: &Progress, answer: &mut Answer) -> AttemptEnd {
        progress.head(self.load);
        progress.first();
        answer.begin(self.head.clone());
        answer.pass(held).await;
        loop {
            match self.piece().await {
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
    async fn events(
        mut self,
        after: Option<u64>,
        stall_after: Option<Duration>,
        progress: &Progress,
        answer: &mut Answer,
    ) -> AttemptEnd {
        let mut cutter = EventCutter::after(after);
        let mut stall = StallWatch::new(stall_after);
        let mut has_first = false;
        answer.note_events(after, false);
        loop {
            let piece = tokio::select! {
                biased;
                piece = self.piece() => piece,
                () = stall.stalled() => {
                    progress.stalled();
                    continue;
                }
            };
            stall.moved();
            let events = match piece {
                Some(Ok(piece)) => cutter.push(piece),
                Some(Err(BrokenBody)) => return self.stream_broken(answer, Ending::Lost),
                None => break,
            };
            let Ok(events) = events else { return self.stream_broken(answer, Ending::Garbled) };
            answer.note_events(cutter.last_id(), cutter.holds_part());
            if events.is_empty() {
                continue;
            }
            if !has_first {
                has_first = true;
                progress.head(self.load);
                progress.first();
                self.begin_stream(answer);
            }
            answer.pass(events).await;
            // A client that reads slowly is no pause of the server's.
            stall.moved();
        }
        if !has_first {
            progress.head(self.load);
        }
        self.begin_stream(answer);
        answer.finish(cutter.finish());
        self.served()
    }

    /// The length that the server gave need not be that of an answer which may be taken up elsewhere.
    fn begin_stream(&mut self, answer: &mut Answer) {
        if !answer.has_begun() {
            let mut head = self.head.clone();
            head.headers.remove(CONTENT_LENGTH);
            answer.begin(head);
        }
    }

    fn stream_broken(self, answer: &Answer, unbegun: Ending) -> AttemptEnd {
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

fn over(verdict: Verdict, ending: Ending) -> AttemptEnd {
    AttemptEnd::Over(Outcome { verdict, ending, load: None, retry_after_ms: None })
}

/// What a connection that ended without a head tells.
fn lost(error: &ExchangeError) -> Outcome {
    let ending = match error {
        ExchangeError { is_parse: true, .. } => Ending::Garbled,
        ExchangeError { was_reused: true, .. } => Ending::Stale,
        ExchangeError { was_written: false, .. } => Ending::Unreachable,
        _ => Ending::Lost,
    };
    let verdict = if error.was_written { Verdict::MayHaveRun } else { Verdict::NeverSent };
    Outcome { verdict, ending, load: None, retry_after_ms: None }
}

async fn collect(body: Incoming, most: usize) -> Result<Bytes, BodyFailure> {
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyFailure::TooLong),
        Err(_) => Err(BodyFailure::Broken),
    }
}

async fn drain(lease: Lease, head: Parts, body: Incoming) {
    if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, collect(body, MOST_DRAINED)).await {
        give_back(lease, &head);
    }
}

fn give_back(lease: Lease, head: &Parts) {
    if !asks_to_close(&head.headers) {
        lease.give_back(answer::keep_alive(&head.headers));
    }
}
