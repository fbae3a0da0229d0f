//! The nodes' address: the list of instances as the platform's protocol describes it ("Discovery"), and
//! nothing else.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use shaletrail_registry_protocol::{INSTANCES_PATH, MAX_HOLD};
use tokio::time::{timeout, timeout_at, Instant};

use crate::http::{error_reply, reply_with, Reply};
use crate::replica::{increment, NotReady, Replica};

/// How long a replica whose list is older than the watcher's version waits to reach it. After that, another
/// replica is the better one to ask.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1000);

/// The parameters of a request for the list.
struct ListQuery {
    from: Option<u64>,
    hold: Duration,
}

fn parse_query(text: Option<&str>) -> Result<ListQuery, String> {
    let mut query = ListQuery { from: None, hold: Duration::ZERO };
    for pair in text.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number =
            || value.parse::<u64>().map_err(|_| format!("{name}: a whole number expected, got `{value}`"));
        match name {
            "from" => query.from = Some(number()?),
            "hold_ms" => query.hold = Duration::from_millis(number()?).min(MAX_HOLD),
            // Unknown parameters are ignored, so that the protocol may be extended.
            _ => {}
        }
    }
    Ok(query)
}

/// Answers one request at the discovery address, which serves only `GET` of the instance list.
pub async fn handle(replica: Arc<Replica>, request: Request<Incoming>) -> Reply {
    if request.uri().path() != INSTANCES_PATH {
        return error_reply(StatusCode::NOT_FOUND, format!("GET {INSTANCES_PATH} expected"));
    }
    if request.method() != Method::GET {
        let mut reply =
            error_reply(StatusCode::METHOD_NOT_ALLOWED, "changes are taken at the operators' address");
        reply.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET"));
        return reply;
    }
    match parse_query(request.uri().query()) {
        Err(reason) => error_reply(StatusCode::BAD_REQUEST, reason),
        Ok(query) => {
            let reply = list_reply(&replica, query).await;
            increment(if reply.status() == StatusCode::OK {
                &replica.counters.lists
            } else {
                &replica.counters.lists_refused
            });
            reply
        }
    }
}

fn unavailable(why: &str) -> Reply {
    error_reply(StatusCode::SERVICE_UNAVAILABLE, why)
}

async fn list_reply(replica: &Replica, query: ListQuery) -> Reply {
    let mut state = replica.not_ready();
    if let Some(why) = &*state.borrow_and_update() {
        return unavailable(why.message());
    }
    match query.from {
        // An unknown list must not be reported as an empty one: nodes that get an empty list stop using all
        // their servers.
        None if replica.view.version() == 0 => return unavailable("nothing was ever registered here"),
        None => {}
        Some(from) => {
            let _watching = WatchGuard::new(replica);
            let reached = async {
                let mut versions = replica.view.versions();
                let catch_up = query.hold.min(CATCH_UP_TIMEOUT);
                if timeout(catch_up, versions.wait_for(|version| *version >= from)).await.is_err() {
                    return false;
                }
                // If the time runs out, the answer is that nothing changed.
                let _ = timeout_at(Instant::now() + query.hold, versions.wait_for(|version| *version > from))
                    .await;
                true
            };
            let reached = tokio::select! {
                reached = reached => reached,
                // The watcher moves on to a replica that is up to date.
                Ok(why) = state.wait_for(Option::is_some) => {
                    return unavailable(why.as_ref().map_or("", NotReady::message));
                }
            };
            if !reached {
                return unavailable("this replica has not got so far");
            }
        }
    }
    if !replica.is_current() {
        return unavailable(NotReady::Stale.message());
    }
    match replica.view.encoded_list(query.from) {
        Some(bytes) => reply_with(StatusCode::OK, "application/json", bytes),
        None => unavailable("this replica has not got so far"),
    }
}

/// Counts a watch until it ends, also when the client disconnects.
struct WatchGuard<'a>(&'a Replica);

impl<'a> WatchGuard<'a> {
    fn new(replica: &'a Replica) -> Self {
        increment(&replica.counters.watching);
        WatchGuard(replica)
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.counters.watching.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
