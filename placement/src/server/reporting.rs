//! Decides when to request a report from a server, with exponential backoff between requests.

use shaletrail_protocol::Millis;

use super::Server;

/// A report is requested this long after the expected end of an order, so that it is likely to show that end, in
/// milliseconds.
const REPORT_DELAY: Millis = 250;
/// Initial interval between two requests, in milliseconds. It doubles with each request.
const INITIAL_BACKOFF: Millis = 250;
/// Maximum interval between two requests, in milliseconds.
const MAX_BACKOFF: Millis = 2_400;

/// The state of the report requests to one server.
#[derive(Clone, Debug)]
pub(super) struct ReportSchedule {
    /// Whether an order waits until a report gives the server's revision.
    needs_revision: bool,
    /// When a report was last requested or an order sent; 0 if the next request does not wait for the backoff.
    requested_at: Millis,
    backoff: Millis,
}

impl Default for ReportSchedule {
    fn default() -> Self {
        ReportSchedule { needs_revision: false, requested_at: 0, backoff: INITIAL_BACKOFF }
    }
}

impl ReportSchedule {
    /// Resets the backoff when an order is sent.
    pub(super) fn order_sent(&mut self, now: Millis) {
        self.backoff = INITIAL_BACKOFF;
        self.requested_at = now;
    }

    /// Records that a report has given the revision.
    pub(super) fn revision_received(&mut self) {
        self.needs_revision = false;
    }

    fn is_backing_off(&self, now: Millis) -> bool {
        self.requested_at != 0 && now < self.requested_at.saturating_add(self.backoff)
    }
}

impl Server {
    /// Requests a report because an order waits for the server's revision.
    pub fn request_revision(&mut self) {
        if !self.reports.needs_revision {
            self.reports = ReportSchedule { needs_revision: true, ..ReportSchedule::default() };
        }
    }

    /// Records that a request for a report failed. If an order waits for the revision, the reservation is cancelled so
    /// that another server can be selected, and this server gets no orders for `backoff` milliseconds.
    pub fn report_failed(&mut self, now: Millis, backoff: Millis) {
        if self.reports.needs_revision {
            self.reports.needs_revision = false;
            self.reservation = None;
            self.blocked_until = now.saturating_add(backoff);
        }
    }

    /// Returns whether to request a report now, and if so delays the next request by the backoff. `is_needed` tells
    /// whether the planner currently needs the server for a replica.
    pub fn poll_report_request(&mut self, now: Millis, is_needed: bool) -> bool {
        let needs_revision = self.reports.needs_revision;
        let due_at = match (&self.in_flight, self.uncertainty) {
            (Some(order), _) => order.accepted_at.map(|accepted| accepted + order.expected_ms + REPORT_DELAY),
            (None, Some(uncertainty)) if is_needed || needs_revision => Some(uncertainty.report_from),
            (None, None) if needs_revision => Some(now),
            (None, _) => None,
        };
        let is_due = self.is_ready() && due_at.is_some_and(|due_at| now >= due_at);
        if !is_due || self.reports.is_backing_off(now) {
            return false;
        }
        self.reports.requested_at = now;
        self.reports.backoff = (self.reports.backoff * 2).min(MAX_BACKOFF);
        true
    }
}
