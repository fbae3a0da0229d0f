//! The log and the vote on disk: one redb file, with a checksum for each record.
//!
//! One thread writes. It takes all pending writes, commits them together with one fsync and only then calls
//! back. It notes what was committed in a second file, the mark. So a log that has lost its end, at whatever
//! byte, is recognized as damaged: a replica that has forgotten what it acknowledged must not vote.

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

const LOG_FILE: &str = "log.redb";
const MARK_FILE: &str = "log.mark";
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const STATE_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
/// Writes that may wait for the thread. openraft keeps only a few in flight.
const MAX_QUEUED_WRITES: usize = 1024;
/// The most writes in one commit.
const MAX_BATCHED_WRITES: usize = 256;
/// Size of redb's page cache, in bytes.
const CACHE_BYTES: usize = 8 << 20;

/// A file whose contents are not what was written to it.
#[derive(Debug, thiserror::Error)]
#[error("{}: damaged: {reason}", file.display())]
pub struct Damaged {
    pub file: PathBuf,
    pub reason: String,
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

/// Encodes a record with its checksum in front.
pub fn encode_record(record: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    serde_json::to_writer(&mut bytes, record)?;
    let sum = crc32fast::hash(&bytes[4..]).to_le_bytes();
    bytes[..4].copy_from_slice(&sum);
    Ok(bytes)
}

/// # Errors
/// The bytes do not match the checksum, or are no such record.
pub fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let corrupt = |reason: String| io::Error::new(io::ErrorKind::InvalidData, reason);
    let (sum, record) =
        bytes.split_first_chunk::<4>().ok_or_else(|| corrupt("shorter than a checksum".into()))?;
    if crc32fast::hash(record) != u32::from_le_bytes(*sum) {
        return Err(corrupt("checksum does not match".into()));
    }
    serde_json::from_slice(record).map_err(|e| corrupt(e.to_string()))
}

/// The ends of the log and the last vote, as noted in the mark file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LogMark {
    last: Option<LogId>,
    purged: Option<LogId>,
    vote: Option<Vote>,
}

/// A write for the thread to execute.
enum Write {
    Append { entries: Vec<(LogId, Vec<u8>)>, last: LogId },
    Truncate { from: u64 },
    Purge { upto: LogId },
    Vote(Vote),
}

enum Completion {
    Flushed(LogFlushed<Types>),
    Reply(oneshot::Sender<io::Result<()>>),
}

impl Completion {
    fn complete(self, result: io::Result<()>) {
        match self {
            Completion::Flushed(flushed) => flushed.log_io_completed(result),
            // The receiver is gone if the replica is shutting down.
            Completion::Reply(reply) => drop(reply.send(result)),
        }
    }
}

struct Shared {
    db: Database,
    /// What the file holds, cached in memory.
    latest: Mutex<LogMark>,
    /// Entries that were handed to the thread and are not committed yet. openraft may read an entry as soon
    /// as it was appended.
    pending: Mutex<BTreeMap<u64, LogEntry>>,
    /// The first write that failed. Nothing is written after it.
    failed: Mutex<Option<String>>,
}

/// The log of one replica. Clones share the same log.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Shared>,
    writes: SyncSender<(Write, Completion)>,
}

impl Log {
    /// Opens the log of a data folder, or creates it.
    ///
    /// # Errors
    /// Distinguishes damage from a failure that only prevents opening now.
    pub fn open(folder: &Path) -> Result<Log, OpenError> {
        let (file, mark_file) = (folder.join(LOG_FILE), folder.join(MARK_FILE));
        let damaged = |reason: String| OpenError::Damaged(Damaged { file: file.clone(), reason });
        let failed = |file: &Path| {
            let file = file.to_owned();
            move |error| OpenError::Io { file, error }
        };
        let marked = read_mark(&mark_file)?;
        if marked.is_some() && !file.exists() {
            return Err(damaged("the file is missing".into()));
        }
        // redb may panic on a truncated or changed file. That is reported as damage too.
        let opened = catch_unwind(AssertUnwindSafe(|| open_database(&file)));
        let (db, found) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(DatabaseError::Busy)) => return Err(OpenError::InUse { file }),
            Ok(Err(DatabaseError::Io(error))) => return Err(failed(&file)(error)),
            Ok(Err(DatabaseError::Damaged(reason))) => return Err(damaged(reason)),
            Err(_) => return Err(damaged("redb panicked on its pages".into())),
        };
        if let Some(marked) = marked {
            if found.last.max(found.purged) < marked.last
                || found.purged < marked.purged
                || found.vote < marked.vote
            {
                let reason = format!("it ends at {:?}, but {:?} was acknowledged", found.last, marked.last);
                return Err(damaged(reason));
            }
        }
        let mark = OpenOptions::new().write(true).create(true).truncate(false).open(&mark_file);
        let mark = mark.map_err(failed(&mark_file))?;
        write_mark(&mark, &found).map_err(failed(&mark_file))?;
        let shared = Arc::new(Shared {
            db,
            latest: Mutex::new(found),
            pending: Mutex::default(),
            failed: Mutex::default(),
        });
        let (writes, queue) = sync_channel(MAX_QUEUED_WRITES);
        let writer_shared = Arc::clone(&shared);
        let thread = thread::Builder::new().name("log".into());
        thread.spawn(move || run_writer(&writer_shared, &mark, &queue)).map_err(failed(&file))?;
        Ok(Log { shared, writes })
    }

    /// The first write that failed, if any did.
    pub fn failed(&self) -> Option<String> {
        lock(&self.shared.failed).clone()
    }

    /// Whether the log has ever held entries, so that the replica has been part of a service.
    pub fn has_held_entries(&self) -> bool {
        lock(&self.shared.latest).last.is_some()
    }

    fn submit(&self, operation: Write, done: Completion) {
        if let Err(unsent) = self.writes.send((operation, done)) {
            unsent.0 .1.complete(Err(io::Error::other("the log's thread has ended")));
        }
    }

    async fn write_and_wait(&self, operation: Write) -> io::Result<()> {
        let (reply, outcome) = oneshot::channel();
        self.submit(operation, Completion::Reply(reply));
        outcome.await.unwrap_or_else(|_| Err(io::Error::other("the log's thread has ended")))
    }

    fn read(&self, range: (Bound<u64>, Bound<u64>)) -> io::Result<Vec<LogEntry>> {
        // Pending entries first: one that is committed meanwhile is then found in the file, or in both
        // places.
        let pending: Vec<_> =
            lock(&self.shared.pending).range(range).map(|(_, entry)| entry.clone()).collect();
        let read = self.shared.db.begin_read().map_err(io::Error::other)?;
        let table = read.open_table(LOG_TABLE).map_err(io::Error::other)?;
        let mut entries = BTreeMap::new();
        for record in table.range::<u64>(range).map_err(io::Error::other)? {
            let (index, record) = record.map_err(io::Error::other)?;
            let entry = decode_record::<LogEntry>(record.value());
            let entry =
                entry.map_err(|e| io::Error::other(format!("{LOG_FILE}: entry {}: {e}", index.value())))?;
            entries.insert(index.value(), entry);
        }
        entries.extend(pending.into_iter().map(|entry| (entry.log_id.index, entry)));
        Ok(entries.into_values().collect())
    }
}

/// Ignores poisoning: values behind these locks are only replaced as a whole, so a panic leaves none half
/// changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

enum DatabaseError {
    Busy,
    Io(io::Error),
    Damaged(String),
}

impl<E: Into<redb::Error>> From<E> for DatabaseError {
    fn from(e: E) -> Self {
        match e.into() {
            redb::Error::DatabaseAlreadyOpen => DatabaseError::Busy,
            redb::Error::Io(e)
                if !matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                DatabaseError::Io(e)
            }
            e => DatabaseError::Damaged(e.to_string()),
        }
    }
}

/// Opens the file and reads all of it, so that damage is found now and not when an entry is needed.
fn open_database(file: &Path) -> Result<(Database, LogMark), DatabaseError> {
    let mut db = Database::builder().set_cache_size(CACHE_BYTES).create(file)?;
    if !db.check_integrity()? {
        return Err(DatabaseError::Damaged("page checksums do not match".into()));
    }
    let setup = db.begin_write()?;
    setup.open_table(LOG_TABLE)?;
    setup.open_table(STATE_TABLE)?;
    setup.commit()?;
    let mut found = LogMark::default();
    let read = db.begin_read()?;
    let state = read.open_table(STATE_TABLE)?;
    let corrupt = |at: &str, e: io::Error| DatabaseError::Damaged(format!("{at}: {e}"));
    if let Some(vote) = state.get("vote")? {
        found.vote = Some(decode_record(vote.value()).map_err(|e| corrupt("vote", e))?);
    }
    if let Some(purged) = state.get("purged")? {
        found.purged = Some(decode_record(purged.value()).map_err(|e| corrupt("purged", e))?);
    }
    let mut next = found.purged.map(|id: LogId| id.index + 1);
    for record in read.open_table(LOG_TABLE)?.iter()? {
        let (index, record) = record?;
        let index = index.value();
        let entry: LogEntry =
            decode_record(record.value()).map_err(|e| corrupt(&format!("entry {index}"), e))?;
        if entry.log_id.index != index || next.is_some_and(|next| next != index) {
            return Err(DatabaseError::Damaged(format!("entry {index}: another index was expected")));
        }
        next = Some(index + 1);
        found.last = Some(*entry.get_log_id());
    }
    found.last = found.last.max(found.purged);
    drop(state);
    drop(read);
    Ok((db, found))
}

/// Returns `None` if the file does not exist.
fn read_mark(file: &Path) -> Result<Option<LogMark>, OpenError> {
    match std::fs::read(file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(OpenError::Io { file: file.to_owned(), error }),
        Ok(bytes) => {
            let length =
                bytes.split_first_chunk::<2>().map(|(n, rest)| (usize::from(u16::from_le_bytes(*n)), rest));
            let record = length.and_then(|(n, rest)| rest.get(..n));
            let mark = record
                .ok_or_else(|| "too short".to_owned())
                .and_then(|r| decode_record(r).map_err(|e| e.to_string()));
            mark.map(Some).map_err(|reason| Damaged { file: file.to_owned(), reason }.into())
        }
    }
}

/// Overwrites the mark in place with a single write, so that a killed process leaves either the old mark or
/// the new one. There is no fsync: after a power loss the mark may be older than the log, which never counts
/// as damage.
fn write_mark(file: &File, mark: &LogMark) -> io::Result<()> {
    let record = encode_record(mark)?;
    let mut bytes = (record.len() as u16).to_le_bytes().to_vec();
    bytes.extend(record);
    file.write_all_at(&bytes, 0)
}

/// The main loop of the writer thread, which ends when the last [`Log`] is dropped.
fn run_writer(shared: &Shared, mark: &File, queue: &Receiver<(Write, Completion)>) {
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        batch.extend(queue.try_iter().take(MAX_BATCHED_WRITES - 1));
        let (writes, done): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let failed = lock(&shared.failed).clone();
        let result = match failed {
            Some(earlier) => Err(earlier),
            None => commit(shared, mark, writes).map_err(|e| e.to_string()),
        };
        if let Err(reason) = &result {
            let mut failed = lock(&shared.failed);
            if failed.is_none() {
                tracing::error!("the log can't be written; changes are refused until a restart: {reason}");
                *failed = Some(reason.clone());
            }
        }
        for done in done {
            done.complete(result.clone().map_err(io::Error::other));
        }
    }
}

fn commit(shared: &Shared, mark_file: &File, writes: Vec<Write>) -> Result<(), redb::Error> {
    let mut latest = *lock(&shared.latest);
    let mut committed = Vec::new();
    let write = shared.db.begin_write()?;
    {
        let mut log = write.open_table(LOG_TABLE)?;
        let mut state = write.open_table(STATE_TABLE)?;
        for operation in writes {
            match operation {
                Write::Append { entries, last } => {
                    for (id, record) in entries {
                        log.insert(id.index, record.as_slice())?;
                        committed.push(id);
                    }
                    latest.last = Some(last);
                }
                Write::Truncate { from } => {
                    log.retain_in(from.., |_, _| false)?;
                    latest.last = match log.last()? {
                        Some((_, record)) => decode_record::<LogEntry>(record.value())
                            .map(|entry| Some(entry.log_id))
                            .map_err(redb::Error::Io)?,
                        None => latest.purged,
                    };
                }
                Write::Purge { upto } => {
                    log.retain_in(..=upto.index, |_, _| false)?;
                    state.insert("purged", encode_record(&upto).map_err(redb::Error::Io)?.as_slice())?;
                    latest.purged = Some(upto);
                    latest.last = latest.last.max(latest.purged);
                }
                Write::Vote(vote) => {
                    state.insert("vote", encode_record(&vote).map_err(redb::Error::Io)?.as_slice())?;
                    latest.vote = Some(vote);
                }
            }
        }
    }
    write.commit()?;
    write_mark(mark_file, &latest).map_err(redb::Error::Io)?;
    *lock(&shared.latest) = latest;
    let mut pending = lock(&shared.pending);
    for id in committed {
        if pending.get(&id.index).is_some_and(|entry| entry.log_id == id) {
            pending.remove(&id.index);
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
        let latest = *lock(&self.shared.latest);
        Ok(LogState { last_purged_log_id: latest.purged, last_log_id: latest.last })
    }

    async fn get_log_reader(&mut self) -> Log {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        let saved = self.write_and_wait(Write::Vote(*vote)).await;
        saved.map_err(|e| StorageIOError::write_vote(AnyError::new(&e)).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, StorageError> {
        Ok(lock(&self.shared.latest).vote)
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
            records.push((entry.log_id, encode_record(&entry).map_err(write_error)?));
            lock(&self.shared.pending).insert(entry.log_id.index, entry);
        }
        match last {
            Some(last) => {
                self.submit(Write::Append { entries: records, last }, Completion::Flushed(callback))
            }
            None => callback.log_io_completed(Ok(())),
        }
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        lock(&self.shared.pending).split_off(&log_id.index);
        self.write_and_wait(Write::Truncate { from: log_id.index }).await.map_err(write_error)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.write_and_wait(Write::Purge { upto: log_id }).await.map_err(write_error)
    }
}
