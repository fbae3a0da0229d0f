//! Errors of validating a change, of decoding a change or snapshot, and of applying an update to a view.

use snafu::Snafu;

/// Why a configuration is invalid. Each error displays as one line that names the item and the field. The operator
/// receives this text as the response to the call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidConfig {
    /// The body is truncated or otherwise not JSON.
    #[snafu(display("body: not JSON from byte {offset} on"))]
    NotJson {
        /// Offset of the error in the body, in bytes.
        offset: usize,
    },
    /// Objects and arrays are nested too deeply.
    #[snafu(display("body: nested deeper than {max_depth}"))]
    TooDeep {
        /// The maximum nesting depth.
        max_depth: usize,
    },
    /// The resulting configuration would exceed the size limit.
    #[snafu(display("body: the configuration would have {bytes} bytes, over the limit of {max_bytes}"))]
    TooLarge {
        /// Size of the resulting configuration, in bytes.
        bytes: usize,
        /// The maximum size, in bytes.
        max_bytes: usize,
    },
    /// An object contains the same key twice.
    #[snafu(display("{path}: the key {key} stands there twice"))]
    DuplicateKey {
        /// Path of the object.
        path: String,
        /// The key, truncated for display.
        key: String,
    },
    /// A required field is missing.
    #[snafu(display("{path}: {field}: missing, expected {expected}"))]
    MissingField {
        /// Path of the item that has the field.
        path: String,
        /// Path of the field within the item.
        field: String,
        /// Description of the expected value.
        expected: &'static str,
    },
    /// A field has a value of the wrong type or out of range.
    #[snafu(display("{path}: {field}: {value} found, expected {expected}"))]
    UnexpectedValue {
        /// Path of the item that has the field.
        path: String,
        /// Path of the field within the item.
        field: String,
        /// The value's JSON, truncated for display.
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
        /// Name of the service, truncated for display.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("{path}: pathPrefix: {other} has the host {host} and the prefix {path_prefix} too"))]
    DuplicateRoute {
        /// Path of the route.
        path: String,
        /// Name of the other route, truncated for display.
        other: String,
        /// Host of both routes, truncated for display.
        host: String,
        /// Path prefix of both routes, truncated for display.
        path_prefix: String,
    },
    /// No service of a route has a weight above 0, or the route names no service.
    #[snafu(display("{path}: trafficSplit: the weights sum to 0"))]
    ZeroWeight {
        /// Path of the route.
        path: String,
    },
    /// The version of the change is not higher than the current version.
    #[snafu(display("body: version: {version} found, expected one over {current}"))]
    VersionNotHigher {
        /// The version of the change.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// A committed log entry cannot be decoded as a change. Changes are validated before they are proposed, so this
    /// error indicates a bug.
    #[snafu(display("body: not an encoded change"))]
    UndecodableEntry,
}

/// Why an encoded change or snapshot cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes do not have the expected format.
    #[snafu(display("{length} bytes are not {expected}"))]
    Undecodable {
        /// Number of bytes.
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

/// Why an update cannot be applied to a view. The view remains unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ViewError {
    /// The version of the update is not newer than that of the view. The caller can ignore the update.
    #[snafu(display("version {update} is not newer than {current}"))]
    NotNewer {
        /// The view's version.
        current: u64,
        /// The version of the update.
        update: u64,
    },
    /// The update is based on a version other than the view's. The caller must request a full update.
    #[snafu(display("update since version {base} cannot be applied to version {current}"))]
    BaseMismatch {
        /// The view's version.
        current: u64,
        /// The version that the update is based on.
        base: u64,
    },
    /// An item of the update is invalid, or conflicts with an item of the view. The caller must request a full update.
    #[snafu(display("invalid update: {source}"))]
    InvalidUpdate {
        /// Why the item is invalid.
        source: InvalidConfig,
    },
}
