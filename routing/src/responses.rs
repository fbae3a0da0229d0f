//! The end of a request: it is completed, answered with a failed response, aborted or rejected. Every request
//! whose client stays ends in exactly one of these ways.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::interface::{Action, RejectReason, Rejection};
use crate::request::Request;
use crate::router::Router;

impl Router {
    /// Ends a request whose client has received a server's complete response.
    pub(crate) fn complete(&mut self, _request: Request) {
        self.counters.open -= 1;
        self.counters.completed += 1;
    }

    /// Ends a request with the failed response that the driver has buffered.
    pub(crate) fn forward_failure(&mut self, request: Request, actions: &mut Vec<Action>) {
        self.counters.open -= 1;
        self.counters.completed += 1;
        self.counters.forwarded_failures += 1;
        actions.push(Action::ForwardFailure(request.id()));
    }

    /// Ends a request whose response was forwarded in part and cannot be completed.
    pub(crate) fn abort_response(&mut self, request: Request, actions: &mut Vec<Action>) {
        self.counters.open -= 1;
        self.counters.aborted_responses += 1;
        actions.push(Action::AbortResponse(request.id()));
    }

    /// Rejects a request. The status is 503, which guarantees that the request has not run, only if that is
    /// certain.
    pub(crate) fn reject(
        &mut self,
        now: Millis,
        request: Request,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        if let Some(demand) = self.demand.get_mut(&request.target) {
            demand.over_capacity += 1;
        }
        let has_not_run = request.surely_not_run();
        let status = match reason {
            _ if has_not_run => 503,
            RejectReason::TooLate => 504,
            _ => 502,
        };
        let retry_after_ms = has_not_run.then(|| self.retry_after(now, &request, reason));
        self.counters.open -= 1;
        self.counters.record_rejection(reason);
        actions.push(Action::Reject {
            request: request.id(),
            rejection: Rejection { status, retry_after_ms, reason },
        });
    }

    /// The delay after which the client may retry a rejected request, in milliseconds. It contains jitter, so
    /// that clients do not retry at the same time.
    fn retry_after(&mut self, now: Millis, request: &Request, reason: RejectReason) -> Millis {
        let (shortest, longest) = (self.options.min_retry_after_ms, self.options.max_retry_after_ms);
        let estimate = match reason {
            RejectReason::Stopping => shortest,
            RejectReason::NoModel | RejectReason::NoServer => self.load_time(request),
            _ => request.retry_after_ms.unwrap_or_else(|| self.drain_time(now, request)),
        };
        let estimate = estimate.clamp(shortest, longest.max(shortest));
        estimate + self.random.random_range(0..=estimate / 4)
    }

    /// How long it takes to load the request's model, in milliseconds; 0 if it is not known.
    fn load_time(&self, request: &Request) -> Millis {
        let service = self.view.as_ref().and_then(|view| view.service(&request.target.service));
        let runtime = service.and_then(|service| service.runtime.as_ref());
        let model =
            runtime.and_then(|runtime| runtime.models.iter().find(|m| m.name == request.target.model));
        model.map_or(0, |model| (model.load_time_s * 1000.0) as Millis)
    }

    /// Estimate of how long it takes to drain the queue of the request's service, in milliseconds.
    fn drain_time(&mut self, now: Millis, request: &Request) -> Millis {
        let waiting = self.queue.len_for(&request.target.service) as Millis;
        let pool = self.pools.get_mut(&request.target.service);
        pool.map_or(0, |pool| pool.drain_interval(now).saturating_mul(waiting + 1))
    }
}
