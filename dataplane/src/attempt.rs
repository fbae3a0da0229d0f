//! One sending of a request to a server, up to the head of its answer, and what is known of it meanwhile.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::http::response::Parts;
use shaletrail_routing::interface::{Attempt, Ending, Event, Outcome, RequestId, ServerLoad, Verdict};

use crate::answer::{judge, BodyShape, Kind};
use crate::client_answer::ClientAnswer;
use crate::client_request::ClientRequest;
use crate::received::Received;
use crate::state::{SendOrder, State};
use crate::upstream::{ExchangeError, Lease};

/// A failure of a server's own, whole.
pub struct HeldFailure {
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
    Held(Outcome, HeldFailure),
    /// Nothing more comes of it.
    Over(Outcome),
}

impl AttemptEnd {
    /// The end of an attempt of which no answer is to be used.
    fn without_answer(verdict: Verdict, ending: Ending) -> Self {
        AttemptEnd::Over(Outcome { verdict, ending, load: None, retry_after_ms: None })
    }
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

    /// A byte of the request has been written.
    fn written(&self) {
        self.verdict.set(Verdict::MayHaveRun);
        self.state.handle(Event::Written(self.request, self.attempt));
    }

    /// The head of a success is about to be passed on.
    pub fn head_passed(&self, load: Option<ServerLoad>) {
        self.verdict.set(Verdict::HasRun);
        self.state.handle(Event::Head(self.request, self.attempt, load));
    }

    /// The first event or byte of the body has come.
    pub fn first_piece(&self) {
        self.state.handle(Event::First(self.request, self.attempt));
    }

    /// A stream has paused for too long.
    pub fn stalled(&self) {
        self.state.handle(Event::Stalled(self.request, self.attempt));
    }
}

/// Sends the request once and passes the answer on, if it is a success.
pub async fn run(
    request: &ClientRequest,
    order: &SendOrder,
    progress: &Rc<Progress>,
    answer: &mut ClientAnswer,
) -> AttemptEnd {
    match send(request, order, progress).await {
        Ok(received) => read_answer(received, request, order, progress, answer).await,
        Err(end) => end,
    }
}

/// Sends the request and waits for the head of an answer, whatever it is.
async fn send(
    request: &ClientRequest,
    order: &SendOrder,
    progress: &Rc<Progress>,
) -> Result<Received, AttemptEnd> {
    let state = &progress.state;
    let taken =
        Lease::take(state, &order.server, &order.address, |connection| request.is_barred_from(connection))
            .await;
    let mut lease = taken.map_err(|error| {
        slog::debug!(state.log, "no connection"; "server" => &order.server, "error" => %error);
        AttemptEnd::without_answer(Verdict::NeverSent, Ending::Unreachable)
    })?;
    let Some(message) = request.for_server(order) else {
        return Err(AttemptEnd::without_answer(Verdict::NeverSent, Ending::Unreachable));
    };
    request.note_use(lease.connection());
    let noted = progress.clone();
    match lease.send(message, Box::new(move || noted.written())).await {
        Ok(response) => Ok(Received::new(response, lease)),
        Err(error) => Err(no_answer(&error)),
    }
}

/// Takes an answer for what its head says that it is.
async fn read_answer(
    received: Received,
    request: &ClientRequest,
    order: &SendOrder,
    progress: &Progress,
    answer: &mut ClientAnswer,
) -> AttemptEnd {
    match judge(received.head(), request.method(), request.attempt_id()) {
        Kind::MalformedResponse(reason) => {
            slog::debug!(progress.state.log, "garbled"; "server" => &order.server, "reason" => ?reason);
            AttemptEnd::without_answer(Verdict::MayHaveRun, Ending::MalformedResponse)
        }
        Kind::Rejected => received.turned_away(),
        Kind::Failure => received.failure().await,
        Kind::Success(BodyShape::Events) => {
            received.events(order.resume_after, request.stall_after(), progress, answer).await
        }
        // What goes on a stream must be one.
        Kind::Success(_) if answer.has_begun() => {
            AttemptEnd::without_answer(Verdict::MayHaveRun, Ending::MalformedResponse)
        }
        Kind::Success(shape) => received.success(shape, progress, answer).await,
    }
}

/// What a connection that ended without a head tells: nothing less than a request of which no byte was written has
/// surely not run.
fn no_answer(error: &ExchangeError) -> AttemptEnd {
    let ending = match error {
        ExchangeError { is_parse: true, .. } => Ending::MalformedResponse,
        ExchangeError { was_reused: true, .. } => Ending::StaleConnection,
        ExchangeError { was_written: false, .. } => Ending::Unreachable,
        _ => Ending::ConnectionLost,
    };
    let verdict = if error.was_written { Verdict::MayHaveRun } else { Verdict::NeverSent };
    AttemptEnd::without_answer(verdict, ending)
}
