//! The scenarios that are explored.

use crate::cluster_state::{ClusterState, LEARNER, VOTERS_AFTER_CHANGE};
use crate::config_changes;
use crate::group_options::{GroupOptions, StateMachineKind, ELECTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS};
use crate::input::Input;
use crate::scenario::Scenario;
use crate::scenario_builder::ScenarioBuilder;
use crate::transition::FaultBudget;

/// Only node 1 has a slow disk.
const SLOW_DISK_1: u8 = 1 << 1;
/// Only node 3 has a slow disk.
const SLOW_DISK_3: u8 = 1 << 3;
/// All nodes have slow disks.
const ALL_DISKS_SLOW: u8 = 0b11110;

/// The bits of the changes in [`FaultBudget::proposals`].
const PROPOSE_FIRST: u8 = 1 << config_changes::FIRST;
const PROPOSE_CONFLICTING: u8 = 1 << config_changes::CONFLICTING;
const PROPOSE_SKIPPING: u8 = 1 << config_changes::SKIPPING;
const PROPOSE_SUCCESSOR: u8 = 1 << config_changes::SUCCESSOR;

/// All scenarios, in exploration order.
pub const SCENARIOS: [Scenario; 18] = [
    Scenario {
        name: "follower_crash_before_sync",
        hazard: "processes crash while a change is replicated to two followers, one with a slow disk",
        test_depth: 8,
        initial_state: follower_crash_before_sync,
    },
    Scenario {
        name: "leader_crash_before_sync",
        hazard: "the leader crashes while a change is replicated, and its slow disk loses the change",
        test_depth: 9,
        initial_state: leader_crash_before_sync,
    },
    Scenario {
        name: "any_crash_before_sync",
        hazard: "any process crashes while a change is replicated, and every sync may be late or lost",
        test_depth: 8,
        initial_state: any_crash_before_sync,
    },
    Scenario {
        name: "concurrent_candidates",
        hazard: "two candidates request the vote of one voter in one term; its disk is slow and it may crash",
        test_depth: 6,
        initial_state: concurrent_candidates,
    },
    Scenario {
        name: "vote_during_leader_lease",
        hazard: "a heartbeat is late and a candidate has its pre-votes while the leader still has a lease",
        test_depth: 9,
        initial_state: vote_during_leader_lease,
    },
    Scenario {
        name: "voter_restart_during_leader_lease",
        hazard: "a voter responds to the leader, restarts and is asked for its vote",
        test_depth: 7,
        initial_state: voter_restart_during_leader_lease,
    },
    Scenario {
        name: "order_lease_transfer",
        hazard: "a holder of the order lease transfers its leadership, crashes, or loses an election",
        test_depth: 8,
        initial_state: order_lease_transfer,
    },
    Scenario {
        name: "reelected_order_lease_holder",
        hazard: "a leader that has not waited for another holder's order lease crashes and is elected again",
        test_depth: 8,
        initial_state: reelected_order_lease_holder,
    },
    Scenario {
        name: "voter_disk_loss",
        hazard: "a voter that is asked for its vote acknowledges an entry and loses its disk",
        test_depth: 6,
        initial_state: voter_disk_loss,
    },
    Scenario {
        name: "vote_before_disk_loss",
        hazard:
            "a voter grants a vote, loses its disk and receives the former leader before the vote is counted",
        test_depth: 7,
        initial_state: vote_before_disk_loss,
    },
    Scenario {
        name: "rejoin_point_not_committed",
        hazard: "the same, once the voter has all entries and no majority has committed its rejoin point",
        test_depth: 6,
        initial_state: rejoin_point_not_committed,
    },
    Scenario {
        name: "disk_loss_after_rejoin",
        hazard: "a voter rejoins after the loss of its disk, and then another one loses its own",
        test_depth: 9,
        initial_state: disk_loss_after_rejoin,
    },
    Scenario {
        name: "joint_voter_change",
        hazard: "a voter is replaced by a learner",
        test_depth: 8,
        initial_state: joint_voter_change,
    },
    Scenario {
        name: "leaving_voter_holds_entry",
        hazard: "the voter that leaves holds one of two replicas of an entry, and a disk is lost",
        test_depth: 7,
        initial_state: leaving_voter_holds_entry,
    },
    Scenario {
        name: "concurrent_changes",
        hazard:
            "a leader that is replaced without knowing it and its successor get changes for the same version",
        test_depth: 6,
        initial_state: concurrent_changes,
    },
    Scenario {
        name: "retried_change",
        hazard:
            "the response to a change was lost, another node leads, and the change is retried among others",
        test_depth: 6,
        initial_state: retried_change,
    },
    Scenario {
        name: "reads_of_new_leader",
        hazard: "reads from a leader just elected and from one that is replaced without knowing it",
        test_depth: 6,
        initial_state: reads_of_new_leader,
    },
    Scenario {
        name: "entry_of_older_term",
        hazard: "a leader replicates an entry of an older term while another log ends in a later term",
        test_depth: 9,
        initial_state: entry_of_older_term,
    },
];

/// A group that replicates the configuration.
fn configuration_group(slow_disks: u8) -> GroupOptions {
    GroupOptions { state_machine: StateMachineKind::Configuration, single_entry_appends: false, slow_disks }
}

/// A group that replicates the order lease of a service shard.
fn order_lease_group() -> GroupOptions {
    GroupOptions { state_machine: StateMachineKind::OrderLease, ..configuration_group(0) }
}

/// A budget that allows the clock to advance `count` times by one election time-out.
fn clock_advances(count: u8) -> FaultBudget {
    FaultBudget {
        clock_advances: count,
        clock_advance_ms: ELECTION_TIMEOUT_MS as u16,
        ..FaultBudget::default()
    }
}

fn follower_crash_before_sync() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(SLOW_DISK_3));
    group.input(1, Input::Propose(config_changes::FIRST));
    group.build(FaultBudget { crashes: 1, election_timeouts: 1, ..clock_advances(1) })
}

fn leader_crash_before_sync() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(SLOW_DISK_1));
    group.input(1, Input::Propose(config_changes::FIRST)).deliver(1, 2, "Append").drop_kind("Append");
    group.build(FaultBudget { crashes: 1, election_timeouts: 1, ..clock_advances(1) })
}

fn any_crash_before_sync() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(ALL_DISKS_SLOW));
    group.input(1, Input::Propose(config_changes::FIRST));
    group.build(FaultBudget { crashes: 1, election_timeouts: 1, ..clock_advances(1) })
}

fn concurrent_candidates() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(SLOW_DISK_3));
    group.input(1, Input::Crash { torn_write: false }).advance(ELECTION_TIMEOUT_MS);
    group.input(1, Input::Tick).input(2, Input::Tick);
    group.deliver(1, 3, "PreVoteRequest").deliver(2, 3, "PreVoteRequest");
    group.deliver(3, 1, "PreVoteResponse").deliver(3, 2, "PreVoteResponse");
    group.build(FaultBudget { crashes: 1, ..clock_advances(1) })
}

fn vote_during_leader_lease() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(order_lease_group());
    group.advance(3 * HEARTBEAT_INTERVAL_MS).input(1, Input::Tick).advance(HEARTBEAT_INTERVAL_MS);
    group.build(FaultBudget { election_timeouts: 1, ..FaultBudget::default() })
}

fn voter_restart_during_leader_lease() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(order_lease_group());
    group
        .advance(3 * HEARTBEAT_INTERVAL_MS)
        .input(1, Input::Tick)
        .advance(HEARTBEAT_INTERVAL_MS)
        .input(2, Input::Tick);
    group.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse");
    group.deliver(1, 3, "Heartbeat").deliver(3, 1, "HeartbeatResponse");
    group.build(FaultBudget { crashes: 1, ..FaultBudget::default() })
}

fn order_lease_transfer() -> ClusterState {
    let group = ScenarioBuilder::led_by_1(order_lease_group());
    group.build(FaultBudget {
        crashes: 1,
        election_timeouts: 1,
        leadership_transfers: 2,
        ..clock_advances(2)
    })
}

fn reelected_order_lease_holder() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(order_lease_group());
    group.input(1, Input::TransferLeadership).drop_all();
    group.advance(ELECTION_TIMEOUT_MS).input(2, Input::Tick).deliver_all();
    group.input(2, Input::Crash { torn_write: false }).advance(ELECTION_TIMEOUT_MS).input(2, Input::Tick);
    group.build(FaultBudget { election_timeouts: 1, leadership_transfers: 1, ..clock_advances(1) })
}

fn voter_disk_loss() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(0));
    group.input(1, Input::Propose(config_changes::FIRST)).advance(ELECTION_TIMEOUT_MS).input(2, Input::Tick);
    group.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse");
    group.build(FaultBudget { disk_losses: 1, ..FaultBudget::default() })
}

/// Node 3 has voted for node 2 and lost its disk. Node 1, the leader that node 2 is about to replace, learns of the
/// loss.
fn disk_lost_after_vote() -> ScenarioBuilder {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(0));
    group
        .advance(3 * HEARTBEAT_INTERVAL_MS)
        .input(1, Input::Tick)
        .advance(HEARTBEAT_INTERVAL_MS)
        .input(2, Input::Tick);
    group.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse").deliver(2, 3, "VoteRequest");
    group.input(3, Input::LoseDisk).deliver(1, 3, "Heartbeat").deliver(3, 1, "HeartbeatResponse");
    group.drop_kind("PreVoteRequest").drop_kind("VoteRequest");
    group
}

fn vote_before_disk_loss() -> ClusterState {
    disk_lost_after_vote().build(FaultBudget { disk_losses: 1, leader_ticks: 1, ..FaultBudget::default() })
}

fn rejoin_point_not_committed() -> ClusterState {
    let mut group = disk_lost_after_vote();
    group.replicate(1, 3);
    group.build(FaultBudget {
        disk_losses: 1,
        leader_ticks: 1,
        proposals: PROPOSE_FIRST,
        ..FaultBudget::default()
    })
}

fn disk_loss_after_rejoin() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(0));
    group.input(1, Input::Propose(config_changes::FIRST)).deliver(1, 3, "Append").deliver(
        3,
        1,
        "AppendResponse",
    );
    group.drop_all().input(3, Input::LoseDisk).advance(HEARTBEAT_INTERVAL_MS).input(1, Input::Tick);
    group.deliver(1, 3, "Heartbeat").deliver(3, 1, "HeartbeatResponse");
    group.build(FaultBudget { disk_losses: 1, election_timeouts: 1, ..clock_advances(1) })
}

/// Node 4 is a learner that has received all entries.
fn with_caught_up_learner() -> ScenarioBuilder {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(0));
    group.input(1, Input::AddLearner(LEARNER)).deliver_all();
    group.advance(HEARTBEAT_INTERVAL_MS).input(1, Input::Tick).deliver_all();
    group
}

fn joint_voter_change() -> ClusterState {
    let mut group = with_caught_up_learner();
    group.input(1, Input::ChangeVoters(VOTERS_AFTER_CHANGE.to_vec()));
    group.build(FaultBudget { election_timeouts: 1, ..clock_advances(1) })
}

fn leaving_voter_holds_entry() -> ClusterState {
    let mut group = with_caught_up_learner();
    group
        .input(1, Input::Propose(config_changes::FIRST))
        .deliver(1, 3, "Append")
        .deliver(3, 1, "AppendResponse")
        .drop_all();
    group.build(FaultBudget { disk_losses: 1, election_timeouts: 1, voter_changes: 1, ..clock_advances(1) })
}

/// Elects node 2 with the vote of node 3, without node 1 learning of it.
fn elect_2_unknown_to_1(group: &mut ScenarioBuilder) {
    group.advance(ELECTION_TIMEOUT_MS).input(2, Input::Tick);
    group.deliver(2, 3, "PreVoteRequest").deliver(3, 2, "PreVoteResponse");
    group.deliver(2, 3, "VoteRequest").deliver(3, 2, "VoteResponse");
}

fn concurrent_changes() -> ClusterState {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(0));
    group.input(1, Input::Propose(config_changes::FIRST));
    elect_2_unknown_to_1(&mut group);
    group.drop_kind("PreVoteRequest").drop_kind("VoteRequest");
    group.build(FaultBudget {
        proposals: PROPOSE_FIRST | PROPOSE_CONFLICTING | PROPOSE_SKIPPING,
        ..FaultBudget::default()
    })
}

fn retried_change() -> ClusterState {
    let mut group = replicated_to_1_and_2();
    elect_2_unknown_to_1(&mut group);
    group.drop_all_to(1);
    group.build(FaultBudget {
        leadership_transfers: 1,
        proposals: PROPOSE_FIRST | PROPOSE_CONFLICTING | PROPOSE_SUCCESSOR,
        ..FaultBudget::default()
    })
}

/// An acknowledged change that node 3 lacks, and that node 2 has but does not know to be committed.
fn replicated_to_1_and_2() -> ScenarioBuilder {
    let mut group = ScenarioBuilder::led_by_1(configuration_group(0));
    group
        .input(1, Input::Propose(config_changes::FIRST))
        .deliver(1, 2, "Append")
        .deliver(2, 1, "AppendResponse")
        .drop_all();
    group
}

fn reads_of_new_leader() -> ClusterState {
    let mut group = replicated_to_1_and_2();
    elect_2_unknown_to_1(&mut group);
    group.drop_kind("PreVoteRequest").drop_kind("VoteRequest");
    group.build(FaultBudget { reads: 1, proposals: PROPOSE_SUCCESSOR, ..FaultBudget::default() })
}

/// Node 1 leads term 4 with an entry of term 2 that no other node has; node 3 has an entry of term 3 at the same index.
fn entry_of_older_term() -> ClusterState {
    let options = GroupOptions { single_entry_appends: true, ..configuration_group(0) };
    let mut group = ScenarioBuilder::led_by_1(options);
    group.input(1, Input::Propose(config_changes::FIRST)).drop_all();
    group.advance(ELECTION_TIMEOUT_MS).input(3, Input::Tick);
    group.deliver(3, 2, "PreVoteRequest").deliver(2, 3, "PreVoteResponse");
    group.deliver(3, 2, "VoteRequest").deliver(2, 3, "VoteResponse").drop_all();
    group.input(3, Input::Crash { torn_write: false });
    // Node 1 steps down because it lost its quorum, and learns of the newer term.
    group.input(1, Input::Tick).advance(ELECTION_TIMEOUT_MS).input(1, Input::Tick);
    group.deliver(1, 2, "PreVoteRequest").deliver(2, 1, "PreVoteResponse").drop_all();
    group.advance(ELECTION_TIMEOUT_MS).input(1, Input::Tick);
    group.deliver(1, 2, "PreVoteRequest").deliver(2, 1, "PreVoteResponse");
    group
        .deliver(1, 3, "VoteRequest")
        .deliver(1, 2, "VoteRequest")
        .deliver(2, 1, "VoteResponse")
        .drop_all_to(3);
    group.deliver(1, 2, "Append").deliver(2, 1, "AppendResponse");
    group.deliver(1, 2, "Append").deliver(2, 1, "AppendResponse");
    group.build(FaultBudget { election_timeouts: 1, ..clock_advances(1) })
}
