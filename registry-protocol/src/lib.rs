//! The list of instances and the JSON of every call to the registry. All names on the wire are defined here.
//!
//! Sources: the platform's protocol, "Discovery", for [`List`] and [`Entry`]; `docs/registry.md` for the
//! rest.

#![deny(unsafe_code)]

pub mod duty;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// The longest id, zone or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Shortest and longest lease of an entry, in seconds.
pub const LEASE_S: std::ops::RangeInclusive<f64> = 0.1..=86_400.0;
/// The longest time for which a watch may wait, as the platform's protocol states it.
pub const MAX_HOLD: Duration = Duration::from_secs(60);
/// Response header that marks a change as certainly not executed.
pub const NOT_EXECUTED_HEADER: &str = "x-not-run";
/// The most ids that one call may renew.
pub const MAX_RENEWALS: usize = 10_000;
/// The largest request body, in bytes: a renewal of [`MAX_RENEWALS`] ids of usual length fits.
pub const MAX_REQUEST_BYTES: usize = 2 << 20;
/// The largest list, in bytes.
pub const MAX_LIST_BYTES: usize = 16 << 20;

/// Path of the list of instances.
pub const INSTANCES_PATH: &str = "/registry/instances";

/// Whether an instance accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    #[default]
    Active,
    /// The instance finishes the work that it has and accepts no new work.
    Leaving,
    /// The instance was removed. This state only occurs among changes.
    Left,
}

/// One cache server, or the origin. Decoding is lenient, because lists come from the platform too: only the
/// id and the address are required, and an unknown state counts as [`State::Leaving`], so that the instance
/// gets no new work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    #[serde(default, deserialize_with = "lenient")]
    pub zone: String,
    #[serde(default, deserialize_with = "lenient")]
    pub kind: String,
    #[serde(default, deserialize_with = "lenient")]
    pub cell: u64,
    #[serde(default = "unknown_state", deserialize_with = "lenient_state")]
    pub state: State,
    #[serde(default = "default_weight", deserialize_with = "lenient_weight")]
    pub weight: f64,
    /// Start of the instance's process in Unix time, in milliseconds; 0 if unknown, which counts as older
    /// than any other start.
    #[serde(default, deserialize_with = "lenient_ms")]
    pub started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

fn unknown_state() -> State {
    State::Leaving
}

fn decode_or<'de, D: Deserializer<'de>, T: DeserializeOwned>(from: D, default: T) -> Result<T, D::Error> {
    Ok(serde_json::from_value(Value::deserialize(from)?).unwrap_or(default))
}

fn lenient<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(from: D) -> Result<T, D::Error> {
    decode_or(from, T::default())
}

fn lenient_state<'de, D: Deserializer<'de>>(from: D) -> Result<State, D::Error> {
    decode_or(from, unknown_state())
}

fn lenient_weight<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    decode_or(from, default_weight())
}

/// Some writers send the start time as a number with a fraction.
fn lenient_ms<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    Ok(decode_or(from, 0.0_f64)?.max(0.0) as u64)
}

/// The complete list if `full` is set, otherwise the entries that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Entry>,
}

/// Orders the processes that have used one id: the later start is newer, and at the same start the higher
/// incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    #[serde(default)]
    pub started_ms: u64,
    /// For instances that have no start time of their own.
    #[serde(default)]
    pub incarnation: u64,
}

impl Stamp {
    /// The caller gave neither a start time nor an incarnation.
    pub fn is_unset(self) -> bool {
        self == Stamp::default()
    }
}

/// `PUT /registry/instances/ID`: an entry, and the lease after which it expires without a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// May be given here as well as in the path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u64,
    #[serde(default)]
    pub state: State,
    #[serde(default = "default_weight")]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: u64,
    #[serde(default)]
    pub incarnation: u64,
    /// In seconds; without a lease the entry stays until it is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_s: Option<f64>,
}

impl Register {
    /// The request that registers this entry. `lease_s` is the lease in seconds; `None` means no expiry.
    pub fn new(entry: &Entry, lease_s: Option<f64>) -> Self {
        Register {
            id: Some(entry.id.clone()),
            addr: entry.addr,
            zone: entry.zone.clone(),
            kind: entry.kind.clone(),
            cell: entry.cell,
            state: entry.state,
            weight: entry.weight,
            started_ms: entry.started_ms,
            incarnation: 0,
            lease_s,
        }
    }

    /// Returns the entry as it is listed, its stamp and its lease.
    ///
    /// # Errors
    /// Names the first field that is out of bounds.
    pub fn check(self, id: &str) -> Result<(Entry, Stamp, Option<Duration>), Invalid> {
        check_id(id)?;
        if self.id.as_deref().is_some_and(|given| given != id) {
            return Err(Invalid("id: the path's id expected, or none".into()));
        }
        for (name, text) in [("zone", &self.zone), ("kind", &self.kind)] {
            if text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
                return Err(Invalid(format!("{name}: at most {MAX_NAME_BYTES} bytes of text expected")));
            }
        }
        if self.state == State::Left {
            return Err(Invalid("state: `active` or `leaving` expected; DELETE removes an entry".into()));
        }
        if !(self.weight.is_finite() && self.weight >= 0.0) {
            return Err(Invalid(format!("weight: a number of 0 or more expected, got {}", self.weight)));
        }
        let lease = match self.lease_s {
            Some(s) if !LEASE_S.contains(&s) => {
                let (least, most) = (LEASE_S.start(), LEASE_S.end());
                return Err(Invalid(format!("lease_s: {least} to {most} seconds expected, got {s}")));
            }
            lease => lease.map(Duration::from_secs_f64),
        };
        let stamp = Stamp { started_ms: self.started_ms, incarnation: self.incarnation };
        let entry = Entry {
            id: id.to_owned(),
            addr: self.addr,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            state: self.state,
            weight: self.weight,
            started_ms: self.started_ms,
        };
        Ok((entry, stamp, lease))
    }
}

/// # Errors
/// States which ids are valid.
pub fn check_id(id: &str) -> Result<(), Invalid> {
    let valid =
        (1..=MAX_NAME_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if valid {
        return Ok(());
    }
    Err(Invalid(format!("id: 1 to {MAX_NAME_BYTES} visible ASCII characters without `/` expected")))
}

/// An invalid field: its name, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(pub String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Invalid {}

/// The answer to a change: lists contain it from this version on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResult {
    pub version: u64,
    pub id: String,
}

/// One of the ids in a call that renews many.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renewal {
    pub id: String,
    #[serde(default)]
    pub started_ms: u64,
    #[serde(default)]
    pub incarnation: u64,
}

/// `POST /registry/renew`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewMany {
    pub renewals: Vec<Renewal>,
}

/// The answer to [`RenewMany`]. An unknown id has to register again; for a stale one a newer process is
/// registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewManyResult {
    pub version: u64,
    pub renewed: usize,
    pub unknown: Vec<String>,
    pub stale: Vec<String>,
}

/// `POST /registry/expiry/confirm`: lets entries expire whose expiry was stopped, after the caller has
/// checked that their servers are gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmExpiry {
    /// The most entries that expire by this confirmation.
    pub most: usize,
}

/// Answer to a confirmation: the catalogue's version, and the number of entries that may now expire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmExpiryResult {
    pub version: u64,
    pub expired: usize,
}

/// `GET /registry/expiry`: the entries whose expiry is stopped, and a few other entries. Probing both tells a
/// network partition from servers that have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expiry {
    pub stopped: Vec<EntryAddress>,
    pub others: Vec<EntryAddress>,
}

/// The id and the address of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    pub id: String,
    pub addr: SocketAddr,
}

/// `POST /registry/replicas`: adds this replica to the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinRequest {
    pub name: String,
    pub replica: SocketAddr,
}

/// One replica, as seen by the replica that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    pub id: u64,
    pub name: String,
    pub replica: String,
    pub voter: bool,
    /// The number of log entries that the replica lacks; `None` unless the leader answers.
    pub behind: Option<u64>,
}

/// `GET /registry/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub version: u64,
    pub entries: usize,
    pub role: String,
    pub leader: Option<String>,
    pub term: u64,
    pub last_log: u64,
    pub applied: u64,
    pub snapshot: u64,
    /// Why the replica answers no lists; `None` if it does.
    pub not_ready: Option<String>,
    /// The number of entries whose expiry is stopped.
    pub expiry_held: usize,
    pub replicas: Vec<Replica>,
}

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}
