//! The typed form of a configuration, which requests are decided by.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use shaletrail_protocol::internal::{ConfigUpdate, ItemKey};
use snafu::ResultExt;

use crate::error::{BaseMismatchSnafu, InvalidConfig, InvalidUpdateSnafu, NotNewerSnafu, ViewError};
use crate::reading::{Item, Typed, LIMITS, ROUTES, SERVICES};
use crate::route_table::RouteTable;
use crate::typed::{ClientLimits, Route, Service};

/// A configuration as requests see it. Clones share what they hold, so that a request may keep the one that it
/// began with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The configuration's version; 0 before the first.
    pub version: u64,
    /// What clients may do.
    pub limits: ClientLimits,
    routes: Arc<RouteTable>,
    services: Arc<BTreeMap<String, Arc<Service>>>,
}

impl View {
    /// Applies news, whole or not at all. The version never goes back, and news of what changed is taken only by
    /// exactly the version that it builds on.
    pub fn apply(&mut self, news: &ConfigUpdate) -> Result<(), ViewError> {
        if news.version <= self.version {
            return NotNewerSnafu { own: self.version, offered: news.version }.fail();
        }
        let items = news.upsert.iter().filter(|item| View::takes(&item.key));
        let items = items.map(|item| Item::taken(&item.key.list, &item.key.name, &item.json));
        let items = items.collect::<Result<Vec<_>, _>>().context(InvalidUpdateSnafu)?;
        let items: Vec<&Item> = items.iter().collect();
        match news.base {
            Some(base) if base != self.version => BaseMismatchSnafu { own: self.version, base }.fail(),
            Some(_) => self.check_and_replace(&items, news),
            None => {
                let mut next = View::default();
                next.check_and_replace(&items, news)?;
                *self = next;
                Ok(())
            }
        }
    }

    fn check_and_replace(&mut self, items: &[&Item], news: &ConfigUpdate) -> Result<(), ViewError> {
        self.check_places(items, &news.remove).context(InvalidUpdateSnafu)?;
        self.replace(items, &news.remove, news.version);
        Ok(())
    }

    /// The route of a request: among those of the host (with or without a port, in any case) the one with the
    /// longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, path)
    }

    /// All routes, sorted by name.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether a view keeps anything of an item.
    pub(crate) fn takes(key: &ItemKey) -> bool {
        match key.list.as_str() {
            ROUTES | SERVICES => !key.name.is_empty(),
            LIMITS => key.name.is_empty(),
            _ => false,
        }
    }

    /// Checks that no two routes would have one place once the changes are made.
    pub(crate) fn check_places(&self, upsert: &[&Item], remove: &[ItemKey]) -> Result<(), InvalidConfig> {
        let replaced: HashSet<&str> = replaced_routes(upsert, remove).collect();
        self.routes.check(upsert.iter().filter_map(|item| as_route(item)).map(AsRef::as_ref), &replaced)
    }

    /// Takes items out and brings others in, as has been checked.
    pub(crate) fn replace(&mut self, upsert: &[&Item], remove: &[ItemKey], version: u64) {
        self.version = version;
        if replaced_routes(upsert, remove).next().is_some() {
            let routes = upsert.iter().filter_map(|item| as_route(item)).cloned();
            Arc::make_mut(&mut self.routes).apply(replaced_routes(upsert, remove), routes);
        }
        for key in remove {
            match key.list.as_str() {
                SERVICES => {
                    Arc::make_mut(&mut self.services).remove(&key.name);
                }
                LIMITS => self.limits = ClientLimits::default(),
                _ => {}
            }
        }
        for item in upsert {
            match &item.typed {
                Typed::Service(service) => {
                    Arc::make_mut(&mut self.services).insert(service.name.clone(), service.clone());
                }
                Typed::Limits(limits) => self.limits = *limits,
                Typed::Route(_) | Typed::Other => {}
            }
        }
    }
}

fn as_route(item: &Item) -> Option<&Arc<Route>> {
    match &item.typed {
        Typed::Route(route) => Some(route),
        _ => None,
    }
}

/// Names of the routes that are removed or replaced.
pub(crate) fn replaced_routes<'a>(
    upsert: &'a [&Item],
    remove: &'a [ItemKey],
) -> impl Iterator<Item = &'a str> {
    let removed = remove.iter().filter(|key| key.list == ROUTES).map(|key| key.name.as_str());
    removed.chain(upsert.iter().filter_map(|item| as_route(item)).map(|route| route.name.as_str()))
}
