//! Disks that are lost during a membership change, and machines that fail right after it.

mod group;

use group::{leaves_joint, node, Group};
use shaletrail_consensus::{Message, Payload, ReplicaError, RoundStamp, VoterStatus};
use shaletrail_protocol::{Millis, NodeId};

const TIMEOUT_MS: Millis = 5000;
const SEEDS: std::ops::Range<u64> = 0..10;

/// A group of three voters, with a learner that has caught up.
struct Fixture {
    group: Group,
    leader: NodeId,
    staying: NodeId,
    leaving: NodeId,
    learner: NodeId,
}

impl Fixture {
    fn new(seed: u64) -> Fixture {
        let mut group = Group::bootstrapped(3, seed);
        let leader = group.await_leader();
        group.commit_one();
        let learner = node(4);
        group.add_machine(learner, true);
        group.call(leader, |replica, _| replica.add_learner(learner));
        let counts = |group: &Group| {
            group.replica(leader).peer_status(learner).is_some_and(|peer| peer.counts_towards_quorum)
        };
        assert!(group.run_until(TIMEOUT_MS, counts), "{}", group.describe());
        group.run(300);
        let mut followers = (1..=3).map(node).filter(|node| *node != leader);
        let staying = followers.next().expect("a group of three has two followers");
        let leaving = followers.next().expect("a group of three has two followers");
        Fixture { group, leader, staying, leaving, learner }
    }

    fn voters(&self) -> Vec<NodeId> {
        let mut voters = vec![self.leader, self.staying, self.learner];
        voters.sort_unstable();
        voters
    }

    fn change(&mut self) -> Result<(), ReplicaError> {
        let voters = self.voters();
        self.group
            .call(self.leader, |replica, now| replica.change_voters(now, voters))
            .expect("the leader is running")
    }

    /// Waits until the membership change is complete.
    fn await_change(&mut self) {
        let voters = self.voters();
        let is_done = |group: &Group| {
            group.leader().is_some_and(|leader| {
                let replica = group.replica(leader);
                !replica.is_changing_voters() && replica.voters().incoming() == voters
            })
        };
        assert!(self.group.run_until(8000, is_done), "{}", self.group.describe());
    }

    /// Waits until the disk of a machine records that it has rejoined.
    fn await_rejoin(&mut self, node: NodeId) {
        let has_rejoined = self.group.run_until(8000, |group| !group.machines[&node].disk.is_recovering());
        assert!(has_rejoined, "{}", self.group.describe());
    }

    /// Crashes the voter that leaves, and checks that the others hold everything that was acknowledged.
    fn assert_nothing_is_lost(&mut self) {
        self.group.crash(self.leaving);
        self.group.commit_one();
        self.group.await_applied();
        for node in self.group.running() {
            self.group.invariants.assert_nothing_lost(&self.group.machines[&node]);
        }
    }
}

#[test]
fn staying_voter_rejoins_in_joint_phase() {
    for seed in SEEDS {
        // given
        let mut fixture = Fixture::new(seed);
        fixture.group.drop_messages(leaves_joint);
        assert_eq!(fixture.change(), Ok(()));
        fixture.group.run(50);
        assert!(fixture.group.replica(fixture.leader).is_changing_voters());

        // when
        let staying = fixture.staying;
        fixture.group.wipe_disk(staying);
        fixture.group.restart(staying);
        fixture.group.run(300);
        fixture.group.filter = None;
        fixture.await_rejoin(staying);
        fixture.await_change();
        fixture.group.crash(fixture.leader);

        // then
        fixture.assert_nothing_is_lost();
    }
}

#[test]
fn former_leader_rejoins_in_joint_phase() {
    for seed in SEEDS {
        // given
        let mut fixture = Fixture::new(seed);
        fixture.group.drop_messages(leaves_joint);
        assert_eq!(fixture.change(), Ok(()));
        fixture.group.run(50);

        // when
        let leader = fixture.leader;
        fixture.group.wipe_disk(leader);
        fixture.group.restart(leader);
        fixture.group.filter = None;
        fixture.await_rejoin(leader);
        fixture.await_change();
        fixture.group.crash(fixture.staying);

        // then
        fixture.assert_nothing_is_lost();
    }
}

#[test]
fn recovering_voter_counts_for_neither_half() {
    for seed in SEEDS {
        // given
        let mut fixture = Fixture::new(seed);
        let staying = fixture.staying;
        fixture.group.drop_messages(|message| matches!(message, Message::Rejoin { .. }));
        fixture.group.wipe_disk(staying);
        fixture.group.restart(staying);
        fixture.group.run(500);

        // when: of the voters that stay, only the recovering one responds
        fixture.group.isolate(fixture.leaving);
        assert_eq!(fixture.change(), Ok(()));
        let (_, index) = fixture.group.propose(fixture.leader).expect("it is still the leader");
        fixture.group.run(500);

        // then
        assert!(!fixture.group.invariants.is_acknowledged(index), "seed {seed}");
        fixture.group.filter = None;
        fixture.group.blocked_links.clear();
        fixture.await_change();
        fixture.await_rejoin(staying);
        fixture.group.crash(fixture.leader);
        fixture.assert_nothing_is_lost();
    }
}

#[test]
fn learner_with_lost_disk_counts_once_rejoined() {
    for seed in SEEDS {
        // given: the learner's new disk has not responded to the leader yet
        let mut fixture = Fixture::new(seed);
        let learner = fixture.learner;
        fixture.group.wipe_disk(learner);
        fixture.group.isolate(fixture.staying);

        // when
        assert_eq!(fixture.change(), Ok(()));
        fixture.group.drop_messages(|message| matches!(message, Message::Rejoin { .. }));
        fixture.group.restart(learner);
        let (_, index) = fixture.group.propose(fixture.leader).expect("it is still the leader");
        fixture.group.run(400);

        // then
        assert!(fixture.group.replica(learner).last_position().index >= index, "it receives entries");
        assert!(!fixture.group.invariants.is_acknowledged(index), "seed {seed}");
        fixture.group.filter = None;
        fixture.group.blocked_links.clear();
        fixture.await_change();
        fixture.await_rejoin(learner);
        fixture.group.crash(fixture.leader);
        fixture.assert_nothing_is_lost();
    }
}

#[test]
fn new_leader_rejects_change_before_own_commit() {
    // given
    let mut group = Group::bootstrapped(3, 1);
    group.isolate(node(1));
    group.await_leader();
    let leader = group.current_leader();
    group.drop_messages(|message| matches!(message, Message::AppendResponse { .. }));
    group.crash(leader);
    group.blocked_links.clear();
    group.run_until(TIMEOUT_MS, |group| group.leader().is_some());
    let leader = group.current_leader();
    let voters = vec![node(1), node(2)];
    // when
    let rejected = group.call(leader, |replica, now| replica.change_voters(now, voters));
    // then
    assert_eq!(rejected, Some(Err(ReplicaError::ChangePending)));
}

#[test]
fn uncommitted_joint_phase_does_not_end() {
    for seed in SEEDS {
        // given
        let mut fixture = Fixture::new(seed);
        fixture.group.drop_messages(changes_voters);
        // when
        let (_, index) = fixture.group.propose(fixture.leader).expect("it is the leader");
        assert_eq!(fixture.change(), Ok(()));
        fixture.group.run(100);
        // then
        assert!(fixture.group.invariants.is_acknowledged(index), "{}", fixture.group.describe());
        assert!(fixture.group.replica(fixture.leader).voters().is_joint(), "seed {seed}");
        fixture.group.filter = None;
        fixture.await_change();
        fixture.assert_nothing_is_lost();
    }
}

fn changes_voters(message: &Message) -> bool {
    let Message::Append { entries, .. } = message else { return false };
    entries.iter().any(|entry| matches!(entry.payload, Payload::Voters(_)))
}

#[test]
fn removed_leader_leads_until_committed() {
    for seed in SEEDS {
        // given
        let mut fixture = Fixture::new(seed);
        let (leader, rest) = (fixture.leader, vec![fixture.staying, fixture.leaving, fixture.learner]);
        fixture.group.drop_messages(leaves_joint);
        // when
        let changed = fixture.group.call(leader, |replica, now| replica.change_voters(now, rest));
        assert_eq!(changed, Some(Ok(())));
        fixture.group.run(100);
        // then
        assert!(!fixture.group.replica(leader).voters().contains(leader), "{}", fixture.group.describe());
        assert!(fixture.group.replica(leader).is_leader(), "seed {seed}");
    }
}

#[test]
fn learner_without_contact_does_not_count() {
    // given
    let mut fixture = Fixture::new(1);
    // when
    fixture.group.call(fixture.leader, |replica, _| replica.add_learner(node(9)));
    // then
    let peer = fixture.group.replica(fixture.leader).peer_status(node(9));
    assert!(peer.is_some_and(|peer| !peer.counts_towards_quorum), "{peer:?}");
}

/// Delivers a response from a disk other than the current one. It acknowledges every entry that the leader has.
fn inject_response(fixture: &mut Fixture, status: VoterStatus, round: u64) {
    let replica = fixture.group.replica(fixture.leader);
    let (term, last) = (replica.term(), replica.last_position().index);
    let stamp =
        RoundStamp { round, sent_at: fixture.group.machines[&fixture.leader].clock(fixture.group.now) };
    let response = Message::HeartbeatResponse { term, stamp, received: last, matched: last, status };
    fixture.group.inject(fixture.staying, fixture.leader, response);
    fixture.group.run(10);
}

#[test]
fn new_response_of_lost_disk_does_not_count() {
    // given
    let mut fixture = Fixture::new(2);
    fixture.group.drop_messages(|message| matches!(message, Message::Rejoin { .. }));
    fixture.group.wipe_disk(fixture.staying);
    fixture.group.restart(fixture.staying);
    fixture.group.run(500);
    // The round is newer than all that were responded to, but was sent. A round that was never sent would be ignored in
    // any case.
    fixture.group.isolate(fixture.staying);
    fixture.group.run(200);
    let newest = fixture.group.last_rounds[&fixture.leader];
    // when
    inject_response(&mut fixture, VoterStatus { disk_id: 12345, recovering: false }, newest);
    // then
    let peer = fixture.group.replica(fixture.leader).peer_status(fixture.staying);
    assert!(peer.is_some_and(|peer| !peer.counts_towards_quorum), "{peer:?}");
}

#[test]
fn old_response_of_lost_disk_changes_nothing() {
    // given
    let mut fixture = Fixture::new(3);
    fixture.group.wipe_disk(fixture.staying);
    fixture.group.restart(fixture.staying);
    fixture.await_rejoin(fixture.staying);
    fixture.group.run(500);
    // when
    inject_response(&mut fixture, VoterStatus { disk_id: 12345, recovering: true }, 1);
    fixture.group.run(500);
    // then
    let peer = fixture.group.replica(fixture.leader).peer_status(fixture.staying);
    assert!(peer.is_some_and(|peer| peer.counts_towards_quorum), "{peer:?}");
}
