//! Long polls of a coordinator: configuration, servers and the number of edges come in, demand and the outcomes of
//! servers go out.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_configuration::ConfigView;
use shaletrail_protocol::internal::{
    ConfigUpdate, Demand, DirectoryCursor, EdgeIdentity, EdgeRequest, PollRequest, PollResponse,
    ServerOutcomes,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_routing::interface::Event;
use tokio::time::{timeout, Instant};

use crate::coordinator_link::{CoordinatorLink, NoQuorumContactSnafu, PollError, CONNECT_TIMEOUT};
use crate::coordinators::Coordinators;
use crate::poll_timeouts::PollTimeouts;
use crate::state::State;

/// The least time between the starts of two polls that succeeded: updates that come faster travel together.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The least time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 250;
/// The shortest and longest pause after all coordinators have failed, in milliseconds.
const ROUND_BACKOFF_MS: RangeInclusive<u64> = 100..=300;

/// Polls one coordinator after the other.
pub struct Poller {
    state: Rc<State>,
    settings_path: PathBuf,
    identity: EdgeIdentity,
    port: u16,
    timeouts: PollTimeouts,
    coordinators: Coordinators,
    link: Option<CoordinatorLink>,
    cursor: DirectoryCursor,
    /// An update could not be applied, so that the complete configuration is requested.
    needs_full_config: bool,
    edge_count: u32,
    edge_list_hash: u64,
    /// Demand that has not reached a coordinator.
    demand: Vec<Demand>,
    /// Outcomes of servers that have not reached a coordinator.
    server_outcomes: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    random: Pcg64,
}

impl Poller {
    /// A poller that has polled no coordinator yet.
    pub fn new(state: Rc<State>, settings: &Settings, settings_path: PathBuf, mut random: Pcg64) -> Self {
        let incarnation = Incarnation(random.random());
        let identity = EdgeIdentity { node: settings.node(), incarnation, zone: settings.zone.clone() };
        Poller {
            state,
            settings_path,
            identity,
            port: settings.internal_port(),
            timeouts: PollTimeouts::within(settings.bounds.convergence, settings.bounds.drain),
            coordinators: Coordinators::new(settings.node(), settings.seed_nodes()),
            link: None,
            cursor: DirectoryCursor::default(),
            needs_full_config: false,
            edge_count: 0,
            edge_list_hash: 0,
            demand: Vec::new(),
            server_outcomes: Vec::new(),
            reported_at: None,
            random,
        }
    }

    /// Adopts the seeds of the settings file as it is now.
    pub fn reload(&mut self) {
        match Settings::read(&self.settings_path) {
            Ok(settings) => self.coordinators.set_seeds(settings.seed_nodes()),
            Err(error) => slog::warn!(self.state.log, "failed to reload settings"; "error" => %error),
        }
    }

    /// Polls once, or pauses where all coordinators have failed. May be dropped at any point: a poll in flight is
    /// abandoned with its connection.
    pub async fn step(&mut self) {
        let Some(coordinator) = self.coordinators.choose() else { return self.begin_round().await };
        let started_at = Instant::now();
        let polled_at = self.state.clock.now();
        match self.poll(coordinator).await {
            Ok(response) => {
                self.coordinators.succeeded();
                self.state.handle(Event::BudgetShareRenewed { polled_at });
                self.apply_response(response);
                tokio::time::sleep_until(started_at + MIN_POLL_INTERVAL).await;
            }
            Err(error) => {
                slog::info!(self.state.log, "failed to poll coordinator";
                    "coordinator" => %coordinator, "error" => %error);
                self.coordinators.failed();
            }
        }
    }

    /// Announces to the current coordinator that this edge is about to end.
    pub async fn send_shutdown_notice(&mut self) {
        // A poll may be in flight on the current connection.
        self.link = None;
        let Some(coordinator) = self.coordinators.choose() else { return };
        let notice = async { self.link_to(coordinator).await?.send_shutdown_notice().await };
        if !matches!(timeout(CONNECT_TIMEOUT, notice).await, Ok(Ok(()))) {
            slog::debug!(self.state.log, "failed to send shutdown notice to coordinator");
        }
    }

    /// All coordinators have failed: pauses before they are polled again.
    async fn begin_round(&mut self) {
        let backoff_ms = self.random.random_range(ROUND_BACKOFF_MS);
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        // The file may have changed without a signal.
        self.reload();
        self.coordinators.begin_round();
    }

    async fn poll(&mut self, coordinator: NodeId) -> Result<PollResponse, PollError> {
        self.collect_report();
        let request = EdgeRequest::Poll(PollRequest {
            config_version: if self.needs_full_config { 0 } else { self.state.view().version },
            cursor: self.cursor,
            max_wait_ms: u32::try_from(self.timeouts.max_wait.as_millis()).unwrap_or(u32::MAX),
            demand: self.demand.clone(),
            server_outcomes: self.server_outcomes.clone(),
            edge_list_hash: self.edge_list_hash,
        });
        // The link is put back only after a complete response, so that none is reused in the middle of one.
        let mut link = self.link_to(coordinator).await?;
        let (response, server_outcomes) = link.poll(&self.state, &request, self.timeouts).await?;
        self.demand.clear();
        self.server_outcomes = server_outcomes;
        if response.isolated {
            // It may know of coordinators that the settings do not name.
            if self.state.view().version == 0 {
                self.coordinators.learn(response.coordinators);
            }
            return NoQuorumContactSnafu.fail();
        }
        self.link = Some(link);
        Ok(response)
    }

    /// The current link, if it is to this coordinator, or a new one.
    async fn link_to(&mut self, coordinator: NodeId) -> Result<CoordinatorLink, PollError> {
        match self.link.take().filter(|link| link.node == coordinator) {
            Some(link) => Ok(link),
            None => CoordinatorLink::connect(&self.state, coordinator, self.port, &self.identity).await,
        }
    }

    /// Collects a new report, unless an earlier one has not reached a coordinator: that is sent again first.
    fn collect_report(&mut self) {
        let now = self.state.clock.now();
        let is_due = self.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL_MS);
        if is_due && self.demand.is_empty() && self.server_outcomes.is_empty() {
            self.reported_at = Some(now);
            (self.demand, self.server_outcomes) = self.state.with_router(|router| router.take_report(now));
        }
    }

    fn apply_response(&mut self, response: PollResponse) {
        self.coordinators.learn(response.coordinators);
        if let Some(update) = response.config {
            self.apply_config_update(&update);
        }
        self.cursor = response.cursor;
        if response.complete || !response.servers.is_empty() {
            self.state
                .handle(Event::ServersUpdated { records: response.servers, complete: response.complete });
        }
        self.apply_edge_list(response.edge_nodes, response.edge_list_hash);
        if response.edge_count > 0 && response.edge_count != self.edge_count {
            self.edge_count = response.edge_count;
            self.state.handle(Event::EdgeCountUpdated(response.edge_count));
        }
    }

    /// Adopts the list of edges, if there is a new one, for the load reports among them.
    fn apply_edge_list(&mut self, nodes: Option<Vec<NodeId>>, hash: u64) {
        if let Some(edges) = nodes {
            self.state.handle(Event::EdgesUpdated { own: self.identity.node, edges });
            self.edge_list_hash = hash;
        }
    }

    fn apply_config_update(&mut self, update: &ConfigUpdate) {
        let current = self.state.view();
        if update.version <= current.version {
            // From a coordinator that lags behind, or the complete configuration that is in force already.
            self.needs_full_config = false;
            return;
        }
        let mut view = ConfigView::clone(&current);
        match view.apply(update) {
            Ok(()) => {
                self.needs_full_config = false;
                slog::info!(self.state.log, "configuration applied"; "version" => view.version);
                self.state.set_view(Arc::new(view));
            }
            Err(error) => {
                self.needs_full_config = true;
                slog::warn!(self.state.log, "failed to apply configuration update";
                    "version" => update.version, "error" => %error);
            }
        }
    }
}
