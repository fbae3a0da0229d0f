//! The requests of an edge's clients: from the router's actions to servers and back.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_configuration::RouteKind;
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_routing::interface::{
    Action, Attempt, Ending, Event, NewRequest, Outcome, RequestId, Verdict,
};

use crate::edge::Edge;
use crate::message::{Call, CallNumber, Message, Request};
use crate::site::server_node;
use crate::witness::{Ask, Place, Sending};
use crate::world::{Timer, World};

/// How long a connection to a server may take to come up, as in the data plane.
const CONNECT_TIMEOUT: Millis = 300;
/// No configuration is known yet.
const UNAVAILABLE: u16 = 503;
/// No route allows the request.
const NOT_FOUND: u16 = 404;
/// What a client is taken to see of an answer that breaks off.
pub const BROKEN_OFF: u16 = 0;

/// A sending that has not ended.
#[derive(Clone, Debug)]
struct Out {
    request: RequestId,
    attempt: Attempt,
    server: ServerId,
    service: String,
    /// Where it went; `None` while no connection comes up.
    written_to: Option<NodeId>,
}

/// What clients ask for.
struct Open {
    ask: Ask,
    /// A failure of a server that may be passed on.
    held: Option<u16>,
}

/// The requests at an edge.
#[derive(Default)]
pub struct Requests {
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<CallNumber, Out>,
    /// Servers to which a connection is kept.
    pooled: BTreeSet<ServerId>,
}

impl Requests {
    /// The process ends: its connections to servers are reset.
    pub(crate) fn close_all(&self, node: NodeId, world: &mut World) {
        for (number, out) in &self.out {
            if let Some(server) = out.written_to {
                world.send(node, server, Message::Closed { number: *number });
            }
        }
    }

    /// Requests without an answer.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}

impl Edge {
    /// A client's request arrives, read whole.
    pub fn ask(&mut self, world: &mut World, number: u64, ask: Ask) {
        let route = self.view().route(&ask.host, &ask.path).cloned();
        let once = route.as_ref().is_some_and(|route| route.kind == RouteKind::NonIdempotent);
        let in_touch = world.touch.has_quorum_contact(world.now, self.node(), &world.network);
        let place = Place { edge: self.node(), version: self.view().version, in_touch };
        world.witness.asked(world.now, number, &ask, once, place);
        let Some(route) = route else {
            let status = if self.view().version == 0 { UNAVAILABLE } else { NOT_FOUND };
            return world.witness.answered(world.now, number, status);
        };
        let id = RequestId(number);
        let new = NewRequest {
            id,
            model: ask.model.clone(),
            adapter: ask.adapter.clone(),
            tokens: Some((200, 20)),
            prompt: Vec::new(),
            deadline_ms: ask.deadline_ms.unwrap_or(route.timeout_ms),
            last_event: None,
            body_bytes: Some(0),
            path_hash: number,
            route,
        };
        self.requests.open.insert(id, Open { ask, held: None });
        self.tell(world, Event::Request(new));
    }

    pub(crate) fn carry_out(&mut self, world: &mut World, action: Action) {
        match action {
            Action::Send { request, attempt, server, address, service, .. } => {
                let sending = Sending {
                    at: world.now,
                    edge: self.node(),
                    request: request.0,
                    server: server.clone(),
                    service: service.clone(),
                    in_touch: world.touch.has_quorum_contact(world.now, self.node(), &world.network),
                };
                world.witness.sent(sending);
                let out = Out { request, attempt, server, service, written_to: None };
                self.send(world, out, server_node(&address));
            }
            Action::ForwardFailure(request) => {
                let held = self.requests.open.get(&request).and_then(|open| open.held);
                self.finish(world, request, held.expect("a failure that is passed on is held"));
            }
            Action::Reject { request, rejection: refusal } => self.finish(world, request, refusal.status),
            Action::AbortResponse(request) => self.finish(world, request, BROKEN_OFF),
            Action::Cancel(request, attempt) => self.cancel(world, request, attempt),
            Action::CloseConnections(server) => {
                self.requests.pooled.remove(&server);
            }
        }
    }

    fn send(&mut self, world: &mut World, mut out: Out, address: NodeId) {
        let node = self.node();
        let Some(open) = self.requests.open.get_mut(&out.request) else { return };
        open.held = None;
        let number = world.number();
        let connected =
            self.requests.pooled.contains(&out.server) || world.network.can_connect(node, address);
        let (request, attempt) = (out.request, out.attempt);
        if !connected {
            world.wake(node, world.now + CONNECT_TIMEOUT, Timer::RequestUnreachable(number));
            self.requests.out.insert(number, out);
            return;
        }
        out.written_to = Some(address);
        let call = Call::Request(Request {
            request: request.0,
            expected: out.server.clone(),
            model: open.ask.model.clone().unwrap_or_default(),
            adapter: open.ask.adapter.clone(),
        });
        world.send(node, address, Message::Call { number, call });
        world.witness.written(world.now, request.0, &out.service);
        self.requests.out.insert(number, out);
        self.tell(world, Event::RequestWritten(request, attempt));
    }

    fn cancel(&mut self, world: &mut World, request: RequestId, attempt: Attempt) {
        let mut outs = self.requests.out.iter();
        let found = outs.find(|(_, out)| out.request == request && out.attempt == attempt);
        let Some(number) = found.map(|(number, _)| *number) else { return };
        let Some(out) = self.requests.out.remove(&number) else { return };
        if let Some(server) = out.written_to {
            world.send(self.node(), server, Message::Closed { number });
        }
        self.requests.pooled.remove(&out.server);
        let verdict = if out.written_to.is_some() { Verdict::MayHaveRun } else { Verdict::NeverSent };
        self.end(world, &out, verdict, Ending::Cancelled);
    }

    pub(crate) fn request_unreachable(&mut self, world: &mut World, number: CallNumber) {
        let Some(out) = self.requests.out.remove(&number) else { return };
        self.end(world, &out, Verdict::NeverSent, Ending::Unreachable);
    }

    pub(crate) fn request_refused(&mut self, world: &mut World, number: CallNumber, accepted: bool) {
        let Some(out) = self.requests.out.remove(&number) else { return };
        let pooled = self.requests.pooled.remove(&out.server);
        if accepted || pooled {
            self.end(world, &out, Verdict::MayHaveRun, Ending::ConnectionLost);
        } else {
            world.witness.unwritten(out.request.0);
            self.end(world, &out, Verdict::NeverSent, Ending::Unreachable);
        }
    }

    pub(crate) fn request_answered(
        &mut self,
        world: &mut World,
        number: CallNumber,
        status: u16,
        instance: ServerId,
    ) {
        let Some(out) = self.requests.out.remove(&number) else { return };
        self.requests.pooled.insert(out.server.clone());
        match status {
            200..=299 => {
                self.tell(world, Event::ResponseHead(out.request, out.attempt, None));
                self.tell(world, Event::FirstEvent(out.request, out.attempt));
                self.end(world, &out, Verdict::HasRun, Ending::Served);
                self.finish(world, out.request, status);
            }
            421 | 429 | 503 => {
                let ending = Ending::Rejected { status, instance: Some(instance) };
                self.end(world, &out, Verdict::SurelyNotRun, ending);
            }
            _ => {
                if let Some(open) = self.requests.open.get_mut(&out.request) {
                    open.held = Some(status);
                }
                self.end(world, &out, Verdict::HasRun, Ending::Failed { status });
            }
        }
    }

    fn end(&mut self, world: &mut World, out: &Out, verdict: Verdict, ending: Ending) {
        let outcome = Outcome { verdict, ending, load: None, retry_after_ms: None };
        self.tell(world, Event::AttemptEnded(out.request, out.attempt, outcome));
    }

    /// The client has its answer.
    fn finish(&mut self, world: &mut World, request: RequestId, status: u16) {
        if self.requests.open.remove(&request).is_some() {
            world.witness.answered(world.now, request.0, status);
            self.tell(world, Event::RequestFinished(request));
        }
    }
}
