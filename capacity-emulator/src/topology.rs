//! Zones and regions of nodes, and the message latency between them.

use shaletrail_protocol::Millis;

use crate::options::{ZONES, ZONES_PER_REGION};

/// One-way latency within a zone.
const INTRA_ZONE_LATENCY_MS: Millis = 1;
/// One-way latency between zones of the same region.
const INTER_ZONE_LATENCY_MS: Millis = 2;
/// One-way latency between regions.
const INTER_REGION_LATENCY_MS: Millis = 30;

/// The zone of the node with this index within its class.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// The region of a zone.
pub fn region_of(zone: usize) -> usize {
    zone / ZONES_PER_REGION
}

/// The one-way latency between two zones, in milliseconds.
pub fn latency(from: usize, to: usize) -> Millis {
    if from == to {
        INTRA_ZONE_LATENCY_MS
    } else if region_of(from) == region_of(to) {
        INTER_ZONE_LATENCY_MS
    } else {
        INTER_REGION_LATENCY_MS
    }
}
