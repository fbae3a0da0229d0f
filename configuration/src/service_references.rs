//! The services that each route references, so that no change removes a service that is still referenced.

use std::collections::{BTreeMap, HashSet};

use crate::diff::ConfigDiff;
use crate::error::{InvalidConfig, UnknownServiceSnafu};
use crate::json::{excerpt, JsonPath};
use crate::keys::{ROUTES, SERVICES};
use crate::view::ConfigView;

/// The services that each route references, including those of weight 0, which [`Route`](crate::Route) omits.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceReferences {
    services_by_route: BTreeMap<String, Vec<String>>,
}

impl ServiceReferences {
    /// Checks that all referenced services will exist after `diff` is applied to these references and to `view`.
    pub(crate) fn check(&self, diff: &ConfigDiff<'_>, view: &ConfigView) -> Result<(), InvalidConfig> {
        let added: HashSet<&str> = diff.upserted_names(SERVICES).collect();
        let removed: HashSet<&str> = diff.removed_names(SERVICES).collect();
        let exists = |service: &str| {
            added.contains(service) || (view.service(service).is_some() && !removed.contains(service))
        };
        for route in diff.upsert.iter().filter_map(|item| item.as_route()) {
            check_route(&route.route.name, &route.referenced_services, exists)?;
        }
        if removed.is_empty() {
            return Ok(());
        }
        let changed: HashSet<&str> = diff.changed_route_names().collect();
        let mut unchanged =
            self.services_by_route.iter().filter(|(route, _)| !changed.contains(route.as_str()));
        unchanged.try_for_each(|(route, services)| check_route(route, services, exists))
    }

    /// Applies a difference that [`check`](ServiceReferences::check) has accepted.
    pub(crate) fn apply(&mut self, diff: &ConfigDiff<'_>) {
        for route in diff.removed_names(ROUTES) {
            self.services_by_route.remove(route);
        }
        for route in diff.upsert.iter().filter_map(|item| item.as_route()) {
            self.services_by_route.insert(route.route.name.clone(), route.referenced_services.clone());
        }
    }
}

fn check_route(route: &str, services: &[String], exists: impl Fn(&str) -> bool) -> Result<(), InvalidConfig> {
    match services.iter().find(|service| !exists(service)) {
        Some(service) => {
            let path = JsonPath::item(ROUTES, route).to_string();
            UnknownServiceSnafu { path, service: excerpt(service) }.fail()
        }
        None => Ok(()),
    }
}
