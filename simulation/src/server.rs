//! A model server that follows the external protocol: heartbeats, draining, requests and orders.

mod orders;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::external::{Heartbeat, LoadedModel, Order, ServerState, MAX_HEARTBEAT_BYTES};
use shaletrail_protocol::{Millis, NodeId, ServerId};

use crate::fixtures::{model_name, server_address, Models, LLM_SERVICE};
use crate::message::{Call, CallNumber, Message, Request, Response};
use crate::world::{Timer, World};

/// Time-out of a call to a coordinator, in milliseconds.
const CALL_TIMEOUT: Millis = 1_000;
/// Unit of the backoff before another coordinator is called, in milliseconds; doubled with each consecutive failure.
const BACKOFF_UNIT: Millis = 50;
/// How long a server waits for the acknowledgement of its draining or of its deregistration before it exits, in milliseconds.
const SHUTDOWN_TIMEOUT: Millis = 6_000;
/// How long a server continues to serve after `drainMs`, in milliseconds.
const POST_DRAIN_TIME: std::ops::RangeInclusive<Millis> = 100..=2_500;
/// Duration of a request's execution, in milliseconds.
const REQUEST_DURATION: std::ops::RangeInclusive<Millis> = 20..=250;
/// Number of requests that may wait for a slot; further ones are rejected.
const MAX_QUEUED: u32 = 4;

/// The loaded models, each with its loaded adapters, by name.
pub type LoadedModels = BTreeMap<String, BTreeSet<String>>;

/// The settings of a model server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The name of its service.
    pub service: String,
    /// The models, and the capacity of the server.
    pub models: Models,
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat: Millis,
    /// How long it must continue to serve after the acknowledgement of its draining, in milliseconds (`drainMs`).
    pub drain: Millis,
    /// Models that are loaded at its start, by number.
    pub initial_models: Vec<usize>,
}

#[derive(Clone, Debug)]
struct RunningOrder {
    number: u64,
    order: Order,
    from_store: bool,
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    from: NodeId,
    request: Request,
}

/// The phases of a server's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Ready,
    /// It reports `draining`, which is not acknowledged yet.
    Draining {
        since: Millis,
        exit_at: Option<Millis>,
    },
    /// A coordinator has acknowledged the draining.
    Drained {
        exit_at: Option<Millis>,
    },
    /// It deregisters before it exits.
    Deregistering {
        since: Millis,
    },
}

/// The simulated process of a model server.
pub struct ModelServer {
    node: NodeId,
    id: ServerId,
    options: ServerOptions,
    loaded: LoadedModels,
    /// Models on its machine's disk, including those from before a restart.
    disk_models: BTreeSet<String>,
    current_order: Option<RunningOrder>,
    /// Incremented with each accepted order.
    revision: u64,
    /// Number of the last heartbeat.
    sequence: u64,
    lifecycle: Lifecycle,
    pending_call: Option<(CallNumber, NodeId)>,
    coordinator: Option<NodeId>,
    /// Consecutive failed calls to coordinators.
    failures: u32,
    in_flight: BTreeMap<CallNumber, InFlightRequest>,
    exited: bool,
}

impl ModelServer {
    /// Starts a server; `disk_models` are the models on its machine's disk.
    pub fn start(
        node: NodeId,
        options: ServerOptions,
        disk_models: BTreeSet<String>,
        world: &mut World,
    ) -> Self {
        let id = format!("i-{:08x}", world.next_id() << 8 | u64::from(node.0 & 0xff));
        let loaded: LoadedModels =
            options.initial_models.iter().map(|model| (model_name(*model), BTreeSet::new())).collect();
        let disk_models = disk_models.into_iter().chain(loaded.keys().cloned()).collect();
        let first = world.random_range(0..=options.heartbeat);
        world.set_timer(node, world.now + first, Timer::Heartbeat);
        ModelServer {
            node,
            id,
            options,
            loaded,
            disk_models,
            current_order: None,
            revision: 0,
            sequence: 0,
            lifecycle: Lifecycle::Ready,
            pending_call: None,
            coordinator: None,
            failures: 0,
            in_flight: BTreeMap::new(),
            exited: false,
        }
    }

    /// The identifier of this incarnation of the server.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// The name of its service.
    pub fn service(&self) -> &str {
        &self.options.service
    }

    /// The loaded models and adapters.
    pub fn loaded(&self) -> &LoadedModels {
        &self.loaded
    }

    /// The models on its machine's disk.
    pub fn disk_models(&self) -> &BTreeSet<String> {
        &self.disk_models
    }

    /// Whether it has exited; the fleet then removes its process.
    pub fn has_exited(&self) -> bool {
        self.exited
    }

    /// Whether it drains, has drained or deregisters.
    pub fn is_draining(&self) -> bool {
        self.lifecycle != Lifecycle::Ready
    }

    /// Since when it has reported `draining`; `None` if it does not drain or the draining is acknowledged.
    pub fn draining_since(&self) -> Option<Millis> {
        match self.lifecycle {
            Lifecycle::Draining { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Begins to drain. If `remaining` is given, the server exits after this time, in milliseconds, at the latest.
    pub fn drain(&mut self, world: &mut World, remaining: Option<Millis>) {
        if self.lifecycle != Lifecycle::Ready {
            return;
        }
        let exit_at = remaining.map(|remaining| world.now + remaining);
        self.lifecycle = Lifecycle::Draining { since: world.now, exit_at };
        self.pending_call = None;
        world.set_timer(self.node, world.now, Timer::Heartbeat);
        world.set_timer(self.node, exit_at.unwrap_or(world.now + SHUTDOWN_TIMEOUT), Timer::ServerExit);
    }

    /// Ends the process abruptly: its connections are reset. Returns the models on its disk.
    pub fn kill(self, world: &mut World) -> BTreeSet<String> {
        if self.current_order.as_ref().is_some_and(|current_order| current_order.from_store) {
            world.loading -= 1;
        }
        for (number, in_flight) in &self.in_flight {
            world.send(
                self.node,
                in_flight.from,
                Message::ConnectionFailed { number: *number, accepted: true },
            );
        }
        self.disk_models
    }

    /// Handles a message from the network.
    pub fn receive(&mut self, world: &mut World, from: NodeId, message: Message) {
        match message {
            Message::Call { number, call } => self.handle_call(world, from, number, call),
            Message::Response { number, response: Response::Server(accepted) } => {
                self.call_completed(world, number, accepted)
            }
            Message::ConnectionFailed { number, .. } => self.call_completed(world, number, false),
            Message::Cancelled { number } => {
                self.in_flight.remove(&number);
            }
            _ => {}
        }
    }

    /// Handles a timer that has expired. `coordinators` is the published list of coordinators.
    pub fn handle_timer(&mut self, world: &mut World, timer: Timer, coordinators: &[NodeId]) {
        match timer {
            Timer::Heartbeat if self.pending_call.is_none() => self.call(world, coordinators),
            Timer::CoordinatorCallTimeout(number) => self.call_completed(world, number, false),
            Timer::OrderCompleted(number) => self.complete_order(world, number),
            Timer::RequestCompleted(number) => self.complete_request(world, number),
            Timer::ServerExit => self.advance_shutdown(world),
            _ => {}
        }
    }

    // ---- Heartbeats ------------------------------------------------------------------------------------

    fn call(&mut self, world: &mut World, coordinators: &[NodeId]) {
        let preferred = self.coordinator.filter(|preferred| coordinators.contains(preferred));
        let Some(coordinator) = preferred.or_else(|| choose(world, coordinators)) else {
            return world.set_timer(self.node, world.now + CALL_TIMEOUT, Timer::Heartbeat);
        };
        self.coordinator = Some(coordinator);
        let number = world.next_id();
        let call = match self.lifecycle {
            Lifecycle::Deregistering { .. } => Call::Deregister { id: self.id.clone() },
            _ => self.heartbeat(world),
        };
        self.pending_call = Some((number, coordinator));
        world.send(self.node, coordinator, Message::Call { number, call });
        world.set_timer(self.node, world.now + CALL_TIMEOUT, Timer::CoordinatorCallTimeout(number));
    }

    fn heartbeat(&mut self, world: &World) -> Call {
        self.sequence += 1;
        let draining = self.lifecycle != Lifecycle::Ready;
        let exit_at = match self.lifecycle {
            Lifecycle::Draining { exit_at, .. } | Lifecycle::Drained { exit_at } => exit_at,
            _ => None,
        };
        let heartbeat = Heartbeat {
            service: self.options.service.clone(),
            address: server_address(self.node),
            zone: "a".to_owned(),
            version: "v1".to_owned(),
            slots: self.options.models.slots,
            state: if draining { ServerState::Draining } else { ServerState::Ready },
            remaining_ms: exit_at.map(|at| at.saturating_sub(world.now) as f64),
            phase: "combined".to_owned(),
            models: (self.options.service == LLM_SERVICE).then(|| to_loaded_models(&self.loaded)),
            sequence: self.sequence,
            ..Heartbeat::default()
        };
        let body = sonic_rs::to_vec(&heartbeat).expect("heartbeat serializes to JSON");
        assert!(body.len() <= MAX_HEARTBEAT_BYTES);
        Call::Heartbeat { id: self.id.clone(), body }
    }

    /// Handles the response to the call to a coordinator, or its failure.
    fn call_completed(&mut self, world: &mut World, number: CallNumber, accepted: bool) {
        let Some((_, coordinator)) = self.pending_call.take_if(|(pending_call, _)| *pending_call == number)
        else {
            return;
        };
        if !accepted {
            self.coordinator = None;
            self.failures += 1;
            let pause = BACKOFF_UNIT << self.failures.min(4);
            return world.set_timer(self.node, world.now + pause, Timer::Heartbeat);
        }
        self.failures = 0;
        match self.lifecycle {
            Lifecycle::Draining { exit_at, .. } => {
                let has_quorum_contact =
                    world.contact.has_quorum_contact(world.now, coordinator, &world.network);
                world.observer.drain_acknowledged(world.now, &self.id, coordinator, has_quorum_contact);
                self.lifecycle = Lifecycle::Drained { exit_at };
                if exit_at.is_none() {
                    let remaining = self.options.drain + world.random_range(POST_DRAIN_TIME);
                    world.set_timer(self.node, world.now + remaining, Timer::ServerExit);
                }
            }
            Lifecycle::Deregistering { .. } => return self.exit(world),
            Lifecycle::Ready | Lifecycle::Drained { .. } => {}
        }
        world.set_timer(self.node, world.now + self.options.heartbeat, Timer::Heartbeat);
    }

    fn advance_shutdown(&mut self, world: &mut World) {
        match self.lifecycle {
            Lifecycle::Ready => {}
            Lifecycle::Draining { since, exit_at } => {
                let must_exit =
                    exit_at.is_some_and(|at| at <= world.now) || since + SHUTDOWN_TIMEOUT <= world.now;
                if must_exit {
                    self.exit(world);
                }
            }
            Lifecycle::Drained { exit_at: Some(at) } if at > world.now => {}
            Lifecycle::Drained { exit_at: Some(_) } => self.exit(world),
            Lifecycle::Drained { exit_at: None } => {
                self.lifecycle = Lifecycle::Deregistering { since: world.now };
                self.pending_call = None;
                world.set_timer(self.node, world.now, Timer::Heartbeat);
                world.set_timer(self.node, world.now + SHUTDOWN_TIMEOUT, Timer::ServerExit);
            }
            Lifecycle::Deregistering { since } => {
                if since + SHUTDOWN_TIMEOUT <= world.now {
                    self.exit(world);
                }
            }
        }
    }

    fn exit(&mut self, world: &mut World) {
        self.exited = true;
        world.set_timer(self.node, world.now, Timer::ServerExit);
    }

    // ---- Requests --------------------------------------------------------------------------------------

    fn handle_call(&mut self, world: &mut World, from: NodeId, number: CallNumber, call: Call) {
        let response = match call {
            Call::Order { expected, body } => {
                let order: Order = sonic_rs::from_slice(&body).expect("order body is valid JSON");
                Response::Order(self.handle_order(world, from, &expected, order))
            }
            Call::Report { expected } if expected == self.id => {
                Response::Report(sonic_rs::to_vec(&self.report()).expect("report serializes to JSON"))
            }
            Call::Report { .. } => Response::Report(Vec::new()),
            Call::Request(request) => match self.rejection_status(&request) {
                Some(status) => {
                    world.observer.attempt_rejected(world.now, request.request, &self.id, status);
                    Response::Request { status, instance: self.id.clone() }
                }
                None => {
                    world.observer.request_executed(
                        world.now,
                        request.request,
                        &self.id,
                        &self.options.service,
                    );
                    let done = world.now + world.random_range(REQUEST_DURATION);
                    world.set_timer(self.node, done, Timer::RequestCompleted(number));
                    self.in_flight.insert(number, InFlightRequest { from, request });
                    return;
                }
            },
            _ => return,
        };
        world.send(self.node, from, Message::Response { number, response });
    }

    /// The status with which to reject a request; `None` if it is to be executed.
    fn rejection_status(&self, request: &Request) -> Option<u16> {
        if request.expected != self.id {
            return Some(421);
        }
        if self.options.service == LLM_SERVICE {
            if self
                .current_order
                .as_ref()
                .is_some_and(|current_order| order_affects(&current_order.order, request))
            {
                return Some(503);
            }
            let adapters = self.loaded.get(&request.model);
            let has_adapter = |adapters: &BTreeSet<String>| {
                request.adapter.as_ref().is_none_or(|adapter| adapters.contains(adapter))
            };
            if !adapters.is_some_and(has_adapter) {
                return Some(421);
            }
        }
        (self.in_flight.len() as u32 >= self.options.models.slots + MAX_QUEUED).then_some(503)
    }

    fn complete_request(&mut self, world: &mut World, number: CallNumber) {
        if let Some(in_flight) = self.in_flight.remove(&number) {
            let response = Response::Request { status: 200, instance: self.id.clone() };
            world.send(self.node, in_flight.from, Message::Response { number, response });
        }
    }
}

/// Whether an order loads or evicts the model or the adapter that a request needs.
fn order_affects(order: &Order, request: &Request) -> bool {
    order.model == request.model && (order.adapter.is_none() || order.adapter == request.adapter)
}

fn to_loaded_models(loaded: &LoadedModels) -> Vec<LoadedModel> {
    let entry = |(name, adapters): (&String, &BTreeSet<String>)| LoadedModel {
        name: name.clone(),
        version: 1,
        adapters: adapters.iter().cloned().collect(),
    };
    loaded.iter().map(entry).collect()
}

fn choose(world: &mut World, nodes: &[NodeId]) -> Option<NodeId> {
    let last = (nodes.len() as u64).checked_sub(1)?;
    let index = world.random_range(0..=last) as usize;
    nodes.get(index).copied()
}
