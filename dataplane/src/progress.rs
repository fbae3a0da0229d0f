//! The progress of an attempt in flight, which is reported to the router.

use std::cell::Cell;
use std::rc::Rc;

use shaletrail_routing::interface::{Attempt, Event, RequestId, ServerLoad, Verdict};

use crate::state::State;

/// Tracks the verdict on one attempt and reports the attempt's events to the router.
pub struct Progress {
    state: Rc<State>,
    request: RequestId,
    attempt: Attempt,
    verdict: Cell<Verdict>,
}

impl Progress {
    /// Creates the progress of an attempt whose request has not been written: [`Verdict::NeverSent`].
    pub fn new(state: Rc<State>, request: RequestId, attempt: Attempt) -> Self {
        Progress { state, request, attempt, verdict: Cell::new(Verdict::NeverSent) }
    }

    /// The edge's state, through which the events are reported.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The verdict on the request if the attempt ended at this point.
    pub fn verdict(&self) -> Verdict {
        self.verdict.get()
    }

    /// Called when the first byte of the request has been written.
    pub fn on_request_written(&self) {
        self.verdict.set(Verdict::MayHaveRun);
        self.state.handle(Event::RequestWritten(self.request, self.attempt));
    }

    /// Called when the head of a successful response is about to be forwarded.
    pub fn on_response_head(&self, load: Option<ServerLoad>) {
        self.verdict.set(Verdict::HasRun);
        self.state.handle(Event::ResponseHead(self.request, self.attempt, load));
    }

    /// Called when the first event, or the first part of any other body, is about to be forwarded.
    pub fn on_first_chunk(&self) {
        self.state.handle(Event::FirstEvent(self.request, self.attempt));
    }

    /// Called each time the stream has paused for the stall time-out.
    pub fn on_stalled(&self) {
        self.state.handle(Event::StreamStalled(self.request, self.attempt));
    }
}
