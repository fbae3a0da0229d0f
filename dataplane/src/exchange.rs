//! The exchange of one request and its response: executes the router's commands until the response is
//! complete.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use shaletrail_routing::interface::{Attempt, Ending, Event, Outcome, Rejection, Verdict};

use crate::attempt;
use crate::attempt_result::{AttemptResult, BufferedFailure};
use crate::client_request::ClientRequest;
use crate::client_response::{rejection_head, ClientResponse};
use crate::command_queues::{Command, SendCommand};
use crate::progress::Progress;
use crate::request_handle::RequestHandle;
use crate::response_body::{ResponseAborted, ResponseWriter};

/// A request and its response, from registration with the router until the response is complete.
pub struct Exchange {
    handle: RequestHandle,
    request: ClientRequest,
    client: ClientResponse,
    buffered_failure: Option<BufferedFailure>,
}

/// The next step after a command.
enum Step {
    /// The response is complete.
    Finished,
    /// Wait for the router's next command.
    AwaitCommand,
    /// Execute this command, which interrupted the previous one.
    Next(Command),
}

impl Exchange {
    /// Creates the exchange of a request that is registered with the router. The response is written to
    /// `writer`.
    pub fn new(handle: RequestHandle, request: ClientRequest, writer: ResponseWriter) -> Self {
        Exchange { handle, request, client: ClientResponse::new(writer), buffered_failure: None }
    }

    /// Executes the router's commands until the response is complete.
    ///
    /// # Errors
    ///
    /// If the response cannot be completed; the client connection must then be closed.
    pub async fn run(mut self) -> Result<(), ResponseAborted> {
        let mut next = None;
        loop {
            let command = match next.take() {
                Some(command) => command,
                None => self.handle.next_command().await,
            };
            match self.execute(command).await? {
                Step::Finished => return Ok(()),
                Step::AwaitCommand => {}
                Step::Next(command) => next = Some(command),
            }
        }
    }

    async fn execute(&mut self, command: Command) -> Result<Step, ResponseAborted> {
        match command {
            Command::Send(command) => Ok(self.send(&command).await),
            Command::ForwardFailure => self.forward_failure(),
            Command::Reject(rejection) => self.reject(rejection),
            Command::AbortResponse => Err(ResponseAborted),
            // The attempt to be cancelled has already ended.
            Command::Cancel(_) => Ok(Step::AwaitCommand),
        }
    }

    /// Makes one attempt, until it ends or another command interrupts it.
    async fn send(&mut self, command: &SendCommand) -> Step {
        self.buffered_failure = None;
        let attempt = command.attempt;
        let progress = Rc::new(Progress::new(self.handle.state().clone(), self.handle.id(), attempt));
        let sending = attempt::run(&self.request, command, &progress, &mut self.client);
        match run_until_command(&self.handle, attempt, sending).await {
            Ok(result) => self.finish_attempt(attempt, result),
            Err(command) => self.interrupt_attempt(attempt, progress.verdict(), command),
        }
    }

    fn finish_attempt(&mut self, attempt: Attempt, result: AttemptResult) -> Step {
        let (outcome, step) = match result {
            AttemptResult::Served(outcome) => (outcome, Step::Finished),
            AttemptResult::NoResponse(outcome) => (outcome, Step::AwaitCommand),
            AttemptResult::Failed(outcome, failure) => {
                self.buffered_failure = Some(failure);
                (outcome, Step::AwaitCommand)
            }
        };
        self.handle.state().handle(Event::AttemptEnded(self.handle.id(), attempt, outcome));
        step
    }

    /// Reports an attempt that a command interrupted. Its future has been dropped, which closed its
    /// connection.
    fn interrupt_attempt(&self, attempt: Attempt, verdict: Verdict, command: Command) -> Step {
        let ending = if self.client.has_begun() { self.client.truncated_ending() } else { Ending::Cancelled };
        let outcome = Outcome { verdict, ending, load: None, retry_after_ms: None };
        self.handle.state().handle(Event::AttemptEnded(self.handle.id(), attempt, outcome));
        match command {
            Command::Cancel(_) => Step::AwaitCommand,
            command => Step::Next(command),
        }
    }

    fn forward_failure(&mut self) -> Result<Step, ResponseAborted> {
        let failure = self.buffered_failure.take().ok_or(ResponseAborted)?;
        self.client.send_complete(failure.head, failure.body)?;
        Ok(Step::Finished)
    }

    fn reject(&mut self, rejection: Rejection) -> Result<Step, ResponseAborted> {
        slog::debug!(self.handle.state().log, "request rejected";
            "status" => rejection.status, "reason" => %rejection.reason);
        let head = rejection_head(rejection).ok_or(ResponseAborted)?;
        self.client.send_complete(head, Bytes::new())?;
        Ok(Step::Finished)
    }
}

/// Runs an attempt until it ends; returns `Err` with the command that interrupts it.
async fn run_until_command(
    handle: &RequestHandle,
    attempt: Attempt,
    sending: impl Future<Output = AttemptResult>,
) -> Result<AttemptResult, Command> {
    let mut sending = pin!(sending);
    loop {
        tokio::select! {
            biased;
            command = handle.next_command() => match command {
                Command::Cancel(other) if other != attempt => {}
                command => return Err(command),
            },
            result = &mut sending => return Ok(result),
        }
    }
}
