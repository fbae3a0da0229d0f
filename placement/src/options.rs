//! The tunables of a [`crate::Planner`].

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Tunables of the planner. [`Options::default`] suits the deployments described to the project.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Length of the sliding window over which loads from the weight store are limited, in milliseconds.
    pub origin_window: Millis,
    /// Tokens per second (prompt tokens plus ten times the output tokens) of one replica at target utilisation.
    pub target_tokens_per_replica: f64,
    /// Fraction of a server's slots in use at target utilisation, from 0 to 1. Above it a model gets another replica.
    pub target_slot_utilization: f64,
    /// Fraction of all model slots that replicas beyond each model's first may fill, from 0 to 1.
    pub extra_replica_share: f64,
    /// Fraction of the store's rate that is reserved for models without a replica whose requests wait, from 0 to 1.
    pub urgent_load_share: f64,
    /// Time after its last request during which a model counts as in demand, in milliseconds.
    pub demand_window: Millis,
    /// Requests per second for each further replica of an adapter.
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
    /// The defaults, with the weight store's window from the settings.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Options { origin_window: bounds.origin_window.as_millis() as Millis, ..Options::default() }
    }
}
