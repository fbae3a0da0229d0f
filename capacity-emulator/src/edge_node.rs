//! An edge node: the production router and a model of the production poller, with counts of the resources they use.

mod client_requests;
mod load_updates;
mod polling;

use std::sync::Arc;

use shaletrail_configuration::ConfigView;
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

/// The state from which an edge routes requests.
pub struct RoutingState {
    /// The production router.
    pub router: Router,
    /// The configuration in force.
    pub view: Arc<ConfigView>,
}

/// A machine that runs an edge process.
pub struct EdgeNode {
    index: usize,
    incarnation: u64,
    /// `None` for an edge without a router, which only polls.
    routing: Option<RoutingState>,
    /// Requests of this edge's clients.
    pub requests: ClientRequests,
    poller: Poller,
    datagrams: LoadDatagramEncoder,
    /// The time of the earliest scheduled wake-up of the router.
    router_wake_at: Option<Millis>,
    /// Resources used since the counts were last reset.
    pub usage: ResourceUsage,
}

impl EdgeNode {
    /// A machine on which the process is not running yet.
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

    /// Starts or restarts the process. All state except the usage counts is reset.
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

    /// The routing state; `None` for an edge without a router.
    pub fn routing(&self) -> Option<&RoutingState> {
        self.routing.as_ref()
    }

    /// Removes and returns the routing state, so that its memory can be freed and measured.
    pub fn take_routing(&mut self) -> Option<RoutingState> {
        self.routing.take()
    }

    /// The version of the configuration in force; 0 if there is none yet.
    pub fn version(&self) -> u64 {
        self.poller.config_version()
    }

    /// When a coordinator that was not isolated last responded to a poll; `None` if none has.
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

    /// Passes an event to the router, records the CPU time used, and executes the resulting actions.
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
