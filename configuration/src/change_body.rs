//! Parsing of the body of an operator call.
//!
//! The body of `Config.Replace` is the configuration itself. The body of `Config.Update` has the fields `version`,
//! `upsert` (sections to merge into the configuration) and `remove` (for each list, the names of the items to remove).

use std::collections::HashSet;

use sonic_rs::{JsonValueTrait, LazyValue};

use crate::change::ChangeKind;
use crate::error::{DuplicateNameSnafu, InvalidConfig};
use crate::item::Item;
use crate::json::{self, JsonPath, Object};
use crate::keys::{ROUTES, SERVICES, VERSION};

const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";
/// Name of the body in error messages.
const BODY: &str = "body";
const ITEM_LIST: &str = "a list of items";

/// The parsed body of a call.
#[derive(Debug)]
pub(crate) struct ChangeBody {
    pub(crate) version: u64,
    /// Sections of the new configuration (replace) or sections to upsert (update), without the version.
    pub(crate) sections: Vec<Section>,
    /// Items to remove; empty in a replacement.
    pub(crate) removals: Vec<Removal>,
}

/// A top-level key of the configuration with its value.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) key: String,
    pub(crate) content: SectionContent,
}

/// The value of a section: a list of named items, or any other JSON value.
#[derive(Clone, Debug)]
pub(crate) enum SectionContent {
    List(Vec<Item>),
    Value(Item),
}

/// The items that an update removes from one list, by name.
#[derive(Clone, Debug)]
pub(crate) struct Removal {
    pub(crate) list: String,
    pub(crate) names: Vec<String>,
}

impl ChangeBody {
    pub(crate) fn parse(kind: ChangeKind, body: &str) -> Result<ChangeBody, InvalidConfig> {
        let value = json::parse(body.as_bytes())?;
        let object = Object::parse_required(value, "value", JsonPath::section(BODY))?;
        let version = parse_version(&object)?;
        let (sections, removals) = match kind {
            ChangeKind::Replace => {
                let fields = object.into_fields().filter(|(key, _)| key != VERSION);
                (parse_sections(fields)?, Vec::new())
            }
            ChangeKind::Update => (parse_upserts(&object)?, parse_removals(&object)?),
        };
        Ok(ChangeBody { version, sections, removals })
    }
}

fn parse_version(body: &Object<'_>) -> Result<u64, InvalidConfig> {
    const EXPECTED: &str = "a whole number";
    let value = body.get(VERSION).ok_or_else(|| body.path().missing_field(VERSION, EXPECTED))?;
    value.as_u64().ok_or_else(|| body.unexpected_value(VERSION, value, EXPECTED))
}

fn parse_sections<'a, K: AsRef<str>>(
    fields: impl Iterator<Item = (K, LazyValue<'a>)>,
) -> Result<Vec<Section>, InvalidConfig> {
    fields.map(|(key, value)| parse_section(key.as_ref(), value)).collect()
}

fn parse_section(key: &str, value: LazyValue<'_>) -> Result<Section, InvalidConfig> {
    let content = match parse_items(key, &value)? {
        Some(items) => SectionContent::List(items),
        None if key == ROUTES || key == SERVICES => {
            return Err(JsonPath::section(BODY).unexpected_value(key, value.as_raw_str(), ITEM_LIST))
        }
        None => SectionContent::Value(Item::parse_value(key, value)?),
    };
    Ok(Section { key: key.to_owned(), content })
}

/// Parses the items of a list. Returns `None` if the value is not a list or has an element that is not a named item.
fn parse_items(list: &str, value: &LazyValue<'_>) -> Result<Option<Vec<Item>>, InvalidConfig> {
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

fn parse_upserts(body: &Object<'_>) -> Result<Vec<Section>, InvalidConfig> {
    let Some(value) = body.get(UPSERT) else { return Ok(Vec::new()) };
    let upsert = Object::parse_required(value.clone(), UPSERT, body.path())?;
    if let Some(value) = upsert.get(VERSION) {
        let path = body.path().within(UPSERT, None);
        return Err(path.unexpected_value(VERSION, value.as_raw_str(), ITEM_LIST));
    }
    parse_sections(upsert.into_fields())
}

fn parse_removals(body: &Object<'_>) -> Result<Vec<Removal>, InvalidConfig> {
    let Some(value) = body.get(REMOVE) else { return Ok(Vec::new()) };
    let remove = Object::parse_required(value.clone(), REMOVE, body.path())?;
    let lists = remove.into_fields().filter(|(_, names)| !names.is_null());
    lists.map(|(list, names)| parse_removal(&list, &names)).collect()
}

fn parse_removal(list: &str, names: &LazyValue<'_>) -> Result<Removal, InvalidConfig> {
    let path = JsonPath::section(BODY).within(REMOVE, None);
    let unexpected = || path.unexpected_value(list, names.as_raw_str(), "a list of names");
    let elements = names.clone().into_array_iter().ok_or_else(unexpected)?;
    let names = elements.map(|name| name.ok()?.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>();
    Ok(Removal { list: list.to_owned(), names: names.ok_or_else(unexpected)? })
}
