//! The load that this edge has put on one server: for its own balancing, and to be advertised to the other edges.

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;
use shaletrail_ring::hash_of_name;

use crate::advertisement::Advertisement;
use crate::load_table::RemoteLoad;

/// Prompt tokens of a request from which a change is advertised at once.
const URGENT_PREFILL_TOKENS: u64 = 1_000;

/// The load of this edge at one server.
#[derive(Debug)]
pub(crate) struct LocalLoad {
    /// Hash of the server's id, which names it among edges.
    key: u64,
    /// Prompt tokens of the requests whose response has not begun.
    pub prefill_tokens: u64,
    /// When each request without a response was sent.
    unanswered: Vec<Millis>,
    advertised: Advertisement,
}

impl LocalLoad {
    /// No load at the server with this id.
    pub fn new(id: &str) -> Self {
        let key = hash_of_name(id);
        LocalLoad { key, prefill_tokens: 0, unanswered: Vec::new(), advertised: Advertisement::idle(key) }
    }

    /// Records a request that was sent. Returns whether it should be advertised at once.
    pub fn record_sent(&mut self, now: Millis, prefill: u32) -> bool {
        self.prefill_tokens += u64::from(prefill);
        self.unanswered.push(now);
        u64::from(prefill) >= URGENT_PREFILL_TOKENS
    }

    /// Records that a request's response has begun, or that it ended without one. Returns whether that should be
    /// advertised at once.
    pub fn record_response(&mut self, sent_at: Millis, prefill: u32) -> bool {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(u64::from(prefill));
        if let Some(position) = self.unanswered.iter().position(|sent| *sent == sent_at) {
            self.unanswered.swap_remove(position);
        }
        u64::from(prefill) >= URGENT_PREFILL_TOKENS
    }

    /// The load that was advertised last.
    pub fn advertised(&self) -> &EdgeServerLoad {
        &self.advertised.load
    }

    /// Whether a request has waited for `timeout_ms` without any response of the server since it was sent.
    pub fn is_unresponsive(&self, now: Millis, last_response_at: Millis, timeout_ms: Millis) -> bool {
        self.unanswered.iter().any(|sent| sent + timeout_ms <= now && last_response_at <= *sent)
    }

    /// The load to advertise, if it changed or needs a refresh.
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
