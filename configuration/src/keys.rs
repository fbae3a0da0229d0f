//! JSON keys of the configuration that this crate gives a meaning to.

/// The version of a configuration.
pub(crate) const VERSION: &str = "version";
/// The list of routes.
pub(crate) const ROUTES: &str = "routes";
/// The list of services.
pub(crate) const SERVICES: &str = "services";
/// The limits for clients: an object, not a list.
pub(crate) const LIMITS: &str = "limits";
/// The field that names an item of a list.
pub(crate) const NAME: &str = "name";
