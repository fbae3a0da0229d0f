//! The replicated state machine of openraft: the list and the duties, in memory and in snapshots. Readers
//! only see state that was applied from the log.

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

use crate::catalogue::{Catalogue, CatalogueSnapshot, Command, Outcome, Rejection};
use crate::duties::Duties;
use crate::log::{decode_record, encode_record, Damaged, OpenError};
use crate::types::{LogEntry, LogId, SnapshotMeta, StorageError, StoredMembership, Types};

/// Name of the snapshot's file in the replica's folder.
pub const SNAPSHOT_FILE: &str = "snapshot";
/// Encoded answers that are cached: the watchers of one list mostly ask from the same few versions.
const MAX_CACHED_ANSWERS: usize = 64;

/// The contents of a snapshot.
#[derive(Serialize, Deserialize)]
pub struct SnapshotContent {
    pub meta: SnapshotMeta,
    #[serde(rename = "kept")]
    pub catalogue: CatalogueSnapshot,
    /// Missing in snapshots written before duties existed.
    #[serde(default)]
    pub duties: Duties,
}

/// The list, the duties, and the last log entry applied to them.
#[derive(Default)]
struct State {
    catalogue: Catalogue,
    duties: Duties,
    duties_changed: bool,
    applied: Option<LogId>,
    membership: StoredMembership,
}

/// Encoded answers, for one version of the list.
#[derive(Default)]
struct AnswerCache {
    version: u64,
    /// Keyed by the version from which changes are asked for; `None` is the full list.
    answers: HashMap<Option<u64>, Bytes>,
}

/// Read access to the replicated state. Clones share the same state.
#[derive(Clone)]
pub struct StateView {
    state: Arc<RwLock<State>>,
    cache: Arc<Mutex<AnswerCache>>,
    version: watch::Sender<u64>,
    /// The number of commands that have changed a duty on this replica.
    duty_changes: watch::Sender<u64>,
}

impl StateView {
    /// Reads the list, consistently between two commands.
    pub fn with_catalogue<T>(&self, read: impl FnOnce(&Catalogue) -> T) -> T {
        self.with_state(|state| read(&state.catalogue))
    }

    /// Reads the list and the duties of the same moment.
    pub fn with_catalogue_and_duties<T>(&self, read: impl FnOnce(&Catalogue, &Duties) -> T) -> T {
        self.with_state(|state| read(&state.catalogue, &state.duties))
    }

    /// Reads the duties, consistently between two commands.
    pub fn with_duties<T>(&self, read: impl FnOnce(&Duties) -> T) -> T {
        self.with_state(|state| read(&state.duties))
    }

    /// Notified of each change of a duty.
    pub fn duty_changes(&self) -> watch::Receiver<u64> {
        self.duty_changes.subscribe()
    }

    fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.read().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// The version of the catalogue that was published last.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// A receiver that is notified of each new catalogue version.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Index of the last log entry that was applied; 0 if there is none.
    pub fn applied(&self) -> u64 {
        self.with_state(|state| state.applied.map_or(0, |id| id.index))
    }

    /// The encoded full list, or the changes since a version; `None` if the list has not reached that
    /// version.
    pub fn encoded_list(&self, from: Option<u64>) -> Option<Bytes> {
        let mut cache = self.cache.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        self.with_catalogue(|list| {
            if cache.version != list.version() {
                *cache = AnswerCache { version: list.version(), answers: HashMap::new() };
            }
            if let Some(bytes) = cache.answers.get(&from) {
                return Some(bytes.clone());
            }
            let answer: List = match from {
                None => list.full_list(),
                Some(from) => list.changes_since(from)?,
            };
            let bytes = Bytes::from(serde_json::to_vec(&answer).ok()?);
            if cache.answers.len() < MAX_CACHED_ANSWERS {
                cache.answers.insert(from, bytes.clone());
            }
            Some(bytes)
        })
    }

    fn update<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        let result = update(&mut state);
        let (version, changed) = (state.catalogue.version(), std::mem::take(&mut state.duties_changed));
        drop(state);
        if changed {
            self.duty_changes.send_modify(|count| *count += 1);
        }
        self.version.send_if_modified(|current| std::mem::replace(current, version) != version);
        result
    }
}

/// The state machine that openraft applies the log to.
pub struct RegistryStateMachine {
    view: StateView,
    folder: PathBuf,
}

impl RegistryStateMachine {
    /// Loads the folder's snapshot, or starts empty if there is none.
    ///
    /// # Errors
    /// A snapshot that does not match its checksum is reported as damage and never taken for a missing one.
    pub fn open(folder: &Path) -> Result<(RegistryStateMachine, StateView), OpenError> {
        let file = folder.join(SNAPSHOT_FILE);
        let state = match fs::read(&file) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => State::default(),
            Err(error) => return Err(OpenError::Io { file, error }),
            Ok(bytes) => {
                let content: SnapshotContent =
                    decode_record(&bytes).map_err(|e| Damaged { file, reason: e.to_string() })?;
                State::from_snapshot(content)
            }
        };
        let version = watch::Sender::new(state.catalogue.version());
        let duty_changes = watch::Sender::new(0);
        let view =
            StateView { state: Arc::new(RwLock::new(state)), cache: Arc::default(), version, duty_changes };
        Ok((RegistryStateMachine { view: view.clone(), folder: folder.to_owned() }, view))
    }
}

impl State {
    fn from_snapshot(content: SnapshotContent) -> Self {
        State {
            catalogue: Catalogue::from_snapshot(content.catalogue),
            duties: content.duties,
            duties_changed: true,
            applied: content.meta.last_log_id,
            membership: content.meta.last_membership,
        }
    }

    fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Duty(command) => {
                self.duties_changed = true;
                Outcome::Duty(self.duties.apply(command))
            }
            // Check and change are one step, so the holder can't change between them.
            Command::Fenced { fence, change } => match self.duties.check_fence(&fence.duty, fence.fence) {
                Ok(()) => self.apply(*change),
                Err(why) => Outcome::Refused(Rejection::Fenced { duty: fence.duty, why }),
            },
            command => self.catalogue.apply(command),
        }
    }
}

/// Replaces a file atomically: a reader sees the old or the new contents, even after a power loss.
pub fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let (new_path, path) = (folder.join(format!("{name}.new")), folder.join(name));
    let mut new_file = File::create(&new_path)?;
    new_file.write_all(bytes)?;
    new_file.sync_all()?;
    fs::rename(&new_path, &path)?;
    File::open(folder)?.sync_all()
}

fn write_error(meta: &SnapshotMeta, e: &io::Error) -> StorageError {
    StorageIOError::write_snapshot(Some(meta.signature()), AnyError::new(e)).into()
}

fn read_error(e: &io::Error) -> StorageError {
    StorageIOError::read_snapshot(None, AnyError::new(e)).into()
}

/// Writes the state as it was when openraft asked for the snapshot.
pub struct SnapshotWriter {
    content: SnapshotContent,
    folder: PathBuf,
}

impl RaftSnapshotBuilder<Types> for SnapshotWriter {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError> {
        let meta = self.content.meta.clone();
        let bytes = encode_record(&self.content).map_err(|e| write_error(&meta, &e))?;
        let (folder, stored_bytes) = (self.folder.clone(), bytes.clone());
        let written =
            tokio::task::spawn_blocking(move || replace_file(&folder, SNAPSHOT_FILE, &stored_bytes)).await;
        written.map_err(io::Error::other).and_then(|w| w).map_err(|e| write_error(&meta, &e))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<Types> for RegistryStateMachine {
    type SnapshotBuilder = SnapshotWriter;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, StoredMembership), StorageError> {
        Ok(self.view.with_state(|state| (state.applied, state.membership.clone())))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        Ok(self.view.update(|state| {
            let apply = |entry: LogEntry| {
                state.applied = Some(entry.log_id);
                match entry.payload {
                    EntryPayload::Blank => Outcome::Nothing,
                    EntryPayload::Normal(command) => state.apply(command),
                    EntryPayload::Membership(membership) => {
                        let highest = membership.nodes().map(|(id, _)| *id).max().unwrap_or(0);
                        state.catalogue.reserve_replica_ids(highest);
                        state.membership = StoredMembership::new(Some(entry.log_id), membership);
                        Outcome::Nothing
                    }
                }
            };
            entries.into_iter().map(apply).collect()
        }))
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotWriter {
        let content = self.view.with_state(|state| {
            let last = state.applied.map_or(0, |id| id.index);
            let meta = SnapshotMeta {
                last_log_id: state.applied,
                last_membership: state.membership.clone(),
                snapshot_id: format!("{last}-{}", state.catalogue.version()),
            };
            SnapshotContent { meta, catalogue: state.catalogue.snapshot(), duties: state.duties.clone() }
        });
        SnapshotWriter { content, folder: self.folder.clone() }
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
        let content: SnapshotContent = decode_record(&bytes).map_err(|e| read_error(&e))?;
        let folder = self.folder.clone();
        let written = tokio::task::spawn_blocking(move || replace_file(&folder, SNAPSHOT_FILE, &bytes)).await;
        written.map_err(io::Error::other).and_then(|w| w).map_err(|e| write_error(meta, &e))?;
        self.view.update(|state| *state = State::from_snapshot(content));
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError> {
        let bytes = match fs::read(self.folder.join(SNAPSHOT_FILE)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            read => read.map_err(|e| read_error(&e))?,
        };
        let content: SnapshotContent = decode_record(&bytes).map_err(|e| read_error(&e))?;
        Ok(Some(Snapshot { meta: content.meta, snapshot: Box::new(Cursor::new(bytes)) }))
    }
}
