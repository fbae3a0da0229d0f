//! JSON keys of the configuration that several modules of this crate interpret.

/// Version of the configuration.
pub(crate) const VERSION: &str = "version";
/// List of routes.
pub(crate) const ROUTES: &str = "routes";
/// List of services.
pub(crate) const SERVICES: &str = "services";
/// Client limits: an object, not a list.
pub(crate) const LIMITS: &str = "limits";
/// Field of an item that holds its name, which is unique within its list.
pub(crate) const NAME: &str = "name";
