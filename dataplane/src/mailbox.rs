//! Delivers the router's commands to the exchanges of the requests that they concern.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Poll, Waker};

use ahash::AHashMap;
use shaletrail_protocol::{Millis, ServerId};
use shaletrail_routing::interface::{Attempt, Rejection, RequestId};

/// Commands queued for one exchange. The oldest is dropped beyond that: each command supersedes those before it.
const MAX_QUEUED_COMMANDS: usize = 16;

/// Where and how the router wants a request sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendCommand {
    /// Identifies this attempt among those of the request.
    pub attempt: Attempt,
    /// The server's id.
    pub server: ServerId,
    /// The server's address, `IP:PORT`.
    pub address: String,
    /// Value of `Deadline-Ms`: the time that the server has, in milliseconds.
    pub deadline_ms: Millis,
    /// Value of `Priority`.
    pub priority: u8,
    /// The event after which a stream is resumed.
    pub resume_after: Option<u64>,
}

/// What the router wants an exchange to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request to a server.
    Send(SendCommand),
    /// Forward the buffered failure to the client.
    ForwardFailure,
    /// Respond with a status of the edge's own.
    Reject(Rejection),
    /// Abort the response that has begun.
    AbortResponse,
    /// Cancel an attempt.
    Cancel(Attempt),
}

#[derive(Default)]
struct Mailbox {
    commands: VecDeque<Command>,
    waker: Option<Waker>,
}

/// One queue of commands for each open request.
#[derive(Default)]
pub struct Mailboxes(RefCell<AHashMap<RequestId, Mailbox>>);

impl Mailboxes {
    /// Opens the queue of a request.
    pub fn open(&self, request: RequestId) {
        self.0.borrow_mut().insert(request, Mailbox::default());
    }

    /// Drops the queue of a request and what is in it.
    pub fn close(&self, request: RequestId) {
        self.0.borrow_mut().remove(&request);
    }

    /// Queues a command and wakes the exchange; ignored if the request is not open.
    pub fn deliver(&self, request: RequestId, command: Command) {
        let mut mailboxes = self.0.borrow_mut();
        let Some(mailbox) = mailboxes.get_mut(&request) else { return };
        if mailbox.commands.len() >= MAX_QUEUED_COMMANDS {
            mailbox.commands.pop_front();
        }
        mailbox.commands.push_back(command);
        if let Some(waker) = mailbox.waker.take() {
            waker.wake();
        }
    }

    /// Waits for the next command of a request.
    pub async fn next_command(&self, request: RequestId) -> Command {
        poll_fn(|context| {
            let mut mailboxes = self.0.borrow_mut();
            let mailbox = mailboxes.entry(request).or_default();
            if let Some(command) = mailbox.commands.pop_front() {
                return Poll::Ready(command);
            }
            if !mailbox.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
                mailbox.waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}
