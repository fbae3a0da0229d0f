//! The table of open requests, with the timer of each.

use crate::interface::RequestId;
use crate::request::{Phase, Request};
use crate::request_queue::QueueKey;
use crate::router::Router;

impl Router {
    /// Inserts a request in a phase, with its timer.
    pub(crate) fn insert_request(&mut self, request: Request, phase: Phase) {
        self.timers.insert((phase.timer_at(), request.id()));
        self.requests.insert(request.id(), (request, phase));
    }

    /// Removes a request with its timer, and from the queue where it is queued.
    pub(crate) fn remove_request(&mut self, id: RequestId) -> Option<(Request, Phase)> {
        let (request, phase) = self.requests.remove(&id)?;
        self.timers.remove(&(phase.timer_at(), id));
        if let Phase::Queued(_) = phase {
            self.queue.remove(&request.target.service, QueueKey::of(&request));
            self.counters.queued -= 1;
            if let Some(demand) = self.demand.get_mut(&request.target) {
                demand.queued = demand.queued.saturating_sub(1);
            }
        }
        Some((request, phase))
    }
}
