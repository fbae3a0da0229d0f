//! An edge: polls as the production poller makes them, around the production router.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use shaletrail_configuration::View;
use shaletrail_dataplane::coordinators::Coordinators;
use shaletrail_dataplane::load_datagrams::LoadDatagrams;
use shaletrail_dataplane::poll_timeouts::PollTimeouts;
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{
    ConfigUpdate, Demand, DirectoryCursor, EdgeLoadReport, EdgeRequest, PollRequest, PollResponse,
    ServerOutcomes,
};
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_routing::interface::{Action, Event};
use shaletrail_routing::Router;

use crate::core_node::decode;
use crate::fleet::World;
use crate::ledger::{Kind, Ledger, Stopwatch};
use crate::requests::Requests;
use crate::schedule::{latency, zone_of, AtCore, AtEdge, Happening};
use crate::site;

/// The least time between the starts of two polls that succeeded, as in the poller.
const LEAST_SPACING: Millis = 20;
/// The least time between two reports, as in the poller.
const REPORT_INTERVAL: Millis = 250;
/// How long an urgent report waits for others to go with it, as in the poller.
const URGENT_DELAY: Millis = 5;
/// The shortest and longest pause after all coordinators have failed, as in the poller.
const ROUND_PAUSE: std::ops::RangeInclusive<u64> = 100..=300;
/// Between two looks at what the other edges should hear, as in the data plane.
const TELL_LOADS: Millis = 100;
/// Within which a configuration must be in force everywhere.
const CONVERGENCE: Duration = Duration::from_secs(19);
/// Within which nothing more may be sent to a server that leaves.
const DRAIN: Duration = Duration::from_secs(2);

/// A poll under way.
#[derive(Clone, Copy, Debug)]
struct Polling {
    number: u64,
    core: usize,
    begun: Millis,
}

/// What an edge decides by.
pub struct Decisions {
    /// The router.
    pub router: Router,
    /// The configuration in force.
    pub view: Arc<View>,
}

/// An edge.
pub struct EdgeNode {
    place: usize,
    start: u64,
    decisions: Option<Decisions>,
    /// Its clients' requests.
    pub requests: Requests,
    poll_timeouts: PollTimeouts,
    coordinators: Coordinators,
    polling: Option<Polling>,
    version: u64,
    wants_whole: bool,
    cursor: DirectoryCursor,
    edges: u32,
    edge_list: u64,
    datagrams: LoadDatagrams,
    demand: Vec<Demand>,
    observed: Vec<ServerOutcomes>,
    reported_at: Option<Millis>,
    urgent: bool,
    wake_at: Option<Millis>,
    /// What it sent, took and worked.
    pub ledger: Ledger,
    /// When it last had an answer to a poll.
    pub answered_at: Option<Millis>,
}

impl EdgeNode {
    /// A machine; its process is started by [`EdgeNode::start`].
    pub fn new(place: usize) -> Self {
        EdgeNode {
            place,
            start: 0,
            decisions: None,
            requests: Requests::default(),
            poll_timeouts: PollTimeouts::within(CONVERGENCE, DRAIN),
            coordinators: Coordinators::new(site::edge_node(place), Vec::new()),
            polling: None,
            version: 0,
            wants_whole: false,
            cursor: DirectoryCursor::default(),
            edges: 0,
            edge_list: 0,
            datagrams: LoadDatagrams::new(site::edge_node(place), Incarnation(0)),
            demand: Vec::new(),
            observed: Vec::new(),
            reported_at: None,
            urgent: false,
            wake_at: None,
            ledger: Ledger::default(),
            answered_at: None,
        }
    }

    /// Starts the process, or starts it anew: it knows nothing.
    pub fn start(&mut self, world: &mut World) {
        let ledger = std::mem::take(&mut self.ledger);
        *self = EdgeNode::new(self.place);
        self.ledger = ledger;
        self.start = world.start_edge(self.place);
        self.datagrams = LoadDatagrams::new(site::edge_node(self.place), Incarnation(self.start));
        self.coordinators = Coordinators::new(site::edge_node(self.place), world.seeds());
        if self.place < world.options.full_edges {
            let router = Router::new(shaletrail_routing::Options::default(), world.schedule.name());
            self.decisions = Some(Decisions { router, view: Arc::default() });
            self.wake(world, 0, AtEdge::TellLoads);
            self.arm_request(world);
        }
        self.wake(world, 0, AtEdge::Step);
    }

    /// What it decides by, if it is a full edge.
    pub fn decisions(&self) -> Option<&Decisions> {
        self.decisions.as_ref()
    }

    /// Takes out what it decides by: its memory goes with it.
    pub fn take_decisions(&mut self) -> Option<Decisions> {
        self.decisions.take()
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The place of the coordinator that it polls.
    pub fn polls(&self) -> Option<usize> {
        self.polling.map(|polling| polling.core)
    }

    /// Something happens here.
    pub fn happens(&mut self, world: &mut World, what: AtEdge) {
        match what {
            AtEdge::Step if self.polling.is_none() => self.poll(world),
            AtEdge::Step => {}
            AtEdge::Round => {
                self.coordinators.set_seeds(world.seeds());
                self.coordinators.begin_round();
                self.poll(world);
            }
            AtEdge::Reply { poll, frame } => self.answered(world, poll, &frame),
            AtEdge::PollFailed(poll) => self.poll_failed(world, poll),
            AtEdge::Urgent => self.report_urgently(world),
            AtEdge::TellLoads => {
                self.tell_loads(world);
                self.wake(world, TELL_LOADS, AtEdge::TellLoads);
            }
            AtEdge::Loads(datagram) => self.take_loads(world, &datagram),
            AtEdge::Wake => {
                self.wake_at = None;
                let now = world.schedule.now;
                let due = |decisions: &Decisions| decisions.router.next_wake().is_some_and(|at| at <= now);
                if self.decisions.as_ref().is_some_and(due) {
                    self.tell(world, Kind::Request, Event::Tick);
                }
                self.arm(world);
            }
            AtEdge::Request => {
                self.arm_request(world);
                self.ask(world);
            }
            AtEdge::Answered { request, attempt, server, status } => {
                self.server_answered(world, request, attempt, server, status);
            }
        }
    }

    pub(crate) fn wake(&self, world: &mut World, delay: Millis, what: AtEdge) {
        world.schedule.after(delay, Happening::Edge(self.place, self.start, what));
    }

    pub(crate) fn place(&self) -> usize {
        self.place
    }

    fn arm_request(&self, world: &mut World) {
        if let Some(pause) = world.schedule.pause(world.options.request_rate) {
            self.wake(world, pause, AtEdge::Request);
        }
    }

    /// Tells the router something, and does what it asks for.
    pub(crate) fn tell(&mut self, world: &mut World, kind: Kind, event: Event) {
        let Some(decisions) = &mut self.decisions else { return };
        let mut actions: Vec<Action> = Vec::new();
        let begun = Stopwatch::start();
        decisions.router.handle(world.schedule.now, event, &mut actions);
        self.ledger.worked(kind, begun.elapsed());
        if decisions.router.has_urgent_report() && !self.urgent {
            self.urgent = true;
            self.arm_urgent(world);
        }
        let tell = self.decisions.as_ref().is_some_and(|decisions| decisions.router.has_urgent_load_update());
        if tell {
            self.tell_loads(world);
        }
        for action in actions {
            self.carry_out(world, action);
        }
        self.arm(world);
    }

    fn arm(&mut self, world: &mut World) {
        let Some(next) = self.decisions.as_ref().and_then(|decisions| decisions.router.next_wake()) else {
            return;
        };
        if self.wake_at.is_none_or(|armed| next < armed) {
            self.wake_at = Some(next);
            self.wake(world, next.saturating_sub(world.schedule.now), AtEdge::Wake);
        }
    }

    // ---- Loads told among edges ------------------------------------------------------------------------

    fn tell_loads(&mut self, world: &mut World) {
        let Some(decisions) = &mut self.decisions else { return };
        let begun = Stopwatch::start();
        let news = decisions.router.take_load_update(world.schedule.now);
        let datagrams: Vec<Vec<Vec<u8>>> = news.iter().map(|news| self.datagrams.encode(news)).collect();
        self.ledger.worked(Kind::Loads, begun.elapsed());
        for (news, datagrams) in news.iter().zip(datagrams) {
            for datagram in datagrams {
                self.send_loads(world, &news.to, datagram.into());
            }
        }
    }

    fn send_loads(&mut self, world: &mut World, to: &[NodeId], datagram: Rc<[u8]>) {
        let here = zone_of(self.place);
        for node in to {
            let to = site::place(*node);
            let there = zone_of(to);
            self.ledger.sent(Kind::Loads, datagram.len(), here != there);
            let what = AtEdge::Loads(Rc::clone(&datagram));
            world.schedule.after(latency(here, there), Happening::Edge(to, world.edge_starts[to], what));
        }
    }

    fn take_loads(&mut self, world: &mut World, datagram: &[u8]) {
        let begun = Stopwatch::start();
        let loads = bitcode::decode::<EdgeLoadReport>(datagram);
        self.ledger.worked(Kind::Loads, begun.elapsed());
        let Ok(loads) = loads else { return };
        let crosses = zone_of(site::place(loads.edge)) != zone_of(self.place);
        self.ledger.received(Kind::Loads, datagram.len(), crosses);
        self.tell(
            world,
            Kind::Loads,
            Event::PeerLoads { edge: loads.edge, scope: loads.scope, loads: loads.loads },
        );
    }

    // ---- Polls -----------------------------------------------------------------------------------------

    fn poll(&mut self, world: &mut World) {
        let Some(coordinator) = self.coordinators.choose() else {
            let pause = world.schedule.random.random_range(ROUND_PAUSE);
            return self.wake(world, pause, AtEdge::Round);
        };
        let begun = Stopwatch::start();
        self.gather_report(world);
        let frame = frame::encode(&EdgeRequest::Poll(self.poll_request()));
        self.ledger.worked(Kind::Poll, begun.elapsed());
        let number = world.schedule.name();
        let core = site::place(coordinator);
        self.polling = Some(Polling { number, core, begun: world.schedule.now });
        let (here, there) = (zone_of(self.place), zone_of(core));
        let Some(start) = world.running_core(core) else {
            return self.wake(world, 2 * latency(here, there), AtEdge::PollFailed(number));
        };
        self.ledger.sent(Kind::Poll, frame.len(), here != there);
        let what = AtCore::EdgeFrame { edge: self.place, poll: number, frame };
        world.schedule.after(latency(here, there), Happening::Core(core, start, what));
        let patience = self.poll_timeouts.response_timeout().as_millis() as Millis;
        self.wake(world, patience, AtEdge::PollFailed(number));
        self.arm_urgent(world);
    }

    fn poll_request(&self) -> PollRequest {
        PollRequest {
            config_version: if self.wants_whole { 0 } else { self.version },
            cursor: self.cursor,
            max_wait_ms: self.poll_timeouts.max_wait.as_millis() as u32,
            demand: self.demand.clone(),
            server_outcomes: self.observed.clone(),
            edge_list_hash: self.edge_list,
        }
    }

    /// Reports that have not reached a coordinator are sent again, before new ones are made.
    fn gather_report(&mut self, world: &mut World) {
        let now = world.schedule.now;
        let is_due = self.reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if !is_due || !self.demand.is_empty() || !self.observed.is_empty() {
            return;
        }
        self.reported_at = Some(now);
        match &mut self.decisions {
            Some(decisions) => {
                (self.demand, self.observed) = decisions.router.take_report(now);
                world.keep_report(self.place, &self.demand, &self.observed);
            }
            None => (self.demand, self.observed) = world.report_like(self.place),
        }
    }

    fn answered(&mut self, world: &mut World, poll: u64, frame: &[u8]) {
        let Some(polling) = self.polling.take_if(|polling| polling.number == poll) else { return };
        let begun = Stopwatch::start();
        let reply = decode::<PollResponse>(frame);
        let took = begun.elapsed();
        let Some(reply) = reply else { return };
        let kind = Kind::of_reply(&reply);
        self.ledger.worked(kind, took);
        self.ledger.received(kind, frame.len(), zone_of(polling.core) != zone_of(self.place));
        self.demand.clear();
        self.observed.clear();
        if reply.isolated {
            // With nothing better known, what such a coordinator remembers is better than nothing.
            if self.version == 0 {
                self.take_over(world, kind, reply);
            }
            self.coordinators.failed();
            return self.wake(world, 0, AtEdge::Step);
        }
        self.answered_at = Some(world.schedule.now);
        self.coordinators.succeeded();
        self.take_over(world, kind, reply);
        let next = polling.begun + LEAST_SPACING;
        self.wake(world, next.saturating_sub(world.schedule.now), AtEdge::Step);
    }

    fn poll_failed(&mut self, world: &mut World, poll: u64) {
        let Some(polling) = self.polling.take_if(|polling| polling.number == poll) else { return };
        if let Some(start) = world.running_core(polling.core) {
            let delay = latency(zone_of(self.place), zone_of(polling.core));
            let what = AtCore::PollCancelled(poll);
            world.schedule.after(delay, Happening::Core(polling.core, start, what));
        }
        self.coordinators.failed();
        self.wake(world, 0, AtEdge::Step);
    }

    fn arm_urgent(&self, world: &mut World) {
        if self.urgent && self.polling.is_some() {
            self.wake(world, URGENT_DELAY, AtEdge::Urgent);
        }
    }

    fn report_urgently(&mut self, world: &mut World) {
        let Some(core) = self.polling.filter(|_| self.urgent).map(|polling| polling.core) else { return };
        let Some(decisions) = &mut self.decisions else { return };
        self.urgent = false;
        let begun = Stopwatch::start();
        let (demand, seen) = decisions.router.take_report(world.schedule.now);
        self.observed.extend(seen);
        let frame = frame::encode(&EdgeRequest::Report { demand });
        self.ledger.worked(Kind::Report, begun.elapsed());
        let Some(start) = world.running_core(core) else { return };
        let (here, there) = (zone_of(self.place), zone_of(core));
        self.ledger.sent(Kind::Report, frame.len(), here != there);
        let what = AtCore::EdgeFrame { edge: self.place, poll: 0, frame };
        world.schedule.after(latency(here, there), Happening::Core(core, start, what));
    }

    fn take_over(&mut self, world: &mut World, kind: Kind, reply: PollResponse) {
        self.coordinators.learn(reply.coordinators);
        if let Some(news) = reply.config {
            self.take_configuration(world, kind, &news);
        }
        self.cursor = reply.cursor;
        if reply.complete || !reply.servers.is_empty() {
            self.tell(
                world,
                kind,
                Event::ServersUpdated { records: reply.servers, complete: reply.complete },
            );
        }
        if let Some(nodes) = reply.edge_nodes {
            self.edge_list = reply.edge_list_hash;
            let own = site::edge_node(self.place);
            self.tell(world, kind, Event::EdgesUpdated { own, edges: nodes });
        }
        if reply.edge_count > 0 && reply.edge_count != self.edges {
            self.edges = reply.edge_count;
            self.tell(world, kind, Event::EdgeCountUpdated(reply.edge_count));
        }
    }

    fn take_configuration(&mut self, world: &mut World, kind: Kind, news: &ConfigUpdate) {
        self.wants_whole = false;
        if news.version <= self.version {
            return;
        }
        let Some(decisions) = &mut self.decisions else {
            self.version = news.version;
            return;
        };
        let begun = Stopwatch::start();
        let mut view = View::clone(&decisions.view);
        let applied = view.apply(news);
        self.ledger.worked(kind, begun.elapsed());
        if applied.is_err() {
            self.wants_whole = true;
            return;
        }
        self.version = view.version;
        decisions.view = Arc::new(view);
        let view = Arc::clone(&decisions.view);
        self.tell(world, kind, Event::ConfigurationUpdated(view));
    }
}
