//! The replicated state machine of the configuration.

use std::borrow::Cow;

use shaletrail_protocol::internal::{ConfigUpdate, ItemKey};

use crate::change::{Change, ChangeId, ChangeKind, EncodedChange};
use crate::change_log::{ChangeLog, ChangeLogEntry};
use crate::dedup_window::{AppliedChange, DedupWindow};
use crate::diff::ConfigDiff;
use crate::document::Document;
use crate::error::{InvalidConfig, TooLargeSnafu, VersionNotHigherSnafu};
use crate::item::Item;
use crate::service_references::ServiceReferences;
use crate::view::ConfigView;

/// Maximum size of the configuration, in bytes. A full update of this size fits into one message between nodes.
///
/// A snapshot also holds the deduplication window (100 KB). It must stay below the maximum size of a journal record
/// (16 MB), as a larger state could not be persisted.
pub const MAX_CONFIGURATION_BYTES: usize = 12 << 20;

/// The result of validating or applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is valid on the current version, so [`apply`](ConfigState::apply) applies it.
    Accepted,
    /// The change was applied before. It is not applied again, but must be acknowledged.
    Duplicate,
    /// The change is based on a version so old that it may have been applied and since been evicted from the
    /// deduplication window. It is not applied, and must be neither acknowledged nor rejected.
    Expired,
    /// The change is based on a version other than the current one, and has not been applied.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change would result in an invalid configuration.
    Invalid(InvalidConfig),
}

/// The replicated state: the configuration, the items that recent changes modified, and the recently applied changes.
/// It is equal on all replicas that have applied the same log entries.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: u64,
    document: Document,
    change_log: ChangeLog,
    dedup_window: DedupWindow,
    /// Derived from the document.
    view: ConfigView,
    /// Derived from the document.
    service_references: ServiceReferences,
}

impl ConfigState {
    /// Returns the outcome that a change would have if it were applied now.
    pub fn validate(&self, change: &Change) -> ChangeOutcome {
        self.outcome_by_id(change.id).unwrap_or_else(|| self.outcome_by_content(change))
    }

    /// Returns the outcome of a change if no entry that is still to be applied can alter it: the change was applied, or
    /// the version that it is based on is no longer the current one. Versions only increase, so that such a change is
    /// never accepted later.
    pub fn final_outcome(&self, id: ChangeId) -> Option<ChangeOutcome> {
        self.outcome_by_id(id).filter(|_| id.base_version < self.version)
    }

    /// Decodes a committed log entry ([`Change::encode`]), validates the change, and applies it if it is accepted. The
    /// content is parsed only if the outcome depends on it.
    pub fn apply(&mut self, entry: &[u8]) -> ChangeOutcome {
        let Ok(encoded) = EncodedChange::decode(entry) else {
            return ChangeOutcome::Invalid(InvalidConfig::UndecodableEntry);
        };
        let id = encoded.id();
        if let Some(outcome) = self.outcome_by_id(id) {
            return outcome;
        }
        let Ok(change) = encoded.parse(id) else {
            return ChangeOutcome::Invalid(InvalidConfig::UndecodableEntry);
        };
        let outcome = self.outcome_by_content(&change);
        if outcome == ChangeOutcome::Accepted {
            self.apply_accepted(change);
        }
        outcome
    }

    /// Returns the outcome of a change that is not accepted whatever it contains; `None` if it depends on the content.
    fn outcome_by_id(&self, id: ChangeId) -> Option<ChangeOutcome> {
        // A retry must be recognized first, because the version that it is based on is no longer the current one.
        if self.dedup_window.contains(id.content_hash) {
            return Some(ChangeOutcome::Duplicate);
        }
        if self.dedup_window.may_have_evicted(id.base_version) {
            return Some(ChangeOutcome::Expired);
        }
        (id.base_version != self.version).then_some(ChangeOutcome::Conflict { current: self.version })
    }

    /// Returns the outcome of a change that is based on the current version.
    fn outcome_by_content(&self, change: &Change) -> ChangeOutcome {
        match self.check(change) {
            Ok(()) => ChangeOutcome::Accepted,
            Err(invalid) => ChangeOutcome::Invalid(invalid),
        }
    }

    /// Returns the current version; 0 before the first configuration.
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

    /// Returns the configuration as JSON, with each item as the operator wrote it.
    pub fn read(&self) -> Vec<u8> {
        self.document.to_json(self.version)
    }

    /// Returns the typed form of the current configuration.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns the update for a node whose view is at `version`, or `None` if there is no newer version. The update
    /// contains the items that changed since `version`, or all items if that version is 0 or not in the change log.
    /// Items that are not part of a [`ConfigView`] are left out.
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
        let items = keys.filter(ConfigView::includes).filter_map(|key| self.document.item(&key));
        ConfigUpdate { version: self.version, upsert: items.collect(), ..ConfigUpdate::default() }
    }

    /// Checks the configuration that would result from a change based on the current version.
    fn check(&self, change: &Change) -> Result<(), InvalidConfig> {
        if change.version <= self.version {
            return VersionNotHigherSnafu { version: change.version, current: self.version }.fail();
        }
        self.check_size(change)?;
        self.check_diff(&ConfigDiff::between(&self.document, change))
    }

    fn check_size(&self, change: &Change) -> Result<(), InvalidConfig> {
        let kept_bytes = match change.kind {
            ChangeKind::Replace => 0,
            ChangeKind::Update => self.document.size_bytes(),
        };
        let bytes = kept_bytes + change.body_size();
        if bytes > MAX_CONFIGURATION_BYTES {
            return TooLargeSnafu { bytes, max_bytes: MAX_CONFIGURATION_BYTES }.fail();
        }
        Ok(())
    }

    fn check_diff(&self, diff: &ConfigDiff<'_>) -> Result<(), InvalidConfig> {
        self.view.check(diff)?;
        self.service_references.check(diff, &self.view)
    }

    /// Applies a change that [`validate`](ConfigState::validate) has accepted.
    fn apply_accepted(&mut self, change: Change) {
        let diff = ConfigDiff::between(&self.document, &change);
        let keys = diff.keys().filter(|key| ConfigView::includes(key)).cloned().collect();
        self.change_log.push(ChangeLogEntry { base_version: self.version, keys });
        let content_hash = change.id.content_hash;
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

    /// Updates the fields that are derived from the document.
    fn apply_diff(&mut self, diff: &ConfigDiff<'_>, version: u64) {
        self.service_references.apply(diff);
        self.view.apply_diff(diff, version);
    }

    /// Builds the state from the parts that a snapshot holds. Checks the document and rebuilds the fields that are
    /// derived from it.
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
