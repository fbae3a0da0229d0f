//! The configuration file in TOML. An unknown key is an error that suggests the nearest known key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use serde::{Deserialize, Serialize};

use crate::Failure;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Subcommand)]
enum Commands {
    /// Check whether a file is a valid configuration
    Check { file: PathBuf },
    /// Print every setting with its default, as a configuration file
    Show,
}

/// The whole file.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    pub registry: Registry,
}

/// Settings of a replica of the list service. Key names end in their unit.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registry {
    pub name: String,
    pub data: PathBuf,
    pub discovery: SocketAddr,
    pub ops: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replica: Option<SocketAddr>,
    pub heartbeat_ms: u64,
    pub stale_ms: u64,
    pub change_ms: u64,
    pub snapshot_every: u64,
    pub keep_entries: u64,
    pub expiry_share: f64,
    pub peers: BTreeMap<String, SocketAddr>,
}

impl Default for Registry {
    fn default() -> Self {
        let settings = shaletrail_registry::Settings::default();
        Registry {
            name: "r1".into(),
            data: "registry-data".into(),
            discovery: SocketAddr::from(([127, 0, 0, 1], 8500)),
            ops: SocketAddr::from(([127, 0, 0, 1], 8501)),
            replica: None,
            heartbeat_ms: settings.heartbeat_ms,
            stale_ms: settings.stale_ms,
            change_ms: settings.change_ms,
            snapshot_every: settings.snapshot_every,
            keep_entries: settings.keep_entries,
            expiry_share: settings.expiry_share,
            peers: BTreeMap::new(),
        }
    }
}

impl Registry {
    /// The replica's settings, checked against their bounds.
    ///
    /// # Errors
    /// Names the key, the expected range and the value found.
    pub fn settings(&self) -> Result<shaletrail_registry::Settings, Failure> {
        let within = |name: &str, value: u64, least: u64, most: u64| {
            if (least..=most).contains(&value) {
                return Ok(value);
            }
            Err(Failure::Invalid(format!("registry.{name}: {least} to {most} expected, got {value}")))
        };
        if !(self.expiry_share > 0.0 && self.expiry_share <= 1.0) {
            let got = self.expiry_share;
            return Err(Failure::Invalid(format!(
                "registry.expiry_share: over 0 and up to 1 expected, got {got}"
            )));
        }
        Ok(shaletrail_registry::Settings {
            heartbeat_ms: within("heartbeat_ms", self.heartbeat_ms, 20, 10_000)?,
            stale_ms: within("stale_ms", self.stale_ms, self.heartbeat_ms * 4, 600_000)?,
            change_ms: within("change_ms", self.change_ms, 100, 600_000)?,
            snapshot_every: within("snapshot_every", self.snapshot_every, 10, 10_000_000)?,
            keep_entries: within("keep_entries", self.keep_entries, 0, 10_000_000)?,
            expiry_share: self.expiry_share,
        })
    }
}

/// Reads and checks a configuration file.
///
/// # Errors
/// One line with the file, line and column, what was found and what was expected.
pub fn read(file: &Path) -> Result<File, Failure> {
    let invalid = |what: String| Failure::Invalid(format!("{}: {what}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| invalid(e.to_string()))?;
    let read = toml::from_str::<File>(&text).map_err(|e| {
        let before = e.span().map(|span| &text[..span.start.min(text.len())]);
        let place = before.map_or(String::new(), |before| {
            let line = before.matches('\n').count() + 1;
            let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1) + 1;
            format!("line {line}, column {column}: ")
        });
        invalid(format!("{place}{}{}", e.message(), nearest(e.message())))
    })?;
    read.registry.settings()?;
    Ok(read)
}

/// For the message "unknown field `x`, expected one of `a`, `b`", suggests the expected field nearest to `x`.
fn nearest(message: &str) -> String {
    if !message.starts_with("unknown field") {
        return String::new();
    }
    let mut names = message.split('`').skip(1).step_by(2);
    let Some(found) = names.next() else { return String::new() };
    let nearest = names.min_by_key(|name| distance(found, name));
    nearest.map_or(String::new(), |name| format!("; did you mean `{name}`?"))
}

/// Levenshtein distance.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let change = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = change.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

/// Checks a configuration file, or prints the default configuration.
pub fn run(args: &Args) -> Result<(), Failure> {
    match &args.command {
        Commands::Check { file } => {
            read(file)?;
            println!("{}: fine", file.display());
        }
        Commands::Show => print!("{}", toml::to_string(&File::default()).map_err(Failure::failed)?),
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn defaults_round_trip_through_toml_and_an_unknown_key_suggests_the_nearest() {
        let shown = toml::to_string(&File::default()).unwrap();
        let read: File = toml::from_str(&shown).unwrap();
        assert_eq!(toml::to_string(&read).unwrap(), shown);
        let invalid = toml::from_str::<File>("[registry]\nheartbeat = 5\n").unwrap_err();
        assert!(nearest(invalid.message()).contains("`heartbeat_ms`"), "{}", invalid.message());
    }
}
