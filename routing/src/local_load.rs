//! What this edge has under way at one server, for its own choices and for the other edges.

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;
use shaletrail_ring::hash_of_name;

use crate::advertisement::Advertisement;
use crate::load_table::RemoteLoad;

/// Prompt tokens from which a change is told at once.
const URGENT_PREFILL_TOKENS: u64 = 1_000;

/// What this edge has under way at one server.
#[derive(Debug)]
pub(crate) struct LocalLoad {
    /// Names the server among edges.
    key: u64,
    /// Prompt tokens of requests whose answer has not begun.
    pub prefill_tokens: u64,
    /// When each request was sent whose answer has not begun.
    unanswered: Vec<Millis>,
    advertised: Advertisement,
}

impl LocalLoad {
    /// Nothing is under way.
    pub fn new(id: &str) -> Self {
        let key = hash_of_name(id);
        LocalLoad { key, prefill_tokens: 0, unanswered: Vec::new(), advertised: Advertisement::idle(key) }
    }

    /// A request was sent; whether the others should hear of it at once.
    pub fn record_sent(&mut self, now: Millis, prefill: u32) -> bool {
        self.prefill_tokens += u64::from(prefill);
        self.unanswered.push(now);
        u64::from(prefill) >= URGENT_PREFILL_TOKENS
    }

    /// Its answer has begun, or it is over; whether the others should hear of it at once.
    pub fn record_response(&mut self, sent_at: Millis, prefill: u32) -> bool {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(u64::from(prefill));
        if let Some(position) = self.unanswered.iter().position(|sent| *sent == sent_at) {
            self.unanswered.swap_remove(position);
        }
        u64::from(prefill) >= URGENT_PREFILL_TOKENS
    }

    /// What the other edges were told last.
    pub fn advertised(&self) -> &EdgeServerLoad {
        &self.advertised.load
    }

    /// Whether a request has been waiting for `patience` milliseconds with no sign of life of the server since.
    pub fn is_unresponsive(&self, now: Millis, last_response_at: Millis, timeout_ms: Millis) -> bool {
        self.unanswered.iter().any(|sent| sent + timeout_ms <= now && last_response_at <= *sent)
    }

    /// What the other edges should be told, if that differs from what they were or was told long ago.
    pub fn take_changed_load(&mut self, now: Millis, open: u32, silent: bool) -> Option<EdgeServerLoad> {
        let load =
            RemoteLoad { open, prefill_tokens: self.prefill_tokens, unresponsive_edges: u32::from(silent) }
                .to_edge_load(self.key);
        if load == self.advertised.load && !self.advertised.needs_refresh(now, &load) {
            return None;
        }
        self.advertised = Advertisement { load, at: now };
        Some(load)
    }
}
