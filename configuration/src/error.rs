//! Why a change, a snapshot or news cannot be taken.

use snafu::Snafu;

/// Why a configuration is invalid. Each displays as one line that names the item and the field.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidConfig {
    /// The body is cut short or otherwise no JSON.
    #[snafu(display("body: not JSON from byte {offset} on"))]
    NotJson {
        /// Bytes up to the fault.
        offset: usize,
    },
    /// Objects and lists stand in each other too deep.
    #[snafu(display("body: nested deeper than {most}"))]
    TooDeep {
        /// The greatest depth taken.
        most: usize,
    },
    /// The configuration that would result is too large.
    #[snafu(display("body: the configuration would have {bytes} bytes, over the limit of {most}"))]
    TooLarge {
        /// Bytes it would have.
        bytes: usize,
        /// The most that is taken.
        most: usize,
    },
    /// One key stands twice in one object.
    #[snafu(display("{place}: the key {key} stands there twice"))]
    SharedKey {
        /// The object.
        place: String,
        /// The key.
        key: String,
    },
    /// A field that is needed is not there.
    #[snafu(display("{place}: {field}: missing, expected {expected}"))]
    Missing {
        /// The item.
        place: String,
        /// The field.
        field: String,
        /// What should stand there.
        expected: &'static str,
    },
    /// A value that cannot be used.
    #[snafu(display("{place}: {field}: {found} found, expected {expected}"))]
    Wrong {
        /// The item.
        place: String,
        /// The field.
        field: String,
        /// The value.
        found: String,
        /// What should stand there.
        expected: &'static str,
    },
    /// Two items of a list have one name.
    #[snafu(display("{place}: name: another item of the list has it too"))]
    SharedName {
        /// The item.
        place: String,
    },
    /// A route names a service that is not there.
    #[snafu(display("{place}: service: {service} is not among the services"))]
    UnknownService {
        /// The route.
        place: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("{place}: pathPrefix: {other} has the host {host} and the prefix {prefix} too"))]
    SamePlace {
        /// The route.
        place: String,
        /// The other route.
        other: String,
        /// Their host.
        host: String,
        /// Their prefix.
        prefix: String,
    },
    /// No service of a route has any weight.
    #[snafu(display("{place}: trafficSplit: the weights sum to 0"))]
    NoWeight {
        /// The route.
        place: String,
    },
    /// The version is not higher than the current one.
    #[snafu(display("body: version: {version} found, expected one over {current}"))]
    OldVersion {
        /// The change's version.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// What was agreed on is no change. Only a fault of the program leads here.
    #[snafu(display("body: not an encoded change"))]
    NotAChange,
}

/// Bytes that are not what they should be.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// They do not decode.
    #[snafu(display("{length} bytes are not {expected}"))]
    Undecodable {
        /// How many there are.
        length: usize,
        /// What they should be.
        expected: &'static str,
    },
    /// They decode to something that cannot have been taken.
    #[snafu(display("invalid content: {source}"))]
    InvalidContent {
        /// What is wrong.
        source: InvalidConfig,
    },
}

/// Why news cannot be applied to a view. The view is then as it was.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ViewError {
    /// The news makes no newer version; nothing needs to be done.
    #[snafu(display("version {offered} is not newer than {own}"))]
    NotNewer {
        /// The view's version.
        own: u64,
        /// The version of the news.
        offered: u64,
    },
    /// The news builds on another version: ask again for a whole configuration.
    #[snafu(display("news since version {base} cannot be applied to version {own}"))]
    BaseMismatch {
        /// The view's version.
        own: u64,
        /// The version that the news builds on.
        base: u64,
    },
    /// An item of the news is invalid: ask again for a whole configuration.
    #[snafu(display("invalid news: {source}"))]
    InvalidUpdate {
        /// What is wrong.
        source: InvalidConfig,
    },
}
