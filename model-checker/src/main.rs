//! Explores the scenarios named on the command line, or all of them:
//! `shaletrail-model-checker [--few-faults] [--depth N] [--states N] [--threads N] [SCENARIO ...]`.
//!
//! Without `--few-faults`, one more fault of each kind is allowed than in the tests. Each scenario is explored up to
//! the last depth at which the total number of states stays within `--states`; two million states take about a minute
//! and 1 GB.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

use shaletrail_model_checker::{explore, Limits, Scenario, SCENARIOS};

/// The default of `--states`, per scenario.
const DEFAULT_MAX_STATES: usize = 2_000_000;
/// The default of `--threads`: scenarios explored in parallel.
const DEFAULT_THREADS: usize = 2;

struct Arguments {
    limits: Limits,
    threads: usize,
    few_faults: bool,
    /// Names of the selected scenarios; empty selects all.
    scenarios: Vec<String>,
}

impl Arguments {
    /// Parses the arguments; `None` if they are invalid.
    fn parse(mut arguments: impl Iterator<Item = String>) -> Option<Arguments> {
        let limits = Limits { depth: usize::MAX, states: DEFAULT_MAX_STATES };
        let mut parsed =
            Arguments { limits, threads: DEFAULT_THREADS, few_faults: false, scenarios: Vec::new() };
        while let Some(argument) = arguments.next() {
            match argument.as_str() {
                "--depth" => parsed.limits.depth = arguments.next()?.parse().ok()?,
                "--states" => parsed.limits.states = arguments.next()?.parse().ok()?,
                "--threads" => parsed.threads = arguments.next()?.parse().ok()?,
                "--few-faults" => parsed.few_faults = true,
                option if option.starts_with('-') => return None,
                scenario => parsed.scenarios.push(scenario.to_owned()),
            }
        }
        Some(parsed)
    }

    fn selects(&self, scenario: &Scenario) -> bool {
        self.scenarios.is_empty() || self.scenarios.iter().any(|name| name == scenario.name)
    }
}

fn main() -> ExitCode {
    let Some(arguments) = Arguments::parse(std::env::args().skip(1)) else {
        eprintln!(
            "usage: shaletrail-model-checker [--depth N] [--states N] [--threads N] [--few-faults] [SCENARIO ...]"
        );
        return ExitCode::FAILURE;
    };
    if explore_all(&arguments) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Explores the selected scenarios. Returns whether all invariants hold.
fn explore_all(arguments: &Arguments) -> bool {
    let selected = SCENARIOS.into_iter().filter(|scenario| arguments.selects(scenario));
    let queue: Mutex<Vec<Scenario>> = Mutex::new(selected.rev().collect());
    let all_hold = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(|| {
                while let Some(scenario) = pop_scenario(&queue) {
                    if !explore_one(&scenario, arguments) {
                        all_hold.store(false, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    all_hold.into_inner()
}

fn explore_one(scenario: &Scenario, arguments: &Arguments) -> bool {
    let initial_state = if arguments.few_faults {
        scenario.initial_state()
    } else {
        scenario.initial_state_with_more_faults()
    };
    let report = explore(scenario, initial_state, arguments.limits);
    println!("{report}");
    if let Some(violation) = &report.violation {
        println!("{violation}");
    }
    report.violation.is_none()
}

fn pop_scenario(queue: &Mutex<Vec<Scenario>>) -> Option<Scenario> {
    queue.lock().expect("no thread panics while it holds the lock").pop()
}
