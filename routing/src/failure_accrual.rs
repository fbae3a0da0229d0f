//! Outlier detection for one server: consecutive failures eject it for a backoff that doubles with each failed probe.
//! After the backoff, single requests probe it until a success readmits it.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::Options;

/// What kind of failure an attempt saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No connection came up: ejects the server by itself.
    Unreachable,
    /// The server failed an attempt: ejects it after [`Options::eject_after_failures`] in a row.
    FailedAttempt,
}

/// Consecutive failures of one server, and its ejection.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureAccrual {
    failures: u32,
    ejection: Option<Ejection>,
}

#[derive(Clone, Debug)]
struct Ejection {
    until: Millis,
    backoff: Millis,
    probe_in_flight: bool,
}

impl FailureAccrual {
    /// Records a success, which clears all failures and readmits the server.
    pub fn record_success(&mut self) {
        *self = FailureAccrual::default();
    }

    /// Records a sign of life, which ends the ejection while the failures still count.
    pub fn readmit(&mut self) {
        self.ejection = None;
    }

    /// Records a failure, and ejects the server where it is one too many or a failed probe.
    pub fn record_failure(
        &mut self,
        now: Millis,
        kind: FailureKind,
        options: &Options,
        random: &mut impl Rng,
    ) {
        self.failures = self.failures.saturating_add(1);
        let backoff = match &mut self.ejection {
            // Attempts that were in flight at the ejection say nothing new.
            Some(ejection) if now < ejection.until => {
                ejection.probe_in_flight = false;
                return;
            }
            Some(ejection) => (ejection.backoff * 2).min(options.max_backoff_ms),
            None if kind == FailureKind::Unreachable || self.failures >= options.eject_after_failures => {
                options.initial_backoff_ms
            }
            None => return,
        };
        let jitter = random.random_range(0..=backoff / 4);
        self.ejection = Some(Ejection { until: now + backoff + jitter, backoff, probe_in_flight: false });
    }

    /// Records a request sent to the server: the probe, if it is ejected.
    pub fn record_sent(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_in_flight = true;
        }
    }

    /// Records the end of an attempt that shows neither success nor failure.
    pub fn record_inconclusive_attempt(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_in_flight = false;
        }
    }

    /// Whether the server may get a request: it is not ejected, or due for a probe.
    pub fn admits(&self, now: Millis) -> bool {
        self.ejection.as_ref().is_none_or(|ejection| now >= ejection.until && !ejection.probe_in_flight)
    }

    /// When an ejected server may be probed, unless a probe is in flight.
    pub fn probe_at(&self) -> Option<Millis> {
        self.ejection.as_ref().filter(|ejection| !ejection.probe_in_flight).map(|ejection| ejection.until)
    }

    /// Failures since the last success, which rank ejected servers.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
