//! A router with a simulated clock, and helper functions for its events and actions.
#![allow(dead_code)]

use std::sync::Arc;

use shaletrail_configuration::{Route, RouteKind, View, WeightedService};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerState};
use shaletrail_protocol::internal::{ConfigItem, ConfigUpdate, ItemKey, Presence, ServerRecord};
use shaletrail_protocol::Millis;
use shaletrail_ring::{hash_of_name, Key, SlotArray};
use shaletrail_routing::interface::{
    Action, Attempt, Ending, Event, NewRequest, Outcome, RejectReason, Rejection, RequestId, ServerLoad,
    Verdict,
};
use shaletrail_routing::{Options, Router};

/// A service with models.
pub const LLM: &str = "llm";
/// A service without models.
pub const WEB: &str = "web";

/// A router with a simulated clock.
pub struct TestEdge {
    pub router: Router,
    pub now: Millis,
    next_request: u64,
}

/// The fields of an `Action::Send` that the tests check.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub attempt: Attempt,
    pub server: String,
    pub deadline_ms: u64,
    pub priority: u8,
    pub resume_after: Option<u64>,
}

impl TestEdge {
    /// Creates an edge that has a configuration but no servers.
    pub fn new(options: Options) -> Self {
        let mut edge = TestEdge { router: Router::new(options, 7), now: 1000, next_request: 0 };
        edge.handle(Event::ConfigurationUpdated(view(1)));
        edge
    }

    /// Creates an edge with `count` servers of a service, each of which has the models loaded.
    pub fn with_servers(service: &str, count: u32, models: &[&str]) -> Self {
        let mut edge = TestEdge::new(options());
        edge.update_servers((0..count).map(|number| server(service, number, models)).collect());
        edge
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_servers(&mut self, records: Vec<ServerRecord>) -> Vec<Action> {
        self.handle(Event::ServersUpdated { records, complete: false })
    }

    /// Receives a request for a model. Returns its id and the resulting actions.
    pub fn request(&mut self, route: &Route, model: &str) -> (RequestId, Vec<Action>) {
        let request = self.new_request(route, model);
        (request.id, self.handle(Event::Request(request)))
    }

    /// Receives a request for a model, and panics unless it is sent immediately.
    pub fn send_request(&mut self, route: &Route, model: &str) -> SentAttempt {
        let (_, actions) = self.request(route, model);
        first_sent(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    pub fn new_request(&mut self, route: &Route, model: &str) -> NewRequest {
        self.next_request += 1;
        let mut names = model.splitn(2, '/').map(str::to_owned);
        NewRequest {
            id: RequestId(self.next_request),
            route: Arc::new(route.clone()),
            model: names.next().filter(|name| !name.is_empty()),
            adapter: names.next(),
            tokens: Some((100, 10)),
            prompt: Vec::new(),
            deadline_ms: route.timeout_ms,
            last_event: None,
            body_bytes: Some(0),
            path_hash: 77,
        }
    }

    pub fn end_attempt(&mut self, sent: &SentAttempt, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded(sent.request, sent.attempt, outcome))
    }

    pub fn serve(&mut self, sent: &SentAttempt) -> Vec<Action> {
        self.handle(Event::ResponseHead(sent.request, sent.attempt, None));
        self.handle(Event::FirstEvent(sent.request, sent.attempt));
        let mut actions = self.end_attempt(sent, outcome(Verdict::HasRun, Ending::Served));
        actions.extend(self.handle(Event::RequestFinished(sent.request)));
        actions
    }

    /// Advances the clock, with a tick whenever the router needs one. Returns the actions with their times.
    pub fn advance_to(&mut self, until: Millis) -> Vec<(Millis, Action)> {
        let mut actions = Vec::new();
        while let Some(wake) = self.router.next_wake().filter(|wake| *wake <= until) {
            self.now = self.now.max(wake);
            let at = self.now;
            actions.extend(self.handle(Event::Tick).into_iter().map(|action| (at, action)));
            assert!(
                self.router.next_wake().is_none_or(|next| next > wake),
                "the router asked for another tick at the same time"
            );
        }
        self.now = until;
        actions
    }
}

/// The default options, with a retry budget that most tests do not exhaust.
pub fn options() -> Options {
    Options { retry_ratio: 0.2, retry_slack: 1000.0, ..Options::default() }
}

pub fn first_sent(actions: &[Action]) -> Option<SentAttempt> {
    all_sent(actions).into_iter().next()
}

pub fn all_sent(actions: &[Action]) -> Vec<SentAttempt> {
    let sent = |action: &Action| match action.clone() {
        Action::Send { request, attempt, server, deadline_ms, priority, resume_after, .. } => {
            Some(SentAttempt { request, attempt, server, deadline_ms, priority, resume_after })
        }
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn rejection(actions: &[Action]) -> Option<Rejection> {
    actions.iter().find_map(|action| match action {
        Action::Reject { rejection, .. } => Some(*rejection),
        _ => None,
    })
}

/// Asserts that a request was rejected with this status and reason, and that only a 503 carries
/// `Retry-After`.
pub fn assert_rejected(actions: &[Action], status: u16, reason: RejectReason) {
    let rejection = rejection(actions).unwrap_or_else(|| panic!("not rejected: {actions:?}"));
    assert_eq!((rejection.status, rejection.reason), (status, reason));
    assert_eq!(rejection.retry_after_ms.is_some(), status == 503, "{rejection:?}");
}

pub fn outcome(verdict: Verdict, ending: Ending) -> Outcome {
    Outcome { verdict, ending, load: None, retry_after_ms: None }
}

pub fn rejected(status: u16) -> Outcome {
    outcome(Verdict::SurelyNotRun, Ending::Rejected { status, instance: None })
}

pub fn unreachable() -> Outcome {
    outcome(Verdict::NeverSent, Ending::Unreachable)
}

pub fn connection_lost() -> Outcome {
    outcome(Verdict::MayHaveRun, Ending::ConnectionLost)
}

pub fn failed(status: u16) -> Outcome {
    outcome(Verdict::HasRun, Ending::Failed { status })
}

pub fn truncated(last_event: Option<u64>) -> Outcome {
    outcome(Verdict::HasRun, Ending::Truncated { last_event, at_fault: false })
}

pub fn server_load(running: u32, waiting: u32, slots: u32) -> ServerLoad {
    ServerLoad { running, waiting, slots }
}

/// The record of a ready server. Its id and address are derived from `number`. A model is given as
/// `model/adapter/adapter...`.
pub fn server(service: &str, number: u32, models: &[&str]) -> ServerRecord {
    let loaded = |name: &&str| {
        let mut parts = name.split('/').map(str::to_owned);
        let name = parts.next().unwrap_or_default();
        LoadedModel { name, version: 1, adapters: parts.collect() }
    };
    let heartbeat = Heartbeat {
        service: service.to_owned(),
        address: server_address(number),
        slots: 64,
        state: ServerState::Ready,
        models: (service == LLM).then(|| models.iter().map(loaded).collect()),
        sequence: 1,
        ..Heartbeat::default()
    };
    ServerRecord { id: server_id(number), heartbeat, presence: Presence::Ready, ..ServerRecord::default() }
}

pub fn server_id(number: u32) -> String {
    format!("i-{number}")
}

pub fn server_address(number: u32) -> String {
    format!("10.0.1.{number}:8080")
}

pub fn with_presence(mut record: ServerRecord, presence: Presence) -> ServerRecord {
    record.heartbeat.sequence += 1;
    record.presence = presence;
    record
}

/// A non-idempotent route to one service.
pub fn route(service: &str) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/p/".into(),
        kind: RouteKind::NonIdempotent,
        timeout_ms: 4000,
        target_latency_ms: 800,
        priority: 1,
        traffic_split: vec![WeightedService { service: service.to_owned(), weight: 1.0 }],
        max_attempts: 3,
        affinity: true,
    }
}

pub fn idempotent(service: &str) -> Route {
    Route { kind: RouteKind::Idempotent, ..route(service) }
}

pub fn stream(service: &str, resumable: bool) -> Route {
    Route { kind: RouteKind::Streaming { resumable, gap_target_ms: 400 }, ..route(service) }
}

/// Server ids in the order of the key's sequence.
pub fn server_sequence(key: Key, count: u32) -> Vec<String> {
    let mut array = SlotArray::default();
    let sizes: Vec<_> =
        (0..count).map(|number| (number, hash_of_name(&server_address(number)), 1.0)).collect();
    array.update(&sizes);
    array.sequence(key).map(|number| server_id(*number)).collect()
}

/// A configuration with both services. The service with models has `m0` to `m39` with three adapters each.
pub fn view(version: u64) -> Arc<View> {
    let models: Vec<String> = (0..40)
        .map(|number| {
            format!(r#"{{"name":"m{number}","weightsMb":1000.0,"loadTimeS":0.6,"adapters":3,"adapterSizeMb":10.0}}"#)
        })
        .collect();
    let llm = format!(
        r#"{{"name":"llm","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,
        "runtime":{{"slots":64,"kvCapacity":200000,"stride":5,"models":[{}],
        "weightsMb":4000.0,"adapterCapacity":8,"loadPerS":2.8}}}}"#,
        models.join(",")
    );
    let web = r#"{"name":"web","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}"#;
    let item = |name: &str, json: &str| ConfigItem {
        key: ItemKey { list: "services".into(), name: name.into() },
        json: json.to_owned(),
    };
    let update =
        ConfigUpdate { base: None, version, upsert: vec![item(LLM, &llm), item(WEB, web)], remove: vec![] };
    let mut view = View::default();
    view.apply(&update).expect("the configuration is applied");
    Arc::new(view)
}
