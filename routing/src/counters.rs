//! Counts of requests by their end.

use strum::EnumCount;

use crate::interface::RejectReason;

/// Counts since the start. `received == completed + rejected() + aborted_responses + client_left + open` at all times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received from clients.
    pub received: u64,
    /// Requests that got a complete response of a server, failures among them.
    pub completed: u64,
    /// Of those, failures of servers that were forwarded.
    pub forwarded_failures: u64,
    /// Responses that were aborted midway.
    pub aborted_responses: u64,
    /// Requests whose client left first.
    pub client_left: u64,
    /// Requests without a final action yet.
    pub open: u64,
    /// Of those, requests that are queued for a server.
    pub queued: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Retries: attempts beyond a request's first that reached a server, or may have.
    pub retries: u64,
    /// Streams resumed at another server.
    pub resumed: u64,
    rejected: [u64; RejectReason::COUNT],
}

impl Counters {
    /// Requests that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected.iter().sum()
    }

    /// Requests that were rejected for one reason.
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        self.rejected.get(reason as usize).copied().unwrap_or(0)
    }

    pub(crate) fn record_rejection(&mut self, reason: RejectReason) {
        if let Some(count) = self.rejected.get_mut(reason as usize) {
            *count += 1;
        }
    }
}
