//! The operator API: an HTTP server on an address of its own, with one request per connection.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{header, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use percent_encoding::percent_decode_str;
use shaletrail_policy::ServerId;
use shaletrail_registry_client::fences::FenceRefusal;
use shaletrail_registry_protocol::duty::{Fence, DUTY_HEADER, FENCE_HEADER};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

use crate::config::MAX_OPERATOR_CONNECTIONS;
use crate::fences::{FenceError, Fences};
use crate::host::Host;
use crate::lifecycle::{Lifecycle, State};

/// A connection is closed to make room for another only after this time, which is enough for a complete
/// request to arrive.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(25);
/// Limits how long a caller may take to send the request head; the whole call may take twice as long.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay after a failed accept, for example because no descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What the calls act on.
pub struct OperatorApi {
    pub host: Rc<Host>,
    pub lifecycle: Rc<Lifecycle>,
    pub fences: Fences,
}

/// Serves operators for as long as the node runs.
pub async fn serve(listener: TcpListener, api: OperatorApi) {
    let api = Rc::new(api);
    let mut connections = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        make_room(&mut connections).await;
        let task = spawn_local(serve_connection(stream, Rc::clone(&api)));
        connections.push_back((Instant::now(), task));
    }
}

/// Makes room for one more connection by closing the oldest one, once it has been open for long enough to
/// send a request.
async fn make_room(connections: &mut VecDeque<(Instant, JoinHandle<()>)>) {
    loop {
        connections.retain(|(_, task)| !task.is_finished());
        if connections.len() < MAX_OPERATOR_CONNECTIONS {
            return;
        }
        let Some((accepted_at, _)) = connections.front() else { return };
        let left = MIN_CONNECTION_TIME.saturating_sub(accepted_at.elapsed());
        if left.is_zero() {
            if let Some((_, task)) = connections.pop_front() {
                task.abort();
                // The descriptor is free once the task has been dropped.
                let _ = task.await;
            }
        } else {
            sleep(left).await;
        }
    }
}

async fn serve_connection(stream: TcpStream, api: Rc<OperatorApi>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = api.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let call = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the caller disconnected or sent an invalid request, which hyper has answered.
    let _ = timeout(HEAD_TIMEOUT * 2, call).await;
}

/// The calls that the API supports.
enum Call {
    Ready,
    Metrics,
    Drain,
    Resume,
    /// Disable (`true`) or enable this cache server.
    SetDisabled(ServerId, bool),
}

impl Call {
    fn parse(path: &str) -> Option<Call> {
        Some(match path.strip_prefix("/-/")? {
            "ready" => Call::Ready,
            "metrics" => Call::Metrics,
            "drain" => Call::Drain,
            "resume" => Call::Resume,
            path => {
                let (id, call) = path.strip_prefix("cache-servers/")?.split_once('/')?;
                // Some deployments use addresses as server names, and clients may percent-encode their
                // colon.
                let id = percent_decode_str(id).decode_utf8().ok()?;
                let disabled = match call {
                    "disable" => true,
                    "enable" => false,
                    _ => return None,
                };
                Call::SetDisabled(ServerId(id.as_ref().into()), disabled)
            }
        })
    }

    fn method(&self) -> Method {
        match self {
            Call::Ready | Call::Metrics => Method::GET,
            Call::Drain | Call::Resume | Call::SetDisabled(..) => Method::POST,
        }
    }
}

impl OperatorApi {
    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(call) = Call::parse(request.uri().path()) else {
            return text_response(StatusCode::NOT_FOUND, "no such call\n");
        };
        let method = call.method();
        if *request.method() != method {
            let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, format!("{method} expected\n"));
            if let Ok(allowed) = HeaderValue::from_str(method.as_str()) {
                response.headers_mut().insert(header::ALLOW, allowed);
            }
            return response;
        }
        if let Some(refusal) = self.fence_refusal(request).filter(|_| method == Method::POST) {
            return refusal;
        }
        match call {
            Call::Ready => self.ready(),
            Call::Metrics => self.metrics(),
            Call::Drain => self.state_response(self.lifecycle.drain()),
            Call::Resume => self.state_response(self.lifecycle.resume()),
            Call::SetDisabled(server, disabled) => self.set_disabled(&server, disabled),
        }
    }

    /// Returns the refusal of a change whose fencing number is outdated. Calls without a fence come from
    /// operators themselves and are always admitted.
    fn fence_refusal(&self, request: &Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let header = |name| request.headers().get(name).map(|value| value.to_str().unwrap_or("not text"));
        let fence = match Fence::from_headers(header(DUTY_HEADER), header(FENCE_HEADER)) {
            Ok(fence) => fence?,
            Err(e) => return Some(text_response(StatusCode::BAD_REQUEST, format!("{e}\n"))),
        };
        match self.fences.admit(&fence) {
            Ok(()) => None,
            Err(FenceError::Refused(refusal @ FenceRefusal::Outdated { .. })) => {
                Some(text_response(StatusCode::PRECONDITION_FAILED, format!("{refusal}\n")))
            }
            Err(FenceError::Refused(refusal @ FenceRefusal::Full)) => {
                Some(text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{refusal}\n")))
            }
            Err(FenceError::NotStored(e)) => {
                let what = format!("fencing number not kept, so nothing is changed: {e}\n");
                Some(text_response(StatusCode::SERVICE_UNAVAILABLE, what))
            }
        }
    }

    fn set_disabled(&self, server: &ServerId, disabled: bool) -> Response<Full<Bytes>> {
        let state_name = if disabled { "out" } else { "in use" };
        match self.host.set_disabled(server, disabled) {
            None => text_response(StatusCode::NOT_FOUND, "no such cache server\n"),
            Some(Ok(())) => text_response(StatusCode::OK, format!("{state_name}\n")),
            // The change is in force, so the response is a success; an error would suggest that nothing has
            // changed.
            Some(Err(e)) => {
                eprintln!(
                    "cache server {} is {state_name}, but the state file could not be written: {e}",
                    server.0
                );
                text_response(
                    StatusCode::OK,
                    format!("{state_name}, but not kept for the next process: {e}\n"),
                )
            }
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        match self.lifecycle.state() {
            State::Serving if self.host.ready() => text_response(StatusCode::OK, "ready\n"),
            State::Serving => text_response(StatusCode::SERVICE_UNAVAILABLE, "no cache servers\n"),
            state => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{}\n", state.name())),
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let metrics = self.host.metrics.to_json(self.host.server_counts(), self.lifecycle.state().name());
        let mut response = text_response(StatusCode::OK, metrics.to_string());
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    fn state_response(&self, changed: bool) -> Response<Full<Bytes>> {
        let status = if changed { StatusCode::OK } else { StatusCode::CONFLICT };
        text_response(status, format!("{}\n", self.lifecycle.state().name()))
    }
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
