//! Paths that error messages name items and fields by.

use std::fmt;

use crate::error::{InvalidConfig, MissingFieldSnafu, UnexpectedValueSnafu};

/// Characters of a name or value that error messages repeat.
const MAX_EXCERPT_CHARS: usize = 60;

/// Path of an object: a key of the configuration, an item under it, and a path within that item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonPath<'a> {
    /// Key of the configuration, or the body of a call.
    key: &'a str,
    /// Name of the item in the list at that key, or empty.
    item_name: &'a str,
    /// Path within the item, or empty.
    inner_path: &'static str,
    /// Index in the array at the inner path.
    index: Option<usize>,
}

impl<'a> JsonPath<'a> {
    /// The item `item_name` of the list at `key`.
    pub(crate) fn item(key: &'a str, item_name: &'a str) -> Self {
        JsonPath { key, item_name, inner_path: "", index: None }
    }

    /// The value at `key` as a whole.
    pub(crate) fn section(key: &'a str) -> Self {
        JsonPath::item(key, "")
    }

    /// An object within the item, in place of any that this path has.
    pub(crate) fn within(self, inner_path: &'static str, index: Option<usize>) -> Self {
        JsonPath { inner_path, index, ..self }
    }

    /// Name of the item, or empty.
    pub(crate) fn item_name(&self) -> &'a str {
        self.item_name
    }

    /// The path up to the item.
    fn item_path(self) -> String {
        JsonPath::item(self.key, self.item_name).to_string()
    }

    /// Path within the item of a field of this object.
    fn field_path(&self, field: &str) -> String {
        let field = excerpt(field);
        match (self.inner_path, self.index) {
            ("", _) => field,
            (path, None) => format!("{path}/{field}"),
            (path, Some(index)) => format!("{path}/{index}/{field}"),
        }
    }

    /// The error of a required field that is missing.
    pub(crate) fn missing_field(&self, field: &str, expected: &'static str) -> InvalidConfig {
        MissingFieldSnafu { path: self.item_path(), field: self.field_path(field), expected }.build()
    }

    /// The error of a field whose value, as JSON, is not the expected one.
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

/// The beginning of a text that the operator wrote, without control characters: it fits on one line of a message.
pub(crate) fn excerpt(text: &str) -> String {
    let mut excerpt: String = text.chars().take(MAX_EXCERPT_CHARS).map(without_control).collect();
    if text.chars().nth(MAX_EXCERPT_CHARS).is_some() {
        excerpt.push_str("...");
    }
    excerpt
}

fn without_control(character: char) -> char {
    if character.is_control() {
        char::REPLACEMENT_CHARACTER
    } else {
        character
    }
}
