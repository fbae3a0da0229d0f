//! Scenarios for the durability of entries: deposed leaders, power loss and lost disks around acknowledgements.

mod group;

use group::history::small_limits;
use group::scenario::{
    draw, draw_node, flip_coin, heal_and_await_rejoin, propose_and_read_at_leaders, run_up_to, run_with_seeds,
};
use group::{Conditions, Group};
use shaletrail_protocol::NodeId;

#[test]
fn returning_leaders_lose_nothing_acknowledged() {
    run_with_seeds(30_000, |seed| {
        let mut group = Group::bootstrapped_with(3 + (seed % 3) as u32, seed, small_limits);
        let mut unreachable: Vec<NodeId> = Vec::new();
        for _ in 0..10 {
            // The leader is isolated or crashes while few other voters hold its entries.
            if let Some(leader) = group.leader() {
                propose_and_read_at_leaders(&mut group);
                run_up_to(&mut group, 15);
                propose_and_read_at_leaders(&mut group);
                if flip_coin(&mut group) {
                    group.crash(leader);
                } else {
                    group.isolate(leader);
                }
                unreachable.push(leader);
            }
            // The voter that failed first returns as soon as a majority would be missing otherwise.
            while unreachable.len() > (group.machines.len() - 1) / 2 {
                let returning = unreachable.remove(0);
                group.blocked_links.retain(|(from, to)| *from != returning && *to != returning);
                group.restart(returning);
            }
            for node in unreachable.clone() {
                group.isolate(node);
            }
            let isolated = unreachable.clone();
            group.run_until(3000, |group| {
                group.leaders().into_iter().any(|leader| !isolated.contains(&leader))
            });
            run_up_to(&mut group, 10);
        }
        group
    });
}

#[test]
fn power_loss_with_slow_disks_loses_nothing_acknowledged() {
    run_with_seeds(50_000, |seed| {
        let mut group = Group::bootstrapped_with(if seed % 3 == 0 { 5 } else { 3 }, seed, small_limits);
        for _ in 0..15 {
            group.await_leader();
            let max_sync_ms = 1 + draw(&mut group, 150);
            group.conditions = Conditions { max_sync_ms, ..Conditions::HEALTHY };
            for _ in 0..draw(&mut group, 6) {
                propose_and_read_at_leaders(&mut group);
                run_up_to(&mut group, 30);
            }
            let nodes: Vec<NodeId> = group.machines.keys().copied().collect();
            let slow = draw_node(&mut group, &nodes);
            group.machine(slow).is_disk_stalled = flip_coin(&mut group);
            let all = flip_coin(&mut group);
            for node in nodes {
                if all || flip_coin(&mut group) {
                    group.crash(node);
                }
            }
            run_up_to(&mut group, 200);
            group.heal();
            let max_sync_ms = 1 + draw(&mut group, 150);
            group.conditions = Conditions { max_sync_ms, ..Conditions::HEALTHY };
        }
        group
    });
}

#[test]
fn disk_loss_after_vote_or_acknowledgement_loses_nothing() {
    run_with_seeds(95_000, |seed| {
        let mut group = Group::bootstrapped(3, seed);
        for _ in 0..6 {
            let former = heal_and_await_rejoin(&mut group);
            let mut followers = group.others(former);
            if flip_coin(&mut group) {
                followers.reverse();
            }
            let (absent, wiped) = (followers[0], followers[1]);
            if flip_coin(&mut group) {
                // Only this follower has acknowledged the entry besides the leader. After losing its disk, it is left
                // with a voter that lacks the entry.
                group.isolate(absent);
                run_up_to(&mut group, 300);
                propose_and_read_at_leaders(&mut group);
                run_up_to(&mut group, 60);
                group.wipe_disk(wiped);
                group.crash(former);
            } else {
                // This follower elects another leader. After losing its disk, it is left with the former leader, which
                // has not learned of the election.
                group.isolate(former);
                group.run_until(950, |group| group.leader().is_some_and(|leader| leader != former));
                run_up_to(&mut group, 30);
                propose_and_read_at_leaders(&mut group);
                run_up_to(&mut group, 60);
                let newer = group.leader().filter(|leader| *leader != former);
                let voter =
                    followers.iter().copied().find(|node| Some(*node) != newer).expect("a third voter");
                group.wipe_disk(voter);
                group.blocked_links.clear();
                newer.into_iter().for_each(|newer| group.isolate(newer));
                group.restart(voter);
                for _ in 0..10 {
                    propose_and_read_at_leaders(&mut group);
                    group.run(20);
                }
            }
            group.blocked_links.retain(|(from, to)| ![*from, *to].contains(&absent));
            group.restart(wiped);
            for _ in 0..20 {
                propose_and_read_at_leaders(&mut group);
                group.run(100);
            }
        }
        heal_and_await_rejoin(&mut group);
        group
    });
}
