//! Life of a request: routed, sent, held or ended.

use shaletrail_ring::mix;

use super::request::{Attempt, Request};
use super::{server::Server, Node};
use crate::interface::*;

/// Part of the latency target, or of the client's time if less, for which a request may wait for a server.
pub(super) const HOLD_FRACTION: f64 = 0.25;

impl Node {
    pub(super) fn on_request(&mut self, new: NewRequest) {
        if self.requests.contains_key(&new.id) {
            return;
        }
        // Called only to drop entries that have left the span, so that memory stays bounded.
        self.retry_window.allows_retry(&self.budget, self.now, self.settings.round);
        self.retry_window.requests.push_back(self.now);
        let key = new.key.unwrap_or(Key(mix(new.id.0)));
        self.key_arrivals.entry(key).or_default().add(self.now);
        self.arrivals.add(self.now);
        let over_quota = self.over_quota(new.tenant);
        let unknown_class = self.settings.classes.len() - 1;
        let request = Request {
            class: new.class.map_or(unknown_class, |c| c.0.min(unknown_class)),
            key,
            write: new.write,
            arrived: self.now,
            deadline: self.now + new.time_left,
            work: new.work.unwrap_or(0.0).max(0.0),
            over_quota,
            draw: self.random(),
            body_pending: new.body_pending,
            ..Request::default()
        };
        self.set_deadline_timer(new.id, new.time_left);
        self.requests.insert(new.id, request);
        self.route(new.id);
    }

    /// Sets the timer that ends a request ahead of its client's deadline, whatever happens.
    fn set_deadline_timer(&mut self, id: RequestId, time_left: Seconds) {
        let after = (time_left - 2.0 * self.settings.round).max(0.0);
        self.actions.push(Action::SetTimer { token: TimerToken(id.0 + 1), after });
    }

    /// The body is complete: the client's time starts, and so does the service time of the attempt in flight.
    pub(super) fn on_body_received(&mut self, id: RequestId, time_left: Seconds) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.body_pending && !r.ended) else { return };
        (r.body_pending, r.deadline) = (false, now + time_left);
        if let Some(a) = r.attempts.last_mut().filter(|a| a.status.is_none()) {
            (a.sent, a.counted) = (now, true);
            let server = a.server.clone();
            self.in_flight += 1;
            self.servers.entry(server).and_modify(|s| s.in_flight += 1);
        }
        self.set_deadline_timer(id, time_left);
    }

    /// The start of an answer settles its attempt: the server has done its work, and the rest is transfer.
    pub(super) fn on_stream(&mut self, id: RequestId, attempt: AttemptId, note: Option<CacheNote>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.streaming = true;
        let Some(a) = r.attempts.get(attempt.0 as usize).filter(|a| a.status.is_none()) else { return };
        let (status, elapsed) = (Status::Success, self.now - a.sent);
        let started = Outcome { request: id, attempt, status, elapsed, finished: true, note };
        self.settle(&started);
        self.route_pending();
    }

    /// Sends, holds or ends a request that has no attempt in flight.
    pub(super) fn route(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.ended && r.in_flight() == 0) else { return };
        if r.costs_budget() && !self.retry_window.allows_retry(&self.budget, self.now, self.settings.round) {
            return self.end(id);
        }
        let Some(r) = self.requests.get(&id) else { return };
        let aside = self.settings.cache != CacheMode::Through;
        // Without a cache server to ask, reads go to the origin within its limit.
        let at_origin = aside && (r.write || r.missed || self.ready_count == 0.0);
        let target = if at_origin { self.choose_origin(r) } else { self.choose_server(r) };
        let key = r.key;
        let uncached = target.as_ref().is_some_and(|t| !self.likely_cached(&(key, t.clone())));
        let to_origin = r.write || (uncached && (r.missed || !aside));
        // One fetch per key: other reads of the key wait until it ends.
        if let (false, true, Some((_, waiters))) = (r.write, to_origin, self.fetches.get_mut(&key)) {
            return waiters.push(id);
        }
        // Limits what reaches the origin, writes less strictly than reads: hits must not queue behind it.
        let has_room = aside || !to_origin || self.origin_has_room(if r.write { 2.0 } else { 1.0 });
        if let Some(server) = target.filter(|_| has_room) {
            return self.send(id, &server, to_origin);
        }
        let Some(r) = self.requests.get(&id) else { return };
        // A client that waits for less than the latency target must get a refusal while it can still retry.
        let time_limit = self.settings.classes[r.class].target.min(r.deadline - r.arrived);
        let max_hold = time_limit * if r.over_quota { 0.1 } else { HOLD_FRACTION };
        let exhausted = !r.attempts.is_empty() && !self.servers.iter().any(|(id, s)| self.may_send(r, id, s));
        if exhausted || self.now >= r.arrived + max_hold || self.now >= r.deadline {
            self.end(id);
        } else {
            self.pending.push_back(id);
        }
    }

    fn send(&mut self, id: RequestId, server: &ServerId, to_origin: bool) {
        let stale_after = self.stale_after();
        let Some(r) = self.requests.get_mut(&id) else { return };
        if r.costs_budget() {
            self.retry_window.retries.push_back(self.now);
        }
        let busy = |s: &Server| s.in_flight > 0 || s.last_used == 0.0;
        let idle =
            self.servers.get(server).map_or(0.0, |s| if busy(s) { 0.0 } else { self.now - s.last_used });
        // Guards against connections dropped unnoticed, by reset or silently; costs handshakes after a crash.
        if idle >= stale_after {
            self.actions.push(Action::CloseIdle(server.clone()));
        }
        let counted = !r.body_pending;
        let (sent, status) = (self.now, None);
        r.attempts.push(Attempt { server: server.clone(), sent, to_origin, idle, counted, status });
        self.origin_in_flight += u32::from(to_origin);
        self.last_fetch = if to_origin { self.now } else { self.last_fetch };
        if to_origin && !r.write {
            self.fetches.entry(r.key).or_insert((id, Vec::new()));
        }
        let time_left = r.deadline - self.now - 2.0 * self.settings.round;
        self.in_flight += u32::from(counted);
        let timeout = Some(time_left.max(self.settings.round));
        self.actions.push(Action::Send { request: id, server: server.clone(), timeout });
        if let Some(s) = self.servers.get_mut(server) {
            s.in_flight += u32::from(counted);
            let pause = self.hit_latency.value / s.limit.value;
            s.paced_until = s.paced_until.max(self.now - 2.0 * pause) + pause;
            if s.size > 0.0 {
                self.sends.add(self.now);
            }
            s.allowance -= f64::from(s.capacity < s.size);
        }
    }

    /// Ends a request: refuses it where a repeat is harmless, else fails it.
    pub(super) fn end(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.ended && !r.streaming) else { return };
        let refuse = Action::Refuse { request: id, retry_after: self.retry_after() };
        self.actions.push(if self.may_refuse(r) { refuse } else { Action::Fail(id) });
        self.on_finished(id);
    }

    /// A server frees up in about the usual hit latency; clients that retry sooner find it as crowded.
    fn retry_after(&self) -> Option<Seconds> {
        let limits = &self.settings.limits;
        let advice = self.hit_latency.value.min(limits.max_retry_after);
        (limits.retry_after && advice > 0.0).then_some(advice)
    }

    /// The request is answered or abandoned: cancels its attempt, and forgets it when none is in flight.
    pub(super) fn on_finished(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let done = std::mem::replace(&mut r.ended, true) || r.streaming || !self.settings.limits.cancel;
        if r.in_flight() == 0 {
            self.requests.remove(&id);
        } else if !done {
            let attempt = AttemptId(r.attempts.len() as u32 - 1);
            self.actions.push(Action::Cancel { request: id, attempt });
        }
    }

    pub(super) fn route_pending(&mut self) {
        for id in std::mem::take(&mut self.pending) {
            self.route(id);
        }
    }
}
