//! Plays randomized histories of the simulated system and prints those that violate an invariant or do not return to service.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Instant;

use argh::FromArgs;
use shaletrail_simulation::history::{History, Scenario};
use strum::IntoEnumIterator;

/// plays random histories of the whole system in memory
#[derive(FromArgs)]
struct Arguments {
    /// scenario of the histories: cuts, races, losses, storms, calls, the number of one of them (1 to 5), or all
    #[argh(option, long = "point", default = "\"all\".to_owned()")]
    scenario: String,
    /// histories of each scenario
    #[argh(option, default = "100")]
    count: u64,
    /// seed of the first history; the following ones have consecutive seeds
    #[argh(option, default = "1")]
    seed: u64,
    /// histories that are played concurrently
    #[argh(option, default = "3")]
    threads: usize,
    /// failing histories that are printed in full; of the others only the violation and the seed
    #[argh(option, long = "whole", default = "1")]
    full_reports: usize,
}

/// A history that violated an invariant or did not return to service.
struct Failure {
    scenario: Scenario,
    seed: u64,
    message: String,
}

/// The histories to play, and the results so far; shared by the worker threads.
struct Plan {
    scenarios: Vec<Scenario>,
    count: u64,
    seed: u64,
    next: AtomicU64,
    failures: Mutex<Vec<Failure>>,
}

impl Plan {
    fn total(&self) -> u64 {
        self.count * self.scenarios.len() as u64
    }

    /// Takes and plays one history after another until all have been taken.
    fn run(&self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let scenario = self.scenarios.get((number % self.scenarios.len() as u64) as usize).copied();
            let Some(scenario) = scenario.filter(|_| number < self.total()) else { return };
            let seed = self.seed + number / self.scenarios.len() as u64;
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| History::play_scenario(scenario, seed))) {
                let message = panic.downcast_ref::<String>().cloned();
                let message =
                    message.or_else(|| panic.downcast_ref::<&str>().map(|message| (*message).to_owned()));
                let failure = Failure { scenario, seed, message: message.unwrap_or_default() };
                self.failures.lock().unwrap_or_else(PoisonError::into_inner).push(failure);
            }
        }
    }
}

/// The scenarios that an argument selects; `None` if there is no such scenario.
fn scenarios(argument: &str) -> Option<Vec<Scenario>> {
    if argument == "all" {
        return Some(Scenario::iter().collect());
    }
    let numbered = Scenario::iter().find(|scenario| scenario.number().to_string() == argument);
    numbered.or_else(|| Scenario::from_str(argument).ok()).map(|scenario| vec![scenario])
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(scenarios) = scenarios(&arguments.scenario) else {
        eprintln!("no such point: {}", arguments.scenario);
        return ExitCode::from(2);
    };
    // Panics of failed histories are collected and printed at the end, so the default hook stays silent.
    std::panic::set_hook(Box::new(|_| {}));
    let Arguments { count, seed, threads, full_reports, .. } = arguments;
    let plan = Plan { scenarios, count, seed, next: AtomicU64::new(0), failures: Mutex::default() };
    let started_at = Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| plan.run());
        }
    });
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let mut failures = plan.failures.into_inner().unwrap_or_else(PoisonError::into_inner);
    failures.sort_by_key(|failure| (failure.scenario.number(), failure.seed));
    for (number, Failure { scenario, seed, message }) in failures.iter().enumerate() {
        let lines = if number < full_reports { usize::MAX } else { 1 };
        let message: Vec<&str> = message.lines().take(lines).collect();
        println!("FAILED {scenario} with seed {seed}: {}\n", message.join("\n"));
    }
    for scenario in &plan.scenarios {
        let failed = failures.iter().filter(|failure| failure.scenario == *scenario).count();
        println!(
            "{scenario}: {count} histories, seeds {seed} to {}, {failed} failed",
            seed + count.max(1) - 1
        );
    }
    let total = count * plan.scenarios.len() as u64;
    println!(
        "{total} histories in {elapsed_s:.1} s on {threads} threads, {:.1} a second",
        total as f64 / elapsed_s
    );
    if failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
