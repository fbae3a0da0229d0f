//! The directory of one coordinator: what it makes of heartbeats, calls, silence, and edges that ask.

mod directories;

use directories::*;
use shaletrail_cluster::directory::{Accepted, CallOutcome, Directory, Options};
use shaletrail_protocol::external::{Heartbeat, LoadedModel};
use shaletrail_protocol::internal::{DirectoryCursor, Presence};
use shaletrail_protocol::Incarnation;

#[test]
fn given_a_new_server_when_it_sends_heartbeats_then_only_the_first_is_a_change() {
    let mut directory = settled_directory();
    let first = directory.heartbeat(10_000, "a", heartbeat(1, 1));
    assert_eq!(first, Accepted { changed: true, call: None });
    let second = directory.heartbeat(11_000, "a", Heartbeat { cold_remaining_ms: 0.0, ..heartbeat(1, 2) });
    assert_eq!(second, Accepted { changed: false, call: None });
    assert_eq!(directory.record("a").map(|record| record.heartbeat.sequence), Some(2));
}

#[test]
fn given_a_server_when_it_holds_another_model_then_that_is_a_change_and_pushed_at_once() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    take_batches(&mut directory);
    let models = Some(vec![LoadedModel { name: "m".into(), version: 1, adapters: vec![] }]);
    assert!(directory.heartbeat(10_500, "a", Heartbeat { models, ..heartbeat(1, 2) }).changed);
    let batches = take_batches(&mut directory);
    assert_eq!(batches.iter().map(|batch| batch.to).collect::<Vec<_>>(), [PEER, OTHER]);
    assert!(batches.iter().all(|batch| batch.records[0].heartbeat.models.is_some()));
}

#[test]
fn given_a_late_heartbeat_when_it_arrives_after_a_newer_one_then_it_changes_nothing() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 5));
    assert!(!directory.heartbeat(10_100, "a", Heartbeat { slots: 9, ..heartbeat(1, 4) }).changed);
    assert_eq!(directory.record("a").map(|record| record.heartbeat.slots), Some(4));
}

#[test]
fn given_a_draining_server_when_it_or_others_call_it_ready_then_it_stays_draining() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.heartbeat(10_100, "a", draining(1, 2));
    directory.heartbeat(10_200, "a", heartbeat(1, 3));
    directory.merge(10_300, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 9))]);
    assert_eq!(presence(&directory, "a"), Some(Presence::Draining));
    directory.deregister(10_400, "a");
    directory.heartbeat(10_500, "a", draining(1, 10));
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
}

#[test]
fn given_a_late_draining_when_its_sequence_is_old_then_it_counts_all_the_same() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 5));
    directory.merge(10_100, PEER, 1, vec![record("a", Presence::Draining, draining(1, 4))]);
    assert_eq!(presence(&directory, "a"), Some(Presence::Draining));
    assert_eq!(directory.record("a").map(|record| record.heartbeat.sequence), Some(5));
}

#[test]
fn given_three_voters_when_one_other_acknowledges_a_draining_then_the_call_is_settled() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    let earlier = take_batches(&mut directory);
    let call = directory.heartbeat(10_100, "a", draining(1, 2)).call.expect("a draining waits");
    for batch in &earlier {
        directory.acknowledge(10_110, batch.to, batch.number);
    }
    assert_eq!(directory.take_completed_calls(), [], "the earlier batches did not tell of it");
    assert!(!directory.is_known_to_majority("a"));
    let batches = take_batches(&mut directory);
    directory.acknowledge(10_120, batches[1].to, batches[1].number);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Settled(call)]);
    assert!(directory.is_known_to_majority("a"));
}

#[test]
fn given_a_settled_draining_when_the_server_says_it_again_then_the_call_is_settled_at_once() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", draining(1, 1));
    let batches = take_batches(&mut directory);
    directory.acknowledge(10_010, batches[0].to, batches[0].number);
    directory.take_completed_calls();
    let call = directory.heartbeat(11_000, "a", draining(1, 2)).call.expect("a draining waits");
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Settled(call)]);
}

#[test]
fn given_nobody_who_answers_when_the_time_is_over_then_the_call_fails() {
    let mut directory = settled_directory();
    let call = directory.heartbeat(10_000, "a", draining(1, 1)).call.expect("a draining waits");
    run_idle(&mut directory, 10_000, 10_899);
    assert_eq!(directory.take_completed_calls(), []);
    run_idle(&mut directory, 10_899, 10_900);
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Failed(call)]);
}

#[test]
fn given_no_voters_yet_when_a_server_drains_then_the_call_is_not_settled() {
    let mut directory = directory(OWN, 11, 0);
    directory.heartbeat(10, "a", draining(1, 1));
    assert_eq!(directory.take_completed_calls(), []);
    assert!(!directory.is_known_to_majority("a"));
}

#[test]
fn given_a_single_voter_when_a_server_drains_then_the_call_is_settled_at_once() {
    let mut directory = directory(OWN, 11, 0);
    directory.set_voters(&[OWN]);
    let call = directory.heartbeat(10, "a", draining(1, 1)).call.expect("a draining waits");
    assert_eq!(directory.take_completed_calls(), [CallOutcome::Settled(call)]);
}

#[test]
fn given_an_unknown_server_when_it_deregisters_then_a_late_heartbeat_does_not_revive_it() {
    let mut directory = settled_directory();
    directory.deregister(10_000, "a");
    directory.heartbeat(10_100, "a", heartbeat(1, 7));
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
    run_idle(&mut directory, 10_100, 45_000);
    directory.merge(45_000, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 8))]);
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
    run_idle(&mut directory, 45_000, 120_000);
    assert_eq!(presence(&directory, "a"), None, "it is forgotten in the end");
}

#[test]
fn given_a_server_without_heartbeats_when_the_time_is_over_then_it_is_silent_then_back_then_forgotten() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    run_idle(&mut directory, 10_000, 10_000 + SILENCE_MS - 1);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    run_idle(&mut directory, 10_000 + SILENCE_MS - 1, 13_500);
    assert_eq!(presence(&directory, "a"), Some(Presence::TimedOut));
    assert!(directory.heartbeat(13_600, "a", heartbeat(1, 2)).changed);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    run_idle(&mut directory, 13_600, 36_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::TimedOut));
    run_idle(&mut directory, 36_000, 38_000);
    assert_eq!(presence(&directory, "a"), None);
}

#[test]
fn given_a_young_coordinator_when_a_server_is_quiet_then_it_is_not_called_silent_before_the_span_is_over() {
    let mut directory = directory(OWN, 11, 50_000);
    directory.merge(50_000, PEER, 1, vec![record("a", Presence::Ready, heartbeat(1, 1))]);
    assert!(directory.is_recently_started(50_000 + SILENCE_MS - 1));
    run_idle(&mut directory, 50_000, 50_000 + SILENCE_MS - 1);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
}

#[test]
fn given_an_isolated_coordinator_when_time_passes_then_nobody_is_silent_until_it_is_back_for_a_while() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.set_quorum_contact(11_000, false);
    run_idle(&mut directory, 11_000, 60_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    directory.set_quorum_contact(60_000, true);
    run_idle(&mut directory, 60_000, 60_000 + SILENCE_MS - 1);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
    run_idle(&mut directory, 60_000 + SILENCE_MS - 1, 64_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::TimedOut));
}

#[test]
fn given_a_coordinator_that_stood_still_when_it_goes_on_then_nobody_is_silent_at_once() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    run_idle(&mut directory, 10_000, 11_000);
    directory.tick(25_000);
    run_idle(&mut directory, 25_000, 28_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
}

#[test]
fn given_a_server_at_the_address_of_one_that_ended_when_it_is_heard_then_the_former_is_gone() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "old", heartbeat(1, 7));
    run_idle(&mut directory, 10_000, 12_000);
    directory.heartbeat(12_000, "new", heartbeat(1, 1));
    assert_eq!(presence(&directory, "old"), Some(Presence::Removed));
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
}

#[test]
fn given_a_live_server_when_a_late_first_heartbeat_of_its_forerunner_arrives_then_the_live_one_stays() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "new", heartbeat(1, 1));
    directory.heartbeat(10_900, "old", heartbeat(1, 7));
    for second in 11..20 {
        directory.heartbeat(second * 1000, "new", heartbeat(1, second));
        directory.tick(second * 1000);
    }
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
    assert_eq!(presence(&directory, "old"), Some(Presence::TimedOut));
}

#[test]
fn given_a_coordinator_that_stood_still_when_a_late_heartbeat_is_read_first_then_it_displaces_nobody() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "new", heartbeat(1, 5));
    directory.heartbeat(20_000, "old", heartbeat(1, 7));
    assert_eq!(presence(&directory, "new"), Some(Presence::Ready));
}

#[test]
fn given_a_server_taken_away_at_short_notice_when_its_time_is_over_then_it_is_gone() {
    let mut directory = settled_directory();
    let notice = Heartbeat { remaining_ms: Some(1500.0), ..draining(1, 2) };
    directory.heartbeat(10_000, "a", notice);
    run_idle(&mut directory, 10_000, 11_400);
    assert_eq!(presence(&directory, "a"), Some(Presence::Draining));
    run_idle(&mut directory, 11_400, 11_800);
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
}

#[test]
fn given_numbers_that_are_none_when_a_server_sends_them_as_its_time_then_it_stays() {
    let mut directory = settled_directory();
    for (sequence, remaining) in [f64::NAN, f64::INFINITY, 1e300].into_iter().enumerate() {
        let odd = Heartbeat { remaining_ms: Some(remaining), ..heartbeat(1, sequence as u64 + 1) };
        directory.heartbeat(10_000, "a", odd);
    }
    run_idle(&mut directory, 10_000, 11_000);
    assert_eq!(presence(&directory, "a"), Some(Presence::Ready));
}

#[test]
fn given_an_edge_that_follows_when_servers_change_then_it_is_told_each_once() {
    let mut directory = settled_directory();
    let start = directory.updates_since(DirectoryCursor::default());
    assert!(start.complete && start.records.is_empty());
    directory.heartbeat(10_000, "a", heartbeat(1, 1));
    directory.heartbeat(10_000, "b", heartbeat(2, 1));
    directory.heartbeat(10_100, "a", draining(1, 2));
    let news = directory.updates_since(start.cursor);
    assert!(!news.complete);
    let told: Vec<(&str, Presence)> =
        news.records.iter().map(|record| (record.id.as_str(), record.presence)).collect();
    assert_eq!(told, [("b", Presence::Ready), ("a", Presence::Draining)]);
    directory.heartbeat(11_000, "b", heartbeat(2, 2));
    let nothing = directory.updates_since(news.cursor);
    assert_eq!((nothing.records.len(), nothing.complete, nothing.cursor), (0, false, news.cursor));
}

#[test]
fn given_a_cursor_of_another_start_or_too_old_when_asked_then_the_whole_directory_is_told() {
    let options = Options { changes: 4, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    directory.heartbeat(0, "a", heartbeat(1, 1));
    let early = directory.cursor();
    for slots in 1..=4 {
        directory.heartbeat(10, "b", Heartbeat { slots, ..heartbeat(2, u64::from(slots)) });
    }
    assert!(!directory.updates_since(early).complete);
    directory.heartbeat(20, "c", heartbeat(3, 1));
    assert!(directory.updates_since(early).complete);
    assert_eq!(directory.updates_since(early).records.len(), 3);
    let other = DirectoryCursor { epoch: Incarnation(10), ..directory.cursor() };
    assert!(directory.updates_since(other).complete);
    let ahead = DirectoryCursor { revision: 1000, ..directory.cursor() };
    assert!(directory.updates_since(ahead).complete);
}

#[test]
fn given_more_servers_than_are_kept_when_they_come_then_the_table_stays_bounded_and_the_gone_give_way() {
    let options = Options { servers: 50, ..Options::for_heartbeat(HEARTBEAT_MS) };
    let mut directory = Directory::new(options, OWN, Incarnation(11), 0);
    for server in 0..50 {
        directory.heartbeat(u64::from(server), &format!("s{server}"), heartbeat(server, 1));
    }
    directory.deregister(60, "s30");
    directory.heartbeat(61, "newest", heartbeat(99, 1));
    assert_eq!(directory.records().count(), 50);
    assert_eq!(presence(&directory, "s30"), None);
    assert_eq!(presence(&directory, "newest"), Some(Presence::Ready));
    for server in 100..300 {
        directory.heartbeat(u64::from(server), &format!("s{server}"), heartbeat(server, 1));
        assert_eq!(directory.records().count(), 50);
    }
}

#[test]
fn given_a_server_gone_by_its_own_word_when_it_deregisters_after_that_then_the_call_can_be_settled() {
    let mut directory = settled_directory();
    directory.heartbeat(10_000, "a", Heartbeat { remaining_ms: Some(100.0), ..draining(1, 2) });
    run_idle(&mut directory, 10_000, 10_500);
    assert_eq!(presence(&directory, "a"), Some(Presence::Removed));
    let batches = take_batches(&mut directory);
    batches.iter().for_each(|batch| directory.acknowledge(10_500, batch.to, batch.number));
    let call = directory.deregister(10_600, "a");
    let batches = take_batches(&mut directory);
    batches.iter().for_each(|batch| directory.acknowledge(10_610, batch.to, batch.number));
    assert!(directory.take_completed_calls().contains(&CallOutcome::Settled(call)));
}
