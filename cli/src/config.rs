//! The configuration file: TOML, unknown keys refused with the nearest known one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use serde::{Deserialize, Serialize};

use crate::Failure;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Say whether a file can be used
    Check { file: PathBuf },
    /// Print every setting with its default, as a file
    Show,
}

/// The whole file.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    pub registry: Registry,
}

/// A replica of the list service. Units are in the names.
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
    /// The settings within their bounds.
    ///
    /// # Errors
    /// Names the key, what was expected and what was found.
    pub fn settings(&self) -> Result<shaletrail_registry::Settings, Failure> {
        let within = |name: &str, value: u64, least: u64, most: u64| {
            if (least..=most).contains(&value) {
                return Ok(value);
            }
            Err(Failure::Wrong(format!("registry.{name}: {least} to {most} expected, got {value}")))
        };
        if !(self.expiry_share > 0.0 && self.expiry_share <= 1.0) {
            let got = self.expiry_share;
            return Err(Failure::Wrong(format!(
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

/// # Errors
/// One line: file, line and column, what was found and what was expected.
pub fn read(file: &Path) -> Result<File, Failure> {
    let wrong = |what: String| Failure::Wrong(format!("{}: {what}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| wrong(e.to_string()))?;
    let read = toml::from_str::<File>(&text).map_err(|e| {
        let before = e.span().map(|span| &text[..span.start.min(text.len())]);
        let place = before.map_or(String::new(), |before| {
            let line = before.matches('\n').count() + 1;
            let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1) + 1;
            format!("line {line}, column {column}: ")
        });
        wrong(format!("{place}{}{}", e.message(), nearest(e.message())))
    })?;
    read.registry.settings()?;
    Ok(read)
}

/// For "unknown field `x`, expected one of `a`, `b`": the expected one that is nearest.
fn nearest(message: &str) -> String {
    if !message.starts_with("unknown field") {
        return String::new();
    }
    let mut names = message.split('`').skip(1).step_by(2);
    let Some(found) = names.next() else { return String::new() };
    let nearest = names.min_by_key(|name| distance(found, name));
    nearest.map_or(String::new(), |name| format!("; did you mean `{name}`?"))
}

/// Letters to add, drop or change (Levenshtein).
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

pub fn run(args: &Args) -> Result<(), Failure> {
    match &args.verb {
        Verb::Check { file } => {
            read(file)?;
            println!("{}: fine", file.display());
        }
        Verb::Show => print!("{}", toml::to_string(&File::default()).map_err(Failure::failed)?),
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_defaults_are_a_file_and_a_wrong_key_is_named_with_the_nearest() {
        let shown = toml::to_string(&File::default()).unwrap();
        let read: File = toml::from_str(&shown).unwrap();
        assert_eq!(toml::to_string(&read).unwrap(), shown);
        let wrong = toml::from_str::<File>("[registry]\nheartbeat = 5\n").unwrap_err();
        assert!(nearest(wrong.message()).contains("`heartbeat_ms`"), "{}", wrong.message());
    }
}
