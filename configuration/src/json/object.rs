//! A JSON object, its fields read on demand.
//!
//! The whole text is validated once, by [`parse`](super::parse); fields are then pointers into it ([`LazyValue`]), of
//! which only those that are used are read.

use std::borrow::Cow;
use std::collections::btree_map::{BTreeMap, Entry};

use sonic_rs::{JsonValueTrait, LazyValue};

use super::{excerpt, not_json, JsonPath};
use crate::error::{DuplicateKeySnafu, InvalidConfig};

/// The longest duration, one year: sums of durations stay far from overflow.
const MAX_DURATION_MS: u64 = 365 * 24 * 60 * 60 * 1000;
/// 2^53, up to which `f64` holds integers exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// The fields of an object. A field that is `null` counts as absent.
pub(crate) struct Object<'a> {
    path: JsonPath<'a>,
    fields: BTreeMap<Cow<'a, str>, LazyValue<'a>>,
}

impl<'a> Object<'a> {
    /// Reads the keys of an object that is part of a validated text. A value of any other type has no fields.
    ///
    /// # Errors
    ///
    /// If the object has a key twice: readers differ in which of the two they use.
    pub(crate) fn parse(value: LazyValue<'a>, path: JsonPath<'a>) -> Result<Self, InvalidConfig> {
        let entries = value.into_object_iter().into_iter().flatten();
        let mut fields = BTreeMap::new();
        for entry in entries {
            let (key, value) = entry.map_err(|error| not_json(&error))?;
            match fields.entry(key) {
                Entry::Vacant(vacant) => vacant.insert(value),
                Entry::Occupied(occupied) => {
                    return DuplicateKeySnafu { path: path.to_string(), key: excerpt(occupied.key()) }.fail()
                }
            };
        }
        Ok(Object { path, fields })
    }

    /// Like [`parse`](Object::parse), but a value that is no object is an error, which names the value as `field`.
    pub(crate) fn parse_required(
        value: LazyValue<'a>,
        field: &str,
        path: JsonPath<'a>,
    ) -> Result<Self, InvalidConfig> {
        const EXPECTED: &str = "an object";
        if !value.is_object() {
            return Err(path.within("", None).unexpected_value(field, value.as_raw_str(), EXPECTED));
        }
        Object::parse(value, path)
    }

    /// Path of the object.
    pub(crate) fn path(&self) -> JsonPath<'a> {
        self.path
    }

    /// The value of a field.
    pub(crate) fn get(&self, field: &str) -> Option<&LazyValue<'a>> {
        self.fields.get(field).filter(|value| !value.is_null())
    }

    /// A string.
    pub(crate) fn optional_string(&self, field: &str) -> Result<Option<String>, InvalidConfig> {
        const EXPECTED: &str = "a text";
        let Some(value) = self.get(field) else { return Ok(None) };
        let string = value.as_str().map(str::to_owned);
        string.map(Some).ok_or_else(|| self.unexpected_value(field, value, EXPECTED))
    }

    /// A string that must be present.
    pub(crate) fn required_string(&self, field: &str) -> Result<String, InvalidConfig> {
        self.optional_string(field)?.ok_or_else(|| self.path.missing_field(field, "a text"))
    }

    /// A finite number of 0 or more.
    pub(crate) fn optional_f64(&self, field: &str) -> Result<Option<f64>, InvalidConfig> {
        const EXPECTED: &str = "a number of 0 or more";
        let Some(value) = self.get(field) else { return Ok(None) };
        let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.map(Some).ok_or_else(|| self.unexpected_value(field, value, EXPECTED))
    }

    /// An integer of 0 or more; fractions are rounded up.
    pub(crate) fn optional_u64(&self, field: &str) -> Result<Option<u64>, InvalidConfig> {
        if let Some(number) = self.get(field).and_then(LazyValue::as_u64) {
            return Ok(Some(number));
        }
        Ok(self.optional_f64(field)?.map(|number| number.ceil().min(MAX_EXACT_INTEGER) as u64))
    }

    /// Like [`optional_u64`](Object::optional_u64), saturated at the type's maximum.
    pub(crate) fn optional_u32(&self, field: &str) -> Result<Option<u32>, InvalidConfig> {
        Ok(self.optional_u64(field)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// A duration in milliseconds, rounded up and capped at [`MAX_DURATION_MS`].
    pub(crate) fn optional_milliseconds(&self, field: &str) -> Result<Option<u64>, InvalidConfig> {
        Ok(self.optional_u64(field)?.map(|number| number.min(MAX_DURATION_MS)))
    }

    /// A boolean.
    pub(crate) fn optional_bool(&self, field: &str) -> Result<Option<bool>, InvalidConfig> {
        const EXPECTED: &str = "true or false";
        let Some(value) = self.get(field) else { return Ok(None) };
        value.as_bool().map(Some).ok_or_else(|| self.unexpected_value(field, value, EXPECTED))
    }

    /// The elements of an array; none if the field is absent.
    pub(crate) fn elements(&self, field: &str) -> Result<Vec<LazyValue<'a>>, InvalidConfig> {
        const EXPECTED: &str = "a list";
        let Some(value) = self.get(field) else { return Ok(Vec::new()) };
        let elements = value.clone().into_array_iter();
        let elements = elements.ok_or_else(|| self.unexpected_value(field, value, EXPECTED))?;
        elements.map(|element| element.map_err(|error| not_json(&error))).collect()
    }

    /// The error of a field whose value is not the expected one.
    pub(crate) fn unexpected_value(
        &self,
        field: &str,
        value: &LazyValue<'_>,
        expected: &'static str,
    ) -> InvalidConfig {
        self.path.unexpected_value(field, value.as_raw_str(), expected)
    }

    /// All fields, sorted by key; also those that are `null`.
    pub(crate) fn into_fields(self) -> impl Iterator<Item = (Cow<'a, str>, LazyValue<'a>)> {
        self.fields.into_iter()
    }
}
