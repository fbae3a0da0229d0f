//! The state of an edge's router. Events are passed to the modules that handle them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use shaletrail_configuration::View;
use shaletrail_protocol::internal::{Demand, ServerOutcomes};
use shaletrail_protocol::Millis;

use crate::counters::Counters;
use crate::interface::{Action, Event, LoadUpdate, NextWake, RequestId};
use crate::load_gossip::LoadGossip;
use crate::report::{take_server_outcomes, DemandTable};
use crate::request::{Phase, Request};
use crate::request_queue::RequestQueue;
use crate::server_pool::ServerPool;
use crate::server_table::ServerTable;
use crate::Options;

/// The request router of one edge, driven by events. See the crate documentation.
pub struct Router {
    pub(crate) options: Options,
    pub(crate) random: Pcg64Mcg,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) edge_count: u32,
    /// When this edge's share of the retry slack expires; `None` before the first poll was answered.
    pub(crate) budget_share_until: Option<Millis>,
    pub(crate) shutting_down: bool,
    pub(crate) servers: ServerTable,
    pub(crate) pools: BTreeMap<String, ServerPool>,
    pub(crate) requests: HashMap<RequestId, (Request, Phase)>,
    pub(crate) timers: BTreeSet<(Millis, RequestId)>,
    pub(crate) queue: RequestQueue,
    pub(crate) demand: DemandTable,
    pub(crate) counters: Counters,
    /// Whether a request was queued for a model since the last report.
    pub(crate) has_urgent_demand: bool,
    pub(crate) load_gossip: LoadGossip,
    /// Whether the load of this edge changed so much that it should be advertised immediately.
    pub(crate) has_urgent_load: bool,
}

impl Router {
    /// Creates a router without configuration and servers. Equal seeds and events give equal actions.
    pub fn new(options: Options, seed: u64) -> Self {
        Router {
            options,
            random: Pcg64Mcg::seed_from_u64(seed),
            view: None,
            edge_count: 0,
            budget_share_until: None,
            shutting_down: false,
            servers: ServerTable::default(),
            pools: BTreeMap::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            queue: RequestQueue::default(),
            demand: DemandTable::default(),
            counters: Counters::default(),
            has_urgent_demand: false,
            load_gossip: LoadGossip::default(),
            has_urgent_load: false,
        }
    }

    /// Handles an event. The actions to execute are appended to `actions` in order. `now` must never
    /// decrease.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ConfigurationUpdated(view) => self.on_configuration_updated(now, view, actions),
            Event::ServersUpdated { records, complete } => {
                self.on_servers_updated(now, records, complete, actions)
            }
            Event::EdgeCountUpdated(edge_count) => self.edge_count = edge_count,
            Event::BudgetShareRenewed { polled_at } => {
                let until = polled_at + self.options.retry_window_ms;
                self.budget_share_until = Some(self.budget_share_until.unwrap_or(until).max(until));
            }
            Event::EdgesUpdated { own, edges } => self.load_gossip.set_edges(own, &edges),
            Event::PeerLoads { edge, scope, loads } => self.load_gossip.receive(now, edge, scope, loads),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::RequestWritten(..) => {}
            Event::ResponseHead(id, attempt, load) => self.on_response_head(now, id, attempt, load),
            Event::FirstEvent(id, attempt) => self.on_first_event(now, id, attempt),
            Event::StreamStalled(id, attempt) => self.on_stream_stalled(now, id, attempt, actions),
            Event::AttemptEnded(id, attempt, outcome) => {
                self.on_attempt_ended(now, id, attempt, outcome, actions)
            }
            Event::RequestFinished(id) => self.on_request_finished(now, id, actions),
            Event::ShutdownRequested => self.on_shutdown_requested(now, actions),
            Event::Tick => self.on_tick(now, actions),
        }
    }

    /// When the next `Event::Tick` is due.
    pub fn next_wake(&self) -> NextWake {
        let timer = self.timers.first().map(|(at, _)| *at);
        let queue_retry = self.pools.values().filter_map(|pool| pool.queue_retry_at).min();
        [timer, queue_retry, self.servers.next_drop_at(&self.options)].into_iter().flatten().min()
    }

    /// Returns the demand and the attempt outcomes since the last report, and resets them.
    pub fn take_report(&mut self, _now: Millis) -> (Vec<Demand>, Vec<ServerOutcomes>) {
        self.has_urgent_demand = false;
        (self.demand.take(), take_server_outcomes(&mut self.servers))
    }

    /// Returns the load updates to send to other edges now, and records them as sent.
    pub fn take_load_updates(&mut self, now: Millis) -> Vec<LoadUpdate> {
        self.has_urgent_load = false;
        let options = &self.options;
        let own = self.servers.iter_mut().filter_map(|server| {
            let is_unresponsive = server.is_unresponsive(now, options);
            server.local_load.take_changed_load(now, server.open_requests, is_unresponsive)
        });
        let own = own.collect();
        let mut updates = self.load_gossip.take_updates(now, own);
        updates.retain(|update| !update.to.is_empty() && !update.loads.is_empty());
        updates
    }

    /// Whether a load update should be sent immediately instead of at the next interval.
    pub fn has_urgent_load_update(&self) -> bool {
        self.has_urgent_load
    }

    /// Whether a request was queued for a model or an adapter since the last report, so that a report should
    /// be sent immediately.
    pub fn has_urgent_report(&self) -> bool {
        self.has_urgent_demand
    }

    /// The request counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether this edge is ready for clients: it knows a configuration and servers, and is not shutting
    /// down.
    pub fn is_usable(&self, _now: Millis) -> bool {
        self.view.as_ref().is_some_and(|view| view.version > 0)
            && !self.servers.is_empty()
            && !self.shutting_down
    }
}
