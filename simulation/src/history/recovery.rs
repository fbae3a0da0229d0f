//! Scheduled repairs, which end the faults of a history.

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use super::History;
use crate::network::{Conditions, Disorder};

/// Duration of a fault, in milliseconds.
const FAULT_DURATION: std::ops::RangeInclusive<Millis> = 50..=5_000;

/// The repair that ends a fault.
#[derive(Clone, Debug)]
pub(super) enum Recovery {
    Start(NodeId),
    Thaw(NodeId),
    Disk(NodeId),
    HealPartitions(Vec<(NodeId, NodeId)>),
    JoinReplacement,
    Server(NodeId),
    Links,
    Disorder,
}

impl History {
    pub(super) fn schedule_recovery(&mut self, recovery: Recovery) -> Millis {
        let at = self.fleet.world.now + self.world().random_range(FAULT_DURATION);
        self.recoveries.push((at, recovery));
        at
    }

    pub(super) fn run_due_recoveries(&mut self) {
        let now = self.fleet.world.now;
        let (due, later) = std::mem::take(&mut self.recoveries).into_iter().partition(|(at, _)| *at <= now);
        self.recoveries = later;
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    pub(super) fn recover(&mut self, recovery: Recovery) {
        self.record(format!("repair: {recovery:?}"));
        match recovery {
            Recovery::Start(node) => {
                if self.fleet.coordinators().contains(&node) || self.fleet.edges().contains(&node) {
                    // A process that shuts down gracefully may still run.
                    self.fleet.kill(node);
                    self.fleet.start(node);
                }
            }
            Recovery::Thaw(node) => self.fleet.thaw(node),
            Recovery::Disk(node) => {
                self.fleet.set_disk_stalled(node, false);
                let default_latency = self.fleet.options.disk_latency.clone();
                self.fleet.set_disk_latency(node, default_latency);
                self.fleet.set_disk_faults(node, Faults::default());
            }
            Recovery::HealPartitions(partitions) => {
                for (from, to) in partitions {
                    self.fleet.partition_one_way(from, to, false);
                }
            }
            Recovery::JoinReplacement => self.join_replacement(),
            Recovery::Server(node) => self.start_server(node),
            Recovery::Links => {
                self.links_nominal = true;
                self.fault_free_since = None;
                self.world().network.set_conditions(Conditions::default());
                self.world().network.clear_link_conditions();
            }
            Recovery::Disorder => self.world().network.set_disorder(Disorder::default()),
        }
    }
}
