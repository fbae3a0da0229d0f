//! Classifies the head of a server's response: a success, a failure, a rejection, or malformed.

use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::ServerLoad;

use crate::request::{text, ATTEMPT_ID};

/// Marks a response that a model server made itself, rather than something on the way.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("server-stamp");
/// States that the server has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// The id of the server that responded.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// The server's load: running, waiting and slots.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// How long the server keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Statuses from which a client concludes that its request has not been executed and never will be.
const REJECTION_STATUSES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyShape {
    /// No body, or one of a known length in bytes.
    Length(u64),
    /// In chunks of unknown total length.
    Chunked,
    /// An event stream, in chunks or of a known length.
    Events,
}

/// What a response is, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A success with the server's stamp.
    Success(BodyShape),
    /// A failure of the server's own, which is forwarded unchanged or not at all.
    Failure,
    /// The server states that it has not executed the request.
    Rejection,
    /// No valid response to this request.
    Malformed(MalformedReason),
}

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedReason {
    /// Its `Attempt-Id` is not the request's.
    AttemptIdMismatch,
    /// A success without the server's stamp.
    MissingStamp,
    /// The end of its body cannot be told from a broken connection.
    UnknownLength,
    /// Its status announces another response to come.
    InformationalStatus,
    /// Its status says that the request has not been executed, but [`NOT_EXECUTED`] is missing: forwarded, it would
    /// assure the client of what nobody has confirmed.
    UnconfirmedRejection,
}

/// Classifies the head of a response to a request with this method and `Attempt-Id`.
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
    let Some(shape) = body_shape(head, method) else {
        return ResponseKind::Malformed(MalformedReason::UnknownLength);
    };
    if !head.status.is_success() {
        return ResponseKind::Failure;
    }
    if head.headers.contains_key(SERVER_STAMP) {
        ResponseKind::Success(shape)
    } else {
        ResponseKind::Malformed(MalformedReason::MissingStamp)
    }
}

/// The value of `Server-Load`: running, waiting, slots.
pub fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let mut numbers = text(headers, &SERVER_LOAD)?.split(',').map(|number| number.trim().parse().ok());
    Some(ServerLoad { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? })
}

/// The value of `Retry-After`, in milliseconds.
pub fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = text(headers, &RETRY_AFTER)?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1000.0) as Millis)
}

/// The `timeout` of `Keep-Alive`, in milliseconds.
pub fn keep_alive(headers: &HeaderMap) -> Option<Millis> {
    let options = text(headers, &KEEP_ALIVE)?.split(',');
    let timeout =
        options.filter_map(|option| option.split_once('=')).find(|(name, _)| name.trim() == "timeout")?;
    timeout.1.trim().parse::<Millis>().ok()?.checked_mul(1000)
}

fn is_rejection(head: &Parts) -> bool {
    const MARKED_STATUSES: [StatusCode; 3] =
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS, StatusCode::BAD_REQUEST];
    head.status == StatusCode::MISDIRECTED_REQUEST
        || (MARKED_STATUSES.contains(&head.status) && head.headers.contains_key(NOT_EXECUTED))
}

/// How the body is framed; `None` where its end could not be told from a broken connection.
fn body_shape(head: &Parts, method: &Method) -> Option<BodyShape> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    if bodiless || method == Method::HEAD {
        return Some(BodyShape::Length(0));
    }
    let (is_encoded, is_chunked) = transfer_encoding(&head.headers);
    // With a `Transfer-Encoding` a length says nothing: without chunks such a body ends with its connection.
    let length = text(&head.headers, &CONTENT_LENGTH).and_then(|value| value.parse().ok());
    let length = length.filter(|_| !is_encoded);
    if is_event_stream(&head.headers) && (is_chunked || length.is_some()) {
        return Some(BodyShape::Events);
    }
    if is_chunked {
        Some(BodyShape::Chunked)
    } else {
        length.map(BodyShape::Length)
    }
}

/// Whether there is a `Transfer-Encoding`, and whether the last one named is `chunked`.
fn transfer_encoding(headers: &HeaderMap) -> (bool, bool) {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()).and_then(|value| value.rsplit(',').next());
    (last.is_some(), coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = text(headers, &CONTENT_TYPE).and_then(|value| value.split(';').next());
    media_type.is_some_and(|name| name.trim().eq_ignore_ascii_case("text/event-stream"))
}
