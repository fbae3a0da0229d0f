//! Invariants of the configuration: the outcomes of changes, what reads return, and the versions that edges apply.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use super::{InvariantBounds, Violation, RESTORATION_GRACE};
use crate::fixtures::{self, version_of};
use crate::observer::{Observer, Outcome, SentChange};

/// How long a response may be in flight beyond `convergenceMs`, in milliseconds. A partition that heals soon delays responses
/// by up to that.
const MAX_DELIVERY_DELAY: Millis = 1_000;

/// Checks the outcomes of changes against each other, and reads against these outcomes.
pub(super) fn check_changes_and_reads(observer: &Observer) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut acknowledged: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (number, change) in &observer.changes {
        if change.acknowledged_at().is_some() {
            acknowledged.entry(change.base).or_default().push(*number);
        }
        let rejected = change.outcomes.iter().any(|(_, outcome)| *outcome != Outcome::Acknowledged);
        let applied_somewhere =
            observer.applied_configs.iter().any(|applied| applied.change == Some(*number));
        let read =
            observer.reads.iter().any(|read| fixtures::change_in_document(&read.document) == Some(*number));
        if rejected && (change.acknowledged_at().is_some() || applied_somewhere || read) {
            violations.push(Violation::RejectedAfterAcceptance { change: *number });
        } else if change.outcomes.iter().any(|(_, outcome)| *outcome == Outcome::Invalid) {
            violations.push(Violation::ValidChangeRejected { change: *number });
        }
    }
    let conflicting = acknowledged.into_iter().filter(|(_, changes)| changes.len() > 1);
    violations
        .extend(conflicting.map(|(base, changes)| Violation::ConflictingAcknowledgements { base, changes }));
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

/// Checks that each conflict response names a version that can have been current: not the base of the rejected change, and no
/// older than a version that was acknowledged or read before.
pub(super) fn check_conflict_responses(observer: &Observer) -> Vec<Violation> {
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

/// Checks that no acknowledged change was lost: none may have a version between that of a later accepted change and the version
/// that this change is based on.
pub(super) fn check_lost_changes(observer: &Observer) -> Vec<Violation> {
    let acknowledged: BTreeMap<u64, u64> = observer
        .changes
        .iter()
        .filter(|(_, change)| change.acknowledged_at().is_some())
        .map(|(number, change)| (change.version, *number))
        .collect();
    let applied_somewhere = observer.applied_configs.iter().filter_map(|applied| applied.change);
    let read = observer.reads.iter().filter_map(|read| fixtures::change_in_document(&read.document));
    let accepted: BTreeSet<u64> =
        acknowledged.values().copied().chain(applied_somewhere).chain(read).collect();
    let mut violations = Vec::new();
    for later in accepted {
        let Some(SentChange { base, version, .. }) = observer.changes.get(&later) else { continue };
        if base + 1 < *version {
            // Two acknowledged changes of one base version are reported as conflicting already.
            let of_one_base = |other: &u64| {
                acknowledged.get(version) == Some(&later) && observer.changes[other].base == *base
            };
            let between = acknowledged.range(base + 1..*version).filter(|(_, change)| !of_one_base(change));
            violations.extend(between.map(|(_, change)| Violation::LostChange { change: *change, later }));
        }
    }
    violations
}

/// Whether two configurations have the same items in any order.
fn is_equivalent(left: &Value, right: &Value) -> bool {
    let normalized = |document: &Value| {
        let mut document = document.clone();
        for list in ["routes", "services"] {
            if let Some(items) = document.get_mut(list).and_then(Value::as_array_mut) {
                items.sort_by_key(|item| item["name"].to_string());
            }
        }
        document
    };
    normalized(left) == normalized(right)
}

/// Checks the versions that edges applied: each process applies increasing versions, a version has the same contents
/// everywhere, and it was not superseded long before.
pub(super) fn check_applied_configs(observer: &Observer, bounds: &InvariantBounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut newest: BTreeMap<(NodeId, u64), u64> = BTreeMap::new();
    let mut versions: BTreeMap<u64, Option<u64>> = BTreeMap::new();
    for applied in &observer.applied_configs {
        let Incarnation(incarnation) = applied.incarnation;
        let before = newest.insert((applied.edge, incarnation), applied.version).unwrap_or_default();
        if applied.version <= before {
            violations.push(Violation::VersionRegression {
                edge: applied.edge,
                from: before,
                to: applied.version,
            });
        }
        let known_before = applied.at.saturating_sub(bounds.convergence + MAX_DELIVERY_DELAY);
        let acknowledged = observer.acknowledged_version(known_before);
        let restored = observer.restorations.get(&applied.edge).is_some_and(|moments| {
            moments.iter().any(|at| (*at..=at + RESTORATION_GRACE).contains(&applied.at))
        });
        if applied.version < acknowledged && !restored {
            let (edge, version) = (applied.edge, applied.version);
            violations.push(Violation::SupersededConfigApplied { edge, version, acknowledged });
        }
        let change = versions.entry(applied.version).or_insert(applied.change);
        let sent = applied.change.and_then(|change| observer.changes.get(&change));
        if *change != applied.change || sent.is_none_or(|sent| sent.version != applied.version) {
            violations.push(Violation::DivergentVersion { version: applied.version });
        }
    }
    violations
}
