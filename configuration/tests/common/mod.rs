//! Sample configurations and operator calls for the tests of this crate.

#![allow(dead_code)] // each test file uses only some of these items

use serde_json::{json, Value};
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, ConfigView, InvalidConfig};

/// Returns an idempotent route to one service.
pub fn route(name: &str, host: &str, prefix: &str, service: &str) -> Value {
    json!({"name": name, "host": host, "pathPrefix": prefix, "type": "idempotent", "timeoutMs": 6000,
           "targetLatencyMs": 1500, "priority": 1, "service": service, "maxAttempts": 2, "affinity": false})
}

/// Returns a service without models.
pub fn service(name: &str) -> Value {
    json!({"name": name, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false})
}

/// Returns a configuration with two routes and two services.
pub fn two_routes(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [route("r-one", "a.example", "/one/", "llm"), route("r-two", "a.example", "/two/", "web")],
        "services": [service("llm"), service("web")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    })
}

/// Returns the first item of a list.
pub fn first_item<'a>(configuration: &'a mut Value, list: &str) -> &'a mut Value {
    &mut configuration[list][0]
}

/// Makes the call `Config.Replace`; see [`send`].
pub fn replace(state: &mut ConfigState, base: u64, body: &Value) -> ChangeOutcome {
    send(state, ChangeKind::Replace, base, body.to_string().as_bytes())
}

/// Makes the call `Config.Update`; see [`send`].
pub fn update(state: &mut ConfigState, base: u64, body: &Value) -> ChangeOutcome {
    send(state, ChangeKind::Update, base, body.to_string().as_bytes())
}

/// Makes a call in the steps of a coordinator: parses the body, validates the change, encodes it as a log entry and
/// applies that entry. Checks that validation predicts the outcome.
pub fn send(state: &mut ConfigState, kind: ChangeKind, base_version: u64, body: &[u8]) -> ChangeOutcome {
    let change = match Change::parse(kind, base_version, body) {
        Ok(change) => change,
        Err(invalid) => return ChangeOutcome::Invalid(invalid),
    };
    let expected = state.validate(&change);
    let outcome = state.apply(&change.encode());
    assert_eq!(outcome, expected, "nothing was applied in between");
    outcome
}

/// Returns a state with [`two_routes`] as version 1.
pub fn state_with_two_routes() -> ConfigState {
    let mut state = ConfigState::default();
    assert_eq!(replace(&mut state, 0, &two_routes(1)), ChangeOutcome::Accepted);
    state
}

/// Reads the configuration.
pub fn read(state: &ConfigState) -> Value {
    serde_json::from_slice(&state.read()).expect("the configuration is JSON")
}

/// Returns the error text of an invalid change.
pub fn error_text(outcome: ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Invalid(invalid) => checked_text(&invalid),
        other => panic!("expected an invalid change, got {other:?}"),
    }
}

/// Returns the text of an error after checking that it is one short line.
pub fn checked_text(invalid: &InvalidConfig) -> String {
    let text = invalid.to_string();
    assert!(!text.contains('\n') && text.len() < 500, "{text:?}");
    text
}

/// Returns the name of the route of a request.
pub fn route_name<'a>(view: &'a ConfigView, host: &str, path: &str) -> Option<&'a str> {
    view.route(host, path).map(|route| route.name.as_str())
}
