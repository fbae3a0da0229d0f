//! What a relay has told of sums of loads, so that it tells only what has changed.

use std::cmp::Reverse;
use std::collections::HashMap;

use shaletrail_protocol::inside::LoadShare;
use shaletrail_protocol::Millis;

use crate::load_table::{Elsewhere, TELL_AGAIN};

/// Shares told at once, at most: what a relay sends must stay a small part of its link. The most urgent go first.
const MOST_SHARES: usize = 256;

/// The sums that were told last.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    told: HashMap<u64, (LoadShare, Millis)>,
}

impl Announced {
    /// The sums that differ from what was told, or were told long ago. `servers` are those at which there is anything.
    pub fn take_news(
        &mut self,
        now: Millis,
        servers: impl Iterator<Item = u64>,
        sum_at: impl Fn(u64) -> Elsewhere,
    ) -> Vec<LoadShare> {
        let mut servers: Vec<u64> = servers.chain(self.told.keys().copied()).collect();
        servers.sort_unstable();
        servers.dedup();
        let mut news: Vec<(Reverse<u32>, LoadShare)> = servers
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

    /// How urgent it is to tell a sum: by how many prompt tokens it has changed, and above all where it was told so long
    /// ago that others will soon forget it. `None` where it need not be told.
    fn urgency(&self, now: Millis, share: &LoadShare) -> Option<u32> {
        let (told, told_at) = self.told.get(&share.server).copied().unwrap_or((nothing_at(share.server), 0));
        let again = *share != nothing_at(share.server) && told_at + TELL_AGAIN <= now;
        if again {
            return Some(u32::MAX);
        }
        (told != *share).then(|| told.prefill.abs_diff(share.prefill))
    }

    fn note(&mut self, now: Millis, share: &LoadShare) {
        if *share == nothing_at(share.server) {
            self.told.remove(&share.server);
        } else {
            self.told.insert(share.server, (*share, now));
        }
    }
}

fn nothing_at(server: u64) -> LoadShare {
    LoadShare { server, ..LoadShare::default() }
}
