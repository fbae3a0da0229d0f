//! The servers of one service as this edge uses them.

use shaletrail_protocol::Millis;
use shaletrail_ring::{hash_of_name, SlotArray};

use crate::retry_budget::RetryBudget;
use crate::server::ServerHandle;
use crate::sliding_count::SlidingCount;
use crate::Options;

/// The window over which completions are counted, in milliseconds.
const DRAIN_WINDOW: Millis = 2000;
/// How long an attempt takes, in milliseconds, until some have been seen.
const INITIAL_LATENCY_MS: f64 = 300.0;
/// The part that the newest attempt has in the mean.
const LATENCY_EWMA_WEIGHT: f64 = 0.125;

/// A server that became ready or ceased to be.
#[derive(Debug)]
pub(crate) struct ReadinessChange {
    /// The server.
    pub server: ServerHandle,
    /// Where it is.
    pub address: String,
    /// Whether it is ready.
    pub ready: bool,
}

/// A service.
#[derive(Debug)]
pub(crate) struct ServerPool {
    /// Its servers that have not left, in the order in which they became known.
    pub members: Vec<ServerHandle>,
    /// Where its keys are at home: the ready servers.
    pub slot_array: SlotArray<ServerHandle>,
    /// Requests of this edge that are open at its servers.
    pub open: u32,
    /// Repeats.
    pub budget: RetryBudget,
    /// When held requests may find a server with no event but the passing of time.
    pub queue_retry_at: Option<Millis>,
    completions: SlidingCount,
    mean_latency_ms: f64,
}

impl ServerPool {
    pub fn new(options: &Options) -> Self {
        ServerPool {
            members: Vec::new(),
            slot_array: SlotArray::default(),
            open: 0,
            budget: RetryBudget::new(options),
            queue_retry_at: None,
            completions: SlidingCount::over(DRAIN_WINDOW),
            mean_latency_ms: INITIAL_LATENCY_MS,
        }
    }

    /// A server became known.
    pub fn add(&mut self, added: ServerHandle) {
        self.members.push(added);
    }

    /// Servers became ready or ceased to be. Those at one address, one after the other, have the same slots.
    pub fn update_slots(&mut self, changed: &[ReadinessChange]) {
        let size = |ready: bool| if ready { 1.0 } else { 0.0 };
        let points: Vec<_> =
            changed.iter().map(|c| (c.server, hash_of_name(&c.address), size(c.ready))).collect();
        self.slot_array.update(&points);
    }

    /// A server left.
    pub fn remove(&mut self, removed: ServerHandle) {
        self.members.retain(|member| *member != removed);
        self.slot_array.update(&[(removed, 0, 0.0)]);
    }

    /// An attempt was answered whole by one of its servers, so long after it was sent.
    pub fn record_completion(&mut self, now: Millis, took: Millis) {
        self.completions.add(now);
        self.mean_latency_ms += (took as f64 - self.mean_latency_ms) * LATENCY_EWMA_WEIGHT;
    }

    /// How long an attempt usually takes, in milliseconds.
    pub fn mean_latency_ms(&self) -> Millis {
        self.mean_latency_ms as Millis
    }

    /// How long it takes this edge until one more request has been answered, in milliseconds.
    pub fn drain_interval(&mut self, now: Millis) -> Millis {
        DRAIN_WINDOW / Millis::from(self.completions.upper_bound(now).max(1))
    }

    /// Held requests may find a server at this time.
    pub fn retry_queue_by(&mut self, at: Option<Millis>) {
        self.queue_retry_at = [self.queue_retry_at, at].into_iter().flatten().min();
    }
}
