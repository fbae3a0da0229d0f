//! Starts that are close to a danger, each with the faults that may follow.

use std::sync::OnceLock;

use shaletrail_configuration::{Change, ChangeKind};

use crate::machine::{Input, Kind, Settings, ELECTION};
use crate::world::{Budget, Script, World, SPARE};

/// Operators' calls, each a change by its number.
pub(crate) const CALLS: [usize; 4] = [0, 1, 2, 3];
/// The first change once more, as by an operator whose answer was lost.
const FIRST_CALL: u8 = 0b0001;
/// Another change that makes the same version.
const RIVAL_CALL: u8 = 0b0010;
/// Another change on the same base that makes a later version.
const JUMPING_CALL: u8 = 0b0100;
/// A change on top of the first version.
const NEXT_CALL: u8 = 0b1000;

/// Bodies of the changes with the versions that they build on. 0 and 1 make the same version, by two operators; 2
/// builds on the same version as they do and makes another; 3 builds on 0 or 1.
const CHANGES: [(u64, &str); 4] = [
    (0, r#"{"version":1,"limits":{},"services":[{"name":"first"}],"routes":[]}"#),
    (0, r#"{"version":1,"limits":{},"services":[{"name":"second"}],"routes":[]}"#),
    (0, r#"{"version":2,"limits":{},"services":[{"name":"third"}],"routes":[]}"#),
    (1, r#"{"version":2,"limits":{},"services":[{"name":"fourth"}],"routes":[]}"#),
];

/// A slow disk at node 1.
const SLOW_1: u8 = 1 << 1;
/// A slow disk at node 3.
const SLOW_3: u8 = 1 << 3;
/// Slow disks at all nodes.
const SLOW: u8 = 0b11110;

fn changes() -> &'static [Change] {
    static CHANGES_READ: OnceLock<Vec<Change>> = OnceLock::new();
    CHANGES_READ.get_or_init(|| {
        let read = |(base, body): &(u64, &str)| Change::parse(ChangeKind::Replace, *base, body.as_bytes());
        CHANGES.iter().map(|change| read(change).expect("the changes are valid")).collect()
    })
}

/// A change by its number.
pub(crate) fn change(number: usize) -> &'static Change {
    &changes()[number]
}

/// The number of a change.
pub(crate) fn number_of(change: &Change) -> Option<usize> {
    let encoded = change.encode();
    changes().iter().position(|known| known.encode() == encoded)
}

/// A start and the depth to which tests explore it.
pub struct Scene {
    /// Its name.
    pub name: &'static str,
    /// What the danger is.
    pub about: &'static str,
    /// A depth that takes a moment, and at which the danger shows where its guard is missing.
    pub short: usize,
    build: fn() -> World,
}

impl Scene {
    /// The state that it starts from, with the faults that belong to its danger.
    pub fn start(&self) -> World {
        (self.build)()
    }

    /// The same with one more fault of each kind that any scene may have.
    pub fn start_with_more_faults(&self) -> World {
        let mut world = self.start();
        let budget = &mut world.budget;
        for more in [&mut budget.doubles, &mut budget.crashes, &mut budget.stands, &mut budget.beats] {
            *more += 1;
        }
        world
    }
}

/// All scenes.
pub fn scenes() -> Vec<Scene> {
    vec![
        Scene {
            name: "half_replicated",
            about: "a change is on its way to two followers, one with a slow disk, and processes crash",
            short: 8,
            build: half_replicated,
        },
        Scene {
            name: "leaders_disk",
            about: "a change is on its way and the leader's disk, which is slow, loses it in a crash",
            short: 9,
            build: leaders_disk,
        },
        Scene {
            name: "slow_disks",
            about: "a change is on its way and every sync may be late or lost",
            short: 8,
            build: slow_disks,
        },
        Scene {
            name: "two_candidates",
            about: "two candidates ask a voter with a slow disk, which may crash, in one term",
            short: 6,
            build: two_candidates,
        },
        Scene {
            name: "late_vote",
            about: "a heartbeat is late, pre-votes come first: the leader has a lease and a rival asks for votes",
            short: 9,
            build: late_vote,
        },
        Scene {
            name: "promise_before_restart",
            about: "a voter answers the leader, starts again and is asked for its vote",
            short: 7,
            build: promise_before_restart,
        },
        Scene {
            name: "transfer_leadership",
            about: "a holder of orders hands over, crashes or is overtaken by an election",
            short: 8,
            build: transfer_leadership,
        },
        Scene {
            name: "turn_again",
            about: "a holder that had not waited out another's orders crashes and is elected again",
            short: 8,
            build: turn_again,
        },
        Scene {
            name: "wiped_voter",
            about: "a voter that is asked for its vote acknowledges an entry and loses its disk",
            short: 6,
            build: wiped_voter,
        },
        Scene {
            name: "vote_before_loss",
            about: "a voter gives a vote, loses its disk and hears the former leader before the vote is counted",
            short: 7,
            build: vote_before_loss,
        },
        Scene {
            name: "point_not_committed",
            about: "the same once the voter holds all entries and no majority has committed its readmission point",
            short: 6,
            build: point_not_committed,
        },
        Scene {
            name: "readmission",
            about: "a voter without its disk is readmitted, and then another one loses its own",
            short: 9,
            build: readmission,
        },
        Scene {
            name: "joint_change",
            about: "a voter is replaced by a spare",
            short: 8,
            build: joint_change,
        },
        Scene {
            name: "leaving_holder",
            about: "the voter that leaves holds one of two copies, and a disk is lost",
            short: 7,
            build: leaving_holder,
        },
        Scene {
            name: "two_operators",
            about: "a leader that is replaced without knowing it and its successor take changes for the same number",
            short: 6,
            build: two_operators,
        },
        Scene {
            name: "repeated_call",
            about: "the answer to a change was lost, another leads, the change comes again among others",
            short: 6,
            build: repeated_call,
        },
        Scene {
            name: "new_leader_reads",
            about: "reads at a leader just elected and at one that is replaced without knowing it",
            short: 6,
            build: new_leader_reads,
        },
        Scene {
            name: "older_term",
            about: "a leader replicates an entry of an older term while a later one stands in another log",
            short: 9,
            build: older_term,
        },
    ]
}

fn settings(slow_disks: u8) -> Settings {
    Settings { kind: Kind::Configuration, small_messages: false, slow_disks }
}

/// The clock may go on by an election time-out so many times.
fn in_time(passes: u8) -> Budget {
    Budget { passes, pass_ms: ELECTION as u16, ..Budget::default() }
}

fn half_replicated() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(SLOW_3));
    script.feed(1, Input::Propose(0));
    script.with(Budget { crashes: 1, stands: 1, ..in_time(1) })
}

fn leaders_disk() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(SLOW_1));
    script.feed(1, Input::Propose(0)).deliver(1, 2, "Append").lose("Append");
    script.with(Budget { crashes: 1, stands: 1, ..in_time(1) })
}

fn slow_disks() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(SLOW));
    script.feed(1, Input::Propose(0));
    script.with(Budget { crashes: 1, stands: 1, ..in_time(1) })
}

fn two_candidates() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(SLOW_3));
    script.feed(1, Input::Crash { torn: false }).pass(ELECTION);
    script.feed(1, Input::Tick).feed(2, Input::Tick);
    script.deliver(1, 3, "PreVoteRequest").deliver(2, 3, "PreVoteRequest");
    script.deliver(3, 1, "PreVoteResponse").deliver(3, 2, "PreVoteResponse");
    script.with(Budget { crashes: 1, ..in_time(1) })
}

fn late_vote() -> World {
    let mut script = Script::led_by_1(Kind::Service, settings(0));
    script.pass(450).feed(1, Input::Tick).pass(150);
    script.with(Budget { stands: 1, ..Budget::default() })
}

fn promise_before_restart() -> World {
    let mut script = Script::led_by_1(Kind::Service, settings(0));
    script.pass(450).feed(1, Input::Tick).pass(150).feed(2, Input::Tick);
    script.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse");
    script.deliver(1, 3, "Heartbeat").deliver(3, 1, "HeartbeatResponse");
    script.with(Budget { crashes: 1, ..Budget::default() })
}

fn transfer_leadership() -> World {
    let script = Script::led_by_1(Kind::Service, settings(0));
    script.with(Budget { crashes: 1, stands: 1, hand_overs: 2, ..in_time(2) })
}

fn turn_again() -> World {
    let mut script = Script::led_by_1(Kind::Service, settings(0));
    script.feed(1, Input::HandOver).lose_all();
    script.pass(ELECTION).feed(2, Input::Tick).calm();
    script.feed(2, Input::Crash { torn: false }).pass(ELECTION).feed(2, Input::Tick);
    script.with(Budget { stands: 1, hand_overs: 1, ..in_time(1) })
}

fn wiped_voter() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(0));
    script.feed(1, Input::Propose(0)).pass(ELECTION).feed(2, Input::Tick);
    script.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse");
    script.with(Budget { wipes: 1, ..Budget::default() })
}

/// Node 3 has voted for node 2 and lost its disk; node 1, whom node 2 is about to replace, hears of that.
fn lost_after_its_vote() -> Script {
    let mut script = Script::led_by_1(Kind::Configuration, settings(0));
    script.pass(450).feed(1, Input::Tick).pass(150).feed(2, Input::Tick);
    script.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse").deliver(2, 3, "VoteRequest");
    script.feed(3, Input::Wipe).deliver(1, 3, "Heartbeat").deliver(3, 1, "HeartbeatResponse");
    script.lose("PreVoteRequest").lose("VoteRequest");
    script
}

fn vote_before_loss() -> World {
    lost_after_its_vote().with(Budget { wipes: 1, beats: 1, ..Budget::default() })
}

fn point_not_committed() -> World {
    let mut script = lost_after_its_vote();
    script.exchange_entries(1, 3);
    script.with(Budget { wipes: 1, beats: 1, calls: FIRST_CALL, ..Budget::default() })
}

fn readmission() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(0));
    script.feed(1, Input::Propose(0)).deliver(1, 3, "Append").deliver(3, 1, "AppendResponse");
    script.lose_all().feed(3, Input::Wipe).pass(150).feed(1, Input::Tick);
    script.deliver(1, 3, "Heartbeat").deliver(3, 1, "HeartbeatResponse");
    script.with(Budget { wipes: 1, stands: 1, ..in_time(1) })
}

/// Node 4 has all entries and waits to be made a voter.
fn with_learner() -> Script {
    let mut script = Script::led_by_1(Kind::Configuration, settings(0));
    script.feed(1, Input::AddLearner(SPARE)).calm();
    script.pass(150).feed(1, Input::Tick).calm();
    script
}

fn joint_change() -> World {
    let mut script = with_learner();
    script.feed(1, Input::ChangeVoters(vec![1, 2, 4].into_iter().map(shaletrail_protocol::NodeId).collect()));
    script.with(Budget { stands: 1, ..in_time(1) })
}

fn leaving_holder() -> World {
    let mut script = with_learner();
    script.feed(1, Input::Propose(0)).deliver(1, 3, "Append").deliver(3, 1, "AppendResponse").lose_all();
    script.with(Budget { wipes: 1, stands: 1, voter_changes: 1, ..in_time(1) })
}

/// Node 2 is elected with the help of node 3; node 1 knows nothing of it.
fn elect_2_behind_1(script: &mut Script) {
    script.pass(ELECTION).feed(2, Input::Tick);
    script.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse");
    script.deliver(2, 3, "VoteRequest").deliver(3, 2, "VoteResponse");
}

fn two_operators() -> World {
    let mut script = Script::led_by_1(Kind::Configuration, settings(0));
    script.feed(1, Input::Propose(0));
    elect_2_behind_1(&mut script);
    script.lose("PreVoteRequest").lose("VoteRequest");
    script.with(Budget { calls: FIRST_CALL | RIVAL_CALL | JUMPING_CALL, ..Budget::default() })
}

fn repeated_call() -> World {
    let mut script = acknowledged_by_1_and_2();
    elect_2_behind_1(&mut script);
    script.lose_all_to(1);
    script.with(Budget { hand_overs: 1, calls: FIRST_CALL | RIVAL_CALL | NEXT_CALL, ..Budget::default() })
}

/// Node 3 lacks a change that was acknowledged, and node 2 doesn't know that it was.
fn acknowledged_by_1_and_2() -> Script {
    let mut script = Script::led_by_1(Kind::Configuration, settings(0));
    script.feed(1, Input::Propose(0)).deliver(1, 2, "Append").deliver(2, 1, "AppendResponse").lose_all();
    script
}

fn new_leader_reads() -> World {
    let mut script = acknowledged_by_1_and_2();
    elect_2_behind_1(&mut script);
    script.lose("PreVoteRequest").lose("VoteRequest");
    script.with(Budget { reads: 1, calls: NEXT_CALL, ..Budget::default() })
}

/// Node 1 leads term 4 with an entry of term 2 that only it holds; node 3 holds one of term 3 in its place.
fn older_term() -> World {
    let small = Settings { small_messages: true, ..settings(0) };
    let mut script = Script::led_by_1(Kind::Configuration, small);
    script.feed(1, Input::Propose(0)).lose_all();
    script.pass(ELECTION).feed(3, Input::Tick);
    script.deliver(3, 2, "PreVoteRequest").deliver(2, 3, "PreVoteResponse");
    script.deliver(3, 2, "VoteRequest").deliver(2, 3, "VoteResponse").lose_all();
    script.feed(3, Input::Crash { torn: false });
    // Node 1 finds that it leads no more, and hears of the newer term.
    script.feed(1, Input::Tick).pass(ELECTION).feed(1, Input::Tick);
    script.deliver(1, 2, "PreVoteRequest").deliver(2, 1, "PreVoteResponse").lose_all();
    script.pass(ELECTION).feed(1, Input::Tick);
    script.deliver(1, 2, "PreVoteRequest").deliver(2, 1, "PreVoteResponse");
    script
        .deliver(1, 3, "VoteRequest")
        .deliver(1, 2, "VoteRequest")
        .deliver(2, 1, "VoteResponse")
        .lose_all_to(3);
    script.deliver(1, 2, "Append").deliver(2, 1, "AppendResponse");
    script.deliver(1, 2, "Append").deliver(2, 1, "AppendResponse");
    script.with(Budget { stands: 1, ..in_time(1) })
}
