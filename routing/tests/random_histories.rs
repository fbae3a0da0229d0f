//! Random lives of requests: whatever servers, clients and records do, the promises hold.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shaletrail_configuration::{Route, RouteKind};
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;
use shaletrail_routing::interface::{Action, Attempt, Ending, Event, Outcome, Rejection, RequestId, Verdict};
use shaletrail_routing::Options;

const LIVES: u64 = 150;
const STEPS: u32 = 500;
const EDGES: u32 = 3;
const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

#[test]
fn given_any_events_when_requests_live_and_end_then_every_promise_holds() {
    let mut fates = Fates::default();
    for seed in 0..LIVES {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.finish();
        fates.add(&world.fates);
    }
    // The histories reach what they are meant to try.
    let reached = [
        fates.served,
        fates.refused_with_promise,
        fates.refused_without,
        fates.passed_on,
        fates.broken_off,
        fates.left,
        fates.repeats,
        fates.resumed,
        fates.cancelled,
        fates.held,
    ];
    assert!(reached.iter().all(|count| *count > 100), "{fates:?}");
}

#[derive(Debug, Default)]
struct Fates {
    served: u64,
    refused_with_promise: u64,
    refused_without: u64,
    passed_on: u64,
    broken_off: u64,
    left: u64,
    repeats: u64,
    resumed: u64,
    cancelled: u64,
    held: u64,
}

impl Fates {
    fn add(&mut self, other: &Fates) {
        self.served += other.served;
        self.refused_with_promise += other.refused_with_promise;
        self.refused_without += other.refused_without;
        self.passed_on += other.passed_on;
        self.broken_off += other.broken_off;
        self.left += other.left;
        self.repeats += other.repeats;
        self.resumed += other.resumed;
        self.cancelled += other.cancelled;
        self.held += other.held;
    }
}

/// A request as its driver, its client and the servers see it.
#[derive(Debug)]
struct Life {
    route: Route,
    model: &'static str,
    deadline_at: Millis,
    out: Option<OutThere>,
    sendings: u32,
    /// Servers that it arrived at, or may have.
    arrivals: Vec<String>,
    /// Servers that may have run it.
    may_run_at: BTreeSet<String>,
    /// The worst that is known of the attempts that ended.
    verdict: Verdict,
    head_passed: bool,
    last_event: Option<u64>,
    /// A failed answer is held.
    has_failure: bool,
}

#[derive(Clone, Debug)]
struct OutThere {
    attempt: Attempt,
    server: String,
    sent_at: Millis,
    cancelled: bool,
    has_first: bool,
}

struct World {
    edge: Edge,
    random: Pcg64Mcg,
    records: BTreeMap<String, ServerRecord>,
    left: BTreeSet<String>,
    next_server: u32,
    lives: BTreeMap<RequestId, Life>,
    over: BTreeSet<RequestId>,
    request_times: Vec<Millis>,
    repeat_times: Vec<Millis>,
    fates: Fates,
}

impl World {
    fn new(seed: u64) -> Self {
        let options = Options { retry_ratio: 0.3, retry_slack: 30.0, max_queued: 20, ..Options::default() };
        let mut world = World {
            edge: Edge::new(options),
            random: Pcg64Mcg::seed_from_u64(seed),
            records: BTreeMap::new(),
            left: BTreeSet::new(),
            next_server: 0,
            lives: BTreeMap::new(),
            over: BTreeSet::new(),
            request_times: Vec::new(),
            repeat_times: Vec::new(),
            fates: Fates::default(),
        };
        world.tell(Event::Edges(EDGES));
        (0..4).for_each(|_| world.add_server());
        world
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..35 => self.request(),
            35..75 => self.progress(),
            75..78 => self.client_leaves(),
            78..80 => self.add_server(),
            80..85 => self.change_server(),
            _ => self.time(),
        }
        self.check_counts();
    }

    /// Everything comes to its end by the passing of time.
    fn finish(&mut self) {
        let until = self.edge.now + 20_000;
        self.pass(until);
        self.check_counts();
        assert!(self.lives.is_empty(), "{:?}", self.lives);
        assert_eq!(self.edge.router.counters().open, 0);
        self.check_budget();
    }

    fn request(&mut self) {
        let kind = match self.random.random_range(0..4) {
            0 => RouteKind::Idempotent,
            1 => RouteKind::NonIdempotent,
            2 => RouteKind::Streaming { resumable: true, gap_target_ms: 400 },
            _ => RouteKind::Streaming { resumable: false, gap_target_ms: 400 },
        };
        let route = Route {
            kind,
            max_attempts: self.random.random_range(1..=4),
            timeout_ms: self.random.random_range(200..6000),
            target_latency_ms: self.random.random_range(100..1000),
            priority: self.random.random_range(0..3),
            ..route(LLM)
        };
        let model = *MODELS.choose(&mut self.random).expect("a model");
        let request = self.edge.new_request(&route, model);
        let life = Life {
            deadline_at: self.edge.now + route.timeout_ms,
            route,
            model,
            out: None,
            sendings: 0,
            arrivals: Vec::new(),
            may_run_at: BTreeSet::new(),
            verdict: Verdict::NeverSent,
            head_passed: false,
            last_event: None,
            has_failure: false,
        };
        self.lives.insert(request.id, life);
        self.request_times.push(self.edge.now);
        let id = request.id;
        self.tell(Event::Request(request));
        let waits = self.lives.get(&id).is_some_and(|life| life.out.is_none());
        self.fates.held += u64::from(waits);
    }

    /// Something happens to an attempt.
    fn progress(&mut self) {
        let out: Vec<RequestId> =
            self.lives.iter().filter(|(_, life)| life.out.is_some()).map(|(id, _)| *id).collect();
        let Some(&id) = out.choose(&mut self.random) else { return };
        let Some(life) = self.lives.get_mut(&id) else { return };
        let Some(out) = life.out.clone() else { return };
        let is_stream = matches!(life.route.kind, RouteKind::Streaming { .. });
        if !out.has_first && !out.cancelled && self.random.random_bool(0.4) {
            life.head_passed = true;
            life.verdict = Verdict::HasRun;
            if let Some(out) = &mut life.out {
                out.has_first = true;
            }
            if is_stream {
                life.last_event = Some(life.last_event.map_or(1, |event| event + 1));
            }
            let load = load(self.random.random_range(0..70), self.random.random_range(0..3), 64);
            self.tell(Event::Head(id, out.attempt, Some(load)));
            return self.tell(Event::First(id, out.attempt));
        }
        if out.has_first && is_stream && !out.cancelled && self.random.random_bool(0.1) {
            return self.tell(Event::Stalled(id, out.attempt));
        }
        let outcome = self.outcome(&out, id);
        self.end(id, out, outcome);
    }

    /// A way for an attempt to end that agrees with what has been seen of it.
    fn outcome(&mut self, out: &OutThere, id: RequestId) -> Outcome {
        let last_event = self.lives.get(&id).and_then(|life| life.last_event);
        let has_head = self.lives.get(&id).is_some_and(|life| life.head_passed);
        let other = Some("i-other".to_owned());
        let picked = self.random.random_range(0..10);
        let (verdict, ending) = match picked {
            _ if out.cancelled && has_head => {
                (Verdict::MayHaveRun, Ending::Truncated { last_event, at_fault: false })
            }
            _ if out.cancelled => (Verdict::MayHaveRun, Ending::Cancelled),
            0..5 if out.has_first => (Verdict::HasRun, Ending::Served),
            _ if out.has_first => (Verdict::HasRun, Ending::Truncated { last_event, at_fault: picked < 7 }),
            0 => (Verdict::SurelyNotRun, Ending::Rejected { status: 421, instance: other }),
            1 => {
                (Verdict::SurelyNotRun, Ending::Rejected { status: 421, instance: Some(out.server.clone()) })
            }
            2 | 3 => (Verdict::SurelyNotRun, Ending::Rejected { status: 503, instance: None }),
            4 => (Verdict::NeverSent, Ending::Unreachable),
            5 => (Verdict::NeverSent, Ending::StaleConnection),
            6 => (Verdict::MayHaveRun, Ending::StaleConnection),
            7 => (Verdict::MayHaveRun, Ending::MalformedResponse),
            8 => (Verdict::MayHaveRun, Ending::ConnectionLost),
            _ if has_head => (Verdict::MayHaveRun, Ending::ConnectionLost),
            _ => (Verdict::HasRun, Ending::Failed { status: 500 }),
        };
        Outcome { verdict, ending, load: None, retry_after_ms: None }
    }

    fn end(&mut self, id: RequestId, out: OutThere, outcome: Outcome) {
        let life = self.lives.get_mut(&id).expect("a live request");
        life.out = None;
        life.verdict = life.verdict.max(outcome.verdict);
        life.has_failure = matches!(outcome.ending, Ending::Failed { .. });
        if outcome.verdict != Verdict::NeverSent {
            if !life.arrivals.is_empty() {
                self.repeat_times.push(out.sent_at);
                self.fates.repeats += 1;
            }
            if outcome.verdict > Verdict::SurelyNotRun {
                life.may_run_at.insert(out.server.clone());
            }
            life.arrivals.push(out.server);
        }
        if outcome.ending == Ending::Served {
            self.lives.remove(&id);
            self.over.insert(id);
            self.fates.served += 1;
        }
        self.tell(Event::Ended(id, out.attempt, outcome));
        if self.over.contains(&id) {
            self.tell(Event::Finished(id));
        }
    }

    fn client_leaves(&mut self) {
        let ids: Vec<RequestId> = self.lives.keys().copied().collect();
        let Some(&id) = ids.choose(&mut self.random) else { return };
        let life = self.lives.remove(&id).expect("a live request");
        self.over.insert(id);
        self.fates.left += 1;
        let actions = self.edge.handle(Event::Finished(id));
        let cancels = life.out.iter().map(|out| Action::Cancel(id, out.attempt));
        let (own, others): (Vec<Action>, Vec<Action>) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Cancel(request, _) if *request == id));
        assert_eq!(own, cancels.collect::<Vec<_>>());
        self.check_all(others);
    }

    fn add_server(&mut self) {
        let held: Vec<&str> = MODELS.iter().copied().filter(|_| self.random.random_bool(0.5)).collect();
        let record = server(LLM, self.next_server, &held);
        self.next_server += 1;
        self.records.insert(record.id.clone(), record.clone());
        self.tell(Event::Servers { records: vec![record], complete: false });
    }

    fn change_server(&mut self) {
        let ids: Vec<String> = self.records.keys().cloned().collect();
        let Some(id) = ids.choose(&mut self.random) else { return };
        let Some(record) = self.records.get_mut(id) else { return };
        record.heartbeat.sequence += 1;
        record.presence = match self.random.random_range(0..10) {
            0 => Presence::Draining,
            1 => Presence::Removed,
            2 => Presence::TimedOut,
            _ => Presence::Ready,
        };
        if let Some(models) = &mut record.heartbeat.models {
            match models.pop() {
                Some(_) if self.random.random_bool(0.3) => {}
                _ => {
                    *models = server(LLM, 0, &[MODELS[self.random.random_range(0..4)]])
                        .heartbeat
                        .models
                        .unwrap_or_default()
                }
            }
        }
        let record = record.clone();
        if matches!(record.presence, Presence::Draining | Presence::Removed) {
            self.records.remove(&record.id);
            self.left.insert(record.id.clone());
        }
        self.tell(Event::Servers { records: vec![record.clone()], complete: false });
        if self.left.contains(&record.id) && self.random.random_bool(0.5) {
            // A late record of a server that has left changes nothing.
            let late = ServerRecord { presence: Presence::Ready, ..record };
            self.tell(Event::Servers { records: vec![late], complete: false });
        }
    }

    fn time(&mut self) {
        let until = self.edge.now + self.random.random_range(0..250);
        self.pass(until);
    }

    fn pass(&mut self, until: Millis) {
        while let Some(wake) = self.edge.router.next_wake().filter(|wake| *wake <= until) {
            self.edge.now = self.edge.now.max(wake);
            self.tell(Event::Tick);
            assert!(self.edge.router.next_wake().is_none_or(|next| next > wake), "woken again at once");
            // What was cancelled ends.
            let cancelled = |life: &Life| life.out.clone().filter(|out| out.cancelled);
            let ended: Vec<_> =
                self.lives.iter().filter_map(|(id, life)| Some((*id, cancelled(life)?))).collect();
            for (id, out) in ended {
                let outcome = self.outcome(&out, id);
                self.end(id, out, outcome);
            }
        }
        self.edge.now = until;
    }

    fn tell(&mut self, event: Event) {
        let actions = self.edge.handle(event);
        self.check_all(actions);
    }

    fn check_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::Send { .. } => self.check_sent(&sent(&[action]).expect("a sending")),
                Action::Cancel(id, attempt) => self.check_cancel(*id, *attempt),
                Action::Reject { request, rejection } => self.check_refused(*request, *rejection),
                Action::ForwardFailure(id) => self.check_passed_on(*id),
                Action::AbortResponse(id) => self.check_broken_off(*id),
                Action::CloseConnections(_) => {}
            }
        }
    }

    fn check_sent(&mut self, sent: &Sent) {
        assert!(!self.over.contains(&sent.request), "sent after its end");
        let life = self.lives.get_mut(&sent.request).expect("a live request");
        assert!(life.out.is_none(), "two attempts at once");
        assert_eq!(sent.attempt.0, life.sendings);
        assert!(
            life.verdict <= Verdict::SurelyNotRun || life.route.kind.is_idempotent(),
            "may run twice: {life:?}"
        );
        let visited: BTreeSet<&String> = life.arrivals.iter().chain([&sent.server]).collect();
        assert!(visited.len() <= life.route.max_attempts as usize, "too many servers: {life:?}");
        assert!(life.arrivals.len() < life.route.max_attempts as usize + 2, "too many sendings: {life:?}");
        assert!(!life.may_run_at.contains(&sent.server), "sent again to a server that may have run it");
        assert!(!self.left.contains(&sent.server), "sent to a server that leaves");
        let record = self.records.get(&sent.server).expect("a known server");
        let models = record.heartbeat.models.as_deref().unwrap_or_default();
        assert!(models.iter().any(|held| held.name == life.model), "sent to a server without the model");
        assert_eq!(sent.resume_after, life.last_event.filter(|_| life.head_passed));
        assert!(sent.resume_after.is_some() == life.head_passed, "a second head");
        assert!(self.edge.now < life.deadline_at);
        assert!(sent.deadline_ms >= 1 && sent.deadline_ms <= (life.deadline_at - self.edge.now).max(1));
        self.fates.resumed += u64::from(life.head_passed);
        life.sendings += 1;
        life.has_failure = false;
        life.out = Some(OutThere {
            attempt: sent.attempt,
            server: sent.server.clone(),
            sent_at: self.edge.now,
            cancelled: false,
            has_first: false,
        });
    }

    fn check_cancel(&mut self, id: RequestId, attempt: Attempt) {
        let life = self.lives.get_mut(&id).expect("a live request");
        let out = life.out.as_mut().expect("an attempt under way");
        assert_eq!(out.attempt, attempt);
        assert!(!std::mem::replace(&mut out.cancelled, true) || self.edge.now >= life.deadline_at);
        self.fates.cancelled += u64::from(self.edge.now < life.deadline_at);
    }

    fn check_refused(&mut self, id: RequestId, rejection: Rejection) {
        let life = self.end_of(id);
        assert!(!life.head_passed, "an answer after an answer");
        let sure = life.verdict <= Verdict::SurelyNotRun && life.out.is_none();
        match rejection.status {
            503 => assert!(sure, "a promise that may be broken: {life:?}"),
            502 | 504 => assert!(!sure, "no promise where one could be given: {life:?}"),
            status => panic!("status {status}"),
        }
        assert_eq!(rejection.retry_after_ms.is_some(), sure);
        self.fates.refused_with_promise += u64::from(sure);
        self.fates.refused_without += u64::from(!sure);
    }

    fn check_passed_on(&mut self, id: RequestId) {
        let life = self.end_of(id);
        assert!(life.has_failure && life.out.is_none() && !life.head_passed, "{life:?}");
        self.fates.passed_on += 1;
    }

    fn check_broken_off(&mut self, id: RequestId) {
        let life = self.end_of(id);
        assert!(life.head_passed, "{life:?}");
        self.fates.broken_off += 1;
    }

    fn end_of(&mut self, id: RequestId) -> Life {
        assert!(self.over.insert(id), "a second end");
        let life = self.lives.remove(&id).expect("a live request");
        assert!(life.out.as_ref().is_none_or(|out| out.cancelled), "ended with an attempt under way");
        life
    }

    fn check_counts(&self) {
        let counters = self.edge.router.counters();
        let ended =
            counters.answered + counters.rejected() + counters.aborted_responses + counters.client_left;
        assert_eq!(counters.received, ended + counters.open);
        assert_eq!(counters.open, self.lives.len() as u64);
        assert_eq!(counters.received, (self.lives.len() + self.over.len()) as u64);
        let held = self.lives.values().filter(|life| life.out.is_none()).count() as u64;
        assert_eq!(counters.queued, held);
        assert!(held <= 20);
    }

    /// Over any window, repeats keep to this edge's part.
    fn check_budget(&self) {
        const WINDOW: Millis = 10_000;
        for end in &self.repeat_times {
            let within = |time: &&Millis| **time <= *end && **time + WINDOW > *end;
            let repeats = self.repeat_times.iter().filter(within).count() as f64;
            let requests = self.request_times.iter().filter(within).count() as f64;
            assert!(repeats <= 0.3 * requests + 30.0 / f64::from(EDGES), "{repeats} of {requests}");
        }
    }
}
