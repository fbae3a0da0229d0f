//! The bytes of a whole journal: what stands in its files after appends and a checkpoint, and that such a folder of an
//! earlier build is read.
//!
//! If one of these tests turns red, journals that are out there may no longer be read, which costs each voter its
//! memory at the next release. Don't store new bytes: put the format back, or give the new one a magic number of its
//! own and go on reading the old one.

#[path = "../../protocol/tests/support/stored.rs"]
mod bytes;

use std::fs;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

use bytes::StoredBytes;
use shaletrail_storage::header::{self, SegmentHeader, PAGE};
use shaletrail_storage::record::{self, Kind};
use shaletrail_storage::{FolderDisk, Journal, Opened, Options, StoredRecord};

const FILE_BYTES: u64 = 16 << 10;
/// The files of the stored journal that hold a segment, first to last.
const FILES: [&str; 2] = ["ring-0000", "ring-0001"];
/// Its file that holds nothing yet.
const EMPTY_FILE: &str = "ring-0002";

/// A folder of the test's own, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("shaletrail-stored-format-{}-{name}", std::process::id());
        Folder(std::env::temp_dir().join(name))
    }

    fn open(&self) -> Opened<FolderDisk> {
        let options =
            Options { file_bytes: FILE_BYTES, first_files: 3, max_files: 8, longest_record: 1 << 10 };
        let disk = FolderDisk::open(&self.0).expect("the folder can be used");
        Journal::open(disk, &options).expect("the journal opens")
    }

    /// A file's header, and its records without the zeros after the last.
    fn file(&self, name: &str) -> (Vec<u8>, Vec<u8>) {
        let whole = fs::read(self.0.join(name)).expect("the file is there");
        assert_eq!(whole.len() as u64, FILE_BYTES, "{name}");
        let (page, records) = whole.split_at(PAGE as usize);
        let (header, rest) = page.split_at(header::LENGTH);
        assert!(rest.iter().all(|byte| *byte == 0), "{name}: nothing stands after the header in its page");
        let end = records.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        (header.to_vec(), records[..end].to_vec())
    }

    /// Makes a file of its header and its records.
    fn make_file(&self, name: &str, header: &[u8], records: &[u8]) {
        fs::create_dir_all(&self.0).expect("the folder can be made");
        let file = fs::File::create(self.0.join(name)).expect("the file can be made");
        file.set_len(FILE_BYTES).expect("the file can be made long");
        file.write_all_at(header, 0).expect("the header is written");
        file.write_all_at(records, PAGE).expect("the records are written");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _left_behind = fs::remove_dir_all(&self.0);
    }
}

fn stored(stream: u32, bytes: &[u8]) -> StoredRecord {
    StoredRecord { stream, bytes: bytes.to_vec() }
}

/// Writes the journal whose bytes are stored: two syncs, a checkpoint, one more append.
fn write_journal(folder: &Folder) {
    let mut journal = folder.open().journal;
    journal.append(1, b"first".to_vec()).expect("the record is short");
    journal.append(7, Vec::new()).expect("the record is short");
    journal.sync().expect("the disk is well");
    journal.append(2, b"second, longer than eight bytes".to_vec()).expect("the record is short");
    journal.sync().expect("the disk is well");
    let live = [(3, b"live one".to_vec()), (4, b"live two".to_vec())];
    journal.checkpoint(&live).expect("a checkpoint fits");
    journal.append(1_000, b"after the checkpoint".to_vec()).expect("the record is short");
    journal.sync().expect("the disk is well");
}

fn fixture() -> StoredBytes {
    StoredBytes::read(include_str!("fixtures/stored_format.txt"), "")
}

/// The records of the stored journal that count: those from the checkpoint on.
fn expected() -> [StoredRecord; 3] {
    [stored(3, b"live one"), stored(4, b"live two"), stored(1_000, b"after the checkpoint")]
}

#[test]
fn a_journal_is_written_in_the_same_bytes_and_the_stored_one_is_read() {
    // given
    let (written, read) = (Folder::new("written"), Folder::new("read"));
    let mut fixture = fixture();

    // when
    write_journal(&written);
    for name in FILES {
        let (header, records) = written.file(name);
        let header = fixture.bytes(&format!("{name} header"), &header);
        let records = fixture.bytes(&format!("{name} records"), &records);
        read.make_file(name, &header, &records);
    }
    fixture.finish();
    assert_eq!(written.file(EMPTY_FILE), (vec![0; header::LENGTH], Vec::new()));
    read.make_file(EMPTY_FILE, &[], &[]);

    // then
    let Opened { mut journal, stored: found, fresh, had_files } = read.open();
    assert_eq!((found, fresh, had_files), (expected().to_vec(), false, true));
    journal.append(5, b"later".to_vec()).expect("the record is short");
    journal.sync().expect("the disk is well");
    drop(journal);
    let all: Vec<StoredRecord> = expected().into_iter().chain([stored(5, b"later")]).collect();
    assert_eq!(read.open().stored, all);
}

#[test]
fn headers_and_records_of_the_journal_say_what_they_said() {
    // given
    let folder = Folder::new("decoded");
    write_journal(&folder);

    // when
    let files = FILES.map(|name| folder.file(name));
    let headers: Vec<SegmentHeader> =
        files.iter().filter_map(|(header, _)| SegmentHeader::decode(header)).collect();
    let records = files.iter().flat_map(|(_, records)| decode_all(records)).collect::<Vec<_>>();

    // then
    let segment = |generation, first, starts_checkpoint| SegmentHeader {
        generation,
        first,
        starts_checkpoint,
        end: FILE_BYTES,
    };
    assert_eq!(headers, [segment(1, 1, false), segment(2, 4, true)]);
    let expected = [
        (1, 1, Kind::Append),
        (2, 7, Kind::Append),
        (3, 2, Kind::Append),
        (4, 0, Kind::CheckpointBegin),
        (5, 3, Kind::CheckpointLive),
        (6, 4, Kind::CheckpointLive),
        (7, 0, Kind::CheckpointEnd),
        (8, 1_000, Kind::Append),
    ];
    assert_eq!(records, expected);
}

/// Sequence number, stream and kind of each record.
fn decode_all(records: &[u8]) -> Vec<(u64, u32, Kind)> {
    let mut rest = records.to_vec();
    rest.resize(records.len().next_multiple_of(record::ALIGNMENT), 0);
    let mut found = Vec::new();
    let mut at = 0;
    while let Some((header, bytes)) = rest.get(at..).and_then(record::decode) {
        assert!(header.first && header.last, "all records are short");
        found.push((header.sequence, header.stream, header.kind));
        at += record::span(bytes.len());
    }
    found
}
