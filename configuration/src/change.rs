//! One call of the operator, read and checked as far as it can be without the configuration it builds on.

use std::collections::HashSet;

use bitcode::{Decode, Encode};
use snafu::ResultExt;
use sonic_rs::{JsonValueTrait, LazyValue};

use crate::content::ContentHash;
use crate::error::{
    DecodeError, InvalidConfig, InvalidContentSnafu, NotJsonSnafu, SharedNameSnafu, UndecodableSnafu,
};
use crate::fields::{self, Fields, Place};
use crate::reading::{Item, ROUTES, SERVICES};

/// The field that numbers a configuration.
pub(crate) const VERSION: &str = "version";
const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";
/// How messages name the call's body.
const BODY: &str = "body";
const ITEMS: &str = "a list of items";

/// A change of the configuration: `Config.Replace` or `Config.Update`.
#[derive(Clone, Debug)]
pub struct Change {
    pub(crate) whole: bool,
    pub(crate) base: u64,
    pub(crate) version: u64,
    pub(crate) content: ContentHash,
    pub(crate) sections: Vec<Section>,
    pub(crate) removals: Vec<Removal>,
    body: String,
}

/// What stands under one key of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) key: String,
    pub(crate) content: Content,
}

/// A list of named items, or any other value.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    List(Vec<Item>),
    Value(Item),
}

/// Names that an update takes out of a list.
#[derive(Clone, Debug)]
pub(crate) struct Removal {
    pub(crate) list: String,
    pub(crate) names: Vec<String>,
}

/// A change as it travels: what the operator sent, to be read anew.
#[derive(Encode, Decode)]
struct Sent<'a> {
    whole: bool,
    base: u64,
    body: &'a str,
}

impl Change {
    /// Reads a call's body. `whole` tells `Config.Replace` from `Config.Update`; `base` is `Base-Version`.
    pub fn parse(whole: bool, base: u64, body: &[u8]) -> Result<Change, InvalidConfig> {
        let utf8 = std::str::from_utf8(body);
        Change::read(whole, base, utf8.map_err(|error| NotJsonSnafu { offset: error.valid_up_to() }.build())?)
    }

    fn read(whole: bool, base: u64, body: &str) -> Result<Change, InvalidConfig> {
        let place = Place::value(BODY);
        let fields = Fields::required(fields::parse(body.as_bytes())?, "value", place)?;
        let version = version(&fields)?;
        let (sections, removals) = if whole {
            (sections(fields.into_values().filter(|(key, _)| key != VERSION))?, Vec::new())
        } else {
            (upserts(&fields)?, removals(&fields)?)
        };
        let content = ContentHash::of(whole, base, body.as_bytes());
        Ok(Change { whole, base, version, content, sections, removals, body: body.to_owned() })
    }

    /// The version that the change makes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version that the change builds on.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Bytes of the call's body.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// The change as bytes, for the log of the configuration's shard.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(&Sent { whole: self.whole, base: self.base, body: &self.body })
    }

    /// Reads what [`encode`](Change::encode) wrote.
    pub fn decode(bytes: &[u8]) -> Result<Change, DecodeError> {
        let sent: Result<Sent<'_>, _> = bitcode::decode(bytes);
        let Ok(sent) = sent else {
            return UndecodableSnafu { length: bytes.len(), expected: "a change" }.fail();
        };
        Change::read(sent.whole, sent.base, sent.body).context(InvalidContentSnafu)
    }
}

fn version(fields: &Fields<'_>) -> Result<u64, InvalidConfig> {
    const EXPECTED: &str = "a whole number";
    let value = fields.value(VERSION).ok_or_else(|| fields.place().missing(VERSION, EXPECTED))?;
    value.as_u64().ok_or_else(|| fields.wrong(VERSION, value, EXPECTED))
}

fn sections<'a, K: AsRef<str>>(
    values: impl Iterator<Item = (K, LazyValue<'a>)>,
) -> Result<Vec<Section>, InvalidConfig> {
    values.map(|(key, value)| section(key.as_ref(), value)).collect()
}

fn section(key: &str, value: LazyValue<'_>) -> Result<Section, InvalidConfig> {
    let content = match items(key, &value)? {
        Some(items) => Content::List(items),
        None if key == ROUTES || key == SERVICES => {
            return Err(Place::value(BODY).wrong(key, value.as_raw_str(), ITEMS))
        }
        None => Content::Value(Item::value(key, value)?),
    };
    Ok(Section { key: key.to_owned(), content })
}

/// The items of a list, if the value is a list of items that have names.
fn items(list: &str, value: &LazyValue<'_>) -> Result<Option<Vec<Item>>, InvalidConfig> {
    let Some(elements) = value.clone().into_array_iter() else { return Ok(None) };
    let mut items: Vec<Item> = Vec::new();
    for element in elements {
        let element = element.map_err(|error| fields::not_json(&error))?;
        match Item::element(list, element)? {
            Some(item) => items.push(item),
            None => return Ok(None),
        }
    }
    check_names(list, &items)?;
    Ok(Some(items))
}

fn check_names(list: &str, items: &[Item]) -> Result<(), InvalidConfig> {
    let mut names = HashSet::with_capacity(items.len());
    match items.iter().find(|item| !names.insert(item.key.name.as_str())) {
        Some(item) => SharedNameSnafu { place: Place::item(list, &item.key.name).to_string() }.fail(),
        None => Ok(()),
    }
}

fn upserts(fields: &Fields<'_>) -> Result<Vec<Section>, InvalidConfig> {
    let Some(value) = fields.value(UPSERT) else { return Ok(Vec::new()) };
    let upsert = Fields::required(value.clone(), UPSERT, fields.place())?;
    if let Some(value) = upsert.value(VERSION) {
        return Err(fields.place().part(UPSERT, None).wrong(VERSION, value.as_raw_str(), ITEMS));
    }
    sections(upsert.into_values())
}

fn removals(fields: &Fields<'_>) -> Result<Vec<Removal>, InvalidConfig> {
    let Some(value) = fields.value(REMOVE) else { return Ok(Vec::new()) };
    let remove = Fields::required(value.clone(), REMOVE, fields.place())?;
    let lists = remove.into_values().filter(|(_, names)| !names.is_null());
    lists.map(|(list, names)| removal(&list, &names)).collect()
}

fn removal(list: &str, names: &LazyValue<'_>) -> Result<Removal, InvalidConfig> {
    let place = Place::value(BODY).part(REMOVE, None);
    let wrong = || place.wrong(list, names.as_raw_str(), "a list of names");
    let elements = names.clone().into_array_iter().ok_or_else(wrong)?;
    let names = elements.map(|name| name.ok()?.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>();
    Ok(Removal { list: list.to_owned(), names: names.ok_or_else(wrong)? })
}
