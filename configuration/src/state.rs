//! The replicated state machine of the configuration.

use std::collections::{BTreeMap, HashSet};

use shaletrail_protocol::internal::{ConfigUpdate, ItemKey};

use crate::change::Change;
use crate::document::{Document, Stored};
use crate::error::{InvalidConfig, OldVersionSnafu, TooLargeSnafu, UnknownServiceSnafu};
use crate::fields::{shorten, Place};
use crate::log::{ChangeLog, LogEntry, Taken, TakenChange};
use crate::plan::Plan;
use crate::reading::{Item, ROUTES, SERVICES};
use crate::view::{replaced_routes, View};

/// Bytes of the largest configuration that is taken. Whole, it fits into one message between nodes.
///
/// Its snapshot, with the memory of taken changes (100 KB), stays below the journal's longest record of 16 MB: a
/// state that no disk takes could not be made safe.
pub const MAX_CONFIGURATION_BYTES: usize = 12 << 20;

/// What becomes of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is valid on the current version.
    Accepted,
    /// It was taken before and is acknowledged again.
    Duplicate,
    /// It builds on a version so old that a change on it may have been taken and is not remembered: it is not applied,
    /// and must be neither acknowledged nor refused.
    Expired,
    /// It builds on another version than the current one, and was not taken.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// It would make an invalid configuration.
    Invalid(InvalidConfig),
}

/// The configuration, what was changed in it of late, and which changes were taken. Equal on all replicas that
/// have applied the same changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: u64,
    document: Document,
    log: ChangeLog,
    taken: Taken,
    view: View,
    /// Services that each route names, also those without weight.
    mentions: BTreeMap<String, Vec<String>>,
}

impl ConfigState {
    /// Says what would become of a change now.
    pub fn validate(&self, change: &Change) -> ChangeOutcome {
        if self.taken.contains(change.content) {
            return ChangeOutcome::Duplicate;
        }
        if self.taken.may_have_forgotten(change.base) {
            return ChangeOutcome::Expired;
        }
        if change.base != self.version {
            return ChangeOutcome::Conflict { current: self.version };
        }
        match self.check(change) {
            Ok(_) => ChangeOutcome::Accepted,
            Err(invalid) => ChangeOutcome::Invalid(invalid),
        }
    }

    /// Judges a change ([`Change::encode`]) and applies it if it's to be applied.
    pub fn apply(&mut self, encoded: &[u8]) -> ChangeOutcome {
        let Ok(change) = Change::decode(encoded) else {
            return ChangeOutcome::Invalid(InvalidConfig::NotAChange);
        };
        let judgement = self.validate(&change);
        if judgement == ChangeOutcome::Accepted {
            self.commit(change);
        }
        judgement
    }

    /// The current version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn document(&self) -> &Document {
        &self.document
    }

    pub(crate) fn log(&self) -> &ChangeLog {
        &self.log
    }

    pub(crate) fn taken(&self) -> &Taken {
        &self.taken
    }

    /// The whole configuration as JSON, its items as they were written.
    pub fn read(&self) -> Vec<u8> {
        self.document.read(self.version)
    }

    /// The typed form.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// What someone needs who has `version`: what has changed since, or all of it where that version is not
    /// remembered; `None` if there is nothing newer. Only items that a [`View`] takes are sent.
    pub fn updates_since(&self, version: u64) -> Option<ConfigUpdate> {
        if version >= self.version {
            return None;
        }
        Some(match self.log.since(version) {
            Some(keys) if version > 0 => self.delta(version, keys.into_iter()),
            _ => self.whole(),
        })
    }

    fn delta<'a>(&self, base: u64, keys: impl Iterator<Item = &'a ItemKey>) -> ConfigUpdate {
        let mut news = ConfigUpdate { base: Some(base), version: self.version, ..ConfigUpdate::default() };
        for key in keys {
            match self.document.item(key) {
                Some(item) => news.upsert.push(item),
                None => news.remove.push(key.clone()),
            }
        }
        news
    }

    fn whole(&self) -> ConfigUpdate {
        let keys = self.document.sections().flat_map(|(list, stored)| stored.keys(list));
        let items = keys.filter(View::takes).filter_map(|key| self.document.item(&key));
        ConfigUpdate { version: self.version, upsert: items.collect(), ..ConfigUpdate::default() }
    }

    /// Checks what the configuration would be with a change that builds on it.
    fn check<'c>(&self, change: &'c Change) -> Result<Plan<'c>, InvalidConfig> {
        if change.version <= self.version {
            return OldVersionSnafu { version: change.version, current: self.version }.fail();
        }
        let kept = if change.whole { 0 } else { self.document.bytes() };
        let bytes = kept + change.body_bytes();
        if bytes > MAX_CONFIGURATION_BYTES {
            return TooLargeSnafu { bytes, most: MAX_CONFIGURATION_BYTES }.fail();
        }
        let plan = Plan::of(&self.document, change);
        self.view.check_places(&plan.upsert, &plan.remove)?;
        self.check_services(&plan)?;
        Ok(plan)
    }

    /// Checks that all services that routes name are there.
    fn check_services(&self, plan: &Plan<'_>) -> Result<(), InvalidConfig> {
        let added = plan.upsert.iter().filter(|item| item.key.list == SERVICES);
        let added: HashSet<&str> = added.map(|item| item.key.name.as_str()).collect();
        let removed = plan.remove.iter().filter(|key| key.list == SERVICES);
        let removed: HashSet<&str> = removed.map(|key| key.name.as_str()).collect();
        let known = |service: &str| {
            added.contains(service) || (self.view.service(service).is_some() && !removed.contains(service))
        };
        for route in plan.upsert.iter().filter(|item| item.key.list == ROUTES) {
            check_mentions(&route.key.name, &route.mentions, known)?;
        }
        if removed.is_empty() {
            return Ok(());
        }
        let replaced: HashSet<&str> = replaced_routes(&plan.upsert, &plan.remove).collect();
        let kept = self.mentions.iter().filter(|(route, _)| !replaced.contains(route.as_str()));
        kept.into_iter().try_for_each(|(route, mentions)| check_mentions(route, mentions, known))
    }

    /// Applies a change that has been judged to be applied.
    fn commit(&mut self, change: Change) {
        let plan = Plan::of(&self.document, &change);
        let keys = plan.keys().filter(|key| View::takes(key)).cloned().collect();
        self.log.push(LogEntry { base: self.version, keys });
        self.taken.push(TakenChange { base: self.version, content: change.content });
        self.show(&plan.upsert, &plan.remove, change.version);
        self.version = change.version;
        if change.whole {
            self.document = Document::default();
        }
        for removal in &change.removals {
            self.document.remove(removal);
        }
        for section in change.sections {
            self.document.upsert(section);
        }
    }

    /// Brings checked items into all that is derived from the document.
    fn show(&mut self, upsert: &[&Item], remove: &[ItemKey], version: u64) {
        for route in replaced_routes(upsert, remove) {
            self.mentions.remove(route);
        }
        for route in upsert.iter().filter(|item| item.key.list == ROUTES) {
            self.mentions.insert(route.key.name.clone(), route.mentions.clone());
        }
        self.view.replace(upsert, remove, version);
    }

    /// A state from what a snapshot holds; the rest is derived from the document, which is checked again.
    pub(crate) fn from_parts(
        version: u64,
        document: Document,
        log: ChangeLog,
        taken: Taken,
    ) -> Result<Self, InvalidConfig> {
        let mut state = ConfigState { version, document, log, taken, ..ConfigState::default() };
        let items = state.document.sections().flat_map(|(list, stored)| taken_items(list, stored));
        let items = items.collect::<Result<Vec<_>, _>>()?;
        let upsert: Vec<&Item> = items.iter().collect();
        let plan = Plan { upsert, remove: Vec::new() };
        state.view.check_places(&plan.upsert, &plan.remove)?;
        state.check_services(&plan)?;
        state.show(&plan.upsert, &plan.remove, state.version);
        Ok(state)
    }
}

fn taken_items<'a>(
    list: &'a str,
    stored: &'a Stored,
) -> impl Iterator<Item = Result<Item, InvalidConfig>> + 'a {
    stored.items().map(move |(name, json)| Item::taken(list, name, json))
}

fn check_mentions(
    route: &str,
    services: &[String],
    known: impl Fn(&str) -> bool,
) -> Result<(), InvalidConfig> {
    match services.iter().find(|service| !known(service)) {
        Some(service) => {
            let place = Place::item(ROUTES, route).to_string();
            UnknownServiceSnafu { place, service: shorten(service) }.fail()
        }
        None => Ok(()),
    }
}
