//! Errors of changes, of encoded changes and snapshots, and of updates of a view.

use snafu::Snafu;

/// Why a configuration is invalid. Each error displays as one line that names the item and the field; the operator
/// gets this text as the answer to the call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidConfig {
    /// The body is truncated or otherwise not JSON.
    #[snafu(display("body: not JSON from byte {offset} on"))]
    NotJson {
        /// Offset of the error in the body, in bytes.
        offset: usize,
    },
    /// Objects and arrays are nested too deep.
    #[snafu(display("body: nested deeper than {max_depth}"))]
    TooDeep {
        /// The greatest depth that is accepted.
        max_depth: usize,
    },
    /// The resulting configuration would be too large.
    #[snafu(display("body: the configuration would have {bytes} bytes, over the limit of {max_bytes}"))]
    TooLarge {
        /// Size of the resulting configuration, in bytes.
        bytes: usize,
        /// The greatest size that is accepted, in bytes.
        max_bytes: usize,
    },
    /// An object has the same key twice.
    #[snafu(display("{path}: the key {key} stands there twice"))]
    DuplicateKey {
        /// Path of the object.
        path: String,
        /// The key, shortened.
        key: String,
    },
    /// A required field is missing.
    #[snafu(display("{path}: {field}: missing, expected {expected}"))]
    MissingField {
        /// Path of the item.
        path: String,
        /// Path of the field within the item.
        field: String,
        /// Description of the expected value.
        expected: &'static str,
    },
    /// A field has a value of another type or range than expected.
    #[snafu(display("{path}: {field}: {value} found, expected {expected}"))]
    UnexpectedValue {
        /// Path of the item.
        path: String,
        /// Path of the field within the item.
        field: String,
        /// The value's JSON, shortened.
        value: String,
        /// Description of the expected value.
        expected: &'static str,
    },
    /// Two items of a list have the same name.
    #[snafu(display("{path}: name: another item of the list has it too"))]
    DuplicateName {
        /// Path of the items.
        path: String,
    },
    /// A route references a service that does not exist.
    #[snafu(display("{path}: service: {service} is not among the services"))]
    UnknownService {
        /// Path of the route.
        path: String,
        /// Name of the service, shortened.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("{path}: pathPrefix: {other} has the host {host} and the prefix {path_prefix} too"))]
    DuplicateRoute {
        /// Path of the route.
        path: String,
        /// Name of the other route, shortened.
        other: String,
        /// Host of both, shortened.
        host: String,
        /// Path prefix of both, shortened.
        path_prefix: String,
    },
    /// All services of a route have the weight 0.
    #[snafu(display("{path}: trafficSplit: the weights sum to 0"))]
    ZeroWeight {
        /// Path of the route.
        path: String,
    },
    /// The change's version is not higher than the current one.
    #[snafu(display("body: version: {version} found, expected one over {current}"))]
    VersionNotHigher {
        /// The change's version.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// A committed log entry does not decode as a change. Changes are checked before they are proposed, so that only a
    /// defect of the program leads here.
    #[snafu(display("body: not an encoded change"))]
    NotAChange,
}

/// Why an encoded change or snapshot cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes do not have the expected format.
    #[snafu(display("{length} bytes are not {expected}"))]
    Undecodable {
        /// Number of the bytes.
        length: usize,
        /// Description of the expected content.
        expected: &'static str,
    },
    /// The bytes decode to a configuration that is invalid.
    #[snafu(display("invalid content: {source}"))]
    InvalidContent {
        /// Why it is invalid.
        source: InvalidConfig,
    },
}

/// Why an update cannot be applied to a view. The view is then unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ViewError {
    /// The update does not lead to a newer version; nothing needs to be done.
    #[snafu(display("version {update} is not newer than {current}"))]
    NotNewer {
        /// The view's version.
        current: u64,
        /// The version that the update leads to.
        update: u64,
    },
    /// The update builds on another version than the view's: the caller must request a full one.
    #[snafu(display("news since version {base} cannot be applied to version {current}"))]
    BaseMismatch {
        /// The view's version.
        current: u64,
        /// The version that the update builds on.
        base: u64,
    },
    /// An item of the update is invalid: the caller must request a full one.
    #[snafu(display("invalid news: {source}"))]
    InvalidUpdate {
        /// Why the item is invalid.
        source: InvalidConfig,
    },
}
