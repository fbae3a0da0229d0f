//! Tests of the replication between directories: hinted handoff, digests and requests.

mod directory_fixture;

use directory_fixture::*;
use shaletrail_cluster::directory::{Directory, DirectoryMessage, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

#[test]
fn acknowledgement_is_dropped_when_the_peer_restarts() {
    let mut directory = running_directory();
    directory.observe_peer_incarnation(10_000, PEER, Incarnation(21));
    directory.heartbeat(10_000, "a", draining(1, 1));
    let batches = take_batches(&mut directory);
    directory.receive_acknowledgement(10_010, PEER, batches[0].number);
    directory.take_completed_calls();
    directory.observe_peer_incarnation(10_500, PEER, Incarnation(22));
    assert!(!directory.is_known_to_majority("a"));
    let resent = take_batches(&mut directory);
    assert!(resent.iter().any(|batch| batch.to == PEER && batch.records[0].presence == Presence::Draining));
    directory.receive_acknowledgement(10_510, PEER, batches[0].number);
    assert!(
        !directory.is_known_to_majority("a"),
        "an acknowledgement by the previous incarnation does not count"
    );
}

#[test]
fn record_from_peer_does_not_replace_address_owner() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "new", heartbeat(1, 5));

    // when
    directory.receive_batch(12_000, PEER, 1, vec![record("old", Presence::Ready, heartbeat(1, 7))]);
    directory.receive_batch(12_500, PEER, 2, vec![record("old", Presence::Ready, heartbeat(1, 8))]);

    // then
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
}

#[test]
fn replacement_is_pushed_to_all_peers() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "old", heartbeat(1, 7));
    let first = take_batches(&mut directory);
    first.iter().for_each(|batch| directory.receive_acknowledgement(10_010, batch.to, batch.number));
    run_idle(&mut directory, 10_010, 12_000);
    directory.take_messages();

    // when
    directory.heartbeat(12_000, "new", heartbeat(1, 1));

    // then
    let batches = take_batches(&mut directory);
    for peer in [PEER, OTHER] {
        let records = batches.iter().filter(|batch| batch.to == peer).flat_map(|batch| &batch.records);
        let removed = records.filter(|record| record.id == "old" && record.presence == Presence::Removed);
        assert_eq!(removed.count(), 1);
    }
}

#[test]
fn returning_peer_receives_missed_changes() {
    // given
    let mut directory = running_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.heartbeat(20_000, "a", draining(1, 2));
    run_idle(&mut directory, 20_000, 30_000);
    directory.take_messages();

    // when
    let mut back = self::directory(PEER, 21, 0);
    back.set_peers(0, &[OWN]);
    run_idle(&mut directory, 30_000, 31_500);
    exchange_messages(31_500, &mut directory, OWN, &mut back, PEER);

    // then
    assert_eq!(presence(&back, "a"), Some(Presence::Draining));
    assert!(directory.is_known_to_majority("a"));
    run_idle(&mut directory, 31_500, 32_500);
    assert!(
        take_batches(&mut directory).iter().all(|batch| batch.to == OTHER),
        "all hints for the returned peer have been acknowledged"
    );
}

#[test]
fn unresponsive_peer_is_sent_few_small_batches() {
    // given
    let mut directory = directory(OWN, 11, 0);
    directory.set_peers(0, &[PEER]);

    // when
    let mut sent = Vec::new();
    for round in 1..=100 {
        for server in 0..500 {
            let heartbeat = Heartbeat { slots: round, ..heartbeat(server, u64::from(round)) };
            directory.heartbeat(u64::from(round) * 100, &format!("s{server}"), heartbeat);
        }
        directory.tick(u64::from(round) * 100);
        sent.extend(take_batches(&mut directory));
    }

    // then
    assert!(sent.iter().all(|batch| batch.records.len() <= MAX_BATCH_RECORDS));
    assert!(
        sent.len() <= MAX_BATCHES_IN_FLIGHT + 15,
        "{} batches to an unresponsive peer in ten seconds",
        sent.len()
    );
}

#[test]
fn digests_keep_server_alive_at_other_coordinators() {
    // given
    let (mut own, mut peer) = (directory(OWN, 11, 0), directory(PEER, 21, 0));
    own.set_peers(0, &[PEER]);
    peer.set_peers(0, &[OWN]);

    // when
    for step in 0..200 {
        let now = step * 100;
        if now % HEARTBEAT_MS == 0 {
            own.heartbeat(now, "a", heartbeat(1, step));
        }
        own.tick(now);
        peer.tick(now);
        exchange_messages(now, &mut own, OWN, &mut peer, PEER);
    }

    // then
    assert_eq!(presence(&peer, "a"), Some(Presence::Ready));
    let lag = 190 - peer.record("a").map_or(0, |record| record.heartbeat.sequence);
    assert!(lag <= 10, "the peer's sequence number is {lag} steps behind");
}

#[test]
fn third_coordinator_relays_across_a_partition() {
    let mut own = directory(OWN, 11, 0);
    let mut middle = directory(PEER, 21, 0);
    let mut far = directory(OTHER, 31, 0);
    own.set_peers(0, &[PEER, OTHER]);
    middle.set_peers(0, &[OWN, OTHER]);
    far.set_peers(0, &[OWN, PEER]);
    for step in 0..200 {
        let now = step * 100;
        if now % HEARTBEAT_MS == 0 {
            own.heartbeat(now, "a", heartbeat(1, step));
        }
        for directory in [&mut own, &mut middle, &mut far] {
            directory.tick(now);
        }
        let for_middle = own.take_messages();
        let for_both = middle.take_messages();
        let for_peers = far.take_messages();
        deliver_without_acknowledgements(now, for_middle, OWN, PEER, &mut middle);
        deliver_without_acknowledgements(now, for_both.clone(), PEER, OWN, &mut own);
        deliver_without_acknowledgements(now, for_both, PEER, OTHER, &mut far);
        deliver_without_acknowledgements(now, for_peers, OTHER, PEER, &mut middle);
        assert!(now < 5000 || presence(&far, "a") == Some(Presence::Ready), "not ready at {now} ms");
    }
}

/// Delivers the messages for one receiver without returning acknowledgements.
fn deliver_without_acknowledgements(
    now: Millis,
    sends: Vec<(NodeId, DirectoryMessage)>,
    from: NodeId,
    to: NodeId,
    receiver: &mut Directory,
) {
    for (_, message) in sends.into_iter().filter(|(node, _)| *node == to) {
        match message {
            DirectoryMessage::Batch { batch, records } => {
                receiver.receive_batch(now, from, batch, records);
            }
            DirectoryMessage::Digest { servers } => receiver.receive_digest(now, from, servers),
            DirectoryMessage::Request { servers } => receiver.receive_request(now, from, servers),
        }
    }
}

#[test]
fn peer_at_earlier_stage_is_sent_the_record() {
    // given
    let mut own = running_directory();
    own.heartbeat(10_000, "a", draining(1, 2));
    let batches = take_batches(&mut own);
    batches.iter().for_each(|batch| own.receive_acknowledgement(10_010, batch.to, batch.number));

    // when
    own.receive_batch(10_020, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 1))]);

    // then
    let repair = take_batches(&mut own);
    assert_eq!(repair.len(), 1);
    assert_eq!((repair[0].to, repair[0].records[0].presence), (PEER, Presence::Draining));
}

#[test]
fn old_record_is_sent_as_timed_out() {
    // given
    let mut own = running_directory();
    own.heartbeat(10_000, "a", heartbeat(1, 1));
    own.set_quorum_contact(10_000, false);
    run_idle(&mut own, 10_000, 20_000);
    assert_eq!(presence(&own, "a"), Some(Presence::Ready), "no server may time out without quorum contact");
    own.take_messages();

    // when
    own.observe_peer_incarnation(20_000, PEER, Incarnation(5));
    own.observe_peer_incarnation(20_000, PEER, Incarnation(6));
    run_idle(&mut own, 20_000, 21_500);

    // then
    let batches = take_batches(&mut own);
    assert!(!batches.is_empty());
    assert!(batches.iter().all(|batch| batch.records[0].presence == Presence::TimedOut));
}

#[test]
fn merged_draining_is_pushed_to_remaining_peers() {
    let mut own = running_directory();
    own.receive_batch(10_000, PEER, 1, vec![record("a", Presence::Draining, draining(1, 2))]);
    let batches = take_batches(&mut own);
    assert_eq!(batches.iter().map(|batch| batch.to).collect::<Vec<_>>(), [OTHER]);
    own.receive_batch(10_010, OTHER, 1, vec![record("a", Presence::Draining, draining(1, 2))]);
    assert_eq!(take_batches(&mut own).len(), 0, "both peers already know that the server is draining");
}

#[test]
fn late_acknowledgement_by_previous_incarnation_is_ignored() {
    let mut own = running_directory();
    own.observe_peer_incarnation(10_000, PEER, Incarnation(21));
    own.heartbeat(10_000, "a", draining(1, 2));
    let batches = take_batches(&mut own);
    own.observe_peer_incarnation(10_010, PEER, Incarnation(22));
    let late = batches.iter().find(|batch| batch.to == PEER).expect("a batch for the peer");
    own.receive_acknowledgement(10_020, PEER, late.number);
    assert!(!own.is_known_to_majority("a"));
    let resent = take_batches(&mut own);
    let resent = resent.iter().find(|batch| batch.to == PEER).expect("a second batch for the peer");
    own.receive_acknowledgement(10_030, PEER, resent.number);
    assert!(own.is_known_to_majority("a"));
}

#[test]
fn newer_digest_with_other_content_requests_record() {
    let mut own = running_directory();
    own.heartbeat(10_000, "a", heartbeat(1, 3));
    own.take_messages();
    let digest = |sequence, slots| {
        let mut peer = directory(PEER, 21, 0);
        peer.set_peers(0, &[OWN]);
        peer.heartbeat(0, "a", Heartbeat { slots, ..heartbeat(1, sequence - 1) });
        peer.heartbeat(10, "a", Heartbeat { slots, ..heartbeat(1, sequence) });
        peer.take_messages();
        peer.tick(300);
        let sends = peer.take_messages();
        let digest = sends.into_iter().find_map(|(_, message)| match message {
            DirectoryMessage::Digest { servers } => Some(servers),
            _ => None,
        });
        digest.expect("a digest is due every 300 ms")
    };
    let requests = |own: &mut Directory, servers| {
        own.receive_digest(10_100, PEER, servers);
        own.take_messages()
            .iter()
            .any(|(to, message)| *to == PEER && matches!(message, DirectoryMessage::Request { .. }))
    };
    assert!(!requests(&mut own, digest(2, 8)), "an older digest needs no record");
    assert!(!requests(&mut own, digest(4, 4)), "a newer digest with the same content needs no record");
    assert!(requests(&mut own, digest(5, 8)), "a newer digest with other content needs the record");
}
