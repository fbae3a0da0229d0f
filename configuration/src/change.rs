//! One call of the operator, checked as far as it can be without the configuration that it builds on.

use bitcode::{Decode, Encode};
use snafu::ResultExt;

use crate::change_body::{ChangeBody, Removal, Section};
use crate::content_hash::ContentHash;
use crate::error::{DecodeError, InvalidConfig, InvalidContentSnafu, NotJsonSnafu, UndecodableSnafu};

/// Which of the two calls a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// `Config.Replace`: the body is the new configuration, and all else is removed.
    Replace,
    /// `Config.Update`: the body names items to add, replace or remove, and all else stays.
    Update,
}

impl ChangeKind {
    /// The kind from the flag that messages and log entries have for it.
    pub fn from_replace_flag(replace: bool) -> ChangeKind {
        if replace {
            ChangeKind::Replace
        } else {
            ChangeKind::Update
        }
    }

    pub(crate) fn replaces_all(self) -> bool {
        self == ChangeKind::Replace
    }
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Change {
    pub(crate) kind: ChangeKind,
    pub(crate) base_version: u64,
    pub(crate) version: u64,
    pub(crate) content_hash: ContentHash,
    pub(crate) sections: Vec<Section>,
    pub(crate) removals: Vec<Removal>,
    body: String,
}

/// A change as it is stored in the log: the call, which is parsed again when it is decoded.
#[derive(Encode, Decode)]
struct EncodedChange<'a> {
    replace: bool,
    base_version: u64,
    body: &'a str,
}

impl Change {
    /// Parses the body of a call. `base_version` is the call's `Base-Version`: the version that the change builds on.
    ///
    /// # Errors
    ///
    /// If the body is invalid on any configuration.
    pub fn parse(kind: ChangeKind, base_version: u64, body: &[u8]) -> Result<Change, InvalidConfig> {
        let body = std::str::from_utf8(body);
        let body = body.map_err(|error| NotJsonSnafu { offset: error.valid_up_to() }.build())?;
        Change::parse_text(kind, base_version, body)
    }

    fn parse_text(kind: ChangeKind, base_version: u64, body: &str) -> Result<Change, InvalidConfig> {
        let ChangeBody { version, sections, removals } = ChangeBody::parse(kind, body)?;
        let content_hash = ContentHash::of(kind, base_version, body.as_bytes());
        Ok(Change { kind, base_version, version, content_hash, sections, removals, body: body.to_owned() })
    }

    /// The version that the change leads to.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version that the change builds on.
    pub fn base_version(&self) -> u64 {
        self.base_version
    }

    /// Size of the call's body, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Encodes the change as an entry of the configuration shard's log.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(&EncodedChange {
            replace: self.kind.replaces_all(),
            base_version: self.base_version,
            body: &self.body,
        })
    }

    /// Decodes what [`encode`](Change::encode) returned.
    pub fn decode(bytes: &[u8]) -> Result<Change, DecodeError> {
        let decoded: Result<EncodedChange<'_>, _> = bitcode::decode(bytes);
        let Ok(EncodedChange { replace, base_version, body }) = decoded else {
            return UndecodableSnafu { length: bytes.len(), expected: "a change" }.fail();
        };
        let kind = ChangeKind::from_replace_flag(replace);
        Change::parse_text(kind, base_version, body).context(InvalidContentSnafu)
    }
}
