//! The operators' door: an address of its own, one call to a connection.

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
use shaletrail_registry_client::fences::Barred;
use shaletrail_registry_protocol::duty::{Fence, DUTY_HEADER, FENCE_HEADER};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

use crate::config::MOST_CALLERS;
use crate::fences::{Fences, Refused};
use crate::host::Host;
use crate::lifecycle::{Lifecycle, State};

/// A call comes whole within this time of its connection; only then may its caller have to give way.
const CALL_TIME: Duration = Duration::from_millis(25);
/// Callers that never finish are not kept for longer.
const LONGEST_CALL: Duration = Duration::from_secs(2);
const LONGEST_HEAD: usize = 8 << 10;
/// Pause when no descriptor is left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What the calls are about.
pub struct Door {
    pub host: Rc<Host>,
    pub lifecycle: Rc<Lifecycle>,
    pub fences: Fences,
}

/// Answers operators for as long as the node runs.
pub async fn serve(listener: TcpListener, door: Door) {
    let door = Rc::new(door);
    let mut callers = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        room(&mut callers).await;
        let caller = spawn_local(attend(stream, Rc::clone(&door)));
        callers.push_back((Instant::now(), caller));
    }
}

/// Makes room for one more caller. The one that has been silent for longest gives way, but none that could not
/// be heard yet.
async fn room(callers: &mut VecDeque<(Instant, JoinHandle<()>)>) {
    loop {
        callers.retain(|(_, caller)| !caller.is_finished());
        if callers.len() < MOST_CALLERS {
            return;
        }
        let Some((came, _)) = callers.front() else { return };
        let left = CALL_TIME.saturating_sub(came.elapsed());
        if left.is_zero() {
            if let Some((_, caller)) = callers.pop_front() {
                caller.abort();
                // The descriptor is free once the task has been dropped.
                let _ = caller.await;
            }
        } else {
            sleep(left).await;
        }
    }
}

async fn attend(stream: TcpStream, door: Rc<Door>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response = door.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let call = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(LONGEST_CALL)
        .max_buf_size(LONGEST_HEAD)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    // An error is the caller's, who has gone or could not be understood and has been told so.
    let _ = timeout(LONGEST_CALL * 2, call).await;
}

/// A call that the door knows.
enum Call {
    Ready,
    Metrics,
    Drain,
    Resume,
    /// Leave this cache server out, or use it again.
    Hand(ServerId, bool),
}

impl Call {
    fn of(path: &str) -> Option<Call> {
        Some(match path.strip_prefix("/-/")? {
            "ready" => Call::Ready,
            "metrics" => Call::Metrics,
            "drain" => Call::Drain,
            "resume" => Call::Resume,
            path => {
                let (id, call) = path.strip_prefix("cache-servers/")?.split_once('/')?;
                // Names are addresses on some sites, whose colon clients may have encoded.
                let id = percent_decode_str(id).decode_utf8().ok()?;
                let out = match call {
                    "disable" => true,
                    "enable" => false,
                    _ => return None,
                };
                Call::Hand(ServerId(id.as_ref().into()), out)
            }
        })
    }

    fn method(&self) -> Method {
        match self {
            Call::Ready | Call::Metrics => Method::GET,
            Call::Drain | Call::Resume | Call::Hand(..) => Method::POST,
        }
    }
}

impl Door {
    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(call) = Call::of(request.uri().path()) else {
            return answer(StatusCode::NOT_FOUND, "no such call\n");
        };
        let method = call.method();
        if *request.method() != method {
            let mut response = answer(StatusCode::METHOD_NOT_ALLOWED, format!("{method} expected\n"));
            if let Ok(allowed) = HeaderValue::from_str(method.as_str()) {
                response.headers_mut().insert(header::ALLOW, allowed);
            }
            return response;
        }
        if let Some(refusal) = self.barred(request).filter(|_| method == Method::POST) {
            return refusal;
        }
        match call {
            Call::Ready => self.ready(),
            Call::Metrics => self.metrics(),
            Call::Drain => self.changed(self.lifecycle.drain()),
            Call::Resume => self.changed(self.lifecycle.resume()),
            Call::Hand(server, out) => self.hand(&server, out),
        }
    }

    /// The refusal of a change under a duty's old fencing number. Calls without one are an operator's own.
    fn barred(&self, request: &Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let header = |name| request.headers().get(name).map(|value| value.to_str().unwrap_or("not text"));
        let fence = match Fence::from_headers(header(DUTY_HEADER), header(FENCE_HEADER)) {
            Ok(fence) => fence?,
            Err(e) => return Some(answer(StatusCode::BAD_REQUEST, format!("{e}\n"))),
        };
        match self.fences.admit(&fence) {
            Ok(()) => None,
            Err(Refused::Barred(barred @ Barred::Old { .. })) => {
                Some(answer(StatusCode::PRECONDITION_FAILED, format!("{barred}\n")))
            }
            Err(Refused::Barred(barred @ Barred::Full)) => {
                Some(answer(StatusCode::SERVICE_UNAVAILABLE, format!("{barred}\n")))
            }
            Err(Refused::NotKept(e)) => {
                let what = format!("fencing number not kept, so nothing is changed: {e}\n");
                Some(answer(StatusCode::SERVICE_UNAVAILABLE, what))
            }
        }
    }

    fn hand(&self, server: &ServerId, out: bool) -> Response<Full<Bytes>> {
        let now = if out { "out" } else { "in use" };
        match self.host.set_by_hand(server, out) {
            None => answer(StatusCode::NOT_FOUND, "no such cache server\n"),
            Some(Ok(())) => answer(StatusCode::OK, format!("{now}\n")),
            // In force all the same: a no would be believed to have changed nothing.
            Some(Err(e)) => {
                eprintln!("{} {now}, but not kept for the next process: {e}", server.0);
                answer(StatusCode::OK, format!("{now}, but not kept for the next process: {e}\n"))
            }
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        match self.lifecycle.state() {
            State::Serving if self.host.ready() => answer(StatusCode::OK, "ready\n"),
            State::Serving => answer(StatusCode::SERVICE_UNAVAILABLE, "no cache servers\n"),
            state => answer(StatusCode::SERVICE_UNAVAILABLE, format!("{}\n", state.name())),
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let figures = self.host.figures.json(self.host.listed(), self.lifecycle.state().name());
        let mut response = answer(StatusCode::OK, figures.to_string());
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    fn changed(&self, changed: bool) -> Response<Full<Bytes>> {
        let status = if changed { StatusCode::OK } else { StatusCode::CONFLICT };
        answer(status, format!("{}\n", self.lifecycle.state().name()))
    }
}

fn answer(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
