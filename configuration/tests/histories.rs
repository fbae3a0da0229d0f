//! Random histories of changes against a model that knows nothing but JSON trees.

mod common;

use std::collections::HashSet;

use common::{read, send};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Map, Value};
use shaletrail_configuration::{ChangeKind, ChangeOutcome, ConfigState, View};

const HISTORIES: u64 = 60;
const CHANGES: usize = 60;
const VIEWS: usize = 4;
const KINDS: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];

#[derive(Debug, PartialEq)]
enum Verdict {
    Apply,
    Repeated,
    Conflict,
    Invalid,
}

impl From<ChangeOutcome> for Verdict {
    fn from(judgement: ChangeOutcome) -> Self {
        match judgement {
            ChangeOutcome::Accepted => Verdict::Apply,
            ChangeOutcome::Duplicate => Verdict::Repeated,
            ChangeOutcome::Conflict { .. } => Verdict::Conflict,
            ChangeOutcome::Expired => unreachable!("these histories are short enough to be remembered"),
            ChangeOutcome::Invalid(_) => Verdict::Invalid,
        }
    }
}

/// A call of the operator.
#[derive(Clone, Debug, PartialEq)]
struct Call {
    kind: ChangeKind,
    base: u64,
    body: Value,
}

/// What the configuration should be.
struct Model {
    current: Value,
    taken: Vec<Call>,
}

impl Model {
    fn version(&self) -> u64 {
        self.current["version"].as_u64().unwrap_or(0)
    }

    fn take(&mut self, call: &Call) -> Verdict {
        if self.taken.contains(call) {
            return Verdict::Repeated;
        }
        if call.base != self.version() {
            return Verdict::Conflict;
        }
        let next = match call.kind {
            ChangeKind::Replace => call.body.clone(),
            ChangeKind::Update => updated(&self.current, &call.body),
        };
        if !is_valid(&next) || next["version"].as_u64() <= Some(self.version()) {
            return Verdict::Invalid;
        }
        self.current = next;
        self.taken.push(call.clone());
        Verdict::Apply
    }
}

fn items<'a>(configuration: &'a Value, list: &str) -> &'a [Value] {
    configuration[list].as_array().map_or(&[], Vec::as_slice)
}

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
        for new in new_items {
            match items.iter_mut().find(|item| item["name"] == new["name"]) {
                Some(item) => *item = new.clone(),
                None => items.push(new.clone()),
            }
        }
    }
    next
}

fn is_valid(configuration: &Value) -> bool {
    let services: HashSet<&str> =
        items(configuration, "services").iter().filter_map(|service| service["name"].as_str()).collect();
    let mut places = HashSet::new();
    items(configuration, "routes").iter().all(|route| {
        let split = items(route, "trafficSplit");
        let named = split.iter().map(|part| &part["service"]).chain([&route["service"]]);
        let known = named.filter_map(Value::as_str).all(|service| services.contains(service));
        let weight: f64 = split.iter().filter_map(|part| part["weight"].as_f64()).sum();
        let weighed = if split.is_empty() { route["service"].is_string() } else { weight > 0.0 };
        let place = (route["host"].as_str(), route["pathPrefix"].as_str());
        known && weighed && route["timeoutMs"] != 0 && places.insert(place)
    })
}

/// Draws calls of the operator.
struct Operator {
    random: Pcg32,
}

impl Operator {
    fn below(&mut self, end: u64) -> u64 {
        self.random.random_range(0..end)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn name(&mut self, prefix: &str, most: u64) -> String {
        format!("{prefix}{}", self.below(most))
    }

    fn route(&mut self, name: String) -> Value {
        let mut route = json!({
            "name": name, "host": self.name("host-", 3), "pathPrefix": format!("/{}/", self.name("p", 12)),
            "type": KINDS.choose(&mut self.random),
            "timeoutMs": if self.chance(3) { 0 } else { 100 + self.below(3) },
        });
        if self.chance(70) {
            route["service"] = json!(self.name("s", 5));
        } else {
            let part =
                |operator: &mut Self| json!({"service": operator.name("s", 5), "weight": operator.below(3)});
            route["trafficSplit"] = json!([part(self), part(self)]);
        }
        route
    }

    fn service(&mut self, name: String) -> Value {
        json!({"name": name, "maxConnections": self.below(3), "runtime": {"models": [{"name": "m"}]}})
    }

    /// Items of distinct names, in any order.
    fn list(&mut self, prefix: &str, most: u64, count: u64, item: fn(&mut Self, String) -> Value) -> Value {
        let names: HashSet<u64> = (0..count).map(|_| self.below(most)).collect();
        let mut names: Vec<u64> = names.into_iter().collect();
        names.sort_unstable();
        if self.chance(50) {
            names.reverse();
        }
        Value::Array(names.into_iter().map(|name| item(self, format!("{prefix}{name}"))).collect())
    }

    fn sections(&mut self, services: u64, most_routes: u64) -> Map<String, Value> {
        let mut sections = Map::new();
        let routes = self.below(most_routes);
        sections.insert("routes".to_owned(), self.list("r", 15, routes, Self::route));
        sections.insert("services".to_owned(), self.list("s", 5, services, Self::service));
        if self.chance(40) {
            sections.insert("limits".to_owned(), json!({"maxBodyBytes": self.below(5)}));
        }
        if self.chance(40) {
            let tenants =
                self.list("t", 3, 2, |operator, name| json!({"name": name, "x": operator.below(4)}));
            sections.insert("tenants".to_owned(), tenants);
        }
        if self.chance(20) {
            sections.insert("remark".to_owned(), json!(self.below(4)));
        }
        sections
    }

    fn whole(&mut self, version: u64) -> Value {
        let mut body = self.sections(25, 7);
        body.insert("version".to_owned(), json!(version));
        Value::Object(body)
    }

    fn update(&mut self, version: u64) -> Value {
        let services = self.below(2);
        let mut upsert = self.sections(services, 3);
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
            if let Some(call) = model.taken.choose(&mut self.random) {
                return call.clone();
            }
        }
        let current = model.version();
        let base = if self.chance(90) { current } else { current.saturating_sub(self.below(3)) };
        let version = if self.chance(95) { current + 1 + self.below(4) } else { current };
        let whole = current == 0 || self.chance(15);
        let (kind, body) = if whole {
            (ChangeKind::Replace, self.whole(version))
        } else {
            (ChangeKind::Update, self.update(version))
        };
        Call { kind, base, body }
    }
}

#[test]
fn given_random_histories_when_they_are_applied_then_judgements_reads_and_views_agree_with_the_model() {
    let mut seen = [0_u32; 4];
    for seed in 0..HISTORIES {
        let mut operator = Operator { random: Pcg32::seed_from_u64(seed) };
        let mut model = Model { current: json!({"version": 0}), taken: Vec::new() };
        let mut state = ConfigState::default();
        let mut views = vec![View::default(); VIEWS];
        for _ in 0..CHANGES {
            let call = operator.call(&model);
            // When
            let judgement = send(&mut state, call.kind, call.base, call.body.to_string().as_bytes());
            // Then: the answer and what is read back are the model's.
            let verdict = Verdict::from(judgement.clone());
            match model.take(&call) {
                // Where a change is also invalid, either answer will do.
                Verdict::Conflict if verdict == Verdict::Invalid => {}
                expected => assert_eq!(verdict, expected, "seed {seed}: {call:?} gave {judgement:?}"),
            }
            seen[verdict as usize] += 1;
            assert_eq!(read(&state), model.current, "seed {seed}: after {call:?}");
            // Then: views that lag behind come to what a fresh view comes to.
            for view in &mut views {
                if operator.chance(30) {
                    catch_up(view, &state);
                }
            }
            if operator.chance(10) {
                state = ConfigState::restore(&state.snapshot()).expect("a snapshot");
            }
        }
        views.iter_mut().for_each(|view| catch_up(view, &state));
    }
    assert!(seen.iter().all(|count| *count > 100), "histories that say something: {seen:?}");
}

fn catch_up(view: &mut View, state: &ConfigState) {
    if let Some(news) = state.updates_since(view.version) {
        assert_eq!(
            news.base.is_some(),
            view.version > 0,
            "these histories are short enough to be remembered"
        );
        view.apply(&news).expect("valid news");
    }
    let mut fresh = View::default();
    if let Some(news) = state.updates_since(0) {
        fresh.apply(&news).expect("valid news");
    }
    assert_eq!(*view, fresh);
    assert_eq!(view, state.view());
}

#[test]
fn given_random_histories_when_views_look_routes_up_then_they_find_what_a_search_finds() {
    let (hosts, prefixes) = (3, 12);
    for seed in 0..HISTORIES {
        let mut operator = Operator { random: Pcg32::seed_from_u64(seed) };
        let mut model = Model { current: json!({"version": 0}), taken: Vec::new() };
        let mut state = ConfigState::default();
        for _ in 0..CHANGES {
            let call = operator.call(&model);
            send(&mut state, call.kind, call.base, call.body.to_string().as_bytes());
            model.take(&call);
        }
        for (host, prefix) in (0..hosts).flat_map(|host| (0..prefixes).map(move |prefix| (host, prefix))) {
            let (host, path) = (format!("host-{host}"), format!("/p{prefix}/x"));
            let begins = |route: &&Value| {
                route["host"] == host.as_str()
                    && path.starts_with(route["pathPrefix"].as_str().expect("a prefix"))
            };
            let expected =
                items(&model.current, "routes").iter().find(begins).and_then(|route| route["name"].as_str());
            let found = state.view().route(&host, &path).map(|route| route.name.as_str());
            assert_eq!(found, expected, "seed {seed}: {host}{path}");
        }
    }
}
