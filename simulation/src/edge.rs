//! An edge's simulated process: the production router, and polls of coordinators as the production poller makes them.

mod requests;

use std::sync::Arc;

use rand::Rng;
use shaletrail_configuration::View;
use shaletrail_dataplane::coordinator_selector::CoordinatorSelector;
use shaletrail_dataplane::load_datagrams::LoadDatagramEncoder;
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

use self::requests::Requests;
use crate::fixtures;
use crate::message::{decode, Call, CallNumber, Message, Response};
use crate::world::{Timer, World};

/// Time-out of a connection to a coordinator, as in the poller, in milliseconds.
const CONNECT_TIMEOUT: Millis = 300;
/// Least time between the starts of two successful polls, as in the poller, in milliseconds.
const MIN_POLL_SPACING: Millis = 20;
/// Least time between two reports, as in the poller, in milliseconds.
const REPORT_INTERVAL: Millis = 250;
/// How long an urgent report waits so that others can be batched with it, as in the poller, in milliseconds.
const URGENT_DELAY: Millis = 5;
/// Backoff after all coordinators have failed, as in the poller, in milliseconds.
const POLL_BACKOFF: std::ops::RangeInclusive<u64> = 100..=300;

/// Interval of load reports to the other edges, as in the data plane, in milliseconds.
const LOAD_GOSSIP_INTERVAL: Millis = 100;

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightPoll {
    number: CallNumber,
    coordinator: NodeId,
    started_at: Millis,
    /// Whether it has been sent; otherwise its connection can't be established.
    sent: bool,
}

/// An edge's simulated process: the production router, its polls and its requests in flight.
pub struct Edge {
    identity: EdgeIdentity,
    pub(crate) router: Router,
    requests: Requests,
    view: Arc<View>,
    started: Millis,
    poll_timeouts: PollTimeouts,
    coordinators: CoordinatorSelector,
    connected: Option<NodeId>,
    in_flight_poll: Option<InFlightPoll>,
    cursor: DirectoryCursor,
    wants_full_config: bool,
    edge_count: u32,
    edge_list_hash: u64,
    datagrams: LoadDatagramEncoder,
    demand: Vec<Demand>,
    server_outcomes: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    urgent_report_pending: bool,
    router_wake: Option<Millis>,
}

impl Edge {
    /// Starts a process without a configuration.
    pub fn start(settings: &Settings, world: &mut World) -> Self {
        let incarnation = Incarnation(world.random_range(1..=u64::MAX));
        let node = settings.node();
        let seed = world.rng.random();
        world.wake(node, world.now, Timer::PollNext);
        world.wake(node, world.now, Timer::LoadGossip);
        Edge {
            identity: EdgeIdentity { node, incarnation, zone: settings.zone.clone() },
            router: Router::new(Options::within(&settings.bounds), seed),
            requests: Requests::default(),
            view: Arc::default(),
            started: world.now,
            poll_timeouts: PollTimeouts::from_bounds(settings.bounds.convergence, settings.bounds.drain),
            coordinators: CoordinatorSelector::new(node, settings.seed_nodes()),
            connected: None,
            in_flight_poll: None,
            cursor: DirectoryCursor::default(),
            wants_full_config: false,
            edge_count: 0,
            edge_list_hash: 0,
            datagrams: LoadDatagramEncoder::new(node, incarnation),
            demand: Vec::new(),
            server_outcomes: Vec::new(),
            reported_at: None,
            urgent_report_pending: false,
            router_wake: None,
        }
    }

    /// The machine's address.
    pub fn node(&self) -> NodeId {
        self.identity.node
    }

    /// The applied configuration.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// The production router, for tests that look for the cause of an observation.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The coordinator of the poll in flight.
    pub fn polled_coordinator(&self) -> Option<NodeId> {
        self.in_flight_poll.map(|in_flight_poll| in_flight_poll.coordinator)
    }

    /// Applies the seeds of a changed settings file.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.coordinators.set_seeds(seeds);
    }

    pub(crate) fn clock(&self, world: &World) -> Millis {
        world.now.saturating_sub(self.started)
    }

    /// Begins a graceful shutdown (SIGTERM) and notifies the coordinator that it polls.
    pub fn stop(&mut self, world: &mut World) {
        self.handle_event(world, Event::ShutdownRequested);
        if let Some(coordinator) = self.polled_coordinator() {
            let frame = frame::encode(&EdgeRequest::ShutdownNotice);
            world.send(self.node(), coordinator, Message::EdgeReport { edge: self.identity.clone(), frame });
        }
    }

    /// Ends the process abruptly: its poll and its requests are cancelled.
    pub fn kill(self, world: &mut World) {
        if let Some(in_flight_poll) = self.in_flight_poll.filter(|in_flight_poll| in_flight_poll.sent) {
            world.send(
                self.identity.node,
                in_flight_poll.coordinator,
                Message::Cancelled { number: in_flight_poll.number },
            );
        }
        self.requests.cancel_all(self.identity.node, world);
    }

    /// Handles a message from the network.
    pub fn receive(&mut self, world: &mut World, message: Message) {
        match message {
            Message::Response { number, response: Response::Poll(frame) } => {
                self.poll_answered(world, number, &frame)
            }
            Message::Response { number, response: Response::Request { status, instance } } => {
                self.request_answered(world, number, status, instance);
            }
            Message::LoadReport(datagram) => {
                let loads: EdgeLoadReport =
                    bitcode::decode(&datagram).expect("a datagram of an edge is read");
                self.handle_event(
                    world,
                    Event::PeerLoads { edge: loads.edge, scope: loads.scope, loads: loads.loads },
                );
            }
            Message::ConnectionFailed { number, accepted } => {
                if self.in_flight_poll.is_some_and(|in_flight_poll| in_flight_poll.number == number) {
                    self.poll_failed(world);
                } else {
                    self.request_refused(world, number, accepted);
                }
            }
            _ => {}
        }
    }

    /// Handles a timer that has expired. `seeds` are those that the settings file names now.
    pub fn wake(&mut self, world: &mut World, timer: Timer, seeds: &[NodeId]) {
        match timer {
            Timer::PollNext if self.in_flight_poll.is_none() => self.poll(world),
            Timer::PollBackoff if self.in_flight_poll.is_none() => {
                self.coordinators.set_seeds(seeds.to_vec());
                self.coordinators.begin_round();
                self.poll(world);
            }
            Timer::PollTimeout(number)
                if self.in_flight_poll.is_some_and(|in_flight_poll| in_flight_poll.number == number) =>
            {
                self.poll_failed(world);
            }
            Timer::LoadGossip => {
                self.gossip_loads(world);
                world.wake(self.node(), world.now + LOAD_GOSSIP_INTERVAL, Timer::LoadGossip);
            }
            Timer::UrgentReport => self.send_urgent_report(world),
            Timer::RouterWake => {
                if self.router_wake.is_some_and(|at| at <= self.clock(world)) {
                    self.router_wake = None;
                }
                if self.router.next_wake().is_some_and(|at| at <= self.clock(world)) {
                    self.handle_event(world, Event::Tick);
                }
                self.schedule_router_wake(world);
            }
            Timer::ConnectTimeout(number) => self.request_unreachable(world, number),
            _ => {}
        }
    }

    /// Hands an event to the router and executes the actions that it returns.
    pub(crate) fn handle_event(&mut self, world: &mut World, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.clock(world), event, &mut actions);
        if self.router.has_urgent_report() && !self.urgent_report_pending {
            self.urgent_report_pending = true;
            self.schedule_urgent_report(world);
        }
        if self.router.has_urgent_load_update() {
            self.gossip_loads(world);
        }
        for action in actions {
            self.execute(world, action);
        }
        self.schedule_router_wake(world);
    }

    /// Sends changed loads to the other edges, in a datagram to each.
    fn gossip_loads(&mut self, world: &mut World) {
        for update in self.router.take_load_updates(self.clock(world)) {
            for datagram in self.datagrams.encode(&update) {
                for edge in update.to.iter() {
                    world.send(self.node(), *edge, Message::LoadReport(datagram.clone()));
                }
            }
        }
    }

    fn schedule_router_wake(&mut self, world: &mut World) {
        let Some(next) = self.router.next_wake() else { return };
        if self.router_wake.is_none_or(|armed| next < armed) {
            self.router_wake = Some(next);
            world.wake(self.node(), self.started + next, Timer::RouterWake);
        }
    }

    // ---- Polls -----------------------------------------------------------------------------------------

    fn poll(&mut self, world: &mut World) {
        let Some(coordinator) = self.coordinators.choose() else {
            let pause = world.random_range(POLL_BACKOFF);
            return world.wake(self.node(), world.now + pause, Timer::PollBackoff);
        };
        self.collect_report(world);
        let number = world.next_id();
        let known = self.connected.take() == Some(coordinator);
        let sent = known || world.network.can_connect(self.node(), coordinator);
        self.in_flight_poll = Some(InFlightPoll { number, coordinator, started_at: world.now, sent });
        if !sent {
            return world.wake(self.node(), world.now + CONNECT_TIMEOUT, Timer::PollTimeout(number));
        }
        let frame = frame::encode(&EdgeRequest::Poll(self.poll_request()));
        let call = Call::Poll { edge: self.identity.clone(), frame };
        world.send(self.node(), coordinator, Message::Call { number, call });
        let response_timeout = self.poll_timeouts.response_timeout().as_millis() as Millis;
        world.wake(self.node(), world.now + response_timeout, Timer::PollTimeout(number));
        self.schedule_urgent_report(world);
    }

    fn poll_request(&self) -> PollRequest {
        PollRequest {
            config_version: if self.wants_full_config { 0 } else { self.view.version },
            cursor: self.cursor,
            max_wait_ms: self.poll_timeouts.max_wait.as_millis() as u32,
            demand: self.demand.clone(),
            server_outcomes: self.server_outcomes.clone(),
            edge_list_hash: self.edge_list_hash,
        }
    }

    fn poll_answered(&mut self, world: &mut World, number: CallNumber, frame: &[u8]) {
        let Some(in_flight_poll) =
            self.in_flight_poll.take_if(|in_flight_poll| in_flight_poll.number == number)
        else {
            return;
        };
        let response: PollResponse = decode(frame);
        self.demand.clear();
        self.server_outcomes.clear();
        if response.isolated {
            // It may know coordinators that the settings don't name.
            if self.view.version == 0 {
                self.coordinators.learn(response.coordinators);
            }
            self.coordinators.record_failure();
            return world.wake(self.node(), world.now, Timer::PollNext);
        }
        self.connected = Some(in_flight_poll.coordinator);
        self.coordinators.record_success();
        let polled_at = in_flight_poll.started_at.saturating_sub(self.started);
        self.handle_event(world, Event::BudgetShareRenewed { polled_at });
        self.apply_response(world, response);
        world.wake(self.node(), world.now.max(in_flight_poll.started_at + MIN_POLL_SPACING), Timer::PollNext);
    }

    fn poll_failed(&mut self, world: &mut World) {
        let Some(in_flight_poll) = self.in_flight_poll.take() else { return };
        if in_flight_poll.sent {
            world.send(
                self.node(),
                in_flight_poll.coordinator,
                Message::Cancelled { number: in_flight_poll.number },
            );
        }
        self.coordinators.record_failure();
        world.wake(self.node(), world.now, Timer::PollNext);
    }

    /// Collects a new report when one is due; a report that has not reached a coordinator is resent first.
    fn collect_report(&mut self, world: &World) {
        let now = self.clock(world);
        let is_due = self.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if is_due && self.demand.is_empty() && self.server_outcomes.is_empty() {
            self.reported_at = Some(now);
            (self.demand, self.server_outcomes) = self.router.take_report(now);
        }
    }

    fn schedule_urgent_report(&self, world: &mut World) {
        if self.urgent_report_pending && self.in_flight_poll.is_some_and(|in_flight_poll| in_flight_poll.sent)
        {
            world.wake(self.node(), world.now + URGENT_DELAY, Timer::UrgentReport);
        }
    }

    fn send_urgent_report(&mut self, world: &mut World) {
        let Some(in_flight_poll) =
            self.in_flight_poll.filter(|in_flight_poll| in_flight_poll.sent && self.urgent_report_pending)
        else {
            return;
        };
        self.urgent_report_pending = false;
        let (demand, server_outcomes) = self.router.take_report(self.clock(world));
        self.server_outcomes.extend(server_outcomes);
        let frame = frame::encode(&EdgeRequest::Report { demand });
        world.send(
            self.node(),
            in_flight_poll.coordinator,
            Message::EdgeReport { edge: self.identity.clone(), frame },
        );
    }

    fn apply_response(&mut self, world: &mut World, response: PollResponse) {
        self.coordinators.learn(response.coordinators);
        if let Some(update) = response.config {
            self.apply_config(world, &update);
        }
        self.cursor = response.cursor;
        if response.complete || !response.servers.is_empty() {
            self.handle_event(
                world,
                Event::ServersUpdated { records: response.servers, complete: response.complete },
            );
        }
        if let Some(nodes) = response.edge_nodes {
            self.edge_list_hash = response.edge_list_hash;
            self.handle_event(world, Event::EdgesUpdated { own: self.node(), edges: nodes });
        }
        if response.edge_count > 0 && response.edge_count != self.edge_count {
            self.edge_count = response.edge_count;
            self.handle_event(world, Event::EdgeCountUpdated(response.edge_count));
        }
    }

    fn apply_config(&mut self, world: &mut World, update: &ConfigUpdate) {
        if update.version <= self.view.version {
            // A response of an older coordinator, or the full configuration that is applied already.
            self.wants_full_config = false;
            return;
        }
        let mut view = View::clone(&self.view);
        match view.apply(update) {
            Ok(()) => {
                self.wants_full_config = false;
                let (version, change) = (view.version, fixtures::change_in_view(&view));
                world.observer.config_applied(
                    world.now,
                    self.node(),
                    self.identity.incarnation,
                    version,
                    change,
                );
                self.view = Arc::new(view);
                let view = Arc::clone(&self.view);
                self.handle_event(world, Event::ConfigurationUpdated(view));
            }
            Err(_) => self.wants_full_config = true,
        }
    }
}
