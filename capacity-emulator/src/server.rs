//! A model server, as far as the control plane sees it: heartbeats, orders, reports, and whether it would take a
//! request.

use shaletrail_coordinator::interface::OrderOutcome;
use shaletrail_protocol::external::{Heartbeat, LoadedModel, Operation, Order, ServerReport, ServerState};
use shaletrail_protocol::{Millis, ServerId};

use crate::options::Options;
use crate::schedule::zone_of;
use crate::site;

/// What an adapter takes to come up.
const ADAPTER_TAKES: Millis = 20;
/// What the unloading of a model takes.
const EVICTION_TAKES: Millis = 200;

/// A model server.
#[derive(Clone, Debug)]
pub struct ServerNode {
    place: usize,
    service: String,
    starts: u32,
    /// This start of it.
    pub id: ServerId,
    /// What it holds.
    pub held: Vec<LoadedModel>,
    running: Option<Order>,
    revision: u64,
    sequence: u64,
    /// The coordinator that its heartbeats go to.
    pub core: usize,
    /// Requests that run.
    pub open: u32,
}

impl ServerNode {
    /// A server that holds something from its start.
    pub fn new(options: &Options, place: usize, held: Vec<LoadedModel>) -> Self {
        let service = site::service_name(site::service_of_server(options, place));
        let core = place % options.cores;
        let id = name(place, 0);
        ServerNode {
            place,
            service,
            starts: 0,
            id,
            held,
            running: None,
            revision: 0,
            sequence: 0,
            core,
            open: 0,
        }
    }

    /// Its machine restarts: it is another server now, and empty.
    pub fn restart(&mut self) {
        self.starts += 1;
        self.id = name(self.place, self.starts);
        self.held.clear();
        self.running = None;
        self.revision = 0;
        self.sequence = 0;
        self.open = 0;
    }

    /// The next heartbeat's body.
    pub fn heartbeat(&mut self) -> Vec<u8> {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            service: self.service.clone(),
            address: site::server_address(self.place),
            zone: format!("zone-{}", zone_of(self.place)),
            version: "v1".to_owned(),
            slots: site::SLOTS,
            state: ServerState::Ready,
            phase: "combined".to_owned(),
            models: Some(self.held.clone()),
            sequence: self.sequence,
            ..Heartbeat::default()
        };
        sonic_rs::to_vec(&heartbeat).unwrap_or_default()
    }

    /// Whether it would run a request; otherwise the status with which it turns it away.
    pub fn takes(&self, expected: &str, model: &str, adapter: Option<&str>) -> Result<(), u16> {
        if expected != self.id {
            return Err(421);
        }
        let busy_with = |order: &Order| order.model == model && order.adapter.is_none();
        if self.running.as_ref().is_some_and(busy_with) {
            return Err(503);
        }
        let held = self.held.iter().find(|held| held.name == model).ok_or(421_u16)?;
        let there = |adapter: &str| held.adapters.iter().any(|name| name == adapter);
        if adapter.is_none_or(there) {
            Ok(())
        } else {
            Err(421)
        }
    }

    /// Takes an order or doesn't; with the time until it is carried out.
    pub fn order(&mut self, expected: &str, order: Order) -> (OrderOutcome, Option<Millis>) {
        if expected != self.id {
            return (OrderOutcome::WrongInstance, None);
        }
        let wrong_revision = order.if_revision.is_some_and(|revision| revision != self.revision);
        if self.running.is_some() || wrong_revision {
            return (OrderOutcome::Busy, None);
        }
        if self.is_done(&order) {
            return (OrderOutcome::AlreadyDone, None);
        }
        self.revision += 1;
        let takes = match (&order.adapter, order.operation) {
            (Some(_), _) => ADAPTER_TAKES,
            (None, Operation::Load) => (site::LOAD_TIME_S * 1_000.0) as Millis,
            (None, Operation::Evict) => EVICTION_TAKES,
        };
        self.running = Some(order);
        (OrderOutcome::Accepted, Some(takes))
    }

    fn is_done(&self, order: &Order) -> bool {
        let model = self.held.iter().find(|held| held.name == order.model);
        let there = match &order.adapter {
            None => model.is_some(),
            Some(adapter) => model.is_some_and(|held| held.adapters.contains(adapter)),
        };
        there == (order.operation == Operation::Load)
    }

    /// Has carried its order out; whether that was the load of a model or of an adapter.
    pub fn finish_order(&mut self) -> bool {
        let Some(order) = self.running.take() else { return false };
        let loads = order.operation == Operation::Load;
        match order.adapter {
            None if loads => {
                self.held.push(LoadedModel { name: order.model, version: 1, adapters: Vec::new() });
            }
            None => self.held.retain(|held| held.name != order.model),
            Some(adapter) => {
                let model = self.held.iter_mut().find(|held| held.name == order.model);
                let Some(model) = model else { return false };
                if loads {
                    model.adapters.push(adapter);
                } else {
                    model.adapters.retain(|held| *held != adapter);
                }
            }
        }
        loads
    }

    /// Its answer to `GET /report`.
    pub fn report(&self) -> ServerReport {
        ServerReport {
            models: self.held.clone(),
            order_in_flight: self.running.is_some(),
            sequence: self.revision,
            active: u64::from(self.open),
            ..ServerReport::default()
        }
    }
}

fn name(place: usize, start: u32) -> ServerId {
    format!("i-{place:06x}{start:02x}")
}
