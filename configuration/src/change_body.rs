//! Parsing of a call's body.
//!
//! `Config.Replace` has the configuration itself as its body; `Config.Update` has `version`, `upsert` (sections to
//! merge into the configuration) and `remove` (names of items by list).

use std::collections::HashSet;

use sonic_rs::{JsonValueTrait, LazyValue};

use crate::change::ChangeKind;
use crate::error::{DuplicateNameSnafu, InvalidConfig};
use crate::item::Item;
use crate::json::{self, JsonPath, Object};
use crate::keys::{ROUTES, SERVICES, VERSION};

const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";
/// What error messages call the body.
const BODY: &str = "body";
const ITEM_LIST: &str = "a list of items";

/// The content of a call.
#[derive(Debug)]
pub(crate) struct ChangeBody {
    pub(crate) version: u64,
    /// All keys of the new configuration, or those to upsert; but for the version.
    pub(crate) sections: Vec<Section>,
    /// Items to remove; none in a replacement.
    pub(crate) removals: Vec<Removal>,
}

/// A key of the configuration with its value.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) key: String,
    pub(crate) content: SectionContent,
}

/// A list of named items, or any other value.
#[derive(Clone, Debug)]
pub(crate) enum SectionContent {
    List(Vec<Item>),
    Value(Item),
}

/// Names of the items that an update removes from a list.
#[derive(Clone, Debug)]
pub(crate) struct Removal {
    pub(crate) list: String,
    pub(crate) names: Vec<String>,
}

impl ChangeBody {
    pub(crate) fn parse(kind: ChangeKind, body: &str) -> Result<ChangeBody, InvalidConfig> {
        let value = json::parse(body.as_bytes())?;
        let object = Object::parse_required(value, "value", JsonPath::section(BODY))?;
        let version = version(&object)?;
        let (sections, removals) = match kind {
            ChangeKind::Replace => {
                let fields = object.into_fields().filter(|(key, _)| key != VERSION);
                (sections(fields)?, Vec::new())
            }
            ChangeKind::Update => (upserts(&object)?, removals(&object)?),
        };
        Ok(ChangeBody { version, sections, removals })
    }
}

fn version(body: &Object<'_>) -> Result<u64, InvalidConfig> {
    const EXPECTED: &str = "a whole number";
    let value = body.get(VERSION).ok_or_else(|| body.path().missing_field(VERSION, EXPECTED))?;
    value.as_u64().ok_or_else(|| body.unexpected_value(VERSION, value, EXPECTED))
}

fn sections<'a, K: AsRef<str>>(
    fields: impl Iterator<Item = (K, LazyValue<'a>)>,
) -> Result<Vec<Section>, InvalidConfig> {
    fields.map(|(key, value)| section(key.as_ref(), value)).collect()
}

fn section(key: &str, value: LazyValue<'_>) -> Result<Section, InvalidConfig> {
    let content = match items(key, &value)? {
        Some(items) => SectionContent::List(items),
        None if key == ROUTES || key == SERVICES => {
            return Err(JsonPath::section(BODY).unexpected_value(key, value.as_raw_str(), ITEM_LIST))
        }
        None => SectionContent::Value(Item::parse_value(key, value)?),
    };
    Ok(Section { key: key.to_owned(), content })
}

/// The items of a list; `None` if the value is no list, or has an element that is no named item.
fn items(list: &str, value: &LazyValue<'_>) -> Result<Option<Vec<Item>>, InvalidConfig> {
    let Some(elements) = value.clone().into_array_iter() else { return Ok(None) };
    let mut items: Vec<Item> = Vec::new();
    for element in elements {
        let element = element.map_err(|error| json::not_json(&error))?;
        match Item::parse_element(list, element)? {
            Some(item) => items.push(item),
            None => return Ok(None),
        }
    }
    check_names_are_unique(list, &items)?;
    Ok(Some(items))
}

fn check_names_are_unique(list: &str, items: &[Item]) -> Result<(), InvalidConfig> {
    let mut names = HashSet::with_capacity(items.len());
    match items.iter().find(|item| !names.insert(item.key.name.as_str())) {
        Some(item) => DuplicateNameSnafu { path: JsonPath::item(list, &item.key.name).to_string() }.fail(),
        None => Ok(()),
    }
}

fn upserts(body: &Object<'_>) -> Result<Vec<Section>, InvalidConfig> {
    let Some(value) = body.get(UPSERT) else { return Ok(Vec::new()) };
    let upsert = Object::parse_required(value.clone(), UPSERT, body.path())?;
    if let Some(value) = upsert.get(VERSION) {
        let path = body.path().within(UPSERT, None);
        return Err(path.unexpected_value(VERSION, value.as_raw_str(), ITEM_LIST));
    }
    sections(upsert.into_fields())
}

fn removals(body: &Object<'_>) -> Result<Vec<Removal>, InvalidConfig> {
    let Some(value) = body.get(REMOVE) else { return Ok(Vec::new()) };
    let remove = Object::parse_required(value.clone(), REMOVE, body.path())?;
    let lists = remove.into_fields().filter(|(_, names)| !names.is_null());
    lists.map(|(list, names)| removal(&list, &names)).collect()
}

fn removal(list: &str, names: &LazyValue<'_>) -> Result<Removal, InvalidConfig> {
    let path = JsonPath::section(BODY).within(REMOVE, None);
    let unexpected = || path.unexpected_value(list, names.as_raw_str(), "a list of names");
    let elements = names.clone().into_array_iter().ok_or_else(unexpected)?;
    let names = elements.map(|name| name.ok()?.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>();
    Ok(Removal { list: list.to_owned(), names: names.ok_or_else(unexpected)? })
}
