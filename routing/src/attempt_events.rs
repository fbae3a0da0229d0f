//! Handlers for the events that the driver reports about attempts: response head, first event, stalled
//! stream, end of the attempt, and end of the request.

use shaletrail_protocol::Millis;

use crate::dispatch::Fallback;
use crate::interface::{Action, Attempt, Ending, Outcome, RequestId, ServerLoad, Verdict};
use crate::request::{InFlight, Phase, Request};
use crate::router::Router;
use crate::server::ServerHandle;

/// The first or a later part of the response to an attempt in flight.
struct ResponsePart {
    server: ServerHandle,
    sent_at: Millis,
    /// Estimated number of prompt tokens that the server had to prefill.
    prefill: u32,
    /// Whether this is the first part of the response.
    is_first: bool,
}

impl ResponsePart {
    /// Marks the attempt as having a response, and returns what is needed to record this at the server.
    fn mark_received(in_flight: &mut InFlight) -> Self {
        let is_first = !std::mem::replace(&mut in_flight.has_response, true);
        let InFlight { server, sent_at, prefill, .. } = *in_flight;
        ResponsePart { server, sent_at, prefill, is_first }
    }
}

impl Router {
    pub(crate) fn on_response_head(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: Attempt,
        load: Option<ServerLoad>,
    ) {
        let Some((request, in_flight)) = self.in_flight_attempt(id, attempt) else { return };
        request.response_started = true;
        request.verdict = Verdict::HasRun;
        let response = ResponsePart::mark_received(in_flight);
        self.record_response(now, &response);
        if let Some(server) = self.servers.get_mut(response.server) {
            if let Some(load) = load {
                server.record_load(now, load);
            }
        }
    }

    pub(crate) fn on_first_event(&mut self, now: Millis, id: RequestId, attempt: Attempt) {
        let Some((_, in_flight)) = self.in_flight_attempt(id, attempt) else { return };
        let (response_check_at, timeout_at) = (in_flight.response_check_at.take(), in_flight.timeout_at);
        let response = ResponsePart::mark_received(in_flight);
        if let Some(response_check_at) = response_check_at.filter(|at| *at < timeout_at) {
            self.timers.remove(&(response_check_at, id));
            self.timers.insert((timeout_at, id));
        }
        self.record_response(now, &response);
        if let Some(server) = self.servers.get_mut(response.server) {
            server.health.readmit();
        }
    }

    /// Records that the server responded. With the first part of a response, the request's prompt tokens no
    /// longer count as pending prefill.
    fn record_response(&mut self, now: Millis, response: &ResponsePart) {
        let Some(server) = self.servers.get_mut(response.server) else { return };
        server.last_response_at = now;
        if response.is_first {
            self.has_urgent_load |= server.local_load.record_response(response.sent_at, response.prefill);
        }
    }

    /// Cancels the attempt of a stalled stream in order to resume the stream at another server, if a retry is
    /// allowed. A stall before the response head is ignored.
    pub(crate) fn on_stream_stalled(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight_attempt(id, attempt).is_some_and(|(request, _)| request.response_started) {
            self.cancel_for_retry(now, id, actions);
        }
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight_attempt(id, attempt).is_none() {
            return;
        }
        let Some((mut request, in_flight)) = self.take_in_flight(id) else { return };
        let service = request.target.service.clone();
        self.record_outcome(now, &mut request, &in_flight, &outcome, actions);
        self.continue_after_attempt(now, request, outcome, actions);
        self.drop_departed_servers(now);
        self.drain_queue(now, &service, actions);
    }

    pub(crate) fn on_request_finished(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((request, phase)) = self.remove_request(id) else { return };
        if let Phase::InFlight(in_flight) = phase {
            self.release_server(&request, &in_flight);
            self.record_client_departure(now, &in_flight);
            actions.push(Action::Cancel(id, in_flight.attempt));
        }
        let service = request.target.service.clone();
        self.counters.client_left += 1;
        self.counters.open -= 1;
        self.drop_departed_servers(now);
        self.drain_queue(now, &service, actions);
    }

    /// Decides how a request continues after the end of an attempt: it is completed, retried, answered with
    /// the failed response, or aborted.
    fn continue_after_attempt(
        &mut self,
        now: Millis,
        request: Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome.ending {
            Ending::Served => self.complete(request),
            _ if request.response_started => {
                if request.is_resumable() {
                    self.dispatch(now, request, Fallback::AbortResponse, actions);
                } else {
                    self.abort_response(request, actions);
                }
            }
            Ending::Failed { status } if status >= 500 && request.incoming.route.kind.is_idempotent() => {
                self.dispatch(now, request, Fallback::ForwardFailure, actions);
            }
            Ending::Failed { .. } => self.forward_failure(request, actions),
            _ => self.dispatch(now, request, Fallback::Queue, actions),
        }
    }

    fn in_flight_attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
    ) -> Option<(&mut Request, &mut InFlight)> {
        match self.requests.get_mut(&id) {
            Some((request, Phase::InFlight(in_flight))) if in_flight.attempt == attempt => {
                Some((request, in_flight))
            }
            _ => None,
        }
    }
}
