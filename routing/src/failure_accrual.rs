//! Evidence against a server: failures in a row make it suspect; a suspect is skipped for a time that grows with
//! each failed trial, and then tried with one request at a time until a success clears it.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::Options;

/// How strong a failure speaks against a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// Nobody is at its address: enough by itself.
    Unreachable,
    /// An attempt failed by its doing.
    Failure,
}

/// What speaks against a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureAccrual {
    failures: u32,
    ejection: Option<Ejection>,
}

#[derive(Clone, Debug)]
struct Ejection {
    until: Millis,
    backoff: Millis,
    probing: bool,
}

impl FailureAccrual {
    /// An attempt went well.
    pub fn record_success(&mut self) {
        *self = FailureAccrual::default();
    }

    /// A trial shows life: others may follow it, though the failures still count.
    pub fn responded(&mut self) {
        self.ejection = None;
    }

    /// An attempt failed.
    pub fn record_failure(
        &mut self,
        now: Millis,
        kind: FailureKind,
        options: &Options,
        random: &mut impl Rng,
    ) {
        self.failures = self.failures.saturating_add(1);
        let backoff = match &mut self.ejection {
            // Attempts that were out when it became suspect say nothing new.
            Some(ejection) if now < ejection.until => {
                ejection.probing = false;
                return;
            }
            Some(ejection) => (ejection.backoff * 2).min(options.max_backoff_ms),
            None if kind == FailureKind::Unreachable || self.failures >= options.eject_after_failures => {
                options.initial_backoff_ms
            }
            None => return,
        };
        let jitter = random.random_range(0..=backoff / 4);
        self.ejection = Some(Ejection { until: now + backoff + jitter, backoff, probing: false });
    }

    /// A request was sent to it: the trial, if it is suspect.
    pub fn record_sent(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = true;
        }
    }

    /// The trial ended and says nothing either way.
    pub fn probe_inconclusive(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probing = false;
        }
    }

    /// Whether it may get a request as far as the evidence goes.
    pub fn admits(&self, now: Millis) -> bool {
        self.ejection.as_ref().is_none_or(|ejection| now >= ejection.until && !ejection.probing)
    }

    /// When it may be tried next, if it may not now.
    pub fn probe_at(&self) -> Option<Millis> {
        self.ejection.as_ref().filter(|ejection| !ejection.probing).map(|ejection| ejection.until)
    }

    /// Failures since the last success, to tell better suspects from worse.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
