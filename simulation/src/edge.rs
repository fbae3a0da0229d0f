//! An edge's process: the production router, and polls of coordinators as the production poller makes them.

use std::sync::Arc;

use rand::Rng;
use shaletrail_configuration::View;
use shaletrail_dataplane::coordinators::Coordinators;
use shaletrail_dataplane::load_datagrams::LoadDatagrams;
use shaletrail_dataplane::poll_timeouts::PollTimeouts;
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{
    ConfigUpdate, Demand, DirectoryCursor, EdgeIdentity, EdgeLoadReport, EdgeRequest, PollRequest,
    PollResponse, ServerOutcomes,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_routing::interface::Event;
use shaletrail_routing::{Options, Router};

use crate::message::{decode, Answer, Call, CallNumber, Message};
use crate::requests::Requests;
use crate::site;
use crate::world::{Timer, World};

/// How long a connection to a coordinator may take to come up, as in the poller.
const CONNECT_TIMEOUT: Millis = 300;
/// The least time between the starts of two polls that succeeded, as in the poller.
const LEAST_SPACING: Millis = 20;
/// The least time between two reports, as in the poller.
const REPORT_INTERVAL: Millis = 250;
/// How long an urgent report waits for others to go with it, as in the poller.
const URGENT_DELAY: Millis = 5;
/// The shortest and longest pause after all coordinators have failed, as in the poller.
const ROUND_PAUSE: std::ops::RangeInclusive<u64> = 100..=300;

/// Between two looks at what the other edges should hear, as in the data plane.
const TELL_PEERS: Millis = 100;

/// A poll under way.
#[derive(Clone, Copy, Debug)]
struct Polling {
    number: CallNumber,
    coordinator: NodeId,
    begun: Millis,
    /// Whether it has been sent; otherwise its connection does not come up.
    sent: bool,
}

/// An edge's process.
pub struct Edge {
    identity: EdgeIdentity,
    pub(crate) router: Router,
    pub(crate) requests: Requests,
    view: Arc<View>,
    started: Millis,
    poll_timeouts: PollTimeouts,
    coordinators: Coordinators,
    connected: Option<NodeId>,
    polling: Option<Polling>,
    cursor: DirectoryCursor,
    wants_whole: bool,
    edges: u32,
    edge_list: u64,
    datagrams: LoadDatagrams,
    demand: Vec<Demand>,
    observed: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    urgent: bool,
    router_wake: Option<Millis>,
}

impl Edge {
    /// Starts a process that knows nothing yet.
    pub fn start(settings: &Settings, world: &mut World) -> Self {
        let incarnation = Incarnation(world.between(1..=u64::MAX));
        let node = settings.node();
        let seed = world.random.random();
        world.wake(node, world.now, Timer::PollStep);
        world.wake(node, world.now, Timer::TellPeers);
        Edge {
            identity: EdgeIdentity { node, incarnation, zone: settings.zone.clone() },
            router: Router::new(Options::within(&settings.bounds), seed),
            requests: Requests::default(),
            view: Arc::default(),
            started: world.now,
            poll_timeouts: PollTimeouts::within(settings.bounds.convergence, settings.bounds.drain),
            coordinators: Coordinators::new(node, settings.seed_nodes()),
            connected: None,
            polling: None,
            cursor: DirectoryCursor::default(),
            wants_whole: false,
            edges: 0,
            edge_list: 0,
            datagrams: LoadDatagrams::new(node, incarnation),
            demand: Vec::new(),
            observed: Vec::new(),
            reported_at: None,
            urgent: false,
            router_wake: None,
        }
    }

    /// The machine.
    pub fn node(&self) -> NodeId {
        self.identity.node
    }

    /// The configuration in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// The router, for tests that look for the cause of what was seen.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The coordinator that is polled.
    pub fn polls(&self) -> Option<NodeId> {
        self.polling.map(|polling| polling.coordinator)
    }

    /// Takes over the seeds of the settings file as it stands now.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.coordinators.set_seeds(seeds);
    }

    pub(crate) fn clock(&self, world: &World) -> Millis {
        world.now.saturating_sub(self.started)
    }

    /// The process is told to end, and tells the coordinator that it polls.
    pub fn stop(&mut self, world: &mut World) {
        self.tell(world, Event::ShutdownRequested);
        if let Some(coordinator) = self.polls() {
            let frame = frame::encode(&EdgeRequest::ShutdownNotice);
            world.send(self.node(), coordinator, Message::EdgeReport { edge: self.identity.clone(), frame });
        }
    }

    /// The process ends.
    pub fn kill(self, world: &mut World) {
        if let Some(polling) = self.polling.filter(|polling| polling.sent) {
            world.send(self.identity.node, polling.coordinator, Message::Closed { number: polling.number });
        }
        self.requests.close_all(self.identity.node, world);
    }

    /// Something has come over a link.
    pub fn receive(&mut self, world: &mut World, message: Message) {
        match message {
            Message::Answer { number, answer: Answer::Poll(frame) } => {
                self.poll_answered(world, number, &frame)
            }
            Message::Answer { number, answer: Answer::Request { status, instance } } => {
                self.request_answered(world, number, status, instance);
            }
            Message::Loads(datagram) => {
                let loads: EdgeLoadReport =
                    bitcode::decode(&datagram).expect("a datagram of an edge is read");
                self.tell(
                    world,
                    Event::PeerLoads { edge: loads.edge, scope: loads.scope, loads: loads.loads },
                );
            }
            Message::Refused { number, accepted } => {
                if self.polling.is_some_and(|polling| polling.number == number) {
                    self.poll_failed(world);
                } else {
                    self.request_refused(world, number, accepted);
                }
            }
            _ => {}
        }
    }

    /// It has been woken. `seeds` are those that the settings file names now.
    pub fn wake(&mut self, world: &mut World, timer: Timer, seeds: &[NodeId]) {
        match timer {
            Timer::PollStep if self.polling.is_none() => self.poll(world),
            Timer::PollRound if self.polling.is_none() => {
                self.coordinators.set_seeds(seeds.to_vec());
                self.coordinators.begin_round();
                self.poll(world);
            }
            Timer::PollLate(number) if self.polling.is_some_and(|polling| polling.number == number) => {
                self.poll_failed(world);
            }
            Timer::TellPeers => {
                self.tell_peers(world);
                world.wake(self.node(), world.now + TELL_PEERS, Timer::TellPeers);
            }
            Timer::UrgentReport => self.report_urgently(world),
            Timer::Router => {
                if self.router_wake.is_some_and(|at| at <= self.clock(world)) {
                    self.router_wake = None;
                }
                if self.router.next_wake().is_some_and(|at| at <= self.clock(world)) {
                    self.tell(world, Event::Tick);
                }
                self.arm(world);
            }
            Timer::RequestUnreachable(number) => self.request_unreachable(world, number),
            _ => {}
        }
    }

    /// Tells the router something, and does what it asks for.
    pub(crate) fn tell(&mut self, world: &mut World, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.clock(world), event, &mut actions);
        if self.router.has_urgent_report() && !self.urgent {
            self.urgent = true;
            self.arm_urgent(world);
        }
        if self.router.has_urgent_load_update() {
            self.tell_peers(world);
        }
        for action in actions {
            self.carry_out(world, action);
        }
        self.arm(world);
    }

    /// Tells the other edges what has changed, in a datagram to each.
    fn tell_peers(&mut self, world: &mut World) {
        for news in self.router.take_load_update(self.clock(world)) {
            for datagram in self.datagrams.encode(&news) {
                for edge in news.to.iter() {
                    world.send(self.node(), *edge, Message::Loads(datagram.clone()));
                }
            }
        }
    }

    fn arm(&mut self, world: &mut World) {
        let Some(next) = self.router.next_wake() else { return };
        if self.router_wake.is_none_or(|armed| next < armed) {
            self.router_wake = Some(next);
            world.wake(self.node(), self.started + next, Timer::Router);
        }
    }

    // ---- Polls -----------------------------------------------------------------------------------------

    fn poll(&mut self, world: &mut World) {
        let Some(coordinator) = self.coordinators.choose() else {
            let pause = world.between(ROUND_PAUSE);
            return world.wake(self.node(), world.now + pause, Timer::PollRound);
        };
        self.gather_report(world);
        let number = world.number();
        let known = self.connected.take() == Some(coordinator);
        let sent = known || world.network.can_connect(self.node(), coordinator);
        self.polling = Some(Polling { number, coordinator, begun: world.now, sent });
        if !sent {
            return world.wake(self.node(), world.now + CONNECT_TIMEOUT, Timer::PollLate(number));
        }
        let frame = frame::encode(&EdgeRequest::Poll(self.poll_request()));
        let call = Call::Poll { edge: self.identity.clone(), frame };
        world.send(self.node(), coordinator, Message::Call { number, call });
        let patience = self.poll_timeouts.response_timeout().as_millis() as Millis;
        world.wake(self.node(), world.now + patience, Timer::PollLate(number));
        self.arm_urgent(world);
    }

    fn poll_request(&self) -> PollRequest {
        PollRequest {
            config_version: if self.wants_whole { 0 } else { self.view.version },
            cursor: self.cursor,
            max_wait_ms: self.poll_timeouts.max_wait.as_millis() as u32,
            demand: self.demand.clone(),
            server_outcomes: self.observed.clone(),
            edge_list_hash: self.edge_list,
        }
    }

    fn poll_answered(&mut self, world: &mut World, number: CallNumber, frame: &[u8]) {
        let Some(polling) = self.polling.take_if(|polling| polling.number == number) else { return };
        let reply: PollResponse = decode(frame);
        self.demand.clear();
        self.observed.clear();
        if reply.isolated {
            // It may know of others that the settings do not name.
            if self.view.version == 0 {
                self.coordinators.learn(reply.coordinators);
            }
            self.coordinators.failed();
            return world.wake(self.node(), world.now, Timer::PollStep);
        }
        self.connected = Some(polling.coordinator);
        self.coordinators.succeeded();
        self.take_over(world, reply);
        world.wake(self.node(), world.now.max(polling.begun + LEAST_SPACING), Timer::PollStep);
    }

    fn poll_failed(&mut self, world: &mut World) {
        let Some(polling) = self.polling.take() else { return };
        if polling.sent {
            world.send(self.node(), polling.coordinator, Message::Closed { number: polling.number });
        }
        self.coordinators.failed();
        world.wake(self.node(), world.now, Timer::PollStep);
    }

    /// Reports that have not reached a coordinator are sent again, before new ones are made.
    fn gather_report(&mut self, world: &World) {
        let now = self.clock(world);
        let is_due = self.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if is_due && self.demand.is_empty() && self.observed.is_empty() {
            self.reported_at = Some(now);
            (self.demand, self.observed) = self.router.take_report(now);
        }
    }

    fn arm_urgent(&self, world: &mut World) {
        if self.urgent && self.polling.is_some_and(|polling| polling.sent) {
            world.wake(self.node(), world.now + URGENT_DELAY, Timer::UrgentReport);
        }
    }

    fn report_urgently(&mut self, world: &mut World) {
        let Some(polling) = self.polling.filter(|polling| polling.sent && self.urgent) else { return };
        self.urgent = false;
        let (demand, seen) = self.router.take_report(self.clock(world));
        self.observed.extend(seen);
        let frame = frame::encode(&EdgeRequest::Report { demand });
        world.send(
            self.node(),
            polling.coordinator,
            Message::EdgeReport { edge: self.identity.clone(), frame },
        );
    }

    fn take_over(&mut self, world: &mut World, reply: PollResponse) {
        self.coordinators.learn(reply.coordinators);
        if let Some(news) = reply.config {
            self.take_configuration(world, &news);
        }
        self.cursor = reply.cursor;
        if reply.complete || !reply.servers.is_empty() {
            self.tell(world, Event::ServersUpdated { records: reply.servers, complete: reply.complete });
        }
        if let Some(nodes) = reply.edge_nodes {
            self.edge_list = reply.edge_list_hash;
            self.tell(world, Event::EdgesUpdated { own: self.node(), edges: nodes });
        }
        if reply.edge_count > 0 && reply.edge_count != self.edges {
            self.edges = reply.edge_count;
            self.tell(world, Event::EdgeCountUpdated(reply.edge_count));
        }
    }

    fn take_configuration(&mut self, world: &mut World, news: &ConfigUpdate) {
        if news.version <= self.view.version {
            // An older coordinator, or the whole configuration that we have.
            self.wants_whole = false;
            return;
        }
        let mut view = View::clone(&self.view);
        match view.apply(news) {
            Ok(()) => {
                self.wants_whole = false;
                let (version, change) = (view.version, site::marked_in_view(&view));
                world.witness.in_force(world.now, self.node(), self.identity.incarnation, version, change);
                self.view = Arc::new(view);
                let view = Arc::clone(&self.view);
                self.tell(world, Event::ConfigurationUpdated(view));
            }
            Err(_) => self.wants_whole = true,
        }
    }
}
