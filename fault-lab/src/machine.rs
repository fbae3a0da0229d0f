//! A model of one machine: requests share its cores, wait in a bounded queue, run slower while its caches are cold,
//! and overload crashes it. It does no I/O: the caller passes the time in seconds and asks when the next event is due.

use std::collections::VecDeque;

/// Size and behaviour of a machine.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    pub cores: f64,
    /// Core seconds of work that one core does in a second.
    pub speed: f64,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of requests in the queue.
    pub queue_limit: usize,
    /// Share of the full capacity right after a start.
    pub cold_from: f64,
    /// Time after a start until the machine is warm.
    pub cold_s: f64,
    /// Work, in core seconds at speed 1, that also makes it warm. `None`: only time does.
    pub warm_after_work_s: Option<f64>,
    /// The machine crashes when the work that arrived within `crash_window_s` exceeds this multiple of what it could
    /// have done in that time. 0: never.
    pub crash_multiple: f64,
    /// Length of the time window for `crash_multiple`.
    pub crash_window_s: f64,
    /// Whether overload also crashes it when warm (the origin), or only while cold.
    pub crashes_when_warm: bool,
}

/// Tolerance on the crash threshold, for random variation of the arrivals.
const CRASH_TOLERANCE: f64 = 1.1;
/// Longest simulation step while the machine is warming up and its capacity changes.
const WARMUP_STEP_S: f64 = 0.05;
/// Weight of the newest request in the moving average of service times.
const SMOOTHING: f64 = 0.1;

#[derive(Debug)]
struct Job {
    id: u64,
    /// Remaining work in core seconds at speed 1.
    left_s: f64,
    /// When it began to run.
    began_s: f64,
}

/// What happened to an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs or waits in the queue.
    Accepted,
    /// All slots and the queue are full.
    Rejected,
    /// The request overloaded the machine. The machine has crashed and lost all requests that it held.
    Crashed,
}

/// A simulated machine that shares its cores among running requests and queues the others.
#[derive(Debug)]
pub struct Machine {
    spec: MachineSpec,
    now: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// 0 at a cold start, 1 when warm.
    warmth: f64,
    /// Factor by which the machine is slower than usual; 1 is normal.
    pub slowdown: f64,
    pub paused: bool,
    /// Work that arrived within the last `crash_window_s`, as pairs of time and work.
    arrived_work: VecDeque<(f64, f64)>,
    /// Work that the machine could have done in each simulation step of the same window.
    possible_work: VecDeque<(f64, f64)>,
    /// Moving average of service times, without time in the queue.
    pub mean_service_s: f64,
}

impl Machine {
    /// Creates an idle machine at time `now`, in seconds; it starts cold unless `warm` is set.
    pub fn new(spec: MachineSpec, now: f64, warm: bool) -> Self {
        let warmth = if warm { 1.0 } else { 0.0 };
        let (running, queue) = (Vec::new(), VecDeque::new());
        let (arrived_work, possible_work) = (VecDeque::new(), VecDeque::new());
        Machine {
            spec,
            now,
            running,
            queue,
            warmth,
            slowdown: 1.0,
            paused: false,
            arrived_work,
            possible_work,
            mean_service_s: 0.0,
        }
    }

    /// Whether the machine has completed its warm-up since the last cold start.
    pub fn is_warm(&self) -> bool {
        self.warmth >= 1.0
    }

    /// Number of requests on the machine, running or queued.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Number of requests that wait for a slot.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Core seconds of work per second that the machine can do now.
    pub fn capacity(&self) -> f64 {
        let warm = self.spec.cold_from + (1.0 - self.spec.cold_from) * self.warmth;
        self.spec.cores * self.spec.speed * warm / self.slowdown
    }

    /// Core seconds of work per second that each running request gets.
    fn rate_per_request(&self) -> f64 {
        if self.paused {
            return 0.0;
        }
        self.capacity() / (self.running.len() as f64).max(self.spec.cores)
    }

    /// Advances the model to this time. Returns the ids of the requests that finished, in order of completion.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let mut done = Vec::new();
        while self.now < now {
            let step = self
                .next_event_s()
                .map_or(now, |next_event_s| next_event_s.min(now))
                .max(self.now + 1e-6)
                .min(now);
            let (passed, rate_per_request) = (step - self.now, self.rate_per_request());
            let mut worked = 0.0;
            for job in &mut self.running {
                worked += rate_per_request * passed;
                job.left_s -= rate_per_request * passed;
            }
            self.record_possible_work(step, passed);
            self.now = step;
            self.warm(passed, worked);
            let mut n = 0;
            while n < self.running.len() {
                if self.running[n].left_s <= 1e-9 {
                    let job = self.running.remove(n);
                    self.mean_service_s += SMOOTHING * (self.now - job.began_s - self.mean_service_s);
                    done.push(job.id);
                } else {
                    n += 1;
                }
            }
            self.start_queued();
        }
        done
    }

    fn warm(&mut self, passed: f64, worked: f64) {
        if self.warmth < 1.0 {
            let by_work = self.spec.warm_after_work_s.map_or(0.0, |whole| worked / whole);
            self.warmth = (self.warmth + (passed / self.spec.cold_s).max(by_work)).min(1.0);
        }
    }

    fn record_possible_work(&mut self, at: f64, passed: f64) {
        if self.tracks_overload() {
            self.possible_work.push_back((at, self.capacity() * passed));
            let early = at - self.spec.crash_window_s;
            while self.possible_work.front().is_some_and(|(time, _)| *time < early) {
                self.possible_work.pop_front();
            }
        }
    }

    fn tracks_overload(&self) -> bool {
        self.spec.crash_multiple > 0.0 && (self.spec.crashes_when_warm || !self.is_warm())
    }

    fn start_queued(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.queue.pop_front() else { return };
            self.running.push(Job { began_s: self.now, ..job });
        }
    }

    /// Offers a request to the machine. `advance` must have been called for the current time.
    pub fn offer(&mut self, id: u64, work_s: f64) -> Admission {
        if self.tracks_overload() {
            self.arrived_work.push_back((self.now, work_s));
            let early = self.now - self.spec.crash_window_s;
            while self.arrived_work.front().is_some_and(|(time, _)| *time < early) {
                self.arrived_work.pop_front();
            }
            let arrived_work: f64 = self.arrived_work.iter().map(|(_, work)| work).sum();
            // At least its current capacity over the whole window, because a machine that has just started has no
            // history yet.
            let possible_work = (self.capacity() * self.spec.crash_window_s)
                .max(self.possible_work.iter().map(|(_, w)| w).sum());
            if arrived_work > self.spec.crash_multiple * possible_work * CRASH_TOLERANCE {
                self.crash();
                return Admission::Crashed;
            }
        }
        let job = Job { id, left_s: work_s, began_s: self.now };
        if self.running.len() < self.spec.slots {
            self.running.push(job);
        } else if self.queue.len() < self.spec.queue_limit {
            self.queue.push_back(job);
        } else {
            return Admission::Rejected;
        }
        Admission::Accepted
    }

    /// Drops all requests and the arrival history.
    pub fn crash(&mut self) {
        self.running.clear();
        self.queue.clear();
        self.arrived_work.clear();
        self.possible_work.clear();
    }

    /// Restarts the machine empty and cold, neither slow nor paused.
    pub fn restart(&mut self, now: f64) {
        self.crash();
        (self.now, self.warmth, self.slowdown, self.paused) = (now, 0.0, 1.0, false);
    }

    /// Removes an abandoned request and starts a queued one in its place.
    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|job| job.id != id);
        self.queue.retain(|job| job.id != id);
        self.start_queued();
    }

    /// When the state next changes without a new arrival; `None` if it does not.
    pub fn next_event_s(&self) -> Option<f64> {
        let rate_per_request = self.rate_per_request();
        let least = self.running.iter().map(|job| job.left_s).fold(f64::INFINITY, f64::min);
        if rate_per_request <= 0.0 || least.is_infinite() {
            return (!self.is_warm()).then_some(self.now + WARMUP_STEP_S);
        }
        let done = self.now + (least / rate_per_request).max(0.0);
        Some(if self.is_warm() { done } else { done.min(self.now + WARMUP_STEP_S) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> MachineSpec {
        MachineSpec {
            cores: 2.0,
            speed: 1.0,
            slots: 4,
            queue_limit: 1,
            cold_from: 0.25,
            cold_s: 10.0,
            warm_after_work_s: None,
            crash_multiple: 2.5,
            crash_window_s: 3.0,
            crashes_when_warm: false,
        }
    }

    #[test]
    fn requests_share_the_cores_then_queue_then_are_rejected() {
        let mut machine = Machine::new(spec(), 0.0, true);
        for id in 0..5 {
            assert_eq!(machine.offer(id, 1.0), Admission::Accepted);
        }
        assert_eq!(machine.offer(5, 1.0), Admission::Rejected);
        // Four run at half speed each; the fifth starts when they finish.
        assert_eq!(machine.next_event_s(), Some(2.0));
        assert_eq!(machine.advance(2.0), [0, 1, 2, 3]);
        assert_eq!(machine.advance(2.9), [0; 0]);
        machine.cancel(4);
        assert_eq!((machine.in_flight(), machine.next_event_s()), (0, None));
        machine.paused = true;
        machine.offer(6, 0.1);
        assert_eq!(machine.advance(9.0), [0; 0]);
        machine.paused = false;
        assert_eq!(machine.advance(9.2), [6]);
    }

    #[test]
    fn a_cold_machine_warms_up_and_crashes_when_overloaded() {
        let mut machine = Machine::new(spec(), 0.0, false);
        assert!((machine.capacity() - 0.5).abs() < 1e-9);
        machine.advance(5.0);
        assert!((machine.capacity() - 1.25).abs() < 0.01, "{}", machine.capacity());
        // The threshold is 2.5 times 1.25 per second over 3 s, with the tolerance: 10.3.
        let mut crashed = None;
        for id in 0..40 {
            if machine.offer(id, 0.5) == Admission::Crashed {
                crashed = Some(id);
                break;
            }
        }
        assert_eq!(crashed, Some(20));
        machine.advance(11.0);
        assert!(machine.is_warm());
        assert!(
            (0..40).all(|id| machine.offer(id, 0.5) != Admission::Crashed),
            "a warm machine does not crash"
        );
    }
}
