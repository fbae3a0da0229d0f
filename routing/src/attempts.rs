//! Release, time-out and cancellation of attempts in flight.

use shaletrail_protocol::Millis;

use crate::interface::{Action, RejectReason, RequestId, Verdict};
use crate::request::{InFlight, Phase, Request};
use crate::router::Router;

impl Router {
    /// Removes a request with an attempt in flight from the request table and releases its server. `None` if
    /// the request is unknown or queued.
    pub(crate) fn take_in_flight(&mut self, id: RequestId) -> Option<(Request, InFlight)> {
        match self.remove_request(id)? {
            (request, Phase::InFlight(in_flight)) => {
                self.release_server(&request, &in_flight);
                Some((request, in_flight))
            }
            (request, phase) => {
                self.insert_request(request, phase);
                None
            }
        }
    }

    /// Subtracts an attempt from the counts of requests in flight of its server, pool and demand entry.
    pub(crate) fn release_server(&mut self, request: &Request, in_flight: &InFlight) {
        if let Some(server) = self.servers.get_mut(in_flight.server) {
            server.open_requests = server.open_requests.saturating_sub(1);
            if !in_flight.has_response {
                self.has_urgent_load |=
                    server.local_load.record_response(in_flight.sent_at, in_flight.prefill);
            }
        }
        if let Some(pool) = self.pools.get_mut(&request.target.service) {
            pool.open_requests = pool.open_requests.saturating_sub(1);
        }
        if let Some(demand) = self.demand.get_mut(&request.target) {
            demand.in_flight = demand.in_flight.saturating_sub(1);
        }
    }

    /// Ends a request whose deadline passed while an attempt was in flight.
    pub(crate) fn expire_request(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((mut request, in_flight)) = self.take_in_flight(id) else { return };
        self.record_response_timeout(now, &in_flight);
        actions.push(Action::Cancel(id, in_flight.attempt));
        // The server may have run the cancelled attempt, even if no earlier attempt has run.
        request.verdict = request.verdict.max(Verdict::MayHaveRun);
        if request.response_started {
            self.abort_response(request, actions);
        } else {
            self.reject(now, request, RejectReason::TooLate, actions);
        }
    }

    /// Handles the response time-out of an attempt: it is cancelled for a retry if its server has not
    /// responded to any request since the attempt was sent. Otherwise the check is repeated later.
    pub(crate) fn check_response_timeout(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((request, Phase::InFlight(in_flight))) = self.requests.get_mut(&id) else { return };
        let Some(previous_check_at) = in_flight.response_check_at else { return };
        let next_check_at = now + self.options.min_response_timeout_ms.max(1);
        in_flight.response_check_at = Some(next_check_at).filter(|_| !in_flight.cancelled);
        let timer_at =
            in_flight.response_check_at.map_or(in_flight.timeout_at, |at| at.min(in_flight.timeout_at));
        let (server, sent_at, cancelled) = (in_flight.server, in_flight.sent_at, in_flight.cancelled);
        self.timers.remove(&(previous_check_at, request.id()));
        self.timers.insert((timer_at, id));
        let is_unresponsive =
            self.servers.get(server).is_none_or(|server| server.last_response_at <= sent_at);
        if is_unresponsive && !cancelled {
            self.cancel_for_retry(now, id, actions);
        }
    }

    /// Cancels an attempt in order to retry at another server, if a retry is allowed and another server is
    /// available.
    pub(crate) fn cancel_for_retry(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((mut request, phase)) = self.remove_request(id) else { return };
        let Phase::InFlight(mut in_flight) = phase else { return self.insert_request(request, phase) };
        // Whether a retry is allowed is decided as if the attempt had ended: the server may have run it by
        // now.
        let verdict = request.verdict;
        request.verdict = verdict.max(Verdict::MayHaveRun);
        let can_retry = !in_flight.cancelled
            && now < request.deadline_at
            && self.retry_denied(now, &request).is_none()
            && self.select_server(now, &request).is_ok();
        request.verdict = verdict;
        if can_retry {
            in_flight.cancelled = true;
            self.record_response_timeout(now, &in_flight);
            actions.push(Action::Cancel(id, in_flight.attempt));
        }
        self.insert_request(request, Phase::InFlight(in_flight));
    }
}
