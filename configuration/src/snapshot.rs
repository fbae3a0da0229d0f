//! Encoding of the state machine in snapshots of the configuration shard.

use bitcode::{Decode, Encode};
use snafu::ResultExt;

use crate::change_log::ChangeLogEntry;
use crate::dedup_window::{AppliedChange, DedupWindow};
use crate::document::{Document, StoredSection};
use crate::error::{DecodeError, InvalidContentSnafu, UndecodableSnafu};
use crate::item_list::ItemList;
use crate::state::ConfigState;

/// The encoded state, without the parts that are derived from the document.
#[derive(Encode, Decode)]
struct Snapshot<'a> {
    version: u64,
    sections: Vec<SnapshotSection<'a>>,
    change_log: Vec<ChangeLogEntry>,
    applied_changes: Vec<AppliedChange>,
    newest_evicted_base: Option<u64>,
}

#[derive(Encode, Decode)]
struct SnapshotSection<'a> {
    key: &'a str,
    content: SnapshotContent<'a>,
}

#[derive(Encode, Decode)]
enum SnapshotContent<'a> {
    List(Vec<SnapshotItem<'a>>),
    Value(&'a str),
}

#[derive(Encode, Decode)]
struct SnapshotItem<'a> {
    name: &'a str,
    json: &'a str,
}

impl<'a> From<&'a StoredSection> for SnapshotContent<'a> {
    fn from(section: &'a StoredSection) -> Self {
        match section {
            StoredSection::Value(json) => SnapshotContent::Value(json),
            StoredSection::List(list) => {
                SnapshotContent::List(list.iter().map(|(name, json)| SnapshotItem { name, json }).collect())
            }
        }
    }
}

impl From<&SnapshotContent<'_>> for StoredSection {
    fn from(content: &SnapshotContent<'_>) -> Self {
        match content {
            SnapshotContent::Value(json) => StoredSection::Value((*json).to_owned()),
            SnapshotContent::List(items) => {
                let mut list = ItemList::default();
                for item in items {
                    list.insert(item.name.to_owned(), item.json.to_owned());
                }
                StoredSection::List(list)
            }
        }
    }
}

impl ConfigState {
    /// Encodes the state. Equal states have equal encodings.
    pub fn snapshot(&self) -> Vec<u8> {
        let sections = self.document().sections();
        let sections = sections.map(|(key, section)| SnapshotSection { key, content: section.into() });
        bitcode::encode(&Snapshot {
            version: self.version(),
            sections: sections.collect(),
            change_log: self.change_log().entries().cloned().collect(),
            applied_changes: self.dedup_window().iter().collect(),
            newest_evicted_base: self.dedup_window().newest_evicted_base(),
        })
    }

    /// Restores the state from the bytes that [`snapshot`](ConfigState::snapshot) returned.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be decoded, or the configuration in them is invalid.
    pub fn restore(bytes: &[u8]) -> Result<Self, DecodeError> {
        let decoded: Result<Snapshot<'_>, _> = bitcode::decode(bytes);
        let Ok(snapshot) = decoded else {
            return UndecodableSnafu { length: bytes.len(), expected: "a snapshot" }.fail();
        };
        let mut document = Document::default();
        for section in &snapshot.sections {
            document.insert(section.key.to_owned(), (&section.content).into());
        }
        let change_log = snapshot.change_log.into_iter().collect();
        let dedup_window = DedupWindow::restore(snapshot.applied_changes, snapshot.newest_evicted_base);
        ConfigState::from_parts(snapshot.version, document, change_log, dedup_window)
            .context(InvalidContentSnafu)
    }
}
