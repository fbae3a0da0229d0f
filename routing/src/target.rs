//! The target of a request.

/// What a request asks for: the service, and the model and adapter that must be loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target {
    /// The service.
    pub service: String,
    /// The model; empty for services without models.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
}
