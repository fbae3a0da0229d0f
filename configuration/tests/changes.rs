//! Outcomes of changes (accepted, duplicate, conflict, expired), and the configuration that is read afterwards.

mod common;

use common::{first_item, read, replace, route, send, service, state_with_two_routes, two_routes, update};
use serde_json::{json, Value};
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, WeightedService};

fn removal(version: u64, name: &str) -> Value {
    json!({"version": version, "remove": {"routes": [name]}})
}

fn names(configuration: &Value, list: &str) -> Vec<String> {
    let items = configuration[list].as_array().expect("a list");
    items.iter().map(|item| item["name"].as_str().expect("a name").to_owned()).collect()
}

#[test]
fn initial_state_has_version_0_and_no_updates() {
    let state = ConfigState::default();
    assert_eq!(read(&state), json!({"version": 0}));
    assert_eq!(state.updates_since(0), None);
    assert_eq!(state.version(), 0);
}

#[test]
fn configuration_is_read_back_verbatim() {
    // given: numbers that a conversion to floating point would change, unknown fields, escapes, and spaces within items
    let body = r#"{"version":7,"remark":"tab\there","routes":[{"name":"r","host":"h","service":"s","timeoutMs":5e3,
        "later":{"a":[1.10,0.1e-7]}}],"services":[{"name":"s","runtime":{"models":[{"name":"m",
        "weightsMb":65099.99999999999}]}}],"tenants":[],"ratio":100000000000000000000.5,"empty":{}}"#;
    let mut state = ConfigState::default();
    // when
    assert_eq!(send(&mut state, ChangeKind::Replace, 0, body.as_bytes()), ChangeOutcome::Accepted);
    // then
    let sent: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(read(&state), sent);
    let text = String::from_utf8(state.read()).expect("text");
    for excerpt in ["65099.99999999999", "5e3", "1.10", "0.1e-7", "100000000000000000000.5", "tab\\there"] {
        assert!(text.contains(excerpt), "{excerpt} is not in {text}");
    }
}

#[test]
fn unusual_keys_are_read_back() {
    let body = json!({"version": 3, "a \"quoted\"\\key\n\u{1}é": [{"name": "x\"y\\z\n"}], "": {"name": ""}});
    let mut state = ConfigState::default();
    assert_eq!(replace(&mut state, 0, &body), ChangeOutcome::Accepted);
    assert_eq!(read(&state), body);
}

#[test]
fn replaced_items_keep_their_position() {
    // given
    let mut state = state_with_two_routes();
    // when
    let changed = route("r-one", "a.example", "/uno/", "web");
    let body = json!({"version": 4, "upsert": {"routes": [route("r-new", "b.example", "/", "new"), changed],
        "services": [service("new")], "limits": {"maxBodyBytes": 5}, "tenants": [{"name": "t"}]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    // then
    let current = read(&state);
    assert_eq!(names(&current, "routes"), ["r-one", "r-two", "r-new"]);
    assert_eq!(names(&current, "services"), ["llm", "web", "new"]);
    assert_eq!(current["routes"][0], changed);
    assert_eq!(
        (&current["limits"], &current["tenants"]),
        (&json!({"maxBodyBytes": 5}), &json!([{"name": "t"}]))
    );
    assert_eq!(state.view().limits.max_body_bytes, 5);
}

#[test]
fn emptied_list_stays() {
    let mut state = state_with_two_routes();
    let body = json!({"version": 2, "remove": {"routes": ["r-two", "r-one", "r-never", "r-two"], "unknown": ["x"],
        "limits": ["maxBodyBytes"], "services": null}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    let mut expected = two_routes(2);
    expected["routes"] = json!([]);
    assert_eq!(read(&state), expected);
}

#[test]
fn upsert_wins_over_remove() {
    let mut state = state_with_two_routes();
    let replacement = route("r-one", "a.example", "/one/", "web");
    let body = json!({"version": 2, "upsert": {"routes": [replacement]}, "remove": {"routes": ["r-one"]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    assert_eq!(names(&read(&state), "routes"), ["r-two", "r-one"]);
    assert_eq!(
        state.view().route("a.example", "/one/").map(|route| route.traffic_split.clone()),
        Some(vec![WeightedService { service: "web".to_owned(), weight: 1.0 }])
    );
}

#[test]
fn value_and_list_replace_each_other() {
    let mut state = state_with_two_routes();
    let list = json!([{"name": "a"}, {"name": "b"}]);
    for (version, value) in
        [(2, json!(5)), (3, list.clone()), (4, json!(["plain"])), (5, json!([])), (6, list)]
    {
        let body = json!({"version": version, "upsert": {"later": value}});
        assert_eq!(update(&mut state, version - 1, &body), ChangeOutcome::Accepted);
        assert_eq!(read(&state)["later"], value);
    }
}

#[test]
fn empty_update_raises_only_the_version() {
    let mut state = state_with_two_routes();
    assert_eq!(update(&mut state, 1, &json!({"version": 9})), ChangeOutcome::Accepted);
    assert_eq!(read(&state), two_routes(9));
    let null_fields = json!({"version": 10, "upsert": null, "remove": null, "unknown": 5});
    assert_eq!(update(&mut state, 9, &null_fields), ChangeOutcome::Accepted);
    assert_eq!(read(&state), two_routes(10));
}

#[test]
fn repeated_change_is_a_duplicate() {
    // given
    let mut state = state_with_two_routes();
    let change = removal(3, "r-one");
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Accepted);
    let after = state.snapshot();
    // when, then: retried immediately
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Duplicate);
    assert_eq!(replace(&mut state, 0, &two_routes(1)), ChangeOutcome::Duplicate);
    assert_eq!(state.snapshot(), after, "a duplicate changes nothing");
    // when, then: retried after another change
    assert_eq!(update(&mut state, 3, &removal(8, "r-two")), ChangeOutcome::Accepted);
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Duplicate);
    assert_eq!(state.version(), 8);
}

#[test]
fn other_change_on_the_same_base_conflicts() {
    let mut state = state_with_two_routes();
    assert_eq!(update(&mut state, 1, &removal(3, "r-one")), ChangeOutcome::Accepted);
    assert_eq!(update(&mut state, 1, &removal(3, "r-two")), ChangeOutcome::Conflict { current: 3 });
    let body = removal(3, "r-one").to_string();
    assert_eq!(
        send(&mut state, ChangeKind::Replace, 1, body.as_bytes()),
        ChangeOutcome::Conflict { current: 3 }
    );
    assert_eq!(update(&mut state, 0, &removal(3, "r-one")), ChangeOutcome::Conflict { current: 3 });
}

#[test]
fn change_on_another_version_conflicts() {
    let mut state = state_with_two_routes();
    assert_eq!(update(&mut state, 1, &removal(5, "r-one")), ChangeOutcome::Accepted);
    for base in [0, 1, 4, 6, u64::MAX] {
        assert_eq!(update(&mut state, base, &removal(9, "r-two")), ChangeOutcome::Conflict { current: 5 });
        assert_eq!(replace(&mut state, base, &two_routes(9)), ChangeOutcome::Conflict { current: 5 });
    }
}

#[test]
fn rejected_change_can_be_corrected() {
    let mut state = state_with_two_routes();
    let mut body = two_routes(4);
    first_item(&mut body, "routes")["service"] = json!("nobody");
    assert!(matches!(replace(&mut state, 1, &body), ChangeOutcome::Invalid(_)));
    first_item(&mut body, "routes")["service"] = json!("llm");
    assert_eq!(replace(&mut state, 1, &body), ChangeOutcome::Accepted);
}

#[test]
fn first_committed_of_two_valid_changes_wins() {
    // given: two changes that are both valid at the leader because neither is applied yet
    let (mut leader, mut follower) = (state_with_two_routes(), state_with_two_routes());
    let first =
        Change::parse(ChangeKind::Update, 1, removal(2, "r-one").to_string().as_bytes()).expect("valid");
    let second =
        Change::parse(ChangeKind::Update, 1, removal(2, "r-two").to_string().as_bytes()).expect("valid");
    assert_eq!(
        (leader.validate(&first), leader.validate(&second)),
        (ChangeOutcome::Accepted, ChangeOutcome::Accepted)
    );
    // when
    let committed = [first.encode(), second.encode(), first.encode()];
    let outcomes = committed.each_ref().map(|entry| leader.apply(entry));
    // then
    assert_eq!(
        outcomes,
        [ChangeOutcome::Accepted, ChangeOutcome::Conflict { current: 2 }, ChangeOutcome::Duplicate]
    );
    assert_eq!(committed.each_ref().map(|entry| follower.apply(entry)), outcomes);
    assert_eq!(leader.snapshot(), follower.snapshot());
    assert_eq!(names(&read(&leader), "routes"), ["r-two"]);
}

#[test]
fn decoded_change_equals_the_encoded_one() {
    let change = Change::parse(ChangeKind::Replace, 6, two_routes(7).to_string().as_bytes()).expect("valid");
    let decoded = Change::decode(&change.encode()).expect("an encoded change");
    assert_eq!((decoded.base_version(), decoded.version()), (6, 7));
    assert_eq!(decoded.encode(), change.encode());
}

/// Capacity of the deduplication window, in changes.
const DEDUP_WINDOW: u64 = 4096;

/// Applies empty updates, each raising the version by 1, until the state is at `version`.
fn advance_to(state: &mut ConfigState, version: u64) {
    for next in state.version() + 1..=version {
        assert_eq!(update(state, next - 1, &json!({"version": next})), ChangeOutcome::Accepted);
    }
}

#[test]
fn duplicates_are_recognized_within_the_window() {
    for other_changes in [5, 500, DEDUP_WINDOW - 2] {
        let mut state = state_with_two_routes();
        let change = removal(2, "r-one");
        assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Accepted);
        advance_to(&mut state, 2 + other_changes);
        let mut restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
        assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Duplicate, "after {other_changes}");
        assert_eq!(update(&mut restored, 1, &change), ChangeOutcome::Duplicate, "after {other_changes}");
    }
}

#[test]
fn changes_beyond_the_window_expire() {
    // given
    let mut state = state_with_two_routes();
    let change = removal(2, "r-one");
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Accepted);
    advance_to(&mut state, 5002);
    let restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
    for mut state in [state, restored] {
        let before = state.snapshot();
        // when, then: it is unknown whether a change based on an evicted version was applied, so it gets no final result
        assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Expired);
        assert_eq!(update(&mut state, 1, &removal(2, "r-two")), ChangeOutcome::Expired);
        assert_eq!(replace(&mut state, 0, &two_routes(1)), ChangeOutcome::Expired);
        // then: changes based on a version within the window are either duplicates or conflicts
        let oldest_base = 5002 - DEDUP_WINDOW;
        let other = removal(oldest_base + 1, "r-two");
        assert_eq!(update(&mut state, oldest_base - 1, &other), ChangeOutcome::Expired);
        assert_eq!(update(&mut state, oldest_base, &other), ChangeOutcome::Conflict { current: 5002 });
        assert_eq!(
            update(&mut state, oldest_base, &json!({"version": oldest_base + 1})),
            ChangeOutcome::Duplicate
        );
        assert_eq!(state.snapshot(), before, "the state is unchanged");
    }
}

#[test]
fn snapshot_with_a_full_window_stays_small() {
    let mut state = state_with_two_routes();
    advance_to(&mut state, DEDUP_WINDOW + 10);
    let bytes = state.snapshot().len() as u64;
    // The coordinator takes a snapshot after each change as long as the state is smaller than 96 KiB.
    assert!(bytes < 96 << 10, "{bytes} bytes");
}
