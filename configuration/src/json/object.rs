//! A JSON object whose fields are parsed on demand.
//!
//! The whole text is validated once, by [`parse`](super::parse). Fields then refer to their part of the text
//! ([`LazyValue`]) and are parsed only when they are used.

use std::borrow::Cow;
use std::collections::btree_map::{BTreeMap, Entry};

use sonic_rs::{JsonValueTrait, LazyValue};

use super::{excerpt, not_json, JsonPath};
use crate::error::{DuplicateKeySnafu, InvalidConfig};

/// Maximum duration: one year. The limit keeps sums of durations far from overflow.
const MAX_DURATION_MS: u64 = 365 * 24 * 60 * 60 * 1000;
/// 2^53, the limit up to which `f64` represents all integers exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// The fields of an object. A field that is `null` counts as absent.
pub(crate) struct Object<'a> {
    path: JsonPath<'a>,
    fields: BTreeMap<Cow<'a, str>, LazyValue<'a>>,
}

impl<'a> Object<'a> {
    /// Collects the fields of an object that is part of a validated text. A value of any other type has no fields.
    ///
    /// # Errors
    ///
    /// If the object contains the same key twice, because JSON parsers differ in which of the two values they use.
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

    /// Like [`parse`](Object::parse), but returns an error for a value that is not an object. The error names the value
    /// as `field`.
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

    pub(crate) fn path(&self) -> JsonPath<'a> {
        self.path
    }

    /// Returns the value of a field, or `None` if it is absent or `null`.
    pub(crate) fn get(&self, field: &str) -> Option<&LazyValue<'a>> {
        self.fields.get(field).filter(|value| !value.is_null())
    }

    /// Returns a field that must be a string if it is present.
    pub(crate) fn optional_string(&self, field: &str) -> Result<Option<String>, InvalidConfig> {
        const EXPECTED: &str = "a text";
        let Some(value) = self.get(field) else { return Ok(None) };
        let string = value.as_str().map(str::to_owned);
        string.map(Some).ok_or_else(|| self.unexpected_value(field, value, EXPECTED))
    }

    /// Returns a string field that must be present.
    pub(crate) fn required_string(&self, field: &str) -> Result<String, InvalidConfig> {
        self.optional_string(field)?.ok_or_else(|| self.path.missing_field(field, "a text"))
    }

    /// Returns a field that must be a finite number of 0 or more if it is present.
    pub(crate) fn optional_f64(&self, field: &str) -> Result<Option<f64>, InvalidConfig> {
        const EXPECTED: &str = "a number of 0 or more";
        let Some(value) = self.get(field) else { return Ok(None) };
        let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.map(Some).ok_or_else(|| self.unexpected_value(field, value, EXPECTED))
    }

    /// Returns a number of 0 or more as an integer. Fractions are rounded up.
    pub(crate) fn optional_u64(&self, field: &str) -> Result<Option<u64>, InvalidConfig> {
        if let Some(number) = self.get(field).and_then(LazyValue::as_u64) {
            return Ok(Some(number));
        }
        Ok(self.optional_f64(field)?.map(|number| number.ceil().min(MAX_EXACT_INTEGER) as u64))
    }

    /// Like [`optional_u64`](Object::optional_u64), saturating at `u32::MAX`.
    pub(crate) fn optional_u32(&self, field: &str) -> Result<Option<u32>, InvalidConfig> {
        Ok(self.optional_u64(field)?.map(|number| u32::try_from(number).unwrap_or(u32::MAX)))
    }

    /// Returns a duration in milliseconds, rounded up and limited to [`MAX_DURATION_MS`].
    pub(crate) fn optional_milliseconds(&self, field: &str) -> Result<Option<u64>, InvalidConfig> {
        Ok(self.optional_u64(field)?.map(|number| number.min(MAX_DURATION_MS)))
    }

    /// Returns a field that must be a boolean if it is present.
    pub(crate) fn optional_bool(&self, field: &str) -> Result<Option<bool>, InvalidConfig> {
        const EXPECTED: &str = "true or false";
        let Some(value) = self.get(field) else { return Ok(None) };
        value.as_bool().map(Some).ok_or_else(|| self.unexpected_value(field, value, EXPECTED))
    }

    /// Returns the elements of an array field; empty if the field is absent.
    pub(crate) fn elements(&self, field: &str) -> Result<Vec<LazyValue<'a>>, InvalidConfig> {
        const EXPECTED: &str = "a list";
        let Some(value) = self.get(field) else { return Ok(Vec::new()) };
        let elements = value.clone().into_array_iter();
        let elements = elements.ok_or_else(|| self.unexpected_value(field, value, EXPECTED))?;
        elements.map(|element| element.map_err(|error| not_json(&error))).collect()
    }

    /// Returns the error for a field that has an unexpected value.
    pub(crate) fn unexpected_value(
        &self,
        field: &str,
        value: &LazyValue<'_>,
        expected: &'static str,
    ) -> InvalidConfig {
        self.path.unexpected_value(field, value.as_raw_str(), expected)
    }

    /// Returns all fields, sorted by key, including those that are `null`.
    pub(crate) fn into_fields(self) -> impl Iterator<Item = (Cow<'a, str>, LazyValue<'a>)> {
        self.fields.into_iter()
    }
}
