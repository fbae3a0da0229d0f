//! The replicated state machine of the configuration.

use std::borrow::Cow;

use shaletrail_protocol::internal::{ConfigUpdate, ItemKey};

use crate::change::{Change, ChangeKind};
use crate::change_log::{ChangeLog, ChangeLogEntry};
use crate::dedup_window::{AppliedChange, DedupWindow};
use crate::diff::ConfigDiff;
use crate::document::Document;
use crate::error::{InvalidConfig, TooLargeSnafu, VersionNotHigherSnafu};
use crate::item::Item;
use crate::service_references::ServiceReferences;
use crate::view::View;

/// Maximum size of the configuration, in bytes. A full update of that size fits into one message between nodes.
///
/// A snapshot, with the deduplication window (100 KB), stays below the largest record of the journal, 16 MB: a state
/// that no disk accepts could not be persisted.
pub const MAX_CONFIGURATION_BYTES: usize = 12 << 20;

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is valid on the current version and is applied.
    Accepted,
    /// It was applied before and is acknowledged again.
    Duplicate,
    /// It builds on a version so old that it may have been applied and evicted from the deduplication window since. It
    /// is not applied, and must be neither acknowledged nor refused.
    Expired,
    /// It builds on another version than the current one, and was not applied.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// It would lead to an invalid configuration.
    Invalid(InvalidConfig),
}

/// The configuration, the items that the latest changes touched, and which changes were applied. Equal on all
/// replicas that have applied the same log entries.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: u64,
    document: Document,
    change_log: ChangeLog,
    dedup_window: DedupWindow,
    /// Derived from the document.
    view: View,
    /// Derived from the document.
    service_references: ServiceReferences,
}

impl ConfigState {
    /// The outcome that a change would have if it were applied now.
    pub fn validate(&self, change: &Change) -> ChangeOutcome {
        // A repeated call must be recognised first: the version that it builds on is no longer the current one.
        if self.dedup_window.contains(change.content_hash) {
            return ChangeOutcome::Duplicate;
        }
        if self.dedup_window.may_have_evicted(change.base_version) {
            return ChangeOutcome::Expired;
        }
        if change.base_version != self.version {
            return ChangeOutcome::Conflict { current: self.version };
        }
        match self.check(change) {
            Ok(()) => ChangeOutcome::Accepted,
            Err(invalid) => ChangeOutcome::Invalid(invalid),
        }
    }

    /// Applies a committed log entry ([`Change::encode`]): validates the change, and applies it if it is accepted.
    pub fn apply(&mut self, entry: &[u8]) -> ChangeOutcome {
        let Ok(change) = Change::decode(entry) else {
            return ChangeOutcome::Invalid(InvalidConfig::NotAChange);
        };
        let outcome = self.validate(&change);
        if outcome == ChangeOutcome::Accepted {
            self.commit(change);
        }
        outcome
    }

    /// The current version; 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn document(&self) -> &Document {
        &self.document
    }

    pub(crate) fn change_log(&self) -> &ChangeLog {
        &self.change_log
    }

    pub(crate) fn dedup_window(&self) -> &DedupWindow {
        &self.dedup_window
    }

    /// The configuration as JSON, its items as they were written.
    pub fn read(&self) -> Vec<u8> {
        self.document.to_json(self.version)
    }

    /// The typed form of the configuration.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The update for a node whose view is at `version`: the items that changed since, or a full update if that version
    /// is no longer in the change log; `None` if there is nothing newer. It holds only items that are part of a
    /// [`View`].
    pub fn updates_since(&self, version: u64) -> Option<ConfigUpdate> {
        if version >= self.version {
            return None;
        }
        Some(match self.change_log.keys_since(version) {
            Some(keys) if version > 0 => self.delta_update(version, keys.into_iter()),
            _ => self.full_update(),
        })
    }

    fn delta_update<'a>(&self, base: u64, keys: impl Iterator<Item = &'a ItemKey>) -> ConfigUpdate {
        let mut update = ConfigUpdate { base: Some(base), version: self.version, ..ConfigUpdate::default() };
        for key in keys {
            match self.document.item(key) {
                Some(item) => update.upsert.push(item),
                None => update.remove.push(key.clone()),
            }
        }
        update
    }

    fn full_update(&self) -> ConfigUpdate {
        let keys = self.document.sections().flat_map(|(list, section)| section.item_keys(list));
        let items = keys.filter(View::includes).filter_map(|key| self.document.item(&key));
        ConfigUpdate { version: self.version, upsert: items.collect(), ..ConfigUpdate::default() }
    }

    /// Checks the configuration that a change on the current version would lead to.
    fn check(&self, change: &Change) -> Result<(), InvalidConfig> {
        if change.version <= self.version {
            return VersionNotHigherSnafu { version: change.version, current: self.version }.fail();
        }
        self.check_size(change)?;
        self.check_diff(&ConfigDiff::between(&self.document, change))
    }

    fn check_size(&self, change: &Change) -> Result<(), InvalidConfig> {
        let remaining_bytes = match change.kind {
            ChangeKind::Replace => 0,
            ChangeKind::Update => self.document.bytes(),
        };
        let bytes = remaining_bytes + change.body_bytes();
        if bytes > MAX_CONFIGURATION_BYTES {
            return TooLargeSnafu { bytes, max_bytes: MAX_CONFIGURATION_BYTES }.fail();
        }
        Ok(())
    }

    fn check_diff(&self, diff: &ConfigDiff<'_>) -> Result<(), InvalidConfig> {
        self.view.check(diff)?;
        self.service_references.check(diff, &self.view)
    }

    /// Applies a change that was validated.
    fn commit(&mut self, change: Change) {
        let diff = ConfigDiff::between(&self.document, &change);
        let keys = diff.keys().filter(|key| View::includes(key)).cloned().collect();
        self.change_log.push(ChangeLogEntry { base_version: self.version, keys });
        let content_hash = change.content_hash;
        self.dedup_window.push(AppliedChange { base_version: self.version, content_hash });
        self.apply_diff(&diff, change.version);
        self.version = change.version;
        if change.kind == ChangeKind::Replace {
            self.document = Document::default();
        }
        for removal in &change.removals {
            self.document.remove(removal);
        }
        for section in change.sections {
            self.document.upsert(section);
        }
    }

    /// Brings what is derived from the document up to date.
    fn apply_diff(&mut self, diff: &ConfigDiff<'_>, version: u64) {
        self.service_references.apply(diff);
        self.view.apply_diff(diff, version);
    }

    /// The state from the parts that a snapshot holds. What is derived from the document is checked and built anew.
    pub(crate) fn from_parts(
        version: u64,
        document: Document,
        change_log: ChangeLog,
        dedup_window: DedupWindow,
    ) -> Result<Self, InvalidConfig> {
        let sections = document.sections();
        let items = sections.flat_map(|(list, section)| {
            section.items().map(move |(name, json)| Item::parse_stored(list, name, json))
        });
        let items = items.collect::<Result<Vec<_>, _>>()?;
        let mut state = ConfigState { version, document, change_log, dedup_window, ..ConfigState::default() };
        let diff = ConfigDiff { upsert: items.iter().collect(), remove: Cow::default() };
        state.check_diff(&diff)?;
        state.apply_diff(&diff, version);
        Ok(state)
    }
}
