//! One request's life, from the router's first order to the end of the answer.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, EXPECT, RETRY_AFTER};
use hyper::http::request;
use hyper::http::response::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use shaletrail_routing::interface::{Attempt, Ending, Event, Outcome, Refusal, Verdict};

use crate::attempt::{self, AttemptEnd, Held, Progress};
use crate::body::{AnswerWriter, BrokenOff};
use crate::request::{strip_hop_by_hop, ATTEMPT_ID, DEADLINE_MS, EXPECTED_INSTANCE, LAST_EVENT_ID, PRIORITY};
use crate::state::{BodyRoom, Command, SendOrder, Ticket};

/// A client's request, read whole, so that it can be sent more than once.
pub struct ClientRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    stall_after: Option<Duration>,
    _room: BodyRoom,
}

impl ClientRequest {
    /// Takes what is sent to servers from a client's request. A stream that pauses for longer than `stall_after`
    /// is reported as stalled.
    pub fn new(head: request::Parts, body: Bytes, room: BodyRoom, stall_after: Option<Duration>) -> Self {
        let request::Parts { method, uri, mut headers, .. } = head;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let path = uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
        ClientRequest { method, target: Uri::from(path), headers, body, stall_after, _room: room }
    }

    /// The pause after which its stream counts as stalled.
    pub fn stall_after(&self) -> Option<Duration> {
        self.stall_after
    }

    /// The request's method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// `Attempt-Id`.
    pub fn attempt_id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// The request as one sending carries it; `None` if the server's id can be no header.
    pub fn for_server(&self, order: &SendOrder) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        headers.insert(EXPECTED_INSTANCE, HeaderValue::try_from(order.server.as_str()).ok()?);
        headers.insert(DEADLINE_MS, HeaderValue::from(order.deadline_ms));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(order.priority)));
        if let Some(event) = order.resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
        }
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// The life of one request.
pub struct Exchange {
    ticket: Ticket,
    request: ClientRequest,
    answer: Answer,
    held: Option<Held>,
}

/// What came of a command.
enum Step {
    /// The answer is whole.
    Over,
    /// The router decides what is next.
    Wait,
    /// This command came meanwhile.
    Next(Command),
}

impl Exchange {
    /// A request that the router has been told of, and where its answer goes.
    pub fn new(ticket: Ticket, request: ClientRequest, writer: AnswerWriter) -> Self {
        Exchange { ticket, request, answer: Answer::new(writer), held: None }
    }

    /// Carries out the router's commands until the answer is whole or cannot become so.
    pub async fn run(mut self) -> Result<(), BrokenOff> {
        let mut next = None;
        loop {
            let command = match next.take() {
                Some(command) => command,
                None => self.ticket.command().await,
            };
            match self.obey(command).await? {
                Step::Over => return Ok(()),
                Step::Wait => {}
                Step::Next(command) => next = Some(command),
            }
        }
    }

    async fn obey(&mut self, command: Command) -> Result<Step, BrokenOff> {
        match command {
            Command::Send(order) => Ok(self.send(&order).await),
            Command::PassOn => self.pass_on(),
            Command::Refuse(refusal) => self.refuse(refusal),
            Command::BreakOff => Err(BrokenOff),
            // The attempt has ended before the command was read.
            Command::Cancel(_) => Ok(Step::Wait),
        }
    }

    /// One attempt, unless another command comes before its end.
    async fn send(&mut self, order: &SendOrder) -> Step {
        self.held = None;
        let progress = Rc::new(Progress::new(self.ticket.state().clone(), self.ticket.id, order.attempt));
        let sending = attempt::run(&self.request, order, &progress, &mut self.answer);
        match until_interrupted(&self.ticket, order.attempt, sending).await {
            Ok(end) => self.end(order.attempt, end),
            Err(command) => self.interrupt(order.attempt, progress.verdict(), command),
        }
    }

    fn end(&mut self, attempt: Attempt, end: AttemptEnd) -> Step {
        let (outcome, step) = match end {
            AttemptEnd::Served(outcome) => (outcome, Step::Over),
            AttemptEnd::Over(outcome) => (outcome, Step::Wait),
            AttemptEnd::Held(outcome, held) => {
                self.held = Some(held);
                (outcome, Step::Wait)
            }
        };
        self.ticket.state().handle(Event::Ended(self.ticket.id, attempt, outcome));
        step
    }

    /// The attempt has been dropped, and its connection with it.
    fn interrupt(&self, attempt: Attempt, verdict: Verdict, command: Command) -> Step {
        let ending = if self.answer.has_begun() { self.answer.broken() } else { Ending::Cancelled };
        let outcome = Outcome { verdict, ending, load: None, retry_after_ms: None };
        self.ticket.state().handle(Event::Ended(self.ticket.id, attempt, outcome));
        match command {
            Command::Cancel(_) => Step::Wait,
            command => Step::Next(command),
        }
    }

    fn pass_on(&mut self) -> Result<Step, BrokenOff> {
        let held = self.held.take().ok_or(BrokenOff)?;
        self.answer.whole(held.head, held.body)?;
        Ok(Step::Over)
    }

    fn refuse(&mut self, refusal: Refusal) -> Result<Step, BrokenOff> {
        slog::debug!(self.ticket.state().log, "refused"; "status" => refusal.status, "reason" => %refusal.reason);
        let head = refusal_head(refusal).ok_or(BrokenOff)?;
        self.answer.whole(head, Bytes::new())?;
        Ok(Step::Over)
    }
}

/// Waits for an attempt's end, or for a command that ends it sooner.
async fn until_interrupted(
    ticket: &Ticket,
    attempt: Attempt,
    sending: impl Future<Output = AttemptEnd>,
) -> Result<AttemptEnd, Command> {
    let mut sending = pin!(sending);
    loop {
        tokio::select! {
            biased;
            command = ticket.command() => match command {
                Command::Cancel(other) if other != attempt => {}
                command => return Err(command),
            },
            end = &mut sending => return Ok(end),
        }
    }
}

/// The answer to the client, of which a part may have been passed on.
pub struct Answer {
    writer: AnswerWriter,
    has_begun: bool,
    last_event: Option<u64>,
    in_event: bool,
}

impl Answer {
    fn new(writer: AnswerWriter) -> Self {
        Answer { writer, has_begun: false, last_event: None, in_event: false }
    }

    /// Notes how far a stream has come: the last event passed on, and whether a part of the next has come.
    pub fn note_events(&mut self, last_event: Option<u64>, in_event: bool) {
        self.last_event = last_event;
        self.in_event = in_event;
    }

    /// How an attempt ends that breaks off after the head has been passed on.
    pub fn broken(&self) -> Ending {
        Ending::Broken { last_event: self.last_event, at_fault: self.in_event }
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
pub fn refusal_head(refusal: Refusal) -> Option<Parts> {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = StatusCode::from_u16(refusal.status).ok()?;
    if let Some(milliseconds) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
        head.headers.insert(RETRY_AFTER, HeaderValue::try_from(seconds).ok()?);
    }
    Some(head)
}
