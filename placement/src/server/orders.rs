//! Tracks an order to a server from sending to completion.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use super::Server;
use crate::in_flight::InFlightOrder;
use crate::uncertainty::{Uncertainty, MAX_REPORT_AGE};

/// An adapter counts as loaded this long after the order's acceptance, in milliseconds.
const ADAPTER_LOAD_TIME: Millis = 50;
/// An order whose outcome has not been recorded this long after sending counts as unanswered, in milliseconds.
const OUTCOME_TIMEOUT: Millis = 5_000;

impl Server {
    /// Records an order that is being sent.
    pub fn order_sent(&mut self, order: InFlightOrder) {
        self.reports.order_sent(order.sent_at);
        if order.is_for_model(Operation::Load) {
            self.contents.forget_former_sizes(order.artifact.model);
        }
        self.in_flight = Some(order);
    }

    /// Records that the server has accepted the order in flight.
    pub fn order_accepted(&mut self, now: Millis) {
        if let Some(order) = &mut self.in_flight {
            order.accepted_at = Some(now);
            self.revision.order_accepted(order.if_revision);
        }
    }

    /// Records that the server had nothing to do for the order, which means that its known contents were wrong.
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

    /// Records that the server has certainly not accepted the order. It gets no further order for `backoff`
    /// milliseconds.
    pub fn order_rejected(&mut self, now: Millis, backoff: Millis) {
        self.in_flight = None;
        self.blocked_until = now.saturating_add(backoff);
    }

    /// Records that the server is executing an unknown order, or that its revision is not the one that the order
    /// required.
    pub fn order_conflicted(&mut self, now: Millis) {
        self.in_flight = None;
        self.assume_unknown_order(now, MAX_REPORT_AGE);
    }

    /// Records that the order got no response: the server may have accepted it, or may still accept it.
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

    /// Removes the order in flight if it has timed out, or if it is an adapter load that counts as complete.
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
