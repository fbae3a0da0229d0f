//! Directories of coordinators that talk: hints, digests, and what they repair.

mod directories;

use directories::*;
use shaletrail_cluster::directory::{Directory, DirectoryMessage, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

#[test]
fn given_a_holder_that_has_started_anew_when_the_server_drains_again_then_it_does_not_count() {
    let mut directory = settled_directory();
    directory.on_peer_started(10_000, PEER, Incarnation(21));
    directory.heartbeat(10_000, "a", draining(1, 1));
    let batches = take_batches(&mut directory);
    directory.acknowledge(10_010, PEER, batches[0].number);
    directory.take_completed_calls();
    directory.on_peer_started(10_500, PEER, Incarnation(22));
    assert!(!directory.is_known_to_majority("a"));
    let again = take_batches(&mut directory);
    assert!(again.iter().any(|batch| batch.to == PEER && batch.records[0].presence == Presence::Draining));
    directory.acknowledge(10_510, PEER, batches[0].number);
    assert!(!directory.is_known_to_majority("a"), "an acknowledgement of the former start means nothing");
}

#[test]
fn given_a_server_that_others_tell_of_when_its_address_has_another_that_was_not_heard_for_long_then_both_stay(
) {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "new", heartbeat(1, 5));
    directory.merge(12_000, PEER, 1, vec![record("old", Presence::Ready, heartbeat(1, 7))]);
    directory.merge(12_500, PEER, 2, vec![record("old", Presence::Ready, heartbeat(1, 8))]);
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
}

#[test]
fn given_a_server_that_displaces_another_when_it_has_spoken_then_the_others_are_told() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "old", heartbeat(1, 7));
    let first = take_batches(&mut directory);
    first.iter().for_each(|batch| directory.acknowledge(10_010, batch.to, batch.number));
    run_idle(&mut directory, 10_010, 12_000);
    directory.take_sends();
    directory.heartbeat(12_000, "new", heartbeat(1, 1));
    let told = take_batches(&mut directory);
    for peer in [PEER, OTHER] {
        let records = told.iter().filter(|batch| batch.to == peer).flat_map(|batch| &batch.records);
        let gone = records.filter(|record| record.id == "old" && record.presence == Presence::Removed);
        assert_eq!(gone.count(), 1);
    }
}

#[test]
fn given_a_coordinator_that_is_away_when_it_is_back_then_it_gets_what_it_missed() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.heartbeat(20_000, "a", draining(1, 2));
    run_idle(&mut directory, 20_000, 30_000);
    directory.take_sends();
    let mut back = self::directory(PEER, 21, 0);
    back.set_peers(0, &[OWN]);
    run_idle(&mut directory, 30_000, 31_500);
    converse(31_500, &mut directory, OWN, &mut back, PEER);
    assert_eq!(presence(&back, "a"), Some(Presence::Draining));
    assert!(directory.is_known_to_majority("a"));
    run_idle(&mut directory, 31_500, 32_500);
    assert!(take_batches(&mut directory).iter().all(|batch| batch.to == OTHER), "nothing is left to tell");
}

#[test]
fn given_a_coordinator_that_never_answers_when_much_changes_then_what_is_sent_to_it_stays_small() {
    let mut directory = directory(OWN, 11, 0);
    directory.set_peers(0, &[PEER]);
    let mut sent = Vec::new();
    for round in 1..=100 {
        for server in 0..500 {
            let beat = Heartbeat { slots: round, ..heartbeat(server, u64::from(round)) };
            directory.heartbeat(u64::from(round) * 100, &format!("s{server}"), beat);
        }
        directory.tick(u64::from(round) * 100);
        sent.extend(take_batches(&mut directory));
    }
    assert!(sent.iter().all(|batch| batch.records.len() <= MAX_BATCH_RECORDS));
    assert!(sent.len() <= MAX_BATCHES_IN_FLIGHT + 15, "{} batches in ten seconds", sent.len());
}

#[test]
fn given_a_server_heard_elsewhere_when_digests_arrive_then_it_does_not_fall_silent() {
    let (mut own, mut peer) = (directory(OWN, 11, 0), directory(PEER, 21, 0));
    own.set_peers(0, &[PEER]);
    peer.set_peers(0, &[OWN]);
    for step in 0..200 {
        let now = step * 100;
        if now % HEARTBEAT_MS == 0 {
            own.heartbeat(now, "a", heartbeat(1, step));
        }
        own.tick(now);
        peer.tick(now);
        converse(now, &mut own, OWN, &mut peer, PEER);
    }
    assert_eq!(presence(&peer, "a"), Some(Presence::Ready));
    let lag = 190 - peer.record("a").map_or(0, |record| record.heartbeat.sequence);
    assert!(lag <= 10, "the sequence is {lag} steps behind");
}

#[test]
fn given_a_cut_between_two_when_both_reach_a_third_then_records_and_signs_of_life_go_round_by_it() {
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
        let for_middle = own.take_sends();
        let for_both = middle.take_sends();
        let for_them = far.take_sends();
        deliver(now, for_middle, OWN, PEER, &mut middle);
        deliver(now, for_both.clone(), PEER, OWN, &mut own);
        deliver(now, for_both, PEER, OTHER, &mut far);
        deliver(now, for_them, OTHER, PEER, &mut middle);
        assert!(now < 5000 || presence(&far, "a") == Some(Presence::Ready), "at {now}");
    }
}

/// Hands over what is meant for one receiver; acknowledgements are lost.
fn deliver(
    now: Millis,
    sends: Vec<(NodeId, DirectoryMessage)>,
    from: NodeId,
    to: NodeId,
    receiver: &mut Directory,
) {
    for (_, message) in sends.into_iter().filter(|(node, _)| *node == to) {
        match message {
            DirectoryMessage::Batch { batch, records } => {
                receiver.merge(now, from, batch, records);
            }
            DirectoryMessage::Digest { servers } => receiver.receive_digest(now, from, servers),
            DirectoryMessage::Request { servers } => receiver.receive_request(now, from, servers),
        }
    }
}

#[test]
fn given_a_draining_known_here_when_a_peer_still_calls_the_server_ready_then_it_is_told() {
    let mut own = settled_directory();
    own.heartbeat(10_000, "a", draining(1, 2));
    let batches = take_batches(&mut own);
    batches.iter().for_each(|batch| own.acknowledge(10_010, batch.to, batch.number));
    own.merge(10_020, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 1))]);
    let repair = take_batches(&mut own);
    assert_eq!(repair.len(), 1);
    assert_eq!((repair[0].to, repair[0].records[0].presence), (PEER, Presence::Draining));
}

#[test]
fn given_a_record_that_is_old_when_it_is_handed_over_then_it_is_no_sign_of_life() {
    let mut own = settled_directory();
    own.heartbeat(10_000, "a", heartbeat(1, 1));
    own.set_quorum_contact(10_000, false);
    run_idle(&mut own, 10_000, 20_000);
    assert_eq!(presence(&own, "a"), Some(Presence::Ready), "an isolated coordinator calls nobody silent");
    own.take_sends();
    own.on_peer_started(20_000, PEER, Incarnation(5));
    own.on_peer_started(20_000, PEER, Incarnation(6));
    run_idle(&mut own, 20_000, 21_500);
    let handed = take_batches(&mut own);
    assert!(!handed.is_empty());
    assert!(handed.iter().all(|batch| batch.records[0].presence == Presence::TimedOut));
}

#[test]
fn given_a_draining_that_one_coordinator_tells_when_it_is_merged_then_the_others_are_told_at_once() {
    let mut own = settled_directory();
    own.merge(10_000, PEER, 1, vec![record("a", Presence::Draining, draining(1, 2))]);
    let batches = take_batches(&mut own);
    assert_eq!(batches.iter().map(|batch| batch.to).collect::<Vec<_>>(), [OTHER]);
    own.merge(10_010, OTHER, 1, vec![record("a", Presence::Draining, draining(1, 2))]);
    assert_eq!(take_batches(&mut own).len(), 0, "both know it now");
}

#[test]
fn given_a_batch_on_its_way_when_its_receiver_starts_anew_then_a_late_acknowledgement_means_nothing() {
    let mut own = settled_directory();
    own.on_peer_started(10_000, PEER, Incarnation(21));
    own.heartbeat(10_000, "a", draining(1, 2));
    let batches = take_batches(&mut own);
    own.on_peer_started(10_010, PEER, Incarnation(22));
    let late = batches.iter().find(|batch| batch.to == PEER).expect("it was told");
    own.acknowledge(10_020, PEER, late.number);
    assert!(!own.is_known_to_majority("a"));
    let again = take_batches(&mut own);
    let again = again.iter().find(|batch| batch.to == PEER).expect("it is told again");
    own.acknowledge(10_030, PEER, again.number);
    assert!(own.is_known_to_majority("a"));
}

#[test]
fn given_a_digest_with_other_contents_when_it_is_newer_then_the_record_is_asked_for() {
    let mut own = settled_directory();
    own.heartbeat(10_000, "a", heartbeat(1, 3));
    own.take_sends();
    let digest = |sequence, slots| {
        let mut peer = directory(PEER, 21, 0);
        peer.set_peers(0, &[OWN]);
        peer.heartbeat(0, "a", Heartbeat { slots, ..heartbeat(1, sequence - 1) });
        peer.heartbeat(10, "a", Heartbeat { slots, ..heartbeat(1, sequence) });
        peer.take_sends();
        peer.tick(300);
        let sends = peer.take_sends();
        let digest = sends.into_iter().find_map(|(_, message)| match message {
            DirectoryMessage::Digest { servers } => Some(servers),
            _ => None,
        });
        digest.expect("a digest each 300 ms")
    };
    let asked = |own: &mut Directory, servers| {
        own.receive_digest(10_100, PEER, servers);
        own.take_sends()
            .iter()
            .any(|(to, message)| *to == PEER && matches!(message, DirectoryMessage::Request { .. }))
    };
    assert!(!asked(&mut own, digest(2, 8)), "older");
    assert!(!asked(&mut own, digest(4, 4)), "newer, but alike");
    assert!(asked(&mut own, digest(5, 8)), "newer and different");
}
