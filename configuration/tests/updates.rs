//! Updates since a version, and their effect on a view.

mod common;

use common::{replace, route, route_name, service, state_with_two_routes, two_routes, update};
use serde_json::{json, Value};
use shaletrail_configuration::{ChangeOutcome, ConfigState, ConfigView, ViewError};
use shaletrail_protocol::internal::{ConfigItem, ConfigUpdate, ItemKey};

#[test]
fn no_update_for_current_or_later_version() {
    let state = state_with_two_routes();
    assert_eq!(state.updates_since(1), None);
    assert_eq!(state.updates_since(2), None);
}

#[test]
fn delta_update_holds_only_changed_items() {
    // given
    let mut state = ConfigState::default();
    let routes: Vec<Value> =
        (0..5000).map(|n| route(&format!("r-{n}"), "h.example", &format!("/{n}/"), "s")).collect();
    let body = json!({"version": 1, "services": [service("s")], "routes": routes});
    assert_eq!(replace(&mut state, 0, &body), ChangeOutcome::Accepted);
    let mut view = state.view().clone();
    // when: an update changes one route, and a replacement changes it back
    let moved = route("r-77", "h.example", "/new/", "s");
    assert_eq!(
        update(&mut state, 1, &json!({"version": 2, "upsert": {"routes": [moved]}})),
        ChangeOutcome::Accepted
    );
    let after_update = state.updates_since(1).expect("an update");
    let mut body = body;
    body["version"] = json!(5);
    assert_eq!(replace(&mut state, 2, &body), ChangeOutcome::Accepted);
    let after_replacement = state.updates_since(2).expect("an update");
    // then
    for (base, update) in [(1, after_update), (2, after_replacement)] {
        let keys: Vec<&str> = update.upsert.iter().map(|item| item.key.name.as_str()).collect();
        assert_eq!((update.base, keys, update.remove.len()), (Some(base), vec!["r-77"], 0));
        view.apply(&update).expect("a valid update");
    }
    assert_eq!(&view, state.view());
    assert_eq!(view.route("h.example", "/new/"), None);
    assert_eq!(route_name(&view, "h.example", "/77/x"), Some("r-77"));
}

#[test]
fn items_outside_views_are_not_sent() {
    let mut state = state_with_two_routes();
    assert_eq!(
        update(&mut state, 1, &json!({"version": 6, "upsert": {"tenants": [{"name": "t"}]}})),
        ChangeOutcome::Accepted
    );
    let expected = ConfigUpdate { base: Some(1), version: 6, ..ConfigUpdate::default() };
    assert_eq!(state.updates_since(1), Some(expected));
    let full = state.updates_since(0).expect("an update");
    assert!(full.upsert.iter().all(|item| item.key.list != "tenants"));
}

#[test]
fn unknown_or_evicted_version_gets_a_full_update() {
    let mut state = state_with_two_routes();
    for (base, version) in [(1, 4), (4, 8)] {
        assert_eq!(update(&mut state, base, &json!({"version": version})), ChangeOutcome::Accepted);
    }
    let bases = [0, 1, 2, 4, 5].map(|version| state.updates_since(version).expect("an update").base);
    assert_eq!(bases, [None, Some(1), None, Some(4), None]);
    // when: a change modifies more items than the change log can hold
    let routes: Vec<Value> =
        (0..5000).map(|n| route(&format!("r-{n}"), "h.example", &format!("/{n}/"), "llm")).collect();
    let body = json!({"version": 9, "upsert": {"routes": routes}});
    assert_eq!(update(&mut state, 8, &body), ChangeOutcome::Accepted);
    // then
    assert_eq!([4, 8].map(|version| state.updates_since(version).expect("an update").base), [None, None]);
    assert_eq!(update(&mut state, 9, &json!({"version": 10})), ChangeOutcome::Accepted);
    assert_eq!([8, 9].map(|version| state.updates_since(version).expect("an update").base), [None, Some(9)]);
}

#[test]
fn stale_update_is_rejected() {
    let mut state = state_with_two_routes();
    let oldest = state.updates_since(0).expect("an update");
    assert_eq!(
        update(&mut state, 1, &json!({"version": 5, "remove": {"routes": ["r-one"]}})),
        ChangeOutcome::Accepted
    );
    let mut view = ConfigView::default();
    view.apply(&state.updates_since(0).expect("an update")).expect("a valid update");
    let before = view.clone();
    for stale in
        [oldest, state.updates_since(1).expect("an update"), state.updates_since(0).expect("an update")]
    {
        assert!(matches!(view.apply(&stale), Err(ViewError::NotNewer { current: 5, .. })));
        assert_eq!(view, before);
    }
}

#[test]
fn update_on_another_base_is_rejected() {
    let mut state = state_with_two_routes();
    let mut view = state.view().clone();
    for version in [2, 3] {
        assert_eq!(update(&mut state, version - 1, &json!({"version": version})), ChangeOutcome::Accepted);
    }
    let before = view.clone();
    let update = state.updates_since(2).expect("an update");
    assert_eq!(view.apply(&update), Err(ViewError::BaseMismatch { current: 1, base: 2 }));
    assert_eq!(view, before);
    view.apply(&state.updates_since(1).expect("an update")).expect("a valid update");
    assert_eq!(&view, state.view());
}

/// Applies an update with valid limits and the given item, and returns its error text. Checks that the view, including
/// its limits, is unchanged.
fn error_of_update(view: &mut ConfigView, base: Option<u64>, list: &str, name: &str, json: &str) -> String {
    let before = view.clone();
    let key = ItemKey { list: list.to_owned(), name: name.to_owned() };
    let limits = ConfigItem {
        key: ItemKey { list: "limits".to_owned(), name: String::new() },
        json: "{\"maxBodyBytes\":1}".to_owned(),
    };
    let upsert = vec![limits, ConfigItem { key, json: json.to_owned() }];
    let error =
        view.apply(&ConfigUpdate { base, version: 9, upsert, remove: Vec::new() }).expect_err("invalid");
    assert_eq!(*view, before, "the view is unchanged");
    error.to_string()
}

#[test]
fn invalid_update_changes_nothing() {
    let mut view = state_with_two_routes().view().clone();
    let view = &mut view;
    let duplicate = route("r-3", "a.example", "/one/", "llm").to_string();
    insta::assert_snapshot!(error_of_update(view, Some(1), "routes", "r-3", "{\"name\":\"r-3\""), @"invalid update: body: not JSON from byte 12 on");
    insta::assert_snapshot!(error_of_update(view, Some(1), "routes", "r-3", "{\"name\":\"r-4\",\"host\":\"h\",\"service\":\"s\"}"), @"invalid update: routes/r-3: name: {\"name\":\"r-4\",\"host\":\"h\",\"service\":\"s\"} found, expected the item's name");
    insta::assert_snapshot!(error_of_update(view, Some(1), "services", "s", "{\"name\":\"s\",\"runtime\":5}"), @"invalid update: services/s: runtime: 5 found, expected an object");
    insta::assert_snapshot!(error_of_update(view, None, "routes", "r-3", "{\"name\":\"r-3\",\"timeoutMs\":0}"), @"invalid update: routes/r-3: timeoutMs: 0 found, expected a number over 0");
    insta::assert_snapshot!(error_of_update(view, Some(1), "routes", "r-3", &duplicate), @"invalid update: routes/r-3: pathPrefix: r-one has the host a.example and the prefix /one/ too");
    insta::assert_snapshot!(error_of_update(view, Some(2), "routes", "r-3", &duplicate), @"update since version 2 cannot be applied to version 1");
}

#[test]
fn cloned_view_is_not_updated() {
    let mut state = state_with_two_routes();
    let mut view = state.view().clone();
    let cloned = view.clone();
    let mut next = two_routes(2);
    next["routes"] = json!([route("r-two", "a.example", "/two/", "llm")]);
    assert_eq!(replace(&mut state, 1, &next), ChangeOutcome::Accepted);
    view.apply(&state.updates_since(1).expect("an update")).expect("a valid update");
    assert_eq!(route_name(&cloned, "a.example", "/one/"), Some("r-one"));
    assert_eq!(route_name(&view, "a.example", "/one/"), None);
    assert_eq!((cloned.version, view.version), (1, 2));
}

#[test]
fn omitted_limits_return_to_defaults() {
    let mut state = state_with_two_routes();
    let small = json!({"version": 2, "upsert": {"limits": {"maxBodyBytes": 10}}});
    assert_eq!(update(&mut state, 1, &small), ChangeOutcome::Accepted);
    let mut view = state.view().clone();
    assert_eq!(view.limits.max_body_bytes, 10);
    assert_eq!(replace(&mut state, 2, &json!({"version": 3})), ChangeOutcome::Accepted);
    view.apply(&state.updates_since(2).expect("an update")).expect("a valid update");
    assert_eq!(view.limits, ConfigView::default().limits);
    assert_eq!((view.routes().count(), view.services().count()), (0, 0));
}
