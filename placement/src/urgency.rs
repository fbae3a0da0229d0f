//! The reasons for which a replica is missing.

/// Why a replica is missing. Variants are ordered from the most to the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Requests wait and no server holds the model.
    Waiting,
    /// The model has replicas, but too few for its demand.
    Overloaded,
    /// The model was requested recently and no server holds it now.
    Absent,
}
