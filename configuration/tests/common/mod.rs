//! Configurations to test with.

#![allow(dead_code)] // each test file uses its own part

use serde_json::{json, Value};
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState, InvalidConfig};

/// A route with one service.
pub fn route(name: &str, host: &str, prefix: &str, service: &str) -> Value {
    json!({"name": name, "host": host, "pathPrefix": prefix, "type": "idempotent", "timeoutMs": 6000,
           "targetLatencyMs": 1500, "priority": 1, "service": service, "maxAttempts": 2, "affinity": false})
}

/// A service without models.
pub fn service(name: &str) -> Value {
    json!({"name": name, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false})
}

/// A configuration with two routes and two services.
pub fn two_routes(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [route("r-one", "a.example", "/one/", "llm"), route("r-two", "a.example", "/two/", "web")],
        "services": [service("llm"), service("web")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    })
}

/// A field of the first item of a list.
pub fn first<'a>(configuration: &'a mut Value, list: &str) -> &'a mut Value {
    &mut configuration[list][0]
}

/// Sends `Config.Replace` as the coordinators do: parsed, judged, agreed on, applied.
pub fn replace(state: &mut ConfigState, base: u64, body: &Value) -> ChangeOutcome {
    send(state, ChangeKind::Replace, base, body.to_string().as_bytes())
}

/// Sends `Config.Update`.
pub fn update(state: &mut ConfigState, base: u64, body: &Value) -> ChangeOutcome {
    send(state, ChangeKind::Update, base, body.to_string().as_bytes())
}

/// Sends any body.
pub fn send(state: &mut ConfigState, kind: ChangeKind, base_version: u64, body: &[u8]) -> ChangeOutcome {
    let change = match Change::parse(kind, base_version, body) {
        Ok(change) => change,
        Err(invalid) => return ChangeOutcome::Invalid(invalid),
    };
    let judged = state.validate(&change);
    let applied = state.apply(&change.encode());
    assert_eq!(judged, applied, "nothing came in between");
    applied
}

/// A state that has taken [`two_routes`] as version 1.
pub fn started() -> ConfigState {
    let mut state = ConfigState::default();
    assert_eq!(replace(&mut state, 0, &two_routes(1)), ChangeOutcome::Accepted);
    state
}

/// What is read back.
pub fn read(state: &ConfigState) -> Value {
    serde_json::from_slice(&state.read()).expect("what is read back is JSON")
}

/// The message of an invalid change.
pub fn reason(judgement: ChangeOutcome) -> String {
    match judgement {
        ChangeOutcome::Invalid(invalid) => one_line(&invalid),
        other => panic!("not invalid: {other:?}"),
    }
}

/// A message, checked to be one line.
pub fn one_line(invalid: &InvalidConfig) -> String {
    let text = invalid.to_string();
    assert!(!text.contains('\n') && text.len() < 500, "{text:?}");
    text
}
