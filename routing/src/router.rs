//! Dispatch of events.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shaletrail_configuration::{Route, View};
use shaletrail_protocol::internal::{Demand, ServerOutcomes, ServerRecord};
use shaletrail_protocol::Millis;

use crate::choice::request_key;
use crate::counters::Counters;
use crate::fleet::{Fleet, Rearranged};
use crate::holding::Holding;
use crate::interface::{
    Action, Attempt, Ending, Event, LoadUpdate, NewRequest, NextWake, Outcome, RejectReason, RequestId,
    ServerLoad, Verdict,
};
use crate::peers::Peers;
use crate::report::{count_arrival, take_observations, DemandTable, Wanted};
use crate::requests::{Out, Phase, Request};
use crate::servers::{Merge, ServerHandle, Servers, Standing};
use crate::Options;

/// Decides on the requests of one edge.
pub struct Router {
    pub(crate) options: Options,
    pub(crate) random: Pcg64Mcg,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) edges: u32,
    pub(crate) stopping: bool,
    pub(crate) servers: Servers,
    pub(crate) fleets: BTreeMap<String, Fleet>,
    pub(crate) requests: HashMap<RequestId, (Request, Phase)>,
    pub(crate) timers: BTreeSet<(Millis, RequestId)>,
    pub(crate) holding: Holding,
    pub(crate) demand: DemandTable,
    pub(crate) counters: Counters,
    /// A request has begun to wait for a model since the last report.
    pub(crate) urgent: bool,
    /// What the other edges have under way.
    pub(crate) peers: Peers,
    /// The other edges should hear at once what this one has under way.
    pub(crate) shares_changed: bool,
}

impl Router {
    /// A router that knows nothing yet. Equal seeds and events give equal actions.
    pub fn new(options: Options, seed: u64) -> Self {
        Router {
            options,
            random: Pcg64Mcg::seed_from_u64(seed),
            view: None,
            edges: 0,
            stopping: false,
            servers: Servers::default(),
            fleets: BTreeMap::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            holding: Holding::default(),
            demand: DemandTable::default(),
            counters: Counters::default(),
            urgent: false,
            peers: Peers::default(),
            shares_changed: false,
        }
    }

    /// Takes an event; what is to be done is added to `actions`, in order. `now` never goes back.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.on_view(now, view, actions),
            Event::Servers { records, complete: whole } => self.on_servers(now, records, whole, actions),
            Event::Edges(edges) => self.edges = edges,
            Event::EdgeList { own, edges } => self.peers.set_edges(own, &edges),
            Event::PeerLoads { edge, scope, loads: shares } => self.peers.tell(now, edge, scope, shares),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Written(..) => {}
            Event::Head(id, attempt, load) => self.on_head(now, id, attempt, load),
            Event::First(id, attempt) => self.on_first(now, id, attempt),
            Event::Stalled(id, attempt) => self.on_stalled(now, id, attempt, actions),
            Event::Ended(id, attempt, outcome) => self.on_ended(now, id, attempt, outcome, actions),
            Event::Finished(id) => self.on_finished(now, id, actions),
            Event::ShutdownRequested => self.on_stopping(now, actions),
            Event::Tick => self.on_tick(now, actions),
        }
    }

    /// When `Event::Tick` is wanted next.
    pub fn next_wake(&self) -> NextWake {
        let timer = self.timers.first().map(|(at, _)| *at);
        let held = self.fleets.values().filter_map(|fleet| fleet.reconsider_at).min();
        [timer, held, self.servers.next_drop(&self.options)].into_iter().flatten().min()
    }

    /// Demand and observations since the last report.
    pub fn take_report(&mut self, _now: Millis) -> (Vec<Demand>, Vec<ServerOutcomes>) {
        self.urgent = false;
        (self.demand.take(), take_observations(&mut self.servers))
    }

    /// What other edges should hear of requests under way at servers.
    pub fn take_load_update(&mut self, now: Millis) -> Vec<LoadUpdate> {
        self.shares_changed = false;
        let options = &self.options;
        let own = self.servers.iter_mut().filter_map(|server| {
            let silent = server.is_silent(now, options);
            server.share.take_news(now, server.open, silent)
        });
        let own = own.collect();
        let mut news = self.peers.take_news(now, own);
        news.retain(|news| !news.to.is_empty() && !news.loads.is_empty());
        news
    }

    /// Whether the other edges should hear at once.
    pub fn has_urgent_load_update(&self) -> bool {
        self.shares_changed
    }

    /// Whether a request has begun to wait for a model or an adapter since the last report.
    pub fn has_urgent_report(&self) -> bool {
        self.urgent
    }

    /// What became of requests.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether clients should be sent here: configuration and servers are known, and the process stays.
    pub fn is_usable(&self, _now: Millis) -> bool {
        self.view.as_ref().is_some_and(|view| view.version > 0) && !self.servers.is_empty() && !self.stopping
    }

    fn on_view(&mut self, now: Millis, view: Arc<View>, actions: &mut Vec<Action>) {
        let options = &self.options;
        self.fleets.retain(|name, fleet| {
            !fleet.members.is_empty() || fleet.open > 0 || view.service(name).is_some()
        });
        for service in view.services() {
            self.fleets.entry(service.name.clone()).or_insert_with(|| Fleet::new(options));
        }
        self.view = Some(view);
        self.dispatch_all(now, actions);
    }

    fn on_servers(
        &mut self,
        now: Millis,
        records: Vec<ServerRecord>,
        whole: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut touched = Vec::new();
        if whole {
            let listed = records.iter().map(|record| &record.id).collect();
            touched = self.servers.mark_unlisted(now, &listed);
        }
        for record in records {
            let service = record.heartbeat.service.clone();
            match self.servers.merge(record, &self.options) {
                Merge::Added(handle) => {
                    let options = &self.options;
                    self.fleets.entry(service).or_insert_with(|| Fleet::new(options)).join(handle);
                    touched.push(handle);
                }
                Merge::Updated(handle) => touched.push(handle),
                Merge::Left(handle) => self.on_left(handle, actions),
                Merge::Ignored => {}
            }
        }
        self.rearrange(&touched);
        self.drop_servers(now);
        self.dispatch_all(now, actions);
    }

    /// Brings servers into the slot arrays of their services, or out of them.
    fn rearrange(&mut self, touched: &[ServerHandle]) {
        let mut changed: BTreeMap<String, Vec<Rearranged>> = BTreeMap::new();
        for handle in touched {
            let Some(server) = self.servers.get_mut(*handle) else { continue };
            let ready = server.standing() == Standing::Ready;
            if std::mem::replace(&mut server.in_array, ready) != ready {
                let (service, address) =
                    (server.record.heartbeat.service.clone(), server.record.heartbeat.address.clone());
                changed.entry(service).or_default().push(Rearranged { server: *handle, address, ready });
            }
        }
        for (service, changed) in changed {
            if let Some(fleet) = self.fleets.get_mut(&service) {
                fleet.rearrange(&changed);
            }
        }
    }

    fn on_left(&mut self, handle: ServerHandle, actions: &mut Vec<Action>) {
        self.forget(handle, actions);
        if let Some(server) = self.servers.get(handle) {
            if let Some(fleet) = self.fleets.get_mut(&server.record.heartbeat.service) {
                fleet.leave(handle);
            }
        }
    }

    /// Has the driver close its connections to a server, once.
    pub(crate) fn forget(&mut self, handle: ServerHandle, actions: &mut Vec<Action>) {
        if let Some(id) = self.servers.get_mut(handle).and_then(|server| server.forget()) {
            actions.push(Action::CloseConnections(id));
        }
    }

    pub(crate) fn drop_servers(&mut self, now: Millis) {
        for (handle, service) in self.servers.drop_unlisted(now, &self.options) {
            if let Some(fleet) = self.fleets.get_mut(&service) {
                fleet.leave(handle);
            }
        }
    }

    fn on_request(&mut self, now: Millis, new: NewRequest, actions: &mut Vec<Action>) {
        self.counters.received += 1;
        self.counters.open += 1;
        let service = self.pick_target(&new.route);
        let models =
            self.view.as_ref().and_then(|view| view.service(&service)).is_some_and(|s| s.runtime.is_some());
        let model = if models { new.model.clone().unwrap_or_default() } else { String::new() };
        let adapter = new.adapter.clone().filter(|_| !model.is_empty());
        let wanted = Arc::new(Wanted { service, model, adapter });
        let key = request_key(&new, &wanted);
        let request = Request::new(new, wanted, key, now);
        if self.requests.len() >= self.options.max_open {
            return self.refuse(now, request, RejectReason::Overloaded, actions);
        }
        let Some(fleet) = self.fleets.get_mut(&request.wanted.service) else {
            return self.refuse(now, request, RejectReason::NoServer, actions);
        };
        fleet.budget.count_request(now);
        if self.is_unheard_of(&request.wanted) {
            return self.refuse(now, request, RejectReason::NoModel, actions);
        }
        if let Some(demand) = self.demand.of(&request.wanted, &self.options) {
            count_arrival(demand, request.new.tokens, request.new.route.priority);
        }
        self.place(now, request, Otherwise::Wait, actions);
    }

    /// A target of the route by weight, among those that have a server that takes requests if any has.
    fn pick_target(&mut self, route: &Route) -> String {
        let has_ready = |name: &str| {
            let members = self.fleets.get(name).map(|fleet| fleet.members.as_slice()).unwrap_or_default();
            let ready = |handle: &ServerHandle| {
                self.servers.get(*handle).is_some_and(|server| server.standing() == Standing::Ready)
            };
            members.iter().any(ready)
        };
        if let [only] = route.traffic_split.as_slice() {
            return only.service.clone();
        }
        let usable: Vec<_> = route.traffic_split.iter().filter(|part| has_ready(&part.service)).collect();
        let among = if usable.is_empty() { route.traffic_split.iter().collect() } else { usable };
        let sum: f64 = among.iter().map(|part| part.weight).sum();
        let mut point = self.random.random::<f64>() * sum;
        for part in &among {
            point -= part.weight;
            if point < 0.0 {
                return part.service.clone();
            }
        }
        among.last().map(|part| part.service.clone()).unwrap_or_default()
    }

    /// Whether a model is neither in the configuration nor on any server.
    fn is_unheard_of(&self, wanted: &Wanted) -> bool {
        if wanted.model.is_empty() {
            return false;
        }
        let service = self.view.as_ref().and_then(|view| view.service(&wanted.service));
        let runtime = service.and_then(|service| service.runtime.as_ref());
        let model =
            runtime.and_then(|runtime| runtime.models.iter().find(|model| model.name == wanted.model));
        let configured = model.is_some_and(|model| match &wanted.adapter {
            None => true,
            Some(adapter) => {
                let number = adapter.strip_prefix('a').and_then(|number| number.parse().ok());
                number.is_some_and(|number: u32| (1..=model.adapters).contains(&number))
            }
        });
        !configured && !self.is_held_somewhere(wanted)
    }

    fn is_held_somewhere(&self, wanted: &Wanted) -> bool {
        let members =
            self.fleets.get(&wanted.service).map(|fleet| fleet.members.as_slice()).unwrap_or_default();
        members
            .iter()
            .filter_map(|handle| self.servers.get(*handle))
            .any(|server| server.holds(wanted, Millis::MAX))
    }

    fn out_of(&mut self, id: RequestId, attempt: Attempt) -> Option<(&mut Request, &mut Out)> {
        match self.requests.get_mut(&id) {
            Some((request, Phase::Out(out))) if out.attempt == attempt => Some((request, out)),
            _ => None,
        }
    }

    fn on_head(&mut self, now: Millis, id: RequestId, attempt: Attempt, load: Option<ServerLoad>) {
        let Some((request, out)) = self.out_of(id, attempt) else { return };
        request.head_passed = true;
        request.verdict = Verdict::HasRun;
        let (handle, sent_at, prefill) = (out.server, out.sent_at, out.prefill);
        let first = !std::mem::replace(&mut out.answered, true);
        if let Some(server) = self.servers.get_mut(handle) {
            server.heard_at = now;
            if first {
                self.shares_changed |= server.share.answered(sent_at, prefill);
            }
            if let Some(load) = load {
                server.note_load(now, load);
            }
        }
    }

    fn on_first(&mut self, now: Millis, id: RequestId, attempt: Attempt) {
        let Some((_, out)) = self.out_of(id, attempt) else { return };
        let (handle, silent_at, until) = (out.server, out.silent_at.take(), out.until);
        let (sent_at, prefill) = (out.sent_at, out.prefill);
        let first = !std::mem::replace(&mut out.answered, true);
        if let Some(silent_at) = silent_at.filter(|at| *at < until) {
            self.timers.remove(&(silent_at, id));
            self.timers.insert((until, id));
        }
        if let Some(server) = self.servers.get_mut(handle) {
            server.heard_at = now;
            server.health.shows_life();
            if first {
                self.shares_changed |= server.share.answered(sent_at, prefill);
            }
        }
    }

    /// A stream hangs: it goes on elsewhere if it may be resumed.
    fn on_stalled(&mut self, now: Millis, id: RequestId, attempt: Attempt, actions: &mut Vec<Action>) {
        if self.out_of(id, attempt).is_some_and(|(request, _)| request.head_passed) {
            self.call_off(now, id, actions);
        }
    }

    fn on_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if self.out_of(id, attempt).is_none() {
            return;
        }
        let Some((mut request, out)) = self.take_out(id) else { return };
        let service = request.wanted.service.clone();
        self.settle(now, &mut request, &out, &outcome, actions);
        self.after_attempt(now, request, outcome, actions);
        self.drop_servers(now);
        self.dispatch(now, &service, actions);
    }

    /// What becomes of a request whose attempt has ended.
    fn after_attempt(&mut self, now: Millis, request: Request, outcome: Outcome, actions: &mut Vec<Action>) {
        match outcome.ending {
            Ending::Served => self.answered(request),
            _ if request.head_passed => {
                if request.may_be_taken_up() {
                    self.place(now, request, Otherwise::AbortResponse, actions);
                } else {
                    self.break_off(request, actions);
                }
            }
            Ending::Failed { status } if status >= 500 && request.new.route.kind.is_idempotent() => {
                self.place(now, request, Otherwise::ForwardFailure, actions);
            }
            Ending::Failed { .. } => self.pass_on(request, actions),
            _ => self.place(now, request, Otherwise::Wait, actions),
        }
    }

    fn on_finished(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((request, phase)) = self.take(id) else { return };
        if let Phase::Out(out) = phase {
            self.release(&request, &out);
            self.note_departure(now, &out);
            actions.push(Action::Cancel(id, out.attempt));
        }
        let service = request.wanted.service.clone();
        self.counters.client_left += 1;
        self.counters.open -= 1;
        self.drop_servers(now);
        self.dispatch(now, &service, actions);
    }

    fn on_stopping(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.stopping = true;
        for rank in self.holding.all() {
            let waits_long =
                |phase: &Phase| matches!(phase, Phase::Held(held) if held.reason != RejectReason::Full);
            if self.requests.get(&rank.id).is_some_and(|(_, phase)| waits_long(phase)) {
                if let Some((request, _)) = self.take(rank.id) {
                    self.refuse(now, request, RejectReason::Stopping, actions);
                }
            }
        }
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let due = |fleet: &Fleet| fleet.reconsider_at.is_some_and(|at| at <= now);
        let services: Vec<String> =
            self.fleets.iter().filter(|(_, fleet)| due(fleet)).map(|(name, _)| name.clone()).collect();
        for service in services {
            self.dispatch(now, &service, actions);
        }
        while let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.on_timer(now, id, actions);
        }
        self.peers.expire(now);
        self.drop_servers(now);
    }

    fn on_timer(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        match self.requests.get(&id) {
            Some((_, Phase::Held(held))) => {
                let reason = held.reason;
                if let Some((request, _)) = self.take(id) {
                    let late = now >= request.deadline_at;
                    self.refuse(now, request, if late { RejectReason::TooLate } else { reason }, actions);
                }
            }
            Some((_, Phase::Out(out))) if now >= out.until => self.expire(now, id, actions),
            Some((_, Phase::Out(_))) => self.look_at_silence(now, id, actions),
            None => self.timers.retain(|(_, timer)| *timer != id),
        }
    }
}

/// What becomes of a request that cannot be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Otherwise {
    /// It waits, or is refused.
    Wait,
    /// It gets the failed answer that the driver holds.
    ForwardFailure,
    /// Its answer is broken off.
    AbortResponse,
}
