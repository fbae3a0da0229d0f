//! A client's buffered request, from which each attempt builds the request that it sends to a server.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, EXPECT};
use hyper::http::request;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};

use crate::body_memory::BodyReservation;
use crate::command_queues::SendCommand;
use crate::request::{strip_hop_by_hop, ATTEMPT_ID, DEADLINE_MS, EXPECTED_INSTANCE, LAST_EVENT_ID, PRIORITY};
use crate::server_connection::{ConnectionId, ServerConnection};

/// A client's request. It is buffered completely, so that it can be sent more than once.
pub struct ClientRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    stall_timeout: Option<Duration>,
    /// Server connections on which it has been sent.
    used_connections: RefCell<Vec<ConnectionId>>,
    _reservation: BodyReservation,
}

impl ClientRequest {
    /// Removes the headers that are not forwarded to servers. `stall_timeout` is the pause after which the
    /// response stream is reported as stalled; `None` if stalls are not detected.
    pub fn new(
        head: request::Parts,
        body: Bytes,
        reservation: BodyReservation,
        stall_timeout: Option<Duration>,
    ) -> Self {
        let request::Parts { method, uri, mut headers, .. } = head;
        strip_hop_by_hop(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let path = uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
        let (target, used_connections) = (Uri::from(path), RefCell::default());
        ClientRequest {
            method,
            target,
            headers,
            body,
            stall_timeout,
            used_connections,
            _reservation: reservation,
        }
    }

    /// The pause after which the response stream is reported as stalled; `None` if stalls are not detected.
    pub fn stall_timeout(&self) -> Option<Duration> {
        self.stall_timeout
    }

    /// The client's request method, which is sent to servers unchanged.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// The value of the `Attempt-Id` header.
    pub fn attempt_id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// Records that the request is about to be sent on this connection.
    pub fn record_connection(&self, connection: ConnectionId) {
        self.used_connections.borrow_mut().push(connection);
    }

    /// Whether the request must not be sent on this connection, because a surplus response on it could be
    /// mistaken for the response to this request. That is the case if
    ///
    /// - the request has been sent on it before: the response to the earlier attempt, which has the same
    ///   `Attempt-Id`, may arrive a second time;
    /// - the connection's last request had the same `Attempt-Id`, as when a client reuses an id for a retry.
    ///   Only the last request matters: a surplus response to an earlier one would have been noticed during
    ///   the last one;
    /// - the request has no `Attempt-Id`, so that a surplus response could not be recognized: only a new
    ///   connection is safe.
    pub fn is_excluded_from(&self, connection: &ServerConnection) -> bool {
        self.attempt_id().is_none_or(|id| connection.last_attempt_id() == Some(id))
            || self.used_connections.borrow().contains(&connection.id())
    }

    /// Builds the request for one attempt; `None` if the server's id is not a valid header value.
    pub fn to_server_request(&self, command: &SendCommand) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        headers.insert(EXPECTED_INSTANCE, HeaderValue::try_from(command.server.as_str()).ok()?);
        headers.insert(DEADLINE_MS, HeaderValue::from(command.deadline_ms));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(command.priority)));
        if let Some(event) = command.resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
        }
        *request.headers_mut() = headers;
        Some(request)
    }
}
