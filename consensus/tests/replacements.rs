//! Disks that are lost while the voters are being changed, and machines lost right after.

mod group;

use group::{node, Group};
use shaletrail_consensus::{Message, Payload, ReplicaError, RoundStamp, VoterStatus};
use shaletrail_protocol::{Millis, NodeId};

const LIMIT: Millis = 5000;
const SEEDS: std::ops::Range<u64> = 0..10;

/// Three voters, and a learner that was brought up to date.
struct Scene {
    group: Group,
    leader: NodeId,
    staying: NodeId,
    leaving: NodeId,
    learner: NodeId,
}

impl Scene {
    fn new(seed: u64) -> Scene {
        let mut group = Group::founded(3, seed);
        let leader = group.elect();
        group.commit_one();
        let learner = node(4);
        group.add_machine(learner, true);
        group.act(leader, |replica, _| replica.add_learner(learner));
        let counts = |group: &Group| {
            group.replica(leader).peer(learner).is_some_and(|peer| peer.counts_towards_quorum)
        };
        assert!(group.run_until(LIMIT, counts), "{}", group.describe());
        group.run(300);
        let mut followers = (1..=3).map(node).filter(|node| *node != leader);
        let staying = followers.next().expect("two followers");
        let leaving = followers.next().expect("two followers");
        Scene { group, leader, staying, leaving, learner }
    }

    fn voters(&self) -> Vec<NodeId> {
        let mut voters = vec![self.leader, self.staying, self.learner];
        voters.sort_unstable();
        voters
    }

    fn change(&mut self) -> Result<(), ReplicaError> {
        let voters = self.voters();
        self.group
            .act(self.leader, |replica, now| replica.change_voters(now, voters))
            .expect("the leader runs")
    }

    /// Waits until the change is over.
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

    /// Waits until a machine's disk says that it was readmitted.
    fn await_readmission(&mut self, node: NodeId) {
        let readmitted = self.group.run_until(8000, |group| !group.machines[&node].disk.is_recovering());
        assert!(readmitted, "{}", self.group.describe());
    }

    /// The one that leaves ends, and the others hold all that was acknowledged.
    fn assert_nothing_is_lost(&mut self) {
        self.group.crash(self.leaving);
        self.group.commit_one();
        self.group.settle();
        for node in self.group.running() {
            self.group.judge.has_all_acknowledged(&self.group.machines[&node]);
        }
    }
}

fn ends_a_change(message: &Message) -> bool {
    let Message::Append { entries, .. } = message else { return false };
    entries.iter().any(|entry| matches!(&entry.payload, Payload::Voters(voters) if !voters.is_joint()))
}

#[test]
fn given_a_joint_phase_when_a_staying_voter_loses_its_disk_then_it_is_readmitted_and_one_more_may_be_lost() {
    for seed in SEEDS {
        // given
        let mut scene = Scene::new(seed);
        scene.group.filter = Some(Box::new(|_, _, message| !ends_a_change(message)));
        assert_eq!(scene.change(), Ok(()));
        scene.group.run(50);
        assert!(scene.group.replica(scene.leader).is_changing_voters());

        // when
        let staying = scene.staying;
        scene.group.wipe(staying);
        scene.group.restart(staying);
        scene.group.run(300);
        scene.group.filter = None;
        scene.await_readmission(staying);
        scene.await_change();
        scene.group.crash(scene.leader);

        // then
        scene.assert_nothing_is_lost();
    }
}

#[test]
fn given_a_joint_phase_when_the_leader_loses_its_disk_then_another_ends_the_change_and_readmits_it() {
    for seed in SEEDS {
        // given
        let mut scene = Scene::new(seed);
        scene.group.filter = Some(Box::new(|_, _, message| !ends_a_change(message)));
        assert_eq!(scene.change(), Ok(()));
        scene.group.run(50);

        // when
        let leader = scene.leader;
        scene.group.wipe(leader);
        scene.group.restart(leader);
        scene.group.filter = None;
        scene.await_readmission(leader);
        scene.await_change();
        scene.group.crash(scene.staying);

        // then
        scene.assert_nothing_is_lost();
    }
}

#[test]
fn given_a_forgetful_voter_when_a_change_starts_then_it_counts_for_neither_half_before_it_is_readmitted() {
    for seed in SEEDS {
        // given
        let mut scene = Scene::new(seed);
        let staying = scene.staying;
        scene.group.filter = Some(Box::new(|_, _, message| !matches!(message, Message::Rejoin { .. })));
        scene.group.wipe(staying);
        scene.group.restart(staying);
        scene.group.run(500);

        // when: of the voters that stay, only the recovering one is heard
        scene.group.isolate(scene.leaving);
        assert_eq!(scene.change(), Ok(()));
        let (_, index) = scene.group.propose(scene.leader).expect("it leads still");
        scene.group.run(500);

        // then
        assert!(!scene.group.judge.is_acknowledged(index), "seed {seed}");
        scene.group.filter = None;
        scene.group.cuts.clear();
        scene.await_change();
        scene.await_readmission(staying);
        scene.group.crash(scene.leader);
        scene.assert_nothing_is_lost();
    }
}

#[test]
fn given_a_learner_that_was_counted_when_it_has_lost_its_disk_since_then_it_counts_once_it_is_readmitted() {
    for seed in SEEDS {
        // given: the leader has not heard the new disk yet
        let mut scene = Scene::new(seed);
        let learner = scene.learner;
        scene.group.wipe(learner);
        scene.group.isolate(scene.staying);

        // when
        assert_eq!(scene.change(), Ok(()));
        scene.group.filter = Some(Box::new(|_, _, message| !matches!(message, Message::Rejoin { .. })));
        scene.group.restart(learner);
        let (_, index) = scene.group.propose(scene.leader).expect("it leads still");
        scene.group.run(400);

        // then
        assert!(scene.group.replica(learner).last().index >= index, "it takes entries");
        assert!(!scene.group.judge.is_acknowledged(index), "seed {seed}");
        scene.group.filter = None;
        scene.group.cuts.clear();
        scene.await_change();
        scene.await_readmission(learner);
        scene.group.crash(scene.leader);
        scene.assert_nothing_is_lost();
    }
}

#[test]
fn given_a_new_leader_when_nothing_of_its_term_is_committed_then_it_starts_no_change() {
    let mut group = Group::founded(3, 1);
    group.isolate(node(1));
    group.elect();
    let leader = group.elect_now();
    group.filter = Some(Box::new(|_, _, message| !matches!(message, Message::AppendResponse { .. })));
    group.crash(leader);
    group.cuts.clear();
    group.run_until(LIMIT, |group| group.leader().is_some());
    let leader = group.elect_now();
    let voters = vec![node(1), node(2)];
    let refused = group.act(leader, |replica, now| replica.change_voters(now, voters));
    assert_eq!(refused, Some(Err(ReplicaError::ChangePending)));
}

#[test]
fn given_a_joint_phase_that_is_not_committed_when_an_earlier_entry_is_then_it_does_not_end() {
    for seed in SEEDS {
        let mut scene = Scene::new(seed);
        scene.group.filter = Some(Box::new(|_, _, message| !brings_voters(message)));
        let (_, index) = scene.group.propose(scene.leader).expect("it leads");
        assert_eq!(scene.change(), Ok(()));
        scene.group.run(100);
        assert!(scene.group.judge.is_acknowledged(index), "{}", scene.group.describe());
        assert!(scene.group.replica(scene.leader).voters().is_joint(), "seed {seed}");
        scene.group.filter = None;
        scene.await_change();
        scene.assert_nothing_is_lost();
    }
}

fn brings_voters(message: &Message) -> bool {
    let Message::Append { entries, .. } = message else { return false };
    entries.iter().any(|entry| matches!(entry.payload, Payload::Voters(_)))
}

#[test]
fn given_a_leader_that_is_removed_when_that_is_not_committed_then_it_still_leads() {
    for seed in SEEDS {
        let mut scene = Scene::new(seed);
        let (leader, rest) = (scene.leader, vec![scene.staying, scene.leaving, scene.learner]);
        scene.group.filter = Some(Box::new(|_, _, message| !ends_a_change(message)));
        let changed = scene.group.act(leader, |replica, now| replica.change_voters(now, rest));
        assert_eq!(changed, Some(Ok(())));
        scene.group.run(100);
        assert!(!scene.group.replica(leader).voters().contains(leader), "{}", scene.group.describe());
        assert!(scene.group.replica(leader).is_leader(), "seed {seed}");
    }
}

#[test]
fn given_a_learner_that_was_never_heard_when_the_leader_is_asked_then_it_does_not_count() {
    let mut scene = Scene::new(1);
    scene.group.act(scene.leader, |replica, _| replica.add_learner(node(9)));
    let peer = scene.group.replica(scene.leader).peer(node(9));
    assert!(peer.is_some_and(|peer| !peer.counts_towards_quorum), "{peer:?}");
}

/// An answer of another disk than the one that runs, which promises all that the leader has.
fn forge_answer(scene: &mut Scene, standing: VoterStatus, round: u64) {
    let replica = scene.group.replica(scene.leader);
    let (term, last) = (replica.term(), replica.last().index);
    let stamp = RoundStamp { round, sent_at: scene.group.machines[&scene.leader].clock(scene.group.now) };
    let answer = Message::HeartbeatResponse { term, stamp, received: last, matched: last, status: standing };
    scene.group.forge(scene.staying, scene.leader, answer);
    scene.group.run(10);
}

#[test]
fn given_a_new_disk_when_a_new_answer_of_the_lost_one_arrives_then_it_does_not_count() {
    let mut scene = Scene::new(2);
    scene.group.filter = Some(Box::new(|_, _, message| !matches!(message, Message::Rejoin { .. })));
    scene.group.wipe(scene.staying);
    scene.group.restart(scene.staying);
    scene.group.run(500);
    // Newer than all that was heard, but of a round that was sent: others do not count anyway.
    scene.group.isolate(scene.staying);
    scene.group.run(200);
    let newest = scene.group.rounds_sent[&scene.leader];
    forge_answer(&mut scene, VoterStatus { disk_id: 12345, recovering: false }, newest);
    let peer = scene.group.replica(scene.leader).peer(scene.staying);
    assert!(peer.is_some_and(|peer| !peer.counts_towards_quorum), "{peer:?}");
}

#[test]
fn given_a_readmitted_disk_when_an_old_answer_of_one_before_it_arrives_then_it_still_counts() {
    let mut scene = Scene::new(3);
    scene.group.wipe(scene.staying);
    scene.group.restart(scene.staying);
    scene.await_readmission(scene.staying);
    scene.group.run(500);
    forge_answer(&mut scene, VoterStatus { disk_id: 12345, recovering: true }, 1);
    scene.group.run(500);
    let peer = scene.group.replica(scene.leader).peer(scene.staying);
    assert!(peer.is_some_and(|peer| peer.counts_towards_quorum), "{peer:?}");
}
