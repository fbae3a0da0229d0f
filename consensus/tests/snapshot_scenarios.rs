//! Snapshot scenarios: followers that are too far behind for the leader's log, or whose log is longer than a snapshot.

mod group;

use group::history::small_limits;
use group::scenario::{
    draw, draw_node, flip_coin, heal_and_await_leader, propose_and_read_at_leaders, run_up_to, run_with_seeds,
};
use group::{Conditions, Group};
use shaletrail_protocol::{Millis, NodeId};

/// After this time without a response, a follower counts as unreachable, in milliseconds.
const OUT_OF_CONTACT_MS: Millis = 2_000;

/// A group of three that retains no entries covered by a snapshot.
fn bootstrapped_without_retained_entries(seed: u64) -> Group {
    Group::bootstrapped_with(3, seed, |options| {
        small_limits(options);
        options.retain_bytes = 0;
    })
}

/// Isolates a follower until the leader's log no longer contains the entry that the follower needs next.
fn fall_behind(group: &mut Group, leader: NodeId) -> NodeId {
    let followers = group.others(leader);
    let lagging = draw_node(group, &followers);
    group.isolate(lagging);
    for _ in 0..4 {
        propose_and_read_at_leaders(group);
        group.run(20);
    }
    // While the follower counts as in contact, the leader retains the entries that it needs.
    group.run(OUT_OF_CONTACT_MS);
    group.machine(leader).compact();
    group.call(leader, |_, _| ());
    lagging
}

#[test]
fn snapshot_install_survives_disk_and_power_faults() {
    run_with_seeds(80_000, |seed| {
        let mut group = bootstrapped_without_retained_entries(seed);
        for _ in 0..5 {
            let leader = heal_and_await_leader(&mut group);
            let lagging = fall_behind(&mut group, leader);
            let max_sync_ms = 1 + draw(&mut group, 100);
            group.conditions = Conditions { max_sync_ms, max_delay_ms: 30, ..Conditions::HEALTHY };
            group.blocked_links.clear();
            group.machine(lagging).is_disk_stalled = flip_coin(&mut group);
            // More snapshots follow, and power may be lost at any step between them.
            for _ in 0..4 {
                propose_and_read_at_leaders(&mut group);
                run_up_to(&mut group, 120);
                let compacting_node = if flip_coin(&mut group) { leader } else { lagging };
                group.machine(compacting_node).compact();
                group.call(compacting_node, |_, _| ());
                match draw(&mut group, 5) {
                    0 => group.machine(lagging).is_disk_stalled = false,
                    1 => group.machine(lagging).checkpoint(),
                    2 | 3 => {
                        group.crash(lagging);
                        group.restart(lagging);
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
fn snapshot_over_longer_log_counts_once_synced() {
    run_with_seeds(90_000, |seed| {
        let mut group = bootstrapped_without_retained_entries(seed);
        for _ in 0..2 {
            // An isolated leader continues to accept proposals, while the other voters elect a leader and compact their
            // logs.
            let former = heal_and_await_leader(&mut group);
            group.isolate(former);
            for _ in 0..20 {
                group.propose(former);
            }
            group.run_until(3000, |group| group.leader().is_some_and(|leader| leader != former));
            let Some(leader) = group.leader().filter(|leader| *leader != former) else { continue };
            propose_and_read_at_leaders(&mut group);
            group.run(200);
            group.machine(leader).compact();
            group.call(leader, |_, _| ());
            // The former leader returns. The new leader can reach only this voter, whose disk stalls as the snapshot
            // arrives.
            let third = group.others(former).into_iter().find(|node| *node != leader).expect("a third voter");
            group.blocked_links.clear();
            group.isolate(third);
            let snapshots_sent =
                |group: &Group| group.sent.get("InstallSnapshot").copied().unwrap_or_default();
            let before = snapshots_sent(&group);
            group.run_until(2000, |group| snapshots_sent(group) > before);
            group.machine(former).is_disk_stalled = true;
            for _ in 0..8 {
                run_up_to(&mut group, 200);
                group.propose(leader);
            }
            if flip_coin(&mut group) {
                group.crash(former);
            }
        }
        group
    });
}

#[test]
fn follower_catches_up_under_steady_load() {
    // given
    let mut group = bootstrapped_without_retained_entries(1);
    let leader = heal_and_await_leader(&mut group);
    let lagging = fall_behind(&mut group, leader);
    group.crash(lagging);
    group.blocked_links.clear();
    group.conditions = Conditions { max_delay_ms: 40, max_sync_ms: 60, ..Conditions::HEALTHY };
    // when
    for proposal in 0..400 {
        group.propose(leader).expect("the leader accepts the proposal");
        if proposal % 8 == 0 {
            group.machine(leader).compact();
        }
        if proposal == 100 {
            group.restart(lagging);
        }
        group.run(50);
    }
    // then
    let entries_behind = group.machines[&leader].applied - group.machines[&lagging].applied;
    assert!(group.sent.contains_key("InstallSnapshot"));
    assert!(entries_behind < 20, "{entries_behind} entries behind: {}", group.describe());
    let last = group.replica(leader).last_position().index;
    assert!(group.run_until(8000, |group| group.all_applied(last)), "{}", group.describe());
    assert_eq!(group.machines[&lagging].commands, group.machines[&leader].commands);
}
