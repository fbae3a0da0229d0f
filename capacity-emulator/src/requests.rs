//! Requests at an edge, from the router's actions to servers and back, without clients' sockets.

use std::collections::HashMap;

use rand::Rng;
use shaletrail_routing::interface::{
    Action, Attempt, Ending, Event, NewRequest, Outcome, RequestId, ServerLoad, Verdict,
};

use crate::edge_node::EdgeNode;
use crate::fleet::World;
use crate::ledger::Kind;
use crate::options::{ADAPTERS_A_MODEL, BUSY_ADAPTERS};
use crate::schedule::{latency, zone_of, AtEdge};
use crate::site;

/// What a request takes at a server, in milliseconds.
const REQUEST_TAKES: std::ops::RangeInclusive<u64> = 20..=250;
/// The part of requests that ask for an adapter.
const WITH_ADAPTER: f64 = 0.5;
/// Different shared beginnings of prompts of one model.
const SHARED_PROMPTS: u64 = 8;
/// The part of a prompt that is shared.
const SHARED_PART: f64 = 0.75;
/// The status of an answer that served.
const SERVED: u16 = 200;

/// The requests of an edge, and counts of them.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// What is asked for by those without an answer.
    pub(crate) open: HashMap<RequestId, (String, Option<String>)>,
    /// That came.
    pub asked: u64,
    /// That were served.
    pub served: u64,
    /// That were refused, passed on as failed or broken off.
    pub failed: u64,
}

impl EdgeNode {
    /// A client's request arrives, read whole.
    pub(crate) fn ask(&mut self, world: &mut World) {
        let (model, adapter) = pick(world);
        let service = site::service_of_model(&world.options, model);
        let route = world.schedule.random.random_range(0..site::routes_a_service(&world.options));
        let Some(decisions) = self.decisions() else { return };
        let Some(route) = decisions.view.route(&site::host(service), &site::path(route)).cloned() else {
            return;
        };
        let number = world.schedule.name();
        let shared = world.schedule.random.random_range(0..SHARED_PROMPTS);
        let shared_tokens = (f64::from(site::TOKENS.0) * SHARED_PART) as u32;
        let new = NewRequest {
            id: RequestId(number),
            model: Some(site::model_name(model)),
            adapter: adapter.map(site::adapter_name),
            tokens: Some(site::TOKENS),
            prompt: vec![(shared, shared_tokens), (number, site::TOKENS.0 - shared_tokens)],
            deadline_ms: route.timeout_ms,
            last_event: None,
            body_bytes: Some(0),
            path_hash: number,
            route,
        };
        self.requests.asked += 1;
        world.requests_asked += 1;
        self.requests.open.insert(new.id, (new.model.clone().unwrap_or_default(), new.adapter.clone()));
        self.tell(world, Kind::Request, Event::Request(new));
    }

    pub(crate) fn carry_out(&mut self, world: &mut World, action: Action) {
        match action {
            Action::Send { request, attempt, server, address, .. } => {
                self.send(world, request, attempt, &server, &address);
            }
            Action::ForwardFailure(request) | Action::AbortResponse(request) => {
                self.finish(world, request, false)
            }
            Action::Reject { request, .. } => self.finish(world, request, false),
            Action::Cancel(request, attempt) => {
                self.end(world, request, attempt, Verdict::MayHaveRun, Ending::Cancelled, None);
            }
            Action::CloseConnections(_) => {}
        }
    }

    fn send(
        &mut self,
        world: &mut World,
        request: RequestId,
        attempt: Attempt,
        expected: &str,
        address: &str,
    ) {
        let Some(place) = site::server_at(address) else { return };
        let Some((model, adapter)) = self.requests.open.get(&request) else { return };
        let Some(server) = world.servers.get_mut(place) else { return };
        let way = 2 * latency(zone_of(self.place()), zone_of(place));
        let (status, takes) = match server.takes(expected, model, adapter.as_deref()) {
            Ok(()) => {
                server.open += 1;
                (SERVED, world.schedule.random.random_range(REQUEST_TAKES))
            }
            Err(status) => (status, 0),
        };
        self.tell(world, Kind::Request, Event::RequestWritten(request, attempt));
        self.wake(world, way + takes, AtEdge::Answered { request, attempt, server: place, status });
    }

    pub(crate) fn server_answered(
        &mut self,
        world: &mut World,
        request: RequestId,
        attempt: Attempt,
        server: usize,
        status: u16,
    ) {
        let Some(server) = world.servers.get_mut(server) else { return };
        let load = ServerLoad { running: server.open, waiting: 0, slots: site::SLOTS };
        if status == SERVED {
            server.open = server.open.saturating_sub(1);
            self.tell(world, Kind::Request, Event::ResponseHead(request, attempt, Some(load)));
            self.tell(world, Kind::Request, Event::FirstEvent(request, attempt));
            self.end(world, request, attempt, Verdict::HasRun, Ending::Served, Some(load));
            self.finish(world, request, true);
        } else {
            let ending = Ending::Rejected { status, instance: Some(server.id.clone()) };
            self.end(world, request, attempt, Verdict::SurelyNotRun, ending, None);
        }
    }

    fn end(
        &mut self,
        world: &mut World,
        request: RequestId,
        attempt: Attempt,
        verdict: Verdict,
        ending: Ending,
        load: Option<ServerLoad>,
    ) {
        let outcome = Outcome { verdict, ending, load, retry_after_ms: None };
        self.tell(world, Kind::Request, Event::AttemptEnded(request, attempt, outcome));
    }

    /// The client has its answer.
    fn finish(&mut self, world: &mut World, request: RequestId, served: bool) {
        if self.requests.open.remove(&request).is_some() {
            self.requests.served += u64::from(served);
            self.requests.failed += u64::from(!served);
            self.tell(world, Kind::Request, Event::RequestFinished(request));
        }
    }
}

/// What a request asks for: a model, and perhaps one of its adapters.
fn pick(world: &mut World) -> (usize, Option<u32>) {
    let random = &mut world.schedule.random;
    if random.random::<f64>() < world.options.cold_part() {
        let model = random.random_range(0..world.options.models);
        return (model, Some(random.random_range(BUSY_ADAPTERS + 1..=ADAPTERS_A_MODEL)));
    }
    let model = world.popularity.pick(random.random());
    let with_adapter = random.random::<f64>() < WITH_ADAPTER;
    (model, with_adapter.then(|| random.random_range(1..=BUSY_ADAPTERS)))
}
