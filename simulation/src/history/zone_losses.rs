//! Scenario `zones`: all coordinators of a zone are lost at once, as the settings ask to tolerate. The others take changes
//! meanwhile.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Recovery};

/// Number of losses in a history.
const LOSSES: std::ops::RangeInclusive<u64> = 2..=4;
/// Longest time between the losses of two coordinators of the zone, in milliseconds.
const MAX_SPREAD: Millis = 20;
/// Time for the others to notice the loss and to elect leaders, in milliseconds.
const DETECTION: Millis = 3_000;
/// Time within which each of the others answers a read or a change then, in milliseconds (`ackTimeoutMs`).
const ACKNOWLEDGED_WITHIN: Millis = 4_000;
/// Further duration of the loss, in milliseconds.
const DURATION: std::ops::RangeInclusive<Millis> = 0..=6_000;
/// How long coordinators count as lost once they are back, in milliseconds (`syncS`).
const CATCH_UP_PERIOD: Millis = 6_000;

/// How the coordinators of a zone are lost.
#[derive(Clone, Copy, Debug)]
enum ZoneLoss {
    Power,
    Disks,
    Freeze,
    Partition,
}

const ZONE_LOSSES: [ZoneLoss; 5] =
    [ZoneLoss::Power, ZoneLoss::Disks, ZoneLoss::Disks, ZoneLoss::Freeze, ZoneLoss::Partition];

impl History {
    pub(super) fn play_zone_losses(&mut self) {
        self.advance(CATCH_UP_PERIOD);
        for _ in 0..self.draw(LOSSES) {
            self.lose_zone();
            self.advance(CATCH_UP_PERIOD);
        }
    }

    fn lose_zone(&mut self) {
        let zone = self.draw(0..=u64::from(self.fleet.options.zones) - 1) as u32;
        let loss = self.choose(&ZONE_LOSSES).unwrap_or(ZoneLoss::Power);
        let mut lost = self.fleet.coordinators();
        lost.retain(|node| self.fleet.zone(*node) == zone);
        self.record(format!("zone {zone}, {lost:?}, is lost: {loss:?}"));
        // A change is in flight, or has just been acknowledged.
        self.submit_change(None);
        let wait = self.draw(0..=MAX_SPREAD);
        self.fleet.run(wait);
        let recoveries: Vec<Recovery> = lost.iter().map(|node| self.lose(*node, loss, &lost)).collect();
        self.advance(DETECTION);
        self.change_at_survivor(&lost);
        let wait = self.draw(DURATION);
        self.advance(wait);
        recoveries.into_iter().for_each(|recovery| self.recover(recovery));
    }

    /// A coordinator that is not lost answers a read and takes a change.
    fn change_at_survivor(&mut self, lost: &[NodeId]) {
        let survivors = self.coordinators_except(lost);
        let Some(node) = self.choose(&survivors) else { return };
        // A change that was in flight at the loss may be decided between the read and the next change, which then refers to an
        // older version; it is not sent again.
        self.fleet.operator.abandon_pending();
        for _ in 0..2 {
            let read = self.fleet.operator.read(&mut self.fleet.world, Some(node));
            let answered =
                self.fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| !fleet.operator.is_pending(read));
            assert!(answered, "{node} does not answer a read\n{}", self.fleet.describe());
            let change = self.fleet.create_change();
            self.fleet.send_only_to(node, change);
            self.fleet.run_until(ACKNOWLEDGED_WITHIN, |fleet| fleet.operator.pending_count() == 0);
            if self.fleet.world.observer.is_acknowledged(change) {
                return;
            }
        }
        panic!("{node} does not take a change\n{}", self.fleet.describe());
    }

    /// Loses one coordinator of the zone. Returns how it comes back.
    fn lose(&mut self, node: NodeId, loss: ZoneLoss, zone: &[NodeId]) -> Recovery {
        let wait = self.draw(0..=MAX_SPREAD);
        self.fleet.run(wait);
        match loss {
            ZoneLoss::Power | ZoneLoss::Disks => {
                self.fleet.lose_power(node);
                if matches!(loss, ZoneLoss::Disks) {
                    self.fleet.lose_disk(node);
                }
                Recovery::Start(node)
            }
            ZoneLoss::Freeze => {
                self.fleet.freeze(node);
                Recovery::Thaw(node)
            }
            ZoneLoss::Partition => {
                let others = self.coordinators_except(zone);
                let links: Vec<(NodeId, NodeId)> =
                    others.into_iter().flat_map(|other| [(node, other), (other, node)]).collect();
                for (from, to) in &links {
                    self.fleet.partition_one_way(*from, *to, true);
                }
                Recovery::HealPartitions(links)
            }
        }
    }
}
