//! What this edge has under way at one server, for its own choices and for the other edges.

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;
use shaletrail_ring::hash_of_name;

use crate::announced::Announcement;
use crate::load_table::Elsewhere;

/// Prompt tokens from which a change is told at once.
const LARGE: u64 = 1_000;

/// What this edge has under way at one server.
#[derive(Debug)]
pub(crate) struct OwnShare {
    /// Names the server among edges.
    key: u64,
    /// Prompt tokens of requests whose answer has not begun.
    pub prefill: u64,
    /// When each request was sent whose answer has not begun.
    unanswered: Vec<Millis>,
    told: Announcement,
}

impl OwnShare {
    /// Nothing is under way.
    pub fn new(id: &str) -> Self {
        let key = hash_of_name(id);
        OwnShare { key, prefill: 0, unanswered: Vec::new(), told: Announcement::of_nothing(key) }
    }

    /// A request was sent; whether the others should hear of it at once.
    pub fn sent(&mut self, now: Millis, prefill: u32) -> bool {
        self.prefill += u64::from(prefill);
        self.unanswered.push(now);
        u64::from(prefill) >= LARGE
    }

    /// Its answer has begun, or it is over; whether the others should hear of it at once.
    pub fn answered(&mut self, sent_at: Millis, prefill: u32) -> bool {
        self.prefill = self.prefill.saturating_sub(u64::from(prefill));
        if let Some(position) = self.unanswered.iter().position(|sent| *sent == sent_at) {
            self.unanswered.swap_remove(position);
        }
        u64::from(prefill) >= LARGE
    }

    /// What the other edges were told last.
    pub fn told(&self) -> &EdgeServerLoad {
        &self.told.share
    }

    /// Whether a request has been waiting for `patience` milliseconds with no sign of life of the server since.
    pub fn is_silent(&self, now: Millis, heard_at: Millis, patience: Millis) -> bool {
        self.unanswered.iter().any(|sent| sent + patience <= now && heard_at <= *sent)
    }

    /// What the other edges should be told, if that differs from what they were or was told long ago.
    pub fn take_news(&mut self, now: Millis, open: u32, silent: bool) -> Option<EdgeServerLoad> {
        let share = Elsewhere { open, prefill: self.prefill, silent: u32::from(silent) }.as_share(self.key);
        if share == self.told.share && !self.told.lapses(now, &share) {
            return None;
        }
        self.told = Announcement { share, at: now };
        Some(share)
    }
}
