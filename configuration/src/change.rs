//! One operator call, validated as far as possible without the configuration that it is based on.

use bitcode::{Decode, Encode};
use snafu::ResultExt;

use crate::change_body::{ChangeBody, Removal, Section};
use crate::content_hash::ContentHash;
use crate::error::{DecodeError, InvalidConfig, InvalidContentSnafu, NotJsonSnafu, UndecodableSnafu};

/// The operator call that a change comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// `Config.Replace`: the body is the complete new configuration; everything that it leaves out is removed.
    Replace,
    /// `Config.Update`: the body lists items to add, replace or remove; everything else is kept.
    Update,
}

impl ChangeKind {
    /// Converts the `replace` flag of messages and log entries: `true` is [`Replace`](ChangeKind::Replace).
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

/// Identifies a change without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeId {
    pub(crate) base_version: u64,
    pub(crate) content_hash: ContentHash,
}

impl ChangeId {
    /// Returns the identity of a call, without parsing its body.
    pub fn of(kind: ChangeKind, base_version: u64, body: &[u8]) -> ChangeId {
        ChangeId { base_version, content_hash: ContentHash::of(kind, base_version, body) }
    }

    /// Returns the version that the change is based on.
    pub fn base_version(&self) -> u64 {
        self.base_version
    }
}

/// A change of the configuration, valid by itself but not yet checked against the current configuration.
#[derive(Clone, Debug)]
pub struct Change {
    pub(crate) kind: ChangeKind,
    pub(crate) id: ChangeId,
    pub(crate) version: u64,
    pub(crate) sections: Vec<Section>,
    pub(crate) removals: Vec<Removal>,
    body: String,
}

/// The encoding of a change in the log. It holds the call as it was received; decoding parses the body again.
#[derive(Encode, Decode)]
pub(crate) struct EncodedChange<'a> {
    replace: bool,
    base_version: u64,
    body: &'a str,
}

impl<'a> EncodedChange<'a> {
    /// Decodes a log entry that [`Change::encode`] produced. Does not parse the body.
    pub(crate) fn decode(bytes: &'a [u8]) -> Result<EncodedChange<'a>, DecodeError> {
        let decoded: Result<EncodedChange<'a>, _> = bitcode::decode(bytes);
        decoded.or_else(|_| UndecodableSnafu { length: bytes.len(), expected: "a change" }.fail())
    }

    /// Returns the identity of the change.
    pub(crate) fn id(&self) -> ChangeId {
        ChangeId::of(self.kind(), self.base_version, self.body.as_bytes())
    }

    /// Parses the body. `id` is [`EncodedChange::id`].
    pub(crate) fn parse(&self, id: ChangeId) -> Result<Change, DecodeError> {
        Change::parse_body(self.kind(), id, self.body).context(InvalidContentSnafu)
    }

    fn kind(&self) -> ChangeKind {
        ChangeKind::from_replace_flag(self.replace)
    }
}

impl Change {
    /// Parses the body of a call. `base_version` is the value of the call's `Base-Version` header, the version that the
    /// change is based on.
    ///
    /// # Errors
    ///
    /// If the body is invalid regardless of the current configuration.
    pub fn parse(kind: ChangeKind, base_version: u64, body: &[u8]) -> Result<Change, InvalidConfig> {
        let body = std::str::from_utf8(body);
        let body = body.map_err(|error| NotJsonSnafu { offset: error.valid_up_to() }.build())?;
        Change::parse_body(kind, ChangeId::of(kind, base_version, body.as_bytes()), body)
    }

    fn parse_body(kind: ChangeKind, id: ChangeId, body: &str) -> Result<Change, InvalidConfig> {
        let ChangeBody { version, sections, removals } = ChangeBody::parse(kind, body)?;
        Ok(Change { kind, id, version, sections, removals, body: body.to_owned() })
    }

    /// Returns the identity of the change.
    pub fn id(&self) -> ChangeId {
        self.id
    }

    /// Returns the version of the configuration after the change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version that the change is based on; it must be the current one when the change is applied.
    pub fn base_version(&self) -> u64 {
        self.id.base_version
    }

    /// Returns the size of the call's body, in bytes.
    pub(crate) fn body_size(&self) -> usize {
        self.body.len()
    }

    /// Encodes the change as a log entry of the configuration shard.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(&EncodedChange {
            replace: self.kind.replaces_all(),
            base_version: self.id.base_version,
            body: &self.body,
        })
    }

    /// Encodes a call as a log entry of the configuration shard, like [`encode`](Change::encode), without parsing its
    /// body. `None` if the body is not UTF-8.
    pub fn encode_call(kind: ChangeKind, base_version: u64, body: &[u8]) -> Option<Vec<u8>> {
        let body = std::str::from_utf8(body).ok()?;
        Some(bitcode::encode(&EncodedChange { replace: kind.replaces_all(), base_version, body }))
    }

    /// Decodes a log entry that [`encode`](Change::encode) produced.
    pub fn decode(bytes: &[u8]) -> Result<Change, DecodeError> {
        let encoded = EncodedChange::decode(bytes)?;
        encoded.parse(encoded.id())
    }
}
