//! The lines of a settings file, and typed access to their values.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use super::error::{InvalidValueSnafu, MissingKeySnafu, SettingsError};

pub(super) const MILLISECOND: Duration = Duration::from_millis(1);
pub(super) const SECOND: Duration = Duration::from_secs(1);

pub(super) const BOOLEAN: &str = "true or false";
pub(super) const SOCKET_ADDRESS: &str = "IP:PORT";
pub(super) const WHOLE_NUMBER: &str = "a whole number";
const POSITIVE_NUMBER: &str = "a number over 0";
const NON_NEGATIVE_NUMBER: &str = "a number of 0 or more";

/// The exclusive upper limit of a duration, in its unit, so that arithmetic on durations cannot overflow.
const MAX_DURATION_UNITS: f64 = 1e9;

/// The values of a settings file, by key. Lines without `=` are ignored. If a key occurs more than once, the last
/// line wins.
#[derive(Clone, Debug, Default)]
pub(super) struct SettingsLines(BTreeMap<String, String>);

impl FromStr for SettingsLines {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let pairs = text.lines().filter_map(|line| line.trim().split_once('='));
        Ok(SettingsLines(
            pairs.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned())).collect(),
        ))
    }
}

impl SettingsLines {
    /// The text of a value; `None` if the key is absent or its value is empty.
    pub(super) fn value(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|value| !value.is_empty())
    }

    /// The values of all keys that begin with `prefix`, by the rest of the key.
    pub(super) fn with_prefix(&self, prefix: &str) -> BTreeMap<String, String> {
        let pairs = self.0.iter().filter_map(|(key, value)| Some((key.strip_prefix(prefix)?, value)));
        pairs.map(|(rest, value)| (rest.to_owned(), value.clone())).collect()
    }

    pub(super) fn required<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, SettingsError> {
        self.optional(key, expected)?.ok_or_else(|| MissingKeySnafu { key, expected }.build())
    }

    pub(super) fn optional<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.value(key) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| InvalidValueSnafu { key, value, expected }.build())
    }

    pub(super) fn with_default<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> Result<T, SettingsError> {
        Ok(self.optional(key, expected)?.unwrap_or(default))
    }

    /// The comma-separated items of a value; empty if the key is absent.
    pub(super) fn list<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Vec<T>, SettingsError> {
        let items =
            self.value(key).unwrap_or_default().split(',').map(str::trim).filter(|item| !item.is_empty());
        let parse =
            |item: &str| item.parse().map_err(|_| InvalidValueSnafu { key, value: item, expected }.build());
        items.map(parse).collect()
    }

    /// A duration greater than 0. The file contains it as a number of `unit`s.
    pub(super) fn duration(
        &self,
        key: &str,
        unit: Duration,
        default: f64,
    ) -> Result<Duration, SettingsError> {
        let number: f64 = self.with_default(key, POSITIVE_NUMBER, default)?;
        if !(number.is_finite() && number > 0.0 && number < MAX_DURATION_UNITS) {
            let value = number.to_string();
            return InvalidValueSnafu { key, value, expected: POSITIVE_NUMBER }.fail();
        }
        Ok(unit.mul_f64(number))
    }

    /// A finite number of 0 or more.
    pub(super) fn non_negative_number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let number: f64 = self.with_default(key, NON_NEGATIVE_NUMBER, default)?;
        if !(number.is_finite() && number >= 0.0) {
            let value = number.to_string();
            return InvalidValueSnafu { key, value, expected: NON_NEGATIVE_NUMBER }.fail();
        }
        Ok(number)
    }
}
