//! The nodes' address: the platform's protocol, "Discovery", and nothing else.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use shaletrail_registry_protocol::{INSTANCES, LONGEST_HOLD};
use tokio::time::{timeout, timeout_at, Instant};

use crate::http::{raw, refusal, Reply};
use crate::replica::{add, NotReady, Replica};

/// A replica behind a watch's version waits so long to get there; then another is the better one to ask.
const CATCH_UP: Duration = Duration::from_millis(1000);

/// What a call asks for.
struct Ask {
    from: Option<u64>,
    hold: Duration,
}

fn ask(query: Option<&str>) -> Result<Ask, String> {
    let mut ask = Ask { from: None, hold: Duration::ZERO };
    for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number =
            || value.parse::<u64>().map_err(|_| format!("{name}: a whole number expected, got `{value}`"));
        match name {
            "from" => ask.from = Some(number()?),
            "hold_ms" => ask.hold = Duration::from_millis(number()?).min(LONGEST_HOLD),
            // The protocol may grow.
            _ => {}
        }
    }
    Ok(ask)
}

pub async fn answer(replica: Arc<Replica>, request: Request<Incoming>) -> Reply {
    if request.uri().path() != INSTANCES {
        return refusal(StatusCode::NOT_FOUND, format!("GET {INSTANCES} expected"));
    }
    if request.method() != Method::GET {
        let mut reply =
            refusal(StatusCode::METHOD_NOT_ALLOWED, "changes are taken at the operators' address");
        reply.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET"));
        return reply;
    }
    match ask(request.uri().query()) {
        Err(what) => refusal(StatusCode::BAD_REQUEST, what),
        Ok(ask) => {
            let reply = list(&replica, ask).await;
            add(if reply.status() == StatusCode::OK {
                &replica.counts.lists
            } else {
                &replica.counts.lists_refused
            });
            reply
        }
    }
}

fn unavailable(why: &str) -> Reply {
    refusal(StatusCode::SERVICE_UNAVAILABLE, why)
}

async fn list(replica: &Replica, ask: Ask) -> Reply {
    let mut state = replica.not_ready();
    if let Some(why) = &*state.borrow_and_update() {
        return unavailable(why.words());
    }
    match ask.from {
        // Not known is not empty: told to nodes, an empty list would end all that they serve.
        None if replica.view.version() == 0 => return unavailable("nothing was ever registered here"),
        None => {}
        Some(from) => {
            let _watching = Watching::new(replica);
            let reached = async {
                let mut versions = replica.view.versions();
                let catch_up = ask.hold.min(CATCH_UP);
                if timeout(catch_up, versions.wait_for(|version| *version >= from)).await.is_err() {
                    return false;
                }
                // At the end of the wait the answer is that nothing changed.
                let _ =
                    timeout_at(Instant::now() + ask.hold, versions.wait_for(|version| *version > from)).await;
                true
            };
            let reached = tokio::select! {
                reached = reached => reached,
                // Who waits here moves on to a replica that knows more.
                Ok(why) = state.wait_for(Option::is_some) => {
                    return unavailable(why.as_ref().map_or("", NotReady::words));
                }
            };
            if !reached {
                return unavailable("this replica has not got so far");
            }
        }
    }
    if !replica.fresh() {
        return unavailable(NotReady::Stale.words());
    }
    match replica.view.answer(ask.from) {
        Some(bytes) => raw(StatusCode::OK, "application/json", bytes),
        None => unavailable("this replica has not got so far"),
    }
}

/// Counts a watch for as long as it lasts, also where its caller goes away.
struct Watching<'a>(&'a Replica);

impl<'a> Watching<'a> {
    fn new(replica: &'a Replica) -> Self {
        add(&replica.counts.watching);
        Watching(replica)
    }
}

impl Drop for Watching<'_> {
    fn drop(&mut self) {
        self.0.counts.watching.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
