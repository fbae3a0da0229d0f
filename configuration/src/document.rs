//! The configuration as the operator wrote it, by section and item.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{ConfigItem, ItemKey};

use crate::change_body::{Removal, Section, SectionContent};
use crate::item_list::ItemList;
use crate::keys::VERSION;

/// All sections of the configuration: its keys with their values, but for the version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    sections: BTreeMap<String, StoredSection>,
    bytes: usize,
}

/// A list of named items, or any other value as JSON.
#[derive(Clone, Debug)]
pub(crate) enum StoredSection {
    List(ItemList),
    Value(String),
}

impl StoredSection {
    /// Keys of the items, where `list` is the key of the section itself.
    pub(crate) fn item_keys<'a>(&'a self, list: &'a str) -> impl Iterator<Item = ItemKey> + 'a {
        self.items().map(move |(name, _)| ItemKey { list: list.to_owned(), name: name.to_owned() })
    }

    /// Names and JSON of the items; a value that is no list is one item with an empty name.
    pub(crate) fn items(&self) -> impl Iterator<Item = (&str, &str)> {
        let (list, value) = match self {
            StoredSection::List(list) => (Some(list), None),
            StoredSection::Value(json) => (None, Some(("", json.as_str()))),
        };
        list.into_iter().flat_map(ItemList::iter).chain(value)
    }

    fn bytes(&self) -> usize {
        match self {
            StoredSection::List(list) => list.bytes(),
            StoredSection::Value(json) => json.len(),
        }
    }
}

impl Document {
    /// The section of a key.
    pub(crate) fn section(&self, key: &str) -> Option<&StoredSection> {
        self.sections.get(key)
    }

    /// All sections with their keys, sorted.
    pub(crate) fn sections(&self) -> impl Iterator<Item = (&str, &StoredSection)> {
        self.sections.iter().map(|(key, section)| (key.as_str(), section))
    }

    /// An item, as updates hold it.
    pub(crate) fn item(&self, key: &ItemKey) -> Option<ConfigItem> {
        let json = match self.sections.get(&key.list)? {
            StoredSection::List(list) => list.get(&key.name)?,
            StoredSection::Value(json) if key.name.is_empty() => json,
            StoredSection::Value(_) => return None,
        };
        Some(ConfigItem { key: key.clone(), json: json.to_owned() })
    }

    /// Size of keys and values, in bytes: near to that of [`to_json`](Document::to_json).
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds or replaces a section as a whole.
    pub(crate) fn insert(&mut self, key: String, section: StoredSection) {
        self.bytes += section.bytes();
        let key_bytes = key.len();
        match self.sections.insert(key, section) {
            Some(replaced) => self.bytes -= replaced.bytes(),
            None => self.bytes += key_bytes,
        }
    }

    /// Removes items by name. A list that this empties stays.
    pub(crate) fn remove(&mut self, removal: &Removal) {
        if let Some(StoredSection::List(list)) = self.sections.get_mut(&removal.list) {
            self.bytes -= removal.names.iter().map(|name| list.remove(name)).sum::<usize>();
        }
    }

    /// Adds or replaces the items of a section; other items of the same list stay.
    pub(crate) fn upsert(&mut self, section: Section) {
        let items = match section.content {
            SectionContent::Value(item) => {
                return self.insert(section.key, StoredSection::Value(item.json));
            }
            SectionContent::List(items) => items,
        };
        if !matches!(self.sections.get(&section.key), Some(StoredSection::List(_))) {
            self.insert(section.key.clone(), StoredSection::List(ItemList::default()));
        }
        if let Some(StoredSection::List(list)) = self.sections.get_mut(&section.key) {
            for item in items {
                self.bytes += item.json.len();
                self.bytes -= list.insert(item.key.name, item.json);
            }
        }
    }

    /// The configuration with its version as JSON.
    pub(crate) fn to_json(&self, version: u64) -> Vec<u8> {
        let mut text = format!("{{\"{VERSION}\":{version}");
        text.reserve(self.bytes);
        for (key, section) in self.sections() {
            text.push(',');
            text.push_str(&quoted(key));
            text.push(':');
            match section {
                StoredSection::Value(json) => text.push_str(json),
                StoredSection::List(list) => push_list(&mut text, list),
            }
        }
        text.push('}');
        text.into_bytes()
    }
}

fn push_list(text: &mut String, list: &ItemList) {
    text.push('[');
    for (index, (_, json)) in list.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(json);
    }
    text.push(']');
}

/// A text as a JSON string.
fn quoted(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            control if control < ' ' => quoted.push_str(&format!("\\u{:04x}", u32::from(control))),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}
