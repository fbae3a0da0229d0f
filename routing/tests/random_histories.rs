//! Checks invariants of the router over random sequences of events from servers, clients and the directory.

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

const HISTORIES: u64 = 150;
const STEPS: u32 = 500;
const EDGES: u32 = 3;
const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

#[test]
fn invariants_hold_over_random_histories() {
    let mut counts = HistoryCounts::default();
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        for _ in 0..STEPS {
            history.step();
        }
        history.finish();
        counts.add(&history.counts);
    }
    // All kinds of events and results must occur often enough for the checks to mean something.
    let reached = [
        counts.served,
        counts.rejected_as_not_run,
        counts.rejected_as_possibly_run,
        counts.forwarded_failures,
        counts.aborted_responses,
        counts.departed_clients,
        counts.retries,
        counts.resumed,
        counts.cancelled,
        counts.queued,
    ];
    assert!(reached.iter().all(|count| *count > 100), "{counts:?}");
}

#[derive(Debug, Default)]
struct HistoryCounts {
    served: u64,
    rejected_as_not_run: u64,
    rejected_as_possibly_run: u64,
    forwarded_failures: u64,
    aborted_responses: u64,
    departed_clients: u64,
    retries: u64,
    resumed: u64,
    cancelled: u64,
    queued: u64,
}

impl HistoryCounts {
    fn add(&mut self, other: &HistoryCounts) {
        self.served += other.served;
        self.rejected_as_not_run += other.rejected_as_not_run;
        self.rejected_as_possibly_run += other.rejected_as_possibly_run;
        self.forwarded_failures += other.forwarded_failures;
        self.aborted_responses += other.aborted_responses;
        self.departed_clients += other.departed_clients;
        self.retries += other.retries;
        self.resumed += other.resumed;
        self.cancelled += other.cancelled;
        self.queued += other.queued;
    }
}

/// The state of an open request as the driver, the client and the servers know it.
#[derive(Debug)]
struct TrackedRequest {
    route: Route,
    model: &'static str,
    deadline_at: Millis,
    attempt: Option<AttemptInFlight>,
    attempts: u32,
    /// Servers that the request reached or may have reached, one entry per attempt.
    reached_servers: Vec<String>,
    /// Servers that may have run the request.
    possibly_run_at: BTreeSet<String>,
    /// The highest verdict over all ended attempts. The head of a successful response also sets it.
    verdict: Verdict,
    response_started: bool,
    last_event: Option<u64>,
    /// Whether the driver has buffered a failed response.
    has_failure: bool,
}

#[derive(Clone, Debug)]
struct AttemptInFlight {
    attempt: Attempt,
    server: String,
    sent_at: Millis,
    cancelled: bool,
    has_first_event: bool,
}

struct History {
    edge: TestEdge,
    random: Pcg64Mcg,
    records: BTreeMap<String, ServerRecord>,
    departed_servers: BTreeSet<String>,
    next_server: u32,
    open: BTreeMap<RequestId, TrackedRequest>,
    finished: BTreeSet<RequestId>,
    request_times: Vec<Millis>,
    retry_times: Vec<Millis>,
    counts: HistoryCounts,
}

impl History {
    fn new(seed: u64) -> Self {
        let options =
            Options { retry_ratio: 0.3, retry_slack: 30.0, max_queued_requests: 20, ..Options::default() };
        let mut history = History {
            edge: TestEdge::new(options),
            random: Pcg64Mcg::seed_from_u64(seed),
            records: BTreeMap::new(),
            departed_servers: BTreeSet::new(),
            next_server: 0,
            open: BTreeMap::new(),
            finished: BTreeSet::new(),
            request_times: Vec::new(),
            retry_times: Vec::new(),
            counts: HistoryCounts::default(),
        };
        history.deliver(Event::EdgeCountUpdated(EDGES));
        (0..4).for_each(|_| history.add_server());
        history
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..35 => self.request(),
            35..75 => self.advance_attempt(),
            75..78 => self.client_leaves(),
            78..80 => self.add_server(),
            80..85 => self.change_server(),
            _ => self.advance_time(),
        }
        self.check_counts();
    }

    /// Advances the time until all requests have ended.
    fn finish(&mut self) {
        let until = self.edge.now + 20_000;
        self.advance_to(until);
        self.check_counts();
        assert!(self.open.is_empty(), "{:?}", self.open);
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
        let tracked = TrackedRequest {
            deadline_at: self.edge.now + route.timeout_ms,
            route,
            model,
            attempt: None,
            attempts: 0,
            reached_servers: Vec::new(),
            possibly_run_at: BTreeSet::new(),
            verdict: Verdict::NeverSent,
            response_started: false,
            last_event: None,
            has_failure: false,
        };
        self.open.insert(request.id, tracked);
        self.request_times.push(self.edge.now);
        let id = request.id;
        self.deliver(Event::Request(request));
        let is_queued = self.open.get(&id).is_some_and(|tracked| tracked.attempt.is_none());
        self.counts.queued += u64::from(is_queued);
    }

    /// Lets a random attempt in flight receive a response, stall or end.
    fn advance_attempt(&mut self) {
        let in_flight: Vec<RequestId> =
            self.open.iter().filter(|(_, tracked)| tracked.attempt.is_some()).map(|(id, _)| *id).collect();
        let Some(&id) = in_flight.choose(&mut self.random) else { return };
        let Some(tracked) = self.open.get_mut(&id) else { return };
        let Some(in_flight) = tracked.attempt.clone() else { return };
        let is_stream = matches!(tracked.route.kind, RouteKind::Streaming { .. });
        if !in_flight.has_first_event && !in_flight.cancelled && self.random.random_bool(0.4) {
            tracked.response_started = true;
            tracked.verdict = Verdict::HasRun;
            if let Some(in_flight) = &mut tracked.attempt {
                in_flight.has_first_event = true;
            }
            if is_stream {
                tracked.last_event = Some(tracked.last_event.map_or(1, |event| event + 1));
            }
            let load = server_load(self.random.random_range(0..70), self.random.random_range(0..3), 64);
            self.deliver(Event::ResponseHead(id, in_flight.attempt, Some(load)));
            return self.deliver(Event::FirstEvent(id, in_flight.attempt));
        }
        if in_flight.has_first_event && is_stream && !in_flight.cancelled && self.random.random_bool(0.1) {
            return self.deliver(Event::StreamStalled(id, in_flight.attempt));
        }
        let outcome = self.outcome(&in_flight, id);
        self.end_attempt(id, in_flight, outcome);
    }

    /// A random outcome that is consistent with the previous events of the attempt.
    fn outcome(&mut self, in_flight: &AttemptInFlight, id: RequestId) -> Outcome {
        let last_event = self.open.get(&id).and_then(|tracked| tracked.last_event);
        let has_head = self.open.get(&id).is_some_and(|tracked| tracked.response_started);
        let other = Some("i-other".to_owned());
        let picked = self.random.random_range(0..10);
        let (verdict, ending) = match picked {
            _ if in_flight.cancelled && has_head => {
                (Verdict::MayHaveRun, Ending::Truncated { last_event, at_fault: false })
            }
            _ if in_flight.cancelled => (Verdict::MayHaveRun, Ending::Cancelled),
            0..5 if in_flight.has_first_event => (Verdict::HasRun, Ending::Served),
            _ if in_flight.has_first_event => {
                (Verdict::HasRun, Ending::Truncated { last_event, at_fault: picked < 7 })
            }
            0 => (Verdict::SurelyNotRun, Ending::Rejected { status: 421, instance: other }),
            1 => (
                Verdict::SurelyNotRun,
                Ending::Rejected { status: 421, instance: Some(in_flight.server.clone()) },
            ),
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

    fn end_attempt(&mut self, id: RequestId, in_flight: AttemptInFlight, outcome: Outcome) {
        let tracked = self.open.get_mut(&id).expect("an open request");
        tracked.attempt = None;
        tracked.verdict = tracked.verdict.max(outcome.verdict);
        tracked.has_failure = matches!(outcome.ending, Ending::Failed { .. });
        if outcome.verdict != Verdict::NeverSent {
            if !tracked.reached_servers.is_empty() {
                self.retry_times.push(in_flight.sent_at);
                self.counts.retries += 1;
            }
            if outcome.verdict > Verdict::SurelyNotRun {
                tracked.possibly_run_at.insert(in_flight.server.clone());
            }
            tracked.reached_servers.push(in_flight.server);
        }
        if outcome.ending == Ending::Served {
            self.open.remove(&id);
            self.finished.insert(id);
            self.counts.served += 1;
        }
        self.deliver(Event::AttemptEnded(id, in_flight.attempt, outcome));
        if self.finished.contains(&id) {
            self.deliver(Event::RequestFinished(id));
        }
    }

    fn client_leaves(&mut self) {
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        let Some(&id) = ids.choose(&mut self.random) else { return };
        let tracked = self.open.remove(&id).expect("an open request");
        self.finished.insert(id);
        self.counts.departed_clients += 1;
        let actions = self.edge.handle(Event::RequestFinished(id));
        let cancels = tracked.attempt.iter().map(|in_flight| Action::Cancel(id, in_flight.attempt));
        let (own, others): (Vec<Action>, Vec<Action>) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Cancel(request, _) if *request == id));
        assert_eq!(own, cancels.collect::<Vec<_>>());
        self.check_actions(others);
    }

    fn add_server(&mut self) {
        let loaded: Vec<&str> = MODELS.iter().copied().filter(|_| self.random.random_bool(0.5)).collect();
        let record = server(LLM, self.next_server, &loaded);
        self.next_server += 1;
        self.records.insert(record.id.clone(), record.clone());
        self.deliver(Event::ServersUpdated { records: vec![record], complete: false });
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
            self.departed_servers.insert(record.id.clone());
        }
        self.deliver(Event::ServersUpdated { records: vec![record.clone()], complete: false });
        if self.departed_servers.contains(&record.id) && self.random.random_bool(0.5) {
            // A late record of a departed server must be ignored.
            let late = ServerRecord { presence: Presence::Ready, ..record };
            self.deliver(Event::ServersUpdated { records: vec![late], complete: false });
        }
    }

    fn advance_time(&mut self) {
        let until = self.edge.now + self.random.random_range(0..250);
        self.advance_to(until);
    }

    fn advance_to(&mut self, until: Millis) {
        while let Some(wake) = self.edge.router.next_wake().filter(|wake| *wake <= until) {
            self.edge.now = self.edge.now.max(wake);
            self.deliver(Event::Tick);
            assert!(
                self.edge.router.next_wake().is_none_or(|next| next > wake),
                "the router asked for another tick at the same time"
            );
            // Cancelled attempts end.
            let cancelled =
                |tracked: &TrackedRequest| tracked.attempt.clone().filter(|in_flight| in_flight.cancelled);
            let ended: Vec<_> =
                self.open.iter().filter_map(|(id, tracked)| Some((*id, cancelled(tracked)?))).collect();
            for (id, in_flight) in ended {
                let outcome = self.outcome(&in_flight, id);
                self.end_attempt(id, in_flight, outcome);
            }
        }
        self.edge.now = until;
    }

    fn deliver(&mut self, event: Event) {
        let actions = self.edge.handle(event);
        self.check_actions(actions);
    }

    fn check_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::Send { .. } => self.check_sent(&first_sent(&[action]).expect("an attempt")),
                Action::Cancel(id, attempt) => self.check_cancel(*id, *attempt),
                Action::Reject { request, rejection } => self.check_rejected(*request, *rejection),
                Action::ForwardFailure(id) => self.check_forwarded_failure(*id),
                Action::AbortResponse(id) => self.check_aborted_response(*id),
                Action::CloseConnections(_) => {}
            }
        }
    }

    fn check_sent(&mut self, sent: &SentAttempt) {
        assert!(!self.finished.contains(&sent.request), "sent after the request had ended");
        let tracked = self.open.get_mut(&sent.request).expect("an open request");
        assert!(tracked.attempt.is_none(), "two attempts in flight");
        assert_eq!(sent.attempt.0, tracked.attempts);
        assert!(
            tracked.verdict <= Verdict::SurelyNotRun || tracked.route.kind.is_idempotent(),
            "sent although it may have run: {tracked:?}"
        );
        let visited: BTreeSet<&String> = tracked.reached_servers.iter().chain([&sent.server]).collect();
        assert!(visited.len() <= tracked.route.max_attempts as usize, "too many servers: {tracked:?}");
        assert!(
            tracked.reached_servers.len() < tracked.route.max_attempts as usize + 2,
            "too many attempts: {tracked:?}"
        );
        assert!(
            !tracked.possibly_run_at.contains(&sent.server),
            "sent again to a server that may have run it"
        );
        assert!(!self.departed_servers.contains(&sent.server), "sent to a departed server");
        let record = self.records.get(&sent.server).expect("a known server");
        let models = record.heartbeat.models.as_deref().unwrap_or_default();
        assert!(
            models.iter().any(|loaded| loaded.name == tracked.model),
            "sent to a server without the model"
        );
        assert_eq!(sent.resume_after, tracked.last_event.filter(|_| tracked.response_started));
        assert!(
            sent.resume_after.is_some() == tracked.response_started,
            "a resumed response must have an event to resume after"
        );
        assert!(self.edge.now < tracked.deadline_at);
        assert!(sent.deadline_ms >= 1 && sent.deadline_ms <= (tracked.deadline_at - self.edge.now).max(1));
        self.counts.resumed += u64::from(tracked.response_started);
        tracked.attempts += 1;
        tracked.has_failure = false;
        tracked.attempt = Some(AttemptInFlight {
            attempt: sent.attempt,
            server: sent.server.clone(),
            sent_at: self.edge.now,
            cancelled: false,
            has_first_event: false,
        });
    }

    fn check_cancel(&mut self, id: RequestId, attempt: Attempt) {
        let tracked = self.open.get_mut(&id).expect("an open request");
        let in_flight = tracked.attempt.as_mut().expect("an attempt in flight");
        assert_eq!(in_flight.attempt, attempt);
        assert!(!std::mem::replace(&mut in_flight.cancelled, true) || self.edge.now >= tracked.deadline_at);
        self.counts.cancelled += u64::from(self.edge.now < tracked.deadline_at);
    }

    fn check_rejected(&mut self, id: RequestId, rejection: Rejection) {
        let tracked = self.finish_request(id);
        assert!(!tracked.response_started, "rejected after the response had started");
        let has_not_run = tracked.verdict <= Verdict::SurelyNotRun && tracked.attempt.is_none();
        match rejection.status {
            503 => assert!(has_not_run, "503 although the request may have run: {tracked:?}"),
            502 | 504 => assert!(!has_not_run, "no 503 although the request has not run: {tracked:?}"),
            status => panic!("unexpected status {status}"),
        }
        assert_eq!(rejection.retry_after_ms.is_some(), has_not_run);
        self.counts.rejected_as_not_run += u64::from(has_not_run);
        self.counts.rejected_as_possibly_run += u64::from(!has_not_run);
    }

    fn check_forwarded_failure(&mut self, id: RequestId) {
        let tracked = self.finish_request(id);
        assert!(tracked.has_failure && tracked.attempt.is_none() && !tracked.response_started, "{tracked:?}");
        self.counts.forwarded_failures += 1;
    }

    fn check_aborted_response(&mut self, id: RequestId) {
        let tracked = self.finish_request(id);
        assert!(tracked.response_started, "{tracked:?}");
        self.counts.aborted_responses += 1;
    }

    fn finish_request(&mut self, id: RequestId) -> TrackedRequest {
        assert!(self.finished.insert(id), "the request ended twice");
        let tracked = self.open.remove(&id).expect("an open request");
        assert!(
            tracked.attempt.as_ref().is_none_or(|in_flight| in_flight.cancelled),
            "ended with an attempt in flight"
        );
        tracked
    }

    fn check_counts(&self) {
        let counters = self.edge.router.counters();
        let ended =
            counters.completed + counters.rejected() + counters.aborted_responses + counters.client_left;
        assert_eq!(counters.received, ended + counters.open);
        assert_eq!(counters.open, self.open.len() as u64);
        assert_eq!(counters.received, (self.open.len() + self.finished.len()) as u64);
        let queued = self.open.values().filter(|tracked| tracked.attempt.is_none()).count() as u64;
        assert_eq!(counters.queued, queued);
        assert!(queued <= 20);
    }

    /// Checks that the retries in every window stay within this edge's share of the budget.
    fn check_budget(&self) {
        const WINDOW: Millis = 10_000;
        for end in &self.retry_times {
            let within = |time: &&Millis| **time <= *end && **time + WINDOW > *end;
            let retries = self.retry_times.iter().filter(within).count() as f64;
            let requests = self.request_times.iter().filter(within).count() as f64;
            assert!(
                retries <= 0.3 * requests + 30.0 / f64::from(EDGES),
                "{retries} retries for {requests} requests"
            );
        }
    }
}
