//! Selection of the server for a request, by random-jump consistent hashing with bounded loads (RJ-CH; see
//! `shaletrail_ring`).
//!
//! A key's home slot is h(key, 0). The request goes to the owner of that slot if the server can serve the key
//! and is below the cap C = ⌈(1 + ε)·n/k⌉. Here n is the number of requests that this edge has open at the
//! service, including the new one, and k is the number of ready servers that can serve the key. Otherwise the
//! owners of h(key, 1), h(key, 2) and so on are tried in this order. If all servers are at the cap, the
//! server with the fewest requests per slot is selected, unless all are known to be full.

use shaletrail_protocol::Millis;
use shaletrail_ring::{mix, Key};

use crate::interface::NewRequest;
use crate::load_gossip::LoadGossip;
use crate::server::{Availability, Capacity, Server, ServerHandle};
use crate::server_pool::ServerPool;
use crate::server_table::ServerTable;
use crate::target::Target;
use crate::Options;

/// The properties of a request by which its server is selected.
pub(crate) struct SelectionCriteria<'a> {
    pub key: Key,
    pub target: &'a Target,
    /// Servers that are excluded because an attempt was already sent to them.
    pub tried_servers: &'a [ServerHandle],
    /// The only servers allowed. Set once the request has reached as many servers as its route allows.
    pub restricted_to: Option<&'a [ServerHandle]>,
    /// Maximum number of connections of this edge to one server.
    pub max_connections: u32,
    /// Number of prompt tokens that must be prefilled even if the shared prefix is cached.
    pub unshared_prefill_tokens: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SelectedServer {
    pub server: ServerHandle,
    /// Whether no eligible server was below the cap.
    pub over_cap: bool,
    /// Whether this is the first eligible server in the key's sequence. That server has likely cached the
    /// prompt prefix that the key's requests share.
    pub is_home: bool,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The service has no server, or all of its servers are draining.
    NoServer,
    /// No server that the request may use has the model loaded.
    NoReplica {
        /// When a server may become usable without a further event; `None` if only an event can change that.
        retry_at: Option<Millis>,
    },
    /// All eligible servers are known to be full.
    Full {
        /// When a server may have capacity without a further event; `None` if only an event can change that.
        retry_at: Option<Millis>,
    },
}

/// The key by which a request is assigned to a server: the model with its adapter, or the path if there is no
/// model. The key also covers the shared parts of the prompt. Requests with the same prefix then go to the
/// same server, which skips the prefill of parts in its prefix cache, and the different prefixes of a busy
/// model are spread over its replicas.
pub(crate) fn request_key(request: &NewRequest, target: &Target) -> Key {
    let key = match &target.adapter {
        _ if target.model.is_empty() => return Key(request.path_hash),
        None => Key::of(&target.model),
        Some(adapter) => Key::of_parts(&[&target.model, adapter]),
    };
    // The last part of the prompt is specific to the request or its session, so it is not shared.
    let shared = request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().fold(key, |key, (part, _)| Key(mix(key.0 ^ mix(*part))))
}

/// The cap C = ⌈(1 + ε)·n/k⌉ on open requests per server, but at least `min_cap`.
pub(crate) fn cap(open_requests: u32, eligible: u32, options: &Options) -> u32 {
    let share = (1.0 + options.load_cap_epsilon) * f64::from(open_requests) / f64::from(eligible.max(1));
    (share.ceil() as u32).max(options.min_cap)
}

pub(crate) fn select(
    pool: &ServerPool,
    servers: &ServerTable,
    load_gossip: &LoadGossip,
    criteria: &SelectionCriteria<'_>,
    now: Millis,
    options: &Options,
) -> Result<SelectedServer, Unavailable> {
    let load_ttl = pool
        .mean_latency_ms()
        .clamp(options.min_load_ttl_ms, options.max_load_ttl_ms.max(options.min_load_ttl_ms));
    Balancer { pool, servers, load_gossip, criteria, now, load_ttl, options }.select()
}

struct Balancer<'a> {
    pool: &'a ServerPool,
    servers: &'a ServerTable,
    load_gossip: &'a LoadGossip,
    criteria: &'a SelectionCriteria<'a>,
    now: Millis,
    /// How long a load reported in a response stays valid, in milliseconds.
    load_ttl: Millis,
    options: &'a Options,
}

/// A server of the pool with its handle.
type Candidate<'a> = (ServerHandle, &'a Server);

/// The load that all edges together have put on one server. Loads are compared by the fields in this order;
/// the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TotalLoad {
    /// Whether the server is unresponsive to this edge or to another edge.
    is_unresponsive: bool,
    /// Number of prompt tokens whose prefill is pending.
    prefill_tokens: u64,
    open_requests: u32,
}

/// The servers of a pool, classified for one request.
#[derive(Default)]
struct Candidates<'a> {
    /// Number of servers that are not draining.
    usable: usize,
    /// Number of usable servers that are ready.
    ready: usize,
    /// Ready servers ejected by outlier detection, sorted by descending number of failures.
    ejected: Vec<(std::cmp::Reverse<u32>, ServerHandle)>,
    /// Ready servers that can serve the key.
    eligible: Vec<Candidate<'a>>,
    /// Timed-out servers that could serve the key.
    timed_out: Vec<Candidate<'a>>,
}

impl<'a> Balancer<'a> {
    fn members(&self) -> impl Iterator<Item = Candidate<'a>> {
        let servers = self.servers;
        self.pool.members.iter().filter_map(move |handle| Some((*handle, servers.get(*handle)?)))
    }

    fn select(&self) -> Result<SelectedServer, Unavailable> {
        let candidates = self.candidates();
        if candidates.usable == 0 {
            return Err(Unavailable::NoServer);
        }
        let eligible = candidates.eligible;
        let selected = self.first_below_cap(&eligible).or_else(|| self.least_loaded(&eligible));
        // A timed-out server is used only if no ready server can serve the key at all.
        let timed_out = if eligible.is_empty() { candidates.timed_out } else { Vec::new() };
        selected.or_else(|| self.least_loaded(&timed_out)).ok_or_else(|| self.unavailable(&eligible))
    }

    /// Classifies the servers of the pool. At most half of the ready servers count as ejected: those with the
    /// most failures.
    fn candidates(&self) -> Candidates<'a> {
        let mut candidates = Candidates::default();
        for (handle, server) in self.members() {
            let availability = server.availability();
            if availability == Availability::Draining {
                continue;
            }
            candidates.usable += 1;
            let is_ready = availability == Availability::Ready;
            candidates.ready += usize::from(is_ready);
            let admits = server.health.admits(self.now);
            if is_ready && !admits {
                candidates.ejected.push((std::cmp::Reverse(server.health.failures()), handle));
            }
            let allowed = self.criteria.restricted_to.is_none_or(|only| only.contains(&handle));
            let can_serve = allowed
                && server.has_loaded(self.criteria.target, self.now)
                && !self.criteria.tried_servers.contains(&handle);
            match is_ready {
                true if can_serve => candidates.eligible.push((handle, server)),
                false if can_serve && admits => candidates.timed_out.push((handle, server)),
                _ => {}
            }
        }
        candidates.ejected.sort_unstable();
        candidates.ejected.truncate(candidates.ready / 2);
        candidates
            .eligible
            .retain(|(handle, _)| candidates.ejected.iter().all(|(_, ejected)| ejected != handle));
        candidates
    }

    /// The first server in the key's sequence that is below the cap, has a free slot as far as is known, and
    /// is lightly loaded. If none is lightly loaded, the server below the cap with the lowest total load.
    fn first_below_cap(&self, eligible: &[(ServerHandle, &Server)]) -> Option<SelectedServer> {
        let cap = cap(self.pool.open_requests + 1, eligible.len() as u32, self.options);
        let is_below_cap =
            |server: &Server| server.open_requests < cap && self.capacity(server) == Capacity::Free;
        let below_cap: Vec<(ServerHandle, &Server)> =
            eligible.iter().filter(|(_, server)| is_below_cap(server)).copied().collect();
        if let [(only, _)] = below_cap.as_slice() {
            return Some(SelectedServer { server: *only, over_cap: false, is_home: eligible.len() == 1 });
        }
        if self.criteria.unshared_prefill_tokens >= self.options.long_prompt_tokens {
            return self.select_for_long_prompt(&below_cap);
        }
        let mut sequence = self.pool.slot_array.sequence(self.criteria.key).copied();
        let mut home = None;
        let lightly_loaded = sequence.find(|owner| {
            if home.is_none() && eligible.iter().any(|(handle, _)| handle == owner) {
                home = Some(*owner);
            }
            below_cap.iter().any(|(handle, server)| handle == owner && self.is_lightly_loaded(server))
        });
        let server = match lightly_loaded {
            Some(server) => server,
            None => below_cap
                .iter()
                .min_by_key(|(_, server)| self.total_load(server))
                .map(|(handle, _)| *handle)?,
        };
        Some(SelectedServer { server, over_cap: false, is_home: home == Some(server) })
    }

    /// Selects the server with the fewest open requests, and prefers lightly loaded servers. Used for a
    /// prompt so long that its prefill stalls the other streams of the server.
    fn select_for_long_prompt(&self, below_cap: &[(ServerHandle, &Server)]) -> Option<SelectedServer> {
        let sequence: Vec<ServerHandle> = self.pool.slot_array.sequence(self.criteria.key).copied().collect();
        let position = |handle: &ServerHandle| sequence.iter().position(|owner| owner == handle);
        let rank = |(handle, server): &&(ServerHandle, &Server)| {
            let load = self.total_load(server);
            (!self.has_light_load(&load), load.open_requests, load.prefill_tokens, position(handle))
        };
        let (server, _) = below_cap.iter().min_by_key(rank)?;
        Some(SelectedServer { server: *server, over_cap: false, is_home: sequence.first() == Some(server) })
    }

    /// Whether the server is responsive and has little pending prefill, as far as the edges know.
    fn is_lightly_loaded(&self, server: &Server) -> bool {
        self.has_light_load(&self.total_load(server))
    }

    fn has_light_load(&self, load: &TotalLoad) -> bool {
        !load.is_unresponsive && load.prefill_tokens <= self.options.max_pending_prefill_tokens
    }

    /// The server's load over all edges, as far as this edge knows.
    fn total_load(&self, server: &Server) -> TotalLoad {
        let remote = self.load_gossip.remote_load(server.local_load.advertised());
        let is_unresponsive = remote.unresponsive_edges > 0 || server.is_unresponsive(self.now, self.options);
        TotalLoad {
            is_unresponsive,
            prefill_tokens: server.local_load.prefill_tokens + remote.prefill_tokens,
            open_requests: server.open_requests + remote.open_requests,
        }
    }

    /// The server with the fewest requests per slot among those with a free slot, or else among those with
    /// room in their queue.
    fn least_loaded(&self, eligible: &[(ServerHandle, &Server)]) -> Option<SelectedServer> {
        let load =
            |server: &Server| f64::from(server.occupied(self.load_valid_since())) / f64::from(server.slots());
        let candidates =
            eligible.iter().map(|(handle, server)| (self.capacity(server), load(server), *handle));
        let candidates = candidates.filter(|(capacity, _, _)| *capacity != Capacity::Full);
        let least = candidates.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        least.map(|(_, _, server)| SelectedServer { server, over_cap: true, is_home: false })
    }

    fn capacity(&self, server: &Server) -> Capacity {
        if server.open_requests >= self.criteria.max_connections {
            return Capacity::Full;
        }
        server.capacity(self.now, self.load_valid_since(), self.options)
    }

    /// Loads reported before this time are outdated and are ignored.
    fn load_valid_since(&self) -> Millis {
        (self.now + 1).saturating_sub(self.load_ttl)
    }

    fn unavailable(&self, eligible: &[Candidate<'_>]) -> Unavailable {
        if !eligible.is_empty() {
            let available_at =
                |(_, server): &(ServerHandle, &Server)| server.full_until(self.now, self.load_ttl);
            return Unavailable::Full { retry_at: eligible.iter().filter_map(available_at).min() };
        }
        let usable = self.members().filter(|(_, server)| server.availability() != Availability::Draining);
        let available_at = |(_, server): (ServerHandle, &Server)| {
            let retry_at = server.health.probe_at().filter(|at| *at > self.now);
            retry_at.into_iter().chain(server.missing_until(self.criteria.target, self.now)).min()
        };
        Unavailable::NoReplica { retry_at: usable.filter_map(available_at).min() }
    }
}
