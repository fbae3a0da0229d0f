//! A model server as seen by the control plane: its heartbeats, orders and reports, and whether it accepts a request.

use shaletrail_coordinator::interface::OrderOutcome;
use shaletrail_protocol::external::{Heartbeat, LoadedModel, Operation, Order, ServerReport, ServerState};
use shaletrail_protocol::{Millis, ServerId};

use crate::deployment;
use crate::options::Options;
use crate::topology::zone_of;

/// HTTP status for a request to another incarnation, or for a model or adapter that is not loaded.
const MISDIRECTED_REQUEST: u16 = 421;
/// HTTP status for a request to a model that is being loaded or evicted.
const SERVICE_UNAVAILABLE: u16 = 503;
/// The time to load an adapter.
const ADAPTER_LOAD_MS: Millis = 20;
/// The time to evict a model.
const MODEL_EVICTION_MS: Millis = 200;

/// A model server.
#[derive(Clone, Debug)]
pub struct ServerNode {
    index: usize,
    service: String,
    restarts: u32,
    /// Id of the current incarnation.
    pub id: ServerId,
    /// The loaded models, with their adapters.
    pub models: Vec<LoadedModel>,
    order_in_flight: Option<Order>,
    revision: u64,
    sequence: u64,
    /// Index of the coordinator that receives the server's heartbeats.
    pub coordinator: usize,
    /// The number of requests in progress.
    pub active_requests: u32,
}

impl ServerNode {
    /// A server that has these models loaded from its first start.
    pub fn new(options: &Options, index: usize, models: Vec<LoadedModel>) -> Self {
        let service = deployment::service_name(deployment::service_of_server(options, index));
        let coordinator = index % options.coordinators;
        let id = incarnation_id(index, 0);
        ServerNode {
            index,
            service,
            restarts: 0,
            id,
            models,
            order_in_flight: None,
            revision: 0,
            sequence: 0,
            coordinator,
            active_requests: 0,
        }
    }

    /// Restarts the machine: the server gets a new incarnation without any models.
    pub fn restart(&mut self) {
        self.restarts += 1;
        self.id = incarnation_id(self.index, self.restarts);
        self.models.clear();
        self.order_in_flight = None;
        self.revision = 0;
        self.sequence = 0;
        self.active_requests = 0;
    }

    /// The body of the next heartbeat, as JSON.
    pub fn heartbeat(&mut self) -> Vec<u8> {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            service: self.service.clone(),
            address: deployment::server_address(self.index),
            zone: format!("zone-{}", zone_of(self.index)),
            version: "v1".to_owned(),
            slots: deployment::SLOTS,
            state: ServerState::Ready,
            phase: "combined".to_owned(),
            models: Some(self.models.clone()),
            sequence: self.sequence,
            ..Heartbeat::default()
        };
        sonic_rs::to_vec(&heartbeat).unwrap_or_default()
    }

    /// Checks whether the server would run a request.
    ///
    /// # Errors
    ///
    /// The HTTP status with which it rejects the request: 421 if the request is for another incarnation, or for a model
    /// or adapter that is not loaded; 503 while it loads or evicts the model.
    pub fn check_request(&self, expected: &str, model: &str, adapter: Option<&str>) -> Result<(), u16> {
        if expected != self.id {
            return Err(MISDIRECTED_REQUEST);
        }
        let busy_with = |order: &Order| order.model == model && order.adapter.is_none();
        if self.order_in_flight.as_ref().is_some_and(busy_with) {
            return Err(SERVICE_UNAVAILABLE);
        }
        let loaded = self.models.iter().find(|loaded| loaded.name == model).ok_or(MISDIRECTED_REQUEST)?;
        let is_loaded = |adapter: &str| loaded.adapters.iter().any(|name| name == adapter);
        if adapter.is_none_or(is_loaded) {
            Ok(())
        } else {
            Err(MISDIRECTED_REQUEST)
        }
    }

    /// Accepts or rejects an order. An accepted order is returned with the time until it completes.
    pub fn on_order(&mut self, expected: &str, order: Order) -> (OrderOutcome, Option<Millis>) {
        if expected != self.id {
            return (OrderOutcome::WrongInstance, None);
        }
        let wrong_revision = order.if_revision.is_some_and(|revision| revision != self.revision);
        if self.order_in_flight.is_some() || wrong_revision {
            return (OrderOutcome::Busy, None);
        }
        if self.is_done(&order) {
            return (OrderOutcome::AlreadyDone, None);
        }
        self.revision += 1;
        let duration = match (&order.adapter, order.operation) {
            (Some(_), _) => ADAPTER_LOAD_MS,
            (None, Operation::Load) => (deployment::MODEL_LOAD_TIME_S * 1_000.0) as Millis,
            (None, Operation::Evict) => MODEL_EVICTION_MS,
        };
        self.order_in_flight = Some(order);
        (OrderOutcome::Accepted, Some(duration))
    }

    fn is_done(&self, order: &Order) -> bool {
        let model = self.models.iter().find(|loaded| loaded.name == order.model);
        let is_loaded = match &order.adapter {
            None => model.is_some(),
            Some(adapter) => model.is_some_and(|loaded| loaded.adapters.contains(adapter)),
        };
        is_loaded == (order.operation == Operation::Load)
    }

    /// Completes the order in progress. Returns whether it loaded a model or an adapter.
    pub fn complete_order(&mut self) -> bool {
        let Some(order) = self.order_in_flight.take() else { return false };
        let loads = order.operation == Operation::Load;
        match order.adapter {
            None if loads => {
                self.models.push(LoadedModel { name: order.model, version: 1, adapters: Vec::new() });
            }
            None => self.models.retain(|loaded| loaded.name != order.model),
            Some(adapter) => {
                let model = self.models.iter_mut().find(|loaded| loaded.name == order.model);
                let Some(model) = model else { return false };
                if loads {
                    model.adapters.push(adapter);
                } else {
                    model.adapters.retain(|loaded| *loaded != adapter);
                }
            }
        }
        loads
    }

    /// The body of the response to `GET /report`.
    pub fn report(&self) -> ServerReport {
        ServerReport {
            models: self.models.clone(),
            order_in_flight: self.order_in_flight.is_some(),
            sequence: self.revision,
            active: u64::from(self.active_requests),
            ..ServerReport::default()
        }
    }
}

fn incarnation_id(index: usize, restarts: u32) -> ServerId {
    format!("i-{index:06x}{restarts:02x}")
}
