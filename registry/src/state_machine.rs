//! The list as the log's state machine: in memory, kept in snapshots. What is read is always what the log says.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Cursor, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, RwLock};

use bytes::Bytes;
use openraft::storage::{RaftSnapshotBuilder, RaftStateMachine};
use openraft::{AnyError, EntryPayload, OptionalSend, Snapshot, StorageIOError};
use serde::{Deserialize, Serialize};
use shaletrail_registry_protocol::List;
use tokio::sync::watch;

use crate::catalogue::{Catalogue, Command, Kept, Outcome, Refused};
use crate::duties::Duties;
use crate::log::{seal, unseal, Damaged, OpenError};
use crate::types::{LogEntry, LogId, SnapshotMeta, StorageError, StoredMembership, Types};

pub const FILE: &str = "snapshot";
/// Answers kept ready: watchers of one list mostly come from the same few versions.
const MOST_READY: usize = 64;

/// All that a snapshot holds.
#[derive(Serialize, Deserialize)]
pub struct Whole {
    pub meta: SnapshotMeta,
    pub kept: Kept,
    /// Snapshots from before duties have none.
    #[serde(default)]
    pub duties: Duties,
}

/// The list, the duties, and how far the log has been applied to them.
#[derive(Default)]
struct Now {
    catalogue: Catalogue,
    duties: Duties,
    duties_changed: bool,
    applied: Option<LogId>,
    membership: StoredMembership,
}

/// Answers in bytes, for one version.
#[derive(Default)]
struct Ready {
    version: u64,
    /// By the version asked from; `None` is the whole list.
    answers: HashMap<Option<u64>, Bytes>,
}

/// The list as readers see it. Clones see the same.
#[derive(Clone)]
pub struct View {
    now: Arc<RwLock<Now>>,
    ready: Arc<Mutex<Ready>>,
    version: watch::Sender<u64>,
    /// How many commands have changed a duty here.
    duties: watch::Sender<u64>,
}

impl View {
    /// Runs a look at the list as it is between two commands.
    pub fn look<T>(&self, look: impl FnOnce(&Catalogue) -> T) -> T {
        self.read(|now| look(&now.catalogue))
    }

    /// The list and the duties of one moment.
    pub fn both<T>(&self, look: impl FnOnce(&Catalogue, &Duties) -> T) -> T {
        self.read(|now| look(&now.catalogue, &now.duties))
    }

    /// The same at the duties.
    pub fn duties<T>(&self, look: impl FnOnce(&Duties) -> T) -> T {
        self.read(|now| look(&now.duties))
    }

    /// Told of each change of a duty.
    pub fn duty_changes(&self) -> watch::Receiver<u64> {
        self.duties.subscribe()
    }

    fn read<T>(&self, read: impl FnOnce(&Now) -> T) -> T {
        read(&self.now.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Up to which entry the log has been applied.
    pub fn applied(&self) -> u64 {
        self.read(|now| now.applied.map_or(0, |id| id.index))
    }

    /// The answer to a call for the whole list or for changes; `None` where the list has not got so far.
    pub fn answer(&self, from: Option<u64>) -> Option<Bytes> {
        let mut ready = self.ready.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        self.look(|list| {
            if ready.version != list.version() {
                *ready = Ready { version: list.version(), answers: HashMap::new() };
            }
            if let Some(bytes) = ready.answers.get(&from) {
                return Some(bytes.clone());
            }
            let answer: List = match from {
                None => list.whole(),
                Some(from) => list.since(from)?,
            };
            let bytes = Bytes::from(serde_json::to_vec(&answer).ok()?);
            if ready.answers.len() < MOST_READY {
                ready.answers.insert(from, bytes.clone());
            }
            Some(bytes)
        })
    }

    fn change<T>(&self, change: impl FnOnce(&mut Now) -> T) -> T {
        let mut now = self.now.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        let result = change(&mut now);
        let (version, changed) = (now.catalogue.version(), std::mem::take(&mut now.duties_changed));
        drop(now);
        if changed {
            self.duties.send_modify(|count| *count += 1);
        }
        self.version.send_if_modified(|told| std::mem::replace(told, version) != version);
        result
    }
}

/// The state machine that the log drives.
pub struct Machine {
    view: View,
    folder: PathBuf,
}

impl Machine {
    /// Begins with the folder's snapshot, or with nothing.
    ///
    /// # Errors
    /// A snapshot that is not as it was written is damage, not nothing.
    pub fn open(folder: &Path) -> Result<(Machine, View), OpenError> {
        let file = folder.join(FILE);
        let now = match fs::read(&file) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Now::default(),
            Err(error) => return Err(OpenError::Io { file, error }),
            Ok(bytes) => {
                let whole: Whole = unseal(&bytes).map_err(|e| Damaged { file, what: e.to_string() })?;
                Now::of(whole)
            }
        };
        let version = watch::Sender::new(now.catalogue.version());
        let duties = watch::Sender::new(0);
        let view = View { now: Arc::new(RwLock::new(now)), ready: Arc::default(), version, duties };
        Ok((Machine { view: view.clone(), folder: folder.to_owned() }, view))
    }
}

impl Now {
    fn of(whole: Whole) -> Self {
        Now {
            catalogue: Catalogue::kept(whole.kept),
            duties: whole.duties,
            duties_changed: true,
            applied: whole.meta.last_log_id,
            membership: whole.meta.last_membership,
        }
    }

    fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Duty(command) => {
                self.duties_changed = true;
                Outcome::Duty(self.duties.apply(command))
            }
            // Check and change are one: between them no other holder can come.
            Command::Fenced { under, change } => match self.duties.guard(&under.duty, under.fence) {
                Ok(()) => self.apply(*change),
                Err(why) => Outcome::Refused(Refused::Fenced { duty: under.duty, why }),
            },
            command => self.catalogue.apply(command),
        }
    }
}

/// Replaces a file whole, so that whoever reads it finds the old or the new one, also after a loss of power.
pub fn replace(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let (new, file) = (folder.join(format!("{name}.new")), folder.join(name));
    let mut writing = File::create(&new)?;
    writing.write_all(bytes)?;
    writing.sync_all()?;
    fs::rename(&new, &file)?;
    File::open(folder)?.sync_all()
}

fn write_error(meta: &SnapshotMeta, e: &io::Error) -> StorageError {
    StorageIOError::write_snapshot(Some(meta.signature()), AnyError::new(e)).into()
}

fn read_error(e: &io::Error) -> StorageError {
    StorageIOError::read_snapshot(None, AnyError::new(e)).into()
}

/// Writes the list as it was when the protocol asked.
pub struct Builder {
    whole: Whole,
    folder: PathBuf,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError> {
        let meta = self.whole.meta.clone();
        let bytes = seal(&self.whole).map_err(|e| write_error(&meta, &e))?;
        let (folder, kept) = (self.folder.clone(), bytes.clone());
        let written = tokio::task::spawn_blocking(move || replace(&folder, FILE, &kept)).await;
        written.map_err(io::Error::other).and_then(|w| w).map_err(|e| write_error(&meta, &e))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, StoredMembership), StorageError> {
        Ok(self.view.read(|now| (now.applied, now.membership.clone())))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        Ok(self.view.change(|now| {
            let apply = |entry: LogEntry| {
                now.applied = Some(entry.log_id);
                match entry.payload {
                    EntryPayload::Blank => Outcome::Nothing,
                    EntryPayload::Normal(command) => now.apply(command),
                    EntryPayload::Membership(membership) => {
                        let highest = membership.nodes().map(|(id, _)| *id).max().unwrap_or(0);
                        now.catalogue.number_replicas(highest);
                        now.membership = StoredMembership::new(Some(entry.log_id), membership);
                        Outcome::Nothing
                    }
                }
            };
            entries.into_iter().map(apply).collect()
        }))
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        let whole = self.view.read(|now| {
            let last = now.applied.map_or(0, |id| id.index);
            let meta = SnapshotMeta {
                last_log_id: now.applied,
                last_membership: now.membership.clone(),
                snapshot_id: format!("{last}-{}", now.catalogue.version()),
            };
            Whole { meta, kept: now.catalogue.keep(), duties: now.duties.clone() }
        });
        Builder { whole, folder: self.folder.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError> {
        let bytes = snapshot.into_inner();
        let whole: Whole = unseal(&bytes).map_err(|e| read_error(&e))?;
        let folder = self.folder.clone();
        let written = tokio::task::spawn_blocking(move || replace(&folder, FILE, &bytes)).await;
        written.map_err(io::Error::other).and_then(|w| w).map_err(|e| write_error(meta, &e))?;
        self.view.change(|now| *now = Now::of(whole));
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError> {
        let bytes = match fs::read(self.folder.join(FILE)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            read => read.map_err(|e| read_error(&e))?,
        };
        let whole: Whole = unseal(&bytes).map_err(|e| read_error(&e))?;
        Ok(Some(Snapshot { meta: whole.meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}
