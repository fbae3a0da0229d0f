//! The log and the vote on disk: one redb file, each record with a checksum of its own.
//!
//! One thread writes. It takes all appends that wait, commits them together with one fsync, and only then calls
//! back. What it has confirmed it notes in a second file, so that a log that has lost its end, at whatever byte, is
//! known to have: a replica that forgot what it confirmed must not vote.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::ops::{Bound, RangeBounds};
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{AnyError, LogState, OptionalSend, RaftLogId, RaftLogReader, StorageIOError};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::types::{LogEntry, LogId, StorageError, Types, Vote};

const FILE: &str = "log.redb";
const MARK: &str = "log.mark";
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
/// Writes that may wait for the thread. The protocol above keeps few out at a time.
const MOST_WAITING: usize = 1024;
/// Writes committed together at most.
const MOST_TOGETHER: usize = 256;
/// redb's page cache.
const CACHE: usize = 8 << 20;

/// A file that does not hold what was written to it: which, and what is wrong with it.
#[derive(Debug, thiserror::Error)]
#[error("{}: damaged: {what}", file.display())]
pub struct Damaged {
    pub file: PathBuf,
    pub what: String,
}

/// Why a data folder can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error(transparent)]
    Damaged(#[from] Damaged),
    #[error("{}: {error}", file.display())]
    Io { file: PathBuf, error: io::Error },
    #[error("{}: another process uses it", file.display())]
    InUse { file: PathBuf },
}

/// A record with its checksum in front.
pub fn seal(record: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    serde_json::to_writer(&mut bytes, record)?;
    let sum = crc32fast::hash(&bytes[4..]).to_le_bytes();
    bytes[..4].copy_from_slice(&sum);
    Ok(bytes)
}

/// # Errors
/// Says so where the bytes are not as they were sealed.
pub fn unseal<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let rotten = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let (sum, record) =
        bytes.split_first_chunk::<4>().ok_or_else(|| rotten("shorter than a checksum".into()))?;
    if crc32fast::hash(record) != u32::from_le_bytes(*sum) {
        return Err(rotten("checksum does not match".into()));
    }
    serde_json::from_slice(record).map_err(|e| rotten(e.to_string()))
}

/// The log's figures outside the file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    last: Option<LogId>,
    purged: Option<LogId>,
    vote: Option<Vote>,
}

/// A change that the thread makes.
enum Change {
    Append { entries: Vec<(LogId, Vec<u8>)>, last: LogId },
    Truncate { from: u64 },
    Purge { upto: LogId },
    Vote(Vote),
}

enum Done {
    Flushed(LogFlushed<Types>),
    Told(oneshot::Sender<io::Result<()>>),
}

impl Done {
    fn tell(self, result: io::Result<()>) {
        match self {
            Done::Flushed(flushed) => flushed.log_io_completed(result),
            // Nobody waits any more where the replica is shutting down.
            Done::Told(told) => drop(told.send(result)),
        }
    }
}

struct Shared {
    db: Database,
    /// What the file holds, so that nobody need look.
    now: Mutex<Mark>,
    /// Handed to the thread and not committed yet: the protocol reads entries from the moment of the append on.
    coming: Mutex<BTreeMap<u64, LogEntry>>,
    /// The first write that failed. Nothing is written after it.
    failed: Mutex<Option<String>>,
}

/// The log of one replica. Clones are the same log.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    changes: SyncSender<(Change, Done)>,
}

impl Log {
    /// Opens or begins the log of a data folder.
    ///
    /// # Errors
    /// Damage is told from what only prevents the opening now.
    pub fn open(folder: &Path) -> Result<Log, OpenError> {
        let (file, mark_file) = (folder.join(FILE), folder.join(MARK));
        let damaged = |what: String| OpenError::Damaged(Damaged { file: file.clone(), what });
        let failed = |file: &Path| {
            let file = file.to_owned();
            move |error| OpenError::Io { file, error }
        };
        let marked = read_mark(&mark_file)?;
        if marked.is_some() && !file.exists() {
            return Err(damaged("the file is missing".into()));
        }
        // A file cut off or changed must end in an error of ours, whatever the engine makes of it.
        let opened = catch_unwind(AssertUnwindSafe(|| open(&file)));
        let (db, found) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(Unopened::Busy)) => return Err(OpenError::InUse { file }),
            Ok(Err(Unopened::Io(error))) => return Err(failed(&file)(error)),
            Ok(Err(Unopened::Damaged(what))) => return Err(damaged(what)),
            Err(_) => return Err(damaged("its pages make no sense".into())),
        };
        if let Some(marked) = marked {
            if found.last.max(found.purged) < marked.last
                || found.purged < marked.purged
                || found.vote < marked.vote
            {
                let what = format!("it ends at {:?}, but {:?} was confirmed", found.last, marked.last);
                return Err(damaged(what));
            }
        }
        let mark = OpenOptions::new().write(true).create(true).truncate(false).open(&mark_file);
        let mark = mark.map_err(failed(&mark_file))?;
        write_mark(&mark, &found).map_err(failed(&mark_file))?;
        let shared = Arc::new(Shared {
            db,
            now: Mutex::new(found),
            coming: Mutex::default(),
            failed: Mutex::default(),
        });
        let (changes, waiting) = sync_channel(MOST_WAITING);
        let written = Arc::clone(&shared);
        let thread = thread::Builder::new().name("log".into());
        thread.spawn(move || write(&written, &mark, &waiting)).map_err(failed(&file))?;
        Ok(Log { shared, changes })
    }

    /// The first write that failed, if any did.
    pub fn failed(&self) -> Option<String> {
        lock(&self.shared.failed).clone()
    }

    /// The log holds or held entries: its replica has taken part in a service.
    pub fn is_begun(&self) -> bool {
        lock(&self.shared.now).last.is_some()
    }

    fn change(&self, change: Change, done: Done) {
        if let Err(unsent) = self.changes.send((change, done)) {
            unsent.0 .1.tell(Err(io::Error::other("the log's thread has ended")));
        }
    }

    async fn make(&self, change: Change) -> io::Result<()> {
        let (told, hear) = oneshot::channel();
        self.change(change, Done::Told(told));
        hear.await.unwrap_or_else(|_| Err(io::Error::other("the log's thread has ended")))
    }

    fn read(&self, range: (Bound<u64>, Bound<u64>)) -> io::Result<Vec<LogEntry>> {
        // Those that are coming first: one that is committed meanwhile is found in the file, maybe in both.
        let coming: Vec<_> = lock(&self.shared.coming).range(range).map(|(_, entry)| entry.clone()).collect();
        let read = self.shared.db.begin_read().map_err(io::Error::other)?;
        let table = read.open_table(LOG).map_err(io::Error::other)?;
        let mut entries = BTreeMap::new();
        for record in table.range::<u64>(range).map_err(io::Error::other)? {
            let (index, record) = record.map_err(io::Error::other)?;
            let entry = unseal::<LogEntry>(record.value());
            let entry =
                entry.map_err(|e| io::Error::other(format!("{FILE}: entry {}: {e}", index.value())))?;
            entries.insert(index.value(), entry);
        }
        entries.extend(coming.into_iter().map(|entry| (entry.log_id.index, entry)));
        Ok(entries.into_values().collect())
    }
}

/// A panic while holding a lock ends the process's use of it; what is behind it is whole, as it is only replaced.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

enum Unopened {
    Busy,
    Io(io::Error),
    Damaged(String),
}

impl<E: Into<redb::Error>> From<E> for Unopened {
    fn from(e: E) -> Self {
        match e.into() {
            redb::Error::DatabaseAlreadyOpen => Unopened::Busy,
            redb::Error::Io(e)
                if !matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                Unopened::Io(e)
            }
            e => Unopened::Damaged(e.to_string()),
        }
    }
}

/// Opens the file and reads all of it: damage shows now, not when an entry is needed.
fn open(file: &Path) -> Result<(Database, Mark), Unopened> {
    let mut db = Database::builder().set_cache_size(CACHE).create(file)?;
    if !db.check_integrity()? {
        return Err(Unopened::Damaged("page checksums do not match".into()));
    }
    let begin = db.begin_write()?;
    begin.open_table(LOG)?;
    begin.open_table(STATE)?;
    begin.commit()?;
    let mut found = Mark::default();
    let read = db.begin_read()?;
    let state = read.open_table(STATE)?;
    let rotten = |at: &str, e: io::Error| Unopened::Damaged(format!("{at}: {e}"));
    if let Some(vote) = state.get("vote")? {
        found.vote = Some(unseal(vote.value()).map_err(|e| rotten("vote", e))?);
    }
    if let Some(purged) = state.get("purged")? {
        found.purged = Some(unseal(purged.value()).map_err(|e| rotten("purged", e))?);
    }
    let mut next = found.purged.map(|id: LogId| id.index + 1);
    for record in read.open_table(LOG)?.iter()? {
        let (index, record) = record?;
        let index = index.value();
        let entry: LogEntry = unseal(record.value()).map_err(|e| rotten(&format!("entry {index}"), e))?;
        if entry.log_id.index != index || next.is_some_and(|next| next != index) {
            return Err(Unopened::Damaged(format!("entry {index}: not the one expected there")));
        }
        next = Some(index + 1);
        found.last = Some(*entry.get_log_id());
    }
    found.last = found.last.max(found.purged);
    drop(state);
    drop(read);
    Ok((db, found))
}

/// `None` where there is no such file.
fn read_mark(file: &Path) -> Result<Option<Mark>, OpenError> {
    match std::fs::read(file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(OpenError::Io { file: file.to_owned(), error }),
        Ok(bytes) => {
            let length =
                bytes.split_first_chunk::<2>().map(|(n, rest)| (usize::from(u16::from_le_bytes(*n)), rest));
            let record = length.and_then(|(n, rest)| rest.get(..n));
            let mark = record
                .ok_or_else(|| "too short".to_owned())
                .and_then(|r| unseal(r).map_err(|e| e.to_string()));
            mark.map(Some).map_err(|what| Damaged { file: file.to_owned(), what }.into())
        }
    }
}

/// In place and at once, so that a killed process leaves the old note or the new one. No fsync: after a loss of
/// power it may be older than the log, which is never taken for damage.
fn write_mark(file: &File, mark: &Mark) -> io::Result<()> {
    let record = seal(mark)?;
    let mut bytes = (record.len() as u16).to_le_bytes().to_vec();
    bytes.extend(record);
    file.write_all_at(&bytes, 0)
}

/// The thread's life: it ends when the last [`Log`] is dropped.
fn write(shared: &Shared, mark: &File, waiting: &Receiver<(Change, Done)>) {
    while let Ok(first) = waiting.recv() {
        let mut batch = vec![first];
        batch.extend(waiting.try_iter().take(MOST_TOGETHER - 1));
        let (changes, done): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let failed = lock(&shared.failed).clone();
        let result = match failed {
            Some(earlier) => Err(earlier),
            None => commit(shared, mark, changes).map_err(|e| e.to_string()),
        };
        if let Err(what) = &result {
            let mut failed = lock(&shared.failed);
            if failed.is_none() {
                tracing::error!("the log can't be written, and no change is taken until a restart: {what}");
                *failed = Some(what.clone());
            }
        }
        for done in done {
            done.tell(result.clone().map_err(io::Error::other));
        }
    }
}

fn commit(shared: &Shared, mark_file: &File, changes: Vec<Change>) -> Result<(), redb::Error> {
    let mut now = *lock(&shared.now);
    let mut committed = Vec::new();
    let write = shared.db.begin_write()?;
    {
        let mut log = write.open_table(LOG)?;
        let mut state = write.open_table(STATE)?;
        for change in changes {
            match change {
                Change::Append { entries, last } => {
                    for (id, record) in entries {
                        log.insert(id.index, record.as_slice())?;
                        committed.push(id);
                    }
                    now.last = Some(last);
                }
                Change::Truncate { from } => {
                    log.retain_in(from.., |_, _| false)?;
                    now.last = match log.last()? {
                        Some((_, record)) => unseal::<LogEntry>(record.value())
                            .map(|entry| Some(entry.log_id))
                            .map_err(redb::Error::Io)?,
                        None => now.purged,
                    };
                }
                Change::Purge { upto } => {
                    log.retain_in(..=upto.index, |_, _| false)?;
                    state.insert("purged", seal(&upto).map_err(redb::Error::Io)?.as_slice())?;
                    now.purged = Some(upto);
                    now.last = now.last.max(now.purged);
                }
                Change::Vote(vote) => {
                    state.insert("vote", seal(&vote).map_err(redb::Error::Io)?.as_slice())?;
                    now.vote = Some(vote);
                }
            }
        }
    }
    write.commit()?;
    write_mark(mark_file, &now).map_err(redb::Error::Io)?;
    *lock(&shared.now) = now;
    let mut coming = lock(&shared.coming);
    for id in committed {
        if coming.get(&id.index).is_some_and(|entry| entry.log_id == id) {
            coming.remove(&id.index);
        }
    }
    Ok(())
}

fn write_error(e: io::Error) -> StorageError {
    StorageIOError::write_logs(AnyError::new(&e)).into()
}

impl RaftLogReader<Types> for Log {
    async fn try_get_log_entries<RB>(&mut self, range: RB) -> Result<Vec<LogEntry>, StorageError>
    where
        RB: RangeBounds<u64> + Clone + std::fmt::Debug + OptionalSend,
    {
        let range = (range.start_bound().cloned(), range.end_bound().cloned());
        self.read(range).map_err(|e| StorageIOError::read_logs(AnyError::new(&e)).into())
    }
}

impl RaftLogStorage<Types> for Log {
    type LogReader = Log;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError> {
        let now = *lock(&self.shared.now);
        Ok(LogState { last_purged_log_id: now.purged, last_log_id: now.last })
    }

    async fn get_log_reader(&mut self) -> Log {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        let saved = self.make(Change::Vote(*vote)).await;
        saved.map_err(|e| StorageIOError::write_vote(AnyError::new(&e)).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, StorageError> {
        Ok(lock(&self.shared.now).vote)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut records = Vec::new();
        let mut last = None;
        for entry in entries {
            last = Some(entry.log_id);
            records.push((entry.log_id, seal(&entry).map_err(write_error)?));
            lock(&self.shared.coming).insert(entry.log_id.index, entry);
        }
        match last {
            Some(last) => self.change(Change::Append { entries: records, last }, Done::Flushed(callback)),
            None => callback.log_io_completed(Ok(())),
        }
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        lock(&self.shared.coming).split_off(&log_id.index);
        self.make(Change::Truncate { from: log_id.index }).await.map_err(write_error)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.make(Change::Purge { upto: log_id }).await.map_err(write_error)
    }
}
