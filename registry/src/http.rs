//! What the service's three addresses share: connections within a bound, heads and bodies within time and size.

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
use shaletrail_registry_protocol::{Refusal, NOT_RUN};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// For a body once its head has come.
const BODY_TIME: Duration = Duration::from_secs(5);
const LONGEST_HEAD: usize = 16 << 10;
/// Pause when no descriptor is left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

pub type Reply = Response<Full<Bytes>>;

/// What one address lets its callers have.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Connections at once. More wait to be accepted.
    pub connections: usize,
    /// For the head of a call, also of the next one on a kept connection: idle ones end by it.
    pub idle: Duration,
}

/// Answers calls for as long as the process runs, each connection in a task of its own.
pub async fn serve<H, F>(listener: TcpListener, bounds: Bounds, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send,
{
    let places = Arc::new(Semaphore::new(bounds.connections));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
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
            // An error is the caller's, who has gone or has been told.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(bounds.idle)
                .max_buf_size(LONGEST_HEAD)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(place);
        });
    }
}

/// A call's body.
///
/// # Errors
/// The answer to give instead.
pub async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, Reply> {
    let read = timeout(BODY_TIME, Limited::new(request.into_body(), most).collect()).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<hyper::Error>() => Err(refusal(StatusCode::BAD_REQUEST, "the body broke off")),
        Ok(Err(_)) => {
            Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, format!("a body of at most {most} bytes expected")))
        }
        Err(_) => Err(refusal(
            StatusCode::REQUEST_TIMEOUT,
            format!("no whole body within {} s", BODY_TIME.as_secs()),
        )),
    }
}

/// # Errors
/// The answer names what in the body is not as expected.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    serde_json::from_slice(body).map_err(|e| refusal(StatusCode::BAD_REQUEST, format!("body: {e}")))
}

pub fn raw(status: StatusCode, kind: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => raw(status, "application/json", bytes.into()),
        Err(e) => refusal(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

pub fn refusal(status: StatusCode, error: impl ToString) -> Reply {
    let body = serde_json::to_vec(&Refusal { error: error.to_string() }).unwrap_or_default();
    raw(status, "application/json", body.into())
}

/// A change that surely has not happened; it may be put again, here or elsewhere.
pub fn not_run(error: impl ToString) -> Reply {
    let mut reply = refusal(StatusCode::SERVICE_UNAVAILABLE, error);
    reply.headers_mut().insert(NOT_RUN, HeaderValue::from_static("1"));
    reply
}
