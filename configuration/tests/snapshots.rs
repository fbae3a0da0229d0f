//! Snapshots of the state machine, and restoring the state from them.

mod common;

use common::{replace, route, service, state_with_two_routes, two_routes, update};
use serde_json::json;
use shaletrail_configuration::{ChangeOutcome, ConfigState};

/// Returns a state with a few applied changes.
fn state_with_history() -> ConfigState {
    let mut state = state_with_two_routes();
    let changed = route("r-one", "b.example", "/one/", "web");
    let body = json!({"version": 4, "upsert": {"routes": [changed], "later": {"x": 1.50}, "tenants": []},
        "remove": {"routes": ["r-two"]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    let added = route("r-0", "b.example", "/0/", "llm");
    let body = json!({"version": 6, "upsert": {"routes": [added]}});
    assert_eq!(update(&mut state, 4, &body), ChangeOutcome::Accepted);
    state
}

#[test]
fn restored_state_equals_the_original() {
    let state = state_with_history();
    let restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored.version(), 6);
    assert_eq!(restored.read(), state.read());
    assert_eq!(restored.view(), state.view());
    for version in 0..8 {
        assert_eq!(restored.updates_since(version), state.updates_since(version), "since {version}");
    }
    assert_eq!(restored.snapshot(), state.snapshot());
}

#[test]
fn restored_state_validates_like_the_original() {
    let mut state = state_with_history();
    let mut restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
    for state in [&mut state, &mut restored] {
        assert_eq!(replace(state, 0, &two_routes(1)), ChangeOutcome::Duplicate);
        assert_eq!(update(state, 4, &json!({"version": 7})), ChangeOutcome::Conflict { current: 6 });
        let referenced = json!({"version": 7, "remove": {"services": ["web"]}});
        assert!(matches!(update(state, 6, &referenced), ChangeOutcome::Invalid(_)));
        let duplicate_route =
            json!({"version": 7, "upsert": {"routes": [route("r-x", "b.example", "/0/", "llm")]}});
        assert!(matches!(update(state, 6, &duplicate_route), ChangeOutcome::Invalid(_)));
        let new_route =
            json!({"version": 7, "upsert": {"routes": [route("r-x", "b.example", "/x/", "llm")]}});
        assert_eq!(update(state, 6, &new_route), ChangeOutcome::Accepted);
    }
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(restored.read(), state.read());
}

#[test]
fn restored_initial_state_accepts_a_configuration() {
    let mut restored = ConfigState::restore(&ConfigState::default().snapshot()).expect("a snapshot");
    assert_eq!(replace(&mut restored, 0, &two_routes(1)), ChangeOutcome::Accepted);
}

#[test]
fn damaged_snapshot_is_rejected() {
    insta::assert_snapshot!(ConfigState::restore(b"").expect_err("empty"), @"0 bytes are not a snapshot");
    let snapshot = state_with_history().snapshot();
    insta::assert_snapshot!(ConfigState::restore(&snapshot[..snapshot.len() / 2]).expect_err("truncated"), @"420 bytes are not a snapshot");
    let route = snapshot.windows(3).position(|bytes| bytes == b"/0/").expect("the route's prefix");
    let mut damaged = snapshot.clone();
    damaged[route - 1] = 0;
    assert!(ConfigState::restore(&damaged).is_err());
}

/// Guards against a snapshot that no journal accepts: the names of recently changed items are stored once more for each
/// change.
#[test]
fn snapshot_exceeds_configuration_by_limited_size() {
    // given: services with long names that change again and again
    const NAME_BYTES: usize = 200_000;
    const CHANGES: u64 = 40;
    const MAX_OVERHEAD_BYTES: usize = 2 << 20;
    let mut state = ConfigState::default();

    for version in 1..=CHANGES {
        // when
        let mut changed = service(&"n".repeat(NAME_BYTES));
        changed["maxConnections"] = json!(version);
        let body = json!({"version": version, "upsert": {"services": [changed]}});
        assert_eq!(update(&mut state, version - 1, &body), ChangeOutcome::Accepted);

        // then
        let (snapshot, configuration) = (state.snapshot().len(), state.read().len());
        assert!(snapshot <= configuration + MAX_OVERHEAD_BYTES, "{snapshot} bytes for {configuration}");
    }
    // and: an update since the last version is still a delta, one since the first contains everything
    let since = |version| state.updates_since(version).expect("there is a later version");
    assert_eq!(since(CHANGES - 1).base, Some(CHANGES - 1));
    assert_eq!(since(1).base, None);
    let restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored.snapshot(), state.snapshot());
}
