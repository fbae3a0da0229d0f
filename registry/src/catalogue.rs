//! The list of instances as a deterministic state machine, changed by commands in the order of the log. The
//! same commands give the same list and the same versions on every replica: there is no clock, randomness or
//! I/O here.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::duty::Fence;
use shaletrail_registry_protocol::{Entry, List, Stamp, State};

use crate::duties::{DutyCommand, DutyOutcome, DutyRejection};

/// The most entries at once. Further registrations are refused.
pub const MAX_ENTRIES: usize = 20_000;
/// The most tombstones: entries that were removed, but are still reported to watches as changes. A watch from
/// an older version gets the full list.
pub const MAX_TOMBSTONES: usize = 10_000;

/// One command in the log. Serialized names must not change and fields are only added, because later versions
/// read older logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Register {
        entry: Entry,
        stamp: Stamp,
        lease: Option<Duration>,
    },
    Leaving {
        id: String,
        stamp: Stamp,
    },
    Remove {
        id: String,
        stamp: Stamp,
    },
    /// Removes entries whose leases expired. Each comes with the version at which it was found silent, so
    /// that an instance that has registered again since then stays.
    Expire {
        silent: Vec<(String, u64)>,
    },
    /// Assigns an id, which is never reused, to a new replica.
    #[serde(rename = "NumberReplica")]
    AssignReplicaId {
        name: String,
    },
    Duty(DutyCommand),
    /// Executes `change` only while the duty's holder has this fencing number.
    Fenced {
        #[serde(rename = "under")]
        fence: Fence,
        change: Box<Command>,
    },
}

/// The result of a command. It is included in the list from `version` on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Done {
        version: u64,
    },
    Expired {
        version: u64,
        ids: Vec<String>,
    },
    Numbered {
        id: u64,
    },
    Refused(Rejection),
    Duty(DutyOutcome),
    /// The log entry was not a command of the registry.
    Nothing,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    #[error("a newer life of this id is listed: started_ms {started_ms}, incarnation {incarnation}")]
    Stale { started_ms: u64, incarnation: u64 },
    #[error("this life of the id is leaving; only a newer one comes back")]
    Leaving,
    #[error("no such id")]
    Unknown,
    #[error("the list holds {MAX_ENTRIES} entries, the most it may")]
    Full,
    #[error("duty {duty}: {why}")]
    Fenced { duty: String, why: DutyRejection },
}

/// An entry with its bookkeeping, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    pub entry: Entry,
    pub stamp: Stamp,
    pub lease: Option<Duration>,
    /// The version at which the entry last changed.
    pub version: u64,
    /// The instance was removed on request and not by an expired lease.
    #[serde(default, rename = "parted")]
    pub left_on_request: bool,
}

/// The list with its versions.
///
/// Invariants: a version identifies one state; versions never decrease; the changes since any version from
/// `oldest_diff_base` on, applied to the list of that version, give the current list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    version: u64,
    /// Changes since versions older than this one are no longer known completely.
    oldest_diff_base: u64,
    /// Entries and tombstones.
    records: HashMap<String, InstanceRecord>,
    /// Ids by the version of their last change. One command may change several entries, which then share a
    /// version.
    by_version: BTreeSet<(u64, String)>,
    tombstones: usize,
    last_replica_id: u64,
}

/// The catalogue as stored in a snapshot. The records are ordered, so that equal states give equal bytes.
#[derive(Serialize, Deserialize)]
pub struct CatalogueSnapshot {
    version: u64,
    #[serde(rename = "floor")]
    oldest_diff_base: u64,
    #[serde(rename = "replicas")]
    last_replica_id: u64,
    #[serde(rename = "held")]
    records: Vec<InstanceRecord>,
}

impl Catalogue {
    /// The version of the last change to the list; 0 if there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of entries, without tombstones.
    pub fn len(&self) -> usize {
        self.records.len() - self.tombstones
    }

    /// Whether there are no entries; tombstones don't count.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The entry with this id; `None` if it is not listed or only its tombstone is left.
    pub fn get(&self, id: &str) -> Option<&InstanceRecord> {
        self.records.get(id).filter(|record| record.entry.state != State::Left)
    }

    /// All entries without the tombstones, in no guaranteed order.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values().filter(|record| record.entry.state != State::Left)
    }

    /// Executes one command. This is the only way to change the list.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Register { entry, stamp, lease } => self.register(entry, stamp, lease),
            Command::Leaving { id, stamp } => self.set_state(&id, stamp, State::Leaving),
            Command::Remove { id, stamp } => self.set_state(&id, stamp, State::Left),
            Command::Expire { silent } => self.expire(silent),
            Command::AssignReplicaId { .. } => {
                self.last_replica_id += 1;
                Outcome::Numbered { id: self.last_replica_id }
            }
            // The replicated state machine handles these two itself.
            Command::Duty(_) | Command::Fenced { .. } => Outcome::Nothing,
        }
    }

    /// The replicas that formed the service together have the ids up to this one.
    pub fn reserve_replica_ids(&mut self, highest: u64) {
        self.last_replica_id = self.last_replica_id.max(highest);
    }

    fn register(&mut self, entry: Entry, stamp: Stamp, lease: Option<Duration>) -> Outcome {
        if let Some(old) = self.records.get(&entry.id) {
            if stamp < old.stamp {
                return Outcome::Refused(Rejection::stale(old.stamp));
            }
            // A delayed repeat must not bring back an instance that has announced its departure since.
            // Without a stamp a repeat can't be recognized, and the last command wins.
            let same_incarnation = stamp == old.stamp && !stamp.is_unset();
            let departed = match old.entry.state {
                State::Active => false,
                State::Leaving => entry.state == State::Active,
                State::Left => old.left_on_request,
            };
            if same_incarnation && departed {
                return Outcome::Refused(Rejection::Leaving);
            }
            if old.entry == entry && old.stamp == stamp && old.lease == lease {
                return Outcome::Done { version: old.version };
            }
        }
        if self.get(&entry.id).is_none() && self.len() >= MAX_ENTRIES {
            return Outcome::Refused(Rejection::Full);
        }
        self.version += 1;
        let version = self.version;
        self.store(InstanceRecord { entry, stamp, lease, version, left_on_request: false });
        Outcome::Done { version }
    }

    /// An empty stamp means whichever process is listed.
    fn set_state(&mut self, id: &str, stamp: Stamp, to: State) -> Outcome {
        let Some(old) = self.records.get(id) else { return Outcome::Refused(Rejection::Unknown) };
        if !stamp.is_unset() && stamp < old.stamp {
            return Outcome::Refused(Rejection::stale(old.stamp));
        }
        let removed = old.entry.state == State::Left;
        if removed && to == State::Leaving {
            return Outcome::Refused(Rejection::Unknown);
        }
        if old.entry.state == to {
            return Outcome::Done { version: old.version };
        }
        let mut record = old.clone();
        self.version += 1;
        record.version = self.version;
        record.entry.state = to;
        record.left_on_request = to == State::Left;
        let version = record.version;
        self.store(record);
        Outcome::Done { version }
    }

    fn expire(&mut self, silent: Vec<(String, u64)>) -> Outcome {
        let next = self.version + 1;
        let mut ids = Vec::new();
        for (id, seen_version) in silent {
            let Some(old) = self.get(&id).filter(|record| record.version == seen_version) else { continue };
            let mut record = old.clone();
            record.entry.state = State::Left;
            record.version = next;
            self.store(record);
            ids.push(id);
        }
        if !ids.is_empty() {
            self.version = next;
        }
        Outcome::Expired { version: self.version, ids }
    }

    fn store(&mut self, record: InstanceRecord) {
        let id = record.entry.id.clone();
        self.by_version.insert((record.version, id.clone()));
        self.tombstones += usize::from(record.entry.state == State::Left);
        if let Some(old) = self.records.insert(id, record) {
            self.tombstones -= usize::from(old.entry.state == State::Left);
            self.by_version.remove(&(old.version, old.entry.id));
        }
        if self.tombstones > MAX_TOMBSTONES {
            self.prune_tombstones();
        }
    }

    /// Drops the older half of the tombstones. Changes since versions before theirs are no longer known
    /// afterwards.
    fn prune_tombstones(&mut self) {
        let is_tombstone = |(_, id): &&(u64, String)| self.records[id].entry.state == State::Left;
        let oldest: Vec<_> =
            self.by_version.iter().filter(is_tombstone).take(self.tombstones / 2).cloned().collect();
        for key in oldest {
            self.oldest_diff_base = self.oldest_diff_base.max(key.0);
            self.records.remove(&key.1);
            self.by_version.remove(&key);
            self.tombstones -= 1;
        }
    }

    /// The full list.
    pub fn full_list(&self) -> List {
        let mut servers: Vec<Entry> = self.entries().map(|record| record.entry.clone()).collect();
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        List { version: self.version, full: true, servers }
    }

    /// The changes since a version, or the full list where they are no longer known. `None` for a version
    /// that this list has not reached.
    pub fn changes_since(&self, from: u64) -> Option<List> {
        if from > self.version {
            return None;
        }
        if from < self.oldest_diff_base {
            return Some(self.full_list());
        }
        let changed = self.by_version.range((from + 1, String::new())..);
        let servers = changed.map(|(_, id)| self.records[id].entry.clone()).collect();
        Some(List { version: self.version, full: false, servers })
    }

    /// The full contents, tombstones included, with the records in order of their versions.
    pub fn snapshot(&self) -> CatalogueSnapshot {
        let records = self.by_version.iter().map(|(_, id)| self.records[id].clone()).collect();
        CatalogueSnapshot {
            version: self.version,
            oldest_diff_base: self.oldest_diff_base,
            last_replica_id: self.last_replica_id,
            records,
        }
    }

    /// Restores a catalogue from the contents of a snapshot, and rebuilds its indexes.
    pub fn from_snapshot(snapshot: CatalogueSnapshot) -> Self {
        let mut catalogue = Catalogue {
            version: snapshot.version,
            oldest_diff_base: snapshot.oldest_diff_base,
            last_replica_id: snapshot.last_replica_id,
            ..Catalogue::default()
        };
        for record in snapshot.records {
            catalogue.store(record);
        }
        catalogue
    }

    /// Continues the list of a backup at a version above every version ever reported. Nobody's older version
    /// is known here, so every watch gets the full list.
    pub fn restored(mut self, version: u64) -> Self {
        self.version = version.max(self.version + 1);
        self.oldest_diff_base = self.version;
        self.records.retain(|_, record| record.entry.state != State::Left);
        self.by_version.retain(|(_, id)| self.records.contains_key(id));
        self.tombstones = 0;
        self.last_replica_id = 1;
        self
    }
}

impl Rejection {
    fn stale(stamp: Stamp) -> Self {
        Rejection::Stale { started_ms: stamp.started_ms, incarnation: stamp.incarnation }
    }
}
