//! An object of the configuration, its fields read where they are asked for.
//!
//! The text is validated once, whole ([`parse`]); fields are then pointers into it ([`LazyValue`]), of which only
//! those that are used are read.

use std::borrow::Cow;
use std::collections::btree_map::{BTreeMap, Entry};
use std::fmt;

use sonic_rs::{JsonValueTrait, LazyValue};

use crate::error::{InvalidConfig, MissingSnafu, NotJsonSnafu, SharedKeySnafu, WrongSnafu};
use crate::scan;

/// Characters of a value or name that messages repeat.
const SHOWN: usize = 60;
/// The longest duration, a year: sums of times stay far from the end of their type.
const LONGEST_MS: u64 = 365 * 24 * 60 * 60 * 1000;
/// Floating point holds whole numbers exactly up to here.
const LARGEST_EXACT: f64 = 9_007_199_254_740_992.0;

/// Validates a text as one JSON value with nothing behind it.
pub(crate) fn parse(text: &[u8]) -> Result<LazyValue<'_>, InvalidConfig> {
    scan::check(text)?;
    let parsed = sonic_rs::from_slice(text);
    parsed.map_err(|error| not_json(&error))
}

/// Says that a text is no JSON. The reader's own message has several lines.
pub(crate) fn not_json(error: &sonic_rs::Error) -> InvalidConfig {
    NotJsonSnafu { offset: error.offset() }.build()
}

/// Where an object stands, for messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place<'a> {
    /// The list.
    pub(crate) list: &'a str,
    /// The name of the item in it, or empty.
    pub(crate) name: &'a str,
    /// Where in the item, or empty.
    pub(crate) path: &'static str,
    /// The number of the element in a list at that path.
    pub(crate) index: Option<usize>,
}

impl<'a> Place<'a> {
    /// The item `name` of a list.
    pub(crate) fn item(list: &'a str, name: &'a str) -> Self {
        Place { list, name, path: "", index: None }
    }

    /// The body of a change, or a value that stands by itself.
    pub(crate) fn value(list: &'a str) -> Self {
        Place::item(list, "")
    }

    /// A part of the item.
    pub(crate) fn part(self, path: &'static str, index: Option<usize>) -> Self {
        Place { path, index, ..self }
    }

    /// The item, without the part of it.
    pub(crate) fn whole_item(self) -> String {
        Place::item(self.list, self.name).to_string()
    }

    /// A field of the object that stands here, as messages name it.
    fn field(&self, key: &str) -> String {
        let key = shorten(key);
        match (self.path, self.index) {
            ("", _) => key,
            (path, None) => format!("{path}/{key}"),
            (path, Some(index)) => format!("{path}/{index}/{key}"),
        }
    }

    /// Says that a field is not there.
    pub(crate) fn missing(&self, key: &str, expected: &'static str) -> InvalidConfig {
        MissingSnafu { place: self.whole_item(), field: self.field(key), expected }.build()
    }

    /// Says that a field's value cannot be used.
    pub(crate) fn wrong(&self, key: &str, found: &str, expected: &'static str) -> InvalidConfig {
        WrongSnafu { place: self.whole_item(), field: self.field(key), found: shorten(found), expected }
            .build()
    }
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&shorten(self.list))?;
        if !self.name.is_empty() {
            write!(formatter, "/{}", shorten(self.name))?;
        }
        if !self.path.is_empty() {
            write!(formatter, "/{}", self.path)?;
        }
        match self.index {
            Some(index) => write!(formatter, "/{index}"),
            None => Ok(()),
        }
    }
}

/// A text from outside on one line, cut where it is long.
pub(crate) fn shorten(text: &str) -> String {
    let mut shown: String = text.chars().take(SHOWN).map(printable).collect();
    if text.chars().nth(SHOWN).is_some() {
        shown.push_str("...");
    }
    shown
}

/// A character that keeps a message on its line.
fn printable(character: char) -> char {
    if character.is_control() {
        char::REPLACEMENT_CHARACTER
    } else {
        character
    }
}

/// The fields of an object.
pub(crate) struct Fields<'a> {
    place: Place<'a>,
    values: BTreeMap<Cow<'a, str>, LazyValue<'a>>,
}

impl<'a> Fields<'a> {
    /// Reads the keys of an object that is part of a validated text. Any other value has none.
    pub(crate) fn of(value: LazyValue<'a>, place: Place<'a>) -> Result<Self, InvalidConfig> {
        let entries = value.into_object_iter().into_iter().flatten();
        let mut values = BTreeMap::new();
        for entry in entries {
            let (key, value) = entry.map_err(|error| not_json(&error))?;
            match values.entry(key) {
                Entry::Vacant(vacant) => vacant.insert(value),
                Entry::Occupied(occupied) => {
                    return SharedKeySnafu { place: place.to_string(), key: shorten(occupied.key()) }.fail()
                }
            };
        }
        Ok(Fields { place, values })
    }

    /// The same, where `field` of the object around it must be an object.
    pub(crate) fn required(
        value: LazyValue<'a>,
        field: &str,
        place: Place<'a>,
    ) -> Result<Self, InvalidConfig> {
        const EXPECTED: &str = "an object";
        if !value.is_object() {
            return Err(place.part("", None).wrong(field, value.as_raw_str(), EXPECTED));
        }
        Fields::of(value, place)
    }

    /// Where the object stands.
    pub(crate) fn place(&self) -> Place<'a> {
        self.place
    }

    /// A field's value; `null` counts as not there.
    pub(crate) fn value(&self, key: &str) -> Option<&LazyValue<'a>> {
        self.values.get(key).filter(|value| !value.is_null())
    }

    /// A text.
    pub(crate) fn text(&self, key: &str) -> Result<Option<String>, InvalidConfig> {
        const EXPECTED: &str = "a text";
        let Some(value) = self.value(key) else { return Ok(None) };
        let text = value.as_str().map(str::to_owned);
        text.map(Some).ok_or_else(|| self.wrong(key, value, EXPECTED))
    }

    /// A text that must be there.
    pub(crate) fn required_text(&self, key: &str) -> Result<String, InvalidConfig> {
        self.text(key)?.ok_or_else(|| self.place.missing(key, "a text"))
    }

    /// A number that must not be below 0.
    pub(crate) fn amount(&self, key: &str) -> Result<Option<f64>, InvalidConfig> {
        const EXPECTED: &str = "a number of 0 or more";
        let Some(value) = self.value(key) else { return Ok(None) };
        let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.map(Some).ok_or_else(|| self.wrong(key, value, EXPECTED))
    }

    /// A whole number of 0 or more; fractions are rounded up.
    pub(crate) fn whole(&self, key: &str) -> Result<Option<u64>, InvalidConfig> {
        if let Some(number) = self.value(key).and_then(LazyValue::as_u64) {
            return Ok(Some(number));
        }
        Ok(self.amount(key)?.map(|number| number.ceil().min(LARGEST_EXACT) as u64))
    }

    /// A duration in milliseconds; longer ones than [`LONGEST_MS`] count as that.
    pub(crate) fn milliseconds(&self, key: &str) -> Result<Option<u64>, InvalidConfig> {
        Ok(self.whole(key)?.map(|number| number.min(LONGEST_MS)))
    }

    /// A whole number of 0 or more; larger ones than fit count as the largest.
    pub(crate) fn small(&self, key: &str) -> Result<Option<u32>, InvalidConfig> {
        Ok(self.whole(key)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// Yes or no.
    pub(crate) fn flag(&self, key: &str) -> Result<Option<bool>, InvalidConfig> {
        const EXPECTED: &str = "true or false";
        let Some(value) = self.value(key) else { return Ok(None) };
        value.as_bool().map(Some).ok_or_else(|| self.wrong(key, value, EXPECTED))
    }

    /// The elements of a list; none if it is not there.
    pub(crate) fn elements(&self, key: &str) -> Result<Vec<LazyValue<'a>>, InvalidConfig> {
        const EXPECTED: &str = "a list";
        let Some(value) = self.value(key) else { return Ok(Vec::new()) };
        let elements = value.clone().into_array_iter().ok_or_else(|| self.wrong(key, value, EXPECTED))?;
        elements.map(|element| element.map_err(|error| not_json(&error))).collect()
    }

    /// Says that a field's value cannot be used.
    pub(crate) fn wrong(&self, key: &str, value: &LazyValue<'_>, expected: &'static str) -> InvalidConfig {
        self.place.wrong(key, value.as_raw_str(), expected)
    }

    /// All fields, sorted by key.
    pub(crate) fn into_values(self) -> impl Iterator<Item = (Cow<'a, str>, LazyValue<'a>)> {
        self.values.into_iter()
    }
}
