//! Trouble in the core, within what may be lost at once.

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use super::{Ending, History, SYNC};
use crate::fleet::Fleet;
use crate::network::Conditions;
use crate::site;

impl History {
    /// A machine of the core that may be lost now, in addition to those that are.
    fn next_victim(&mut self) -> Option<NodeId> {
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        if self.lost.len() >= self.fleet.options.hosts_lost as usize {
            return None;
        }
        // Leaders are worth more trouble than others.
        let leader = self.fleet.leader().filter(|leader| !self.lost.contains_key(leader));
        if leader.is_some() && self.world().chance(0.4) {
            return leader;
        }
        let whole: Vec<NodeId> =
            self.fleet.coordinators().into_iter().filter(|node| !self.lost.contains_key(node)).collect();
        self.pick(&whole)
    }

    pub(super) fn trouble_core(&mut self) {
        let Some(node) = self.next_victim() else { return };
        let until = match self.world().between(0..=9) {
            0 => self.take_down(node, "killed", Fleet::kill),
            1 => self.take_down(node, "without power", Fleet::lose_power),
            2 => self.take_down(node, "without power and disk", |fleet, node| {
                fleet.lose_power(node);
                fleet.wipe(node);
            }),
            3 | 4 => {
                self.tell(format!("{node} frozen"));
                self.fleet.freeze(node);
                self.later(Ending::Thaw(node))
            }
            5 => self.trouble_disk(node),
            6 | 7 => self.cut_off(node),
            8 => self.take_down(node, "told to end", Fleet::terminate),
            _ => self.replace_machine(node),
        };
        self.lost.insert(node, until + SYNC);
    }

    pub(super) fn take_down(
        &mut self,
        node: NodeId,
        how: &str,
        down: impl FnOnce(&mut Fleet, NodeId),
    ) -> Millis {
        self.tell(format!("{node} {how}"));
        down(&mut self.fleet, node);
        self.later(Ending::Start(node))
    }

    fn trouble_disk(&mut self, node: NodeId) -> Millis {
        let kind = self.world().between(0..=4);
        self.tell(format!("{node}'s disk in trouble of kind {kind}"));
        match kind {
            0 => self.fleet.set_disk_stalled(node, true),
            1 => self.fleet.set_disk_speed(node, 50..=400),
            2 => self.fleet.set_disk_faults(node, Faults { full: true, ..Faults::default() }),
            3 => self.fleet.set_disk_faults(node, Faults { writes_fail: true, ..Faults::default() }),
            _ => self.fleet.set_disk_faults(node, Faults { syncs_fail: true, ..Faults::default() }),
        }
        self.later(Ending::Disk(node))
    }

    fn cut_off(&mut self, node: NodeId) -> Millis {
        let way = self.world().between(0..=3);
        let mut cuts = Vec::new();
        let mut others: Vec<NodeId> = self.fleet.coordinators();
        others.retain(|other| *other != node);
        if way == 3 {
            // From edges as well, and from the operator.
            others.extend(self.fleet.edges());
            others.push(site::operator());
        }
        for other in others {
            if way != 1 {
                cuts.push((node, other));
            }
            if way != 2 {
                cuts.push((other, node));
            }
        }
        self.tell(format!("{node} cut off, way {way}"));
        for (from, to) in &cuts {
            self.fleet.cut_one_way(*from, *to, true);
        }
        self.later(Ending::Join(cuts))
    }

    fn replace_machine(&mut self, node: NodeId) -> Millis {
        if self.coordinators_made > 100 {
            return self.fleet.world.now;
        }
        if self.world().chance(0.3) {
            // Planned: the new one comes first.
            self.join_successor();
            self.tell(format!("{node} removed after its successor had joined"));
            self.fleet.remove_coordinator(node);
            return self.fleet.world.now;
        }
        self.tell(format!("{node} removed for good"));
        self.fleet.remove_coordinator(node);
        self.later(Ending::Successor)
    }

    pub(super) fn join_successor(&mut self) {
        let node = site::coordinator(self.coordinators_made);
        self.coordinators_made += 1;
        self.tell(format!("{node} joins"));
        self.fleet.join_coordinator(node);
        let now = self.fleet.world.now;
        self.lost.insert(node, now + SYNC);
        // Settings files that are written from now on name those that serve.
        let seeds: Vec<NodeId> = self.fleet.coordinators().into_iter().rev().take(3).collect();
        for node in self.fleet.coordinators().into_iter().chain(self.fleet.edges()) {
            self.fleet.set_seeds(node, seeds.clone());
        }
    }

    /// Waits until a change is acknowledged that one of the coordinators hears of late.
    fn await_acknowledgement(&mut self) {
        let coordinators = self.fleet.coordinators();
        let late = self.pick(&coordinators);
        for other in coordinators {
            if let Some(late) = late.filter(|late| *late != other) {
                self.world().network.set_special((other, late), Conditions { delay: 20..=60, loss: 0.0 });
            }
        }
        let change = self.fleet.replace();
        self.fleet.run_until(500, |fleet| fleet.world.witness.is_acknowledged(change));
        self.world().network.clear_special();
    }

    /// All lose power, or are killed; some may lose their disks, as many as may be lost.
    pub(super) fn trouble_all(&mut self) {
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        if !self.lost.is_empty() {
            return;
        }
        if self.world().chance(0.5) {
            self.await_acknowledgement();
        }
        let power = self.world().chance(0.6);
        self.tell(format!("all lost, power {power}"));
        self.fleet.lose_all(power);
        if power && self.world().chance(0.4) {
            let mut wiped = self.fleet.coordinators();
            while wiped.len() > self.fleet.options.hosts_lost as usize {
                let spared = self.world().between(0..=wiped.len() as u64 - 1) as usize;
                wiped.remove(spared);
            }
            for node in wiped {
                self.tell(format!("{node} lost its disk"));
                self.fleet.wipe(node);
            }
        }
        let down = self.world().between(10..=2_000);
        self.fleet.run(down);
        self.fleet.start_missing();
        let back = self.fleet.world.now + 300;
        for node in self.fleet.coordinators() {
            self.lost.insert(node, back + SYNC);
        }
    }
}
