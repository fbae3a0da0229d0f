//! An ordered list of named items, stored as JSON.

use std::collections::{BTreeMap, HashMap};

/// Items in the order in which they were added. A replaced item keeps its position.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemList {
    items_by_position: BTreeMap<u64, StoredItem>,
    positions: HashMap<String, u64>,
    next_position: u64,
}

#[derive(Clone, Debug)]
struct StoredItem {
    name: String,
    json: String,
}

impl ItemList {
    /// Returns the JSON of the item with this name, or `None` if it does not exist.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let position = self.positions.get(name)?;
        self.items_by_position.get(position).map(|item| item.json.as_str())
    }

    /// Returns the name and JSON of each item, in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.items_by_position.values().map(|item| (item.name.as_str(), item.json.as_str()))
    }

    /// Adds or replaces an item. Returns the size of the replaced JSON, in bytes; 0 if the item is new.
    pub(crate) fn insert(&mut self, name: String, json: String) -> usize {
        let position = *self.positions.entry(name.clone()).or_insert(self.next_position);
        self.next_position = self.next_position.max(position + 1);
        let replaced = self.items_by_position.insert(position, StoredItem { name, json });
        replaced.map_or(0, |item| item.json.len())
    }

    /// Removes an item. Returns the size of its JSON, in bytes; 0 if it does not exist.
    pub(crate) fn remove(&mut self, name: &str) -> usize {
        let position = self.positions.remove(name);
        let removed = position.and_then(|position| self.items_by_position.remove(&position));
        removed.map_or(0, |item| item.json.len())
    }

    /// Returns the total size of the JSON of all items, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        self.items_by_position.values().map(|item| item.json.len()).sum()
    }
}
