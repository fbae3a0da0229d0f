//! Server discovery, and servers that operators take out of service.

use super::{figures::ConcurrencyLimit, placement::FLEET_CAP_FLOOR, server::Server, Node, MIN_LIMIT};
use crate::interface::*;

/// First back-off, before jitter, after a failed call for the roster; doubled at most three times.
const CALL_BACKOFF: Seconds = 0.2;

/// State of the subscription, where the roster must be requested.
#[derive(Default)]
pub(super) struct Subscription {
    pub(super) subscribed: bool,
    pub(super) called: Option<Seconds>,
    pub(super) next_call: Seconds,
    pub(super) failures: u32,
}

impl Node {
    pub(super) fn subscribe_if_due(&mut self) {
        let roster = &self.roster;
        // A call without an answer counts as failed early enough to repeat it within `ask_every`.
        let lost = roster.called.is_some_and(|at| self.now - at > self.settings.guarantees.ask_every * 0.5);
        let due = lost || (roster.called.is_none() && self.now >= roster.next_call);
        if due && !roster.subscribed && self.settings.membership == Membership::OnRequest {
            self.roster.called = Some(self.now);
            self.actions.push(Action::Subscribe);
        }
    }

    pub(super) fn on_roster(&mut self, update: RosterUpdate) {
        if update == RosterUpdate::Failed {
            // Jittered, so that calls that failed together are not repeated together; bounded by `ask_every`.
            let max_backoff = self.settings.guarantees.ask_every.max(CALL_BACKOFF);
            let delay = (CALL_BACKOFF * f64::from(1u32 << self.roster.failures.min(3))).min(max_backoff);
            let (next_call, failures) = (self.now + delay * (0.5 + self.random()), self.roster.failures + 1);
            self.roster = Subscription { next_call, failures, ..Subscription::default() };
            return;
        }
        if !matches!(update, RosterUpdate::Cached(_)) {
            self.roster.subscribed |= self.roster.called.take().is_some();
            self.roster.failures = 0;
        }
        let full_list = !matches!(update, RosterUpdate::Delta(_));
        use RosterUpdate::{Cached, Delta, Full};
        let (Delta(entries) | Full(entries) | Cached(entries)) = update else { return };
        let has_left = |id: &ServerId| full_list && !entries.iter().any(|e| e.server == *id);
        for (_, s) in self.servers.iter_mut().filter(|(id, _)| has_left(id)) {
            s.entry.state = ServerState::Gone;
        }
        entries.into_iter().for_each(|entry| self.on_entry(entry));
        self.refresh_slots();
        self.close_drained();
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || s.in_flight > 0);
        self.route_pending();
    }

    fn on_entry(&mut self, entry: RosterEntry) {
        // Random, so that many nodes don't all send their first attempt at once.
        let (now, allowance, min) = (self.now, self.random(), self.node_share(1.0).min(MIN_LIMIT));
        let (value, last_cut) = (self.node_share(2.0 * FLEET_CAP_FLOOR), 0.0);
        let limit = ConcurrencyLimit { value, min, last_cut };
        let new = Server { entry: entry.clone(), limit, allowance, last_answer: now, ..Server::default() };
        let s = self.servers.entry(entry.server.clone()).or_insert(new);
        // A later start time means a new process: the failures of the old one no longer count.
        if entry.started.is_some_and(|at| s.entry.started.is_none_or(|old| at > old)) {
            (s.ejected_until, s.allowance, s.entry.started) = (0.0, allowance, entry.started);
            s.limit.value = s.limit.value.max(value);
        }
        s.entry = RosterEntry { started: s.entry.started, ..entry };
    }

    /// Takes a server out of service or puts it back. Its process was restarted meanwhile: it warms up from
    /// the start time that the roster reported since, or else from the time when it was put back.
    pub(super) fn on_service_change(&mut self, server: ServerId, restored_at: Option<Seconds>) {
        match restored_at {
            Some(at) => {
                let removed = self.out_of_service.remove(&server).unwrap_or(at);
                let entry = self.servers.get(&server).map(|s| s.entry.clone());
                if let Some(entry) = entry.filter(|e| e.started.is_none_or(|t| t < removed)) {
                    self.on_entry(RosterEntry { started: Some(at), ..entry });
                }
            }
            None => {
                self.actions.push(Action::CloseIdle(server.clone()));
                self.out_of_service.entry(server).or_insert(self.now);
            }
        }
        self.refresh_slots();
        self.route_pending();
    }
}
