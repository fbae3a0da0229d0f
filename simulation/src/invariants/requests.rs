//! Invariants of clients' requests: no request to a drained server, no repeated execution, bounded retries, valid responses.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::{Millis, ServerId};

use super::{InvariantBounds, Violation};
use crate::fixtures;
use crate::observer::{AttemptSent, ClientRequest, ObservedRequest, Observer};

/// Checks that edges with quorum contact send no requests to a server after `drainMs` from the acknowledgement of its draining.
/// Only attempts that reach this server count, not those to another server at its address.
pub(super) fn check_drained_servers(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for drained in observer.acknowledged_drains.iter().filter(|drained| drained.has_quorum_contact) {
        let late_attempts = observer.attempts.iter().filter(|attempt| {
            let is_late = attempt.has_quorum_contact && attempt.at > drained.at + bounds.drain;
            is_late && attempt.server == drained.server && reached_server(observer, attempt)
        });
        violations.extend(late_attempts.map(|attempt| Violation::SentToDraining {
            server: drained.server.clone(),
            acknowledged: drained.at,
            sent: attempt.at,
            edge: attempt.edge,
        }));
    }
    violations
}

/// Whether an attempt reached the server that it was addressed to.
fn reached_server(observer: &Observer, attempt: &AttemptSent) -> bool {
    let Some(request) = observer.requests.get(&attempt.request) else { return false };
    let ran = request.executions.iter().any(|(at, server)| *server == attempt.server && *at >= attempt.at);
    let is_rejection = |(at, server, status): &(Millis, ServerId, u16)| {
        *server == attempt.server && *at >= attempt.at && *status != 421
    };
    ran || request.rejections.iter().any(is_rejection)
}

/// Checks executions, attempts and responses of each request.
pub(super) fn check_requests(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, request) in &observer.requests {
        if request.non_idempotent && request.executions.len() > 1 {
            violations.push(Violation::ExecutedTwice { request: *number });
        }
        // At most one of the written attempts may lack a rejection.
        let possibly_executed = request.written.len().saturating_sub(request.rejections.len());
        if request.non_idempotent && possibly_executed > 1 {
            violations.push(Violation::UnsafeRetry { request: *number });
        }
        let acknowledged = observer.acknowledged_version(request.at.saturating_sub(bounds.convergence));
        if request.has_quorum_contact && request.version < acknowledged {
            let version = request.version;
            violations.push(Violation::StaleConfigInUse { request: *number, version, acknowledged });
        }
        let ran_on: BTreeSet<&ServerId> = request.executions.iter().map(|(_, server)| server).collect();
        if ran_on.len() > bounds.attempts {
            violations.push(Violation::TooManyServers { request: *number });
        }
        if let Some((_, status @ (300..=407 | 409..=420 | 422..=428 | 430..=499))) = request.response {
            violations.push(Violation::RequestDenied { request: *number, status });
        }
        let promises_no_execution = matches!(request.response, Some((_, 408 | 421 | 429 | 503)));
        if promises_no_execution && request.non_idempotent && !request.executions.is_empty() {
            violations.push(Violation::ExecutedAfterRejection { request: *number });
        }
    }
    violations
}

/// The service that a client's request was addressed to, also if it was never sent there.
fn target_service(request: &ObservedRequest) -> Option<&str> {
    let written = request.written.first().map(|(_, service)| service.as_str());
    let by_request = match &request.client_request {
        ClientRequest { model: Some(_), .. } => Some(fixtures::LLM_SERVICE),
        ClientRequest { host, .. } if host == fixtures::HOST => Some(fixtures::WEB_SERVICE),
        _ => None,
    };
    written.or(by_request)
}

/// Checks the retry budget: for each service and window, attempts after the first of each request against the requests that
/// clients sent to this service.
pub(super) fn check_retries(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut retries: BTreeMap<&str, Vec<Millis>> = BTreeMap::new();
    let mut requests: BTreeMap<&str, Vec<Millis>> = BTreeMap::new();
    for request in observer.requests.values() {
        if let Some(service) = target_service(request) {
            requests.entry(service).or_default().push(request.at);
        }
        for (at, service) in request.written.iter().skip(1) {
            retries.entry(service).or_default().push(*at);
        }
    }
    let mut violations = Vec::new();
    for (service, mut retries) in retries {
        retries.sort_unstable();
        let requests = requests.get(service).map(Vec::as_slice).unwrap_or_default();
        for end in &retries {
            let in_window = |at: &&Millis, end: Millis| **at <= end && **at + bounds.retry_window > end;
            let count = retries.iter().filter(|at| in_window(at, *end)).count();
            let windows =
                [0, bounds.retry_window / 2, bounds.retry_window].map(|back| end.saturating_sub(back));
            let max_requests = windows.map(|end| requests.iter().filter(|at| in_window(at, end)).count());
            let max_requests = max_requests.into_iter().max().unwrap_or_default();
            let allowed = bounds.retry_ratio * max_requests as f64 + bounds.retry_slack;
            if count as f64 > allowed {
                violations.push(Violation::RetryBudgetExceeded {
                    service: service.to_owned(),
                    at: *end,
                    retries: count,
                    allowed,
                });
            }
        }
    }
    violations
}
