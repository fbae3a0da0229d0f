//! The assignment of services to shards.

use shaletrail_coordinator::core::shards::{shard_of, CONFIGURATION, SERVICE_SHARDS};

#[test]
fn services_use_all_service_shards() {
    let mut used: Vec<u32> = (0..200).map(|number| shard_of(&format!("service-{number}"))).collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, (1..=SERVICE_SHARDS).collect::<Vec<_>>());
    assert!(!used.contains(&CONFIGURATION));
}
