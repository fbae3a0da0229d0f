//! Attempts under way: their evidence, their silence, their end.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::health::Evidence;
use crate::interface::{Action, Ending, Outcome, RejectReason, RequestId, Verdict};
use crate::requests::{Out, Phase, Request};
use crate::router::Router;

/// The status with which a server says that it is not the one named, or lacks the model.
const MISDIRECTED: u16 = 421;
/// Sendings over stale connections after which a server is no longer asked again.
const STALE_SENDINGS: u32 = 3;

/// How a server turned a request away.
struct Rejected<'a> {
    status: u16,
    /// Who said so.
    instance: Option<&'a str>,
}

impl Router {
    /// Takes a request whose attempt is over.
    pub(crate) fn take_out(&mut self, id: RequestId) -> Option<(Request, Out)> {
        match self.take(id)? {
            (request, Phase::Out(out)) => {
                self.release(&request, &out);
                Some((request, out))
            }
            (request, phase) => {
                self.keep(request, phase);
                None
            }
        }
    }

    /// An attempt no longer counts as open.
    pub(crate) fn release(&mut self, request: &Request, out: &Out) {
        if let Some(server) = self.servers.get_mut(out.server) {
            server.open = server.open.saturating_sub(1);
            if !out.answered {
                self.shares_changed |= server.share.answered(out.sent_at, out.prefill);
            }
        }
        if let Some(fleet) = self.fleets.get_mut(&request.wanted.service) {
            fleet.open = fleet.open.saturating_sub(1);
        }
        if let Some(demand) = self.demand.known(&request.wanted) {
            demand.in_flight = demand.in_flight.saturating_sub(1);
        }
    }

    /// Notes what the end of an attempt says of the request and of the server.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        request: &mut Request,
        out: &Out,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.settle_request(now, request, out, outcome);
        self.settle_load(now, out, outcome);
        match &outcome.ending {
            Ending::Rejected { status, instance } => {
                let how = Rejected { status: *status, instance: instance.as_deref() };
                self.settle_turned_away(now, request, out, outcome, how, actions);
            }
            _ if out.called_off => {}
            ending => self.settle_health(now, out, ending),
        }
    }

    fn settle_request(&mut self, now: Millis, request: &mut Request, out: &Out, outcome: &Outcome) {
        let fleet = self.fleets.get_mut(&request.wanted.service);
        if outcome.verdict == Verdict::NeverSent {
            request.arrivals = request.arrivals.saturating_sub(1);
            if out.first_visit {
                request.visited.retain(|visited| *visited != out.server);
            }
            if out.repeat {
                fleet.into_iter().for_each(|fleet| fleet.budget.give_back(now));
            }
            if outcome.ending == Ending::StaleConnection && request.sendings < STALE_SENDINGS {
                request.tried.retain(|tried| *tried != out.server);
            }
            return;
        }
        self.counters.repeats += u64::from(out.repeat);
        request.verdict = request.verdict.max(outcome.verdict);
        request.retry_after_ms = outcome.retry_after_ms.or(request.retry_after_ms);
        if let Ending::Truncated { last_event, .. } = outcome.ending {
            request.last_event = last_event.or(request.last_event);
        }
        if matches!(outcome.ending, Ending::Served | Ending::Failed { .. }) {
            fleet.into_iter().for_each(|fleet| fleet.count_completion(now, now - out.sent_at));
        }
    }

    fn settle_load(&mut self, now: Millis, out: &Out, outcome: &Outcome) {
        let answered =
            matches!(outcome.ending, Ending::Served | Ending::Failed { .. } | Ending::Rejected { .. });
        let Some(server) = self.servers.get_mut(out.server).filter(|_| answered) else { return };
        server.heard_at = now;
        if let Some(load) = outcome.load {
            server.note_load(now, load);
        }
    }

    fn settle_turned_away(
        &mut self,
        now: Millis,
        request: &Request,
        out: &Out,
        outcome: &Outcome,
        how: Rejected<'_>,
        actions: &mut Vec<Action>,
    ) {
        let full_ms = self.full_for(&request.wanted.service, outcome.retry_after_ms);
        let Some(server) = self.servers.get_mut(out.server) else { return };
        server.health.shows_life();
        if how.status == MISDIRECTED && how.instance.is_some_and(|instance| instance != server.record.id) {
            server.note_displaced();
            server.observed.unreachable += 1;
            self.forget(out.server, actions);
        } else if how.status == MISDIRECTED {
            server.note_lack(&request.wanted, now + self.options.lacks_ms);
        } else if outcome.load.is_some_and(|load| load.waiting == 0 && load.running < load.slots) {
            // It has room: what it turned away is the model, while an order for that is carried out.
            server.note_lack(&request.wanted, now + full_ms);
            server.note_full_without_models(now + full_ms);
        } else {
            server.note_full(now + full_ms);
        }
    }

    /// How long a server that turned a request away counts as full: shorter where requests are short.
    fn full_for(&mut self, service: &str, retry_after_ms: Option<Millis>) -> Millis {
        let longest = self.options.full_max_ms;
        let usual =
            self.fleets.get(service).map_or(longest, |fleet| fleet.usual_ms()).clamp(1, longest.max(1));
        let shortest = self.options.full_min_ms.min(usual);
        retry_after_ms.unwrap_or_else(|| self.random.random_range(shortest..=usual)).clamp(shortest, usual)
    }

    fn settle_health(&mut self, now: Millis, out: &Out, ending: &Ending) {
        let Some(server) = self.servers.get_mut(out.server) else { return };
        let evidence = match ending {
            Ending::Served => {
                server.observed.succeeded += 1;
                return server.health.succeeded();
            }
            Ending::Failed { status } if *status < 500 => return server.health.succeeded(),
            Ending::StaleConnection | Ending::Cancelled | Ending::Rejected { .. } => {
                return server.health.trial_over()
            }
            Ending::Unreachable => {
                server.observed.unreachable += 1;
                Evidence::Unreachable
            }
            Ending::Failed { .. }
            | Ending::ConnectionLost
            | Ending::MalformedResponse
            | Ending::Truncated { .. } => {
                server.observed.failed += 1;
                Evidence::Failure
            }
        };
        server.health.failed(now, evidence, &self.options, &mut self.random);
    }

    /// The deadline of a request has come while an attempt is under way.
    pub(crate) fn expire(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((mut request, out)) = self.take_out(id) else { return };
        self.note_silence(now, &out);
        actions.push(Action::Cancel(id, out.attempt));
        // What is cut off may have run, whatever earlier attempts were told.
        request.verdict = request.verdict.max(Verdict::MayHaveRun);
        if request.head_passed {
            self.break_off(request, actions);
        } else {
            self.refuse(now, request, RejectReason::TooLate, actions);
        }
    }

    /// An attempt has not shown life for long: it is taken elsewhere if the server shows none to others either.
    pub(crate) fn look_at_silence(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((request, Phase::Out(out))) = self.requests.get_mut(&id) else { return };
        let Some(former) = out.silent_at else { return };
        let next = now + self.options.silence_ms.max(1);
        out.silent_at = Some(next).filter(|_| !out.called_off);
        let phase_at = out.silent_at.map_or(out.until, |at| at.min(out.until));
        let (server, sent_at, called_off) = (out.server, out.sent_at, out.called_off);
        self.timers.remove(&(former, request.id()));
        self.timers.insert((phase_at, id));
        let dark = self.servers.get(server).is_none_or(|server| server.heard_at <= sent_at);
        if dark && !called_off {
            self.call_off(now, id, actions);
        }
    }

    /// Has an attempt cancelled in order to go elsewhere, if that is allowed and there is a server.
    pub(crate) fn call_off(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some((mut request, phase)) = self.take(id) else { return };
        let Phase::Out(mut out) = phase else { return self.keep(request, phase) };
        // The attempt may have run by now.
        let verdict = request.verdict;
        request.verdict = verdict.max(Verdict::MayHaveRun);
        let goes = !out.called_off
            && now < request.deadline_at
            && self.barred(now, &request).is_none()
            && self.find_server(now, &request).is_ok();
        request.verdict = verdict;
        if goes {
            out.called_off = true;
            self.note_silence(now, &out);
            actions.push(Action::Cancel(id, out.attempt));
        }
        self.keep(request, Phase::Out(out));
    }

    /// A client has left while an attempt was under way. That speaks against the server if it has let the client wait
    /// for long and has said nothing to anybody since.
    pub(crate) fn note_departure(&mut self, now: Millis, out: &Out) {
        if now.saturating_sub(out.sent_at) >= self.options.silence_ms && !out.answered {
            self.note_silence(now, out);
        } else if let Some(server) = self.servers.get_mut(out.server) {
            server.health.trial_over();
        }
    }

    /// An attempt was given up: that speaks against a server that has said nothing since.
    fn note_silence(&mut self, now: Millis, out: &Out) {
        let Some(server) = self.servers.get_mut(out.server) else { return };
        if out.called_off {
            return;
        }
        if server.heard_at > out.sent_at {
            return server.health.trial_over();
        }
        server.observed.failed += 1;
        server.health.failed(now, Evidence::Failure, &self.options, &mut self.random);
    }
}
