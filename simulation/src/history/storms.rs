//! Hundreds of changes one after the other, while members crash at every step of their work, lose power in the middle of a
//! write, and have disks that are full, refuse or hang; now and then all are killed.

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use super::{Ending, History, ACKNOWLEDGED_WITHIN};
use crate::coordinator::CrashPoint;

/// Changes of a history.
const CHANGES: std::ops::RangeInclusive<u64> = 100..=130;
/// Changes of a long one.
const LONG: std::ops::RangeInclusive<u64> = 200..=400;
/// How long a member is away or its disk in trouble.
const LASTS: std::ops::RangeInclusive<Millis> = 5..=1_200;
/// How long it counts as lost beyond that: as long as its log takes to be as good as the others'.
const CATCHES_UP: Millis = 1_500;
/// Within which a change of the storm usually has its answer.
const PACE: std::ops::RangeInclusive<Millis> = 1..=60;

impl History {
    pub(super) fn play_storm(&mut self) {
        let count = if self.world().chance(0.04) { self.draw(LONG) } else { self.draw(CHANGES) };
        self.tell(format!("a storm of {count} changes"));
        for _ in 0..count {
            let change = if self.world().chance(0.7) && self.fleet.operator.known_version() > 0 {
                self.fleet.update()
            } else {
                self.fleet.replace()
            };
            self.sent.push(change);
            let pace = self.draw(PACE);
            if !self.await_answer(change, pace) && self.world().chance(0.7) {
                self.await_answer(change, ACKNOWLEDGED_WITHIN);
            }
            self.end_what_is_due();
            if self.world().chance(0.1) {
                self.trouble_member();
            }
            if self.world().chance(0.03) {
                self.resend_any();
            }
            if self.world().chance(0.1) {
                self.request();
            }
            if self.world().chance(0.008) {
                self.trouble_all();
            }
        }
        self.go_on(500);
    }

    /// A member that may be lost now.
    fn next_member(&mut self) -> Option<NodeId> {
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        if self.lost.len() >= self.fleet.options.hosts_lost as usize {
            return None;
        }
        let lost: Vec<NodeId> = self.lost.keys().copied().collect();
        let whole = self.coordinators_but(&lost);
        self.leader_or_any(&whole, 0.5)
    }

    fn trouble_member(&mut self) {
        let Some(node) = self.next_member() else { return };
        let until = self.fleet.world.now + self.draw(LASTS);
        self.lost.insert(node, until + CATCHES_UP);
        let mut start_again = true;
        match self.draw(0..=9) {
            0..=2 => {
                let point = CrashPoint::Action(self.draw(0..=25) as u32);
                self.tell(format!("{node} ends at {point:?}"));
                self.fleet.crash_at(node, point);
            }
            3..=5 => {
                let point = CrashPoint::Stored(self.draw(0..=5) as u32);
                self.tell(format!("{node} ends at {point:?}"));
                self.fleet.crash_at(node, point);
            }
            6 => {
                self.tell(format!("{node} without power"));
                self.fleet.lose_power(node);
            }
            7 => {
                self.tell(format!("{node} without power and disk"));
                self.fleet.lose_power(node);
                self.fleet.wipe(node);
            }
            _ => {
                start_again = false;
                self.trouble_its_disk(node);
            }
        }
        if start_again {
            self.endings.push((until, Ending::Start(node)));
            return;
        }
        self.endings.push((until, Ending::Disk(node)));
        if self.world().chance(0.4) {
            // Its process ends too, while the disk is as it is.
            let pause = self.draw(0..=20);
            self.fleet.run(pause);
            self.tell(format!("{node} killed with its disk in trouble"));
            if self.world().chance(0.5) {
                self.fleet.kill(node);
            } else {
                self.fleet.lose_power(node);
            }
            self.endings.push((until + 1, Ending::Start(node)));
        }
    }

    fn trouble_its_disk(&mut self, node: NodeId) {
        let kind = self.draw(0..=4);
        self.tell(format!("{node}'s disk in trouble of kind {kind}"));
        let none = Faults::default();
        match kind {
            0 => self.fleet.set_disk_stalled(node, true),
            1 => self.fleet.set_disk_speed(node, 30..=200),
            2 => self.fleet.set_disk_faults(node, Faults { full: true, ..none }),
            3 => self.fleet.set_disk_faults(node, Faults { writes_fail: true, ..none }),
            _ => self.fleet.set_disk_faults(node, Faults { syncs_fail: true, ..none }),
        }
    }
}
