//! What coordinators do for others while they are cut off, frozen, behind or just started.

mod common;

use common::configuration;
use common::group::Group;
use shaletrail_coordinator::interface::CallId;
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{
    CoordinatorMessage, MembershipMessage, OperatorCall, OperatorResponse, PollRequest, PollResponse,
    Presence,
};
use shaletrail_protocol::Millis;

/// An edge takes another coordinator at the latest so long after the one it polls has lost contact.
const TURNED_AWAY_WITHIN: Millis = 700;
/// The longest time that a poll is held in these stories.
const HOLD: u32 = 500;

fn is_done(answer: Option<&OperatorResponse>) -> bool {
    matches!(answer, Some(OperatorResponse::Done { .. }))
}

/// Three or five coordinators that have agreed on version 1.
fn configured(coordinators: u8) -> Group {
    let mut group = Group::leading(coordinators);
    let leader = group.leader();
    let call = group.replace(leader, 0, &configuration(1, "a.example"));
    group.run(500);
    assert!(is_done(group.answer(leader, call)));
    group.numbers().iter().for_each(|number| assert_eq!(group.core(*number).configuration_version(), 1));
    group
}

/// A poll of an edge with this version that knows all servers.
fn poll(group: &mut Group, number: u8, config_version: u64) -> CallId {
    let cursor = group.core(number).directory().cursor();
    group.poll(
        number,
        100,
        PollRequest { config_version, cursor, max_wait_ms: HOLD, ..PollRequest::default() },
    )
}

fn reply(group: &Group, number: u8, call: CallId) -> PollResponse {
    group.reply(number, call).expect("it is answered").clone()
}

fn brings_nothing(reply: &PollResponse) -> bool {
    reply.isolated
        && reply.config.is_none()
        && reply.servers.is_empty()
        && !reply.complete
        && reply.edge_count == 0
        && reply.edge_nodes.is_none()
}

#[test]
fn given_a_coordinator_cut_off_when_an_edge_that_has_just_started_polls_it_then_it_gets_no_old_configuration()
{
    // given
    let mut group = configured(3);
    let leader = group.leader();
    let cut = group.others(leader)[0];
    group.heartbeat(cut, "i-1", ServerState::Ready, 1);
    group.cut_off(cut, true);
    group.run(TURNED_AWAY_WITHIN);

    // when
    let first = poll(&mut group, cut, 0);
    let known = poll(&mut group, cut, 1);

    // then
    assert!(brings_nothing(&reply(&group, cut, first)), "{:?}", reply(&group, cut, first));
    assert!(brings_nothing(&reply(&group, cut, known)), "{:?}", reply(&group, cut, known));
    assert!(reply(&group, cut, first).coordinators.contains(&common::node(cut)));
}

#[test]
fn given_a_whole_fleet_that_starts_again_when_a_majority_answers_then_edges_get_the_configuration_at_once() {
    // given
    let mut group = configured(3);
    group.run(1_000);
    group.numbers().iter().for_each(|number| group.kill(*number));
    group.run(1_000);

    // when
    group.start(1);
    group.run(300);
    let alone = poll(&mut group, 1, 0);
    assert!(brings_nothing(&reply(&group, 1, alone)));
    group.start(2);
    let met = group.now;
    let again = group.run_until(2_000, |group| group.core(1).has_quorum_contact());

    // then: there need be no leader yet
    assert!(again);
    assert!(group.now - met <= 400, "{} ms", group.now - met);
    let call = poll(&mut group, 1, 0);
    let news = reply(&group, 1, call).config.expect("the configuration");
    assert_eq!(news.version, 1);
}

#[test]
fn given_a_poll_that_is_held_when_the_coordinator_is_cut_off_then_the_edge_is_sent_elsewhere_in_time() {
    for way in 0..3 {
        // given
        let mut group = configured(3);
        let leader = group.leader();
        let cut = group.others(leader)[0];
        for other in group.others(cut) {
            match way {
                0 => group.cut(cut, other, true),
                1 => group.cut_one_way(cut, other, true),
                _ => group.cut_one_way(other, cut, true),
            }
        }

        // when
        let begun = group.now;
        let mut sent_elsewhere = None;
        while sent_elsewhere.is_none() && group.now < begun + 5_000 {
            let call = poll(&mut group, cut, 1);
            group.run_until(HOLD.into(), |group| group.reply(cut, call).is_some());
            sent_elsewhere = reply(&group, cut, call).isolated.then_some(group.now);
        }

        // then
        let after = sent_elsewhere.expect("it is told") - begun;
        assert!(after <= TURNED_AWAY_WITHIN, "way {way}: {after} ms");
    }
}

#[test]
fn given_a_coordinator_that_was_frozen_when_old_answers_to_its_pings_lie_in_its_sockets_then_they_prove_nothing(
) {
    // given
    let mut group = configured(3);
    let leader = group.leader();
    let frozen = group.others(leader)[0];
    let pongs = |message: &CoordinatorMessage| {
        matches!(message, CoordinatorMessage::Membership(MembershipMessage::Ack { .. }))
    };
    group.hold(move |_, to, message| to == frozen && pongs(message));
    group.run(250);
    assert!(group.held().count() >= 2);
    group.freeze(frozen, true);
    // The answers to its pings reach its sockets, and a poll does. Then its links are cut.
    group.release();
    let call = poll(&mut group, frozen, 1);
    group.cut_off(frozen, true);
    let change = group.replace(leader, 1, &configuration(2, "b.example"));
    group.run(5_000);
    assert!(is_done(group.answer(leader, change)));

    // when: the answers to its last pings, which came while it stood still, are read before the poll
    group.freeze(frozen, false);

    // then
    assert!(!group.core(frozen).has_quorum_contact());
    assert!(brings_nothing(&reply(&group, frozen, call)), "{:?}", reply(&group, frozen, call));
}

#[test]
fn given_a_coordinator_that_reaches_a_majority_but_not_the_leader_when_a_change_is_taken_then_its_edges_move()
{
    for coordinators in [3, 5] {
        // given
        let mut group = configured(coordinators);
        let leader = group.leader();
        let behind = group.others(leader)[0];
        group.cut(leader, behind, true);
        group.run(2_000);
        assert_eq!(group.leader(), leader, "a majority keeps its leader");
        assert!(group.core(behind).has_quorum_contact());

        // when
        let change = group.replace(leader, 1, &configuration(2, "b.example"));
        group.run_until(1_000, |group| group.answer(leader, change).is_some());
        assert!(is_done(group.answer(leader, change)));
        let acknowledged = group.now;
        let mut moved = None;
        while moved.is_none() && group.now < acknowledged + 5_000 {
            let call = poll(&mut group, behind, 1);
            group.run_until(HOLD.into(), |group| group.reply(behind, call).is_some());
            let reply = reply(&group, behind, call);
            moved = (reply.isolated || reply.config.is_some()).then_some(group.now);
        }

        // then: in time for the tightest bound on configurations, 2 s
        let after = moved.expect("its edges stay with an old configuration") - acknowledged;
        assert!(after <= 1_000, "{after} ms");

        // and once it hears the leader, it serves them again
        group.cut(leader, behind, false);
        let caught_up = group.run_until(3_000, |group| group.core(behind).configuration_version() == 2);
        assert!(caught_up);
        let call = poll(&mut group, behind, 1);
        assert_eq!(reply(&group, behind, call).config.map(|news| news.version), Some(2));
    }
}

#[test]
fn given_a_cut_leader_when_changes_and_reads_reach_it_then_none_is_confirmed_or_refused() {
    // given
    let mut group = configured(3);
    let leader = group.leader();
    group.cut_off(leader, true);

    // when
    let change = group.replace(leader, 1, &configuration(2, "b.example"));
    let stale = group.replace(leader, 0, &configuration(3, "c.example"));
    let read = group.operate(leader, OperatorCall::Read);
    group.run(2_000);

    // then
    for call in [change, stale, read] {
        assert_eq!(group.answer(leader, call), Some(&OperatorResponse::Unavailable));
    }

    // and when the others have agreed on something else, what it was asked for never comes
    let next = group.leader();
    assert_ne!(next, leader);
    let other = group.replace(next, 1, &configuration(2, "d.example"));
    group.run(1_000);
    assert!(is_done(group.answer(next, other)));
    group.cut_off(leader, false);
    group.run(3_000);
    let read = group.operate(leader, OperatorCall::Read);
    group.run(500);
    let Some(OperatorResponse::Done { body }) = group.answer(leader, read) else { panic!("no answer") };
    assert!(String::from_utf8_lossy(body).contains("d.example"));
}

#[test]
fn given_a_server_that_drains_when_its_coordinator_is_cut_off_then_only_another_one_acknowledges() {
    for state in [Some(ServerState::Draining), None] {
        // given
        let mut group = configured(3);
        let cut = group.others(group.leader())[0];
        let other = group.others(cut)[0];
        group.heartbeat(cut, "i-1", ServerState::Ready, 1);
        group.run(500);
        group.cut_off(cut, true);

        // when
        let leave = |group: &mut Group, number| match state {
            Some(state) => group.heartbeat(number, "i-1", state, 2),
            None => group.deregister(number, "i-1"),
        };
        let here = leave(&mut group, cut);
        group.run(1_000);
        let there = leave(&mut group, other);
        group.run(100);

        // then
        assert_eq!((group.taken(cut, here), group.taken(other, there)), (Some(false), Some(true)));
        let knowing = group.others(cut).into_iter().filter(|number| {
            let record = group.core(*number).directory().record("i-1");
            record.is_some_and(|record| matches!(record.presence, Presence::Draining | Presence::Removed))
        });
        assert_eq!(knowing.count(), 2);
    }
}

#[test]
fn given_a_server_gone_by_its_own_word_when_it_serves_on_and_speaks_late_then_it_stays_gone() {
    // given: a farewell without a draining before it
    let mut group = configured(3);
    group.heartbeat(1, "i-1", ServerState::Ready, 5);
    group.run(500);
    let farewell = group.deregister(2, "i-1");
    group.run(100);
    assert_eq!(group.taken(2, farewell), Some(true));

    // when: heartbeats from before and after it arrive late, at other coordinators
    let late = group.heartbeat(3, "i-1", ServerState::Ready, 4);
    let later = group.heartbeat(1, "i-1", ServerState::Ready, 6);
    group.run(1_000);

    // then
    assert_eq!((group.taken(3, late), group.taken(1, later)), (Some(true), Some(true)));
    for number in group.numbers() {
        let record = group.core(number).directory().record("i-1").expect("it is remembered");
        assert_eq!(record.presence, Presence::Removed, "at {number}");
    }
}

#[test]
fn given_a_coordinator_cut_off_when_servers_speak_elsewhere_then_it_takes_none_to_be_silent() {
    // given
    let mut group = configured(3);
    let cut = group.others(group.leader())[0];
    let other = group.others(cut)[0];
    group.heartbeat(other, "i-1", ServerState::Ready, 1);
    group.run(5_000);
    let presence =
        |group: &Group, number| group.core(number).directory().record("i-1").map(|record| record.presence);
    assert_eq!(presence(&group, cut), Some(Presence::TimedOut), "in touch, it is taken to be silent");
    for sequence in 2..6 {
        group.heartbeat(other, "i-1", ServerState::Ready, sequence);
        group.run(1_000);
    }
    assert_eq!(presence(&group, cut), Some(Presence::Ready));

    // when
    group.cut_off(cut, true);
    for sequence in 6..26 {
        group.heartbeat(other, "i-1", ServerState::Ready, sequence);
        group.run(1_000);
    }

    // then: nor right after it is back
    assert_eq!(presence(&group, cut), Some(Presence::Ready));
    group.cut_off(cut, false);
    for sequence in 26..32 {
        group.heartbeat(other, "i-1", ServerState::Ready, sequence);
        group.run(500);
        assert_eq!(presence(&group, cut), Some(Presence::Ready));
    }
}

#[test]
fn given_a_coordinator_that_comes_back_from_a_cut_when_it_has_forgotten_edges_then_it_does_not_count_them() {
    // given: two edges, at two coordinators
    let mut group = configured(3);
    let (here, there) = (1, 2);
    let polls = |group: &mut Group, duration: Millis| {
        let end = group.now + duration;
        let mut last = (CallId(0), CallId(0));
        while group.now < end {
            last = (
                group.poll(here, 100, PollRequest { max_wait_ms: 100, ..PollRequest::default() }),
                group.poll(there, 101, PollRequest { max_wait_ms: 100, ..PollRequest::default() }),
            );
            group.run(500);
        }
        last
    };
    let (call, _) = polls(&mut group, 12_000);
    assert_eq!(reply(&group, here, call).edge_count, 2);

    // when
    group.cut_off(here, true);
    let (call, _) = polls(&mut group, 15_000);
    assert_eq!(reply(&group, here, call).edge_count, 0);
    group.hold(|_, _, message| matches!(message, CoordinatorMessage::Demand { .. }));
    group.cut_off(here, false);
    group.run(1_000);
    let call = poll(&mut group, here, 0);

    // then
    let reply = reply(&group, here, call);
    assert!(!reply.isolated);
    assert_eq!(reply.edge_count, 0, "not known, and not one alone");
}

#[test]
fn given_a_coordinator_that_starts_with_old_state_when_it_hears_all_but_the_leader_then_it_gives_that_to_nobody(
) {
    // given: a change that it has missed, and its way to the leader cut
    let mut group = configured(3);
    let leader = group.leader();
    let old = group.others(leader)[0];
    group.kill(old);
    group.run(1_000);
    let change = group.replace(leader, 1, &configuration(2, "b.example"));
    group.run(500);
    assert!(is_done(group.answer(leader, change)));
    group.cut(leader, old, true);

    // when
    group.start(old);
    for _ in 0..40 {
        let call = poll(&mut group, old, 0);
        group.run(50);

        // then: not even in the first moment in touch
        if let Some(reply) = group.reply(old, call) {
            assert!(reply.config.is_none(), "{reply:?}");
        }
    }
    assert!(group.core(old).has_quorum_contact());
    assert_eq!(group.core(old).configuration_version(), 1);
}

#[test]
fn given_a_change_on_its_way_when_edges_poll_then_only_one_without_a_configuration_is_sent_elsewhere_at_once()
{
    // given: the version is in force elsewhere, and its entry late here
    let mut group = configured(3);
    let leader = group.leader();
    let late = group.others(leader)[0];
    group.run(500);
    group.hold(move |_, to, message| to == late && matches!(message, CoordinatorMessage::Shard { .. }));
    group.replace(leader, 1, &configuration(2, "b.example"));
    group.run(100);
    assert_eq!(group.core(late).configuration_version(), 1);

    // when
    let (new, known) = (poll(&mut group, late, 0), poll(&mut group, late, 1));
    group.run(100);

    // then
    assert!(brings_nothing(&reply(&group, late, new)));
    assert_eq!(group.reply(late, known), None, "it is held");
    group.release();
    assert_eq!(reply(&group, late, known).config.map(|news| news.version), Some(2));
}

#[test]
fn given_a_coordinator_that_has_just_started_when_an_edge_polls_then_its_servers_are_not_told_as_all() {
    // given
    let mut group = configured(3);
    group.heartbeat(1, "i-1", ServerState::Ready, 1);
    group.run(500);
    let whole = |group: &mut Group| {
        let call = group.poll(1, 100, PollRequest { max_wait_ms: HOLD, ..PollRequest::default() });
        group.run(HOLD.into());
        let reply = reply(group, 1, call);
        assert!(!reply.isolated);
        reply.complete
    };
    assert!(whole(&mut group));

    // when
    group.kill(1);
    group.start(1);
    group.run(1_000);

    // then
    assert!(!whole(&mut group));
    group.run(4_000);
    assert!(whole(&mut group));
}

#[test]
fn given_a_leader_whose_disk_refuses_every_write_when_it_is_called_then_another_leads_and_it_serves_on() {
    // given
    let mut group = configured(3);
    let sick = group.leader();
    group.heartbeat(sick, "i-1", ServerState::Ready, 1);

    // when
    group.refuse_writes(sick, true);
    group.run(2_000);
    let change = group.replace(sick, 1, &configuration(2, "b.example"));
    let draining = group.heartbeat(sick, "i-1", ServerState::Draining, 2);
    group.run(800);

    // then: the change is taken by the others, and edges here get it or are sent elsewhere
    assert_ne!(group.leader(), sick);
    assert!(is_done(group.answer(sick, change)), "{:?}", group.answer(sick, change));
    assert_eq!(group.taken(sick, draining), Some(true));
    let call = poll(&mut group, sick, 1);
    let reply = reply(&group, sick, call);
    assert!(reply.isolated || reply.config.is_some(), "{reply:?}");

    // and with two such disks of three nothing is confirmed that one loss of power could undo
    let second = group.leader();
    group.refuse_writes(second, true);
    group.run(500);
    let change = group.replace(sick, 2, &configuration(3, "c.example"));
    group.run(2_000);
    assert_eq!(group.answer(sick, change), Some(&OperatorResponse::Unavailable));
}

#[test]
fn given_no_majority_when_more_servers_leave_than_may_wait_then_the_next_is_sent_elsewhere_at_once() {
    let mut group = Group::leading(3);
    group.cut_off(1, true);
    let waiting: Vec<CallId> = (0..1_024).map(|number| group.deregister(1, &format!("i-{number}"))).collect();
    assert!(waiting.iter().all(|call| group.taken(1, *call).is_none()));
    let call = group.deregister(1, "i-another");
    assert_eq!(group.taken(1, call), Some(false));
}

#[test]
fn given_a_coordinator_cut_off_when_a_server_speaks_to_it_then_the_server_is_sent_elsewhere_and_stays_known()
{
    // given
    let mut group = configured(3);
    let cut = group.others(group.leader())[0];
    let other = group.others(cut)[0];
    let first = group.heartbeat(cut, "i-1", ServerState::Ready, 1);
    group.run(200);
    assert_eq!(group.taken(cut, first), Some(true));

    // when: it goes on to another coordinator wherever it is not acknowledged
    group.cut_off(cut, true);
    let mut at = cut;
    for sequence in 2..20 {
        let call = group.heartbeat(at, "i-1", ServerState::Ready, sequence);
        if group.taken(at, call) == Some(false) {
            at = other;
            group.heartbeat(at, "i-1", ServerState::Ready, sequence);
        }
        group.run(1_000);

        // then: the majority, whose edges go by it, does not take it to be silent
        let record = group.core(other).directory().record("i-1").expect("it is known");
        assert_eq!(record.presence, Presence::Ready);
    }
    assert_eq!(at, other);

    // and the one that is cut off knows what it was told all the same
    group.heartbeat(cut, "i-2", ServerState::Ready, 1);
    assert!(group.core(cut).directory().record("i-2").is_some());
}
