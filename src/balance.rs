//! All decisions of the balancer. `src/interface.rs` defines the settings, events and actions.
//!
//! The normal path is RJ-CH (random jump consistent hashing with bounded loads) on the slot array of
//! `shaletrail-ring`: a key goes to the owner of h(key, 0) and, while an owner is at its cap, on to the owner
//! of the next attempt's slot. Each exception to this path states when it applies.

mod admission;
mod figures;
mod lifecycle;
mod outcomes;
mod placement;
mod request;
mod roster;
mod server;

use std::collections::{BTreeMap, VecDeque};

use shaletrail_ring::{hash_of_name, mix, SlotArray};

use self::admission::{RetryWindow, TokenBucket, BURST, DEFAULT_BUDGET};
use self::figures::{Average, ConcurrencyLimit, DecayingCount, RETENTION};
use self::{lifecycle::HOLD_FRACTION, outcomes::CROWDED_DELAY};
use self::{request::Request, roster::Subscription, server::Server};
use crate::interface::*;

/// Bounds of the housekeeping interval, long compared with `Settings::round`.
const MAX_TICK: Seconds = 0.05;
const MIN_TICK: Seconds = 0.01;
/// Initial limit, over all nodes, of concurrent reads of keys not known to be cached; adapted from then on.
const FLEET_FETCHES: f64 = 128.0;
/// Lower bound of that limit. With many nodes a node's share of it is below 1: one fetch, then a pause.
const MIN_FETCHES: f64 = 3.0;
/// Lower bound of any limit. Below 1, a node sends one request, then pauses for hit latency / limit.
const MIN_LIMIT: f64 = 0.1;
const TICK_TOKEN: TimerToken = TimerToken(0);

/// A key at a server that may cache it.
type Location = (Key, ServerId);

#[derive(Default)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    min_target: Seconds,
    tick: Seconds,
    rng: u64,
    pub(crate) now: Seconds,
    pub(crate) actions: Vec<Action>,
    first_event: Option<Seconds>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers that operators took out of service, whatever the roster says, and since when.
    pub(crate) out_of_service: BTreeMap<ServerId, Seconds>,
    slots: SlotArray<ServerId>,
    /// Number of servers that may be sent to, and the sums of their sizes and capacities.
    ready_count: f64,
    total_size: f64,
    total_capacity: f64,
    in_flight: u32,
    /// Smoothed latency of hits and time-outs, over all servers.
    hit_latency: Average,
    /// Smoothed delay of hits and time-outs beyond their hinted work, as a fraction of the latency target.
    delay: Average,
    requests: BTreeMap<RequestId, Request>,
    /// Decaying counts of recent requests per key, of all requests, and of attempts sent to cache servers.
    key_arrivals: BTreeMap<Key, DecayingCount>,
    arrivals: DecayingCount,
    sends: DecayingCount,
    /// Keys that a request of this node is fetching: that request, and the reads that wait for its fetch.
    fetches: BTreeMap<Key, (RequestId, Vec<RequestId>)>,
    /// Attempts in flight that are expected to reach the origin, and when the last of them was sent.
    origin_in_flight: u32,
    last_fetch: Seconds,
    /// When servers last answered keys from cache or fetched them (through mode).
    cached_keys: BTreeMap<Location, Seconds>,
    next_purge: Seconds,
    /// Smoothed fraction of fetches that are late, and the limit of concurrent fetches (through mode).
    late_ratio: Average,
    fetch_limit: ConcurrencyLimit,
    /// Smoothed fraction of misses among reads of keys not known to be cached, where caches report hits.
    miss_ratio: Average,
    pending: VecDeque<RequestId>,
    budget: Budget,
    retry_window: RetryWindow,
    /// Attempts that a cold server's allowance may save up.
    burst: f64,
    /// Smoothed fraction of attempts that got no connection.
    unreachable: Average,
    /// Idle time from which a connection is presumed dead, and when that was last observed.
    stale_after: Option<(Seconds, Seconds)>,
    next_close: Seconds,
    tenants: Vec<TokenBucket>,
    roster: Subscription,
}

impl Node {
    pub(crate) fn new(mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        // An extra class for requests of unknown class, with the most restrictive handling.
        let shortest = settings.classes.iter().min_by(|a, b| a.deadline.total_cmp(&b.deadline)).cloned();
        let unknown_class = |c| Class { effect: Effect::Unsafe, group: Group::Cell, window: 0.0, ..c };
        settings.classes.extend(shortest.map(unknown_class));
        let min_target = settings.classes.iter().map(|c| c.target).fold(f64::MAX, f64::min);
        let nodes = f64::from(settings.balancers);
        let (value, min) = ((FLEET_FETCHES / nodes).max(2.0), (MIN_FETCHES / nodes).clamp(MIN_LIMIT, 1.0));
        Ok(Node {
            min_target,
            tick: (HOLD_FRACTION * min_target).clamp(MIN_TICK, MAX_TICK),
            budget: settings.guarantees.budget.unwrap_or(DEFAULT_BUDGET),
            burst: BURST,
            rng: mix(seed),
            hit_latency: Average { value: min_target * CROWDED_DELAY / 2.0, updated: 0.0 },
            delay: Average { value: CROWDED_DELAY / 2.0, updated: 0.0 },
            miss_ratio: Average { value: 1.0, updated: 0.0 },
            fetch_limit: ConcurrencyLimit { value, min, last_cut: 0.0 },
            tenants: vec![TokenBucket { tokens: BURST, ..TokenBucket::default() }; settings.tenants.len()],
            settings,
            ..Node::default()
        })
    }

    pub(crate) fn on_event(&mut self, event: Event) {
        if self.first_event.is_none() {
            self.first_event = Some(self.now);
            self.actions.push(Action::SetTimer { token: TICK_TOKEN, after: self.tick });
            self.subscribe_if_due();
        }
        match event {
            Event::Roster(update) => self.on_roster(update),
            Event::Request(new) => self.on_request(new),
            Event::BodyReceived { request, time_left } => self.on_body_received(request, time_left),
            Event::BodyConsumed(request) => {
                self.requests.entry(request).and_modify(|r| r.body_consumed = true);
            }
            Event::StreamStarted { request, attempt, note } => self.on_stream(request, attempt, note),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Withdrawn(id) => self.on_finished(id),
            Event::Timer(TICK_TOKEN) => self.on_tick(),
            // The deadline timer of a request.
            Event::Timer(TimerToken(token)) => self.end(RequestId(token - 1)),
            Event::Message { bytes, .. } => {
                if let Ok(address) = std::str::from_utf8(&bytes) {
                    self.on_server_failure(&ServerId(address.into()));
                }
            }
            Event::OutOfService { server, restored_at } => self.on_service_change(server, restored_at),
            Event::SecondProcess(shared) => self.on_second_process(shared),
            Event::Probed { .. } => {}
        }
    }

    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(1);
        mix(self.rng) as f64 / u64::MAX as f64
    }

    /// This node's even share of a total over all nodes.
    fn node_share(&self, total: f64) -> f64 {
        total / f64::from(self.settings.balancers)
    }

    fn likely_cached(&self, location: &Location) -> bool {
        self.cached_keys.get(location).is_some_and(|at| self.now - at < RETENTION)
    }

    fn warmup_time(&self) -> Seconds {
        self.settings.guarantees.warmup_time.max(MAX_TICK)
    }

    fn on_tick(&mut self) {
        self.actions.push(Action::SetTimer { token: TICK_TOKEN, after: self.tick });
        if self.now >= self.next_purge {
            self.cached_keys.retain(|_, at| self.now - *at < RETENTION);
            self.key_arrivals.retain(|_, count| count.at(self.now) > MIN_LIMIT);
            self.next_purge = self.now + RETENTION;
        }
        self.refresh_slots();
        self.refresh_allowances();
        self.cancel_lost();
        self.subscribe_if_due();
        if self.now >= self.next_close {
            self.close_drained();
        }
        self.route_pending();
    }

    /// Updates the points in the slot array, which servers keep while listed, and the capacities.
    fn refresh_slots(&mut self) {
        let by_weight = matches!(self.settings.weights, WeightSource::Nominal | WeightSource::Rough);
        let max_weight = self.servers.values().map(|s| s.entry.weight).fold(0.0, f64::max);
        // Relative to the largest weight's power of two: sizes stay put while similar servers come and go.
        let scale = if by_weight && max_weight > 0.0 { max_weight.log2().floor().exp2() } else { 1.0 };
        let mut resized = Vec::new();
        (self.ready_count, self.total_size, self.total_capacity) = (0.0, 0.0, 0.0);
        for (id, s) in &mut self.servers {
            let size = match s.entry.weight {
                _ if s.entry.state == ServerState::Gone || self.settings.is_origin(&s.entry) => 0.0,
                weight if by_weight && weight > 0.0 => weight / scale,
                _ => 1.0,
            };
            if size != s.size {
                s.size = size;
                resized.push((id.clone(), hash_of_name(&id.0), size));
            }
            s.capacity = 0.0;
            if size > 0.0 && s.entry.state == ServerState::Ready && !self.out_of_service.contains_key(id) {
                s.capacity = size * s.warmup_fraction(self.now, &self.settings.guarantees);
                self.ready_count += 1.0;
                self.total_size += size;
                self.total_capacity += s.capacity;
            }
        }
        if !resized.is_empty() {
            self.slots.update(&resized);
        }
    }

    /// Refills the allowances of cold servers, at half the overload multiple of the mean rate for their
    /// capacity: popular keys alone, requested by all nodes, could overload a cold server.
    fn refresh_allowances(&mut self) {
        let decay = 1.0 - self.tick / self.warmup_time();
        self.tenants.iter_mut().for_each(|t| t.rate *= decay);
        let multiple = self.settings.guarantees.overload_multiple / 2.0;
        let requests = self.request_rate();
        for s in self.servers.values_mut().filter(|s| s.capacity < s.size) {
            let rate = multiple * s.capacity / self.total_size.max(s.size) * requests;
            s.allowance = (s.allowance + rate * self.tick).min(self.burst);
        }
    }

    /// Recent requests per second; the decaying count of a node that has just started is still low.
    fn request_rate(&self) -> f64 {
        let runs = self.first_event.map_or(0.0, |at| self.now - at).max(1.0);
        self.arrivals.at(self.now) / (RETENTION * (1.0 - (-runs / RETENTION).exp()))
    }
}
