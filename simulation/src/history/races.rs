//! Scenario `races`: concurrent operators that send different changes of one base version or the same change, lost responses,
//! and retries immediately or after many other changes, to coordinators that lag, are isolated or are no longer the leader.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Recovery, ACK_TIMEOUT, CATCH_UP_PERIOD};
use crate::fleet::Fleet;
use crate::network::Conditions;

/// Number of rounds in a history.
const ROUNDS: std::ops::RangeInclusive<u64> = 4..=9;
/// Number of changes in a burst between rounds.
const BURST: std::ops::RangeInclusive<u64> = 5..=40;
/// Number of changes in a long burst.
const LONG_BURST: std::ops::RangeInclusive<u64> = 150..=300;
/// Time within which a change of a burst is answered if no fault is in effect, in milliseconds.
const BURST_WITHIN: Millis = 600;

impl History {
    pub(super) fn play_races(&mut self) {
        let rounds = self.draw(ROUNDS);
        for _ in 0..rounds {
            self.race_changes();
            if self.world().random_bool(0.2) {
                self.burst(BURST);
            }
            for _ in 0..self.draw(0..=3) {
                self.resend_random_change();
            }
            let pause = self.draw(20..=900);
            self.advance(pause);
        }
        if self.world().random_bool(0.08) {
            self.burst(LONG_BURST);
        }
        self.fleet.operator.response_loss = 0.0;
        for _ in 0..8 {
            self.resend_random_change();
        }
        self.advance(1_500);
    }

    fn race_changes(&mut self) {
        let loss_probabilities = [0.0, 0.4, 0.9];
        self.fleet.operator.response_loss = self.choose(&loss_probabilities).unwrap_or_default();
        self.fault_free_since = None;
        let first = self.fleet.create_change();
        let second = if self.world().random_bool(0.25) { first } else { self.fleet.create_change() };
        let third = if self.world().random_bool(0.3) { self.fleet.create_change() } else { second };
        self.sent_changes.extend([first, second, third]);
        let before = self.world().random_bool(0.4);
        if before {
            self.disturb_leader();
        }
        for change in [first, second, third] {
            let coordinators = self.fleet.coordinators();
            let node = self.leader_or_any(&coordinators, 0.3);
            self.send_change_to(change, node);
            let pause = [0, 0, 1, 2, 4, 20];
            let pause = self.choose(&pause).unwrap_or_default();
            self.fleet.run(pause);
        }
        if !before && self.world().random_bool(0.6) {
            let pause = self.draw(0..=12);
            self.fleet.run(pause);
            self.disturb_leader();
        }
        let limit = self.draw(50..=2_000);
        self.await_outcome(first, limit);
        self.await_outcome(second, limit);
        if self.world().random_bool(0.5) {
            // A retry after a lost response: the first call may still be in flight.
            let coordinators = self.fleet.coordinators();
            let node = self.choose(&coordinators);
            self.send_change_to(first, node);
        }
    }

    /// Reads from the next leader as soon as it is elected.
    fn read_at_next_leader(&mut self) {
        let Some(former) = self.fleet.leader() else { return };
        self.fleet.run_until(1_500, |fleet| fleet.leader().is_some_and(|leader| leader != former));
        let Some(leader) = self.fleet.leader() else { return };
        for _ in 0..3 {
            self.read_at(leader);
            let pause = self.draw(0..=2);
            self.fleet.run(pause);
        }
    }

    /// Stalls the leader's disk, which makes it transfer its leadership.
    fn stall_leader_disk(&mut self, leader: NodeId) {
        let now = self.fleet.world.now;
        self.unavailable_until.retain(|_, until| *until > now);
        if self.unavailable_until.is_empty() {
            self.record(format!("{leader}'s disk stalls"));
            self.fleet.set_disk_stalled(leader, true);
            let until = self.schedule_recovery(Recovery::Disk(leader));
            self.unavailable_until.insert(leader, until + CATCH_UP_PERIOD);
            self.read_at_next_leader();
        }
    }

    /// Kills the leader right after it has acknowledged a change that reaches one follower late.
    fn kill_leader_after_acknowledgement(&mut self) {
        let now = self.fleet.world.now;
        self.unavailable_until.retain(|_, until| *until > now);
        let Some(leader) = self.fleet.leader().filter(|_| self.unavailable_until.is_empty()) else { return };
        let others = self.coordinators_except(&[leader]);
        let Some(delayed) = self.choose(&others) else { return };
        self.links_nominal = false;
        self.world().network.set_link_conditions((leader, delayed), Conditions { delay: 30..=60, loss: 0.0 });
        self.recoveries.push((now + 200, Recovery::Links));
        let change = self.fleet.replace();
        self.sent_changes.push(change);
        self.await_outcome(change, 400);
        let until = self.take_down(leader, "killed right after an acknowledgement", Fleet::kill);
        self.unavailable_until.insert(leader, until + CATCH_UP_PERIOD);
        self.read_at_next_leader();
    }

    /// Disturbs the leader or its links.
    fn disturb_leader(&mut self) {
        let coordinators = self.fleet.coordinators();
        let Some(leader) = self.fleet.leader() else { return };
        match self.draw(0..=8) {
            0 | 1 => self.inject_coordinator_fault(),
            5..=7 => self.kill_leader_after_acknowledgement(),
            8 => self.stall_leader_disk(leader),
            2 => self.delay_links(leader, &coordinators),
            3 => {
                // One follower lags.
                let others = self.coordinators_except(&[leader]);
                if let Some(delayed) = self.choose(&others) {
                    self.delay_links(leader, &[delayed]);
                }
            }
            _ => {
                self.record(format!("links from {leader} are reset"));
                for other in coordinators {
                    self.fleet.reset_link(leader, other);
                }
            }
        }
    }

    fn delay_links(&mut self, from: NodeId, to: &[NodeId]) {
        let max_delay = self.draw(20..=400);
        self.record(format!("links from {from} to {to:?} take up to {max_delay} ms"));
        self.links_nominal = false;
        for other in to.iter().filter(|other| **other != from) {
            self.world()
                .network
                .set_link_conditions((from, *other), Conditions { delay: 10..=max_delay, loss: 0.0 });
        }
        let until = self.fleet.world.now + self.draw(50..=1_500);
        self.recoveries.push((until, Recovery::Links));
    }

    /// Sends a random number of changes in sequence, each after the outcome of the previous one or a time limit.
    pub(super) fn burst(&mut self, range: std::ops::RangeInclusive<u64>) {
        self.fleet.operator.response_loss = 0.0;
        let count = self.draw(range);
        self.record(format!("a burst of {count} changes"));
        for _ in 0..count {
            let change = if self.world().random_bool(0.5) && self.fleet.operator.known_version() > 0 {
                self.fleet.update()
            } else {
                self.fleet.replace()
            };
            if !self.await_outcome(change, BURST_WITHIN) {
                self.await_outcome(change, ACK_TIMEOUT);
            }
            self.run_due_recoveries();
        }
    }
}
