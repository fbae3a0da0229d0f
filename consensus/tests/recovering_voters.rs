//! Recovering voters: voters that lost their disks and have not rejoined yet.

mod group;

use group::{node, Group};
use shaletrail_consensus::{
    Effect, HardState, Index, LogPosition, Message, Options, Record, Replica, Role, RoundStamp, VoterStatus,
};
use shaletrail_protocol::NodeId;

fn is_rejoin(message: &Message) -> bool {
    matches!(message, Message::Rejoin { .. })
}

/// A group with a leader and two followers, one of which is about to lose its disk.
struct Fixture {
    group: Group,
    leader: NodeId,
    other: NodeId,
    recovering: NodeId,
}

fn fixture(seed: u64) -> Fixture {
    let mut group = Group::bootstrapped(3, seed);
    let leader = group.await_leader();
    group.commit_one();
    group.run(200);
    let mut followers = group.running().into_iter().filter(|node| *node != leader);
    let other = followers.next().expect("a group of three has two followers");
    let recovering = followers.next().expect("a group of three has two followers");
    Fixture { group, leader, other, recovering }
}

#[test]
fn recovered_voter_counts_again() {
    for seed in 0..20 {
        // given
        let Fixture { mut group, leader, other, recovering } = fixture(seed);
        // when
        group.wipe_disk(recovering);
        group.restart(recovering);
        assert!(group.replica(recovering).is_recovering());
        group.run(1500);
        // then
        assert!(!group.replica(recovering).is_recovering(), "{}", group.describe());
        assert_eq!(group.role(recovering), Role::Follower);
        group.crash(other);
        let index = group.commit_one();
        group.crash(leader);
        group.restart(other);
        group.commit_one();
        assert!(group.machines[&recovering].applied >= index);
    }
}

#[test]
fn recovering_voter_makes_no_quorum() {
    // given
    let Fixture { mut group, leader, other, recovering } = fixture(1);
    // when
    group.wipe_disk(recovering);
    group.crash(other);
    group.restart(recovering);
    let (_, index) = group.propose(leader).expect("it is still the leader");
    group.run(10_000);
    // then
    assert!(!group.invariants.is_acknowledged(index));
    assert!(group.replica(recovering).is_recovering());
    assert!(!group.has_lease(leader));
    group.restart(other);
    group.commit_one();
    group.await_applied();
    assert!(!group.replica(recovering).is_recovering());
}

#[test]
fn recovering_voter_elects_nobody() {
    // given
    let Fixture { mut group, leader, other: _, recovering } = fixture(2);
    // when
    group.crash(leader);
    group.wipe_disk(recovering);
    group.restart(recovering);
    group.run(10_000);
    // then
    assert_eq!(group.leader(), None);
    assert_eq!(group.role(recovering), Role::Learner);
    group.restart(leader);
    group.commit_one();
}

#[test]
fn acknowledgement_of_recovering_voter_counts_for_nothing() {
    // given
    let Fixture { mut group, leader, other, recovering } = fixture(3);
    group.drop_messages(is_rejoin);
    group.wipe_disk(recovering);
    group.restart(recovering);
    group.run(500);
    // when
    group.isolate(other);
    let (_, index) = group.propose(leader).expect("it is still the leader");
    let token = group.read(leader).expect("it is still the leader");
    group.run(300);
    // then
    assert!(group.replica(recovering).last_position().index >= index, "it receives entries");
    assert!(!group.invariants.is_acknowledged(index));
    assert!(group.invariants.is_read_pending(token));
}

#[test]
fn rejoin_needs_quorum_without_recovering_voter() {
    // given
    let Fixture { mut group, leader, other, recovering } = fixture(4);
    group.isolate(other);
    // when
    group.wipe_disk(recovering);
    group.restart(recovering);
    group.run(900);
    // then
    assert_eq!(group.sent.get("Rejoin"), None);
    assert!(group.replica(recovering).is_recovering());
    assert!(group.replica(leader).peer_status(recovering).is_some_and(|peer| !peer.counts_towards_quorum));
}

#[test]
fn rejoin_counts_once_synced() {
    // given
    let Fixture { mut group, recovering, .. } = fixture(5);
    group.wipe_disk(recovering);
    group.restart(recovering);
    let is_rejoin_sent = group.run_until(3000, |group| group.sent.contains_key("Rejoin"));
    assert!(is_rejoin_sent);
    // when
    group.machine(recovering).is_disk_stalled = true;
    group.run(20);
    // then
    assert!(!group.replica(recovering).is_recovering(), "the rejoin is recorded in memory");
    let is_recovering_on_disk = group.machines[&recovering].disk.is_recovering();
    assert!(is_recovering_on_disk);
    let counts = |group: &Group| {
        group
            .replica(group.current_leader())
            .peer_status(recovering)
            .is_some_and(|peer| peer.counts_towards_quorum)
    };
    group.run(500);
    assert!(!counts(&group), "a rejoin counts once it is synced");
    group.machine(recovering).is_disk_stalled = false;
    group.run(500);
    assert!(counts(&group));
}

/// A group in which a voter has lost its disk and has not rejoined. Both followers are isolated, and an entry is
/// pending.
fn fixture_with_pending_entry(seed: u64) -> (Fixture, Index) {
    let mut fixture = fixture(seed);
    let Fixture { group, leader, other, recovering } = &mut fixture;
    group.drop_messages(is_rejoin);
    group.wipe_disk(*recovering);
    group.restart(*recovering);
    group.run(500);
    group.isolate(*other);
    group.isolate(*recovering);
    let (_, index) = group.propose(*leader).expect("it is still the leader");
    (fixture, index)
}

/// Delivers a response of the lost disk to the given round, which claims to hold the entry, and checks that it does not
/// count.
fn assert_response_of_lost_disk_does_not_count(fixture: Fixture, index: Index, round: u64) {
    let Fixture { mut group, leader, recovering, .. } = fixture;
    let status = VoterStatus { disk_id: 12345, recovering: false };
    let stamp = RoundStamp { round, sent_at: group.machines[&leader].clock(group.now) };
    let term = group.term(leader);
    let response = Message::HeartbeatResponse { term, stamp, received: index, matched: index, status };
    group.inject(recovering, leader, response);
    group.run(50);
    assert!(!group.invariants.is_acknowledged(index));
    let peer = group.replica(leader).peer_status(recovering).expect("the leader replicates to it");
    assert!(!peer.counts_towards_quorum && peer.matched < index, "{peer:?}");
}

#[test]
fn late_response_of_lost_disk_does_not_count() {
    let (fixture, index) = fixture_with_pending_entry(6);
    assert_response_of_lost_disk_does_not_count(fixture, index, 1);
}

#[test]
fn last_round_response_of_lost_disk_does_not_count() {
    let (mut fixture, index) = fixture_with_pending_entry(9);
    fixture.group.run(160);
    let round = fixture.group.last_rounds[&fixture.leader];
    assert_response_of_lost_disk_does_not_count(fixture, index, round);
}

#[test]
fn rejoin_needs_rejoin_point_on_disk() {
    // given
    let Fixture { mut group, recovering, .. } = fixture(8);
    group.filter = Some(Box::new(move |_, to, message| {
        to != recovering || !matches!(message, Message::Append { .. } | Message::InstallSnapshot { .. })
    }));
    // when
    group.wipe_disk(recovering);
    group.restart(recovering);
    group.run(500);
    group.commit_one();
    group.run(1000);
    // then
    assert_eq!(group.sent.get("Rejoin"), None);
    assert!(group.replica(recovering).is_recovering());
}

#[test]
fn rejoin_records_vote_for_leader() {
    // given
    let mut options = Options::new(node(2), 1);
    options.recovering = true;
    let mut voter = Replica::new(options, Vec::new(), 0);
    let disk_id = voter.records().into_iter().find_map(|record| match record {
        Record::HardState(hard_state) => Some(hard_state.disk_id),
        _ => None,
    });
    let disk_id = disk_id.expect("a hard state was recorded");
    // when
    voter.receive(10, node(1), Message::Rejoin { term: 3, disk_id });
    // then
    let expected = HardState { term: 3, voted_for: Some(node(1)), recovering: false, disk_id };
    assert_eq!(voter.records(), [Record::HardState(expected)]);
}

#[test]
fn former_leader_gains_nothing_from_lost_disk() {
    let mut reached = 0;
    for seed in 0..40 {
        // given: a leader that has not learned that another one was elected with a follower's vote
        let mut group = Group::bootstrapped_with(3, seed, |options| options.election_max_ms = 4000);
        let former = group.await_leader();
        group.commit_one();
        group.isolate(former);
        let has_leader = group.run_until(3500, |group| group.leader().is_some_and(|leader| leader != former));
        if !has_leader || !group.replica(former).is_leader() {
            continue;
        }
        reached += 1;
        let leader = group.leader().expect("the group has a leader");
        let voter = [1, 2, 3]
            .map(node)
            .into_iter()
            .find(|node| ![former, leader].contains(node))
            .expect("a third voter");
        let (_, index) = group.propose(leader).expect("it is the leader");
        group.run_until(100, |group| group.invariants.is_acknowledged(index));
        // when: that follower loses its disk and receives messages from the former leader only
        group.wipe_disk(voter);
        group.restart(voter);
        group.blocked_links.clear();
        group.isolate(leader);
        let lost = group.propose(former).expect("the former leader does not know of the election yet").1;
        let token = group.read(former).expect("the former leader does not know of the election yet");
        group.run(500);
        // then: nothing from the former leader is confirmed with its help
        assert!(group.replica(voter).is_recovering(), "seed {seed}");
        assert!(!group.has_lease(former), "seed {seed}");
        assert!(group.invariants.is_read_pending(token) || group.invariants.reads_failed > 0, "seed {seed}");
        assert!(group.machines[&former].applied < lost, "seed {seed}");
        group.blocked_links.clear();
        group.run(10_000);
        group.commit_one();
        group.await_applied();
        group.assert_nothing_lost();
    }
    assert!(reached >= 10, "only {reached} seeds reach the case");
}

#[test]
fn rejoin_of_another_disk_is_ignored() {
    // given
    let mut options = Options::new(node(2), 1);
    options.recovering = true;
    let mut voter = Replica::new(options, Vec::new(), 0);
    // when
    voter.receive(10, node(1), Message::Rejoin { term: 3, disk_id: 99 });
    // then
    assert!(voter.is_recovering());
}

#[test]
fn recovering_voter_grants_no_vote() {
    // given
    let mut options = Options::new(node(2), 1);
    options.recovering = true;
    let mut voter = Replica::new(options, Vec::new(), 0);
    let last = LogPosition { term: 9, index: 9 };
    // when
    voter.receive(5000, node(1), Message::PreVoteRequest { term: 3, last });
    voter.receive(5000, node(1), Message::VoteRequest { term: 3, last, leadership_transfer: false });
    let mut effects = voter.take_effects();
    for effect in &effects {
        if let Effect::Persist { ticket, .. } = effect {
            voter.persisted(5001, *ticket);
        }
    }
    effects.extend(voter.take_effects());
    // then
    let grants = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send(
                _,
                Message::VoteResponse { granted: true, .. } | Message::PreVoteResponse { granted: true, .. }
            )
        )
    };
    assert!(!effects.iter().any(grants), "{effects:?}");
}

#[test]
fn rejoin_point_outdates_candidates_from_before_loss() {
    // given: five voters. A candidate has the vote of a voter that then loses its disk and rejoins in the old term.
    let mut group = Group::bootstrapped(5, 7);
    let leader = group.await_leader();
    group.commit_one();
    group.run(200);
    let others: Vec<NodeId> = group.running().into_iter().filter(|node| *node != leader).collect();
    let (candidate, recovering, voter) = (others[0], others[1], others[2]);
    let last = group.replica(candidate).last_position();
    let term = group.term(leader) + 1;
    group.isolate(candidate);
    group.wipe_disk(recovering);
    group.restart(recovering);
    group.run(1500);
    assert!(!group.replica(recovering).is_recovering());
    // when: the candidate's vote request reaches another voter late, and bypasses the leader lease
    group.blocked_links.clear();
    group.inject(candidate, voter, Message::VoteRequest { term, last, leadership_transfer: true });
    // then: it is rejected, because the voter's log contains the rejoin point
    group.drop_messages(|message| matches!(message, Message::VoteResponse { granted: true, .. }));
    let is_vote = |record: &Record| match record {
        Record::HardState(hard_state) => hard_state.voted_for == Some(candidate) && hard_state.term == term,
        _ => false,
    };
    let mut granted = false;
    for _ in 0..10 {
        group.run(5);
        granted |= group.machines[&voter].disk.records().iter().any(is_vote);
    }
    assert!(!granted);
}

#[test]
fn successive_disk_losses_lose_nothing() {
    for seed in 0..10 {
        let mut group = Group::bootstrapped(3, seed);
        for attempt in 0..9 {
            group.commit_one();
            let lost = node(attempt % 3 + 1);
            group.wipe_disk(lost);
            group.restart(lost);
            let has_rejoined = group.run_until(8000, |group| !group.machines[&lost].disk.is_recovering());
            assert!(has_rejoined, "seed {seed}, attempt {attempt}: {}", group.describe());
        }
        group.commit_one();
        group.await_applied();
        group.assert_nothing_lost();
    }
}

#[test]
fn disk_loss_and_power_loss_lose_nothing() {
    for seed in 0..30 {
        // given
        let Fixture { mut group, leader, other, recovering } = fixture(seed);
        group.commit_one();
        let crashed = if seed % 2 == 0 { [leader, other] } else { [recovering, other] };
        let lost = if seed % 2 == 0 { recovering } else { leader };
        // when
        group.wipe_disk(lost);
        crashed.iter().for_each(|node| group.crash(*node));
        for machine in [lost, crashed[0], crashed[1]] {
            group.restart(machine);
        }
        // then
        group.commit_one();
        group.await_applied();
        group.assert_nothing_lost();
    }
}
