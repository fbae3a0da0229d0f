//! Benchmark of duties: how long a hand-over takes, and how many calls candidates make to the registry.

use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;
use shaletrail_registry_client::duty::DutyClient;
use shaletrail_registry_client::lease::MARGIN_DIVISOR;
use shaletrail_registry_protocol::duty::Transfer;

use crate::bench::{machine, Spread};
use crate::fenced_counter::{CandidateProcess, FencedCounter};
use crate::link::LinkCondition;
use crate::observer::{get, send};
use crate::process::{wait_for, WAIT_TIMEOUT};
use crate::registry::RegistryCluster;
use crate::rng::SeededRng;

/// Parameters of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    /// Hand-overs measured per cause.
    pub times: usize,
    /// Lease of the duty whose hand-overs are timed.
    pub lease_s: f64,
    /// How long calls are counted, for each number of duties and candidates.
    pub count_s: f64,
    /// Determines at which point of a renewal interval each cause is applied.
    pub seed: u64,
}

/// Hand-over times of one cause: from the cause to the next holder's first call.
#[derive(Debug, Serialize)]
pub struct HandOverTimes {
    pub cause: &'static str,
    pub ms: Spread,
    /// Upper bound that follows from the settings, not counting process starts and waiting for CPU time.
    pub bound_ms: f64,
}

/// Rate of calls to the registry with a given number of duties and candidates, with leases of 10 s.
#[derive(Debug, Serialize)]
pub struct CallRate {
    pub state: String,
    pub per_s: f64,
    /// Entries added to the registry's log in the same time.
    pub log_entries: u64,
}

/// Results of the duty benchmark, with the machine and parameters that they were measured with.
#[derive(Debug, Serialize)]
pub struct Report {
    pub machine: String,
    pub size: Size,
    pub hand_overs: Vec<HandOverTimes>,
    pub calls: Vec<CallRate>,
}

/// Why a holder loses the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// A transfer is requested.
    Request,
    /// SIGKILL of the holder.
    Kill,
    /// SIGSTOP of the holder's `duty run` process; its command keeps running.
    Stop,
    /// A network partition between the holder and all replicas.
    Cut,
    /// SIGKILL of the holder and of the registry's leader.
    KillWithLeader,
}

/// How often the registry's leader checks for expired leases.
const LEASE_CHECK_MS: f64 = 100.0;
/// Longest time from the leader's death until a new leader is elected, with the registry's default settings.
const ELECTION_MS: f64 = 1250.0;

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::Request => "on request",
            Cause::Kill => "holder SIGKILLed",
            Cause::Stop => "duty run SIGSTOPped, its command running on",
            Cause::Cut => "holder cut off from all replicas",
            Cause::KillWithLeader => "holder and registry leader SIGKILLed together",
        }
    }

    /// Upper bound of the hand-over time. The last renewal may be up to one renewal interval old, which makes the
    /// hand-over shorter; the interval of the leader's lease checks makes it longer.
    fn bound_ms(self, lease_ms: f64) -> f64 {
        match self {
            // A command that does not end by itself is killed within the lease's margin.
            Cause::Request => lease_ms / f64::from(MARGIN_DIVISOR),
            Cause::Kill | Cause::Stop | Cause::Cut => lease_ms + LEASE_CHECK_MS,
            // The new leader restarts all leases at its first lease check.
            Cause::KillWithLeader => ELECTION_MS + LEASE_CHECK_MS + lease_ms + LEASE_CHECK_MS,
        }
    }
}

/// Runs the whole benchmark of duties; blocks. `progress` is called with the name of each step as it starts.
///
/// # Panics
/// When a hand-over does not happen within the timeout.
pub fn measure_duty(program: &Path, size: Size, progress: impl Fn(&str)) -> Report {
    let mut hand_overs = Vec::new();
    for cause in [Cause::Request, Cause::Kill, Cause::Stop, Cause::Cut, Cause::KillWithLeader] {
        progress(cause.name());
        hand_overs.push(HandOverTimes {
            cause: cause.name(),
            ms: measure_hand_over(program, cause, &size),
            bound_ms: cause.bound_ms(size.lease_s * 1000.0),
        });
    }
    let mut calls = Vec::new();
    for (duties, candidates) in [(1, 2), (1, 51), (1, 201), (1000, 1)] {
        progress(&format!("{duties} duties, {candidates} candidates each"));
        calls.push(count_calls(program, duties, candidates, &size));
    }
    Report { machine: machine(), size, hand_overs, calls }
}

fn measure_hand_over(program: &Path, cause: Cause, size: &Size) -> Spread {
    let mut chance = SeededRng::new(cause.name(), size.seed);
    let mut service = RegistryCluster::start(program, "bench-duty", 3);
    let counter = FencedCounter::start(true);
    let at = counter.addr.to_string();
    let log = service.folder.0.join("runners.log");
    let ops = service.ops();
    let candidate = |n: usize| {
        let command = [program.to_str().unwrap_or_default(), "lab", "count", "--at", &at];
        CandidateProcess::start(program, &ops, &format!("c{n}"), size.lease_s, &log, &command)
    };
    let mut candidates: Vec<CandidateProcess> = (0..2).map(candidate).collect();
    let mut next = candidates.len();
    let mut times = Vec::new();
    let read_duty = || ops.iter().find_map(|addr| get(*addr, "/registry/duties/counter").ok());
    let mut fence = 0;
    for _ in 0..size.times {
        let (holder, newest) =
            wait_for("a holder that increments the counter, and a waiting candidate", || {
                let duty = read_duty()?;
                let newest = duty["fence"].as_u64()?;
                let ready =
                    counter.newest() == newest && newest > fence && duty["waiters"].as_array()?.len() == 1;
                let holder = candidates
                    .iter()
                    .position(|candidate| Some(candidate.id.as_str()) == duty["holder"].as_str());
                holder.filter(|_| ready).map(|holder| (holder, newest))
            });
        fence = newest;
        // So that the cause falls on a random point of the renewal interval.
        std::thread::sleep(Duration::from_millis(300 + chance.below(400) as u64));
        let leader = service.wait_for_leader();
        let began = Instant::now();
        match cause {
            Cause::Request => {
                let transfer = serde_json::json!(Transfer { fence, to: None });
                let accepted = send::<serde_json::Value>(
                    &ops,
                    hyper::Method::POST,
                    "/registry/duties/counter/transfer",
                    &transfer,
                );
                accepted.expect("the transfer request is accepted");
            }
            Cause::Kill => candidates[holder].process.kill(),
            Cause::Stop => candidates[holder].process.signal("STOP"),
            Cause::Cut => candidates[holder]
                .links
                .iter()
                .for_each(|link| link.set(LinkCondition::Cut, LinkCondition::Cut)),
            Cause::KillWithLeader => {
                candidates[holder].process.kill();
                service.kill(leader);
            }
        }
        let first = loop {
            let calls = counter.calls(counter.newest());
            match calls.filter(|_| counter.newest() > fence) {
                Some((first, _)) => break first,
                None => assert!(began.elapsed() < WAIT_TIMEOUT, "no hand-over in time: {}", cause.name()),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        times.push((first - began).as_secs_f64() * 1000.0);
        if cause != Cause::Request {
            candidates[holder] = candidate(next);
            next += 1;
        }
        service.heal();
    }
    Spread::of(times)
}

fn count_calls(program: &Path, duties: usize, candidates: usize, size: &Size) -> CallRate {
    let service = RegistryCluster::start(program, "bench-calls", 3);
    let leader = service.wait_for_leader();
    let ops = service.ops();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    for n in 0..duties * candidates {
        let ops = ops.clone();
        runtime.spawn(async move {
            let name = format!("d{}", n % duties);
            let Ok(mut seat) = DutyClient::new(ops, &name, &format!("c{n}"), n as u64, 10.0) else { return };
            loop {
                if seat.acquire(|_| {}).await.is_err() {
                    return;
                }
                seat.keep_renewing(|_, _| {}).await;
            }
        });
    }
    let metrics = || get(ops[leader], "/-/metrics").ok();
    let number = |name: &str| wait_for("the metrics", || metrics()?[name].as_u64());
    wait_for("every duty has all its candidates as holder or waiter", || {
        let all = get(ops[leader], "/registry/duties").ok()?;
        let all = all["duties"].as_array()?.clone();
        let candidates_of = |duty: &serde_json::Value| {
            usize::from(duty["holder"].is_string()) + duty["waiters"].as_array().map_or(0, Vec::len)
        };
        (all.iter().map(candidates_of).sum::<usize>() == duties * candidates).then_some(())
    });
    std::thread::sleep(Duration::from_secs(3));
    let (began, before, log) = (Instant::now(), number("duty_calls"), number("log_last"));
    std::thread::sleep(Duration::from_secs_f64(size.count_s));
    let made = number("duty_calls") - before;
    let per_s = made as f64 / began.elapsed().as_secs_f64();
    let log_entries = number("log_last") - log;
    runtime.shutdown_background();
    let state = match duties {
        1 => format!("1 duty, {} waiters", candidates - 1),
        _ => format!("{duties} duties without waiters"),
    };
    CallRate { state, per_s, log_entries }
}
