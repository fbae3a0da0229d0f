//! What a server's answer is: a success, a failure, a request turned away, or nothing that belongs here.

use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::ServerLoad;

use crate::request::{text, ATTEMPT_ID};

/// The mark of a server's own answer.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("server-stamp");
/// Says that the server has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Who has answered.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
/// How busy the server is.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// How long the server keeps a connection that rests.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Statuses that promise a client that its request has not run and never will.
const PROMISES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// How the body of an answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyShape {
    /// None, or of a known length in bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// A series of events, in chunks or of a known length.
    Events,
}

/// What the head of an answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A success with its stamp.
    Success(BodyShape),
    /// A failure of the server's own, which is to be passed on as it is or not at all.
    Failure,
    /// The server says that it has not run the request.
    Rejected,
    /// No answer to this request.
    MalformedResponse(Garble),
}

/// Why an answer is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Garble {
    /// It names another request.
    OtherRequest,
    /// A success without stamp.
    NoStamp,
    /// Its end cannot be told from a broken connection.
    NoEnd,
    /// A status that is no final answer.
    NotFinal,
    /// A status that promises that the request has not run, without the server's word for it: passed on, it would
    /// be a promise to the client that nobody can keep.
    EmptyPromise,
}

/// Judges the head of an answer to a request with this method and `Attempt-Id`.
pub fn judge(head: &Parts, method: &Method, attempt_id: Option<&HeaderValue>) -> Kind {
    if head.headers.get(ATTEMPT_ID) != attempt_id {
        return Kind::MalformedResponse(Garble::OtherRequest);
    }
    if head.status.is_informational() {
        return Kind::MalformedResponse(Garble::NotFinal);
    }
    if is_turned_away(head) {
        return Kind::Rejected;
    }
    if PROMISES.contains(&head.status) {
        return Kind::MalformedResponse(Garble::EmptyPromise);
    }
    let Some(shape) = body_shape(head, method) else { return Kind::MalformedResponse(Garble::NoEnd) };
    if !head.status.is_success() {
        return Kind::Failure;
    }
    if head.headers.contains_key(SERVER_STAMP) {
        Kind::Success(shape)
    } else {
        Kind::MalformedResponse(Garble::NoStamp)
    }
}

/// `Server-Load`: running, waiting, slots.
pub fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let mut numbers = text(headers, &SERVER_LOAD)?.split(',').map(|number| number.trim().parse().ok());
    Some(ServerLoad { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? })
}

/// `Retry-After` in milliseconds.
pub fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = text(headers, &RETRY_AFTER)?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1000.0) as Millis)
}

/// `timeout` of `Keep-Alive`, in milliseconds.
pub fn keep_alive(headers: &HeaderMap) -> Option<Millis> {
    let options = text(headers, &KEEP_ALIVE)?.split(',');
    let timeout =
        options.filter_map(|option| option.split_once('=')).find(|(name, _)| name.trim() == "timeout")?;
    timeout.1.trim().parse::<Millis>().ok()?.checked_mul(1000)
}

fn is_turned_away(head: &Parts) -> bool {
    const WITH_MARK: [StatusCode; 3] =
        [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS, StatusCode::BAD_REQUEST];
    head.status == StatusCode::MISDIRECTED_REQUEST
        || (WITH_MARK.contains(&head.status) && head.headers.contains_key(NOT_EXECUTED))
}

/// How the body comes; `None` where its end could not be told from a broken connection.
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
