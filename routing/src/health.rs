//! Evidence against a server: failures in a row make it suspect; a suspect is skipped for a time that grows with
//! each failed trial, and then tried with one request at a time until a success clears it.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::Options;

/// How strong a failure speaks against a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Nobody is at its address: enough by itself.
    Unreachable,
    /// An attempt failed by its doing.
    Failure,
}

/// What speaks against a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    suspicion: Option<Suspicion>,
}

#[derive(Clone, Debug)]
struct Suspicion {
    until: Millis,
    backoff: Millis,
    trial: bool,
}

impl Health {
    /// An attempt went well.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// A trial shows life: others may follow it, though the failures still count.
    pub fn shows_life(&mut self) {
        self.suspicion = None;
    }

    /// An attempt failed.
    pub fn failed(&mut self, now: Millis, evidence: Evidence, options: &Options, random: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let backoff = match &mut self.suspicion {
            // Attempts that were out when it became suspect say nothing new.
            Some(suspicion) if now < suspicion.until => {
                suspicion.trial = false;
                return;
            }
            Some(suspicion) => (suspicion.backoff * 2).min(options.backoff_longest_ms),
            None if evidence == Evidence::Unreachable || self.failures >= options.suspect_after => {
                options.backoff_first_ms
            }
            None => return,
        };
        let jitter = random.random_range(0..=backoff / 4);
        self.suspicion = Some(Suspicion { until: now + backoff + jitter, backoff, trial: false });
    }

    /// A request was sent to it: the trial, if it is suspect.
    pub fn sent(&mut self) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.trial = true;
        }
    }

    /// The trial ended and says nothing either way.
    pub fn trial_over(&mut self) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.trial = false;
        }
    }

    /// Whether it may get a request as far as the evidence goes.
    pub fn admits(&self, now: Millis) -> bool {
        self.suspicion.as_ref().is_none_or(|suspicion| now >= suspicion.until && !suspicion.trial)
    }

    /// When it may be tried next, if it may not now.
    pub fn again_at(&self) -> Option<Millis> {
        self.suspicion.as_ref().filter(|suspicion| !suspicion.trial).map(|suspicion| suspicion.until)
    }

    /// Failures since the last success, to tell better suspects from worse.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
