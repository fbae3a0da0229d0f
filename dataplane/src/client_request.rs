//! A client's request, kept so that it can be sent more than once.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, EXPECT};
use hyper::http::request;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};

use crate::request::{strip_hop_by_hop, ATTEMPT_ID, DEADLINE_MS, EXPECTED_INSTANCE, LAST_EVENT_ID, PRIORITY};
use crate::state::{BodyRoom, SendOrder};
use crate::upstream::ConnectionId;

/// A client's request, read whole, so that it can be sent more than once.
pub struct ClientRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    stall_after: Option<Duration>,
    /// Connections to servers over which it has been sent.
    used: RefCell<Vec<ConnectionId>>,
    _room: BodyRoom,
}

impl ClientRequest {
    /// Takes what is sent to servers from a client's request. A stream that pauses for longer than `stall_after`
    /// is reported as stalled.
    pub fn new(head: request::Parts, body: Bytes, room: BodyRoom, stall_after: Option<Duration>) -> Self {
        let request::Parts { method, uri, mut headers, .. } = head;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let path = uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
        let (target, used) = (Uri::from(path), RefCell::default());
        ClientRequest { method, target, headers, body, stall_after, used, _room: room }
    }

    /// The pause after which its stream counts as stalled.
    pub fn stall_after(&self) -> Option<Duration> {
        self.stall_after
    }

    /// The request's method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// `Attempt-Id`.
    pub fn attempt_id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// It is about to be sent over this connection.
    pub fn note_use(&self, connection: Option<ConnectionId>) {
        self.used.borrow_mut().extend(connection);
    }

    /// Whether an answer to it could not be told from others on this connection: it has been sent over that before, with
    /// the same `Attempt-Id`, so that a second copy of the former answer may come; or it has no `Attempt-Id`, so that only
    /// a connection on which nothing was answered yet will do.
    pub fn is_barred_from(&self, connection: ConnectionId) -> bool {
        self.attempt_id().is_none() || self.used.borrow().contains(&connection)
    }

    /// The request as one sending carries it; `None` if the server's id can be no header.
    pub fn for_server(&self, order: &SendOrder) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        headers.insert(EXPECTED_INSTANCE, HeaderValue::try_from(order.server.as_str()).ok()?);
        headers.insert(DEADLINE_MS, HeaderValue::from(order.deadline_ms));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(order.priority)));
        if let Some(event) = order.resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
        }
        *request.headers_mut() = headers;
        Some(request)
    }
}
