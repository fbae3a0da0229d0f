//! Polls of the coordinators, as the production poller makes them, and the reports that go with them.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use shaletrail_configuration::View;
use shaletrail_dataplane::coordinator_selector::CoordinatorSelector;
use shaletrail_dataplane::poll_timeouts::PollTimeouts;
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{
    ConfigUpdate, Demand, DirectoryCursor, EdgeRequest, PollRequest, PollResponse, ServerOutcomes,
};
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_routing::interface::Event;

use super::EdgeNode;
use crate::activity::Activity;
use crate::cpu_timer::CpuTimer;
use crate::deployment;
use crate::environment::Environment;
use crate::events::{CoordinatorEvent, EdgeEvent, ScheduledEvent};
use crate::frames::decode;
use crate::topology::{latency, zone_of};

/// The shortest time between the starts of two polls that succeeded, as in the production poller.
const MIN_POLL_INTERVAL_MS: Millis = 20;
/// The shortest time between two reports, as in the production poller.
const REPORT_INTERVAL_MS: Millis = 250;
/// How long an urgent report waits for others to go with it, as in the production poller.
const URGENT_REPORT_DELAY_MS: Millis = 5;
/// The shortest and longest delay after all coordinators have failed, as in the production poller.
const RETRY_DELAY_MS: RangeInclusive<Millis> = 100..=300;
/// Within this time a configuration must be in force everywhere.
const CONFIG_CONVERGENCE: Duration = Duration::from_secs(19);
/// After this time no request may be sent to a server that leaves.
const SERVER_DRAIN: Duration = Duration::from_secs(2);
/// The id of a poll in a frame that is no poll.
const NO_POLL: u64 = 0;

/// The state of an edge's polls.
pub(super) struct Poller {
    timeouts: PollTimeouts,
    coordinators: CoordinatorSelector,
    pending_poll: Option<PendingPoll>,
    config_version: u64,
    /// Whether an update did not apply, so that the next poll asks for the complete configuration.
    needs_full_config: bool,
    cursor: DirectoryCursor,
    edge_count: u32,
    edge_list_hash: u64,
    /// Demand that has not reached a coordinator yet.
    demand: Vec<Demand>,
    /// Outcomes of requests that have not reached a coordinator yet.
    server_outcomes: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    urgent_report_pending: bool,
    last_response_at: Option<Millis>,
}

/// A poll that awaits its response.
#[derive(Clone, Copy, Debug)]
struct PendingPoll {
    id: u64,
    coordinator: usize,
    started_at: Millis,
}

impl Poller {
    /// A poller that knows the seeds and nothing else.
    pub fn new(edge: usize, seeds: Vec<NodeId>) -> Self {
        Poller {
            timeouts: PollTimeouts::from_bounds(CONFIG_CONVERGENCE, SERVER_DRAIN),
            coordinators: CoordinatorSelector::new(deployment::edge_node(edge), seeds),
            pending_poll: None,
            config_version: 0,
            needs_full_config: false,
            cursor: DirectoryCursor::default(),
            edge_count: 0,
            edge_list_hash: 0,
            demand: Vec::new(),
            server_outcomes: Vec::new(),
            reported_at: None,
            urgent_report_pending: false,
            last_response_at: None,
        }
    }

    /// The version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// When a coordinator that was not isolated last responded.
    pub fn last_response_at(&self) -> Option<Millis> {
        self.last_response_at
    }

    fn request(&self) -> PollRequest {
        PollRequest {
            config_version: if self.needs_full_config { 0 } else { self.config_version },
            cursor: self.cursor,
            max_wait_ms: self.timeouts.max_wait.as_millis() as u32,
            demand: self.demand.clone(),
            server_outcomes: self.server_outcomes.clone(),
            edge_list_hash: self.edge_list_hash,
        }
    }
}

impl EdgeNode {
    /// Polls, unless a poll is pending.
    pub(super) fn poll_unless_pending(&mut self, environment: &mut Environment) {
        if self.poller.pending_poll.is_none() {
            self.poll(environment);
        }
    }

    /// Polls again after all coordinators have failed.
    pub(super) fn retry_coordinators(&mut self, environment: &mut Environment) {
        self.poller.coordinators.set_seeds(environment.seeds());
        self.poller.coordinators.begin_round();
        self.poll(environment);
    }

    /// Schedules a report of the router's demand that does not wait for the next poll.
    pub(super) fn request_urgent_report(&mut self, environment: &mut Environment) {
        if !self.poller.urgent_report_pending {
            self.poller.urgent_report_pending = true;
            self.schedule_urgent_report(environment);
        }
    }

    fn poll(&mut self, environment: &mut Environment) {
        let Some(coordinator) = self.poller.coordinators.choose() else {
            let delay = environment.scheduler.rng.random_range(RETRY_DELAY_MS);
            return self.schedule_event(environment, delay, EdgeEvent::RetryCoordinators);
        };
        let timer = CpuTimer::start();
        self.gather_report(environment);
        let frame = frame::encode(&EdgeRequest::Poll(self.poller.request()));
        self.usage.record_cpu(Activity::Poll, timer.elapsed());
        let id = environment.scheduler.next_id();
        let coordinator = deployment::index_of(coordinator);
        self.poller.pending_poll =
            Some(PendingPoll { id, coordinator, started_at: environment.scheduler.now });
        let (here, there) = (zone_of(self.index), zone_of(coordinator));
        let Some(incarnation) = environment.running_coordinator(coordinator) else {
            // The connection is refused after one round trip.
            return self.schedule_event(environment, 2 * latency(here, there), EdgeEvent::PollFailed(id));
        };
        self.usage.record_sent(Activity::Poll, frame.len(), here != there);
        let event = CoordinatorEvent::EdgeFrame { edge: self.index, poll: id, frame };
        environment.scheduler.schedule_after(
            latency(here, there),
            ScheduledEvent::Coordinator(coordinator, incarnation, event),
        );
        let timeout = self.poller.timeouts.response_timeout().as_millis() as Millis;
        self.schedule_event(environment, timeout, EdgeEvent::PollFailed(id));
        self.schedule_urgent_report(environment);
    }

    /// Takes a new report from the router. A report that has not reached a coordinator yet is sent again instead.
    fn gather_report(&mut self, environment: &mut Environment) {
        let now = environment.scheduler.now;
        let is_due = self.poller.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL_MS);
        if !is_due || !self.poller.demand.is_empty() || !self.poller.server_outcomes.is_empty() {
            return;
        }
        self.poller.reported_at = Some(now);
        match &mut self.routing {
            Some(routing) => {
                (self.poller.demand, self.poller.server_outcomes) = routing.router.take_report(now);
                environment.record_report(self.index, &self.poller.demand, &self.poller.server_outcomes);
            }
            None => {
                let report = environment.recorded_report(self.index);
                self.poller.demand = report.demand;
                self.poller.server_outcomes = report.server_outcomes;
            }
        }
    }

    pub(super) fn on_poll_response(&mut self, environment: &mut Environment, poll: u64, frame: &[u8]) {
        let Some(pending_poll) = self.poller.pending_poll.take_if(|pending| pending.id == poll) else {
            return;
        };
        let timer = CpuTimer::start();
        let response = decode::<PollResponse>(frame);
        let cpu_time = timer.elapsed();
        let Some(response) = response else { return };
        let activity = Activity::of_poll_response(&response);
        self.usage.record_cpu(activity, cpu_time);
        self.usage.record_received(
            activity,
            frame.len(),
            zone_of(pending_poll.coordinator) != zone_of(self.index),
        );
        self.poller.demand.clear();
        self.poller.server_outcomes.clear();
        if response.isolated {
            // An edge that has no configuration takes what an isolated coordinator has, rather than serve nothing.
            if self.poller.config_version == 0 {
                self.apply_response(environment, activity, response);
            }
            self.poller.coordinators.record_failure();
            return self.schedule_event(environment, 0, EdgeEvent::Poll);
        }
        self.poller.last_response_at = Some(environment.scheduler.now);
        self.poller.coordinators.record_success();
        self.apply_response(environment, activity, response);
        let next = pending_poll.started_at + MIN_POLL_INTERVAL_MS;
        self.schedule_event(environment, next.saturating_sub(environment.scheduler.now), EdgeEvent::Poll);
    }

    pub(super) fn on_poll_failed(&mut self, environment: &mut Environment, poll: u64) {
        let Some(pending_poll) = self.poller.pending_poll.take_if(|pending| pending.id == poll) else {
            return;
        };
        if let Some(incarnation) = environment.running_coordinator(pending_poll.coordinator) {
            let delay = latency(zone_of(self.index), zone_of(pending_poll.coordinator));
            let event = CoordinatorEvent::PollCancelled(poll);
            environment.scheduler.schedule_after(
                delay,
                ScheduledEvent::Coordinator(pending_poll.coordinator, incarnation, event),
            );
        }
        self.poller.coordinators.record_failure();
        self.schedule_event(environment, 0, EdgeEvent::Poll);
    }

    fn schedule_urgent_report(&self, environment: &mut Environment) {
        if self.poller.urgent_report_pending && self.poller.pending_poll.is_some() {
            self.schedule_event(environment, URGENT_REPORT_DELAY_MS, EdgeEvent::SendUrgentReport);
        }
    }

    pub(super) fn send_urgent_report(&mut self, environment: &mut Environment) {
        if !self.poller.urgent_report_pending {
            return;
        }
        let Some(PendingPoll { coordinator, .. }) = self.poller.pending_poll else { return };
        let Some(routing) = &mut self.routing else { return };
        self.poller.urgent_report_pending = false;
        let timer = CpuTimer::start();
        let (demand, server_outcomes) = routing.router.take_report(environment.scheduler.now);
        self.poller.server_outcomes.extend(server_outcomes);
        let frame = frame::encode(&EdgeRequest::Report { demand });
        self.usage.record_cpu(Activity::DemandReport, timer.elapsed());
        let Some(incarnation) = environment.running_coordinator(coordinator) else { return };
        let (here, there) = (zone_of(self.index), zone_of(coordinator));
        self.usage.record_sent(Activity::DemandReport, frame.len(), here != there);
        let event = CoordinatorEvent::EdgeFrame { edge: self.index, poll: NO_POLL, frame };
        environment.scheduler.schedule_after(
            latency(here, there),
            ScheduledEvent::Coordinator(coordinator, incarnation, event),
        );
    }

    fn apply_response(&mut self, environment: &mut Environment, activity: Activity, response: PollResponse) {
        self.poller.coordinators.learn(response.coordinators);
        if let Some(update) = response.config {
            self.apply_config_update(environment, activity, &update);
        }
        self.poller.cursor = response.cursor;
        if response.complete || !response.servers.is_empty() {
            self.dispatch(
                environment,
                activity,
                Event::ServersUpdated { records: response.servers, complete: response.complete },
            );
        }
        if let Some(nodes) = response.edge_nodes {
            self.poller.edge_list_hash = response.edge_list_hash;
            let own = deployment::edge_node(self.index);
            self.dispatch(environment, activity, Event::EdgesUpdated { own, edges: nodes });
        }
        if response.edge_count > 0 && response.edge_count != self.poller.edge_count {
            self.poller.edge_count = response.edge_count;
            self.dispatch(environment, activity, Event::EdgeCountUpdated(response.edge_count));
        }
    }

    fn apply_config_update(
        &mut self,
        environment: &mut Environment,
        activity: Activity,
        update: &ConfigUpdate,
    ) {
        self.poller.needs_full_config = false;
        if update.version <= self.poller.config_version {
            return;
        }
        let Some(routing) = &mut self.routing else {
            self.poller.config_version = update.version;
            return;
        };
        let timer = CpuTimer::start();
        let mut view = View::clone(&routing.view);
        let applied = view.apply(update);
        self.usage.record_cpu(activity, timer.elapsed());
        if applied.is_err() {
            self.poller.needs_full_config = true;
            return;
        }
        self.poller.config_version = view.version;
        routing.view = Arc::new(view);
        let view = Arc::clone(&routing.view);
        self.dispatch(environment, activity, Event::ConfigurationUpdated(view));
    }
}
