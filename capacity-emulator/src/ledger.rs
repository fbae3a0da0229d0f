//! What a node sends, takes and works, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use shaletrail_cluster::directory::DirectoryMessage;
use shaletrail_protocol::internal::{CoordinatorMessage, EdgeRequest, PollResponse};

/// What a message is for, or what processor time went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Pings and pongs among coordinators.
    Membership,
    /// Agreement on the configuration.
    ConfigurationShard,
    /// Agreement on holders of orders.
    ServiceShard,
    /// Records of servers among coordinators.
    DirectoryBatch,
    /// Signs of life of servers among coordinators.
    DirectoryDigest,
    /// Questions for records, and acknowledgements of batches.
    DirectoryAnswer,
    /// Calls of the operator handed on.
    Forward,
    /// Demand and observations among coordinators.
    Demand,
    /// Polls of edges.
    Poll,
    /// Answers to polls that tell nothing but the version.
    ReplyEmpty,
    /// Answers with records of servers that changed.
    ReplyServers,
    /// Answers with changes of the configuration.
    ReplyChange,
    /// Answers with the whole directory or the whole configuration.
    ReplyWhole,
    /// Demand of an edge that cannot wait.
    Report,
    /// Datagrams between edges.
    Loads,
    /// Heartbeats of servers (bodies).
    Heartbeat,
    /// Orders and their outcome (bodies).
    Order,
    /// Reports of servers on what they hold (bodies).
    ServerReport,
    /// Calls of the operator (bodies).
    Operator,
    /// The passing of time.
    Tick,
    /// Records that became safe.
    Stored,
    /// Requests of clients: the data plane's own work, not the control plane's.
    Request,
}

impl Kind {
    /// Of a message among coordinators.
    pub fn of_core(message: &CoordinatorMessage) -> Kind {
        match message {
            CoordinatorMessage::Membership(_) => Kind::Membership,
            CoordinatorMessage::Shard { shard: 0, .. } => Kind::ConfigurationShard,
            CoordinatorMessage::Shard { .. } => Kind::ServiceShard,
            CoordinatorMessage::Directory { body } => match bitcode::decode(body) {
                Ok(DirectoryMessage::Batch { .. }) => Kind::DirectoryBatch,
                Ok(DirectoryMessage::Digest { .. }) => Kind::DirectoryDigest,
                Ok(DirectoryMessage::Request { .. }) | Err(_) => Kind::DirectoryAnswer,
            },
            CoordinatorMessage::DirectoryAck { .. } => Kind::DirectoryAnswer,
            CoordinatorMessage::ForwardRequest { .. } | CoordinatorMessage::ForwardResponse { .. } => {
                Kind::Forward
            }
            CoordinatorMessage::Demand { .. } => Kind::Demand,
            CoordinatorMessage::AppliedConfigVersion { .. } => Kind::Membership,
        }
    }

    /// Of what an edge asks.
    pub fn of_request(request: &EdgeRequest) -> Kind {
        match request {
            EdgeRequest::Poll(_) => Kind::Poll,
            EdgeRequest::Report { .. } | EdgeRequest::ShutdownNotice => Kind::Report,
        }
    }

    /// Of an answer to a poll. The dearest part counts.
    pub fn of_reply(reply: &PollResponse) -> Kind {
        match &reply.config {
            _ if reply.complete => Kind::ReplyWhole,
            Some(news) if news.base.is_none() => Kind::ReplyWhole,
            Some(_) => Kind::ReplyChange,
            None if !reply.servers.is_empty() => Kind::ReplyServers,
            None => Kind::ReplyEmpty,
        }
    }
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// How many.
    pub messages: u64,
    /// Their bytes, frames with their prefix.
    pub bytes: u64,
    /// Those bytes that cross a zone's border.
    pub between_zones: u64,
}

impl Tally {
    fn add(&mut self, bytes: usize, crosses: bool) {
        self.messages += 1;
        self.bytes += bytes as u64;
        self.between_zones += if crosses { bytes as u64 } else { 0 };
    }

    fn merge(&mut self, other: &Tally) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.between_zones += other.between_zones;
    }
}

/// Processor time of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Events handled.
    pub events: u64,
    /// The time that took.
    pub time: Duration,
    /// The longest that one took: nothing else is done meanwhile.
    pub longest: Duration,
}

/// Measures the processor time of this thread, which other processes on the machine do not add to.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch(Duration);

impl Stopwatch {
    /// Starts now.
    pub fn start() -> Self {
        Stopwatch(thread_time())
    }

    /// Processor time since the start.
    pub fn elapsed(self) -> Duration {
        thread_time().saturating_sub(self.0)
    }
}

fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// What went to a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskUse {
    /// Writes that ended with a sync.
    pub syncs: u64,
    /// Records.
    pub records: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The part of the bytes that remembers the directory of servers.
    pub directory_bytes: u64,
    /// Checkpoints.
    pub checkpoints: u64,
}

/// What one node sends, takes and works.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Sent.
    pub sent: BTreeMap<Kind, Tally>,
    /// Taken.
    pub received: BTreeMap<Kind, Tally>,
    /// Processor time, by the kind of event that was handled.
    pub work: BTreeMap<Kind, Work>,
    /// The journal.
    pub disk: DiskUse,
}

impl Ledger {
    /// Counts a message that was sent.
    pub fn sent(&mut self, kind: Kind, bytes: usize, crosses: bool) {
        self.sent.entry(kind).or_default().add(bytes, crosses);
    }

    /// Counts a message that came.
    pub fn received(&mut self, kind: Kind, bytes: usize, crosses: bool) {
        self.received.entry(kind).or_default().add(bytes, crosses);
    }

    /// Counts processor time.
    pub fn worked(&mut self, kind: Kind, time: Duration) {
        let work = self.work.entry(kind).or_default();
        work.events += 1;
        work.time += time;
        work.longest = work.longest.max(time);
    }

    /// Adds another node's.
    pub fn merge(&mut self, other: &Ledger) {
        for (kind, tally) in &other.sent {
            self.sent.entry(*kind).or_default().merge(tally);
        }
        for (kind, tally) in &other.received {
            self.received.entry(*kind).or_default().merge(tally);
        }
        for (kind, work) in &other.work {
            let sum = self.work.entry(*kind).or_default();
            sum.events += work.events;
            sum.time += work.time;
            sum.longest = sum.longest.max(work.longest);
        }
        self.disk.syncs += other.disk.syncs;
        self.disk.records += other.disk.records;
        self.disk.bytes += other.disk.bytes;
        self.disk.directory_bytes += other.disk.directory_bytes;
        self.disk.checkpoints += other.disk.checkpoints;
    }

    /// All that was sent.
    pub fn all_sent(&self) -> Tally {
        sum(&self.sent)
    }

    /// All that came.
    pub fn all_received(&self) -> Tally {
        sum(&self.received)
    }

    /// Processor time of the control plane: all but clients' requests.
    pub fn control_time(&self) -> Duration {
        self.work.iter().filter(|(kind, _)| **kind != Kind::Request).map(|(_, work)| work.time).sum()
    }
}

fn sum(tallies: &BTreeMap<Kind, Tally>) -> Tally {
    tallies.values().fold(Tally::default(), |mut sum, tally| {
        sum.merge(tally);
        sum
    })
}
