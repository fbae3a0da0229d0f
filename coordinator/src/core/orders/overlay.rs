//! Placement overlays: what orders have changed about a server's models since its last heartbeat.

use shaletrail_placement::Planner;
use shaletrail_protocol::external::LoadedModel;
use shaletrail_protocol::internal::{PlacementOverlay, ServerRecord};
use shaletrail_protocol::Millis;

/// The overlay that a server's record needs, if it differs from the one that it has.
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
            // An entry without adapters stands for the model itself.
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

/// Models and adapters of one list that another lacks. A model that is in both stands there for its adapters only.
fn difference(these: &[LoadedModel], those: &[LoadedModel]) -> Vec<LoadedModel> {
    let mut missing = Vec::new();
    for model in these {
        let Some(other) = those.iter().find(|other| other.name == model.name) else {
            missing.push(model.clone());
            continue;
        };
        let lacks = |adapter: &&String| !other.adapters.contains(adapter);
        let adapters: Vec<String> = model.adapters.iter().filter(lacks).cloned().collect();
        if !adapters.is_empty() {
            missing.push(LoadedModel { adapters, ..model.clone() });
        }
    }
    missing
}
