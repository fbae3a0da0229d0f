//! JSON parsing: validation of a text, and access to the fields of its objects.

mod object;
mod path;
mod precheck;

use sonic_rs::LazyValue;

use crate::error::{InvalidConfig, NotJsonSnafu};

pub(crate) use object::Object;
pub(crate) use path::{excerpt, JsonPath};

/// Validates that a text is exactly one JSON value, and returns that value.
pub(crate) fn parse(text: &[u8]) -> Result<LazyValue<'_>, InvalidConfig> {
    precheck::check(text)?;
    sonic_rs::from_slice(text).map_err(|error| not_json(&error))
}

/// Converts an error of the JSON parser. Only its offset is kept, as its message spans several lines.
pub(crate) fn not_json(error: &sonic_rs::Error) -> InvalidConfig {
    NotJsonSnafu { offset: error.offset() }.build()
}
