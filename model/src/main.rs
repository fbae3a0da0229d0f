//! Explores scenes from the command line: `shaletrail-model [--depth N] [--states N] [--threads N] [--few-faults] [SCENE ...]`.

use std::process::ExitCode;
use std::sync::Mutex;

use shaletrail_model::{explore, scenes, Limits, Scene};

/// What is asked for.
struct Request {
    depth: Option<usize>,
    states: usize,
    threads: usize,
    few_faults: bool,
    names: Vec<String>,
}

impl Request {
    fn read(arguments: impl Iterator<Item = String>) -> Option<Request> {
        let mut request =
            Request { depth: None, states: 4_000_000, threads: 2, few_faults: false, names: Vec::new() };
        let mut arguments = arguments;
        while let Some(argument) = arguments.next() {
            match argument.as_str() {
                "--depth" => request.depth = Some(arguments.next()?.parse().ok()?),
                "--states" => request.states = arguments.next()?.parse().ok()?,
                "--threads" => request.threads = arguments.next()?.parse().ok()?,
                "--few-faults" => request.few_faults = true,
                name if name.starts_with('-') => return None,
                name => request.names.push(name.to_owned()),
            }
        }
        Some(request)
    }

    fn limits(&self, scene: &Scene) -> Limits {
        Limits { depth: self.depth.unwrap_or(scene.deep), states: self.states }
    }
}

fn main() -> ExitCode {
    let Some(request) = Request::read(std::env::args().skip(1)) else {
        eprintln!(
            "usage: shaletrail-model [--depth N] [--states N] [--threads N] [--few-faults] [SCENE ...]"
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
                    let report = explore(&scene, start, request.limits(&scene));
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
