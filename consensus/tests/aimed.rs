//! Histories that aim at the hard cases: short scenes with random times, each drawn from a seed and watched by the
//! judge. `SHALETRAIL_SEEDS` says how many of each kind are played.

mod group;

use group::history::tight;
use group::{Conditions, Group};
use rand::Rng;
use shaletrail_consensus::{Message, Role};
use shaletrail_protocol::{Millis, NodeId};

/// Histories of each kind where the environment doesn't say.
const USUAL_SEEDS: u64 = 30;
/// Between two scenes the group is whole for as long at most.
const CALM: Millis = 400;
/// After the last scene, so that a late candidate no longer replaces the leader.
const RECOVERY: Millis = 3000;

fn play_all(first_seed: u64, play: fn(u64) -> Group) {
    let seeds = std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok());
    for seed in first_seed..first_seed + seeds.unwrap_or(USUAL_SEEDS) {
        println!("seed {seed}");
        let mut group = play(seed);
        mend(&mut group);
        group.run(RECOVERY);
        group.commit_one();
        group.settle();
        group.machines.values().for_each(|machine| group.judge.has_all_acknowledged(machine));
    }
}

/// Mends everything, and waits for a leader that has led for a random time.
fn mend(group: &mut Group) -> NodeId {
    group.heal();
    group.elect();
    let calm = draw(group, CALM);
    group.run(calm);
    group.elect()
}

fn draw(group: &mut Group, most: Millis) -> Millis {
    group.random.random_range(0..=most)
}

fn run_up_to(group: &mut Group, most: Millis) {
    let duration = draw(group, most);
    group.run(duration);
}

fn coin(group: &mut Group) -> bool {
    group.random.random_bool(0.5)
}

fn any_of(group: &mut Group, nodes: &[NodeId]) -> NodeId {
    nodes[group.random.random_range(0..nodes.len())]
}

fn others(group: &Group, leader: NodeId) -> Vec<NodeId> {
    group.machines.keys().copied().filter(|node| *node != leader).collect()
}

fn leaders(group: &Group) -> Vec<NodeId> {
    group.running().into_iter().filter(|node| group.replica(*node).is_leader()).collect()
}

/// Proposes and reads at all that take themselves for the leader.
fn ask_all(group: &mut Group) {
    for leader in leaders(group) {
        group.propose(leader);
        group.read(leader);
    }
}

#[test]
fn given_hand_overs_that_come_late_and_twice_when_a_leader_is_cut_off_then_its_lease_is_respected() {
    play_all(10_000, |seed| {
        let mut group = Group::founded(if seed % 3 == 0 { 5 } else { 3 }, seed);
        group.keeps = |message| {
            matches!(
                message,
                Message::TimeoutNow { .. } | Message::VoteRequest { leadership_transfer: true, .. }
            )
        };
        for _ in 0..6 {
            // A hand-over, which may be interrupted.
            let leader = mend(&mut group);
            group.act(leader, |replica, now| replica.transfer_leadership(now));
            run_up_to(&mut group, 10);
            match draw(&mut group, 3) {
                0 => group.crash(leader),
                1 | 2 => group.isolate(leader),
                _ => {}
            }
            run_up_to(&mut group, 100);
            // A leader that is cut off while it holds the lease, and messages of hand-overs that come now.
            let leader = mend(&mut group);
            group.isolate(leader);
            for _ in 0..3 {
                run_up_to(&mut group, 20);
                group.replay_one();
                ask_all(&mut group);
            }
            group.run(300);
        }
        group
    });
}

#[test]
fn given_candidates_held_up_by_their_disks_when_the_voters_hear_the_leader_again_then_its_lease_is_respected()
{
    play_all(20_000, |seed| {
        let mut group = Group::founded(3, seed);
        for _ in 0..8 {
            held_up_candidate(&mut group);
        }
        group
    });
}

/// A leader is cut off for less than it takes to step down, a voter gathers pre-votes and is held up by its disk,
/// the third voter hears the leader again and may start again, or lose its disk as the leader stops; then the request
/// for its vote arrives.
fn held_up_candidate(group: &mut Group) {
    let leader = readmit_all(group);
    let others = others(group, leader);
    group.isolate(leader);
    others.iter().for_each(|node| group.machine(*node).is_disk_stalled = true);
    let candidate = |group: &Group| others.iter().copied().find(|node| group.role(*node) == Role::Candidate);
    let stands = group.run_until(950, |group| candidate(group).is_some());
    let Some(candidate) = candidate(group).filter(|_| stands) else { return };
    let voter = others.into_iter().find(|node| *node != candidate).expect("a third voter");
    group.machine(voter).is_disk_stalled = false;
    group.cuts.clear();
    group.partition(&[leader], &[candidate]);
    run_up_to(group, 300);
    if coin(group) {
        // With newer entries the voter would not vote for the candidate anyway.
        ask_all(group);
    }
    run_up_to(group, 100);
    match draw(group, 3) {
        0 | 1 => {
            group.crash(voter);
            group.restart(voter);
            run_up_to(group, 200);
        }
        2 => {
            group.wipe(voter);
            group.restart(voter);
            group.crash(leader);
        }
        _ => {}
    }
    group.machine(candidate).is_disk_stalled = false;
    group.run(100);
}

#[test]
fn given_deposed_leaders_that_return_when_each_leaves_entries_behind_then_nothing_acknowledged_is_lost() {
    play_all(30_000, |seed| {
        let mut group = Group::founded_with(3 + (seed % 3) as u32, seed, tight);
        let mut cut_off: Vec<NodeId> = Vec::new();
        for _ in 0..10 {
            // The leader is cut off or stopped at an awkward moment, with entries that few others hold.
            if let Some(leader) = group.leader() {
                ask_all(&mut group);
                run_up_to(&mut group, 15);
                ask_all(&mut group);
                if coin(&mut group) {
                    group.crash(leader);
                } else {
                    group.isolate(leader);
                }
                cut_off.push(leader);
            }
            // An earlier one returns, so that a majority is there.
            while cut_off.len() > (group.machines.len() - 1) / 2 {
                let back = cut_off.remove(0);
                group.cuts.retain(|(from, to)| *from != back && *to != back);
                group.restart(back);
            }
            for node in cut_off.clone() {
                group.isolate(node);
            }
            let cut = cut_off.clone();
            group.run_until(3000, |group| leaders(group).into_iter().any(|leader| !cut.contains(&leader)));
            run_up_to(&mut group, 10);
        }
        group
    });
}

#[test]
fn given_two_candidates_of_one_term_when_the_voter_between_loses_power_then_one_of_them_leads_at_most() {
    play_all(40_000, |seed| {
        let mut group = Group::founded_with(3, seed, |options| options.election_max_ms = 2000);
        group.keeps = |message| matches!(message, Message::VoteRequest { .. });
        for _ in 0..5 {
            split_vote(&mut group);
        }
        group
    });
}

/// Two voters that don't hear each other stand in the same term; the one between loses power around its answer.
fn split_vote(group: &mut Group) {
    let between = mend(group);
    group.forget_kept();
    let candidates = others(group, between);
    group.partition(&[candidates[0]], &[candidates[1]]);
    group.freeze(between);
    for candidate in &candidates {
        group.machine(*candidate).is_disk_stalled = true;
    }
    // Both have asked for pre-votes when the voter between wakes, and have heard nothing else.
    group.run(2100);
    group.thaw(between);
    let both_stand = |group: &Group| {
        let stands = |node: &NodeId| group.role(*node) == Role::Candidate;
        candidates.iter().all(stands) && group.term(candidates[0]) == group.term(candidates[1])
    };
    if !group.run_until(1000, both_stand) {
        return;
    }
    group.conditions = Conditions { sync_ms: 60, ..Conditions::CALM };
    for candidate in &candidates {
        group.machine(*candidate).is_disk_stalled = false;
    }
    run_up_to(group, 40);
    group.crash(between);
    group.restart(between);
    group.run(20);
    // The one that was elected is not heard any more, and the other's request comes late.
    for leader in leaders(group) {
        group.isolate(leader);
    }
    group.run(580);
    for _ in 0..60 {
        group.run(10);
        group.replay_one();
    }
}

#[test]
fn given_elections_that_are_split_again_and_again_when_votes_come_late_then_a_term_has_one_leader_at_most() {
    play_all(45_000, |seed| {
        let mut group = Group::founded(3, seed);
        group.keeps = |message| matches!(message, Message::VoteRequest { .. } | Message::VoteResponse { .. });
        let between = mend(&mut group);
        let candidates = others(&group, between);
        for _ in 0..6 {
            group.partition(&[candidates[0]], &[candidates[1]]);
            group.conditions = Conditions { lost: 300, doubled: 300, delay_ms: 200, sync_ms: 200 };
            for _ in 0..40 {
                group.run(50);
                group.replay_one();
                group.replay_one();
                for leader in leaders(&group) {
                    group.crash(leader);
                    group.restart(leader);
                }
            }
            mend(&mut group);
        }
        group
    });
}

#[test]
fn given_slow_disks_when_machines_lose_power_around_what_they_promise_then_nothing_acknowledged_is_lost() {
    play_all(50_000, |seed| {
        let mut group = Group::founded_with(if seed % 3 == 0 { 5 } else { 3 }, seed, tight);
        for _ in 0..15 {
            group.elect();
            let sync_ms = 1 + draw(&mut group, 150);
            group.conditions = Conditions { sync_ms, ..Conditions::CALM };
            for _ in 0..draw(&mut group, 6) {
                ask_all(&mut group);
                run_up_to(&mut group, 30);
            }
            let nodes: Vec<NodeId> = group.machines.keys().copied().collect();
            let slow = any_of(&mut group, &nodes);
            group.machine(slow).is_disk_stalled = coin(&mut group);
            let all = coin(&mut group);
            for node in nodes {
                if all || coin(&mut group) {
                    group.crash(node);
                }
            }
            run_up_to(&mut group, 200);
            group.heal();
            let sync_ms = 1 + draw(&mut group, 150);
            group.conditions = Conditions { sync_ms, ..Conditions::CALM };
        }
        group
    });
}

#[test]
fn given_messages_of_former_terms_when_they_come_late_then_the_group_is_not_misled() {
    play_all(60_000, |seed| {
        let mut group = Group::founded_with(if seed % 3 == 0 { 5 } else { 3 }, seed, tight);
        group.keeps = |_| true;
        for _ in 0..12 {
            let leader = mend(&mut group);
            match draw(&mut group, 3) {
                0 => group.crash(leader),
                1 => group.isolate(leader),
                2 => _ = group.act(leader, |replica, now| replica.transfer_leadership(now)),
                _ => {}
            }
            for _ in 0..12 {
                ask_all(&mut group);
                for _ in 0..draw(&mut group, 4) {
                    group.replay_one();
                }
                run_up_to(&mut group, 100);
                let nodes = group.running();
                let compacts = any_of(&mut group, &nodes);
                group.machine(compacts).compact();
            }
        }
        group
    });
}

#[test]
fn given_a_leader_that_was_replaced_when_old_answers_reach_it_then_it_confirms_no_read() {
    play_all(70_000, |seed| {
        let mut group = Group::founded(3, seed);
        group.keeps =
            |message| matches!(message, Message::HeartbeatResponse { .. } | Message::AppendResponse { .. });
        for _ in 0..5 {
            let former = mend(&mut group);
            group.isolate(former);
            group.run_until(990, |group| group.leader().is_some_and(|leader| leader != former));
            run_up_to(&mut group, 20);
            for _ in 0..6 {
                ask_all(&mut group);
                for _ in 0..6 {
                    group.replay_one();
                }
                group.run(10);
            }
        }
        group
    });
}

#[test]
fn given_a_leader_that_leads_again_when_answers_of_its_former_term_come_late_then_it_confirms_no_read() {
    play_all(72_000, |seed| {
        let mut group = Group::founded(3, seed);
        for _ in 0..4 {
            lead_again(&mut group);
            // It is cut off, and another leads.
            let former = group.elect_now();
            group.isolate(former);
            group.run_until(990, |group| group.leader().is_some_and(|leader| leader != former));
            run_up_to(&mut group, 20);
            for _ in 0..6 {
                ask_all(&mut group);
                for _ in 0..6 {
                    group.replay_one();
                }
                group.run(10);
            }
        }
        group
    });
}

/// A leader hands over and leads again soon; only the answers of its former term are kept. Its rounds begin anew.
fn lead_again(group: &mut Group) {
    let leader = mend(group);
    group.forget_kept();
    group.keeps =
        |message| matches!(message, Message::HeartbeatResponse { .. } | Message::AppendResponse { .. });
    for _ in 0..10 {
        ask_all(group);
        run_up_to(group, 30);
    }
    group.keeps = |_| false;
    for _ in 0..20 {
        if let Some(present) = group.leader() {
            group.act(present, |replica, now| replica.transfer_leadership(now));
        }
        if group.run_until(60, |group| group.leader() == Some(leader)) {
            break;
        }
    }
    run_up_to(group, 30);
}

#[test]
fn given_a_leader_that_stops_behind_its_heartbeat_when_it_goes_on_then_it_confirms_no_read_by_the_answers() {
    play_all(75_000, |seed| {
        let mut group = Group::founded(3, seed);
        for _ in 0..4 {
            // The answers to a heartbeat wait in the socket of a leader that was stopped, and another leads.
            let former = mend(&mut group);
            let round = group.rounds_sent[&former];
            group.run_until(400, |group| group.rounds_sent[&former] > round);
            group.freeze(former);
            group.run_until(4000, |group| group.leader().is_some());
            ask_all(&mut group);
            run_up_to(&mut group, 100);
            // What it finds first when it goes on is a read, and only then the answers.
            group.read(former);
            group.thaw(former);
            group.run(100);
        }
        group
    });
}

#[test]
fn given_four_voters_when_they_are_cut_in_halves_then_no_half_decides_alone() {
    play_all(77_000, |seed| {
        let mut group = Group::founded(4, seed);
        let leader = mend(&mut group);
        let others = others(&group, leader);
        group.partition(&[leader, others[0]], &others[1..]);
        for _ in 0..40 {
            ask_all(&mut group);
            run_up_to(&mut group, 200);
        }
        group
    });
}

/// Waits until all disks count again.
fn readmit_all(group: &mut Group) -> NodeId {
    group.heal();
    let counts = |group: &Group| group.machines.values().all(|machine| !machine.disk.is_recovering());
    assert!(group.run_until(8000, counts), "{}", group.describe());
    mend(group)
}

#[test]
fn given_a_voter_that_loses_its_disk_after_it_voted_or_acknowledged_when_its_part_is_played_again_then_nothing_is_lost(
) {
    play_all(95_000, |seed| {
        let mut group = Group::founded(3, seed);
        for _ in 0..6 {
            let former = readmit_all(&mut group);
            let mut followers = others(&group, former);
            if coin(&mut group) {
                followers.reverse();
            }
            let (absent, wiped) = (followers[0], followers[1]);
            if coin(&mut group) {
                // It alone has acknowledged with the leader, and meets one that has not heard of that.
                group.isolate(absent);
                run_up_to(&mut group, 300);
                ask_all(&mut group);
                run_up_to(&mut group, 60);
                group.wipe(wiped);
                group.crash(former);
            } else {
                // It has elected another leader, and meets the one before, which does not know.
                group.isolate(former);
                group.run_until(950, |group| group.leader().is_some_and(|leader| leader != former));
                run_up_to(&mut group, 30);
                ask_all(&mut group);
                run_up_to(&mut group, 60);
                let newer = group.leader().filter(|leader| *leader != former);
                let voter = followers.iter().copied().find(|node| Some(*node) != newer).expect("a voter");
                group.wipe(voter);
                group.cuts.clear();
                newer.into_iter().for_each(|newer| group.isolate(newer));
                group.restart(voter);
                for _ in 0..10 {
                    ask_all(&mut group);
                    group.run(20);
                }
            }
            group.cuts.retain(|(from, to)| ![*from, *to].contains(&absent));
            group.restart(wiped);
            for _ in 0..20 {
                ask_all(&mut group);
                group.run(100);
            }
        }
        readmit_all(&mut group);
        group
    });
}

/// A group of three in which nothing is kept in memory behind a snapshot.
fn founded_without_memory(seed: u64) -> Group {
    Group::founded_with(3, seed, |options| {
        tight(options);
        options.retain_bytes = 0;
    })
}

/// Cuts a follower off until the leader's log no longer reaches back to where it stands.
fn fall_behind(group: &mut Group, leader: NodeId) -> NodeId {
    let followers = others(group, leader);
    let behind = any_of(group, &followers);
    group.isolate(behind);
    for _ in 0..4 {
        ask_all(group);
        group.run(20);
    }
    group.machine(leader).compact();
    group.act(leader, |_, _| ());
    behind
}

#[test]
fn given_a_follower_behind_the_snapshot_when_its_disk_or_power_fails_meanwhile_then_it_catches_up_in_the_end()
{
    play_all(80_000, |seed| {
        let mut group = founded_without_memory(seed);
        for _ in 0..5 {
            let leader = mend(&mut group);
            let behind = fall_behind(&mut group, leader);
            let sync_ms = 1 + draw(&mut group, 100);
            group.conditions = Conditions { sync_ms, delay_ms: 30, ..Conditions::CALM };
            group.cuts.clear();
            group.machine(behind).is_disk_stalled = coin(&mut group);
            // More snapshots follow, and power is lost at any step between them.
            for _ in 0..4 {
                ask_all(&mut group);
                run_up_to(&mut group, 120);
                let compacts = if coin(&mut group) { leader } else { behind };
                group.machine(compacts).compact();
                group.act(compacts, |_, _| ());
                match draw(&mut group, 5) {
                    0 => group.machine(behind).is_disk_stalled = false,
                    1 => group.machine(behind).checkpoint(),
                    2 | 3 => {
                        group.crash(behind);
                        group.restart(behind);
                    }
                    _ => {}
                }
            }
        }
        assert!(group.sent.contains_key("InstallSnapshot"));
        group
    });
}

#[test]
fn given_a_longer_log_of_a_former_leader_when_a_snapshot_replaces_it_then_nothing_counts_before_it_is_synced()
{
    play_all(90_000, |seed| {
        let mut group = founded_without_memory(seed);
        for _ in 0..2 {
            // A leader that is cut off keeps on taking proposals; the others go on and forget their logs.
            let former = mend(&mut group);
            group.isolate(former);
            for _ in 0..20 {
                group.propose(former);
            }
            group.run_until(3000, |group| group.leader().is_some_and(|leader| leader != former));
            let Some(leader) = group.leader().filter(|leader| *leader != former) else { continue };
            ask_all(&mut group);
            group.run(200);
            group.machine(leader).compact();
            group.act(leader, |_, _| ());
            // It returns, the new leader has nobody else, and its disk hangs as the snapshot comes.
            let third = others(&group, former).into_iter().find(|node| *node != leader).expect("a third");
            group.cuts.clear();
            group.isolate(third);
            let installs = |group: &Group| group.sent.get("InstallSnapshot").copied().unwrap_or_default();
            let before = installs(&group);
            group.run_until(2000, |group| installs(group) > before);
            group.machine(former).is_disk_stalled = true;
            for _ in 0..8 {
                run_up_to(&mut group, 200);
                group.propose(leader);
            }
            if coin(&mut group) {
                group.crash(former);
            }
        }
        group
    });
}

#[test]
fn given_a_follower_behind_the_snapshot_when_400_changes_go_on_at_20_a_second_then_it_keeps_up_before_they_end(
) {
    let mut group = founded_without_memory(1);
    let leader = mend(&mut group);
    let behind = fall_behind(&mut group, leader);
    group.crash(behind);
    group.cuts.clear();
    group.conditions = Conditions { delay_ms: 40, sync_ms: 60, ..Conditions::CALM };
    for change in 0..400 {
        group.propose(leader).expect("the leader takes it");
        if change % 8 == 0 {
            group.machine(leader).compact();
        }
        if change == 100 {
            group.restart(behind);
        }
        group.run(50);
    }
    let distance = group.machines[&leader].applied - group.machines[&behind].applied;
    assert!(group.sent.contains_key("InstallSnapshot"));
    assert!(distance < 20, "{distance} entries behind: {}", group.describe());
    group.settle();
    assert_eq!(group.machines[&behind].commands, group.machines[&leader].commands);
}

#[test]
fn given_a_member_that_starts_again_when_it_does_not_know_what_is_committed_then_it_answers_nobody() {
    let mut group = Group::founded(3, 2);
    let leader = mend(&mut group);
    group.commit_one();
    let member = others(&group, leader)[0];
    group.crash(member);
    group.restart(member);
    // It neither leads nor holds a lease, and takes no proposals or reads, until it was elected anew.
    assert_eq!((group.role(member), group.has_lease(member)), (Role::Follower, false));
    assert_eq!((group.propose(member), group.read(member)), (None, None));
    assert_eq!(group.machines[&member].commands, Vec::<u64>::new(), "what is not known to be committed");
    group.settle();
}

#[test]
fn given_a_voter_that_starts_again_after_it_followed_a_newer_leader_when_the_former_returns_then_it_rejects_it(
) {
    let mut played = 0;
    for seed in 0..20 {
        // given: a leader that is cut off with one voter, and a newer one that three others have elected
        let mut group = Group::founded_with(5, seed, |options| options.election_max_ms = 4000);
        let former = mend(&mut group);
        let others = others(&group, former);
        let voter = others[0];
        group.isolate(former);
        group.isolate(voter);
        group.run_until(3500, |group| leaders(group).iter().any(|leader| *leader != former));
        let Some(newer) = leaders(&group).into_iter().find(|leader| *leader != former) else { continue };
        // The voter follows the newer one, and is needed for its commit.
        group.cuts.retain(|(from, to)| ![*from, *to].contains(&voter) || ![*from, *to].contains(&newer));
        let idle = others[1..].iter().copied().find(|node| *node != newer).expect("another");
        group.isolate(idle);
        let (_, index) = group.propose(newer).expect("it leads");
        group.run(800);
        if !group.judge.is_acknowledged(index) || !group.replica(former).is_leader() {
            continue;
        }
        played += 1;
        // when: it starts again and hears the former leader only, and then the newer one and its follower are lost
        group.crash(voter);
        group.restart(voter);
        group.cuts.clear();
        let rest: Vec<NodeId> = others[1..].to_vec();
        group.partition(&[former, voter], &rest);
        group.isolate(idle);
        for _ in 0..3 {
            group.propose(former);
        }
        group.run(700);
        group.cuts.clear();
        others[1..].iter().filter(|node| **node != idle).for_each(|node| group.crash(*node));
        group.run(12_000);
        // then: what was acknowledged is still there
        group.heal();
        group.run(8000);
        group.commit_one();
        group.settle();
        group.machines.values().for_each(|machine| group.judge.has_all_acknowledged(machine));
    }
    assert!(played >= 5, "{played} of the seeds come to the point");
}
