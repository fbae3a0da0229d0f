//! Changes that are refused, and what the operator is told.

mod common;

use common::{first, one_line, reason, replace, route, send, service, started, two_routes, update};
use serde_json::{json, Value};
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, MAX_CONFIGURATION_BYTES};

/// Replaces the configuration of [`started`] by one that has been spoilt.
fn replaced_by(spoil: impl FnOnce(&mut Value)) -> String {
    let mut state = started();
    let before = state.snapshot();
    let mut body = two_routes(2);
    spoil(&mut body);
    let answer = reason(replace(&mut state, 1, &body));
    assert_eq!(state.snapshot(), before, "a refused change leaves nothing behind");
    answer
}

fn updated_by(body: Value) -> String {
    let mut state = started();
    let before = state.snapshot();
    let answer = reason(update(&mut state, 1, &body));
    assert_eq!(state.snapshot(), before, "a refused change leaves nothing behind");
    answer
}

fn sent(body: &[u8]) -> String {
    reason(send(&mut started(), ChangeKind::Replace, 1, body))
}

#[test]
fn given_a_configuration_when_a_replacement_is_cut_short_anywhere_then_it_is_refused() {
    let body = two_routes(2).to_string();
    for length in 0..body.len() {
        let whole = Change::parse(ChangeKind::Replace, 1, &body.as_bytes()[..length]);
        assert!(whole.is_err(), "{length} bytes were taken");
    }
    insta::assert_snapshot!(sent(&body.as_bytes()[..body.len() - 1]), @"body: not JSON from byte 669 on");
    insta::assert_snapshot!(sent(b""), @"body: not JSON from byte 0 on");
}

#[test]
fn given_a_configuration_when_an_update_is_cut_short_anywhere_then_it_is_refused() {
    let body = json!({"version": 2, "upsert": {"routes": [route("r-\u{e9}", "a.example", "/\"three\\/", "web")]},
                      "remove": {"routes": ["r-one"]}});
    let body = body.to_string();
    for length in 0..body.len() {
        assert!(
            Change::parse(ChangeKind::Update, 1, &body.as_bytes()[..length]).is_err(),
            "{length} bytes were taken"
        );
    }
}

#[test]
fn given_a_configuration_when_the_body_is_no_json_object_then_it_is_refused() {
    insta::assert_snapshot!(sent(b"[1,2]"), @"body: value: [1,2] found, expected an object");
    insta::assert_snapshot!(sent(b"null"), @"body: value: null found, expected an object");
    insta::assert_snapshot!(sent(b"{\"version\":2} {}"), @"body: not JSON from byte 14 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,}"), @"body: not JSON from byte 13 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":[1,]}"), @"body: not JSON from byte 20 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":01}"), @"body: not JSON from byte 17 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":nul}"), @"body: not JSON from byte 20 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":\"\\u12g4\"}"), @"body: not JSON from byte 19 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":\"\\x\"}"), @"body: not JSON from byte 19 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":\"line\nbreak\"}"), @"body: not JSON from byte 22 on");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"a\":\"\xff\"}"), @"body: not JSON from byte 18 on");
    insta::assert_snapshot!(sent(b"\xef\xbb\xbf{\"version\":2}"), @"body: not JSON from byte 0 on");
}

#[test]
fn given_a_configuration_when_a_body_is_nested_without_end_then_it_is_refused() {
    let deep = |depth: usize| format!("{{\"version\":2,\"a\":{}{}}}", "[".repeat(depth), "]".repeat(depth));
    insta::assert_snapshot!(sent(deep(1_000_000).as_bytes()), @"body: nested deeper than 64");
    insta::assert_snapshot!(sent(deep(64).as_bytes()), @"body: nested deeper than 64");
    assert_eq!(send(&mut started(), ChangeKind::Replace, 1, deep(63).as_bytes()), ChangeOutcome::Accepted);
}

#[test]
fn given_a_configuration_when_the_version_is_missing_or_no_whole_number_then_it_is_refused() {
    insta::assert_snapshot!(sent(b"{}"), @"body: version: missing, expected a whole number");
    insta::assert_snapshot!(sent(b"{\"version\":null}"), @"body: version: missing, expected a whole number");
    insta::assert_snapshot!(sent(b"{\"version\":\"2\"}"), @"body: version: \"2\" found, expected a whole number");
    insta::assert_snapshot!(sent(b"{\"version\":2.5}"), @"body: version: 2.5 found, expected a whole number");
    insta::assert_snapshot!(sent(b"{\"version\":-2}"), @"body: version: -2 found, expected a whole number");
    insta::assert_snapshot!(sent(b"{\"version\":18446744073709551616}"), @"body: version: 18446744073709551616 found, expected a whole number");
}

#[test]
fn given_a_configuration_when_the_version_is_not_higher_then_the_change_is_refused() {
    insta::assert_snapshot!(replaced_by(|body| body["version"] = json!(1)), @"body: version: 1 found, expected one over 1");
    insta::assert_snapshot!(replaced_by(|body| body["version"] = json!(0)), @"body: version: 0 found, expected one over 1");
    insta::assert_snapshot!(updated_by(json!({"version": 1, "remove": {"routes": ["r-one"]}})), @"body: version: 1 found, expected one over 1");
    let nothing_yet = reason(replace(&mut ConfigState::default(), 0, &two_routes(0)));
    insta::assert_snapshot!(nothing_yet, @"body: version: 0 found, expected one over 0");
}

#[test]
fn given_a_configuration_when_a_route_names_an_unknown_service_then_it_is_refused() {
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["service"] = json!("nobody")), @"routes/r-one: service: nobody is not among the services");
    insta::assert_snapshot!(replaced_by(|body| first(body, "services")["name"] = json!("other")), @"routes/r-one: service: llm is not among the services");
    insta::assert_snapshot!(replaced_by(|body| body["services"] = json!([])), @"routes/r-one: service: llm is not among the services");
    let split = json!([{"service": "llm", "weight": 1}, {"service": "nobody", "weight": 0}]);
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["trafficSplit"] = split), @"routes/r-one: service: nobody is not among the services");
    let stray = route("r-three", "a.example", "/three/", "nobody");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"routes": [stray]}})), @"routes/r-three: service: nobody is not among the services");
}

#[test]
fn given_a_route_in_use_when_an_update_removes_its_service_then_it_is_refused() {
    let removal = json!({"services": ["llm"]});
    insta::assert_snapshot!(updated_by(json!({"version": 2, "remove": removal})), @"routes/r-one: service: llm is not among the services");
    let moved = route("r-one", "a.example", "/one/", "web");
    let both = json!({"version": 2, "upsert": {"routes": [moved]}, "remove": removal});
    assert_eq!(update(&mut started(), 1, &both), ChangeOutcome::Accepted, "no route is left at the service");
    let with_route = json!({"version": 2, "remove": {"services": ["llm"], "routes": ["r-one"]}});
    assert_eq!(update(&mut started(), 1, &with_route), ChangeOutcome::Accepted);
}

#[test]
fn given_a_service_without_weight_in_a_split_when_an_update_removes_it_then_it_is_refused() {
    let mut state = started();
    let mut split = route("r-one", "a.example", "/one/", "web");
    split["trafficSplit"] = json!([{"service": "web", "weight": 100}, {"service": "llm", "weight": 0}]);
    assert_eq!(
        update(&mut state, 1, &json!({"version": 2, "upsert": {"routes": [split]}})),
        ChangeOutcome::Accepted
    );
    let removal = json!({"version": 3, "remove": {"services": ["llm"]}});
    insta::assert_snapshot!(reason(update(&mut state, 2, &removal)), @"routes/r-one: service: llm is not among the services");
}

#[test]
fn given_a_configuration_when_two_routes_have_one_place_then_it_is_refused() {
    insta::assert_snapshot!(replaced_by(|body| body["routes"][1]["pathPrefix"] = json!("/one/")), @"routes/r-two: pathPrefix: r-one has the host a.example and the prefix /one/ too");
    let in_capitals = |body: &mut Value| {
        body["routes"][1]["host"] = json!("A.Example:80");
        body["routes"][1]["pathPrefix"] = json!("/one/");
    };
    insta::assert_snapshot!(replaced_by(in_capitals), @"routes/r-two: pathPrefix: r-one has the host a.example and the prefix /one/ too");
    let intruder = route("r-three", "a.example", "/two/", "llm");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"routes": [intruder]}})), @"routes/r-three: pathPrefix: r-two has the host a.example and the prefix /two/ too");
    let twins = [route("r-3", "b.example", "/", "llm"), route("r-4", "b.example", "/", "web")];
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"routes": twins}})), @"routes/r-4: pathPrefix: r-3 has the host b.example and the prefix / too");
}

#[test]
fn given_two_routes_when_an_update_swaps_their_places_then_it_is_taken() {
    let mut state = started();
    let swapped = [route("r-one", "a.example", "/two/", "llm"), route("r-two", "a.example", "/one/", "web")];
    let body = json!({"version": 2, "upsert": {"routes": swapped}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    assert_eq!(state.view().route("a.example", "/two/x").map(|route| route.name.as_str()), Some("r-one"));
}

#[test]
fn given_a_route_when_an_update_removes_it_and_brings_another_to_its_place_then_it_is_taken() {
    let mut state = started();
    let heir = route("r-three", "a.example", "/one/", "web");
    let body = json!({"version": 2, "upsert": {"routes": [heir]}, "remove": {"routes": ["r-one"]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    assert_eq!(state.view().route("a.example", "/one/").map(|route| route.name.as_str()), Some("r-three"));
}

#[test]
fn given_a_configuration_when_the_weights_of_a_route_sum_to_nothing_then_it_is_refused() {
    let split = |parts: Value| {
        move |body: &mut Value| {
            let route = first(body, "routes");
            route["trafficSplit"] = parts;
            route["service"] = Value::Null;
        }
    };
    let zero = json!([{"service": "llm", "weight": 0}, {"service": "web", "weight": 0.0}]);
    insta::assert_snapshot!(replaced_by(split(zero)), @"routes/r-one: trafficSplit: the weights sum to 0");
    insta::assert_snapshot!(replaced_by(split(json!([]))), @"routes/r-one: trafficSplit: the weights sum to 0");
    insta::assert_snapshot!(replaced_by(split(Value::Null)), @"routes/r-one: trafficSplit: the weights sum to 0");
    let negative = json!([{"service": "llm", "weight": 2}, {"service": "web", "weight": -1}]);
    insta::assert_snapshot!(replaced_by(split(negative)), @"routes/r-one: trafficSplit/1/weight: -1 found, expected a number of 0 or more");
    let endless = json!([{"service": "llm", "weight": 1e308}, {"service": "web", "weight": 1e308}]);
    insta::assert_snapshot!(replaced_by(split(endless)), @"routes/r-one: trafficSplit: a sum without end found, expected weights with a finite sum");
    insta::assert_snapshot!(replaced_by(split(json!([{"weight": 1}]))), @"routes/r-one: trafficSplit/0/service: missing, expected a text");
    insta::assert_snapshot!(replaced_by(split(json!(["llm"]))), @"routes/r-one: trafficSplit: \"llm\" found, expected an object");
    let huge = "{\"version\":2,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"trafficSplit\":\
                [{\"service\":\"s\",\"weight\":1e999}]}],\"services\":[{\"name\":\"s\"}]}";
    insta::assert_snapshot!(sent(huge.as_bytes()), @"routes/r: trafficSplit/0/weight: 1e999 found, expected a number of 0 or more");
}

#[test]
fn given_a_configuration_when_a_timeout_is_zero_then_it_is_refused() {
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["timeoutMs"] = json!(0)), @"routes/r-one: timeoutMs: 0 found, expected a number over 0");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["timeoutMs"] = json!(0.0)), @"routes/r-one: timeoutMs: 0 found, expected a number over 0");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["timeoutMs"] = json!(-5)), @"routes/r-one: timeoutMs: -5 found, expected a number of 0 or more");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["timeoutMs"] = json!("6 s")), @"routes/r-one: timeoutMs: \"6 s\" found, expected a number of 0 or more");
    let mut quick = route("r-one", "a.example", "/one/", "llm");
    quick["timeoutMs"] = json!(0);
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"routes": [quick]}})), @"routes/r-one: timeoutMs: 0 found, expected a number over 0");
}

#[test]
fn given_a_configuration_when_a_key_or_a_name_is_shared_then_it_is_refused() {
    insta::assert_snapshot!(replaced_by(|body| body["routes"][1]["name"] = json!("r-one")), @"routes/r-one: name: another item of the list has it too");
    insta::assert_snapshot!(replaced_by(|body| body["services"][1]["name"] = json!("llm")), @"services/llm: name: another item of the list has it too");
    insta::assert_snapshot!(replaced_by(|body| body["tenants"] = json!([{"name": "a"}, {"name": "a"}])), @"tenants/a: name: another item of the list has it too");
    let twins = [service("third"), service("third")];
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"services": twins}})), @"services/third: name: another item of the list has it too");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"version\":3}"), @"body: the key version stands there twice");
    insta::assert_snapshot!(sent(b"{\"version\":2,\"routes\":[],\"r\\u006futes\":[]}"), @"body: the key routes stands there twice");
    let twice = "{\"version\":2,\"services\":[{\"name\":\"s\",\"tls\":false,\"tls\":true}]}";
    insta::assert_snapshot!(sent(twice.as_bytes()), @"services/s: the key tls stands there twice");
    let inside = "{\"version\":2,\"services\":[{\"name\":\"s\",\"runtime\":{\"models\":\
                  [{\"name\":\"m\",\"adapters\":1,\"adapters\":2}]}}]}";
    insta::assert_snapshot!(sent(inside.as_bytes()), @"services/s/runtime/models/0: the key adapters stands there twice");
}

#[test]
fn given_a_configuration_when_an_item_cannot_be_read_then_the_message_names_item_and_field() {
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["name"] = Value::Null), @"routes: name: missing, expected a text that names the item");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["name"] = json!("")), @"routes: name: missing, expected a text that names the item");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["name"] = json!(5)), @"routes: name: missing, expected a text that names the item");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["host"] = Value::Null), @"routes/r-one: host: missing, expected a text");
    insta::assert_snapshot!(replaced_by(|body| *first(body, "routes") = json!("r-one")), @"routes: item: \"r-one\" found, expected an object");
    insta::assert_snapshot!(replaced_by(|body| body["routes"] = json!({"r-one": {}})), @"body: routes: {\"r-one\":{}} found, expected a list of items");
    insta::assert_snapshot!(replaced_by(|body| body["services"] = Value::Null), @"body: services: null found, expected a list of items");
    insta::assert_snapshot!(replaced_by(|body| first(body, "routes")["affinity"] = json!("yes")), @"routes/r-one: affinity: \"yes\" found, expected true or false");
    insta::assert_snapshot!(replaced_by(|body| first(body, "services")["runtime"] = json!([])), @"services/llm: runtime: [] found, expected an object");
    let model = json!({"models": [{"name": "m"}, {"name": "n", "weightsMb": "much"}]});
    insta::assert_snapshot!(replaced_by(|body| first(body, "services")["runtime"] = model), @"services/llm: runtime/models/1/weightsMb: \"much\" found, expected a number of 0 or more");
    insta::assert_snapshot!(replaced_by(|body| body["limits"]["maxBodyBytes"] = json!(-1)), @"limits: maxBodyBytes: -1 found, expected a number of 0 or more");
    insta::assert_snapshot!(replaced_by(|body| body["limits"] = json!(7)), @"limits: value: 7 found, expected an object");
}

#[test]
fn given_names_with_line_breaks_when_a_change_is_refused_then_the_message_is_one_line_and_short() {
    let name = format!("r\n{}", "x".repeat(1000));
    let mut body = two_routes(2);
    first(&mut body, "routes")["name"] = json!(name);
    first(&mut body, "routes")["service"] = json!("\u{7}nobody");
    insta::assert_snapshot!(reason(replace(&mut started(), 1, &body)), @"routes/r�xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx...: service: �nobody is not among the services");
}

#[test]
fn given_a_configuration_when_an_update_cannot_be_read_then_it_is_refused() {
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": []})), @"body: upsert: [] found, expected an object");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "remove": ["r-one"]})), @"body: remove: [\"r-one\"] found, expected an object");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "remove": {"routes": "r-one"}})), @"body: remove/routes: \"r-one\" found, expected a list of names");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "remove": {"routes": [1]}})), @"body: remove/routes: [1] found, expected a list of names");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"version": 9}})), @"body: upsert/version: 9 found, expected a list of items");
    insta::assert_snapshot!(updated_by(json!({"version": 2, "upsert": {"routes": {}}})), @"body: routes: {} found, expected a list of items");
}

#[test]
fn given_a_large_configuration_when_an_update_would_make_it_too_large_then_it_is_refused() {
    // Given: most of the room is taken.
    let mut state = ConfigState::default();
    let filler = "x".repeat(MAX_CONFIGURATION_BYTES - 100);
    assert_eq!(replace(&mut state, 0, &json!({"version": 1, "filler": filler})), ChangeOutcome::Accepted);
    // When, then: more is refused, and fits once room has been made.
    let more = json!({"version": 2, "upsert": {"more": "y".repeat(200)}});
    let text = reason(update(&mut state, 1, &more));
    assert!(text.starts_with("body: the configuration would have"), "{text}");
    assert_eq!(
        update(&mut state, 1, &json!({"version": 2, "upsert": {"filler": ""}})),
        ChangeOutcome::Accepted
    );
    let more = json!({"version": 3, "upsert": {"more": "y".repeat(200)}});
    assert_eq!(update(&mut state, 2, &more), ChangeOutcome::Accepted);
}

#[test]
fn given_bytes_that_are_no_change_when_they_are_applied_then_nothing_happens() {
    let mut state = started();
    let before = state.snapshot();
    let error = Change::decode(b"nonsense").expect_err("no change");
    insta::assert_snapshot!(error, @"8 bytes are not a change");
    let ChangeOutcome::Invalid(invalid) = state.apply(b"nonsense") else { panic!("it was judged valid") };
    insta::assert_snapshot!(one_line(&invalid), @"body: not an encoded change");
    assert_eq!(state.snapshot(), before);
}

#[test]
fn given_unusual_but_proper_values_when_a_configuration_is_sent_then_it_is_taken() {
    let mut body = two_routes(2);
    body["routes"][0]["type"] = json!("of-tomorrow");
    body["routes"][0]["priority"] = json!(300);
    body["routes"][0]["timeoutMs"] = json!(0.25);
    body["routes"][0]["maxAttempts"] = json!(0);
    body["routes"][0]["mirror"] = json!({"service": "nobody"});
    body["routes"][1] = json!({"name": "r-two", "host": "a.example", "service": "web"});
    body["services"][1] = json!({"name": "web"});
    body["tenants"] = json!([{"name": "t", "share": 0.5}]);
    body["regions"] = json!(["x", "y"]);
    body["remark"] = Value::Null;
    assert_eq!(replace(&mut started(), 1, &body), ChangeOutcome::Accepted);
    let huge = json!({"version": u64::MAX});
    assert_eq!(replace(&mut started(), 1, &huge), ChangeOutcome::Accepted, "the greatest version there is");
}
