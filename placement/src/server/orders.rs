//! Follows an order to a server from its sending to its end.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use super::Server;
use crate::in_flight::InFlightOrder;
use crate::uncertainty::{Uncertainty, MAX_REPORT_AGE};

/// Time after acceptance at which an adapter counts as loaded, in milliseconds.
const ADAPTER_LOAD_TIME: Millis = 50;
/// Time after sending at which an order without an outcome counts as unanswered, in milliseconds.
const OUTCOME_TIMEOUT: Millis = 5_000;

impl Server {
    /// An order is sent.
    pub fn order_sent(&mut self, order: InFlightOrder) {
        self.reports.order_sent(order.sent_at);
        if order.is_for_model(Operation::Load) {
            self.contents.forget_former_sizes(order.artifact.model);
        }
        self.in_flight = Some(order);
    }

    /// The server has accepted the order.
    pub fn order_accepted(&mut self, now: Millis) {
        if let Some(order) = &mut self.in_flight {
            order.accepted_at = Some(now);
            self.revision.order_accepted(order.if_revision);
        }
    }

    /// The server had nothing to do for the order: its contents were not known correctly.
    pub fn order_already_done(&mut self, now: Millis) {
        let Some(order) = self.in_flight.take() else { return };
        match order.operation {
            Operation::Load => {
                self.contents.add(now, order.artifact);
                self.revision.invalidate();
            }
            Operation::Evict => self.assume_unknown_order(now, MAX_REPORT_AGE),
        }
    }

    /// The server has certainly not accepted the order. The next one waits for `backoff` milliseconds.
    pub fn order_rejected(&mut self, now: Millis, backoff: Millis) {
        self.in_flight = None;
        self.blocked_until = now.saturating_add(backoff);
    }

    /// The server is busy with an unknown order, or its revision is not the order's.
    pub fn order_conflicted(&mut self, now: Millis) {
        self.in_flight = None;
        self.assume_unknown_order(now, MAX_REPORT_AGE);
    }

    /// There was no response: the server may have accepted the order, or may still do so.
    pub fn order_unanswered(&mut self, now: Millis) {
        let Some(order) = self.in_flight.take() else { return };
        if order.operation == Operation::Load {
            self.contents.add(now, order.artifact);
        }
        self.revision.invalidate();
        self.uncertainty = Some(Uncertainty::of_unanswered_order(now, &order));
    }

    fn assume_unknown_order(&mut self, now: Millis, report_after: Millis) {
        self.revision.invalidate();
        self.uncertainty = Some(Uncertainty::of_unknown_order(now, report_after));
    }

    /// Ends the order in flight if its time is over.
    pub fn expire_order(&mut self, now: Millis) {
        let Some(order) = &self.in_flight else { return };
        let Some(accepted_at) = order.accepted_at else {
            if now.saturating_sub(order.sent_at) >= OUTCOME_TIMEOUT {
                self.order_unanswered(now);
            }
            return;
        };
        let artifact = order.artifact;
        if order.operation == Operation::Load && artifact.adapter.is_some() {
            if now.saturating_sub(accepted_at) >= ADAPTER_LOAD_TIME {
                self.contents.add(now, artifact);
                self.in_flight = None;
            }
        } else if order.is_overdue(now) {
            self.in_flight = None;
            self.assume_unknown_order(now, 0);
        }
    }
}
