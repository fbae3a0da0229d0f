//! The servers of one service as this edge uses them.

use shaletrail_protocol::Millis;
use shaletrail_ring::{hash_of_name, SlotArray};

use crate::budget::Budget;
use crate::servers::ServerHandle;
use crate::window::SlidingCount;
use crate::Options;

/// The window over which completions are counted, in milliseconds.
const DRAIN_WINDOW: Millis = 2000;
/// How long an attempt takes, in milliseconds, until some have been seen.
const USUAL_MS: f64 = 300.0;
/// The part that the newest attempt has in the mean.
const NEWEST_PART: f64 = 0.125;

/// A server that became ready or ceased to be.
#[derive(Debug)]
pub(crate) struct Rearranged {
    /// The server.
    pub server: ServerHandle,
    /// Where it is.
    pub address: String,
    /// Whether it is ready.
    pub ready: bool,
}

/// A service.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Its servers that have not left, in the order in which they became known.
    pub members: Vec<ServerHandle>,
    /// Where its keys are at home: the ready servers.
    pub array: SlotArray<ServerHandle>,
    /// Requests of this edge that are open at its servers.
    pub open: u32,
    /// Repeats.
    pub budget: Budget,
    /// When held requests may find a server with no event but the passing of time.
    pub reconsider_at: Option<Millis>,
    completions: SlidingCount,
    usual_ms: f64,
}

impl Fleet {
    pub fn new(options: &Options) -> Self {
        Fleet {
            members: Vec::new(),
            array: SlotArray::default(),
            open: 0,
            budget: Budget::new(options),
            reconsider_at: None,
            completions: SlidingCount::over(DRAIN_WINDOW),
            usual_ms: USUAL_MS,
        }
    }

    /// A server became known.
    pub fn join(&mut self, joined: ServerHandle) {
        self.members.push(joined);
    }

    /// Servers became ready or ceased to be. Those at one address, one after the other, have the same slots.
    pub fn rearrange(&mut self, changed: &[Rearranged]) {
        let size = |ready: bool| if ready { 1.0 } else { 0.0 };
        let points: Vec<_> =
            changed.iter().map(|c| (c.server, hash_of_name(&c.address), size(c.ready))).collect();
        self.array.update(&points);
    }

    /// A server left.
    pub fn leave(&mut self, left: ServerHandle) {
        self.members.retain(|member| *member != left);
        self.array.update(&[(left, 0, 0.0)]);
    }

    /// An attempt was answered whole by one of its servers, so long after it was sent.
    pub fn count_completion(&mut self, now: Millis, took: Millis) {
        self.completions.add(now);
        self.usual_ms += (took as f64 - self.usual_ms) * NEWEST_PART;
    }

    /// How long an attempt usually takes, in milliseconds.
    pub fn usual_ms(&self) -> Millis {
        self.usual_ms as Millis
    }

    /// How long it takes this edge until one more request has been answered, in milliseconds.
    pub fn drain_interval(&mut self, now: Millis) -> Millis {
        DRAIN_WINDOW / Millis::from(self.completions.at_most(now).max(1))
    }

    /// Held requests may find a server at this time.
    pub fn reconsider_by(&mut self, at: Option<Millis>) {
        self.reconsider_at = [self.reconsider_at, at].into_iter().flatten().min();
    }
}
