//! Scenarios of snapshots: followers that are behind the log of the leader, or ahead of a snapshot.

mod group;

use group::history::small_limits;
use group::scenario::{
    draw, draw_node, flip_coin, heal_and_await_leader, play_all, propose_and_read_at_leaders, run_up_to,
};
use group::{Conditions, Group};
use shaletrail_protocol::{Millis, NodeId};

/// After so long without a response a follower counts as unreachable.
const OUT_OF_CONTACT_MS: Millis = 2_000;

/// A group of three that retains no entries behind a snapshot.
fn bootstrapped_without_retained_entries(seed: u64) -> Group {
    Group::bootstrapped_with(3, seed, |options| {
        small_limits(options);
        options.retain_bytes = 0;
    })
}

/// Isolates a follower until the leader's log no longer reaches back to its last entry.
fn fall_behind(group: &mut Group, leader: NodeId) -> NodeId {
    let followers = group.others(leader);
    let behind = draw_node(group, &followers);
    group.isolate(behind);
    for _ in 0..4 {
        propose_and_read_at_leaders(group);
        group.run(20);
    }
    // As long as it may only be late, the leader keeps what it needs.
    group.run(OUT_OF_CONTACT_MS);
    group.machine(leader).compact();
    group.call(leader, |_, _| ());
    behind
}

#[test]
fn snapshot_install_survives_disk_and_power_faults() {
    play_all(80_000, |seed| {
        let mut group = bootstrapped_without_retained_entries(seed);
        for _ in 0..5 {
            let leader = heal_and_await_leader(&mut group);
            let behind = fall_behind(&mut group, leader);
            let max_sync_ms = 1 + draw(&mut group, 100);
            group.conditions = Conditions { max_sync_ms, max_delay_ms: 30, ..Conditions::HEALTHY };
            group.blocked_links.clear();
            group.machine(behind).is_disk_stalled = flip_coin(&mut group);
            // More snapshots follow, and power is lost at any step between them.
            for _ in 0..4 {
                propose_and_read_at_leaders(&mut group);
                run_up_to(&mut group, 120);
                let compacts = if flip_coin(&mut group) { leader } else { behind };
                group.machine(compacts).compact();
                group.call(compacts, |_, _| ());
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
fn snapshot_over_longer_log_counts_once_synced() {
    play_all(90_000, |seed| {
        let mut group = bootstrapped_without_retained_entries(seed);
        for _ in 0..2 {
            // An isolated leader keeps on taking proposals; the others go on and compact their logs.
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
            // It returns, the new leader has nobody else, and its disk stalls as the snapshot arrives.
            let third = group.others(former).into_iter().find(|node| *node != leader).expect("a third");
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
    let behind = fall_behind(&mut group, leader);
    group.crash(behind);
    group.blocked_links.clear();
    group.conditions = Conditions { max_delay_ms: 40, max_sync_ms: 60, ..Conditions::HEALTHY };
    // when
    for change in 0..400 {
        group.propose(leader).expect("the leader accepts it");
        if change % 8 == 0 {
            group.machine(leader).compact();
        }
        if change == 100 {
            group.restart(behind);
        }
        group.run(50);
    }
    // then
    let distance = group.machines[&leader].applied - group.machines[&behind].applied;
    assert!(group.sent.contains_key("InstallSnapshot"));
    assert!(distance < 20, "{distance} entries behind: {}", group.describe());
    let last = group.replica(leader).last().index;
    assert!(group.run_until(8000, |group| group.all_applied(last)), "{}", group.describe());
    assert_eq!(group.machines[&behind].commands, group.machines[&leader].commands);
}
