//! Breadth-first search over all states within a depth.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::machine::Memo;
use crate::scenes::Scene;
use crate::world::{Step, World};

/// How far to go.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Steps on one path.
    pub depth: usize,
    /// The search ends before a depth that would lead beyond so many states.
    pub states: usize,
}

/// What a search has found.
#[derive(Clone, Debug)]
pub struct Report {
    /// The scene's name.
    pub scene: &'static str,
    /// Different states.
    pub states: usize,
    /// Steps taken between them.
    pub transitions: usize,
    /// The depth to which all states were visited.
    pub depth: usize,
    /// Whether there was nothing left to explore.
    pub exhausted: bool,
    /// The first thing found broken.
    pub violation: Option<Violation>,
    /// How long it took.
    pub elapsed: Duration,
}

/// A path on which something breaks.
#[derive(Clone, Debug)]
pub struct Violation {
    /// What breaks.
    pub broken: String,
    /// The steps that lead there, the last of which breaks it.
    pub path: Vec<String>,
}

/// How a state was first reached: from which, and by which of its steps.
#[derive(Clone, Copy)]
struct Reached {
    from: u64,
    step: u16,
}

/// Visits all states from a start of a scene within the limits.
pub fn explore(scene: &Scene, start: World, limits: Limits) -> Report {
    let begin = Instant::now();
    let mut search = Search::from(&start);
    let mut frontier = vec![start.clone()];
    let mut violation = None;
    let mut depth = 0;
    while violation.is_none() && !frontier.is_empty() && depth < limits.depth {
        match search.next_layer(&frontier, limits.states) {
            Layer::Whole(next) => frontier = next,
            Layer::TooLarge => break,
            Layer::Broken { from, step, broken } => {
                violation = Some(Violation { broken, path: search.path(&start, from, step) });
                continue;
            }
        }
        depth += 1;
    }
    Report {
        scene: scene.name,
        states: search.reached.len(),
        transitions: search.transitions,
        depth,
        exhausted: frontier.is_empty(),
        violation,
        elapsed: begin.elapsed(),
    }
}

struct Search {
    memo: Memo,
    reached: HashMap<u64, Reached>,
    transitions: usize,
}

/// The states one step further.
enum Layer {
    Whole(Vec<World>),
    TooLarge,
    Broken { from: u64, step: Step, broken: String },
}

impl Search {
    fn from(start: &World) -> Search {
        let hash = start.hash();
        let reached = HashMap::from([(hash, Reached { from: hash, step: 0 })]);
        Search { memo: Memo::default(), reached, transitions: 0 }
    }

    fn next_layer(&mut self, frontier: &[World], most_states: usize) -> Layer {
        let mut next = Vec::new();
        for world in frontier {
            let from = world.hash();
            for (number, step) in world.steps().into_iter().enumerate() {
                let Some(taken) = world.take(&step, &mut self.memo) else { continue };
                self.transitions += 1;
                let after = match taken {
                    Ok(after) => after,
                    Err(broken) => return Layer::Broken { from, step, broken },
                };
                let reached = Reached { from, step: number as u16 };
                if self.reached.len() >= most_states {
                    return Layer::TooLarge;
                }
                if let std::collections::hash_map::Entry::Vacant(place) = self.reached.entry(after.hash()) {
                    place.insert(reached);
                    next.push(after);
                }
            }
        }
        Layer::Whole(next)
    }

    /// The steps from the start to a state and one more, in words.
    fn path(&mut self, start: &World, last: u64, last_step: Step) -> Vec<String> {
        let first = start.hash();
        let mut numbers = Vec::new();
        let mut hash = last;
        while hash != first {
            let reached = self.reached[&hash];
            numbers.push(reached.step);
            hash = reached.from;
        }
        let mut world = start.clone();
        let mut path = vec![world.to_string()];
        for number in numbers.into_iter().rev() {
            let step = world.steps().swap_remove(usize::from(number));
            path.push(world.describe(&step));
            let after = world.take(&step, &mut self.memo).expect("the step was taken before");
            world = after.expect("nothing broke at this step before");
        }
        path.push(world.describe(&last_step));
        path.push(world.to_string());
        path
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(formatter, "{}", self.broken)?;
        self.path.iter().enumerate().try_for_each(|(number, line)| writeln!(formatter, "{number:3} {line}"))
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{}: {} states, {} transitions, depth {}{}, {:.1} s{}",
            self.scene,
            self.states,
            self.transitions,
            self.depth,
            if self.exhausted { " (nothing left)" } else { "" },
            self.elapsed.as_secs_f64(),
            if self.violation.is_some() { ", broken one step further" } else { "" },
        )
    }
}
