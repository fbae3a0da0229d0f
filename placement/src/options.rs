//! Tunable parameters of a [`crate::Planner`].

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Tunable parameters of the planner. [`Options::default`] suits the deployments that the project is built for.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Length of the sliding window over which the rate of loads from the weight store is limited, in milliseconds.
    pub origin_window: Millis,
    /// Tokens per second that one replica processes at target utilisation: prompt tokens plus ten times the output
    /// tokens.
    pub target_tokens_per_replica: f64,
    /// Fraction of a server's request slots that are in use at target utilisation, from 0 to 1. Above it a model gets
    /// another replica.
    pub target_slot_utilization: f64,
    /// Fraction of all model slots that replicas beyond each model's first may fill, from 0 to 1.
    pub extra_replica_share: f64,
    /// Fraction of the weight store's load rate that is reserved for models without a replica that requests wait for,
    /// from 0 to 1.
    pub urgent_load_share: f64,
    /// A model is in demand for this long after its last request, in milliseconds.
    pub demand_window: Millis,
    /// An adapter gets one further replica for each full multiple of this request rate, in requests per second.
    pub adapter_replica_rate: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            origin_window: 5_000,
            target_tokens_per_replica: 20_000.0,
            target_slot_utilization: 0.35,
            extra_replica_share: 0.67,
            urgent_load_share: 0.3,
            demand_window: 30_000,
            adapter_replica_rate: 2.0,
        }
    }
}

impl Options {
    /// Returns the defaults, with the window of the weight store's rate limit taken from the settings.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Options { origin_window: bounds.origin_window.as_millis() as Millis, ..Options::default() }
    }
}
