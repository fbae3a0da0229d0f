//! The table of routes, indexed by name and by host and path prefix.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::diff::ConfigDiff;
use crate::error::{DuplicateRouteSnafu, InvalidConfig};
use crate::host::normalize_host;
use crate::json::{excerpt, JsonPath};
use crate::keys::ROUTES;
use crate::schema::Route;

/// All routes of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RouteTable {
    by_name: BTreeMap<String, Arc<Route>>,
    by_host: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Number of prefixes of each length, in bytes. A lookup tries one prefix per length, which is fast because
    /// configurations use few different lengths.
    prefix_lengths: BTreeMap<usize, usize>,
}

impl HostRoutes {
    /// Returns the route with the longest prefix that matches `path`.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let longest_first = self.prefix_lengths.range(..=path.len()).rev();
        let mut prefixes = longest_first.filter_map(|(length, _)| path.get(..*length));
        prefixes.find_map(|prefix| self.by_prefix.get(prefix))
    }

    fn insert(&mut self, route: Arc<Route>) {
        let length = route.path_prefix.len();
        if self.by_prefix.insert(route.path_prefix.clone(), route).is_none() {
            *self.prefix_lengths.entry(length).or_default() += 1;
        }
    }

    fn remove(&mut self, prefix: &str) {
        if self.by_prefix.remove(prefix).is_none() {
            return;
        }
        if let Some(count) = self.prefix_lengths.get_mut(&prefix.len()) {
            *count -= 1;
            if *count == 0 {
                self.prefix_lengths.remove(&prefix.len());
            }
        }
    }
}

impl RouteTable {
    /// Returns the route of a request: among the routes of its host, the one with the longest prefix that matches the
    /// path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(normalize_host(host).as_ref())?.find(path)
    }

    /// Returns all routes, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_name.values()
    }

    /// Checks that no two routes will have the same host and prefix after `diff` is applied.
    pub(crate) fn check(&self, diff: &ConfigDiff<'_>) -> Result<(), InvalidConfig> {
        let changed: HashSet<&str> = diff.changed_route_names().collect();
        let mut added: HashMap<(&str, &str), &str> = HashMap::new();
        for parsed in diff.upsert.iter().filter_map(|item| item.as_route()) {
            let route = &parsed.route;
            let unchanged = self.get(&route.host, &route.path_prefix).map(|other| other.name.as_str());
            let unchanged = unchanged.filter(|name| !changed.contains(name));
            let pattern = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(other) = unchanged.or_else(|| added.insert(pattern, &route.name)) {
                return Err(duplicate_route(route, other));
            }
        }
        Ok(())
    }

    /// Applies a difference that [`check`](RouteTable::check) has accepted.
    pub(crate) fn apply(&mut self, diff: &ConfigDiff<'_>) {
        // All changed routes are removed before any is inserted, because an update may swap the prefixes of two routes.
        for name in diff.changed_route_names() {
            self.remove(name);
        }
        for parsed in diff.upsert.iter().filter_map(|item| item.as_route()) {
            self.insert(parsed.route.clone());
        }
    }

    /// Returns the route with exactly this host and prefix.
    fn get(&self, host: &str, path_prefix: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.by_prefix.get(path_prefix)
    }

    fn insert(&mut self, route: Arc<Route>) {
        self.by_host.entry(route.host.clone()).or_default().insert(route.clone());
        self.by_name.insert(route.name.clone(), route);
    }

    fn remove(&mut self, name: &str) {
        let Some(route) = self.by_name.remove(name) else { return };
        if let Some(host) = self.by_host.get_mut(&route.host) {
            host.remove(&route.path_prefix);
            if host.by_prefix.is_empty() {
                self.by_host.remove(&route.host);
            }
        }
    }
}

fn duplicate_route(route: &Route, other: &str) -> InvalidConfig {
    DuplicateRouteSnafu {
        path: JsonPath::item(ROUTES, &route.name).to_string(),
        other: excerpt(other),
        host: excerpt(&route.host),
        path_prefix: excerpt(&route.path_prefix),
    }
    .build()
}
