//! What a change comes to: the items that differ afterwards.

use std::collections::{BTreeSet, HashSet};

use shaletrail_protocol::internal::ItemKey;

use crate::change::{Change, Content, Section};
use crate::document::{Document, Stored};
use crate::reading::Item;

/// Items that differ once a change is applied. No key stands in both lists.
#[derive(Debug, Default)]
pub(crate) struct Plan<'c> {
    /// Added or replaced.
    pub(crate) upsert: Vec<&'c Item>,
    /// Removed.
    pub(crate) remove: Vec<ItemKey>,
}

impl<'c> Plan<'c> {
    /// Compares a change with the configuration that it builds on.
    pub(crate) fn of(document: &Document, change: &'c Change) -> Plan<'c> {
        let mut plan = Plan::default();
        for section in &change.sections {
            plan.compare(document.section(&section.key), section, change.whole);
        }
        if change.whole {
            plan.drop_missing_sections(document, change);
        } else {
            plan.remove_named(document, change);
        }
        plan
    }

    /// Keys of all items that differ.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &ItemKey> {
        self.upsert.iter().map(|item| &item.key).chain(&self.remove)
    }

    fn compare(&mut self, old: Option<&Stored>, section: &'c Section, whole: bool) {
        match (&section.content, old) {
            (Content::Value(item), Some(Stored::Value(json))) if *json == item.json => {}
            (Content::Value(item), old) => {
                if let Some(list @ Stored::List(_)) = old {
                    self.remove.extend(list.keys(&section.key));
                }
                self.upsert.push(item);
            }
            (Content::List(items), Some(Stored::List(list))) => {
                let differs = |item: &&Item| list.get(&item.key.name) != Some(item.json.as_str());
                self.upsert.extend(items.iter().filter(differs));
                if whole {
                    let names = names(items);
                    let gone = list.iter().map(|(name, _)| name).filter(|name| !names.contains(name));
                    self.remove.extend(gone.map(|name| key(&section.key, name)));
                }
            }
            (Content::List(items), old) => {
                self.remove.extend(old.into_iter().flat_map(|value| value.keys(&section.key)));
                self.upsert.extend(items);
            }
        }
    }

    fn drop_missing_sections(&mut self, document: &Document, change: &Change) {
        let kept: HashSet<&str> = change.sections.iter().map(|section| section.key.as_str()).collect();
        let gone = document.sections().filter(|(key, _)| !kept.contains(key));
        self.remove.extend(gone.flat_map(|(key, stored)| stored.keys(key)));
    }

    /// What an update removes by name, unless the same update brings it back.
    fn remove_named(&mut self, document: &Document, change: &Change) {
        for removal in &change.removals {
            let Some(Stored::List(list)) = document.section(&removal.list) else { continue };
            let section = change.sections.iter().find(|section| section.key == removal.list);
            let brought = match section.map(|section| &section.content) {
                Some(Content::List(items)) => names(items),
                Some(Content::Value(_)) => continue,
                None => HashSet::new(),
            };
            // Sorted and each once, so that all replicas come to the same plan.
            let names: BTreeSet<&str> = removal.names.iter().map(String::as_str).collect();
            let gone = names.into_iter().filter(|name| list.get(name).is_some() && !brought.contains(name));
            self.remove.extend(gone.map(|name| key(&removal.list, name)));
        }
    }
}

fn names(items: &[Item]) -> HashSet<&str> {
    items.iter().map(|item| item.key.name.as_str()).collect()
}

fn key(list: &str, name: &str) -> ItemKey {
    ItemKey { list: list.to_owned(), name: name.to_owned() }
}
