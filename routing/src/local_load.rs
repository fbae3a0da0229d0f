//! The load that this edge has put on one server. It is used by the balancer of this edge and advertised to
//! the other edges.

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;
use shaletrail_ring::hash_of_name;

use crate::advertisement::Advertisement;
use crate::load_table::RemoteLoad;

/// Minimum number of prompt tokens of a request for which a change of the load is advertised immediately.
const URGENT_PREFILL_TOKENS: u64 = 1_000;

#[derive(Debug)]
pub(crate) struct LocalLoad {
    /// Hash of the server's id, which identifies the server in load updates.
    key: u64,
    /// Number of prompt tokens of the requests whose response has not begun.
    pub prefill_tokens: u64,
    /// The times at which the requests without a response were sent.
    unanswered: Vec<Millis>,
    advertised: Advertisement,
}

impl LocalLoad {
    /// Creates the entry of the server with this id, without any load.
    pub fn new(id: &str) -> Self {
        let key = hash_of_name(id);
        LocalLoad { key, prefill_tokens: 0, unanswered: Vec::new(), advertised: Advertisement::idle(key) }
    }

    /// Records that a request was sent. Returns whether the change should be advertised immediately.
    pub fn record_sent(&mut self, now: Millis, prefill: u32) -> bool {
        self.prefill_tokens += u64::from(prefill);
        self.unanswered.push(now);
        u64::from(prefill) >= URGENT_PREFILL_TOKENS
    }

    /// Records that the response of a request has begun, or that the request ended without a response.
    /// Returns whether the change should be advertised immediately.
    pub fn record_response(&mut self, sent_at: Millis, prefill: u32) -> bool {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(u64::from(prefill));
        if let Some(position) = self.unanswered.iter().position(|sent| *sent == sent_at) {
            self.unanswered.swap_remove(position);
        }
        u64::from(prefill) >= URGENT_PREFILL_TOKENS
    }

    /// The last advertised load.
    pub fn advertised(&self) -> &EdgeServerLoad {
        &self.advertised.load
    }

    /// Whether a request has waited for at least `timeout_ms` and the server has responded to no request
    /// since it was sent.
    pub fn is_unresponsive(&self, now: Millis, last_response_at: Millis, timeout_ms: Millis) -> bool {
        self.unanswered.iter().any(|sent| sent + timeout_ms <= now && last_response_at <= *sent)
    }

    /// Returns the load and records it as advertised, if it changed since the last advertisement or needs a
    /// refresh.
    pub fn take_changed_load(
        &mut self,
        now: Millis,
        open_requests: u32,
        is_unresponsive: bool,
    ) -> Option<EdgeServerLoad> {
        let load = RemoteLoad {
            open_requests,
            prefill_tokens: self.prefill_tokens,
            unresponsive_edges: u32::from(is_unresponsive),
        }
        .to_edge_load(self.key);
        if load == self.advertised.load && !self.advertised.needs_refresh(now, &load) {
            return None;
        }
        self.advertised = Advertisement { load, advertised_at: now };
        Some(load)
    }
}
