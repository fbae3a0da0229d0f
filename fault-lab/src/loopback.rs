//! A small HTTP server on loopback, and an in-memory registry that is the baseline in benchmarks of the real one.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use shaletrail_registry_protocol::{ChangeResult, Entry, List, Register, Stamp, INSTANCES_PATH, MAX_HOLD};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

pub(crate) type Reply = Response<Full<Bytes>>;

/// Maximum size of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves on a free port of the loopback interface until the runtime ends.
///
/// # Errors
/// No port is free.
pub async fn serve<H, F>(handle: H) -> std::io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let handle = handle.clone();
            tokio::spawn(async move {
                let _ = stream.set_nodelay(true);
                let service = service_fn(move |request| {
                    let reply = handle(request);
                    async move { Ok::<_, Infallible>(reply.await) }
                });
                // An error only means that the caller has closed the connection.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(addr)
}

pub(crate) fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

// ---- The baseline registry ----------------------------------------------------------------------------

/// A registry in memory, without a log, replicas, leases or health checks. The benchmark compares the real registry's
/// cost with it.
#[derive(Clone)]
pub struct InMemoryRegistry {
    entries: Arc<Mutex<Entries>>,
    version: watch::Sender<u64>,
}

#[derive(Default)]
struct Entries {
    version: u64,
    /// Each entry with the version of its last change.
    by_id: HashMap<String, (u64, Entry)>,
}

impl InMemoryRegistry {
    /// Starts the registry. Returns its address, which serves both reads and changes.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start() -> std::io::Result<SocketAddr> {
        let list = InMemoryRegistry { entries: Arc::default(), version: watch::Sender::new(0) };
        serve(move |request| list.clone().answer(request)).await
    }

    async fn answer(self, request: Request<Incoming>) -> Reply {
        if request.method() == Method::PUT {
            return self.put(request).await;
        }
        let query = request.uri().query().unwrap_or_default();
        let number =
            |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
        let from = number("from=");
        if let Some(from) = from {
            let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0)).min(MAX_HOLD);
            let mut versions = self.version.subscribe();
            let _ = timeout(hold, versions.wait_for(|version| *version > from)).await;
        }
        let entries = lock(&self.entries);
        let newer = entries.by_id.values().filter(|(version, _)| *version > from.unwrap_or(0));
        let servers = newer.map(|(_, entry)| entry.clone()).collect();
        let list = List { version: entries.version, full: from.is_none(), servers };
        reply(StatusCode::OK, serde_json::to_vec(&list).unwrap_or_default())
    }

    async fn put(self, request: Request<Incoming>) -> Reply {
        let id = request
            .uri()
            .path()
            .strip_prefix(INSTANCES_PATH)
            .unwrap_or_default()
            .trim_matches('/')
            .to_owned();
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
        let Ok(body) = body else { return reply(StatusCode::BAD_REQUEST, "") };
        let checked =
            serde_json::from_slice::<Register>(&body.to_bytes()).ok().and_then(|r| r.check(&id).ok());
        let Some((entry, Stamp { .. }, _)) = checked else { return reply(StatusCode::BAD_REQUEST, "") };
        let version = {
            let mut entries = lock(&self.entries);
            entries.version += 1;
            let version = entries.version;
            entries.by_id.insert(id.clone(), (version, entry));
            version
        };
        self.version.send_replace(version);
        reply(StatusCode::OK, serde_json::to_vec(&ChangeResult { version, id }).unwrap_or_default())
    }
}
