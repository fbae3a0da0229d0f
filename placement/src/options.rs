//! What can be set about a [`crate::Planner`].

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Tunables of the planner. [`Options::default`] suits the deployments described to the project.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The window over which loads from the weight store are counted, in milliseconds.
    pub origin_window: Millis,
    /// Work in tokens a second (prompt, and output tenfold) that one replica takes at ease.
    pub target_tokens_per_replica: f64,
    /// Part of a server's slots that may be open before a model gets another replica.
    pub target_slot_utilization: f64,
    /// Part of all places that replicas beyond each model's first may fill.
    pub extra_replica_share: f64,
    /// Part of the store's rate that only models with waiting requests and no holder may use.
    pub urgent_load_share: f64,
    /// How long a model or adapter counts as in demand after its last request, in milliseconds.
    pub demand_window: Millis,
    /// Requests a second from which an adapter gets one more replica, and again for each multiple.
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
    /// The defaults, with the window that the settings give.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Options { origin_window: bounds.origin_window.as_millis() as Millis, ..Options::default() }
    }
}
