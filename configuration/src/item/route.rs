//! Parsing of routes.

use std::sync::Arc;

use crate::error::{InvalidConfig, ZeroWeightSnafu};
use crate::host::normalize_host;
use crate::json::Object;
use crate::schema::{Route, RouteKind, WeightedService};

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_GAP_TARGET_MS: u64 = 400;
const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_WEIGHT: f64 = 1.0;

const TIMEOUT: &str = "timeoutMs";
const SERVICE: &str = "service";
const TRAFFIC_SPLIT: &str = "trafficSplit";

/// A route and all services that it references.
#[derive(Clone, Debug)]
pub(crate) struct ParsedRoute {
    pub(crate) route: Arc<Route>,
    /// Names of all services that the route references, including those of weight 0; sorted, without duplicates.
    pub(crate) referenced_services: Vec<String>,
}

/// Parses a route. Its name is the item name in the path of `object`.
pub(super) fn parse(object: &Object<'_>) -> Result<ParsedRoute, InvalidConfig> {
    let timeout_ms = parse_timeout_ms(object)?;
    let single_service = object.optional_string(SERVICE)?;
    let split = parse_traffic_split(object)?;
    let referenced_services = referenced_services(&split, single_service.as_deref());
    let traffic_split = effective_split(object, split, single_service)?;
    let route = Route {
        name: object.path().item_name().to_owned(),
        host: normalize_host(&object.required_string("host")?).into_owned(),
        path_prefix: object.optional_string("pathPrefix")?.unwrap_or_else(|| "/".to_owned()),
        kind: parse_kind(object)?,
        timeout_ms,
        target_latency_ms: object.optional_milliseconds("targetLatencyMs")?.unwrap_or(timeout_ms),
        priority: parse_priority(object)?,
        traffic_split,
        max_attempts: object.optional_u32("maxAttempts")?.unwrap_or(1).max(1),
        affinity: object.optional_bool("affinity")?.unwrap_or(false),
    };
    Ok(ParsedRoute { route: Arc::new(route), referenced_services })
}

fn parse_timeout_ms(object: &Object<'_>) -> Result<u64, InvalidConfig> {
    let timeout_ms = object.optional_milliseconds(TIMEOUT)?.unwrap_or(DEFAULT_TIMEOUT_MS);
    if timeout_ms == 0 {
        return Err(object.path().unexpected_value(TIMEOUT, "0", "a number over 0"));
    }
    Ok(timeout_ms)
}

fn parse_priority(object: &Object<'_>) -> Result<u8, InvalidConfig> {
    let priority = object.optional_u32("priority")?;
    Ok(priority.map_or(DEFAULT_PRIORITY, |priority| u8::try_from(priority).unwrap_or(u8::MAX)))
}

fn parse_kind(object: &Object<'_>) -> Result<RouteKind, InvalidConfig> {
    Ok(match object.optional_string("type")?.as_deref() {
        Some("idempotent") => RouteKind::Idempotent,
        Some("streaming") => RouteKind::Streaming {
            resumable: object.optional_bool("resumable")?.unwrap_or(false),
            gap_target_ms: object.optional_milliseconds("gap_aim_ms")?.unwrap_or(DEFAULT_GAP_TARGET_MS),
        },
        _ => RouteKind::NonIdempotent,
    })
}

/// Parses the traffic split as it was written, including services of weight 0.
fn parse_traffic_split(object: &Object<'_>) -> Result<Vec<WeightedService>, InvalidConfig> {
    let mut split = Vec::new();
    for (index, element) in object.elements(TRAFFIC_SPLIT)?.into_iter().enumerate() {
        let path = object.path().within(TRAFFIC_SPLIT, Some(index));
        let element = Object::parse_required(element, TRAFFIC_SPLIT, path)?;
        split.push(WeightedService {
            service: element.required_string(SERVICE)?,
            weight: element.optional_f64("weight")?.unwrap_or(DEFAULT_WEIGHT),
        });
    }
    Ok(split)
}

fn referenced_services(split: &[WeightedService], single_service: Option<&str>) -> Vec<String> {
    let services = split.iter().map(|weighted| weighted.service.as_str()).chain(single_service);
    let mut services: Vec<String> = services.map(str::to_owned).collect();
    services.sort();
    services.dedup();
    services
}

/// Returns the services that receive requests: those of the split with a weight above 0, or the route's single service
/// if there is no split.
fn effective_split(
    object: &Object<'_>,
    mut split: Vec<WeightedService>,
    single_service: Option<String>,
) -> Result<Vec<WeightedService>, InvalidConfig> {
    let path = object.path();
    if let (true, Some(service)) = (split.is_empty(), single_service) {
        split.push(WeightedService { service, weight: DEFAULT_WEIGHT });
    }
    split.retain(|weighted| weighted.weight > 0.0);
    let sum: f64 = split.iter().map(|weighted| weighted.weight).sum();
    if !sum.is_finite() {
        return Err(path.unexpected_value(TRAFFIC_SPLIT, "a sum without end", "weights with a finite sum"));
    }
    if split.is_empty() {
        return ZeroWeightSnafu { path: path.to_string() }.fail();
    }
    Ok(split)
}
