//! One request's life, from the router's first order to the end of the answer.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use shaletrail_routing::interface::{Attempt, Ending, Event, Outcome, Rejection, Verdict};

use crate::attempt::{self, AttemptEnd, HeldFailure, Progress};
use crate::body::{AnswerWriter, BrokenOff};
use crate::client_answer::{refusal_head, ClientAnswer};
use crate::client_request::ClientRequest;
use crate::state::{Command, SendOrder, Ticket};

/// The life of one request.
pub struct Exchange {
    ticket: Ticket,
    request: ClientRequest,
    answer: ClientAnswer,
    held: Option<HeldFailure>,
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
        Exchange { ticket, request, answer: ClientAnswer::new(writer), held: None }
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
            Command::ForwardFailure => self.pass_on(),
            Command::Refuse(refusal) => self.refuse(refusal),
            Command::AbortResponse => Err(BrokenOff),
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

    fn refuse(&mut self, refusal: Rejection) -> Result<Step, BrokenOff> {
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
