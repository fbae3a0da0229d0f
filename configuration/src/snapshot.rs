//! The state machine as bytes, for snapshots of the configuration's shard.

use bitcode::{Decode, Encode};
use snafu::ResultExt;

use crate::document::{Document, ItemList, Stored};
use crate::error::{DecodeError, InvalidContentSnafu, UndecodableSnafu};
use crate::log::{LogEntry, Taken, TakenChange};
use crate::state::ConfigState;

/// All that a state holds but what is derived from the document.
#[derive(Encode, Decode)]
struct Saved<'a> {
    version: u64,
    sections: Vec<SavedSection<'a>>,
    log: Vec<LogEntry>,
    taken: Vec<TakenChange>,
    forgotten: Option<u64>,
}

#[derive(Encode, Decode)]
struct SavedSection<'a> {
    key: &'a str,
    content: SavedContent<'a>,
}

#[derive(Encode, Decode)]
enum SavedContent<'a> {
    List(Vec<SavedItem<'a>>),
    Value(&'a str),
}

#[derive(Encode, Decode)]
struct SavedItem<'a> {
    name: &'a str,
    json: &'a str,
}

impl<'a> SavedContent<'a> {
    fn of(stored: &'a Stored) -> Self {
        match stored {
            Stored::Value(json) => SavedContent::Value(json),
            Stored::List(list) => {
                SavedContent::List(list.iter().map(|(name, json)| SavedItem { name, json }).collect())
            }
        }
    }

    fn stored(&self) -> Stored {
        match self {
            SavedContent::Value(json) => Stored::Value((*json).to_owned()),
            SavedContent::List(items) => {
                let mut list = ItemList::default();
                for item in items {
                    list.put(item.name.to_owned(), item.json.to_owned());
                }
                Stored::List(list)
            }
        }
    }
}

impl ConfigState {
    /// All of the state, as bytes; equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let sections = self.document().sections();
        let sections = sections.map(|(key, stored)| SavedSection { key, content: SavedContent::of(stored) });
        bitcode::encode(&Saved {
            version: self.version(),
            sections: sections.collect(),
            log: self.log().entries().cloned().collect(),
            taken: self.taken().iter().collect(),
            forgotten: self.taken().forgotten(),
        })
    }

    /// Reads what [`snapshot`](ConfigState::snapshot) wrote.
    pub fn restore(bytes: &[u8]) -> Result<Self, DecodeError> {
        let saved: Result<Saved<'_>, _> = bitcode::decode(bytes);
        let Ok(saved) = saved else {
            return UndecodableSnafu { length: bytes.len(), expected: "a snapshot" }.fail();
        };
        let mut document = Document::default();
        for section in &saved.sections {
            document.put(section.key.to_owned(), section.content.stored());
        }
        let taken = Taken::restore(saved.taken, saved.forgotten);
        ConfigState::from_parts(saved.version, document, saved.log.into_iter().collect(), taken)
            .context(InvalidContentSnafu)
    }
}
