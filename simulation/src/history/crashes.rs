//! Scenario `storms`: hundreds of changes in sequence, while coordinators crash at arbitrary points of their work, lose power
//! during a write, and have disks that are full, fail or stall. Occasionally all coordinators and edges stop at once.

use shaletrail_protocol::Millis;

use super::{History, Recovery, ACK_TIMEOUT};
use crate::coordinator::CrashPoint;

/// Number of changes in a history.
const CHANGES: std::ops::RangeInclusive<u64> = 100..=130;
/// Number of changes in a long history.
const LONG_CHANGES: std::ops::RangeInclusive<u64> = 200..=400;
/// How long a coordinator is down or its disk is faulty, in milliseconds.
const FAULT_DURATION: std::ops::RangeInclusive<Millis> = 5..=1_200;
/// Latency of a slow disk, in milliseconds.
const SLOW_DISK: std::ops::RangeInclusive<Millis> = 30..=200;
/// How long a coordinator counts as unavailable after the end of its fault, in milliseconds: the time that its log takes to
/// catch up.
const CATCH_UP_TIME: Millis = 1_500;
/// How long the outcome of a change is awaited before the next change is sent, in milliseconds.
const RESPONSE_WAIT: std::ops::RangeInclusive<Millis> = 1..=60;

impl History {
    pub(super) fn play_crashes(&mut self) {
        let count = if self.world().random_bool(0.04) { self.draw(LONG_CHANGES) } else { self.draw(CHANGES) };
        self.record(format!("{count} changes in sequence"));
        for _ in 0..count {
            let change = if self.world().random_bool(0.7) && self.fleet.operator.known_version() > 0 {
                self.fleet.update()
            } else {
                self.fleet.replace()
            };
            self.sent_changes.push(change);
            let response_wait = self.draw(RESPONSE_WAIT);
            if !self.await_outcome(change, response_wait) && self.world().random_bool(0.7) {
                self.await_outcome(change, ACK_TIMEOUT);
            }
            self.run_due_recoveries();
            if self.world().random_bool(0.1) {
                self.inject_process_or_disk_fault();
            }
            if self.world().random_bool(0.03) {
                self.resend_random_change();
            }
            if self.world().random_bool(0.1) {
                self.send_client_request();
            }
            if self.world().random_bool(0.008) {
                self.inject_total_outage();
            }
        }
        self.advance(500);
    }

    fn inject_process_or_disk_fault(&mut self) {
        let Some(node) = self.choose_victim(0.5) else { return };
        let until = self.fleet.world.now + self.draw(FAULT_DURATION);
        self.unavailable_until.insert(node, until + CATCH_UP_TIME);
        let mut restarts = true;
        match self.draw(0..=9) {
            0..=2 => {
                let point = CrashPoint::BeforeAction(self.draw(0..=25) as u32);
                self.record(format!("{node} will crash at {point:?}"));
                self.fleet.set_crash_point(node, point);
            }
            3..=5 => {
                let point = CrashPoint::AfterPersist(self.draw(0..=5) as u32);
                self.record(format!("{node} will crash at {point:?}"));
                self.fleet.set_crash_point(node, point);
            }
            6 => {
                self.record(format!("{node} loses power"));
                self.fleet.lose_power(node);
            }
            7 => {
                self.record(format!("{node} loses power and its disk"));
                self.fleet.lose_power(node);
                self.fleet.lose_disk(node);
            }
            _ => {
                restarts = false;
                self.inject_disk_fault(node, SLOW_DISK);
            }
        }
        if restarts {
            self.recoveries.push((until, Recovery::Start(node)));
            return;
        }
        self.recoveries.push((until, Recovery::Disk(node)));
        if self.world().random_bool(0.4) {
            // The process also ends while its disk is faulty.
            let pause = self.draw(0..=20);
            self.fleet.run(pause);
            self.record(format!("{node} is stopped while its disk is faulty"));
            if self.world().random_bool(0.5) {
                self.fleet.kill(node);
            } else {
                self.fleet.lose_power(node);
            }
            self.recoveries.push((until + 1, Recovery::Start(node)));
        }
    }
}
