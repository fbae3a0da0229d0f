//! Whether the platform should send new connections here: 200 or 503, on an address of its own.

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

/// Connections at once; others wait in the queue.
const MOST_CONNECTIONS: usize = 16;
/// The longest that a caller's connection may rest, or take for a head.
const LONGEST_REST: Duration = Duration::from_secs(5);
/// After an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers who asks; never returns.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        // The semaphore is never closed.
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                tokio::task::spawn_local(async move {
                    answer(state, stream).await;
                    drop(place);
                });
            }
            Err(error) => {
                slog::debug!(state.log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(state: Rc<State>, stream: TcpStream) {
    let log = state.log.clone();
    let service = service_fn(move |_request| {
        let mut response = Response::new(Empty::<Bytes>::new());
        if !state.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(LONGEST_REST).auto_date_header(false);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        slog::debug!(log, "readiness connection ended"; "error" => %error);
    }
}
