//! Calls of the operator that are handed on, proposed again or answered late.

mod common;

use common::group::Group;
use common::{configuration, TICK};
use shaletrail_protocol::internal::{CoordinatorMessage, OperatorCall, OperatorResponse};

fn is_done(answer: Option<&OperatorResponse>) -> bool {
    matches!(answer, Some(OperatorResponse::Done { .. }))
}

/// Three coordinators with version 1; the leader, and one that is not.
fn configured() -> (Group, u8, u8) {
    let mut group = Group::leading(3);
    let leader = group.leader();
    let call = group.replace(leader, 0, &configuration(1, "a.example"));
    group.run(500);
    assert!(is_done(group.answer(leader, call)));
    let other = group.others(leader)[0];
    (group, leader, other)
}

/// A configuration so long that its call may wait for some seconds.
fn patient(version: u64, host: &str) -> String {
    configuration(version, host) + &" ".repeat(6 << 20)
}

#[test]
fn given_a_call_handed_on_when_the_node_starts_again_then_the_late_answer_is_given_to_no_other_call() {
    // given: a call that the leader answers while its sender is down
    let (mut group, leader, sender) = configured();
    group.kill(sender);
    group.start(sender);
    group.run(1_000);
    group.hold(move |_, to, message| {
        to == sender && matches!(message, CoordinatorMessage::ForwardResponse { .. })
    });
    group.replace(sender, 1, &configuration(2, "b.example"));
    group.run(200);
    assert_eq!(group.held().count(), 1);
    group.kill(sender);
    group.start(sender);
    group.run(1_000);

    // when: the new start hands on a call of its own, the first as well, which goes astray
    group.hold(move |from, _, message| {
        from == sender && matches!(message, CoordinatorMessage::ForwardRequest { .. })
    });
    let call = group.replace(sender, 1, &configuration(2, "c.example"));
    group.hold_nothing();
    let late = |message: &CoordinatorMessage| matches!(message, CoordinatorMessage::ForwardResponse { .. });
    group.release_if(late);

    // then
    assert_eq!(group.leader(), leader);
    assert_eq!(group.answer(sender, call), None);
    group.run(1_500);
    assert_eq!(group.answer(sender, call), Some(&OperatorResponse::Unavailable));
}

#[test]
fn given_a_call_handed_on_when_a_node_that_does_not_lead_answers_then_it_is_passed_over() {
    // given
    let (mut group, leader, sender) = configured();
    let third = group.numbers().into_iter().find(|number| ![leader, sender].contains(number));
    let third = third.expect("a third");
    group.hold(move |from, _, message| {
        from == sender && matches!(message, CoordinatorMessage::ForwardRequest { .. })
    });
    let call = group.replace(sender, 1, &configuration(2, "b.example"));
    let name = group.held().find_map(|message| match message {
        CoordinatorMessage::ForwardRequest { call_id, .. } => Some(*call_id),
        _ => None,
    });
    let name = name.expect("it is handed on");

    // when: the answer of another node, and one to another call
    let answer = OperatorResponse::Done { body: Vec::new() };
    group.send(
        third,
        sender,
        CoordinatorMessage::ForwardResponse { call_id: name, response: answer.clone() },
    );
    group.send(leader, sender, CoordinatorMessage::ForwardResponse { call_id: name + 1, response: answer });

    // then
    assert_eq!(group.answer(sender, call), None);
    group.release();
    group.run(300);
    assert!(is_done(group.answer(sender, call)));
}

#[test]
fn given_a_change_in_the_log_of_a_leader_that_is_cut_off_when_another_entry_takes_its_place_then_it_is_lost()
{
    // given: a proposal that only the cut leader has
    let (mut group, leader, _) = configured();
    group.cut_off(leader, true);
    let lost = group.replace(leader, 1, &patient(2, "b.example"));
    let others = group.others(leader);
    assert!(group.run_until(2_000, |group| others.contains(&group.leader())));

    // when: the entry of another term takes its index, and reaches the old leader while the call still waits
    let next = group.leader();
    let won = group.replace(next, 1, &configuration(2, "d.example"));
    group.cut_off(leader, false);
    group.run(500);
    assert!(is_done(group.answer(next, won)));

    // then: it was brought to the next leader, and lost the race there
    assert_eq!(group.answer(leader, lost), Some(&OperatorResponse::Conflict { current_version: 2 }));
    group.run(3_000);
    for number in group.numbers() {
        let read = group.operate(number, OperatorCall::Read);
        group.run(500);
        let Some(OperatorResponse::Done { body }) = group.answer(number, read) else { panic!("no answer") };
        assert!(!String::from_utf8_lossy(body).contains("b.example"));
    }
}

#[test]
fn given_a_change_whose_answer_is_lost_when_it_comes_again_anywhere_then_it_is_acknowledged_and_not_refused()
{
    // given: it was taken, and the answer to the node that handed it on was lost
    let (mut group, leader, sender) = configured();
    group.hold(|_, _, message| matches!(message, CoordinatorMessage::ForwardResponse { .. }));
    let lost = group.replace(sender, 1, &configuration(2, "b.example"));
    group.run(300);
    assert_eq!((group.answer(sender, lost), group.core(leader).configuration_version()), (None, 2));
    group.hold_nothing();

    // when: the leader is lost, another change has come, and it is sent again to each of those that are left
    group.kill(leader);
    group.run(3_000);
    let next = group.leader();
    let other = group.replace(next, 2, &configuration(3, "e.example"));
    group.run(300);
    assert!(is_done(group.answer(next, other)));
    for number in group.others(leader) {
        let again = group.replace(number, 1, &configuration(2, "b.example"));
        group.run(300);

        // then
        assert!(is_done(group.answer(number, again)), "{:?}", group.answer(number, again));
        assert_eq!(group.core(number).configuration_version(), 3);
    }
}

#[test]
fn given_a_change_proposed_when_the_leader_changes_then_it_is_proposed_again_and_acknowledged_as_taken() {
    // given: the entry has reached one other node, and the leader does not hear that
    let (mut group, leader, holder) = configured();
    let third = group.others(leader).into_iter().find(|number| *number != holder).expect("a third");
    group.cut(leader, third, true);
    group.cut_one_way(holder, leader, true);
    let call = group.replace(leader, 1, &patient(2, "b.example"));
    group.run(TICK);

    // when: that node leads next, and the old leader hears of it while its call still waits
    group.cut_one_way(leader, holder, true);
    assert!(group.run_until(2_500, |group| group.leader() == holder));
    group.run(300);
    assert_eq!(group.core(holder).configuration_version(), 2, "the entry came into force");
    assert_eq!(group.answer(leader, call), None);
    group.cut_off(leader, false);
    group.run(500);

    // then
    assert!(is_done(group.answer(leader, call)), "{:?}", group.answer(leader, call));
    group.run(2_000);
    group.numbers().iter().for_each(|number| assert_eq!(group.core(*number).configuration_version(), 2));
}

#[test]
fn given_a_change_built_on_a_version_yet_to_come_when_it_arrives_first_then_it_is_not_refused_and_may_come_again(
) {
    for through_leader in [true, false] {
        // given
        let (mut group, leader, sender) = configured();
        let at = if through_leader { leader } else { sender };

        // when: orders overtake each other on their way
        let early = group.replace(at, 2, &configuration(3, "c.example"));
        group.run(300);
        let first = group.replace(at, 1, &configuration(2, "b.example"));
        group.run(300);
        let again = group.replace(at, 2, &configuration(3, "c.example"));
        group.run(300);

        // then
        assert_eq!(group.answer(at, early), Some(&OperatorResponse::Unavailable));
        assert!(is_done(group.answer(at, first)));
        assert!(is_done(group.answer(at, again)));

        // and one that builds on an older version is refused for good
        let old = group.replace(at, 1, &configuration(9, "x.example"));
        group.run(300);
        assert_eq!(group.answer(at, old), Some(&OperatorResponse::Conflict { current_version: 3 }));
    }
}

#[test]
fn given_a_read_at_a_leader_that_was_replaced_when_its_leadership_ends_then_it_brings_no_old_configuration() {
    // given: a leader that does not know that another one has taken a change since
    let (mut group, leader, _) = configured();
    group.cut_off(leader, true);
    let others = group.others(leader);
    assert!(group.run_until(3_000, |group| others.contains(&group.leader())));
    let next = group.leader();
    let change = group.replace(next, 1, &configuration(2, "d.example"));
    group.run(200);
    assert!(is_done(group.answer(next, change)));

    // when
    let read = group.operate(leader, OperatorCall::Read);
    group.run(TICK);
    assert_eq!(group.answer(leader, read), None);
    group.cut_off(leader, false);
    group.run(1_000);

    // then
    match group.answer(leader, read).expect("it is answered") {
        OperatorResponse::Done { body } => assert!(String::from_utf8_lossy(body).contains("d.example")),
        other => assert_eq!(other, &OperatorResponse::Unavailable),
    }
}
