//! Plays random histories of the whole system in memory and names those in which a rule is broken.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Instant;

use argh::FromArgs;
use shaletrail_simulation::history::{History, Point};
use strum::IntoEnumIterator;

/// plays random histories of the whole system in memory
#[derive(FromArgs)]
struct Arguments {
    /// what the histories aim at: cuts, races, losses, storms, calls, the number of one of them (1 to 5), or all
    #[argh(option, default = "\"all\".to_owned()")]
    point: String,
    /// histories of each point
    #[argh(option, default = "100")]
    count: u64,
    /// seed of the first; those that follow have the next ones
    #[argh(option, default = "1")]
    seed: u64,
    /// histories that are played at once
    #[argh(option, default = "3")]
    threads: usize,
    /// failing histories that are printed whole; of the others only the rule and the seed
    #[argh(option, default = "1")]
    whole: usize,
}

/// A history in which a rule was broken.
struct Failure {
    point: Point,
    seed: u64,
    told: String,
}

/// The histories that are asked for, and how far they are.
struct Plan {
    points: Vec<Point>,
    count: u64,
    seed: u64,
    next: AtomicU64,
    failures: Mutex<Vec<Failure>>,
}

impl Plan {
    fn total(&self) -> u64 {
        self.count * self.points.len() as u64
    }

    /// Plays histories until none is left.
    fn work(&self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let point = self.points.get((number % self.points.len() as u64) as usize).copied();
            let Some(point) = point.filter(|_| number < self.total()) else { return };
            let seed = self.seed + number / self.points.len() as u64;
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| History::play_point(point, seed))) {
                let told = panic.downcast_ref::<String>().cloned();
                let told = told.or_else(|| panic.downcast_ref::<&str>().map(|told| (*told).to_owned()));
                let failure = Failure { point, seed, told: told.unwrap_or_default() };
                self.failures.lock().unwrap_or_else(PoisonError::into_inner).push(failure);
            }
        }
    }
}

fn points(asked: &str) -> Option<Vec<Point>> {
    if asked == "all" {
        return Some(Point::iter().collect());
    }
    let numbered = Point::iter().find(|point| point.number().to_string() == asked);
    numbered.or_else(|| Point::from_str(asked).ok()).map(|point| vec![point])
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Some(points) = points(&arguments.point) else {
        eprintln!("no such point: {}", arguments.point);
        return ExitCode::from(2);
    };
    // What a history panics with is told at the end.
    std::panic::set_hook(Box::new(|_| {}));
    let Arguments { count, seed, threads, whole, .. } = arguments;
    let plan = Plan { points, count, seed, next: AtomicU64::new(0), failures: Mutex::default() };
    let begun = Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| plan.work());
        }
    });
    let took = begun.elapsed().as_secs_f64();
    let mut failures = plan.failures.into_inner().unwrap_or_else(PoisonError::into_inner);
    failures.sort_by_key(|failure| (failure.point.number(), failure.seed));
    for (number, Failure { point, seed, told }) in failures.iter().enumerate() {
        let lines = if number < whole { usize::MAX } else { 1 };
        let told: Vec<&str> = told.lines().take(lines).collect();
        println!("FAILED {point} with seed {seed}: {}\n", told.join("\n"));
    }
    for point in &plan.points {
        let failed = failures.iter().filter(|failure| failure.point == *point).count();
        println!("{point}: {count} histories, seeds {seed} to {}, {failed} failed", seed + count.max(1) - 1);
    }
    let total = count * plan.points.len() as u64;
    println!("{total} histories in {took:.1} s on {threads} threads, {:.1} a second", total as f64 / took);
    if failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
