//! The control API over HTTP/1.1: heartbeats and deregistrations of model servers, and calls of the operator.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use shaletrail_protocol::external::{Heartbeat, HeartbeatResponse, MAX_HEARTBEAT_BYTES};
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use slog::{debug, Logger};
use tokio::net::{TcpListener, TcpStream};

use super::accept::accept_connections;
use super::coordinator_driver::CoordinatorDriver;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1024;
/// Timeout for receiving the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of the body of a configuration change, in bytes.
const MAX_CONFIG_BODY_BYTES: usize = 7 << 20;
/// Value of the `Retry-After` header in responses to calls whose result is unknown, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

const HEARTBEAT_PATH: &str = "/Instances.Heartbeat/";
const DEREGISTER_PATH: &str = "/Instances.Deregister/";
const BASE_VERSION: &str = "base-version";

type HttpResponse = Response<Full<Bytes>>;

/// Accepts and serves connections for as long as the process runs.
pub async fn serve(driver: Rc<CoordinatorDriver>, listener: TcpListener, log: Logger) {
    accept_connections(listener, MAX_CONNECTIONS, |stream| {
        serve_connection(Rc::clone(&driver), stream, log.clone())
    })
    .await;
}

async fn serve_connection(driver: Rc<CoordinatorDriver>, stream: TcpStream, log: Logger) {
    let service = service_fn(move |request| handle_request(Rc::clone(&driver), request));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(log, "control API connection failed"; "error" => %error);
    }
}

async fn handle_request(
    driver: Rc<CoordinatorDriver>,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let path = request.uri().path().to_owned();
    let is_post = request.method() == Method::POST;
    Ok(if let Some(id) = path.strip_prefix(HEARTBEAT_PATH).filter(|id| is_post && !id.is_empty()) {
        handle_heartbeat(&driver, id.to_owned(), request).await
    } else if let Some(id) = path.strip_prefix(DEREGISTER_PATH).filter(|id| is_post && !id.is_empty()) {
        server_response(driver.deregister(id.to_owned()).await)
    } else {
        match path.as_str() {
            "/Config.Replace" if is_post => change_configuration(&driver, true, request).await,
            "/Config.Update" if is_post => change_configuration(&driver, false, request).await,
            "/Config.Read" if request.method() == Method::GET => {
                operator_response(driver.operator(OperatorCall::Read).await)
            }
            "/Config.Replace" | "/Config.Update" | "/Config.Read" => {
                plain_text(StatusCode::METHOD_NOT_ALLOWED, "another method is expected here")
            }
            _ => plain_text(StatusCode::NOT_FOUND, "there is no such call"),
        }
    })
}

async fn handle_heartbeat(
    driver: &CoordinatorDriver,
    id: String,
    request: Request<Incoming>,
) -> HttpResponse {
    let body = match Limited::new(request.into_body(), MAX_HEARTBEAT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return plain_text(StatusCode::PAYLOAD_TOO_LARGE, "a heartbeat holds at most 4096 bytes"),
    };
    match sonic_rs::from_slice::<Heartbeat>(&body) {
        Ok(heartbeat) => server_response(driver.heartbeat(id, heartbeat).await),
        Err(error) => {
            plain_text(StatusCode::BAD_REQUEST, &format!("heartbeat: {}", first_line(&error.to_string())))
        }
    }
}

async fn change_configuration(
    driver: &CoordinatorDriver,
    replace: bool,
    request: Request<Incoming>,
) -> HttpResponse {
    let Some(base_version) = base_version(&request) else {
        return plain_text(StatusCode::BAD_REQUEST, "Base-Version: expected a whole number");
    };
    let body = match Limited::new(request.into_body(), MAX_CONFIG_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes().to_vec(),
        Err(error) if error.is::<LengthLimitError>() => {
            return plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the configuration is too long")
        }
        Err(_) => return plain_text(StatusCode::BAD_REQUEST, "the body did not come whole"),
    };
    operator_response(driver.operator(OperatorCall::Change { replace, base_version, body }).await)
}

/// The version to which a change applies; 0 if the header is absent, `None` if its value is not a whole number.
fn base_version(request: &Request<Incoming>) -> Option<u64> {
    let Some(value) = request.headers().get(BASE_VERSION) else { return Some(0) };
    value.to_str().unwrap_or("").trim().parse().ok()
}

fn operator_response(response: OperatorResponse) -> HttpResponse {
    match response {
        OperatorResponse::Done { body } => json(body),
        OperatorResponse::Conflict { current_version } => {
            plain_text(StatusCode::PRECONDITION_FAILED, &format!("version {current_version} is current"))
        }
        OperatorResponse::Invalid { reason } => plain_text(StatusCode::BAD_REQUEST, &reason),
        OperatorResponse::Unavailable => unavailable(),
    }
}

fn server_response(accepted: bool) -> HttpResponse {
    if !accepted {
        return unavailable();
    }
    let response = HeartbeatResponse::default();
    json(sonic_rs::to_vec(&response).unwrap_or_else(|_| b"{}".to_vec()))
}

fn unavailable() -> HttpResponse {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "no clear answer: ask another node");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}

fn json(body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn plain_text(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}
