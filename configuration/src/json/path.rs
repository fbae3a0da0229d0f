//! Paths that identify items and fields in error messages.

use std::fmt;

use crate::error::{InvalidConfig, MissingFieldSnafu, UnexpectedValueSnafu};

/// Maximum number of characters of a name or value that an error message quotes.
const MAX_EXCERPT_CHARS: usize = 60;

/// Path of an object: a top-level key of the configuration, an item of the list at that key, and a path within that
/// item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonPath<'a> {
    /// Top-level key of the configuration, or `body` for the body of a call.
    key: &'a str,
    /// Name of the item in the list at that key; empty for the value at the key as a whole.
    item_name: &'a str,
    /// Path of the object within the item; empty for the item itself.
    inner_path: &'static str,
    /// Index of the object in the array at the inner path.
    index: Option<usize>,
}

impl<'a> JsonPath<'a> {
    /// Returns the path of the item `item_name` in the list at `key`.
    pub(crate) fn item(key: &'a str, item_name: &'a str) -> Self {
        JsonPath { key, item_name, inner_path: "", index: None }
    }

    /// Returns the path of the value at `key` as a whole.
    pub(crate) fn section(key: &'a str) -> Self {
        JsonPath::item(key, "")
    }

    /// Returns the path of an object within the same item; it replaces the inner path of `self`.
    pub(crate) fn within(self, inner_path: &'static str, index: Option<usize>) -> Self {
        JsonPath { inner_path, index, ..self }
    }

    /// Returns the name of the item, which is empty for a value as a whole.
    pub(crate) fn item_name(&self) -> &'a str {
        self.item_name
    }

    /// Returns the path without the part within the item.
    fn item_path(self) -> String {
        JsonPath::item(self.key, self.item_name).to_string()
    }

    /// Returns the path of a field of this object, relative to the item.
    fn field_path(&self, field: &str) -> String {
        let field = excerpt(field);
        match (self.inner_path, self.index) {
            ("", _) => field,
            (path, None) => format!("{path}/{field}"),
            (path, Some(index)) => format!("{path}/{index}/{field}"),
        }
    }

    /// Returns the error for a required field that is missing.
    pub(crate) fn missing_field(&self, field: &str, expected: &'static str) -> InvalidConfig {
        MissingFieldSnafu { path: self.item_path(), field: self.field_path(field), expected }.build()
    }

    /// Returns the error for a field that has the unexpected value `json`.
    pub(crate) fn unexpected_value(&self, field: &str, json: &str, expected: &'static str) -> InvalidConfig {
        let (path, field, value) = (self.item_path(), self.field_path(field), excerpt(json));
        UnexpectedValueSnafu { path, field, value, expected }.build()
    }
}

impl fmt::Display for JsonPath<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&excerpt(self.key))?;
        if !self.item_name.is_empty() {
            write!(formatter, "/{}", excerpt(self.item_name))?;
        }
        if !self.inner_path.is_empty() {
            write!(formatter, "/{}", self.inner_path)?;
        }
        match self.index {
            Some(index) => write!(formatter, "/{index}"),
            None => Ok(()),
        }
    }
}

/// Truncates a text that the operator wrote and replaces its control characters, so that it fits on one line of a
/// message.
pub(crate) fn excerpt(text: &str) -> String {
    let mut excerpt: String = text.chars().take(MAX_EXCERPT_CHARS).map(replace_control).collect();
    if text.chars().nth(MAX_EXCERPT_CHARS).is_some() {
        excerpt.push_str("...");
    }
    excerpt
}

fn replace_control(character: char) -> char {
    if character.is_control() {
        char::REPLACEMENT_CHARACTER
    } else {
        character
    }
}
