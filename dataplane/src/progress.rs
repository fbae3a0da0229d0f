//! What is known of an attempt in flight, reported to the router as it changes.

use std::cell::Cell;
use std::rc::Rc;

use shaletrail_routing::interface::{Attempt, Event, RequestId, ServerLoad, Verdict};

use crate::state::State;

/// The progress of one attempt.
pub struct Progress {
    state: Rc<State>,
    request: RequestId,
    attempt: Attempt,
    verdict: Cell<Verdict>,
}

impl Progress {
    /// The progress of an attempt that has not begun.
    pub fn new(state: Rc<State>, request: RequestId, attempt: Attempt) -> Self {
        Progress { state, request, attempt, verdict: Cell::new(Verdict::NeverSent) }
    }

    /// The shared state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The verdict if the attempt ended now.
    pub fn verdict(&self) -> Verdict {
        self.verdict.get()
    }

    /// A byte of the request has been written.
    pub fn on_request_written(&self) {
        self.verdict.set(Verdict::MayHaveRun);
        self.state.handle(Event::RequestWritten(self.request, self.attempt));
    }

    /// The head of a success is about to be forwarded.
    pub fn on_response_head(&self, load: Option<ServerLoad>) {
        self.verdict.set(Verdict::HasRun);
        self.state.handle(Event::ResponseHead(self.request, self.attempt, load));
    }

    /// The first event or byte of the body has arrived.
    pub fn on_first_chunk(&self) {
        self.state.handle(Event::FirstEvent(self.request, self.attempt));
    }

    /// A stream has paused for too long.
    pub fn on_stalled(&self) {
        self.state.handle(Event::StreamStalled(self.request, self.attempt));
    }
}
