//! The journal in a real directory, and errors returned by the operating system.

mod support;

use std::io;

use shaletrail_storage::{Disk, Journal, Options, StoredRecord};
use support::TempDirectory;

#[test]
fn journal_in_a_real_directory_is_recovered() {
    // given
    let directory = TempDirectory::new("journal");
    let options =
        Options { file_bytes: 16 << 10, initial_files: 2, max_files: 12, max_record_bytes: 1 << 20 };
    let mut journal = Journal::open(directory.disk(), &options).expect("the journal opens").journal;
    for number in 0..60 {
        journal.append(number, vec![number as u8; 1_000]).expect("the record is short");
        journal.sync().expect("the directory can be written");
        if journal.wants_checkpoint() {
            journal.checkpoint(&[(100 + number, b"live".to_vec())]).expect("a checkpoint fits");
        }
    }
    journal.checkpoint(&[(1, b"all".to_vec())]).expect("a checkpoint fits");
    journal.append(2, vec![7; 40_000]).expect("the record is within the limit");
    journal.sync().expect("the directory can be written");
    // when
    drop(journal);
    let opened = Journal::open(directory.disk(), &options).expect("the journal opens");
    // then
    let expected = [
        StoredRecord { stream: 1, bytes: b"all".to_vec() },
        StoredRecord { stream: 2, bytes: vec![7; 40_000] },
    ];
    assert_eq!(opened.stored, expected);
    assert!(!opened.fresh);
}

#[test]
fn created_and_removed_files_are_listed() {
    // given
    let directory = TempDirectory::new("names");
    let mut disk = directory.disk();
    disk.create("b", 10).expect("a file can be created");
    disk.create("a", 5).expect("a file can be created");
    // when
    disk.write_at("a", 3, b"xyz").expect("it can be written");
    disk.remove("b").expect("it can be removed");
    disk.sync("a").expect("it can be synced");
    disk.sync_directory().expect("the directory can be synced");
    // then
    assert_eq!(disk.list().expect("it can be listed"), ["a"]);
    assert_eq!(disk.read_at("a", 2, 100).expect("it can be read"), b"\0xyz");
    assert!(disk.read_at("b", 0, 1).is_err());
}

#[test]
fn failed_sync_of_a_file_is_returned() {
    // given: a device that the operating system refuses to sync.
    let directory = TempDirectory::new("unsyncable-file");
    let mut disk = directory.disk();
    std::os::unix::fs::symlink("/dev/null", directory.path.join("ring-0000")).expect("a link can be created");
    disk.write_at("ring-0000", 0, b"taken").expect("the device accepts every write");
    // when
    let synced = disk.sync("ring-0000");
    // then
    assert_eq!(synced.expect_err("it cannot be synced").kind(), io::ErrorKind::InvalidInput);
}

#[test]
fn failed_sync_of_the_directory_is_returned() {
    // given: the directory is replaced by a device that the operating system refuses to sync.
    let directory = TempDirectory::new("unsyncable-directory");
    let mut disk = directory.disk();
    disk.sync_directory().expect("a directory can be synced");
    std::fs::remove_dir(&directory.path).expect("it is empty");
    std::os::unix::fs::symlink("/dev/null", &directory.path).expect("a link can be created");
    // when
    let synced = disk.sync_directory();
    std::fs::remove_file(&directory.path).expect("the link can be removed");
    // then
    assert_eq!(synced.expect_err("it cannot be synced").kind(), io::ErrorKind::InvalidInput);
}

#[test]
fn write_to_a_full_device_fails() {
    // given
    let directory = TempDirectory::new("full");
    let mut disk = directory.disk();
    std::os::unix::fs::symlink("/dev/full", directory.path.join("ring-0000")).expect("a link can be created");
    // when
    let written = disk.write_at("ring-0000", 4096, b"record");
    // then
    assert_eq!(written.expect_err("the device is full").kind(), io::ErrorKind::StorageFull);
}
