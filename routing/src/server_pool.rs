//! The servers of one service, with the service's retry budget and latency.

use shaletrail_protocol::Millis;
use shaletrail_ring::{hash_of_name, SlotArray};

use crate::retry_budget::RetryBudget;
use crate::server::ServerHandle;
use crate::sliding_window_counter::SlidingWindowCounter;
use crate::Options;

/// The window over which completed responses are counted.
const COMPLETION_WINDOW_MS: Millis = 2000;
/// The mean latency that is assumed before the first response.
const INITIAL_MEAN_LATENCY_MS: f64 = 300.0;
/// The weight of the newest attempt in the moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.125;

/// A server that became ready or is no longer ready.
#[derive(Debug)]
pub(crate) struct ReadinessChange {
    pub server: ServerHandle,
    /// The server's address, whose hash determines its points on the ring.
    pub address: String,
    pub ready: bool,
}

#[derive(Debug)]
pub(crate) struct ServerPool {
    /// The servers that are not draining, in the order in which they became known.
    pub members: Vec<ServerHandle>,
    /// The ring slots of the ready servers.
    pub slot_array: SlotArray<ServerHandle>,
    /// Number of requests of this edge in flight at servers of the pool.
    pub open_requests: u32,
    pub budget: RetryBudget,
    /// When a server may become available for queued requests without a further event.
    pub queue_retry_at: Option<Millis>,
    completions: SlidingWindowCounter,
    mean_latency_ms: f64,
}

impl ServerPool {
    /// Creates a pool without servers.
    pub fn new(options: &Options) -> Self {
        ServerPool {
            members: Vec::new(),
            slot_array: SlotArray::default(),
            open_requests: 0,
            budget: RetryBudget::new(options),
            queue_retry_at: None,
            completions: SlidingWindowCounter::with_window(COMPLETION_WINDOW_MS),
            mean_latency_ms: INITIAL_MEAN_LATENCY_MS,
        }
    }

    /// Adds a server to the members. It owns no slots until it becomes ready.
    pub fn add(&mut self, added: ServerHandle) {
        self.members.push(added);
    }

    /// Adds servers that became ready to the slot array, and removes those that are no longer ready. Servers
    /// that use the same address one after another own the same slots.
    pub fn update_slots(&mut self, changed: &[ReadinessChange]) {
        let weight = |ready: bool| if ready { 1.0 } else { 0.0 };
        let points: Vec<_> =
            changed.iter().map(|c| (c.server, hash_of_name(&c.address), weight(c.ready))).collect();
        self.slot_array.update(&points);
    }

    /// Removes a server from the members and from the slot array.
    pub fn remove(&mut self, removed: ServerHandle) {
        self.members.retain(|member| *member != removed);
        self.slot_array.update(&[(removed, 0, 0.0)]);
    }

    /// Records a complete response and the latency of its attempt.
    pub fn record_completion(&mut self, now: Millis, latency_ms: Millis) {
        self.completions.add(now);
        self.mean_latency_ms += (latency_ms as f64 - self.mean_latency_ms) * LATENCY_EWMA_WEIGHT;
    }

    /// The moving average of the latency of attempts.
    pub fn mean_latency_ms(&self) -> Millis {
        self.mean_latency_ms as Millis
    }

    /// The mean time between two completed responses at this edge, in milliseconds.
    pub fn drain_interval(&mut self, now: Millis) -> Millis {
        COMPLETION_WINDOW_MS / Millis::from(self.completions.upper_bound(now).max(1))
    }

    /// Schedules the next retry of queued requests at this time, unless an earlier retry is already
    /// scheduled.
    pub fn retry_queue_by(&mut self, at: Option<Millis>) {
        self.queue_retry_at = [self.queue_retry_at, at].into_iter().flatten().min();
    }
}
