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
    pub passed_on: u64,
    /// Answers that broke off midway.
    pub broken_off: u64,
    /// Requests whose client left first.
    pub client_left: u64,
    /// Requests that are here.
    pub open: u64,
    /// Of those, requests that wait for a server.
    pub held: u64,
    /// Sendings.
    pub sendings: u64,
    /// Sendings beyond the first that arrived, or may have.
    pub repeats: u64,
    /// Streams taken up at another server.
    pub resumed: u64,
    refused: [u64; RejectReason::COUNT],
}

impl Counters {
    /// Requests that were refused.
    pub fn refused(&self) -> u64 {
        self.refused.iter().sum()
    }

    /// Requests that were refused for one reason.
    pub fn refused_for(&self, reason: RejectReason) -> u64 {
        self.refused.get(reason as usize).copied().unwrap_or(0)
    }

    pub(crate) fn count_refusal(&mut self, reason: RejectReason) {
        if let Some(count) = self.refused.get_mut(reason as usize) {
            *count += 1;
        }
    }
}
