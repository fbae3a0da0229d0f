//! Resource usage of a node: messages, processor time and writes to its journal.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::activity::Activity;

/// Messages of one activity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// Their size, in bytes; frames with their length prefix.
    pub bytes: u64,
    /// Bytes of messages between nodes of different zones.
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

/// Processor time of one activity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CpuUsage {
    /// The number of events that were handled.
    pub events: u64,
    /// The time that all of them took.
    pub time: Duration,
    /// The longest time that one event took, during which the node handles no other.
    pub longest: Duration,
}

/// Writes to a coordinator's journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalUsage {
    /// Writes, each of which ends with a sync.
    pub syncs: u64,
    /// Records that were appended.
    pub records: u64,
    /// Bytes of the records and of checkpoints.
    pub bytes: u64,
    /// Bytes of records that persist the directory of servers.
    pub directory_bytes: u64,
    /// Checkpoints that replaced the journal.
    pub checkpoints: u64,
}

/// What one node, or several together, sent, received and computed.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// Messages that were sent, by their activity.
    pub sent: BTreeMap<Activity, Traffic>,
    /// Messages that were received, by their activity.
    pub received: BTreeMap<Activity, Traffic>,
    /// Processor time, by the activity of the event that was handled.
    pub cpu: BTreeMap<Activity, CpuUsage>,
    /// Writes to the journal; none for edges.
    pub journal: JournalUsage,
}

impl ResourceUsage {
    /// Counts a message that was sent, with its size in bytes.
    pub fn record_sent(&mut self, activity: Activity, bytes: usize, crosses_zones: bool) {
        self.sent.entry(activity).or_default().add(bytes, crosses_zones);
    }

    /// Counts a message that was received, with its size in bytes.
    pub fn record_received(&mut self, activity: Activity, bytes: usize, crosses_zones: bool) {
        self.received.entry(activity).or_default().add(bytes, crosses_zones);
    }

    /// Counts an event and the processor time that it took.
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

    /// All messages that were sent.
    pub fn all_sent(&self) -> Traffic {
        sum(&self.sent)
    }

    /// All messages that were received.
    pub fn all_received(&self) -> Traffic {
        sum(&self.received)
    }

    /// Processor time of the control plane: all but that for clients' requests.
    pub fn control_time(&self) -> Duration {
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
