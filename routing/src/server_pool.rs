//! The pool of one service's servers, with its retry budget and latency.

use shaletrail_protocol::Millis;
use shaletrail_ring::{hash_of_name, SlotArray};

use crate::retry_budget::RetryBudget;
use crate::server::ServerHandle;
use crate::sliding_window_counter::SlidingWindowCounter;
use crate::Options;

/// The window over which completions are counted, in milliseconds.
const COMPLETION_WINDOW_MS: Millis = 2000;
/// The mean latency that is assumed at first, in milliseconds.
const INITIAL_MEAN_LATENCY_MS: f64 = 300.0;
/// The weight of the newest attempt in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.125;

/// A server that became ready or ceased to be.
#[derive(Debug)]
pub(crate) struct ReadinessChange {
    /// The server.
    pub server: ServerHandle,
    /// Its address, which names its points on the ring.
    pub address: String,
    /// Whether it is ready.
    pub ready: bool,
}

/// The servers of one service.
#[derive(Debug)]
pub(crate) struct ServerPool {
    /// Servers that are not draining, in the order in which they became known.
    pub members: Vec<ServerHandle>,
    /// The ring slots of the ready servers.
    pub slot_array: SlotArray<ServerHandle>,
    /// Requests of this edge in flight at its servers.
    pub open_requests: u32,
    /// The retries that are left.
    pub budget: RetryBudget,
    /// When queued requests may find a server without any further event.
    pub queue_retry_at: Option<Millis>,
    completions: SlidingWindowCounter,
    mean_latency_ms: f64,
}

impl ServerPool {
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

    /// Adds a server.
    pub fn add(&mut self, added: ServerHandle) {
        self.members.push(added);
    }

    /// Updates the ring slots of servers that became ready or ceased to be. Successive servers at one address have the
    /// same slots.
    pub fn update_slots(&mut self, changed: &[ReadinessChange]) {
        let weight = |ready: bool| if ready { 1.0 } else { 0.0 };
        let points: Vec<_> =
            changed.iter().map(|c| (c.server, hash_of_name(&c.address), weight(c.ready))).collect();
        self.slot_array.update(&points);
    }

    /// Removes a server.
    pub fn remove(&mut self, removed: ServerHandle) {
        self.members.retain(|member| *member != removed);
        self.slot_array.update(&[(removed, 0, 0.0)]);
    }

    /// Records a complete response and its latency, in milliseconds.
    pub fn record_completion(&mut self, now: Millis, latency_ms: Millis) {
        self.completions.add(now);
        self.mean_latency_ms += (latency_ms as f64 - self.mean_latency_ms) * LATENCY_EWMA_WEIGHT;
    }

    /// The moving average of the latency of attempts, in milliseconds.
    pub fn mean_latency_ms(&self) -> Millis {
        self.mean_latency_ms as Millis
    }

    /// The mean time between two completed responses at this edge, in milliseconds.
    pub fn drain_interval(&mut self, now: Millis) -> Millis {
        COMPLETION_WINDOW_MS / Millis::from(self.completions.upper_bound(now).max(1))
    }

    /// Schedules the queue's next retry at this time, or earlier where one is already scheduled.
    pub fn retry_queue_by(&mut self, at: Option<Millis>) {
        self.queue_retry_at = [self.queue_retry_at, at].into_iter().flatten().min();
    }
}
