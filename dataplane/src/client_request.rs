//! The buffered request of a client, from which each attempt makes the request that it sends to a server.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, EXPECT};
use hyper::http::request;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};

use crate::body_memory::BodyReservation;
use crate::mailbox::SendCommand;
use crate::request::{strip_hop_by_hop, ATTEMPT_ID, DEADLINE_MS, EXPECTED_INSTANCE, LAST_EVENT_ID, PRIORITY};
use crate::server_connection::{ConnectionId, ServerConnection};

/// A client's request, buffered completely, so that it can be sent more than once.
pub struct ClientRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    stall_timeout: Option<Duration>,
    /// Connections over which it has been sent.
    used: RefCell<Vec<ConnectionId>>,
    _reservation: BodyReservation,
}

impl ClientRequest {
    /// Keeps what is sent to servers of a client's request. A stream that pauses for longer than `stall_timeout` is
    /// reported as stalled.
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
        let (target, used) = (Uri::from(path), RefCell::default());
        ClientRequest { method, target, headers, body, stall_timeout, used, _reservation: reservation }
    }

    /// The pause after which its stream counts as stalled.
    pub fn stall_timeout(&self) -> Option<Duration> {
        self.stall_timeout
    }

    /// The method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// The value of `Attempt-Id`.
    pub fn attempt_id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// Records a connection over which the request is about to be sent.
    pub fn record_connection(&self, connection: ConnectionId) {
        self.used.borrow_mut().push(connection);
    }

    /// Whether the request must not be sent over this connection, as a surplus response could be accepted as its own:
    /// either it has been sent over it before, with the same `Attempt-Id`, so that the earlier response may arrive twice;
    /// or the connection's last request had the same id, as where a client gives one id to two tries (of a response to an
    /// earlier one, the last would have shown the surplus);
    /// or it has no `Attempt-Id`, so that only a connection which has carried no response will do.
    pub fn is_excluded_from(&self, connection: &ServerConnection) -> bool {
        self.attempt_id().is_none_or(|id| connection.last_attempt_id() == Some(id))
            || self.used.borrow().contains(&connection.id())
    }

    /// The request that one attempt sends; `None` if the server's id is not valid as a header value.
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
