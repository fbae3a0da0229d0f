//! The stored configuration: the JSON that the operator wrote, by section and item.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::{ConfigItem, ItemKey};

use crate::change_body::{Removal, Section, SectionContent};
use crate::item_list::ItemList;
use crate::keys::VERSION;

/// All sections of the configuration, that is, its top-level keys and values except for the version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    sections: BTreeMap<String, StoredSection>,
    /// Size of all keys and values, in bytes.
    size_bytes: usize,
}

/// The value of a section: a list of named items, or any other value as JSON.
#[derive(Clone, Debug)]
pub(crate) enum StoredSection {
    List(ItemList),
    Value(String),
}

impl StoredSection {
    /// Returns the keys of the section's items. `list` is the key of the section itself.
    pub(crate) fn item_keys<'a>(&'a self, list: &'a str) -> impl Iterator<Item = ItemKey> + 'a {
        self.items().map(move |(name, _)| ItemKey { list: list.to_owned(), name: name.to_owned() })
    }

    /// Returns the name and JSON of each item. A value that is not a list counts as one item with an empty name.
    pub(crate) fn items(&self) -> impl Iterator<Item = (&str, &str)> {
        let (list, value) = match self {
            StoredSection::List(list) => (Some(list), None),
            StoredSection::Value(json) => (None, Some(("", json.as_str()))),
        };
        list.into_iter().flat_map(ItemList::iter).chain(value)
    }

    fn size_bytes(&self) -> usize {
        match self {
            StoredSection::List(list) => list.size_bytes(),
            StoredSection::Value(json) => json.len(),
        }
    }
}

impl Document {
    /// Returns the section at a key, or `None` if the configuration does not have it.
    pub(crate) fn section(&self, key: &str) -> Option<&StoredSection> {
        self.sections.get(key)
    }

    /// Returns all sections with their keys, sorted by key.
    pub(crate) fn sections(&self) -> impl Iterator<Item = (&str, &StoredSection)> {
        self.sections.iter().map(|(key, section)| (key.as_str(), section))
    }

    /// Returns the item with this key in the form that updates contain, or `None` if it does not exist.
    pub(crate) fn item(&self, key: &ItemKey) -> Option<ConfigItem> {
        let json = match self.sections.get(&key.list)? {
            StoredSection::List(list) => list.get(&key.name)?,
            StoredSection::Value(json) if key.name.is_empty() => json,
            StoredSection::Value(_) => return None,
        };
        Some(ConfigItem { key: key.clone(), json: json.to_owned() })
    }

    /// Returns the size of all keys and values, in bytes. This is close to the size of the result
    /// of [`to_json`](Document::to_json).
    pub(crate) fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Adds a section, or replaces it completely.
    pub(crate) fn insert(&mut self, key: String, section: StoredSection) {
        self.size_bytes += section.size_bytes();
        let key_bytes = key.len();
        match self.sections.insert(key, section) {
            Some(replaced) => self.size_bytes -= replaced.size_bytes(),
            None => self.size_bytes += key_bytes,
        }
    }

    /// Removes items by name. A list that becomes empty is kept.
    pub(crate) fn remove(&mut self, removal: &Removal) {
        if let Some(StoredSection::List(list)) = self.sections.get_mut(&removal.list) {
            self.size_bytes -= removal.names.iter().map(|name| list.remove(name)).sum::<usize>();
        }
    }

    /// Adds or replaces the items of a section; other items of the same list are kept.
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
                self.size_bytes += item.json.len();
                self.size_bytes -= list.insert(item.key.name, item.json);
            }
        }
    }

    /// Returns the complete configuration, including its version, as JSON.
    pub(crate) fn to_json(&self, version: u64) -> Vec<u8> {
        let mut text = format!("{{\"{VERSION}\":{version}");
        text.reserve(self.size_bytes);
        for (key, section) in self.sections() {
            text.push(',');
            text.push_str(&json_string(key));
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

/// Returns the text as a JSON string literal.
fn json_string(text: &str) -> String {
    let mut literal = String::with_capacity(text.len() + 2);
    literal.push('"');
    for character in text.chars() {
        match character {
            '"' | '\\' => literal.extend(['\\', character]),
            control if control < ' ' => literal.push_str(&format!("\\u{:04x}", u32::from(control))),
            other => literal.push(other),
        }
    }
    literal.push('"');
    literal
}
