//! An order in flight: when it was sent and accepted, and how long it should take.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use crate::interface::OrderNumber;
use crate::model::Artifact;
use crate::origin::{LoadToken, ACCEPTANCE_TIMEOUT};

/// Added to the expected time of a load before the load counts as complete, in milliseconds.
const LOAD_MARGIN: Millis = 20;
/// A load takes at most this multiple of its expected time, plus [`MAX_LOAD_SLACK`].
const MAX_LOAD_FACTOR: f64 = 4.0;
/// See [`MAX_LOAD_FACTOR`], in milliseconds.
const MAX_LOAD_SLACK: Millis = 4_000;
/// Maximum time of an eviction, which waits for the requests in progress on the model, in milliseconds.
pub const EVICTION_TIMEOUT: Millis = 30_000;
/// Time of a load from the server's own disk, relative to one from the weight store.
const DISK_LOAD_FACTOR: f64 = 0.2;
/// Upper bound of a configured load time, in seconds.
pub const MAX_LOAD_TIME_S: f64 = 3_600.0;

/// An order that was sent and whose effect is not yet seen.
#[derive(Clone, Debug)]
pub struct InFlightOrder {
    /// Identifies the order.
    pub number: OrderNumber,
    /// The server's revision that the order requires.
    pub if_revision: u64,
    /// Whether to load or to evict.
    pub operation: Operation,
    /// What to load or evict.
    pub artifact: Artifact,
    /// When the order was planned.
    pub sent_at: Millis,
    /// When the server accepted the order; `None` until then.
    pub accepted_at: Option<Millis>,
    /// The load's entry in the weight store's budget, if it loads from there.
    pub origin_load: Option<LoadToken>,
    /// Expected time from acceptance to completion, in milliseconds.
    pub expected_ms: Millis,
}

impl InFlightOrder {
    /// Expected time of a load, in milliseconds, for a model that takes `load_time_s` seconds from the weight store.
    pub fn expected_load_ms(load_time_s: f64, from_origin: bool) -> Millis {
        let factor = if from_origin { 1.0 } else { DISK_LOAD_FACTOR };
        (load_time_s.clamp(0.0, MAX_LOAD_TIME_S) * 1_000.0 * factor) as Millis
    }

    /// Whether the order is a load whose expected time has passed.
    pub fn is_probably_loaded(&self, now: Millis) -> bool {
        let is_over = |accepted_at: Millis| now >= accepted_at + self.expected_ms + LOAD_MARGIN;
        self.operation == Operation::Load && self.accepted_at.is_some_and(is_over)
    }

    /// Whether the order is this operation on a model, and not on an adapter.
    pub fn is_for_model(&self, operation: Operation) -> bool {
        self.operation == operation && self.artifact.adapter.is_none()
    }

    /// Whether the order evicts the artifact, or the model that the artifact belongs to.
    pub fn evicts(&self, artifact: Artifact) -> bool {
        let evicts_it = self.artifact == artifact || self.artifact == Artifact::model(artifact.model);
        self.operation == Operation::Evict && evicts_it
    }

    /// Whether the order was accepted so long ago that it should have ended.
    pub fn is_overdue(&self, now: Millis) -> bool {
        let timeout = match self.operation {
            Operation::Load => self.load_timeout(),
            Operation::Evict => EVICTION_TIMEOUT,
        };
        self.accepted_at.is_some_and(|accepted_at| now.saturating_sub(accepted_at) >= timeout)
    }

    /// Until when the server may still accept the order if there is no response.
    pub fn acceptance_deadline(&self) -> Millis {
        self.sent_at.saturating_add(ACCEPTANCE_TIMEOUT)
    }

    /// Maximum time of a load, in milliseconds.
    pub fn load_timeout(&self) -> Millis {
        (self.expected_ms as f64 * MAX_LOAD_FACTOR) as Millis + MAX_LOAD_SLACK
    }
}
