//! Random histories on the pure cores.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shaletrail_registry::catalogue::{Catalogue, Command, Outcome, Refused, MOST_LEFT};
use shaletrail_registry::duties::{Duties, DutyCommand, DutyOutcome, Gone};
use shaletrail_registry::leases::Leases;
use shaletrail_registry_protocol::duty::{Candidate, Why};
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

/// A client's list, kept by what it is told.
fn follow(mut known: BTreeMap<String, Entry>, told: &List) -> BTreeMap<String, Entry> {
    if told.full {
        known.clear();
    }
    for entry in &told.servers {
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
    fn changes_since_any_version_give_the_whole_list(commands in prop::collection::vec(command(), 1..80)) {
        let mut list = Catalogue::default();
        let mut pictures = vec![(0, BTreeMap::new())];
        for command in commands {
            let before = list.version();
            let outcome = list.apply(command.clone());
            prop_assert!(list.version() == before || list.version() == before + 1);
            if let Outcome::Done { version } = outcome {
                prop_assert!(version <= list.version());
                prop_assert_eq!(list.apply(command), Outcome::Done { version }, "twice is once");
            }
            let whole = follow(BTreeMap::new(), &list.whole());
            if list.version() != before {
                pictures.push((list.version(), whole.clone()));
            } else {
                prop_assert_eq!(&pictures.last().expect("the first").1, &whole, "a version is one state");
            }
            for (version, known) in &pictures {
                let told = list.since(*version).expect("a version that was told");
                prop_assert_eq!(follow(known.clone(), &told), whole.clone());
            }
            prop_assert!(list.since(list.version() + 1).is_none());
            let kept = serde_json::to_string(&list.keep()).expect("JSON");
            let again = Catalogue::kept(serde_json::from_str(&kept).expect("its own form"));
            prop_assert_eq!(&again, &list, "a snapshot is the same list");
        }
    }

    #[test]
    fn no_lease_ends_early_and_no_list_is_emptied(
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
        let mut leases = Leases::begin(share);
        let mut gone: Vec<(Duration, usize)> = Vec::new();
        for tick in 0..400u64 {
            let now = Duration::from_millis(tick * 100);
            for (n, from) in silent_from.iter().enumerate() {
                if now < Duration::from_secs(*from) {
                    leases.renew(&format!("s{n}"), Stamp::default(), &list, now);
                }
            }
            let due = leases.look(&list, now);
            for (id, _) in &due.expire {
                let n: usize = id[1..].parse().expect("a number");
                prop_assert!(now >= Duration::from_secs(silent_from[n]).saturating_sub(Duration::from_millis(100)) + lease);
            }
            let most = ((all as f64 * share) as usize).max(1);
            if !due.expire.is_empty() {
                gone.push((now, due.expire.len()));
                let recent = gone.iter().filter(|(at, _)| now - *at < lease).map(|(_, n)| n).sum::<usize>();
                prop_assert!(recent <= most, "{recent} of {all} within one lease, {most} may");
            }
            list.apply(Command::Expire { silent: due.expire });
            prop_assert!(!list.is_empty());
        }
    }
}

#[test]
fn lives_of_one_id_are_told_apart() {
    let mut list = Catalogue::default();
    let done = |outcome: Outcome| matches!(outcome, Outcome::Done { .. });
    let stale = |outcome: Outcome| matches!(outcome, Outcome::Refused(Refused::Stale { .. }));
    assert!(done(list.apply(register("a", 1, State::Active, 100, 0))));
    let old = Stamp { started_ms: 99, incarnation: 7 };
    assert!(stale(list.apply(register("a", 2, State::Active, 99, 7))));
    assert!(stale(list.apply(Command::Leaving { id: "a".into(), stamp: old })));
    assert!(stale(list.apply(Command::Remove { id: "a".into(), stamp: old })));
    let own = Stamp { started_ms: 100, incarnation: 0 };
    assert!(done(list.apply(Command::Leaving { id: "a".into(), stamp: own })));
    let late = list.apply(register("a", 1, State::Active, 100, 0));
    assert_eq!(late, Outcome::Refused(Refused::Leaving), "a late repeat calls nobody back");
    assert!(done(list.apply(Command::Remove { id: "a".into(), stamp: own })));
    assert_eq!(list.apply(register("a", 1, State::Active, 100, 0)), Outcome::Refused(Refused::Leaving));
    assert!(done(list.apply(register("a", 1, State::Active, 100, 1))), "the next life comes");
    // Expired, not gone by its word: the same life may come back.
    let version = list.version();
    list.apply(Command::Expire { silent: vec![("a".into(), version)] });
    assert!(list.is_empty() && done(list.apply(register("a", 1, State::Active, 100, 1))));
    // Whoever has registered since it was seen silent stays.
    list.apply(Command::Expire { silent: vec![("a".into(), version)] });
    assert_eq!(list.len(), 1);
}

#[test]
fn those_that_left_are_forgotten_within_a_bound() {
    let mut list = Catalogue::default();
    for n in 0..3 * MOST_LEFT as u64 {
        let id = format!("s{n}");
        list.apply(register(&id, 1, State::Active, 0, 0));
        if n >= 10 {
            list.apply(Command::Remove { id, stamp: Stamp::default() });
        }
    }
    let kept = serde_json::to_value(list.keep()).expect("JSON");
    assert!(kept["held"].as_array().expect("entries").len() <= MOST_LEFT + 10);
    assert!(list.since(15).expect("told").full, "what is forgotten is made up for by the whole list");
    let recent = list.since(list.version() - 1).expect("told");
    assert!(!recent.full && recent.servers.len() == 1);
    let ids: BTreeSet<_> = list.whole().servers.into_iter().map(|entry| entry.id).collect();
    assert_eq!(ids.len(), 10);
}

#[test]
fn a_new_leader_gives_everybody_a_full_lease() {
    let mut list = Catalogue::default();
    for n in 0..10 {
        let entry = entry(&format!("s{n}"), 1, State::Active, 0);
        list.apply(Command::Register { entry, stamp: Stamp::default(), lease: Some(Duration::from_secs(3)) });
    }
    let mut leases = Leases::begin(1.0);
    for ms in (50_000..53_000).step_by(100) {
        let due = leases.look(&list, Duration::from_millis(ms));
        assert_eq!((due.expire.len(), due.held), (0, 0), "{ms}");
    }
    // All silent is a cut, whatever the share: nobody goes until an operator has looked.
    assert_eq!(leases.look(&list, Duration::from_millis(53_000)).held, 10);
    leases.confirm(4);
    assert_eq!(leases.look(&list, Duration::from_millis(53_100)).expire.len(), 4);
}

fn duty_command() -> impl Strategy<Value = DutyCommand> {
    let name = (0..2u8).prop_map(|n| format!("d{n}"));
    let who = (0..4u64, 0..2u64).prop_map(|(n, life)| Candidate { id: format!("c{n}"), life });
    (name, who, 0..12u8, 0..12u64, 0..3u64).prop_map(|(name, who, what, fence, expect)| match what {
        0..=3 => DutyCommand::Acquire { name, who, lease: Duration::from_secs(5), at_ms: fence },
        4 => DutyCommand::Release { name, who, why: Why::Released, at_ms: fence },
        5 => DutyCommand::Lapse { gone: vec![Gone { name, who, fence: 0 }], at_ms: fence },
        6 | 7 => DutyCommand::Lapse { gone: vec![Gone { name, who, fence }], at_ms: fence },
        8 => DutyCommand::Transfer { name, fence, to: Some(who.id) },
        9 => DutyCommand::Transfer { name, fence, to: None },
        10 => DutyCommand::Checkpoint { name, fence, expect, data: format!("{fence}") },
        _ => DutyCommand::Remove { name },
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn tenures_follow_each_other_with_growing_fences_and_every_call_may_come_twice(
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
            let once = duties.clone();
            let again = duties.apply(command.clone());
            if outcome == DutyOutcome::Done || matches!(outcome, DutyOutcome::Kept(_)) {
                prop_assert_eq!(&duties, &once, "twice is once: {:?}", command);
                prop_assert_eq!(outcome, again);
            } else {
                prop_assert_eq!(&duties, &once, "a refusal changes nothing");
            }
            for name in ["d0", "d1"] {
                let Some(duty) = duties.show(name) else { continue };
                let Some(holder) = duty.holder else { continue };
                match holders.get(name) {
                    Some((fence, id)) if *fence == duty.fence => prop_assert_eq!(id, &holder),
                    _ => {
                        prop_assert!(duty.fence > newest, "{} after {newest}", duty.fence);
                        prop_assert!(!duties.is_quiet(), "nothing is granted before the settling");
                        newest = duty.fence;
                        holders.insert(name.into(), (duty.fence, holder));
                    }
                }
                let old = duty.fence - 1;
                prop_assert!(duties.guard(name, duty.fence).is_ok() && duties.guard(name, old).is_err());
            }
            for n in 0..4u64 {
                for life in 0..2 {
                    let who = Candidate { id: format!("c{n}"), life };
                    for name in ["d0", "d1"] {
                        let standing = duties.standing(name, &who);
                        prop_assert!(standing.is_none_or(|s| s.holds == (s.fence > 0) && (!s.holds || s.before == 0)));
                    }
                }
            }
            let kept = serde_json::to_string(&duties).expect("JSON");
            let read: Duties = serde_json::from_str(&kept).expect("its own form");
            prop_assert_eq!(&read, &duties, "a snapshot is the same duties");
        }
    }
}
