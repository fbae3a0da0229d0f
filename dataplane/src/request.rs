//! What a client's request asks for: the headers that decide where it goes, and those that are passed along.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, HOST};
use shaletrail_protocol::Millis;

/// Names this try of a client; servers echo it.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Milliseconds that the client will wait.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The id of the server that the request is meant for.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// The newest event that the receiver of a stream has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The model asked for, with one of its adapters after a slash.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// Rank among the requests of a server, 0 first.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The parts of the prompt.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Tokens of the prompt and the most out.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");

/// Parts of a prompt that are taken into account; further ones are passed along only.
pub const MOST_PROMPT_PARTS: usize = 64;

/// Headers that concern one connection, besides those that `Connection` names.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
];

/// What the headers of a request ask for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wish {
    /// `Model` before the slash.
    pub model: Option<String>,
    /// `Model` after the slash.
    pub adapter: Option<String>,
    /// `Token-Count`.
    pub tokens: Option<(u32, u32)>,
    /// `Prompt-Prefix`.
    pub prompt: Vec<(u64, u32)>,
    /// `Deadline-Ms`.
    pub deadline: Option<Millis>,
    /// `Last-Event-Id`.
    pub last_event: Option<u64>,
}

impl Wish {
    /// Reads the headers; what cannot be read counts as not there.
    pub fn read(headers: &HeaderMap) -> Wish {
        let (model, adapter) = text(headers, &MODEL).map(model_and_adapter).unwrap_or_default();
        Wish {
            model,
            adapter,
            tokens: text(headers, &TOKEN_COUNT).and_then(token_count),
            prompt: text(headers, &PROMPT_PREFIX).map(prompt_parts).unwrap_or_default(),
            deadline: text(headers, &DEADLINE_MS).and_then(milliseconds),
            last_event: text(headers, &LAST_EVENT_ID).and_then(|value| value.parse().ok()),
        }
    }
}

/// The host that a request names, without port; empty if it names none.
pub fn host<'a>(headers: &'a HeaderMap, uri: &'a hyper::Uri) -> &'a str {
    let named = uri.host().or_else(|| text(headers, &HOST)).unwrap_or_default();
    named.rsplit_once(':').map_or(named, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port {
            name
        } else {
            named
        }
    })
}

/// Takes out the headers that concern only the connection they came over.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether a `Connection` header names `close`.
pub fn asks_to_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The text of a header, trimmed; `None` if it is missing or no text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// FNV-1a hash of a request's path: the same on every edge.
pub fn path_hash(path: &str) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    path.bytes().fold(BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn model_and_adapter(value: &str) -> (Option<String>, Option<String>) {
    let filled = |name: &str| (!name.is_empty()).then(|| name.to_owned());
    match value.split_once('/') {
        Some((model, adapter)) => (filled(model), filled(adapter)),
        None => (filled(value), None),
    }
}

fn token_count(value: &str) -> Option<(u32, u32)> {
    let (prompt, out) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, out.trim().parse().ok()?))
}

/// The parts up to the first that cannot be read: later ones are of no use without it.
fn prompt_parts(value: &str) -> Vec<(u64, u32)> {
    let part = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    value.split(',').map_while(part).take(MOST_PROMPT_PARTS).collect()
}

/// Whole or fractional milliseconds, rounded down.
fn milliseconds(value: &str) -> Option<Millis> {
    let number: f64 = value.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number as Millis)
}
