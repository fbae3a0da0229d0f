//! Records orders as sent and applies their outcomes.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::{Millis, ServerId};

use super::{Planner, UNREACHABLE_BACKOFF};
use crate::catalogue::adapter_name;
use crate::in_flight::InFlightOrder;
use crate::interface::{OrderNumber, OrderOutcome, PlannedOrder};
use crate::model::Artifact;
use crate::server::ServerKey;

/// A server that has rejected an order as invalid gets no orders for this long, in milliseconds.
const REJECTED_BACKOFF: Millis = 5_000;

impl Planner {
    /// Applies the outcome of an order to a server. Ignored if the order is no longer in flight or already accepted.
    pub fn complete_order(&mut self, now: Millis, id: &ServerId, number: OrderNumber, outcome: OrderOutcome) {
        let Some(server) = self.keys.get(id).and_then(|key| self.servers.get_mut(key)) else { return };
        let is_outstanding = |order: &&InFlightOrder| order.number == number && order.accepted_at.is_none();
        let Some(order) = server.in_flight.as_ref().filter(is_outstanding) else { return };
        if let Some(token) = order.origin_load {
            match outcome {
                OrderOutcome::Accepted => self.origin.order_accepted(now, token),
                OrderOutcome::Unknown => {}
                _ => self.origin.cancel(token),
            }
        }
        match outcome {
            OrderOutcome::Accepted => server.order_accepted(now),
            OrderOutcome::AlreadyDone => server.order_already_done(now),
            OrderOutcome::Busy => server.order_conflicted(now),
            OrderOutcome::Rejected => server.order_rejected(now, REJECTED_BACKOFF),
            OrderOutcome::Fenced | OrderOutcome::NotSent => server.order_rejected(now, UNREACHABLE_BACKOFF),
            OrderOutcome::WrongInstance => return self.mark_timed_out(now, id),
            OrderOutcome::Unknown => server.order_unanswered(now),
        }
        self.has_changed = true;
    }

    /// Records an order as in flight and returns it for sending. `None` if the server's revision is not known, in which
    /// case a report is requested instead.
    pub(super) fn send(
        &mut self,
        now: Millis,
        key: ServerKey,
        operation: Operation,
        artifact: Artifact,
        from_origin: bool,
    ) -> Option<PlannedOrder> {
        let expected_ms = self.expected_ms(now, operation, artifact, from_origin)?;
        let server = self.servers.get_mut(&key)?;
        let Some(if_revision) = server.revision.known() else {
            server.request_revision();
            return None;
        };
        self.last_order += 1;
        let number = OrderNumber(self.last_order);
        let planned = PlannedOrder {
            number,
            server: server.id.clone(),
            address: server.address.clone(),
            operation,
            model: self.models.get(artifact.model)?.spec.name.clone(),
            adapter: artifact.adapter.map(adapter_name),
            if_revision,
        };
        server.order_sent(InFlightOrder {
            number,
            if_revision,
            operation,
            artifact,
            sent_at: now,
            accepted_at: None,
            origin_load: from_origin.then(|| self.origin.order_sent(now)),
            expected_ms,
        });
        self.count_order(operation, artifact, from_origin);
        Some(planned)
    }

    /// Returns the expected time from an order's acceptance to its completion, in milliseconds; 0 for an eviction or an
    /// adapter, `None` for an unknown model.
    fn expected_ms(
        &self,
        now: Millis,
        operation: Operation,
        artifact: Artifact,
        from_origin: bool,
    ) -> Option<Millis> {
        let spec = &self.models.get(artifact.model)?.spec;
        if operation != Operation::Load || artifact.adapter.is_some() {
            return Some(0);
        }
        // Once the weight store serves more loads than it can at full speed, all of them slow down in proportion.
        let loads = (self.origin_loads_in_flight(now) + 1) as f64;
        let slowdown = (loads / self.catalogue.max_concurrent_loads() as f64).max(1.0);
        Some(InFlightOrder::expected_load_ms(spec.load_time_s * slowdown, from_origin))
    }

    fn count_order(&mut self, operation: Operation, artifact: Artifact, from_origin: bool) {
        let counter = match (operation, artifact.adapter) {
            (_, Some(_)) => &mut self.counters.adapter_orders,
            (Operation::Evict, None) => &mut self.counters.evictions,
            (Operation::Load, None) if from_origin => &mut self.counters.origin_loads,
            (Operation::Load, None) => &mut self.counters.disk_loads,
        };
        *counter += 1;
    }
}
