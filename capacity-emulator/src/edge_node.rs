//! An edge: the production router, polls as the production poller makes them, and counts of what both cost.

mod client_requests;
mod load_updates;
mod polling;

use std::sync::Arc;

use shaletrail_configuration::View;
use shaletrail_dataplane::load_datagrams::LoadDatagramEncoder;
use shaletrail_protocol::{Incarnation, Millis};
use shaletrail_routing::interface::{Action, Event};
use shaletrail_routing::Router;

pub use self::client_requests::ClientRequests;
use self::load_updates::LOAD_UPDATE_INTERVAL_MS;
use self::polling::Poller;
use crate::activity::Activity;
use crate::cpu_timer::CpuTimer;
use crate::deployment;
use crate::environment::Environment;
use crate::events::{EdgeEvent, ScheduledEvent};
use crate::usage::ResourceUsage;

/// The state by which an edge routes requests.
pub struct RoutingState {
    /// The production router.
    pub router: Router,
    /// The configuration in force.
    pub view: Arc<View>,
}

/// A machine with an edge's process.
pub struct EdgeNode {
    index: usize,
    incarnation: u64,
    /// `None` in an edge without a router, which only polls.
    routing: Option<RoutingState>,
    /// Requests of its clients.
    pub requests: ClientRequests,
    poller: Poller,
    datagrams: LoadDatagramEncoder,
    /// The earliest scheduled call of the router.
    router_wake_at: Option<Millis>,
    /// What it has used since the counts were last set to zero.
    pub usage: ResourceUsage,
}

impl EdgeNode {
    /// A machine whose process does not run yet.
    pub fn new(index: usize) -> Self {
        EdgeNode {
            index,
            incarnation: 0,
            routing: None,
            requests: ClientRequests::default(),
            poller: Poller::new(index, Vec::new()),
            datagrams: LoadDatagramEncoder::new(deployment::edge_node(index), Incarnation(0)),
            router_wake_at: None,
            usage: ResourceUsage::default(),
        }
    }

    /// Starts or restarts the process, which has no state but the counts of its usage.
    pub fn start(&mut self, environment: &mut Environment) {
        let usage = std::mem::take(&mut self.usage);
        *self = EdgeNode::new(self.index);
        self.usage = usage;
        self.incarnation = environment.start_edge(self.index);
        self.datagrams =
            LoadDatagramEncoder::new(deployment::edge_node(self.index), Incarnation(self.incarnation));
        self.poller = Poller::new(self.index, environment.seeds());
        if self.index < environment.options.routing_edges {
            let router = Router::new(shaletrail_routing::Options::default(), environment.scheduler.next_id());
            self.routing = Some(RoutingState { router, view: Arc::default() });
            self.schedule_event(environment, 0, EdgeEvent::SendLoadUpdates);
            self.schedule_client_request(environment);
        }
        self.schedule_event(environment, 0, EdgeEvent::Poll);
    }

    /// Its routing state; `None` in an edge without a router.
    pub fn routing(&self) -> Option<&RoutingState> {
        self.routing.as_ref()
    }

    /// Takes its routing state out, so that its memory can be freed and counted.
    pub fn take_routing(&mut self) -> Option<RoutingState> {
        self.routing.take()
    }

    /// The version of the configuration in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.poller.config_version()
    }

    /// When it last received a response to a poll from a coordinator that was not isolated.
    pub fn last_response_at(&self) -> Option<Millis> {
        self.poller.last_response_at()
    }

    /// Handles an event.
    pub fn handle(&mut self, environment: &mut Environment, event: EdgeEvent) {
        match event {
            EdgeEvent::Poll => self.poll_unless_pending(environment),
            EdgeEvent::RetryCoordinators => self.retry_coordinators(environment),
            EdgeEvent::PollResponse { poll, frame } => self.on_poll_response(environment, poll, &frame),
            EdgeEvent::PollFailed(poll) => self.on_poll_failed(environment, poll),
            EdgeEvent::SendUrgentReport => self.send_urgent_report(environment),
            EdgeEvent::SendLoadUpdates => {
                self.send_load_updates(environment);
                self.schedule_event(environment, LOAD_UPDATE_INTERVAL_MS, EdgeEvent::SendLoadUpdates);
            }
            EdgeEvent::LoadDatagram(datagram) => self.on_load_datagram(environment, &datagram),
            EdgeEvent::RouterWake => self.on_router_wake(environment),
            EdgeEvent::ClientRequest => {
                self.schedule_client_request(environment);
                self.on_client_request(environment);
            }
            EdgeEvent::ServerResponse { request, attempt, server, status } => {
                self.on_server_response(environment, request, attempt, server, status);
            }
        }
    }

    fn on_router_wake(&mut self, environment: &mut Environment) {
        self.router_wake_at = None;
        let now = environment.scheduler.now;
        let is_due = |routing: &RoutingState| routing.router.next_wake().is_some_and(|at| at <= now);
        if self.routing.as_ref().is_some_and(is_due) {
            self.dispatch(environment, Activity::ClientRequest, Event::Tick);
        }
        self.schedule_router_wake(environment);
    }

    fn schedule_event(&self, environment: &mut Environment, delay: Millis, event: EdgeEvent) {
        environment
            .scheduler
            .schedule_after(delay, ScheduledEvent::Edge(self.index, self.incarnation, event));
    }

    fn schedule_client_request(&self, environment: &mut Environment) {
        if let Some(interval) = environment.scheduler.sample_interval(environment.options.request_rate) {
            self.schedule_event(environment, interval, EdgeEvent::ClientRequest);
        }
    }

    /// Gives the router an event, counts its processor time and executes its actions.
    fn dispatch(&mut self, environment: &mut Environment, activity: Activity, event: Event) {
        let Some(routing) = &mut self.routing else { return };
        let mut actions: Vec<Action> = Vec::new();
        let timer = CpuTimer::start();
        routing.router.handle(environment.scheduler.now, event, &mut actions);
        self.usage.record_cpu(activity, timer.elapsed());
        if routing.router.has_urgent_report() {
            self.request_urgent_report(environment);
        }
        let has_urgent_update = |routing: &RoutingState| routing.router.has_urgent_load_update();
        if self.routing.as_ref().is_some_and(has_urgent_update) {
            self.send_load_updates(environment);
        }
        for action in actions {
            self.execute(environment, action);
        }
        self.schedule_router_wake(environment);
    }

    fn schedule_router_wake(&mut self, environment: &mut Environment) {
        let Some(next) = self.routing.as_ref().and_then(|routing| routing.router.next_wake()) else {
            return;
        };
        if self.router_wake_at.is_none_or(|scheduled| next < scheduled) {
            self.router_wake_at = Some(next);
            self.schedule_event(
                environment,
                next.saturating_sub(environment.scheduler.now),
                EdgeEvent::RouterWake,
            );
        }
    }
}
