//! Simulates messages between the lease holder and the servers, with delays and losses.

use rand::Rng;
use shaletrail_placement::{OrderNumber, OrderOutcome, PlannedOrder};
use shaletrail_protocol::external::ServerReport;
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::{Simulation, STEP};

/// Maximum delay of an order or its response, in milliseconds.
const MAX_DELAY: Millis = 60;
/// Maximum delay of a late order, in milliseconds. Its response arrives within [`RESPONSE_TIMEOUT`] or not at all.
const MAX_LATE_ORDER_DELAY: Millis = 600;
/// Maximum delay of a late report, in milliseconds.
const MAX_LATE_REPORT_DELAY: Millis = 1_400;
/// The lease holder stops waiting for a response after this time, in milliseconds.
const RESPONSE_TIMEOUT: Millis = 1_000;
/// Age of the values in a report, in milliseconds.
const REPORT_AGE: Millis = 200;

#[derive(Clone, Debug)]
pub enum Message {
    Order { order: PlannedOrder, has_response: bool },
    Outcome { server: String, number: OrderNumber, outcome: OrderOutcome },
    Record(ServerRecord),
    Report { server: String, report: ServerReport },
}

impl Simulation {
    pub(super) fn send(&mut self, arrives_at: Millis, message: Message) {
        self.last_message += 1;
        self.messages.insert((arrives_at, self.last_message), message);
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                Message::Order { order, has_response } => self.deliver_order(order, has_response),
                Message::Outcome { server, number, outcome } => {
                    self.add_trace(&server, format!("answered {outcome}"));
                    self.planner.complete_order(self.now, &server, number, outcome);
                }
                Message::Record(record) => self.deliver_record(&record),
                Message::Report { server, report } => {
                    self.add_trace(&server, format!("report {report:?}"));
                    self.planner.record_report(self.now, &server, &report);
                }
            }
        }
    }

    fn deliver_order(&mut self, order: PlannedOrder, has_response: bool) {
        let outcome = self.execute(&order);
        self.add_trace(&order.server, format!("outcome {outcome}: {} {}", order.operation, order.model));
        if has_response {
            let arrives_at = self.now + self.random.random_range(1..MAX_DELAY);
            let PlannedOrder { server, number, .. } = order;
            self.send(arrives_at, Message::Outcome { server, number, outcome });
        }
    }

    /// Passes a record to both planners. As in the directory, a removal is final: later records of that server are
    /// ignored.
    fn deliver_record(&mut self, record: &ServerRecord) {
        if record.presence == Presence::Removed {
            self.removed_servers.insert(record.id.clone());
        } else if self.removed_servers.contains(&record.id) {
            return;
        }
        let heartbeat = &record.heartbeat;
        self.add_trace(&record.id, format!("heartbeat {} {:?}", heartbeat.sequence, heartbeat.models));
        self.planner.update_server(self.now, record);
        self.standby.update_server(self.now, record);
    }

    pub(super) fn plan(&mut self) {
        let may_order = self.now >= self.orders_from;
        let orders = if may_order { self.planner.next_orders(self.now) } else { Vec::new() };
        orders.into_iter().for_each(|order| self.send_order(order));
        for server in self.planner.next_report_requests(self.now) {
            self.request_report(server);
        }
    }

    fn send_order(&mut self, order: PlannedOrder) {
        self.orders.push((self.now, order.clone()));
        self.add_trace(&order.server, format!("planned {order:?}"));
        let max_delay = if self.happens(self.faults.order_late) { MAX_LATE_ORDER_DELAY } else { MAX_DELAY };
        let arrives_at = self.now + self.random.random_range(1..max_delay);
        let timeout = self.now + RESPONSE_TIMEOUT;
        let unknown = Message::Outcome {
            server: order.server.clone(),
            number: order.number,
            outcome: OrderOutcome::Unknown,
        };
        if self.happens(self.faults.order_lost) {
            self.send(timeout, unknown);
        } else if self.happens(self.faults.response_lost) {
            self.send(timeout, unknown);
            self.send(arrives_at, Message::Order { order, has_response: false });
        } else {
            self.send(arrives_at, Message::Order { order, has_response: true });
        }
    }

    fn request_report(&mut self, id: String) {
        self.report_requests += 1;
        let is_lost = self.happens(self.faults.report_lost);
        let Some(server) = self.servers.iter().find(|server| server.id() == id && server.is_up()) else {
            return;
        };
        let report = server.report_of_age(self.now, REPORT_AGE);
        let Some(report) = report.filter(|_| !is_lost) else { return };
        let is_late = self.happens(self.faults.report_late);
        let delay = if is_late { self.random.random_range(STEP..MAX_LATE_REPORT_DELAY) } else { STEP };
        self.send(self.now + delay, Message::Report { server: id, report });
    }

    /// Drops responses and reports in flight, as their receiver is lost.
    pub(super) fn drop_responses(&mut self) {
        self.messages
            .retain(|_, message| !matches!(message, Message::Outcome { .. } | Message::Report { .. }));
    }

    pub(super) fn drop_responses_of_orders_in_flight(&mut self) {
        self.messages.values_mut().for_each(|message| {
            if let Message::Order { has_response, .. } = message {
                *has_response = false;
            }
        });
    }
}
