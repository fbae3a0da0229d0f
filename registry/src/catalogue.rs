//! The pure core: the list, changed by commands in the log's order. The same commands give the same list and the
//! same versions everywhere. No clock, no randomness, no input or output.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::duty::Fence;
use shaletrail_registry_protocol::{Entry, List, Stamp, State};

use crate::duties::{DutyCommand, DutyOutcome, DutyRefused};

/// Entries at once. More are refused.
pub const MOST_ENTRIES: usize = 20_000;
/// Entries that have left and are still told as changes. Older watches get the whole list.
pub const MOST_LEFT: usize = 10_000;

/// One entry of the log. Names stay and fields are only added: later versions read older logs.
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
    /// Each with the version at which it was seen silent: whoever has registered since stays.
    Expire {
        silent: Vec<(String, u64)>,
    },
    /// A number for a new replica, never given twice.
    NumberReplica {
        name: String,
    },
    Duty(DutyCommand),
    /// Holds only while this tenure does.
    Fenced {
        under: Fence,
        change: Box<Command>,
    },
}

/// What a command came to. It holds from `version` on.
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
    Refused(Refused),
    Duty(DutyOutcome),
    /// The log entry was none of the list's.
    Nothing,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refused {
    #[error("a newer life of this id is listed: started_ms {started_ms}, incarnation {incarnation}")]
    Stale { started_ms: u64, incarnation: u64 },
    #[error("this life of the id is leaving; only a newer one comes back")]
    Leaving,
    #[error("no such id")]
    Unknown,
    #[error("the list holds {MOST_ENTRIES} entries, the most it may")]
    Full,
    #[error("duty {duty}: {why}")]
    Fenced { duty: String, why: DutyRefused },
}

/// An entry as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    pub entry: Entry,
    pub stamp: Stamp,
    pub lease: Option<Duration>,
    /// At which version it last changed.
    pub version: u64,
    /// It left by its own word, not by its lease.
    #[serde(default)]
    pub parted: bool,
}

/// The list with its versions. Its invariants: a version names one state; it never falls; applying the changes
/// since any version from the floor on gives the whole list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    version: u64,
    /// Changes since older versions are not known whole.
    floor: u64,
    /// Entries and those that have left.
    held: HashMap<String, Held>,
    /// By the version of their last change; several may have changed together.
    order: BTreeSet<(u64, String)>,
    left: usize,
    replicas: u64,
}

/// As it is kept in a snapshot: ordered, so that equal states are equal bytes.
#[derive(Serialize, Deserialize)]
pub struct Kept {
    version: u64,
    floor: u64,
    replicas: u64,
    held: Vec<Held>,
}

impl Catalogue {
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Entries that the list has.
    pub fn len(&self) -> usize {
        self.held.len() - self.left
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn get(&self, id: &str) -> Option<&Held> {
        self.held.get(id).filter(|held| held.entry.state != State::Left)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Held> {
        self.held.values().filter(|held| held.entry.state != State::Left)
    }

    /// The one way in which the list changes.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Register { entry, stamp, lease } => self.register(entry, stamp, lease),
            Command::Leaving { id, stamp } => self.depart(&id, stamp, State::Leaving),
            Command::Remove { id, stamp } => self.depart(&id, stamp, State::Left),
            Command::Expire { silent } => self.expire(silent),
            Command::NumberReplica { .. } => {
                self.replicas += 1;
                Outcome::Numbered { id: self.replicas }
            }
            // None of the list's: the machine above has taken them apart.
            Command::Duty(_) | Command::Fenced { .. } => Outcome::Nothing,
        }
    }

    /// Replicas that began together have the numbers up to this one.
    pub fn number_replicas(&mut self, highest: u64) {
        self.replicas = self.replicas.max(highest);
    }

    fn register(&mut self, entry: Entry, stamp: Stamp, lease: Option<Duration>) -> Outcome {
        if let Some(old) = self.held.get(&entry.id) {
            if stamp < old.stamp {
                return Outcome::Refused(Refused::stale(old.stamp));
            }
            // A repeat that comes late must not call back who has said goodbye since. Without a stamp there is
            // nothing to tell a repeat by, and the last word counts.
            let same_life = stamp == old.stamp && !stamp.is_none();
            let parting = match old.entry.state {
                State::Active => false,
                State::Leaving => entry.state == State::Active,
                State::Left => old.parted,
            };
            if same_life && parting {
                return Outcome::Refused(Refused::Leaving);
            }
            if old.entry == entry && old.stamp == stamp && old.lease == lease {
                return Outcome::Done { version: old.version };
            }
        }
        if self.get(&entry.id).is_none() && self.len() >= MOST_ENTRIES {
            return Outcome::Refused(Refused::Full);
        }
        self.version += 1;
        let version = self.version;
        self.put(Held { entry, stamp, lease, version, parted: false });
        Outcome::Done { version }
    }

    /// A stamp of none means whatever life is listed.
    fn depart(&mut self, id: &str, stamp: Stamp, to: State) -> Outcome {
        let Some(old) = self.held.get(id) else { return Outcome::Refused(Refused::Unknown) };
        if !stamp.is_none() && stamp < old.stamp {
            return Outcome::Refused(Refused::stale(old.stamp));
        }
        let gone = old.entry.state == State::Left;
        if gone && to == State::Leaving {
            return Outcome::Refused(Refused::Unknown);
        }
        if old.entry.state == to {
            return Outcome::Done { version: old.version };
        }
        let mut held = old.clone();
        self.version += 1;
        held.version = self.version;
        held.entry.state = to;
        held.parted = to == State::Left;
        let version = held.version;
        self.put(held);
        Outcome::Done { version }
    }

    fn expire(&mut self, silent: Vec<(String, u64)>) -> Outcome {
        let next = self.version + 1;
        let mut ids = Vec::new();
        for (id, seen) in silent {
            let Some(old) = self.get(&id).filter(|held| held.version == seen) else { continue };
            let mut held = old.clone();
            held.entry.state = State::Left;
            held.version = next;
            self.put(held);
            ids.push(id);
        }
        if !ids.is_empty() {
            self.version = next;
        }
        Outcome::Expired { version: self.version, ids }
    }

    fn put(&mut self, held: Held) {
        let id = held.entry.id.clone();
        self.order.insert((held.version, id.clone()));
        self.left += usize::from(held.entry.state == State::Left);
        if let Some(old) = self.held.insert(id, held) {
            self.left -= usize::from(old.entry.state == State::Left);
            self.order.remove(&(old.version, old.entry.id));
        }
        if self.left > MOST_LEFT {
            self.forget();
        }
    }

    /// Drops the older half of those that have left, and with them the versions that told of them.
    fn forget(&mut self) {
        let left = |(_, id): &&(u64, String)| self.held[id].entry.state == State::Left;
        let gone: Vec<_> = self.order.iter().filter(left).take(self.left / 2).cloned().collect();
        for key in gone {
            self.floor = self.floor.max(key.0);
            self.held.remove(&key.1);
            self.order.remove(&key);
            self.left -= 1;
        }
    }

    /// The whole list.
    pub fn whole(&self) -> List {
        let mut servers: Vec<Entry> = self.entries().map(|held| held.entry.clone()).collect();
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        List { version: self.version, full: true, servers }
    }

    /// What has changed since a version, or the whole list where that is no longer known. `None` for a version
    /// that this list has not reached.
    pub fn since(&self, from: u64) -> Option<List> {
        if from > self.version {
            return None;
        }
        if from < self.floor {
            return Some(self.whole());
        }
        let changed = self.order.range((from + 1, String::new())..);
        let servers = changed.map(|(_, id)| self.held[id].entry.clone()).collect();
        Some(List { version: self.version, full: false, servers })
    }

    pub fn keep(&self) -> Kept {
        let held = self.order.iter().map(|(_, id)| self.held[id].clone()).collect();
        Kept { version: self.version, floor: self.floor, replicas: self.replicas, held }
    }

    pub fn kept(kept: Kept) -> Self {
        let mut catalogue = Catalogue {
            version: kept.version,
            floor: kept.floor,
            replicas: kept.replicas,
            ..Catalogue::default()
        };
        for held in kept.held {
            catalogue.put(held);
        }
        catalogue
    }

    /// The list of a backup goes on beyond every version ever told: nobody's older version is known here.
    pub fn restored(mut self, version: u64) -> Self {
        self.version = version.max(self.version + 1);
        self.floor = self.version;
        self.held.retain(|_, held| held.entry.state != State::Left);
        self.order.retain(|(_, id)| self.held.contains_key(id));
        self.left = 0;
        self.replicas = 1;
        self
    }
}

impl Refused {
    fn stale(stamp: Stamp) -> Self {
        Refused::Stale { started_ms: stamp.started_ms, incarnation: stamp.incarnation }
    }
}
