//! Property tests with random histories of commands, on the code without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shaletrail_registry::catalogue::{Catalogue, Command, Outcome, Rejection, MAX_TOMBSTONES};
use shaletrail_registry::duties::{Duties, DutyCommand, DutyOutcome, LapsedCandidate};
use shaletrail_registry::leases::Leases;
use shaletrail_registry_protocol::duty::{Candidate, HandoverReason};
use shaletrail_registry_protocol::{Entry, List, Stamp, State};

fn entry(id: &str, weight: u64, state: State, started_ms: u64) -> Entry {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let (zone, kind) = (String::new(), String::new());
    Entry { id: id.into(), addr, zone, kind, cell: 0, state, weight: weight as f64, started_ms }
}

fn register(id: &str, weight: u64, state: State, started_ms: u64, incarnation: u64) -> Command {
    let stamp = Stamp { started_ms, incarnation };
    Command::Register { entry: entry(id, weight, state, started_ms), stamp, lease: None }
}

fn command() -> impl Strategy<Value = Command> {
    let id = (0..6u8).prop_map(|n| format!("s{n}"));
    let stamp = (0..3u64, 0..2u64);
    (id, stamp, 0..4u64, 0..8u8, 0..40u64).prop_map(|(id, (started_ms, incarnation), weight, what, seen)| {
        let stamp = Stamp { started_ms, incarnation };
        match what {
            0..=3 => register(&id, weight, State::Active, started_ms, incarnation),
            4 => register(&id, weight, State::Leaving, started_ms, incarnation),
            5 => Command::Leaving { id, stamp },
            6 => Command::Remove { id, stamp },
            _ => Command::Expire { silent: vec![(id.clone(), seen), (format!("{id}x"), seen)] },
        }
    })
}

/// The list of a client that applies what it is told.
fn follow(mut known: BTreeMap<String, Entry>, changes: &List) -> BTreeMap<String, Entry> {
    if changes.full {
        known.clear();
    }
    for entry in &changes.servers {
        if entry.state == State::Left {
            known.remove(&entry.id);
        } else {
            known.insert(entry.id.clone(), entry.clone());
        }
    }
    known
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn changes_since_any_version_give_the_full_list(commands in prop::collection::vec(command(), 1..80)) {
        let mut list = Catalogue::default();
        let mut versions = vec![(0, BTreeMap::new())];
        for command in commands {
            let before = list.version();
            let outcome = list.apply(command.clone());
            prop_assert!(list.version() == before || list.version() == before + 1);
            if let Outcome::Done { version } = outcome {
                prop_assert!(version <= list.version());
                prop_assert_eq!(list.apply(command), Outcome::Done { version }, "a repeated command changes nothing");
            }
            let current = follow(BTreeMap::new(), &list.full_list());
            if list.version() != before {
                versions.push((list.version(), current.clone()));
            } else {
                prop_assert_eq!(&versions.last().expect("the first").1, &current, "a version identifies one state");
            }
            for (version, known) in &versions {
                let changes = list.changes_since(*version).expect("a reported version");
                prop_assert_eq!(follow(known.clone(), &changes), current.clone());
            }
            prop_assert!(list.changes_since(list.version() + 1).is_none());
            let stored = serde_json::to_string(&list.snapshot()).expect("JSON");
            let again = Catalogue::from_snapshot(serde_json::from_str(&stored).expect("the snapshot is readable"));
            prop_assert_eq!(&again, &list, "a snapshot restores the same list");
        }
    }

    #[test]
    fn no_lease_expires_early_and_the_list_never_becomes_empty(
        silent_from in prop::collection::vec(0..30u64, 2..24),
        share in 1..60u64,
    ) {
        let lease = Duration::from_secs(3);
        let share = share as f64 / 100.0;
        let mut list = Catalogue::default();
        for n in 0..silent_from.len() {
            let entry = entry(&format!("s{n}"), 1, State::Active, 0);
            list.apply(Command::Register { entry, stamp: Stamp::default(), lease: Some(lease) });
        }
        let all = silent_from.len();
        let mut leases = Leases::new(share);
        let mut expired: Vec<(Duration, usize)> = Vec::new();
        for tick in 0..400u64 {
            let now = Duration::from_millis(tick * 100);
            for (n, from) in silent_from.iter().enumerate() {
                if now < Duration::from_secs(*from) {
                    leases.renew(&format!("s{n}"), Stamp::default(), &list, now);
                }
            }
            let check = leases.check(&list, now);
            for (id, _) in &check.expire {
                let n: usize = id[1..].parse().expect("a number");
                prop_assert!(now >= Duration::from_secs(silent_from[n]).saturating_sub(Duration::from_millis(100)) + lease);
            }
            let most = ((all as f64 * share) as usize).max(1);
            if !check.expire.is_empty() {
                expired.push((now, check.expire.len()));
                let recent = expired.iter().filter(|(at, _)| now - *at < lease).map(|(_, n)| n).sum::<usize>();
                prop_assert!(recent <= most, "{recent} of {all} expired within one lease, at most {most} may");
            }
            list.apply(Command::Expire { silent: check.expire });
            prop_assert!(!list.is_empty());
        }
    }
}

#[test]
fn restarts_under_one_id_are_distinguished() {
    let mut list = Catalogue::default();
    let done = |outcome: Outcome| matches!(outcome, Outcome::Done { .. });
    let stale = |outcome: Outcome| matches!(outcome, Outcome::Refused(Rejection::Stale { .. }));
    assert!(done(list.apply(register("a", 1, State::Active, 100, 0))));
    let old = Stamp { started_ms: 99, incarnation: 7 };
    assert!(stale(list.apply(register("a", 2, State::Active, 99, 7))));
    assert!(stale(list.apply(Command::Leaving { id: "a".into(), stamp: old })));
    assert!(stale(list.apply(Command::Remove { id: "a".into(), stamp: old })));
    let own = Stamp { started_ms: 100, incarnation: 0 };
    assert!(done(list.apply(Command::Leaving { id: "a".into(), stamp: own })));
    let late = list.apply(register("a", 1, State::Active, 100, 0));
    assert_eq!(late, Outcome::Refused(Rejection::Leaving), "a delayed repeat does not bring the entry back");
    assert!(done(list.apply(Command::Remove { id: "a".into(), stamp: own })));
    assert_eq!(list.apply(register("a", 1, State::Active, 100, 0)), Outcome::Refused(Rejection::Leaving));
    assert!(done(list.apply(register("a", 1, State::Active, 100, 1))), "the next incarnation may register");
    // It expired and was not removed on request, so the same process may come back.
    let version = list.version();
    list.apply(Command::Expire { silent: vec![("a".into(), version)] });
    assert!(list.is_empty() && done(list.apply(register("a", 1, State::Active, 100, 1))));
    // An instance that has registered since it was found silent stays.
    list.apply(Command::Expire { silent: vec![("a".into(), version)] });
    assert_eq!(list.len(), 1);
}

#[test]
fn tombstones_are_limited() {
    let mut list = Catalogue::default();
    for n in 0..3 * MAX_TOMBSTONES as u64 {
        let id = format!("s{n}");
        list.apply(register(&id, 1, State::Active, 0, 0));
        if n >= 10 {
            list.apply(Command::Remove { id, stamp: Stamp::default() });
        }
    }
    let stored = serde_json::to_value(list.snapshot()).expect("JSON");
    assert!(stored["held"].as_array().expect("entries").len() <= MAX_TOMBSTONES + 10);
    assert!(
        list.changes_since(15).expect("a known version").full,
        "a watch from a forgotten version gets the full list"
    );
    let recent = list.changes_since(list.version() - 1).expect("a known version");
    assert!(!recent.full && recent.servers.len() == 1);
    let ids: BTreeSet<_> = list.full_list().servers.into_iter().map(|entry| entry.id).collect();
    assert_eq!(ids.len(), 10);
}

#[test]
fn a_new_leader_gives_every_entry_a_full_lease() {
    let mut list = Catalogue::default();
    for n in 0..10 {
        let entry = entry(&format!("s{n}"), 1, State::Active, 0);
        list.apply(Command::Register { entry, stamp: Stamp::default(), lease: Some(Duration::from_secs(3)) });
    }
    let mut leases = Leases::new(1.0);
    for ms in (50_000..53_000).step_by(100) {
        let check = leases.check(&list, Duration::from_millis(ms));
        assert_eq!((check.expire.len(), check.withheld), (0, 0), "{ms}");
    }
    // If all entries are silent, that is a network partition, whatever the share: none expires until an
    // operator confirms it.
    assert_eq!(leases.check(&list, Duration::from_millis(53_000)).withheld, 10);
    leases.confirm(4);
    assert_eq!(leases.check(&list, Duration::from_millis(53_100)).expire.len(), 4);
}

fn duty_command() -> impl Strategy<Value = DutyCommand> {
    let name = (0..2u8).prop_map(|n| format!("d{n}"));
    let who = (0..4u64, 0..2u64).prop_map(|(n, incarnation)| Candidate { id: format!("c{n}"), incarnation });
    (name, who, 0..12u8, 0..12u64, 0..3u64).prop_map(|(name, who, what, fence, expect)| match what {
        0..=3 => DutyCommand::Acquire { name, who, lease: Duration::from_secs(5), at_ms: fence },
        4 => DutyCommand::Release { name, who, why: HandoverReason::Released, at_ms: fence },
        5 => DutyCommand::Lapse { lapsed: vec![LapsedCandidate { name, who, fence: 0 }], at_ms: fence },
        6 | 7 => DutyCommand::Lapse { lapsed: vec![LapsedCandidate { name, who, fence }], at_ms: fence },
        8 => DutyCommand::Transfer { name, fence, to: Some(who.id) },
        9 => DutyCommand::Transfer { name, fence, to: None },
        10 => DutyCommand::Checkpoint { name, fence, expect, data: format!("{fence}") },
        _ => DutyCommand::Remove { name },
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn fencing_numbers_grow_and_commands_are_idempotent(
        commands in prop::collection::vec(duty_command(), 1..60),
        restored in 0..60usize,
    ) {
        let mut duties = Duties::default();
        let mut newest = 0;
        let mut holders: BTreeMap<String, (u64, String)> = BTreeMap::new();
        for (n, command) in commands.into_iter().enumerate() {
            if n == restored {
                duties = duties.restored(1000, 500);
                newest = newest.max(1000);
            }
            let outcome = duties.apply(command.clone());
            let after_first = duties.clone();
            let again = duties.apply(command.clone());
            if outcome == DutyOutcome::Done || matches!(outcome, DutyOutcome::Kept(_)) {
                prop_assert_eq!(&duties, &after_first, "a repeated command changes nothing: {:?}", command);
                prop_assert_eq!(outcome, again);
            } else {
                prop_assert_eq!(&duties, &after_first, "a refusal changes nothing");
            }
            for name in ["d0", "d1"] {
                let Some(duty) = duties.describe(name) else { continue };
                let Some(holder) = duty.holder else { continue };
                match holders.get(name) {
                    Some((fence, id)) if *fence == duty.fence => prop_assert_eq!(id, &holder),
                    _ => {
                        prop_assert!(duty.fence > newest, "{} after {newest}", duty.fence);
                        prop_assert!(!duties.are_grants_paused(), "nothing is granted during the grace period");
                        newest = duty.fence;
                        holders.insert(name.into(), (duty.fence, holder));
                    }
                }
                let old = duty.fence - 1;
                prop_assert!(duties.check_fence(name, duty.fence).is_ok() && duties.check_fence(name, old).is_err());
            }
            for n in 0..4u64 {
                for incarnation in 0..2 {
                    let who = Candidate { id: format!("c{n}"), incarnation };
                    for name in ["d0", "d1"] {
                        let status = duties.status(name, &who);
                        prop_assert!(status.is_none_or(|s| s.holds == (s.fence > 0) && (!s.holds || s.candidates_ahead == 0)));
                    }
                }
            }
            let stored = serde_json::to_string(&duties).expect("JSON");
            let read: Duties = serde_json::from_str(&stored).expect("the snapshot is readable");
            prop_assert_eq!(&read, &duties, "a snapshot restores the same duties");
        }
    }
}
