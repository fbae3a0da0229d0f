//! Sending requests, and holding those for which there is no server now.

use std::collections::BTreeSet;
use std::sync::Arc;

use shaletrail_protocol::Millis;

use crate::choice::{choose, Ask, Chosen, Unavailable};
use crate::holding::Rank;
use crate::interface::{Action, Attempt, RejectReason};
use crate::report::Wanted;
use crate::requests::{Held, Out, Phase, Request};
use crate::router::{Otherwise, Router};

/// Times that a request may be sent anew to servers that have it surely not run, beyond its attempts.
const SAME_AGAIN: u32 = 2;
/// The highest value of `Priority`.
const PRIORITY_LAST: u8 = 9;
/// The shortest `Deadline-Ms`.
const DEADLINE_MIN: Millis = 1;

impl Router {
    /// Sends a request if it may be sent and there is a server; otherwise it waits or ends.
    pub(crate) fn place(
        &mut self,
        now: Millis,
        request: Request,
        otherwise: Otherwise,
        actions: &mut Vec<Action>,
    ) {
        if now >= request.deadline_at {
            return self.end(now, request, otherwise, RejectReason::TooLate, actions);
        }
        if let Some(reason) = self.barred(now, &request) {
            return self.end(now, request, otherwise, reason, actions);
        }
        match self.find_server(now, &request) {
            Ok(chosen) => self.send(now, request, chosen, actions),
            Err(unavailable) if otherwise == Otherwise::Wait => self.hold(now, request, unavailable, actions),
            Err(unavailable) => {
                let wanted = Arc::clone(&request.wanted);
                self.end(now, request, otherwise, reason_of(unavailable, &wanted), actions);
            }
        }
    }

    fn end(
        &mut self,
        now: Millis,
        request: Request,
        otherwise: Otherwise,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        match otherwise {
            Otherwise::Wait => self.refuse(now, request, reason, actions),
            Otherwise::ForwardFailure => self.pass_on(request, actions),
            Otherwise::AbortResponse => self.break_off(request, actions),
        }
    }

    /// Why no further attempt may be made, if none may.
    pub(crate) fn barred(&mut self, now: Millis, request: &Request) -> Option<RejectReason> {
        if !request.may_run_again() {
            return Some(RejectReason::MayHaveRun);
        }
        if request.sendings >= self.options.max_sendings {
            return Some(RejectReason::NoServer);
        }
        if request.arrivals == 0 {
            return None;
        }
        // A server at which it surely has not run may be asked again: that is no further server.
        let again =
            request.surely_not_run() && request.arrivals < request.new.route.max_attempts + SAME_AGAIN;
        let left = (self.may_visit_another(request) || again) && self.has_repeat(now, &request.wanted);
        (!left).then(|| request.reason_to_end())
    }

    /// Whether it may be sent to one more server than it was.
    fn may_visit_another(&self, request: &Request) -> bool {
        (request.visited.len() as u32) < request.new.route.max_attempts
    }

    fn has_repeat(&mut self, now: Millis, wanted: &Wanted) -> bool {
        let fleet = self.fleets.get_mut(&wanted.service);
        fleet.is_some_and(|fleet| fleet.budget.has_left(now, self.edges, &self.options))
    }

    /// The server that a request would be sent to.
    pub(crate) fn find_server(&self, now: Millis, request: &Request) -> Result<Chosen, Unavailable> {
        let Some(fleet) = self.fleets.get(&request.wanted.service) else { return Err(Unavailable::NoServer) };
        let connections = self.connections_share(&request.wanted.service);
        let only = (!self.may_visit_another(request)).then_some(request.visited.as_slice());
        let ask = Ask {
            key: request.key,
            wanted: &request.wanted,
            tried: &request.tried,
            only,
            connections,
            own_prefill: request.prefill(true),
        };
        choose(fleet, &self.servers, &self.peers, &ask, now, &self.options)
    }

    /// Connections to one server of a service that this edge may hold.
    fn connections_share(&self, service: &str) -> u32 {
        let most = self.view.as_ref().and_then(|view| view.service(service)).map_or(0, |s| s.max_connections);
        if most == 0 || self.edges == 0 {
            return u32::MAX;
        }
        (most / self.edges).max(1)
    }

    fn send(&mut self, now: Millis, mut request: Request, chosen: Chosen, actions: &mut Vec<Action>) {
        let repeat = request.arrivals > 0;
        let Some(server) = self.servers.get_mut(chosen.server) else {
            return self.refuse(now, request, RejectReason::NoServer, actions);
        };
        let prefill = request.prefill(chosen.at_home);
        self.shares_changed |= server.share.sent(now, prefill);
        server.open += 1;
        server.health.sent();
        let (id, address) = (server.record.id.clone(), server.record.heartbeat.address.clone());
        if let Some(fleet) = self.fleets.get_mut(&request.wanted.service) {
            fleet.open += 1;
            if repeat {
                fleet.budget.take(now, self.edges, &self.options);
            }
        }
        if let Some(demand) = self.demand.of(&request.wanted, &self.options) {
            demand.in_flight += 1;
            demand.over_capacity += u32::from(chosen.crowded);
        }
        self.counters.sendings += 1;
        self.counters.resumed += u64::from(request.head_passed);
        let attempt = Attempt(request.sendings);
        request.sendings += 1;
        request.arrivals += 1;
        request.tried.push(chosen.server);
        let first_visit = !request.visited.contains(&chosen.server);
        if first_visit {
            request.visited.push(chosen.server);
        }
        let left = request.deadline_at.saturating_sub(now).saturating_sub(self.options.way_back_ms);
        actions.push(Action::Send {
            request: request.id(),
            attempt,
            server: id,
            address,
            service: request.wanted.service.clone(),
            deadline_ms: left.max(DEADLINE_MIN),
            priority: request.new.route.priority.min(PRIORITY_LAST),
            resume_after: request.last_event.filter(|_| request.head_passed),
        });
        let silence = request.new.route.target_latency_ms.max(self.options.silence_ms);
        let out = Out {
            attempt,
            server: chosen.server,
            sent_at: now,
            until: request.deadline_at + self.options.deadline_grace_ms,
            silent_at: request.new.route.kind.is_idempotent().then_some(now + silence),
            prefill,
            answered: false,
            first_visit,
            repeat,
            called_off: false,
        };
        self.keep(request, Phase::Out(out));
    }

    /// Holds a request for which there is no server, if that may be worth it.
    fn hold(&mut self, now: Millis, mut request: Request, why: Unavailable, actions: &mut Vec<Action>) {
        let why = self.forgive(now, &mut request, why);
        let reason = match request.arrivals {
            0 => reason_of(why, &request.wanted),
            _ => request.reason_to_end(),
        };
        if self.stopping && reason != RejectReason::Full {
            return self.refuse(now, request, RejectReason::Stopping, actions);
        }
        let until = self.hold_until(&request, why);
        if now.max(request.not_before) >= until {
            return self.refuse(now, request, reason, actions);
        }
        let rank = Rank::of(&request);
        if self.holding.len() >= self.options.max_held {
            match self.holding.last().filter(|last| rank < *last) {
                Some(last) => self.give_place(now, last, actions),
                None => return self.refuse(now, request, RejectReason::Overloaded, actions),
            }
        }
        self.reconsider(&request.wanted, why);
        if request.not_before > now {
            self.reconsider_by(&request.wanted.service, request.not_before);
        }
        self.urgent |= reason == RejectReason::NoModel;
        if let Some(demand) = self.demand.of(&request.wanted, &self.options) {
            demand.queued += 1;
            demand.over_capacity += u32::from(reason == RejectReason::Full);
        }
        self.holding.insert(&request.wanted.service, rank);
        self.counters.held += 1;
        self.keep(request, Phase::Held(Held { until, reason }));
    }

    /// Servers at which a request surely has not run may be asked again, after a pause.
    fn forgive(&self, now: Millis, request: &mut Request, why: Unavailable) -> Unavailable {
        if request.tried.is_empty() || !request.surely_not_run() {
            return why;
        }
        request.tried.clear();
        request.not_before = now + self.options.again_ms.max(request.retry_after_ms.unwrap_or(0));
        match self.find_server(now, request) {
            Ok(_) => Unavailable::Full { again_at: Some(request.not_before) },
            Err(why) => why,
        }
    }

    fn give_place(&mut self, now: Millis, rank: Rank, actions: &mut Vec<Action>) {
        if let Some((request, _)) = self.take(rank.id) {
            self.refuse(now, request, RejectReason::Overloaded, actions);
        }
    }

    fn hold_until(&self, request: &Request, why: Unavailable) -> Millis {
        match why {
            Unavailable::Full { .. } => request.full_until(&self.options),
            _ if request.wanted.model.is_empty() => request.full_until(&self.options),
            Unavailable::NoHolder { .. } | Unavailable::NoServer => request.model_until(&self.options),
        }
    }

    fn reconsider(&mut self, wanted: &Wanted, why: Unavailable) {
        let again_at = match why {
            Unavailable::NoServer => None,
            Unavailable::NoHolder { again_at } | Unavailable::Full { again_at } => again_at,
        };
        if let Some(fleet) = self.fleets.get_mut(&wanted.service) {
            fleet.reconsider_by(again_at);
        }
    }

    /// Sends what waits for any service and now finds a server.
    pub(crate) fn dispatch_all(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for service in self.holding.services() {
            self.dispatch(now, &service, actions);
        }
    }

    /// Sends what waits for a service and now finds a server, in order.
    pub(crate) fn dispatch(&mut self, now: Millis, service: &str, actions: &mut Vec<Action>) {
        if let Some(fleet) = self.fleets.get_mut(service) {
            fleet.reconsider_at = None;
        }
        let mut in_vain: BTreeSet<Arc<Wanted>> = BTreeSet::new();
        for rank in self.holding.of_service(service) {
            let Some((request, _)) = self.requests.get(&rank.id) else { continue };
            if now < request.not_before {
                let not_before = request.not_before;
                self.reconsider_by(service, not_before);
                continue;
            }
            if in_vain.contains(&request.wanted) {
                continue;
            }
            let (wanted, first) = (Arc::clone(&request.wanted), request.tried.is_empty());
            match self.find_server(now, request) {
                Ok(_) => self.place_held(now, rank, actions),
                Err(why) => {
                    self.still_held(rank, why);
                    if first {
                        in_vain.insert(wanted);
                    }
                }
            }
        }
    }

    fn reconsider_by(&mut self, service: &str, at: Millis) {
        if let Some(fleet) = self.fleets.get_mut(service) {
            fleet.reconsider_by(Some(at));
        }
    }

    fn place_held(&mut self, now: Millis, rank: Rank, actions: &mut Vec<Action>) {
        if let Some((request, _)) = self.take(rank.id) {
            self.place(now, request, Otherwise::Wait, actions);
        }
    }

    /// A request that waits goes on waiting, perhaps for another reason; never for a shorter time.
    fn still_held(&mut self, rank: Rank, why: Unavailable) {
        let Some((request, Phase::Held(held))) = self.requests.get(&rank.id) else { return };
        let (wanted, former) = (Arc::clone(&request.wanted), held.until);
        let until = self.hold_until(request, why).max(former);
        if let Some((_, phase)) = self.requests.get_mut(&rank.id) {
            *phase = Phase::Held(Held { until, reason: reason_of(why, &wanted) });
        }
        if until != former {
            self.timers.remove(&(former, rank.id));
            self.timers.insert((until, rank.id));
        }
        self.reconsider(&wanted, why);
    }
}

fn reason_of(why: Unavailable, wanted: &Wanted) -> RejectReason {
    match why {
        Unavailable::NoHolder { .. } if wanted.model.is_empty() => RejectReason::NoServer,
        Unavailable::NoServer => RejectReason::NoServer,
        Unavailable::NoHolder { .. } => RejectReason::NoModel,
        Unavailable::Full { .. } => RejectReason::Full,
    }
}
