//! Updates of the operator's configuration, as they are sent to edges.

use bitcode::{Decode, Encode};

/// An update of an edge's configuration: a full snapshot, or the items that changed since the version `base`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigUpdate {
    /// The version to which the changes apply; `None` for a full snapshot.
    pub base: Option<u64>,
    /// The version of the configuration after the update.
    pub version: u64,
    /// Items that were added or replaced; all items in a full snapshot.
    pub upsert: Vec<ConfigItem>,
    /// Items that were removed.
    pub remove: Vec<ItemKey>,
}

/// Identifies an item within a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ItemKey {
    /// The list that contains the item (for example `routes` or `services`), or the key of a top-level value that is
    /// not a list of named items.
    pub list: String,
    /// The `name` of the item; empty for a value that is not a list of named items.
    pub name: String,
}

/// One item of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigItem {
    /// The list and the name of the item.
    pub key: ItemKey,
    /// The item as JSON, byte for byte as the operator wrote it.
    pub json: String,
}
