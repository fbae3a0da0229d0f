//! Decides when a server's report is requested, with an exponential backoff between requests.

use shaletrail_protocol::Millis;

use super::Server;

/// Time after the expected end of an order at which a report shows that end, in milliseconds.
const REPORT_DELAY: Millis = 250;
/// First interval between two requests, in milliseconds. It doubles with each request.
const INITIAL_BACKOFF: Millis = 250;
/// Maximum interval between two requests, in milliseconds.
const MAX_BACKOFF: Millis = 2_400;

/// The requests for one server's reports.
#[derive(Clone, Debug)]
pub(super) struct ReportSchedule {
    /// Whether an order waits for the server's revision.
    needs_revision: bool,
    /// When a report was last requested, or an order sent; 0 if a request need not wait for the backoff.
    requested_at: Millis,
    backoff: Millis,
}

impl Default for ReportSchedule {
    fn default() -> Self {
        ReportSchedule { needs_revision: false, requested_at: 0, backoff: INITIAL_BACKOFF }
    }
}

impl ReportSchedule {
    /// An order is sent: the backoff starts anew.
    pub(super) fn order_sent(&mut self, now: Millis) {
        self.backoff = INITIAL_BACKOFF;
        self.requested_at = now;
    }

    /// A report has given the revision.
    pub(super) fn revision_received(&mut self) {
        self.needs_revision = false;
    }

    fn is_backing_off(&self, now: Millis) -> bool {
        self.requested_at != 0 && now < self.requested_at.saturating_add(self.backoff)
    }
}

impl Server {
    /// An order waits for the server's revision, which a report gives.
    pub fn request_revision(&mut self) {
        if !self.reports.needs_revision {
            self.reports = ReportSchedule { needs_revision: true, ..ReportSchedule::default() };
        }
    }

    /// A request for a report failed: an order that waits for the revision is planned for another server, and this one gets
    /// no orders for `backoff` milliseconds.
    pub fn report_failed(&mut self, now: Millis, backoff: Millis) {
        if self.reports.needs_revision {
            self.reports.needs_revision = false;
            self.reservation = None;
            self.blocked_until = now.saturating_add(backoff);
        }
    }

    /// Whether to request a report now; the next request then waits for the backoff. `is_needed` says whether the planner has
    /// a use for the server.
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
