//! Items of a configuration, from JSON to their types.

use std::borrow::Cow;
use std::sync::Arc;

use shaletrail_protocol::internal::ItemKey;
use sonic_rs::{JsonValueTrait, LazyValue};

use crate::error::{InvalidConfig, NoWeightSnafu};
use crate::fields::{self, Fields, Place};
use crate::typed::{ClientLimits, Model, Route, RouteKind, Runtime, Service};

/// The list of routes.
pub(crate) const ROUTES: &str = "routes";
/// The list of services.
pub(crate) const SERVICES: &str = "services";
/// The limits for clients, a value that stands by itself.
pub(crate) const LIMITS: &str = "limits";
/// The field that names an item of a list.
pub(crate) const NAME: &str = "name";

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_GAP_AIM_MS: u64 = 400;
const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_WEIGHT: f64 = 1.0;
const DEFAULT_HEALTH_PATH: &str = "/healthz";

/// An item as the program reads it.
#[derive(Clone, Debug)]
pub(crate) enum Typed {
    /// A route.
    Route(Arc<Route>),
    /// A service.
    Service(Arc<Service>),
    /// The limits for clients.
    Limits(ClientLimits),
    /// Something that the program doesn't use.
    Other,
}

/// An item, as it was written and as it is read.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// What it is called.
    pub(crate) key: ItemKey,
    /// Its JSON, to the letter.
    pub(crate) json: String,
    /// What it says.
    pub(crate) typed: Typed,
    /// Services that it names, if it is a route; also those without weight.
    pub(crate) mentions: Vec<String>,
}

impl Item {
    /// An element of a list; `Ok(None)` if it is no object with a name. Elements of routes and services must be.
    pub(crate) fn element(list: &str, value: LazyValue<'_>) -> Result<Option<Item>, InvalidConfig> {
        let json = value.as_raw_str().to_owned();
        let known = list == ROUTES || list == SERVICES;
        let place = Place::value(list);
        if !value.is_object() {
            return if known { Err(place.wrong("item", &json, "an object")) } else { Ok(None) };
        }
        let name = value.get(NAME).and_then(|name| name.as_str().map(str::to_owned));
        let Some(name) = name.filter(|name| !name.is_empty()) else {
            return if known { Err(place.missing(NAME, "a text that names the item")) } else { Ok(None) };
        };
        let fields = Fields::of(value, Place::item(list, &name))?;
        let (typed, mentions) = match list {
            ROUTES => {
                let (route, mentions) = route(&fields)?;
                (Typed::Route(Arc::new(route)), mentions)
            }
            SERVICES => (Typed::Service(Arc::new(service(&fields)?)), Vec::new()),
            _ => (Typed::Other, Vec::new()),
        };
        let key = ItemKey { list: list.to_owned(), name: name.clone() };
        Ok(Some(Item { key, json, typed, mentions }))
    }

    /// A value that stands by itself.
    pub(crate) fn value(key: &str, value: LazyValue<'_>) -> Result<Item, InvalidConfig> {
        let json = value.as_raw_str().to_owned();
        let typed = match key {
            LIMITS if json == "null" => Typed::Limits(ClientLimits::default()),
            LIMITS => Typed::Limits(limits(&Fields::required(value, "value", Place::value(LIMITS))?)?),
            _ => Typed::Other,
        };
        let key = ItemKey { list: key.to_owned(), name: String::new() };
        Ok(Item { key, json, typed, mentions: Vec::new() })
    }

    /// An item that was taken before, under `name` in its list; the name is empty for a value that stands by itself.
    pub(crate) fn taken(list: &str, name: &str, json: &str) -> Result<Item, InvalidConfig> {
        let value = fields::parse(json.as_bytes())?;
        if name.is_empty() {
            return Item::value(list, value);
        }
        let read = Item::element(list, value)?.filter(|read| read.key.name == name);
        read.ok_or_else(|| Place::item(list, name).wrong(NAME, json, "the item's name"))
    }
}

/// A route, and the services that it names, also those without weight.
fn route(fields: &Fields<'_>) -> Result<(Route, Vec<String>), InvalidConfig> {
    let place = fields.place();
    let timeout_ms = fields.milliseconds("timeoutMs")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    if timeout_ms == 0 {
        return Err(place.wrong("timeoutMs", "0", "a number over 0"));
    }
    let Targets { weighted, mentions } = targets(fields)?;
    let route = Route {
        name: place.name.to_owned(),
        host: normal_host(&fields.required_text("host")?).into_owned(),
        path_prefix: fields.text("pathPrefix")?.unwrap_or_else(|| "/".to_owned()),
        kind: kind(fields)?,
        timeout_ms,
        target_latency_ms: fields.milliseconds("targetLatencyMs")?.unwrap_or(timeout_ms),
        priority: rank(fields)?,
        targets: weighted,
        max_attempts: fields.small("maxAttempts")?.unwrap_or(1).max(1),
        affinity: fields.flag("affinity")?.unwrap_or(false),
    };
    Ok((route, mentions))
}

fn rank(fields: &Fields<'_>) -> Result<u8, InvalidConfig> {
    let rank = fields.small("priority")?;
    Ok(rank.map_or(DEFAULT_PRIORITY, |rank| u8::try_from(rank).unwrap_or(u8::MAX)))
}

fn kind(fields: &Fields<'_>) -> Result<RouteKind, InvalidConfig> {
    Ok(match fields.text("type")?.as_deref() {
        Some("idempotent") => RouteKind::Idempotent,
        Some("streaming") => RouteKind::Streaming {
            resumable: fields.flag("resumable")?.unwrap_or(false),
            gap_aim_ms: fields.milliseconds("gap_aim_ms")?.unwrap_or(DEFAULT_GAP_AIM_MS),
        },
        _ => RouteKind::NonIdempotent,
    })
}

/// Where a route's requests go.
struct Targets {
    /// Services with a weight over 0.
    weighted: Vec<(String, f64)>,
    /// All services that are named, also those without weight; sorted.
    mentions: Vec<String>,
}

/// The targets of a route: those of its split, or else its one service.
fn targets(fields: &Fields<'_>) -> Result<Targets, InvalidConfig> {
    let place = fields.place();
    let single = fields.text("service")?;
    let mut weighted = split(fields)?;
    let mut mentions: Vec<String> =
        weighted.iter().map(|(service, _)| service.clone()).chain(single.clone()).collect();
    mentions.sort();
    mentions.dedup();
    if let (true, Some(service)) = (weighted.is_empty(), single) {
        weighted.push((service, DEFAULT_WEIGHT));
    }
    weighted.retain(|(_, weight)| *weight > 0.0);
    let sum: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    if !sum.is_finite() {
        return Err(place.wrong("trafficSplit", "a sum without end", "weights with a finite sum"));
    }
    if weighted.is_empty() {
        return NoWeightSnafu { place: place.to_string() }.fail();
    }
    Ok(Targets { weighted, mentions })
}

fn split(fields: &Fields<'_>) -> Result<Vec<(String, f64)>, InvalidConfig> {
    const SPLIT: &str = "trafficSplit";
    let place = fields.place();
    let mut weighted = Vec::new();
    for (index, part) in fields.elements(SPLIT)?.into_iter().enumerate() {
        let part = Fields::required(part, SPLIT, place.part(SPLIT, Some(index)))?;
        weighted.push((part.required_text("service")?, part.amount("weight")?.unwrap_or(DEFAULT_WEIGHT)));
    }
    Ok(weighted)
}

fn service(fields: &Fields<'_>) -> Result<Service, InvalidConfig> {
    let place = fields.place();
    let runtime = match fields.value("runtime") {
        Some(value) => {
            let inside = Fields::required(value.clone(), "runtime", place.part("runtime", None))?;
            Some(runtime(&inside)?)
        }
        None => None,
    };
    Ok(Service {
        name: place.name.to_owned(),
        health_path: fields.text("healthPath")?.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
        max_connections: fields.small("maxConnections")?.unwrap_or(u32::MAX),
        runtime,
    })
}

fn runtime(fields: &Fields<'_>) -> Result<Runtime, InvalidConfig> {
    let place = fields.place();
    const MODELS: &str = "runtime/models";
    let mut models = Vec::new();
    for (index, value) in fields.elements("models")?.into_iter().enumerate() {
        let inside = Fields::required(value, MODELS, place.part(MODELS, Some(index)))?;
        models.push(model(&inside)?);
    }
    Ok(Runtime {
        slots: fields.small("slots")?.unwrap_or(1),
        kv_capacity: fields.whole("kvCapacity")?.unwrap_or(0),
        stride: fields.small("stride")?.unwrap_or(1),
        models,
        weights_mb: fields.amount("weightsMb")?.unwrap_or(0.0),
        adapter_capacity: fields.small("adapterCapacity")?.unwrap_or(0),
        load_per_s: fields.amount("loadPerS")?.unwrap_or(0.0),
    })
}

fn model(fields: &Fields<'_>) -> Result<Model, InvalidConfig> {
    Ok(Model {
        name: fields.required_text(NAME)?,
        weights_mb: fields.amount("weightsMb")?.unwrap_or(0.0),
        load_time_s: fields.amount("loadTimeS")?.unwrap_or(0.0),
        adapters: fields.small("adapters")?.unwrap_or(0),
        adapter_size_mb: fields.amount("adapterSizeMb")?.unwrap_or(0.0),
    })
}

fn limits(fields: &Fields<'_>) -> Result<ClientLimits, InvalidConfig> {
    let usual = ClientLimits::default();
    Ok(ClientLimits {
        max_header_bytes: fields.whole("maxHeaderBytes")?.unwrap_or(usual.max_header_bytes),
        max_body_bytes: fields.whole("maxBodyBytes")?.unwrap_or(usual.max_body_bytes),
        header_timeout_ms: fields.milliseconds("headerTimeoutMs")?.unwrap_or(usual.header_timeout_ms),
        idle_timeout_ms: fields.milliseconds("idleTimeoutMs")?.unwrap_or(usual.idle_timeout_ms),
    })
}

/// A host as hosts are compared: without a port, in lower case.
pub(crate) fn normal_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if !name.contains(':') || name.ends_with(']') => {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        }
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        name.to_ascii_lowercase().into()
    } else {
        name.into()
    }
}
