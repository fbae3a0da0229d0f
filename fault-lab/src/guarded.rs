//! A thing that duties change, and candidates for it as processes: a counter that each holder reads and sets one higher, and
//! a log of what was accepted, which is all that the checker sees.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use shaletrail_registry_client::call::{Call, HttpClient};
use shaletrail_registry_client::fences::FenceTable;
use shaletrail_registry_client::supervisor::{DUTY_VAR, FENCE_VAR};
use shaletrail_registry_protocol::duty::{Fence, DUTY_HEADER, FENCE_HEADER};

use crate::link::Link;
use crate::loopback::{lock, reply, serve, Reply, MAX_BODY_BYTES};
use crate::process::{children, Process};

/// One change that the thing accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    pub fence: u64,
    pub value: u64,
}

#[derive(Default)]
struct Thing {
    book: FenceTable,
    accepted: Vec<Accepted>,
    refused: u64,
    /// Each call's fencing number, when it was first seen, and when last.
    seen: Vec<(u64, Instant, Instant)>,
}

/// The thing on a socket: `GET /` reads the counter, `PUT /` sets it.
pub struct Guarded {
    pub addr: SocketAddr,
    thing: Arc<Mutex<Thing>>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Guarded {
    /// Without `guard` it takes every fencing number: what a checker must notice.
    ///
    /// # Panics
    /// Where no port or thread is free.
    pub fn start(guard: bool) -> Guarded {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let thing = Arc::<Mutex<Thing>>::default();
        let shared = Arc::clone(&thing);
        let addr = runtime.block_on(serve(move |request| answer(Arc::clone(&shared), request, guard)));
        Guarded { addr: addr.expect("a free port"), thing, runtime: Some(runtime) }
    }

    pub fn accepted(&self) -> Vec<Accepted> {
        lock(&self.thing).accepted.clone()
    }

    pub fn refused(&self) -> u64 {
        lock(&self.thing).refused
    }

    /// The highest fencing number that has called.
    pub fn newest(&self) -> u64 {
        lock(&self.thing).seen.iter().map(|(fence, ..)| *fence).max().unwrap_or(0)
    }

    /// When this fencing number first and last called.
    pub fn calls(&self, fence: u64) -> Option<(Instant, Instant)> {
        let thing = lock(&self.thing);
        thing.seen.iter().find(|(of, ..)| *of == fence).map(|(_, first, last)| (*first, *last))
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn answer(thing: Arc<Mutex<Thing>>, request: Request<Incoming>, guard: bool) -> Reply {
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let fence = Fence::from_headers(header(DUTY_HEADER), header(FENCE_HEADER));
    let method = request.method().clone();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let value = body.ok().and_then(|body| String::from_utf8_lossy(&body.to_bytes()).parse::<u64>().ok());
    let Ok(Some(fence)) = fence else { return reply(StatusCode::BAD_REQUEST, "a fence expected") };
    let mut thing = lock(&thing);
    let now = Instant::now();
    match thing.seen.iter_mut().find(|(of, ..)| *of == fence.fence) {
        Some((.., last)) => *last = now,
        None => thing.seen.push((fence.fence, now, now)),
    }
    if let Err(barred) = thing.book.admit(&fence) {
        if guard {
            thing.refused += 1;
            return reply(StatusCode::PRECONDITION_FAILED, barred.to_string());
        }
    }
    if method == Method::PUT {
        let Some(value) = value else { return reply(StatusCode::BAD_REQUEST, "a number expected") };
        thing.accepted.push(Accepted { fence: fence.fence, value });
    }
    let counter = thing.accepted.last().map_or(0, |accepted| accepted.value);
    reply(StatusCode::OK, counter.to_string())
}

/// What a holder's command does, until it is ended or refused: reads the counter and sets it one higher. `between`
/// passes from the one to the other.
///
/// # Errors
/// In words, where it is refused or was started under no duty.
pub async fn count(at: SocketAddr, between: Duration, pause: Duration) -> Result<(), String> {
    let named = |name| std::env::var(name).map_err(|e| format!("{name}: {e}"));
    let (duty, fence) = (named(DUTY_VAR)?, named(FENCE_VAR)?);
    let headers: &[(&'static str, &str)] = &[(DUTY_HEADER, &duty), (FENCE_HEADER, &fence)];
    let mut line = HttpClient::new(at);
    loop {
        let read = Call { headers, ..Call::get("/", MAX_BODY_BYTES) };
        if let Ok(answer) = line.send(Duration::from_secs(5), read).await {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            if answer.status != StatusCode::OK {
                return Err(text);
            }
            let next = text.parse::<u64>().map_err(|e| e.to_string())? + 1;
            tokio::time::sleep(between).await;
            let body = next.to_string().into();
            let set = Call { method: Method::PUT, headers, body, ..Call::get("/", MAX_BODY_BYTES) };
            match line.send(Duration::from_secs(5), set).await {
                Ok(answer) if answer.status != StatusCode::OK => {
                    return Err(String::from_utf8_lossy(&answer.body).into_owned());
                }
                // Unknown whether set: it is read anew.
                _ => {}
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Each breach in words: every accepted change sets the counter one higher, under a fencing number that is no older than
/// the last.
pub fn check(accepted: &[Accepted]) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut last = Accepted { fence: 0, value: 0 };
    for one in accepted {
        if one.value != last.value + 1 {
            breaches.push(format!(
                "{} after {}, under fences {} and {}",
                one.value, last.value, one.fence, last.fence
            ));
        }
        if one.fence < last.fence {
            breaches.push(format!("fence {} after {}", one.fence, last.fence));
        }
        last = *one;
    }
    breaches
}

/// A candidate as a process, each way from it to a replica one that can fail.
pub struct Runner {
    pub id: String,
    pub process: Process,
    pub links: Vec<Link>,
}

impl Runner {
    /// Stands in line with this command.
    pub fn start(
        program: &Path,
        registry: &[SocketAddr],
        id: &str,
        lease_s: f64,
        log: &Path,
        command: &[&str],
    ) -> Runner {
        let links: Vec<Link> = registry.iter().map(|addr| Link::to(*addr)).collect();
        let endpoints: Vec<String> = links.iter().map(|link| link.addr.to_string()).collect();
        let mut starting = Command::new(program);
        starting.args(["duty", "run", "counter", "--id", id, "--registry", &endpoints.join(",")]);
        starting.args(["--lease-s", &lease_s.to_string(), "--failures", "1000", "--"]).args(command);
        Runner { id: id.to_owned(), process: Process::start(&mut starting, log), links }
    }

    /// The supervisor's process, which is the number of its group too.
    pub fn group(&self) -> Option<u32> {
        children(self.process.id()).first().copied()
    }

    /// Sends a signal to the whole group of the command.
    pub fn signal_group(&self, name: &str) {
        if let Some(group) = self.group() {
            let _ = Command::new("kill").args([&format!("-{name}"), "--", &format!("-{group}")]).status();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_planted_breach_is_caught_and_a_clean_log_is_not() {
        let log = |pairs: &[(u64, u64)]| -> Vec<Accepted> {
            pairs.iter().map(|(fence, value)| Accepted { fence: *fence, value: *value }).collect()
        };
        assert_eq!(check(&log(&[(1, 1), (1, 2), (4, 3)])), Vec::<String>::new());
        assert!(check(&log(&[(1, 1), (2, 2), (1, 3)]))[0].contains("fence 1 after 2"));
        assert!(check(&log(&[(1, 1), (2, 2), (2, 2)]))[0].contains("2 after 2"), "a lost update");
        assert!(check(&log(&[(1, 1), (2, 3)]))[0].contains("3 after 1"), "a step left out");
    }
}
