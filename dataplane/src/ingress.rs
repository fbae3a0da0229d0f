//! Serves one request of a client connection: reads its body, finds its route, passes it to the router and
//! runs its exchange.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use shaletrail_configuration::{Route, RouteKind};
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::{NewRequest, RejectReason, Rejection, RequestId};

use crate::body_memory::BodyReservation;
use crate::client_connection::{ClientConnection, RequestGuard};
use crate::client_request::ClientRequest;
use crate::client_response::rejection_head;
use crate::exchange::Exchange;
use crate::request::{host, min_head_bytes, path_hash, RequestHeaders};
use crate::request_handle::RequestHandle;
use crate::response_body::{drive_to_head, ResponseAborted, ResponseBody, ResponseWriter};
use crate::state::State;

/// `Retry-After` of rejections by this module, which are not caused by the load of servers.
const LOCAL_RETRY_AFTER_MS: u64 = 200;
/// A stream counts as stalled after a pause of this many times the route's target gap between events.
const STALL_GAP_FACTOR: u64 = 4;
/// Lower bound of the pause after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// A response body; the client connection does not count as idle until it is dropped.
pub struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves one request of a client connection.
///
/// # Errors
///
/// If the request cannot be answered; the connection must then be closed.
pub async fn serve(
    state: Rc<State>,
    connection: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, ResponseAborted> {
    let guard = connection.begin_request();
    let arrived_at = state.clock.now();
    let (head, body) = request.into_parts();
    if min_head_bytes(&head) as u64 > state.view().limits.max_header_bytes {
        let response = local_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, None)?;
        return Ok(with_connection_close(response).map(|body| GuardedBody { body, _guard: guard }));
    }
    let mut response = match read_body(&state, body).await {
        // The request may have been pipelined by a client that disconnected before its
        // previous response was complete.
        Ok(_) if connection.is_client_disconnected() => return Err(ResponseAborted),
        Ok((body, reservation)) => {
            connection.begin_response();
            start_exchange(&state, head, body, reservation, arrived_at).await?
        }
        Err(BodyError::Interrupted) => return Err(ResponseAborted),
        Err(BodyError::TooLong) => {
            with_connection_close(local_response(StatusCode::PAYLOAD_TOO_LARGE, None)?)
        }
        Err(BodyError::OutOfMemory) => with_connection_close(local_response(
            StatusCode::SERVICE_UNAVAILABLE,
            Some(LOCAL_RETRY_AFTER_MS),
        )?),
    };
    if state.is_shutting_down() {
        response = with_connection_close(response);
    }
    Ok(response.map(|body| GuardedBody { body, _guard: guard }))
}

/// Why a request body could not be read.
enum BodyError {
    /// The client connection ended before the body was complete.
    Interrupted,
    /// The body is longer than the configuration allows.
    TooLong,
    /// The memory budget for request bodies is exhausted.
    OutOfMemory,
}

/// Reads the complete body, within the limits of body length and memory.
async fn read_body(state: &Rc<State>, body: Incoming) -> Result<(Bytes, BodyReservation), BodyError> {
    let limit = state.view().limits.max_body_bytes;
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLong);
    }
    let mut reservation = state.body_memory.reserve(declared.unwrap_or(0)).ok_or(BodyError::OutOfMemory)?;
    if body.is_end_stream() {
        return Ok((Bytes::new(), reservation));
    }
    let is_reserved = declared.is_some();
    let bytes = collect_body(body, limit, |length| is_reserved || reservation.grow(length)).await?;
    Ok((bytes, reservation))
}

/// Collects a body of up to `limit` bytes. `reserve` is called with the length of each part before the next
/// part is read, so that a body without a declared length is limited while it arrives.
async fn collect_body(
    mut body: Incoming,
    limit: u64,
    mut reserve: impl FnMut(u64) -> bool,
) -> Result<Bytes, BodyError> {
    let mut parts = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        // Trailers are not forwarded.
        let Ok(part) = frame.into_data() else { continue };
        if (parts.len() + part.len()) as u64 > limit {
            return Err(BodyError::TooLong);
        }
        if !reserve(part.len() as u64) {
            return Err(BodyError::OutOfMemory);
        }
        parts.extend_from_slice(&part);
    }
    Ok(parts.freeze())
}

/// Finds the request's route and runs its exchange until the response has a head.
async fn start_exchange(
    state: &Rc<State>,
    head: Parts,
    body: Bytes,
    reservation: BodyReservation,
    arrived_at: Millis,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let view = state.view();
    if view.version == 0 {
        return local_response(StatusCode::SERVICE_UNAVAILABLE, Some(LOCAL_RETRY_AFTER_MS));
    }
    let Some(route) = view.route(host(&head.headers, &head.uri), head.uri.path()) else {
        return local_response(StatusCode::NOT_FOUND, None);
    };
    let id = state.next_request_id();
    let reading_ms = state.clock.now().saturating_sub(arrived_at);
    let new_request = new_request(id, route.clone(), &head, body.len() as u64, reading_ms);
    if !state.accepts(new_request.deadline_ms) {
        return local_response(StatusCode::SERVICE_UNAVAILABLE, Some(LOCAL_RETRY_AFTER_MS));
    }
    let request = ClientRequest::new(head, body, reservation, stall_timeout(route));
    let writer = ResponseWriter::default();
    let handle = RequestHandle::open(state, new_request);
    let exchange = Exchange::new(handle, request, writer.clone());
    drive_to_head(writer, Box::pin(exchange.run())).await
}

/// The pause after which a response stream counts as stalled; `None` unless another server can resume the
/// stream.
fn stall_timeout(route: &Route) -> Option<Duration> {
    let RouteKind::Streaming { resumable: true, gap_target_ms } = route.kind else { return None };
    Some(Duration::from_millis(gap_target_ms.saturating_mul(STALL_GAP_FACTOR)).max(MIN_STALL_TIMEOUT))
}

/// Builds the request for the router. The deadline counts from the arrival of the head, so `reading_ms`, the
/// time spent on reading the body, is deducted.
fn new_request(
    id: RequestId,
    route: Arc<Route>,
    head: &Parts,
    body_bytes: u64,
    reading_ms: Millis,
) -> NewRequest {
    let headers = RequestHeaders::parse(&head.headers);
    let timeout_ms = headers.deadline.map_or(route.timeout_ms, |deadline| deadline.min(route.timeout_ms));
    NewRequest {
        id,
        deadline_ms: timeout_ms.saturating_sub(reading_ms),
        route,
        model: headers.model,
        adapter: headers.adapter,
        tokens: headers.tokens,
        prompt: headers.prompt,
        last_event: headers.last_event,
        body_bytes: Some(body_bytes),
        path_hash: path_hash(head.uri.path()),
    }
}

/// A response by which the edge rejects a request without passing it to the router.
fn local_response(
    status: StatusCode,
    retry_after_ms: Option<u64>,
) -> Result<Response<ResponseBody>, ResponseAborted> {
    let rejection = Rejection { status: status.as_u16(), retry_after_ms, reason: RejectReason::Overloaded };
    let head = rejection_head(rejection).ok_or(ResponseAborted)?;
    Ok(Response::from_parts(head, ResponseBody::Complete(None)))
}

/// Adds `Connection: close`, so that the connection is closed after this response.
fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
