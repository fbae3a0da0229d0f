//! The difference between the current configuration and the configuration after a change, item by item.

use std::borrow::Cow;
use std::collections::{BTreeSet, HashSet};

use shaletrail_protocol::internal::ItemKey;

use crate::change::{Change, ChangeKind};
use crate::change_body::{Section, SectionContent};
use crate::document::{Document, StoredSection};
use crate::item::Item;
use crate::keys::ROUTES;

/// Items to add, replace and remove. No key occurs in both fields.
#[derive(Debug, Default)]
pub(crate) struct ConfigDiff<'a> {
    /// Items to add or replace.
    pub(crate) upsert: Vec<&'a Item>,
    /// Keys of items to remove.
    pub(crate) remove: Cow<'a, [ItemKey]>,
}

impl<'a> ConfigDiff<'a> {
    /// Computes the difference that a change makes to the configuration that it is based on.
    pub(crate) fn between(document: &Document, change: &'a Change) -> ConfigDiff<'a> {
        let mut diff = ConfigDiff::default();
        for section in &change.sections {
            diff.compare_section(document.section(&section.key), section, change.kind);
        }
        match change.kind {
            ChangeKind::Replace => diff.remove_missing_sections(document, change),
            ChangeKind::Update => diff.remove_named_items(document, change),
        }
        diff
    }

    /// Returns the keys of all items that are added, replaced or removed.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &ItemKey> {
        self.upsert.iter().map(|item| &item.key).chain(self.remove.iter())
    }

    /// Returns the names of the items of `list` that are added or replaced.
    pub(crate) fn upserted_names<'b>(&'b self, list: &'b str) -> impl Iterator<Item = &'b str> {
        let keys = self.upsert.iter().map(|item| &item.key);
        keys.filter(move |key| key.list == list).map(|key| key.name.as_str())
    }

    /// Returns the names of the items of `list` that are removed.
    pub(crate) fn removed_names<'b>(&'b self, list: &'b str) -> impl Iterator<Item = &'b str> {
        self.remove.iter().filter(move |key| key.list == list).map(|key| key.name.as_str())
    }

    /// Returns the names of the routes that are added, replaced or removed.
    pub(crate) fn changed_route_names(&self) -> impl Iterator<Item = &str> {
        self.removed_names(ROUTES).chain(self.upserted_names(ROUTES))
    }

    fn compare_section(&mut self, current: Option<&StoredSection>, section: &'a Section, kind: ChangeKind) {
        match (&section.content, current) {
            (SectionContent::Value(item), Some(StoredSection::Value(json))) if *json == item.json => {}
            (SectionContent::Value(item), current) => {
                if let Some(list @ StoredSection::List(_)) = current {
                    self.remove.to_mut().extend(list.item_keys(&section.key));
                }
                self.upsert.push(item);
            }
            (SectionContent::List(items), Some(StoredSection::List(list))) => {
                let differs = |item: &&Item| list.get(&item.key.name) != Some(item.json.as_str());
                self.upsert.extend(items.iter().filter(differs));
                if kind == ChangeKind::Replace {
                    let names = item_names(items);
                    let removed = list.iter().map(|(name, _)| name).filter(|name| !names.contains(name));
                    self.remove.to_mut().extend(removed.map(|name| item_key(&section.key, name)));
                }
            }
            (SectionContent::List(items), current) => {
                let removed = current.into_iter().flat_map(|value| value.item_keys(&section.key));
                self.remove.to_mut().extend(removed);
                self.upsert.extend(items);
            }
        }
    }

    fn remove_missing_sections(&mut self, document: &Document, change: &Change) {
        let remaining: HashSet<&str> = change.sections.iter().map(|section| section.key.as_str()).collect();
        let removed = document.sections().filter(|(key, _)| !remaining.contains(key));
        self.remove.to_mut().extend(removed.flat_map(|(key, section)| section.item_keys(key)));
    }

    /// Adds the removals that an update names, except of items that the same update upserts.
    fn remove_named_items(&mut self, document: &Document, change: &Change) {
        for removal in &change.removals {
            let Some(StoredSection::List(list)) = document.section(&removal.list) else { continue };
            let section = change.sections.iter().find(|section| section.key == removal.list);
            let upserted = match section.map(|section| &section.content) {
                Some(SectionContent::List(items)) => item_names(items),
                Some(SectionContent::Value(_)) => continue,
                None => HashSet::new(),
            };
            // Sorted and without duplicates, so that all replicas compute the same difference.
            let names: BTreeSet<&str> = removal.names.iter().map(String::as_str).collect();
            let is_removed = |name: &&str| list.get(name).is_some() && !upserted.contains(name);
            let removed = names.into_iter().filter(is_removed);
            self.remove.to_mut().extend(removed.map(|name| item_key(&removal.list, name)));
        }
    }
}

fn item_names(items: &[Item]) -> HashSet<&str> {
    items.iter().map(|item| item.key.name.as_str()).collect()
}

fn item_key(list: &str, name: &str) -> ItemKey {
    ItemKey { list: list.to_owned(), name: name.to_owned() }
}
