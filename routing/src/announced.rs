//! What was told of requests at servers, so that only what has changed is told.

use std::cmp::Reverse;
use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;

use crate::load_table::{Elsewhere, TELL_AGAIN};

/// Shares told at once, at most: what a relay sends must stay a small part of its link. The most urgent go first.
const MOST_SHARES: usize = 256;

/// What was told last of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announcement {
    /// The share.
    pub share: EdgeServerLoad,
    /// When it was told.
    pub at: Millis,
}

impl Announcement {
    /// Nothing is under way at a server: what others take for granted.
    pub fn of_nothing(server: u64) -> Self {
        Announcement { share: EdgeServerLoad { server, ..EdgeServerLoad::default() }, at: 0 }
    }

    /// Whether a share must be told as others will soon forget what they were told.
    pub fn lapses(&self, now: Millis, share: &EdgeServerLoad) -> bool {
        !is_nothing(share) && self.at + TELL_AGAIN <= now
    }
}

/// The sums that a relay has told last.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    told: HashMap<u64, Announcement>,
}

impl Announced {
    /// The sums that differ from what was told, or were told long ago. `servers` are those at which there is anything.
    pub fn take_news(
        &mut self,
        now: Millis,
        servers: impl Iterator<Item = u64>,
        sum_at: impl Fn(u64) -> Elsewhere,
    ) -> Vec<EdgeServerLoad> {
        let mut servers: Vec<u64> = servers.chain(self.told.keys().copied()).collect();
        servers.sort_unstable();
        servers.dedup();
        let mut news: Vec<(Reverse<u32>, EdgeServerLoad)> = servers
            .into_iter()
            .filter_map(|server| {
                let share = sum_at(server).as_share(server);
                Some((Reverse(self.urgency(now, &share)?), share))
            })
            .collect();
        news.sort_unstable_by_key(|(urgency, share)| (*urgency, share.server));
        news.truncate(MOST_SHARES);
        for (_, share) in &news {
            self.note(now, share);
        }
        news.into_iter().map(|(_, share)| share).collect()
    }

    /// How urgent it is to tell a sum: by how many prompt tokens it has changed, and above all where it was never told
    /// or others will soon forget it. `None` where it need not be told.
    fn urgency(&self, now: Millis, share: &EdgeServerLoad) -> Option<u32> {
        let told = self.told.get(&share.server).copied();
        let told = told.unwrap_or(Announcement::of_nothing(share.server));
        if told.lapses(now, share) {
            return Some(u32::MAX);
        }
        (told.share != *share).then(|| told.share.prefill_tokens.abs_diff(share.prefill_tokens))
    }

    fn note(&mut self, now: Millis, share: &EdgeServerLoad) {
        if is_nothing(share) {
            self.told.remove(&share.server);
        } else {
            self.told.insert(share.server, Announcement { share: *share, at: now });
        }
    }
}

fn is_nothing(share: &EdgeServerLoad) -> bool {
    *share == Announcement::of_nothing(share.server).share
}
