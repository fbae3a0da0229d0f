//! Calls of the operator and requests of clients.

use super::{History, MAX_PENDING_CALLS};
use crate::fixtures::{IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH};

impl History {
    pub(super) fn run_operator(&mut self) {
        if self.fleet.operator.pending_count() >= MAX_PENDING_CALLS {
            return;
        }
        let response_loss = if self.world().random_bool(0.3) { 0.3 } else { 0.0 };
        self.fleet.operator.response_loss = response_loss;
        let observer = &self.fleet.world.observer;
        self.acknowledged_changes =
            observer.changes.keys().filter(|change| observer.is_acknowledged(**change)).copied().collect();
        match self.world().random_range(0..=5) {
            0 | 1 => {
                self.fleet.replace();
            }
            2 => {
                self.fleet.update();
            }
            3 => {
                let (first, second) = (self.fleet.create_change(), self.fleet.create_change());
                self.fleet.send_change(first);
                self.fleet.send_change(second);
            }
            4 => {
                self.fleet.operator.read(&mut self.fleet.world, None);
            }
            _ => {
                if let Some(change) = self.acknowledged_changes.last().copied() {
                    self.fleet.send_change(change);
                }
            }
        }
    }

    pub(super) fn send_client_request(&mut self) {
        let edges = self.fleet.edges();
        let Some(node) = self.choose(&edges) else { return };
        if self.world().random_bool(0.4) {
            self.fleet.request_web(node);
            return;
        }
        let path = if self.world().random_bool(0.5) { NON_IDEMPOTENT_PATH } else { IDEMPOTENT_PATH };
        // The lower of two draws, so that models with low numbers get more requests.
        let last = self.fleet.options.models.count as u64 - 1;
        let model = self.world().random_range(0..=last).min(self.world().random_range(0..=last)) as usize;
        let adapter = self.world().random_bool(0.3).then(|| format!("a{}", self.world().random_range(1..=9)));
        self.fleet.request_model(node, path, model, adapter.as_deref());
    }
}
