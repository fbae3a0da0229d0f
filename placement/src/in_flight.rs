//! An order in flight: when it was sent and accepted, and how long it is expected to take.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use crate::interface::OrderNumber;
use crate::model::Artifact;
use crate::origin::{LoadToken, ACCEPTANCE_TIMEOUT};

/// A load counts as complete this long after its expected end, in milliseconds.
const LOAD_MARGIN: Millis = 20;
/// A load is overdue after this multiple of its expected time plus [`MAX_LOAD_SLACK`].
const MAX_LOAD_FACTOR: f64 = 4.0;
/// See [`MAX_LOAD_FACTOR`], in milliseconds.
const MAX_LOAD_SLACK: Millis = 4_000;
/// An eviction is overdue after this time, in milliseconds. It waits for the requests in progress on the model.
pub const EVICTION_TIMEOUT: Millis = 30_000;
/// Time to load from the server's own disk, relative to a load from the weight store.
const DISK_LOAD_FACTOR: f64 = 0.2;
/// Longer configured load times are treated as this one, in seconds.
pub const MAX_LOAD_TIME_S: f64 = 3_600.0;

/// An order that was sent and whose completion has not been observed yet.
#[derive(Clone, Debug)]
pub struct InFlightOrder {
    /// Identifies the order in [`Planner::complete_order`](crate::Planner::complete_order).
    pub number: OrderNumber,
    /// The revision that the server must have to accept the order.
    pub if_revision: u64,
    /// Whether to load or to evict.
    pub operation: Operation,
    /// The model or adapter to load or evict.
    pub artifact: Artifact,
    /// When the planner returned the order for sending.
    pub sent_at: Millis,
    /// When the server's acceptance became known; `None` until then.
    pub accepted_at: Option<Millis>,
    /// The load's entry in the weight store's budget; `None` unless the order loads from the weight store.
    pub origin_load: Option<LoadToken>,
    /// Expected time from acceptance to completion, in milliseconds.
    pub expected_ms: Millis,
}

impl InFlightOrder {
    /// Returns the expected time of a load, in milliseconds, for a model that takes `load_time_s` seconds to load from
    /// the weight store.
    pub fn expected_load_ms(load_time_s: f64, from_origin: bool) -> Millis {
        let factor = if from_origin { 1.0 } else { DISK_LOAD_FACTOR };
        (load_time_s.clamp(0.0, MAX_LOAD_TIME_S) * 1_000.0 * factor) as Millis
    }

    /// Returns whether the order is an accepted load that should have ended by now.
    pub fn is_probably_loaded(&self, now: Millis) -> bool {
        let is_over = |accepted_at: Millis| now >= accepted_at + self.expected_ms + LOAD_MARGIN;
        self.operation == Operation::Load && self.accepted_at.is_some_and(is_over)
    }

    /// Returns whether the order is `operation` on a model and not on an adapter.
    pub fn is_for_model(&self, operation: Operation) -> bool {
        self.operation == operation && self.artifact.adapter.is_none()
    }

    /// Returns whether the order evicts the artifact, or the model that it belongs to.
    pub fn evicts(&self, artifact: Artifact) -> bool {
        let evicts_it = self.artifact == artifact || self.artifact == Artifact::model(artifact.model);
        self.operation == Operation::Evict && evicts_it
    }

    /// Returns whether the order was accepted longer ago than it may take.
    pub fn is_overdue(&self, now: Millis) -> bool {
        let timeout = match self.operation {
            Operation::Load => self.load_timeout(),
            Operation::Evict => EVICTION_TIMEOUT,
        };
        self.accepted_at.is_some_and(|accepted_at| now.saturating_sub(accepted_at) >= timeout)
    }

    /// Returns the latest time at which the server may accept the order if no response arrives.
    pub fn acceptance_deadline(&self) -> Millis {
        self.sent_at.saturating_add(ACCEPTANCE_TIMEOUT)
    }

    /// Returns the time after which a load is overdue, in milliseconds.
    pub fn load_timeout(&self) -> Millis {
        (self.expected_ms as f64 * MAX_LOAD_FACTOR) as Millis + MAX_LOAD_SLACK
    }
}
