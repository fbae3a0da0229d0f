//! Routes by name and by the place that they serve.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::error::{InvalidConfig, SamePlaceSnafu};
use crate::fields::{shorten, Place};
use crate::reading::{normal_host, ROUTES};
use crate::typed::Route;

/// All routes of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RouteTable {
    by_name: BTreeMap<String, Arc<Route>>,
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// How many prefixes there are of each length. Few lengths occur, so that a look-up tries few prefixes.
    lengths: BTreeMap<usize, usize>,
}

impl HostRoutes {
    fn longest(&self, path: &str) -> Option<&Arc<Route>> {
        let lengths = self.lengths.range(..=path.len()).rev();
        lengths.filter_map(|(length, _)| path.get(..*length)).find_map(|prefix| self.by_prefix.get(prefix))
    }

    fn insert(&mut self, route: Arc<Route>) {
        let length = route.path_prefix.len();
        if self.by_prefix.insert(route.path_prefix.clone(), route).is_none() {
            *self.lengths.entry(length).or_default() += 1;
        }
    }

    fn remove(&mut self, prefix: &str) {
        if self.by_prefix.remove(prefix).is_none() {
            return;
        }
        if let Some(count) = self.lengths.get_mut(&prefix.len()) {
            *count -= 1;
            if *count == 0 {
                self.lengths.remove(&prefix.len());
            }
        }
    }
}

impl RouteTable {
    /// The route of a request: of that host, the one with the longest prefix that begins the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(normal_host(host).as_ref())?.longest(path)
    }

    /// All routes, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_name.values()
    }

    /// Checks that no two routes would serve one place once `routes` have come and the routes named in
    /// `replaced` (which names `routes` too) have gone.
    pub(crate) fn check<'r>(
        &self,
        routes: impl Iterator<Item = &'r Route>,
        replaced: &HashSet<&str>,
    ) -> Result<(), InvalidConfig> {
        let mut taken: HashMap<(&str, &str), &str> = HashMap::new();
        for route in routes {
            let place = (route.host.as_str(), route.path_prefix.as_str());
            let old = self.hosts.get(place.0).and_then(|host| host.by_prefix.get(place.1));
            let old = old.map(|old| old.name.as_str()).filter(|name| !replaced.contains(name));
            if let Some(other) = old.or_else(|| taken.insert(place, &route.name)) {
                return Err(same_place(route, other));
            }
        }
        Ok(())
    }

    /// Takes the named routes out, then brings others in.
    pub(crate) fn apply<'r>(
        &mut self,
        replaced: impl Iterator<Item = &'r str>,
        routes: impl Iterator<Item = Arc<Route>>,
    ) {
        for name in replaced {
            self.remove(name);
        }
        for route in routes {
            self.hosts.entry(route.host.clone()).or_default().insert(route.clone());
            self.by_name.insert(route.name.clone(), route);
        }
    }

    fn remove(&mut self, name: &str) {
        let Some(route) = self.by_name.remove(name) else { return };
        if let Some(host) = self.hosts.get_mut(&route.host) {
            host.remove(&route.path_prefix);
            if host.by_prefix.is_empty() {
                self.hosts.remove(&route.host);
            }
        }
    }
}

fn same_place(route: &Route, other: &str) -> InvalidConfig {
    SamePlaceSnafu {
        place: Place::item(ROUTES, &route.name).to_string(),
        other: shorten(other),
        host: shorten(&route.host),
        prefix: shorten(&route.path_prefix),
    }
    .build()
}
