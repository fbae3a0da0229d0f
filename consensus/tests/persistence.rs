//! Persistence: messages that wait for a sync, and replicas restored from their records.

mod group;

use group::{node, Group};
use shaletrail_consensus::{
    Effect, Entry, HardState, LogPosition, MalformedRecord, Message, Options, Payload, Record, Replica, Role,
    Snapshot, VoterSet,
};

fn bootstrapped_replica(number: u32) -> Replica {
    let mut replica = Replica::new(Options::new(node(number), 1), Vec::new(), 0);
    replica.bootstrap(0, &[node(1), node(2), node(3)]);
    replica
}

fn sent_message_names(effects: &[Effect]) -> Vec<&'static str> {
    let names = effects.iter().filter_map(|effect| match effect {
        Effect::Send(_, message) => Some(message.name()),
        _ => None,
    });
    names.collect()
}

fn last_ticket(effects: &[Effect]) -> u64 {
    let tickets = effects.iter().filter_map(|effect| match effect {
        Effect::Persist { ticket, .. } => Some(*ticket),
        _ => None,
    });
    tickets.max().expect("there are records to persist")
}

/// A voter that has synced its bootstrap.
fn synced_voter() -> Replica {
    let mut voter = bootstrapped_replica(2);
    let ticket = last_ticket(&voter.take_effects());
    voter.persisted(1, ticket);
    voter.take_effects();
    voter
}

#[test]
fn vote_is_sent_once_synced() {
    // given
    let mut voter = synced_voter();
    let last = voter.last_position();
    // when
    voter.receive(10, node(1), Message::VoteRequest { term: 2, last, leadership_transfer: false });
    // then
    let effects = voter.take_effects();
    assert_eq!(sent_message_names(&effects), Vec::<&str>::new());
    voter.persisted(20, last_ticket(&effects));
    insta::assert_debug_snapshot!(voter.take_effects(), @r#"
    [
        Send(
            NodeId(
                167772161,
            ),
            VoteResponse {
                term: 2,
                granted: true,
            },
        ),
    ]
    "#);
}

#[test]
fn second_candidate_of_term_is_rejected() {
    // given
    let mut voter = synced_voter();
    let last = voter.last_position();
    voter.receive(10, node(1), Message::VoteRequest { term: 2, last, leadership_transfer: false });
    // when
    voter.receive(11, node(3), Message::VoteRequest { term: 2, last, leadership_transfer: false });
    // then
    let ticket = last_ticket(&voter.take_effects());
    voter.persisted(20, ticket);
    let responses = voter.take_effects();
    assert!(responses.contains(&Effect::Send(node(3), Message::VoteResponse { term: 2, granted: false })));
}

#[test]
fn candidate_requests_votes_once_term_is_synced() {
    // given
    let mut candidate = synced_voter();
    candidate.tick(5000);
    candidate.take_effects();
    // when
    candidate.receive(5001, node(1), Message::PreVoteResponse { term: 2, granted: true });
    let effects = candidate.take_effects();
    // then
    assert_eq!((candidate.role(), sent_message_names(&effects)), (Role::Candidate, vec![]));
    candidate.persisted(5002, last_ticket(&effects));
    assert_eq!(sent_message_names(&candidate.take_effects()), ["VoteRequest", "VoteRequest"]);
}

#[test]
fn append_is_acknowledged_once_synced() {
    // given
    let mut group = Group::bootstrapped(3, 1);
    let leader = group.await_leader();
    group.run(200);
    let slow =
        group.running().into_iter().find(|node| *node != leader).expect("a group of three has a follower");
    group.machine(slow).is_disk_stalled = true;
    // when
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.filter = Some(Box::new(move |from, _, message| {
        assert!(from != slow || !matches!(message, Message::AppendResponse { .. }), "{message:?}");
        true
    }));
    let before = group.sent["HeartbeatResponse"];
    group.run(1600);
    // then
    assert!(group.invariants.is_acknowledged(index));
    assert!(group.sent["HeartbeatResponse"] >= before + 20);
    assert!(
        group.machines[&slow].applied >= index,
        "applying a committed entry does not wait for the follower's own disk"
    );
    assert!(group.replica(leader).peer_status(slow).is_some_and(|peer| peer.matched < index));
}

#[test]
fn leader_with_stalled_disk_commits() {
    // given
    let mut group = Group::bootstrapped(3, 2);
    let leader = group.await_leader();
    group.run(200);
    group.machine(leader).is_disk_stalled = true;
    // when
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.run(100);
    // then
    assert!(group.invariants.is_acknowledged(index));
}

#[test]
fn unsynced_majority_commits_nothing() {
    // given
    let mut group = Group::bootstrapped(3, 3);
    let leader = group.await_leader();
    group.run(200);
    let others: Vec<_> = group.running().into_iter().filter(|node| *node != leader).collect();
    group.crash(others[0]);
    group.machine(others[1]).is_disk_stalled = true;
    // when
    let (_, index) = group.propose(leader).expect("the leader accepts the proposal");
    group.run(2000);
    // then
    assert!(!group.invariants.is_acknowledged(index));
    group.machine(others[1]).is_disk_stalled = false;
    group.run(100);
    assert!(group.invariants.is_acknowledged(index));
}

#[test]
fn acknowledged_command_survives_power_loss() {
    for seed in 0..20 {
        // given
        let mut group = Group::bootstrapped(3, seed);
        let index = group.commit_one();
        // when
        for member in group.running() {
            group.crash(member);
        }
        for member in [1, 2, 3] {
            group.restart(node(member));
        }
        // then
        group.commit_one();
        group.await_applied();
        assert!(group.all_applied(index));
        group.assert_nothing_lost();
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(index.to_be_bytes().as_slice().into()) }
}

fn hard_state_record(term: u64) -> Record {
    Record::HardState(HardState { term, voted_for: None, recovering: false, disk_id: 5 })
}

fn snapshot(index: u64, term: u64) -> Record {
    let voters = VoterSet::new(&[node(1), node(2), node(3)]);
    Record::Snapshot(Snapshot {
        position: LogPosition { term, index },
        voters,
        state: [1, 2].as_slice().into(),
    })
}

fn restored(records: Vec<Record>) -> Replica {
    Replica::new(Options::new(node(1), 1), records, 0)
}

#[test]
fn records_survive_encoding() {
    for record in [hard_state_record(3), snapshot(9, 2), Record::Entries(vec![entry(1, 1), entry(2, 1)])] {
        assert_eq!(Record::decode(&record.encode()), Ok(record));
    }
}

#[test]
fn malformed_record_is_an_error() {
    assert_eq!(Record::decode(&[255; 3]), Err(MalformedRecord { length: 3 }));
    assert_eq!(Record::decode(&[]), Err(MalformedRecord { length: 0 }));
}

#[test]
fn restored_entries_replace_earlier_ones() {
    let first = Record::Entries(vec![entry(2, 1), entry(3, 1), entry(4, 1)]);
    let second = Record::Entries(vec![entry(3, 2)]);
    let replica = restored(vec![hard_state_record(1), snapshot(1, 1), first, hard_state_record(2), second]);
    assert_eq!(replica.last_position(), LogPosition { term: 2, index: 3 });
    assert_eq!(replica.term(), 2);
}

#[test]
fn restore_keeps_entries_after_last_snapshot() {
    let entries = Record::Entries((2..=9).map(|index| entry(index, 1)).collect());
    let mut replica = restored(vec![
        hard_state_record(1),
        snapshot(1, 1),
        entries,
        snapshot(5, 1),
        hard_state_record(2),
        snapshot(7, 1),
    ]);
    assert_eq!((replica.snapshot_index(), replica.commit_index(), replica.last_position().index), (7, 7, 9));
    let installs =
        |effect: &Effect| matches!(effect, Effect::InstallSnapshot(snapshot) if snapshot.index() == 7);
    assert_eq!(replica.take_effects().iter().filter(|effect| installs(effect)).count(), 1);
    assert_eq!(restored(replica.records()).records(), replica.records());
}

/// Guards against a checkpoint that no journal accepts: all entries stood in one record, which was longer than the
/// journal allows.
#[test]
fn records_of_entries_stay_within_append_limit() {
    // given: a small and a large entry by turns
    let limit = 10_000;
    let large = |index| Payload::Command(vec![index as u8; 4_000].into());
    let entries: Vec<Entry> =
        (2..=21)
            .map(|index| {
                if index % 2 == 0 {
                    entry(index, 1)
                } else {
                    Entry { index, term: 1, payload: large(index) }
                }
            })
            .collect();
    let options = Options { max_append_bytes: limit, ..Options::new(node(1), 1) };
    let stored = vec![hard_state_record(1), snapshot(1, 1), Record::Entries(entries.clone())];
    let replica = Replica::new(options, stored, 0);

    // when
    let records = replica.records();

    // then
    let batches: Vec<&Vec<Entry>> = records
        .iter()
        .filter_map(|record| match record {
            Record::Entries(batch) => Some(batch),
            _ => None,
        })
        .collect();
    assert!(batches.iter().all(|batch| batch.iter().map(Entry::size).sum::<usize>() <= limit));
    assert_eq!(batches.into_iter().flatten().cloned().collect::<Vec<_>>(), entries);
    assert_eq!(restored(records).last_position(), replica.last_position());
}

/// An entry that exceeds the limit by itself still has a record.
#[test]
fn entry_above_append_limit_has_a_record_of_its_own() {
    let entries: Vec<Entry> = (2..=5).map(|index| entry(index, 1)).collect();
    let options = Options { max_append_bytes: 1, ..Options::new(node(1), 1) };
    let stored = vec![hard_state_record(1), snapshot(1, 1), Record::Entries(entries.clone())];
    let records = Replica::new(options, stored, 0).records();
    let singles: Vec<Record> = entries.into_iter().map(|entry| Record::Entries(vec![entry])).collect();
    assert_eq!(records[2..], singles);
}

#[test]
fn restore_ignores_entries_below_snapshot() {
    let entries = |from: u64, to: u64| Record::Entries((from..=to).map(|index| entry(index, 1)).collect());
    let replica = restored(vec![hard_state_record(1), snapshot(5, 1), entries(6, 9), entries(2, 4)]);
    assert_eq!(replica.last_position(), LogPosition { term: 1, index: 9 });
}

#[test]
fn uncommitted_entries_are_not_compacted() {
    // given
    let entries = Record::Entries((2..=9).map(|index| entry(index, 1)).collect());
    let mut replica = restored(vec![hard_state_record(1), snapshot(1, 1), entries]);
    // when
    replica.compact(5, vec![7]);
    // then
    assert_eq!((replica.snapshot_index(), replica.last_position().index), (1, 9));
}

#[test]
fn restored_snapshot_drops_conflicting_log() {
    let entries = Record::Entries((2..=9).map(|index| entry(index, 1)).collect());
    let replica = restored(vec![hard_state_record(3), snapshot(1, 1), entries, snapshot(5, 3)]);
    assert_eq!(replica.last_position(), LogPosition { term: 3, index: 5 });
}

#[test]
fn restarted_replica_is_not_bootstrapped_again() {
    // given
    let mut replica = restored(vec![hard_state_record(3), snapshot(5, 3)]);
    let before = replica.records();
    // when
    replica.bootstrap(10, &[node(7)]);
    // then
    assert_eq!(replica.records(), before);
}

#[test]
fn restart_restores_state_from_snapshot() {
    // given
    let mut group = Group::bootstrapped(3, 4);
    for _ in 0..10 {
        group.commit_one();
    }
    group.await_applied();
    let member = node(2);
    group.machine(member).compact();
    group.call(member, |_, _| ());
    group.run(50);
    // when
    group.crash(member);
    group.restart(member);
    // then
    assert_eq!(group.machines[&member].commands.len(), 10);
    group.commit_one();
    group.await_applied();
}
