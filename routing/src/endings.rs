//! The table of requests, and their final actions: each request gets exactly one.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::holding::Rank;
use crate::interface::{Action, RejectReason, Rejection, RequestId};
use crate::requests::{Phase, Request};
use crate::router::Router;

impl Router {
    /// Keeps a request in a phase.
    pub(crate) fn keep(&mut self, request: Request, phase: Phase) {
        self.timers.insert((phase.next_at(), request.id()));
        self.requests.insert(request.id(), (request, phase));
    }

    /// Takes a request out of the table, and out of those that wait.
    pub(crate) fn take(&mut self, id: RequestId) -> Option<(Request, Phase)> {
        let (request, phase) = self.requests.remove(&id)?;
        self.timers.remove(&(phase.next_at(), id));
        if let Phase::Held(_) = phase {
            self.holding.remove(&request.wanted.service, Rank::of(&request));
            self.counters.held -= 1;
            if let Some(demand) = self.demand.known(&request.wanted) {
                demand.queued = demand.queued.saturating_sub(1);
            }
        }
        Some((request, phase))
    }

    /// The client has a server's whole answer.
    pub(crate) fn answered(&mut self, _request: Request) {
        self.counters.open -= 1;
        self.counters.answered += 1;
    }

    /// The client gets the failed answer that the driver holds.
    pub(crate) fn pass_on(&mut self, request: Request, actions: &mut Vec<Action>) {
        self.counters.open -= 1;
        self.counters.answered += 1;
        self.counters.passed_on += 1;
        actions.push(Action::ForwardFailure(request.id()));
    }

    /// The answer cannot be completed.
    pub(crate) fn break_off(&mut self, request: Request, actions: &mut Vec<Action>) {
        self.counters.open -= 1;
        self.counters.broken_off += 1;
        actions.push(Action::AbortResponse(request.id()));
    }

    /// Answers with a failure of our own: a promise that it has not run only where that is sure.
    pub(crate) fn refuse(
        &mut self,
        now: Millis,
        request: Request,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        if let Some(demand) = self.demand.known(&request.wanted) {
            demand.over_capacity += 1;
        }
        let sure = request.surely_not_run();
        let status = match reason {
            _ if sure => 503,
            RejectReason::TooLate => 504,
            _ => 502,
        };
        let retry_after_ms = sure.then(|| self.retry_after(now, &request, reason));
        self.counters.open -= 1;
        self.counters.count_refusal(reason);
        actions.push(Action::Reject {
            request: request.id(),
            rejection: Rejection { status, retry_after_ms, reason },
        });
    }

    /// When a refused request may find a server, with jitter, so that not all come back at once.
    fn retry_after(&mut self, now: Millis, request: &Request, reason: RejectReason) -> Millis {
        let (shortest, longest) = (self.options.retry_after_min_ms, self.options.retry_after_max_ms);
        let estimate = match reason {
            RejectReason::Stopping => shortest,
            RejectReason::NoModel | RejectReason::NoServer => self.load_time(request),
            _ => request.retry_after_ms.unwrap_or_else(|| self.drain_time(now, request)),
        };
        let estimate = estimate.clamp(shortest, longest.max(shortest));
        estimate + self.random.random_range(0..=estimate / 4)
    }

    /// How long a load of the request's model takes, in milliseconds.
    fn load_time(&self, request: &Request) -> Millis {
        let service = self.view.as_ref().and_then(|view| view.service(&request.wanted.service));
        let runtime = service.and_then(|service| service.runtime.as_ref());
        let model =
            runtime.and_then(|runtime| runtime.models.iter().find(|m| m.name == request.wanted.model));
        model.map_or(0, |model| (model.load_time_s * 1000.0) as Millis)
    }

    /// How long it takes until those that wait already have been answered, in milliseconds.
    fn drain_time(&mut self, now: Millis, request: &Request) -> Millis {
        let waiting = self.holding.waiting_for(&request.wanted.service) as Millis;
        let fleet = self.fleets.get_mut(&request.wanted.service);
        fleet.map_or(0, |fleet| fleet.drain_interval(now).saturating_mul(waiting + 1))
    }
}
