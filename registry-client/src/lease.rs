//! Decides until when a process may act as holder of a duty. Does no I/O; times are passed in and are read
//! from the process's own boot-time clock.
//!
//! The registry grants a duty to the next candidate one full lease after it recorded the holder's last
//! renewal, by its own clock. It records a renewal after the holder sent it. A holder that counts the lease
//! from the sending, and stops earlier by a margin for different clock rates and for the time that stopping
//! takes, has therefore always stopped by then, whether or not it receives any answer.

use std::time::Duration;

use shaletrail_registry_protocol::duty::CandidateStatus;

/// A time on the holder's boot-time clock.
pub type Time = Duration;

/// The safety margin is the lease divided by this. Half of the margin is the time between asking the holder's
/// command to stop and killing it; the other half covers clock rates and pauses between reading the clock and
/// acting.
pub const MARGIN_DIVISOR: u32 = 5;

/// What an answer means for the candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Nothing has changed.
    None,
    /// The candidate holds the duty from now on.
    Acquired,
    /// The holder is asked to stop and to release the duty.
    StopRequested,
    /// The lease is over, by the answer or by the process's own clock.
    Lost,
}

/// One candidacy, from queueing to the end of the lease. Invariant: once the lease minus the margin has passed
/// since the last answered call was sent, `holds` returns `None`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    lease: Duration,
    margin: Duration,
    held: Option<Held>,
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    fence: u64,
    until: Time,
}

impl LeaseState {
    /// Creates a state that holds nothing, with the default margin of `lease / MARGIN_DIVISOR`.
    pub fn new(lease: Duration) -> Self {
        LeaseState::with_margin(lease, lease / MARGIN_DIVISOR)
    }

    /// Creates a state that holds nothing. It stops acting as holder `margin` before the lease ends.
    pub fn with_margin(lease: Duration, margin: Duration) -> Self {
        LeaseState { lease, margin, held: None, over: false }
    }

    /// The full duration of the lease, without the margin subtracted.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// The fencing number, if the candidate may act as holder at `now`.
    pub fn holds(&self, now: Time) -> Option<u64> {
        self.held.filter(|held| !self.over && now < held.until).map(|held| held.fence)
    }

    /// When the holder must begin to stop, and when the command that it runs must be killed. `None` before
    /// the grant.
    pub fn deadlines(&self) -> Option<(Time, Time)> {
        self.held.map(|held| (held.until, held.until + self.margin / 2))
    }

    /// Handles the answer to an acquire or a renewal that was sent at `sent`. `standing` is `None` if the
    /// registry answered that the candidate is not in the queue.
    pub fn answer_received(
        &mut self,
        sent: Time,
        standing: Option<&CandidateStatus>,
        now: Time,
    ) -> LeaseEvent {
        if self.held.is_some() && self.holds(now).is_none() {
            self.over = true;
        }
        let until = sent + self.lease - self.margin;
        match (standing.filter(|standing| standing.holds), &mut self.held) {
            _ if self.over => return LeaseEvent::Lost,
            (None, None) => return LeaseEvent::None,
            (None, Some(_)) => {
                self.over = true;
                return LeaseEvent::Lost;
            }
            (Some(standing), Some(held)) if held.fence != standing.fence => {
                self.over = true;
                return LeaseEvent::Lost;
            }
            (Some(_), Some(held)) => held.until = held.until.max(until),
            // The grant is too old to act on; the next answer may extend it.
            (Some(_), None) if now >= until => return LeaseEvent::None,
            (Some(standing), held @ None) => {
                *held = Some(Held { fence: standing.fence, until });
                return LeaseEvent::Acquired;
            }
        }
        match standing.is_some_and(|standing| standing.release_requested) {
            true => LeaseEvent::StopRequested,
            false => LeaseEvent::None,
        }
    }
}
