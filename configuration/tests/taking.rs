//! Changes that are taken, come again, or come too late; and what is read back.

mod common;

use common::{first, read, replace, route, send, service, started, two_routes, update};
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
fn given_nothing_when_it_is_read_then_it_has_version_0_and_there_are_no_news() {
    let state = ConfigState::default();
    assert_eq!(read(&state), json!({"version": 0}));
    assert_eq!(state.updates_since(0), None);
    assert_eq!(state.version(), 0);
}

#[test]
fn given_a_configuration_when_it_is_taken_then_it_is_read_back_to_the_letter() {
    // Given: numbers that floating point would change, unknown fields, escapes and spaces inside items.
    let body = r#"{"version":7,"remark":"tab\there","routes":[{"name":"r","host":"h","service":"s","timeoutMs":5e3,
        "later":{"a":[1.10,0.1e-7]}}],"services":[{"name":"s","runtime":{"models":[{"name":"m",
        "weightsMb":65099.99999999999}]}}],"tenants":[],"ratio":100000000000000000000.5,"empty":{}}"#;
    let mut state = ConfigState::default();
    // When
    assert_eq!(send(&mut state, ChangeKind::Replace, 0, body.as_bytes()), ChangeOutcome::Accepted);
    // Then
    let sent: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(read(&state), sent);
    let text = String::from_utf8(state.read()).expect("text");
    for letters in ["65099.99999999999", "5e3", "1.10", "0.1e-7", "100000000000000000000.5", "tab\\there"] {
        assert!(text.contains(letters), "{letters} is not in {text}");
    }
}

#[test]
fn given_odd_keys_when_they_are_taken_then_they_are_read_back() {
    let body = json!({"version": 3, "a \"quoted\"\\key\n\u{1}é": [{"name": "x\"y\\z\n"}], "": {"name": ""}});
    let mut state = ConfigState::default();
    assert_eq!(replace(&mut state, 0, &body), ChangeOutcome::Accepted);
    assert_eq!(read(&state), body);
}

#[test]
fn given_a_configuration_when_items_are_replaced_and_added_then_each_keeps_its_place() {
    // Given
    let mut state = started();
    // When
    let changed = route("r-one", "a.example", "/uno/", "web");
    let body = json!({"version": 4, "upsert": {"routes": [route("r-new", "b.example", "/", "new"), changed],
        "services": [service("new")], "limits": {"maxBodyBytes": 5}, "tenants": [{"name": "t"}]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    // Then
    let now = read(&state);
    assert_eq!(names(&now, "routes"), ["r-one", "r-two", "r-new"]);
    assert_eq!(names(&now, "services"), ["llm", "web", "new"]);
    assert_eq!(now["routes"][0], changed);
    assert_eq!((&now["limits"], &now["tenants"]), (&json!({"maxBodyBytes": 5}), &json!([{"name": "t"}])));
    assert_eq!(state.view().limits.max_body_bytes, 5);
}

#[test]
fn given_a_configuration_when_items_are_removed_then_the_emptied_list_stays() {
    let mut state = started();
    let body = json!({"version": 2, "remove": {"routes": ["r-two", "r-one", "r-never", "r-two"], "nothing": ["x"],
        "limits": ["maxBodyBytes"], "services": null}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    let mut expected = two_routes(2);
    expected["routes"] = json!([]);
    assert_eq!(read(&state), expected);
}

#[test]
fn given_a_configuration_when_an_update_removes_and_brings_one_item_then_it_is_there() {
    let mut state = started();
    let again = route("r-one", "a.example", "/one/", "web");
    let body = json!({"version": 2, "upsert": {"routes": [again]}, "remove": {"routes": ["r-one"]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    assert_eq!(names(&read(&state), "routes"), ["r-two", "r-one"]);
    assert_eq!(
        state.view().route("a.example", "/one/").map(|route| route.traffic_split.clone()),
        Some(vec![WeightedService { service: "web".to_owned(), weight: 1.0 }])
    );
}

#[test]
fn given_a_value_when_it_becomes_a_list_and_a_value_again_then_nothing_of_the_other_form_stays() {
    let mut state = started();
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
fn given_an_update_of_nothing_when_it_is_taken_then_only_the_version_rises() {
    let mut state = started();
    assert_eq!(update(&mut state, 1, &json!({"version": 9})), ChangeOutcome::Accepted);
    assert_eq!(read(&state), two_routes(9));
    let nothing = json!({"version": 10, "upsert": null, "remove": null, "unknown": 5});
    assert_eq!(update(&mut state, 9, &nothing), ChangeOutcome::Accepted);
    assert_eq!(read(&state), two_routes(10));
}

#[test]
fn given_a_change_was_taken_when_it_comes_again_then_it_is_acknowledged_again() {
    // Given
    let mut state = started();
    let change = removal(3, "r-one");
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Accepted);
    let after = state.snapshot();
    // When, then: at once
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Duplicate);
    assert_eq!(replace(&mut state, 0, &two_routes(1)), ChangeOutcome::Duplicate);
    assert_eq!(state.snapshot(), after, "a repeat changes nothing");
    // When, then: after others
    assert_eq!(update(&mut state, 3, &removal(8, "r-two")), ChangeOutcome::Accepted);
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Duplicate);
    assert_eq!(state.version(), 8);
}

#[test]
fn given_a_change_was_taken_when_another_of_the_same_number_comes_then_it_is_a_conflict() {
    let mut state = started();
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
fn given_a_version_when_a_change_builds_on_an_older_or_later_one_then_it_is_a_conflict() {
    let mut state = started();
    assert_eq!(update(&mut state, 1, &removal(5, "r-one")), ChangeOutcome::Accepted);
    for base in [0, 1, 4, 6, u64::MAX] {
        assert_eq!(update(&mut state, base, &removal(9, "r-two")), ChangeOutcome::Conflict { current: 5 });
        assert_eq!(replace(&mut state, base, &two_routes(9)), ChangeOutcome::Conflict { current: 5 });
    }
}

#[test]
fn given_a_refused_change_when_it_would_be_valid_later_then_it_is_taken_then() {
    let mut state = started();
    let mut body = two_routes(4);
    first(&mut body, "routes")["service"] = json!("nobody");
    assert!(matches!(replace(&mut state, 1, &body), ChangeOutcome::Invalid(_)));
    first(&mut body, "routes")["service"] = json!("llm");
    assert_eq!(replace(&mut state, 1, &body), ChangeOutcome::Accepted);
}

#[test]
fn given_two_changes_judged_on_one_version_when_both_are_agreed_on_then_the_first_wins_everywhere() {
    // Given: both pass the leader's look before either is applied.
    let (mut one, mut other) = (started(), started());
    let first =
        Change::parse(ChangeKind::Update, 1, removal(2, "r-one").to_string().as_bytes()).expect("valid");
    let second =
        Change::parse(ChangeKind::Update, 1, removal(2, "r-two").to_string().as_bytes()).expect("valid");
    assert_eq!(
        (one.validate(&first), one.validate(&second)),
        (ChangeOutcome::Accepted, ChangeOutcome::Accepted)
    );
    // When
    let agreed = [first.encode(), second.encode(), first.encode()];
    let answers = agreed.each_ref().map(|change| one.apply(change));
    // Then
    assert_eq!(
        answers,
        [ChangeOutcome::Accepted, ChangeOutcome::Conflict { current: 2 }, ChangeOutcome::Duplicate]
    );
    assert_eq!(agreed.each_ref().map(|change| other.apply(change)), answers);
    assert_eq!(one.snapshot(), other.snapshot());
    assert_eq!(names(&read(&one), "routes"), ["r-two"]);
}

#[test]
fn given_a_change_when_it_is_encoded_and_decoded_then_it_is_the_same() {
    let change = Change::parse(ChangeKind::Replace, 6, two_routes(7).to_string().as_bytes()).expect("valid");
    let decoded = Change::decode(&change.encode()).expect("an encoded change");
    assert_eq!((decoded.base_version(), decoded.version()), (6, 7));
    assert_eq!(decoded.encode(), change.encode());
}

/// Changes that are remembered as taken.
const REMEMBERED: u64 = 4096;

/// Takes updates of nothing until a version is reached, each on the one before.
fn advance(state: &mut ConfigState, version: u64) {
    for next in state.version() + 1..=version {
        assert_eq!(update(state, next - 1, &json!({"version": next})), ChangeOutcome::Accepted);
    }
}

#[test]
fn given_other_changes_in_between_when_a_taken_one_comes_again_then_it_is_acknowledged_also_after_a_snapshot()
{
    for others in [5, 500, REMEMBERED - 2] {
        let mut state = started();
        let change = removal(2, "r-one");
        assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Accepted);
        advance(&mut state, 2 + others);
        let mut restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
        assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Duplicate, "after {others}");
        assert_eq!(update(&mut restored, 1, &change), ChangeOutcome::Duplicate, "after {others}");
    }
}

#[test]
fn given_more_changes_than_are_remembered_when_a_taken_one_comes_again_then_it_is_not_refused() {
    // Given
    let mut state = started();
    let change = removal(2, "r-one");
    assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Accepted);
    advance(&mut state, 5002);
    let restored = ConfigState::restore(&state.snapshot()).expect("a snapshot");
    for mut state in [state, restored] {
        let before = state.snapshot();
        // When, then: it is as little known as another on that version, so neither is refused or acknowledged
        assert_eq!(update(&mut state, 1, &change), ChangeOutcome::Expired);
        assert_eq!(update(&mut state, 1, &removal(2, "r-two")), ChangeOutcome::Expired);
        assert_eq!(replace(&mut state, 0, &two_routes(1)), ChangeOutcome::Expired);
        // Then: changes on versions that are remembered are told apart
        let oldest = 5002 - REMEMBERED;
        let other = removal(oldest + 1, "r-two");
        assert_eq!(update(&mut state, oldest - 1, &other), ChangeOutcome::Expired);
        assert_eq!(update(&mut state, oldest, &other), ChangeOutcome::Conflict { current: 5002 });
        assert_eq!(update(&mut state, oldest, &json!({"version": oldest + 1})), ChangeOutcome::Duplicate);
        assert_eq!(state.snapshot(), before, "nothing of this changes the state");
    }
}

#[test]
fn given_as_many_changes_as_are_remembered_when_the_state_is_saved_then_the_memory_takes_few_bytes_a_change()
{
    let mut state = started();
    advance(&mut state, REMEMBERED + 10);
    let bytes = state.snapshot().len() as u64;
    // The coordinator saves states of up to 96 KiB after each change.
    assert!(bytes < 96 << 10, "{bytes} bytes");
}
