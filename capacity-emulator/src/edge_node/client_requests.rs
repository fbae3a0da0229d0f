//! Client requests at an edge: from the router's actions to the model servers and back, without sockets.

use std::collections::HashMap;
use std::ops::RangeInclusive;

use rand::Rng;
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::{
    Action, Attempt, Ending, Event, NewRequest, Outcome, RequestId, ServerLoad, Verdict,
};

use super::EdgeNode;
use crate::activity::Activity;
use crate::deployment;
use crate::environment::Environment;
use crate::events::EdgeEvent;
use crate::options::{ADAPTERS_PER_MODEL, BUSY_ADAPTERS};
use crate::topology::{latency, zone_of};

/// The range of the random duration of a request on a server.
const REQUEST_DURATION_MS: RangeInclusive<Millis> = 20..=250;
/// The fraction of requests to busy models that ask for an adapter.
const ADAPTER_FRACTION: f64 = 0.5;
/// The number of different prompt prefixes that requests share.
const SHARED_PREFIXES: u64 = 8;
/// The fraction of a prompt's tokens that belong to its shared prefix.
const SHARED_PREFIX_FRACTION: f64 = 0.75;
/// The HTTP status of a successful response.
const STATUS_OK: u16 = 200;

/// The client requests of an edge, and their counts.
#[derive(Clone, Debug, Default)]
pub struct ClientRequests {
    /// Requests that await a response.
    pending: HashMap<RequestId, RequestedModel>,
    /// The number of requests received.
    pub received: u64,
    /// The number of requests served.
    pub served: u64,
    /// The number of requests that were rejected, or whose response failed or was aborted.
    pub failed: u64,
}

/// The model and the adapter that a request asks for.
#[derive(Clone, Debug)]
struct RequestedModel {
    model: String,
    adapter: Option<String>,
}

impl EdgeNode {
    /// Passes a new request, whose body has been read, to the router.
    pub(super) fn on_client_request(&mut self, environment: &mut Environment) {
        let (model, adapter) = draw_model(environment);
        let service = deployment::service_of_model(&environment.options, model);
        let route =
            environment.scheduler.rng.random_range(0..deployment::routes_per_service(&environment.options));
        let Some(routing) = self.routing() else { return };
        let Some(route) = routing.view.route(&deployment::host(service), &deployment::path(route)).cloned()
        else {
            return;
        };
        let id = environment.scheduler.next_id();
        let shared_prefix = environment.scheduler.rng.random_range(0..SHARED_PREFIXES);
        let (prompt_tokens, _) = deployment::TOKENS;
        let shared_tokens = (f64::from(prompt_tokens) * SHARED_PREFIX_FRACTION) as u32;
        let model = deployment::model_name(model);
        let adapter = adapter.map(deployment::adapter_name);
        let requested = RequestedModel { model: model.clone(), adapter: adapter.clone() };
        let request = NewRequest {
            id: RequestId(id),
            model: Some(model),
            adapter,
            tokens: Some(deployment::TOKENS),
            prompt: vec![(shared_prefix, shared_tokens), (id, prompt_tokens - shared_tokens)],
            deadline_ms: route.timeout_ms,
            last_event: None,
            body_bytes: Some(0),
            path_hash: id,
            route,
        };
        self.requests.received += 1;
        environment.client_requests += 1;
        self.requests.pending.insert(RequestId(id), requested);
        self.dispatch(environment, Activity::ClientRequest, Event::Request(request));
    }

    /// Executes an action of the router.
    pub(super) fn execute(&mut self, environment: &mut Environment, action: Action) {
        match action {
            Action::Send { request, attempt, server, address, .. } => {
                self.send(environment, request, attempt, &server, &address);
            }
            Action::ForwardFailure(request) | Action::AbortResponse(request) => {
                self.complete_request(environment, request, false)
            }
            Action::Reject { request, .. } => self.complete_request(environment, request, false),
            Action::Cancel(request, attempt) => {
                self.end_attempt(environment, request, attempt, Verdict::MayHaveRun, Ending::Cancelled, None);
            }
            Action::CloseConnections(_) => {}
        }
    }

    fn send(
        &mut self,
        environment: &mut Environment,
        request: RequestId,
        attempt: Attempt,
        expected: &str,
        address: &str,
    ) {
        let Some(index) = deployment::server_at(address) else { return };
        let Some(requested) = self.requests.pending.get(&request) else { return };
        let Some(server) = environment.servers.get_mut(index) else { return };
        let round_trip = 2 * latency(zone_of(self.index), zone_of(index));
        let accepted = server.check_request(expected, &requested.model, requested.adapter.as_deref());
        let (status, duration) = match accepted {
            Ok(()) => {
                server.active_requests += 1;
                (STATUS_OK, environment.scheduler.rng.random_range(REQUEST_DURATION_MS))
            }
            Err(status) => (status, 0),
        };
        self.dispatch(environment, Activity::ClientRequest, Event::RequestWritten(request, attempt));
        let event = EdgeEvent::ServerResponse { request, attempt, server: index, status };
        self.schedule_event(environment, round_trip + duration, event);
    }

    /// Passes a server's response to an attempt to the router.
    pub(super) fn on_server_response(
        &mut self,
        environment: &mut Environment,
        request: RequestId,
        attempt: Attempt,
        server: usize,
        status: u16,
    ) {
        let Some(server) = environment.servers.get_mut(server) else { return };
        let load = ServerLoad { running: server.active_requests, waiting: 0, slots: deployment::SLOTS };
        if status == STATUS_OK {
            server.active_requests = server.active_requests.saturating_sub(1);
            self.dispatch(
                environment,
                Activity::ClientRequest,
                Event::ResponseHead(request, attempt, Some(load)),
            );
            self.dispatch(environment, Activity::ClientRequest, Event::FirstEvent(request, attempt));
            self.end_attempt(environment, request, attempt, Verdict::HasRun, Ending::Served, Some(load));
            self.complete_request(environment, request, true);
        } else {
            let ending = Ending::Rejected { status, instance: Some(server.id.clone()) };
            self.end_attempt(environment, request, attempt, Verdict::SurelyNotRun, ending, None);
        }
    }

    fn end_attempt(
        &mut self,
        environment: &mut Environment,
        request: RequestId,
        attempt: Attempt,
        verdict: Verdict,
        ending: Ending,
        load: Option<ServerLoad>,
    ) {
        let outcome = Outcome { verdict, ending, load, retry_after_ms: None };
        self.dispatch(environment, Activity::ClientRequest, Event::AttemptEnded(request, attempt, outcome));
    }

    /// Completes a request that is still pending and counts its outcome.
    fn complete_request(&mut self, environment: &mut Environment, request: RequestId, served: bool) {
        if self.requests.pending.remove(&request).is_some() {
            self.requests.served += u64::from(served);
            self.requests.failed += u64::from(!served);
            self.dispatch(environment, Activity::ClientRequest, Event::RequestFinished(request));
        }
    }
}

/// Draws the model of a request and, for some requests, the number of one of the model's adapters.
fn draw_model(environment: &mut Environment) -> (usize, Option<u32>) {
    let rng = &mut environment.scheduler.rng;
    if rng.random::<f64>() < environment.options.idle_model_fraction() {
        let model = rng.random_range(0..environment.options.models);
        return (model, Some(rng.random_range(BUSY_ADAPTERS + 1..=ADAPTERS_PER_MODEL)));
    }
    let model = environment.popularity.rank_at_quantile(rng.random());
    let has_adapter = rng.random::<f64>() < ADAPTER_FRACTION;
    (model, has_adapter.then(|| rng.random_range(1..=BUSY_ADAPTERS)))
}
