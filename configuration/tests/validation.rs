//! Validation of changes, and the error texts that operators receive.

mod common;

use common::{
    checked_text, error_text, first_item, replace, route, send, service, state_with_two_routes, two_routes,
    update,
};
use serde_json::{json, Value};
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, MAX_CONFIGURATION_BYTES};

/// Returns the error text of a replacement of [`state_with_two_routes`] by a body that `make_invalid` has edited.
fn error_of_replacement(make_invalid: impl FnOnce(&mut Value)) -> String {
    let mut state = state_with_two_routes();
    let before = state.snapshot();
    let mut body = two_routes(2);
    make_invalid(&mut body);
    let text = error_text(replace(&mut state, 1, &body));
    assert_eq!(state.snapshot(), before, "a rejected change changes nothing");
    text
}

/// Returns the error text of an update of [`state_with_two_routes`].
fn error_of_update(body: Value) -> String {
    let mut state = state_with_two_routes();
    let before = state.snapshot();
    let text = error_text(update(&mut state, 1, &body));
    assert_eq!(state.snapshot(), before, "a rejected change changes nothing");
    text
}

/// Returns the error text of a replacement with the given body.
fn error_of_body(body: &[u8]) -> String {
    error_text(send(&mut state_with_two_routes(), ChangeKind::Replace, 1, body))
}

#[test]
fn truncated_replacement_is_rejected() {
    let body = two_routes(2).to_string();
    for length in 0..body.len() {
        let change = Change::parse(ChangeKind::Replace, 1, &body.as_bytes()[..length]);
        assert!(change.is_err(), "{length} bytes were accepted");
    }
    insta::assert_snapshot!(error_of_body(&body.as_bytes()[..body.len() - 1]), @"body: not JSON from byte 669 on");
    insta::assert_snapshot!(error_of_body(b""), @"body: not JSON from byte 0 on");
}

#[test]
fn truncated_update_is_rejected() {
    let body = json!({"version": 2, "upsert": {"routes": [route("r-\u{e9}", "a.example", "/\"three\\/", "web")]},
                      "remove": {"routes": ["r-one"]}});
    let body = body.to_string();
    for length in 0..body.len() {
        assert!(
            Change::parse(ChangeKind::Update, 1, &body.as_bytes()[..length]).is_err(),
            "{length} bytes were accepted"
        );
    }
}

#[test]
fn malformed_json_is_rejected() {
    insta::assert_snapshot!(error_of_body(b"[1,2]"), @"body: value: [1,2] found, expected an object");
    insta::assert_snapshot!(error_of_body(b"null"), @"body: value: null found, expected an object");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2} {}"), @"body: not JSON from byte 14 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,}"), @"body: not JSON from byte 13 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":[1,]}"), @"body: not JSON from byte 20 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":01}"), @"body: not JSON from byte 17 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":nul}"), @"body: not JSON from byte 20 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":\"\\u12g4\"}"), @"body: not JSON from byte 19 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":\"\\x\"}"), @"body: not JSON from byte 19 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":\"line\nbreak\"}"), @"body: not JSON from byte 22 on");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"a\":\"\xff\"}"), @"body: not JSON from byte 18 on");
    insta::assert_snapshot!(error_of_body(b"\xef\xbb\xbf{\"version\":2}"), @"body: not JSON from byte 0 on");
}

#[test]
fn deep_nesting_is_rejected() {
    let deep = |depth: usize| format!("{{\"version\":2,\"a\":{}{}}}", "[".repeat(depth), "]".repeat(depth));
    insta::assert_snapshot!(error_of_body(deep(1_000_000).as_bytes()), @"body: nested deeper than 64");
    insta::assert_snapshot!(error_of_body(deep(64).as_bytes()), @"body: nested deeper than 64");
    assert_eq!(
        send(&mut state_with_two_routes(), ChangeKind::Replace, 1, deep(63).as_bytes()),
        ChangeOutcome::Accepted
    );
}

#[test]
fn missing_or_non_integer_version_is_rejected() {
    insta::assert_snapshot!(error_of_body(b"{}"), @"body: version: missing, expected a whole number");
    insta::assert_snapshot!(error_of_body(b"{\"version\":null}"), @"body: version: missing, expected a whole number");
    insta::assert_snapshot!(error_of_body(b"{\"version\":\"2\"}"), @"body: version: \"2\" found, expected a whole number");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2.5}"), @"body: version: 2.5 found, expected a whole number");
    insta::assert_snapshot!(error_of_body(b"{\"version\":-2}"), @"body: version: -2 found, expected a whole number");
    insta::assert_snapshot!(error_of_body(b"{\"version\":18446744073709551616}"), @"body: version: 18446744073709551616 found, expected a whole number");
}

#[test]
fn version_must_increase() {
    insta::assert_snapshot!(error_of_replacement(|body| body["version"] = json!(1)), @"body: version: 1 found, expected one over 1");
    insta::assert_snapshot!(error_of_replacement(|body| body["version"] = json!(0)), @"body: version: 0 found, expected one over 1");
    insta::assert_snapshot!(error_of_update(json!({"version": 1, "remove": {"routes": ["r-one"]}})), @"body: version: 1 found, expected one over 1");
    let first_version = error_text(replace(&mut ConfigState::default(), 0, &two_routes(0)));
    insta::assert_snapshot!(first_version, @"body: version: 0 found, expected one over 0");
}

#[test]
fn unknown_service_is_rejected() {
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["service"] = json!("nobody")), @"routes/r-one: service: nobody is not among the services");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "services")["name"] = json!("other")), @"routes/r-one: service: llm is not among the services");
    insta::assert_snapshot!(error_of_replacement(|body| body["services"] = json!([])), @"routes/r-one: service: llm is not among the services");
    let split = json!([{"service": "llm", "weight": 1}, {"service": "nobody", "weight": 0}]);
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["trafficSplit"] = split), @"routes/r-one: service: nobody is not among the services");
    let dangling_route = route("r-three", "a.example", "/three/", "nobody");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"routes": [dangling_route]}})), @"routes/r-three: service: nobody is not among the services");
}

#[test]
fn removing_a_referenced_service_is_rejected() {
    let removal = json!({"services": ["llm"]});
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "remove": removal})), @"routes/r-one: service: llm is not among the services");
    let moved = route("r-one", "a.example", "/one/", "web");
    let both = json!({"version": 2, "upsert": {"routes": [moved]}, "remove": removal});
    assert_eq!(
        update(&mut state_with_two_routes(), 1, &both),
        ChangeOutcome::Accepted,
        "no route references the service any more"
    );
    let with_route = json!({"version": 2, "remove": {"services": ["llm"], "routes": ["r-one"]}});
    assert_eq!(update(&mut state_with_two_routes(), 1, &with_route), ChangeOutcome::Accepted);
}

#[test]
fn removing_a_service_of_weight_0_is_rejected() {
    let mut state = state_with_two_routes();
    let mut split = route("r-one", "a.example", "/one/", "web");
    split["trafficSplit"] = json!([{"service": "web", "weight": 100}, {"service": "llm", "weight": 0}]);
    assert_eq!(
        update(&mut state, 1, &json!({"version": 2, "upsert": {"routes": [split]}})),
        ChangeOutcome::Accepted
    );
    let removal = json!({"version": 3, "remove": {"services": ["llm"]}});
    insta::assert_snapshot!(error_text(update(&mut state, 2, &removal)), @"routes/r-one: service: llm is not among the services");
}

#[test]
fn duplicate_host_and_prefix_is_rejected() {
    insta::assert_snapshot!(error_of_replacement(|body| body["routes"][1]["pathPrefix"] = json!("/one/")), @"routes/r-two: pathPrefix: r-one has the host a.example and the prefix /one/ too");
    let upper_case = |body: &mut Value| {
        body["routes"][1]["host"] = json!("A.Example:80");
        body["routes"][1]["pathPrefix"] = json!("/one/");
    };
    insta::assert_snapshot!(error_of_replacement(upper_case), @"routes/r-two: pathPrefix: r-one has the host a.example and the prefix /one/ too");
    let third = route("r-three", "a.example", "/two/", "llm");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"routes": [third]}})), @"routes/r-three: pathPrefix: r-two has the host a.example and the prefix /two/ too");
    let same_pattern = [route("r-3", "b.example", "/", "llm"), route("r-4", "b.example", "/", "web")];
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"routes": same_pattern}})), @"routes/r-4: pathPrefix: r-3 has the host b.example and the prefix / too");
}

#[test]
fn two_routes_can_swap_prefixes() {
    let mut state = state_with_two_routes();
    let swapped = [route("r-one", "a.example", "/two/", "llm"), route("r-two", "a.example", "/one/", "web")];
    let body = json!({"version": 2, "upsert": {"routes": swapped}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    assert_eq!(state.view().route("a.example", "/two/x").map(|route| route.name.as_str()), Some("r-one"));
}

#[test]
fn removed_route_frees_its_prefix() {
    let mut state = state_with_two_routes();
    let replacement = route("r-three", "a.example", "/one/", "web");
    let body = json!({"version": 2, "upsert": {"routes": [replacement]}, "remove": {"routes": ["r-one"]}});
    assert_eq!(update(&mut state, 1, &body), ChangeOutcome::Accepted);
    assert_eq!(state.view().route("a.example", "/one/").map(|route| route.name.as_str()), Some("r-three"));
}

#[test]
fn invalid_weights_are_rejected() {
    let split = |parts: Value| {
        move |body: &mut Value| {
            let route = first_item(body, "routes");
            route["trafficSplit"] = parts;
            route["service"] = Value::Null;
        }
    };
    let zero = json!([{"service": "llm", "weight": 0}, {"service": "web", "weight": 0.0}]);
    insta::assert_snapshot!(error_of_replacement(split(zero)), @"routes/r-one: trafficSplit: the weights sum to 0");
    insta::assert_snapshot!(error_of_replacement(split(json!([]))), @"routes/r-one: trafficSplit: the weights sum to 0");
    insta::assert_snapshot!(error_of_replacement(split(Value::Null)), @"routes/r-one: trafficSplit: the weights sum to 0");
    let negative = json!([{"service": "llm", "weight": 2}, {"service": "web", "weight": -1}]);
    insta::assert_snapshot!(error_of_replacement(split(negative)), @"routes/r-one: trafficSplit/1/weight: -1 found, expected a number of 0 or more");
    let infinite = json!([{"service": "llm", "weight": 1e308}, {"service": "web", "weight": 1e308}]);
    insta::assert_snapshot!(error_of_replacement(split(infinite)), @"routes/r-one: trafficSplit: a sum without end found, expected weights with a finite sum");
    insta::assert_snapshot!(error_of_replacement(split(json!([{"weight": 1}]))), @"routes/r-one: trafficSplit/0/service: missing, expected a text");
    insta::assert_snapshot!(error_of_replacement(split(json!(["llm"]))), @"routes/r-one: trafficSplit: \"llm\" found, expected an object");
    let huge = "{\"version\":2,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"trafficSplit\":\
                [{\"service\":\"s\",\"weight\":1e999}]}],\"services\":[{\"name\":\"s\"}]}";
    insta::assert_snapshot!(error_of_body(huge.as_bytes()), @"routes/r: trafficSplit/0/weight: 1e999 found, expected a number of 0 or more");
}

#[test]
fn invalid_timeouts_are_rejected() {
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["timeoutMs"] = json!(0)), @"routes/r-one: timeoutMs: 0 found, expected a number over 0");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["timeoutMs"] = json!(0.0)), @"routes/r-one: timeoutMs: 0 found, expected a number over 0");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["timeoutMs"] = json!(-5)), @"routes/r-one: timeoutMs: -5 found, expected a number of 0 or more");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["timeoutMs"] = json!("6 s")), @"routes/r-one: timeoutMs: \"6 s\" found, expected a number of 0 or more");
    let mut zero_timeout = route("r-one", "a.example", "/one/", "llm");
    zero_timeout["timeoutMs"] = json!(0);
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"routes": [zero_timeout]}})), @"routes/r-one: timeoutMs: 0 found, expected a number over 0");
}

#[test]
fn duplicate_keys_and_names_are_rejected() {
    insta::assert_snapshot!(error_of_replacement(|body| body["routes"][1]["name"] = json!("r-one")), @"routes/r-one: name: another item of the list has it too");
    insta::assert_snapshot!(error_of_replacement(|body| body["services"][1]["name"] = json!("llm")), @"services/llm: name: another item of the list has it too");
    insta::assert_snapshot!(error_of_replacement(|body| body["tenants"] = json!([{"name": "a"}, {"name": "a"}])), @"tenants/a: name: another item of the list has it too");
    let same_name = [service("third"), service("third")];
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"services": same_name}})), @"services/third: name: another item of the list has it too");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"version\":3}"), @"body: the key version stands there twice");
    insta::assert_snapshot!(error_of_body(b"{\"version\":2,\"routes\":[],\"r\\u006futes\":[]}"), @"body: the key routes stands there twice");
    let twice = "{\"version\":2,\"services\":[{\"name\":\"s\",\"tls\":false,\"tls\":true}]}";
    insta::assert_snapshot!(error_of_body(twice.as_bytes()), @"services/s: the key tls stands there twice");
    let nested = "{\"version\":2,\"services\":[{\"name\":\"s\",\"runtime\":{\"models\":\
                  [{\"name\":\"m\",\"adapters\":1,\"adapters\":2}]}}]}";
    insta::assert_snapshot!(error_of_body(nested.as_bytes()), @"services/s/runtime/models/0: the key adapters stands there twice");
}

#[test]
fn errors_name_item_and_field() {
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["name"] = Value::Null), @"routes: name: missing, expected a text that names the item");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["name"] = json!("")), @"routes: name: missing, expected a text that names the item");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["name"] = json!(5)), @"routes: name: missing, expected a text that names the item");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["host"] = Value::Null), @"routes/r-one: host: missing, expected a text");
    insta::assert_snapshot!(error_of_replacement(|body| *first_item(body, "routes") = json!("r-one")), @"routes: item: \"r-one\" found, expected an object");
    insta::assert_snapshot!(error_of_replacement(|body| body["routes"] = json!({"r-one": {}})), @"body: routes: {\"r-one\":{}} found, expected a list of items");
    insta::assert_snapshot!(error_of_replacement(|body| body["services"] = Value::Null), @"body: services: null found, expected a list of items");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "routes")["affinity"] = json!("yes")), @"routes/r-one: affinity: \"yes\" found, expected true or false");
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "services")["runtime"] = json!([])), @"services/llm: runtime: [] found, expected an object");
    let model = json!({"models": [{"name": "m"}, {"name": "n", "weightsMb": "much"}]});
    insta::assert_snapshot!(error_of_replacement(|body| first_item(body, "services")["runtime"] = model), @"services/llm: runtime/models/1/weightsMb: \"much\" found, expected a number of 0 or more");
    insta::assert_snapshot!(error_of_replacement(|body| body["limits"]["maxBodyBytes"] = json!(-1)), @"limits: maxBodyBytes: -1 found, expected a number of 0 or more");
    insta::assert_snapshot!(error_of_replacement(|body| body["limits"] = json!(7)), @"limits: value: 7 found, expected an object");
}

#[test]
fn errors_are_one_short_line() {
    let name = format!("r\n{}", "x".repeat(1000));
    let mut body = two_routes(2);
    first_item(&mut body, "routes")["name"] = json!(name);
    first_item(&mut body, "routes")["service"] = json!("\u{7}nobody");
    insta::assert_snapshot!(error_text(replace(&mut state_with_two_routes(), 1, &body)), @"routes/r�xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx...: service: �nobody is not among the services");
}

#[test]
fn malformed_update_is_rejected() {
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": []})), @"body: upsert: [] found, expected an object");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "remove": ["r-one"]})), @"body: remove: [\"r-one\"] found, expected an object");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "remove": {"routes": "r-one"}})), @"body: remove/routes: \"r-one\" found, expected a list of names");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "remove": {"routes": [1]}})), @"body: remove/routes: [1] found, expected a list of names");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"version": 9}})), @"body: upsert/version: 9 found, expected a list of items");
    insta::assert_snapshot!(error_of_update(json!({"version": 2, "upsert": {"routes": {}}})), @"body: routes: {} found, expected a list of items");
}

#[test]
fn size_limit_covers_the_resulting_configuration() {
    // given: a configuration just below the size limit
    let mut state = ConfigState::default();
    let filler = "x".repeat(MAX_CONFIGURATION_BYTES - 100);
    assert_eq!(replace(&mut state, 0, &json!({"version": 1, "filler": filler})), ChangeOutcome::Accepted);
    // when, then: an addition is rejected, and is accepted after the large value was removed
    let more = json!({"version": 2, "upsert": {"more": "y".repeat(200)}});
    let text = error_text(update(&mut state, 1, &more));
    assert!(text.starts_with("body: the configuration would have"), "{text}");
    assert_eq!(
        update(&mut state, 1, &json!({"version": 2, "upsert": {"filler": ""}})),
        ChangeOutcome::Accepted
    );
    let more = json!({"version": 3, "upsert": {"more": "y".repeat(200)}});
    assert_eq!(update(&mut state, 2, &more), ChangeOutcome::Accepted);
}

#[test]
fn undecodable_entry_changes_nothing() {
    let mut state = state_with_two_routes();
    let before = state.snapshot();
    let error = Change::decode(b"nonsense").expect_err("not a change");
    insta::assert_snapshot!(error, @"8 bytes are not a change");
    let ChangeOutcome::Invalid(invalid) = state.apply(b"nonsense") else {
        panic!("the entry was not rejected as invalid")
    };
    insta::assert_snapshot!(checked_text(&invalid), @"body: not an encoded change");
    assert_eq!(state.snapshot(), before);
}

#[test]
fn unusual_but_valid_values_are_accepted() {
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
    assert_eq!(replace(&mut state_with_two_routes(), 1, &body), ChangeOutcome::Accepted);
    let huge = json!({"version": u64::MAX});
    assert_eq!(
        replace(&mut state_with_two_routes(), 1, &huge),
        ChangeOutcome::Accepted,
        "the highest version"
    );
}
