//! Zones and regions of the nodes, and how long a message takes between them.

use shaletrail_protocol::Millis;

use crate::options::{ZONES, ZONES_PER_REGION};

/// One way inside a zone.
const ZONE_LATENCY_MS: Millis = 1;
/// One way between zones of a region.
const REGION_LATENCY_MS: Millis = 2;
/// One way between regions.
const INTER_REGION_LATENCY_MS: Millis = 30;

/// The zone of the node with this index in its class.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// One way between two zones, in milliseconds.
pub fn latency(from: usize, to: usize) -> Millis {
    if from == to {
        ZONE_LATENCY_MS
    } else if from / ZONES_PER_REGION == to / ZONES_PER_REGION {
        REGION_LATENCY_MS
    } else {
        INTER_REGION_LATENCY_MS
    }
}
