//! The pure core of holding a duty: what a holder may believe. Time is a value on its own boot-time clock.
//!
//! The registry passes a duty on a full lease after the last sign of life that it noted, by its own clock. A sign is
//! noted after it was sent; so whoever counts the lease from the sending, and stops earlier by a margin that covers the
//! clocks' different rates and its own slowness in stopping, has stopped by then, whatever it hears or does not hear.

use std::time::Duration;

use shaletrail_registry_protocol::duty::CandidateStatus;

/// A time on the holder's clock.
pub type Time = Duration;

/// One part in so many of a lease is margin: half of it until what the holder runs is killed, half for the rates of
/// clocks and for pauses between looking at the clock and acting.
pub const MARGIN: u32 = 5;

/// What an answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    None,
    /// From here on the candidate holds.
    Won,
    /// The holder is to stop and to release.
    GiveWay,
    /// The tenure is over: by the answer or by the own clock.
    Lost,
}

/// One candidacy, from its place in line to the end of its tenure. Invariant: `holds` is never true later than lease less margin
/// after the sending of the last sign that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
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

impl Tenure {
    pub fn new(lease: Duration) -> Self {
        Tenure::with_margin(lease, lease / MARGIN)
    }

    pub fn with_margin(lease: Duration, margin: Duration) -> Self {
        Tenure { lease, margin, held: None, over: false }
    }

    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// The fencing number, for as long as the candidate may act.
    pub fn holds(&self, now: Time) -> Option<u64> {
        self.held.filter(|held| !self.over && now < held.until).map(|held| held.fence)
    }

    /// When it has to have begun to stop, and when what it runs is to be killed.
    pub fn ends(&self) -> Option<(Time, Time)> {
        self.held.map(|held| (held.until, held.until + self.margin / 2))
    }

    /// The answer to a sign of life that was sent at `sent`: the standing, or none for who is not in line.
    pub fn told(&mut self, sent: Time, standing: Option<&CandidateStatus>, now: Time) -> News {
        if self.held.is_some() && self.holds(now).is_none() {
            self.over = true;
        }
        let until = sent + self.lease - self.margin;
        match (standing.filter(|standing| standing.holds), &mut self.held) {
            _ if self.over => return News::Lost,
            (None, None) => return News::None,
            (None, Some(_)) => {
                self.over = true;
                return News::Lost;
            }
            (Some(standing), Some(held)) if held.fence != standing.fence => {
                self.over = true;
                return News::Lost;
            }
            (Some(_), Some(held)) => held.until = held.until.max(until),
            // Too old to begin with; the next answer may be younger.
            (Some(_), None) if now >= until => return News::None,
            (Some(standing), held @ None) => {
                *held = Some(Held { fence: standing.fence, until });
                return News::Won;
            }
        }
        match standing.is_some_and(|standing| standing.release_requested) {
            true => News::GiveWay,
            false => News::None,
        }
    }
}
