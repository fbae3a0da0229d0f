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
struct CommandQueue {
    commands: VecDeque<Command>,
    waker: Option<Waker>,
}

/// One command queue for each open request.
#[derive(Default)]
pub struct CommandQueues(RefCell<AHashMap<RequestId, CommandQueue>>);

impl CommandQueues {
    /// Creates an empty queue for a request, so that commands for it can be queued.
    pub fn open(&self, request: RequestId) {
        self.0.borrow_mut().insert(request, CommandQueue::default());
    }

    /// Drops the queue of a request and the commands in it.
    pub fn close(&self, request: RequestId) {
        self.0.borrow_mut().remove(&request);
    }

    /// Queues a command and wakes the exchange. Does nothing if the request is no longer open.
    pub fn push(&self, request: RequestId, command: Command) {
        let mut queues = self.0.borrow_mut();
        let Some(queue) = queues.get_mut(&request) else { return };
        if queue.commands.len() >= MAX_QUEUED_COMMANDS {
            queue.commands.pop_front();
        }
        queue.commands.push_back(command);
        if let Some(waker) = queue.waker.take() {
            waker.wake();
        }
    }

    /// Removes and returns the oldest command of a request; waits for one if the queue is empty.
    pub async fn next_command(&self, request: RequestId) -> Command {
        poll_fn(|context| {
            let mut queues = self.0.borrow_mut();
            let queue = queues.entry(request).or_default();
            if let Some(command) = queue.commands.pop_front() {
                return Poll::Ready(command);
            }
            if !queue.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
                queue.waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}
