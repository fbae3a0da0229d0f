//! Explores every scenario to a depth that takes seconds; an ignored test explores further.

use shaletrail_model_checker::{explore, Limits, SCENARIOS};

/// An upper bound on the number of states of any scenario within its test depth.
const MAX_TEST_STATES: usize = 400_000;
/// States per scenario in the ignored test.
const MAX_LONG_STATES: usize = 2_000_000;

fn assert_invariants_hold_within_test_depth(name: &str) {
    // given
    let scenario = SCENARIOS.iter().find(|scenario| scenario.name == name).expect("a scenario of that name");
    let limits = Limits { depth: scenario.test_depth, states: MAX_TEST_STATES };
    // when
    let report = explore(scenario, scenario.initial_state(), limits);
    // then
    println!("{report}");
    if let Some(violation) = report.violation {
        panic!("{}: {violation}", scenario.hazard);
    }
    let is_complete = report.depth == limits.depth || report.exhausted;
    assert!(is_complete, "the state limit was reached before the test depth");
}

/// Declares one test per scenario, so that they run in parallel.
macro_rules! every_interleaving_holds {
    ($($scenario:ident),* $(,)?) => {
        $(#[test]
        fn $scenario() {
            assert_invariants_hold_within_test_depth(stringify!($scenario));
        })*

        #[test]
        fn every_scenario_has_a_test() {
            let tested = [$(stringify!($scenario)),*];
            let untested: Vec<&str> =
                SCENARIOS.iter().map(|scenario| scenario.name).filter(|name| !tested.contains(name)).collect();
            assert!(untested.is_empty(), "{untested:?}");
        }
    };
}

every_interleaving_holds!(
    follower_crash_before_sync,
    leader_crash_before_sync,
    any_crash_before_sync,
    concurrent_candidates,
    vote_during_leader_lease,
    voter_restart_during_leader_lease,
    order_lease_transfer,
    reelected_order_lease_holder,
    voter_disk_loss,
    vote_before_disk_loss,
    rejoin_point_not_committed,
    disk_loss_after_rejoin,
    joint_voter_change,
    leaving_voter_holds_entry,
    concurrent_changes,
    retried_change,
    reads_of_new_leader,
    entry_of_older_term,
);

#[test]
#[ignore = "takes minutes; `cargo run --release -p shaletrail-model-checker` explores the same"]
fn all_scenarios_hold_in_depth() {
    for scenario in &SCENARIOS {
        let limits = Limits { depth: usize::MAX, states: MAX_LONG_STATES };
        let report = explore(scenario, scenario.initial_state_with_more_faults(), limits);
        println!("{report}");
        assert!(report.violation.is_none(), "{}", report.violation.expect("the report has a violation"));
    }
}
