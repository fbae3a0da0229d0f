//! One emulated machine: cores shared by the requests in work, a waiting room, warmth, and falling over. Pure: time
//! is a value in seconds, and whoever drives it asks when something happens next.

use std::collections::VecDeque;

/// What a machine can do.
#[derive(Clone, Debug)]
pub struct Build {
    pub cores: f64,
    pub speed: f64,
    pub slots: usize,
    pub waiting: usize,
    pub cold_from: f64,
    /// Warm after this time, or after so much work done.
    pub cold_s: f64,
    pub warm_by_work_s: Option<f64>,
    /// Sent more than this multiple of what it can do now over `fall_s`, it falls. 0: never.
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// Whether it falls while warm too (the origin), or only while cold.
    pub falls_warm: bool,
}

/// Over which a falling count may go by chance.
const SLACK: f64 = 1.1;
/// Longest step between two looks while warmth changes.
const STEP_S: f64 = 0.05;

/// Of one more request in the recent time in work.
const SMOOTHING: f64 = 0.1;

#[derive(Debug)]
struct Job {
    id: u64,
    /// Work left, at speed 1.
    left_s: f64,
    /// When its work began.
    began: f64,
}

/// What became of a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    Taken,
    TurnedAway,
    /// It was the one too many: all that the machine holds is lost, and it is down.
    Fell,
}

#[derive(Debug)]
pub struct Machine {
    build: Build,
    now: f64,
    in_work: Vec<Job>,
    waiting: VecDeque<Job>,
    /// 0 at a cold start, 1 when warm.
    warmth: f64,
    /// Divides its speed.
    pub slow: f64,
    pub paused: bool,
    /// Work that came in the last `fall_s`, and what could have been done in it.
    sent: VecDeque<(f64, f64)>,
    could: VecDeque<(f64, f64)>,
    /// Recent time in work, smoothed.
    pub service_s: f64,
}

impl Machine {
    pub fn new(build: Build, now: f64, warm: bool) -> Self {
        let warmth = if warm { 1.0 } else { 0.0 };
        let (in_work, waiting) = (Vec::new(), VecDeque::new());
        let (sent, could) = (VecDeque::new(), VecDeque::new());
        Machine {
            build,
            now,
            in_work,
            waiting,
            warmth,
            slow: 1.0,
            paused: false,
            sent,
            could,
            service_s: 0.0,
        }
    }

    pub fn is_warm(&self) -> bool {
        self.warmth >= 1.0
    }

    pub fn held(&self) -> usize {
        self.in_work.len() + self.waiting.len()
    }

    pub fn queue(&self) -> usize {
        self.waiting.len()
    }

    /// Work a second that it can do now.
    pub fn capacity(&self) -> f64 {
        let warm = self.build.cold_from + (1.0 - self.build.cold_from) * self.warmth;
        self.build.cores * self.build.speed * warm / self.slow
    }

    /// Work a second for one request in work.
    fn rate(&self) -> f64 {
        if self.paused {
            return 0.0;
        }
        self.capacity() / (self.in_work.len() as f64).max(self.build.cores)
    }

    /// Goes on to this time; whoever is done by then, in order.
    pub fn advance(&mut self, now: f64) -> Vec<u64> {
        let mut done = Vec::new();
        while self.now < now {
            let step = self.next().map_or(now, |next| next.min(now)).max(self.now + 1e-6).min(now);
            let (passed, rate) = (step - self.now, self.rate());
            let mut worked = 0.0;
            for job in &mut self.in_work {
                worked += rate * passed;
                job.left_s -= rate * passed;
            }
            self.remember(step, passed);
            self.now = step;
            self.warm(passed, worked);
            let mut n = 0;
            while n < self.in_work.len() {
                if self.in_work[n].left_s <= 1e-9 {
                    let job = self.in_work.remove(n);
                    self.service_s += SMOOTHING * (self.now - job.began - self.service_s);
                    done.push(job.id);
                } else {
                    n += 1;
                }
            }
            self.refill();
        }
        done
    }

    fn warm(&mut self, passed: f64, worked: f64) {
        if self.warmth < 1.0 {
            let by_work = self.build.warm_by_work_s.map_or(0.0, |whole| worked / whole);
            self.warmth = (self.warmth + (passed / self.build.cold_s).max(by_work)).min(1.0);
        }
    }

    fn remember(&mut self, at: f64, passed: f64) {
        if self.counts() {
            self.could.push_back((at, self.capacity() * passed));
            let early = at - self.build.fall_s;
            while self.could.front().is_some_and(|(time, _)| *time < early) {
                self.could.pop_front();
            }
        }
    }

    fn counts(&self) -> bool {
        self.build.fall_multiple > 0.0 && (self.build.falls_warm || !self.is_warm())
    }

    fn refill(&mut self) {
        while self.in_work.len() < self.build.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            self.in_work.push(Job { began: self.now, ..job });
        }
    }

    /// A request comes; `advance` must have been called for this time.
    pub fn offer(&mut self, id: u64, work_s: f64) -> Entry {
        if self.counts() {
            self.sent.push_back((self.now, work_s));
            let early = self.now - self.build.fall_s;
            while self.sent.front().is_some_and(|(time, _)| *time < early) {
                self.sent.pop_front();
            }
            let sent: f64 = self.sent.iter().map(|(_, work)| work).sum();
            // What it could do now, over the whole window: one that just started is judged by what it is.
            let could = (self.capacity() * self.build.fall_s).max(self.could.iter().map(|(_, w)| w).sum());
            if sent > self.build.fall_multiple * could * SLACK {
                self.fall();
                return Entry::Fell;
            }
        }
        let job = Job { id, left_s: work_s, began: self.now };
        if self.in_work.len() < self.build.slots {
            self.in_work.push(job);
        } else if self.waiting.len() < self.build.waiting {
            self.waiting.push_back(job);
        } else {
            return Entry::TurnedAway;
        }
        Entry::Taken
    }

    /// All that it holds is gone; the count begins anew.
    pub fn fall(&mut self) {
        self.in_work.clear();
        self.waiting.clear();
        self.sent.clear();
        self.could.clear();
    }

    /// Starts anew, cold.
    pub fn restart(&mut self, now: f64) {
        self.fall();
        (self.now, self.warmth, self.slow, self.paused) = (now, 0.0, 1.0, false);
    }

    /// The request has been given up: its work stops.
    pub fn cancel(&mut self, id: u64) {
        self.in_work.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        self.refill();
    }

    /// When something happens without anything coming.
    pub fn next(&self) -> Option<f64> {
        let rate = self.rate();
        let least = self.in_work.iter().map(|job| job.left_s).fold(f64::INFINITY, f64::min);
        if rate <= 0.0 || least.is_infinite() {
            return (!self.is_warm()).then_some(self.now + STEP_S);
        }
        let done = self.now + (least / rate).max(0.0);
        Some(if self.is_warm() { done } else { done.min(self.now + STEP_S) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn build() -> Build {
        Build {
            cores: 2.0,
            speed: 1.0,
            slots: 4,
            waiting: 1,
            cold_from: 0.25,
            cold_s: 10.0,
            warm_by_work_s: None,
            fall_multiple: 2.5,
            fall_s: 3.0,
            falls_warm: false,
        }
    }

    #[test]
    fn requests_share_the_cores_wait_and_are_turned_away() {
        let mut machine = Machine::new(build(), 0.0, true);
        for id in 0..5 {
            assert_eq!(machine.offer(id, 1.0), Entry::Taken);
        }
        assert_eq!(machine.offer(5, 1.0), Entry::TurnedAway);
        // Four at half speed each; the fifth begins when they are done.
        assert_eq!(machine.next(), Some(2.0));
        assert_eq!(machine.advance(2.0), [0, 1, 2, 3]);
        assert_eq!(machine.advance(2.9), [0; 0]);
        machine.cancel(4);
        assert_eq!((machine.held(), machine.next()), (0, None));
        machine.paused = true;
        machine.offer(6, 0.1);
        assert_eq!(machine.advance(9.0), [0; 0]);
        machine.paused = false;
        assert_eq!(machine.advance(9.2), [6]);
    }

    #[test]
    fn a_cold_machine_warms_and_falls_when_it_is_sent_too_much() {
        let mut machine = Machine::new(build(), 0.0, false);
        assert!((machine.capacity() - 0.5).abs() < 1e-9);
        machine.advance(5.0);
        assert!((machine.capacity() - 1.25).abs() < 0.01, "{}", machine.capacity());
        // 2.5 times 1.25 a second over 3 s, with the slack: 10.3.
        let mut fell = None;
        for id in 0..40 {
            if machine.offer(id, 0.5) == Entry::Fell {
                fell = Some(id);
                break;
            }
        }
        assert_eq!(fell, Some(20));
        machine.advance(11.0);
        assert!(machine.is_warm());
        assert!((0..40).all(|id| machine.offer(id, 0.5) != Entry::Fell), "warm ones don't fall");
    }
}
