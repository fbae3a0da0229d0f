//! The rules, over what was seen from outside.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

use crate::operator::version_of;
use crate::site;
use crate::witness::{Ask, ChangeSent, OrderSeen, Outcome, RequestSeen, Sending, Witness};

/// Loads allowed in a window beyond the store's rate.
const LOADS_BEYOND: f64 = 3.0;
/// Orders that arrive so soon after their sender was thawed or a link was joined don't count, in milliseconds.
const FREEZE_SLACK: Millis = 300;

/// How long what a coordinator has handed out may be on its way beyond `convergenceMs`, in milliseconds: a link that is
/// cut holds it up.
const ON_ITS_WAY: Millis = 1_000;

/// Bounds of the rules.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// `convergenceMs`.
    pub convergence: Millis,
    /// `maxAttempts` of all routes.
    pub attempts: usize,
    /// `retryWindowS`, in milliseconds.
    pub retry_window: Millis,
    /// `retryRatio`.
    pub retry_ratio: f64,
    /// `retrySlack`.
    pub retry_slack: f64,
    /// `drainMs`.
    pub drain: Millis,
    /// `leaseMs`.
    pub lease: Millis,
    /// `originWindowS`, in milliseconds.
    pub origin_window: Millis,
    /// `originOvershoot`.
    pub origin_overshoot: f64,
    /// `loadPerS`.
    pub load_per_s: f64,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// Two changes on one version were both acknowledged.
    BothAcknowledged {
        /// The version.
        base: u64,
        /// The changes.
        changes: Vec<u64>,
    },
    /// A change was refused after it had been acknowledged, or is in force though it was refused.
    RefusedThoughTaken {
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
    RefusedThoughProper {
        /// The change.
        change: u64,
    },
    /// A change that was acknowledged is not among those on which a later one was built.
    Lost {
        /// The change that was acknowledged.
        change: u64,
        /// The later one, which is in force or acknowledged.
        later: u64,
    },
    /// A read that began after an acknowledgement does not know it.
    StaleRead {
        /// When it began.
        begun: Millis,
        /// The version that was read.
        read: u64,
        /// The version that had been acknowledged.
        acknowledged: u64,
    },
    /// What was read back is not what was sent.
    DiffersFromSent {
        /// The version.
        version: u64,
    },
    /// One version is two configurations.
    TwoOfOneVersion {
        /// The version.
        version: u64,
    },
    /// An edge went back.
    WentBack {
        /// The edge.
        edge: NodeId,
        /// From this version.
        from: u64,
        /// To this version.
        to: u64,
    },
    /// An edge took a configuration that had long been superseded, in touch or not: a coordinator handed it out that
    /// could not know whether it was current.
    HandedOutOld {
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
    OldConfiguration {
        /// The request.
        request: u64,
        /// The version in force at its edge.
        version: u64,
        /// A version that had long been acknowledged.
        acknowledged: u64,
    },
    /// A proper request was refused as if no configuration allowed it.
    Denied {
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
    Budget {
        /// The service.
        service: String,
        /// When the window ends.
        at: Millis,
        /// How many.
        repeats: usize,
        /// How many are allowed.
        allowed: f64,
    },
    /// Something had no acknowledgement in time although nothing was wrong.
    Unacknowledged {
        /// When that was noticed.
        at: Millis,
        /// What.
        what: String,
    },
    /// A request ran more often than it may.
    RanTwice {
        /// The request.
        request: u64,
    },
    /// A request was sent again although it may have run.
    SentAgain {
        /// The request.
        request: u64,
    },
    /// A request was refused with a promise, and ran.
    RanThoughRefused {
        /// The request.
        request: u64,
    },
    /// A fence fell, or two holders have the same.
    Fences {
        /// The earlier order.
        before: OrderSeen,
        /// The later one.
        after: OrderSeen,
    },
    /// Holders took turns too fast.
    Turns {
        /// The earlier order.
        before: OrderSeen,
        /// The later one.
        after: OrderSeen,
    },
    /// Too many loads from the store began in a window.
    Ceiling {
        /// When the window ends.
        at: Millis,
        /// How many.
        loads: usize,
    },
    /// A server was ordered to load beyond its room.
    Overflow {
        /// When.
        at: Millis,
        /// The server.
        server: ServerId,
        /// What it would hold.
        what: String,
    },
}

impl PartialEq for OrderSeen {
    fn eq(&self, other: &Self) -> bool {
        (self.at, &self.server, self.token) == (other.at, &other.server, other.token)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// All rules that were broken.
pub fn violations(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut found = configuration(witness);
    found.extend(refusals(witness));
    found.extend(lost(witness));
    found.extend(edges(witness, bounds));
    found.extend(drains(witness, bounds));
    found.extend(requests(witness, bounds));
    found.extend(repeats(witness, bounds));
    let unacknowledged = witness.unacknowledged.iter().cloned();
    found.extend(unacknowledged.map(|(at, what)| Violation::Unacknowledged { at, what }));
    found.extend(orders(witness, bounds));
    found.extend(loads(witness, bounds));
    found
}

fn configuration(witness: &Witness) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut acknowledged: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (number, change) in &witness.changes {
        if change.acknowledged_at().is_some() {
            acknowledged.entry(change.base).or_default().push(*number);
        }
        let refused = change.outcomes.iter().any(|(_, outcome)| *outcome != Outcome::Acknowledged);
        let in_force = witness.in_force.iter().any(|seen| seen.change == Some(*number));
        let read = witness.reads.iter().any(|read| site::marked(&read.document) == Some(*number));
        if refused && (change.acknowledged_at().is_some() || in_force || read) {
            found.push(Violation::RefusedThoughTaken { change: *number });
        } else if change.outcomes.iter().any(|(_, outcome)| *outcome == Outcome::Invalid) {
            found.push(Violation::RefusedThoughProper { change: *number });
        }
    }
    let twice = acknowledged.into_iter().filter(|(_, changes)| changes.len() > 1);
    found.extend(twice.map(|(base, changes)| Violation::BothAcknowledged { base, changes }));
    for read in &witness.reads {
        let (version, known) = (version_of(&read.document), witness.acknowledged_version(read.begun));
        if version < known {
            found.push(Violation::StaleRead { begun: read.begun, read: version, acknowledged: known });
        }
        let sent = site::marked(&read.document).and_then(|change| witness.changes.get(&change));
        if version > 0 && sent.is_none_or(|sent| !same(&sent.document, &read.document)) {
            found.push(Violation::DiffersFromSent { version });
        }
    }
    found
}

fn refusals(witness: &Witness) -> Vec<Violation> {
    let mut found = Vec::new();
    for refusal in &witness.refusals {
        let Some(change) = witness.changes.get(&refusal.change) else { continue };
        let read = witness.reads.iter().filter(|read| read.at < refusal.begun);
        let read = read.map(|read| version_of(&read.document)).max().unwrap_or_default();
        let known = witness.acknowledged_version(refusal.begun).max(read);
        if refusal.current == change.base || refusal.current < known {
            found.push(Violation::FalseConflict {
                change: refusal.change,
                base: change.base,
                current: refusal.current,
                known,
            });
        }
    }
    found
}

/// Each change names the version that it was built on: none that was acknowledged may lie between the two.
fn lost(witness: &Witness) -> Vec<Violation> {
    let acknowledged: BTreeMap<u64, u64> = witness
        .changes
        .iter()
        .filter(|(_, change)| change.acknowledged_at().is_some())
        .map(|(number, change)| (change.version, *number))
        .collect();
    let in_force = witness.in_force.iter().filter_map(|seen| seen.change);
    let read = witness.reads.iter().filter_map(|read| site::marked(&read.document));
    let taken: BTreeSet<u64> = acknowledged.values().copied().chain(in_force).chain(read).collect();
    let mut found = Vec::new();
    for later in taken {
        let Some(ChangeSent { base, version, .. }) = witness.changes.get(&later) else { continue };
        if base + 1 < *version {
            // Two that were acknowledged on one base are found as such.
            let of_one_base = |other: &u64| {
                acknowledged.get(version) == Some(&later) && witness.changes[other].base == *base
            };
            let between = acknowledged.range(base + 1..*version).filter(|(_, change)| !of_one_base(change));
            found.extend(between.map(|(_, change)| Violation::Lost { change: *change, later }));
        }
    }
    found
}

/// Whether two configurations have the same items, in whichever order.
fn same(one: &serde_json::Value, other: &serde_json::Value) -> bool {
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

fn edges(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<(NodeId, u64), u64> = BTreeMap::new();
    let mut versions: BTreeMap<u64, Option<u64>> = BTreeMap::new();
    for seen in &witness.in_force {
        let Incarnation(incarnation) = seen.incarnation;
        let before = newest.insert((seen.edge, incarnation), seen.version).unwrap_or_default();
        if seen.version <= before {
            found.push(Violation::WentBack { edge: seen.edge, from: before, to: seen.version });
        }
        let long_ago = seen.at.saturating_sub(bounds.convergence + ON_ITS_WAY);
        let acknowledged = witness.acknowledged_version(long_ago);
        let healed = witness
            .healed
            .get(&seen.edge)
            .is_some_and(|moments| moments.iter().any(|at| (*at..=at + FREEZE_SLACK).contains(&seen.at)));
        if seen.version < acknowledged && !healed {
            let (edge, version) = (seen.edge, seen.version);
            found.push(Violation::HandedOutOld { edge, version, acknowledged });
        }
        let change = versions.entry(seen.version).or_insert(seen.change);
        let sent = seen.change.and_then(|change| witness.changes.get(&change));
        if *change != seen.change || sent.is_none_or(|sent| sent.version != seen.version) {
            found.push(Violation::TwoOfOneVersion { version: seen.version });
        }
    }
    found
}

/// Whether a sending reached its server, and was not for another one.
fn reached(witness: &Witness, sending: &Sending) -> bool {
    let Some(request) = witness.requests.get(&sending.request) else { return false };
    let ran = request.runs.iter().any(|(at, server)| *server == sending.server && *at >= sending.at);
    let turned_away = |(at, server, status): &(Millis, ServerId, u16)| {
        *server == sending.server && *at >= sending.at && *status != 421
    };
    ran || request.turned_away.iter().any(turned_away)
}

fn drains(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    for drained in witness.drains.iter().filter(|drained| drained.in_touch) {
        let late = witness.sendings.iter().filter(|sending| {
            let late = sending.in_touch && sending.at > drained.at + bounds.drain;
            late && sending.server == drained.server && reached(witness, sending)
        });
        found.extend(late.map(|sending| Violation::SentToDraining {
            server: drained.server.clone(),
            acknowledged: drained.at,
            sent: sending.at,
            edge: sending.edge,
        }));
    }
    found
}

fn requests(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    for (number, request) in &witness.requests {
        if request.once && request.runs.len() > 1 {
            found.push(Violation::RanTwice { request: *number });
        }
        // Each sending but one must have been turned away, or have found nobody.
        let unclear = request.written.len().saturating_sub(request.turned_away.len());
        if request.once && unclear > 1 {
            found.push(Violation::SentAgain { request: *number });
        }
        let acknowledged = witness.acknowledged_version(request.at.saturating_sub(bounds.convergence));
        if request.in_touch && request.version < acknowledged {
            let version = request.version;
            found.push(Violation::OldConfiguration { request: *number, version, acknowledged });
        }
        let ran_on: BTreeSet<&ServerId> = request.runs.iter().map(|(_, server)| server).collect();
        if ran_on.len() > bounds.attempts {
            found.push(Violation::TooManyServers { request: *number });
        }
        if let Some((_, status @ (300..=407 | 409..=420 | 422..=428 | 430..=499))) = request.answer {
            found.push(Violation::Denied { request: *number, status });
        }
        let promised = matches!(request.answer, Some((_, 408 | 421 | 429 | 503)));
        if promised && request.once && !request.runs.is_empty() {
            found.push(Violation::RanThoughRefused { request: *number });
        }
    }
    found
}

/// The service that a client's request was meant for, whether it got there or not.
fn asked_service(request: &RequestSeen) -> Option<&str> {
    let written = request.written.first().map(|(_, service)| service.as_str());
    let by_ask = match &request.ask {
        Ask { model: Some(_), .. } => Some(site::LLM),
        Ask { host, .. } if host == site::HOST => Some(site::WEB),
        _ => None,
    };
    written.or(by_ask)
}

/// Arrivals beyond the first of each request, by service and window, against the requests that clients sent for it.
fn repeats(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut repeats: BTreeMap<&str, Vec<Millis>> = BTreeMap::new();
    let mut requests: BTreeMap<&str, Vec<Millis>> = BTreeMap::new();
    for request in witness.requests.values() {
        if let Some(service) = asked_service(request) {
            requests.entry(service).or_default().push(request.at);
        }
        for (at, service) in request.written.iter().skip(1) {
            repeats.entry(service).or_default().push(*at);
        }
    }
    let mut found = Vec::new();
    for (service, mut repeats) in repeats {
        repeats.sort_unstable();
        let requests = requests.get(service).map(Vec::as_slice).unwrap_or_default();
        for end in &repeats {
            let in_window = |at: &&Millis, end: Millis| **at <= end && **at + bounds.retry_window > end;
            let count = repeats.iter().filter(|at| in_window(at, *end)).count();
            let windows =
                [0, bounds.retry_window / 2, bounds.retry_window].map(|back| end.saturating_sub(back));
            let most = windows.map(|end| requests.iter().filter(|at| in_window(at, end)).count());
            let most = most.into_iter().max().unwrap_or_default();
            let allowed = bounds.retry_ratio * most as f64 + bounds.retry_slack;
            if count as f64 > allowed {
                found.push(Violation::Budget {
                    service: service.to_owned(),
                    at: *end,
                    repeats: count,
                    allowed,
                });
            }
        }
    }
    found
}

fn orders(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut last: BTreeMap<&ServerId, &OrderSeen> = BTreeMap::new();
    let healed = |order: &OrderSeen| {
        let moments = witness.healed.get(&order.from).into_iter().flatten();
        moments.into_iter().any(|at| (*at..=at + FREEZE_SLACK).contains(&order.at))
    };
    for order in witness.orders.iter().filter(|order| !healed(order)) {
        let Some(before) = last.insert(&order.server, order) else { continue };
        let another = before.holder != order.holder || before.from != order.from;
        if order.token < before.token || (another && order.token == before.token) {
            found.push(Violation::Fences { before: before.clone(), after: order.clone() });
        }
        if another && order.at - before.at < bounds.lease {
            found.push(Violation::Turns { before: before.clone(), after: order.clone() });
        }
    }
    found
}

fn loads(witness: &Witness, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    let window_s = bounds.origin_window as f64 / 1_000.0;
    let allowed = bounds.load_per_s * window_s * bounds.origin_overshoot + LOADS_BEYOND;
    for (at, _) in &witness.loads {
        let in_window = |other: &&(Millis, String)| other.0 <= *at && other.0 + bounds.origin_window > *at;
        let count = witness.loads.iter().filter(in_window).count();
        if count as f64 > allowed {
            found.push(Violation::Ceiling { at: *at, loads: count });
        }
    }
    found.extend(witness.overflows.iter().map(|(at, server, what)| Violation::Overflow {
        at: *at,
        server: server.clone(),
        what: what.clone(),
    }));
    found
}
