//! A client's request, from its head to the exchange that serves it.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use shaletrail_configuration::{Route, RouteKind};
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::{NewRequest, RejectReason, Rejection, RequestId};

use crate::body::{answer, AnswerBody, AnswerWriter, BrokenOff};
use crate::client_answer::refusal_head;
use crate::client_request::ClientRequest;
use crate::exchange::Exchange;
use crate::listener::{Connection, Serving};
use crate::request::{host, path_hash, Wish};
use crate::state::{BodyRoom, State};

/// When to come back after a refusal that has nothing to do with servers, in milliseconds.
const COME_BACK_MS: u64 = 200;
/// A stream counts as stalled after a pause of so many times its aim.
const STALLED_GAPS: u64 = 4;
/// The shortest pause after which a stream counts as stalled.
const LEAST_STALL: Duration = Duration::from_millis(1000);

/// An answer's body, which keeps its connection from counting as resting.
pub struct ServedBody {
    body: AnswerBody,
    _serving: Serving,
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves one request of a client's connection.
pub async fn serve(
    state: Rc<State>,
    connection: Rc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<ServedBody>, BrokenOff> {
    let serving = connection.begin_request();
    let arrived_at = state.clock.now();
    let (head, body) = request.into_parts();
    let mut response = match read_body(&state, body).await {
        Ok((body, room)) => {
            connection.begin_answer();
            exchange(&state, head, body, room, arrived_at).await?
        }
        Err(BodyError::Broken) => return Err(BrokenOff),
        Err(BodyError::TooLong) => closing(own_answer(StatusCode::PAYLOAD_TOO_LARGE, None)?),
        Err(BodyError::NoRoom) => closing(own_answer(StatusCode::SERVICE_UNAVAILABLE, Some(COME_BACK_MS))?),
    };
    if state.is_stopping() {
        response = closing(response);
    }
    Ok(response.map(|body| ServedBody { body, _serving: serving }))
}

/// Why a request's body was not read.
enum BodyError {
    Broken,
    TooLong,
    NoRoom,
}

/// Reads the body whole, as long as the limits allow.
async fn read_body(state: &Rc<State>, body: Incoming) -> Result<(Bytes, BodyRoom), BodyError> {
    let limit = state.view().limits.max_body_bytes;
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLong);
    }
    let mut room = state.reserve_body(announced.unwrap_or(0)).ok_or(BodyError::NoRoom)?;
    if body.is_end_stream() {
        return Ok((Bytes::new(), room));
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let bytes = match Limited::new(body, limit).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => return Err(BodyError::TooLong),
        Err(_) => return Err(BodyError::Broken),
    };
    if announced.is_none() {
        room = state.reserve_body(bytes.len() as u64).ok_or(BodyError::NoRoom)?;
    }
    Ok((bytes, room))
}

/// Finds the request's route and has it served.
async fn exchange(
    state: &Rc<State>,
    head: Parts,
    body: Bytes,
    room: BodyRoom,
    arrived_at: Millis,
) -> Result<Response<AnswerBody>, BrokenOff> {
    let view = state.view();
    if view.version == 0 {
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, Some(COME_BACK_MS));
    }
    let Some(route) = view.route(host(&head.headers, &head.uri), head.uri.path()) else {
        return own_answer(StatusCode::NOT_FOUND, None);
    };
    let id = state.name_request();
    let reading_ms = state.clock.now().saturating_sub(arrived_at);
    let new_request = new_request(id, route.clone(), &head, body.len() as u64, reading_ms);
    if !state.takes(new_request.deadline_ms) {
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, Some(COME_BACK_MS));
    }
    let request = ClientRequest::new(head, body, room, stall_after(route));
    let writer = AnswerWriter::default();
    let ticket = state.open(id, new_request);
    let exchange = Exchange::new(ticket, request, writer.clone());
    answer(writer, Box::pin(exchange.run())).await
}

/// The pause after which a stream counts as stalled; only where it may be taken up elsewhere.
fn stall_after(route: &Route) -> Option<Duration> {
    let RouteKind::Streaming { resumable: true, gap_target_ms } = route.kind else { return None };
    Some(Duration::from_millis(gap_target_ms.saturating_mul(STALLED_GAPS)).max(LEAST_STALL))
}

/// What the router is told. The time that a request has runs from its head: what it took to read the body is over.
fn new_request(
    id: RequestId,
    route: Arc<Route>,
    head: &Parts,
    body_bytes: u64,
    reading_ms: Millis,
) -> NewRequest {
    let wish = Wish::read(&head.headers);
    let time_ms = wish.deadline.map_or(route.timeout_ms, |deadline| deadline.min(route.timeout_ms));
    NewRequest {
        id,
        deadline_ms: time_ms.saturating_sub(reading_ms),
        route,
        model: wish.model,
        adapter: wish.adapter,
        tokens: wish.tokens,
        prompt: wish.prompt,
        last_event: wish.last_event,
        body_bytes: Some(body_bytes),
        path_hash: path_hash(head.uri.path()),
    }
}

/// An answer of our own, about which the router is not asked.
fn own_answer(status: StatusCode, retry_after_ms: Option<u64>) -> Result<Response<AnswerBody>, BrokenOff> {
    let refusal = Rejection { status: status.as_u16(), retry_after_ms, reason: RejectReason::Overloaded };
    let head = refusal_head(refusal).ok_or(BrokenOff)?;
    Ok(Response::from_parts(head, AnswerBody::Whole(None)))
}

fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
