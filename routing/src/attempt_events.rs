//! What the driver reports of attempts: the response's head and first event, a stalled stream, the end, the client's
//! departure.

use shaletrail_protocol::Millis;

use crate::dispatch::Fallback;
use crate::interface::{Action, Attempt, Ending, Outcome, RequestId, ServerLoad, Verdict};
use crate::request::{InFlight, Phase, Request};
use crate::router::Router;
use crate::server::ServerHandle;

/// A part of a response that arrived for an attempt in flight.
struct ResponsePart {
    server: ServerHandle,
    /// When the attempt was sent.
    sent_at: Millis,
    /// Prompt tokens that the server had to prefill.
    prefill: u32,
    /// Whether nothing of the response had arrived before.
    is_first: bool,
}

impl ResponsePart {
    /// Marks that the attempt has a response.
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

    /// Records a sign of life of a server, and that the request no longer waits for its prefill.
    fn record_response(&mut self, now: Millis, response: &ResponsePart) {
        let Some(server) = self.servers.get_mut(response.server) else { return };
        server.last_response_at = now;
        if response.is_first {
            self.has_urgent_load |= server.local_load.record_response(response.sent_at, response.prefill);
        }
    }

    /// A stalled stream moves to another server if it may be resumed.
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

    /// Completes, retries, forwards or aborts a request whose attempt has ended.
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
