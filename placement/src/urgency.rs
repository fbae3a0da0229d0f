//! Why a replica is missing.

/// Why a replica is missing, the most urgent reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Requests wait and no server holds the model.
    Waiting,
    /// There are replicas, but too few for the demand.
    Overloaded,
    /// The model was requested recently and no server holds it now.
    Absent,
}
