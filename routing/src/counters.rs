//! Counters of requests by how they ended.

use strum::EnumCount;

use crate::interface::RejectReason;

/// Counts since the start of the process, apart from the gauges `open` and `queued`. The following always
/// holds: `received == completed + rejected() + aborted_responses + client_left + open`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received from clients.
    pub received: u64,
    /// Requests that got the complete response of a server, including forwarded failures.
    pub completed: u64,
    /// The part of `completed` for which the failed response of a server was forwarded.
    pub forwarded_failures: u64,
    /// Responses that were aborted after their head had been forwarded.
    pub aborted_responses: u64,
    /// Requests whose client left before the response was complete.
    pub client_left: u64,
    /// Gauge of the requests that have not ended yet.
    pub open: u64,
    /// Gauge of the open requests that are queued for a server.
    pub queued: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Attempts that reached a server, or may have, after an earlier attempt of the same request had done so.
    pub retries: u64,
    /// Attempts that resumed a stream at another server.
    pub resumed: u64,
    rejected: [u64; RejectReason::COUNT],
}

impl Counters {
    /// Requests that the edge rejected, over all reasons.
    pub fn rejected(&self) -> u64 {
        self.rejected.iter().sum()
    }

    /// Requests that the edge rejected for this reason.
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        self.rejected.get(reason as usize).copied().unwrap_or(0)
    }

    pub(crate) fn record_rejection(&mut self, reason: RejectReason) {
        if let Some(count) = self.rejected.get_mut(reason as usize) {
            *count += 1;
        }
    }
}
