//! Calls of the operator that are repeated, concurrent, or whose responses are lost.

mod common;

use common::{assert_in_service, ready, ACKNOWLEDGED_WITHIN};
use shaletrail_simulation::observer::Outcome;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

#[test]
fn lost_responses_are_retried_until_acknowledged() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        fleet.operator.response_loss = 0.6;

        // when, then
        for number in 0..8 {
            let change = if number % 2 == 0 { fleet.replace() } else { fleet.update() };
            let acknowledged = fleet.run_until(60_000, |fleet| fleet.world.observer.is_acknowledged(change));
            assert!(acknowledged, "{}", fleet.describe());
        }
        fleet.operator.response_loss = 0.0;
        assert_in_service(&mut fleet);
        fleet.check();
    }
}

#[test]
fn duplicate_change_is_acknowledged_again() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let change = fleet.replace_within(ACKNOWLEDGED_WITHIN);

        // when: it is resent to each coordinator, after a change of the leader, and after a restart of all machines
        for node in fleet.coordinators() {
            fleet.send_only_to(node, change);
        }
        fleet.run(500);
        let leader = fleet.await_leader();
        fleet.lose_power(leader);
        fleet.send_change(change);
        fleet.run(ACKNOWLEDGED_WITHIN);
        fleet.stop_all(false);
        fleet.start_stopped();
        fleet.send_change(change);
        fleet.run(ACKNOWLEDGED_WITHIN);

        // then
        let outcomes = &fleet.world.observer.changes[&change].outcomes;
        assert_eq!(outcomes.len(), 6, "{outcomes:?}\n{}", fleet.describe());
        assert!(outcomes.iter().all(|(_, outcome)| *outcome == Outcome::Acknowledged), "{outcomes:?}");
        fleet.check();
    }
}

#[test]
fn one_of_two_concurrent_changes_wins() {
    for seed in 1..=20 {
        // given
        let mut fleet = ready(seed);
        let (one, other) = (fleet.create_change(), fleet.create_change());

        // when
        fleet.send_change(one);
        fleet.send_change(other);
        fleet.run(1_500);

        // then
        let outcomes = [fleet.world.observer.outcome(one), fleet.world.observer.outcome(other)];
        let count = |matches: fn(&Outcome) -> bool| {
            outcomes.iter().flatten().filter(|outcome| matches(outcome)).count()
        };
        assert_eq!(
            count(|outcome| *outcome == Outcome::Acknowledged),
            1,
            "{outcomes:?}\n{}",
            fleet.describe()
        );
        assert_eq!(count(|outcome| matches!(outcome, Outcome::Conflict { .. })), 1, "{outcomes:?}");
        fleet.run(1_000);
        fleet.check();
    }
}

#[test]
fn one_of_eight_changes_wins_despite_leader_loss() {
    for seed in SEEDS {
        // given
        let mut fleet = ready(seed);
        let changes: Vec<u64> = (0..8).map(|_| fleet.create_change()).collect();
        let leader = fleet.await_leader();

        // when
        changes.iter().for_each(|change| fleet.send_change(*change));
        fleet.run(seed);
        fleet.lose_power(leader);
        fleet.run(ACKNOWLEDGED_WITHIN);

        // then
        let acknowledged = changes.iter().filter(|change| fleet.world.observer.is_acknowledged(**change));
        assert_eq!(acknowledged.count(), 1, "{}", fleet.describe());
        assert_eq!(fleet.operator.pending_count(), 0, "{}", fleet.describe());
        fleet.check();
    }
}
