//! Resource limits of the process (keys `limits.…`).

use super::error::SettingsError;
use super::lines::{SettingsLines, WHOLE_NUMBER};

/// The resources that the process may use on its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineLimits {
    /// The resident memory of the process, in MB.
    pub memory_mb: u64,
    /// The number of open file descriptors of the process.
    pub max_fds: u64,
    /// The bandwidth of the network link, in Mbit/s; 0 or more.
    pub link_mbps: f64,
    /// The disk space, in MB; 0 if the machine has no disk.
    pub disk_mb: u64,
}

impl MachineLimits {
    pub(super) fn parse(lines: &SettingsLines) -> Result<Self, SettingsError> {
        Ok(MachineLimits {
            memory_mb: lines.with_default("limits.memoryMb", WHOLE_NUMBER, 256)?,
            max_fds: lines.with_default("limits.maxFds", WHOLE_NUMBER, 1024)?,
            link_mbps: lines.non_negative_number("limits.linkMbps", 1000.0)?,
            disk_mb: lines.with_default("limits.diskMb", WHOLE_NUMBER, 0)?,
        })
    }
}
