//! The typed form of the configuration, which is used to route requests.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use shaletrail_protocol::internal::{ConfigUpdate, ItemKey};
use snafu::ResultExt;

use crate::diff::ConfigDiff;
use crate::error::{BaseMismatchSnafu, InvalidConfig, InvalidUpdateSnafu, NotNewerSnafu, ViewError};
use crate::item::{Item, ItemValue};
use crate::keys::{LIMITS, ROUTES, SERVICES};
use crate::route_table::RouteTable;
use crate::schema::{ClientLimits, Route, Service};

/// One version of the configuration in typed form. Clones are cheap because they share their content, so a request can
/// keep the version that it started with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigView {
    /// Version of the configuration; 0 before the first one.
    pub version: u64,
    /// Limits on client requests and connections.
    pub limits: ClientLimits,
    routes: Arc<RouteTable>,
    services: Arc<BTreeMap<String, Arc<Service>>>,
}

impl ConfigView {
    /// Applies an update completely or not at all. The version never decreases.
    ///
    /// # Errors
    ///
    /// If the update is not newer than the view, is based on a version other than the view's, or is invalid.
    pub fn apply(&mut self, update: &ConfigUpdate) -> Result<(), ViewError> {
        if update.version <= self.version {
            return NotNewerSnafu { current: self.version, update: update.version }.fail();
        }
        let items = parse_items(update).context(InvalidUpdateSnafu)?;
        let diff = ConfigDiff { upsert: items.iter().collect(), remove: Cow::Borrowed(&update.remove) };
        match update.base {
            Some(base) if base != self.version => BaseMismatchSnafu { current: self.version, base }.fail(),
            Some(_) => self.check_and_apply(&diff, update.version),
            None => {
                let mut next = ConfigView::default();
                next.check_and_apply(&diff, update.version)?;
                *self = next;
                Ok(())
            }
        }
    }

    fn check_and_apply(&mut self, diff: &ConfigDiff<'_>, version: u64) -> Result<(), ViewError> {
        self.check(diff).context(InvalidUpdateSnafu)?;
        self.apply_diff(diff, version);
        Ok(())
    }

    /// Returns the route of a request: among the routes of its host, the one with the longest prefix that matches the
    /// path. The port and the letter case of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, path)
    }

    /// Returns all routes, sorted by name.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// Returns the service with this name, or `None` if it does not exist.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns whether the item with this key is part of views.
    pub(crate) fn includes(key: &ItemKey) -> bool {
        match key.list.as_str() {
            ROUTES | SERVICES => !key.name.is_empty(),
            LIMITS => key.name.is_empty(),
            _ => false,
        }
    }

    /// Checks that no two routes will have the same host and prefix after `diff` is applied.
    pub(crate) fn check(&self, diff: &ConfigDiff<'_>) -> Result<(), InvalidConfig> {
        self.routes.check(diff)
    }

    /// Applies a difference that [`check`](ConfigView::check) has accepted, and sets the version.
    pub(crate) fn apply_diff(&mut self, diff: &ConfigDiff<'_>, version: u64) {
        self.version = version;
        if diff.changed_route_names().next().is_some() {
            Arc::make_mut(&mut self.routes).apply(diff);
        }
        for key in diff.remove.iter() {
            match key.list.as_str() {
                SERVICES => {
                    Arc::make_mut(&mut self.services).remove(&key.name);
                }
                LIMITS => self.limits = ClientLimits::default(),
                _ => {}
            }
        }
        for item in &diff.upsert {
            match &item.value {
                ItemValue::Service(service) => {
                    Arc::make_mut(&mut self.services).insert(service.name.clone(), service.clone());
                }
                ItemValue::Limits(limits) => self.limits = *limits,
                ItemValue::Route(_) | ItemValue::Opaque => {}
            }
        }
    }
}

/// Parses the upserted items of an update, leaving out those that are not part of views.
fn parse_items(update: &ConfigUpdate) -> Result<Vec<Item>, InvalidConfig> {
    let items = update.upsert.iter().filter(|item| ConfigView::includes(&item.key));
    items.map(|item| Item::parse_stored(&item.key.list, &item.key.name, &item.json)).collect()
}
