//! What duties cost: how long hand-overs take, and how many calls the registry gets.

use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;
use shaletrail_registry_client::duty::DutyClient;
use shaletrail_registry_client::lease::MARGIN_DIVISOR;
use shaletrail_registry_protocol::duty::Transfer;

use crate::bench::{machine, Spread};
use crate::guarded::{Guarded, Runner};
use crate::link::LinkCondition;
use crate::observer::{get, send};
use crate::process::{wait_for, PATIENCE};
use crate::registry::RegistryCluster;
use crate::rng::SeededRng;

/// How much is measured.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    /// Hand-overs of each kind.
    pub times: usize,
    pub lease_s: f64,
    /// For each count of calls.
    pub count_s: f64,
    pub seed: u64,
}

/// One kind of hand-over: from its cause to the next holder's first call.
#[derive(Debug, Serialize)]
pub struct HandOvers {
    pub cause: &'static str,
    pub ms: Spread,
    /// What the settings imply, without the time in which processes start and get processor time.
    pub bound_ms: f64,
}

/// What the registry was asked in some state, with leases of 10 s.
#[derive(Debug, Serialize)]
pub struct Calls {
    pub state: String,
    pub per_s: f64,
    /// Entries that its log grew by meanwhile.
    pub log_entries: u64,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub machine: String,
    pub size: Size,
    pub hand_overs: Vec<HandOvers>,
    pub calls: Vec<Calls>,
}

/// What ends a tenure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Request,
    Kill,
    Stop,
    Cut,
    KillWithLeader,
}

/// A leader looks at its leases so often.
const LOOK_MS: f64 = 100.0;
/// Longest time from a leader's death to its successor, by the registry's defaults.
const SUCCESSION_MS: f64 = 1250.0;

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

    /// The last sign of life is up to one renewal's wait old, which takes off; the leader's look adds.
    fn bound_ms(self, lease_ms: f64) -> f64 {
        match self {
            // Within the margin a command has to end that does not by itself.
            Cause::Request => lease_ms / f64::from(MARGIN_DIVISOR),
            Cause::Kill | Cause::Stop | Cause::Cut => lease_ms + LOOK_MS,
            // The new leader's leases begin with its first look.
            Cause::KillWithLeader => SUCCESSION_MS + LOOK_MS + lease_ms + LOOK_MS,
        }
    }
}

/// Measures all of it; blocks. `say` is told what is being measured.
///
/// # Panics
/// Where a hand-over does not come at all.
pub fn duty(program: &Path, size: Size, say: impl Fn(&str)) -> Report {
    let mut hand_overs = Vec::new();
    for cause in [Cause::Request, Cause::Kill, Cause::Stop, Cause::Cut, Cause::KillWithLeader] {
        say(cause.name());
        hand_overs.push(HandOvers {
            cause: cause.name(),
            ms: hand_over(program, cause, &size),
            bound_ms: cause.bound_ms(size.lease_s * 1000.0),
        });
    }
    let mut calls = Vec::new();
    for (duties, candidates) in [(1, 2), (1, 51), (1, 201), (1000, 1)] {
        say(&format!("{duties} duties, {candidates} candidates each"));
        calls.push(count(program, duties, candidates, &size));
    }
    Report { machine: machine(), size, hand_overs, calls }
}

fn hand_over(program: &Path, cause: Cause, size: &Size) -> Spread {
    let mut rng = SeededRng::new(cause.name(), size.seed);
    let mut service = RegistryCluster::start(program, "bench-duty", 3);
    let guarded = Guarded::start(true);
    let at = guarded.addr.to_string();
    let log = service.folder.0.join("runners.log");
    let ops = service.ops();
    let runner = |n: usize| {
        let command = [program.to_str().unwrap_or_default(), "lab", "count", "--at", &at];
        Runner::start(program, &ops, &format!("c{n}"), size.lease_s, &log, &command)
    };
    let mut runners: Vec<Runner> = (0..2).map(runner).collect();
    let mut next = runners.len();
    let mut times = Vec::new();
    let show = || ops.iter().find_map(|addr| get(*addr, "/registry/duties/counter").ok());
    let mut fence = 0;
    for _ in 0..size.times {
        let (holder, newest) = wait_for("a holder that counts, and one that waits", || {
            let duty = show()?;
            let newest = duty["fence"].as_u64()?;
            let ready =
                guarded.newest() == newest && newest > fence && duty["waiters"].as_array()?.len() == 1;
            let holder =
                runners.iter().position(|runner| Some(runner.id.as_str()) == duty["holder"].as_str());
            holder.filter(|_| ready).map(|holder| (holder, newest))
        });
        fence = newest;
        // At whatever point of a renewal.
        std::thread::sleep(Duration::from_millis(300 + rng.below(400) as u64));
        let leader = service.wait_for_leader();
        let began = Instant::now();
        match cause {
            Cause::Request => {
                let question = serde_json::json!(Transfer { fence, to: None });
                let asked = send::<serde_json::Value>(
                    &ops,
                    hyper::Method::POST,
                    "/registry/duties/counter/transfer",
                    &question,
                );
                asked.expect("asked");
            }
            Cause::Kill => runners[holder].process.kill(),
            Cause::Stop => runners[holder].process.signal("STOP"),
            Cause::Cut => {
                runners[holder].links.iter().for_each(|link| link.set(LinkCondition::Cut, LinkCondition::Cut))
            }
            Cause::KillWithLeader => {
                runners[holder].process.kill();
                service.kill(leader);
            }
        }
        let first = loop {
            let calls = guarded.calls(guarded.newest());
            match calls.filter(|_| guarded.newest() > fence) {
                Some((first, _)) => break first,
                None => assert!(began.elapsed() < PATIENCE, "no hand-over: {}", cause.name()),
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        times.push((first - began).as_secs_f64() * 1000.0);
        if cause != Cause::Request {
            runners[holder] = runner(next);
            next += 1;
        }
        service.heal();
    }
    Spread::of(times)
}

fn count(program: &Path, duties: usize, candidates: usize, size: &Size) -> Calls {
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
    let figures = || get(ops[leader], "/-/metrics").ok();
    let number = |name: &str| wait_for("figures", || figures()?[name].as_u64());
    wait_for("all are in line", || {
        let all = get(ops[leader], "/registry/duties").ok()?;
        let all = all["duties"].as_array()?.clone();
        let in_line = |duty: &serde_json::Value| {
            usize::from(duty["holder"].is_string()) + duty["waiters"].as_array().map_or(0, Vec::len)
        };
        (all.iter().map(in_line).sum::<usize>() == duties * candidates).then_some(())
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
    Calls { state, per_s, log_entries }
}
