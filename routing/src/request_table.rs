//! The table of open requests and their timers.

use crate::interface::RequestId;
use crate::request::{Phase, Request};
use crate::request_queue::QueueKey;
use crate::router::Router;

impl Router {
    /// Inserts a request and sets its timer.
    pub(crate) fn insert_request(&mut self, request: Request, phase: Phase) {
        self.timers.insert((phase.timer_at(), request.id()));
        self.requests.insert(request.id(), (request, phase));
    }

    /// Removes a request and its timer. A queued request is also removed from the queue.
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
