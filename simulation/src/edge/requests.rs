//! Clients' requests at an edge: executes the router's actions as attempts at servers, and reports their results to the router
//! as events.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_configuration::RouteKind;
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_routing::interface::{
    Action, Attempt, Ending, Event, NewRequest, Outcome, RequestId, Verdict,
};

use super::Edge;
use crate::fixtures::server_node;
use crate::message::{Call, CallNumber, Message, Request};
use crate::observer::{AttemptSent, ClientRequest, EdgeState};
use crate::world::{Timer, World};

/// Time-out of a connection to a server, in milliseconds; as in the data plane.
const CONNECT_TIMEOUT: Millis = 300;
/// Status of a request while no configuration is known.
const UNAVAILABLE: u16 = 503;
/// Status of a request that no route matches.
const NOT_FOUND: u16 = 404;
/// Recorded in place of the status of a response that was aborted.
const ABORTED_STATUS: u16 = 0;

/// An attempt that has not ended.
#[derive(Clone, Debug)]
struct InFlightAttempt {
    request: RequestId,
    attempt: Attempt,
    server: ServerId,
    service: String,
    /// The server to which it was written; `None` until the connection is established.
    written_to: Option<NodeId>,
}

/// A request that has no response yet.
struct OpenRequest {
    client_request: ClientRequest,
    /// The status of the last attempt if it failed at the server; the router may have it forwarded to the client.
    failure_status: Option<u16>,
}

/// The open requests at an edge and their attempts in flight.
#[derive(Default)]
pub(super) struct Requests {
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: BTreeMap<CallNumber, InFlightAttempt>,
    /// Servers to which an idle connection is kept.
    pooled: BTreeSet<ServerId>,
}

impl Requests {
    /// Cancels all attempts in flight when the process ends.
    pub(crate) fn cancel_all(&self, node: NodeId, world: &mut World) {
        for (number, in_flight) in &self.in_flight {
            if let Some(server) = in_flight.written_to {
                world.send(node, server, Message::Cancelled { number: *number });
            }
        }
    }
}

impl Edge {
    /// Handles a client's request after its body was read completely.
    pub fn handle_client_request(&mut self, world: &mut World, number: u64, client_request: ClientRequest) {
        let route = self.view().route(&client_request.host, &client_request.path).cloned();
        let non_idempotent = route.as_ref().is_some_and(|route| route.kind == RouteKind::NonIdempotent);
        let has_quorum_contact = world.contact.has_quorum_contact(world.now, self.node(), &world.network);
        let edge_state = EdgeState { edge: self.node(), version: self.view().version, has_quorum_contact };
        world.observer.request_received(world.now, number, &client_request, non_idempotent, edge_state);
        let Some(route) = route else {
            let status = if self.view().version == 0 { UNAVAILABLE } else { NOT_FOUND };
            return world.observer.request_answered(world.now, number, status);
        };
        let id = RequestId(number);
        let new = NewRequest {
            id,
            model: client_request.model.clone(),
            adapter: client_request.adapter.clone(),
            tokens: Some((200, 20)),
            prompt: Vec::new(),
            deadline_ms: client_request.deadline_ms.unwrap_or(route.timeout_ms),
            last_event: None,
            body_bytes: Some(0),
            path_hash: number,
            route,
        };
        self.requests.open.insert(id, OpenRequest { client_request, failure_status: None });
        self.handle_event(world, Event::Request(new));
    }

    pub(crate) fn execute(&mut self, world: &mut World, action: Action) {
        match action {
            Action::Send { request, attempt, server, address, service, .. } => {
                let attempt_sent = AttemptSent {
                    at: world.now,
                    edge: self.node(),
                    request: request.0,
                    server: server.clone(),
                    service: service.clone(),
                    has_quorum_contact: world.contact.has_quorum_contact(
                        world.now,
                        self.node(),
                        &world.network,
                    ),
                };
                world.observer.attempt_sent(attempt_sent);
                let in_flight = InFlightAttempt { request, attempt, server, service, written_to: None };
                self.send(world, in_flight, server_node(&address));
            }
            Action::ForwardFailure(request) => {
                let failure_status = self.requests.open.get(&request).and_then(|open| open.failure_status);
                self.complete(world, request, failure_status.expect("a forwarded failure has a status"));
            }
            Action::Reject { request, rejection } => self.complete(world, request, rejection.status),
            Action::AbortResponse(request) => self.complete(world, request, ABORTED_STATUS),
            Action::Cancel(request, attempt) => self.cancel(world, request, attempt),
            Action::CloseConnections(server) => {
                self.requests.pooled.remove(&server);
            }
        }
    }

    fn send(&mut self, world: &mut World, mut in_flight: InFlightAttempt, address: NodeId) {
        let node = self.node();
        let Some(open) = self.requests.open.get_mut(&in_flight.request) else { return };
        open.failure_status = None;
        let number = world.next_id();
        let connected =
            self.requests.pooled.contains(&in_flight.server) || world.network.can_connect(node, address);
        let (request, attempt) = (in_flight.request, in_flight.attempt);
        if !connected {
            world.set_timer(node, world.now + CONNECT_TIMEOUT, Timer::ConnectTimeout(number));
            self.requests.in_flight.insert(number, in_flight);
            return;
        }
        in_flight.written_to = Some(address);
        let call = Call::Request(Request {
            request: request.0,
            expected: in_flight.server.clone(),
            model: open.client_request.model.clone().unwrap_or_default(),
            adapter: open.client_request.adapter.clone(),
        });
        world.send(node, address, Message::Call { number, call });
        world.observer.attempt_written(world.now, request.0, &in_flight.service);
        self.requests.in_flight.insert(number, in_flight);
        self.handle_event(world, Event::RequestWritten(request, attempt));
    }

    fn cancel(&mut self, world: &mut World, request: RequestId, attempt: Attempt) {
        let mut attempts = self.requests.in_flight.iter();
        let found =
            attempts.find(|(_, in_flight)| in_flight.request == request && in_flight.attempt == attempt);
        let Some(number) = found.map(|(number, _)| *number) else { return };
        let Some(in_flight) = self.requests.in_flight.remove(&number) else { return };
        if let Some(server) = in_flight.written_to {
            world.send(self.node(), server, Message::Cancelled { number });
        }
        self.requests.pooled.remove(&in_flight.server);
        let verdict = if in_flight.written_to.is_some() { Verdict::MayHaveRun } else { Verdict::NeverSent };
        self.end_attempt(world, &in_flight, verdict, Ending::Cancelled);
    }

    pub(crate) fn request_unreachable(&mut self, world: &mut World, number: CallNumber) {
        let Some(in_flight) = self.requests.in_flight.remove(&number) else { return };
        self.end_attempt(world, &in_flight, Verdict::NeverSent, Ending::Unreachable);
    }

    pub(crate) fn request_refused(&mut self, world: &mut World, number: CallNumber, accepted: bool) {
        let Some(in_flight) = self.requests.in_flight.remove(&number) else { return };
        let pooled = self.requests.pooled.remove(&in_flight.server);
        if accepted || pooled {
            self.end_attempt(world, &in_flight, Verdict::MayHaveRun, Ending::ConnectionLost);
        } else {
            world.observer.attempt_not_written(in_flight.request.0);
            self.end_attempt(world, &in_flight, Verdict::NeverSent, Ending::Unreachable);
        }
    }

    pub(crate) fn request_answered(
        &mut self,
        world: &mut World,
        number: CallNumber,
        status: u16,
        instance: ServerId,
    ) {
        let Some(in_flight) = self.requests.in_flight.remove(&number) else { return };
        self.requests.pooled.insert(in_flight.server.clone());
        match status {
            200..=299 => {
                self.handle_event(world, Event::ResponseHead(in_flight.request, in_flight.attempt, None));
                self.handle_event(world, Event::FirstEvent(in_flight.request, in_flight.attempt));
                self.end_attempt(world, &in_flight, Verdict::HasRun, Ending::Served);
                self.complete(world, in_flight.request, status);
            }
            421 | 429 | 503 => {
                let ending = Ending::Rejected { status, instance: Some(instance) };
                self.end_attempt(world, &in_flight, Verdict::SurelyNotRun, ending);
            }
            _ => {
                if let Some(open) = self.requests.open.get_mut(&in_flight.request) {
                    open.failure_status = Some(status);
                }
                self.end_attempt(world, &in_flight, Verdict::HasRun, Ending::Failed { status });
            }
        }
    }

    fn end_attempt(
        &mut self,
        world: &mut World,
        in_flight: &InFlightAttempt,
        verdict: Verdict,
        ending: Ending,
    ) {
        let outcome = Outcome { verdict, ending, load: None, retry_after_ms: None };
        self.handle_event(world, Event::AttemptEnded(in_flight.request, in_flight.attempt, outcome));
    }

    /// Completes a request with the status that its client receives.
    fn complete(&mut self, world: &mut World, request: RequestId, status: u16) {
        if self.requests.open.remove(&request).is_some() {
            world.observer.request_answered(world.now, request.0, status);
            self.handle_event(world, Event::RequestFinished(request));
        }
    }
}
