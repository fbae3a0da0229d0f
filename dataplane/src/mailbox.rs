//! Queues the router's commands for the exchange of each request.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Poll, Waker};

use ahash::AHashMap;
use shaletrail_protocol::{Millis, ServerId};
use shaletrail_routing::interface::{Attempt, Rejection, RequestId};

/// When more commands are queued for one exchange, the oldest is dropped: each command supersedes the earlier
/// ones.
const MAX_QUEUED_COMMANDS: usize = 16;

/// The router's instruction to send a request to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendCommand {
    /// Identifies this attempt among the attempts of the request.
    pub attempt: Attempt,
    pub server: ServerId,
    /// The server's address, as `IP:PORT`.
    pub address: String,
    /// Value of the `Deadline-Ms` header: the time that the server has for its response.
    pub deadline_ms: Millis,
    /// Value of the `Priority` header.
    pub priority: u8,
    /// The id of the event after which a stream is to be resumed.
    pub resume_after: Option<u64>,
}

/// A command of the router to an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request to a server.
    Send(SendCommand),
    /// Forward the buffered failure response to the client.
    ForwardFailure,
    /// Respond with a rejection by the edge itself.
    Reject(Rejection),
    /// Abort the response, of which a part has been sent.
    AbortResponse,
    /// Cancel the attempt, if it is still in flight.
    Cancel(Attempt),
}

#[derive(Default)]
struct Mailbox {
    commands: VecDeque<Command>,
    waker: Option<Waker>,
}

/// One command queue for each open request.
#[derive(Default)]
pub struct Mailboxes(RefCell<AHashMap<RequestId, Mailbox>>);

impl Mailboxes {
    pub fn open(&self, request: RequestId) {
        self.0.borrow_mut().insert(request, Mailbox::default());
    }

    /// Drops the queue of a request and the commands in it.
    pub fn close(&self, request: RequestId) {
        self.0.borrow_mut().remove(&request);
    }

    /// Queues a command and wakes the exchange. Does nothing if the request is no longer open.
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
