//! The loads that this edge advertised last, so that an update carries only those that changed or need a refresh.

use std::cmp::Reverse;
use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;

use crate::load_table::{RemoteLoad, REFRESH_INTERVAL};

/// Loads in one update at most, since a relay's updates must stay a small part of its link. The most urgent go first.
const MAX_LOADS_PER_UPDATE: usize = 256;

/// The load that was advertised last of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Advertisement {
    /// The advertised load.
    pub load: EdgeServerLoad,
    /// When it was advertised.
    pub at: Millis,
}

impl Advertisement {
    /// No load, which is what other edges assume of a server that was never advertised.
    pub fn idle(server: u64) -> Self {
        Advertisement { load: EdgeServerLoad { server_hash: server, ..EdgeServerLoad::default() }, at: 0 }
    }

    /// Whether `load` must be advertised again before it expires at the other edges.
    pub fn needs_refresh(&self, now: Millis, load: &EdgeServerLoad) -> bool {
        !is_idle(load) && self.at + REFRESH_INTERVAL <= now
    }
}

/// The aggregated loads that a relay advertised last, by server.
#[derive(Debug, Default)]
pub(crate) struct AdvertisedLoads {
    advertised: HashMap<u64, Advertisement>,
}

impl AdvertisedLoads {
    /// Takes the loads that differ from those advertised, or need a refresh. `servers` are those with any load.
    pub fn take_changes(
        &mut self,
        now: Millis,
        servers: impl Iterator<Item = u64>,
        sum_at: impl Fn(u64) -> RemoteLoad,
    ) -> Vec<EdgeServerLoad> {
        let mut servers: Vec<u64> = servers.chain(self.advertised.keys().copied()).collect();
        servers.sort_unstable();
        servers.dedup();
        let mut changes: Vec<(Reverse<u32>, EdgeServerLoad)> = servers
            .into_iter()
            .filter_map(|server| {
                let load = sum_at(server).to_edge_load(server);
                Some((Reverse(self.urgency(now, &load)?), load))
            })
            .collect();
        changes.sort_unstable_by_key(|(urgency, load)| (*urgency, load.server_hash));
        changes.truncate(MAX_LOADS_PER_UPDATE);
        for (_, load) in &changes {
            self.record_advertised(now, load);
        }
        changes.into_iter().map(|(_, load)| load).collect()
    }

    /// How urgent an advertisement is: the change in prompt tokens, or the maximum where the former one is about to
    /// expire. `None` where nothing needs to be advertised.
    fn urgency(&self, now: Millis, load: &EdgeServerLoad) -> Option<u32> {
        let advertised = self.advertised.get(&load.server_hash).copied();
        let advertised = advertised.unwrap_or(Advertisement::idle(load.server_hash));
        if advertised.needs_refresh(now, load) {
            return Some(u32::MAX);
        }
        (advertised.load != *load).then(|| advertised.load.prefill_tokens.abs_diff(load.prefill_tokens))
    }

    fn record_advertised(&mut self, now: Millis, load: &EdgeServerLoad) {
        if is_idle(load) {
            self.advertised.remove(&load.server_hash);
        } else {
            self.advertised.insert(load.server_hash, Advertisement { load: *load, at: now });
        }
    }
}

fn is_idle(load: &EdgeServerLoad) -> bool {
    *load == Advertisement::idle(load.server_hash).load
}
