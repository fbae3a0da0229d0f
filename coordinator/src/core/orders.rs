//! Orders to servers: which shards' services this node may order, since when, and what is to be ordered next.
//!
//! The leader of a service's shard becomes the holder by an entry of its own term. Its fence is the term. A holder
//! that follows another node waits until orders of the former can no longer be taken for a turn within the lease:
//! the former wrote none after its lease in the shard or after it had stepped aside, and that was over when this node
//! was elected. Once it has waited, the holder says so by a second entry; only then may it, elected again, go on at
//! once.
//!
//! The driver asks [`OrderLeases::may_write`] as the last thing before an order's bytes go to the socket.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shaletrail_cluster::Directory;
use shaletrail_configuration::{Runtime, View};
use shaletrail_placement::{Catalogue, ModelSpec, OrderNumber, PlannedOrder, Planner};
use shaletrail_protocol::external::{LoadedModel, Operation, Order, ServerReport};
use shaletrail_protocol::internal::{EdgeReport, PlacementOverlay, ServerRecord};
use shaletrail_protocol::{Millis, NodeId, ServerId};

use super::service_state::{LeaseHolder, ServiceState, Turn};
use super::shards::{shard_of, Shards};
use crate::interface::{Action, CoordinatorOptions, OrderId, OrderOutcome};

/// Between two looks at what is to be ordered.
const PLAN_EVERY: Millis = 100;
/// The same while orders are under way.
const PLAN_SOON: Millis = 50;
/// Between two looks at heartbeats that changed nothing.
const HEARTBEATS_EVERY: Millis = 400;
/// How long before an eviction edges are told that the server will not serve that any more.
const EVICTION_NOTICE: Millis = 50;
/// Within this time after it was written an order has left the sender's socket, or never does, in milliseconds.
pub const ORDER_LEAVES_WITHIN: Millis = 400;
/// The longest time that an order is reckoned to take over the network, in milliseconds.
const ORDER_TRAVELS: Millis = 200;
/// Added to the lease when a holder follows another: orders are taken by servers a little after they are written.
const TURN_MARGIN: Millis = ORDER_LEAVES_WITHIN + ORDER_TRAVELS;
/// Orders and reports that may be under way at once.
const MOST_UNDER_WAY: usize = 512;

/// The right to order the servers of a shard's services.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: u64,
    elected_at: Millis,
    proposed: bool,
    /// The turn, once it has begun.
    turn: Option<OwnTurn>,
    /// Whether the end of the wait is in the log, or need not be.
    wait_committed: bool,
}

/// A turn of this node.
#[derive(Clone, Copy, Debug)]
struct OwnTurn {
    /// From when on orders may be sent.
    allowed_from: Millis,
    /// Until when orders of an earlier turn may have been sent, by this node or another.
    former_until: Option<Millis>,
}

/// An order that was handed to the driver and has not ended.
#[derive(Clone, Debug)]
struct UnderWay {
    service: String,
    server: ServerId,
    /// The planner's name of it.
    number: OrderNumber,
    /// The fence of the turn that it belongs to.
    fence: u64,
}

/// What this node orders.
pub struct OrderLeases {
    node: NodeId,
    name: String,
    order_lease: Millis,
    placement: shaletrail_placement::Options,
    leaderships: BTreeMap<u32, Leadership>,
    catalogues: BTreeMap<String, Catalogue>,
    planners: BTreeMap<String, Planner>,
    /// Servers that each planner has been told of.
    servers: BTreeMap<String, BTreeSet<ServerId>>,
    planned: Vec<Planned>,
    under_way: HashMap<OrderId, UnderWay>,
    next_order: u64,
    next_plan: Millis,
    next_heartbeats: Millis,
}

impl OrderLeases {
    /// A node that holds nothing yet.
    pub fn new(options: &CoordinatorOptions) -> Self {
        OrderLeases {
            node: options.node,
            name: options.name.clone(),
            order_lease: options.order_lease.as_millis() as Millis,
            placement: options.placement.clone(),
            leaderships: BTreeMap::new(),
            catalogues: BTreeMap::new(),
            planners: BTreeMap::new(),
            servers: BTreeMap::new(),
            planned: Vec::new(),
            under_way: HashMap::new(),
            next_order: 0,
            next_plan: 0,
            next_heartbeats: 0,
        }
    }

    /// This node leads a shard.
    pub fn elected(&mut self, now: Millis, shard: u32, term: u64) {
        let leadership =
            Leadership { term, elected_at: now, proposed: false, turn: None, wait_committed: false };
        self.leaderships.insert(shard, leadership);
    }

    /// This node leads a shard no more.
    pub fn deposed(&mut self, shard: u32) {
        self.leaderships.remove(&shard);
        self.planned.retain(|planned| shard_of(&planned.service) != shard);
    }

    /// A turn has begun; whether it is this node's, which still leads.
    pub fn turn(&mut self, now: Millis, shard: u32, turn: Turn, leads: bool) -> bool {
        let Some(leadership) = self.leaderships.get_mut(&shard) else { return false };
        if !leads || turn.holder.node != self.node || turn.holder.fence != leadership.term {
            return false;
        }
        let (allowed_from, former_until) = match turn.previous {
            None => (now, None),
            Some(_) if !turn.must_wait => (now, Some(now)),
            // The former's lease was over when this node was elected.
            Some(_) => (leadership.elected_at + self.order_lease + TURN_MARGIN, Some(leadership.elected_at)),
        };
        leadership.wait_committed = !turn.must_wait;
        leadership.turn = Some(OwnTurn { allowed_from, former_until });
        for (_, planner) in self.planners.iter_mut().filter(|(service, _)| shard_of(service) == shard) {
            planner.start_ordering(now, former_until);
        }
        true
    }

    /// From when on this node may send orders to the servers of a shard's services, while it holds the lease; `None`
    /// unless its turn has begun.
    pub fn allowed_from(&self, shard: u32) -> Option<Millis> {
        Some(self.leaderships.get(&shard)?.turn?.allowed_from)
    }

    /// Takes over a configuration.
    pub fn configured(&mut self, view: &View) {
        self.catalogues = view
            .services()
            .filter_map(|service| Some((service.name.clone(), catalogue(service.runtime.as_ref()?))))
            .collect();
        // The weight store is one for all services; each planner keeps to its part of the rate.
        let sharing =
            self.catalogues.values().filter(|catalogue| !catalogue.models.is_empty()).count().max(1);
        for catalogue in self.catalogues.values_mut() {
            catalogue.load_per_s /= sharing as f64;
        }
        self.planners.retain(|service, _| self.catalogues.contains_key(service));
        for (service, planner) in &mut self.planners {
            if let Some(catalogue) = self.catalogues.get(service) {
                planner.set_catalogue(catalogue.clone());
            }
        }
    }

    /// Takes over what edges reported.
    pub fn demand(&mut self, now: Millis, reports: &[EdgeReport]) {
        let waits = |report: &EdgeReport| report.demand.iter().any(|demand| demand.queued > 0);
        if reports.iter().any(waits) && !self.leaderships.is_empty() {
            self.next_plan = now;
        }
        for report in reports {
            for planner in self.planners.values_mut() {
                planner.record_demand(now, report.edge, &report.demand);
            }
        }
    }

    /// An order has ended.
    pub fn ordered(&mut self, now: Millis, order: OrderId, outcome: OrderOutcome) {
        let Some(UnderWay { service, server, number, fence }) = self.under_way.remove(&order) else { return };
        self.next_plan = now;
        if self.own_fence(&service) != Some(fence) {
            // A later turn has started over, and takes all that was under way to be in doubt.
            return;
        }
        if let Some(planner) = self.planners.get_mut(&service) {
            planner.complete_order(now, &server, number, outcome);
        }
    }

    /// Whether an order may be written to its server now: the turn that it belongs to goes on, and its lease holds.
    pub fn may_write(&self, now: Millis, order: OrderId, shards: &Shards) -> bool {
        let Some(UnderWay { service, fence, .. }) = self.under_way.get(&order) else { return false };
        self.may_order(now, shard_of(service), shards) && self.own_fence(service) == Some(*fence)
    }

    /// The fence with which this node orders a service's servers, if it leads their shard.
    fn own_fence(&self, service: &str) -> Option<u64> {
        self.leaderships.get(&shard_of(service)).map(|leadership| leadership.term)
    }

    /// A server's report has come, or none has.
    pub fn reported(&mut self, now: Millis, server: &ServerId, report: Option<ServerReport>) {
        // Orders may wait for it.
        self.next_plan = now;
        for planner in self.planners.values_mut() {
            match &report {
                Some(report) => planner.record_report(now, server, report),
                None => planner.report_failed(now, server),
            }
        }
    }

    /// Begins turns, brings the planners up to date and sends what they want.
    pub fn plan(
        &mut self,
        now: Millis,
        shards: &mut Shards,
        directory: &mut Directory,
        actions: &mut Vec<Action>,
    ) {
        self.propose_turns(now, shards);
        self.tell_waited(now, shards);
        if now < self.next_plan {
            return;
        }
        self.next_plan =
            now + if self.under_way.is_empty() && self.planned.is_empty() { PLAN_EVERY } else { PLAN_SOON };
        let feed = now >= self.next_heartbeats;
        if feed {
            self.next_heartbeats = now + HEARTBEATS_EVERY;
        }
        let services: Vec<String> = self.catalogues.keys().cloned().collect();
        for service in services {
            // Also where another node orders: what was asked for is known when this one takes over.
            self.watch(now, &service, directory, feed);
            let shard = shard_of(&service);
            if self.leaderships.get(&shard).is_none_or(|leadership| leadership.turn.is_none()) {
                continue;
            }
            if self.may_order(now, shard, shards) {
                self.tell_contents(now, &service, shard, directory);
                self.send_orders(now, &service, shard, directory, actions);
            }
            self.ask_reports(now, &service, directory, actions);
        }
    }

    fn propose_turns(&mut self, now: Millis, shards: &mut Shards) {
        for (shard, leadership) in self.leaderships.iter_mut().filter(|(_, leadership)| !leadership.proposed)
        {
            let holder = LeaseHolder { node: self.node, fence: leadership.term };
            if *shard == super::shards::CONFIGURATION {
                leadership.proposed = true;
            } else if let Some(replica) = shards.replica_mut(*shard) {
                leadership.proposed = replica.propose(now, ServiceState::command(holder)).is_ok();
            }
        }
    }

    /// Writes down that the wait for another node's orders is over.
    fn tell_waited(&mut self, now: Millis, shards: &mut Shards) {
        for (shard, leadership) in &mut self.leaderships {
            let over = leadership.turn.is_some_and(|turn| turn.allowed_from <= now);
            if !over || leadership.wait_committed {
                continue;
            }
            let holder = LeaseHolder { node: self.node, fence: leadership.term };
            if let Some(replica) = shards.replica_mut(*shard) {
                leadership.wait_committed =
                    replica.propose(now, ServiceState::waited_command(holder)).is_ok();
            }
        }
    }

    /// Whether the servers of a shard's services may be ordered now: the wait is over, and the lease is not.
    fn may_order(&self, now: Millis, shard: u32, shards: &Shards) -> bool {
        let turn = self.leaderships.get(&shard).and_then(|leadership| leadership.turn);
        let lease = shards.get(shard).and_then(|shard| shard.replica.lease_until());
        turn.is_some_and(|turn| turn.allowed_from <= now) && lease.is_some_and(|until| now < until)
    }

    /// Brings a service's planner up to date with the directory.
    fn watch(&mut self, now: Millis, service: &str, directory: &Directory, feed: bool) {
        let is_new = !self.planners.contains_key(service);
        if is_new {
            let Some(catalogue) = self.catalogues.get(service) else { return };
            let mut planner =
                Planner::new(service.to_owned(), catalogue.clone(), self.placement.clone(), now);
            if let Some(turn) =
                self.leaderships.get(&shard_of(service)).and_then(|leadership| leadership.turn)
            {
                planner.start_ordering(now, turn.former_until);
            }
            self.planners.insert(service.to_owned(), planner);
        }
        let Some(planner) = self.planners.get_mut(service).filter(|_| feed || is_new) else { return };
        let mut known = BTreeSet::new();
        for record in directory.records().filter(|record| record.heartbeat.service == service) {
            planner.update_server(now, record);
            known.insert(record.id.clone());
        }
        let before = self.servers.insert(service.to_owned(), known.clone()).unwrap_or_default();
        before.difference(&known).for_each(|id| planner.remove_server(id));
    }

    /// Tells everybody what orders have changed about the servers' contents, ahead of their heartbeats.
    fn tell_contents(&mut self, now: Millis, service: &str, shard: u32, directory: &mut Directory) {
        let Some(fence) = self.leaderships.get(&shard).map(|leadership| leadership.term) else { return };
        let Some(planner) = self.planners.get(service) else { return };
        let of_service = directory.records().filter(|record| record.heartbeat.service == service);
        let changed = of_service
            .filter_map(|record| Some((record.id.clone(), contents_note(now, planner, record, fence)?)));
        let notes: Vec<(ServerId, PlacementOverlay)> = changed.collect();
        for (server, note) in notes {
            directory.set_placement_overlay(now, &server, note);
        }
    }

    fn ask_reports(&mut self, now: Millis, service: &str, directory: &Directory, actions: &mut Vec<Action>) {
        let Some(planner) = self.planners.get_mut(service) else { return };
        for server in planner.next_reports(now) {
            if let Some(record) = directory.record(&server) {
                actions.push(Action::FetchReport { server, address: record.heartbeat.address.clone() });
            }
        }
    }

    fn send_orders(
        &mut self,
        now: Millis,
        service: &str,
        shard: u32,
        directory: &mut Directory,
        actions: &mut Vec<Action>,
    ) {
        let Some(fence) = self.own_fence(service) else { return };
        let Some(planner) = self.planners.get_mut(service) else { return };
        if self.under_way.len() >= MOST_UNDER_WAY {
            return;
        }
        for planned in planner.next_orders(now) {
            let evicts = planned.operation == Operation::Evict;
            let due = if evicts { now + EVICTION_NOTICE } else { now };
            self.planned.push(Planned { due, service: service.to_owned(), order: planned });
        }
        self.tell_contents(now, service, shard, directory);
        let (due, later) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition(|planned| planned.service == service && planned.due <= now);
        self.planned = later;
        for Planned { order: planned, .. } in due {
            self.next_order += 1;
            let order = OrderId(self.next_order);
            let (server, number) = (planned.server.clone(), planned.number);
            let under_way = UnderWay { service: service.to_owned(), server, number, fence };
            self.under_way.insert(order, under_way);
            actions.push(order_action(order, planned, &self.name, fence));
        }
    }
}

/// An order that waits until edges have stopped sending what it concerns.
#[derive(Clone, Debug)]
struct Planned {
    due: Millis,
    service: String,
    order: PlannedOrder,
}

/// The note that a server's record needs, if it is not the one that it has.
fn contents_note(
    now: Millis,
    planner: &Planner,
    record: &ServerRecord,
    fence: u64,
) -> Option<PlacementOverlay> {
    let served = planner.served(now, &record.id)?;
    let said = record.heartbeat.models.as_deref()?;
    let adding = beyond(&served, said);
    let mut dropping = beyond(said, &served);
    for model in &mut dropping {
        if !served.iter().any(|held| held.name == model.name) {
            // The whole model.
            model.adapters.clear();
        }
    }
    let known = &record.overlay;
    if known.added == adding && known.evicting == dropping {
        return None;
    }
    let number = if known.fencing_token == fence { known.revision + 1 } else { 1 };
    Some(PlacementOverlay { fencing_token: fence, revision: number, added: adding, evicting: dropping })
}

/// Models and adapters of one list that another lacks. A model that the other has stands there for its adapters only.
fn beyond(these: &[LoadedModel], those: &[LoadedModel]) -> Vec<LoadedModel> {
    let mut more = Vec::new();
    for held in these {
        match those.iter().find(|other| other.name == held.name) {
            None => more.push(held.clone()),
            Some(other) => {
                let adapters: Vec<String> = held
                    .adapters
                    .iter()
                    .filter(|adapter| !other.adapters.contains(adapter))
                    .cloned()
                    .collect();
                if !adapters.is_empty() {
                    more.push(LoadedModel { adapters, ..held.clone() });
                }
            }
        }
    }
    more
}

fn order_action(order: OrderId, planned: PlannedOrder, name: &str, fence: u64) -> Action {
    let body = Order {
        operation: planned.operation,
        model: planned.model,
        adapter: planned.adapter,
        if_revision: Some(planned.if_revision),
        lease_holder: name.to_owned(),
        fencing_token: fence,
    };
    Action::Order { order, server: planned.server, address: planned.address, body }
}

fn catalogue(runtime: &Runtime) -> Catalogue {
    let spec = |model: &shaletrail_configuration::Model| ModelSpec {
        name: model.name.clone(),
        weights_mb: model.weights_mb,
        load_time_s: model.load_time_s,
        adapters: model.adapters,
        adapter_size_mb: model.adapter_size_mb,
    };
    Catalogue {
        models: runtime.models.iter().map(spec).collect(),
        weights_mb: runtime.weights_mb,
        adapter_capacity: runtime.adapter_capacity,
        load_per_s: runtime.load_per_s,
    }
}
