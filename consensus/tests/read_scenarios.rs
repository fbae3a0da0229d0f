//! Read scenarios: leaders that were replaced, were paused, or lead again, and that receive late responses.

mod group;

use group::scenario::{heal_and_await_leader, propose_and_read_at_leaders, run_up_to, run_with_seeds};
use group::Group;
use shaletrail_consensus::Message;
use shaletrail_protocol::NodeId;

#[test]
fn replaced_leader_confirms_no_read_by_old_responses() {
    run_with_seeds(70_000, |seed| {
        let mut group = Group::bootstrapped(3, seed);
        group.should_record =
            |message| matches!(message, Message::HeartbeatResponse { .. } | Message::AppendResponse { .. });
        for _ in 0..5 {
            let former = heal_and_await_leader(&mut group);
            isolate_and_replay(&mut group, former);
        }
        group
    });
}

#[test]
fn reelected_leader_confirms_no_read_by_former_term() {
    run_with_seeds(72_000, |seed| {
        let mut group = Group::bootstrapped(3, seed);
        for _ in 0..4 {
            transfer_until_leading_again(&mut group);
            let former = group.current_leader();
            isolate_and_replay(&mut group, former);
        }
        group
    });
}

/// Isolates a leader until another one leads, and replays recorded messages while both receive read requests.
fn isolate_and_replay(group: &mut Group, former: NodeId) {
    group.isolate(former);
    group.run_until(990, |group| group.leader().is_some_and(|leader| leader != former));
    run_up_to(group, 20);
    for _ in 0..6 {
        propose_and_read_at_leaders(group);
        for _ in 0..6 {
            group.replay_recorded();
        }
        group.run(10);
    }
}

/// A leader transfers leadership and soon leads again. Only responses from its former term are recorded. Its rounds
/// start at 1 again in the new term, so the recorded round numbers recur.
fn transfer_until_leading_again(group: &mut Group) {
    let leader = heal_and_await_leader(group);
    group.clear_recorded();
    group.should_record =
        |message| matches!(message, Message::HeartbeatResponse { .. } | Message::AppendResponse { .. });
    for _ in 0..10 {
        propose_and_read_at_leaders(group);
        run_up_to(group, 30);
    }
    group.should_record = |_| false;
    for _ in 0..20 {
        if let Some(current) = group.leader() {
            group.call(current, |replica, now| replica.transfer_leadership(now));
        }
        if group.run_until(60, |group| group.leader() == Some(leader)) {
            break;
        }
    }
    run_up_to(group, 30);
}

#[test]
fn paused_leader_confirms_no_read_by_earlier_round() {
    run_with_seeds(75_000, |seed| {
        let mut group = Group::bootstrapped(3, seed);
        for _ in 0..4 {
            // Responses to a heartbeat wait in the socket of a paused leader while another one is elected.
            let former = heal_and_await_leader(&mut group);
            let round = group.last_rounds[&former];
            group.run_until(400, |group| group.last_rounds[&former] > round);
            group.pause(former);
            group.run_until(4000, |group| group.leader().is_some());
            propose_and_read_at_leaders(&mut group);
            run_up_to(&mut group, 100);
            // After it resumes, the former leader handles a read first, and the responses only then.
            group.read(former);
            group.resume(former);
            group.run(100);
        }
        group
    });
}
