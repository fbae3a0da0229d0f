//! The configuration as the operator wrote it, item by item.

use std::collections::{BTreeMap, HashMap};

use shaletrail_protocol::internal::{ConfigItem, ItemKey};

use crate::change::{Content, Removal, Section, VERSION};

/// What stands under the keys of the configuration, but for its version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    sections: BTreeMap<String, Stored>,
    bytes: usize,
}

/// A list of named items, or any other value as JSON.
#[derive(Clone, Debug)]
pub(crate) enum Stored {
    List(ItemList),
    Value(String),
}

/// Items in the order in which they came; one that is replaced keeps its place.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemList {
    items: BTreeMap<u64, StoredItem>,
    positions: HashMap<String, u64>,
    next: u64,
}

#[derive(Clone, Debug)]
struct StoredItem {
    name: String,
    json: String,
}

impl ItemList {
    /// The JSON of an item.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.items.get(self.positions.get(name)?).map(|item| item.json.as_str())
    }

    /// Names and JSON of all items, in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.items.values().map(|item| (item.name.as_str(), item.json.as_str()))
    }

    /// Adds or replaces an item; returns the bytes of what was there.
    pub(crate) fn put(&mut self, name: String, json: String) -> usize {
        let position = *self.positions.entry(name.clone()).or_insert(self.next);
        self.next = self.next.max(position + 1);
        self.items.insert(position, StoredItem { name, json }).map_or(0, |old| old.bytes())
    }

    /// Removes an item; returns the bytes of what was there.
    fn remove(&mut self, name: &str) -> usize {
        let item = self.positions.remove(name).and_then(|position| self.items.remove(&position));
        item.map_or(0, |old| old.bytes())
    }

    fn bytes(&self) -> usize {
        self.items.values().map(StoredItem::bytes).sum()
    }
}

impl StoredItem {
    fn bytes(&self) -> usize {
        self.json.len()
    }
}

impl Stored {
    /// Keys of the items.
    pub(crate) fn keys<'a>(&'a self, list: &'a str) -> impl Iterator<Item = ItemKey> + 'a {
        self.items().map(move |(name, _)| ItemKey { list: list.to_owned(), name: name.to_owned() })
    }

    /// Names and JSON; a value that is no list has an empty name.
    pub(crate) fn items(&self) -> impl Iterator<Item = (&str, &str)> {
        let (list, value) = match self {
            Stored::List(list) => (Some(list), None),
            Stored::Value(json) => (None, Some(("", json.as_str()))),
        };
        list.into_iter().flat_map(ItemList::iter).chain(value)
    }

    fn bytes(&self) -> usize {
        match self {
            Stored::List(list) => list.bytes(),
            Stored::Value(json) => json.len(),
        }
    }
}

impl Document {
    /// What stands under a key.
    pub(crate) fn section(&self, key: &str) -> Option<&Stored> {
        self.sections.get(key)
    }

    /// All keys with what stands under them, sorted.
    pub(crate) fn sections(&self) -> impl Iterator<Item = (&str, &Stored)> {
        self.sections.iter().map(|(key, stored)| (key.as_str(), stored))
    }

    /// The item of a key, as edges take it.
    pub(crate) fn item(&self, key: &ItemKey) -> Option<ConfigItem> {
        let json = match self.sections.get(&key.list)? {
            Stored::List(list) => list.get(&key.name)?,
            Stored::Value(json) if key.name.is_empty() => json,
            Stored::Value(_) => return None,
        };
        Some(ConfigItem { key: key.clone(), json: json.to_owned() })
    }

    /// Bytes of keys and values, near to what [`read`](Document::read) gives.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Puts a whole section in; what was there goes.
    pub(crate) fn put(&mut self, key: String, stored: Stored) {
        self.bytes += stored.bytes();
        let length = key.len();
        match self.sections.insert(key, stored) {
            Some(old) => self.bytes -= old.bytes(),
            None => self.bytes += length,
        }
    }

    /// Removes items by name.
    pub(crate) fn remove(&mut self, removal: &Removal) {
        if let Some(Stored::List(list)) = self.sections.get_mut(&removal.list) {
            self.bytes -= removal.names.iter().map(|name| list.remove(name)).sum::<usize>();
        }
    }

    /// Adds or replaces what a section names, and leaves the other items of its list as they are.
    pub(crate) fn upsert(&mut self, section: Section) {
        let items = match section.content {
            Content::Value(item) => return self.put(section.key, Stored::Value(item.json)),
            Content::List(items) => items,
        };
        if !matches!(self.sections.get(&section.key), Some(Stored::List(_))) {
            self.put(section.key.clone(), Stored::List(ItemList::default()));
        }
        if let Some(Stored::List(list)) = self.sections.get_mut(&section.key) {
            for item in items {
                self.bytes += item.json.len();
                self.bytes -= list.put(item.key.name, item.json);
            }
        }
    }

    /// The whole configuration as JSON.
    pub(crate) fn read(&self, version: u64) -> Vec<u8> {
        let mut text = format!("{{\"{VERSION}\":{version}");
        text.reserve(self.bytes);
        for (key, stored) in self.sections() {
            text.push(',');
            text.push_str(&quoted(key));
            text.push(':');
            match stored {
                Stored::Value(json) => text.push_str(json),
                Stored::List(list) => push_list(&mut text, list),
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
