//! The error type of the data plane.

use std::net::SocketAddrV4;

use snafu::Snafu;

/// Why a data plane cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DataplaneError {
    /// The settings lack an address to listen on.
    #[snafu(display("setting {key} is missing; a data plane requires it"))]
    NoAddress {
        /// The key of the missing setting.
        key: &'static str,
    },
    /// A listening socket cannot be opened.
    #[snafu(display("listening on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The handlers for SIGTERM and SIGHUP cannot be installed.
    #[snafu(display("failed to install signal handlers: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The operating system provided no seed for the random number generator.
    #[snafu(display("failed to get a random seed: {source}"))]
    Random {
        /// The error of the operating system.
        source: rand::rand_core::OsError,
    },
}
