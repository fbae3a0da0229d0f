//! What an outcome says about its server, its connection and the origin, and what its request does next.

use super::server::{EJECTION_TIME, FAILURE_WINDOW};
use super::{figures::RARE_INTERVAL, placement::MIN_STALE_IDLE, Location, Node, MAX_TICK};
use crate::interface::*;

/// Delay of a hit beyond its work, as a fraction of the latency target, above which its server is crowded.
pub(super) const CROWDED_DELAY: f64 = 0.5;
/// The same for the mean delay of the fleet: above it, jumps to other servers make things worse.
pub(super) const SLOW_FLEET_DELAY: f64 = 0.35;
/// Fraction of attempts without a connection above which connections are scarce; one dead server causes less.
const SCARCE: f64 = 0.05;
/// Factor by which a slow core may exceed the hinted work: heavy requests must not look like crowding.
const SLOW_CORE_FACTOR: f64 = 1.5;
/// Fraction of late fetches above which the origin is slow. Single ones vary much, and still fill a cache.
const SLOW_ORIGIN: f64 = 0.6;
/// Factor of a cut of a server's limit, which happens at most once for the attempts then in flight.
const LIMIT_CUT: f64 = 0.8;
/// The same for the fetch limit: slow fetches end late, so cuts are few and must be deep.
const FETCH_LIMIT_CUT: f64 = 0.5;
/// A server that has answered within this time is alive, however many of its connections are reset.
const LIVENESS_WINDOW: Seconds = 0.25;

impl Node {
    pub(super) fn on_outcome(&mut self, outcome: Outcome) {
        let Some(r) = self.requests.get_mut(&outcome.request) else { return };
        let attempt = r.attempts.get_mut(outcome.attempt.0 as usize).filter(|a| a.status.is_none());
        let Some(attempt) = attempt else { return };
        let (server, to_origin) = (attempt.server.clone(), attempt.to_origin);
        if !std::mem::take(&mut r.streaming) {
            self.settle(&outcome);
        }
        let Some(r) = self.requests.get_mut(&outcome.request) else { return };
        r.attempts[outcome.attempt.0 as usize].status = Some(outcome.status);
        if r.ended || outcome.finished {
            self.on_finished(outcome.request);
        } else {
            self.follow_up(outcome.request, &outcome, to_origin);
        }
        self.close_idle(&server);
        self.route_pending();
    }

    /// Updates a server when an attempt ends or its answer begins, and resumes reads that waited for its
    /// fetch.
    pub(super) fn settle(&mut self, outcome: &Outcome) {
        let Some(r) = self.requests.get_mut(&outcome.request) else { return };
        let Some(attempt) = r.attempts.get_mut(outcome.attempt.0 as usize) else { return };
        let counted = std::mem::replace(&mut attempt.counted, false);
        let (server, to_origin, idle) = (attempt.server.clone(), attempt.to_origin, attempt.idle);
        let (key, write, ended, class, sent) = (r.key, r.write, r.ended, r.class, attempt.sent);
        let target = self.settings.classes[r.class].target;
        // Service time counts from when the server has the last byte of the request.
        let outcome = Outcome { elapsed: outcome.elapsed.min(self.now - sent), ..outcome.clone() };
        let delay = (outcome.elapsed - SLOW_CORE_FACTOR * r.work).max(0.0) / target;
        self.in_flight -= u32::from(counted);
        self.origin_in_flight -= u32::from(to_origin);
        let at_origin = self.servers.get(&server).is_some_and(|s| self.settings.is_origin(&s.entry));
        let location = (key, server);
        let known = at_origin || self.likely_cached(&location);
        self.unreachable.add(f64::from(outcome.status == Status::Unreachable), self.now);
        self.observe(&location, &outcome, known, write, idle, delay);
        let fetching = !known && self.settings.cache == CacheMode::Through;
        // In aside mode the origin answers for itself, so an error of a cache server is its own. If a class
        // fails at all servers, all of them lose it and its keys stay at their home servers.
        let own_error =
            outcome.status == Status::Error && !at_origin && self.settings.cache != CacheMode::Through;
        if let Some(s) = self.servers.get_mut(&location.1) {
            s.in_flight -= u32::from(counted);
            match outcome.status {
                // Cancelled by `cancel_lost`, while its request goes on.
                Status::Cancelled if !ended => s.add_result(class, true, self.now),
                Status::TimedOut if !fetching && s.newest_answered > sent && delay > CROWDED_DELAY => {
                    s.add_result(class, true, self.now);
                }
                Status::Success | Status::Absent | Status::Error => s.add_result(class, own_error, self.now),
                _ => {}
            }
        }
        if self.fetches.get(&key).is_some_and(|(leader, _)| to_origin && *leader == outcome.request) {
            // The fetch is over, however it ended: the reads that waited for it ask their cache server.
            for waiter in self.fetches.remove(&key).unwrap_or_default().1 {
                self.requests.entry(waiter).and_modify(|w| w.missed = false);
                self.route(waiter);
            }
        }
    }

    /// Closes idle connections where keeping them at every node costs more than new handshakes, where running
    /// servers accept too few for all nodes, and at a draining server (rule 6).
    fn close_idle(&mut self, server: &ServerId) {
        let (prices, now) = (&self.settings.prices, self.now);
        let Some(s) = self.servers.get(server) else { return };
        let drains = s.entry.state != ServerState::Ready && self.settings.guarantees.close_on_drain.is_some();
        let upkeep = prices.connection * f64::from(self.settings.balancers) / 100.0 * self.arrivals.at(now);
        let costly = self.unreachable.value > SCARCE || upkeep > prices.handshake * self.sends.at(now);
        if drains || (costly && s.in_flight == 0 && s.size > 0.0) {
            self.actions.push(Action::CloseIdle(server.clone()));
        }
    }

    /// Rule 6: closes at the drain notice, after each outcome (`close_idle`) and while a server is listed, as
    /// a connection may become idle after its outcome: a time-out leaves it busy, answers may come in order.
    pub(super) fn close_drained(&mut self) {
        let Some(within) = self.settings.guarantees.close_on_drain else { return };
        self.next_close = self.now + (within / 4.0).max(MAX_TICK);
        let draining = self.servers.iter().filter(|(_, s)| s.entry.state != ServerState::Ready);
        self.actions.extend(draining.map(|(id, _)| Action::CloseIdle(id.clone())));
    }

    /// Retries or ends a request whose attempt did not serve it.
    fn follow_up(&mut self, id: RequestId, outcome: &Outcome, to_origin: bool) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if self.now + 2.0 * self.settings.round >= r.deadline {
            return self.end(id);
        }
        // The last attempt goes to the origin, which has every key (aside mode).
        let last_attempt = r.attempts.len() + 1 >= self.settings.limits.max_attempts as usize;
        // The keys of a class that a server keeps failing go to the origin, as after a miss. The origin's
        // limit bounds this load; the default retry budget would refuse requests that the origin can serve.
        let server = r.attempts.last().and_then(|a| self.servers.get(&a.server));
        let own_error =
            outcome.status == Status::Error && !to_origin && self.settings.cache != CacheMode::Through;
        let stated = self.settings.guarantees.budget.is_some();
        r.budget_exempt = own_error && !stated && server.is_some_and(|s| s.class_ejected(r.class, self.now));
        r.missed |= last_attempt || r.budget_exempt || outcome.status == Status::Absent;
        match outcome.status {
            Status::NotSent => self.end(id),
            // A fetch that failed would fail through another server too.
            Status::Error if to_origin => self.end(id),
            _ => self.route(id),
        }
    }

    /// Cancels attempts that their servers seem to have lost, in time for their requests to be retried.
    pub(super) fn cancel_lost(&mut self) {
        if !self.settings.limits.cancel {
            return;
        }
        let through = self.settings.cache == CacheMode::Through;
        let mut lost = Vec::new();
        for (id, r) in self.requests.iter().filter(|(_, r)| !r.ended && !r.streaming) {
            let class = &self.settings.classes[r.class];
            let Some(a) = r.attempts.last().filter(|a| a.status.is_none()) else { continue };
            // A fetch through a server takes its time, however fast hits are answered meanwhile.
            let fetching = through && !self.likely_cached(&(r.key, a.server.clone()));
            let overtaken =
                !fetching && self.servers.get(&a.server).is_some_and(|s| s.newest_answered > a.sent);
            let overdue = self.now - a.sent - SLOW_CORE_FACTOR * r.work > CROWDED_DELAY * class.target;
            let has_time = self.now + self.hit_latency.value < r.deadline;
            let may_retry = r.attempts.len() < self.settings.limits.max_attempts as usize;
            if class.effect == Effect::Safe && overtaken && overdue && has_time && may_retry {
                lost.push((*id, AttemptId(r.attempts.len() as u32 - 1)));
            }
        }
        for (request, attempt) in lost {
            if !self.retry_window.allows_retry(&self.budget, self.now, self.settings.round) {
                return;
            }
            self.actions.push(Action::Cancel { request, attempt });
        }
    }

    /// Idle time from which a connection is presumed dead; doubles per `RARE_INTERVAL` without evidence.
    pub(super) fn stale_after(&self) -> Seconds {
        self.stale_after.map_or(f64::MAX, |(from, at)| from * ((self.now - at) / RARE_INTERVAL).exp2())
    }

    /// Updates the estimates for the server, the key's location and the origin.
    fn observe(&mut self, at: &Location, outcome: &Outcome, known: bool, write: bool, idle: f64, delay: f64) {
        let (now, status, time) = (self.now, outcome.status, outcome.elapsed);
        let (through, scarce) = (self.settings.cache == CacheMode::Through, self.unreachable.value > SCARCE);
        let fetched = outcome.note == Some(CacheNote::Miss);
        let stale_after = self.stale_after();
        let Some(s) = self.servers.get_mut(&at.1) else { return };
        // Some clients wait for less than the usual latency: their time-outs say nothing about the server.
        let unanswered = status == Status::TimedOut && delay > CROWDED_DELAY;
        // Lost rather than delayed by crowding, as the server has answered attempts that were sent later.
        let lost = unanswered && s.newest_answered > now - time;
        let stale = idle >= MIN_STALE_IDLE && (lost || status == Status::Broken);
        if stale {
            self.stale_after = Some((stale_after.min(idle), now));
            self.actions.push(Action::CloseIdle(at.1.clone()));
        }
        let load = f64::from(s.in_flight);
        s.last_used = now;
        let hit = status == Status::Success && !fetched;
        if hit || status == Status::TimedOut {
            self.hit_latency.add(time, now);
            // Capped at about twice the mean: a few slow servers must not look like a slow fleet.
            self.delay.add(delay.min((2.0 * self.delay.value).max(SLOW_FLEET_DELAY / 4.0)), now);
        }
        // One reset concerns its connection only; repeated ones with no answer in between concern the server.
        let reset = status == Status::Broken && !stale;
        // A time-out counts against a server that has answered nobody since, otherwise against the origin.
        let alive = s.last_answer > now - time;
        // Errors of uncached keys or while fetches fail are the origin's; connections may just be scarce.
        let failed = (status == Status::Error && known && !write && self.late_ratio.value <= SLOW_ORIGIN)
            || (reset && s.last_answer <= s.last_reset && now - s.last_answer > LIVENESS_WINDOW)
            || (status == Status::Unreachable && !scarce)
            || (unanswered && !alive);
        s.last_reset = if reset { now } else { s.last_reset };
        let crowded = match status {
            Status::Overloaded => true,
            Status::TimedOut => unanswered && !lost && (known || s.limit.value < 1.0),
            _ => hit && delay > CROWDED_DELAY,
        };
        if crowded {
            let load = if status == Status::Overloaded { load } else { f64::MAX };
            s.limit.cut(LIMIT_CUT, load, now, now - time);
        } else if hit {
            s.limit.raise(load);
        }
        // A cancelled or unsent attempt is no sign that the server is alive.
        let answer = matches!(status, Status::Success | Status::Absent | Status::Error | Status::Overloaded);
        if answer {
            s.newest_answered = s.newest_answered.max(now - time);
        }
        if failed && now - time > s.ejected_until {
            if self.settings.limits.peer_messages {
                self.actions.push(Action::NotifyPeers(at.1 .0.as_bytes().to_vec()));
            }
            self.on_server_failure(&at.1);
        } else if !failed && answer {
            s.last_answer = now;
        }
        // Where caches don't report hits, answers of uncached keys count as fetches: if only errors did, a
        // few of them would shut the fetch limit for good.
        let fetched = fetched || (outcome.note.is_none() && !known);
        if outcome.note.is_some() && !known && !write {
            self.miss_ratio.add(f64::from(outcome.note != Some(CacheNote::Hit)), now);
        }
        let late = match status {
            Status::Success if through && fetched => Some(delay > 1.0),
            Status::TimedOut if through && !known && alive => Some(true),
            Status::Error if through => Some(true),
            _ => None,
        };
        if let Some(late) = late {
            self.late_ratio.add(f64::from(late), now);
            let load = f64::from(self.origin_in_flight + 1) * self.miss_ratio.value;
            if self.late_ratio.value > SLOW_ORIGIN {
                self.fetch_limit.cut(FETCH_LIMIT_CUT, load, now, now - time);
            } else {
                self.fetch_limit.raise(load);
            }
        }
        // A write invalidates the cached key; a read that ends in an error was no hit.
        if status == Status::Error || (status == Status::Success && write) {
            self.cached_keys.remove(at);
        } else if status == Status::Success && through {
            self.cached_keys.insert(at.clone(), now);
        }
    }

    /// This node or, where messages are allowed, another one got no answer or a failure from a server.
    pub(super) fn on_server_failure(&mut self, id: &ServerId) {
        let duration = EJECTION_TIME * (0.75 + 0.5 * self.random());
        let Some(s) = self.servers.get_mut(id).filter(|s| self.now >= s.ejected_until) else { return };
        if self.now - s.last_failure < FAILURE_WINDOW {
            s.ejected_until = self.now + duration;
            self.actions.push(Action::Log(format!("{} fails, left alone", id.0)));
        }
        s.last_failure = self.now;
    }
}
