//! Snapshots of the state machine.

mod common;

use common::{replace, route, started, two_routes, update};
use serde_json::json;
use shaletrail_configuration::{ChangeOutcome, ConfigState};

fn busy() -> ConfigState {
    let mut state = started();
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
fn given_a_state_when_it_is_restored_from_its_snapshot_then_nothing_can_tell_them_apart() {
    let state = busy();
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
fn given_a_restored_state_when_changes_come_then_it_judges_them_as_the_other_does() {
    let mut state = busy();
    let mut restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
    for state in [&mut state, &mut restored] {
        assert_eq!(replace(state, 0, &two_routes(1)), ChangeOutcome::Duplicate);
        assert_eq!(update(state, 4, &json!({"version": 7})), ChangeOutcome::Conflict { current: 6 });
        let in_use = json!({"version": 7, "remove": {"services": ["web"]}});
        assert!(matches!(update(state, 6, &in_use), ChangeOutcome::Invalid(_)));
        let taken = json!({"version": 7, "upsert": {"routes": [route("r-x", "b.example", "/0/", "llm")]}});
        assert!(matches!(update(state, 6, &taken), ChangeOutcome::Invalid(_)));
        let appended = json!({"version": 7, "upsert": {"routes": [route("r-x", "b.example", "/x/", "llm")]}});
        assert_eq!(update(state, 6, &appended), ChangeOutcome::Accepted);
    }
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(restored.read(), state.read());
}

#[test]
fn given_nothing_taken_when_it_is_restored_then_the_first_configuration_can_come() {
    let mut restored = ConfigState::restore(&ConfigState::default().snapshot()).expect("a snapshot");
    assert_eq!(replace(&mut restored, 0, &two_routes(1)), ChangeOutcome::Accepted);
}

#[test]
fn given_a_damaged_snapshot_when_it_is_restored_then_an_error_says_so() {
    insta::assert_snapshot!(ConfigState::restore(b"").expect_err("empty"), @"0 bytes are not a snapshot");
    let snapshot = busy().snapshot();
    insta::assert_snapshot!(ConfigState::restore(&snapshot[..snapshot.len() / 2]).expect_err("cut"), @"420 bytes are not a snapshot");
    let route = snapshot.windows(3).position(|bytes| bytes == b"/0/").expect("the route's prefix");
    let mut damaged = snapshot.clone();
    damaged[route - 1] = 0;
    assert!(ConfigState::restore(&damaged).is_err());
}
