//! Parses the headers of a client's request that routing depends on, and strips those that concern one connection.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, HOST};
use shaletrail_protocol::Millis;

/// Identifies this attempt of a client; servers echo it.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// How long the client waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The id of the server that the request is meant for.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// The last event of a stream that the receiver has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The requested model, followed by a slash and one of its adapters.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// Priority among the requests of a server; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The segments of the prompt, as identifiers and tokens.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Tokens of the prompt, and the most that may be generated.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");

/// Segments of a prompt that routing takes into account; further ones are only forwarded.
pub const MAX_PROMPT_SEGMENTS: usize = 64;

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

/// What routing takes from the headers of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// The part of `Model` before the slash.
    pub model: Option<String>,
    /// The part of `Model` after the slash.
    pub adapter: Option<String>,
    /// `Token-Count`: tokens of the prompt, and the most that may be generated.
    pub tokens: Option<(u32, u32)>,
    /// `Prompt-Prefix`: identifiers and tokens of the segments of the prompt.
    pub prompt: Vec<(u64, u32)>,
    /// `Deadline-Ms`, in milliseconds.
    pub deadline: Option<Millis>,
    /// `Last-Event-Id`.
    pub last_event: Option<u64>,
}

impl RequestHeaders {
    /// Parses the headers; what cannot be parsed counts as missing.
    pub fn parse(headers: &HeaderMap) -> RequestHeaders {
        let (model, adapter) = text(headers, &MODEL).map(model_and_adapter).unwrap_or_default();
        RequestHeaders {
            model,
            adapter,
            tokens: text(headers, &TOKEN_COUNT).and_then(token_count),
            prompt: text(headers, &PROMPT_PREFIX).map(prompt_segments).unwrap_or_default(),
            deadline: text(headers, &DEADLINE_MS).and_then(milliseconds),
            last_event: text(headers, &LAST_EVENT_ID).and_then(|value| value.parse().ok()),
        }
    }
}

/// The host of a request, without port; empty if there is none.
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

/// Removes the headers that concern only the connection they arrived on.
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
pub fn has_connection_close(headers: &HeaderMap) -> bool {
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
    let non_empty = |name: &str| (!name.is_empty()).then(|| name.to_owned());
    match value.split_once('/') {
        Some((model, adapter)) => (non_empty(model), non_empty(adapter)),
        None => (non_empty(value), None),
    }
}

fn token_count(value: &str) -> Option<(u32, u32)> {
    let (prompt, output) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}

/// The segments up to the first that cannot be parsed: a prefix ends there.
fn prompt_segments(value: &str) -> Vec<(u64, u32)> {
    let segment = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    value.split(',').map_while(segment).take(MAX_PROMPT_SEGMENTS).collect()
}

/// Integral or fractional milliseconds, rounded down.
fn milliseconds(value: &str) -> Option<Millis> {
    let number: f64 = value.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number as Millis)
}
