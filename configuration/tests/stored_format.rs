//! The bytes of the configuration's changes, which stand in the shard's log, and of its snapshots.
//!
//! Both are read from disk by the next version, and by coordinators of two versions while a release is rolled out.
//! These tests compare the present form with bytes that an earlier build wrote.
//!
//! If one turns red, the format has changed. Don't store new bytes: put the types back, or give the new format a
//! version of its own and go on reading the old one.

mod common;
#[path = "../../protocol/tests/support/stored.rs"]
mod stored;

use common::{route, service, two_routes};
use serde_json::json;
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, View};
use stored::StoredBytes;

fn starting_with(prefix: &str) -> StoredBytes {
    StoredBytes::read(include_str!("fixtures/stored_format.txt"), prefix)
}

/// Encodes a call of the operator, and decodes the stored bytes of the same.
fn compare(stored: &mut StoredBytes, name: &str, kind: ChangeKind, base: u64, body: &str) -> Vec<u8> {
    let change = Change::parse(kind, base, body.as_bytes()).expect("a proper change");
    let bytes = stored.bytes(name, &change.encode());
    let decoded = Change::decode(&bytes).expect("stored changes decode");
    assert_eq!(
        (decoded.base_version(), decoded.version()),
        (change.base_version(), change.version()),
        "{name}"
    );
    assert_eq!(decoded.encode(), bytes, "{name}: whether it replaces all, and its body");
    bytes
}

/// The stored changes: a replacement, and an update that adds, replaces and removes.
fn changes(stored: &mut StoredBytes) -> [Vec<u8>; 2] {
    let changed = route("r-one", "b.example", "/one/", "web");
    let update = json!({"version": 8,
        "upsert": {"routes": [changed], "services": [service("new")], "later": {"x": 1.50}, "tenants": []},
        "remove": {"routes": ["r-two"]}});
    [
        compare(stored, "change replace", ChangeKind::Replace, 0, &two_routes(3).to_string()),
        compare(stored, "change update", ChangeKind::Update, 3, &update.to_string()),
    ]
}

#[test]
fn changes_keep_their_bytes() {
    let mut stored = starting_with("change ");
    changes(&mut stored);
    stored.finish();
}

#[test]
fn a_snapshot_keeps_its_bytes_and_all_that_it_holds() {
    // given
    let mut stored = starting_with("");
    let changes = changes(&mut stored);
    let mut state = ConfigState::default();
    for change in &changes {
        assert_eq!(state.apply(change), ChangeOutcome::Accepted);
    }

    // when
    let bytes = stored.bytes("snapshot", &state.snapshot());
    let restored = ConfigState::restore(&bytes).expect("stored snapshots are restored");

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
fn news_that_are_not_newer_are_refused_in_the_same_words() {
    let mut state = ConfigState::default();
    for change in changes(&mut starting_with("change ")) {
        assert_eq!(state.apply(&change), ChangeOutcome::Accepted);
    }
    let whole = state.updates_since(0).expect("there is a configuration");
    let mut view = View::default();
    view.apply(&whole).expect("proper news");
    insta::assert_snapshot!(view.apply(&whole).expect_err("not newer"), @"version 8 is not newer than 8");
}
