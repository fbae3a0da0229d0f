//! The rules, over what was seen from outside.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

use crate::fixtures;
use crate::observer::{
    AttemptSent, ClientRequest, ObservedOrder, ObservedRequest, Observer, Outcome, SentChange,
};
use crate::operator::version_of;

/// Loads allowed in a window beyond the store's rate.
const LOAD_RATE_SLACK: f64 = 3.0;
/// Orders that arrive within this time after their sender was thawed or a partition of it healed don't count, in milliseconds.
const RESTORATION_GRACE: Millis = 300;

/// How long a response may be in flight beyond `convergenceMs`, in milliseconds: a partitioned
/// link delays it.
const MAX_DELIVERY_DELAY: Millis = 1_000;

/// Bounds of the rules.
#[derive(Clone, Debug)]
pub struct InvariantBounds {
    /// `convergenceMs`, in milliseconds.
    pub convergence: Millis,
    /// `maxAttempts` of all routes.
    pub attempts: usize,
    /// `retryWindowS`, in milliseconds.
    pub retry_window: Millis,
    /// `retryRatio`: retries per request that the budget allows.
    pub retry_ratio: f64,
    /// `retrySlack`: retries that the budget allows beyond the ratio.
    pub retry_slack: f64,
    /// `drainMs`, in milliseconds.
    pub drain: Millis,
    /// `leaseMs`, in milliseconds.
    pub lease: Millis,
    /// `originWindowS`, in milliseconds.
    pub origin_window: Millis,
    /// `originOvershoot`: factor on the rate limit of the weight store.
    pub origin_overshoot: f64,
    /// `loadPerS`: rate limit of the weight store, in loads per second.
    pub load_per_s: f64,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two changes on one version were both acknowledged.
    ConflictingAcknowledgements {
        /// The version.
        base: u64,
        /// The changes.
        changes: Vec<u64>,
    },
    /// A change was refused after it had been acknowledged, or is in force though it was refused.
    RejectedAfterAcceptance {
        /// The change.
        change: u64,
    },
    /// A change was refused on grounds that cannot be: its own base, or a version older than one that had been
    /// acknowledged or read before.
    FalseConflict {
        /// The change.
        change: u64,
        /// What it was built on.
        base: u64,
        /// The version that was said to be current.
        current: u64,
        /// The newest version that was known to be in force before the change was sent.
        known: u64,
    },
    /// A proper change was refused as one that cannot be taken.
    ValidChangeRejected {
        /// The change.
        change: u64,
    },
    /// A change that was acknowledged is not among those on which a later one was built.
    LostChange {
        /// The change that was acknowledged.
        change: u64,
        /// The later one, which is in force or acknowledged.
        later: u64,
    },
    /// A read that began after an acknowledgement does not know it.
    StaleRead {
        /// When it began.
        started_at: Millis,
        /// The version that was read.
        read: u64,
        /// The version that had been acknowledged.
        acknowledged: u64,
    },
    /// What was read back is not what was sent.
    ReadDiffersFromWrite {
        /// The version.
        version: u64,
    },
    /// One version is two configurations.
    DivergentVersion {
        /// The version.
        version: u64,
    },
    /// An edge went back.
    VersionRegression {
        /// The edge.
        edge: NodeId,
        /// From this version.
        from: u64,
        /// To this version.
        to: u64,
    },
    /// An edge applied a configuration that had long been superseded, with or without quorum contact: a coordinator
    /// served it that could not know whether it was current.
    SupersededConfigApplied {
        /// The edge.
        edge: NodeId,
        /// What it took.
        version: u64,
        /// What had been acknowledged long before.
        acknowledged: u64,
    },
    /// A request was sent to a server that had long said that it leaves.
    SentToDraining {
        /// The server.
        server: ServerId,
        /// When it had its acknowledgement.
        acknowledged: Millis,
        /// When the request was sent.
        sent: Millis,
        /// From which edge.
        edge: NodeId,
    },
    /// A request met an older configuration than it may.
    StaleConfigInUse {
        /// The request.
        request: u64,
        /// The version in force at its edge.
        version: u64,
        /// A version that had long been acknowledged.
        acknowledged: u64,
    },
    /// A proper request was refused as if no configuration allowed it.
    RequestDenied {
        /// The request.
        request: u64,
        /// The status.
        status: u16,
    },
    /// A request ran on more servers than it may.
    TooManyServers {
        /// The request.
        request: u64,
    },
    /// A service got too many repeats in a window.
    RetryBudgetExceeded {
        /// The service.
        service: String,
        /// When the window ends.
        at: Millis,
        /// How many.
        retries: usize,
        /// How many are allowed.
        allowed: f64,
    },
    /// Something had no acknowledgement in time although nothing was wrong.
    AcknowledgementOverdue {
        /// When that was noticed.
        at: Millis,
        /// What.
        description: String,
    },
    /// A request ran more often than it may.
    ExecutedTwice {
        /// The request.
        request: u64,
    },
    /// A request that is not idempotent was retried although it may have been executed.
    UnsafeRetry {
        /// The request.
        request: u64,
    },
    /// A request was refused with a promise, and ran.
    ExecutedAfterRejection {
        /// The request.
        request: u64,
    },
    /// A fence fell, or two holders have the same.
    FencingTokenRegression {
        /// The earlier order.
        before: ObservedOrder,
        /// The later one.
        after: ObservedOrder,
    },
    /// Two lease holders ordered less than a lease apart.
    LeaseOverlap {
        /// The earlier order.
        before: ObservedOrder,
        /// The later one.
        after: ObservedOrder,
    },
    /// Too many loads from the store began in a window.
    LoadRateExceeded {
        /// When the window ends.
        at: Millis,
        /// How many.
        loads: usize,
    },
    /// A server was ordered to load beyond its room.
    CapacityExceeded {
        /// When.
        at: Millis,
        /// The server.
        server: ServerId,
        /// What it would hold.
        description: String,
    },
}

impl PartialEq for ObservedOrder {
    fn eq(&self, other: &Self) -> bool {
        (self.at, &self.server, self.fencing_token) == (other.at, &other.server, other.fencing_token)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// All rules that were broken.
pub fn violations(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = check_configuration(observer);
    violations.extend(check_conflicts(observer));
    violations.extend(check_lost(observer));
    violations.extend(check_edges(observer, bounds));
    violations.extend(check_drains(observer, bounds));
    violations.extend(check_requests(observer, bounds));
    violations.extend(check_retries(observer, bounds));
    let unacknowledged = observer.overdue_acknowledgements.iter().cloned();
    violations.extend(
        unacknowledged.map(|(at, description)| Violation::AcknowledgementOverdue { at, description }),
    );
    violations.extend(check_orders(observer, bounds));
    violations.extend(check_loads(observer, bounds));
    violations
}

fn check_configuration(observer: &Observer) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut acknowledged: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (number, change) in &observer.changes {
        if change.acknowledged_at().is_some() {
            acknowledged.entry(change.base).or_default().push(*number);
        }
        let refused = change.outcomes.iter().any(|(_, outcome)| *outcome != Outcome::Acknowledged);
        let in_force = observer.applied_configs.iter().any(|seen| seen.change == Some(*number));
        let read =
            observer.reads.iter().any(|read| fixtures::change_in_document(&read.document) == Some(*number));
        if refused && (change.acknowledged_at().is_some() || in_force || read) {
            violations.push(Violation::RejectedAfterAcceptance { change: *number });
        } else if change.outcomes.iter().any(|(_, outcome)| *outcome == Outcome::Invalid) {
            violations.push(Violation::ValidChangeRejected { change: *number });
        }
    }
    let twice = acknowledged.into_iter().filter(|(_, changes)| changes.len() > 1);
    violations.extend(twice.map(|(base, changes)| Violation::ConflictingAcknowledgements { base, changes }));
    for read in &observer.reads {
        let (version, known) = (version_of(&read.document), observer.acknowledged_version(read.started_at));
        if version < known {
            violations.push(Violation::StaleRead {
                started_at: read.started_at,
                read: version,
                acknowledged: known,
            });
        }
        let sent =
            fixtures::change_in_document(&read.document).and_then(|change| observer.changes.get(&change));
        if version > 0 && sent.is_none_or(|sent| !is_equivalent(&sent.document, &read.document)) {
            violations.push(Violation::ReadDiffersFromWrite { version });
        }
    }
    violations
}

fn check_conflicts(observer: &Observer) -> Vec<Violation> {
    let mut violations = Vec::new();
    for conflict in &observer.conflicts {
        let Some(change) = observer.changes.get(&conflict.change) else { continue };
        let read = observer.reads.iter().filter(|read| read.at < conflict.started_at);
        let read = read.map(|read| version_of(&read.document)).max().unwrap_or_default();
        let known = observer.acknowledged_version(conflict.started_at).max(read);
        if conflict.current == change.base || conflict.current < known {
            violations.push(Violation::FalseConflict {
                change: conflict.change,
                base: change.base,
                current: conflict.current,
                known,
            });
        }
    }
    violations
}

/// Each change names the version that it was built on: none that was acknowledged may lie between the two.
fn check_lost(observer: &Observer) -> Vec<Violation> {
    let acknowledged: BTreeMap<u64, u64> = observer
        .changes
        .iter()
        .filter(|(_, change)| change.acknowledged_at().is_some())
        .map(|(number, change)| (change.version, *number))
        .collect();
    let in_force = observer.applied_configs.iter().filter_map(|seen| seen.change);
    let read = observer.reads.iter().filter_map(|read| fixtures::change_in_document(&read.document));
    let taken: BTreeSet<u64> = acknowledged.values().copied().chain(in_force).chain(read).collect();
    let mut violations = Vec::new();
    for later in taken {
        let Some(SentChange { base, version, .. }) = observer.changes.get(&later) else { continue };
        if base + 1 < *version {
            // Two acknowledged changes on one base are reported as conflicting.
            let of_one_base = |other: &u64| {
                acknowledged.get(version) == Some(&later) && observer.changes[other].base == *base
            };
            let between = acknowledged.range(base + 1..*version).filter(|(_, change)| !of_one_base(change));
            violations.extend(between.map(|(_, change)| Violation::LostChange { change: *change, later }));
        }
    }
    violations
}

/// Whether two configurations have the same items, in whichever order.
fn is_equivalent(one: &serde_json::Value, other: &serde_json::Value) -> bool {
    let sorted = |document: &serde_json::Value| {
        let mut document = document.clone();
        for list in ["routes", "services"] {
            if let Some(items) = document.get_mut(list).and_then(serde_json::Value::as_array_mut) {
                items.sort_by_key(|item| item["name"].to_string());
            }
        }
        document
    };
    sorted(one) == sorted(other)
}

fn check_edges(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut newest: BTreeMap<(NodeId, u64), u64> = BTreeMap::new();
    let mut versions: BTreeMap<u64, Option<u64>> = BTreeMap::new();
    for seen in &observer.applied_configs {
        let Incarnation(incarnation) = seen.incarnation;
        let before = newest.insert((seen.edge, incarnation), seen.version).unwrap_or_default();
        if seen.version <= before {
            violations.push(Violation::VersionRegression { edge: seen.edge, from: before, to: seen.version });
        }
        let long_ago = seen.at.saturating_sub(bounds.convergence + MAX_DELIVERY_DELAY);
        let acknowledged = observer.acknowledged_version(long_ago);
        let restored = observer.restorations.get(&seen.edge).is_some_and(|moments| {
            moments.iter().any(|at| (*at..=at + RESTORATION_GRACE).contains(&seen.at))
        });
        if seen.version < acknowledged && !restored {
            let (edge, version) = (seen.edge, seen.version);
            violations.push(Violation::SupersededConfigApplied { edge, version, acknowledged });
        }
        let change = versions.entry(seen.version).or_insert(seen.change);
        let sent = seen.change.and_then(|change| observer.changes.get(&change));
        if *change != seen.change || sent.is_none_or(|sent| sent.version != seen.version) {
            violations.push(Violation::DivergentVersion { version: seen.version });
        }
    }
    violations
}

/// Whether an attempt reached the server that it was meant for.
fn reached_server(observer: &Observer, attempt: &AttemptSent) -> bool {
    let Some(request) = observer.requests.get(&attempt.request) else { return false };
    let ran = request.executions.iter().any(|(at, server)| *server == attempt.server && *at >= attempt.at);
    let rejections = |(at, server, status): &(Millis, ServerId, u16)| {
        *server == attempt.server && *at >= attempt.at && *status != 421
    };
    ran || request.rejections.iter().any(rejections)
}

fn check_drains(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for drained in observer.acknowledged_drains.iter().filter(|drained| drained.has_quorum_contact) {
        let late = observer.attempts.iter().filter(|attempt| {
            let late = attempt.has_quorum_contact && attempt.at > drained.at + bounds.drain;
            late && attempt.server == drained.server && reached_server(observer, attempt)
        });
        violations.extend(late.map(|attempt| Violation::SentToDraining {
            server: drained.server.clone(),
            acknowledged: drained.at,
            sent: attempt.at,
            edge: attempt.edge,
        }));
    }
    violations
}

fn check_requests(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, request) in &observer.requests {
        if request.non_idempotent && request.executions.len() > 1 {
            violations.push(Violation::ExecutedTwice { request: *number });
        }
        // All attempts but one must have been rejected, or not have been written.
        let unclear = request.written.len().saturating_sub(request.rejections.len());
        if request.non_idempotent && unclear > 1 {
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
        let promised = matches!(request.response, Some((_, 408 | 421 | 429 | 503)));
        if promised && request.non_idempotent && !request.executions.is_empty() {
            violations.push(Violation::ExecutedAfterRejection { request: *number });
        }
    }
    violations
}

/// The service that a client's request was meant for, whether it got there or not.
fn target_service(request: &ObservedRequest) -> Option<&str> {
    let written = request.written.first().map(|(_, service)| service.as_str());
    let by_request = match &request.client_request {
        ClientRequest { model: Some(_), .. } => Some(fixtures::LLM_SERVICE),
        ClientRequest { host, .. } if host == fixtures::HOST => Some(fixtures::WEB_SERVICE),
        _ => None,
    };
    written.or(by_request)
}

/// Arrivals beyond the first of each request, by service and window, against the requests that clients sent for it.
fn check_retries(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
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
            let most = windows.map(|end| requests.iter().filter(|at| in_window(at, end)).count());
            let most = most.into_iter().max().unwrap_or_default();
            let allowed = bounds.retry_ratio * most as f64 + bounds.retry_slack;
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

fn check_orders(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut last: BTreeMap<&ServerId, &ObservedOrder> = BTreeMap::new();
    let restored = |order: &ObservedOrder| {
        let moments = observer.restorations.get(&order.from).into_iter().flatten();
        moments.into_iter().any(|at| (*at..=at + RESTORATION_GRACE).contains(&order.at))
    };
    for order in observer.orders.iter().filter(|order| !restored(order)) {
        let Some(before) = last.insert(&order.server, order) else { continue };
        let different_holder = before.lease_holder != order.lease_holder || before.from != order.from;
        if order.fencing_token < before.fencing_token
            || (different_holder && order.fencing_token == before.fencing_token)
        {
            violations
                .push(Violation::FencingTokenRegression { before: before.clone(), after: order.clone() });
        }
        if different_holder && order.at - before.at < bounds.lease {
            violations.push(Violation::LeaseOverlap { before: before.clone(), after: order.clone() });
        }
    }
    violations
}

fn check_loads(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let window_s = bounds.origin_window as f64 / 1_000.0;
    let allowed = bounds.load_per_s * window_s * bounds.origin_overshoot + LOAD_RATE_SLACK;
    for (at, _) in &observer.store_loads {
        let in_window = |other: &&(Millis, String)| other.0 <= *at && other.0 + bounds.origin_window > *at;
        let count = observer.store_loads.iter().filter(in_window).count();
        if count as f64 > allowed {
            violations.push(Violation::LoadRateExceeded { at: *at, loads: count });
        }
    }
    violations.extend(observer.capacity_violations.iter().map(|(at, server, description)| {
        Violation::CapacityExceeded { at: *at, server: server.clone(), description: description.clone() }
    }));
    violations
}
