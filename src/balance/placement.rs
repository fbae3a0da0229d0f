//! Choice of a server: the cap and the jumps of RJ-CH, and the exceptions to them.

use shaletrail_ring::{mix, MAX_JUMPS};

use super::request::{Attempt, Request};
use super::{outcomes::SLOW_FLEET_DELAY, server::Server, Node, MIN_LIMIT};
use crate::interface::*;

/// ε of the cap. A jump costs a miss at the slow origin: the cap prevents crowding, not uneven load.
const EPSILON: f64 = 0.7;
/// Requests in flight at one server that the cap always allows: over all nodes (a few per core), and per node
/// in aside mode, where a jump into a miss costs attempts and a fetch from the origin.
pub(super) const FLEET_CAP_FLOOR: f64 = 8.0;
const NODE_CAP_FLOOR: f64 = 3.0;
/// Over quota, limits are divided by 1 + this x hit latency / latency target: by about 2, in overload by 4.
const QUOTA_PENALTY: f64 = 6.0;
/// Part of a server's mean load that one key may add to each of the servers that it is spread over.
const MAX_KEY_SHARE: f64 = 0.6;
/// Added to the total when a key's share of it is computed: two early requests in a row don't make it hot.
const KEY_SHARE_BASE: f64 = 50.0;
/// Connections that were idle for less are not suspected to be dead.
pub(super) const MIN_STALE_IDLE: Seconds = 0.25;

impl Node {
    /// max(floor, ⌈(1+ε)n/k⌉), with n/k in proportion to the server's capacity.
    fn cap(&self, server: &Server) -> f64 {
        if cfg!(feature = "without-cap") {
            return f64::INFINITY;
        }
        let n = f64::from(self.in_flight + 1);
        let floor = if self.settings.cache == CacheMode::Through { 1.0 } else { NODE_CAP_FLOOR };
        ((1.0 + EPSILON) * n * server.capacity / self.total_capacity)
            .ceil()
            .max(self.node_share(FLEET_CAP_FLOOR).ceil().max(floor))
    }

    /// A cold server accepts a stable part of its own keys, by capacity and allowance, and no overflow.
    fn accepts(&self, server: &Server, key: Key, jump: u64, hash: u32) -> bool {
        let draw = mix(key.0 ^ u64::from(hash)) as f64 / u64::MAX as f64;
        let cold = server.capacity < server.size;
        server.capacity > 0.0
            && (!cold || (jump == 0 && server.allowance >= 1.0 && draw * server.size < server.capacity))
    }

    /// The first server below its cap along the key's jumps; `None` if all are full.
    pub(super) fn choose_server(&self, r: &Request) -> Option<ServerId> {
        // In through mode a miss occupies its server. While the whole fleet is slow, a jump finds no less
        // loaded server and adds a miss that slows it further, so requests wait instead.
        let through = self.settings.cache == CacheMode::Through;
        let slow_fleet = through && self.delay.value > SLOW_FLEET_DELAY;
        let divisor =
            if r.over_quota { 1.0 + QUOTA_PENALTY * self.hit_latency.value / self.min_target } else { 1.0 };
        let first = (r.draw * self.spread(r.key)) as u64;
        let mut fallback = None;
        for jump in 0..MAX_JUMPS {
            let accepts = |id: &ServerId, hash| self.accepts(&self.servers[id], r.key, jump, hash);
            let Some(id) = self.slots.owner(r.key, first + jump, accepts) else { continue };
            let server = &self.servers[id];
            // A connection that was already dead when it was used is no failure of its server.
            let stale = |a: &Attempt| a.status == Some(Status::Broken) && a.idle >= MIN_STALE_IDLE;
            let tried = |a: &Attempt| a.server == *id && a.status != Some(Status::Absent) && !stale(a);
            if r.attempts.iter().any(tried) || !self.may_send(r, id, server) {
                continue;
            }
            let limit = server.limit.value;
            let pause = self.hit_latency.value / limit * (divisor - 1.0);
            let pause_over = server.in_flight == 0 && self.now >= server.paced_until + pause;
            let ejected = self.now < server.ejected_until;
            if ejected || !pause_over && f64::from(server.in_flight) >= (limit / divisor).floor() {
                if slow_fleet || r.over_quota {
                    return None;
                }
                continue;
            }
            if f64::from(server.in_flight) < self.cap(server) {
                if !server.class_ejected(r.class, self.now) {
                    return Some(id.clone());
                }
                fallback = fallback.or(Some(id));
            }
        }
        fallback.cloned()
    }

    /// Whether rules 2 and 3 allow one more attempt at this server.
    pub(super) fn may_send(&self, r: &Request, id: &ServerId, server: &Server) -> bool {
        let limits = &self.settings.limits;
        let out = server.entry.state != ServerState::Ready || self.out_of_service.contains_key(id);
        let over = r.ended || self.now >= r.deadline || r.attempts.len() >= limits.max_attempts as usize;
        if out || over || r.body_consumed || r.streaming || r.in_flight() > 0 {
            return false;
        }
        let class = &self.settings.classes[r.class];
        let mut ran = r.attempts.iter().filter(|a| a.status.is_none_or(Status::may_have_run));
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed => ran.all(|a| {
                let same = match (class.group, self.servers.get(&a.server)) {
                    (Group::All, _) => true,
                    (_, None) => a.server == *id,
                    (Group::Zone, Some(s)) => s.entry.zone == server.entry.zone,
                    (Group::Cell, Some(s)) => s.entry.cell == server.entry.cell,
                };
                same && self.now + self.settings.round < a.sent + class.window
            }),
        }
    }

    pub(super) fn may_refuse(&self, r: &Request) -> bool {
        let class = &self.settings.classes[r.class];
        class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All)
            || !r.attempts.iter().any(|a| a.status.is_none_or(Status::may_have_run))
    }

    /// The least loaded origin that has room for a fetch. Writes are always sent; they are few.
    pub(super) fn choose_origin(&self, r: &Request) -> Option<ServerId> {
        self.servers
            .iter()
            .filter(|(id, s)| self.settings.is_origin(&s.entry) && self.may_send(r, id, s))
            .filter(|(_, s)| r.write || f64::from(s.in_flight) < s.limit.value)
            .min_by_key(|(_, s)| s.in_flight)
            .map(|(id, _)| id.clone())
    }

    /// Number of servers that a key is spread over: one, unless it is hot. Each node sees its own part of the
    /// traffic, and all would fill one server before the next, so requests draw among as many as are needed.
    fn spread(&self, key: Key) -> f64 {
        let count = self.key_arrivals.get(&key).map_or(0.0, |requests| requests.at(self.now));
        let key_share = (count - 1.0).max(0.0) / (self.arrivals.at(self.now) + KEY_SHARE_BASE);
        (key_share * self.ready_count / MAX_KEY_SHARE).ceil().clamp(1.0, self.ready_count.max(1.0))
    }

    /// Room for one more attempt that may reach the origin; with a limit below 1, one after each pause.
    pub(super) fn origin_has_room(&self, multiple: f64) -> bool {
        // With many nodes, most keys that this node does not know to be cached have been fetched by others.
        let limit = multiple * self.fetch_limit.value / self.miss_ratio.value.max(MIN_LIMIT);
        f64::from(self.origin_in_flight) < limit
            && self.now - self.last_fetch >= self.min_target * (1.0 / limit - 1.0)
    }
}
