//! Resource usage of a node: messages, CPU time and journal writes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::activity::Activity;

/// Messages sent or received for one activity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// Their total size in bytes. The size of a frame includes its length prefix.
    pub bytes: u64,
    /// Bytes of the messages between nodes in different zones.
    pub cross_zone_bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize, crosses_zones: bool) {
        self.messages += 1;
        self.bytes += bytes as u64;
        self.cross_zone_bytes += if crosses_zones { bytes as u64 } else { 0 };
    }

    fn merge(&mut self, other: &Traffic) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.cross_zone_bytes += other.cross_zone_bytes;
    }
}

/// CPU time spent on one activity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CpuUsage {
    /// The number of events handled.
    pub events: u64,
    /// The total CPU time of these events.
    pub time: Duration,
    /// The longest CPU time of a single event. The node handles no other event in that time.
    pub longest: Duration,
}

/// Writes to a coordinator's journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalUsage {
    /// Writes, each of which ends with a sync.
    pub syncs: u64,
    /// Records appended.
    pub records: u64,
    /// Bytes of records and of checkpoints.
    pub bytes: u64,
    /// Bytes of the records that persist the server directory.
    pub directory_bytes: u64,
    /// Checkpoints, each of which replaces the whole journal.
    pub checkpoints: u64,
}

/// Resource usage of one node, or the sum over several nodes.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// Messages sent, by activity.
    pub sent: BTreeMap<Activity, Traffic>,
    /// Messages received, by activity.
    pub received: BTreeMap<Activity, Traffic>,
    /// CPU time, by the activity to which the handled event belongs.
    pub cpu: BTreeMap<Activity, CpuUsage>,
    /// Journal writes; always zero for edges.
    pub journal: JournalUsage,
}

impl ResourceUsage {
    /// Counts a sent message and its size in bytes.
    pub fn record_sent(&mut self, activity: Activity, bytes: usize, crosses_zones: bool) {
        self.sent.entry(activity).or_default().add(bytes, crosses_zones);
    }

    /// Counts a received message and its size in bytes.
    pub fn record_received(&mut self, activity: Activity, bytes: usize, crosses_zones: bool) {
        self.received.entry(activity).or_default().add(bytes, crosses_zones);
    }

    /// Counts a handled event and its CPU time.
    pub fn record_cpu(&mut self, activity: Activity, time: Duration) {
        let work = self.cpu.entry(activity).or_default();
        work.events += 1;
        work.time += time;
        work.longest = work.longest.max(time);
    }

    /// Adds the usage of another node.
    pub fn merge(&mut self, other: &ResourceUsage) {
        for (activity, traffic) in &other.sent {
            self.sent.entry(*activity).or_default().merge(traffic);
        }
        for (activity, traffic) in &other.received {
            self.received.entry(*activity).or_default().merge(traffic);
        }
        for (activity, work) in &other.cpu {
            let sum = self.cpu.entry(*activity).or_default();
            sum.events += work.events;
            sum.time += work.time;
            sum.longest = sum.longest.max(work.longest);
        }
        self.journal.syncs += other.journal.syncs;
        self.journal.records += other.journal.records;
        self.journal.bytes += other.journal.bytes;
        self.journal.directory_bytes += other.journal.directory_bytes;
        self.journal.checkpoints += other.journal.checkpoints;
    }

    /// The total of all messages sent.
    pub fn all_sent(&self) -> Traffic {
        sum(&self.sent)
    }

    /// The total of all messages received.
    pub fn all_received(&self) -> Traffic {
        sum(&self.received)
    }

    /// CPU time of the control plane: the total without client requests.
    pub fn control_plane_time(&self) -> Duration {
        self.cpu
            .iter()
            .filter(|(activity, _)| **activity != Activity::ClientRequest)
            .map(|(_, work)| work.time)
            .sum()
    }
}

fn sum(traffic_by_activity: &BTreeMap<Activity, Traffic>) -> Traffic {
    traffic_by_activity.values().fold(Traffic::default(), |mut sum, traffic| {
        sum.merge(traffic);
        sum
    })
}
