//! Tests the follower without I/O, against simulated services with all failures that its events can express.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shaletrail_registry_client::follow::{Action, CallId, Follower, ListRequest, ListSummary, Retry};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The call among the actions, if there is one. Clears the actions.
fn take_call(actions: &mut Vec<Action>) -> Option<(CallId, usize, ListRequest)> {
    let put = actions.iter().find_map(|action| match action {
        Action::Call { call, endpoint, request } => Some((*call, *endpoint, *request)),
        _ => None,
    });
    actions.clear();
    put
}

fn summary(version: u64, full: bool, empty: bool) -> Option<ListSummary> {
    Some(ListSummary { version, full, empty })
}

fn changes(from: u64, hold: u64) -> ListRequest {
    ListRequest::Changes { from, hold: ms(hold) }
}

/// Whether the request continues a watch: it may wait for 4 to 20 s.
fn is_watch(request: ListRequest, from: u64) -> bool {
    matches!(request, ListRequest::Changes { from: asked, hold } if asked == from && (ms(4000)..=ms(20_000)).contains(&hold))
}

/// A follower that has followed to version 51, and whose watch then broke.
fn with_broken_watch_at_51(actions: &mut Vec<Action>) -> Follower {
    let mut follower = Follower::new(1, Some(50), Retry::OnStart, 7);
    follower.start(ms(0), actions);
    let (first, _, request) = take_call(actions).expect("a call");
    assert_eq!(request, changes(50, 1000));
    follower.call_ended(first, summary(51, false, false), ms(10), actions);
    let (watch, _, request) = take_call(actions).expect("a watch");
    assert!(is_watch(request, 51), "{request:?}");
    follower.call_ended(watch, None, ms(500), actions);
    assert_eq!(*actions, [Action::Failed]);
    actions.clear();
    follower.start(ms(700), actions);
    follower
}

#[test]
fn a_restarted_service_with_lower_versions_is_asked_once_for_the_whole_list() {
    // A service may answer with its own version, or with the version it was asked from.
    for answered in [2, 50] {
        let mut actions = Vec::new();
        let mut follower = with_broken_watch_at_51(&mut actions);
        let (probe, _, request) = take_call(&mut actions).expect("a call");
        assert_eq!(request, changes(50, 0));
        follower.call_ended(probe, summary(answered, false, true), ms(701), &mut actions);
        let (whole, _, request) = take_call(&mut actions).expect("a call");
        assert_eq!(request, ListRequest::Whole);
        follower.call_ended(whole, summary(2, true, false), ms(702), &mut actions);
        assert_eq!(actions[0], Action::Report { call: whole });
        let (watch, _, request) = take_call(&mut actions).expect("a watch");
        assert!(is_watch(request, 2), "{request:?}");
        follower.call_ended(watch, summary(3, false, false), ms(900), &mut actions);
        assert!(is_watch(take_call(&mut actions).expect("a watch").2, 3));
    }
}

#[test]
fn a_restarted_service_with_the_same_versions_sends_one_entry_and_not_the_whole_list() {
    let mut actions = Vec::new();
    let mut follower = with_broken_watch_at_51(&mut actions);
    let (probe, ..) = take_call(&mut actions).expect("a call");
    follower.call_ended(probe, summary(51, false, false), ms(701), &mut actions);
    assert!(is_watch(take_call(&mut actions).expect("a watch").2, 51));
}

#[test]
fn a_silent_watch_is_detected_within_2_s_after_the_end_of_its_wait() {
    for endpoints in [1, 3] {
        let mut actions = Vec::new();
        let mut follower = Follower::new(endpoints, Some(5), Retry::Backoff, 7);
        follower.start(ms(0), &mut actions);
        let (first, at, _) = take_call(&mut actions).expect("a call");
        let wake = follower.wake().expect("a time");
        assert!(wake <= ms(3000), "{wake:?}");
        follower.tick(wake, &mut actions);
        let (second, next, request) = take_call(&mut actions).expect("another call");
        assert_eq!(request, changes(4, if endpoints == 1 { 0 } else { 1000 }));
        assert_eq!(next != at, endpoints > 1);
        // The first call may still be answered.
        follower.call_ended(first, summary(6, false, false), wake + ms(1), &mut actions);
        assert!(
            actions.contains(&Action::Report { call: first })
                && actions.contains(&Action::Cancel { call: second })
        );
    }
}

/// All watches of a fleet started together and then fell silent together. The service opens new watches one
/// after the other and refuses calls that would have to wait for more than a second. Every node must still be
/// answered within 2 s after the end of its wait, when a change counts as known to it, without using the
/// grace period for drains. The test guards against nodes that all reconnect at the same time: when 6 nodes
/// came 1.9 s after the end of a common wait, at 208 ms per call, four of them were answered 0.1 to 0.8 s too
/// late.
#[test]
fn a_fleet_whose_watches_fall_silent_together_is_answered_in_time() {
    for (nodes, time_per_call) in [(6, 208), (300, 28)] {
        for seed in 0..20 {
            let late = late_answers(nodes, ms(time_per_call), seed);
            assert!(
                late.is_empty(),
                "{nodes} nodes, {time_per_call} ms a call, seed {seed}: late by {late:?}"
            );
        }
    }
}

/// A node of this fleet.
struct Node {
    follower: Follower,
    /// The end of the wait of its silent watch.
    end: Duration,
    /// When the service answers this node's new call.
    answer: Option<Duration>,
    /// When it retries after a failed call.
    retry_at: Option<Duration>,
}

impl Node {
    fn new(seed: u64, actions: &mut Vec<Action>) -> Node {
        let mut follower = Follower::new(1, Some(5), Retry::OnStart, seed);
        follower.start(ms(0), actions);
        let (first, ..) = take_call(actions).expect("a call");
        follower.call_ended(first, summary(5, false, true), ms(1000), actions);
        let (_, _, request) = take_call(actions).expect("a watch");
        let ListRequest::Changes { hold, .. } = request else { panic!("{request:?}") };
        Node { follower, end: ms(1000) + hold, answer: None, retry_at: None }
    }

    fn next_event(&self) -> Duration {
        self.follower.wake().into_iter().chain(self.answer).chain(self.retry_at).min().expect("a time")
    }
}

/// The delays of the nodes that were answered too late.
fn late_answers(nodes: u64, time_per_call: Duration, seed: u64) -> Vec<Duration> {
    // A node retries at the latest after the first time; the service lets no call wait longer than the
    // second.
    let (retry_delay, max_queue_time) = (ms(350), ms(1000));
    let mut actions = Vec::new();
    let mut fleet: Vec<_> = (0..nodes).map(|node| Node::new(seed * 1000 + node, &mut actions)).collect();
    let (mut service_free_at, mut late) = (ms(0), Vec::new());
    while let Some(place) = (0..fleet.len()).min_by_key(|&place| fleet[place].next_event()) {
        let now = fleet[place].next_event();
        let node = &mut fleet[place];
        if node.answer.is_some_and(|at| at <= now) {
            late.extend(now.checked_sub(node.end + ms(2000)));
            fleet.swap_remove(place);
            continue;
        }
        if node.retry_at.is_some_and(|at| at <= now) {
            node.retry_at = None;
            node.follower.start(now, &mut actions);
        } else {
            node.follower.tick(now, &mut actions);
        }
        let Some((asked, ..)) = take_call(&mut actions) else { continue };
        service_free_at = service_free_at.max(now);
        if service_free_at > now + max_queue_time {
            node.follower.call_ended(asked, None, now, &mut actions);
            actions.clear();
            node.retry_at = Some(now + retry_delay);
        } else {
            service_free_at += time_per_call;
            node.answer.get_or_insert(service_free_at);
        }
    }
    late
}

#[test]
fn the_follower_moves_on_at_once_from_an_endpoint_that_is_dead_or_behind() {
    let mut actions = Vec::new();
    let mut follower = Follower::new(3, Some(9), Retry::Backoff, 7);
    follower.start(ms(0), &mut actions);
    let (dead, first, _) = take_call(&mut actions).expect("a call");
    follower.call_ended(dead, None, ms(1), &mut actions);
    let (behind, second, _) = take_call(&mut actions).expect("the next at once");
    follower.call_ended(behind, summary(8, false, true), ms(2), &mut actions);
    let (good, third, request) = take_call(&mut actions).expect("the next at once");
    assert!(first != second && second != third && third != first);
    assert_eq!(request, changes(8, 1000));
    follower.call_ended(good, summary(9, false, false), ms(3), &mut actions);
    assert!(actions.contains(&Action::Report { call: good }));
}

/// 300 followers lose all endpoints at the same time. Their retries must be spread, not synchronized.
#[test]
fn followers_that_lost_all_endpoints_together_retry_at_different_times() {
    let mut back: Vec<u128> = (0..300)
        .map(|seed| {
            let mut actions = Vec::new();
            let mut follower = Follower::new(3, Some(9), Retry::Backoff, seed);
            follower.start(ms(0), &mut actions);
            while let Some((lost, ..)) = take_call(&mut actions) {
                follower.call_ended(lost, None, ms(1), &mut actions);
            }
            follower.wake().expect("a time").as_millis()
        })
        .collect();
    back.sort_unstable();
    let most = (0..300).map(|n| back.iter().filter(|at| (back[n]..back[n] + 20).contains(at)).count()).max();
    assert!(most < Some(45), "{most:?} within 20 ms");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Endpoints of one service that lag, fail, send invalid answers or do not answer. No older version is
    /// reported after a newer one, the number of calls stays bounded, and once all endpoints are healthy the
    /// newest version is reported.
    #[test]
    fn versions_never_decrease_and_the_newest_is_reported_in_the_end(
        endpoints in 1..4usize,
        seed in any::<u64>(),
        retry in prop_oneof![Just(Retry::Backoff), Just(Retry::OnStart), Just(Retry::Within(ms(60)))],
        outcomes in prop::collection::vec((0..5u8, 0..3u64, 0..2500u64), 1..60),
    ) {
        let mut actions = Vec::new();
        let mut follower = Follower::new(endpoints, None, retry, seed);
        // When its user starts it again after a failure. With `Retry::OnStart` nothing else may wake it.
        let mut retry_at = None;
        let (mut now, mut version, mut last) = (ms(0), 5, 0);
        let mut in_flight: Vec<(CallId, ListRequest)> = Vec::new();
        follower.start(now, &mut actions);
        // When each version was created. The first exists from the start.
        let mut created_at = vec![now; 6];
        let mut outcomes = outcomes.into_iter();
        for _ in 0..400 {
            for action in actions.drain(..) {
                match action {
                    Action::Call { call, request, .. } => in_flight.push((call, request)),
                    Action::Cancel { call } => in_flight.retain(|(id, _)| *id != call),
                    Action::Report { .. } => {}
                    Action::Failed => retry_at = Some(now + ms(300)),
                }
            }
            prop_assert!(in_flight.len() <= 2, "{in_flight:?}");
            let (outcome, lag, wait) = outcomes.next().unwrap_or((0, 0, 50));
            let healthy = outcome == 0;
            let Some((call, request)) = in_flight.last().copied().filter(|_| outcome != 4) else {
                // No answer comes before the follower's next timer.
                let due = follower.wake().into_iter().chain(retry_at.filter(|_| retry == Retry::OnStart)).min();
                let Some(due) = due else { break };
                now = now.max(due);
                if retry_at.take_if(|at| retry == Retry::OnStart && *at <= now).is_some() {
                    follower.start(now, &mut actions);
                } else {
                    follower.tick(now, &mut actions);
                }
                continue;
            };
            now += ms(wait);
            if outcome == 1 {
                version += 1;
                created_at.push(now);
            }
            in_flight.retain(|(id, _)| *id != call);
            // A single endpoint that lags behind its own earlier answer has lost versions, which is not
            // simulated here.
            let lag = if healthy || endpoints == 1 { 0 } else { lag.min(version) };
            // Every replica that answers has all versions that are older than this.
            let known_to_all = created_at.iter().rposition(|at| now - *at > ms(8000)).unwrap_or(0) as u64;
            let knows = (version - lag).max(known_to_all);
            let answer = match (outcome, request) {
                (2, _) => None,
                // The registry answers 503 rather than with a lower version than it was asked from.
                (_, ListRequest::Changes { from, .. }) if from > knows => None,
                (_, ListRequest::Changes { from, .. }) => summary(knows, false, from == knows),
                (_, ListRequest::Whole) => summary(knows, true, false),
            };
            follower.call_ended(call, answer, now, &mut actions);
            if actions.contains(&Action::Report { call }) {
                let knows = answer.expect("an answer").version;
                prop_assert!(knows >= last, "{knows} after {last}");
                last = knows;
            }
        }
        prop_assert_eq!(last, version);
    }
}
