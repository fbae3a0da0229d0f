//! Outlier detection for one server. Consecutive failures eject the server for a back-off, which doubles with
//! each failed probe. After the back-off, one request at a time is sent as a probe until one succeeds.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::Options;

/// The kind of failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No connection could be established. One such failure ejects the server.
    Unreachable,
    /// The server failed the attempt. [`Options::eject_after_failures`] consecutive failures eject it.
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
    /// Records a success, which clears the failures and ends the ejection.
    pub fn record_success(&mut self) {
        *self = FailureAccrual::default();
    }

    /// Ends the ejection because the server has responded. The failures still count until the next success.
    pub fn readmit(&mut self) {
        self.ejection = None;
    }

    /// Records a failure. Ejects the server if it has reached the failure limit or if a probe has failed.
    pub fn record_failure(
        &mut self,
        now: Millis,
        kind: FailureKind,
        options: &Options,
        random: &mut impl Rng,
    ) {
        self.failures = self.failures.saturating_add(1);
        let backoff = match &mut self.ejection {
            // This attempt was already in flight when the server was ejected, so its failure does not extend
            // the back-off.
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

    /// Records that a request was sent to the server. If the server is ejected, the request is its probe.
    pub fn record_sent(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_in_flight = true;
        }
    }

    /// Records the end of an attempt that was neither a success nor a failure. If it was a probe, another may
    /// be sent.
    pub fn record_inconclusive_attempt(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_in_flight = false;
        }
    }

    /// Whether the server may receive a request: it is not ejected, or a probe is due.
    pub fn admits(&self, now: Millis) -> bool {
        self.ejection.as_ref().is_none_or(|ejection| now >= ejection.until && !ejection.probe_in_flight)
    }

    /// When the ejected server may be probed; `None` if it is not ejected or a probe is in flight.
    pub fn probe_at(&self) -> Option<Millis> {
        self.ejection.as_ref().filter(|ejection| !ejection.probe_in_flight).map(|ejection| ejection.until)
    }

    /// Number of failures since the last success. Ejected servers are ranked by it.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
