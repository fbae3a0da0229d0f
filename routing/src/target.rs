//! The target of a request.

/// The service that a request is sent to, and the model and adapter that the server must have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target {
    pub service: String,
    /// Empty for services without models.
    pub model: String,
    pub adapter: Option<String>,
}
