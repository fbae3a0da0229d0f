//! Every scene, to the depth that takes a moment; and deeper where asked for.

use shaletrail_model_checker::{explore, scenes, Limits, Scene};

/// More states than any scene has within its short depth.
const STATES: usize = 400_000;

fn holds(scene: &Scene, depth: usize) {
    let report = explore(scene, scene.start(), Limits { depth, states: STATES });
    println!("{report}");
    if let Some(violation) = report.violation {
        panic!("{}: {violation}", scene.about);
    }
    assert!(report.depth == depth || report.exhausted, "the depth has more states than it should have");
}

fn holds_within_short_depth(name: &str) {
    let scenes = scenes();
    let scene = scenes.iter().find(|scene| scene.name == name).expect("a scene of that name");
    holds(scene, scene.short);
}

/// One test a scene, so that they run side by side.
macro_rules! every_interleaving_holds {
    ($($scene:ident),* $(,)?) => {
        $(#[test]
        fn $scene() {
            holds_within_short_depth(stringify!($scene));
        })*

        #[test]
        fn every_scene_has_its_test() {
            let tested = [$(stringify!($scene)),*];
            let untested: Vec<&str> =
                scenes().iter().map(|scene| scene.name).filter(|name| !tested.contains(name)).collect();
            assert!(untested.is_empty(), "{untested:?}");
        }
    };
}

every_interleaving_holds!(
    half_replicated,
    leaders_disk,
    slow_disks,
    two_candidates,
    late_vote,
    promise_before_restart,
    transfer_leadership,
    turn_again,
    wiped_voter,
    vote_before_loss,
    point_not_committed,
    readmission,
    joint_change,
    leaving_holder,
    two_operators,
    repeated_call,
    new_leader_reads,
    older_term,
);

#[test]
#[ignore = "takes minutes: as `cargo run --release -p shaletrail-model-checker` does"]
fn all_scenes_hold_in_depth() {
    for scene in scenes() {
        let report =
            explore(&scene, scene.start_with_more_faults(), Limits { depth: usize::MAX, states: 2_000_000 });
        println!("{report}");
        assert!(report.violation.is_none(), "{}", report.violation.expect("there is one"));
    }
}
