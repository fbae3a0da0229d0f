//! Long polls of a coordinator. A poll reports demand and the outcomes of attempts at servers; its response
//! brings configuration updates, the directory of servers and the list of edges.

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

use crate::coordinator_connection::{
    CoordinatorConnection, NoQuorumContactSnafu, PollError, CONNECT_TIMEOUT,
};
use crate::coordinator_selector::CoordinatorSelector;
use crate::poll_timeouts::PollTimeouts;
use crate::state::State;

/// Minimum time between the starts of two successful polls, so that updates in quick succession share a
/// response.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between reports of demand and outcomes.
const REPORT_INTERVAL_MS: Millis = 250;
/// Range of the random pause after all coordinators have failed.
const ROUND_BACKOFF_MS: RangeInclusive<u64> = 100..=300;

/// Polls a coordinator, and changes to another one when it fails.
pub struct Poller {
    state: Rc<State>,
    settings_path: PathBuf,
    identity: EdgeIdentity,
    port: u16,
    timeouts: PollTimeouts,
    coordinators: CoordinatorSelector,
    connection: Option<CoordinatorConnection>,
    cursor: DirectoryCursor,
    /// Set when an update could not be applied: the next poll requests the complete configuration.
    needs_full_config: bool,
    edge_count: u32,
    edge_list_hash: u64,
    /// Demand that no coordinator has received yet.
    demand: Vec<Demand>,
    /// Outcomes of attempts at servers that no coordinator has received yet.
    server_outcomes: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    random: Pcg64,
}

impl Poller {
    /// Creates a poller with a random incarnation. It connects to no coordinator until it runs.
    pub fn new(state: Rc<State>, settings: &Settings, settings_path: PathBuf, mut random: Pcg64) -> Self {
        let incarnation = Incarnation(random.random());
        let identity = EdgeIdentity { node: settings.node(), incarnation, zone: settings.zone.clone() };
        Poller {
            state,
            settings_path,
            identity,
            port: settings.internal_port(),
            timeouts: PollTimeouts::from_bounds(settings.bounds.convergence, settings.bounds.drain),
            coordinators: CoordinatorSelector::new(settings.node(), settings.seed_nodes()),
            connection: None,
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

    /// Reads the settings file again and adopts its seeds; the other settings are not reloaded.
    pub fn reload(&mut self) {
        match Settings::read(&self.settings_path) {
            Ok(settings) => self.coordinators.set_seeds(settings.seed_nodes()),
            Err(error) => slog::warn!(self.state.log, "failed to reload settings"; "error" => %error),
        }
    }

    /// Polls once, or backs off if all coordinators have failed. Cancel-safe: dropping the future abandons
    /// the poll in flight and closes its connection.
    pub async fn step(&mut self) {
        let Some(coordinator) = self.coordinators.choose() else { return self.back_off().await };
        let started_at = Instant::now();
        let polled_at = self.state.clock.now();
        match self.poll(coordinator).await {
            Ok(response) => {
                self.coordinators.record_success();
                self.state.handle(Event::BudgetShareRenewed { polled_at });
                self.apply_response(response);
                tokio::time::sleep_until(started_at + MIN_POLL_INTERVAL).await;
            }
            Err(error) => {
                slog::info!(self.state.log, "failed to poll coordinator";
                    "coordinator" => %coordinator, "error" => %error);
                self.coordinators.record_failure();
            }
        }
    }

    /// Tells the current coordinator that this edge is shutting down.
    pub async fn send_shutdown_notice(&mut self) {
        // The current connection may have a poll in flight, so the notice is sent on a new one.
        self.connection = None;
        let Some(coordinator) = self.coordinators.choose() else { return };
        let notice = async { self.connection_to(coordinator).await?.send_shutdown_notice().await };
        if !matches!(timeout(CONNECT_TIMEOUT, notice).await, Ok(Ok(()))) {
            slog::debug!(self.state.log, "failed to send shutdown notice to coordinator");
        }
    }

    /// Pauses after all coordinators have failed, then begins a new round.
    async fn back_off(&mut self) {
        let backoff_ms = self.random.random_range(ROUND_BACKOFF_MS);
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        // The settings file may have changed without a SIGHUP.
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
        // The connection is kept only after a complete response, so that none is reused in the middle of one.
        let mut connection = self.connection_to(coordinator).await?;
        let (response, server_outcomes) = connection.poll(&self.state, &request, self.timeouts).await?;
        self.demand.clear();
        self.server_outcomes = server_outcomes;
        if response.isolated {
            // The response is not applied, but it may name coordinators that the settings do not.
            if self.state.view().version == 0 {
                self.coordinators.learn(response.coordinators);
            }
            return NoQuorumContactSnafu.fail();
        }
        self.connection = Some(connection);
        Ok(response)
    }

    /// Takes the current connection if it leads to this coordinator; otherwise opens a new one.
    async fn connection_to(&mut self, coordinator: NodeId) -> Result<CoordinatorConnection, PollError> {
        match self.connection.take().filter(|connection| connection.node == coordinator) {
            Some(connection) => Ok(connection),
            None => CoordinatorConnection::connect(&self.state, coordinator, self.port, &self.identity).await,
        }
    }

    /// Takes a new report from the router, unless an earlier one has not reached a coordinator and is to be
    /// sent again.
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

    /// Passes a changed list of edges to the router, which decides which edges get load reports.
    fn apply_edge_list(&mut self, nodes: Option<Vec<NodeId>>, hash: u64) {
        if let Some(edges) = nodes {
            self.state.handle(Event::EdgesUpdated { own: self.identity.node, edges });
            self.edge_list_hash = hash;
        }
    }

    fn apply_config_update(&mut self, update: &ConfigUpdate) {
        let current = self.state.view();
        if update.version <= current.version {
            // The coordinator lags behind, or it sent the complete configuration that is already in force.
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
