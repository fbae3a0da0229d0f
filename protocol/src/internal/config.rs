//! Updates of the operator's configuration on their way to edges.

use bitcode::{Decode, Encode};

/// A configuration for an edge: a full snapshot, or the items that changed since the version `base`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigUpdate {
    /// The version that the update applies to; `None` for a full snapshot.
    pub base: Option<u64>,
    /// The version after the update.
    pub version: u64,
    /// Items that were added or replaced.
    pub upsert: Vec<ConfigItem>,
    /// Items that were removed.
    pub remove: Vec<ItemKey>,
}

/// Identifies an item of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ItemKey {
    /// The list that contains the item (`routes`, `services`), or the key of a value that is no list of named items.
    pub list: String,
    /// The `name` of the item; empty for a value that is no list of named items.
    pub name: String,
}

/// One item of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigItem {
    /// Identifies the item within the configuration.
    pub key: ItemKey,
    /// The JSON of the item, byte for byte as the operator wrote it.
    pub json: String,
}
