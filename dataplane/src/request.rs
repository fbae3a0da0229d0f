//! Parses the request headers that routing depends on, and strips hop-by-hop headers.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, HOST};
use hyper::http::request::Parts;
use hyper::Uri;
use shaletrail_protocol::Millis;

/// The client's id for this attempt at a request; servers repeat it in their responses.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// How long the client, or the edge in turn, waits for the response, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The id of the server for which the request is meant; another server at the same address rejects it.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// The id of the last event of a stream that the sender of the request has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The requested model, optionally followed by a slash and the name of an adapter.
pub const MODEL: HeaderName = HeaderName::from_static("model");
/// The priority of a request at a server; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The segments of the prompt, as a comma-separated list of `ID:TOKENS`, where the id is hexadecimal.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// The number of tokens in the prompt and the maximum number to generate, as `PROMPT,OUTPUT`.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");

/// Routing considers only this many segments of a prompt; further segments are forwarded but not parsed.
pub const MAX_PROMPT_SEGMENTS: usize = 64;

/// Headers that apply to one connection only, in addition to those listed in `Connection`.
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

/// Bytes of a request line besides method and target: two spaces, the version and the end of the line.
const REQUEST_LINE_BYTES: usize = " ".len() * 2 + "HTTP/1.1".len() + "\r\n".len();
/// Bytes of a header line besides name and value.
const HEADER_LINE_BYTES: usize = ":".len() + "\r\n".len();

/// The request headers that routing depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// The part of `Model` before the slash; `None` if it is empty.
    pub model: Option<String>,
    /// The part of `Model` after the slash; `None` if it is empty.
    pub adapter: Option<String>,
    /// From `Token-Count`: the tokens of the prompt, and the maximum number to generate.
    pub tokens: Option<(u32, u32)>,
    /// From `Prompt-Prefix`: id and token count of each segment, [`MAX_PROMPT_SEGMENTS`] at most.
    pub prompt: Vec<(u64, u32)>,
    /// From `Deadline-Ms`: the client's time limit, in milliseconds.
    pub deadline: Option<Millis>,
    /// From `Last-Event-Id`: the last event that the client has received.
    pub last_event: Option<u64>,
}

impl RequestHeaders {
    /// Parses the headers. A value that cannot be parsed counts as missing.
    pub fn parse(headers: &HeaderMap) -> RequestHeaders {
        let (model, adapter) = header_text(headers, &MODEL).map(split_model_and_adapter).unwrap_or_default();
        RequestHeaders {
            model,
            adapter,
            tokens: header_text(headers, &TOKEN_COUNT).and_then(parse_token_count),
            prompt: header_text(headers, &PROMPT_PREFIX).map(parse_prompt_segments).unwrap_or_default(),
            deadline: header_text(headers, &DEADLINE_MS).and_then(parse_milliseconds),
            last_event: header_text(headers, &LAST_EVENT_ID).and_then(|value| value.parse().ok()),
        }
    }
}

/// The host of a request without its port, from the URI or else from `Host`; empty if neither names one.
pub fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let named = uri.host().or_else(|| header_text(headers, &HOST)).unwrap_or_default();
    named.rsplit_once(':').map_or(named, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port {
            name
        } else {
            named
        }
    })
}

/// Removes the headers that apply only to the connection on which they arrived.
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

/// Whether a `Connection` header lists the option `close`.
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The trimmed value of a header; `None` if the header is missing or its value is not ASCII text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// The 64-bit FNV-1a hash of a request's path, which is the same on every edge.
pub fn path_hash(path: &str) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    path.bytes().fold(BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn split_model_and_adapter(value: &str) -> (Option<String>, Option<String>) {
    let non_empty = |name: &str| (!name.is_empty()).then(|| name.to_owned());
    match value.split_once('/') {
        Some((model, adapter)) => (non_empty(model), non_empty(adapter)),
        None => (non_empty(value), None),
    }
}

fn parse_token_count(value: &str) -> Option<(u32, u32)> {
    let (prompt, output) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}

/// Parses the segments up to the first invalid one; those before it still form a prefix of the prompt.
fn parse_prompt_segments(value: &str) -> Vec<(u64, u32)> {
    let segment = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    value.split(',').map_while(segment).take(MAX_PROMPT_SEGMENTS).collect()
}

/// Parses an integral or fractional number of milliseconds and rounds it down.
fn parse_milliseconds(value: &str) -> Option<Millis> {
    let number: f64 = value.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number as Millis)
}

/// The length of a request's head as received, in bytes, less the optional spaces around header values. So a head within
/// a limit never counts as longer.
pub fn min_head_bytes(head: &Parts) -> usize {
    let headers = head.headers.iter();
    let header_bytes: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES).sum();
    head.method.as_str().len() + target_bytes(&head.uri) + REQUEST_LINE_BYTES + header_bytes + "\r\n".len()
}

/// The length of a request's target, in bytes. hyper adds the path `/` to an absolute URI without a path.
fn target_bytes(target: &Uri) -> usize {
    let scheme = target.scheme_str().map_or(0, |scheme| scheme.len() + "://".len());
    let authority = target.authority().map_or(0, |authority| authority.as_str().len());
    let is_path_optional = target.scheme().is_some();
    let path = target.path_and_query().map_or("", |path| path.as_str());
    let path = if is_path_optional && path == "/" { 0 } else { path.len() };
    scheme + authority + path
}
