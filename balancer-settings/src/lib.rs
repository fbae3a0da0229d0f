//! Parses the JSON settings. Adapter and node share this crate, so that both run the balancer with the same
//! settings.

use std::collections::HashMap;

use serde_json::{Map, Value};
use shaletrail_policy::*;

/// Indices of the classes and tenants of one balancer's settings, by name.
pub struct Names {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl Names {
    /// Builds the index for these settings.
    pub fn of(settings: &Settings) -> Self {
        let index =
            |names: Vec<&String>| names.into_iter().cloned().enumerate().map(|(i, n)| (n, i)).collect();
        Names {
            classes: index(settings.classes.iter().map(|c| &c.name).collect()),
            tenants: index(settings.tenants.iter().map(|t| &t.name).collect()),
        }
    }

    /// Index of the class with this name; `None` if there is none.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).map(|&i| ClassId(i))
    }

    /// Index of the tenant with this name; `None` if there is none.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|&i| TenantId(i))
    }
}

type Object = Map<String, Value>;

fn object<'a>(from: &'a Object, name: &str) -> Result<&'a Object, String> {
    from.get(name).and_then(Value::as_object).ok_or_else(|| format!("setting {name}: expected an object"))
}

/// Reads an optional setting. `kind` describes the expected JSON type in the error.
fn optional<'a, T>(
    from: &'a Object,
    name: &str,
    kind: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, String> {
    match from.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(v) => read(v).map(Some).ok_or_else(|| format!("setting {name}: expected {kind}, got {v}")),
    }
}

fn number(from: &Object, name: &str) -> Result<Option<f64>, String> {
    optional(from, name, "a number", Value::as_f64)
}

fn required<T>(name: &str, value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| format!("setting {name}: missing"))
}

fn text<'a>(from: &'a Object, name: &str) -> Result<Option<&'a str>, String> {
    optional(from, name, "a text", Value::as_str)
}

/// Parses the settings object, which is the same in the simulator's `attach` message and in a node's
/// configuration.
///
/// # Errors
/// Names the first setting that is missing or has the wrong type.
pub fn parse(setup: &Value) -> Result<Settings, SettingsError> {
    settings(setup).map_err(SettingsError)
}

fn settings(setup: &Value) -> Result<Settings, String> {
    let top = setup.as_object().ok_or("expected settings as a JSON object")?;
    let empty = Vec::new();
    let list = |name: &str| optional(top, name, "a list", Value::as_array).map(|l| l.unwrap_or(&empty));
    let mut classes = Vec::new();
    for class in required("grades", optional(top, "grades", "a list", Value::as_array)?)? {
        classes.push(parse_class(class.as_object().ok_or("setting grades: expected objects")?)?);
    }
    let mut tenants = Vec::new();
    for tenant in list("tenants")? {
        let t = tenant.as_object().ok_or("setting tenants: expected objects")?;
        tenants.push(Tenant {
            name: required("tenants.name", text(t, "name")?)?.into(),
            quota: required("tenants.quota-per-s", number(t, "quota-per-s")?)?,
        });
    }
    let none = Object::new();
    let family = object(top, "family-info").unwrap_or(&none);
    let cache = match text(family, "mode")? {
        Some("aside") => {
            let kind = required("family-info.origin-kind", number(family, "origin-kind")?)?;
            let name = list("skus")?.get(kind.max(0.0) as usize).and_then(Value::as_str);
            CacheMode::Aside { origin_kind: required("skus (name of the origin's kind)", name)?.into() }
        }
        _ => CacheMode::Through,
    };
    let membership = match required("membership-mode", text(top, "membership-mode")?)? {
        "pushed" => Membership::Pushed,
        "on_request" => Membership::OnRequest,
        other => return Err(format!("setting membership-mode: expected pushed or on_request, got {other}")),
    };
    Ok(Settings {
        balancers: required("balancers", optional(top, "balancers", "a whole number", Value::as_u64)?)?
            .try_into()
            .map_err(|_| "setting balancers: too large")?,
        zone: text(top, "locality")?.unwrap_or("").into(),
        classes,
        tenants,
        membership,
        cache,
        weights: match text(top, "weight-source")? {
            Some("nominal") => WeightSource::Nominal,
            Some("rough") => WeightSource::Rough,
            Some("live") => WeightSource::Live,
            _ => WeightSource::Off,
        },
        guarantees: guarantees(object(top, "guarantees").unwrap_or(&none), membership)?,
        limits: limits(object(top, "limits").unwrap_or(&none))?,
        prices: prices(object(top, "prices").unwrap_or(&none))?,
        round: number(top, "round-s")?.unwrap_or(0.0),
    })
}

fn parse_class(from: &Object) -> Result<Class, String> {
    let deadline = required("grades.hard-limit-s", number(from, "hard-limit-s")?)?;
    Ok(Class {
        name: required("grades.name", text(from, "name")?)?.into(),
        target: number(from, "target-s")?.unwrap_or(deadline),
        deadline,
        worth: number(from, "importance")?.unwrap_or(1.0),
        late_worth: number(from, "late-worth")?.unwrap_or(0.0),
        effect: match text(from, "effect")? {
            Some("free") => Effect::Safe,
            Some("guarded") => Effect::Keyed,
            _ => Effect::Unsafe,
        },
        group: match text(from, "group")? {
            Some("all") => Group::All,
            Some("zone") => Group::Zone,
            _ => Group::Cell,
        },
        window: number(from, "key-ttl-s")?.unwrap_or(0.0),
        streamed: optional(from, "streamed", "true or false", Value::as_bool)?.unwrap_or(false),
    })
}

fn guarantees(from: &Object, membership: Membership) -> Result<Guarantees, String> {
    let required_number = |name: &str| required(&format!("guarantees.{name}"), number(from, name)?);
    Ok(Guarantees {
        answer_grace: required_number("grace-to-answer-s")?,
        // With a pushed roster nobody has to ask for it.
        ask_every: match membership {
            Membership::Pushed => number(from, "ask-every-s")?.unwrap_or(0.0),
            Membership::OnRequest => required_number("ask-every-s")?,
        },
        cold_capacity: required_number("cold-from")?,
        warmup_time: required_number("ramp-time-s")?,
        drain_grace: required_number("drain-grace-s")?,
        overload_multiple: required_number("fall-multiple")?,
        overload_time: required_number("fall-s")?,
        budget: budget(from)?,
        close_on_drain: number(from, "close-on-drain-within-s")?,
    })
}

/// The budget exists only with a span: a ratio or a number of retries without one is an error.
fn budget(from: &Object) -> Result<Option<Budget>, String> {
    let (free, ratio) = (number(from, "extra-free")?, number(from, "resend-ratio")?);
    let Some(span) = number(from, "budget-span-s")? else {
        return match free.or(ratio) {
            None => Ok(None),
            Some(_) => {
                Err("setting guarantees.budget-span-s: missing, but extra-free or resend-ratio is set".into())
            }
        };
    };
    Ok(Some(Budget { span, free: free.unwrap_or(0.0), ratio: ratio.unwrap_or(0.0) }))
}

fn limits(from: &Object) -> Result<Limits, String> {
    let mut l = Limits::default();
    for (name, field) in [
        ("cancel", &mut l.cancel),
        ("probes", &mut l.probes),
        ("peers", &mut l.peer_messages),
        ("parallel-tries", &mut l.parallel_attempts),
        ("retry-after", &mut l.retry_after),
    ] {
        *field = optional(from, name, "true or false", Value::as_bool)?.unwrap_or(*field);
    }
    l.max_retry_after = number(from, "max-retry-after-s")?.unwrap_or(0.0);
    l.connect_timeout = number(from, "dial-timeout-s")?.unwrap_or(0.0);
    l.idle_close = number(from, "idle-close-s")?.unwrap_or(0.0);
    let attempts = optional(from, "max-attempts", "a whole number", Value::as_u64)?;
    l.max_attempts = required("limits.max-attempts", attempts)?
        .try_into()
        .map_err(|_| "setting limits.max-attempts: too large")?;
    Ok(l)
}

fn prices(from: &Object) -> Result<Prices, String> {
    let price = |name| Ok::<_, String>(number(from, name)?.unwrap_or(0.0));
    Ok(Prices { connection: price("connection")?, handshake: price("handshake")? })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// The smallest settings that a deployment may have.
    fn minimal(membership: &str) -> Value {
        json!({
            "balancers": 1, "membership-mode": membership, "grades": [{"name": "read", "hard-limit-s": 0.04}],
            "guarantees": {"grace-to-answer-s": 0.02, "ask-every-s": 10.0, "cold-from": 0.3, "ramp-time-s": 8.0,
                           "drain-grace-s": 0.25, "fall-multiple": 3.0, "fall-s": 3.0},
            "limits": {"max-attempts": 1}
        })
    }

    /// A setting that is absent disallows, costs nothing, or takes the strictest value of its kind.
    #[test]
    fn absent_settings_take_the_strictest_values() {
        let settings = parse(&minimal("on_request")).expect("minimal settings are valid");
        assert_eq!(settings.validate(), Ok(()));
        let class = &settings.classes[0];
        assert_eq!((class.effect, class.group, class.target), (Effect::Unsafe, Group::Cell, 0.04));
        assert_eq!((settings.cache, settings.tenants.len()), (CacheMode::Through, 0));
        assert_eq!(settings.limits, Limits { max_attempts: 1, ..Limits::default() });
        assert_eq!(settings.prices, Prices::default());
        assert_eq!(settings.guarantees.budget, None);
    }

    #[test]
    fn ask_every_is_required_only_where_the_roster_is_requested() {
        for (membership, named) in [("pushed", None), ("on_request", Some("guarantees.ask-every-s"))] {
            let mut setup = minimal(membership);
            setup["guarantees"].as_object_mut().unwrap().remove("ask-every-s");
            let error = parse(&setup).err().map(|e| e.to_string());
            assert_eq!(error.is_some(), named.is_some());
            assert!(error.unwrap_or_default().contains(named.unwrap_or("")));
        }
    }
}
