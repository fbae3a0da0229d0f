//! The `control` API over HTTP/1.1: heartbeats of servers, calls of the operator.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use shaletrail_protocol::external::{Heartbeat, HeartbeatResponse, MAX_HEARTBEAT_BYTES};
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use slog::{debug, Logger};
use tokio::net::TcpListener;

use super::host::Host;
use super::sockets;

/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections taken at once.
const MOST_CONNECTIONS: usize = 1024;
/// Within which the head of a request must have come.
const HEADER_TIME: Duration = Duration::from_secs(20);
/// The longest configuration taken, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 7 << 20;
/// When an operator whose call got no clear answer may ask again, in seconds.
const COME_BACK: &str = "0.2";

const HEARTBEAT: &str = "/Instances.Heartbeat/";
const DEREGISTER: &str = "/Instances.Deregister/";

type Answer = Response<Full<Bytes>>;

/// Takes connections for as long as the process runs.
pub async fn serve(host: Rc<Host>, listener: TcpListener, log: Logger) {
    let open = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(permit) = std::sync::Arc::clone(&open).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        sockets::tune(&stream);
        let (host, log) = (Rc::clone(&host), log.clone());
        tokio::task::spawn_local(async move {
            let _permit = permit;
            let service = service_fn(move |request| answer(Rc::clone(&host), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIME)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "control connection ended"; "error" => %error);
            }
        });
    }
}

async fn answer(host: Rc<Host>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let path = request.uri().path().to_owned();
    let posted = request.method() == Method::POST;
    Ok(if let Some(id) = path.strip_prefix(HEARTBEAT).filter(|id| posted && !id.is_empty()) {
        heartbeat(&host, id.to_owned(), request).await
    } else if let Some(id) = path.strip_prefix(DEREGISTER).filter(|id| posted && !id.is_empty()) {
        taken(host.deregister(id.to_owned()).await)
    } else {
        match path.as_str() {
            "/Config.Replace" if posted => change(&host, true, request).await,
            "/Config.Update" if posted => change(&host, false, request).await,
            "/Config.Read" if request.method() == Method::GET => {
                told(host.operator(OperatorCall::Read).await)
            }
            "/Config.Replace" | "/Config.Update" | "/Config.Read" => {
                plain(StatusCode::METHOD_NOT_ALLOWED, "another method is expected here")
            }
            _ => plain(StatusCode::NOT_FOUND, "there is no such call"),
        }
    })
}

async fn heartbeat(host: &Host, id: String, request: Request<Incoming>) -> Answer {
    let body = match Limited::new(request.into_body(), MAX_HEARTBEAT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "a heartbeat holds at most 4096 bytes"),
    };
    match sonic_rs::from_slice::<Heartbeat>(&body) {
        Ok(heartbeat) => taken(host.heartbeat(id, heartbeat).await),
        Err(error) => {
            plain(StatusCode::BAD_REQUEST, &format!("heartbeat: {}", first_line(&error.to_string())))
        }
    }
}

async fn change(host: &Host, whole: bool, request: Request<Incoming>) -> Answer {
    let base = match request
        .headers()
        .get("base-version")
        .map(|value| value.to_str().unwrap_or("").trim().parse())
    {
        Some(Ok(base)) => base,
        None => 0,
        Some(Err(_)) => return plain(StatusCode::BAD_REQUEST, "Base-Version: expected a whole number"),
    };
    let body = match Limited::new(request.into_body(), MAX_CONFIGURATION_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the configuration is too long")
        }
        Err(_) => return plain(StatusCode::BAD_REQUEST, "the body did not come whole"),
    };
    told(
        host.operator(OperatorCall::Change { replace: whole, base_version: base, body: body.to_vec() }).await,
    )
}

fn told(answer: OperatorResponse) -> Answer {
    match answer {
        OperatorResponse::Done { body } => json(body),
        OperatorResponse::Conflict { current_version: current } => {
            plain(StatusCode::PRECONDITION_FAILED, &format!("version {current} is current"))
        }
        OperatorResponse::Invalid { reason } => plain(StatusCode::BAD_REQUEST, &reason),
        OperatorResponse::Unavailable => unavailable(),
    }
}

fn taken(taken: bool) -> Answer {
    if !taken {
        return unavailable();
    }
    let answer = HeartbeatResponse::default();
    json(sonic_rs::to_vec(&answer).unwrap_or_else(|_| b"{}".to_vec()))
}

fn unavailable() -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "no clear answer: ask another node");
    answer.headers_mut().insert(RETRY_AFTER, hyper::header::HeaderValue::from_static(COME_BACK));
    answer
}

fn json(body: Vec<u8>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    answer.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    answer
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *answer.status_mut() = status;
    answer
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}
