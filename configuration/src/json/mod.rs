//! Reading of JSON: validation of a text, and access to the fields of its objects.

mod object;
mod path;
mod precheck;

use sonic_rs::LazyValue;

use crate::error::{InvalidConfig, NotJsonSnafu};

pub(crate) use object::Object;
pub(crate) use path::{excerpt, JsonPath};

/// Validates a text as exactly one JSON value.
pub(crate) fn parse(text: &[u8]) -> Result<LazyValue<'_>, InvalidConfig> {
    precheck::check(text)?;
    sonic_rs::from_slice(text).map_err(|error| not_json(&error))
}

/// Converts the parser's error, whose own message has several lines.
pub(crate) fn not_json(error: &sonic_rs::Error) -> InvalidConfig {
    NotJsonSnafu { offset: error.offset() }.build()
}
