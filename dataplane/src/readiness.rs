//! Answers the platform's health checks at a separate address: 200 if the platform should send new
//! connections to this process, otherwise 503.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::state::State;

/// Limits the connections served at the same time; further ones wait in the accept queue.
const MAX_CONNECTIONS: usize = 16;
/// Limits how long a connection may be idle or may take to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves health checks; never returns.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                tokio::task::spawn_local(async move {
                    serve_connection(state, stream).await;
                    drop(permit);
                });
            }
            Err(error) => {
                slog::debug!(state.log, "failed to accept readiness connection"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<State>, stream: TcpStream) {
    let log = state.log.clone();
    let service = service_fn(move |_request| {
        let mut response = Response::new(Empty::<Bytes>::new());
        if !state.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT).auto_date_header(false);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        slog::debug!(log, "readiness connection closed"; "error" => %error);
    }
}
