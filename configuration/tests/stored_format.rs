//! Stability of the stored format of changes, which are log entries of the configuration shard, and of snapshots.
//!
//! Both are read from disk after an upgrade, and by coordinators of two releases during a rolling upgrade. These tests
//! compare the current encoding with bytes that an earlier build wrote.
//!
//! If a test fails, the format has changed. Do not replace the stored bytes: restore the types, or give the new format
//! its own version and keep decoding the old one.

mod common;
#[path = "../../protocol/tests/support/stored.rs"]
mod stored;

use common::{route, service, two_routes};
use serde_json::json;
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, ConfigView};
use stored::StoredBytes;

fn stored_bytes(prefix: &str) -> StoredBytes {
    StoredBytes::read(include_str!("fixtures/stored_format.txt"), prefix)
}

/// Compares the encoding of a change with its stored bytes, and checks that these decode to the same change.
fn check_change(stored: &mut StoredBytes, name: &str, kind: ChangeKind, base: u64, body: &str) -> Vec<u8> {
    let change = Change::parse(kind, base, body.as_bytes()).expect("a valid change");
    let bytes = stored.bytes(name, &change.encode());
    let decoded = Change::decode(&bytes).expect("stored changes decode");
    assert_eq!(
        (decoded.base_version(), decoded.version()),
        (change.base_version(), change.version()),
        "{name}"
    );
    assert_eq!(decoded.encode(), bytes, "{name}: kind and body");
    bytes
}

/// Checks the stored changes and returns their bytes: a replacement, and an update that adds, replaces and removes
/// items.
fn check_changes(stored: &mut StoredBytes) -> [Vec<u8>; 2] {
    let changed = route("r-one", "b.example", "/one/", "web");
    let update = json!({"version": 8,
        "upsert": {"routes": [changed], "services": [service("new")], "later": {"x": 1.50}, "tenants": []},
        "remove": {"routes": ["r-two"]}});
    [
        check_change(stored, "change replace", ChangeKind::Replace, 0, &two_routes(3).to_string()),
        check_change(stored, "change update", ChangeKind::Update, 3, &update.to_string()),
    ]
}

#[test]
fn changes_keep_their_bytes() {
    let mut stored = stored_bytes("change ");
    check_changes(&mut stored);
    stored.finish();
}

#[test]
fn snapshot_keeps_its_bytes_and_content() {
    // given
    let mut stored = stored_bytes("");
    let changes = check_changes(&mut stored);
    let mut state = ConfigState::default();
    for change in &changes {
        assert_eq!(state.apply(change), ChangeOutcome::Accepted);
    }

    // when
    let bytes = stored.bytes("snapshot", &state.snapshot());
    let restored = ConfigState::restore(&bytes).expect("the stored snapshot is restored");

    // then
    assert_eq!((restored.version(), restored.read()), (8, state.read()));
    assert_eq!(restored.view(), state.view());
    for version in 0..=8 {
        assert_eq!(restored.updates_since(version), state.updates_since(version), "since {version}");
    }
    for change in &changes {
        let change = Change::decode(change).expect("stored changes decode");
        assert_eq!(restored.validate(&change), ChangeOutcome::Duplicate);
    }
    stored.bytes("configuration read back", &restored.read());
    stored.finish();
}

#[test]
fn stale_update_keeps_its_error_text() {
    let mut state = ConfigState::default();
    for change in check_changes(&mut stored_bytes("change ")) {
        assert_eq!(state.apply(&change), ChangeOutcome::Accepted);
    }
    let update = state.updates_since(0).expect("there is a configuration");
    let mut view = ConfigView::default();
    view.apply(&update).expect("a valid update");
    insta::assert_snapshot!(view.apply(&update).expect_err("not newer"), @"version 8 is not newer than 8");
}
