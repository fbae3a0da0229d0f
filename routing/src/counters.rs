//! What became of requests.

use strum::EnumCount;

use crate::interface::RejectReason;

/// Counts since the start. `received == answered + refused() + broken_off + client_left + open` at all times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that came.
    pub received: u64,
    /// Requests that got a server's whole answer, failures of servers among them.
    pub answered: u64,
    /// Of those, failures of servers.
    pub forwarded_failures: u64,
    /// Answers that broke off midway.
    pub aborted_responses: u64,
    /// Requests whose client left first.
    pub client_left: u64,
    /// Requests that are here.
    pub open: u64,
    /// Of those, requests that wait for a server.
    pub queued: u64,
    /// Sendings.
    pub attempts: u64,
    /// Sendings beyond the first that arrived, or may have.
    pub retries: u64,
    /// Streams taken up at another server.
    pub resumed: u64,
    rejected: [u64; RejectReason::COUNT],
}

impl Counters {
    /// Requests that were refused.
    pub fn rejected(&self) -> u64 {
        self.rejected.iter().sum()
    }

    /// Requests that were refused for one reason.
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        self.rejected.get(reason as usize).copied().unwrap_or(0)
    }

    pub(crate) fn record_rejection(&mut self, reason: RejectReason) {
        if let Some(count) = self.rejected.get_mut(reason as usize) {
            *count += 1;
        }
    }
}
