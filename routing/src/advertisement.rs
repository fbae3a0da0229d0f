//! The loads that this edge last advertised to other edges. They are kept so that an update contains only the
//! loads that changed or are about to expire.

use std::cmp::Reverse;
use std::collections::HashMap;

use shaletrail_protocol::internal::EdgeServerLoad;
use shaletrail_protocol::Millis;

use crate::load_table::{RemoteLoad, REFRESH_INTERVAL_MS};

/// Maximum number of loads in one update, so that a relay's updates use only a small part of its link's
/// bandwidth. The most urgent loads go first.
const MAX_LOADS_PER_UPDATE: usize = 256;

/// The last advertised load of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Advertisement {
    pub load: EdgeServerLoad,
    pub advertised_at: Millis,
}

impl Advertisement {
    /// A load of zero, which other edges assume for a server that was never advertised.
    pub fn idle(server: u64) -> Self {
        Advertisement {
            load: EdgeServerLoad { server_hash: server, ..EdgeServerLoad::default() },
            advertised_at: 0,
        }
    }

    /// Whether `load`, although unchanged, must be advertised again because it would otherwise expire at the
    /// other edges.
    pub fn needs_refresh(&self, now: Millis, load: &EdgeServerLoad) -> bool {
        !is_idle(load) && self.advertised_at + REFRESH_INTERVAL_MS <= now
    }
}

/// The aggregated loads that a relay last advertised, by server.
#[derive(Debug, Default)]
pub(crate) struct AdvertisedLoads {
    advertised: HashMap<u64, Advertisement>,
}

impl AdvertisedLoads {
    /// Returns the loads that changed since they were advertised or need a refresh, and records them as
    /// advertised. `servers` are all servers with a load other than zero.
    pub fn take_changes(
        &mut self,
        now: Millis,
        servers: impl Iterator<Item = u64>,
        load_of: impl Fn(u64) -> RemoteLoad,
    ) -> Vec<EdgeServerLoad> {
        let mut servers: Vec<u64> = servers.chain(self.advertised.keys().copied()).collect();
        servers.sort_unstable();
        servers.dedup();
        let mut changes: Vec<(Reverse<u32>, EdgeServerLoad)> = servers
            .into_iter()
            .filter_map(|server| {
                let load = load_of(server).to_edge_load(server);
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

    /// The urgency of advertising a load: the change in pending prompt tokens, or `u32::MAX` if the last
    /// advertisement is about to expire. `None` if the load need not be advertised.
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
            self.advertised.insert(load.server_hash, Advertisement { load: *load, advertised_at: now });
        }
    }
}

fn is_idle(load: &EdgeServerLoad) -> bool {
    *load == Advertisement::idle(load.server_hash).load
}
