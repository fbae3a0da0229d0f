//! The last phase of a history: all faults are repaired, and the system must return to service.

use std::collections::BTreeSet;

use shaletrail_protocol::Millis;

use super::{History, ACK_TIMEOUT};
use crate::fixtures::IDEMPOTENT_PATH;
use crate::fleet::Fleet;
use crate::network::{Conditions, Disorder};

/// Time within which all requests must have a response, in milliseconds.
const SERVED_WITHIN: Millis = 7_000;
/// Time after the repair of all faults within which all coordinators must have the same configuration, in milliseconds.
const CAUGHT_UP_WITHIN: Millis = 4_000;
/// Time within which all edges must have applied an acknowledged change, in milliseconds (`convergenceMs`).
const CONVERGED_WITHIN: Millis = 2_000;

impl History {
    /// Repairs all faults, waits for `recovery_time` milliseconds and checks that the system is in service.
    pub(super) fn quiesce(&mut self, recovery_time: Millis) {
        self.record("all faults are repaired".to_owned());
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            self.recover(recovery);
        }
        self.world().network.set_conditions(Conditions::default());
        self.world().network.set_disorder(Disorder::default());
        self.fleet.repair_all();
        self.fleet.operator.response_loss = 0.0;
        self.fleet.run(recovery_time);
        self.fleet.operator.abandon_pending();
        self.fleet.read_within(ACK_TIMEOUT);
        let change = self.fleet.replace_within(ACK_TIMEOUT);
        let converged = self.fleet.run_until(CONVERGED_WITHIN, |fleet| fleet.is_applied_everywhere(change));
        assert!(
            converged,
            "change {change} not applied by all edges within {CONVERGED_WITHIN} ms\n{}",
            self.fleet.describe()
        );
        assert_eq!(self.fleet.read_within(ACK_TIMEOUT), change, "{}", self.fleet.describe());
        self.assert_caught_up();
        self.assert_requests_served();
    }

    /// Checks that all coordinators have the same configuration.
    pub(super) fn assert_caught_up(&mut self) {
        let caught_up = |fleet: &Fleet| {
            let versions = fleet.coordinators().into_iter().map(|node| {
                fleet.coordinator(node).map(|coordinator| coordinator.core().configuration_version())
            });
            let versions: BTreeSet<Option<u64>> = versions.collect();
            versions.len() == 1 && !versions.contains(&None)
        };
        let all = self.fleet.run_until(CAUGHT_UP_WITHIN, caught_up);
        assert!(
            all,
            "coordinators do not have the same configuration after {CAUGHT_UP_WITHIN} ms\n{}",
            self.fleet.describe()
        );
    }

    /// Checks that the edges serve all requests to the service without models and at least half of those for models.
    pub(super) fn assert_requests_served(&mut self) {
        let mut plain = Vec::new();
        let mut for_models = Vec::new();
        for node in self.fleet.edges() {
            plain.push(self.fleet.request_web(node));
            for model in 0..4 {
                for_models.push(self.fleet.request_model(node, IDEMPOTENT_PATH, model, None));
            }
        }
        let all: Vec<u64> = plain.iter().chain(&for_models).copied().collect();
        let answered = |fleet: &Fleet| all.iter().all(|request| fleet.status(*request).is_some());
        self.fleet.run_until(SERVED_WITHIN, answered);
        let served = |requests: &[u64]| {
            requests.iter().filter(|request| self.fleet.status(**request) == Some(200)).count()
        };
        let (plain_served, models_served) = (served(&plain), served(&for_models));
        assert_eq!(
            plain_served,
            plain.len(),
            "requests to the service without models are not served\n{}",
            self.fleet.describe()
        );
        assert!(
            models_served * 2 >= for_models.len(),
            "only {models_served} of {} requests for models are served\n{}",
            for_models.len(),
            self.fleet.describe()
        );
    }
}
