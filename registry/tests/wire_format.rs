//! The exact answers of a replica at its three addresses. Nodes, agents, operators' tools and other replicas,
//! all of different releases, read them.
//!
//! The requests and answers that have types are tested in `shaletrail-registry-protocol`. This file tests the
//! answers that the service composes: errors, metrics, and the hello between replicas. A failure means that a
//! key, a path, a status or a text that others read has changed. Restore it; an intended change is an added
//! key or a new path beside the old one, and not a new text here.

mod common;

use common::{call, call_under, get, with_service, Service, TestFolder};
use hyper::Method;
use shaletrail_registry::Settings;

/// Sends the request and compares the status and the body of the response.
async fn expect(service: Service, method: Method, path: &str, body: &str, status: u16, text: &str) {
    let reply = call(service.ops, method.clone(), path, body).await;
    assert_eq!((reply.status, reply.text()), (status, text), "{method} {path} {body}");
}

fn run_calls<F: std::future::Future<Output = ()>>(test: &str, calls: impl FnOnce(Service) -> F) {
    let folder = TestFolder::new(test);
    with_service(&folder.0, Settings::default(), calls);
}

#[test]
fn list_calls() {
    run_calls("list_calls", |service| async move {
        let path = "/registry/instances/a";
        let body = r#"{"addr":"10.0.0.1:11","started_ms":5,"incarnation":6,"lease_s":3600}"#;
        expect(service, Method::PUT, path, body, 200, r#"{"version":1,"id":"a"}"#).await;
        let stale = r#"{"error":"a newer life of this id is listed: started_ms 5, incarnation 6"}"#;
        expect(service, Method::DELETE, path, r#"{"started_ms":4}"#, 409, stale).await;
        let unknown = r#"{"error":"no such id"}"#;
        expect(service, Method::DELETE, "/registry/instances/b", "", 404, unknown).await;
        expect(service, Method::POST, "/registry/instances/b/renew", "", 404, unknown).await;
        let renew = "/registry/instances/a/renew";
        expect(service, Method::POST, renew, "", 200, r#"{"version":1,"id":"a"}"#).await;
        let stale = r#"{"error":"a newer life of this id is listed"}"#;
        expect(service, Method::POST, renew, r#"{"started_ms":4}"#, 409, stale).await;
        let many = r#"{"renewals":[{"id":"a"},{"id":"b"},{"id":"a","started_ms":1}]}"#;
        let renewed = r#"{"version":1,"renewed":1,"unknown":["b"],"stale":["a"]}"#;
        expect(service, Method::POST, "/registry/renew", many, 200, renewed).await;
        let whole = r#"{"version":1,"full":true,"servers":[{"id":"a","addr":"10.0.0.1:11","zone":"","kind":"","cell":0,"state":"active","weight":1.0,"started_ms":5}]}"#;
        assert_eq!(get(service.discovery, "/registry/instances").await.text(), whole);
        let changes = get(service.discovery, "/registry/instances?from=1&hold_ms=0").await;
        assert_eq!(changes.text(), r#"{"version":1,"full":false,"servers":[]}"#);
        let ahead = get(service.discovery, "/registry/instances?from=9&hold_ms=0").await;
        let late = r#"{"error":"this replica has not got so far"}"#;
        assert_eq!((ahead.status, ahead.text()), (503, late));
        let wrong = get(service.discovery, "/registry/instances?from=x").await;
        let error = r#"{"error":"from: a whole number expected, got `x`"}"#;
        assert_eq!((wrong.status, wrong.text()), (400, error));
        let expiry = r#"{"stopped":[],"others":[{"id":"a","addr":"10.0.0.1:11"}]}"#;
        expect(service, Method::GET, "/registry/expiry", "", 200, expiry).await;
        let confirmed = r#"{"version":1,"expired":0}"#;
        expect(service, Method::POST, "/registry/expiry/confirm", r#"{"most":3}"#, 200, confirmed).await;
        let leaving = format!("{path}/leaving");
        expect(service, Method::POST, &leaving, "", 200, r#"{"version":2,"id":"a"}"#).await;
        let error = r#"{"error":"this life of the id is leaving; only a newer one comes back"}"#;
        expect(service, Method::PUT, path, body, 409, error).await;
    });
}

#[test]
fn empty_list() {
    run_calls("empty_list", |service| async move {
        let reply = get(service.discovery, "/registry/instances").await;
        let error = r#"{"error":"nothing was ever registered here"}"#;
        assert_eq!((reply.status, reply.text()), (503, error));
    });
}

#[test]
fn unusable_calls() {
    run_calls("unusable_calls", |service| async move {
        let error = r#"{"error":"no such call: /registry/none"}"#;
        expect(service, Method::GET, "/registry/none", "", 404, error).await;
        let error = r#"{"error":"PUT, DELETE expected"}"#;
        expect(service, Method::GET, "/registry/instances/a", "", 405, error).await;
        let error = r#"{"error":"body: EOF while parsing a value at line 1 column 0"}"#;
        expect(service, Method::PUT, "/registry/instances/a", "", 400, error).await;
        let error = r#"{"error":"id: 1 to 128 visible ASCII characters without `/` expected"}"#;
        expect(service, Method::DELETE, "/registry/instances/%20", "", 400, error).await;
        let error = r#"{"error":"a replica's number expected"}"#;
        expect(service, Method::POST, "/registry/replicas/x/promote", "", 400, error).await;
        expect(service, Method::DELETE, "/registry/replicas/r9", "", 200, r#"{"removed":false}"#).await;
        let error = r#"{"error":"it is the only replica"}"#;
        expect(service, Method::DELETE, "/registry/replicas/r1", "", 409, error).await;
        let join = r#"{"name":"r4","replica":"127.0.0.1:1"}"#;
        expect(service, Method::POST, "/registry/replicas", join, 200, r#"{"id":2}"#).await;
        expect(service, Method::GET, "/-/ready", "", 200, "ready\n").await;
        let under = call_under(service.ops, Method::POST, "/registry/renew", "", Some(("sweep", 1))).await;
        let error = r#"{"error":"x-duty: this call is not made under a duty"}"#;
        assert_eq!((under.status, under.text()), (400, error));
    });
}

#[test]
fn duty_calls() {
    run_calls("duty_calls", |service| async move {
        let path = |call: &str| format!("/registry/duties/sweep{call}");
        let none = r#"{"duties":[],"quiet":false}"#;
        expect(service, Method::GET, "/registry/duties", "", 200, none).await;
        let unknown = r#"{"error":"no such duty"}"#;
        expect(service, Method::GET, &path(""), "", 404, unknown).await;
        expect(service, Method::GET, &path("/checkpoint"), "", 404, unknown).await;
        let acquire = r#"{"who":{"id":"agent-1","life":41},"lease_s":30}"#;
        let holder =
            r#"{"holds":true,"fence":1,"give_way":false,"before":0,"checkpoint_version":0,"direct":true}"#;
        expect(service, Method::POST, &path("/acquire"), acquire, 200, holder).await;
        let acquire = r#"{"who":{"id":"agent-2","life":42},"lease_s":30}"#;
        let waiter =
            r#"{"holds":false,"fence":0,"give_way":false,"before":1,"checkpoint_version":0,"direct":true}"#;
        expect(service, Method::POST, &path("/acquire"), acquire, 200, waiter).await;
        let renew = r#"{"who":{"id":"agent-1","life":41},"hold_ms":0,"holds":true}"#;
        expect(service, Method::POST, &path("/renew"), renew, 200, holder).await;
        let write = r#"{"fence":1,"expect":0,"data":"at 43"}"#;
        let kept = r#"{"version":1,"fence":1,"data":"at 43"}"#;
        expect(service, Method::PUT, &path("/checkpoint"), write, 200, kept).await;
        expect(service, Method::GET, &path("/checkpoint"), "", 200, kept).await;
        let late = r#"{"fence":1,"expect":5,"data":""}"#;
        let error = r#"{"error":"checkpoint version 5 is not the last: that is 1"}"#;
        expect(service, Method::PUT, &path("/checkpoint"), late, 412, error).await;
        let old = r#"{"fence":9,"to":null}"#;
        let error = r#"{"error":"fencing number 9 is not the holder's: that is 1"}"#;
        expect(service, Method::POST, &path("/transfer"), old, 412, error).await;
        let error = r#"{"error":"held or waited for: release it first"}"#;
        expect(service, Method::DELETE, &path(""), "", 409, error).await;
        let instance = "/registry/instances/a";
        let body = r#"{"addr":"10.0.0.1:11"}"#;
        let under = call_under(service.ops, Method::PUT, instance, body, Some(("sweep", 9))).await;
        let error = r#"{"error":"duty sweep: fencing number 9 is not the holder's: that is 1"}"#;
        assert_eq!((under.status, under.text()), (412, error));
    });
}

#[test]
fn metrics() {
    run_calls("metrics", |service| async move {
        let reply = get(service.ops, "/-/metrics").await;
        let metrics: serde_json::Value = serde_json::from_str(reply.text()).expect("metrics in JSON");
        let names: Vec<_> = metrics.as_object().expect("an object").keys().map(String::as_str).collect();
        let mut expected = [
            "name",
            "role",
            "leader",
            "term",
            "ready",
            "version",
            "entries",
            "log_last",
            "log_applied",
            "snapshot",
            "log_failed",
            "quorum_age_ms",
            "changes",
            "changes_refused",
            "changes_unknown",
            "renewals",
            "lists",
            "lists_refused",
            "watching",
            "expired",
            "elections_won",
            "duties",
            "duty_calls",
            "duties_lapsed",
            "silent",
            "silent_most",
            "expiry_held",
        ];
        expected.sort_unstable();
        assert_eq!(names, expected);
        assert_eq!((&metrics["name"], &metrics["role"]), (&"r1".into(), &"leader".into()));
    });
}

#[test]
fn status() {
    run_calls("status", |service| async move {
        let expected = format!(
            r#"{{"name":"r1","version":0,"entries":0,"role":"leader","leader":"r1","term":1,"last_log":1,"applied":1,"snapshot":0,"not_ready":null,"expiry_held":0,"replicas":[{{"id":1,"name":"r1","replica":"{}","voter":true,"behind":0}}]}}"#,
            service.replica
        );
        expect(service, Method::GET, "/registry/status", "", 200, &expected).await;
    });
}

#[test]
fn replica_calls() {
    run_calls("replica_calls", |service| async move {
        let greeting = get(service.replica, "/replica/hello").await;
        assert_eq!((greeting.status, greeting.text()), (200, r#"{"name":"r1","phase":"Begun"}"#));
        let forwarded = get(service.replica, "/forward/-/ready").await;
        assert_eq!((forwarded.status, forwarded.text()), (200, "ready\n"));
        let none = call(service.replica, Method::POST, "/raft/none", "").await;
        let error = r#"{"error":"no such call between replicas"}"#;
        assert_eq!((none.status, none.text()), (404, error));
        // A vote, an append and a snapshot of an older term, as another replica sends them.
        let vote = r#"{"vote":{"leader_id":{"term":0,"node_id":2},"committed":false},"last_log_id":null}"#;
        let reply = call(service.replica, Method::POST, "/raft/vote", vote).await;
        let current = r#"{"leader_id":{"term":1,"node_id":1},"committed":true}"#;
        let last = r#"{"leader_id":{"term":1,"node_id":1},"index":1}"#;
        let refused = format!(r#"{{"Ok":{{"vote":{current},"vote_granted":false,"last_log_id":{last}}}}}"#);
        assert_eq!((reply.status, reply.text()), (200, refused.as_str()));
        let append = r#"{"vote":{"leader_id":{"term":0,"node_id":2},"committed":true},"prev_log_id":null,"entries":[{"log_id":{"leader_id":{"term":0,"node_id":2},"index":1},"payload":{"Normal":{"NumberReplica":{"name":"r4"}}}}],"leader_commit":null}"#;
        let reply = call(service.replica, Method::POST, "/raft/append", append).await;
        let refused = format!(r#"{{"Ok":{{"HigherVote":{current}}}}}"#);
        assert_eq!((reply.status, reply.text()), (200, refused.as_str()));
        let snapshot = r#"{"vote":{"leader_id":{"term":0,"node_id":2},"committed":true},"meta":{"last_log_id":null,"last_membership":{"log_id":null,"membership":{"configs":[],"nodes":{"1":{"name":"r1","replica":"host:1"}}}},"snapshot_id":"0-0"},"offset":0,"data":[1,2],"done":true}"#;
        let reply = call(service.replica, Method::POST, "/raft/snapshot", snapshot).await;
        let refused = format!(r#"{{"Ok":{{"vote":{current}}}}}"#);
        assert_eq!((reply.status, reply.text()), (200, refused.as_str()));
    });
}
