//! A test resource that is protected by fencing numbers: a counter that each holder of a duty reads and increments,
//! with a log of accepted writes. The checker sees this log alone. Also the candidates for the duty, run as processes.

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

/// A write that the counter accepted, with the fencing number that it was made under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    pub fence: u64,
    pub value: u64,
}

#[derive(Default)]
struct CounterState {
    book: FenceTable,
    accepted: Vec<Accepted>,
    refused: u64,
    /// Each fencing number that has called, with the times of its first and last call.
    seen: Vec<(u64, Instant, Instant)>,
}

/// The counter's HTTP server: `GET /` reads the counter, `PUT /` sets it.
pub struct FencedCounter {
    pub addr: SocketAddr,
    state: Arc<Mutex<CounterState>>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl FencedCounter {
    /// With `guard` it rejects fencing numbers that are older than the newest it has seen. Without, it accepts any,
    /// which the checker must detect.
    ///
    /// # Panics
    /// When no port or thread is available.
    pub fn start(guard: bool) -> FencedCounter {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let state = Arc::<Mutex<CounterState>>::default();
        let shared = Arc::clone(&state);
        let addr = runtime.block_on(serve(move |request| answer(Arc::clone(&shared), request, guard)));
        FencedCounter { addr: addr.expect("a free port"), state, runtime: Some(runtime) }
    }

    /// All accepted calls so far.
    pub fn accepted(&self) -> Vec<Accepted> {
        lock(&self.state).accepted.clone()
    }

    /// Number of calls refused so far.
    pub fn refused(&self) -> u64 {
        lock(&self.state).refused
    }

    /// The highest fencing number that has called, accepted or not; 0 before the first call.
    pub fn newest(&self) -> u64 {
        lock(&self.state).seen.iter().map(|(fence, ..)| *fence).max().unwrap_or(0)
    }

    /// Times of the first and last call with this fencing number; `None` when it has not called.
    pub fn calls(&self, fence: u64) -> Option<(Instant, Instant)> {
        let state = lock(&self.state);
        state.seen.iter().find(|(of, ..)| *of == fence).map(|(_, first, last)| (*first, *last))
    }
}

impl Drop for FencedCounter {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn answer(state: Arc<Mutex<CounterState>>, request: Request<Incoming>, guard: bool) -> Reply {
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let fence = Fence::from_headers(header(DUTY_HEADER), header(FENCE_HEADER));
    let method = request.method().clone();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let value = body.ok().and_then(|body| String::from_utf8_lossy(&body.to_bytes()).parse::<u64>().ok());
    let Ok(Some(fence)) = fence else { return reply(StatusCode::BAD_REQUEST, "a fence expected") };
    let mut state = lock(&state);
    let now = Instant::now();
    match state.seen.iter_mut().find(|(of, ..)| *of == fence.fence) {
        Some((.., last)) => *last = now,
        None => state.seen.push((fence.fence, now, now)),
    }
    if let Err(barred) = state.book.admit(&fence) {
        if guard {
            state.refused += 1;
            return reply(StatusCode::PRECONDITION_FAILED, barred.to_string());
        }
    }
    if method == Method::PUT {
        let Some(value) = value else { return reply(StatusCode::BAD_REQUEST, "a number expected") };
        state.accepted.push(Accepted { fence: fence.fence, value });
    }
    let counter = state.accepted.last().map_or(0, |accepted| accepted.value);
    reply(StatusCode::OK, counter.to_string())
}

/// Runs as a holder's command: increments the counter until the process is killed or a call is refused. Waits `between`
/// from each read to its write, and `pause` after each round.
///
/// # Errors
/// The response body when a call is refused; also when the environment names no duty or fencing number.
pub async fn count(at: SocketAddr, between: Duration, pause: Duration) -> Result<(), String> {
    let variable = |name| std::env::var(name).map_err(|e| format!("{name}: {e}"));
    let (duty, fence) = (variable(DUTY_VAR)?, variable(FENCE_VAR)?);
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
                // Without a response it is unknown whether the write took effect, so the counter is read again.
                _ => {}
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Checks that every accepted write incremented the counter by one, and that fencing numbers never decreased. Returns a
/// description of each violation.
pub fn check(accepted: &[Accepted]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last = Accepted { fence: 0, value: 0 };
    for one in accepted {
        if one.value != last.value + 1 {
            violations.push(format!(
                "{} after {}, under fences {} and {}",
                one.value, last.value, one.fence, last.fence
            ));
        }
        if one.fence < last.fence {
            violations.push(format!("fence {} after {}", one.fence, last.fence));
        }
        last = *one;
    }
    violations
}

/// A candidate for the duty, run as a process (`duty run`). Its connection to each replica goes through a link that can
/// be made to fail.
pub struct CandidateProcess {
    pub id: String,
    pub process: Process,
    pub links: Vec<Link>,
}

impl CandidateProcess {
    /// Starts a candidate that runs `command` while it holds the duty `counter`.
    pub fn start(
        program: &Path,
        registry: &[SocketAddr],
        id: &str,
        lease_s: f64,
        log: &Path,
        command: &[&str],
    ) -> CandidateProcess {
        let links: Vec<Link> = registry.iter().map(|addr| Link::to(*addr)).collect();
        let endpoints: Vec<String> = links.iter().map(|link| link.addr.to_string()).collect();
        let mut duty_run = Command::new(program);
        duty_run.args(["duty", "run", "counter", "--id", id, "--registry", &endpoints.join(",")]);
        duty_run.args(["--lease-s", &lease_s.to_string(), "--failures", "1000", "--"]).args(command);
        CandidateProcess { id: id.to_owned(), process: Process::start(&mut duty_run, log), links }
    }

    /// PID of the supervisor process, which is also the ID of its process group; `None` when it is not running.
    pub fn group(&self) -> Option<u32> {
        children(self.process.id()).first().copied()
    }

    /// Sends a signal, such as `STOP`, to every process in the supervisor's group.
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
    fn each_injected_violation_is_reported_and_a_valid_log_is_not() {
        let log = |pairs: &[(u64, u64)]| -> Vec<Accepted> {
            pairs.iter().map(|(fence, value)| Accepted { fence: *fence, value: *value }).collect()
        };
        assert_eq!(check(&log(&[(1, 1), (1, 2), (4, 3)])), Vec::<String>::new());
        assert!(check(&log(&[(1, 1), (2, 2), (1, 3)]))[0].contains("fence 1 after 2"));
        assert!(check(&log(&[(1, 1), (2, 2), (2, 2)]))[0].contains("2 after 2"), "a lost update");
        assert!(check(&log(&[(1, 1), (2, 3)]))[0].contains("3 after 1"), "a skipped value");
    }
}
