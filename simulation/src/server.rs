//! A model server, as the operators' protocol describes it.

mod orders;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::external::{Heartbeat, LoadedModel, Order, ServerState, MAX_HEARTBEAT_BYTES};
use shaletrail_protocol::{Millis, NodeId, ServerId};

use crate::message::{Answer, Call, CallNumber, Message, Request};
use crate::site::{model_name, server_address, Models, LLM};
use crate::world::{Timer, World};

/// Within which a call must be acknowledged.
const PATIENCE: Millis = 1_000;
/// The pause before another coordinator is called, at first.
const FIRST_PAUSE: Millis = 50;
/// Until when a server that leaves waits for its acknowledgement.
const LEAVES_ANYWAY: Millis = 6_000;
/// How long a server goes on after `drainMs`.
const STAYS_LONGER: std::ops::RangeInclusive<Millis> = 100..=2_500;
/// What a request takes.
const REQUEST_TAKES: std::ops::RangeInclusive<Millis> = 20..=250;
/// Requests that wait beyond the slots.
const QUEUE: u32 = 4;

/// Models with their adapters.
pub type Held = BTreeMap<String, BTreeSet<String>>;

/// What a server is started with.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Its service.
    pub service: String,
    /// What the site's servers run.
    pub models: Models,
    /// Between two heartbeats.
    pub heartbeat: Millis,
    /// From the acknowledgement of `draining` on, how long it must serve.
    pub drain: Millis,
    /// Models that it holds from its start.
    pub holds: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Running {
    number: u64,
    order: Order,
    from_store: bool,
}

#[derive(Clone, Debug)]
struct Serving {
    from: NodeId,
    request: Request,
}

/// How far a server is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Ready,
    /// Says `draining`, not acknowledged yet.
    Leaving {
        since: Millis,
        gone_at: Option<Millis>,
    },
    /// `draining` was acknowledged.
    Drained {
        gone_at: Option<Millis>,
    },
    /// Says farewell.
    Farewell {
        since: Millis,
    },
}

/// A model server's process.
pub struct ModelServer {
    node: NodeId,
    id: ServerId,
    options: ServerOptions,
    held: Held,
    /// Models that its own disk has, also from before a restart.
    disk: BTreeSet<String>,
    running: Option<Running>,
    revision: u64,
    sequence: u64,
    life: Life,
    calling: Option<(CallNumber, NodeId)>,
    coordinator: Option<NodeId>,
    failures: u32,
    serving: BTreeMap<CallNumber, Serving>,
    ended: bool,
}

impl ModelServer {
    /// Starts a server; `disk` is what its machine's disk holds.
    pub fn start(node: NodeId, options: ServerOptions, disk: BTreeSet<String>, world: &mut World) -> Self {
        let id = format!("i-{:08x}", world.number() << 8 | u64::from(node.0 & 0xff));
        let held: Held = options.holds.iter().map(|model| (model_name(*model), BTreeSet::new())).collect();
        let disk = disk.into_iter().chain(held.keys().cloned()).collect();
        let first = world.between(0..=options.heartbeat);
        world.wake(node, world.now + first, Timer::Heartbeat);
        ModelServer {
            node,
            id,
            options,
            held,
            disk,
            running: None,
            revision: 0,
            sequence: 0,
            life: Life::Ready,
            calling: None,
            coordinator: None,
            failures: 0,
            serving: BTreeMap::new(),
            ended: false,
        }
    }

    /// This start of the server.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.options.service
    }

    /// What it holds.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// What its disk holds.
    pub fn disk(&self) -> &BTreeSet<String> {
        &self.disk
    }

    /// Whether it has come to its end.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether it leaves, or has said so.
    pub fn is_leaving(&self) -> bool {
        self.life != Life::Ready
    }

    /// Since when it says that it leaves, while that is not acknowledged.
    pub fn leaving_since(&self) -> Option<Millis> {
        match self.life {
            Life::Leaving { since, .. } => Some(since),
            _ => None,
        }
    }

    /// A planned end begins; at short notice it is gone after `remaining`.
    pub fn leave(&mut self, world: &mut World, remaining: Option<Millis>) {
        if self.life != Life::Ready {
            return;
        }
        let gone_at = remaining.map(|remaining| world.now + remaining);
        self.life = Life::Leaving { since: world.now, gone_at };
        self.calling = None;
        world.wake(self.node, world.now, Timer::Heartbeat);
        world.wake(self.node, gone_at.unwrap_or(world.now + LEAVES_ANYWAY), Timer::ServerEnds);
    }

    /// The process ends: its connections are reset.
    pub fn kill(self, world: &mut World) -> BTreeSet<String> {
        if self.running.as_ref().is_some_and(|running| running.from_store) {
            world.loading -= 1;
        }
        for (number, serving) in &self.serving {
            world.send(self.node, serving.from, Message::Refused { number: *number, accepted: true });
        }
        self.disk
    }

    /// Something has come over a link.
    pub fn receive(&mut self, world: &mut World, from: NodeId, message: Message) {
        match message {
            Message::Call { number, call } => self.take_call(world, from, number, call),
            Message::Answer { number, answer: Answer::Server(taken) } => self.called(world, number, taken),
            Message::Refused { number, .. } => self.called(world, number, false),
            Message::Closed { number } => {
                self.serving.remove(&number);
            }
            _ => {}
        }
    }

    /// It has been woken. `coordinators` is the list that it goes by.
    pub fn wake(&mut self, world: &mut World, timer: Timer, coordinators: &[NodeId]) {
        match timer {
            Timer::Heartbeat if self.calling.is_none() => self.call(world, coordinators),
            Timer::ServerCallLate(number) => self.called(world, number, false),
            Timer::OrderDone(number) => self.order_done(world, number),
            Timer::RequestDone(number) => self.request_done(world, number),
            Timer::ServerEnds => self.come_to_end(world),
            _ => {}
        }
    }

    // ---- Heartbeats ------------------------------------------------------------------------------------

    fn call(&mut self, world: &mut World, coordinators: &[NodeId]) {
        let known = self.coordinator.filter(|known| coordinators.contains(known));
        let Some(coordinator) = known.or_else(|| pick(world, coordinators)) else {
            return world.wake(self.node, world.now + PATIENCE, Timer::Heartbeat);
        };
        self.coordinator = Some(coordinator);
        let number = world.number();
        let call = match self.life {
            Life::Farewell { .. } => Call::Deregister { id: self.id.clone() },
            _ => self.heartbeat(world),
        };
        self.calling = Some((number, coordinator));
        world.send(self.node, coordinator, Message::Call { number, call });
        world.wake(self.node, world.now + PATIENCE, Timer::ServerCallLate(number));
    }

    fn heartbeat(&mut self, world: &World) -> Call {
        self.sequence += 1;
        let leaving = self.life != Life::Ready;
        let gone_at = match self.life {
            Life::Leaving { gone_at, .. } | Life::Drained { gone_at } => gone_at,
            _ => None,
        };
        let heartbeat = Heartbeat {
            service: self.options.service.clone(),
            address: server_address(self.node),
            zone: "a".to_owned(),
            version: "v1".to_owned(),
            slots: self.options.models.slots,
            state: if leaving { ServerState::Draining } else { ServerState::Ready },
            remaining_ms: gone_at.map(|at| at.saturating_sub(world.now) as f64),
            phase: "combined".to_owned(),
            models: (self.options.service == LLM).then(|| listed(&self.held)),
            sequence: self.sequence,
            ..Heartbeat::default()
        };
        let body = sonic_rs::to_vec(&heartbeat).expect("a heartbeat is written");
        assert!(body.len() <= MAX_HEARTBEAT_BYTES);
        Call::Heartbeat { id: self.id.clone(), body }
    }

    /// A call has ended.
    fn called(&mut self, world: &mut World, number: CallNumber, taken: bool) {
        let Some((_, coordinator)) = self.calling.take_if(|(calling, _)| *calling == number) else { return };
        if !taken {
            self.coordinator = None;
            self.failures += 1;
            let pause = FIRST_PAUSE << self.failures.min(4);
            return world.wake(self.node, world.now + pause, Timer::Heartbeat);
        }
        self.failures = 0;
        match self.life {
            Life::Leaving { gone_at, .. } => {
                let in_touch = world.touch.has_quorum_contact(world.now, coordinator, &world.network);
                world.witness.drained(world.now, &self.id, coordinator, in_touch);
                self.life = Life::Drained { gone_at };
                if gone_at.is_none() {
                    let stays = self.options.drain + world.between(STAYS_LONGER);
                    world.wake(self.node, world.now + stays, Timer::ServerEnds);
                }
            }
            Life::Farewell { .. } => return self.end(world),
            Life::Ready | Life::Drained { .. } => {}
        }
        world.wake(self.node, world.now + self.options.heartbeat, Timer::Heartbeat);
    }

    fn come_to_end(&mut self, world: &mut World) {
        match self.life {
            Life::Ready => {}
            Life::Leaving { since, gone_at } => {
                let over = gone_at.is_some_and(|at| at <= world.now) || since + LEAVES_ANYWAY <= world.now;
                if over {
                    self.end(world);
                }
            }
            Life::Drained { gone_at: Some(at) } if at > world.now => {}
            Life::Drained { gone_at: Some(_) } => self.end(world),
            Life::Drained { gone_at: None } => {
                self.life = Life::Farewell { since: world.now };
                self.calling = None;
                world.wake(self.node, world.now, Timer::Heartbeat);
                world.wake(self.node, world.now + LEAVES_ANYWAY, Timer::ServerEnds);
            }
            Life::Farewell { since } => {
                if since + LEAVES_ANYWAY <= world.now {
                    self.end(world);
                }
            }
        }
    }

    fn end(&mut self, world: &mut World) {
        self.ended = true;
        world.wake(self.node, world.now, Timer::ServerEnds);
    }

    // ---- Requests --------------------------------------------------------------------------------------

    fn take_call(&mut self, world: &mut World, from: NodeId, number: CallNumber, call: Call) {
        let answer = match call {
            Call::Order { expected, body } => {
                let order: Order = sonic_rs::from_slice(&body).expect("an order is read");
                Answer::Order(self.take_order(world, from, &expected, order))
            }
            Call::Report { expected } if expected == self.id => {
                Answer::Report(sonic_rs::to_vec(&self.report()).expect("a report is written"))
            }
            Call::Report { .. } => Answer::Report(Vec::new()),
            Call::Request(request) => match self.turns_away(&request) {
                Some(status) => {
                    world.witness.turned_away(world.now, request.request, &self.id, status);
                    Answer::Request { status, instance: self.id.clone() }
                }
                None => {
                    world.witness.ran(world.now, request.request, &self.id, &self.options.service);
                    let done = world.now + world.between(REQUEST_TAKES);
                    world.wake(self.node, done, Timer::RequestDone(number));
                    self.serving.insert(number, Serving { from, request });
                    return;
                }
            },
            _ => return,
        };
        world.send(self.node, from, Message::Answer { number, answer });
    }

    /// The status with which a request is turned away, if it is not run.
    fn turns_away(&self, request: &Request) -> Option<u16> {
        if request.expected != self.id {
            return Some(421);
        }
        if self.options.service == LLM {
            if self.running.as_ref().is_some_and(|running| concerns(&running.order, request)) {
                return Some(503);
            }
            let adapters = self.held.get(&request.model);
            let named = |adapters: &BTreeSet<String>| {
                request.adapter.as_ref().is_none_or(|adapter| adapters.contains(adapter))
            };
            if !adapters.is_some_and(named) {
                return Some(421);
            }
        }
        (self.serving.len() as u32 >= self.options.models.slots + QUEUE).then_some(503)
    }

    fn request_done(&mut self, world: &mut World, number: CallNumber) {
        if let Some(serving) = self.serving.remove(&number) {
            let answer = Answer::Request { status: 200, instance: self.id.clone() };
            world.send(self.node, serving.from, Message::Answer { number, answer });
        }
    }
}

/// Whether an order concerns a request.
fn concerns(order: &Order, request: &Request) -> bool {
    order.model == request.model && (order.adapter.is_none() || order.adapter == request.adapter)
}

fn listed(held: &Held) -> Vec<LoadedModel> {
    let entry = |(name, adapters): (&String, &BTreeSet<String>)| LoadedModel {
        name: name.clone(),
        version: 1,
        adapters: adapters.iter().cloned().collect(),
    };
    held.iter().map(entry).collect()
}

fn pick(world: &mut World, nodes: &[NodeId]) -> Option<NodeId> {
    let last = (nodes.len() as u64).checked_sub(1)?;
    let index = world.between(0..=last) as usize;
    nodes.get(index).copied()
}
