//! Placement overlays: how orders have changed a server's models since its last heartbeat.

use shaletrail_placement::Planner;
use shaletrail_protocol::external::LoadedModel;
use shaletrail_protocol::internal::{PlacementOverlay, ServerRecord};
use shaletrail_protocol::Millis;

/// Returns the overlay for a server's record; `None` if it equals the present one.
pub(super) fn changed_overlay(
    now: Millis,
    planner: &Planner,
    record: &ServerRecord,
    fencing_token: u64,
) -> Option<PlacementOverlay> {
    let served = planner.served_models(now, &record.id)?;
    let reported = record.heartbeat.models.as_deref()?;
    let added = difference(&served, reported);
    let mut evicting = difference(reported, &served);
    for model in &mut evicting {
        if !served.iter().any(|loaded| loaded.name == model.name) {
            // An entry without adapters means that the model itself is evicted.
            model.adapters.clear();
        }
    }
    let current = &record.overlay;
    if current.added == added && current.evicting == evicting {
        return None;
    }
    let revision = if current.fencing_token == fencing_token { current.revision + 1 } else { 1 };
    Some(PlacementOverlay { fencing_token, revision, added, evicting })
}

/// Returns the models and adapters of one list that are missing in another. A model that is in both lists is returned
/// with its missing adapters only.
fn difference(models: &[LoadedModel], subtracted: &[LoadedModel]) -> Vec<LoadedModel> {
    let mut missing = Vec::new();
    for model in models {
        let Some(other) = subtracted.iter().find(|other| other.name == model.name) else {
            missing.push(model.clone());
            continue;
        };
        let is_missing = |adapter: &&String| !other.adapters.contains(adapter);
        let adapters: Vec<String> = model.adapters.iter().filter(is_missing).cloned().collect();
        if !adapters.is_empty() {
            missing.push(LoadedModel { adapters, ..model.clone() });
        }
    }
    missing
}
