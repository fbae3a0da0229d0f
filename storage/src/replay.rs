//! Reads the files of a journal: finds the newest complete checkpoint and what follows it, tells a torn end from
//! damage.

use snafu::{OptionExt, ResultExt};

use crate::error::{CorruptSnafu, IoSnafu, StorageError};
use crate::header::{SegmentHeader, LENGTH, PAGE};
use crate::record::{Kind, RecordHeader};
use crate::ring::{is_ring_file, Ring, RingFile, Segment};
use crate::segment_reader::{Found, SegmentReader};
use crate::Disk;

/// The first sequence number of a journal.
pub(crate) const FIRST_SEQUENCE: u64 = 1;

/// A record as it was appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The stream it was appended to.
    pub stream: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What the files of a journal hold.
pub(crate) struct Replay {
    pub stored: Vec<StoredRecord>,
    /// The newest sequence number that counts; 0 if there never was a record.
    pub committed: u64,
    pub ring: Ring,
}

/// Reads all ring files.
pub(crate) fn replay<D: Disk>(disk: &mut D, max_files: usize) -> Result<Replay, StorageError> {
    let names = disk.list().context(IoSnafu { operation: "list", file: "the folder" })?;
    let names = names.into_iter().filter(|name| is_ring_file(name));
    let mut ring = Ring {
        files: Vec::new(),
        chain: Vec::new(),
        newest_generation: 0,
        checkpoint_segments: 0,
        max_files,
    };
    let mut segments = Vec::new();
    for (file, name) in names.enumerate() {
        let header = read_header(disk, &name)?;
        ring.files.push(RingFile { name, generation: header.map_or(0, |header| header.generation) });
        segments.extend(header.map(|header| segment(file, header)));
    }
    ring.max_files = max_files.max(ring.files.len());
    ring.newest_generation = segments.iter().map(|segment| segment.generation).max().unwrap_or_default();
    check_headless(disk, &ring, &segments)?;
    if segments.is_empty() {
        return Ok(Replay { stored: Vec::new(), committed: FIRST_SEQUENCE - 1, ring });
    }
    walk_from_newest_checkpoint(disk, ring, valid_chain(segments))
}

fn segment(file: usize, header: SegmentHeader) -> Segment {
    let SegmentHeader { generation, first, starts_checkpoint, end } = header;
    Segment { file, generation, first, starts_checkpoint, end }
}

fn read_header<D: Disk>(disk: &mut D, name: &str) -> Result<Option<SegmentHeader>, StorageError> {
    let bytes = disk.read_at(name, 0, LENGTH).context(IoSnafu { operation: "read", file: name })?;
    Ok(SegmentHeader::decode(&bytes))
}

/// A file without a valid header may have been about to be used (again). But a header is synced before records of
/// its generation are written: such records without it are damage.
fn check_headless<D: Disk>(disk: &mut D, ring: &Ring, segments: &[Segment]) -> Result<(), StorageError> {
    for (index, file) in ring.files.iter().enumerate() {
        if segments.iter().any(|segment| segment.file == index) {
            continue;
        }
        let mut reader = SegmentReader::new(disk, &file.name);
        let first = reader.record_at(PAGE)?;
        if first.is_some_and(|record| record.header.generation > ring.newest_generation) {
            let problem = "records of a newer generation without a header";
            return CorruptSnafu { file: file.name.clone(), offset: 0u64, problem }.fail();
        }
    }
    Ok(())
}

/// The segments of which newer ones have not voided everything, oldest first.
fn valid_chain(mut segments: Vec<Segment>) -> Vec<Segment> {
    segments.sort_unstable_by_key(|segment| std::cmp::Reverse(segment.generation));
    let mut limit = u64::MAX;
    segments.retain(|segment| {
        let counts = segment.first < limit;
        limit = limit.min(segment.first);
        counts
    });
    segments.reverse();
    segments
}

fn walk_from_newest_checkpoint<D: Disk>(
    disk: &mut D,
    mut ring: Ring,
    chain: Vec<Segment>,
) -> Result<Replay, StorageError> {
    let is_start = |segment: &Segment| segment.starts_checkpoint || segment.first == FIRST_SEQUENCE;
    let starts: Vec<usize> =
        (0..chain.len()).rev().filter(|at| chain.get(*at).is_some_and(is_start)).collect();
    for start in starts {
        let segments = chain.get(start..).unwrap_or_default();
        let mut walk = Walk::new(segments);
        walk.run(disk, &ring, segments)?;
        if walk.complete {
            ring.chain = segments.to_vec();
            let in_checkpoint = |segment: &&Segment| segment.first <= walk.checkpoint_end;
            ring.checkpoint_segments = segments.iter().filter(in_checkpoint).count();
            return Ok(Replay { stored: walk.stored, committed: walk.committed, ring });
        }
    }
    let file = chain.first().map(|segment| ring.name(segment.file).to_owned()).unwrap_or_default();
    CorruptSnafu { file, offset: 0u64, problem: "no complete checkpoint leads here" }.fail()
}

/// A record of which parts are still to come.
struct Partial {
    kind: Kind,
    stored: StoredRecord,
}

/// Puts together the records of a chain.
struct Walk {
    /// Whether everything from the chain's start on is known: it is the journal's start, or its checkpoint ended.
    complete: bool,
    stored: Vec<StoredRecord>,
    committed: u64,
    /// Sequence number of the newest checkpoint's end mark; 0 if there is none.
    checkpoint_end: u64,
    staged: Option<Vec<StoredRecord>>,
    partial: Option<Partial>,
}

impl Walk {
    fn new(chain: &[Segment]) -> Self {
        let first = chain.first().map_or(FIRST_SEQUENCE, |segment| segment.first);
        Walk {
            complete: first == FIRST_SEQUENCE,
            stored: Vec::new(),
            committed: first - 1,
            checkpoint_end: 0,
            staged: None,
            partial: None,
        }
    }

    fn run<D: Disk>(&mut self, disk: &mut D, ring: &Ring, chain: &[Segment]) -> Result<(), StorageError> {
        let limits = chain.iter().skip(1).map(|segment| segment.first).chain([u64::MAX]);
        for (segment, limit) in chain.iter().zip(limits) {
            self.read_segment(disk, ring.name(segment.file), segment, limit)?;
        }
        Ok(())
    }

    /// Takes the records of one segment before `limit`.
    fn read_segment<D: Disk>(
        &mut self,
        disk: &mut D,
        file: &str,
        segment: &Segment,
        limit: u64,
    ) -> Result<(), StorageError> {
        let mut reader = SegmentReader::new(disk, file);
        let mut offset = PAGE;
        let mut expected = segment.first;
        while expected < limit {
            let found = if offset < segment.end { reader.record_at(offset)? } else { None };
            let follows = |found: &Found<'_>| {
                found.header.generation == segment.generation && found.header.sequence == expected
            };
            let Some(found) = found.filter(follows) else {
                return check_end(&mut reader, file, segment, offset, expected, limit);
            };
            let taken = self.take(&found.header, found.bytes);
            taken.map_err(|problem| CorruptSnafu { file, offset, problem }.build())?;
            offset = found.next;
            expected += 1;
        }
        Ok(())
    }

    fn take(&mut self, header: &RecordHeader, bytes: &[u8]) -> Result<(), &'static str> {
        let mut partial = match (self.partial.take(), header.first) {
            (None, true) => Partial {
                kind: header.kind,
                stored: StoredRecord { stream: header.stream, bytes: Vec::new() },
            },
            (Some(partial), false)
                if partial.kind == header.kind && partial.stored.stream == header.stream =>
            {
                partial
            }
            _ => return Err("parts of a record do not fit together"),
        };
        partial.stored.bytes.extend_from_slice(bytes);
        if header.last {
            return self.finish(partial, header.sequence);
        }
        self.partial = Some(partial);
        Ok(())
    }

    fn finish(&mut self, Partial { kind, stored }: Partial, sequence: u64) -> Result<(), &'static str> {
        match (kind, &mut self.staged) {
            (Kind::Append, None) if self.complete => {
                self.stored.push(stored);
                self.committed = sequence;
            }
            (Kind::CheckpointBegin, None) => self.staged = Some(Vec::new()),
            (Kind::CheckpointLive, Some(staged)) => staged.push(stored),
            (Kind::CheckpointEnd, Some(staged)) => {
                self.stored = std::mem::take(staged);
                self.staged = None;
                self.complete = true;
                self.committed = sequence;
                self.checkpoint_end = sequence;
            }
            _ => return Err("a record that does not belong there"),
        }
        Ok(())
    }
}

/// Whether the chain may end where no valid record follows.
fn check_end<D: Disk>(
    reader: &mut SegmentReader<'_, D>,
    file: &str,
    segment: &Segment,
    offset: u64,
    expected: u64,
    limit: u64,
) -> Result<(), StorageError> {
    if limit != u64::MAX {
        return CorruptSnafu { file, offset, problem: "records before those of a later file are missing" }
            .fail();
    }
    let proves_damage = |header: &RecordHeader| {
        header.generation == segment.generation && header.sequence > expected && header.synced >= expected
    };
    let proof = reader.search(offset, segment.end, proves_damage)?;
    let problem = "a record that was synced is missing, later ones are there";
    proof.is_none().then_some(()).context(CorruptSnafu { file, offset, problem })
}
