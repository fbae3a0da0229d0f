//! Virtual time, the queue of scheduled events, and the source of randomness.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_protocol::Millis;

use crate::events::ScheduledEvent;

struct Entry {
    at: Millis,
    /// Orders entries with the same time by when they were scheduled.
    sequence: u64,
    event: ScheduledEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The discrete-event scheduler shared by all nodes. Runs with equal seeds are identical.
pub struct Scheduler {
    /// The current virtual time, in milliseconds since the start of the run.
    pub now: Millis,
    /// The only source of randomness in a run.
    pub rng: Pcg64,
    queue: BinaryHeap<Reverse<Entry>>,
    last_id: u64,
}

impl Scheduler {
    /// A scheduler at time 0 with an empty queue.
    pub fn new(seed: u64) -> Self {
        Scheduler { now: 0, rng: Pcg64::seed_from_u64(seed), queue: BinaryHeap::new(), last_id: 0 }
    }

    /// Schedules an event after a delay. It comes after all events already scheduled for the same time.
    pub fn schedule_after(&mut self, delay: Millis, event: ScheduledEvent) {
        let entry = Entry { at: self.now + delay, sequence: self.next_id(), event };
        self.queue.push(Reverse(entry));
    }

    /// Removes the next event up to a time and advances the clock to it. If there is none, advances the clock to that
    /// time.
    pub fn pop_until(&mut self, until: Millis) -> Option<ScheduledEvent> {
        if self.queue.peek().is_none_or(|Reverse(entry)| entry.at > until) {
            self.now = until;
            return None;
        }
        let Reverse(entry) = self.queue.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }

    /// Returns a new unique id.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Draws the time in milliseconds to the next event of a Poisson process with `rate` events per second; `None` if
    /// the rate is 0.
    pub fn sample_interval(&mut self, rate: f64) -> Option<Millis> {
        if rate <= 0.0 {
            return None;
        }
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Some((-uniform.ln() * 1_000.0 / rate).round() as Millis)
    }
}
