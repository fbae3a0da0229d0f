//! Explores scenes from the command line:
//! `shaletrail-model-checker [--few-faults] [--depth N] [--states N] [--threads N] [SCENE ...]`.
//!
//! Without `--few-faults` one more fault of each kind is allowed than in the tests. Each scene goes on to the depth whose
//! states would be more than `--states` in all; two million take about a minute and 1 GB.

use std::process::ExitCode;
use std::sync::Mutex;

use shaletrail_model_checker::{explore, scenes, Limits, Scene};

/// What is asked for.
struct Request {
    limits: Limits,
    threads: usize,
    few_faults: bool,
    names: Vec<String>,
}

impl Request {
    fn read(arguments: impl Iterator<Item = String>) -> Option<Request> {
        let limits = Limits { depth: usize::MAX, states: 2_000_000 };
        let mut request = Request { limits, threads: 2, few_faults: false, names: Vec::new() };
        let mut arguments = arguments;
        while let Some(argument) = arguments.next() {
            match argument.as_str() {
                "--depth" => request.limits.depth = arguments.next()?.parse().ok()?,
                "--states" => request.limits.states = arguments.next()?.parse().ok()?,
                "--threads" => request.threads = arguments.next()?.parse().ok()?,
                "--few-faults" => request.few_faults = true,
                name if name.starts_with('-') => return None,
                name => request.names.push(name.to_owned()),
            }
        }
        Some(request)
    }
}

fn main() -> ExitCode {
    let Some(request) = Request::read(std::env::args().skip(1)) else {
        eprintln!(
            "usage: shaletrail-model-checker [--depth N] [--states N] [--threads N] [--few-faults] [SCENE ...]"
        );
        return ExitCode::FAILURE;
    };
    let wanted =
        |scene: &Scene| request.names.is_empty() || request.names.iter().any(|name| name == scene.name);
    let waiting: Mutex<Vec<Scene>> = Mutex::new(scenes().into_iter().filter(wanted).rev().collect());
    let broken = Mutex::new(false);
    std::thread::scope(|scope| {
        for _ in 0..request.threads {
            scope.spawn(|| {
                while let Some(scene) = next(&waiting) {
                    let start =
                        if request.few_faults { scene.start() } else { scene.start_with_more_faults() };
                    let report = explore(&scene, start, request.limits);
                    println!("{report}");
                    if let Some(violation) = report.violation {
                        println!("{violation}");
                        *broken.lock().expect("no holder of it panics") = true;
                    }
                }
            });
        }
    });
    let is_broken = *broken.lock().expect("no holder of it panics");
    if is_broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn next(waiting: &Mutex<Vec<Scene>>) -> Option<Scene> {
    waiting.lock().expect("no holder of it panics").pop()
}
