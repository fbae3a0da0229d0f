//! Random histories of changes, compared with a simple reference model that works on JSON values.

mod common;

use std::collections::HashSet;

use common::{read, route_name, send};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Map, Value};
use shaletrail_configuration::{ChangeKind, ChangeOutcome, ConfigState, ConfigView};

/// Number of histories, each with its own seed.
const HISTORIES: u64 = 60;
/// Calls in each history.
const CALLS: usize = 60;
/// Number of views, which receive updates at different times.
const VIEWS: usize = 4;
const ROUTE_TYPES: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];

/// A [`ChangeOutcome`] without its details.
#[derive(Debug, PartialEq)]
enum OutcomeKind {
    Accepted,
    Duplicate,
    Conflict,
    Invalid,
}

impl From<ChangeOutcome> for OutcomeKind {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Accepted => OutcomeKind::Accepted,
            ChangeOutcome::Duplicate => OutcomeKind::Duplicate,
            ChangeOutcome::Conflict { .. } => OutcomeKind::Conflict,
            ChangeOutcome::Expired => unreachable!("the deduplication window holds the whole history"),
            ChangeOutcome::Invalid(_) => OutcomeKind::Invalid,
        }
    }
}

/// An operator call.
#[derive(Clone, Debug, PartialEq)]
struct Call {
    kind: ChangeKind,
    base: u64,
    body: Value,
}

/// Reference model of the state machine.
struct Model {
    current: Value,
    applied: Vec<Call>,
}

impl Model {
    fn version(&self) -> u64 {
        self.current["version"].as_u64().unwrap_or(0)
    }

    fn apply(&mut self, call: &Call) -> OutcomeKind {
        if self.applied.contains(call) {
            return OutcomeKind::Duplicate;
        }
        if call.base != self.version() {
            return OutcomeKind::Conflict;
        }
        let next = match call.kind {
            ChangeKind::Replace => call.body.clone(),
            ChangeKind::Update => updated(&self.current, &call.body),
        };
        if !is_valid(&next) || next["version"].as_u64() <= Some(self.version()) {
            return OutcomeKind::Invalid;
        }
        self.current = next;
        self.applied.push(call.clone());
        OutcomeKind::Accepted
    }
}

fn items<'a>(configuration: &'a Value, list: &str) -> &'a [Value] {
    configuration[list].as_array().map_or(&[], Vec::as_slice)
}

/// Returns the configuration that results from an update.
fn updated(current: &Value, update: &Value) -> Value {
    let mut next = current.clone();
    next["version"] = update["version"].clone();
    for (list, names) in update["remove"].as_object().into_iter().flatten() {
        let names = names.as_array().expect("names");
        if let Some(items) = next.get_mut(list).and_then(Value::as_array_mut) {
            items.retain(|item| !names.contains(&item["name"]));
        }
    }
    for (key, value) in update["upsert"].as_object().into_iter().flatten() {
        let Some(new_items) = value.as_array() else {
            next[key] = value.clone();
            continue;
        };
        if !next[key].is_array() {
            next[key] = json!([]);
        }
        let items = next[key].as_array_mut().expect("a list");
        for new_item in new_items {
            match items.iter_mut().find(|item| item["name"] == new_item["name"]) {
                Some(item) => *item = new_item.clone(),
                None => items.push(new_item.clone()),
            }
        }
    }
    next
}

fn is_valid(configuration: &Value) -> bool {
    let services: HashSet<&str> =
        items(configuration, "services").iter().filter_map(|service| service["name"].as_str()).collect();
    let mut patterns = HashSet::new();
    items(configuration, "routes").iter().all(|route| {
        let split = items(route, "trafficSplit");
        let referenced = split.iter().map(|weighted| &weighted["service"]).chain([&route["service"]]);
        let services_exist = referenced.filter_map(Value::as_str).all(|service| services.contains(service));
        let weight: f64 = split.iter().filter_map(|weighted| weighted["weight"].as_f64()).sum();
        let has_weight = if split.is_empty() { route["service"].is_string() } else { weight > 0.0 };
        let pattern = (route["host"].as_str(), route["pathPrefix"].as_str());
        services_exist && has_weight && route["timeoutMs"] != 0 && patterns.insert(pattern)
    })
}

/// Generates random operator calls.
struct CallGenerator {
    random: Pcg32,
}

impl CallGenerator {
    /// Returns a random number from 0 up to but excluding `end`.
    fn below(&mut self, end: u64) -> u64 {
        self.random.random_range(0..end)
    }

    /// Returns true with a probability of `percent` %.
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns `prefix` with a random number below `count`.
    fn name(&mut self, prefix: &str, count: u64) -> String {
        format!("{prefix}{}", self.below(count))
    }

    fn route(&mut self, name: String) -> Value {
        let mut route = json!({
            "name": name, "host": self.name("host-", 3), "pathPrefix": format!("/{}/", self.name("p", 12)),
            "type": ROUTE_TYPES.choose(&mut self.random),
            "timeoutMs": if self.chance(3) { 0 } else { 100 + self.below(3) },
        });
        if self.chance(70) {
            route["service"] = json!(self.name("s", 5));
        } else {
            let weighted = |generator: &mut Self| json!({"service": generator.name("s", 5), "weight": generator.below(3)});
            route["trafficSplit"] = json!([weighted(self), weighted(self)]);
        }
        route
    }

    fn service(&mut self, name: String) -> Value {
        json!({"name": name, "maxConnections": self.below(3), "runtime": {"models": [{"name": "m"}]}})
    }

    /// Returns up to `max_items` items in ascending or descending order of their numbers. Their names are distinct:
    /// `prefix` with a number below `names`.
    fn list(
        &mut self,
        prefix: &str,
        names: u64,
        max_items: u64,
        item: fn(&mut Self, String) -> Value,
    ) -> Value {
        let names: HashSet<u64> = (0..max_items).map(|_| self.below(names)).collect();
        let mut names: Vec<u64> = names.into_iter().collect();
        names.sort_unstable();
        if self.chance(50) {
            names.reverse();
        }
        Value::Array(names.into_iter().map(|name| item(self, format!("{prefix}{name}"))).collect())
    }

    fn sections(&mut self, max_services: u64, routes_end: u64) -> Map<String, Value> {
        let mut sections = Map::new();
        let routes = self.below(routes_end);
        sections.insert("routes".to_owned(), self.list("r", 15, routes, Self::route));
        sections.insert("services".to_owned(), self.list("s", 5, max_services, Self::service));
        if self.chance(40) {
            sections.insert("limits".to_owned(), json!({"maxBodyBytes": self.below(5)}));
        }
        if self.chance(40) {
            let tenants =
                self.list("t", 3, 2, |generator, name| json!({"name": name, "x": generator.below(4)}));
            sections.insert("tenants".to_owned(), tenants);
        }
        if self.chance(20) {
            sections.insert("remark".to_owned(), json!(self.below(4)));
        }
        sections
    }

    fn replacement(&mut self, version: u64) -> Value {
        let mut body = self.sections(25, 7);
        body.insert("version".to_owned(), json!(version));
        Value::Object(body)
    }

    fn update(&mut self, version: u64) -> Value {
        let max_services = self.below(2);
        let mut upsert = self.sections(max_services, 3);
        upsert.retain(|_, _| self.chance(80));
        let mut remove = Map::new();
        if self.chance(50) {
            remove.insert("routes".to_owned(), json!([self.name("r", 15), self.name("r", 15)]));
        }
        if self.chance(20) {
            remove.insert("services".to_owned(), json!([self.name("s", 5)]));
        }
        if self.chance(20) {
            remove.insert("tenants".to_owned(), json!([self.name("t", 3)]));
        }
        json!({"version": version, "upsert": upsert, "remove": remove})
    }

    fn call(&mut self, model: &Model) -> Call {
        if self.chance(15) {
            if let Some(call) = model.applied.choose(&mut self.random) {
                return call.clone();
            }
        }
        let current = model.version();
        let base = if self.chance(90) { current } else { current.saturating_sub(self.below(3)) };
        let version = if self.chance(95) { current + 1 + self.below(4) } else { current };
        let replaces = current == 0 || self.chance(15);
        let (kind, body) = if replaces {
            (ChangeKind::Replace, self.replacement(version))
        } else {
            (ChangeKind::Update, self.update(version))
        };
        Call { kind, base, body }
    }
}

#[test]
fn random_changes_agree_with_reference_model() {
    let mut outcomes_seen = [0_u32; 4];
    for seed in 0..HISTORIES {
        let mut generator = CallGenerator { random: Pcg32::seed_from_u64(seed) };
        let mut model = Model { current: json!({"version": 0}), applied: Vec::new() };
        let mut state = ConfigState::default();
        let mut views = vec![ConfigView::default(); VIEWS];
        for _ in 0..CALLS {
            let call = generator.call(&model);
            // when
            let outcome = send(&mut state, call.kind, call.base, call.body.to_string().as_bytes());
            // then: the outcome and the configuration equal those of the model
            let outcome_kind = OutcomeKind::from(outcome.clone());
            match model.apply(&call) {
                // A body that is invalid regardless of the configuration is rejected before its base version is checked.
                OutcomeKind::Conflict if outcome_kind == OutcomeKind::Invalid => {}
                expected => {
                    assert_eq!(outcome_kind, expected, "seed {seed}: {call:?} had the outcome {outcome:?}")
                }
            }
            outcomes_seen[outcome_kind as usize] += 1;
            assert_eq!(read(&state), model.current, "seed {seed}: after {call:?}");
            // then: a view that lags behind catches up and equals a new view
            for view in &mut views {
                if generator.chance(30) {
                    catch_up(view, &state);
                }
            }
            if generator.chance(10) {
                state = ConfigState::restore(&state.snapshot()).expect("a snapshot");
            }
        }
        views.iter_mut().for_each(|view| catch_up(view, &state));
    }
    assert!(outcomes_seen.iter().all(|count| *count > 100), "an outcome is too rare: {outcomes_seen:?}");
}

/// Brings a view up to date, and compares it with a new view and with the view of the state.
fn catch_up(view: &mut ConfigView, state: &ConfigState) {
    if let Some(update) = state.updates_since(view.version) {
        let is_delta = update.base.is_some();
        assert_eq!(is_delta, view.version > 0, "the change log holds the whole history");
        view.apply(&update).expect("a valid update");
    }
    let mut new_view = ConfigView::default();
    if let Some(update) = state.updates_since(0) {
        new_view.apply(&update).expect("a valid update");
    }
    assert_eq!(*view, new_view);
    assert_eq!(view, state.view());
}

#[test]
fn random_route_lookups_match_a_linear_search() {
    let (hosts, prefixes) = (3, 12);
    for seed in 0..HISTORIES {
        let mut generator = CallGenerator { random: Pcg32::seed_from_u64(seed) };
        let mut model = Model { current: json!({"version": 0}), applied: Vec::new() };
        let mut state = ConfigState::default();
        for _ in 0..CALLS {
            let call = generator.call(&model);
            send(&mut state, call.kind, call.base, call.body.to_string().as_bytes());
            model.apply(&call);
        }
        for (host, prefix) in (0..hosts).flat_map(|host| (0..prefixes).map(move |prefix| (host, prefix))) {
            let (host, path) = (format!("host-{host}"), format!("/p{prefix}/x"));
            let matches = |route: &&Value| {
                route["host"] == host.as_str()
                    && path.starts_with(route["pathPrefix"].as_str().expect("a prefix"))
            };
            let expected =
                items(&model.current, "routes").iter().find(matches).and_then(|route| route["name"].as_str());
            assert_eq!(route_name(state.view(), &host, &path), expected, "seed {seed}: {host}{path}");
        }
    }
}
