//! Records that violate one invariant each, which the checks must report.

use serde_json::Value;
use shaletrail_protocol::{Incarnation, NodeId};
use shaletrail_simulation::fixtures::{self, Models};
use shaletrail_simulation::invariants::{violations, InvariantBounds, Violation};
use shaletrail_simulation::observer::{
    AttemptSent, ClientRequest, ConfigRead, ConflictResponse, EdgeState, ObservedOrder, Observer, Outcome,
    SentChange,
};

const EDGE: NodeId = NodeId(1);
const COORDINATOR: NodeId = NodeId(2);

fn bounds() -> InvariantBounds {
    InvariantBounds {
        convergence: 2_000,
        attempts: 2,
        retry_window: 10_000,
        retry_ratio: 0.1,
        retry_slack: 2.0,
        drain: 2_000,
        lease: 3_000,
        origin_window: 5_000,
        origin_overshoot: 1.1,
        load_per_s: 1.4,
    }
}

fn violations_of(observer: &Observer) -> Vec<Violation> {
    violations(observer, &bounds())
}

fn document(change: u64, version: u64) -> Value {
    fixtures::configuration(&Models::default(), change, version)
}

/// An observer that has recorded a change and its outcome.
fn with_change(change: u64, base: u64, version: u64, outcome: Outcome) -> Observer {
    let mut observer = Observer::default();
    answer_change(&mut observer, change, base, version, outcome);
    observer
}

fn answer_change(observer: &mut Observer, change: u64, base: u64, version: u64, outcome: Outcome) {
    let sent = SentChange { base, version, document: document(change, version), outcomes: Vec::new() };
    observer.change_created(change, sent);
    observer.change_answered(1_000, change, outcome);
}

fn read(observer: &mut Observer, started_at: u64, document: Value) {
    observer.config_read(ConfigRead { call: 1, started_at, at: started_at + 10, document });
}

fn order(at: u64, lease_holder: &str, fencing_token: u64) -> ObservedOrder {
    ObservedOrder {
        description: String::new(),
        at,
        server: "s".into(),
        from: COORDINATOR,
        lease_holder: lease_holder.into(),
        fencing_token,
        status: 202,
    }
}

fn attempt(at: u64, has_quorum_contact: bool) -> AttemptSent {
    AttemptSent {
        at,
        edge: EDGE,
        request: 1,
        server: "s".into(),
        service: fixtures::WEB_SERVICE.into(),
        has_quorum_contact,
    }
}

/// The state of an edge with quorum contact that has applied this version.
fn edge_state(version: u64) -> EdgeState {
    EdgeState { edge: EDGE, version, has_quorum_contact: true }
}

/// An observer that has recorded one request that is not idempotent.
fn with_request() -> Observer {
    let mut observer = Observer::default();
    observer.request_received(0, 1, &ClientRequest::default(), true, edge_state(0));
    observer
}

#[test]
fn valid_history_has_no_violations() {
    let mut observer = with_change(1, 0, 2, Outcome::Acknowledged);
    answer_change(&mut observer, 2, 0, 2, Outcome::Conflict { current: 2 });
    read(&mut observer, 1_500, document(1, 2));
    observer.config_applied(1_200, EDGE, Incarnation(1), 2, Some(1));
    observer.request_received(0, 1, &ClientRequest::default(), true, edge_state(0));
    observer.attempt_written(5, 1, fixtures::WEB_SERVICE);
    observer.attempt_rejected(10, 1, &"t".into(), 421);
    observer.attempt_written(5, 1, fixtures::WEB_SERVICE);
    observer.request_executed(20, 1, &"s".into(), fixtures::WEB_SERVICE);
    observer.request_answered(30, 1, 200);
    observer.drain_acknowledged(0, &"s".into(), COORDINATOR, true);
    observer.attempt_sent(attempt(2_000, true));
    observer.attempt_sent(attempt(5_000, false));
    observer.order_received(order(0, "a", 1));
    observer.order_received(order(3_000, "b", 2));
    assert_eq!(violations_of(&observer), vec![]);
}

#[test]
fn detects_conflicting_acknowledgements() {
    let mut observer = with_change(1, 0, 2, Outcome::Acknowledged);
    answer_change(&mut observer, 2, 0, 3, Outcome::Acknowledged);
    assert_eq!(
        violations_of(&observer),
        vec![Violation::ConflictingAcknowledgements { base: 0, changes: vec![1, 2] }]
    );
}

#[test]
fn detects_rejection_after_acceptance() {
    let refused = vec![Violation::RejectedAfterAcceptance { change: 1 }];

    let mut acknowledged = with_change(1, 0, 2, Outcome::Acknowledged);
    acknowledged.change_answered(2_000, 1, Outcome::Conflict { current: 5 });
    assert_eq!(violations_of(&acknowledged), refused);

    let mut in_force = with_change(1, 0, 2, Outcome::Conflict { current: 5 });
    in_force.config_applied(2_000, EDGE, Incarnation(1), 2, Some(1));
    assert_eq!(violations_of(&in_force), refused);

    let mut read_afterwards = with_change(1, 0, 2, Outcome::Invalid);
    read(&mut read_afterwards, 2_000, document(1, 2));
    assert_eq!(violations_of(&read_afterwards), refused);
}

#[test]
fn detects_rejected_valid_change() {
    let observer = with_change(1, 0, 2, Outcome::Invalid);
    assert_eq!(violations_of(&observer), vec![Violation::ValidChangeRejected { change: 1 }]);
}

#[test]
fn detects_false_conflict() {
    let refused = |current: u64| {
        let mut observer = with_change(1, 0, 7, Outcome::Acknowledged);
        answer_change(&mut observer, 2, 5, 8, Outcome::Conflict { current });
        observer.change_conflicted(ConflictResponse { change: 2, started_at: 1_001, at: 1_010, current });
        violations_of(&observer)
    };
    let of = |current| vec![Violation::FalseConflict { change: 2, base: 5, current, known: 7 }];
    assert_eq!(refused(5), of(5));
    assert_eq!(refused(6), of(6));
    assert_eq!(refused(7), vec![]);

    // A version that was read before the call counts in the same way as an acknowledged one.
    let mut read_before = with_change(1, 0, 7, Outcome::Conflict { current: 3 });
    read_before.changes.get_mut(&1).expect("the change was recorded").outcomes.clear();
    answer_change(&mut read_before, 2, 1, 8, Outcome::Conflict { current: 3 });
    read(&mut read_before, 500, document(1, 7));
    read_before.change_conflicted(ConflictResponse { change: 2, started_at: 900, at: 1_000, current: 3 });
    let known = vec![Violation::FalseConflict { change: 2, base: 1, current: 3, known: 7 }];
    assert_eq!(violations_of(&read_before), known);
}

#[test]
fn detects_lost_change() {
    let mut observer = with_change(1, 0, 3, Outcome::Acknowledged);
    answer_change(&mut observer, 2, 3, 4, Outcome::Acknowledged);
    assert_eq!(violations_of(&observer), vec![]);
    answer_change(&mut observer, 3, 2, 5, Outcome::Acknowledged);
    let lost = |change| Violation::LostChange { change, later: 3 };
    assert_eq!(violations_of(&observer), vec![lost(1), lost(2)]);
}

#[test]
fn detects_superseded_config_without_quorum_contact() {
    // given: a change that was acknowledged at 1,000, and an edge that applies an older one later
    let applied_at = |at: u64| {
        let mut observer = with_change(1, 0, 2, Outcome::Acknowledged);
        answer_change(&mut observer, 2, 2, 4, Outcome::Acknowledged);
        observer.config_applied(at, EDGE, Incarnation(7), 2, Some(1));
        observer
    };
    assert_eq!(violations_of(&applied_at(4_000)), vec![]);

    // when, then
    let old = Violation::SupersededConfigApplied { edge: EDGE, version: 2, acknowledged: 4 };
    assert_eq!(violations_of(&applied_at(4_001)), vec![old]);

    // then: it is no violation if the edge was frozen while the response was in its socket
    let mut thawed = applied_at(4_001);
    thawed.connectivity_restored(4_000, EDGE);
    assert_eq!(violations_of(&thawed), vec![]);
}

#[test]
fn detects_stale_or_altered_read() {
    let mut old = with_change(1, 0, 2, Outcome::Acknowledged);
    answer_change(&mut old, 2, 2, 4, Outcome::Acknowledged);
    read(&mut old, 1_001, document(1, 2));
    assert_eq!(
        violations_of(&old),
        vec![Violation::StaleRead { started_at: 1_001, read: 2, acknowledged: 4 }]
    );

    let mut nothing = with_change(1, 0, 2, Outcome::Acknowledged);
    read(&mut nothing, 1_001, Value::Null);
    assert_eq!(
        violations_of(&nothing),
        vec![Violation::StaleRead { started_at: 1_001, read: 0, acknowledged: 2 }]
    );

    let mut other = with_change(1, 0, 2, Outcome::Acknowledged);
    let mut changed = document(1, 2);
    changed["limits"]["idleTimeoutMs"] = 1.into();
    read(&mut other, 1_001, changed);
    assert_eq!(violations_of(&other), vec![Violation::ReadDiffersFromWrite { version: 2 }]);
}

#[test]
fn detects_version_regression_and_divergence() {
    let mut back = with_change(1, 0, 2, Outcome::Acknowledged);
    answer_change(&mut back, 2, 2, 4, Outcome::Acknowledged);
    back.config_applied(1_000, EDGE, Incarnation(1), 4, Some(2));
    back.config_applied(1_100, EDGE, Incarnation(1), 2, Some(1));
    assert_eq!(violations_of(&back), vec![Violation::VersionRegression { edge: EDGE, from: 4, to: 2 }]);

    let mut differ = with_change(1, 0, 2, Outcome::Acknowledged);
    differ.config_applied(1_000, EDGE, Incarnation(1), 2, Some(1));
    differ.config_applied(1_100, NodeId(9), Incarnation(2), 2, None);
    assert_eq!(violations_of(&differ), vec![Violation::DivergentVersion { version: 2 }]);
}

#[test]
fn detects_request_to_drained_server() {
    // given: an attempt that the drained server did not execute
    let mut observer = with_request();
    observer.drain_acknowledged(0, &"s".into(), COORDINATOR, true);
    observer.attempt_sent(attempt(2_001, true));
    assert_eq!(violations_of(&observer), vec![]);
    observer.attempt_rejected(2_002, 1, &"s".into(), 421);
    assert_eq!(violations_of(&observer), vec![]);

    // when
    observer.request_executed(2_003, 1, &"s".into(), fixtures::WEB_SERVICE);

    // then
    let late = Violation::SentToDraining { server: "s".into(), acknowledged: 0, sent: 2_001, edge: EDGE };
    assert_eq!(violations_of(&observer), vec![late]);
}

#[test]
fn detects_unsafe_retry_and_repeated_execution() {
    let mut again = with_request();
    again.attempt_written(5, 1, fixtures::WEB_SERVICE);
    again.attempt_written(5, 1, fixtures::WEB_SERVICE);
    assert_eq!(violations_of(&again), vec![Violation::UnsafeRetry { request: 1 }]);

    let mut refused = with_request();
    refused.attempt_written(5, 1, fixtures::WEB_SERVICE);
    refused.attempt_not_written(1);
    refused.attempt_written(5, 1, fixtures::WEB_SERVICE);
    assert_eq!(violations_of(&refused), vec![]);

    let mut twice = with_request();
    twice.attempt_written(5, 1, fixtures::WEB_SERVICE);
    twice.request_executed(10, 1, &"s".into(), fixtures::WEB_SERVICE);
    twice.request_executed(20, 1, &"t".into(), fixtures::WEB_SERVICE);
    assert_eq!(violations_of(&twice), vec![Violation::ExecutedTwice { request: 1 }]);

    let mut promised = with_request();
    promised.attempt_written(5, 1, fixtures::WEB_SERVICE);
    promised.request_answered(10, 1, 503);
    promised.request_executed(20, 1, &"s".into(), fixtures::WEB_SERVICE);
    assert_eq!(violations_of(&promised), vec![Violation::ExecutedAfterRejection { request: 1 }]);
}

#[test]
fn detects_token_regression_and_lease_overlap() {
    let check = |before: ObservedOrder, after: ObservedOrder| {
        let mut observer = Observer::default();
        observer.order_received(before);
        observer.order_received(after);
        violations_of(&observer)
    };
    let (before, after) = (order(0, "a", 2), order(9_000, "b", 1));
    assert_eq!(
        check(before.clone(), after.clone()),
        vec![Violation::FencingTokenRegression { before, after }]
    );
    let (before, after) = (order(0, "a", 2), order(9_000, "b", 2));
    assert_eq!(
        check(before.clone(), after.clone()),
        vec![Violation::FencingTokenRegression { before, after }]
    );
    let (before, after) = (order(0, "a", 2), order(2_999, "b", 3));
    assert_eq!(check(before.clone(), after.clone()), vec![Violation::LeaseOverlap { before, after }]);
}

#[test]
fn detects_lease_overlap_under_one_name() {
    let (before, after) = (order(0, "a", 2), ObservedOrder { from: NodeId(9), ..order(2_999, "a", 3) });
    let mut observer = Observer::default();
    observer.order_received(before.clone());
    observer.order_received(after.clone());
    assert_eq!(violations_of(&observer), vec![Violation::LeaseOverlap { before, after }]);
}

#[test]
fn excuses_order_right_after_thaw() {
    let mut observer = Observer::default();
    observer.order_received(order(0, "a", 2));
    observer.connectivity_restored(2_000, COORDINATOR);
    observer.order_received(order(2_300, "b", 3));
    assert_eq!(violations_of(&observer), vec![]);
    observer.order_received(order(2_301, "b", 3));
    assert_eq!(violations_of(&observer).len(), 1);
}

#[test]
fn detects_load_rate_and_capacity_excess() {
    let mut observer = Observer::default();
    // 1.4 loads per second for 5 s, times 1.1, plus 3: ten loads are allowed.
    for number in 0..11 {
        observer.load_started(number * 100, fixtures::LLM_SERVICE);
    }
    assert_eq!(violations_of(&observer), vec![Violation::LoadRateExceeded { at: 1_000, loads: 11 }]);

    let mut observer = Observer::default();
    observer.capacity_exceeded(5, &"s".into(), "all".into());
    assert_eq!(
        violations_of(&observer),
        vec![Violation::CapacityExceeded { at: 5, server: "s".into(), description: "all".into() }]
    );
}

#[test]
fn detects_stale_config_with_quorum_contact() {
    // given: a change that was acknowledged at 1,000
    let mut observer = with_change(1, 0, 2, Outcome::Acknowledged);
    observer.request_received(3_000, 1, &ClientRequest::default(), true, edge_state(0));
    assert_eq!(violations_of(&observer), vec![]);
    observer.request_received(
        3_001,
        2,
        &ClientRequest::default(),
        true,
        EdgeState { has_quorum_contact: false, ..edge_state(0) },
    );
    assert_eq!(violations_of(&observer), vec![]);

    // when
    observer.request_received(3_001, 3, &ClientRequest::default(), true, edge_state(0));

    // then
    assert_eq!(
        violations_of(&observer),
        vec![Violation::StaleConfigInUse { request: 3, version: 0, acknowledged: 2 }]
    );
}

#[test]
fn detects_denied_request_and_too_many_servers() {
    let mut denied = with_request();
    denied.request_answered(10, 1, 404);
    assert_eq!(violations_of(&denied), vec![Violation::RequestDenied { request: 1, status: 404 }]);

    let mut many = Observer::default();
    many.request_received(0, 1, &ClientRequest::default(), false, edge_state(0));
    for server in ["s", "t", "u"] {
        many.request_executed(10, 1, &server.into(), fixtures::WEB_SERVICE);
    }
    assert_eq!(violations_of(&many), vec![Violation::TooManyServers { request: 1 }]);
}

#[test]
fn detects_exceeded_retry_budget() {
    // given: ten requests with one attempt each, and four retries of one of them
    let retries_every = |interval: u64| {
        let mut observer = Observer::default();
        for number in 0..10 {
            observer.request_received(0, number, &ClientRequest::default(), false, edge_state(0));
            observer.attempt_written(0, number, fixtures::WEB_SERVICE);
        }
        for number in 1..=4 {
            observer.attempt_written(number * interval, 1, fixtures::WEB_SERVICE);
        }
        observer
    };

    // when, then: one retry per ten requests plus two are allowed
    let too_many = Violation::RetryBudgetExceeded {
        service: fixtures::WEB_SERVICE.into(),
        at: 400,
        retries: 4,
        allowed: 3.0,
    };
    assert_eq!(violations_of(&retries_every(100)), vec![too_many]);
    assert_eq!(violations_of(&retries_every(4_000)), vec![]);
}

#[test]
fn unsent_requests_count_for_retry_budget() {
    // given: ten requests, four retries of one of them, and further requests that the edge never sent to a server
    let refused = |number: u64, model: Option<String>| {
        let mut observer = Observer::default();
        for request in 0..10 {
            observer.request_received(0, request, &ClientRequest::default(), false, edge_state(0));
            observer.attempt_written(0, request, fixtures::WEB_SERVICE);
        }
        for repeat in 1..=4 {
            observer.attempt_written(repeat * 100, 1, fixtures::WEB_SERVICE);
        }
        for request in 10..10 + number {
            let client_request = ClientRequest {
                host: fixtures::HOST.to_owned(),
                model: model.clone(),
                ..ClientRequest::default()
            };
            observer.request_received(0, request, &client_request, false, edge_state(0));
        }
        observer
    };

    // when, then: one retry per ten requests plus two are allowed
    assert_eq!(violations_of(&refused(10, None)), vec![]);
    assert_ne!(violations_of(&refused(9, None)), vec![]);
    assert_ne!(violations_of(&refused(10, Some(fixtures::model_name(0)))), vec![]);
}

#[test]
fn detects_overdue_acknowledgement() {
    let mut observer = Observer::default();
    observer.acknowledgement_overdue(9, "call 1".into());
    assert_eq!(
        violations_of(&observer),
        vec![Violation::AcknowledgementOverdue { at: 9, description: "call 1".into() }]
    );
}
