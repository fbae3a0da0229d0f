//! Unit tests of the balancer through its public interface: placement, life of a request, rules, and
//! regressions.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use shaletrail_policy::*;

fn fleet(n: u64) -> Vec<RosterEntry> {
    (1..=n).map(entry).collect()
}

fn homes(entries: Vec<RosterEntry>, seed: u64) -> Vec<ServerId> {
    let mut node = Node::with_roster(settings(), seed, entries);
    (0..2000).map(|n| node.home(n, n * 7919)).collect()
}

// ---- Placement ----

#[test]
fn nodes_agree_on_homes_whatever_their_seeds_and_roster_order() {
    let mut reversed = fleet(10);
    reversed.reverse();
    assert_eq!(homes(fleet(10), 1), homes(reversed, 2));
}

#[test]
fn a_removed_server_moves_its_own_keys_only() {
    let (before, after) = (homes(fleet(10), 1), homes(fleet(9), 1));
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    assert!(moved > 0);
    assert!(before.iter().zip(&after).all(|(b, a)| b == a || *b == id(10)));
    assert!(after.iter().all(|a| *a != id(10)));
}

#[test]
fn keys_of_a_removed_server_spread_over_the_others() {
    let (before, after) = (homes(fleet(10), 1), homes(fleet(9), 1));
    let new_homes: BTreeSet<_> =
        before.iter().zip(after).filter(|(b, _)| **b == id(10)).map(|(_, a)| a).collect();
    assert!(new_homes.len() >= 7, "{} new homes", new_homes.len());
}

#[test]
fn homes_are_even_and_follow_weights() {
    let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
    homes(fleet(10), 1).into_iter().for_each(|h| *counts.entry(h).or_default() += 1);
    assert!(counts.len() == 10 && counts.values().all(|&c| (100..340).contains(&c)), "{counts:?}");

    let mut entries = fleet(10);
    entries[0].weight = 300.0;
    entries[1..].iter_mut().for_each(|e| e.weight = 100.0);
    let mut node = Node::with_roster(Settings { weights: WeightSource::Nominal, ..settings() }, 1, entries);
    let heavy = (0..2000).filter(|&n| node.home(n, n * 7919) == id(1)).count();
    assert!((380..620).contains(&heavy), "expected a quarter of 2000, got {heavy}");
}

#[test]
fn a_full_home_overflows_by_key_to_many_servers_and_no_server_passes_its_cap() {
    let mut node = Node::with_roster(settings(), 1, fleet(10));
    let home = node.home(1, 1);
    let mut load: BTreeMap<ServerId, usize> = BTreeMap::new();
    let mut overflow = BTreeSet::new();
    // Distinct keys with the same home server; none of the requests is answered.
    let keys: Vec<u64> = (2..4000).filter(|&k| node.home(k, k) == home).take(28).collect();
    for (n, key) in keys.into_iter().enumerate() {
        for server in sent(&node.request(read(10_000 + n as u64, key))) {
            *load.entry(server.clone()).or_default() += 1;
            if server != home {
                overflow.insert(server);
            }
        }
    }
    // max(floor, ceil((1 + 0.7) * 28 / 10)), where the floor is 8 shared by two nodes.
    assert_eq!(load[&home], 5, "{load:?}");
    assert!(load.values().all(|&n| n <= 5), "{load:?}");
    assert!(overflow.len() >= 5, "overflow to {} servers", overflow.len());
}

/// Guards against an overload of one server by a hot key: 33 nodes used to fill the key's first server before
/// its second, all in step.
#[test]
fn a_hot_key_is_spread_over_servers_and_other_keys_stay_at_home() {
    let mut node = Node::with_roster(settings(), 1, fleet(10));
    let (mut hot, mut cool) = (BTreeMap::new(), BTreeSet::new());
    for n in 0..600 {
        // Three in ten requests are for one key, one in a hundred for another.
        let key = if n % 10 < 3 {
            42
        } else if n % 100 == 5 {
            7
        } else {
            1000 + n
        };
        let server = node.home(n, key);
        node.advance(0.05);
        match key {
            42 if n > 100 => *hot.entry(server).or_insert(0) += 1,
            7 => drop(cool.insert(server)),
            _ => {}
        }
    }
    // 0.3 of all requests is three times the mean of ten servers, and a key may add 0.6 of the mean at each.
    assert!((4..=6).contains(&hot.len()), "{hot:?}");
    assert!(hot.values().all(|&n| n < 75), "{hot:?} of 150");
    assert_eq!(cool.len(), 1);
}

#[test]
fn a_request_without_a_key_or_with_an_unknown_class_is_sent() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    assert_eq!(sent(&node.request(NewRequest { key: None, ..read(1, 0) })).len(), 1);
    assert_eq!(sent(&node.request(NewRequest { class: None, ..read(2, 0) })).len(), 1);
    // A request of unknown class is never run twice.
    let after = node.outcome(2, Status::TimedOut, None);
    assert!(sent(&after).is_empty() && failed(&after));
}

#[test]
fn without_servers_a_request_is_held_for_part_of_its_target_and_then_refused() {
    let mut node = Node::new(settings(), 1);
    assert!(sent(&node.request(read(1, 1))).is_empty());
    assert!(refused(&node.advance(0.5)));

    let mut node = Node::new(settings(), 1);
    node.request(read(1, 1));
    let actions = node.event(Event::Roster(RosterUpdate::Full(fleet(2))));
    assert_eq!(sent(&actions).len(), 1);
}

// ---- Rule 1: every request is answered in time ----

/// Guards against refusals after the client's own time is over, where that is shorter than the latency
/// target.
#[test]
fn a_request_is_held_for_at_most_part_of_its_clients_time() {
    let mut node = Node::with_roster(settings(), 1, vec![]);
    assert!(!refused(&node.request(NewRequest { time_left: 0.2, ..read(1, 1) })));
    assert!(refused(&node.advance(0.06)), "a quarter of its time has passed, but not of the latency target");
}

/// Guards against late refusals: housekeeping used to run every 50 ms whatever the latency targets were.
#[test]
fn a_request_with_a_short_latency_target_is_refused_in_time() {
    for target in [0.04, 0.1, 0.5, 10.0] {
        let mut settings = settings();
        settings.classes.iter_mut().for_each(|class| class.target = target);
        let mut node = Node::new(settings, 1);
        let tick = |actions: &[Action]| {
            let mut ticks = actions.iter().rev().filter_map(|action| match action {
                Action::SetTimer { token: TimerToken(0), after } => Some(*after),
                _ => None,
            });
            ticks.next().expect("the housekeeping timer is set again")
        };
        let mut after = tick(&node.event(Event::Roster(RosterUpdate::Full(vec![]))));
        assert!(after <= 0.05, "{after}");
        let asked = node.now;
        assert!(!refused(&node.request(NewRequest { time_left: 2.0 * target, ..read(1, 1) })));
        loop {
            node.now += after;
            let actions = node.event(Event::Timer(TimerToken(0)));
            if refused(&actions) {
                break;
            }
            after = tick(&actions);
        }
        assert!(node.now - asked <= 0.5 * target + 1e-9, "{target}: refused after {}", node.now - asked);
    }
}

#[test]
fn every_request_is_answered_before_its_deadline_even_if_nothing_answers() {
    for class in [READ, KEYED, UNSAFE] {
        let mut node = Node::with_roster(settings(), 1, fleet(4));
        node.request(NewRequest { class: Some(class), ..read(1, 1) });
        node.now += 1.0 - 0.01;
        let actions = node.event(Event::Timer(TimerToken(2)));
        assert!(refused(&actions) || failed(&actions), "{class:?}");
        assert!(sent(&actions).is_empty());
        // After a late batch the time-out and the timer arrive when the request has ended; both are ignored.
        node.now += 0.02;
        let late = node.outcome(1, Status::TimedOut, None);
        assert!(!refused(&late) && !failed(&late) && sent(&late).is_empty());
    }
}

#[test]
fn events_for_unknown_or_ended_requests_are_ignored() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    assert!(node.event(Event::Withdrawn(RequestId(7))).is_empty());
    assert!(node.event(Event::Timer(TimerToken(77))).is_empty());
    assert!(node.event(Event::Probed { server: id(200), status: Status::Success }).is_empty());
    assert!(node.event(stream_started(7)).is_empty());
    let outcome = Outcome {
        request: RequestId(7),
        attempt: AttemptId(0),
        status: Status::TimedOut,
        elapsed: 0.1,
        finished: false,
        note: None,
    };
    assert!(node.event(Event::Outcome(outcome.clone())).is_empty());
    node.request(read(1, 1));
    node.serve(1);
    let again = Outcome { request: RequestId(1), ..outcome };
    assert!(node.event(Event::Outcome(again)).is_empty());
}

#[test]
fn a_started_stream_is_left_alone() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    node.request(read(1, 1));
    node.event(stream_started(1));
    node.now += 5.0;
    assert!(node.event(Event::Timer(TimerToken(2))).is_empty());
}

fn stream_started(request: u64) -> Event {
    Event::StreamStarted { request: RequestId(request), attempt: AttemptId(0), note: Some(CacheNote::Hit) }
}

/// Guards against counting the transfer of long answers as load, and their length as latency.
#[test]
fn a_long_answer_neither_counts_in_flight_nor_indicates_crowding() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    let home = node.home(0, 1);
    let keys: Vec<u64> = (0..4000).filter(|&key| node.home(100 + key, key) == home).take(30).collect();
    for (n, key) in keys.iter().enumerate() {
        let n = 10_000 + n as u64;
        assert_eq!(sent(&node.request(read(n, *key))), std::slice::from_ref(&home));
        node.now += 0.02;
        node.event(stream_started(n));
    }
    node.now += 20.0;
    for n in 0..keys.len() as u64 {
        assert_eq!(node.serve(10_000 + n), []);
    }
    assert_eq!(sent(&node.request(read(20_000, keys[0]))), [home]);
}

#[test]
fn an_answer_that_breaks_before_it_reaches_the_client_is_retried_in_time() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    for (n, again) in [(1, true), (2, false)] {
        node.request(read(n, n));
        node.event(stream_started(n));
        node.now += if again { 0.1 } else { 2.0 };
        let then = node.outcome(n, Status::Broken, None);
        assert_eq!(sent(&then).len(), usize::from(again));
        assert_eq!(then.iter().any(|a| matches!(a, Action::Refuse { .. })), !again);
    }
}

#[test]
fn the_time_of_a_long_request_starts_with_its_last_byte() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let mut node = Node::with_roster(aside, 1, fleet(2).into_iter().chain([origin()]).collect());
    let write = |n| NewRequest {
        class: Some(KEYED),
        write: true,
        body_pending: true,
        time_left: 600.0,
        ..read(n, n)
    };
    // As many writes as would make a read wait at the origin; while their bodies arrive, none counts in
    // flight.
    for n in 1..=30 {
        assert_eq!(sent(&node.request(write(n))), [id(998)]);
    }
    node.request(read(100, 100));
    let miss = node.outcome(100, Status::Absent, Some(CacheNote::Miss));
    assert_eq!(sent(&miss), [id(998)]);
    node.advance(20.0);
    let time_left = 1.0;
    let told = node.event(Event::BodyReceived { request: RequestId(1), time_left });
    let after = told.iter().find_map(|action| match action {
        Action::SetTimer { token: TimerToken(2), after } => Some(*after),
        _ => None,
    });
    assert!(after.is_some_and(|after| after <= time_left), "{told:?}");
    node.now += after.unwrap_or(0.0);
    let ended = node.event(Event::Timer(TimerToken(2)));
    assert!(ended.contains(&Action::Fail(RequestId(1))), "may have run: {ended:?}");
    assert!(
        !node.advance(1.0).iter().any(|a| matches!(a, Action::Fail(_) | Action::Refuse { .. })),
        "the bodies of the others are still arriving"
    );
}

#[test]
fn a_body_that_is_not_kept_is_sent_once_and_refused_only_if_it_never_ran() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let origins = [origin(), RosterEntry { server: id(999), ..origin() }];
    for (status, refused) in
        [(Status::Unreachable, true), (Status::Broken, false), (Status::Overloaded, true)]
    {
        for spent in [false, true] {
            let mut node = Node::with_roster(aside.clone(), 1, origins.to_vec());
            let new = NewRequest {
                class: Some(UNSAFE),
                write: true,
                body_pending: true,
                time_left: 60.0,
                ..read(1, 1)
            };
            node.request(new);
            if spent {
                node.event(Event::BodyConsumed(RequestId(1)));
            }
            let then = node.outcome(1, status, None);
            assert_eq!(sent(&then).len(), usize::from(!spent && refused), "{status:?}");
            if spent {
                assert_eq!(then.iter().any(|a| matches!(a, Action::Refuse { .. })), refused, "{status:?}");
                assert_eq!(then.contains(&Action::Fail(RequestId(1))), !refused, "{status:?}");
            }
        }
    }
}

// ---- Rule 2: nothing runs twice that must not ----

const ALL: [Status; 10] = [
    Status::Success,
    Status::Error,
    Status::Overloaded,
    Status::TimedOut,
    Status::Unreachable,
    Status::Broken,
    Status::Cancelled,
    Status::NotSent,
    Status::Absent,
    Status::Unknown,
];

#[test]
fn every_effect_is_retried_and_refused_by_the_rules_for_every_status() {
    for status in ALL {
        for class in [READ, KEYED, UNSAFE] {
            let mut node = Node::with_roster(settings(), 1, fleet(6));
            let first = sent(&node.request(NewRequest { class: Some(class), ..read(1, 5) }))[0].clone();
            node.now += 0.01;
            let actions = node.outcome(1, status, None);
            let again = sent(&actions);
            if status == Status::Success {
                assert!(again.is_empty() && !refused(&actions) && !failed(&actions));
            } else if status.may_have_run() && class == UNSAFE {
                assert!(again.is_empty() && !refused(&actions), "{status:?} {actions:?}");
            } else if status.may_have_run() && class == KEYED {
                // Even and odd servers are in different zones, and the group of the class is the zone.
                let zone = |s: &ServerId| s.0.trim_end_matches(":80").ends_with(['0', '2', '4', '6', '8']);
                assert!(again.iter().all(|s| zone(s) == zone(&first)), "{status:?} {again:?}");
                assert!(!refused(&actions), "{status:?}");
            }
            assert!(again.len() <= 1);
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_its_window() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    node.request(NewRequest { class: Some(KEYED), time_left: 2.0, ..read(1, 5) });
    node.now += 1.2;
    let actions = node.outcome(1, Status::Broken, None);
    assert!(sent(&actions).is_empty());
}

// ---- Rule 3: nothing is sent to servers that drain or have left ----

#[test]
fn nothing_is_sent_to_a_server_that_has_just_started_to_drain() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut node = Node::with_roster(settings(), 1, fleet(4));
        let home = node.home(1, 9);
        let n = (1..=4).find(|&n| id(n) == home).unwrap();
        node.event(Event::Roster(RosterUpdate::Delta(vec![RosterEntry { state, ..entry(n) }])));
        for request in 2..40 {
            assert!(sent(&node.request(read(request, 9))).iter().all(|s| *s != home));
        }
    }
}

#[test]
fn a_server_missing_from_a_full_roster_has_left() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    node.event(Event::Roster(RosterUpdate::Full(fleet(3))));
    assert!((1..200).all(|n| node.home(n, n) != id(4)));
}

#[test]
fn an_empty_roster_sends_nothing_and_a_new_one_serves_again() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    node.event(Event::Roster(RosterUpdate::Full(vec![])));
    assert!(sent(&node.request(read(1, 1))).is_empty());
    node.event(Event::Roster(RosterUpdate::Full(fleet(4))));
    assert_eq!(sent(&node.request(read(2, 2))).len(), 1);
}

// ---- Rule 4: servers that have just started are not overloaded ----

/// Requests `keys` keys and returns those that go to server 1. Housekeeping runs after every 20 requests, so
/// that allowances refill.
fn at_once(node: &mut Node, from: u64, keys: u64) -> Vec<u64> {
    let mut owned = Vec::new();
    for n in 0..keys {
        if n.is_multiple_of(20) {
            node.event(Event::Timer(TimerToken(0)));
        }
        if node.home(from + n, n) == id(1) {
            owned.push(n);
        }
    }
    owned
}

#[test]
fn a_cold_server_takes_part_of_its_keys_and_gradually_more() {
    let owned = |age: Seconds| {
        let mut entries = fleet(8);
        entries[0].started = Some(100.0 - age);
        let mut node = Node::with_roster(settings(), 1, entries);
        at_once(&mut node, 0, 3000).len()
    };
    let (cold, half, warm) = (owned(0.0), owned(4.0), owned(9.0));
    assert!(cold > 0 && cold * 3 < warm, "{cold} of {warm}");
    assert!(cold < half && half < warm, "{cold} {half} {warm}");
}

#[test]
fn a_cold_server_takes_no_overflow() {
    let mut entries = fleet(4);
    entries[0].started = Some(100.0);
    let mut node = Node::with_roster(settings(), 1, entries.clone());
    let cold_home: BTreeSet<u64> = (0..4000).filter(|&n| node.home(n, n) == id(1)).collect();
    let mut node = Node::with_roster(settings(), 1, entries);
    for n in (0..600).filter(|n| !cold_home.contains(n)) {
        assert!(sent(&node.request(read(n, n))).iter().all(|s| *s != id(1)), "key {n}");
    }
}

// ---- Rules 5 and 6: retry budget, closing connections on a drain ----

/// Guards against a token bucket as the budget: one that fills in quiet times admits more retries in one
/// window than the rule allows.
#[test]
fn retries_keep_to_the_budget_in_any_window() {
    let mut stated = settings();
    stated.guarantees.budget = Some(Budget { span: 5.0, free: 2.0, ratio: 0.1 });
    let mut node = Node::with_roster(stated, 1, fleet(8));
    let (mut taken, mut extra) = (Vec::new(), Vec::new());
    for n in 0..600 {
        // A busy start, a pause in which the window empties, and a burst of failures.
        let failing = n >= 300;
        node.now += if n == 300 { 4.0 } else { 0.01 };
        taken.push(node.now);
        let mut actions = node.request(read(n, n));
        while !sent(&actions).is_empty() {
            node.now += 0.001;
            let status = if failing { Status::Overloaded } else { Status::Success };
            actions = node.outcome(n, status, Some(CacheNote::Hit));
            if !sent(&actions).is_empty() {
                extra.push(node.now);
                let within = |times: &[f64]| times.iter().filter(|&&t| t > node.now - 5.0).count() as f64;
                assert!(within(&extra) <= 2.0 + 0.1 * within(&taken), "request {n}");
            }
        }
    }
    assert!(extra.len() > 20, "{} further attempts", extra.len());
}

#[test]
fn an_attempt_after_absent_is_outside_the_budget() {
    let mut aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    aside.guarantees.budget = Some(Budget { span: 5.0, free: 0.0, ratio: 0.0 });
    let mut entries = fleet(4);
    entries.push(origin());
    let mut node = Node::with_roster(aside, 1, entries);
    node.request(read(1, 3));
    assert_eq!(sent(&node.outcome(1, Status::Absent, None)), [origin().server]);
    let after = node.outcome(1, Status::Overloaded, None);
    assert!(sent(&after).is_empty() && refused(&after), "no budget is left for a retry");
}

#[test]
fn connections_to_a_draining_server_are_closed_at_the_notice_and_after_a_late_outcome() {
    let mut closing = settings();
    closing.guarantees.close_on_drain = Some(1.0);
    let closes = |actions: &[Action], n| actions.contains(&Action::CloseIdle(id(n)));
    let mut node = Node::with_roster(closing, 1, fleet(4));
    let key = (0..400).find(|&n| node.home(n, n) == id(1)).unwrap();
    node.request(NewRequest { time_left: 1.9, ..read(900, key) });
    let drain = RosterEntry { state: ServerState::Draining, ..entry(1) };
    assert!(closes(&node.event(Event::Roster(RosterUpdate::Delta(vec![drain.clone()]))), 1));
    // With answers in order, a connection may become idle unnoticed, so closing is repeated while it is
    // listed.
    assert!(closes(&node.advance(0.4), 1));
    assert!(closes(&node.event(Event::Roster(RosterUpdate::Delta(vec![drain]))), 1), "a repeated notice");
    assert!(
        closes(&node.event(Event::Roster(RosterUpdate::Full(fleet(4)[1..].to_vec()))), 1),
        "it left the roster"
    );
    node.advance(1.0);
    assert!(closes(&node.serve(900), 1), "an outcome after it left the roster");
    assert!(!closes(&node.advance(2.0), 2), "connections to other servers stay open");
}

// ---- Discovery ----

fn on_request_settings() -> Settings {
    Settings { membership: Membership::OnRequest, ..settings() }
}

fn subscribe_calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Subscribe)).count()
}

#[test]
fn a_node_subscribes_at_once_and_repeats_failed_calls() {
    let mut node = Node::new(on_request_settings(), 1);
    assert_eq!(subscribe_calls(&node.event(Event::Roster(RosterUpdate::Cached(fleet(4))))), 1);
    for _ in 0..5 {
        node.event(Event::Roster(RosterUpdate::Failed));
        assert_eq!(subscribe_calls(&node.advance(3.0)), 1);
    }
    node.event(Event::Roster(RosterUpdate::Delta(vec![])));
    assert_eq!(subscribe_calls(&node.advance(60.0)), 0, "a subscribed node does not subscribe again");
    node.event(Event::Roster(RosterUpdate::Failed));
    assert_eq!(subscribe_calls(&node.advance(3.0)), 1, "a broken subscription is renewed");
}

#[test]
fn an_unanswered_call_is_repeated_within_ask_every() {
    let mut node = Node::new(on_request_settings(), 1);
    node.event(Event::Roster(RosterUpdate::Cached(fleet(4))));
    assert!(subscribe_calls(&node.advance(9.0)) >= 1);
}

/// After a failed call, the roster that a node holds is valid for four times `ask_every`, so the back-off
/// must scale with it.
#[test]
fn failed_calls_are_repeated_within_the_configured_time() {
    for ask_every in [0.3, 1.0, 10.0] {
        let mut settings = on_request_settings();
        settings.guarantees.ask_every = ask_every;
        let mut node = Node::new(settings, 1);
        node.event(Event::Roster(RosterUpdate::Cached(fleet(4))));
        for _ in 0..20 {
            node.event(Event::Roster(RosterUpdate::Failed));
            assert!(subscribe_calls(&node.advance(2.0 * ask_every)) >= 1, "{ask_every}");
        }
    }
}

// ---- Regressions: failures of servers, connections and the origin ----

/// Serves reads in 50 ms each, so that the node learns a hit latency to pause by.
fn learn_hit_latency(node: &mut Node) {
    for n in 500_000..500_100 {
        node.request(read(n, n));
        node.now += 0.05;
        node.serve(n);
    }
}

/// Two failures eject a server for some seconds.
#[test]
fn a_failing_server_is_ejected_and_tried_again_later() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(n, n) == id(1)).take(20).collect();
    learn_hit_latency(&mut node);
    let sent_to_first = |node: &mut Node, from: u64, status| {
        let mut count = 0;
        for (n, &key) in keys.iter().enumerate() {
            let n = from + n as u64;
            let server = sent(&node.request(read(n, key)));
            node.now += 0.05;
            count += usize::from(server == [id(1)]);
            if server == [id(1)] && status != Status::Success {
                node.outcome(n, status, None);
            }
            if node.sends.contains_key(&RequestId(n)) {
                node.serve(n);
            }
        }
        count
    };
    let failing = sent_to_first(&mut node, 1000, Status::Broken);
    assert!((2..12).contains(&failing), "{failing} of 20 sent to a server that breaks");
    for round in 0..20 {
        node.advance(1.0);
        sent_to_first(&mut node, 2000 + 100 * round, Status::Success);
    }
    assert_eq!(sent_to_first(&mut node, 9000, Status::Success), 20);
}

/// Guards against ejecting healthy servers for idle connections that were dropped unnoticed. A node that used
/// a server every few seconds met a dead connection on nearly each send, and the resets sent the server's
/// keys to servers that had not cached them.
#[test]
fn a_connection_idle_for_as_long_as_a_dead_one_was_is_closed_before_the_next_send() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    let key = (0..400).find(|&n| node.home(n, n) == id(1)).unwrap();
    let closes = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::CloseIdle(_)));
    node.advance(2.0);
    assert!(!closes(&node.request(read(1000, key))), "no connection is suspected yet");
    node.now += 0.01;
    let again = node.outcome(1000, Status::Broken, None);
    assert_eq!(sent(&again), [id(1)], "the server did not fail, so the retry goes to it");
    node.serve(1000);
    node.advance(0.3);
    assert!(!closes(&node.request(read(1001, key))), "a short idle time is not suspicious");
    node.serve(1001);
    node.advance(3.0);
    let actions = node.request(read(1002, key));
    let close = actions.iter().position(|a| *a == Action::CloseIdle(id(1)));
    let send = actions.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(close.is_some() && close < send, "{actions:?}");
    node.serve(1002);
    node.advance(60.0);
    assert!(!closes(&node.request(read(1003, key))), "the suspicion has faded");
}

/// The same without a reset: an attempt on an idle connection gets no answer, while later ones do.
#[test]
fn a_time_out_on_an_idle_connection_of_an_answering_server_closes_idle_connections() {
    let mut node = Node::with_roster(settings(), 1, fleet(1));
    node.home(1, 1);
    node.advance(1.0);
    node.request(read(2, 1));
    node.now += 0.1;
    node.request(read(3, 1));
    node.serve(3);
    node.now += 0.8;
    let actions = node.outcome(2, Status::TimedOut, None);
    assert!(actions.contains(&Action::CloseIdle(id(1))), "{actions:?}");
}

/// Guards against holding connections that others need: two thirds of all attempts got no connection while
/// each node held one that it seldom used.
#[test]
fn idle_connections_are_closed_where_connections_are_scarce() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    let closed = |node: &mut Node, n| {
        node.request(read(n, n));
        node.serve(n).iter().any(|a| matches!(a, Action::CloseIdle(_)))
    };
    assert!(!closed(&mut node, 1));
    for n in 100..110 {
        node.request(read(n, n));
        node.outcome(n, Status::Unreachable, None);
        node.serve(n);
    }
    assert!(closed(&mut node, 2));
    assert!(!(200..260).all(|n| closed(&mut node, n)), "connections are kept once they are no longer scarce");
}

/// Guards against a fetch limit that shuts. Where caches don't report hits, only errors used to count as
/// fetches, and a few in a thousand shut the limit.
#[test]
fn rare_errors_do_not_shut_the_fetch_limit_where_caches_report_no_hits() {
    let mut node = Node::with_roster(settings(), 1, fleet(8));
    let mut held = 0;
    for n in 0..3000 {
        held += usize::from(sent(&node.request(read(n, n))).is_empty());
        node.advance(0.05);
        if node.sends.contains_key(&RequestId(n)) {
            node.outcome(n, if n % 100 == 0 { Status::Error } else { Status::Success }, None);
        }
    }
    assert!(held < 30, "{held} of 3000 held");
}

/// Work is heavy-tailed: an answer that takes as long as its hinted work does not indicate crowding.
#[test]
fn heavy_requests_do_not_count_as_crowding() {
    let at_once = |work| {
        let mut node = Node::with_roster(settings(), 1, fleet(1));
        for n in 0..40 {
            node.request(NewRequest { work, ..read(n, 1) });
            node.now += 0.4;
            if node.sends.contains_key(&RequestId(n)) {
                node.serve(n);
            }
        }
        (100..140).filter(|&n| !sent(&node.request(read(n, 1))).is_empty()).count()
    };
    let (told, untold) = (at_once(Some(0.3)), at_once(None));
    assert!(told > untold, "{told} at once with hints, {untold} without");
}

/// Guards against nodes that together never leave an overloaded server idle, so that it can't recover: each
/// of 36 nodes learnt of it only by its own time-outs. A server with two time-outs, seen by any nodes, is
/// ejected.
#[test]
fn a_server_with_two_time_outs_is_ejected_and_peers_are_notified() {
    let mut with_peers = settings();
    with_peers.limits.peer_messages = true;
    let mut node = Node::with_roster(with_peers, 1, fleet(6));
    learn_hit_latency(&mut node);
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(n, n) == id(1)).take(3).collect();
    node.request(read(1000, keys[0]));
    node.now += 0.9;
    let told = Action::NotifyPeers(id(1).0.as_bytes().to_vec());
    assert!(node.outcome(1000, Status::TimedOut, None).contains(&told));
    node.advance(0.5);
    assert_eq!(node.home(2000, keys[1]), id(1), "a single time-out does not eject");
    // Another node saw a time-out too; messages that are not the address of a known server are ignored.
    for bytes in [id(1).0.as_bytes().to_vec(), b"\xff\xfe".to_vec(), b"nobody".to_vec()] {
        node.event(Event::Message { from: 3, bytes });
    }
    node.advance(1.0);
    assert!(sent(&node.request(read(3000, keys[1]))).iter().all(|s| *s != id(1)));
    assert_eq!(node.balancer.server_counts(), ServerCounts { listed: 6, avoided: 1 });
    node.advance(6.0);
    assert_eq!(node.home(4000, keys[2]), id(1), "it is used again after its ejection");
    assert_eq!(node.balancer.server_counts(), ServerCounts { listed: 6, avoided: 0 });
}

/// Guards against ejections by impatient clients. Time-outs of clients that wait for less than an answer
/// takes and retry at once used to count as dead servers; all servers, the origin included, stayed ejected.
#[test]
fn impatient_clients_do_not_get_servers_ejected() {
    let mut with_peers = settings();
    with_peers.cache = CacheMode::Aside { origin_kind: "origin".into() };
    with_peers.limits.peer_messages = true;
    let mut node = Node::with_roster(with_peers, 1, fleet(6).into_iter().chain([origin()]).collect());
    learn_hit_latency(&mut node);
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(1_000 + n, n) == id(1)).collect();
    let mut told = 0;
    for (n, &key) in (10_000..10_400).zip(keys.iter().cycle()) {
        let first = node.request(NewRequest { time_left: 0.06, ..read(n, key) });
        assert_eq!(sent(&first).len(), 1, "request {n} is sent to a server");
        // Every other request gets as far as the origin.
        let at_origin = n % 2 == 0 && {
            let next = node.outcome(n, Status::Absent, None);
            assert_eq!(sent(&next), [id(998)], "request {n} is sent to the origin");
            true
        };
        node.now += 0.05;
        let actions = node.outcome(n, Status::TimedOut, None);
        told += actions.iter().filter(|a| matches!(a, Action::NotifyPeers(_))).count();
        if !at_origin {
            node.advance(0.05);
        }
    }
    assert_eq!(told, 0);
    assert_eq!(node.home(20_000, keys[0]), id(1), "a patient client reads the key from its home server");
}

/// Guards against lost attempts that count as crowding. One attempt in a hundred got no answer at any server,
/// idle ones included, and each lowered the server's limit; the origin's fell until hardly a miss was
/// fetched.
#[test]
fn a_lost_attempt_does_not_lower_the_limit_of_a_server_that_answers_later_ones() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let mut node = Node::with_roster(aside, 1, fleet(6).into_iter().chain([origin()]).collect());
    let fetch = |node: &mut Node, n: u64| {
        node.request(NewRequest { time_left: 0.9, ..read(n, n) });
        sent(&node.outcome(n, Status::Absent, None)) == [id(998)]
    };
    for n in (1_000..1_080).step_by(2) {
        assert!(fetch(&mut node, n), "request {n} is sent to the origin");
        node.now += 0.01;
        assert!(fetch(&mut node, n + 1), "request {} is sent to the origin", n + 1);
        node.now += 0.02;
        node.outcome(n + 1, Status::Success, Some(CacheNote::Miss));
        node.advance(0.9);
        node.outcome(n, Status::TimedOut, None);
    }
    let together = (2_000..2_006).filter(|&n| fetch(&mut node, n)).count();
    assert_eq!(together, 6, "the limit allows as many fetches as before");
}

/// Guards against ejections by connection resets. On some days each tenth connection was reset, at every
/// server alike; two resets of a server within two seconds ejected it at all nodes, a third of the fleet at
/// any time.
#[test]
fn connection_resets_do_not_eject_a_server_that_answers() {
    let mut with_peers = settings();
    with_peers.limits.peer_messages = true;
    let mut node = Node::with_roster(with_peers, 1, fleet(6));
    learn_hit_latency(&mut node);
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(1_000 + n, n) == id(1)).collect();
    for (n, keys) in (2_000..).step_by(4).zip(keys.chunks_exact(4)).take(8) {
        for (n, &key) in (n..).zip(keys) {
            assert_eq!(sent(&node.request(read(n, key))), [id(1)], "request {n} goes to its home server");
            node.now += 0.01;
            let actions = if n % 4 == 0 { node.serve(n) } else { node.outcome(n, Status::Broken, None) };
            assert!(!actions.iter().any(|a| matches!(a, Action::NotifyPeers(_))), "{actions:?}");
        }
        (n + 1..n + 4).for_each(|n| _ = node.serve(n));
        node.advance(0.5);
    }
}

/// Guards against a request that waits for an attempt lost by its server until no time is left to retry.
#[test]
fn a_lost_attempt_is_cancelled_and_retried_while_there_is_time() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    learn_hit_latency(&mut node);
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(1_000 + n, n) == id(1)).take(2).collect();
    node.request(read(2_000, keys[0]));
    let cancel = Action::Cancel { request: RequestId(2_000), attempt: AttemptId(0) };
    assert!(!node.advance(0.4).contains(&cancel), "the server may be slow");
    node.request(read(2_001, keys[1]));
    node.now += 0.01;
    node.serve(2_001);
    assert!(node.advance(0.1).contains(&cancel), "the server has answered a later attempt");
    let again = node.outcome(2_000, Status::Cancelled, None);
    assert_eq!(sent(&again).len(), 1, "the request is retried");
    assert_ne!(sent(&again), [id(1)], "the retry goes elsewhere, as some servers lose all of one class");
    node.serve(2_000);
    // A key that is not cached is fetched through its server, which takes longer.
    let fetched = (500..900).find(|&n| sent(&node.request(read(4_000 + n, n))) == [id(1)]).unwrap();
    node.now += 0.01;
    node.request(read(2_002, keys[1]));
    node.now += 0.01;
    node.serve(2_002);
    let cancel = Action::Cancel { request: RequestId(4_000 + fetched), attempt: AttemptId(0) };
    assert!(!node.advance(0.4).contains(&cancel));
    // A request that must not run twice waits for its answer.
    node.request(NewRequest { class: Some(UNSAFE), ..read(3_000, keys[0]) });
    node.now += 0.01;
    node.request(read(3_001, keys[1]));
    node.now += 0.01;
    node.serve(3_001);
    assert!(!node.advance(0.4).iter().any(|a| matches!(a, Action::Cancel { .. })));
}

/// Some cache servers answered no request of one class for ten seconds, while they answered all other
/// classes.
#[test]
fn a_class_that_a_server_keeps_losing_goes_elsewhere_for_a_while_and_other_classes_stay() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    learn_hit_latency(&mut node);
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(1_000 + n, n) == id(1)).take(4).collect();
    let other = |n, key| NewRequest { class: Some(KEYED), ..read(n, key) };
    for (n, &key) in (2_000..).step_by(10).zip(&keys[..2]) {
        assert_eq!(sent(&node.request(read(n, key))), [id(1)], "a single lost attempt does not count");
        node.now += 0.01;
        node.request(other(n + 1, keys[2]));
        node.now += 0.01;
        node.serve(n + 1);
        assert!(node.advance(0.5).iter().any(|a| matches!(a, Action::Cancel { .. })));
        node.outcome(n, Status::Cancelled, None);
        node.serve(n);
    }
    assert_ne!(node.home(3_000, keys[3]), id(1), "two in a row count against the server");
    assert_eq!(sent(&node.request(other(3_001, keys[3]))), [id(1)], "the server still gets other classes");
    node.serve(3_001);
    node.advance(3.0);
    assert_eq!(node.home(3_002, keys[3]), id(1), "the server is tried again");
}

/// Guards against errors without effect in aside mode: three of fifteen cache servers that answered 500 to
/// every read kept their full share of the attempts, and retries exhausted the budget.
#[test]
fn a_cache_server_that_answers_errors_is_skipped_unless_the_class_fails_everywhere() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let mut entries = fleet(6);
    entries.push(origin());
    let mut node = Node::with_roster(aside.clone(), 1, entries.clone());
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(1_000 + n, n) == id(1)).take(4).collect();
    for n in 0..2 {
        assert_eq!(sent(&node.request(read(2_000 + n, keys[n as usize]))), [id(1)]);
        assert_ne!(sent(&node.outcome(2_000 + n, Status::Error, None)), [id(1)]);
        node.serve(2_000 + n);
    }
    assert_ne!(node.home(3_000, keys[2]), id(1));
    node.advance(3.0);
    assert_eq!(node.home(3_001, keys[2]), id(1), "the server is tried again");

    let mut node = Node::with_roster(aside, 1, entries);
    for n in 0..200 {
        node.request(read(4_000 + n, n));
        for _ in 0..3 {
            node.outcome(4_000 + n, Status::Error, None);
        }
        node.advance(0.005);
    }
    assert_eq!(node.home(5_000, keys[3]), id(1), "all servers fail the class, so keys stay at their homes");
}

/// Guards against refusals while the origin has room: where a class failed at all cache servers, retries ran
/// into the default budget and a tenth of the requests was refused.
#[test]
fn after_repeated_cache_errors_the_origin_is_next_and_only_a_configured_budget_counts_it() {
    for stated in [false, true] {
        let mut aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
        aside.guarantees.budget = stated.then_some(Budget { span: 10.0, free: 5.0, ratio: 0.1 });
        let mut entries = fleet(6);
        entries.push(origin());
        let mut node = Node::with_roster(aside, 1, entries);
        let mut served = 0;
        for n in 0..100 {
            node.request(read(2_000 + n, n));
            let next = sent(&node.outcome(2_000 + n, Status::Error, None));
            served += usize::from(next == [origin().server]);
            node.serve(2_000 + n);
            node.advance(0.005);
        }
        // A server's first error does not count.
        assert_eq!(served > 60, !stated, "{served}");
    }
}

/// Guards against cancelled attempts that count as answers: they hid that a server was silent after clients
/// left.
#[test]
fn a_cancelled_attempt_is_no_sign_of_life() {
    let mut with_peers = settings();
    with_peers.limits.peer_messages = true;
    let mut node = Node::with_roster(with_peers, 1, fleet(6));
    learn_hit_latency(&mut node);
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(1_000 + n, n) == id(1)).take(2).collect();
    node.request(read(2_000, keys[0]));
    node.now += 0.1;
    node.request(read(2_001, keys[1]));
    node.now += 0.1;
    node.event(Event::Withdrawn(RequestId(2_001)));
    node.outcome(2_001, Status::Cancelled, None);
    node.now += 0.7;
    let told = Action::NotifyPeers(id(1).0.as_bytes().to_vec());
    assert!(node.outcome(2_000, Status::TimedOut, None).contains(&told));
}

/// With two attempts in all, the second one must not go to another cache server that lacks the key, when the
/// first got no connection.
#[test]
fn in_aside_mode_the_last_attempt_of_a_read_goes_to_the_origin() {
    let mut aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    aside.limits.max_attempts = 2;
    let mut entries = fleet(4);
    entries.push(origin());
    let mut node = Node::with_roster(aside.clone(), 1, entries.clone());
    node.request(read(1, 3));
    assert_eq!(sent(&node.outcome(1, Status::Unreachable, None)), [origin().server]);
    aside.limits.max_attempts = 3;
    let mut node = Node::with_roster(aside, 1, entries);
    node.request(read(1, 3));
    assert_ne!(sent(&node.outcome(1, Status::Unreachable, None)), [origin().server]);
}

/// Guards against a cap floor of one: with tens of nodes, two reads that met at their home server by chance
/// jumped into misses.
#[test]
fn in_aside_mode_reads_that_meet_at_their_home_stay_there() {
    let together = |cache| {
        let mut node = Node::with_roster(Settings { balancers: 8, cache, ..settings() }, 1, fleet(6));
        let keys: Vec<u64> = (0..400).filter(|&n| node.home(n, n) == id(1)).take(2).collect();
        (0..2)
            .flat_map(|n| sent(&node.request(read(900 + n, keys[n as usize]))))
            .filter(|s| *s == id(1))
            .count()
    };
    assert_eq!(together(CacheMode::Aside { origin_kind: "origin".into() }), 2);
    assert_eq!(together(CacheMode::Through), 1);
}

/// Without peer messages, each node acts only on what it sees itself.
#[test]
fn peers_are_not_notified_where_messages_are_not_allowed() {
    let mut node = Node::with_roster(settings(), 1, fleet(1));
    node.request(read(1, 1));
    node.now += 0.9;
    assert!(!node.outcome(1, Status::TimedOut, None).iter().any(|a| matches!(a, Action::NotifyPeers(_))));
}

/// Errors of all servers at once come from the origin: ejecting servers for them only adds misses.
#[test]
fn errors_of_the_whole_fleet_eject_few_servers_but_errors_of_one_server_eject_it() {
    let ejections = |bad: &dyn Fn(&ServerId) -> bool| {
        let mut node = Node::with_roster(settings(), 1, fleet(6));
        let mut taken_out = 0;
        for n in 0..3000 {
            let mut actions = node.request(read(n, n % 100));
            node.now += 0.01;
            while let [server, ..] = &sent(&actions)[..] {
                let status = if bad(server) && n > 300 { Status::Error } else { Status::Success };
                actions = node.outcome(n, status, Some(CacheNote::Hit));
                let out = |a: &&Action| matches!(a, Action::Log(t) if t.contains("left alone"));
                taken_out += actions.iter().filter(out).count();
            }
        }
        taken_out
    };
    let (all, one) = (ejections(&|_| true), ejections(&|s| *s == id(1)));
    assert!(all <= 6 && one >= 1, "{all} {one}");
}

/// Guards against jumps that slow down a slow fleet. When a fifth of the fleet died and the rest got slow,
/// two thirds of all reads jumped into misses, each of which occupied its server until the origin answered.
#[test]
fn while_a_through_fleet_is_slow_a_server_at_its_limit_holds_requests() {
    let sent_of_four = |cache| {
        let mut node = Node::with_roster(Settings { cache, ..settings() }, 1, fleet(6));
        let keys: Vec<u64> = (0..400).filter(|&n| node.home(n, n) == id(1)).collect();
        for n in 1000..1072 {
            let key = if n < 1060 { n } else { keys[n as usize % 4] };
            node.request(read(n, key));
            node.now += if n < 1060 { 0.2 } else { 0.3 };
            node.serve(n);
        }
        (0..4).filter(|&n| !sent(&node.request(read(2000 + n, keys[n as usize]))).is_empty()).count()
    };
    assert_eq!(sent_of_four(CacheMode::Through), 2);
    assert_eq!(sent_of_four(CacheMode::Aside { origin_kind: "origin".into() }), 4);
}

#[test]
fn reads_of_one_key_share_a_fetch() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    assert_eq!(sent(&node.request(read(1, 3))).len(), 1);
    assert!(sent(&node.request(read(2, 3))).is_empty());
    let released = node.outcome(1, Status::Success, Some(CacheNote::Miss));
    assert_eq!(sent(&released).len(), 1);
    // The key is cached now, so reads no longer wait for one another.
    assert_eq!(sent(&node.request(read(3, 3))).len(), 1);
}

#[test]
fn failed_fetches_limit_reads_of_uncached_keys_and_not_of_cached_ones() {
    let mut node = Node::with_roster(settings(), 1, fleet(8));
    for n in 0..50 {
        node.home(n, n);
    }
    for n in 1000..1400 {
        if !sent(&node.request(read(n, n))).is_empty() {
            node.now += 0.002;
            node.outcome(n, Status::Error, Some(CacheNote::Miss));
        }
        node.now += 0.02;
    }
    let unknown = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(unknown < 10, "{unknown} sent");
    assert_eq!(sent(&node.request(read(3000, 1))).len(), 1);
}

#[test]
fn retries_are_limited_by_the_default_budget() {
    let mut node = Node::with_roster(settings(), 1, fleet(8));
    let mut repeats = 0;
    for n in 0..1000 {
        let mut actions = node.request(read(n, n));
        while !sent(&actions).is_empty() {
            node.now += 0.01;
            actions = node.outcome(n, Status::Overloaded, None);
            repeats += sent(&actions).len();
        }
    }
    assert!((20..=125).contains(&repeats), "{repeats} repeats of 1000 requests");
}

#[test]
fn in_aside_mode_a_miss_and_a_write_go_to_the_origin_and_reads_share_the_fetch() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let mut entries = fleet(4);
    entries.push(origin());
    let mut node = Node::with_roster(aside, 1, entries);
    let home = sent(&node.request(read(1, 3)))[0].clone();
    assert_ne!(home, origin().server);
    assert_eq!(sent(&node.request(NewRequest { write: true, ..read(9, 4) })), [origin().server]);
    assert_eq!(sent(&node.request(read(2, 3))).len(), 1);
    assert_eq!(sent(&node.outcome(1, Status::Absent, Some(CacheNote::Miss))), [origin().server]);
    assert!(sent(&node.outcome(2, Status::Absent, Some(CacheNote::Miss))).is_empty());
    // The second read asks its cache server again once the fetch is over.
    assert_eq!(sent(&node.serve(1)), [home]);
}

/// However a fetch ends, and whether or not its own client has time_left: the reads that wait for it go on, once,
/// except those whose client has left.
#[test]
fn reads_that_wait_for_a_fetch_go_on_however_it_ends() {
    let endings = [
        Status::Success,
        Status::Absent,
        Status::Error,
        Status::Overloaded,
        Status::Broken,
        Status::Unreachable,
        Status::TimedOut,
        Status::Cancelled,
        Status::NotSent,
    ];
    for (cancel, left) in [(true, true), (true, false), (false, true), (false, false)] {
        for ending in endings {
            let mut aside =
                Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
            aside.limits.cancel = cancel;
            let mut entries = fleet(4);
            entries.push(origin());
            let mut node = Node::with_roster(aside, 1, entries);
            for n in 1..=3 {
                node.request(read(n, 3));
            }
            let fetch = node.outcome(1, Status::Absent, Some(CacheNote::Miss));
            assert_eq!(sent(&fetch), [origin().server]);
            for n in 2..=3 {
                assert!(sent(&node.outcome(n, Status::Absent, Some(CacheNote::Miss))).is_empty());
            }
            assert!(node.event(Event::Withdrawn(RequestId(3))).is_empty(), "it had no attempt in flight");
            let withdrawn = if left { node.event(Event::Withdrawn(RequestId(1))) } else { Vec::new() };
            let called_off = withdrawn.iter().any(|action| matches!(action, Action::Cancel { .. }));
            assert_eq!(called_off, left && cancel);
            let mut after = node.outcome(1, ending, None);
            after.extend(node.advance(0.3));
            let went_on =
                |n| after.iter().any(|a| matches!(a, Action::Send { request, .. } if request.0 == n));
            assert!(went_on(2), "{ending:?}, cancel {cancel}, left {left}");
            assert_eq!(node.sends[&RequestId(2)].len(), 2, "{ending:?}, cancel {cancel}, left {left}");
            assert!(!went_on(3), "{ending:?}, cancel {cancel}, left {left}");
            assert!(!left || !went_on(1), "{ending:?}, cancel {cancel}, left {left}");
        }
    }
}

#[test]
fn a_tenant_over_its_quota_is_limited_first() {
    let tenants = ["a", "b"].map(|n| Tenant { name: n.into(), quota: 20.0 }).to_vec();
    let mut node = Node::with_roster(Settings { tenants, ..settings() }, 1, fleet(2));
    let mut served = [0; 2];
    for n in 0..60 {
        let tenant = usize::from(n % 6 == 0);
        let new = NewRequest { tenant: Some(TenantId(tenant)), ..read(n, n) };
        served[tenant] += sent(&node.request(new)).len();
        node.now += 0.001;
    }
    assert!(served[1] * 5 > served[0], "{served:?} of 50 and 10");
}

// ---- State ----

#[test]
fn invalid_settings_are_errors_that_name_the_value() {
    let bad = |change: &dyn Fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Balancer::new(s, 1).err().expect("an error").to_string()
    };
    assert!(bad(&|s| s.balancers = 0).contains("balancers"));
    assert!(bad(&|s| s.classes.clear()).contains("classes"));
    assert!(bad(&|s| s.guarantees.warmup_time = -1.0).contains("ramp"));
    assert!(bad(&|s| s.guarantees.cold_capacity = f64::NAN).contains("cold from"));
    assert!(bad(&|s| s.classes[0].deadline = 0.0).contains("read"));
}

/// Writes reach the origin too: while it fails, they must not keep it overloaded.
#[test]
fn while_the_origin_fails_writes_are_limited_too() {
    let mut node = Node::with_roster(settings(), 1, fleet(8));
    for n in 0..400 {
        if !sent(&node.request(read(n, n))).is_empty() {
            node.now += 0.002;
            node.outcome(n, Status::Error, Some(CacheNote::Miss));
        }
        node.now += 0.02;
    }
    let write = |n| NewRequest { class: Some(UNSAFE), write: true, ..read(n, n) };
    let writes = (2000..2060).filter(|&n| !sent(&node.request(write(n))).is_empty()).count();
    assert!((1..10).contains(&writes), "{writes} sent");
}

/// Where many nodes share an origin, each uses little of its limit. When the origin is slow, the limit must
/// be cut from what is in use, or it takes tens of cuts to have an effect.
#[test]
fn a_fetch_limit_far_above_what_is_in_flight_falls_fast() {
    let mut node = Node::with_roster(settings(), 1, fleet(8));
    for n in 0..25 {
        for m in 0..4 {
            node.request(read(n * 4 + m, n * 4 + m));
        }
        node.now += 0.9;
        for m in 0..4 {
            if node.sends.contains_key(&RequestId(n * 4 + m)) {
                node.outcome(n * 4 + m, Status::Success, Some(CacheNote::Miss));
            }
        }
    }
    let unknown = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(unknown <= 4, "{unknown} sent");
}

/// Guards against a fetch limit driven by the mean latency. Single fetches vary much: while half of them were
/// in time and half far too late, such a limit fell to nothing and refused most reads for twenty seconds.
#[test]
fn the_fetch_limit_stays_while_half_of_the_fetches_are_in_time() {
    let mut node = Node::with_roster(settings(), 1, fleet(16));
    for n in 0..300 {
        node.request(read(n, n));
        node.now += if n % 2 == 0 { 0.9 } else { 0.3 };
        node.outcome(n, Status::Success, Some(CacheNote::Miss));
    }
    let unknown = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(unknown > 25, "{unknown} sent");
}

/// Many nodes crowd a small server even with one request each.
#[test]
fn sends_to_a_server_that_keeps_rejecting_requests_are_paced() {
    let mut node = Node::with_roster(settings(), 1, fleet(1));
    let mut sends = 0;
    for n in 0..1000 {
        let actions = node.request(read(n, n));
        node.now += 0.005;
        if !sent(&actions).is_empty() {
            sends += 1;
            node.outcome(n, Status::Overloaded, None);
        }
    }
    assert!((2..60).contains(&sends), "{sends} sends in 5 s");
}

/// A restarted node has only its stored roster. It uses it, subscribes at once, and warms up a server from
/// its start time when that is reported later.
#[test]
fn a_restarted_node_uses_its_stored_roster_until_it_gets_updates() {
    let mut node = Node::new(on_request_settings(), 7);
    let first = node.event(Event::Roster(RosterUpdate::Cached(fleet(8))));
    assert_eq!(subscribe_calls(&first), 1);
    let owned = |node: &mut Node, from: u64| at_once(node, from, 2000).len();
    let before = owned(&mut node, 0);
    let started = RosterEntry { started: Some(99.0), ..entry(1) };
    let gone = RosterEntry { state: ServerState::Gone, ..entry(2) };
    node.event(Event::Roster(RosterUpdate::Delta(vec![started, gone])));
    let after = owned(&mut node, 10_000);
    assert!(after > 0 && after * 2 < before, "{after} of {before}");
    assert!((0..500).all(|n| node.home(20_000 + n, n) != id(2)));
}

/// A later start time means a new process, and clears the failures of the old one.
#[test]
fn a_restart_clears_the_failures_of_a_server() {
    let mut node = Node::with_roster(settings(), 1, fleet(6));
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(n, n) == id(1)).take(5).collect();
    learn_hit_latency(&mut node);
    for (n, &key) in keys.iter().enumerate() {
        node.request(read(1000 + n as u64, key));
        node.now += 0.1;
        node.outcome(1000 + n as u64, Status::Broken, None);
        node.serve(1000 + n as u64);
    }
    assert!(
        (0..60).filter(|&n| node.home(2000 + n, n) == id(1)).count() <= 2,
        "hardly any request is sent to it"
    );
    let started = RosterEntry { started: Some(node.now), ..entry(1) };
    node.event(Event::Roster(RosterUpdate::Delta(vec![started])));
    assert!(!at_once(&mut node, 3000, 400).is_empty());
}

/// Guards against overloading a server that has restarted: with hundreds of nodes that each send little,
/// popular keys with the same home pushed it over.
#[test]
fn popular_keys_from_many_nodes_do_not_overload_a_cold_server() {
    let mut other = Node::with_roster(settings(), 1, fleet(10));
    let keys: Vec<u64> = (0..4000).filter(|&n| other.home(n, n) == id(1)).take(60).collect();
    let asked: usize = (0..100)
        .map(|seed| {
            let mut node = Node::with_roster(Settings { balancers: 100, ..settings() }, seed, fleet(10));
            // Twenty reads per second of keys with the same home server, which then restarts.
            let mut second = |from: usize| {
                let step =
                    |n: usize| (node.home((from + n) as u64, keys[(from + n) % 60]), node.advance(0.05)).0;
                let asked = (0..20).map(step).filter(|server| *server == id(1)).count();
                if from == 80 {
                    let started = RosterEntry { started: Some(node.now), ..entry(1) };
                    node.event(Event::Roster(RosterUpdate::Delta(vec![started])));
                }
                asked
            };
            (0..6).map(|n| second(20 * n)).last().unwrap_or_default()
        })
        .sum();
    // Per second a warm server takes 2 of a node's 20 reads and a cold one a quarter of that; the rule allows
    // three times as much.
    assert!((1..=150).contains(&asked), "{asked} reads of 100 nodes");
}

/// With many nodes one request each is a crowd: a node's share of a server's limit is then below one.
#[test]
fn with_hundreds_of_nodes_sends_to_a_server_are_paced() {
    let mut node = Node::with_roster(Settings { balancers: 300, ..settings() }, 1, fleet(1));
    let sends = |node: &mut Node, n: u64| {
        let count = sent(&node.request(read(n, n))).len();
        if count == 1 {
            node.serve(n);
        }
        count
    };
    let at_once = (1..20).map(|n| sends(&mut node, n)).sum::<usize>();
    assert!((1..=6).contains(&at_once), "{at_once} of 20 sent, including the burst");
    node.advance(3.0);
    assert_eq!(sends(&mut node, 30), 1);
}

/// Guards against time-outs of silent servers that count against the origin: with 8 of 75 servers silent, two
/// thirds of all reads were refused.
#[test]
fn time_outs_of_a_silent_server_do_not_lower_the_fetch_limit() {
    let mut node = Node::with_roster(Settings { balancers: 10, ..settings() }, 1, fleet(8));
    let mut silent = 0;
    for n in 0..60 {
        let server = sent(&node.request(read(n, n)));
        node.advance(0.05);
        if server == [id(1)] {
            silent += 1;
            node.advance(0.9);
            node.outcome(n, Status::TimedOut, None);
        } else if !server.is_empty() {
            node.outcome(n, Status::Success, Some(CacheNote::Hit));
        }
    }
    assert!(silent > 0);
    node.advance(5.0);
    let mut other = Node::with_roster(settings(), 1, fleet(8));
    let sent_at_once = (100..160)
        .filter(|&n| other.home(n, n) != id(1))
        .take(10)
        .filter(|&n| {
            let at_once = !sent(&node.request(read(n, n))).is_empty();
            if at_once {
                node.serve(n);
            }
            node.advance(0.5);
            at_once
        })
        .count();
    assert!(sent_at_once >= 9, "{sent_at_once} of 10");
}

/// Idle connections are closed where keeping them at all nodes costs more than new ones; with few nodes they
/// stay.
#[test]
fn idle_connections_are_closed_where_they_cost_more_than_new_ones() {
    let closes = |balancers| {
        let prices = Prices { connection: 0.1, handshake: 0.1 };
        let mut node = Node::with_roster(Settings { balancers, prices, ..settings() }, 1, fleet(4));
        node.request(read(1, 1));
        node.serve(1).contains(&Action::CloseIdle(node.sends[&RequestId(1)][0].0.clone()))
    };
    assert!(closes(500));
    assert!(!closes(3));
}

#[test]
fn a_refusal_gives_a_retry_delay_that_clients_comply_with() {
    let advice = |limits: Limits| {
        let mut node = Node::with_roster(Settings { limits, ..settings() }, 1, vec![]);
        node.request(read(1, 1));
        node.advance(0.5).iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    };
    let heeding = Limits { retry_after: true, max_retry_after: 0.05, ..settings().limits };
    assert_eq!(advice(heeding.clone()), Some(Some(0.05)));
    let usual = advice(Limits { max_retry_after: 10.0, ..heeding.clone() }).flatten();
    assert!(usual.is_some_and(|after| after > 0.05 && after < 1.0), "{usual:?}");
    assert_eq!(advice(Limits { retry_after: false, ..heeding }), Some(None));
}

// ---- Servers taken out of service by operators ----

fn set_out_of_service(node: &mut Node, server: ServerId, restored_at: Option<Seconds>) -> Vec<Action> {
    node.event(Event::OutOfService { server, restored_at })
}

#[test]
fn a_server_out_of_service_is_sent_nothing_whatever_its_state_and_returns_cold() {
    let mut node = Node::with_roster(settings(), 1, fleet(4));
    let keys: Vec<u64> = (0..400).filter(|&n| node.home(n, n) == id(1)).collect();
    let told = set_out_of_service(&mut node, id(1), None);
    assert!(told.contains(&Action::CloseIdle(id(1))));
    assert_eq!(node.balancer.server_counts(), ServerCounts { listed: 4, avoided: 1 });
    for (n, state) in [ServerState::Ready, ServerState::Gone, ServerState::Ready].into_iter().enumerate() {
        node.event(Event::Roster(RosterUpdate::Delta(vec![RosterEntry { state, ..entry(1) }])));
        node.event(Event::Roster(RosterUpdate::Delta(vec![RosterEntry {
            started: Some(node.now),
            ..entry(2)
        }])));
        let left = keys.iter().filter(|&&key| node.home(1000 * (n as u64 + 1) + key, key) == id(1)).count();
        assert_eq!(left, 0, "{state:?}");
    }
    node.advance(10.0);
    set_out_of_service(&mut node, id(1), None);
    let at = node.now;
    set_out_of_service(&mut node, id(1), Some(at));
    assert_eq!(node.balancer.server_counts(), ServerCounts { listed: 4, avoided: 0 });
    node.advance(1.0);
    let share = |node: &mut Node, from: u64| {
        keys.iter().filter(|&&key| node.home(from + key, key) == id(1)).count() as f64 / keys.len() as f64
    };
    let cold = share(&mut node, 10_000);
    assert!(cold > 0.0 && cold < 0.6, "{cold} of its keys just after its return");
    node.advance(9.0);
    assert_eq!(share(&mut node, 20_000), 1.0);
}

/// Guards against a second warm-up: putting a server back used to count as its start, so that one with a
/// third of its warm-up behind it stayed nearly unused.
#[test]
fn a_server_put_back_warms_up_from_the_start_time_in_the_roster() {
    let keys_of_one = |started: f64| {
        let mut node = Node::with_roster(settings(), 1, fleet(4));
        let keys: Vec<u64> = (0..1000).filter(|&n| node.home(n, n) == id(1)).collect();
        set_out_of_service(&mut node, id(1), None);
        node.advance(6.0);
        let entry = RosterEntry { started: Some(node.now - started), ..entry(1) };
        node.event(Event::Roster(RosterUpdate::Delta(vec![entry])));
        let at = node.now;
        set_out_of_service(&mut node, id(1), Some(at));
        // Paced so that a cold server's allowance keeps up.
        let takes = |key: &&u64| {
            node.advance(0.05);
            node.home(10_000 + **key, **key) == id(1)
        };
        keys.iter().take(40).filter(takes).count()
    };
    // Started after it was taken out, before that, and long before that: the latter two indicate no restart.
    let [since, before, long_before] = [4.0, 7.0, 100.0].map(keys_of_one);
    assert_eq!(before, long_before);
    assert!(since > before * 3 / 2 && before > 0, "{since} keys instead of {before}");
}

#[test]
fn a_server_out_of_service_may_be_unlisted_and_stays_out_when_listed() {
    let mut node = Node::with_roster(settings(), 1, fleet(3));
    set_out_of_service(&mut node, id(4), None);
    assert!(!node.balancer.has_server(&id(4)) && node.balancer.has_server(&id(3)));
    assert_eq!(node.balancer.server_counts(), ServerCounts { listed: 3, avoided: 0 });
    node.event(Event::Roster(RosterUpdate::Full(fleet(4))));
    assert!((0..400).all(|n| node.home(n, n) != id(4)));
    assert_eq!(node.balancer.server_counts(), ServerCounts { listed: 4, avoided: 1 });
    // Put back while unlisted, it is used as soon as the roster lists it.
    node.event(Event::Roster(RosterUpdate::Full(fleet(3))));
    let at = node.now;
    set_out_of_service(&mut node, id(4), Some(at));
    node.event(Event::Roster(RosterUpdate::Full(fleet(4))));
    node.advance(10.0);
    assert!((1000..1400).any(|n| node.home(n, n) == id(4)));
}

#[test]
fn without_cache_servers_reads_go_to_the_origin_within_its_limit() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let mut node = Node::with_roster(aside, 1, fleet(2).into_iter().chain([origin()]).collect());
    for server in [id(1), id(2)] {
        set_out_of_service(&mut node, server, None);
    }
    assert!(!node.balancer.has_server(&id(998)), "the origin is no cache server");
    assert_eq!(sent(&node.request(read(1, 1))), [id(998)]);
    let actions: Vec<Action> = (2..200).flat_map(|n| node.request(read(n, n))).collect();
    assert!(sent(&actions).len() < 50, "origin flooded with {} requests", sent(&actions).len());
    let ended = node.advance(1.0).iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert!(ended > 100, "the others are refused: {ended}");
}

/// Guards against idle cold servers: a node that had just started took its low decaying count for its full
/// rate and sent them next to nothing. With a new process every few seconds, a fleet that was warming up
/// stayed idle.
#[test]
fn a_node_that_has_just_started_sends_cold_servers_as_much_as_one_that_has_run() {
    let cold = |ran: f64| {
        let mut node = Node::with_roster(settings(), 1, fleet(10));
        let mut next = 0;
        let mut second = |node: &mut Node| {
            (0..200)
                .filter(|_| {
                    next += 1;
                    if next % 10 == 0 {
                        node.advance(0.05);
                    }
                    let to = sent(&node.request(read(next, next * 7919)));
                    to.iter().for_each(|_| drop(node.serve(next)));
                    to == [id(1)]
                })
                .count()
        };
        for _ in 0..ran as u64 {
            second(&mut node);
        }
        let entry = RosterEntry { started: Some(node.now), ..entry(1) };
        node.event(Event::Roster(RosterUpdate::Delta(vec![entry])));
        second(&mut node) + second(&mut node)
    };
    let (new, old) = (cold(1.0), cold(40.0));
    assert!(new * 3 >= old * 2 && old > 5, "{new} after one second, {old} after forty");
}

#[test]
fn two_processes_of_a_node_share_one_budget_and_one_allowance() {
    let tries = |shared: bool| {
        let mut tight = settings();
        tight.guarantees.budget = Some(Budget { span: 10.0, free: 8.0, ratio: 0.0 });
        let mut node = Node::with_roster(tight, 1, fleet(4));
        node.event(Event::SecondProcess(true));
        node.event(Event::SecondProcess(shared));
        let again = |n: u64| {
            node.request(read(n, n));
            sent(&node.outcome(n, Status::Overloaded, None)).len()
        };
        (1..30).map(again).sum::<usize>()
    };
    assert_eq!((tries(true), tries(false)), (4, 8));
    let cold = |shared: bool| {
        let mut node = Node::with_roster(settings(), 1, fleet(2));
        (0..400).for_each(|n| drop(node.home(n, n)));
        let entry = RosterEntry { started: Some(node.now), ..entry(1) };
        node.event(Event::Roster(RosterUpdate::Delta(vec![entry])));
        node.event(Event::SecondProcess(shared));
        // Long enough to fill the allowance, too short to warm up.
        node.advance(2.0);
        (1000..1400).filter(|&n| node.home(n, n) == id(1)).count()
    };
    let (half, whole) = (cold(true), cold(false));
    assert_eq!((half, whole), (2, 4));
}
