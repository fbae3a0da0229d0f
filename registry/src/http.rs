//! HTTP serving shared by the three addresses: limits on connections, on the time and on the size of
//! requests.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_registry_protocol::{ErrorBody, NOT_EXECUTED_HEADER};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Limit for reading a body once its head has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Pause after a failed accept, usually because no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A response whose whole body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Limits of one listening address.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections at once. Further ones wait to be accepted.
    pub connections: usize,
    /// Limit for reading the head of a request, including the next one on a kept connection: idle connections
    /// are closed after it.
    pub idle: Duration,
}

/// Serves requests for as long as the process runs, with a task for each connection.
pub async fn serve<H, F>(listener: TcpListener, limits: ConnectionLimits, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let reply = handle(request);
                async move { Ok::<_, Infallible>(reply.await) }
            });
            // An error means that the client has disconnected or was answered with an error already.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}

/// Reads the body of a request.
///
/// # Errors
/// The response to send instead.
pub async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, Reply> {
    let read = timeout(BODY_TIMEOUT, Limited::new(request.into_body(), max_bytes).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<hyper::Error>() => {
            Err(error_reply(StatusCode::BAD_REQUEST, "the body broke off"))
        }
        Ok(Err(_)) => Err(error_reply(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("a body of at most {max_bytes} bytes expected"),
        )),
        Err(_) => Err(error_reply(
            StatusCode::REQUEST_TIMEOUT,
            format!("no whole body within {} s", BODY_TIMEOUT.as_secs()),
        )),
    }
}

/// # Errors
/// The response to send instead, which names the invalid part of the body.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    serde_json::from_slice(body).map_err(|e| error_reply(StatusCode::BAD_REQUEST, format!("body: {e}")))
}

/// Builds a response with this status, content type and body.
pub fn reply_with(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Builds a JSON response. If the body can't be encoded, the response is an internal server error.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => reply_with(status, "application/json", bytes.into()),
        Err(e) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

/// Builds a response with this status whose JSON body is an [`ErrorBody`] with the error's text.
pub fn error_reply(status: StatusCode, error: impl ToString) -> Reply {
    let body = serde_json::to_vec(&ErrorBody { error: error.to_string() }).unwrap_or_default();
    reply_with(status, "application/json", body.into())
}

/// The answer for a change that was certainly not executed. The client may repeat it, here or at another
/// replica.
pub fn not_executed_reply(error: impl ToString) -> Reply {
    let mut reply = error_reply(StatusCode::SERVICE_UNAVAILABLE, error);
    reply.headers_mut().insert(NOT_EXECUTED_HEADER, HeaderValue::from_static("1"));
    reply
}
