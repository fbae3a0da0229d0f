//! Classifies a server's response by its head as a success, a failure, a rejection or malformed.

use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::ServerLoad;

use crate::request::{header_text, ATTEMPT_ID};

/// Shows that a response was made by a model server itself and not by an intermediary.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("server-stamp");
/// Present if the server guarantees that it has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// The id of the server that sent the response.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// The server's load: running requests, waiting requests and slots, separated by commas.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// Its `timeout` is the time after which the server closes an idle connection, in seconds.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Statuses from which a client may conclude that its request has not been executed and never will be.
const REJECTION_STATUSES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// A length that is known in advance, in bytes; 0 if there is no body.
    Length(u64),
    /// Chunked transfer coding, of a length that is not known in advance.
    Chunked,
    /// An event stream, either chunked or of a known length.
    Events,
}

/// The kind of a response, as shown by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A success with a [`SERVER_STAMP`].
    Success(BodyFraming),
    /// A failure reported by the server. It is either forwarded unchanged or discarded for a retry.
    Failure,
    /// The server guarantees that it has not executed the request.
    Rejection,
    /// Not a valid response to this request.
    Malformed(MalformedReason),
}

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedReason {
    /// The `Attempt-Id` of the response differs from that of the request.
    AttemptIdMismatch,
    /// A success without [`SERVER_STAMP`].
    MissingStamp,
    /// The body ends with the connection, so that a complete body cannot be told from a truncated one.
    UnknownLength,
    /// A 1xx status, which announces a further response.
    InformationalStatus,
    /// The status implies that the request has not been executed, but [`NOT_EXECUTED`] is missing. If it were
    /// forwarded, the client would rely on a guarantee that no server has given.
    UnconfirmedRejection,
}

/// Classifies the head of a response to a request with the given method and `Attempt-Id`.
pub fn classify(head: &Parts, method: &Method, attempt_id: Option<&HeaderValue>) -> ResponseKind {
    if head.headers.get(ATTEMPT_ID) != attempt_id {
        return ResponseKind::Malformed(MalformedReason::AttemptIdMismatch);
    }
    if head.status.is_informational() {
        return ResponseKind::Malformed(MalformedReason::InformationalStatus);
    }
    if is_rejection(head) {
        return ResponseKind::Rejection;
    }
    if REJECTION_STATUSES.contains(&head.status) {
        return ResponseKind::Malformed(MalformedReason::UnconfirmedRejection);
    }
    let Some(framing) = body_framing(head, method) else {
        return ResponseKind::Malformed(MalformedReason::UnknownLength);
    };
    if !head.status.is_success() {
        return ResponseKind::Failure;
    }
    if head.headers.contains_key(SERVER_STAMP) {
        ResponseKind::Success(framing)
    } else {
        ResponseKind::Malformed(MalformedReason::MissingStamp)
    }
}

/// Parses [`SERVER_LOAD`]; `None` if it is missing or invalid.
pub fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let mut numbers = header_text(headers, &SERVER_LOAD)?.split(',').map(|number| number.trim().parse().ok());
    Some(ServerLoad { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? })
}

/// Parses `Retry-After`, an integral or fractional number of seconds, and returns it in milliseconds. `None`
/// if it is missing or invalid; dates are not supported.
pub fn retry_after_ms(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = header_text(headers, &RETRY_AFTER)?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1000.0) as Millis)
}

/// Parses the `timeout` of [`KEEP_ALIVE`] and returns it in milliseconds; `None` if it is missing or invalid.
pub fn keep_alive_ms(headers: &HeaderMap) -> Option<Millis> {
    let options = header_text(headers, &KEEP_ALIVE)?.split(',');
    let timeout =
        options.filter_map(|option| option.split_once('=')).find(|(name, _)| name.trim() == "timeout")?;
    timeout.1.trim().parse::<Millis>().ok()?.checked_mul(1000)
}

fn is_rejection(head: &Parts) -> bool {
    const STATUSES_WITH_NOT_EXECUTED: [StatusCode; 3] =
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS, StatusCode::BAD_REQUEST];
    head.status == StatusCode::MISDIRECTED_REQUEST
        || (STATUSES_WITH_NOT_EXECUTED.contains(&head.status) && head.headers.contains_key(NOT_EXECUTED))
}

/// How the body is delimited; `None` if it ends with the connection, so that its end cannot be told from a
/// failure.
fn body_framing(head: &Parts, method: &Method) -> Option<BodyFraming> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    if bodiless || method == Method::HEAD {
        return Some(BodyFraming::Length(0));
    }
    let (is_encoded, is_chunked) = transfer_encoding(&head.headers);
    // `Content-Length` does not apply next to a `Transfer-Encoding`: unless chunked, such a body ends with
    // the connection.
    let length = header_text(&head.headers, &CONTENT_LENGTH).and_then(|value| value.parse().ok());
    let length = length.filter(|_| !is_encoded);
    if is_event_stream(&head.headers) && (is_chunked || length.is_some()) {
        return Some(BodyFraming::Events);
    }
    if is_chunked {
        Some(BodyFraming::Chunked)
    } else {
        length.map(BodyFraming::Length)
    }
}

/// Whether there is a `Transfer-Encoding`, and whether the last coding in it is `chunked`.
fn transfer_encoding(headers: &HeaderMap) -> (bool, bool) {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()).and_then(|value| value.rsplit(',').next());
    (last.is_some(), coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = header_text(headers, &CONTENT_TYPE).and_then(|value| value.split(';').next());
    media_type.is_some_and(|name| name.trim().eq_ignore_ascii_case("text/event-stream"))
}
