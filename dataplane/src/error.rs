//! Why a data plane cannot run.

use std::net::SocketAddrV4;

use snafu::Snafu;

/// Why a data plane cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DataplaneError {
    /// The settings lack an address.
    #[snafu(display("{key}: missing, a data plane needs it"))]
    NoAddress {
        /// The settings' key.
        key: &'static str,
    },
    /// An address cannot be listened on.
    #[snafu(display("listening on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The system's error.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
    /// The system gave no seed for random numbers.
    #[snafu(display("random numbers: {source}"))]
    Random {
        /// The system's error.
        source: rand::rand_core::OsError,
    },
}
