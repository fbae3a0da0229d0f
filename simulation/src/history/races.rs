//! Several operators at once: changes on one version, the same change from two, answers that are lost, changes that come
//! again at once or after many others, to nodes that lag, are cut off or lead no more.

use shaletrail_protocol::{Millis, NodeId};

use super::{Ending, History, ACKNOWLEDGED_WITHIN, SYNC};
use crate::fleet::Fleet;
use crate::network::Conditions;

/// Rounds of a history.
const ROUNDS: std::ops::RangeInclusive<u64> = 4..=9;
/// Changes of a burst between the rounds.
const BURST: std::ops::RangeInclusive<u64> = 5..=40;
/// Changes of a long burst.
const LONG_BURST: std::ops::RangeInclusive<u64> = 150..=300;
/// Within which a change of a burst has its answer, in times that are calm.
const BURST_WITHIN: Millis = 600;

impl History {
    pub(super) fn play_races(&mut self) {
        let rounds = self.draw(ROUNDS);
        for _ in 0..rounds {
            self.race();
            if self.world().chance(0.2) {
                self.burst(BURST);
            }
            for _ in 0..self.draw(0..=3) {
                self.resend_any();
            }
            let pause = self.draw(20..=900);
            self.go_on(pause);
        }
        if self.world().chance(0.08) {
            self.burst(LONG_BURST);
        }
        self.fleet.operator.lost_answers = 0.0;
        for _ in 0..8 {
            self.resend_any();
        }
        self.go_on(1_500);
    }

    fn race(&mut self) {
        let lost = [0.0, 0.4, 0.9];
        self.fleet.operator.lost_answers = self.pick(&lost).unwrap_or_default();
        self.calm_since = None;
        let one = self.fleet.write();
        let other = if self.world().chance(0.25) { one } else { self.fleet.write() };
        let third = if self.world().chance(0.3) { self.fleet.write() } else { other };
        self.sent.extend([one, other, third]);
        let before = self.world().chance(0.4);
        if before {
            self.disturb_race();
        }
        for change in [one, other, third] {
            let coordinators = self.fleet.coordinators();
            let node = self.leader_or_any(&coordinators, 0.3);
            self.resend(change, node);
            let pause = [0, 0, 1, 2, 4, 20];
            let pause = self.pick(&pause).unwrap_or_default();
            self.fleet.run(pause);
        }
        if !before && self.world().chance(0.6) {
            let pause = self.draw(0..=12);
            self.fleet.run(pause);
            self.disturb_race();
        }
        let limit = self.draw(50..=2_000);
        self.await_answer(one, limit);
        self.await_answer(other, limit);
        if self.world().chance(0.5) {
            // The answer was lost on the way: it comes again while the first may still be under way.
            let coordinators = self.fleet.coordinators();
            let node = self.pick(&coordinators);
            self.resend(one, node);
        }
    }

    /// Reads reach whoever leads next, from the moment of its election on.
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

    /// The leader's disk hangs, so that it hands over.
    fn have_leader_hand_over(&mut self, leader: NodeId) {
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        if self.lost.is_empty() {
            self.tell(format!("{leader}'s disk hangs"));
            self.fleet.set_disk_stalled(leader, true);
            let until = self.later(Ending::Disk(leader));
            self.lost.insert(leader, until + SYNC);
            self.read_at_next_leader();
        }
    }

    /// A change is acknowledged of which one node hears late, and the leader is lost at once.
    fn lose_leader_after_answer(&mut self) {
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        let Some(leader) = self.fleet.leader().filter(|_| self.lost.is_empty()) else { return };
        let others = self.coordinators_but(&[leader]);
        let Some(late) = self.pick(&others) else { return };
        self.links_well = false;
        self.world().network.set_special((leader, late), Conditions { delay: 30..=60, loss: 0.0 });
        self.endings.push((now + 200, Ending::Links));
        let change = self.fleet.replace();
        self.sent.push(change);
        self.await_answer(change, 400);
        let until = self.take_down(leader, "killed right after an answer", Fleet::kill);
        self.lost.insert(leader, until + SYNC);
        self.read_at_next_leader();
    }

    /// Something happens to the leader, or to the links from it.
    fn disturb_race(&mut self) {
        let coordinators = self.fleet.coordinators();
        let Some(leader) = self.fleet.leader() else { return };
        match self.draw(0..=8) {
            0 | 1 => self.trouble_core(),
            5..=7 => self.lose_leader_after_answer(),
            8 => self.have_leader_hand_over(leader),
            2 => self.delay_links(leader, &coordinators),
            3 => {
                // A node that lags: it hears the leader late.
                let others = self.coordinators_but(&[leader]);
                if let Some(late) = self.pick(&others) {
                    self.delay_links(leader, &[late]);
                }
            }
            _ => {
                self.tell(format!("links from {leader} are reset"));
                for other in coordinators {
                    self.fleet.reset_link(leader, other);
                }
            }
        }
    }

    fn delay_links(&mut self, from: NodeId, to: &[NodeId]) {
        let longest = self.draw(20..=400);
        self.tell(format!("links from {from} to {to:?} take up to {longest} ms"));
        self.links_well = false;
        for other in to.iter().filter(|other| **other != from) {
            self.world().network.set_special((from, *other), Conditions { delay: 10..=longest, loss: 0.0 });
        }
        let until = self.fleet.world.now + self.draw(50..=1_500);
        self.endings.push((until, Ending::Links));
    }

    /// Many changes one after the other.
    pub(super) fn burst(&mut self, range: std::ops::RangeInclusive<u64>) {
        self.fleet.operator.lost_answers = 0.0;
        let count = self.draw(range);
        self.tell(format!("a burst of {count} changes"));
        for _ in 0..count {
            let change = if self.world().chance(0.5) && self.fleet.operator.known_version() > 0 {
                self.fleet.update()
            } else {
                self.fleet.replace()
            };
            if !self.await_answer(change, BURST_WITHIN) {
                self.await_answer(change, ACKNOWLEDGED_WITHIN);
            }
            self.end_what_is_due();
        }
    }
}
