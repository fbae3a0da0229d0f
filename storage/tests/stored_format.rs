//! The on-disk format of a journal: checks the bytes that the journal writes for appends and a checkpoint against a
//! fixture, and that a journal made from the fixture can be read.
//!
//! If one of these tests fails, deployed journals may be unreadable after an upgrade, and each voter would lose its
//! state. Do not update the fixture: restore the format, or give the new format its own magic number and keep reading
//! the old one.

#[path = "../../protocol/tests/support/stored.rs"]
mod bytes;
mod support;

use std::fs;
use std::os::unix::fs::FileExt;

use bytes::StoredBytes;
use shaletrail_storage::fragment::{self, RecordKind};
use shaletrail_storage::segment_header::{self, SegmentHeader, PAGE_BYTES};
use shaletrail_storage::{DirectoryDisk, Journal, OpenedJournal, Options, StoredRecord};
use support::{stored, TempDirectory};

const FILE_BYTES: u64 = 16 << 10;
/// The files of the stored journal that contain a segment, in ascending order of generation.
const FILES: [&str; 2] = ["ring-0000", "ring-0001"];
/// The file of the stored journal that contains no segment.
const EMPTY_FILE: &str = "ring-0002";

/// A temporary directory for a journal.
struct JournalDirectory(TempDirectory);

impl JournalDirectory {
    fn new(name: &str) -> Self {
        JournalDirectory(TempDirectory::new(name))
    }

    fn open(&self) -> OpenedJournal<DirectoryDisk> {
        let options =
            Options { file_bytes: FILE_BYTES, initial_files: 3, max_files: 8, max_record_bytes: 1 << 10 };
        Journal::open(self.0.disk(), &options).expect("the journal opens")
    }

    /// Returns the header and the fragments of a file, without the zeros after the last fragment.
    fn read_file(&self, name: &str) -> (Vec<u8>, Vec<u8>) {
        let content = fs::read(self.0.path.join(name)).expect("the file exists");
        assert_eq!(content.len() as u64, FILE_BYTES, "{name}");
        let (page, records) = content.split_at(PAGE_BYTES as usize);
        let (header, rest) = page.split_at(segment_header::HEADER_BYTES);
        assert!(rest.iter().all(|byte| *byte == 0), "{name}: only zeros follow the header in its page");
        let end = records.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        (header.to_vec(), records[..end].to_vec())
    }

    /// Creates a file of a journal from a header and fragments.
    fn create_file(&self, name: &str, header: &[u8], records: &[u8]) {
        fs::create_dir_all(&self.0.path).expect("the directory can be created");
        let file = fs::File::create(self.0.path.join(name)).expect("the file can be created");
        file.set_len(FILE_BYTES).expect("the file can be extended");
        file.write_all_at(header, 0).expect("the header is written");
        file.write_all_at(records, PAGE_BYTES).expect("the records are written");
    }
}

/// Writes the journal that the fixture describes: two syncs, a checkpoint and one more append.
fn write_journal(directory: &JournalDirectory) {
    let mut journal = directory.open().journal;
    journal.append(1, b"first".to_vec()).expect("the record is short");
    journal.append(7, Vec::new()).expect("the record is short");
    journal.sync().expect("the disk has no faults");
    journal.append(2, b"second, longer than eight bytes".to_vec()).expect("the record is short");
    journal.sync().expect("the disk has no faults");
    let live = [(3, b"live one".to_vec()), (4, b"live two".to_vec())];
    journal.checkpoint(&live).expect("a checkpoint fits");
    journal.append(1_000, b"after the checkpoint".to_vec()).expect("the record is short");
    journal.sync().expect("the disk has no faults");
}

fn fixture() -> StoredBytes {
    StoredBytes::read(include_str!("fixtures/stored_format.txt"), "")
}

/// The records that recovery finds in the stored journal: those since the checkpoint.
fn live_records() -> [StoredRecord; 3] {
    [stored(3, b"live one"), stored(4, b"live two"), stored(1_000, b"after the checkpoint")]
}

#[test]
fn journal_files_match_the_stored_fixture() {
    // given
    let (written, read) = (JournalDirectory::new("written"), JournalDirectory::new("read"));
    let mut fixture = fixture();

    // when
    write_journal(&written);
    for name in FILES {
        let (header, records) = written.read_file(name);
        let header = fixture.bytes(&format!("{name} header"), &header);
        let records = fixture.bytes(&format!("{name} records"), &records);
        read.create_file(name, &header, &records);
    }
    fixture.finish();
    assert_eq!(written.read_file(EMPTY_FILE), (vec![0; segment_header::HEADER_BYTES], Vec::new()));
    read.create_file(EMPTY_FILE, &[], &[]);

    // then
    let OpenedJournal { mut journal, stored: found, fresh, had_files, .. } = read.open();
    assert_eq!((found, fresh, had_files), (live_records().to_vec(), false, true));
    journal.append(5, b"later".to_vec()).expect("the record is short");
    journal.sync().expect("the disk has no faults");
    drop(journal);
    let all: Vec<StoredRecord> = live_records().into_iter().chain([stored(5, b"later")]).collect();
    assert_eq!(read.open().stored, all);
}

#[test]
fn stored_headers_and_fragments_decode() {
    // given
    let directory = JournalDirectory::new("decoded");
    write_journal(&directory);

    // when
    let files = FILES.map(|name| directory.read_file(name));
    let headers: Vec<SegmentHeader> =
        files.iter().filter_map(|(header, _)| SegmentHeader::decode(header)).collect();
    let records = files.iter().flat_map(|(_, records)| decode_all(records)).collect::<Vec<_>>();

    // then
    let segment = |generation, first_sequence, starts_checkpoint| SegmentHeader {
        generation,
        first_sequence,
        starts_checkpoint,
        end_offset: FILE_BYTES,
    };
    assert_eq!(headers, [segment(1, 1, false), segment(2, 4, true)]);
    let expected = [
        (1, 1, RecordKind::Append),
        (2, 7, RecordKind::Append),
        (3, 2, RecordKind::Append),
        (4, 0, RecordKind::CheckpointBegin),
        (5, 3, RecordKind::CheckpointLive),
        (6, 4, RecordKind::CheckpointLive),
        (7, 0, RecordKind::CheckpointEnd),
        (8, 1_000, RecordKind::Append),
    ];
    assert_eq!(records, expected);
}

/// Returns the sequence number, stream and kind of each fragment.
fn decode_all(records: &[u8]) -> Vec<(u64, u32, RecordKind)> {
    let mut rest = records.to_vec();
    rest.resize(records.len().next_multiple_of(fragment::ALIGNMENT), 0);
    let mut found = Vec::new();
    let mut at = 0;
    while let Some((header, bytes)) = rest.get(at..).and_then(fragment::decode) {
        assert!(header.is_first && header.is_last, "all records are short");
        found.push((header.sequence, header.stream, header.kind));
        at += fragment::encoded_len(bytes.len());
    }
    found
}
